#ifndef BW_KERNEL_LOG_LOG_WRITER_H
#define BW_KERNEL_LOG_LOG_WRITER_H

#include "bw_kernel/rings/bounded_ring.h"
#include "bw_kernel/services/service.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>

namespace bw {

struct log_writer_options {
  /// Lines that wait to be written; further ones are dropped and counted.
  std::size_t Capacity = 4096;
  /// Lines a second on average; more are dropped and counted.
  double LinesPerSecond = 400;
  /// Lines that may come at once.
  double Burst = 1000;
  /// Lines are gathered this long, so that a busy second costs few wake-ups.
  duration GatherTime = std::chrono::milliseconds(250);
  /// Added to each line; the name of the host.
  std::string Host;
  /// Writes whole lines; may block.
  std::function<void(const std::string &)> Write;
};

/// Duty *log*: the only writer of log lines. Never blocks the threads that log:
/// a line that finds no room, or comes above the rate, is dropped and counted,
/// and the next line that is written tells how many were.
class log_writer : public service {
public:
  static constexpr std::string_view ServiceName = "log";

  log_writer(runtime_clock &Clock, log_writer_options Options);
  ~log_writer() override;

  void attach(service_registry &Registry) override;
  void start() override;
  void stop() override;

  /// False when the line was dropped. Thread-safe.
  bool add(std::string Line);
  std::uint64_t droppedLines() const { return Dropped.load(); }
  std::uint64_t writtenLines() const { return Written.load(); }

private:
  bool takeToken();
  void run();

  runtime_clock &Clock;
  log_writer_options Options;
  bounded_ring<std::string> Lines;
  std::mutex Mutex;
  std::condition_variable Stopped;
  bool Stopping = false;
  std::mutex RateMutex;
  double Tokens;
  time_point Filled{};
  std::atomic<std::uint64_t> Dropped = 0;
  std::atomic<std::uint64_t> Written = 0;
  std::uint64_t ToldDropped = 0;
  std::thread Thread;
};

} // namespace bw

#endif
