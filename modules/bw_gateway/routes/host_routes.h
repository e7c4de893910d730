#ifndef BW_GATEWAY_ROUTES_HOST_ROUTES_H
#define BW_GATEWAY_ROUTES_HOST_ROUTES_H

#include "bw_gateway/messages/gateway_configuration.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace bw {

/// Finds routes by virtual host and longest path prefix. Unlike in
/// `route_table`, the prefix `/diary/` does not match the path `/diary`. The
/// cost of a lookup depends on the length of the path, not on the number of
/// routes.
class host_routes {
public:
  host_routes() = default;
  /// `Configuration` must outlive this object; the returned routes are in it.
  explicit host_routes(const gateway_configuration &Configuration);

  /// Returns the matching route, or null. `Path` excludes the query.
  const gateway_route *find(std::string_view VirtualHost,
                            std::string_view Path) const;

private:
  struct text_hash {
    using is_transparent = void; // NOLINT: the standard fixes this name.
    std::size_t operator()(std::string_view Text) const {
      return std::hash<std::string_view>()(Text);
    }
  };
  using prefix_map =
      std::unordered_map<std::string_view, const gateway_route *>;

  std::unordered_map<std::string, prefix_map, text_hash, std::equal_to<>> Hosts;
};

} // namespace bw

#endif
