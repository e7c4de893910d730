#include "bw_gateway/admission/returning_callers.h"

using namespace bw;

namespace {

// Bounds the memory. A host refuses fewer callers than this in the few seconds
// in which they come back.
constexpr std::size_t MaxCallers = 2048;
// A label is chosen by the caller, so its length is not bounded here.
constexpr std::size_t MaxLabelLength = 128;
// Clocks and networks make a caller seem a little early.
constexpr duration Tolerance = std::chrono::milliseconds(20);

} // namespace

void returning_callers::add(const request_label &Label, time_point ComeBackAt) {
  if (Label.empty() || Label.value().size() > MaxLabelLength)
    return;
  if (!Callers.insert_or_assign(Label, ComeBackAt).second)
    return;
  Order.push_back(Label);
  while (Order.size() > MaxCallers) {
    Callers.erase(Order.front());
    Order.pop_front();
  }
}

bool returning_callers::take(const request_label &Label, time_point Now) {
  const auto Found = Callers.find(Label);
  if (Found == Callers.end() || Now + Tolerance < Found->second)
    return false;
  // Forgotten for good when its label is the oldest; until then it would only
  // be found again if it were refused again.
  Found->second = time_point::max();
  return true;
}
