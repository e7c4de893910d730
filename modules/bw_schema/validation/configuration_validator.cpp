#include "bw_schema/validation/configuration_validator.h"

#include "bw_schema/errors/declaration_error.h"
#include "bw_schema/validation/names.h"

#include <array>
#include <charconv>
#include <cmath>
#include <unordered_map>
#include <unordered_set>

using namespace bw;

namespace {

// Paths that the system itself answers.
constexpr std::array<std::string_view, 4> ReservedPaths = {"/orders", "/bw",
                                                           "/rpc", "/metrics"};
constexpr std::uint32_t DayMs = 86'400'000;
constexpr std::size_t MaxPathLength = 256;

std::string numberText(double Number) {
  char Buffer[32];
  const auto Result = std::to_chars(Buffer, Buffer + sizeof Buffer, Number);
  return std::string(Buffer, Result.ptr);
}

bool isBelow(std::string_view Path, std::string_view Prefix) {
  return Path.starts_with(Prefix) &&
         (Path.size() == Prefix.size() || Path[Prefix.size()] == '/');
}

bool isPathCharacter(char Character) {
  constexpr std::string_view Punctuation = "/-._~";
  return (Character >= 'a' && Character <= 'z') ||
         (Character >= 'A' && Character <= 'Z') ||
         (Character >= '0' && Character <= '9') ||
         Punctuation.find(Character) != std::string_view::npos;
}

// Why a path prefix cannot be used; empty when it can. Segments that clients
// normalise away would make a route unreachable.
std::string pathFault(std::string_view Path) {
  if (!Path.starts_with('/'))
    return "must start with '/'";
  if (Path.size() > MaxPathLength)
    return "must have at most 256 characters";
  for (const char Character : Path)
    if (!isPathCharacter(Character))
      return "may hold letters, digits and /-._~ only";
  if (Path.find("//") != std::string_view::npos ||
      (std::string(Path) + "/").find("/./") != std::string::npos ||
      (std::string(Path) + "/").find("/../") != std::string::npos)
    return "must have no empty, '.' or '..' segment";
  for (const std::string_view Reserved : ReservedPaths)
    if (isBelow(Path, Reserved))
      return "is below " + std::string(Reserved) +
             ", which the system itself answers";
  return "";
}

class validator {
public:
  explicit validator(const schema::configuration &Configuration)
      : Configuration(Configuration) {}

  std::vector<field_fault> run() {
    collectNames();
    checkCounts();
    for (int Index = 0; Index < Configuration.services_size(); ++Index)
      checkService(Configuration.services(Index), at("services", Index));
    for (int Index = 0; Index < Configuration.routes_size(); ++Index)
      checkRoute(Configuration.routes(Index), at("routes", Index));
    for (int Index = 0; Index < Configuration.callers_size(); ++Index)
      checkCaller(Configuration.callers(Index), at("callers", Index));
    for (int Index = 0; Index < Configuration.orders_size(); ++Index)
      checkOrder(Configuration.orders(Index), at("orders", Index));
    return std::move(Faults);
  }

private:
  using name_set = std::unordered_set<std::string_view>;

  static std::string at(const std::string &List, int Index) {
    return List + "[" + std::to_string(Index) + "]";
  }

  void require(bool Condition, const std::string &Field,
               const std::string &Reason) {
    if (!Condition && Faults.size() < MaxListedFaults)
      Faults.push_back(
          {.File = "", .Line = 0, .Field = Field, .Reason = Reason});
  }

  void requireRange(std::uint64_t Value, std::uint64_t Least,
                    std::uint64_t Most, const std::string &Field) {
    require(Value >= Least && Value <= Most, Field,
            "must be from " + std::to_string(Least) + " to " +
                std::to_string(Most) + ", not " + std::to_string(Value));
  }

  // Comparisons are written so that a NaN, which JSON can bring, fails.
  void requireShare(double Value, const std::string &Field) {
    require(Value > 0 && Value < 1, Field,
            "must be above 0 and below 1, not " + numberText(Value));
  }

  void requireAbove(double Value, double Most, const std::string &Field) {
    require(Value > 0 && Value <= Most, Field,
            "must be above 0 and at most " + numberText(Most) + ", not " +
                numberText(Value));
  }

  void requireName(const std::string &Name, const std::string &Field) {
    require(isName(Name), Field,
            "must have 1 to 64 characters of a-z, 0-9, '.', '_', '-' and start "
            "with a letter or a digit, not '" +
                printable(Name) + "'");
  }

  void requireOnce(name_set &Seen, const std::string &Name,
                   const std::string &Field) {
    require(Seen.insert(Name).second, Field,
            "'" + printable(Name) + "' is given twice");
  }

  void requireDeclared(bool Declared, const char *Kind, const std::string &Name,
                       const std::string &Field) {
    require(Declared, Field,
            std::string("there is no ") + Kind + " '" + printable(Name) + "'");
  }

  void requireSize(const google::protobuf::Message &Object,
                   const std::string &Path) {
    require(Object.ByteSizeLong() <= MaxObjectBytes, Path,
            "has " + std::to_string(Object.ByteSizeLong()) +
                " bytes encoded, more than " + std::to_string(MaxObjectBytes) +
                "; split it");
  }

  void collectNames() {
    for (const schema::service &Service : Configuration.services())
      Services.emplace(Service.name(), &Service);
    for (const schema::caller &Caller : Configuration.callers())
      Callers.insert(Caller.name());
  }

  void checkCounts() {
    requireRange(Configuration.services_size(), 0, 5'000, "services");
    requireRange(Configuration.routes_size(), 0, 50'000, "routes");
    requireRange(Configuration.callers_size(), 0, 200'000, "callers");
    requireRange(Configuration.orders_size(), 0, 50'000, "orders");
  }

  void checkService(const schema::service &Service, const std::string &Path) {
    requireName(Service.name(), Path + ".name");
    requireOnce(SeenServices, Service.name(), Path + ".name");
    // -0 equals 0 but would change the content's hash.
    require(!std::signbit(Service.floor()) && Service.floor() <= 1,
            Path + ".floor",
            "must be from 0 to 1, not " + numberText(Service.floor()));
    requireRange(Service.slots(), 1, 1'024, Path + ".slots");
    require(Service.reserved_slots() < std::max(Service.slots(), 1U),
            Path + ".reserved_slots", "must be below slots");
    require(Service.has_detection(), Path + ".detection", "is missing");
    if (Service.has_detection())
      checkDetection(Service.detection(), Path + ".detection");
    require(Service.has_limits(), Path + ".limits", "is missing");
    if (Service.has_limits())
      checkLimits(Service.limits(), Path + ".limits");
    requireRange(Service.objectives_size(), 0, 16, Path + ".objectives");
    name_set Seen;
    for (int Index = 0; Index < Service.objectives_size(); ++Index)
      checkObjective(Service.objectives(Index), Seen,
                     at(Path + ".objectives", Index));
    requireSize(Service, Path);
  }

  void checkDetection(const schema::detection_settings &Detection,
                      const std::string &Path) {
    requireAbove(Detection.false_ejection_rate(), 10,
                 Path + ".false_ejection_rate");
    requireShare(Detection.missed_detection_rate(),
                 Path + ".missed_detection_rate");
    requireRange(Detection.cold_start_grace_ms(), 0, 600'000,
                 Path + ".cold_start_grace_ms");
  }

  void checkLimits(const schema::request_limits &Limits,
                   const std::string &Path) {
    requireRange(Limits.queue(), 0, 10'000, Path + ".queue");
    requireRange(Limits.max_deadline_ms(), 1, DayMs, Path + ".max_deadline_ms");
  }

  void checkObjective(const schema::objective &Objective, name_set &Seen,
                      const std::string &Path) {
    requireName(Objective.name(), Path + ".name");
    requireOnce(Seen, Objective.name(), Path + ".name");
    if (!Objective.kind().empty())
      requireName(Objective.kind(), Path + ".kind");
    requireShare(Objective.target(), Path + ".target");
    requireRange(Objective.latency_ms(), 0, DayMs, Path + ".latency_ms");
    requireRange(Objective.window_days(), 1, 90, Path + ".window_days");
  }

  void checkRoute(const schema::route &Route, const std::string &Path) {
    requireName(Route.name(), Path + ".name");
    requireOnce(SeenRoutes, Route.name(), Path + ".name");
    const std::string Fault = pathFault(Route.path_prefix());
    require(Fault.empty(), Path + ".path_prefix", Fault);
    requireOnce(SeenPaths, Route.path_prefix(), Path + ".path_prefix");
    requireName(Route.kind(), Path + ".kind");
    checkSubmission(Route, Path);
    const auto Service = Services.find(Route.service());
    requireDeclared(Service != Services.end(), "service", Route.service(),
                    Path + ".service");
    if (Service != Services.end())
      requireRange(Route.deadline_ms(), 1,
                   Service->second->limits().max_deadline_ms(),
                   Path + ".deadline_ms");
  }

  void checkSubmission(const schema::route &Route, const std::string &Path) {
    const bool Known = schema::submission_policy_IsValid(Route.submission());
    const bool Given =
        Route.submission() != schema::submission_policy_unspecified;
    require(Known, Path + ".submission", "is not a known policy");
    if (Route.repeatable())
      require(!Given, Path + ".submission",
              "must be absent, since the route is repeatable");
    else
      require(Given, Path + ".submission",
              "is missing, since the route is not repeatable");
  }

  void checkCaller(const schema::caller &Caller, const std::string &Path) {
    require(isCallerName(Caller.name()), Path + ".name",
            "must have 1 to 64 characters of a-z, 0-9, '_', '-' and start with "
            "a letter or a digit, not '" +
                printable(Caller.name()) + "'");
    requireOnce(SeenCallers, Caller.name(), Path + ".name");
    // The values are not repeated in the text: a secret may stand there by
    // mistake.
    require(isHex(Caller.salt(), 32), Path + ".salt",
            "must have 32 lower-case hexadecimal digits");
    require(isHex(Caller.secret_sha256(), 64), Path + ".secret_sha256",
            "must have 64 lower-case hexadecimal digits");
    if (!Caller.has_limits())
      return;
    requireAbove(Caller.limits().requests_per_second(), 1'000'000,
                 Path + ".limits.requests_per_second");
    requireRange(Caller.limits().burst(), 1, 1'000'000, Path + ".limits.burst");
  }

  void checkOrder(const schema::handback_order &Order,
                  const std::string &Path) {
    requireName(Order.name(), Path + ".name");
    requireOnce(SeenOrders, Order.name(), Path + ".name");
    require(Order.records_size() > 0, Path + ".records", "names no record");
    name_set Seen;
    for (int Index = 0; Index < Order.records_size(); ++Index)
      checkRecord(Order.records(Index), Seen, at(Path + ".records", Index));
    checkEntitled(Order.fetch_callers(), Path + ".fetch_callers");
    checkEntitled(Order.confirm_callers(), Path + ".confirm_callers");
    require(Order.state() == schema::open || Order.state() == schema::closed,
            Path + ".state", "must be open or closed");
    requireSize(Order, Path);
  }

  void checkRecord(const schema::held_record &Record, name_set &Seen,
                   const std::string &Path) {
    require(isMixedCaseName(Record.name()), Path + ".name",
            "must have 1 to 64 characters of a-z, A-Z, 0-9, '.', '_', '-' and "
            "start with a letter or a digit, not '" +
                printable(Record.name()) + "'");
    requireOnce(Seen, Record.name(), Path + ".name");
    requireDeclared(Services.contains(Record.service()), "service",
                    Record.service(), Path + ".service");
  }

  void checkEntitled(const google::protobuf::RepeatedPtrField<std::string> &All,
                     const std::string &Path) {
    name_set Seen;
    for (int Index = 0; Index < All.size(); ++Index) {
      requireDeclared(Callers.contains(All[Index]), "caller", All[Index],
                      at(Path, Index));
      requireOnce(Seen, All[Index], at(Path, Index));
    }
  }

  const schema::configuration &Configuration;
  std::unordered_map<std::string_view, const schema::service *> Services;
  name_set Callers;
  name_set SeenServices;
  name_set SeenRoutes;
  name_set SeenPaths;
  name_set SeenCallers;
  name_set SeenOrders;
  std::vector<field_fault> Faults;
};

} // namespace

std::vector<field_fault>
bw::validateConfiguration(const schema::configuration &Configuration) {
  return validator(Configuration).run();
}
