// Scripted callers, servers and decisions for tests of the forward service over
// loopback sockets.
#ifndef BW_FORWARD_SERVICE_FORWARD_TEST_FIXTURE_H
#define BW_FORWARD_SERVICE_FORWARD_TEST_FIXTURE_H

#include "bw_forward/service/forward_service.h"
#include "bw_kernel/services/kernel.h"

#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>

#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>

#include <poll.h>

#include <chrono>
#include <memory>
#include <string>

namespace bw {

/// Bound of each wait of a test.
constexpr duration WaitLimit = std::chrono::seconds(5);

/// Replaces the decide service and keeps its events for the test.
class scripted_decide : public gateway_event_sink {
public:
  explicit scripted_decide(runtime_clock &Clock)
      : gateway_event_sink(std::string(ServiceName)), Clock(Clock),
        Events(Clock, {.Capacity = 256}) {}

  void attach(service_registry &) override {}
  void start() override {}
  void stop() override {}
  gateway_event_ring &events() override { return Events; }

  template <typename Event> Event next() {
    auto Taken = Events.pop(Clock.now() + WaitLimit);
    CPPUNIT_ASSERT_MESSAGE("no event within the time limit", Taken.has_value());
    CPPUNIT_ASSERT(std::holds_alternative<Event>(*Taken));
    return std::get<Event>(std::move(*Taken));
  }

private:
  runtime_clock &Clock;
  gateway_event_ring Events;
};

/// A blocking socket with bounded reads.
class test_socket {
public:
  test_socket() : Socket(Context) {}

  void connect(std::uint16_t Port) {
    Socket.connect({asio::ip::address_v4::loopback(), Port});
  }
  void write(const std::string &Bytes) {
    asio::write(Socket, asio::buffer(Bytes));
  }
  /// Returns the bytes up to and including the text; empty if the connection
  /// ends first.
  std::string readUntil(const std::string &Text) {
    std::string Bytes;
    while (Bytes.find(Text) == std::string::npos) {
      const std::string Part = readSome();
      if (Part.empty())
        return "";
      Bytes += Part;
    }
    return Bytes;
  }
  /// Returns an empty string at the end of the connection.
  std::string readSome() {
    pollfd Poll{.fd = Socket.native_handle(), .events = POLLIN, .revents = 0};
    CPPUNIT_ASSERT_MESSAGE("nothing to read within the time limit",
                           ::poll(&Poll, 1, 5000) == 1);
    char Buffer[65'536];
    asio::error_code Code;
    const std::size_t Size = Socket.read_some(asio::buffer(Buffer), Code);
    WasReset = Code == asio::error::connection_reset;
    return Code ? "" : std::string(Buffer, Size);
  }
  bool isClosedByPeer() { return readSome().empty(); }

  asio::io_context Context;
  asio::ip::tcp::socket Socket;
  bool WasReset = false;
};

/// A backend server whose responses are written by the test.
class scripted_server {
public:
  scripted_server()
      : Acceptor(Context, {asio::ip::address_v4::loopback(), 0}) {}

  server_address address() const {
    return server_address("127.0.0.1:" +
                          std::to_string(Acceptor.local_endpoint().port()));
  }
  std::unique_ptr<test_socket> accept() {
    pollfd Poll{.fd = Acceptor.native_handle(), .events = POLLIN, .revents = 0};
    CPPUNIT_ASSERT_MESSAGE("no connection within the time limit",
                           ::poll(&Poll, 1, 5000) == 1);
    auto Result = std::make_unique<test_socket>();
    Acceptor.accept(Result->Socket);
    return Result;
  }
  void close() { Acceptor.close(); }

private:
  asio::io_context Context;
  asio::ip::tcp::acceptor Acceptor;
};

inline std::string request(const std::string &Label,
                           const std::string &Method = "GET",
                           const std::string &Body = "",
                           const std::string &More = "") {
  std::string Out = Method +
                    " /diary/1?q=2 HTTP/1.1\r\nHost: one.example\r\n"
                    "Bw-Request-Id: " +
                    Label + "\r\nBw-Deadline-Ms: 4000\r\n" + More;
  if (!Body.empty())
    Out += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  return Out + "\r\n" + Body;
}

inline std::string answer(const std::string &Label, const std::string &Body,
                          const std::string &More = "") {
  return "HTTP/1.1 200 OK\r\nBw-Request-Id: " + Label + "\r\n" + More +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

/// A forward service with one scripted caller and one scripted server.
class forward_test_fixture : public CppUnit::TestFixture {
public:
  void setUp() override {
    Clock = std::make_unique<runtime_clock>();
    Kernel = std::make_unique<kernel>();
    Decide = &Kernel->add<scripted_decide>(*Clock);
    Forward = &Kernel->add<forward_service>(*Clock, options());
    Kernel->start();
    Caller = std::make_unique<test_socket>();
    Caller->connect(Forward->port());
    Server = std::make_unique<scripted_server>();
  }
  void tearDown() override {
    Kernel->stop();
    Kernel.reset();
  }

protected:
  virtual forward_service_options options() const {
    return {.BufferLimit = kibibytes(64),
            .CloseIdleAfter = std::chrono::milliseconds(50),
            .AcceptUntil = std::chrono::milliseconds(100),
            .CloseUnusedAfter = std::chrono::milliseconds(50)};
  }

  void command(gateway_command Command) {
    Forward->commands().push(std::move(Command));
  }

  start_attempt startCommand(const request_arrived &Arrived, duration TimeLeft,
                             const std::string &Name) {
    return {.Request = Arrived.Request,
            .Attempt = attempt_number(1),
            .Server = backend_server_id(Name),
            .Address = Server->address(),
            .TimeLeft = TimeLeft};
  }

  std::unique_ptr<test_socket>
  start(const request_arrived &Arrived,
        duration TimeLeft = std::chrono::seconds(2),
        const std::string &Name = "server-1") {
    command(startCommand(Arrived, TimeLeft, Name));
    return Server->accept();
  }

  void relay(const request_arrived &Arrived) {
    const auto Ended = Decide->next<attempt_ended>();
    CPPUNIT_ASSERT(Ended.Outcome == attempt_outcome::Answered);
    command(relay_answer{.Request = Arrived.Request, .Attempt = Ended.Attempt});
  }

  /// Serves one request completely, on an existing server connection if given.
  std::unique_ptr<test_socket> serve(const std::string &Label,
                                     test_socket *Kept) {
    Caller->write(request(Label));
    const auto Arrived = Decide->next<request_arrived>();
    command(startCommand(Arrived, std::chrono::seconds(2), "server-1"));
    std::unique_ptr<test_socket> Fresh;
    if (Kept == nullptr)
      Fresh = Server->accept();
    test_socket &Connection = Kept == nullptr ? *Fresh : *Kept;
    Connection.readUntil("\r\n\r\n");
    Connection.write(answer(Label, "result"));
    relay(Arrived);
    Caller->readUntil("result");
    return Fresh;
  }

  std::unique_ptr<runtime_clock> Clock;
  std::unique_ptr<kernel> Kernel;
  scripted_decide *Decide = nullptr;
  forward_service *Forward = nullptr;
  std::unique_ptr<test_socket> Caller;
  std::unique_ptr<scripted_server> Server;
};

} // namespace bw

#endif
