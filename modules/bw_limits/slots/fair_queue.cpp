#include "bw_limits/slots/fair_queue.h"

#include "bw_core/random/stable_hash.h"

#include <algorithm>
#include <cassert>

using namespace bw;

namespace {

std::uint64_t keyOf(const attempt_id &Attempt) {
  return Attempt.Request.Sequence.value() ^
         (Attempt.Request.Entry.Incarnation.value() << 8) ^
         (Attempt.Attempt.value() << 56);
}

} // namespace

fair_queue::fair_queue(fair_queue_options Options)
    : Options(std::move(Options)) {
  assert(this->Options.Buckets > 0);
  assert(this->Options.Quantum > 0);
}

std::uint32_t fair_queue::bucketOf(const caller_id &Caller) const {
  const std::uint64_t Hash = mixHash(Options.Salt, stableHash(Caller.value()));
  return static_cast<std::uint32_t>(Hash % Options.Buckets);
}

bool fair_queue::push(slot_request Request, std::uint32_t Bucket,
                      std::optional<attempt_id> &Displaced) {
  const bool Full = Waiting.size() >= Options.Capacity;
  if (Full && !displaceFor(Bucket, Displaced))
    return false;
  entry Added{.Key = keyOf(Request.Attempt),
              .Deadline = Request.Deadline,
              .Cost = Options.Cost(Request),
              .Bucket = Bucket,
              .Long = Request.Long};
  assert(Added.Cost > 0);
  Added.Place = store(std::move(Request));
  Waiting.push_back(Added);
  addToBucket(Added);
  NothingExpiresBefore = std::min(NothingExpiresBefore, Added.Deadline);
  return true;
}

// A bucket whose deficit does not cover its first request keeps the deficit for
// the next round. A bucket whose requests are all long while long ones are not
// allowed gains no deficit.
std::optional<slot_request> fair_queue::pop(bool LongAllowed) {
  std::size_t HeldBack = 0;
  while (HeldBack < Round.size()) {
    bucket &Current = Round[Cursor];
    const std::size_t First = firstOf(Current.Bucket, LongAllowed);
    if (First == Waiting.size()) {
      ++HeldBack;
      advance();
      continue;
    }
    HeldBack = 0;
    if (Current.Deficit >= Waiting[First].Cost) {
      Current.Deficit -= Waiting[First].Cost;
      return take(First);
    }
    Current.Deficit += Options.Quantum;
    advance();
  }
  return std::nullopt;
}

bool fair_queue::remove(const attempt_id &Attempt) {
  const std::size_t Position = positionOf(Attempt);
  if (Position == Waiting.size())
    return false;
  take(Position);
  return true;
}

bool fair_queue::contains(const attempt_id &Attempt) const {
  return positionOf(Attempt) < Waiting.size();
}

std::vector<slot_request> fair_queue::removeExpired(time_point Now) {
  std::vector<slot_request> Removed;
  if (Now < NothingExpiresBefore)
    return Removed;
  for (std::size_t Position = 0; Position < Waiting.size();) {
    if (Waiting[Position].Deadline > Now)
      ++Position;
    else
      Removed.push_back(take(Position));
  }
  NothingExpiresBefore = earliestDeadline().value_or(time_point::max());
  return Removed;
}

std::vector<slot_request> fair_queue::removeAll() {
  std::vector<slot_request> Removed;
  Removed.reserve(Waiting.size());
  while (!Waiting.empty())
    Removed.push_back(take(0));
  return Removed;
}

// Every bucket gets one turn per round. Before the new request is taken,
// another bucket therefore gets at most one turn more than there are requests
// ahead of it in its own bucket.
std::uint32_t fair_queue::rankOfNew(std::uint32_t Bucket, bool LongOnly) const {
  const auto CountIn = [&](const bucket &Other) {
    return LongOnly ? Other.LongCount : Other.Count;
  };
  std::uint32_t Own = 0;
  for (const bucket &Other : Round)
    if (Other.Bucket == Bucket)
      Own = CountIn(Other);
  std::uint32_t Rank = Own;
  for (const bucket &Other : Round)
    if (Other.Bucket != Bucket)
      Rank += std::min(CountIn(Other), Own + 1);
  return Rank;
}

std::optional<time_point> fair_queue::earliestDeadline() const {
  std::optional<time_point> Earliest;
  for (const entry &Entry : Waiting)
    Earliest = Earliest ? std::min(*Earliest, Entry.Deadline) : Entry.Deadline;
  return Earliest;
}

// A new bucket is placed last in the current round and starts with one quantum.
void fair_queue::addToBucket(const entry &Added) {
  const auto Known =
      std::find_if(Round.begin(), Round.end(), [&](const bucket &Candidate) {
        return Candidate.Bucket == Added.Bucket;
      });
  const std::uint32_t LongCount = Added.Long ? 1 : 0;
  if (Known != Round.end()) {
    ++Known->Count;
    Known->LongCount += LongCount;
    return;
  }
  Round.insert(Round.begin() + static_cast<std::ptrdiff_t>(Cursor),
               {.Bucket = Added.Bucket,
                .Count = 1,
                .LongCount = LongCount,
                .Deficit = Options.Quantum});
  if (Round.size() > 1)
    ++Cursor;
}

std::uint32_t fair_queue::countOf(std::uint32_t Bucket) const {
  for (const bucket &Candidate : Round)
    if (Candidate.Bucket == Bucket)
      return Candidate.Count;
  return 0;
}

bool fair_queue::displaceFor(std::uint32_t Bucket,
                             std::optional<attempt_id> &Displaced) {
  const auto Longest = std::max_element(
      Round.begin(), Round.end(), [](const bucket &Left, const bucket &Right) {
        return Left.Count < Right.Count;
      });
  if (Longest == Round.end() || Longest->Count < countOf(Bucket) + 2)
    return false;
  std::size_t Newest = Waiting.size() - 1;
  while (Waiting[Newest].Bucket != Longest->Bucket)
    --Newest;
  Displaced = take(Newest).Attempt;
  return true;
}

std::size_t fair_queue::firstOf(std::uint32_t Bucket, bool LongAllowed) const {
  std::size_t Position = 0;
  while (Position < Waiting.size() &&
         (Waiting[Position].Bucket != Bucket ||
          (Waiting[Position].Long && !LongAllowed)))
    ++Position;
  return Position;
}

std::size_t fair_queue::positionOf(const attempt_id &Attempt) const {
  const std::uint64_t Key = keyOf(Attempt);
  const auto Place =
      std::find_if(Waiting.begin(), Waiting.end(), [&](const entry &Entry) {
        return Entry.Key == Key && Requests[Entry.Place].Attempt == Attempt;
      });
  return static_cast<std::size_t>(Place - Waiting.begin());
}

std::uint32_t fair_queue::store(slot_request Request) {
  if (FreePlaces.empty()) {
    Requests.push_back(std::move(Request));
    return static_cast<std::uint32_t>(Requests.size() - 1);
  }
  const std::uint32_t Place = FreePlaces.back();
  FreePlaces.pop_back();
  Requests[Place] = std::move(Request);
  return Place;
}

slot_request fair_queue::take(std::size_t Position) {
  const entry Taken = Waiting[Position];
  Waiting.erase(Waiting.begin() + static_cast<std::ptrdiff_t>(Position));
  dropFromBucket(Taken);
  FreePlaces.push_back(Taken.Place);
  return std::move(Requests[Taken.Place]);
}

void fair_queue::dropFromBucket(const entry &Taken) {
  std::size_t Place = 0;
  while (Round[Place].Bucket != Taken.Bucket)
    ++Place;
  Round[Place].LongCount -= Taken.Long ? 1 : 0;
  if (--Round[Place].Count > 0)
    return;
  Round.erase(Round.begin() + static_cast<std::ptrdiff_t>(Place));
  if (Place < Cursor)
    --Cursor;
  if (Cursor == Round.size())
    Cursor = 0;
}

void fair_queue::advance() { Cursor = (Cursor + 1) % Round.size(); }
