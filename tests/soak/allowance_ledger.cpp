#include "tests/soak/allowance_ledger.h"

#include <algorithm>
#include <chrono>

using namespace bw;
using namespace bw::soak;

namespace {

double seconds(duration Time) {
  return std::chrono::duration<double>(Time).count();
}

} // namespace

void allowance_ledger::written(const customer_id &Customer,
                               const customer_allowance &Allowance,
                               config_version Version, time_point At) {
  Customers[Customer].Allowances.push_back(
      {.Version = Version, .Allowance = Allowance, .At = At});
}

void allowance_ledger::heldByAll(config_version Version, time_point At) {
  HeldByAll.emplace(Version, At);
}

bool allowance_ledger::isHeldByAll(config_version Version) const {
  return HeldByAll.lower_bound(Version) != HeldByAll.end();
}

void allowance_ledger::asked(const customer_id &Customer, time_point At) {
  const auto Found = Customers.find(Customer);
  if (Found == Customers.end())
    return;
  std::deque<time_point> &Asked = Found->second.Asked;
  Asked.push_back(At);
  // Answers come up to a window later than the requests.
  while (Asked.front() < At - 2 * Bounds.Window)
    Asked.pop_front();
}

void allowance_ledger::ran(const customer_id &Customer, time_point At) {
  const auto Found = Customers.find(Customer);
  if (Found != Customers.end())
    Found->second.Ran.insert(At);
}

// The allowances that a host may have used between the two times: a version is
// superseded when all hosts have a later one.
std::vector<customer_allowance>
allowance_ledger::inForce(const customer_record &Record, time_point From,
                          time_point To) const {
  config_version Oldest;
  for (const auto &[Version, At] : HeldByAll)
    if (At <= From)
      Oldest = std::max(Oldest, Version);
  std::vector<customer_allowance> Result;
  for (const written_allowance &Each : Record.Allowances)
    if (Each.Version >= Oldest && Each.At <= To + Late)
      Result.push_back(Each.Allowance);
  return Result;
}

std::optional<double> allowance_ledger::bound(
    const std::vector<customer_allowance> &Allowances) const {
  double Most = 0;
  for (const customer_allowance &Each : Allowances) {
    if (!Each.isLimited())
      return std::nullopt;
    Most =
        std::max(Most, Each.Rate.value() * seconds(Bounds.Window) + Each.Burst);
  }
  return Most * (1 + Bounds.Overshoot.value()) + Bounds.Slack;
}

std::vector<quota_excess> allowance_ledger::check(time_point Until) {
  std::vector<quota_excess> Result;
  for (auto &[Customer, Record] : Customers) {
    std::multiset<time_point> &Ran = Record.Ran;
    for (auto Last = Ran.upper_bound(Record.Checked);
         Last != Ran.end() && *Last <= Until; ++Last) {
      const std::vector<customer_allowance> Allowances =
          inForce(Record, *Last - Bounds.Window, *Last);
      const std::optional<double> Bound = bound(Allowances);
      if (!Bound)
        continue;
      const bool IsLowered =
          std::any_of(Record.Allowances.begin(), Record.Allowances.end(),
                      [&](const written_allowance &Each) {
                        const std::optional<double> Earlier =
                            bound({Each.Allowance});
                        return Each.At < *Last && Earlier && *Bound < *Earlier;
                      });
      LoweredWindows += IsLowered ? 1 : 0;
      const auto First = Ran.upper_bound(*Last - Bounds.Window);
      const auto Runs = std::size_t(std::distance(First, Last)) + 1;
      BusiestWindow = std::max(BusiestWindow, double(Runs) / *Bound);
      const bool IsReported =
          Record.LastExcess && *Last < *Record.LastExcess + Bounds.Window;
      if (double(Runs) <= *Bound || IsReported)
        continue;
      Record.LastExcess = *Last;
      Result.push_back(
          {.Customer = Customer, .End = *Last, .Runs = Runs, .Bound = *Bound});
    }
    Record.Checked = std::max(Record.Checked, Until);
    Ran.erase(Ran.begin(), Ran.lower_bound(Until - Bounds.Window));
  }
  return Result;
}

// Like a bucket that was full at the first of the two times.
bool allowance_ledger::fits(const std::deque<time_point> &Asked,
                            const customer_allowance &Allowance,
                            time_point From, time_point To) {
  if (!Allowance.isLimited())
    return true;
  std::vector<time_point> Times;
  std::copy_if(Asked.begin(), Asked.end(), std::back_inserter(Times),
               [&](time_point Each) { return Each >= From && Each <= To; });
  std::sort(Times.begin(), Times.end(), std::greater<>());
  double Count = 0;
  return std::all_of(Times.begin(), Times.end(), [&](time_point Each) {
    return ++Count <=
           Allowance.Rate.value() * seconds(To - Each) + Allowance.Burst;
  });
}

bool allowance_ledger::isInside(const customer_id &Customer,
                                time_point At) const {
  const auto Found = Customers.find(Customer);
  if (Found == Customers.end())
    return true;
  const time_point From = At - Bounds.Window;
  const std::vector<customer_allowance> Allowances =
      inForce(Found->second, From, At);
  return std::all_of(Allowances.begin(), Allowances.end(),
                     [&](const customer_allowance &Each) {
                       return fits(Found->second.Asked, Each, From, At);
                     });
}
