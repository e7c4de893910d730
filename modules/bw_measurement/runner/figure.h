#ifndef BW_MEASUREMENT_RUNNER_FIGURE_H
#define BW_MEASUREMENT_RUNNER_FIGURE_H

#include <functional>
#include <string>

namespace bw {

struct figure {
  std::string Name;
  double Value = 0;
  std::string Unit;
  int Decimals = 3;
};

/// Hook: takes each figure as soon as it is known.
using figure_sink = std::function<void(const figure &)>;

/// `name value unit`, without a line end.
std::string figureLine(const figure &Figure);

} // namespace bw

#endif
