#ifndef BW_GATEWAY_SERVERS_DATA_CENTRE_CHOICE_H
#define BW_GATEWAY_SERVERS_DATA_CENTRE_CHOICE_H

#include "bw_admission/spill/spill_policy.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace bw {

/// Why a request was sent to another data centre.
enum class departure_reason : std::uint8_t {
  Spill,         ///< Servers of the own one are more loaded.
  NoLocalServer, ///< The own one has no usable server.
  Retry,         ///< A further attempt of a request that was sent before.
  Probe,         ///< The server would not be used otherwise.
};

/// Returns the name for metrics, for example `no_local_server`.
std::string_view departureName(departure_reason Reason);

/// What the choice of a data centre depends on, apart from the load.
struct departure_request {
  /// Random in [0, 1) and fixed for the request: drawn again at each try, a
  /// waiting request would leave at any share above 0.
  double Draw = 0;
  /// The response is large.
  bool IsDownload = false;
  /// The request was sent to a server before.
  bool IsFurtherAttempt = false;
  /// Servers of the service decline requests.
  bool IsDeclined = false;
};

/// When the servers of a data centre may get a request. The servers of the
/// lowest rank get it.
enum class data_centre_rank : std::uint8_t {
  Chosen,
  Usable, ///< If no server of a lower rank is usable.
  Last,   ///< As `Usable`; nothing is known of the load there.
};

/// Load of one service in all data centres.
struct data_centre_loads {
  service_id Service;
  /// Includes the own data centre, whose age is not set.
  std::vector<data_centre_load> Loads;
  /// Position of the own data centre.
  std::size_t Own = 0;
};

/// Returns the rank of each data centre of the given loads.
using data_centre_choice = std::function<std::vector<data_centre_rank>(
    const data_centre_loads &, const departure_request &, time_point Now)>;

/// Keeps requests in their data centre, except for the share that
/// `spill_policy` computes, which may leave if that takes less time. Further
/// attempts may go to any data centre whose load is known.
data_centre_choice makeSpillingChoice();

} // namespace bw

#endif
