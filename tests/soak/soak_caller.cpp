#include "tests/soak/soak_caller.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdlib>

using namespace bw;
using namespace bw::soak;

namespace {

constexpr int ConnectMilliseconds = 1000;
// A caller gives up on an answer that is longer.
constexpr byte_count LongestBody = mebibytes(8);

int milliseconds(duration Time) {
  return static_cast<int>(std::max<std::int64_t>(
      0, std::chrono::duration_cast<std::chrono::milliseconds>(Time).count()));
}

int connectTo(const host_address &Address, int Limit) {
  const int Descriptor =
      ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (Descriptor < 0)
    return -1;
  sockaddr_in Target{};
  Target.sin_family = AF_INET;
  Target.sin_port = htons(Address.Port);
  ::inet_pton(AF_INET, Address.Ip.c_str(), &Target.sin_addr);
  int Error = 0;
  if (::connect(Descriptor, reinterpret_cast<sockaddr *>(&Target),
                sizeof Target) != 0) {
    pollfd Wait{.fd = Descriptor, .events = POLLOUT, .revents = 0};
    socklen_t Size = sizeof Error;
    if (errno != EINPROGRESS || ::poll(&Wait, 1, Limit) != 1 ||
        ::getsockopt(Descriptor, SOL_SOCKET, SO_ERROR, &Error, &Size) != 0 ||
        Error != 0) {
      ::close(Descriptor);
      return -1;
    }
  }
  const int On = 1;
  ::setsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
  return Descriptor;
}

// Bytes that came, 0 at the end of the connection or after the limit.
std::size_t receive(int Descriptor, std::array<char, 65'536> &Buffer,
                    int Limit) {
  pollfd Wait{.fd = Descriptor, .events = POLLIN, .revents = 0};
  if (::poll(&Wait, 1, Limit) != 1)
    return 0;
  const ssize_t Size = ::recv(Descriptor, Buffer.data(), Buffer.size(), 0);
  return Size > 0 ? static_cast<std::size_t>(Size) : 0;
}

} // namespace

std::string bw::soak::requestText(const asked_request &Request,
                                  const relay_headers &Names, duration Limit) {
  std::string Text = Request.Method + " " + Request.Target +
                     " HTTP/1.1\r\nHost: soak.example\r\n" +
                     Names.RequestLabel + ": " + Request.Label.value() +
                     "\r\n" + Names.Deadline + ": " +
                     std::to_string(milliseconds(Limit)) + "\r\n";
  if (!Request.Key.empty())
    Text += "Authorization: Bearer " + Request.Key + "\r\n";
  if (!Request.Body.empty())
    Text += "Content-Length: " + std::to_string(Request.Body.size()) + "\r\n";
  return Text + "\r\n" + Request.Body;
}

caller_connection_client::caller_connection_client(const host_address &Address,
                                                   const relay_headers &Names)
    : Names(Names), Descriptor(connectTo(Address, ConnectMilliseconds)) {}

caller_connection_client::~caller_connection_client() { close(); }

void caller_connection_client::close() {
  if (Descriptor >= 0)
    ::close(Descriptor);
  Descriptor = -1;
}

bool caller_connection_client::send(std::string_view Bytes) const {
  while (!Bytes.empty()) {
    const ssize_t Sent =
        ::send(Descriptor, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (Sent > 0) {
      Bytes.remove_prefix(static_cast<std::size_t>(Sent));
      continue;
    }
    pollfd Wait{.fd = Descriptor, .events = POLLOUT, .revents = 0};
    if (errno != EAGAIN || ::poll(&Wait, 1, ConnectMilliseconds) != 1)
      return false;
  }
  return true;
}

seen_answer caller_connection_client::call(const asked_request &Request,
                                           duration Limit,
                                           runtime_clock &Clock) {
  seen_answer Result{.Label = Request.Label};
  RetryAfter = 0;
  bool KeepsOpen = true;
  http1_parser Parser(
      http1_side::Response,
      {.OnHead =
           [&](const http1_head &Head) {
             Result.Status = Head.Status;
             Result.Signature = Head.Headers.find(Names.Signature).value_or("");
             Result.EchoedLabel =
                 Head.Headers.find(Names.RequestLabel).value_or("");
             KeepsOpen = Head.KeepsConnection;
             RetryAfter = std::strtod(
                 Head.Headers.find("Retry-After").value_or("0").c_str(),
                 nullptr);
             return true;
           },
       .OnBody = [&](std::string_view Part) { Result.Body += Part; }});
  const time_point Deadline = Clock.now() + Limit;
  if (send(requestText(Request, Names, Limit))) {
    std::array<char, 65'536> Buffer{};
    while (!Result.IsComplete) {
      const std::size_t Size =
          receive(Descriptor, Buffer, milliseconds(Deadline - Clock.now()));
      Result.IsGivenUp = Size == 0 && Clock.now() >= Deadline;
      if (Size == 0)
        break;
      const parse_result Parsed = Parser.feed({Buffer.data(), Size});
      Result.IsComplete = Parsed.Status == parse_status::Complete;
      // Bytes behind the answer, or bytes that are none, end the connection.
      KeepsOpen = KeepsOpen && Parsed.Taken == Size;
      Result.IsGivenUp = Result.Body.size() > LongestBody.value();
      if (Parsed.Status == parse_status::Malformed || Result.IsGivenUp)
        break;
    }
  }
  Result.At = Clock.now();
  if (!Result.IsComplete || !KeepsOpen)
    close();
  return Result;
}

bool bw::soak::asksReady(const host_address &Address, const std::string &Path,
                         duration Limit) {
  const int Descriptor = connectTo(Address, milliseconds(Limit));
  if (Descriptor < 0)
    return false;
  const std::string Text =
      "GET " + Path + " HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
  std::array<char, 65'536> Buffer{};
  std::size_t Size = 0;
  if (::send(Descriptor, Text.data(), Text.size(), MSG_NOSIGNAL) > 0)
    Size = receive(Descriptor, Buffer, milliseconds(Limit));
  ::close(Descriptor);
  constexpr std::string_view Good = "HTTP/1.1 200";
  return std::string_view(Buffer.data(), Size).starts_with(Good);
}
