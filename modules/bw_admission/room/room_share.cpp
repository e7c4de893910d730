#include "bw_admission/room/room_share.h"

#include <algorithm>
#include <cmath>

using namespace bw;

namespace {

// A host that hears of no load for this long uses its own load only.
constexpr duration MaxAge = std::chrono::milliseconds(1500);

} // namespace

void room_share::update(const service_load &NewLoad, duration NewInterval,
                        double NewFraction, time_point Now) {
  Load = NewLoad;
  Interval = NewInterval;
  Fraction = NewFraction;
  At = Now;
}

// Answers hosts with waiting requests that all hear of the same free slots:
// each may replace its own requests that end, and add its share of the free
// slots. A host with more requests than others has a larger share. While as
// many slots are free as requests arrive until the next report, no host needs
// to wait.
bool room_share::allows(double Own, double RequestsPerSlot,
                        time_point Now) const {
  if (At == time_point() || Now - At >= MaxAge ||
      Load.ServiceTime <= duration())
    return true;
  const double Free = Load.Slots * RequestsPerSlot - Load.InFlight;
  const double Arrivals =
      Load.InFlight * std::chrono::duration<double>(Interval).count() /
      std::chrono::duration<double>(Load.ServiceTime).count();
  if (Free >= Arrivals)
    return true;
  const double Share =
      std::max(Load.InFlight > 0 ? Load.Own / Load.InFlight : 0.0,
               1 / std::max(1.0, Load.Hosts));
  return Own + 1 <= std::floor(Load.Own + Share * Free + Fraction);
}
