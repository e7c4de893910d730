#ifndef BW_SIMULATION_LINKS_LINK_MODEL_H
#define BW_SIMULATION_LINKS_LINK_MODEL_H

#include "bw_core/ids/identifiers.h"
#include "bw_core/ids/time.h"
#include "bw_core/random/random_source.h"

#include <optional>
#include <string>
#include <vector>

namespace bw {

/// A customer's data centres and the links between them.
struct deployment {
  std::string Name;
  std::vector<std::string> DataCentres;
  std::size_t Hosts = 32;
  /// One way between data centres; delays vary by as much again.
  duration OneWay{};
};

deployment chaopraya();
deployment sagarmatha();
/// The design size: 670 hosts in 7 data centres of 2 regions.
deployment designSize();

/// Hosts of a deployment and the fate of messages between them.
class link_model {
public:
  link_model(deployment Deployment, double LossChance)
      : Deployment(std::move(Deployment)), LossChance(LossChance) {}

  std::size_t hosts() const { return Deployment.Hosts; }
  host_id host(std::size_t Index) const;
  std::size_t index(const host_id &Host) const;
  data_centre_id dataCentre(std::size_t Index) const;

  /// From now on no message gets from the first data centre to the second;
  /// the other way stays open.
  void partitionOneWay() { Partitioned = true; }

  /// The delay of one message, or nothing if it is lost.
  std::optional<duration> transit(std::size_t From, std::size_t To,
                                  random_source &Random) const;

private:
  deployment Deployment;
  double LossChance;
  bool Partitioned = false;
};

} // namespace bw

#endif
