#ifndef BW_STAND_INS_PLATFORM_PLATFORM_STAND_IN_H
#define BW_STAND_INS_PLATFORM_PLATFORM_STAND_IN_H

#include "bw_core/ids/store_position.h"
#include "bw_http/server/http_server.h"
#include "bw_kernel/clock/runtime_clock.h"
#include "bw_stand_ins/platform/object_table.h"

#include <condition_variable>
#include <cstdint>
#include <list>
#include <mutex>
#include <thread>

namespace bw {

struct platform_stand_in_options {
  std::string Address = "127.0.0.1";
  std::uint16_t Port = 0;
  /// Largest value of an object.
  byte_count MaxValue = mebibytes(1);
  /// How old the host list is that callers see.
  std::chrono::milliseconds HostListLag{0};
};

/// Stand-in for the platform: the object API and the host list of
/// docs/design.md section 11. Faults are switched by `POST /control/faults`
/// with a JSON object: `away` (connections get no response), `delay_ms`,
/// `lose_responses` (that many writes take effect, but their response is cut),
/// `slow_watches`. `PUT /control/hosts` sets the host list; `GET
/// /control/counters` gives the calls by type. `POST /control/copy` keeps a
/// copy of all objects, to which `POST /control/restore` returns, in a new era.
class platform_stand_in {
public:
  platform_stand_in(runtime_clock &Clock, platform_stand_in_options Options);
  ~platform_stand_in();
  platform_stand_in(const platform_stand_in &) = delete;
  platform_stand_in &operator=(const platform_stand_in &) = delete;

  void start();
  void stop();
  std::uint16_t port() const { return Server.port(); }

private:
  struct waiting_watch {
    http_exchange_pointer Exchange;
    std::string Kind;
    std::string Name;
    object_version After;
    time_point Deadline;
  };
  struct delayed_request {
    http_exchange_pointer Exchange;
    time_point Due;
  };
  struct host_list_version {
    time_point Since;
    std::string Json;
  };
  struct fault_settings {
    bool Away = false;
    std::uint64_t LoseResponses = 0;
    std::chrono::milliseconds Delay{0};
  };

  /// Sends the response with the era of the objects.
  void respond(const http_exchange_pointer &Exchange,
               http_response Response) const;
  void respondStatus(const http_exchange_pointer &Exchange, int Status,
                     std::string Body = {}) const;
  void respondObject(const http_exchange_pointer &Exchange,
                     const stored_object &Object) const;
  void restoreCopy();
  void receive(const http_exchange_pointer &Exchange);
  void handle(const http_exchange_pointer &Exchange);
  void handleControl(const http_exchange_pointer &Exchange);
  void handleObject(const http_exchange_pointer &Exchange,
                    const std::string &Kind, const std::string &Name);
  void handleWrite(const http_exchange_pointer &Exchange,
                   const std::string &Kind, const std::string &Name);
  void handleList(const http_exchange_pointer &Exchange,
                  const std::string &Kind);
  void handleWatch(const http_exchange_pointer &Exchange,
                   const std::string &Kind, const std::string &Name);
  void respondHosts(const http_exchange_pointer &Exchange);
  void notifyWatches(const std::string &Kind, const std::string &Name);
  void runTimers();
  time_point nextDue() const;

  runtime_clock &Clock;
  platform_stand_in_options Options;
  http_server Server;
  std::mutex Mutex;
  std::condition_variable Changed;
  bool Stopping = false;
  object_table Objects;
  object_table Copy;
  store_era Era{1};
  fault_settings Faults;
  std::list<waiting_watch> Watches;
  std::list<delayed_request> Delayed;
  std::list<http_exchange_pointer> Unanswered;
  std::list<host_list_version> HostLists;
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;
  std::uint64_t WatchCalls = 0;
  std::uint64_t HostListCalls = 0;
  std::thread TimerThread;
};

} // namespace bw

#endif
