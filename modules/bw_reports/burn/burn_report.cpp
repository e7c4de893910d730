#include "bw_reports/burn/burn_report.h"

#include <fmt/format.h>

using namespace bw;

namespace {

double burnRate(const std::vector<outcome_point> &Points, double From,
                double Objective) {
  double Good = 0;
  double Bad = 0;
  for (const outcome_point &Each : Points) {
    if (Each.Time <= From)
      continue;
    Good += Each.Good;
    Bad += Each.Bad;
  }
  return Good + Bad == 0 ? 0 : Bad / (Good + Bad) / (1 - Objective);
}

} // namespace

std::vector<service_burn> bw::burnReport(outcome_series &Series,
                                         const burn_options &Options) {
  std::vector<service_burn> Result;
  for (const auto &[Service, Points] : Series.services()) {
    service_burn Burn{.Service = Service, .Windows = {}};
    for (const outcome_point &Each : Points) {
      Burn.Good += Each.Good;
      Burn.Bad += Each.Bad;
    }
    const double Allowed = (Burn.Good + Burn.Bad) * (1 - Options.Objective);
    Burn.BudgetSpent = Allowed == 0 ? 0 : Burn.Bad / Allowed;
    const double End = Points.back().Time;
    for (const burn_window &Window : Options.Windows) {
      window_burn Each{
          .Window = Window,
          .LongRate = burnRate(Points, End - Window.Long, Options.Objective),
          .ShortRate = burnRate(Points, End - Window.Short, Options.Objective),
          .IsPartial = Points.front().Time > End - Window.Long};
      Each.IsAlert =
          Each.LongRate > Window.Factor && Each.ShortRate > Window.Factor;
      Burn.Windows.push_back(Each);
    }
    Result.push_back(std::move(Burn));
  }
  return Result;
}

std::string bw::burnTable(const std::vector<service_burn> &Report,
                          const burn_options &Options) {
  std::string Out =
      fmt::format("objective {:.4g} of requests served\n", Options.Objective);
  for (const service_burn &Burn : Report) {
    Out += fmt::format("{}: {:.0f} served, {:.0f} not, {:.2f} of the budget\n",
                       Burn.Service, Burn.Good, Burn.Bad, Burn.BudgetSpent);
    for (const window_burn &Each : Burn.Windows)
      Out += fmt::format(
          "  {:<12} long {:8.2f}x  short {:8.2f}x  limit {:5.1f}x  {}{}\n",
          Each.Window.Name, Each.LongRate, Each.ShortRate, Each.Window.Factor,
          Each.IsAlert ? "ALERT" : "ok",
          Each.IsPartial ? " (shorter than the window)" : "");
  }
  return Out;
}
