#include "bw_peer/connections/peer_connection.h"

#include "bw_kernel/log/log_event.h"
#include "bw_peer/connections/hello.h"

#include <algorithm>

using namespace bw;

namespace {

// One write to the socket; larger ones delay urgent frames.
constexpr std::size_t WriteSize = 65'536;
// Two ticks for each ping bound the error of the silence limit to half a ping
// interval.
constexpr int TicksPerPing = 2;

std::string frameOf(frame_type Type, const std::string &Payload) {
  std::string Out;
  Out.reserve(FrameHeaderSize + Payload.size());
  appendFrame(Out, Type, Payload);
  return Out;
}

} // namespace

peer_connection::peer_connection(http2_role Role, const peer_options &Options,
                                 connection_hooks Hooks)
    : Role(Role), Options(Options), Hooks(std::move(Hooks)) {}

duration peer_connection::tickInterval(const peer_options &Options) {
  return Options.PingInterval / TicksPerPing;
}

void peer_connection::setSocket(std::unique_ptr<tcp_socket> Given) {
  Socket = std::move(Given);
}

void peer_connection::connected(const std::string &Fault) {
  if (!Fault.empty())
    return close(stream_close_reason::PeerGone, Fault);
  State = state::Hello;
  Socket->start({.OnBytes = [this](std::string_view Bytes) { received(Bytes); },
                 .OnWritten = [this] { written(); },
                 .OnBroken =
                     [this](const std::string &Detail) {
                       close(stream_close_reason::PeerGone, Detail);
                     }});
  if (Role == http2_role::Server)
    return;
  wire::Hello Hello;
  Hello.set_protocol(PeerProtocol);
  Hello.set_peer_key(Options.PeerKey);
  *Hello.mutable_from() = toWire(Options.Self);
  HelloOutput = encodeHello(Hello);
  flush();
}

template <typename Action> void peer_connection::guarded(Action Run) {
  try {
    Run();
  } catch (const peer_protocol_error &Fault) {
    malformed(Fault);
  }
}

void peer_connection::malformed(const peer_protocol_error &Fault) {
  if (State == state::Closed)
    return;
  logEvent(log_event::InputMalformed, {{"from", Peer.Host.value()},
                                       {"code", std::string(Fault.code())},
                                       {"detail", Fault.what()}});
  close(stream_close_reason::ProtocolError, Fault.what());
}

void peer_connection::received(std::string_view Bytes) {
  SilentTicks = 0;
  guarded([&] {
    if (State == state::Hello) {
      HelloInput.append(Bytes);
      takeHelloBytes();
    } else if (State == state::Ready) {
      Session->receive(Bytes);
    }
  });
  flush();
}

void peer_connection::written() {
  Writing = false;
  if (State == state::Refusing)
    return close(stream_close_reason::Refused, "hello refused");
  flush();
}

void peer_connection::takeHelloBytes() {
  if (Role == http2_role::Server)
    answerHello();
  else
    judgeReply();
  if (State != state::Ready || HelloInput.empty())
    return;
  const std::string Rest = std::exchange(HelloInput, std::string());
  Session->receive(Rest);
}

void peer_connection::answerHello() {
  const std::optional<wire::Hello> Hello = takeHello<wire::Hello>(HelloInput);
  if (!Hello)
    return;
  wire::HelloReply Reply;
  Reply.set_result(judgeHello(*Hello, Options.PeerKey));
  if (Reply.result() == wire::HelloReply::ACCEPTED) {
    *Reply.mutable_from() = toWire(Options.Self);
    Peer = fromWire(Hello->from());
    HelloOutput = encodeHello(Reply);
    return becomeReady();
  }
  logEvent(log_event::PeerRefused,
           {{"from", Hello->from().host()},
            {"reason", Reply.result() == wire::HelloReply::WRONG_KEY
                           ? "wrong_key"
                           : "wrong_protocol"}});
  HelloOutput = encodeHello(Reply);
  State = state::Refusing;
}

void peer_connection::judgeReply() {
  const std::optional<wire::HelloReply> Reply =
      takeHello<wire::HelloReply>(HelloInput);
  if (!Reply)
    return;
  Peer = fromWire(Reply->from());
  if (Reply->result() == wire::HelloReply::ACCEPTED)
    return becomeReady();
  const std::string Detail = Reply->result() == wire::HelloReply::WRONG_KEY
                                 ? "the peer key is wrong"
                                 : "the hello was refused";
  logEvent(log_event::PeerRefused, {{"reason", Detail}});
  close(stream_close_reason::Refused, Detail);
}

void peer_connection::becomeReady() {
  State = state::Ready;
  Session =
      std::make_unique<http2_session>(Role, Options.Limits, sessionHooks());
  for (const stream_pointer &Stream : std::exchange(Waiting, {}))
    submit(Stream);
}

http2_hooks peer_connection::sessionHooks() {
  return {
      .OnStream = [this](http2_stream_id Id) { incomingStream(Id); },
      .OnBody = [this](http2_stream_id Id,
                       std::string_view Bytes) { bodyArrived(Id, Bytes); },
      .OnBodyEnd = [this](http2_stream_id Id) { bodyEnded(Id); },
      .OnStreamClosed =
          [this](http2_stream_id Id, http2_close Reason) {
            streamClosed(Id, Reason);
          },
      .ReadBody = [this](http2_stream_id Id,
                         std::span<char> Room) { return readBody(Id, Room); }};
}

void peer_connection::open(const stream_pointer &Stream,
                           const wire::Head &Head) {
  Stream->Connection = this;
  const auto Refuse = [&](const std::string &Detail) {
    finish(Stream, {.Reason = stream_close_reason::Refused,
                    .NotDelivered = true,
                    .Peer = Peer,
                    .Detail = Detail});
  };
  if (Streams.size() + Waiting.size() >= Options.Limits.StreamsPerConnection)
    return Refuse("too many streams on the connection");
  if (Head.ByteSizeLong() > Options.Limits.HeadFrame.value())
    return Refuse("head over the size limit");
  Stream->Outgoing.push(frameOf(frame_type::Head, Head.SerializeAsString()));
  Stream->Outgoing.finish();
  if (State == state::Ready)
    guarded([&] { submit(Stream); });
  else
    Waiting.push_back(Stream);
}

bool peer_connection::isWanted(const stream_record &Stream) const {
  const daemon_id &Wanted = Stream.Wanted;
  return (Wanted.Host.empty() || Wanted.Host == Peer.Host) &&
         (Wanted.Incarnation.value() == 0 ||
          Wanted.Incarnation == Peer.Incarnation);
}

void peer_connection::submit(const stream_pointer &Stream) {
  if (!isWanted(*Stream))
    return finish(Stream, {.Reason = stream_close_reason::Refused,
                           .NotDelivered = true,
                           .Peer = Peer,
                           .Detail = "another daemon runs at that address"});
  stream_record &Record = *Stream;
  const auto HandHead = [&Record](wire::Head Head) {
    Record.Callbacks.OnHead(std::move(Head));
  };
  const auto HandData = [&Record](std::string_view Bytes) {
    Record.Callbacks.OnData(Bytes);
  };
  const auto HandEnd = [&Record](const wire::End &End) {
    Record.Callbacks.OnEnd(End);
  };
  Record.Reader = std::make_unique<frame_reader>(
      frame_direction::Answer, Options.Limits,
      frame_hooks{.OnHead = HandHead, .OnData = HandData, .OnEnd = HandEnd});
  Record.Http2Id = Session->openStream();
  Streams.emplace(Record.Http2Id, Stream);
}

void peer_connection::incomingStream(http2_stream_id Id) {
  auto Stream = std::make_shared<stream_record>();
  Stream->Connection = this;
  Stream->Http2Id = Id;
  Stream->Buffer =
      std::make_shared<stream_send_buffer>(Options.Limits.StreamWindow);
  const auto HandHead = [this, Raw = Stream.get()](wire::Head Head) {
    Hooks.OnIncoming(Streams.at(Raw->Http2Id), Peer, std::move(Head));
  };
  Stream->Reader = std::make_unique<frame_reader>(
      frame_direction::Request, Options.Limits,
      frame_hooks{.OnHead = HandHead, .OnData = {}, .OnEnd = {}});
  Streams.emplace(Id, std::move(Stream));
}

void peer_connection::bodyArrived(http2_stream_id Id, std::string_view Bytes) {
  const auto Found = Streams.find(Id);
  if (Found == Streams.end())
    return;
  const stream_pointer Stream = Found->second;
  frame_reader &Reader = *Stream->Reader;
  PendingHeadBytes -= Reader.pending();
  const std::size_t DataBytes = Reader.receive(Bytes);
  PendingHeadBytes += Reader.pending();
  if (PendingHeadBytes > Options.Limits.HeadsPerConnection.value())
    return resetUnseen(Id);
  // Only data waits for its consumer; messages were taken in here.
  Session->consumed(Id, byte_count(Bytes.size() - DataBytes));
}

void peer_connection::resetUnseen(http2_stream_id Id) {
  const stream_pointer Stream = Streams.at(Id);
  Session->resetStream(Id, http2_close::Refused);
  finish(Stream, closedInformation(*Stream, stream_close_reason::Refused,
                                   "too many unfinished heads"));
}

void peer_connection::bodyEnded(http2_stream_id Id) {
  const auto Found = Streams.find(Id);
  // A truncated answer ends its own stream alone; see `reasonOf`.
  if (Found != Streams.end() && Role == http2_role::Server)
    Found->second->Reader->finish();
}

void peer_connection::streamClosed(http2_stream_id Id, http2_close Reason) {
  const auto Found = Streams.find(Id);
  if (Found == Streams.end())
    return;
  const stream_pointer Stream = Found->second;
  const stream_close_reason Known = reasonOf(*Stream, Reason);
  stream_closed Closed = closedInformation(*Stream, Known, "");
  if (Known == stream_close_reason::ProtocolError)
    Closed.Detail = "answer without its end";
  if (Reason == http2_close::Refused)
    Closed.NotDelivered = true;
  finish(Stream, Closed);
}

stream_close_reason peer_connection::reasonOf(const stream_record &Stream,
                                              http2_close Reason) const {
  const bool Complete = Role == http2_role::Client ? Stream.Reader->isComplete()
                                                   : Stream.Outgoing.isDone();
  if (Complete)
    return stream_close_reason::Completed;
  switch (Reason) {
  case http2_close::Clean:
    return Role == http2_role::Client ? stream_close_reason::ProtocolError
                                      : stream_close_reason::Reset;
  case http2_close::Refused:
    return stream_close_reason::Refused;
  case http2_close::Cancelled:
  case http2_close::Faulty:
    return stream_close_reason::Reset;
  }
  return stream_close_reason::Reset;
}

http2_body_piece peer_connection::readBody(http2_stream_id Id,
                                           std::span<char> Room) {
  const auto Found = Streams.find(Id);
  if (Found == Streams.end())
    return {.Ended = true};
  const stream_pointer Stream = Found->second;
  const outgoing_queue::taken Taken = Stream->Outgoing.take(Room);
  stream_send_buffer &Buffer = *Stream->Buffer;
  const std::uint64_t Left =
      Buffer.Bytes.fetch_sub(Taken.DataBytes) - Taken.DataBytes;
  if (Left <= Buffer.Limit / 2 && Buffer.WasFull.exchange(false))
    Stream->Callbacks.OnWritable();
  const bool Ended = Stream->Outgoing.isDone();
  return {.Size = Taken.Size,
          .Deferred = Taken.Size == 0 && !Ended,
          .Ended = Ended};
}

void peer_connection::startAnswer(stream_record &Stream) {
  guarded([&] {
    if (Stream.AnswerStarted)
      return Session->resumeBody(Stream.Http2Id);
    Stream.AnswerStarted = true;
    Session->answerStream(Stream.Http2Id);
  });
}

void peer_connection::sendHead(stream_record &Stream, const wire::Head &Head) {
  if (Stream.Outgoing.isFinished())
    return;
  Stream.Outgoing.push(frameOf(frame_type::Head, Head.SerializeAsString()));
  startAnswer(Stream);
}

void peer_connection::sendData(stream_record &Stream, std::string_view Bytes) {
  if (Stream.Outgoing.isFinished())
    return;
  appendData(Stream, Bytes);
  startAnswer(Stream);
}

void peer_connection::appendData(stream_record &Stream,
                                 std::string_view Bytes) {
  while (!Bytes.empty()) {
    const std::string_view Part =
        Bytes.substr(0, Options.Limits.DataFrame.value());
    Stream.Outgoing.push(frameOf(frame_type::Data, std::string(Part)),
                         Part.size());
    Bytes.remove_prefix(Part.size());
  }
}

void peer_connection::sendEnd(stream_record &Stream, const wire::End &End) {
  if (Stream.Outgoing.isFinished())
    return;
  Stream.Outgoing.push(frameOf(frame_type::End, End.SerializeAsString()));
  Stream.Outgoing.finish();
  startAnswer(Stream);
}

void peer_connection::reset(const stream_pointer &Stream) {
  const stream_closed Closed =
      closedInformation(*Stream, stream_close_reason::Reset, "reset here");
  if (Stream->Http2Id != 0)
    guarded(
        [&] { Session->resetStream(Stream->Http2Id, http2_close::Cancelled); });
  else
    std::erase(Waiting, Stream);
  if (Stream->Connection != nullptr)
    finish(Stream, Closed);
}

void peer_connection::consumed(stream_record &Stream, byte_count Bytes) {
  if (Stream.Http2Id != 0)
    guarded([&] { Session->consumed(Stream.Http2Id, Bytes); });
}

void peer_connection::flush() {
  if (Writing || State == state::Closed || State == state::Connecting)
    return;
  std::string Output = std::exchange(HelloOutput, std::string());
  guarded([&] {
    if (State == state::Ready)
      Output += Session->takeOutput(WriteSize);
  });
  if (State == state::Closed)
    return;
  if (!Output.empty()) {
    Writing = true;
    return Socket->write(std::move(Output));
  }
  if (State == state::Ready && Session->isFinished())
    close(stream_close_reason::PeerGone, "the connection was ended");
}

void peer_connection::tick() {
  const duration Step = tickInterval(Options);
  if (State != state::Ready) {
    if (++ConnectTicks * Step >= Options.ConnectLimit)
      close(stream_close_reason::TimedOut, "no hello within the limit");
    return;
  }
  if (Streams.empty()) {
    SilentTicks = 0;
    // The side that opened the connection closes it first, so that a new
    // stream rarely meets a connection that is being closed.
    const int Patience = Role == http2_role::Client ? 1 : 2;
    if (++IdleTicks * Step >= Options.IdleLimit * Patience)
      close(stream_close_reason::PeerGone, "idle");
    return;
  }
  IdleTicks = 0;
  // Silence is counted in ticks and not in time: a process that was paused
  // first reads what has arrived meanwhile.
  if (++SilentTicks * Step >= Options.SilenceLimit) {
    logEvent(log_event::PeerConnectionSilent, {{"peer", Peer.Host.value()}});
    return close(stream_close_reason::TimedOut, "the connection is silent");
  }
  if (SilentTicks % TicksPerPing == 1)
    guarded([&] { Session->ping(); });
  flush();
}

void peer_connection::close(stream_close_reason Reason,
                            const std::string &Detail) {
  if (State == state::Closed)
    return;
  State = state::Closed;
  if (Socket)
    Socket->close();
  for (const stream_pointer &Stream : std::exchange(Waiting, {}))
    finish(Stream, closedInformation(*Stream, Reason, Detail));
  for (const auto &[Id, Stream] : std::exchange(Streams, {}))
    finish(Stream, closedInformation(*Stream, Reason, Detail));
  Hooks.OnClosed(*this, Reason);
}

stream_closed
peer_connection::closedInformation(const stream_record &Stream,
                                   stream_close_reason Reason,
                                   const std::string &Detail) const {
  // The other side acts on a head only when it has all of it, and the last
  // byte is still here.
  const bool NotDelivered =
      Role == http2_role::Client && !Stream.Outgoing.isDone();
  return {.Reason = Reason,
          .NotDelivered = NotDelivered,
          .Peer = Peer,
          .Detail = Detail};
}

void peer_connection::finish(const stream_pointer &Stream,
                             const stream_closed &Closed) {
  Streams.erase(Stream->Http2Id);
  Stream->Connection = nullptr;
  Stream->Buffer->Closed = true;
  if (Stream->Reader)
    PendingHeadBytes -= Stream->Reader->pending();
  if (Stream->Id.value() == 0)
    return;
  Hooks.OnStreamGone(Stream->Id);
  Stream->Callbacks.OnClosed(Closed);
}
