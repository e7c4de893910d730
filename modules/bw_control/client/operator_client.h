#ifndef BW_CONTROL_CLIENT_OPERATOR_CLIENT_H
#define BW_CONTROL_CLIENT_OPERATOR_CLIENT_H

#include "bw_control/client/control_error.h"
#include "bw_http/client/http_call.h"
#include "bw_schema/yaml/field_locations.h"

#include <google/protobuf/message.h>

#include <functional>
#include <string>

namespace bw {

struct operator_client_options {
  /// For example `http://127.0.0.1:7080`.
  std::string Endpoint;
  /// `<operator>.<secret>`; empty sends none.
  std::string Credential;
  std::function<call_result(client_request)> Send = callHttp;
};

/// One call of the service `operations`.
struct operator_call {
  std::string Method;
  const google::protobuf::Message &Request;
  google::protobuf::Message &Answer;
  /// The call may change something, so a lost answer is "unknown".
  bool HasEffect = false;
  /// What to do when the outcome is unknown.
  std::string HowToAsk;
  /// Places of the declared fields, for faults that the daemon names.
  const field_locations *Locations = nullptr;
};

/// Blocking calls to a daemon.
class operator_client {
public:
  explicit operator_client(operator_client_options Options)
      : Options(std::move(Options)) {}

  /// Fills the answer. \throws control_error
  void call(const operator_call &Call) const;

private:
  operator_client_options Options;
};

} // namespace bw

#endif
