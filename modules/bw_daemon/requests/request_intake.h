#ifndef BW_DAEMON_REQUESTS_REQUEST_INTAKE_H
#define BW_DAEMON_REQUESTS_REQUEST_INTAKE_H

#include "bw_daemon/catalogue/service_catalogue.h"
#include "bw_daemon/requests/caller_refusal.h"
#include "bw_engine/entry/entry_engine.h"
#include "bw_http/messages/http_messages.h"

#include <optional>
#include <string>
#include <variant>

namespace bw {

/// A request for a backend server.
struct service_request {
  entry_request Entry;
  /// Path with query, as the backend server gets it.
  std::string Target;
  /// Only for submissions.
  bool IsTicketRequired = false;
};

/// A caller confirms the receipt of a record.
struct confirm_request {
  caller_id Caller;
  order_id Order;
  record_id Record;
};

/// A caller asks for a ticket for one submission to a service.
struct ticket_request {
  caller_id Caller;
  service_id Service;
};

/// A caller asks what became of a submission.
struct status_request {
  caller_id Caller;
  std::string Ticket;
};

using intake_result =
    std::variant<service_request, confirm_request, ticket_request,
                 status_request, caller_refusal>;

/// Authenticates callers and finds out what they want. Nothing that is refused
/// here reaches a backend server. Single thread.
class request_intake {
public:
  void setCatalogue(catalogue_pointer Catalogue);

  /// `Id` becomes the id of a service request.
  intake_result examine(const http_request &Request, const request_id &Id,
                        time_point Now);

private:
  intake_result examineOrder(const http_request &Request, const request_id &Id,
                             const caller_id &Caller, time_point Now) const;
  intake_result examineRoute(const http_request &Request, const request_id &Id,
                             const caller_id &Caller, time_point Now) const;
  intake_result examineTicket(const http_request &Request,
                              const caller_id &Caller) const;

  catalogue_pointer Catalogue;
  std::optional<caller_limiter> Limiter;
};

} // namespace bw

#endif
