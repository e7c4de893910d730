#ifndef TESTS_SOAK_SOAK_HOSTS_H
#define TESTS_SOAK_SOAK_HOSTS_H

#include "bw_stand_ins/relay/fault_relay.h"
#include "tests/harness/child_process.h"
#include "tests/soak/soak_caller.h"
#include "tests/soak/soak_course.h"

#include <atomic>
#include <filesystem>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace bw::soak {

/// Data centre of the host or server with this number.
data_centre_id placeOf(int Index);

/// A host of the run: a process of the gateway behind a relay to the store.
struct soak_host {
  host_id Id;
  host_address Address;
  std::string SettingsFile;
  std::unique_ptr<fault_relay> StoreRelay;
  std::unique_ptr<harness::child_process> Process;
  std::atomic<bool> IsInRotation = false;
  /// Another fault has the process until then.
  bool IsTaken = false;
  /// Output of the processes that ended.
  std::string Log;
};

/// Starts the hosts and plays faults on them.
class soak_hosts {
public:
  soak_hosts(soak_course &Course, std::uint16_t StorePort);
  ~soak_hosts();
  soak_hosts(const soak_hosts &) = delete;
  soak_hosts &operator=(const soak_hosts &) = delete;

  void start();
  /// Starts the threads that ask the hosts whether they are ready.
  void followReadiness();
  void endFollowing();
  /// Stops all hosts as planned stops; their logs are complete after it.
  void stop();

  /// Returns a host that no fault has; null if faults have a third of them.
  soak_host *freeHost();
  /// Returns one of the hosts in rotation, or any if none is. Thread-safe.
  soak_host &pickReady(random_source &Chance);

  void kill(soak_host &Host);
  void killAll();
  void stopPlanned(soak_host &Host);
  void pause(soak_host &Host);
  void cutStore(soak_host &Host);
  void reload(soak_host &Host);

  /// Reports processes that use too much memory or ended by themselves, and
  /// starts the latter again.
  void check();
  /// Returns the log lines that name the request.
  std::vector<std::string> logLines(const request_label &Label) const;

private:
  void add(int Index);
  void startProcess(soak_host &Host);
  void awaitStop(soak_host &Host, time_point KillAt);
  void checkMemory(const soak_host &Host);
  void follow(soak_host &Host);
  static void keepLog(soak_host &Host);

  soak_course &Course;
  const std::uint16_t StorePort;
  const std::filesystem::path Folder;
  /// Never shrinks: planned actions refer to the entries.
  std::vector<std::unique_ptr<soak_host>> Hosts;
  std::vector<std::thread> Followers;
  std::atomic<bool> IsOver = false;
};

} // namespace bw::soak

#endif
