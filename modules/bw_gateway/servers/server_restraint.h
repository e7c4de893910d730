#ifndef BW_GATEWAY_SERVERS_SERVER_RESTRAINT_H
#define BW_GATEWAY_SERVERS_SERVER_RESTRAINT_H

#include "bw_gateway/messages/gateway_events.h"

#include <optional>

namespace bw {

/// What one server has asked for in its answers during its lifetime: no new
/// requests, none for a while, or at most some requests a second. Owns the
/// tokens of this host's share of that limit.
class server_restraint {
public:
  /// Applies an answer to a request that was sent at `SentAt`. Returns true if
  /// the limit or the leaving has changed.
  bool apply(const server_statement &Statement, time_point SentAt,
             time_point Now);
  /// Applies what another host reported.
  bool applyReported(const server_statement &Statement, time_point Now);

  /// The limit of all hosts in requests per second, if there is one.
  std::optional<double> limit(time_point Now) const;
  bool isLeaving() const { return IsLeaving; }

  /// Sets this host's share of the limit in requests per second.
  void setRate(double Rate, time_point Now);
  /// Returns when this host may send the next request; the maximum if never.
  time_point nextRequest(time_point Now) const;
  /// Counts a request.
  void take(time_point Now);

private:
  bool setLimit(std::optional<double> Limit, time_point Now);
  double tokens(time_point Now) const;

  bool IsLeaving = false;
  time_point RefusesUntil{};
  std::optional<double> Limit;
  /// When the limit was last stated, to this host and to any.
  time_point OwnLimitAt{};
  time_point LimitAt{};
  /// Share of this host, and its tokens at `TokensAt`.
  double Rate = 0;
  double Tokens = 0;
  time_point TokensAt{};
};

} // namespace bw

#endif
