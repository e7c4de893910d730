#ifndef BW_KERNEL_SERVICES_SERVICE_H
#define BW_KERNEL_SERVICES_SERVICE_H

#include <string>
#include <string_view>

namespace bw {

class service_registry;

/// A part of a program with one duty. The kernel calls `attach` on all
/// services, then `start` in the order of registration, then `stop` in the
/// reverse order, all from the main thread.
class service {
public:
  explicit service(std::string Name) : Name(std::move(Name)) {}
  virtual ~service() = default;
  service(const service &) = delete;
  service &operator=(const service &) = delete;

  std::string_view name() const { return Name; }

  /// Looks up the services it works with. They are not yet started.
  virtual void attach(service_registry &Registry) = 0;

  /// Starts the service's thread and returns.
  virtual void start() = 0;

  /// Ends the service's thread and waits for it. Must not throw.
  virtual void stop() = 0;

private:
  std::string Name;
};

} // namespace bw

#endif
