#ifndef BW_CORE_IDS_IDENTIFIERS_H
#define BW_CORE_IDS_IDENTIFIERS_H

#include "bw_core/ids/strong_number.h"
#include "bw_core/ids/strong_text.h"

#include <string>

namespace bw {

/// A host that runs a daemon of this system.
using host_id = strong_text<struct host_id_tag>;
using region_id = strong_text<struct region_id_tag>;
using data_centre_id = strong_text<struct data_centre_id_tag>;
using service_id = strong_text<struct service_id_tag>;
/// One running backend server (an instance of a service).
using backend_server_id = strong_text<struct backend_server_id_tag>;
using caller_id = strong_text<struct caller_id_tag>;
/// An organisation whose callers share a key and an allowance.
using customer_id = strong_text<struct customer_id_tag>;
using operator_id = strong_text<struct operator_id_tag>;
using order_id = strong_text<struct order_id_tag>;
using record_id = strong_text<struct record_id_tag>;
using route_id = strong_text<struct route_id_tag>;
/// A kind of request within a service, for example `lookup` or `export`.
using request_kind = strong_text<struct request_kind_tag>;
/// Chosen by the operator for one change of the configuration.
using change_id = strong_text<struct change_id_tag>;
/// Chosen by the caller for one submission.
using idempotency_key = strong_text<struct idempotency_key_tag>;

/// Random at each start of a daemon.
using incarnation_id = strong_number<struct incarnation_id_tag>;
/// Counts up from 1 within an incarnation.
using sequence_number = strong_number<struct sequence_number_tag>;
/// Version of the configuration; only moves forward. 0 means none.
using config_version = strong_number<struct config_version_tag>;
/// Version of one object in the platform's service. 0 means absent.
using object_version = strong_number<struct object_version_tag>;

/// Sequence number of a host's reports to other hosts.
using report_number = strong_number<struct report_number_tag, std::uint32_t>;

/// One start of a daemon on a host.
struct daemon_id {
  host_id Host;
  incarnation_id Incarnation;

  friend auto operator<=>(const daemon_id &, const daemon_id &) = default;
};

/// Identifies a request from its entry host to the backend server and back.
struct request_id {
  daemon_id Entry;
  sequence_number Sequence;

  /// `<host>.<incarnation>.<sequence>`, as sent in headers.
  std::string text() const;

  friend auto operator<=>(const request_id &, const request_id &) = default;
};

/// One try of a request at one owner. Attempts of a request count up from 1.
struct attempt_id {
  request_id Request;
  sequence_number Attempt;

  std::string text() const;

  friend auto operator<=>(const attempt_id &, const attempt_id &) = default;
};

} // namespace bw

template <> struct std::hash<bw::daemon_id> {
  std::size_t operator()(const bw::daemon_id &Id) const;
};
template <> struct std::hash<bw::request_id> {
  std::size_t operator()(const bw::request_id &Id) const;
};
template <> struct std::hash<bw::attempt_id> {
  std::size_t operator()(const bw::attempt_id &Id) const;
};

#endif
