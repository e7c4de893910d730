#ifndef BW_LIMITS_SLOTS_FAIR_QUEUE_H
#define BW_LIMITS_SLOTS_FAIR_QUEUE_H

#include "bw_limits/slots/slot_request.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace bw {

struct fair_queue_options {
  /// Maximum number of waiting requests.
  std::uint32_t Capacity = 64;
  /// Number of buckets that callers are hashed into. Only buckets with waiting
  /// requests use memory.
  std::uint32_t Buckets = 1024;
  /// Must differ between instances, so that callers whose hashes collide at one
  /// instance do not collide at all of them.
  std::uint64_t Salt = 0;
  /// Deficit added to a caller's bucket in each round.
  float Quantum = 1;
  /// Returns the deficit that a request uses, which must be above 0. By default
  /// a long request costs as much as four short ones.
  std::function<float(const slot_request &)> Cost =
      [](const slot_request &Request) { return Request.Long ? 4.0F : 1.0F; };
};

/// Queue of one instance that selects requests by deficit round robin over
/// hashed caller buckets. Requests of a bucket are taken in order of arrival.
/// Memory is bounded by the capacity, regardless of the number of callers.
class fair_queue {
public:
  explicit fair_queue(fair_queue_options Options);

  std::uint32_t bucketOf(const caller_id &Caller) const;

  /// Adds a request; `Bucket` is that of its caller. When the queue is full,
  /// the newest request of the bucket with the most waiting requests is
  /// displaced, provided that this bucket has at least two more than that of
  /// the new request. Returns false if the new request was not added.
  bool push(slot_request Request, std::uint32_t Bucket,
            std::optional<attempt_id> &Displaced);

  /// Takes the next request in round-robin order; only a short one if
  /// `LongAllowed` is false.
  std::optional<slot_request> pop(bool LongAllowed);

  bool remove(const attempt_id &Attempt);
  bool contains(const attempt_id &Attempt) const;

  /// Removes and returns all requests whose deadline is not after the given
  /// time.
  std::vector<slot_request> removeExpired(time_point Now);
  std::vector<slot_request> removeAll();

  /// Estimate of the number of waiting requests that are taken before a new
  /// one of this bucket; counts only long ones if `LongOnly` is set.
  std::uint32_t requestsAhead(std::uint32_t Bucket, bool LongOnly) const;

  std::optional<time_point> earliestDeadline() const;
  std::size_t size() const { return Waiting.size(); }

private:
  /// The fields of a waiting request that scheduling reads. The request itself
  /// stays at `Index` in `Requests`.
  struct entry {
    /// Distinguishes most attempts without a comparison of their names.
    std::uint64_t Key = 0;
    time_point Deadline;
    float Cost = 1;
    std::uint32_t Index = 0;
    std::uint32_t Bucket = 0;
    bool Long = false;
  };
  struct bucket {
    std::uint32_t Bucket = 0;
    std::uint32_t Count = 0;
    std::uint32_t LongCount = 0;
    float Deficit = 0;
  };

  void addToBucket(const entry &Added);
  void removeFromBucket(const entry &Taken);
  std::uint32_t countOf(std::uint32_t Bucket) const;
  bool displaceFor(std::uint32_t Bucket, std::optional<attempt_id> &Displaced);
  std::size_t firstOf(std::uint32_t Bucket, bool LongAllowed) const;
  std::size_t positionOf(const attempt_id &Attempt) const;
  std::uint32_t storeRequest(slot_request Request);
  slot_request take(std::size_t Position);
  void advanceCursor();

  fair_queue_options Options;
  /// In order of arrival.
  std::vector<entry> Waiting;
  std::vector<slot_request> Requests;
  std::vector<std::uint32_t> FreeIndices;
  /// Lower bound of the deadlines of waiting requests.
  time_point DeadlineLowerBound = time_point::max();
  /// Buckets with waiting requests, in round-robin order.
  std::vector<bucket> ActiveBuckets;
  std::size_t Cursor = 0;
};

} // namespace bw

#endif
