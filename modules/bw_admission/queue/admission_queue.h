#ifndef BW_ADMISSION_QUEUE_ADMISSION_QUEUE_H
#define BW_ADMISSION_QUEUE_ADMISSION_QUEUE_H

#include "bw_admission/room/urgency.h"
#include "bw_core/ids/identifiers.h"
#include "bw_core/ids/time.h"
#include "bw_core/random/random_source.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace bw {

/// Identifies a waiting request; chosen by the user of the queue.
using waiting_number = strong_number<struct waiting_number_tag>;

/// A request that waits until a server has room for it.
struct waiting_request {
  waiting_number Number;
  urgency Urgency;
  /// Empty if the request is nobody's.
  customer_id Customer;
  /// From this time on, no server could answer it in time.
  time_point LatestStart{};
  /// From this time on, its answer would miss the target latency.
  time_point UsefulStart{};
  /// Its caller was refused before and told when to come back.
  bool HasComeBack = false;
};

/// What a refused caller may be told to wait.
struct retry_bounds {
  duration Min{};
  duration Max = std::chrono::hours(1);
};

struct admission_queue_options {
  /// Maximum number of waiting requests of a level, whatever the rate of its
  /// starts.
  std::size_t MaxLength = 1024;
  /// This many of a level may wait before its rate of starts is known.
  std::size_t MinLength = 4;
};

/// The requests of one service that wait at this host. The order is that of
/// their urgency, then round robin between customers, then, within a customer,
/// callers that came back before new ones, then the deadline. One start in four
/// goes to a less urgent level while any waits. Not thread-safe.
class admission_queue {
public:
  /// What became of an attempt to start a request.
  enum class start_result : std::uint8_t {
    NoRoom,  ///< It goes on waiting.
    Started, ///< It was sent to a server.
    Refused, ///< It was answered without being sent.
  };
  /// Starts a request. `IsTurn` says that it is the turn of a less urgent level
  /// and the request may use all that the most urgent ones may use.
  using start_hook =
      std::function<start_result(const waiting_request &, bool IsTurn)>;

  explicit admission_queue(admission_queue_options Options = {})
      : Options(Options) {}

  void add(waiting_request Request);
  /// Removes a request whose caller has left. Unknown numbers are ignored.
  void remove(waiting_number Number);
  /// Removes and returns the requests that can no longer be served in time.
  std::vector<waiting_request> takeExpired(time_point Now);
  /// Removes and returns the last requests in order while too many wait. They
  /// are to be refused at once.
  std::vector<waiting_request> takeExcess(time_point Now);
  /// Removes and returns all requests.
  std::vector<waiting_request> takeAll();
  /// Returns when `takeExpired` next has a result; the maximum if never.
  time_point nextExpiry() const;

  /// Starts requests in order. A level is left alone after its first request
  /// without room.
  void start(const start_hook &Start, time_point Now);

  std::size_t size() const { return Requests.size(); }
  bool empty() const { return Requests.empty(); }
  /// Returns the expected time until all that wait at this level have started.
  duration drainTime(urgency Urgency, time_point Now) const;
  /// Returns a time after which a refused caller may come back: the expected
  /// drain time plus up to a half, but no more than the maximum. If that is too
  /// short for it, the minimum plus up to a half.
  duration retryAfter(urgency Urgency, retry_bounds Bounds, time_point Now,
                      random_source &Random) const;

private:
  /// Order within a customer.
  struct place {
    bool IsNew = true;
    time_point LatestStart{};
    waiting_number Number;
    friend auto operator<=>(const place &, const place &) = default;
  };
  struct level {
    std::map<customer_id, std::set<place>> Customers;
    /// The customers in the order of their turns.
    std::deque<customer_id> Turns;
    std::size_t Size = 0;
    /// The latest useful start of any request since the level became non-empty.
    time_point LastUsefulStart{};
    /// Number of starts when the level was last served or became non-empty.
    std::uint64_t ServedAt = 0;
  };
  using level_map = std::map<urgency, level>;
  /// Starts of one level in the last second or so.
  struct start_rate {
    /// Sum of the starts, each of which decays with time.
    double Recent = 0;
    time_point At{};
  };

  static place placeOf(const waiting_request &Request);
  std::size_t maxLength(const level_map::value_type &Level,
                        time_point Now) const;
  static waiting_number last(const level &Level);
  /// Starts the first request of the level. Returns false without room.
  bool startFirst(level_map::iterator Level, bool IsTurn,
                  const start_hook &Start, time_point Now);
  /// Returns the less urgent level whose turn it is.
  level_map::iterator turn();
  void recordStart(urgency Urgency, time_point Now);
  /// Returns the starts of the level in a second.
  double startRate(urgency Urgency, time_point Now) const;

  admission_queue_options Options;
  std::unordered_map<waiting_number, waiting_request> Requests;
  std::set<std::pair<time_point, waiting_number>> Expiries;
  level_map Levels;
  std::uint64_t Starts = 0;
  /// Kept while a level is empty.
  std::map<urgency, start_rate> Rates;
};

} // namespace bw

#endif
