#include "bw_decision_bench/figures/figure_writer.h"

#include <iomanip>

using namespace bw;

void figure_writer::write(std::string_view Name, std::string_view Dimension,
                          std::size_t Size, double Value,
                          std::string_view Unit) {
  Out << Name << '.' << Dimension << '_' << Size << ' ' << std::fixed
      << std::setprecision(Value < 10 ? 3 : 1) << Value << ' ' << Unit
      << std::endl;
}
