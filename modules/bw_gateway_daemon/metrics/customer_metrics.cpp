#include "bw_gateway_daemon/metrics/customer_metrics.h"

#include <algorithm>
#include <functional>

#include <fmt/format.h>

using namespace bw;

namespace {

// A customer takes the place of another only with this many times its refusals,
// so that two of them do not take turns.
constexpr std::uint64_t ReplaceFactor = 2;

std::string escaped(const std::string &Text) {
  std::string Result;
  for (const char Each : Text) {
    if (Each == '\n') {
      Result += "\\n";
      continue;
    }
    if (Each == '\\' || Each == '"')
      Result += '\\';
    Result += Each;
  }
  return Result;
}

std::string header(const std::string &Name, const std::string &Help,
                   const std::string &Type) {
  return fmt::format("# HELP {0} {1}\n# TYPE {0} {2}\n", Name, Help, Type);
}

} // namespace

customer_metrics::counters &
customer_metrics::countersOf(const customer_id &Customer, bool IsRefused) {
  const std::uint64_t Own = IsRefused ? ++Refusals[Customer] : 0;
  const auto Found = Named.find(Customer);
  if (Found != Named.end())
    return Found->second;
  if (!IsRefused)
    return Others;
  if (Named.size() < MaxNamed)
    return Named[Customer];
  const auto Least = std::min_element(
      Named.begin(), Named.end(), [&](const auto &Left, const auto &Right) {
        return Refusals.at(Left.first) < Refusals.at(Right.first);
      });
  if (Own <= ReplaceFactor * Refusals.at(Least->first))
    return Others;
  // Its earlier requests stay with the others, as counters must not decrease.
  Others.Admitted += Least->second.Admitted;
  Others.Refused += Least->second.Refused;
  Named.erase(Least);
  return Named[Customer];
}

void customer_metrics::count(const customer_id &Customer,
                             const allowance_decision &Decision) {
  const std::lock_guard Guard(Mutex);
  counters &Counters = countersOf(Customer, !Decision.IsAdmitted);
  ++(Decision.IsAdmitted ? Counters.Admitted : Counters.Refused);
  Counters.Share = Decision.Share.value();
  Counters.Total = Decision.Total.value();
}

std::string customer_metrics::text() const {
  const std::lock_guard Guard(Mutex);
  const std::string Requests = "bramleywinch_customer_requests_total";
  const std::string Share = "bramleywinch_customer_share";
  const std::string Total = "bramleywinch_customer_demand";
  std::string Result =
      header(Requests, "Requests of customers with a limit.", "counter");
  const auto AddRequests = [&](const std::string &Name, const counters &Of) {
    Result += fmt::format("{0}{{customer=\"{1}\",outcome=\"admitted\"}} {2}\n"
                          "{0}{{customer=\"{1}\",outcome=\"refused\"}} {3}\n",
                          Requests, escaped(Name), Of.Admitted, Of.Refused);
  };
  for (const auto &[Customer, Counters] : Named)
    AddRequests(Customer.value(), Counters);
  AddRequests(OthersLabel, Others);
  const auto AddGauge = [&](const std::string &Name, const std::string &Help,
                            double counters::*Value) {
    Result += header(Name, Help, "gauge");
    for (const auto &[Customer, Counters] : Named)
      Result += fmt::format("{}{{customer=\"{}\"}} {}\n", Name,
                            escaped(Customer.value()), Counters.*Value);
  };
  AddGauge(Share, "Requests per second that this host may admit.",
           &counters::Share);
  AddGauge(Total,
           "Requests per second at all hosts; 0 below a quarter of the rate.",
           &counters::Total);
  return Result;
}

gateway_observer bw::makeCustomerMetrics(customer_metrics &Metrics) {
  gateway_observer Result;
  Result.OnAllowance = [&Metrics](const customer_id &Customer,
                                  const allowance_decision &Decision) {
    Metrics.count(Customer, Decision);
  };
  return Result;
}
