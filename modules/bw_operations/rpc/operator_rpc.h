#ifndef BW_OPERATIONS_RPC_OPERATOR_RPC_H
#define BW_OPERATIONS_RPC_OPERATOR_RPC_H

#include "bw_core/ids/identifiers.h"
#include "bw_operations/audit/audit_store.h"
#include "bw_operations/configuration/configuration_store.h"
#include "bw_schema/bramleywinch.pb.h"

#include <functional>
#include <map>
#include <string>

namespace bw {

struct rpc_reply {
  /// HTTP status.
  int Status = 200;
  /// JSON of the method's answer, or of a `call_error`.
  std::string Body;
};

enum class drain_outcome { Started, AlreadyLeaving, UnknownHost };

struct operator_rpc_options {
  configuration_store_options Configuration;
  object_store Audit;
  /// Hosts and data centres as this host sees them. Stored version and change
  /// are filled in here.
  std::function<schema::status_answer()> Status = [] {
    return schema::status_answer();
  };
  std::function<drain_outcome(const host_id &)> Drain = [](const host_id &) {
    return drain_outcome::UnknownHost;
  };
  std::function<schema::burn_report_answer()> BurnReport = [] {
    return schema::burn_report_answer();
  };
  /// Called for each step of an operator that took effect.
  std::function<void(schema::audit_entry::audit_event, const operator_id &,
                     const std::string &Detail)>
      OnAudit = [](schema::audit_entry::audit_event, const operator_id &,
                   const std::string &) {};
  /// Called for an object of the audit log that cannot be read and is left out
  /// of an export.
  std::function<void(const std::string &Name)> OnMalformedSegment =
      [](const std::string &) {};
};

/// The calls of the service `operations` in bramleywinch.proto, from JSON text
/// to JSON text. The caller has checked the operator's credential. Blocks on
/// the platform's service; calls may come from several threads when the hooks
/// allow it.
class operator_rpc {
public:
  explicit operator_rpc(operator_rpc_options Options);
  operator_rpc(const operator_rpc &) = delete;
  operator_rpc &operator=(const operator_rpc &) = delete;

  /// Answers `POST <Path>`. Throws nothing: every failure is a `call_error`.
  rpc_reply call(const std::string &Path, const std::string &Body,
                 const operator_id &Operator) const;

private:
  using method = std::function<rpc_reply(const std::string &Body,
                                         const operator_id &Operator)>;

  template <typename Request, typename Handler>
  void addMethod(const std::string &Name, Handler Handle);

  rpc_reply apply(const schema::apply_request &Request,
                  const operator_id &Operator) const;
  rpc_reply get() const;
  rpc_reply diff(const schema::diff_request &Request) const;
  rpc_reply status(const schema::status_request &Request) const;
  rpc_reply drain(const schema::drain_request &Request,
                  const operator_id &Operator) const;
  rpc_reply exportAudit(const schema::audit_export_request &Request) const;

  operator_rpc_options Options;
  configuration_store Store;
  audit_store Audit;
  std::map<std::string, method> Methods;
};

} // namespace bw

#endif
