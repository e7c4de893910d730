#ifndef TESTS_SOAK_SOAK_CALLERS_H
#define TESTS_SOAK_SOAK_CALLERS_H

#include "tests/soak/soak_course.h"
#include "tests/soak/soak_hosts.h"
#include "tests/soak/soak_operators.h"

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace bw::soak {

/// How a caller of one kind behaves.
struct caller_conduct {
  std::function<std::string(random_source &)> PickKey;
  /// Time until its next request, if it was asked to wait so long.
  std::function<duration(random_source &, duration RetryAfter)> Pause;
};

/// The callers of a run, each on a thread of its own. Give the checker what
/// they ask and what they see.
class soak_callers {
public:
  soak_callers(soak_course &Course, soak_hosts &Hosts,
               const soak_operators &Operators)
      : Course(Course), Hosts(Hosts), Operators(Operators) {}
  ~soak_callers() { end(); }
  soak_callers(const soak_callers &) = delete;
  soak_callers &operator=(const soak_callers &) = delete;

  void start();
  void end();

private:
  caller_conduct ordinary() const;
  caller_conduct greedy();
  void callOn(int Index, const caller_conduct &Conduct);
  asked_request nextRequest(random_source &Chance, const request_label &Label,
                            const caller_conduct &Conduct) const;

  soak_course &Course;
  soak_hosts &Hosts;
  const soak_operators &Operators;
  std::vector<std::thread> Threads;
  std::atomic<bool> IsOver = false;
};

} // namespace bw::soak

#endif
