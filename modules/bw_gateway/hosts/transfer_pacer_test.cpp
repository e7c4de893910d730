#include "bw_gateway/hosts/transfer_pacer.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bw;
using namespace std::chrono_literals;

class transfer_pacer_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(transfer_pacer_test);
  CPPUNIT_TEST(largeTransfersFollowEachOther);
  CPPUNIT_TEST(smallTransfersPassTogether);
  CPPUNIT_TEST(anUnknownLinkIsNotLimited);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against so many transfers at a time that none completes.
  void largeTransfersFollowEachOther() {
    transfer_pacer Pacer(
        {.LinkBytesPerSecond = byte_count(1'000'000), .LinkShare = ratio(0.5)});
    CPPUNIT_ASSERT(Pacer.tryStart(byte_count(500'000), Now));
    CPPUNIT_ASSERT(!Pacer.tryStart(byte_count(500'000), Now + 800ms));
    CPPUNIT_ASSERT(Pacer.tryStart(byte_count(500'000), Now + 950ms));
  }

  void smallTransfersPassTogether() {
    transfer_pacer Pacer(
        {.LinkBytesPerSecond = byte_count(1'000'000), .LinkShare = ratio(0.5)});
    for (int Count = 0; Count < 10; ++Count)
      CPPUNIT_ASSERT(Pacer.tryStart(byte_count(5'000), Now));
  }

  void anUnknownLinkIsNotLimited() {
    transfer_pacer Pacer({.LinkBytesPerSecond = byte_count(0)});
    for (int Count = 0; Count < 10; ++Count)
      CPPUNIT_ASSERT(Pacer.tryStart(byte_count(500'000), Now));
  }

private:
  time_point Now{100s};
};

CPPUNIT_TEST_SUITE_REGISTRATION(transfer_pacer_test);
