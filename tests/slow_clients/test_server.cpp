#include "tests/slow_clients/test_server.h"

#include "bw_forward/parser/http1_parser.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <string>

using namespace bw;
using namespace bw::slow_clients;
using asio::ip::tcp;

namespace {

constexpr std::chrono::milliseconds BytePause(100);
constexpr std::chrono::milliseconds LatePause(500);
// Keeps the part of a body small that the system holds for a server that does
// not read.
constexpr int SmallReceiveBuffer = 8192;

const std::string &bodyBytes() {
  static const std::string Bytes(test_server::LongestBody, 'x');
  return Bytes;
}

std::size_t bodySize(std::string_view Target) {
  constexpr std::string_view Mark = "/x/";
  std::size_t Size = 0;
  const std::size_t Place = Target.find(Mark);
  if (Place != Target.npos)
    std::from_chars(Target.data() + Place + Mark.size(),
                    Target.data() + Target.size(), Size);
  return std::min(Size, test_server::LongestBody);
}

class server_session : public std::enable_shared_from_this<server_session> {
public:
  server_session(tcp::socket GivenSocket, const test_server_options &Options)
      : Socket(std::move(GivenSocket)), Pause(Socket.get_executor()),
        Options(Options),
        Parser(http1_side::Request, {.OnHead = [this](const http1_head &Head) {
                 begin(Head);
                 return true;
               }}) {}

  void start() {
    if (Options.Conduct == server_conduct::ReadsNothing)
      awaitEnd();
    else
      read();
  }

private:
  // Keeps the connection open until the other side closes it.
  void awaitEnd() {
    Socket.async_wait(tcp::socket::wait_error,
                      [Self = shared_from_this()](asio::error_code Code) {
                        static_cast<void>(Code);
                      });
  }

  void begin(const http1_head &Head) {
    const std::string Label =
        Head.Headers.find(Options.Headers.RequestLabel).value_or("");
    Size = bodySize(Head.Target);
    Answer = "HTTP/1.1 200 OK\r\n" + Options.Headers.RequestLabel + ": " +
             Label + "\r\n" + Options.Headers.Signature + ": " +
             Options.Server.value() +
             "\r\nContent-Length: " + std::to_string(Size) + "\r\n\r\n";
  }

  void read() {
    Socket.async_read_some(
        asio::buffer(Buffer),
        [Self = shared_from_this()](asio::error_code Code, std::size_t Count) {
          if (!Code)
            Self->parse({Self->Buffer.data(), Count});
        });
  }

  // The gateway sends one request at a time on a connection.
  void parse(std::string_view Bytes) {
    while (!Bytes.empty()) {
      const parse_result Result = Parser.feed(Bytes);
      Bytes.remove_prefix(Result.Taken);
      if (Result.Status == parse_status::Complete)
        return Options.Conduct == server_conduct::AnswersLate ? answerLate()
                                                              : answer();
      if (Result.Status != parse_status::NeedsMore)
        return;
    }
    read();
  }

  void answerLate() {
    Pause.expires_after(LatePause);
    Pause.async_wait([Self = shared_from_this()](asio::error_code Cancelled) {
      if (!Cancelled)
        Self->answer();
    });
  }

  void answer() {
    if (Options.Conduct == server_conduct::AnswersByteByByte) {
      Answer.append(bodyBytes(), 0, Size);
      return writeByte(0);
    }
    const std::array<asio::const_buffer, 2> Parts{
        asio::buffer(Answer), asio::buffer(bodyBytes().data(), Size)};
    asio::async_write(
        Socket, Parts,
        [Self = shared_from_this()](asio::error_code Code, std::size_t) {
          if (!Code)
            Self->read();
        });
  }

  void writeByte(std::size_t Place) {
    if (Place == Answer.size())
      return read();
    asio::error_code Code;
    asio::write(Socket, asio::buffer(Answer.data() + Place, 1), Code);
    if (Code)
      return;
    Pause.expires_after(BytePause);
    Pause.async_wait(
        [Self = shared_from_this(), Place](asio::error_code Cancelled) {
          if (!Cancelled)
            Self->writeByte(Place + 1);
        });
  }

  tcp::socket Socket;
  asio::steady_timer Pause;
  const test_server_options &Options;
  http1_parser Parser;
  std::array<char, 16'384> Buffer{};
  std::string Answer;
  std::size_t Size = 0;
};

} // namespace

test_server::test_server(test_server_options GivenOptions)
    : Options(std::move(GivenOptions)), Acceptor(Context) {
  Acceptor.open(tcp::v4());
  if (Options.Conduct == server_conduct::ReadsNothing)
    Acceptor.set_option(
        asio::socket_base::receive_buffer_size(SmallReceiveBuffer));
  Acceptor.bind({asio::ip::address_v4::loopback(), 0});
  constexpr int Backlog = 1024;
  Acceptor.listen(Backlog);
  Port = Acceptor.local_endpoint().port();
  accept();
  Thread = std::thread([this] { Context.run(); });
}

test_server::~test_server() {
  Context.stop();
  Thread.join();
}

void test_server::accept() {
  Acceptor.async_accept([this](asio::error_code Code, tcp::socket Socket) {
    if (Code)
      return;
    std::make_shared<server_session>(std::move(Socket), Options)->start();
    accept();
  });
}
