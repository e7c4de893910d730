#include "bw_customers/allowances/demand_exchange.h"

#include <algorithm>
#include <utility>

using namespace bw;

namespace {

// A host that has heard no total for this long says which demand it still uses
// a share for. Totals come every 80 ms.
constexpr duration HeldAfter = std::chrono::milliseconds(300);
// A host reports every 80 ms while it has demand, a data centre every 300 ms.
constexpr duration SilentAfter = std::chrono::milliseconds(300);
constexpr duration SummarySilentAfter = std::chrono::milliseconds(900);
// The pool of a new aggregator fills within this time, as it does not know what
// its hosts used before.
constexpr duration PoolStartTime = std::chrono::seconds(2);
// A pool above this part of its depth counts as full.
constexpr double FullPool = 0.9;
// Total of a customer of which this data centre may use nothing.
constexpr double MaxTotal = 1e9;
// Factor by which the sum of a data centre may grow within the growth delay.
// Measured rates of constant demand differ by less.
constexpr double FreeGrowth = 1.3;
// Sums up to this part of the rate, or this rate, may grow at once: even if all
// data centres do so together, they exceed the rate for a moment only.
constexpr double FreePart = 1.0 / 16;
constexpr double FreeRate = 3;

// Keeps the entries with the largest numbers if there are too many. Returns
// false if it dropped some.
template <typename Entry, typename Number>
bool keepLargest(std::vector<Entry> &Entries, const Number &NumberOf) {
  constexpr std::size_t Max = demand_exchange::MaxCustomers;
  if (Entries.size() <= Max)
    return true;
  std::nth_element(Entries.begin(),
                   Entries.begin() + static_cast<std::ptrdiff_t>(Max),
                   Entries.end(), [&](const Entry &Left, const Entry &Right) {
                     return NumberOf(Left) > NumberOf(Right);
                   });
  Entries.resize(Max);
  return false;
}

} // namespace

demand_exchange::demand_exchange(demand_exchange_options Given)
    : Options(std::move(Given)), Shares(Options.Bounds) {}

void demand_exchange::setAggregator(bool IsNow, time_point Now) {
  if (IsNow == IsAggregator)
    return;
  IsAggregator = IsNow;
  AggregatorSince = Now;
  LocalHosts.clear();
  RemoteDataCentres.clear();
  Sums.clear();
  Pools.clear();
  Factor.reset();
}

std::vector<customer_demand>
demand_exchange::takeReport(report_number Number,
                            std::vector<customer_demand> Own, time_point Now) {
  keepLargest(Own, [](const customer_demand &Each) { return Each.Asked; });
  own_report Report{.Number = Number, .SentAt = Now};
  for (const customer_demand &Each : Own) {
    Report.Asked.emplace(Each.Customer, Each.Asked);
    Report.Admitted.emplace(Each.Customer, Each.Admitted);
  }
  if (Confirmed && Now - ConfirmedAt >= HeldAfter &&
      Now - Confirmed->SentAt < Validity)
    for (const auto &Held : Confirmed->Asked) {
      const auto Found =
          std::find_if(Own.begin(), Own.end(), [&](const auto &Each) {
            return Each.Customer == Held.first;
          });
      if (Found == Own.end())
        Own.push_back({.Customer = Held.first,
                       .Asked = request_rate(0),
                       .Held = Held.second});
      else if (Held.second > Found->Asked)
        Found->Held = Held.second;
    }
  while (!Reported.empty() && Now - Reported.front().SentAt >= Validity)
    Reported.pop_front();
  Reported.push_back(std::move(Report));
  if (IsAggregator) {
    receiveReport(Options.Self, Number, Own, Now);
    sample(Now);
  }
  return Own;
}

void demand_exchange::replace(sender &Sender, counted_map Demands,
                              sum_member Member) {
  for (const auto &[Customer, Demand] : Demands) {
    sum &Sum = Sums[Customer];
    (Sum.*Member).Rate += Demand.Rate;
    (Sum.*Member).Silent += Demand.Silent;
    ++Sum.Senders;
  }
  for (const auto &[Customer, Demand] : Sender.Demands) {
    const auto Found = Sums.find(Customer);
    (Found->second.*Member).Rate -= Demand.Rate;
    (Found->second.*Member).Silent -= Demand.Silent;
    if (--Found->second.Senders == 0)
      Sums.erase(Found);
  }
  Sender.Demands = std::move(Demands);
}

void demand_exchange::receiveReport(const host_id &Host, report_number Number,
                                    const std::vector<customer_demand> &Demands,
                                    time_point Now) {
  if (!IsAggregator)
    return;
  const auto [Found, IsNew] = LocalHosts.try_emplace(Host);
  sender &Sender = Found->second;
  Sender.HeardAt = Now;
  if (Number == report_number())
    return;
  // What a host admitted before this aggregator heard from it was drawn from
  // the pool of another one.
  if (!IsNew)
    spend(Sender, Demands);
  for (const customer_demand &Each : Demands)
    Sender.Admitted[Each.Customer] = Each.Admitted;
  counted_map Counted;
  for (const customer_demand &Each : Demands)
    if (Each.Held > request_rate(0))
      Counted[Each.Customer] = {.Rate = Each.Held.value(),
                                .Silent = Each.Held.value()};
    else
      Counted[Each.Customer] = {.Rate = Each.Asked.value(), .Silent = 0};
  replace(Sender, std::move(Counted), &sum::Local);
  Sender.ReportedAt = Now;
  Sender.IsSilent = false;
}

void demand_exchange::spend(sender &Sender,
                            const std::vector<customer_demand> &Demands) {
  for (const customer_demand &Each : Demands) {
    const double Before = Sender.Admitted[Each.Customer];
    // The count starts again when the host forgets the customer or restarts.
    Pools.spend(Each.Customer, Each.Admitted >= Before ? Each.Admitted - Before
                                                       : Each.Admitted);
  }
}

void demand_exchange::receiveSummary(const data_centre_id &DataCentre,
                                     const demand_summary &Summary,
                                     time_point Now) {
  if (!IsAggregator || DataCentre == Options.DataCentre)
    return;
  sender &Sender = RemoteDataCentres[DataCentre];
  Sender.Heard = Summary.Heard;
  counted_map Demands;
  for (const customer_total &Each : Summary.Customers)
    Demands[Each.Customer] = {.Rate = Each.Rate.value(),
                              .Silent = Each.Silent.value()};
  replace(Sender, std::move(Demands), &sum::Remote);
  Sender.HeardAt = Now;
  Sender.ReportedAt = Now;
  Sender.IsSilent = false;
}

template <typename Id>
void demand_exchange::expire(std::map<Id, sender> &Senders, sum_member Member,
                             duration SilentAfter, time_point Now) {
  for (auto Each = Senders.begin(); Each != Senders.end();) {
    sender &Sender = Each->second;
    const duration Age = Now - Sender.ReportedAt;
    if (Age >= DemandTimeout && !Sender.Demands.empty()) {
      replace(Sender, {}, Member);
    } else if (Age >= SilentAfter && !Sender.IsSilent) {
      Sender.IsSilent = true;
      counted_map Demands = Sender.Demands;
      for (auto &[Customer, Demand] : Demands)
        Demand.Silent = Demand.Rate;
      replace(Sender, std::move(Demands), Member);
    }
    if (Sender.Demands.empty() && Now - Sender.HeardAt >= DemandTimeout)
      Each = Senders.erase(Each);
    else
      ++Each;
  }
}

// Minima are kept by an aggregator that sends no totals as well, so that it can
// take over at once.
void demand_exchange::sample(time_point Now) {
  expire(LocalHosts, &sum::Local, SilentAfter, Now);
  expire(RemoteDataCentres, &sum::Remote, SummarySilentAfter, Now);
  for (auto &[Customer, Sum] : Sums) {
    // Demand that a new aggregator finds may be old.
    if (Sum.LocalMinimum.isEmpty() && Factor)
      Sum.LocalMinimum.add(0, Now);
    Sum.LocalMinimum.add(Sum.Local.Rate - Sum.Local.Silent, Now);
    Sum.TotalMinimum.add(Sum.Local.Rate + Sum.Remote.Rate, Now);
  }
  if (!isWarm(Now))
    return;
  if (!Factor)
    Factor.emplace(GrowthDelay);
  Factor->add(Shares.sideFactor(heard(Now)).value(), Now);
  fillPools(Now);
}

// The part of this data centre in the hosts that are heard.
ratio demand_exchange::localPart(time_point Now) const {
  const double Heard = heard(Now).value() * std::max(Hosts, 1U);
  return ratio(std::min(1.0, heardLocally(Now) / std::max(Heard, 1.0)));
}

ratio demand_exchange::quietPart(time_point Now) const {
  return ratio(localPart(Now).value() * Factor->value());
}

// The part of the rate that this data centre may use for its demand, if hosts
// of all data centres are heard.
ratio demand_exchange::activePart(const sum &Sum, request_rate Rate) {
  const double Active =
      Sum.Local.Rate + Sum.Remote.Rate - Sum.Local.Silent - Sum.Remote.Silent;
  const double ActiveHere = std::max(0.0, Sum.Local.Rate - Sum.Local.Silent);
  return ratio(freePart(Sum, Rate) *
               std::min(ActiveHere, immediateDemand(Sum, Rate)) /
               std::max(Active, allowance_shares::quietTotal(Rate).value()));
}

ratio demand_exchange::poolPart(const sum &Sum, request_rate Rate) const {
  return ratio(activePart(Sum, Rate).value() * Factor->value());
}

void demand_exchange::fillPools(time_point Now) {
  const double Age =
      std::chrono::duration<double>(Now - AggregatorSince).count() /
      std::chrono::duration<double>(PoolStartTime).count();
  for (const auto &[Customer, Sum] : Sums) {
    const customer_allowance Allowance = Options.AllowanceOf(Customer);
    if (!Allowance.isLimited())
      continue;
    Pools.fill(Customer,
               Shares.poolShare(Allowance, poolPart(Sum, Allowance.Rate),
                                quietPart(Now)),
               std::min(1.0, Age), Now);
  }
  Pools.forgetUnfilledSince(Now - PoolStartTime);
}

// This host always hears itself, also when it sends no reports.
std::uint32_t demand_exchange::heardLocally(time_point Now) const {
  std::uint32_t Result = 1;
  for (const auto &[Host, Sender] : LocalHosts)
    if (Host != Options.Self && Now - Sender.HeardAt < Validity)
      ++Result;
  return Result;
}

ratio demand_exchange::heard(time_point Now) const {
  std::uint64_t Heard = heardLocally(Now);
  for (const auto &[DataCentre, Sender] : RemoteDataCentres)
    if (Now - Sender.HeardAt < Validity)
      Heard += Sender.Heard;
  return ratio(std::min(1.0, static_cast<double>(Heard) / std::max(Hosts, 1U)));
}

bool demand_exchange::isWarm(time_point Now) const {
  const ratio Heard = heard(Now);
  return Now - AggregatorSince >= WarmUp || Heard >= ratio(1) ||
         (Now - AggregatorSince >= LargeSideWarmUp &&
          Shares.sideFactor(Heard) >= ratio(1));
}

// Part of the rate that silent hosts cannot use.
double demand_exchange::freePart(const sum &Sum, request_rate Rate) {
  const double Silent = Sum.Local.Silent + Sum.Remote.Silent;
  return 1 - Silent / std::max({Sum.TotalMinimum.value(), Silent,
                                allowance_shares::quietTotal(Rate).value()});
}

// Demand of this data centre that others have heard of, or may learn later.
double demand_exchange::immediateDemand(const sum &Sum, request_rate Rate) {
  return std::max({FreeGrowth * Sum.LocalMinimum.value(),
                   FreePart * Rate.value(), FreeRate});
}

// The total by which the shares of this data centre's hosts that hear totals
// add up to what the data centre may use now.
double demand_exchange::heldBackTotal(const sum &Sum, request_rate Rate) {
  const double Part = activePart(Sum, Rate).value();
  return Part <= 0
             ? MaxTotal
             : std::min((Sum.Local.Rate - Sum.Local.Silent) / Part, MaxTotal);
}

std::optional<demand_totals> demand_exchange::takeTotals(time_point Now) {
  if (!IsAggregator)
    return std::nullopt;
  sample(Now);
  if (!Factor)
    return std::nullopt;
  const ratio Quiet = quietPart(Now);
  demand_totals Result{.Factor = ratio(Factor->value()),
                       .Part = Quiet,
                       .LocalHosts = heardLocally(Now),
                       .IsComplete = true,
                       .Customers = {}};
  for (const auto &[Customer, Sum] : Sums) {
    const customer_allowance Allowance = Options.AllowanceOf(Customer);
    if (!Allowance.isLimited())
      continue;
    const request_rate Total(heldBackTotal(Sum, Allowance.Rate));
    const double Pool = Pools.tokens(Customer);
    const bool IsFull =
        Pool >= FullPool * Shares.poolShare(Allowance, Quiet, Quiet).Depth;
    if (Total <= allowance_shares::quietTotal(Allowance.Rate) && IsFull)
      continue;
    const double Part = std::max(poolPart(Sum, Allowance.Rate), Quiet).value();
    Result.Customers.push_back(
        {.Customer = Customer,
         .Total = Total,
         .Pooled = allowance_shares::pooledTokens(
             Pool, request_rate(Part * Allowance.Rate.value()),
             Result.LocalHosts)});
  }
  Result.IsComplete =
      keepLargest(Result.Customers,
                  [](const customer_standing &Each) { return Each.Total; });
  if (!Reported.empty())
    receiveTotals(Reported.back().Number, Result, Now);
  return Result;
}

demand_summary demand_exchange::takeSummary(time_point Now) {
  sample(Now);
  demand_summary Result{.Heard = heardLocally(Now), .Customers = {}};
  for (const auto &[Customer, Sum] : Sums)
    if (Sum.Local.Rate > 0)
      Result.Customers.push_back(
          {.Customer = Customer,
           .Rate = request_rate(Sum.Local.Rate),
           // Rounding of the sums must not make it larger than the rate.
           .Silent = request_rate(
               std::clamp(Sum.Local.Silent, 0.0, Sum.Local.Rate))});
  keepLargest(Result.Customers,
              [](const customer_total &Each) { return Each.Rate; });
  return Result;
}

void demand_exchange::receiveTotals(report_number Included,
                                    const demand_totals &Received,
                                    time_point Now) {
  const auto Found = std::find_if(
      Reported.begin(), Reported.end(),
      [&](const own_report &Each) { return Each.Number == Included; });
  if (Found == Reported.end())
    return;
  Confirmed = *Found;
  // A late message must not bring back an older total.
  Reported.erase(Reported.begin(), Found);
  Standings.clear();
  for (const customer_standing &Each : Received.Customers)
    Standings.emplace(Each.Customer, Each);
  Totals = Received;
  Totals.Customers.clear();
  ConfirmedAt = Now;
}

std::optional<confirmed_demand>
demand_exchange::confirmed(const customer_id &Customer, time_point Now) const {
  if (!Confirmed || Now - Confirmed->SentAt >= Validity)
    return std::nullopt;
  const auto Own = Confirmed->Asked.find(Customer);
  confirmed_demand Result{.Own = Own == Confirmed->Asked.end() ? request_rate(0)
                                                               : Own->second,
                          .Total = request_rate(0),
                          .Factor = Totals.Factor,
                          .Pooled = 0};
  const auto Standing = Standings.find(Customer);
  if (Standing != Standings.end()) {
    Result.Total = Standing->second.Total;
    Result.Pooled = Standing->second.Pooled;
    return Result;
  }
  if (!Totals.IsComplete)
    return std::nullopt;
  const customer_allowance Allowance = Options.AllowanceOf(Customer);
  Result.Pooled = allowance_shares::pooledTokens(
      Shares.poolShare(Allowance, Totals.Part, Totals.Part).Depth,
      request_rate(Totals.Part.value() * Allowance.Rate.value()),
      Totals.LocalHosts);
  return Result;
}

double demand_exchange::includedAdmitted(const customer_id &Customer) const {
  if (!Confirmed)
    return 0;
  const auto Found = Confirmed->Admitted.find(Customer);
  return Found == Confirmed->Admitted.end() ? 0 : Found->second;
}
