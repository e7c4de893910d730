#ifndef BW_ENGINE_ENTRY_EXCLUSION_TABLE_H
#define BW_ENGINE_ENTRY_EXCLUSION_TABLE_H

#include "bw_core/ids/identifiers.h"
#include "bw_core/ids/time.h"
#include "bw_core/ids/units.h"

#include <map>
#include <utility>
#include <vector>

namespace bw {

struct listed_server;

/// Ejections that owners reported to this entry host, by service and request
/// kind. Single thread.
class exclusion_table {
public:
  /// Records an owner's report: the score is above 0 while the instance is
  /// ejected for the kind. Returns true if the exclusions may have changed.
  bool report(const service_id &Service, const request_kind &Kind,
              const backend_server_id &Server, double Score, time_point Until);

  /// Removes ejections that have ended. Returns the affected services and
  /// kinds.
  std::vector<std::pair<service_id, request_kind>> expire(time_point Now);

  /// The instances to exclude from picking without going below the floor.
  /// `Listed` holds all instances of the service, including leaving ones.
  std::vector<backend_server_id>
  excluded(const service_id &Service, const request_kind &Kind, ratio Floor,
           const std::vector<listed_server> &Listed) const;

  /// True if the instance is reported as ejected. It may still be picked if the
  /// floor keeps it in use.
  bool isEjected(const service_id &Service, const request_kind &Kind,
                 const backend_server_id &Server) const;

private:
  struct ejection {
    double Score;
    time_point Until;
  };
  using kind_key = std::pair<service_id, request_kind>;
  std::map<kind_key, std::map<backend_server_id, ejection>> Ejections;
};

} // namespace bw

#endif
