#ifndef BW_LOAD_REPORT_LATENCY_REPORT_H
#define BW_LOAD_REPORT_LATENCY_REPORT_H

#include "bw_core/ids/time.h"

#include <boost/histogram.hpp>

#include <cstdint>
#include <string>

namespace bw {

/// Latencies and outcomes of one run. Resolution 2%, from 1 us to 100 s.
class latency_report {
public:
  latency_report();

  void add(duration Latency, bool Succeeded);
  void addUnsent() { ++Unsent; }

  std::uint64_t succeeded() const { return Succeeded; }
  std::uint64_t failed() const { return Failed; }
  /// Latency that a share of the successful requests did not exceed.
  duration quantile(double Share) const;

  /// Lines `<prefix>.<name> value unit`.
  std::string text(const std::string &Prefix, duration Elapsed) const;

private:
  using axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  boost::histogram::histogram<std::tuple<axis>> Latencies;
  std::uint64_t Succeeded = 0;
  std::uint64_t Failed = 0;
  std::uint64_t Unsent = 0;
};

} // namespace bw

#endif
