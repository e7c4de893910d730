#include "bw_gateway/servers/data_centre_choice.h"

#include <memory>
#include <unordered_map>

using namespace bw;

namespace {

/// Returns the data centre for a request, or null if it stays.
const data_centre_id *destination(const spill_policy &Policy,
                                  const departure_request &Request,
                                  const data_centre_id &Own) {
  const double Share = Policy.share(Request.IsDownload);
  if (Request.Draw >= Share)
    return &Own;
  // Below the share, the draw is uniform as well.
  return Policy.choose(Request.Draw / Share);
}

std::vector<data_centre_rank> rankBySpill(spill_policy &Policy,
                                          const data_centre_loads &Known,
                                          const departure_request &Request,
                                          time_point Now) {
  using rank = data_centre_rank;
  const data_centre_load &Own = Known.Loads[Known.Own];
  std::vector<data_centre_load> Others;
  for (std::size_t Index = 0; Index < Known.Loads.size(); ++Index)
    if (Index != Known.Own)
      Others.push_back(Known.Loads[Index]);
  Policy.update(Own, Others, Request.IsDeclined, Now);
  const data_centre_id *Chosen = destination(Policy, Request, Own.Id);
  std::vector<rank> Result;
  for (const data_centre_load &Each : Known.Loads) {
    const bool IsOwn = Each.Id == Own.Id;
    // Without a known destination, the responses show which servers can be
    // reached. A request that may leave still stays if that takes no longer.
    const bool IsDestination = Chosen != nullptr ? Each.Id == *Chosen : !IsOwn;
    const bool MayLeave = Chosen == nullptr || *Chosen != Own.Id;
    const bool IsKnown = IsOwn || spill_policy::isHeard(Each);
    if (IsDestination || (IsOwn && MayLeave) ||
        (Request.IsFurtherAttempt && IsKnown))
      Result.push_back(rank::Chosen);
    else
      Result.push_back(IsKnown ? rank::Usable : rank::Last);
  }
  return Result;
}

} // namespace

std::string_view bw::departureName(departure_reason Reason) {
  switch (Reason) {
  case departure_reason::Spill:
    return "spill";
  case departure_reason::NoLocalServer:
    return "no_local_server";
  case departure_reason::Retry:
    return "retry";
  case departure_reason::Probe:
    return "probe";
  }
  return "";
}

data_centre_choice bw::makeSpillingChoice() {
  // Copies of the function share the policies, as `std::function` may copy it.
  using policy_map = std::unordered_map<service_id, spill_policy>;
  return [Policies = std::make_shared<policy_map>()](
             const data_centre_loads &Known, const departure_request &Request,
             time_point Now) {
    return rankBySpill((*Policies)[Known.Service], Known, Request, Now);
  };
}
