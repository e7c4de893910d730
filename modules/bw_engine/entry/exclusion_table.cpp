#include "bw_engine/entry/exclusion_table.h"

#include "bw_detection/floor/ejection_floor.h"
#include "bw_membership/servers/server_directory.h"

using namespace bw;

bool exclusion_table::report(const service_id &Service,
                             const request_kind &Kind,
                             const backend_server_id &Server, double Score,
                             time_point Until) {
  const auto Found = Ejections.find({Service, Kind});
  if (Score > 0) {
    Ejections[{Service, Kind}][Server] = {Score, Until};
    return true;
  }
  return Found != Ejections.end() && Found->second.erase(Server) > 0;
}

std::vector<std::pair<service_id, request_kind>>
exclusion_table::expire(time_point Now) {
  std::vector<kind_key> Changed;
  for (auto Entry = Ejections.begin(); Entry != Ejections.end();) {
    const auto Ended = std::erase_if(Entry->second, [&](const auto &Ejected) {
      return Ejected.second.Until <= Now;
    });
    if (Ended > 0)
      Changed.push_back(Entry->first);
    Entry = Entry->second.empty() ? Ejections.erase(Entry) : std::next(Entry);
  }
  return Changed;
}

std::vector<backend_server_id>
exclusion_table::excluded(const service_id &Service, const request_kind &Kind,
                          ratio Floor,
                          const std::vector<listed_server> &Listed) const {
  const auto Found = Ejections.find({Service, Kind});
  if (Found == Ejections.end())
    return {};
  std::vector<ejection_candidate> Candidates;
  Candidates.reserve(Listed.size());
  for (const listed_server &Server : Listed) {
    const auto Ejected = Found->second.find(Server.Server);
    const bool IsEjected = Ejected != Found->second.end();
    Candidates.push_back({.Server = Server.Server,
                          .Leaving = Server.Leaving,
                          .Ejected = IsEjected,
                          .Score = IsEjected ? Ejected->second.Score : 0});
  }
  return ejection_floor(Floor).selectExcluded(Candidates);
}

bool exclusion_table::isEjected(const service_id &Service,
                                const request_kind &Kind,
                                const backend_server_id &Server) const {
  const auto Found = Ejections.find({Service, Kind});
  return Found != Ejections.end() && Found->second.contains(Server);
}
