#ifndef BW_DETECTION_FLOOR_EJECTION_FLOOR_H
#define BW_DETECTION_FLOOR_EJECTION_FLOOR_H

#include "bw_core/ids/identifiers.h"
#include "bw_core/ids/units.h"

#include <cstddef>
#include <vector>

namespace bw {

struct ejection_candidate {
  backend_server_id Server;
  /// Leaving servers are unavailable regardless of ejections.
  bool Leaving = false;
  bool Ejected = false;
  double Score = 0;
};

/// Maximum number of instances out of Count that may be excluded.
std::size_t exclusionAllowance(std::size_t Count, ratio Floor);

/// Applies the floor in a picker. Leaving servers use up the allowance first.
/// The remainder goes to the ejected servers with the highest scores; ties are
/// broken by id.
class ejection_floor {
public:
  explicit ejection_floor(ratio Floor) : Floor(Floor) {}

  /// Candidates holds every instance of one service known to the picker.
  /// Returns the ejected servers to exclude; leaving servers are not included.
  std::vector<backend_server_id>
  selectExcluded(const std::vector<ejection_candidate> &Candidates) const;

private:
  ratio Floor;
};

} // namespace bw

#endif
