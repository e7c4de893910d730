#ifndef BW_DECISION_BENCH_FIGURES_FIGURE_WRITER_H
#define BW_DECISION_BENCH_FIGURES_FIGURE_WRITER_H

#include <cstddef>
#include <ostream>
#include <string_view>

namespace bw {

/// Prints one figure a line: `<name>.<dimension>_<size> <value> <unit>`.
class figure_writer {
public:
  /// The stream must outlive the writer.
  explicit figure_writer(std::ostream &Out) : Out(Out) {}

  /// `Dimension` names what the figure may grow with, and `Size` its number.
  void write(std::string_view Name, std::string_view Dimension,
             std::size_t Size, double Value, std::string_view Unit);

private:
  std::ostream &Out;
};

} // namespace bw

#endif
