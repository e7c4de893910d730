#ifndef BW_KERNEL_LOG_LOG_EVENT_H
#define BW_KERNEL_LOG_LOG_EVENT_H

#include <functional>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace bw {

enum class log_severity { Info, Warning, Error };

/// Numbered log events. The number of an event never changes its meaning;
/// docs/log-events.md is the catalogue, and a test holds both equal.
enum class log_event : int {
  // 1000: programs and services.
  ProgramStarted = 1000,
  ProgramStopping = 1001,
  ProgramStopped = 1002,
  SettingsRefused = 1003,
  ServiceFailed = 1004,
  DrainWaiting = 1005,
  LogLinesDropped = 1006,
  SettingsChanged = 1007,
  // 1100: requests of callers.
  RequestRefused = 1100,
  RequestOutcomeUnknown = 1101,
  TransferAborted = 1102,
  InputMalformed = 1103,
  AttemptStarted = 1104,
  AttemptFailed = 1105,
  RequestAnswered = 1106,
  CallerLeft = 1107,
  CallerClosed = 1108,
  // 1200: backend servers.
  BackendServerEjected = 1200,
  BackendServerReturned = 1201,
  BackendServerLeaving = 1202,
  AnswerMismatched = 1203,
  EjectionHeldByFloor = 1204,
  BackendServerListed = 1205,
  BackendServerGone = 1206,
  BackendServerUnused = 1207,
  BackendServerLimited = 1208,
  BackendServerLimitEnded = 1209,
  BackendServerDeferred = 1210,
  // 1300: hosts and ownership.
  HostSuspected = 1300,
  HostJoined = 1301,
  HostLeft = 1302,
  PeerRefused = 1303,
  OwnershipYielded = 1304,
  PeerConnectionSilent = 1305,
  ExchangeDutyChanged = 1306,
  // 1400: configuration and the platform's service.
  ConfigurationInForce = 1400,
  ConfigurationRefused = 1401,
  PlatformUnavailable = 1402,
  PlatformRestored = 1403,
  StateFetched = 1404,
  StateFetchFailed = 1405,
  NewerConfigurationReported = 1406,
  ConfigurationStale = 1407,
  ConfigurationFresh = 1408,
  ServerListOutdated = 1409,
  StoreEraChanged = 1410,
  StoreAnswerOutdated = 1411,
  // 1500: operators, orders and audit.
  OperatorCallRefused = 1500,
  ChangeAccepted = 1501,
  ChangeConflict = 1502,
  ConfirmationRecorded = 1503,
  AuditEntriesLost = 1504,
};

/// One row of the catalogue.
struct log_event_entry {
  log_event Event;
  std::string_view Name;
  log_severity Severity;
  std::string_view Meaning;
};

/// All events in order of their numbers.
std::span<const log_event_entry> logEventCatalogue();

/// A named value of a log line. Never pass credentials.
using log_field = std::pair<std::string_view, std::string>;

/// Writes one line: number, name, then `key=value` fields. Values with spaces
/// or control characters are quoted and escaped. Thread-safe.
void logEvent(log_event Event, std::initializer_list<log_field> Fields = {});

/// The line that `logEvent` writes, without time and host.
std::string formatLogLine(log_event Event,
                          std::initializer_list<log_field> Fields);

/// Hands all further lines to this hook instead of glog; null: to glog again.
/// The hook is called on the logging threads and must not block.
void setLogSink(std::function<void(std::string)> Sink);

/// Directs log lines to standard error. Call it once, first in `main`.
void startLogging(const std::string &ProgramName);

} // namespace bw

#endif
