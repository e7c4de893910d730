#include "bw_detection/reference/latency_reference.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bw;
using namespace std::chrono_literals;

namespace {

constexpr kind_index Lookup = kind_index(0);

latency_digest peerDigest(std::uint64_t Source, duration Latency,
                          evidence_class Recent) {
  latency_digest Digest;
  Digest.Source = Source;
  Digest.Kinds[0].Latencies[latencyBand(Latency)] = 1000;
  Digest.Kinds[0].Recent[static_cast<std::size_t>(Recent)] = 50;
  return Digest;
}

} // namespace

class latency_reference_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(latency_reference_test);
  CPPUNIT_TEST(bandsCoverTheirLatencies);
  CPPUNIT_TEST(needsSamplesToClassify);
  CPPUNIT_TEST(isBuiltFromPeers);
  CPPUNIT_TEST(oneUnhealthyPeerKeepsTheReference);
  CPPUNIT_TEST(duplicateDigestCountsOnce);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against gaps between bands and against hosts that assign a latency
  // to different bands.
  void bandsCoverTheirLatencies() {
    for (std::size_t Band = 0; Band + 1 < LatencyBandCount; ++Band) {
      const duration End = latencyBandEnd(Band);
      CPPUNIT_ASSERT_EQUAL(Band, latencyBand(End - 1us));
      CPPUNIT_ASSERT_EQUAL(Band + 1, latencyBand(End));
    }
    CPPUNIT_ASSERT_EQUAL(LatencyBandCount - 1, latencyBand(1h));
  }

  // Guards against classifying the first requests of a new service as slow.
  void needsSamplesToClassify() {
    CPPUNIT_ASSERT(!Reference.quantile(Lookup, 0.5).has_value());
    CPPUNIT_ASSERT(Reference.classify(Lookup, 1s) == evidence_class::Normal);
  }

  // Guards against a slow server being compared with its own latencies.
  void isBuiltFromPeers() {
    for (int Count = 0; Count < 1000; ++Count)
      Reference.record(Now, Lookup, 800ms);
    Reference.merge(Now, peerDigest(2, 40ms, evidence_class::Normal));
    CPPUNIT_ASSERT(*Reference.quantile(Lookup, 0.5) < 60ms);
    CPPUNIT_ASSERT(Reference.classify(Lookup, 800ms) >=
                   evidence_class::Extreme);
  }

  // Guards against missing an unhealthy server because one of its peers is
  // unhealthy too, and against ejecting it when most peers are slow.
  void oneUnhealthyPeerKeepsTheReference() {
    const auto Weight = [&] {
      return Reference.weight(Lookup, evidence_class::Extreme);
    };
    Reference.merge(Now, peerDigest(2, 40ms, evidence_class::Extreme));
    Reference.merge(Now, peerDigest(3, 40ms, evidence_class::Normal));
    Reference.merge(Now, peerDigest(4, 40ms, evidence_class::Normal));
    CPPUNIT_ASSERT(Weight() > 2);
    Reference.merge(Now, peerDigest(3, 40ms, evidence_class::Extreme));
    CPPUNIT_ASSERT(Weight() < 0);
  }

  // Guards against counting a digest twice that is delivered twice over an
  // unreliable network.
  void duplicateDigestCountsOnce() {
    const latency_digest Digest = peerDigest(2, 40ms, evidence_class::Normal);
    Reference.merge(Now, Digest);
    Reference.merge(Now + 1s, Digest);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(1), Reference.peersSince(Now));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(0), Reference.peersSince(Now + 2s));
  }

private:
  detection_options Options;
  time_point Now{1h};
  latency_reference Reference{Options, 1};
};

CPPUNIT_TEST_SUITE_REGISTRATION(latency_reference_test);
