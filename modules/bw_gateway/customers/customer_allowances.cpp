#include "bw_gateway/customers/customer_allowances.h"

using namespace bw;

customer_allowances::customer_allowances(
    const customer_allowances_options &Options)
    : Self(Options.Self) {
  if (Options.Bounds)
    Allowances = std::make_unique<host_allowances>(
        host_allowances_options{.Self = Options.Self,
                                .DataCentre = Options.DataCentre,
                                .Bounds = *Options.Bounds,
                                .Seed = Options.Seed});
}

void customer_allowances::setConfiguration(
    const gateway_configuration &Configuration, time_point Now) {
  if (Allowances)
    Allowances->setCustomers(Configuration.Customers, Now);
}

void customer_allowances::setHosts(const hosts_counted &Hosts, time_point Now) {
  if (Allowances)
    Allowances->setHosts(Hosts.Hosts, Now);
}

void customer_allowances::setDuty(const exchange_duty &Duty, time_point Now) {
  if (Allowances)
    Allowances->setAggregator(Duty.IsAggregator, Now);
}

void customer_allowances::advanceSuspended(duration Time) {
  if (Allowances)
    Allowances->advanceSuspended(Time);
}

allowance_decision customer_allowances::take(const customer_id &Customer,
                                             time_point Now) {
  return Allowances ? Allowances->take(Customer, Now) : allowance_decision();
}

void customer_allowances::giveBack(const customer_id &Customer,
                                   time_point Now) {
  if (Allowances)
    Allowances->giveBack(Customer, Now);
}

bool customer_allowances::hasDemand(time_point Now) const {
  return isActive() && Allowances->hasDemand(Now);
}

void customer_allowances::addTo(peer_reported &Report, time_point Now) {
  if (isActive())
    Report.Demands = Allowances->takeReport(Report.Number, Now);
}

void customer_allowances::addTo(load_summary &Summary, time_point Now) {
  if (isActive() && Summary.HasLoad)
    Summary.Demand = Allowances->takeSummary(Now);
}

void customer_allowances::addTo(load_aggregate &Aggregate, time_point Now) {
  if (isActive() && Aggregate.HasLoad)
    Aggregate.Demand = Allowances->takeTotals(Now);
}

void customer_allowances::receive(const peer_reported &Report, time_point Now) {
  if (isActive() && Report.HasLoad)
    Allowances->receiveReport(Report.Host, Report.Number, Report.Demands, Now);
}

void customer_allowances::receive(const load_summary &Summary, time_point Now) {
  if (isActive() && Summary.Demand)
    Allowances->receiveSummary(Summary.DataCentre, *Summary.Demand, Now);
}

void customer_allowances::receive(const load_aggregate &Aggregate,
                                  time_point Now) {
  if (!isActive() || !Aggregate.Demand)
    return;
  for (const auto &[Host, Number] : Aggregate.Included)
    if (Host == Self)
      Allowances->receiveTotals(Number, *Aggregate.Demand, Now);
}
