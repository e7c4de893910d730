#ifndef BW_MEASUREMENT_DELIVERY_DELIVERY_LEDGER_H
#define BW_MEASUREMENT_DELIVERY_DELIVERY_LEDGER_H

#include "bw_core/ids/strong_number.h"
#include "bw_delivery/outcomes/request_outcome.h"

#include <cstdint>
#include <vector>

namespace bw {

/// One request of a caller with all its tries, as the simulation counts them.
using caller_request = strong_number<struct caller_request_tag>;

/// What the rules of delivery were broken or kept by.
struct delivery_verdicts {
  std::uint64_t Requests = 0;
  std::uint64_t Submissions = 0;
  std::uint64_t DoubleRuns = 0;
  /// Told as not run, and in a server's ledger at any time, also later.
  std::uint64_t FalseNotRun = 0;
  /// Told as done, and not exactly once in a server's ledger.
  std::uint64_t FalseDone = 0;
  /// Ended cleanly with bytes of another request or version, or incomplete.
  std::uint64_t WrongAnswers = 0;
  std::uint64_t Done = 0;
  std::uint64_t NotRun = 0;
  /// Requests whose caller knows neither after its last try.
  std::uint64_t Unknown = 0;
};

/// What servers ran and what callers were told. Judges at the end, when no
/// message is on its way any more.
class delivery_ledger {
public:
  explicit delivery_ledger(std::uint64_t Requests) : Records(Requests) {}

  void expectSubmission(caller_request Request);
  void ran(caller_request Request);
  void told(caller_request Request, request_outcome Outcome);
  void endedWrongly(caller_request Request);

  bool isSettled(caller_request Request) const;
  delivery_verdicts judge() const;

private:
  struct record {
    std::uint16_t Runs = 0;
    bool Submission = false;
    bool ToldDone = false;
    bool ToldNotRun = false;
    bool Wrong = false;
  };
  std::vector<record> Records;
};

} // namespace bw

#endif
