#include "bw_stand_ins/relay/fault_relay.h"

#include "bw_core/random/stable_hash.h"
#include "bw_stand_ins/relay/fault_schedule.h"
#include "bw_stand_ins/relay/relay_command.h"

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/read_until.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <array>
#include <deque>
#include <set>
#include <thread>

using namespace bw;
using asio::ip::tcp;

namespace {

// Bytes that a direction holds back before it stops reading.
constexpr std::size_t QueueLimit = 262'144;
constexpr std::size_t ReadSize = 16'384;
constexpr std::size_t CommandLimit = 1024;

struct relay_counters {
  std::uint64_t Accepted = 0;
  std::uint64_t Open = 0;
  std::uint64_t Cut = 0;
  std::uint64_t Up = 0;
  std::uint64_t Down = 0;
};

struct relay_state {
  relay_state(runtime_clock &Clock, relay_faults Faults)
      : Clock(Clock), Faults(Faults) {}

  runtime_clock &Clock;
  relay_faults Faults;
  relay_counters Counters;
  asio::io_context Context{1};
};

/// What passes next in one direction.
struct relay_item {
  enum class kind { Bytes, End, Cut };
  kind Kind = kind::Bytes;
  time_point Due;
  std::string Bytes;
};

class relay_connection;

/// One direction of one connection.
class relay_pipe {
public:
  relay_pipe(relay_connection &Owner, relay_state &State, tcp::socket &From,
             tcp::socket &To, relay_direction Direction, std::uint64_t Seed)
      : Owner(Owner), State(State), From(From), To(To), Direction(Direction),
        Schedule(Seed), Timer(State.Context) {}

  void read();
  void pump();
  /// Forgets what is held back and drops what comes.
  void dropAll();
  /// The source of this direction has broken: that passes like data does.
  void sourceBroken();
  bool isEnded() const { return Ended; }
  void cancel() { Timer.cancel(); }

private:
  const direction_faults &faults() const {
    return Direction == relay_direction::Up ? State.Faults.Up
                                            : State.Faults.Down;
  }
  void received(asio::error_code Code, std::size_t Size);
  void enqueue(std::string_view Bytes);
  void pass();
  void write(std::string Bytes);
  void waitUntil(time_point Due);

  relay_connection &Owner;
  relay_state &State;
  tcp::socket &From;
  tcp::socket &To;
  relay_direction Direction;
  fault_schedule Schedule;
  asio::steady_timer Timer;
  std::array<char, ReadSize> Buffer{};
  std::deque<relay_item> Queue;
  std::size_t QueuedBytes = 0;
  std::string Output;
  bool Reading = false;
  bool SourceEnded = false;
  bool Writing = false;
  bool Dropping = false;
  bool Ended = false;
};

class relay_connection : public std::enable_shared_from_this<relay_connection> {
public:
  relay_connection(relay_state &State, std::uint64_t Seed)
      : State(State), Near(State.Context), Far(State.Context),
        Up(*this, State, Near, Far, relay_direction::Up, mixHash(Seed, 1)),
        Down(*this, State, Far, Near, relay_direction::Down, mixHash(Seed, 2)) {
  }

  void start(const tcp::endpoint &Target) {
    Far.async_connect(Target,
                      [Self = shared_from_this()](asio::error_code Code) {
                        if (Code)
                          return Self->cut();
                        Self->connected();
                      });
  }

  void pump() {
    Up.pump();
    Down.pump();
  }

  void halfOpen() {
    Up.dropAll();
    Down.dropAll();
  }

  /// Resets both sides.
  void cut() {
    if (!Open)
      return;
    ++State.Counters.Cut;
    asio::error_code Ignored;
    Near.set_option(tcp::socket::linger(true, 0), Ignored);
    Far.set_option(tcp::socket::linger(true, 0), Ignored);
    close();
  }

  void close() {
    if (!Open)
      return;
    Open = false;
    asio::error_code Ignored;
    Near.close(Ignored);
    Far.close(Ignored);
    Up.cancel();
    Down.cancel();
    --State.Counters.Open;
  }

  void directionEnded() {
    if (Up.isEnded() && Down.isEnded())
      close();
  }

  void targetBroken(relay_direction Direction) {
    if (Direction == relay_direction::Up)
      Down.sourceBroken();
    else
      Up.sourceBroken();
  }

  bool isOpen() const { return Open; }
  tcp::socket &nearSocket() { return Near; }

private:
  void connected() {
    asio::error_code Ignored;
    Near.set_option(tcp::no_delay(true), Ignored);
    Far.set_option(tcp::no_delay(true), Ignored);
    Up.read();
    Down.read();
  }

  relay_state &State;
  tcp::socket Near;
  tcp::socket Far;
  relay_pipe Up;
  relay_pipe Down;
  bool Open = true;
};

void relay_pipe::read() {
  if (Reading || SourceEnded || QueuedBytes >= QueueLimit || !Owner.isOpen())
    return;
  Reading = true;
  From.async_read_some(asio::buffer(Buffer),
                       [this, Keep = Owner.shared_from_this()](
                           asio::error_code Code, std::size_t Size) {
                         Reading = false;
                         if (Owner.isOpen())
                           received(Code, Size);
                       });
}

void relay_pipe::received(asio::error_code Code, std::size_t Size) {
  if (Code && Code != asio::error::eof)
    return sourceBroken();
  if (Code) {
    SourceEnded = true;
    if (!Dropping)
      Queue.push_back({.Kind = relay_item::kind::End,
                       .Due = Schedule.endDue(faults(), State.Clock.now())});
  } else if (!Dropping) {
    enqueue({Buffer.data(), Size});
  }
  pump();
  read();
}

void relay_pipe::sourceBroken() {
  if (SourceEnded && Queue.empty() && Ended)
    return Owner.cut();
  SourceEnded = true;
  if (Dropping)
    return;
  Queue.push_back({.Kind = relay_item::kind::Cut,
                   .Due = Schedule.endDue(faults(), State.Clock.now())});
  pump();
}

void relay_pipe::enqueue(std::string_view Bytes) {
  while (!Bytes.empty()) {
    const std::string_view Piece =
        Bytes.substr(0, fault_schedule::pieceLimit(faults()));
    const fault_schedule::verdict Verdict =
        Schedule.judge(faults(), State.Clock.now(), Piece.size());
    QueuedBytes += Verdict.Pass;
    Queue.push_back({.Kind = relay_item::kind::Bytes,
                     .Due = Verdict.Due,
                     .Bytes = std::string(Piece.substr(0, Verdict.Pass))});
    if (Verdict.Cut) {
      SourceEnded = true;
      return Queue.push_back(
          {.Kind = relay_item::kind::Cut, .Due = Verdict.Due, .Bytes = {}});
    }
    Bytes.remove_prefix(Piece.size());
  }
}

void relay_pipe::pump() {
  if (Writing || Queue.empty() || faults().Silent || !Owner.isOpen())
    return;
  const time_point Due = Queue.front().Due;
  if (Due > State.Clock.now())
    return waitUntil(Due);
  pass();
}

void relay_pipe::waitUntil(time_point Due) {
  Timer.expires_after(std::chrono::duration_cast<asio::steady_timer::duration>(
      Due - State.Clock.now()));
  Timer.async_wait(
      [this, Keep = Owner.shared_from_this()](asio::error_code Code) {
        if (!Code)
          pump();
      });
}

void relay_pipe::pass() {
  relay_item Item = std::move(Queue.front());
  Queue.pop_front();
  QueuedBytes -= Item.Bytes.size();
  switch (Item.Kind) {
  case relay_item::kind::Cut:
    return Owner.cut();
  case relay_item::kind::End: {
    asio::error_code Ignored;
    To.shutdown(tcp::socket::shutdown_send, Ignored);
    Ended = true;
    return Owner.directionEnded();
  }
  case relay_item::kind::Bytes:
    return write(std::move(Item.Bytes));
  }
}

void relay_pipe::write(std::string Bytes) {
  Writing = true;
  Output = std::move(Bytes);
  asio::async_write(To, asio::buffer(Output),
                    [this, Keep = Owner.shared_from_this()](
                        asio::error_code Code, std::size_t Size) {
                      Writing = false;
                      if (!Owner.isOpen())
                        return;
                      if (Code)
                        return Owner.targetBroken(Direction);
                      (Direction == relay_direction::Up
                           ? State.Counters.Up
                           : State.Counters.Down) += Size;
                      pump();
                      read();
                    });
}

void relay_pipe::dropAll() {
  Dropping = true;
  Queue.clear();
  QueuedBytes = 0;
  read();
}

/// One connection to the control port.
class control_connection
    : public std::enable_shared_from_this<control_connection> {
public:
  control_connection(tcp::socket Socket,
                     std::function<std::string(std::string_view)> Run)
      : Socket(std::move(Socket)), Run(std::move(Run)) {}

  void read() {
    asio::async_read_until(
        Socket, asio::dynamic_buffer(Input, CommandLimit), '\n',
        [Self = shared_from_this()](asio::error_code Code, std::size_t Size) {
          if (!Code)
            Self->answer(Size);
        });
  }

private:
  void answer(std::size_t Size) {
    Output = Run(std::string_view(Input).substr(0, Size - 1)) + "\n";
    Input.erase(0, Size);
    asio::async_write(
        Socket, asio::buffer(Output),
        [Self = shared_from_this()](asio::error_code Code, std::size_t) {
          if (!Code)
            Self->read();
        });
  }

  tcp::socket Socket;
  std::function<std::string(std::string_view)> Run;
  std::string Input;
  std::string Output;
};

void listenOn(tcp::acceptor &Acceptor, const std::string &Address,
              std::uint16_t Port) {
  try {
    const tcp::endpoint Endpoint(asio::ip::make_address(Address), Port);
    Acceptor.open(Endpoint.protocol());
    Acceptor.set_option(tcp::acceptor::reuse_address(true));
    Acceptor.bind(Endpoint);
    Acceptor.listen();
  } catch (const asio::system_error &Fault) {
    throw relay_listen_error("cannot listen on " + Address + ":" +
                             std::to_string(Port) + ": " + Fault.what());
  }
}

} // namespace

class fault_relay::implementation {
public:
  implementation(runtime_clock &Clock, relay_options Given)
      : Options(std::move(Given)), State(Clock, Options.Faults),
        Acceptor(State.Context), Control(State.Context) {}

  void start() {
    listenOn(Acceptor, Options.ListenAddress, Options.ListenPort);
    listenOn(Control, "127.0.0.1", Options.ControlPort);
    Port = Acceptor.local_endpoint().port();
    ControlPort = Control.local_endpoint().port();
    accept();
    acceptControl();
    Thread = std::thread([this] { State.Context.run(); });
  }

  void stop() {
    State.Context.stop();
    if (Thread.joinable())
      Thread.join();
  }

  void apply(std::string Line) {
    asio::post(State.Context,
               [this, Line = std::move(Line)] { runCommand(Line); });
  }

  std::uint16_t Port = 0;
  std::uint16_t ControlPort = 0;

private:
  void accept() {
    const std::uint64_t Seed = mixHash(Options.Seed, ++State.Counters.Accepted);
    auto Connection = std::make_shared<relay_connection>(State, Seed);
    Acceptor.async_accept(Connection->nearSocket(),
                          [this, Connection](asio::error_code Code) {
                            if (Code == asio::error::operation_aborted)
                              return;
                            if (!Code)
                              begin(Connection);
                            accept();
                          });
  }

  void begin(const std::shared_ptr<relay_connection> &Connection) {
    std::erase_if(Connections,
                  [](const auto &Known) { return !Known->isOpen(); });
    Connections.push_back(Connection);
    ++State.Counters.Open;
    Connection->start(
        {asio::ip::make_address(Options.ConnectAddress), Options.ConnectPort});
  }

  void acceptControl() {
    Control.async_accept([this](asio::error_code Code, tcp::socket Socket) {
      if (Code)
        return;
      std::make_shared<control_connection>(
          std::move(Socket),
          [this](std::string_view Line) { return runCommand(Line); })
          ->read();
      acceptControl();
    });
  }

  std::string runCommand(std::string_view Line) {
    try {
      return run(applyRelayCommand(Line, State.Faults));
    } catch (const relay_command_error &Fault) {
      return std::string("error ") + Fault.what();
    }
  }

  std::string run(relay_action Action) {
    if (Action == relay_action::Status)
      return status();
    const auto Current = Connections;
    for (const auto &Connection : Current) {
      if (Action == relay_action::HalfOpen)
        Connection->halfOpen();
      else if (Action == relay_action::Cut)
        Connection->cut();
      else
        Connection->pump();
    }
    return "ok";
  }

  std::string status() const {
    const relay_counters &Now = State.Counters;
    // One connection is always prepared for the next accept.
    return "accepted=" + std::to_string(Now.Accepted - 1) +
           " open=" + std::to_string(Now.Open) +
           " cut=" + std::to_string(Now.Cut) + " up=" + std::to_string(Now.Up) +
           " down=" + std::to_string(Now.Down);
  }

  relay_options Options;
  // Declared before all sockets, which must be destroyed before it.
  relay_state State;
  tcp::acceptor Acceptor;
  tcp::acceptor Control;
  std::vector<std::shared_ptr<relay_connection>> Connections;
  std::thread Thread;
};

fault_relay::fault_relay(runtime_clock &Clock, relay_options Options)
    : Implementation(
          std::make_unique<implementation>(Clock, std::move(Options))) {}

fault_relay::~fault_relay() { Implementation->stop(); }

void fault_relay::start() { Implementation->start(); }

void fault_relay::stop() { Implementation->stop(); }

void fault_relay::apply(std::string Line) {
  Implementation->apply(std::move(Line));
}

std::uint16_t fault_relay::port() const { return Implementation->Port; }

std::uint16_t fault_relay::controlPort() const {
  return Implementation->ControlPort;
}
