#include "bw_peer/service/peer_service.h"

#include "bw_peer/connections/event_loop.h"
#include "bw_peer/connections/peer_connection.h"
#include "bw_peer/streams/stream_commands.h"

#include <atomic>
#include <set>
#include <thread>
#include <unordered_map>

using namespace bw;

namespace {

// Commands handled before sockets and timers get their turn.
constexpr int CommandsInARow = 512;

using address_key = std::pair<std::string, std::uint16_t>;

struct connection_entry {
  std::unique_ptr<peer_connection> Connection;
  /// Set for connections that this side opened.
  std::optional<address_key> Address;
};

struct atomic_counters {
  std::atomic<std::uint64_t> Connections = 0;
  std::atomic<std::uint64_t> Opened = 0;
  std::atomic<std::uint64_t> Accepted = 0;
  std::atomic<std::uint64_t> Refused = 0;
  std::atomic<std::uint64_t> TimedOut = 0;
  std::atomic<std::uint64_t> StreamsOpened = 0;
  std::atomic<std::uint64_t> StreamsAccepted = 0;
};

} // namespace

class peer_service::implementation {
public:
  implementation(runtime_clock &Clock, peer_options Given)
      : Options(std::move(Given)),
        Commands(Clock, Options.CommandCapacity, Options.CommandLimit,
                 [this] { scheduleCommands(); }) {}

  void start();
  void stop();
  peer_stream open(peer_target Target, wire::Head Head,
                   stream_callbacks Callbacks);

  peer_options Options;
  std::uint16_t Port = 0;
  atomic_counters Counters;

private:
  void run();
  void scheduleCommands();
  void runCommands();
  void runCommand(stream_command Command);
  void runOpen(peer_stream_id Id, open_command Command);
  void shutDown();
  void abandonCommands();

  peer_connection &connectionTo(const peer_target &Target);
  peer_connection &add(http2_role Role, std::optional<address_key> Address);
  void accepted(std::unique_ptr<tcp_socket> Socket);
  connection_hooks makeHooks();
  void incoming(const stream_pointer &Stream, const daemon_id &From,
                wire::Head Head);
  void retire(peer_connection &Connection, stream_close_reason Reason);
  void scheduleTick();
  void tick();

  // Declared first, since sockets must be destroyed before their loop.
  event_loop Loop;
  stream_commands Commands;
  std::atomic<bool> CommandsScheduled = false;
  std::atomic<std::uint64_t> LastStream = 0;
  std::unordered_map<peer_stream_id, stream_pointer> Streams;
  std::map<peer_connection *, connection_entry> Connections;
  std::map<address_key, peer_connection *> ByAddress;
  // Connections whose own functions may still be on the stack.
  std::vector<std::unique_ptr<peer_connection>> Retired;
  std::set<peer_connection *> Unflushed;
  bool TickScheduled = false;
  bool Stopping = false;
  std::thread Thread;
};

void peer_service::implementation::start() {
  Port = Loop.listen(Options.ListenAddress, Options.ListenPort,
                     [this](std::unique_ptr<tcp_socket> Socket) {
                       accepted(std::move(Socket));
                     });
  Thread = std::thread([this] { run(); });
}

void peer_service::implementation::run() {
  Commands.enterPeerThread();
  Loop.run();
}

void peer_service::implementation::stop() {
  if (!Thread.joinable())
    return;
  Loop.post([this] { shutDown(); });
  Thread.join();
  abandonCommands();
}

void peer_service::implementation::shutDown() {
  Stopping = true;
  Commands.close();
  Loop.stopListening();
  runCommands();
  while (!Connections.empty())
    Connections.begin()->second.Connection->close(stream_close_reason::Stopped,
                                                  "the service is stopping");
  Loop.stop();
}

// A stream whose command came too late for the loop still gets its last call.
void peer_service::implementation::abandonCommands() {
  while (std::optional<stream_command> Command = Commands.take())
    if (auto *Open = std::get_if<open_command>(&Command->Action))
      Open->Callbacks.OnClosed({.Reason = stream_close_reason::Stopped,
                                .NotDelivered = true,
                                .Peer = {},
                                .Detail = "the service has stopped"});
}

peer_stream peer_service::implementation::open(peer_target Target,
                                               wire::Head Head,
                                               stream_callbacks Callbacks) {
  const peer_stream_id Id(++LastStream);
  auto Buffer =
      std::make_shared<stream_send_buffer>(Options.Limits.StreamWindow);
  const bool Taken =
      Commands.push({.Stream = Id,
                     .Action = open_command{.Target = std::move(Target),
                                            .Head = std::move(Head),
                                            .Callbacks = std::move(Callbacks),
                                            .Buffer = Buffer}});
  return Taken ? peer_stream(Id, Commands, std::move(Buffer)) : peer_stream();
}

// Posts into the loop once for any number of commands that wait.
void peer_service::implementation::scheduleCommands() {
  if (!CommandsScheduled.exchange(true))
    Loop.post([this] { runCommands(); });
}

void peer_service::implementation::runCommands() {
  CommandsScheduled = false;
  int Left = CommandsInARow;
  while (Stopping || Left-- > 0) {
    std::optional<stream_command> Command = Commands.take();
    if (!Command)
      break;
    runCommand(std::move(*Command));
  }
  for (peer_connection *Connection : std::exchange(Unflushed, {}))
    Connection->flush();
  if (Left <= 0)
    scheduleCommands();
}

void peer_service::implementation::runCommand(stream_command Command) {
  if (auto *Open = std::get_if<open_command>(&Command.Action))
    return runOpen(Command.Stream, std::move(*Open));
  const auto Found = Streams.find(Command.Stream);
  if (Found == Streams.end())
    return;
  const stream_pointer Stream = Found->second;
  peer_connection &Connection = *Stream->Connection;
  Unflushed.insert(&Connection);
  if (auto *Head = std::get_if<head_command>(&Command.Action))
    Connection.sendHead(*Stream, Head->Head);
  else if (auto *Data = std::get_if<data_command>(&Command.Action))
    Connection.sendData(*Stream, Data->Bytes);
  else if (auto *End = std::get_if<end_command>(&Command.Action))
    Connection.sendEnd(*Stream, End->End);
  else if (auto *Consumed = std::get_if<consumed_command>(&Command.Action))
    Connection.consumed(*Stream, Consumed->Bytes);
  else
    Connection.reset(Stream);
}

void peer_service::implementation::runOpen(peer_stream_id Id,
                                           open_command Command) {
  auto Stream = std::make_shared<stream_record>();
  Stream->Id = Id;
  Stream->Wanted = Command.Target.Daemon;
  Stream->Callbacks = std::move(Command.Callbacks);
  Stream->Buffer = std::move(Command.Buffer);
  Streams.emplace(Id, Stream);
  ++Counters.StreamsOpened;
  peer_connection &Connection = connectionTo(Command.Target);
  Unflushed.insert(&Connection);
  Connection.open(Stream, Command.Head);
}

peer_connection &
peer_service::implementation::connectionTo(const peer_target &Target) {
  const address_key Key(Target.Address, Target.Port);
  const auto Found = ByAddress.find(Key);
  if (Found != ByAddress.end())
    return *Found->second;
  peer_connection &Connection = add(http2_role::Client, Key);
  ByAddress.emplace(Key, &Connection);
  ++Counters.Opened;
  Connection.setSocket(Loop.connect(Target.Address, Target.Port,
                                    [&Connection](const std::string &Fault) {
                                      Connection.connected(Fault);
                                    }));
  return Connection;
}

peer_connection &
peer_service::implementation::add(http2_role Role,
                                  std::optional<address_key> Address) {
  auto Created = std::make_unique<peer_connection>(Role, Options, makeHooks());
  peer_connection &Connection = *Created;
  Connections.emplace(&Connection,
                      connection_entry{.Connection = std::move(Created),
                                       .Address = std::move(Address)});
  ++Counters.Connections;
  scheduleTick();
  return Connection;
}

void peer_service::implementation::accepted(
    std::unique_ptr<tcp_socket> Socket) {
  const std::size_t AcceptedNow = Connections.size() - ByAddress.size();
  if (Stopping || AcceptedNow >= Options.Limits.AcceptedConnections)
    return;
  ++Counters.Accepted;
  peer_connection &Connection = add(http2_role::Server, std::nullopt);
  Connection.setSocket(std::move(Socket));
  Connection.connected("");
}

connection_hooks peer_service::implementation::makeHooks() {
  return {
      .OnIncoming =
          [this](const stream_pointer &Stream, const daemon_id &From,
                 wire::Head Head) { incoming(Stream, From, std::move(Head)); },
      .OnStreamGone = [this](peer_stream_id Id) { Streams.erase(Id); },
      .OnClosed =
          [this](peer_connection &Connection, stream_close_reason Reason) {
            retire(Connection, Reason);
          }};
}

void peer_service::implementation::incoming(const stream_pointer &Stream,
                                            const daemon_id &From,
                                            wire::Head Head) {
  ++Counters.StreamsAccepted;
  Stream->Id = peer_stream_id(++LastStream);
  Streams.emplace(Stream->Id, Stream);
  Stream->Callbacks = Options.OnStream(
      {.Stream = peer_stream(Stream->Id, Commands, Stream->Buffer),
       .From = From,
       .Head = std::move(Head)});
}

void peer_service::implementation::retire(peer_connection &Connection,
                                          stream_close_reason Reason) {
  if (Reason == stream_close_reason::Refused ||
      Reason == stream_close_reason::ProtocolError)
    ++Counters.Refused;
  if (Reason == stream_close_reason::TimedOut)
    ++Counters.TimedOut;
  --Counters.Connections;
  const auto Found = Connections.find(&Connection);
  if (Found->second.Address)
    ByAddress.erase(*Found->second.Address);
  Unflushed.erase(&Connection);
  Retired.push_back(std::move(Found->second.Connection));
  Connections.erase(Found);
  Loop.post([this] { Retired.clear(); });
}

// The timer runs only while there are connections, so an idle service uses no
// processor time.
void peer_service::implementation::scheduleTick() {
  if (TickScheduled)
    return;
  TickScheduled = true;
  Loop.callAfter(peer_connection::tickInterval(Options), [this] { tick(); });
}

void peer_service::implementation::tick() {
  TickScheduled = false;
  std::vector<peer_connection *> Current;
  Current.reserve(Connections.size());
  for (const auto &[Connection, Entry] : Connections)
    Current.push_back(Connection);
  for (peer_connection *Connection : Current)
    Connection->tick();
  if (!Connections.empty())
    scheduleTick();
}

peer_service::peer_service(runtime_clock &Clock, peer_options Options)
    : service(std::string(ServiceName)),
      Implementation(
          std::make_unique<implementation>(Clock, std::move(Options))) {}

peer_service::~peer_service() { Implementation->stop(); }

void peer_service::setOnStream(stream_handler Handler) {
  Implementation->Options.OnStream = std::move(Handler);
}

void peer_service::attach(service_registry &) {}

void peer_service::start() { Implementation->start(); }

void peer_service::stop() { Implementation->stop(); }

peer_stream peer_service::open(peer_target Target, wire::Head Head,
                               stream_callbacks Callbacks) {
  return Implementation->open(std::move(Target), std::move(Head),
                              std::move(Callbacks));
}

std::uint16_t peer_service::port() const { return Implementation->Port; }

peer_counters peer_service::counters() const {
  const atomic_counters &Now = Implementation->Counters;
  return {.Connections = Now.Connections.load(),
          .Opened = Now.Opened.load(),
          .Accepted = Now.Accepted.load(),
          .Refused = Now.Refused.load(),
          .TimedOut = Now.TimedOut.load(),
          .StreamsOpened = Now.StreamsOpened.load(),
          .StreamsAccepted = Now.StreamsAccepted.load()};
}
