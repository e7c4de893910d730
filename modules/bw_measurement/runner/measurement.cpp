#include "bw_measurement/runner/measurement.h"

#include "bw_measurement/delivery/delivery_measurement.h"
#include "bw_measurement/detection/detection_measurement.h"

using namespace bw;

namespace {

void runDelivery(const measurement_options &Options, const figure_sink &Sink) {
  delivery_measurement_options Delivery;
  Delivery.Seed = Options.Seed;
  Delivery.Requests = Options.Requests;
  measureDelivery(Delivery, [&](const std::string &Name, double Value,
                                const std::string &Unit, int Decimals) {
    Sink({Name, Value, Unit, Decimals});
  });
}

} // namespace

std::vector<bw::measurement> bw::allMeasurements() {
  return {{.Name = "detection", .Run = measureDetection},
          {.Name = "delivery", .Run = runDelivery}};
}
