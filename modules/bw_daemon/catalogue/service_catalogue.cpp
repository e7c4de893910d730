#include "bw_daemon/catalogue/service_catalogue.h"

#include <algorithm>
#include <set>

using namespace bw;

const request_kind service_catalogue::RecordKind{"record"};

namespace {

std::vector<route> readRoutes(const schema::configuration &Configuration) {
  std::vector<route> Routes;
  for (const schema::route &Declared : Configuration.routes()) {
    route Route;
    Route.Id = route_id(Declared.name());
    Route.Prefix = Declared.path_prefix();
    Route.Service = service_id(Declared.service());
    Route.Kind = request_kind(Declared.kind());
    Route.Repeatable = Declared.repeatable();
    Route.Long = Declared.long_request();
    Route.Deadline = std::chrono::milliseconds(Declared.deadline_ms());
    Routes.push_back(std::move(Route));
  }
  return Routes;
}

std::vector<request_kind> kindsOf(const std::string &Service,
                                  const schema::configuration &Configuration) {
  std::set<request_kind> Kinds = {service_catalogue::RecordKind};
  for (const schema::route &Route : Configuration.routes())
    if (Route.service() == Service)
      Kinds.insert(request_kind(Route.kind()));
  return {Kinds.begin(), Kinds.end()};
}

std::vector<service_settings>
readServices(const schema::configuration &Configuration) {
  std::vector<service_settings> Services;
  for (const schema::service &Declared : Configuration.services()) {
    service_settings Settings;
    Settings.Name = service_id(Declared.name());
    Settings.Floor = ratio(Declared.floor());
    if (Declared.limits().queue() > 0)
      Settings.QueueCapacity = Declared.limits().queue();
    const schema::detection_settings &Detection = Declared.detection();
    if (Detection.false_ejection_rate() > 0)
      Settings.Detection.FalseEjectionRate = Detection.false_ejection_rate();
    if (Detection.missed_detection_rate() > 0)
      Settings.Detection.MissedDetectionRate =
          Detection.missed_detection_rate();
    if (Detection.cold_start_grace_ms() > 0)
      Settings.Detection.ColdStartGrace =
          std::chrono::milliseconds(Detection.cold_start_grace_ms());
    Settings.Kinds = kindsOf(Declared.name(), Configuration);
    Services.push_back(std::move(Settings));
  }
  return Services;
}

} // namespace

service_catalogue::service_catalogue(schema::configuration Configuration)
    : Source(std::move(Configuration)), Version(Source.version()),
      Routes(readRoutes(Source)), Services(readServices(Source)),
      Callers(callerCredentials(Source)), Entitlements(Source) {
  for (const schema::route &Declared : Source.routes())
    if (Declared.submission() == schema::ticket_only)
      TicketOnly.insert(route_id(Declared.name()));
  for (const schema::caller &Caller : Source.callers())
    if (Caller.has_limits())
      Limits[caller_id(Caller.name())] = {
          .RequestsPerSecond = Caller.limits().requests_per_second(),
          .Burst = static_cast<double>(Caller.limits().burst())};
}
