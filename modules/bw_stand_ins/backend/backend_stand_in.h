#ifndef BW_STAND_INS_BACKEND_BACKEND_STAND_IN_H
#define BW_STAND_INS_BACKEND_BACKEND_STAND_IN_H

#include "bw_core/ids/identifiers.h"
#include "bw_core/random/random_source.h"
#include "bw_http/server/http_server.h"
#include "bw_kernel/clock/runtime_clock.h"
#include "bw_kernel/rings/bounded_ring.h"

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace bw {

struct backend_stand_in_options {
  backend_server_id Name{"backend-1"};
  std::string Address = "127.0.0.1";
  std::uint16_t Port = 0;
  slot_count Slots{6};
  /// Requests that wait for a slot; one more is shed.
  std::size_t QueueLength = 2;
  /// Median time of a lookup or submission.
  std::chrono::microseconds ServiceTime{5'000};
  /// Time after the start in which each request takes ten times as long.
  std::chrono::milliseconds ColdStart{0};
  std::uint64_t Seed = 1;
};

/// What is wrong with the stand-in, switched by `POST /control/fault` with a
/// JSON object of these names. `/health` answers 200 whatever is set.
struct backend_fault {
  double SlowFactor = 1;   ///< `slow_factor`
  double ErrorRatio = 0;   ///< `error_ratio`: runs nothing, answers 500
  double StallRatio = 0;   ///< `stall_ratio`: runs, then never answers
  double CutRatio = 0;     ///< `cut_ratio`: breaks the body off half-way
  double WrongIdRatio = 0; ///< `wrong_id_ratio`: echoes another request's id
  std::string OnlyPath;    ///< `only_path`: prefix of the paths affected
};

/// Backend server with slots, a short queue, load shedding, cold start, drain,
/// cancellation, deadlines, and gray failures. `GET /records/<id>` and `GET
/// /exports/<bytes>` are repeatable and support `Range` with `If-Range`; each
/// POST is a submission. `GET /control/ledger` lists what ran; `POST
/// /control/drain` makes it leave.
class backend_stand_in {
public:
  backend_stand_in(runtime_clock &Clock, backend_stand_in_options Options);
  ~backend_stand_in();
  backend_stand_in(const backend_stand_in &) = delete;
  backend_stand_in &operator=(const backend_stand_in &) = delete;

  void start();
  void stop();
  std::uint16_t port() const { return Server.port(); }

private:
  struct work_item {
    http_exchange_pointer Exchange;
    time_point Arrived;
    std::shared_ptr<std::atomic<bool>> IsCancelled;
  };
  struct ledger_entry {
    std::string RequestId;
    std::string Method;
    std::string Path;
    std::string Body;
  };

  void receive(const http_exchange_pointer &Exchange);
  void handleControl(const http_exchange_pointer &Exchange);
  void setFault(const http_exchange_pointer &Exchange);
  void respondLedger(const http_exchange_pointer &Exchange);
  void shed(const http_exchange_pointer &Exchange);
  void runSlot(std::uint64_t Seed);
  void run(const work_item &Item, random_source &Random);
  void sendBody(const work_item &Item, bool IsCut, http_headers Headers);
  bool isPastDeadline(const work_item &Item) const;
  backend_fault faultFor(const http_request &Request);
  duration serviceTime(const backend_fault &Fault, random_source &Random);
  bool waitFor(duration Time, const work_item &Item);
  http_headers responseHeaders(const http_request &Request, bool IsWrongId);

  runtime_clock &Clock;
  backend_stand_in_options Options;
  http_server Server;
  bounded_ring<work_item> Queue;
  std::vector<std::thread> Slots;
  time_point StartedAt;
  std::atomic<bool> Draining = false;
  std::atomic<std::uint32_t> Running = 0;
  std::mutex Mutex;
  std::condition_variable Stopped;
  bool Stopping = false;
  backend_fault Fault;
  std::vector<ledger_entry> Ledger;
  std::vector<http_exchange_pointer> Stalled;
};

/// Byte `Offset` of the content of a record or export; the same on each
/// instance, so that a transfer can be resumed elsewhere.
char contentByte(std::uint64_t Offset);

} // namespace bw

#endif
