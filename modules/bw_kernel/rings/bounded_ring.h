#ifndef BW_KERNEL_RINGS_BOUNDED_RING_H
#define BW_KERNEL_RINGS_BOUNDED_RING_H

#include "bw_kernel/clock/runtime_clock.h"

#include <boost/lockfree/queue.hpp>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>

namespace bw {

/// What a full ring does with a new item.
enum class overflow_policy {
  Refuse,     ///< `push` returns false; the item is dropped.
  DropOldest, ///< The oldest item makes room.
  Block,      ///< `push` waits up to the limit, then returns false.
};

struct ring_options {
  /// Number of items; at most 65,534, a limit of the storage.
  std::size_t Capacity = 1024;
  overflow_policy Overflow = overflow_policy::Refuse;
  /// How long `push` may wait under `overflow_policy::Block`.
  duration BlockLimit = std::chrono::seconds(1);
  /// Called after a push, from the pushing thread, for consumers that wait in
  /// an event loop and not in `pop`.
  std::function<void()> OnReady = [] {};
};

struct ring_counters {
  std::uint64_t Pushed = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Dropped = 0;
};

/// Bounded queue between threads, for any number of producers and consumers.
/// A waiting thread blocks on a condition variable. Items still inside are
/// destroyed with the ring.
template <typename Item> class bounded_ring {
public:
  bounded_ring(runtime_clock &Clock, ring_options Options)
      : Clock(Clock), Options(std::move(Options)),
        Storage(this->Options.Capacity) {}
  ~bounded_ring() {
    for (Item *Left = nullptr; Storage.pop(Left);)
      delete Left;
  }
  bounded_ring(const bounded_ring &) = delete;
  bounded_ring &operator=(const bounded_ring &) = delete;

  /// Replaces the hook. Call it before the first push.
  void setOnReady(std::function<void()> Hook) {
    Options.OnReady = std::move(Hook);
  }

  /// False when the item was not taken: the ring is full or closed.
  bool push(Item Value) {
    auto Owned = std::make_unique<Item>(std::move(Value));
    if (Closed.load() || !store(Owned.get()))
      return refuse();
    return taken(std::move(Owned));
  }

  /// As `push`, but refuses when the ring is full, whatever its policy, or when
  /// fewer than `KeptFree` places would be left.
  bool tryPush(Item Value, std::size_t KeptFree = 0) {
    auto Owned = std::make_unique<Item>(std::move(Value));
    if (Closed.load() || SizeEstimate.load() + KeptFree >= Options.Capacity ||
        !tryStore(Owned.get()))
      return refuse();
    return taken(std::move(Owned));
  }

  /// Takes the next item without waiting.
  std::optional<Item> tryPop() {
    Item *Taken = nullptr;
    if (!Storage.pop(Taken))
      return std::nullopt;
    const std::unique_ptr<Item> Owned(Taken);
    SizeEstimate.fetch_sub(1);
    wake(NotFull, WaitingProducers);
    return std::optional<Item>(std::move(*Owned));
  }

  /// Blocks until an item comes, the deadline passes or the ring is closed.
  /// Items pushed before `close` are still handed out.
  std::optional<Item> pop(time_point Deadline = time_point::max()) {
    std::optional<Item> Result = tryPop();
    if (Result || Closed.load())
      return Result;
    std::unique_lock Lock(Mutex);
    ++WaitingConsumers;
    Clock.waitUntil(Lock, NotEmpty, Deadline, [&] {
      Result = tryPopUnlocked();
      return Result.has_value() || Closed.load();
    });
    --WaitingConsumers;
    Lock.unlock();
    if (Result)
      wake(NotFull, WaitingProducers);
    return Result;
  }

  /// Wakes all waiters; later pushes are refused.
  void close() {
    Closed = true;
    const std::lock_guard Guard(Mutex);
    NotEmpty.notify_all();
    NotFull.notify_all();
  }

  bool isClosed() const { return Closed.load(); }
  std::size_t capacity() const { return Options.Capacity; }

  ring_counters counters() const {
    return {.Pushed = PushedCount.load(),
            .Refused = RefusedCount.load(),
            .Dropped = DroppedCount.load()};
  }

private:
  // The storage has the item now.
  bool taken(std::unique_ptr<Item> Stored) {
    static_cast<void>(Stored.release());
    ++PushedCount;
    wake(NotEmpty, WaitingConsumers);
    Options.OnReady();
    return true;
  }

  bool refuse() {
    ++RefusedCount;
    return false;
  }

  // The queue's own bound is exact only with a fixed-size freelist; a count
  // beside it keeps the capacity exact for any number of producers.
  bool reserve() {
    std::size_t Current = SizeEstimate.load();
    while (Current < Options.Capacity)
      if (SizeEstimate.compare_exchange_weak(Current, Current + 1))
        return true;
    return false;
  }

  bool tryStore(Item *Value) {
    if (!reserve())
      return false;
    if (Storage.push(Value))
      return true;
    SizeEstimate.fetch_sub(1);
    return false;
  }

  bool store(Item *Value) {
    if (tryStore(Value))
      return true;
    switch (Options.Overflow) {
    case overflow_policy::Refuse:
      return false;
    case overflow_policy::DropOldest:
      return storeDroppingOldest(Value);
    case overflow_policy::Block:
      return storeBlocking(Value);
    }
    return false;
  }

  bool storeDroppingOldest(Item *Value) {
    while (!tryStore(Value))
      if (tryPop())
        ++DroppedCount;
    return true;
  }

  bool storeBlocking(Item *Value) {
    bool Stored = false;
    std::unique_lock Lock(Mutex);
    ++WaitingProducers;
    Clock.waitUntil(Lock, NotFull, Clock.now() + Options.BlockLimit, [&] {
      Stored = !Closed.load() && tryStore(Value);
      return Stored || Closed.load();
    });
    --WaitingProducers;
    return Stored;
  }

  std::optional<Item> tryPopUnlocked() {
    Item *Taken = nullptr;
    if (!Storage.pop(Taken))
      return std::nullopt;
    const std::unique_ptr<Item> Owned(Taken);
    SizeEstimate.fetch_sub(1);
    return std::optional<Item>(std::move(*Owned));
  }

  // Locks only when somebody waits: the waiter counts itself under the mutex
  // before it checks the queue again, so no wake-up is lost.
  void wake(std::condition_variable &Condition,
            const std::atomic<int> &Waiting) {
    std::atomic_thread_fence(std::memory_order_seq_cst);
    if (Waiting.load() == 0)
      return;
    const std::lock_guard Guard(Mutex);
    Condition.notify_one();
  }

  runtime_clock &Clock;
  ring_options Options;
  boost::lockfree::queue<Item *> Storage;
  std::atomic<std::size_t> SizeEstimate = 0;
  std::atomic<std::uint64_t> PushedCount = 0;
  std::atomic<std::uint64_t> RefusedCount = 0;
  std::atomic<std::uint64_t> DroppedCount = 0;
  std::atomic<bool> Closed = false;
  std::atomic<int> WaitingConsumers = 0;
  std::atomic<int> WaitingProducers = 0;
  std::mutex Mutex;
  std::condition_variable NotEmpty;
  std::condition_variable NotFull;
};

} // namespace bw

#endif
