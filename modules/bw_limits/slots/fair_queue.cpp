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
  Added.Index = storeRequest(std::move(Request));
  Waiting.push_back(Added);
  addToBucket(Added);
  DeadlineLowerBound = std::min(DeadlineLowerBound, Added.Deadline);
  return true;
}

// A bucket whose deficit does not cover its first request keeps the deficit for
// the next round. A bucket whose requests are all long while long ones are not
// allowed gains no deficit.
std::optional<slot_request> fair_queue::pop(bool LongAllowed) {
  std::size_t SkippedBuckets = 0;
  while (SkippedBuckets < ActiveBuckets.size()) {
    bucket &Current = ActiveBuckets[Cursor];
    const std::size_t First = firstOf(Current.Bucket, LongAllowed);
    if (First == Waiting.size()) {
      ++SkippedBuckets;
      advanceCursor();
      continue;
    }
    SkippedBuckets = 0;
    if (Current.Deficit >= Waiting[First].Cost) {
      Current.Deficit -= Waiting[First].Cost;
      return take(First);
    }
    Current.Deficit += Options.Quantum;
    advanceCursor();
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
  if (Now < DeadlineLowerBound)
    return Removed;
  for (std::size_t Position = 0; Position < Waiting.size();) {
    if (Waiting[Position].Deadline > Now)
      ++Position;
    else
      Removed.push_back(take(Position));
  }
  DeadlineLowerBound = earliestDeadline().value_or(time_point::max());
  return Removed;
}

std::vector<slot_request> fair_queue::removeAll() {
  std::vector<slot_request> Removed;
  Removed.reserve(Waiting.size());
  while (!Waiting.empty())
    Removed.push_back(take(0));
  return Removed;
}

// Every bucket gets one turn per round. If the bucket of the new request
// already holds `Own` requests, each other bucket gets at most `Own` + 1 turns
// before the new request is taken. Deficits and costs are not considered.
std::uint32_t fair_queue::requestsAhead(std::uint32_t Bucket,
                                        bool LongOnly) const {
  const auto CountIn = [&](const bucket &Other) {
    return LongOnly ? Other.LongCount : Other.Count;
  };
  std::uint32_t Own = 0;
  for (const bucket &Other : ActiveBuckets)
    if (Other.Bucket == Bucket)
      Own = CountIn(Other);
  std::uint32_t Ahead = Own;
  for (const bucket &Other : ActiveBuckets)
    if (Other.Bucket != Bucket)
      Ahead += std::min(CountIn(Other), Own + 1);
  return Ahead;
}

std::optional<time_point> fair_queue::earliestDeadline() const {
  std::optional<time_point> Earliest;
  for (const entry &Entry : Waiting)
    Earliest = Earliest ? std::min(*Earliest, Entry.Deadline) : Entry.Deadline;
  return Earliest;
}

// A new bucket is placed last in the current round and starts with one quantum.
void fair_queue::addToBucket(const entry &Added) {
  const auto Known = std::find_if(ActiveBuckets.begin(), ActiveBuckets.end(),
                                  [&](const bucket &Candidate) {
                                    return Candidate.Bucket == Added.Bucket;
                                  });
  const std::uint32_t LongCount = Added.Long ? 1 : 0;
  if (Known != ActiveBuckets.end()) {
    ++Known->Count;
    Known->LongCount += LongCount;
    return;
  }
  ActiveBuckets.insert(ActiveBuckets.begin() +
                           static_cast<std::ptrdiff_t>(Cursor),
                       {.Bucket = Added.Bucket,
                        .Count = 1,
                        .LongCount = LongCount,
                        .Deficit = Options.Quantum});
  if (ActiveBuckets.size() > 1)
    ++Cursor;
}

std::uint32_t fair_queue::countOf(std::uint32_t Bucket) const {
  for (const bucket &Candidate : ActiveBuckets)
    if (Candidate.Bucket == Bucket)
      return Candidate.Count;
  return 0;
}

bool fair_queue::displaceFor(std::uint32_t Bucket,
                             std::optional<attempt_id> &Displaced) {
  const auto Longest =
      std::max_element(ActiveBuckets.begin(), ActiveBuckets.end(),
                       [](const bucket &Left, const bucket &Right) {
                         return Left.Count < Right.Count;
                       });
  if (Longest == ActiveBuckets.end() || Longest->Count < countOf(Bucket) + 2)
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
  const auto Found =
      std::find_if(Waiting.begin(), Waiting.end(), [&](const entry &Entry) {
        return Entry.Key == Key && Requests[Entry.Index].Attempt == Attempt;
      });
  return static_cast<std::size_t>(Found - Waiting.begin());
}

std::uint32_t fair_queue::storeRequest(slot_request Request) {
  if (FreeIndices.empty()) {
    Requests.push_back(std::move(Request));
    return static_cast<std::uint32_t>(Requests.size() - 1);
  }
  const std::uint32_t Index = FreeIndices.back();
  FreeIndices.pop_back();
  Requests[Index] = std::move(Request);
  return Index;
}

slot_request fair_queue::take(std::size_t Position) {
  const entry Taken = Waiting[Position];
  Waiting.erase(Waiting.begin() + static_cast<std::ptrdiff_t>(Position));
  removeFromBucket(Taken);
  FreeIndices.push_back(Taken.Index);
  return std::move(Requests[Taken.Index]);
}

void fair_queue::removeFromBucket(const entry &Taken) {
  std::size_t Index = 0;
  while (ActiveBuckets[Index].Bucket != Taken.Bucket)
    ++Index;
  ActiveBuckets[Index].LongCount -= Taken.Long ? 1 : 0;
  if (--ActiveBuckets[Index].Count > 0)
    return;
  ActiveBuckets.erase(ActiveBuckets.begin() +
                      static_cast<std::ptrdiff_t>(Index));
  if (Index < Cursor)
    --Cursor;
  if (Cursor == ActiveBuckets.size())
    Cursor = 0;
}

void fair_queue::advanceCursor() {
  Cursor = (Cursor + 1) % ActiveBuckets.size();
}
