#include "bw_gateway/engine/gateway_engine.h"

using namespace bw;

namespace {

// While more of a service's attempts are declined than this, its servers are
// full whatever their reported load is.
constexpr double DeclinedShareOfFull = 0.1;

} // namespace

departure_request
gateway_engine::departureOf(const request_state &Request) const {
  const auto Declined = DeclinedShares.find(Request.Service);
  return {.Draw = Request.DepartureDraw,
          .IsDownload = Request.Route->IsDownload,
          .IsFurtherAttempt = !Request.Tried.empty(),
          .IsDeclined = Declined != DeclinedShares.end() &&
                        Declined->second > DeclinedShareOfFull};
}

void gateway_engine::reportResponse(const request_state &Request,
                                    const attempt &Ended,
                                    byte_count Bytes) const {
  if (Bytes == byte_count())
    return;
  Options.Observer.OnResponse({.Service = Request.Service,
                               .Departure = Ended.Departure,
                               .Body = Bytes});
}
