#include "bw_decision_bench/figures/stopwatch.h"

#include <algorithm>
#include <chrono>
#include <vector>

namespace {

constexpr std::size_t RunCount = 7;

double nanosecondsOf(const std::function<void()> &Work) {
  const auto Start = std::chrono::steady_clock::now();
  Work();
  const auto End = std::chrono::steady_clock::now();
  return std::chrono::duration<double, std::nano>(End - Start).count();
}

double medianOf(std::vector<double> Values) {
  const auto Middle =
      Values.begin() + static_cast<std::ptrdiff_t>(Values.size() / 2);
  std::nth_element(Values.begin(), Middle, Values.end());
  return *Middle;
}

} // namespace

double bw::medianNanoseconds(std::size_t StepsPerRun,
                             const std::function<void()> &Step) {
  const auto Run = [&] {
    for (std::size_t Done = 0; Done < StepsPerRun; ++Done)
      Step();
  };
  Run();
  std::vector<double> Means;
  for (std::size_t Done = 0; Done < RunCount; ++Done)
    Means.push_back(nanosecondsOf(Run) / static_cast<double>(StepsPerRun));
  return medianOf(std::move(Means));
}

double bw::medianOfCalls(std::size_t Calls, const std::function<void()> &Call,
                         const std::function<void()> &Reset) {
  std::vector<double> Times;
  for (std::size_t Done = 0; Done < Calls; ++Done) {
    Times.push_back(nanosecondsOf(Call));
    Reset();
  }
  return medianOf(std::move(Times));
}
