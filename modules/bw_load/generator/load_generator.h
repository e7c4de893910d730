#ifndef BW_LOAD_GENERATOR_LOAD_GENERATOR_H
#define BW_LOAD_GENERATOR_LOAD_GENERATOR_H

#include "bw_http/client/http_client.h"
#include "bw_load/report/latency_report.h"

#include <string>
#include <vector>

namespace bw {

struct load_options {
  /// Requests go to these in turn; `{n}` stands for the number of the request.
  std::vector<std::string> Urls;
  http_headers Headers;
  std::string Method = "GET";
  std::string Body;
  double Rate = 1000;
  duration Duration = std::chrono::seconds(5);
  /// Not reported: connections are opened and references built.
  duration WarmUp = std::chrono::seconds(1);
  /// Requests that may be open at a time; more are counted as unsent.
  std::size_t MaxOpen = 4096;
};

/// Runs the load and waits for its last answer.
latency_report runLoad(runtime_clock &Clock, const load_options &Options);

} // namespace bw

#endif
