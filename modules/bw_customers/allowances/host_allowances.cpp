#include "bw_customers/allowances/host_allowances.h"

#include <algorithm>
#include <utility>

using namespace bw;

namespace {

// A bucket that nobody asked for this long is as full as a new one, and the
// customer's demand has been 0 for a while.
constexpr duration ForgetAfter = std::chrono::seconds(10);
// Demand below this part of what a host may use without a report is not
// reported.
constexpr double ReportedPart = 0.5;
// Bounds of the retry-after time. Shares follow demand, so times of more than a
// few seconds are not predictable.
constexpr duration MinRetryAfter = std::chrono::milliseconds(100);
constexpr duration MaxRetryAfter = std::chrono::seconds(5);
// A host that gets its first requests knows its share after this time.
constexpr duration ConfirmTime = std::chrono::milliseconds(400);
// The time is lengthened by up to this part, so that callers that were refused
// together do not retry together.
constexpr double RetrySpread = 0.2;

} // namespace

host_allowances::host_allowances(host_allowances_options Given)
    : Options(std::move(Given)), Shares(Options.Bounds), Random(Options.Seed),
      Exchange({.Self = Options.Self,
                .DataCentre = Options.DataCentre,
                .Bounds = Options.Bounds,
                .AllowanceOf = [this](const customer_id &Customer) {
                  const customer_allowance *Found = allowanceOf(Customer);
                  return Found == nullptr ? customer_allowance() : *Found;
                }}) {}

const customer_allowance *
host_allowances::allowanceOf(const customer_id &Customer) const {
  const customer *Found = Customers ? Customers->find(Customer) : nullptr;
  return Found != nullptr && Found->Allowance.isLimited() ? &Found->Allowance
                                                          : nullptr;
}

std::optional<confirmed_demand>
host_allowances::confirmed(const customer_id &Customer, time_point Now) const {
  return Exchange.confirmed(Customer, exchangeTime(Now));
}

void host_allowances::setCustomers(
    std::shared_ptr<const customer_directory> Given, time_point Now) {
  Customers = std::move(Given);
  HasLimits = Customers && std::any_of(Customers->customers().begin(),
                                       Customers->customers().end(),
                                       [](const customer &Each) {
                                         return Each.Allowance.isLimited();
                                       });
  updateShares(Now);
}

void host_allowances::setHosts(std::uint32_t Listed, time_point Now) {
  Hosts = Listed;
  Exchange.setHosts(Listed);
  updateShares(Now);
}

void host_allowances::setAggregator(bool IsAggregator, time_point Now) {
  Exchange.setAggregator(IsAggregator, exchangeTime(Now));
}

void host_allowances::updateShare(const customer_id &Customer,
                                  const customer_allowance &Allowance,
                                  record &Record, time_point Now) {
  Record.Bucket.setShare(
      Shares.share(Allowance, Hosts, confirmed(Customer, Now)), Now);
}

// A customer that lost its limit starts with a new bucket if it gets one again.
void host_allowances::updateShares(time_point Now) {
  std::erase_if(Records, [&](const auto &Each) {
    return allowanceOf(Each.first) == nullptr ||
           Now - Each.second.LastAsked >= ForgetAfter;
  });
  for (auto &[Customer, Record] : Records)
    updateShare(Customer, *allowanceOf(Customer), Record, Now);
}

// What was admitted after the included report is not taken off the pool yet.
void host_allowances::drawFromPools(time_point Now) {
  updateShares(Now);
  for (auto &[Customer, Record] : Records)
    if (const auto Confirmed = confirmed(Customer, Now))
      Record.Bucket.fillTo(
          Confirmed->Pooled -
              (Record.Admitted - Exchange.includedAdmitted(Customer)),
          Now);
}

allowance_decision host_allowances::take(const customer_id &Customer,
                                         time_point Now) {
  const customer_allowance *Allowance = allowanceOf(Customer);
  if (Allowance == nullptr)
    return {};
  auto Found = Records.find(Customer);
  if (Found == Records.end())
    Found = Records
                .emplace(Customer,
                         record{.Meter = {},
                                .Bucket = allowance_bucket(
                                    Shares.share(*Allowance, Hosts,
                                                 confirmed(Customer, Now)),
                                    1 - Random.unit(), Now),
                                .LastAsked = Now})
                .first;
  record &Record = Found->second;
  Record.Meter.count(Now);
  Record.LastAsked = Now;
  updateShare(Customer, *Allowance, Record, Now);
  const auto Confirmed = confirmed(Customer, Now);
  const bool IsInside =
      Shares.isInside(*Allowance, Confirmed, Record.Meter.rate(Now));
  if (IsInside)
    Record.Bucket.take(Now);
  allowance_decision Result{
      .IsAdmitted = IsInside || Record.Bucket.tryTake(Now),
      .IsLimited = true,
      .Share = Record.Bucket.share().Rate,
      .Total = Confirmed ? Confirmed->Total : request_rate(0)};
  // The reported count only rises, as a lower one stands for a restart.
  if (Result.IsAdmitted && Record.Returned > 0)
    --Record.Returned;
  else if (Result.IsAdmitted)
    ++Record.Admitted;
  if (!Result.IsAdmitted)
    Result.RetryAfter =
        retryAfter(Record, Confirmed && Confirmed->Own > request_rate(0), Now);
  return Result;
}

duration host_allowances::retryAfter(record &Record, bool IsConfirmed,
                                     time_point Now) {
  const duration Next = Record.Bucket.untilNext(Now).value_or(MaxRetryAfter);
  const duration Base = std::clamp(Next, MinRetryAfter,
                                   IsConfirmed ? MaxRetryAfter : ConfirmTime);
  return Base + std::chrono::duration_cast<duration>(Base * RetrySpread *
                                                     Random.unit());
}

void host_allowances::giveBack(const customer_id &Customer, time_point Now) {
  const auto Found = Records.find(Customer);
  if (Found == Records.end())
    return;
  Found->second.Bucket.giveBack(Now);
  ++Found->second.Returned;
}

bool host_allowances::hasDemand(time_point Now) const {
  return HasReportedDemand || Exchange.hasDemand() ||
         std::any_of(Records.begin(), Records.end(), [&](const auto &Each) {
           return Each.second.Meter.rate(Now) > request_rate(0);
         });
}

std::vector<customer_demand> host_allowances::takeReport(report_number Number,
                                                         time_point Now) {
  if (!HasLimits)
    return {};
  updateShares(Now);
  std::vector<customer_demand> Own;
  for (auto &[Customer, Record] : Records) {
    const request_rate Rate = Record.Meter.rate(Now);
    const customer_allowance &Allowance = *allowanceOf(Customer);
    if (Rate.value() <
            ReportedPart * Shares.unconfirmed(Allowance, Hosts).Rate.value() &&
        Record.Admitted == Record.ReportedAdmitted)
      continue;
    Record.ReportedAdmitted = Record.Admitted;
    Own.push_back({.Customer = Customer,
                   .Asked = Rate,
                   .Held = request_rate(0),
                   .Admitted = Record.Admitted});
  }
  // Others would count the last reported demand for seconds.
  HasReportedDemand = !Own.empty();
  return Exchange.takeReport(Number, std::move(Own), exchangeTime(Now));
}

std::optional<demand_totals> host_allowances::takeTotals(time_point Now) {
  if (!HasLimits)
    return std::nullopt;
  auto Result = Exchange.takeTotals(exchangeTime(Now));
  drawFromPools(Now);
  return Result;
}

demand_summary host_allowances::takeSummary(time_point Now) {
  return Exchange.takeSummary(exchangeTime(Now));
}

void host_allowances::receiveReport(const host_id &Host, report_number Number,
                                    const std::vector<customer_demand> &Demands,
                                    time_point Now) {
  Exchange.receiveReport(Host, Number, Demands, exchangeTime(Now));
}

void host_allowances::receiveSummary(const data_centre_id &DataCentre,
                                     const demand_summary &Summary,
                                     time_point Now) {
  Exchange.receiveSummary(DataCentre, Summary, exchangeTime(Now));
}

void host_allowances::receiveTotals(report_number Included,
                                    const demand_totals &Totals,
                                    time_point Now) {
  Exchange.receiveTotals(Included, Totals, exchangeTime(Now));
  drawFromPools(Now);
}
