#ifndef BW_DAEMON_PLATFORM_PLATFORM_SERVICE_H
#define BW_DAEMON_PLATFORM_PLATFORM_SERVICE_H

#include "bw_daemon/decide/decide_events.h"
#include "bw_daemon/requests/request_intake.h"
#include "bw_daemon/requests/requester.h"
#include "bw_kernel/rings/bounded_ring.h"
#include "bw_kernel/services/service.h"
#include "bw_operations/audit/audit_buffer.h"
#include "bw_operations/confirmations/confirmation_store.h"
#include "bw_operations/rpc/operator_rpc.h"
#include "bw_platform/client/platform_client.h"

#include <atomic>
#include <functional>
#include <memory>
#include <thread>
#include <variant>

namespace bw {

struct read_configuration {};
struct settle_claim {
  submission_identity Identity;
  /// What to create; absent to read.
  std::optional<submission_claim> Claim;
};
struct record_confirmation {
  confirm_request Request;
  std::shared_ptr<requester> From;
};
struct operator_call {
  std::string Path;
  std::string Body;
  operator_id Operator;
  std::shared_ptr<requester> From;
};
struct write_audit {
  schema::audit_entry Entry;
};
using platform_command =
    std::variant<read_configuration, settle_claim, record_confirmation,
                 operator_call, write_audit>;

struct platform_service_options {
  host_id Host;
  incarnation_id Incarnation;
  std::string Url;
  std::chrono::milliseconds Timeout{2'000};
  /// Hosts and data centres as this host sees them.
  std::function<schema::status_answer()> Status;
  std::function<drain_outcome(const host_id &)> Drain;
  std::function<schema::burn_report_answer()> BurnReport = [] {
    return schema::burn_report_answer();
  };
};

/// Duty *platform*: the calls of the platform's service that somebody waits
/// for, and the audit log. Watches have a thread of their own.
class platform_service : public service {
public:
  static constexpr std::string_view ServiceName = "platform";

  platform_service(runtime_clock &Clock, platform_service_options Options);

  void attach(service_registry &Registry) override;
  void start() override;
  void stop() override;

  /// Thread-safe. A full ring is told as the store being unavailable.
  void send(platform_command Command);

  /// A step of a caller under an order.
  void audit(schema::audit_entry::audit_event Event, const std::string &Actor,
             const std::string &Order, const std::string &Record,
             const std::string &Detail);

private:
  void run();
  void carryOut(read_configuration &);
  void carryOut(settle_claim &Command);
  void carryOut(record_confirmation &Command);
  void carryOut(operator_call &Command);
  void carryOut(write_audit &Command);
  void refuse(platform_command &Command);
  void flushAudit();
  void noteStore(bool IsAvailable);
  /// The newest version that any host has, as this host sees them.
  config_version newestVersion() const;
  time_point nextDue() const;

  runtime_clock &Clock;
  platform_service_options Options;
  platform_client Client;
  object_store Store;
  configuration_store Configuration;
  confirmation_store Confirmations;
  operator_rpc Operations;
  audit_store Audit;
  audit_buffer AuditEntries;
  bounded_ring<platform_command> Commands;
  decide_ring *Decide = nullptr;
  time_point RetryAt = time_point::max();
  time_point AuditRetryAt{};
  bool WasAvailable = true;
  std::atomic<std::uint64_t> LastAuditSequence = 0;
  std::uint64_t LastNonce = 0;
  std::thread Thread;
};

} // namespace bw

#endif
