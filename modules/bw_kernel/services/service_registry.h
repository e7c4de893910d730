#ifndef BW_KERNEL_SERVICES_SERVICE_REGISTRY_H
#define BW_KERNEL_SERVICES_SERVICE_REGISTRY_H

#include "bw_core/errors/error.h"
#include "bw_kernel/services/service.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace bw {

/// No service of that name, or it has another type.
class service_not_found_error : public error {
public:
  explicit service_not_found_error(std::string_view Name);
  std::string_view code() const override { return "service_not_found"; }
  const std::string &serviceName() const { return Name; }

private:
  std::string Name;
};

/// Two services of one name.
class duplicate_service_error : public error {
public:
  explicit duplicate_service_error(std::string_view Name);
  std::string_view code() const override { return "duplicate_service"; }
};

/// The services of a program by name. Filled before the start and read-only
/// afterwards, so look-ups need no lock.
class service_registry {
public:
  /// \throws duplicate_service_error
  void add(service &Added);

  /// The service of that name as its own type.
  /// \throws service_not_found_error
  template <typename Service> Service &find(std::string_view Name) const {
    auto *Found = dynamic_cast<Service *>(findAny(Name));
    if (Found == nullptr)
      throw service_not_found_error(Name);
    return *Found;
  }

private:
  service *findAny(std::string_view Name) const;

  std::map<std::string, service *, std::less<>> Services;
};

} // namespace bw

#endif
