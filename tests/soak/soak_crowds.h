#ifndef TESTS_SOAK_SOAK_CROWDS_H
#define TESTS_SOAK_SOAK_CROWDS_H

#include "tests/slow_clients/crowd.h"
#include "tests/soak/soak_course.h"
#include "tests/soak/soak_hosts.h"

#include <atomic>
#include <thread>
#include <vector>

namespace bw::soak {

/// Crowds of clients that pipeline requests for long responses and read them
/// slowly or not at all. Each is against one host and on a thread of its own.
class soak_crowds {
public:
  soak_crowds(soak_course &Course, soak_hosts &Hosts);
  ~soak_crowds() { end(); }
  soak_crowds(const soak_crowds &) = delete;
  soak_crowds &operator=(const soak_crowds &) = delete;

  /// Plans crowds that begin between the two times, at least one.
  void plan(time_point First, time_point Last);
  /// Waits until all crowds have left.
  void end();
  /// Crowds whose clients were all connected.
  std::size_t connected() const { return Connected; }

private:
  void begin();
  void play(const slow_clients::caller_address &Address,
            const slow_clients::crowd_options &Options);
  std::string requests(const host_id &Host, const std::string &Name);

  soak_course &Course;
  soak_hosts &Hosts;
  /// A source of its own, so that a seed's other faults do not depend on the
  /// crowds.
  random_source Random;
  std::vector<std::thread> Threads;
  std::size_t Begun = 0;
  std::atomic<std::size_t> Connected = 0;
};

} // namespace bw::soak

#endif
