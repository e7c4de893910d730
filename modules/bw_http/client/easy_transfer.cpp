#include "bw_http/client/easy_transfer.h"

#include <new>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

using namespace bw;

namespace {

// Of all heads of a response, interim ones included, and of its trailer.
// libcurl limits single lines only.
constexpr byte_count HeadLimit = kibibytes(256);
// Makes libcurl end the transfer as broken.
constexpr std::size_t AbortTransfer = 0;

} // namespace

easy_transfer::easy_transfer(client_request GivenRequest)
    : Request(std::move(GivenRequest)), Handle(curl_easy_init()) {
  if (Handle == nullptr)
    throw std::bad_alloc();
  applyOptions();
}

easy_transfer::~easy_transfer() {
  curl_easy_cleanup(Handle);
  curl_slist_free_all(HeaderList);
}

void easy_transfer::applyOptions() {
  for (const http_header &Field : Request.Headers.fields())
    HeaderList = curl_slist_append(HeaderList,
                                   (Field.Name + ": " + Field.Value).c_str());
  // Without this libcurl waits a second for "100 Continue" on large bodies.
  HeaderList = curl_slist_append(HeaderList, "Expect:");
  curl_easy_setopt(Handle, CURLOPT_URL, Request.Url.c_str());
  curl_easy_setopt(Handle, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(Handle, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt(Handle, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(Handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Handle, CURLOPT_PROXY, "");
  curl_easy_setopt(Handle, CURLOPT_PRIVATE, this);
  curl_easy_setopt(Handle, CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(Request.ConnectTimeout.count()));
  curl_easy_setopt(Handle, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(Request.Timeout.count()));
  curl_easy_setopt(Handle, CURLOPT_FRESH_CONNECT,
                   Request.NeedsFreshConnection ? 1L : 0L);
  // A connection that went silent is found by probes after some seconds.
  curl_easy_setopt(Handle, CURLOPT_TCP_KEEPALIVE, 1L);
  curl_easy_setopt(Handle, CURLOPT_TCP_KEEPIDLE, 2L);
  curl_easy_setopt(Handle, CURLOPT_TCP_KEEPINTVL, 1L);
  curl_easy_setopt(Handle, CURLOPT_SOCKOPTFUNCTION, &limitSilence);
  curl_easy_setopt(Handle, CURLOPT_HEADERFUNCTION, &receiveHeader);
  curl_easy_setopt(Handle, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(Handle, CURLOPT_WRITEFUNCTION, &receiveBody);
  curl_easy_setopt(Handle, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(Handle, CURLOPT_BUFFERSIZE, 65'536L);
  const bool HasBody = !Request.Body.empty() || Request.Method == "POST" ||
                       Request.Method == "PUT";
  if (Request.Method == "HEAD") {
    curl_easy_setopt(Handle, CURLOPT_NOBODY, 1L);
  } else if (HasBody) {
    if (!Request.Headers.find("Content-Type"))
      HeaderList = curl_slist_append(HeaderList, "Content-Type:");
    curl_easy_setopt(Handle, CURLOPT_POST, 1L);
    curl_easy_setopt(Handle, CURLOPT_POSTFIELDS, Request.Body.data());
    curl_easy_setopt(Handle, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(Request.Body.size()));
  }
  curl_easy_setopt(Handle, CURLOPT_CUSTOMREQUEST, Request.Method.c_str());
  curl_easy_setopt(Handle, CURLOPT_HTTPHEADER, HeaderList);
}

// libcurl 7.88 has no option for the number of probes, nor for bytes that are
// not acknowledged.
int easy_transfer::limitSilence(void *, curl_socket_t Socket, curlsocktype) {
  constexpr int Probes = 2;
  constexpr int UnacknowledgedMilliseconds = 3'000;
  ::setsockopt(Socket, IPPROTO_TCP, TCP_KEEPCNT, &Probes, sizeof Probes);
  ::setsockopt(Socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
               &UnacknowledgedMilliseconds, sizeof UnacknowledgedMilliseconds);
  return CURL_SOCKOPT_OK;
}

std::size_t easy_transfer::receiveHeader(char *Data, std::size_t Size,
                                         std::size_t Count, void *Self) {
  const std::size_t Total = Size * Count;
  auto *Transfer = static_cast<easy_transfer *>(Self);
  Transfer->noteActivity();
  Transfer->HeadSize += Total;
  if (Transfer->HeadSize > HeadLimit.value() ||
      !Transfer->takeHeaderLine({Data, Total}))
    return AbortTransfer;
  return Total;
}

// libcurl checks neither the status nor the names and values of fields. It
// passes trailer fields on as header lines, too.
bool easy_transfer::takeHeaderLine(std::string_view Line) {
  const bool IsStatusLine = Grammar.isAtStart();
  Grammar.feed(Line);
  if (Grammar.state() == head_state::Malformed)
    return false;
  if (IsHeadComplete)
    return true;
  if (Grammar.state() == head_state::Complete)
    return takeEndOfHead();
  if (IsStatusLine) {
    Head = {};
    IsHttp10 = Line.starts_with("HTTP/1.0");
    return true;
  }
  while (Line.ends_with('\r') || Line.ends_with('\n'))
    Line.remove_suffix(1);
  const std::size_t Colon = Line.find(':');
  if (Colon == Line.npos)
    return false;
  Head.add(std::string(Line.substr(0, Colon)),
           std::string(trimFieldValue(Line.substr(Colon + 1))));
  return true;
}

// Interim responses (1xx) are followed by the final head.
bool easy_transfer::takeEndOfHead() {
  constexpr int FirstFinalStatus = 200;
  if (findFramingFault(Head, IsHttp10))
    return false;
  HeadStatus = Grammar.status();
  IsHeadComplete = HeadStatus >= FirstFinalStatus;
  Grammar = head_grammar(IsHeadComplete ? head_start::Fields
                                        : head_start::StatusLine);
  if (IsHeadComplete)
    Request.OnHead(HeadStatus, Head);
  return true;
}

std::size_t easy_transfer::receiveBody(char *Data, std::size_t Size,
                                       std::size_t Count, void *Self) {
  const std::size_t Total = Size * Count;
  auto *Transfer = static_cast<easy_transfer *>(Self);
  Transfer->noteActivity();
  Transfer->BodySize += Total;
  const std::optional<byte_count> &Limit = Transfer->Request.BodyLimit;
  if (Limit && Transfer->BodySize > Limit->value())
    return AbortTransfer;
  if (!Transfer->Request.OnBody({Data, Total}))
    curl_easy_pause(Transfer->Handle, CURLPAUSE_RECV);
  return Total;
}

void easy_transfer::noteActivity() {
  HasResponse = true;
  LastActivity = std::chrono::steady_clock::now();
}

std::chrono::steady_clock::time_point easy_transfer::stalledAt() const {
  const std::chrono::milliseconds Limit =
      HasResponse ? Request.IdleTimeout : Request.FirstByteTimeout;
  return Limit.count() == 0 ? std::chrono::steady_clock::time_point::max()
                            : LastActivity + Limit;
}

transfer_result easy_transfer::result(CURLcode Code) const {
  transfer_result Result;
  long RequestSize = 0;
  long Port = 0;
  curl_off_t Received = 0;
  curl_off_t Microseconds = 0;
  curl_easy_getinfo(Handle, CURLINFO_REQUEST_SIZE, &RequestSize);
  curl_easy_getinfo(Handle, CURLINFO_LOCAL_PORT, &Port);
  curl_easy_getinfo(Handle, CURLINFO_SIZE_DOWNLOAD_T, &Received);
  curl_easy_getinfo(Handle, CURLINFO_TOTAL_TIME_T, &Microseconds);
  Result.WasSent = RequestSize > 0;
  Result.HttpStatus = IsHeadComplete ? HeadStatus : 0;
  Result.Received = byte_count(static_cast<std::uint64_t>(Received));
  Result.Elapsed = std::chrono::microseconds(Microseconds);
  Result.LocalPort = static_cast<std::uint16_t>(Port);
  if (Code == CURLE_OK && IsHeadComplete)
    Result.Status = transfer_status::Complete;
  else if (!Result.WasSent)
    Result.Status = transfer_status::ConnectFailed;
  else if (Code == CURLE_OPERATION_TIMEDOUT)
    Result.Status = transfer_status::TimedOut;
  else
    Result.Status = transfer_status::Broken;
  return Result;
}
