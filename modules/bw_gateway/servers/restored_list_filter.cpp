#include "bw_gateway/servers/restored_list_filter.h"

using namespace bw;

namespace {

// After a return of the store, running servers write their entries again within
// about this time.
constexpr duration EntryReturnTime = std::chrono::seconds(2);
// The entry of a server expires after so many heartbeat intervals without one.
constexpr int ExpiryHeartbeats = 3;
// No copy of the store is older.
constexpr duration MaxCopyAge = std::chrono::seconds(60);

} // namespace

// After this time each entry is of a running server, which has written it again
// since: that of a dead one has expired.
bool restored_list_filter::isActive(time_point Now) const {
  return RestoredAt && Now < *RestoredAt + EntryReturnTime +
                                 ExpiryHeartbeats * Options.HeartbeatInterval;
}

void restored_list_filter::forgetOld(time_point Now) {
  std::erase_if(Removed, [&](const auto &Each) {
    return Now - Each.second.At > MaxCopyAge;
  });
}

void restored_list_filter::recordRestore(time_point Now) {
  RestoredAt = Now;
  forgetOld(Now);
}

void restored_list_filter::recordRemoval(const listed_server &Server,
                                         time_point Now) {
  forgetOld(Now);
  Removed[Server.Server] = {.Start = Server.Start, .At = Now};
}

void restored_list_filter::recordListing(const listed_server &Server) {
  const auto Found = Removed.find(Server.Server);
  if (Found != Removed.end() && Found->second.Start == Server.Start)
    Removed.erase(Found);
}

bool restored_list_filter::isOutdated(const listed_server &Entry,
                                      time_point Now) const {
  if (!isActive(Now))
    return false;
  const auto Found = Removed.find(Entry.Server);
  return Found != Removed.end() && Found->second.Start == Entry.Start &&
         Found->second.At < *RestoredAt;
}
