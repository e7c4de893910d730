#ifndef BW_GATEWAY_HOSTS_TRANSFER_PACER_H
#define BW_GATEWAY_HOSTS_TRANSFER_PACER_H

#include "bw_core/ids/time.h"
#include "bw_core/ids/units.h"

namespace bw {

struct transfer_pacer_options {
  /// Rate of the host's link; 0 means that it is not known, and not limited.
  byte_count LinkBytesPerSecond;
  /// Share of the link for these transfers.
  ratio LinkShare{0.6};
};

/// Limits how many hosts fetch a large item from this one at a time, so that
/// those few complete it soon and can serve others. Not thread-safe.
class transfer_pacer {
public:
  explicit transfer_pacer(transfer_pacer_options Options) : Options(Options) {}

  /// Returns whether a transfer of this size may start now, and counts it.
  /// Otherwise the caller should ask another host, or again later.
  bool tryStart(byte_count Size, time_point Now);

private:
  transfer_pacer_options Options;
  /// When the transfers that have started will be over.
  time_point BusyUntil{};
};

} // namespace bw

#endif
