// What a run promises about allowances: how many requests of a customer run,
// all hosts together.

#include "tests/soak/promise_checker.h"

#include <algorithm>
#include <chrono>

using namespace bw;
using namespace bw::soak;

void promise_checker::allowanceWritten(const customer_id &Customer,
                                       const customer_allowance &Allowance,
                                       config_version Version, time_point At) {
  const std::lock_guard Guard(Mutex);
  Ledger.written(Customer, Allowance, Version, At);
}

const customer_id *
promise_checker::customerOf(const asked_request &Asked) const {
  const auto Found = Keys.find(Asked.Key);
  return Found == Keys.end() ? nullptr : &Found->second.Customer;
}

// A 429 inside the allowance is counted only: the design accepts some of them.
void promise_checker::countOverAllowance(const seen_answer &Answer,
                                         const request_record &Record) {
  if (Answer.Status != OverAllowance)
    return;
  ++Allowances.Refused;
  const customer_id *Customer = customerOf(Record.Asked);
  if (Customer == nullptr || Ledger.isInside(*Customer, Record.Asked.At))
    ++Allowances.RefusedInside;
}

// A process has a version if it served a route that came with it or a later
// one, or if it had the time to read it. One that starts later than the version
// must show this too: it may start with what another host has.
bool promise_checker::hasVersion(const host_id &Host, config_version Version,
                                 time_point Now) const {
  const host_record &Record = Hosts.at(Host);
  if (Record.Seen.lower_bound(Version) != Record.Seen.end())
    return true;
  return Now > Versions.at(Version) + Bounds.Configuration + Late &&
         isInTouch(Host, Now);
}

void promise_checker::checkQuota(time_point Now) {
  for (const auto &Each : Versions) {
    const config_version Version = Each.first;
    if (!Ledger.isHeldByAll(Version) &&
        std::all_of(Hosts.begin(), Hosts.end(), [&](const auto &Host) {
          return hasVersion(Host.first, Version, Now);
        }))
      Ledger.heldByAll(Version, Now);
  }
  for (const quota_excess &Each : Ledger.check(Now - Late))
    add("QUOTA",
        std::to_string(Each.Runs) + " requests of " + Each.Customer.value() +
            " ran in a window, allowed are " + std::to_string(Each.Bound),
        {}, Each.End);
}

allowance_counts promise_checker::allowances() const {
  const std::lock_guard Guard(Mutex);
  allowance_counts Result = Allowances;
  Result.BusiestWindow = Ledger.busiestWindow();
  Result.LoweredWindows = Ledger.loweredWindows();
  return Result;
}
