#include "bw_simulation/links/link_model.h"

#include <cstdlib>

using namespace bw;
using namespace std::chrono_literals;

namespace {

constexpr duration WithinDataCentre = 300us;

} // namespace

deployment bw::chaopraya() {
  return {"chaopraya", {"bkk-a", "bkk-b", "nbi-c"}, 32, 4ms};
}

deployment bw::sagarmatha() {
  return {
      "sagarmatha", {"baneshwor", "lalitpur", "bhaktapur", "thamel"}, 32, 5ms};
}

deployment bw::designSize() {
  return {"design_size",
          {"a-1", "a-2", "a-3", "a-4", "b-1", "b-2", "b-3"},
          670,
          5ms};
}

host_id link_model::host(std::size_t Index) const {
  return host_id("host-" + std::to_string(Index));
}

std::size_t link_model::index(const host_id &Host) const {
  return std::strtoul(Host.value().c_str() + 5, nullptr, 10);
}

data_centre_id link_model::dataCentre(std::size_t Index) const {
  const auto &Names = Deployment.DataCentres;
  return data_centre_id(Names[Index % Names.size()]);
}

std::optional<duration> link_model::transit(std::size_t From, std::size_t To,
                                            random_source &Random) const {
  const std::size_t Count = Deployment.DataCentres.size();
  if (Random.chance(LossChance))
    return std::nullopt;
  if (Partitioned && From % Count == 0 && To % Count == 1)
    return std::nullopt;
  const duration Base =
      From % Count == To % Count ? WithinDataCentre : Deployment.OneWay;
  const double Jitter = Random.exponential(static_cast<double>(Base.count()));
  return Base + duration(static_cast<std::int64_t>(Jitter));
}
