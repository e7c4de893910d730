#ifndef BW_ROUTING_ROUTES_ROUTE_TABLE_H
#define BW_ROUTING_ROUTES_ROUTE_TABLE_H

#include "bw_core/ids/identifiers.h"
#include "bw_core/ids/time.h"
#include "bw_core/ids/units.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bw {

struct route {
  route_id Id;
  /// Starts with `/`; a trailing `/` is ignored. Matches whole segments:
  /// `/diary` matches `/diary/pages` and not `/diary-old`.
  std::string Prefix;
  service_id Service;
  request_kind Kind;
  /// Requests may be executed more than once.
  bool Repeatable = false;
  /// Requests, for example exports, use the slots for long requests.
  bool Long = false;
  duration Deadline = std::chrono::seconds(10);
  byte_count MaxRequestSize = mebibytes(1);
};

/// Immutable set of routes with look-up of the longest matching path prefix.
/// The cost of a look-up depends on the path, not on the number of routes.
class route_table {
public:
  route_table() = default;
  /// Throws `route_invalid` for a malformed or repeated prefix.
  explicit route_table(std::vector<route> Routes);

  /// Returns the route with the longest prefix that matches, or null. The path
  /// must not contain a query. The pointer is valid as long as the table.
  const route *find(std::string_view Path) const;

  const std::vector<route> &routes() const { return Routes; }

private:
  /// Maximum number of segments of a prefix.
  static constexpr std::size_t MaxSegments = 16;

  struct slot {
    std::uint64_t Hash = 0;
    std::uint32_t Route = UINT32_MAX;
  };

  void insert(std::uint32_t Index);
  std::size_t placeOf(std::uint64_t Hash) const;
  const route *lookUp(std::string_view Prefix, std::uint64_t Hash) const;

  std::vector<route> Routes;
  /// Hash table with open addressing. The size is a power of two, and at most
  /// half of it is used.
  std::vector<slot> Slots;
  std::size_t DeepestRoute = 0;
};

} // namespace bw

#endif
