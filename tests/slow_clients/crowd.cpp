#include "tests/slow_clients/crowd.h"

#include "tests/harness/harness_error.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <thread>

using namespace bw;
using namespace bw::slow_clients;

namespace {

constexpr std::chrono::milliseconds RoundLength(100);
// The system then takes little of an answer that a client does not read.
constexpr int SmallReceiveBuffer = 4096;
constexpr int AnswerLimitMilliseconds = 10'000;

int connectTo(const caller_address &Address) {
  const int Descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (Descriptor < 0)
    throw harness::harness_error("no socket");
  ::setsockopt(Descriptor, SOL_SOCKET, SO_RCVBUF, &SmallReceiveBuffer,
               sizeof SmallReceiveBuffer);
  sockaddr_in Target{};
  Target.sin_family = AF_INET;
  Target.sin_port = htons(Address.Port);
  ::inet_pton(AF_INET, Address.Ip.c_str(), &Target.sin_addr);
  if (::connect(Descriptor, reinterpret_cast<sockaddr *>(&Target),
                sizeof Target) != 0) {
    ::close(Descriptor);
    throw harness::harness_error("cannot connect to the gateway");
  }
  return Descriptor;
}

void end(int &Descriptor) {
  if (Descriptor >= 0)
    ::close(Descriptor);
  Descriptor = -1;
}

} // namespace

crowd::crowd(const caller_address &Address, crowd_options GivenOptions)
    : Options(std::move(GivenOptions)), Clients(Options.Size) {
  for (std::size_t Index = 0; Index < Clients.size(); ++Index) {
    Clients[Index].Descriptor = connectTo(Address);
    if (Options.RequestOf)
      Clients[Index].OwnRequest = Options.RequestOf(Index);
  }
}

crowd::~crowd() {
  for (client &Each : Clients)
    end(Each.Descriptor);
}

void crowd::play(const std::function<void()> &OnRound) {
  for (int Round = 0; Round < Options.Rounds; ++Round) {
    const auto Next = std::chrono::steady_clock::now() + RoundLength;
    for (client &Each : Clients) {
      sendSome(Each);
      readSome(Each);
    }
    OnRound();
    std::this_thread::sleep_until(Next);
  }
}

std::size_t crowd::connected() const {
  return std::size_t(
      std::count_if(Clients.begin(), Clients.end(),
                    [](const client &Each) { return Each.Descriptor >= 0; }));
}

const std::string &crowd::requestOf(const client &Client) const {
  return Options.RequestOf ? Client.OwnRequest : Options.Request;
}

void crowd::sendSome(client &Client) const {
  const std::string &Request = requestOf(Client);
  std::size_t Left = std::min<std::size_t>(Options.SentPerRound.value(),
                                           Request.size() - Client.Sent);
  while (Client.Descriptor >= 0 && Left > 0) {
    const ssize_t Size = ::send(Client.Descriptor, Request.data() + Client.Sent,
                                Left, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (Size < 0 && errno != EAGAIN)
      end(Client.Descriptor);
    if (Size <= 0)
      return;
    Client.Sent += std::size_t(Size);
    Left -= std::size_t(Size);
  }
}

void crowd::readSome(client &Client) const {
  std::array<char, 65'536> Buffer{};
  const std::size_t Most =
      std::min<std::size_t>(Options.ReadPerRound.value(), Buffer.size());
  if (Client.Descriptor < 0 || Most == 0)
    return;
  const ssize_t Size =
      ::recv(Client.Descriptor, Buffer.data(), Most, MSG_DONTWAIT);
  if (Size == 0 || (Size < 0 && errno != EAGAIN))
    end(Client.Descriptor);
}

void bw::slow_clients::openAndReset(const caller_address &Address,
                                    std::size_t Connections,
                                    const std::string &Request) {
  for (std::size_t Count = 0; Count < Connections; ++Count) {
    int Descriptor = connectTo(Address);
    if (Count % 2 == 0)
      ::send(Descriptor, Request.data(), Request.size(), MSG_NOSIGNAL);
    const linger Reset{.l_onoff = 1, .l_linger = 0};
    ::setsockopt(Descriptor, SOL_SOCKET, SO_LINGER, &Reset, sizeof Reset);
    end(Descriptor);
  }
}

bool bw::slow_clients::isAnswered(const caller_address &Address,
                                  const std::string &Request,
                                  std::size_t Size) {
  int Descriptor = connectTo(Address);
  ::send(Descriptor, Request.data(), Request.size(), MSG_NOSIGNAL);
  std::string Answer;
  std::array<char, 4096> Buffer{};
  const auto IsWhole = [&] {
    const std::size_t Head = Answer.find("\r\n\r\n");
    return Head != Answer.npos && Answer.size() - Head - 4 >= Size;
  };
  while (!IsWhole()) {
    pollfd Wait{.fd = Descriptor, .events = POLLIN, .revents = 0};
    if (::poll(&Wait, 1, AnswerLimitMilliseconds) != 1)
      break;
    const ssize_t Count = ::recv(Descriptor, Buffer.data(), Buffer.size(), 0);
    if (Count <= 0)
      break;
    Answer.append(Buffer.data(), std::size_t(Count));
  }
  end(Descriptor);
  return IsWhole() && Answer.starts_with("HTTP/1.1 200 ");
}
