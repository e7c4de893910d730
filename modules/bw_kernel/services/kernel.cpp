#include "bw_kernel/services/kernel.h"

using namespace bw;

kernel::~kernel() { stop(); }

void kernel::start() {
  for (const auto &Each : Services)
    Each->attach(Registry);
  try {
    for (const auto &Each : Services) {
      Each->start();
      ++StartedCount;
    }
  } catch (...) {
    stop();
    throw;
  }
}

void kernel::stop() {
  while (StartedCount > 0)
    Services[--StartedCount]->stop();
}
