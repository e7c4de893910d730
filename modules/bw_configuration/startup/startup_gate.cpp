#include "bw_configuration/startup/startup_gate.h"

#include <algorithm>

using namespace bw;

void startup_gate::storeAnswered(config_version Version) {
  StoreAnswered = true;
  Target = std::max(Target, Version);
  updateReadiness();
}

void startup_gate::setListed(const std::vector<host_id> &Hosts) {
  Listed.clear();
  for (const host_id &Host : Hosts)
    if (Host != Self)
      Listed.insert(Host);
  updateReadiness();
}

void startup_gate::peerAnswered(const host_id &Peer, bool IsReady,
                                config_version Version) {
  if (!IsReady)
    return;
  Answered.insert(Peer);
  Target = std::max(Target, Version);
  updateReadiness();
}

void startup_gate::applied(config_version Version) {
  Applied = std::max(Applied, Version);
  updateReadiness();
}

bool startup_gate::isTargetKnown() const {
  return StoreAnswered || (StoreFailed && majorityAnswered());
}

// This host is not counted, since it knows no version. A majority of the other
// hosts intersects every majority that could have applied a version before, so
// at least one of its hosts reports that version or a later one.
bool startup_gate::majorityAnswered() const {
  const auto Count =
      std::count_if(Listed.begin(), Listed.end(), [this](const host_id &Host) {
        return Answered.contains(Host);
      });
  return static_cast<std::size_t>(Count) * 2 > Listed.size();
}

startup_wait startup_gate::waitsFor() const {
  if (Ready)
    return startup_wait::None;
  if (!isTargetKnown())
    return StoreFailed ? startup_wait::Peers : startup_wait::Store;
  return startup_wait::Configuration;
}

void startup_gate::updateReadiness() {
  const bool Reached = Applied >= Target;
  if (isTargetKnown() && Reached)
    Ready = true;
}
