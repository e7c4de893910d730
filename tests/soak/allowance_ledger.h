#ifndef TESTS_SOAK_ALLOWANCE_LEDGER_H
#define TESTS_SOAK_ALLOWANCE_LEDGER_H

#include "bw_core/ids/identifiers.h"
#include "bw_core/ids/time.h"
#include "bw_customers/allowances/allowance_shares.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace bw::soak {

/// A window in which more requests of a customer ran than its bound allows.
struct quota_excess {
  customer_id Customer;
  time_point End{};
  std::size_t Runs = 0;
  double Bound = 0;
};

/// Records what customers asked and what servers ran for them, and compares it
/// with their allowances. Not thread-safe.
class allowance_ledger {
public:
  /// Versions may be noted `Late` after a host can have read them.
  allowance_ledger(allowance_bounds Bounds, duration Late)
      : Bounds(Bounds), Late(Late) {}

  /// The store has acknowledged the version with this allowance.
  void written(const customer_id &Customer, const customer_allowance &Allowance,
               config_version Version, time_point At);
  /// From this time on all hosts have the version or a later one.
  void heldByAll(config_version Version, time_point At);
  bool isHeldByAll(config_version Version) const;

  /// Calls for customers without an allowance have no effect.
  void asked(const customer_id &Customer, time_point At);
  void ran(const customer_id &Customer, time_point At);

  /// True if what the customer asked in the window before fits into each of the
  /// allowances that a host may have used.
  bool isInside(const customer_id &Customer, time_point At) const;

  /// Checks the windows that end after those of the last call and up to the
  /// given time. Returns at most one excess in each window's length.
  std::vector<quota_excess> check(time_point Until);

  /// Most runs in any window that was checked, as a share of its bound.
  double busiestWindow() const { return BusiestWindow; }
  /// Windows checked against a lower bound than an earlier version gave.
  std::size_t loweredWindows() const { return LoweredWindows; }

private:
  struct written_allowance {
    config_version Version;
    customer_allowance Allowance;
    time_point At{};
  };
  struct customer_record {
    std::vector<written_allowance> Allowances;
    std::deque<time_point> Asked;
    std::multiset<time_point> Ran;
    time_point Checked{};
    std::optional<time_point> LastExcess;
  };

  std::vector<customer_allowance> inForce(const customer_record &Record,
                                          time_point From, time_point To) const;
  std::optional<double>
  bound(const std::vector<customer_allowance> &Allowances) const;
  static bool fits(const std::deque<time_point> &Asked,
                   const customer_allowance &Allowance, time_point From,
                   time_point To);

  allowance_bounds Bounds;
  duration Late;
  std::map<customer_id, customer_record> Customers;
  std::map<config_version, time_point> HeldByAll;
  double BusiestWindow = 0;
  std::size_t LoweredWindows = 0;
};

} // namespace bw::soak

#endif
