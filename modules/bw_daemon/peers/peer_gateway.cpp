#include "bw_daemon/peers/peer_gateway.h"

#include "bw_daemon/peers/wire_conversion.h"

#include <mutex>
#include <utility>

using namespace bw;

namespace {

// Collects the one head that answers a question.
struct pending_question {
  daemon_id Asked;
  wire::Head Question;
  std::optional<wire::Head> Answer;
};

// Collects the whole answer of a relayed submission.
struct pending_relay {
  request_id Request;
  std::mutex Mutex;
  peer_stream Stream;
  std::uint64_t Unacknowledged = 0;
  std::optional<wire::AnswerHead> Head;
  std::string Body;
  bool IsComplete = false;

  // Data can come before the opener has the stream's handle.
  void acknowledge(std::size_t More) {
    const std::lock_guard Guard(Mutex);
    Unacknowledged += More;
    if (Stream.id() == peer_stream_id() || Unacknowledged == 0)
      return;
    Stream.consumed(byte_count(std::exchange(Unacknowledged, 0)));
  }
  void setStream(const peer_stream &Opened) {
    {
      const std::lock_guard Guard(Mutex);
      Stream = Opened;
    }
    acknowledge(0);
  }
};

} // namespace

peer_gateway::peer_gateway(peer_service &Peers, decide_ring &Decide)
    : Peers(Peers), Decide(Decide) {}

void peer_gateway::setEndpoint(const host_id &Host, host_endpoint Endpoint) {
  Endpoints[Host] = std::move(Endpoint);
}

std::vector<host_id> peer_gateway::knownHosts() const {
  std::vector<host_id> Result;
  Result.reserve(Endpoints.size());
  for (const auto &[Host, Endpoint] : Endpoints)
    Result.push_back(Host);
  return Result;
}

peer_target peer_gateway::targetFor(const daemon_id &Daemon) const {
  peer_target Target;
  Target.Daemon = Daemon;
  const auto Found = Endpoints.find(Daemon.Host);
  if (Found != Endpoints.end()) {
    Target.Address = Found->second.Address;
    Target.Port = Found->second.Port;
  }
  return Target;
}

void peer_gateway::forward(const forward_attempt &Forward,
                           const outgoing_request &Request) {
  const attempt_id &Attempt = Forward.Forward.Offer.Attempt;
  auto Answer = std::make_shared<remote_answer>(Attempt, Decide);
  wire::Head Head;
  *Head.mutable_forward() = toWire(Forward, Request);
  Open[Attempt] = Answer;
  const peer_stream Stream = Peers.open(targetFor(Forward.Forward.To.Owner),
                                        std::move(Head), Answer->callbacks());
  Answer->setStream(Stream);
  if (Stream.id() == peer_stream_id())
    Decide.push(remote_lost{Attempt, {.NotDelivered = true}});
}

void peer_gateway::cancel(const attempt_id &Attempt) {
  const auto Node = Open.extract(Attempt);
  if (!Node.empty())
    Node.mapped()->reset();
}

void peer_gateway::ask(const daemon_id &To, wire::Head Question) {
  auto Pending = std::make_shared<pending_question>();
  Pending->Asked = To;
  Pending->Question = Question;
  stream_callbacks Callbacks;
  Callbacks.OnHead = [Pending](wire::Head Answer) {
    Pending->Answer = std::move(Answer);
  };
  Callbacks.OnClosed = [this, Pending](const stream_closed &Closed) {
    Decide.push(peer_answered{Pending->Asked, std::move(Pending->Question),
                              std::move(Pending->Answer), Closed});
  };
  Peers.open(targetFor(To), std::move(Question), std::move(Callbacks));
}

void peer_gateway::relay(const relay_order &Order, time_point Now) {
  auto Pending = std::make_shared<pending_relay>();
  Pending->Request = Order.Id;
  stream_callbacks Callbacks;
  Callbacks.OnHead = [Pending](const wire::Head &Answer) {
    if (Answer.has_answer_head())
      Pending->Head = Answer.answer_head();
  };
  // Answers to submissions are collected whole; they are small.
  Callbacks.OnData = [Pending](std::string_view Part) {
    Pending->Body += Part;
    Pending->acknowledge(Part.size());
  };
  Callbacks.OnEnd = [Pending](const wire::End &End) {
    Pending->IsComplete = End.outcome() == wire::End::COMPLETE;
  };
  Callbacks.OnClosed = [this, Pending](const stream_closed &Closed) {
    Decide.push(relay_ended{Pending->Request, std::move(Pending->Head),
                            std::move(Pending->Body), Pending->IsComplete,
                            Closed.NotDelivered});
  };
  wire::Head Head;
  *Head.mutable_relay() = toWire(Order, Now);
  const peer_stream Stream = Peers.open(targetFor(Order.Executor),
                                        std::move(Head), std::move(Callbacks));
  Pending->setStream(Stream);
  if (Stream.id() == peer_stream_id())
    Decide.push(relay_ended{Order.Id, std::nullopt, {}, false, true});
}
