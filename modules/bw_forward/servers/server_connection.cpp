#include "bw_forward/servers/server_connection.h"

#include "bw_forward/callers/caller_connection.h"
#include "bw_forward/servers/statement_reader.h"
#include "bw_kernel/log/log_event.h"

#include <asio/buffer.hpp>
#include <asio/connect.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <charconv>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

using namespace bw;
using asio::ip::tcp;

namespace {

// Idle time-out for servers that send no `Keep-Alive` field.
constexpr duration DefaultIdleTimeout = std::chrono::seconds(4);
// Prevents a request from being sent while the server closes the connection.
constexpr duration IdleTimeoutMargin = std::chrono::milliseconds(1500);
// TCP keep-alive probes detect a dead connection after four seconds.
constexpr int KeepAliveIdleSeconds = 2;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 2;

tcp::endpoint endpointOf(const server_address &Address,
                         asio::error_code &Code) {
  const std::string &Text = Address.value();
  const std::size_t Colon = Text.rfind(':');
  std::uint16_t Port = 0;
  if (Colon != Text.npos)
    std::from_chars(Text.data() + Colon + 1, Text.data() + Text.size(), Port);
  const auto Ip = asio::ip::make_address(
      Colon == Text.npos ? Text : Text.substr(0, Colon), Code);
  return {Ip, Port};
}

} // namespace

server_connection::server_connection(asio::io_context &Context,
                                     backend_server_id Server,
                                     const server_connection_options &Options,
                                     const server_connection_hooks &Hooks,
                                     std::span<char> ReadBuffer)
    : Socket(Context), ConnectTimer(Context), Server(std::move(Server)),
      Options(Options), Hooks(Hooks), ReadBuffer(ReadBuffer),
      Parser(http1_side::Response,
             {.OnHead =
                  [this](http1_head Head) { return headRead(std::move(Head)); },
              .OnBody = [this](std::string_view Part) { bodyRead(Part); }}) {}

void server_connection::open(attempt_pointer First) {
  Attempt = std::move(First);
  asio::error_code Code;
  const tcp::endpoint Target = endpointOf(Attempt->Address, Code);
  if (!Code)
    Socket.open(tcp::v4(), Code);
  if (Code)
    return fail(attempt_outcome::NotSent);
  Socket.non_blocking(true, Code);
  Socket.set_option(tcp::no_delay(true), Code);
  Socket.set_option(asio::socket_base::keep_alive(true), Code);
  const int Handle = Socket.native_handle();
  ::setsockopt(Handle, IPPROTO_TCP, TCP_KEEPIDLE, &KeepAliveIdleSeconds,
               sizeof KeepAliveIdleSeconds);
  ::setsockopt(Handle, IPPROTO_TCP, TCP_KEEPINTVL, &KeepAliveIntervalSeconds,
               sizeof KeepAliveIntervalSeconds);
  ::setsockopt(Handle, IPPROTO_TCP, TCP_KEEPCNT, &KeepAliveProbes,
               sizeof KeepAliveProbes);
  Socket.async_connect(Target,
                       [Self = shared_from_this()](asio::error_code Result) {
                         Self->connected(Result);
                       });
  ConnectTimer.expires_after(Options.ConnectTimeout);
  ConnectTimer.async_wait([Self = shared_from_this()](asio::error_code Result) {
    if (!Result && Self->IsOpen && !Self->IsConnected)
      Self->fail(attempt_outcome::NotSent);
  });
}

void server_connection::connected(asio::error_code Code) {
  if (!IsOpen)
    return;
  ConnectTimer.cancel();
  if (Code)
    return fail(attempt_outcome::NotSent);
  IsConnected = true;
  readSome();
  beginRequest();
}

void server_connection::send(attempt_pointer Next) {
  Attempt = std::move(Next);
  beginRequest();
}

void server_connection::beginRequest() {
  // Checked here, as the process may have been suspended since the decision or
  // during the connect.
  if (Attempt->SendBefore && Hooks.BootNow() >= *Attempt->SendBefore)
    return fail(attempt_outcome::Expired);
  Attempt->IsSent = true;
  SkippedBytes = 0;
  IsRequestWritten = !Attempt->Exchange->IsStreamed;
  Output +=
      encodeRequest(*Attempt, Options.Headers, Attempt->Deadline - Hooks.Now());
  sendBody();
}

void server_connection::sendBody() {
  if (!IsOpen || !IsConnected || !Attempt || IsWriting)
    return;
  caller_exchange &Exchange = *Attempt->Exchange;
  if (Exchange.IsStreamed && !IsRequestWritten) {
    Output += encodeBodyPart(Exchange.Head, std::exchange(Exchange.Body, {}),
                             Exchange.IsBodyComplete);
    IsRequestWritten = Exchange.IsBodyComplete;
  }
  if (!Output.empty())
    write(std::exchange(Output, {}));
}

void server_connection::write(std::string Bytes) {
  Writing = std::move(Bytes);
  IsWriting = true;
  asio::async_write(
      Socket, asio::buffer(Writing),
      [Self = shared_from_this()](asio::error_code Code, std::size_t) {
        Self->written(Code);
      });
}

void server_connection::written(asio::error_code Code) {
  IsWriting = false;
  std::string().swap(Writing);
  HasWriteFailed = HasWriteFailed || Code;
  // Does not end the attempt, as the response may already have arrived; the
  // read side reports the end of the connection.
  if (Code || !IsOpen || !Attempt)
    return;
  if (!IsRequestWritten) {
    sendBody();
    if (const auto Caller = Attempt->Exchange->Connection.lock())
      Caller->resumeReading();
  }
}

void server_connection::readSome() {
  if (IsReading || !IsOpen)
    return;
  IsReading = true;
  Socket.async_wait(tcp::socket::wait_read,
                    [Self = shared_from_this()](asio::error_code Code) {
                      Self->IsReading = false;
                      Self->readable(Code);
                    });
}

void server_connection::readable(asio::error_code Code) {
  if (!IsOpen)
    return;
  if (pause())
    return;
  std::size_t Size = 0;
  if (!Code)
    Size = Socket.read_some(asio::buffer(ReadBuffer.data(), ReadBuffer.size()),
                            Code);
  if (Code == asio::error::would_block)
    return readSome();
  if (!Attempt) {
    // The idle connection was closed, or received bytes outside of a response.
    close();
    return;
  }
  if (Code == asio::error::eof)
    return peerClosed();
  if (Code)
    return fail(attempt_outcome::Broken);
  parse({ReadBuffer.data(), Size});
  if (!IsOpen)
    return;
  if (Attempt)
    Hooks.OnReceived(Attempt);
  if (IsOpen && !pause())
    readSome();
}

bool server_connection::pause() {
  if (!Attempt)
    return false;
  const read_permission Permission = Hooks.MayRead(*Attempt);
  if (Permission == read_permission::Read)
    return false;
  IsPaused = true;
  if (Permission == read_permission::WaitAndRelay && Attempt->HasHead &&
      isReceivingAnswer() && !Attempt->IsReported)
    reportPart();
  Hooks.OnPaused(shared_from_this());
  return true;
}

void server_connection::resumeReading() {
  if (!IsOpen || !IsPaused || pause())
    return;
  IsPaused = false;
  readSome();
}

void server_connection::reportPart() {
  Attempt->IsReported = true;
  Attempt->IsReportedIncomplete = true;
  Hooks.OnResponse(Attempt);
}

void server_connection::parse(std::string_view Bytes) {
  while (!Bytes.empty() && IsOpen && Attempt) {
    const parse_result Result = Parser.feed(Bytes);
    Bytes.remove_prefix(Result.Taken);
    if (Result.Status == parse_status::Complete) {
      responseRead(!Bytes.empty());
    } else if (Result.Status != parse_status::NeedsMore) {
      return failUnreadable(Result.Status == parse_status::HeadTooBig
                                ? "the head is too long"
                                : "malformed response");
    }
    if (!Attempt || isReceivingAnswer())
      continue;
    SkippedBytes += Result.Taken;
    if (SkippedBytes > Options.SkipLimit.value())
      return failUnreadable("too many bytes outside of the answer");
  }
  if (!IsOpen || !Attempt || !Attempt->HasHead || Attempt->IsComplete)
    return;
  if (Attempt->IsRelaying) {
    Hooks.OnBodyPart(Attempt);
  } else if (!Attempt->IsReported && Classification == response_class::Usable &&
             Attempt->Body.size() > Options.BufferLimit.value()) {
    reportPart();
  }
}

bool server_connection::headRead(http1_head Head) {
  constexpr int FirstFinalStatus = 200;
  IsInterim = Head.Status < FirstFinalStatus;
  if (IsInterim || !Attempt)
    return true;
  Classification = classifyResponse(Head, requestLabel(), Options.Headers);
  // A repeated refusal without an id could not be told from one of the next
  // request.
  const bool IsAnonymousRefusal =
      Classification == response_class::NotExecuted &&
      !Head.Headers.find(Options.Headers.RequestLabel);
  // A connection that carried a response to another request is not reused.
  IsReusable = IsReusable && Head.KeepsConnection && !IsAnonymousRefusal &&
               Classification != response_class::OtherRequest &&
               Classification != response_class::Unusable;
  if (Classification == response_class::OtherRequest)
    return true;
  updateIdleDeadline(Head);
  // Another server that has the address now answers 421.
  constexpr int Misdirected = 421;
  if (Classification != response_class::Unusable && Head.Status != Misdirected)
    Attempt->Statement = readStatement(Head, Options.Headers);
  Attempt->HasHead = true;
  Attempt->Head = std::move(Head);
  return Attempt->Exchange->Head.Method != "HEAD";
}

void server_connection::updateIdleDeadline(const http1_head &Head) {
  ReusableUntil = Hooks.Now() + DefaultIdleTimeout;
  const std::optional<std::string> Field = Head.Headers.find("Keep-Alive");
  if (!Field)
    return;
  constexpr std::string_view Name = "timeout=";
  const std::size_t Place = Field->find(Name);
  if (Place == Field->npos)
    return;
  int Seconds = 0;
  std::from_chars(Field->data() + Place + Name.size(),
                  Field->data() + Field->size(), Seconds);
  ReusableUntil =
      Hooks.Now() + std::chrono::seconds(Seconds) - IdleTimeoutMargin;
}

bool server_connection::isReceivingAnswer() const {
  return Attempt && Attempt->HasHead && !IsInterim &&
         Classification == response_class::Usable;
}

void server_connection::bodyRead(std::string_view Part) {
  if (!isReceivingAnswer())
    return;
  Attempt->Body.append(Part);
  Attempt->ReceivedBytes += Part.size();
}

void server_connection::responseRead(bool HasMoreBytes) {
  if (IsInterim)
    return;
  if (Classification == response_class::OtherRequest) {
    // The response to this request may still follow.
    Classification = response_class::Usable;
    return;
  }
  IsReusable = IsReusable && !HasMoreBytes && IsRequestWritten && !IsWriting;
  const attempt_pointer Done = std::exchange(Attempt, nullptr);
  Done->IsComplete = true;
  Done->Connection.reset();
  if (IsReusable) {
    Hooks.OnIdle(shared_from_this());
  } else {
    close();
  }
  switch (Classification) {
  case response_class::NotExecuted:
    return Hooks.OnFailure(Done, attempt_outcome::NotExecuted);
  case response_class::Usable:
    if (Done->IsRelaying)
      return Hooks.OnBodyPart(Done);
    if (!Done->IsReported) {
      Done->IsReported = true;
      Hooks.OnResponse(Done);
    }
    return;
  case response_class::OtherRequest:
  case response_class::Unusable:
    return Hooks.OnFailure(Done, attempt_outcome::Broken);
  }
}

// The kernel reports the reset of a connection once: if a write takes the
// error, a read sees what looks like an orderly close.
bool server_connection::wasReset() {
  tcp_info Info{};
  socklen_t Size = sizeof Info;
  const bool IsKnown = ::getsockopt(Socket.native_handle(), IPPROTO_TCP,
                                    TCP_INFO, &Info, &Size) == 0;
  // After an orderly close by the server, the state is TCP_CLOSE_WAIT.
  return HasWriteFailed || (IsKnown && Info.tcpi_state == TCP_CLOSE);
}

// Only an orderly close by the server ends a response without a length.
void server_connection::peerClosed() {
  IsReusable = false;
  if (!wasReset() && Parser.finish() == parse_status::Complete) {
    responseRead(false);
    if (Attempt)
      fail(attempt_outcome::Broken);
    return;
  }
  fail(attempt_outcome::Broken);
}

void server_connection::fail(attempt_outcome Outcome) {
  const attempt_pointer Failed = std::exchange(Attempt, nullptr);
  close();
  if (!Failed)
    return;
  Failed->Connection.reset();
  Hooks.OnFailure(Failed, Outcome);
}

void server_connection::failUnreadable(const char *Reason) {
  logEvent(log_event::InputMalformed, {{"request", requestLabel()},
                                       {"server", Server.value()},
                                       {"reason", Reason}});
  fail(attempt_outcome::Broken);
}

std::string server_connection::requestLabel() const {
  return Attempt->Exchange->Head.Headers.find(Options.Headers.RequestLabel)
      .value_or("");
}

void server_connection::close() {
  if (!IsOpen)
    return;
  IsOpen = false;
  Attempt.reset();
  ConnectTimer.cancel();
  asio::error_code Ignored;
  Socket.close(Ignored);
  Hooks.OnClosed(shared_from_this());
}

bool server_connection::isReusable(time_point Now) {
  if (!isIdle() || IsWriting || Now >= ReusableUntil)
    return false;
  // The server's close may have arrived since the event loop last polled.
  char Byte = 0;
  const ssize_t Size = ::recv(Socket.native_handle(), &Byte, sizeof Byte,
                              MSG_PEEK | MSG_DONTWAIT);
  return Size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}
