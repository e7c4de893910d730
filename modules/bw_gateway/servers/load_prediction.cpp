// Expected load and speed of the servers.

#include "bw_gateway/servers/server_pool.h"

#include <algorithm>
#include <cmath>

using namespace bw;

namespace {

// Weight of one answer in the estimate of a server's speed. A host sees a
// server of a large service every few seconds, and service times vary by half.
constexpr double SpeedWeight = 0.1;
// One answer counts at most this much, and a server gets at most this much less
// or more work: evidence of failure deals with servers that are slower.
constexpr double MaxSpeedFactor = 4;

double seconds(duration Time) {
  return std::chrono::duration<double>(Time).count();
}

} // namespace

std::uint32_t server_pool::dataCentreIndex(const data_centre_id &DataCentre) {
  const auto Found =
      std::find(DataCentres.begin(), DataCentres.end(), DataCentre);
  const auto Index = static_cast<std::uint32_t>(Found - DataCentres.begin());
  if (Found == DataCentres.end())
    DataCentres.push_back(DataCentre);
  return Index;
}

void server_pool::recordSpeed(const backend_server_id &Server, duration Taken,
                              duration Usual) {
  const auto Found = Indexes.find(Server);
  if (Found == Indexes.end() || Usual <= duration())
    return;
  double &Slowness = Entries[Found->second].Slowness;
  const double Sample = std::clamp(seconds(Taken) / seconds(Usual),
                                   1 / MaxSpeedFactor, MaxSpeedFactor);
  Slowness += SpeedWeight * (Sample - Slowness);
}

// Answers hosts that all send to the server that seemed free in the last
// report: within one service time the requests of a report have ended and
// others have taken their place. The older a report is, the more the load of a
// server resembles the mean of its data centre. What this host has there is
// known.
void server_pool::predictLoad(const service_id &Service, time_point Now) {
  const auto Usual = ServiceTimes.find(Service);
  const bool IsKnown =
      Usual != ServiceTimes.end() && Usual->second > duration();
  if (IsKnown) {
    LoadSums.assign(DataCentres.size(), {});
    for (const server_candidate &Each : Candidates) {
      load_sums &Sums = LoadSums[Entries[Each.Index].DataCentre];
      Sums.Slots += Each.Slots;
      Sums.Elsewhere += Each.InFlight;
    }
    // Most requests at a server come from its own data centre.
    if (Options.ChooseDataCentre)
      for (std::size_t Index = 0; Index < DataCentres.size(); ++Index)
        LoadSums[Index].MoreAge = seconds(
            Exchange.summaryAge(DataCentres[Index], Now).value_or(duration()));
  }
  const double LocalAge = seconds(LoadAge.at(Now));
  for (server_candidate &Each : Candidates) {
    const entry &Entry = Entries[Each.Index];
    if (IsKnown) {
      const double Age = LocalAge + LoadSums[Entry.DataCentre].MoreAge;
      const load_sums &Sums = LoadSums[Entry.DataCentre];
      const double Mean = Each.Slots * Sums.Elsewhere / Sums.Slots;
      const double Left =
          std::exp(-Age / (seconds(Usual->second) * Entry.Slowness));
      Each.InFlight = Left * Each.InFlight + (1 - Left) * Mean;
      Each.Uncertainty = std::sqrt(Mean * (1 - Left * Left));
    }
    Each.Work = Each.InFlight + Entry.OwnWork;
    Each.InFlight += Entry.OwnInFlight;
  }
}

service_load server_pool::load(const service_id &Service,
                               time_point Now) const {
  service_load Result{.Own = double(ownInFlight(Service)),
                      .Hosts = double(Hosts.Hosts)};
  if (const auto Usual = ServiceTimes.find(Service);
      Usual != ServiceTimes.end())
    Result.ServiceTime = Usual->second;
  const auto Found = Services.find(Service);
  if (Found == Services.end())
    return Result;
  double Elsewhere = 0;
  for (const std::uint32_t Index : Found->second) {
    const entry &Entry = Entries[Index];
    if (Entry.Server.Leaving || Entry.Ejected ||
        Entry.Restraint.nextRequest(Now) > Now)
      continue;
    Result.Slots += std::max(Entry.Server.Slots.value(), 1U);
    ++Result.Servers;
    Elsewhere += Exchange.inFlightElsewhere(Entry.Server.Server);
  }
  Result.InFlight = Result.Own + Elsewhere;
  if (Result.ServiceTime > duration()) {
    const double Left =
        std::exp(-seconds(LoadAge.at(Now)) / seconds(Result.ServiceTime));
    Result.Uncertainty =
        std::sqrt(Elsewhere * Result.Servers * (1 - Left * Left));
  }
  return Result;
}

std::uint32_t server_pool::ownInFlight(const service_id &Service) const {
  const auto Found = OwnInFlight.find(Service);
  return Found == OwnInFlight.end() ? 0 : Found->second;
}
