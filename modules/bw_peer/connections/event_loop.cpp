#include "bw_peer/connections/event_loop.h"

#include "bw_peer/service/peer_listen_error.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <array>

using namespace bw;
using asio::ip::tcp;

namespace {

// One socket may read this often in a row before others get their turn.
constexpr int ReadsInARow = 8;
constexpr std::size_t ReadSize = 65'536;
// Waiting before the next attempt when the process has no free descriptors.
constexpr std::chrono::milliseconds AcceptPause(100);

} // namespace

struct bw::tcp_socket_state
    : public std::enable_shared_from_this<tcp_socket_state> {
  tcp_socket_state(asio::io_context &Context,
                   std::array<char, ReadSize> &ReadBuffer)
      : Socket(Context), ReadBuffer(ReadBuffer) {}

  void prepare() {
    asio::error_code Ignored;
    Socket.set_option(tcp::no_delay(true), Ignored);
    Socket.non_blocking(true, Ignored);
  }

  void waitForBytes() {
    Socket.async_wait(tcp::socket::wait_read,
                      [Self = shared_from_this()](asio::error_code Code) {
                        Self->readable(Code);
                      });
  }

  void readable(asio::error_code Code) {
    for (int Count = 0; Open && !Code && Count < ReadsInARow; ++Count) {
      const std::size_t Size = Socket.read_some(asio::buffer(ReadBuffer), Code);
      if (!Code)
        Hooks.OnBytes({ReadBuffer.data(), Size});
    }
    if (!Open)
      return;
    if (Code && Code != asio::error::would_block)
      return breakDown(Code);
    waitForBytes();
  }

  void write(std::string Bytes) {
    Output = std::move(Bytes);
    asio::async_write(
        Socket, asio::buffer(Output),
        [Self = shared_from_this()](asio::error_code Code, std::size_t) {
          Self->written(Code);
        });
  }

  void written(asio::error_code Code) {
    std::string().swap(Output);
    if (!Open)
      return;
    if (Code)
      return breakDown(Code);
    Hooks.OnWritten();
  }

  void breakDown(asio::error_code Code) {
    close();
    Hooks.OnBroken(Code.message());
  }

  void close() {
    Open = false;
    asio::error_code Ignored;
    Socket.close(Ignored);
  }

  tcp::socket Socket;
  // Shared by all sockets of the loop, so that an idle one holds no buffer.
  std::array<char, ReadSize> &ReadBuffer;
  tcp_socket_hooks Hooks;
  std::string Output;
  bool Open = true;
};

tcp_socket::tcp_socket(std::shared_ptr<tcp_socket_state> State)
    : State(std::move(State)) {}

tcp_socket::~tcp_socket() { State->close(); }

void tcp_socket::start(tcp_socket_hooks Hooks) {
  State->Hooks = std::move(Hooks);
  State->waitForBytes();
}

void tcp_socket::write(std::string Bytes) { State->write(std::move(Bytes)); }

void tcp_socket::close() { State->close(); }

class event_loop::implementation {
public:
  implementation() : Acceptor(Context), AcceptTimer(Context) {}

  void run() {
    const auto Work = asio::make_work_guard(Context);
    Context.run();
  }

  std::uint16_t listen(const std::string &Address, std::uint16_t Port) {
    try {
      const tcp::endpoint Endpoint(asio::ip::make_address(Address), Port);
      Acceptor.open(Endpoint.protocol());
      Acceptor.set_option(tcp::acceptor::reuse_address(true));
      Acceptor.bind(Endpoint);
      Acceptor.listen();
      accept();
      return Acceptor.local_endpoint().port();
    } catch (const asio::system_error &Fault) {
      throw peer_listen_error("cannot listen on " + Address + ":" +
                              std::to_string(Port) + ": " + Fault.what());
    }
  }

  void accept() {
    auto State = std::make_shared<tcp_socket_state>(Context, ReadBuffer);
    Acceptor.async_accept(State->Socket, [this, State](asio::error_code Code) {
      if (Code == asio::error::operation_aborted)
        return;
      if (Code)
        return acceptLater();
      State->prepare();
      OnAccept(std::make_unique<tcp_socket>(State));
      accept();
    });
  }

  void acceptLater() {
    AcceptTimer.expires_after(AcceptPause);
    AcceptTimer.async_wait([this](asio::error_code Code) {
      if (!Code)
        accept();
    });
  }

  std::unique_ptr<tcp_socket> connect(const std::string &Address,
                                      std::uint16_t Port,
                                      const connect_hook &OnConnected) {
    auto State = std::make_shared<tcp_socket_state>(Context, ReadBuffer);
    asio::error_code Code;
    const tcp::endpoint Endpoint(asio::ip::make_address(Address, Code), Port);
    auto Finish = [State, OnConnected](asio::error_code Result) {
      if (!State->Open)
        return;
      State->prepare();
      OnConnected(Result ? Result.message() : std::string());
    };
    if (Code)
      asio::post(Context, [Finish, Code] { Finish(Code); });
    else
      State->Socket.async_connect(Endpoint, Finish);
    return std::make_unique<tcp_socket>(State);
  }

  void callAfter(duration Delay, std::function<void()> Action) {
    auto Timer = std::make_shared<asio::steady_timer>(Context);
    Timer->expires_after(
        std::chrono::duration_cast<asio::steady_timer::duration>(Delay));
    Timer->async_wait(
        [Timer, Action = std::move(Action)](asio::error_code) { Action(); });
  }

  std::array<char, ReadSize> ReadBuffer{};
  accept_hook OnAccept;
  asio::io_context Context{1};
  tcp::acceptor Acceptor;
  asio::steady_timer AcceptTimer;
};

event_loop::event_loop() : Implementation(std::make_unique<implementation>()) {}

event_loop::~event_loop() = default;

void event_loop::run() { Implementation->run(); }

void event_loop::stop() { Implementation->Context.stop(); }

void event_loop::post(std::function<void()> Action) {
  asio::post(Implementation->Context, std::move(Action));
}

void event_loop::callAfter(duration Delay, std::function<void()> Action) {
  Implementation->callAfter(Delay, std::move(Action));
}

std::uint16_t event_loop::listen(const std::string &Address, std::uint16_t Port,
                                 accept_hook OnAccept) {
  Implementation->OnAccept = std::move(OnAccept);
  return Implementation->listen(Address, Port);
}

void event_loop::stopListening() {
  asio::error_code Ignored;
  Implementation->Acceptor.close(Ignored);
  Implementation->AcceptTimer.cancel();
}

std::unique_ptr<tcp_socket>
event_loop::connect(const std::string &Address, std::uint16_t Port,
                    const connect_hook &OnConnected) {
  return Implementation->connect(Address, Port, OnConnected);
}
