#ifndef BW_GATEWAY_DAEMON_PEERS_EXCHANGE_DEMANDS_H
#define BW_GATEWAY_DAEMON_PEERS_EXCHANGE_DEMANDS_H

#include "bw_customers/allowances/demand_messages.h"
#include "bw_gateway_daemon/peers/exchange.pb.h"

#include <vector>

namespace bw {

// Encoding of the demand of customers in reports, and its checks. All decoders
// throw exchange_error.

void encodeDemands(const std::vector<customer_demand> &Demands,
                   exchange::host_report &Result);
std::vector<customer_demand> decodeDemands(const exchange::host_report &Report);

void encodeDemandSummary(const demand_summary &Summary,
                         exchange::demand_summary_record &Result);
demand_summary
decodeDemandSummary(const exchange::demand_summary_record &Record);

void encodeDemandTotals(const demand_totals &Totals,
                        exchange::demand_totals_record &Result);
demand_totals decodeDemandTotals(const exchange::demand_totals_record &Record);

/// Upper bounds of the encoded sizes in bytes.
std::size_t encodedSize(const demand_summary &Summary);
std::size_t encodedSize(const demand_totals &Totals);

} // namespace bw

#endif
