#ifndef BW_GATEWAY_DAEMON_PEERS_EXCHANGE_VERIFICATION_H
#define BW_GATEWAY_DAEMON_PEERS_EXCHANGE_VERIFICATION_H

#include "bw_gateway_daemon/peers/exchange_messages.h"

namespace bw {

namespace exchange {
class host_report;
} // namespace exchange

/// Adds the query and the reply of a report to its encoded form.
void encodeVerification(const host_report &Report,
                        exchange::host_report &Result);
/// Reads the query and the reply. One with an unusable value is left out.
void decodeVerification(const exchange::host_report &Report,
                        host_report &Result);

} // namespace bw

#endif
