#ifndef BW_KERNEL_SERVICES_KERNEL_H
#define BW_KERNEL_SERVICES_KERNEL_H

#include "bw_kernel/services/service_registry.h"

#include <memory>
#include <utility>
#include <vector>

namespace bw {

/// Owns the services of a program and runs their life cycle. Used by the main
/// thread only.
class kernel {
public:
  kernel() = default;
  ~kernel();
  kernel(const kernel &) = delete;
  kernel &operator=(const kernel &) = delete;

  /// Creates a service and registers it. Order matters: services start in it
  /// and stop in the reverse order.
  /// \throws duplicate_service_error
  template <typename Service, typename... Arguments>
  Service &add(Arguments &&...Values) {
    auto Created =
        std::make_unique<Service>(std::forward<Arguments>(Values)...);
    Service &Result = *Created;
    Registry.add(Result);
    Services.push_back(std::move(Created));
    return Result;
  }

  /// Attaches all services, then starts them. When one throws, those already
  /// started are stopped and the exception goes on.
  void start();

  /// Stops the started services in reverse order. May be called twice.
  void stop();

  service_registry &registry() { return Registry; }

private:
  service_registry Registry;
  std::vector<std::unique_ptr<service>> Services;
  std::size_t StartedCount = 0;
};

} // namespace bw

#endif
