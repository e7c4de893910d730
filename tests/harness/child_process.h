#ifndef TESTS_HARNESS_CHILD_PROCESS_H
#define TESTS_HARNESS_CHILD_PROCESS_H

#include "bw_core/ids/units.h"

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace bw::harness {

/// One running program of build/bin. Its output goes to a file, which is
/// removed with it. Killed when destroyed.
class child_process {
public:
  /// \throws harness_error
  child_process(const std::string &Program,
                const std::vector<std::string> &Arguments);
  ~child_process();
  child_process(const child_process &) = delete;
  child_process &operator=(const child_process &) = delete;

  pid_t id() const { return Id; }
  /// Does nothing once it has ended.
  void signal(int Signal) const;
  /// Sends SIGSTOP and waits until all threads have stopped, which `kill` does
  /// not. \throws harness_error when the process ends
  void pause();
  void resume() const;

  bool isRunning();
  /// The exit status as `waitpid` gives it; nothing when it still runs at the
  /// limit.
  std::optional<int>
  waitForEnd(std::chrono::milliseconds Limit = std::chrono::seconds(20));

  /// Resident memory; 0 once it has ended.
  byte_count residentMemory() const;
  /// Peak of the resident memory since the start; 0 once it has ended.
  byte_count peakMemory() const;
  /// Processor time since the start; 0 once it has ended.
  std::chrono::milliseconds processorTime() const;
  /// Descriptors that are open now; 0 once it has ended.
  std::size_t openDescriptors() const;

  /// Standard output and standard error so far.
  std::string output() const;
  /// Waits for the line `<Key> <value>` and returns the value.
  /// \throws harness_error when it does not come
  std::string waitForValue(const std::string &Key);

private:
  void spawn(const std::string &Program,
             const std::vector<std::string> &Arguments);

  std::string Name;
  std::string OutputPath;
  pid_t Id = 0;
  std::optional<int> Status;
};

} // namespace bw::harness

#endif
