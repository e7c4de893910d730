#include "bw_engine/fleet/service_settings.h"

#include <algorithm>

using namespace bw;

kind_index service_settings::kindIndex(const request_kind &Kind) const {
  const auto Found = std::find(Kinds.begin(), Kinds.end(), Kind);
  return boundedKind(static_cast<std::size_t>(Found - Kinds.begin()));
}
