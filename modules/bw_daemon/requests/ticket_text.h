#ifndef BW_DAEMON_REQUESTS_TICKET_TEXT_H
#define BW_DAEMON_REQUESTS_TICKET_TEXT_H

#include "bw_delivery/submissions/submission_messages.h"

#include <optional>
#include <string>
#include <string_view>

namespace bw {

/// Text form of a ticket, as callers hold it: `t1` and seven fields, joined by
/// colons; numbers in hexadecimal digits.
std::string formatTicket(const submission_ticket &Ticket);

/// Nothing when the text is not of that form. Whether the ticket is genuine is
/// for its executor to say.
std::optional<submission_ticket> parseTicket(std::string_view Text);

/// Text form of a claim, as its object holds it.
std::string formatClaim(const submission_claim &Claim);
std::optional<submission_claim> parseClaim(std::string_view Text);

} // namespace bw

#endif
