#include "bw_decision_bench/fleet/fleet.h"

#include <algorithm>

using namespace bw;

namespace {

std::string numbered(const char *Kind, std::size_t Number) {
  return Kind + std::to_string(Number);
}

data_centre_id centreName(std::size_t Number) {
  return data_centre_id(numbered("data-centre-", Number));
}

route makeRoute(std::size_t Number, std::size_t Services,
                random_source &Random) {
  const std::size_t Service = Number % Services;
  return {.Id = route_id(numbered("route-", Number)),
          .Prefix = numbered("/services/", Service) + numbered("/r", Number),
          .Service = service_id(numbered("service-", Service)),
          .Kind = request_kind(numbered("kind-", Number % 4)),
          .Repeatable = Random.chance(0.7),
          .Long = Random.chance(0.05)};
}

} // namespace

fleet_size fleet_size::dividedBy(std::size_t Divisor) const {
  const auto Part = [&](std::size_t Whole) {
    return std::max<std::size_t>(Whole / Divisor, 1);
  };
  return {.Hosts = Part(Hosts),
          .DataCentres = DataCentres,
          .Instances = Part(Instances),
          .Services = Part(Services),
          .Routes = Part(Routes),
          .Callers = Part(Callers)};
}

fleet::fleet(const fleet_size &Size, random_source &Random) {
  for (std::size_t Number = 0; Number < Size.Hosts; ++Number)
    Hosts.push_back({host_id(numbered("host-", Number)),
                     centreName(Number % Size.DataCentres)});
  for (std::size_t Number = 0; Number < Size.Instances; ++Number)
    Instances.push_back(
        {.Name = backend_server_id(numbered("server-", Number)),
         .Service = service_id(numbered("service-", Number % Size.Services)),
         .DataCentre = centreName(Number / Size.Services % Size.DataCentres),
         .Slots = slot_count(Random.chance(0.5) ? 2 : 6)});
  for (std::size_t Number = 0; Number < Size.Routes; ++Number)
    Routes.push_back(makeRoute(Number, Size.Services, Random));
  for (const route &Route : Routes)
    Paths.push_back(Route.Prefix + numbered("/records/", Random.below(10'000)));
  for (std::size_t Number = 0; Number < Size.Callers; ++Number)
    Callers.emplace_back(numbered("caller-", Number));
}

ownership_map bw::settledOwners(const fleet &Fleet) {
  ownership_map Owners({.Self = Fleet.Hosts.front().Name});
  for (const fleet_host &Host : Fleet.Hosts)
    Owners.addHost(Host.Name, Host.DataCentre, time_point{}, SettledTime);
  for (const picker_instance &Instance : Fleet.Instances)
    Owners.addInstance(Instance.Name, Instance.DataCentre);
  return Owners;
}
