#include "bw_gateway_daemon/peers/exchange_demands.h"

#include "bw_gateway_daemon/peers/exchange_messages.h"

using namespace bw;

namespace {

// Numbers beyond these would make shares useless for seconds, and come from no
// working host.
constexpr double MaxRate = 1e9;
constexpr double MaxAdmitted = 1e15;
constexpr std::uint32_t MaxHosts = 100'000;

// Rejects numbers that are not finite, as comparisons with them are false.
double checked(double Value, double Max) {
  if (!(Value >= 0 && Value <= Max))
    throw exchange_error("demand of a customer is out of range");
  return Value;
}

std::uint32_t checkedHosts(std::uint32_t Hosts) {
  if (Hosts > MaxHosts)
    throw exchange_error("number of hosts is out of range");
  return Hosts;
}

customer_id checkedName(const std::string &Name) {
  if (Name.empty())
    throw exchange_error("demand of a customer without a name");
  return customer_id(Name);
}

template <typename Customers> std::size_t sizeOf(const Customers &List) {
  // Three numbers of 9 bytes, and the lengths of entry and name.
  constexpr std::size_t MaxEntryBytes = 36;
  std::size_t Result = MaxEntryBytes;
  for (const auto &Each : List)
    Result += MaxEntryBytes + Each.Customer.value().size();
  return Result;
}

} // namespace

void bw::encodeDemands(const std::vector<customer_demand> &Demands,
                       exchange::host_report &Result) {
  for (const customer_demand &Each : Demands) {
    auto *Demand = Result.add_demands();
    Demand->set_customer(Each.Customer.value());
    Demand->set_asked(Each.Asked.value());
    Demand->set_held(Each.Held.value());
    Demand->set_admitted(Each.Admitted);
  }
}

std::vector<customer_demand>
bw::decodeDemands(const exchange::host_report &Report) {
  std::vector<customer_demand> Result;
  for (const auto &Each : Report.demands())
    Result.push_back({.Customer = checkedName(Each.customer()),
                      .Asked = request_rate(checked(Each.asked(), MaxRate)),
                      .Held = request_rate(checked(Each.held(), MaxRate)),
                      .Admitted = checked(Each.admitted(), MaxAdmitted)});
  return Result;
}

void bw::encodeDemandSummary(const demand_summary &Summary,
                             exchange::demand_summary_record &Result) {
  Result.set_heard(Summary.Heard);
  Result.set_counts_admitted(Summary.CountsAdmitted);
  for (const customer_total &Each : Summary.Customers) {
    auto *Total = Result.add_customers();
    Total->set_customer(Each.Customer.value());
    Total->set_rate(Each.Rate.value());
    Total->set_silent(Each.Silent.value());
    Total->set_admitted(Each.Admitted);
  }
}

demand_summary
bw::decodeDemandSummary(const exchange::demand_summary_record &Record) {
  demand_summary Result{.Heard = checkedHosts(Record.heard()),
                        .CountsAdmitted = Record.counts_admitted(),
                        .Customers = {}};
  for (const auto &Each : Record.customers())
    Result.Customers.push_back(
        {.Customer = checkedName(Each.customer()),
         .Rate = request_rate(checked(Each.rate(), MaxRate)),
         // Hosts that are silent cannot ask for more than all.
         .Silent = request_rate(checked(Each.silent(), Each.rate())),
         .Admitted = checked(Each.admitted(), MaxAdmitted)});
  return Result;
}

void bw::encodeDemandTotals(const demand_totals &Totals,
                            exchange::demand_totals_record &Result) {
  Result.set_factor(Totals.Factor.value());
  Result.set_part(Totals.Part.value());
  Result.set_local_hosts(Totals.LocalHosts);
  Result.set_is_complete(Totals.IsComplete);
  for (const customer_standing &Each : Totals.Customers) {
    auto *Standing = Result.add_customers();
    Standing->set_customer(Each.Customer.value());
    Standing->set_total(Each.Total.value());
    Standing->set_pooled(Each.Pooled);
    Standing->set_is_inside(Each.IsInside);
  }
}

demand_totals
bw::decodeDemandTotals(const exchange::demand_totals_record &Record) {
  demand_totals Result{.Factor = ratio(checked(Record.factor(), 1)),
                       .Part = ratio(checked(Record.part(), 1)),
                       .LocalHosts = checkedHosts(Record.local_hosts()),
                       .IsComplete = Record.is_complete(),
                       .Customers = {}};
  for (const auto &Each : Record.customers())
    Result.Customers.push_back(
        {.Customer = checkedName(Each.customer()),
         .Total = request_rate(checked(Each.total(), MaxRate)),
         .Pooled = checked(Each.pooled(), MaxRate),
         .IsInside = Each.is_inside()});
  return Result;
}

std::size_t bw::encodedSize(const demand_summary &Summary) {
  return sizeOf(Summary.Customers);
}

std::size_t bw::encodedSize(const demand_totals &Totals) {
  return sizeOf(Totals.Customers);
}
