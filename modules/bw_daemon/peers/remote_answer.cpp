#include "bw_daemon/peers/remote_answer.h"

#include "bw_daemon/backend/backend_service.h"

#include <charconv>

using namespace bw;

namespace {

bool isSmall(const wire::AnswerHead &Head) {
  for (const wire::Header &Field : Head.headers()) {
    if (!equalsIgnoringCase(Field.name(), "Content-Length"))
      continue;
    std::uint64_t Length = 0;
    const std::string &Text = Field.value();
    const auto Parsed =
        std::from_chars(Text.data(), Text.data() + Text.size(), Length);
    return Parsed.ec == std::errc() &&
           Length <= backend_service::WholeAnswerLimit.value();
  }
  return false;
}

} // namespace

remote_answer::remote_answer(attempt_id GivenAttempt, decide_ring &Decide)
    : Attempt(std::move(GivenAttempt)), Decide(Decide) {}

stream_callbacks remote_answer::callbacks() {
  const auto Self = shared_from_this();
  const std::weak_ptr<remote_answer> Weak = Self;
  Relay = std::make_shared<answer_relay>(
      answer_relay_options{.Resume =
                               [Weak] {
                                 if (const auto Answer = Weak.lock())
                                   Answer->acknowledge();
                               },
                           .OnRelayed =
                               [this](byte_count Bytes) {
                                 Decide.push(answer_progress{Attempt, Bytes});
                               },
                           .OnPaused =
                               [this](bool IsPaused) {
                                 Decide.push(answer_paused{Attempt, IsPaused});
                               }});
  stream_callbacks Callbacks;
  Callbacks.OnHead = [Self](const wire::Head &Given) { Self->takeHead(Given); };
  Callbacks.OnData = [Self](std::string_view Part) { Self->takeData(Part); };
  Callbacks.OnEnd = [Self](const wire::End &End) { Self->takeEnd(End); };
  Callbacks.OnClosed = [Self](const stream_closed &Closed) {
    Self->takeClosed(Closed);
  };
  return Callbacks;
}

void remote_answer::setStream(const peer_stream &Opened) {
  {
    const std::lock_guard Guard(StreamMutex);
    Stream = Opened;
  }
  // Data can come before the opener has the stream's handle.
  acknowledge();
}

void remote_answer::reset() {
  const std::lock_guard Guard(StreamMutex);
  Stream.reset();
}

void remote_answer::takeHead(const wire::Head &Given) {
  if (!Given.has_answer_head())
    return;
  Head = Given.answer_head();
  IsWhole = isSmall(*Head);
  if (!IsWhole)
    Decide.push(remote_head{Attempt, *Head, Relay});
}

void remote_answer::takeData(std::string_view Part) {
  Unacknowledged += Part.size();
  if (IsWhole) {
    Body += Part;
    acknowledge();
    // An owner that sends more than it announced is not to be trusted.
    if (Body.size() > backend_service::WholeAnswerLimit.value())
      reset();
    return;
  }
  if (Relay->push(Part))
    acknowledge();
}

void remote_answer::acknowledge() {
  const std::lock_guard Guard(StreamMutex);
  if (Stream.id() == peer_stream_id())
    return;
  const std::uint64_t Bytes = Unacknowledged.exchange(0);
  if (Bytes > 0)
    Stream.consumed(byte_count(Bytes));
}

void remote_answer::takeEnd(const wire::End &End) {
  IsEnded = true;
  Decide.push(remote_ended{Attempt, End, Head, std::move(Body), IsWhole});
}

void remote_answer::takeClosed(const stream_closed &Closed) {
  if (!IsEnded)
    Decide.push(remote_lost{Attempt, Closed});
}
