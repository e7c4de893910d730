#ifndef BW_ADMISSION_SPILL_SPILL_POLICY_H
#define BW_ADMISSION_SPILL_SPILL_POLICY_H

#include "bw_core/ids/identifiers.h"
#include "bw_core/ids/time.h"

#include <map>
#include <optional>
#include <span>

namespace bw {

/// Load of the usable servers of one service in one data centre.
struct data_centre_load {
  data_centre_id Id;
  double Slots = 0;
  /// Requests of all hosts in flight there.
  double InFlight = 0;
  /// Age of the summary of the data centre; nothing if none was received.
  std::optional<duration> Age = {};
};

/// Decides which share of the requests of one service leaves the own data
/// centre, and where it goes. All hosts of a data centre see the same load and
/// so decide alike. Not thread-safe.
class spill_policy {
public:
  /// Applies the known load. `IsRefused` says that the own servers decline
  /// requests.
  void update(const data_centre_load &Own,
              std::span<const data_centre_load> Others, bool IsRefused,
              time_point Now);

  /// True if the summary of another data centre is recent enough to count.
  static bool isHeard(const data_centre_load &Load);
  /// Share of the requests that leaves. That of downloads is smaller because of
  /// their bytes.
  double share(bool IsDownload) const {
    return IsDownload ? DownloadShare : Share;
  }
  /// Returns the data centre for a request that leaves, in proportion to the
  /// room there; null if none is known. `Fraction` is random in [0, 1).
  const data_centre_id *choose(double Fraction) const;

private:
  /// Sends all requests away.
  void leave(std::span<const data_centre_load> Others);
  void moveTo(double &Current, double Target, duration Passed) const;

  double Share = 0;
  double DownloadShare = 0;
  /// The parts of `Share` by data centre; empty if all requests leave.
  std::map<data_centre_id, double> Shares;
  /// Slots of other data centres that requests of this one may use.
  std::map<data_centre_id, double> Room;
  std::optional<time_point> UpdatedAt;
};

} // namespace bw

#endif
