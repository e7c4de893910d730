#ifndef BW_ROUTING_ROUTING_ERROR_H
#define BW_ROUTING_ROUTING_ERROR_H

#include "bw_core/errors/error.h"

namespace bw {

/// A route definition is invalid. Nothing was changed.
class route_invalid : public error {
public:
  route_invalid(const std::string &Prefix, const std::string &Reason)
      : error("route " + Prefix + ": " + Reason), Prefix(Prefix) {}

  std::string_view code() const override { return "route_invalid"; }

  const std::string Prefix;
};

/// The named backend server is not in the ownership map.
class instance_unknown : public error {
public:
  explicit instance_unknown(const std::string &Instance)
      : error("unknown backend server " + Instance), Instance(Instance) {}

  std::string_view code() const override { return "instance_unknown"; }

  const std::string Instance;
};

/// A service has exclusions for more kinds of request than a picker supports.
class too_many_request_kinds : public error {
public:
  explicit too_many_request_kinds(const std::string &Service)
      : error("service " + Service + " has more than 64 kinds of request"),
        Service(Service) {}

  std::string_view code() const override { return "too_many_request_kinds"; }

  const std::string Service;
};

} // namespace bw

#endif
