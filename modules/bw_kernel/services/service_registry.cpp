#include "bw_kernel/services/service_registry.h"

using namespace bw;

service_not_found_error::service_not_found_error(std::string_view Name)
    : error("no service named '" + std::string(Name) + "' of that type"),
      Name(Name) {}

duplicate_service_error::duplicate_service_error(std::string_view Name)
    : error("two services are named '" + std::string(Name) + "'") {}

void service_registry::add(service &Added) {
  const bool IsNew = Services.emplace(std::string(Added.name()), &Added).second;
  if (!IsNew)
    throw duplicate_service_error(Added.name());
}

service *service_registry::findAny(std::string_view Name) const {
  const auto Found = Services.find(Name);
  return Found == Services.end() ? nullptr : Found->second;
}
