#include "bw_measurement/runner/figure.h"

#include <fmt/format.h>

std::string bw::figureLine(const figure &Figure) {
  return fmt::format("{} {:.{}f} {}", Figure.Name, Figure.Value,
                     Figure.Decimals, Figure.Unit);
}
