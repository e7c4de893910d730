#ifndef BW_DAEMON_PLATFORM_WATCH_SERVICE_H
#define BW_DAEMON_PLATFORM_WATCH_SERVICE_H

#include "bw_daemon/decide/decide_events.h"
#include "bw_kernel/services/service.h"
#include "bw_platform/client/platform_client.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace bw {

struct watch_service_options {
  std::string Url;
  std::chrono::milliseconds Timeout{2'000};
  std::chrono::milliseconds HostListInterval{1'000};
};

/// Duty *watch*: the waiting calls of the platform's service: the watch of the
/// configuration's head, when this host is a watcher, and the host list.
class watch_service : public service {
public:
  static constexpr std::string_view ServiceName = "watch";

  watch_service(runtime_clock &Clock, watch_service_options Options);

  void attach(service_registry &Registry) override;
  void start() override;
  void stop() override;

  /// Thread-safe.
  void setWatcher(bool Watches) { IsWatcher = Watches; }

private:
  void run();
  void readHosts();
  void watchHead();
  void logRestore(store_era Before, store_era Now) const;

  runtime_clock &Clock;
  watch_service_options Options;
  platform_client Client;
  decide_ring *Decide = nullptr;
  std::atomic<bool> IsWatcher = true;
  std::mutex Mutex;
  std::condition_variable Stopped;
  bool Stopping = false;
  object_position SeenHead;
  host_list_tag HostListTag;
  std::vector<host_list_entry> Hosts;
  time_point NextHostList{};
  std::thread Thread;
};

} // namespace bw

#endif
