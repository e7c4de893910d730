#ifndef BW_DECISION_BENCH_FLEET_FLEET_H
#define BW_DECISION_BENCH_FLEET_FLEET_H

#include "bw_core/ids/identifiers.h"
#include "bw_core/random/random_source.h"
#include "bw_routing/ownership/ownership_map.h"
#include "bw_routing/picking/server_picker.h"
#include "bw_routing/routes/route_table.h"

#include <string>
#include <vector>

namespace bw {

/// The default is the design size of docs/design.md, section 1.5.
struct fleet_size {
  std::size_t Hosts = 670;
  std::size_t DataCentres = 7;
  std::size_t Instances = 9'700;
  std::size_t Services = 320;
  std::size_t Routes = 4'100;
  std::size_t Callers = 23'000;

  /// Everything but the data centres divided by the number.
  fleet_size dividedBy(std::size_t Divisor) const;
};

struct fleet_host {
  host_id Name;
  data_centre_id DataCentre;
};

/// Names of a made-up fleet. Each service is spread evenly over the data
/// centres; instances have 2 or 6 slots.
struct fleet {
  fleet(const fleet_size &Size, random_source &Random);

  std::vector<fleet_host> Hosts;
  std::vector<picker_instance> Instances;
  std::vector<route> Routes;
  /// One request path for each route.
  std::vector<std::string> Paths;
  std::vector<caller_id> Callers;
};

/// All hosts are ready and past their takeover delay at this time.
constexpr time_point SettledTime{std::chrono::seconds(100)};

ownership_map settledOwners(const fleet &Fleet);

} // namespace bw

#endif
