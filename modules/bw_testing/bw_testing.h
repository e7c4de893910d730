/// \file
/// Test support: the CppUnit runner that every test program links, the seed
/// of a test run, what a thread holds of the heap, and bounded waits for
/// integration tests.
///
/// Depends on: bw_core.
#ifndef BW_TESTING_BW_TESTING_H
#define BW_TESTING_BW_TESTING_H

#include "bw_testing/memory/allocation_peak.h"
#include "bw_testing/runner/corpus.h"
#include "bw_testing/runner/test_seed.h"

#endif
