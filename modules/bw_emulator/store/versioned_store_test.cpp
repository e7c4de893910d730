#include "bw_emulator/store/versioned_store.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bw;
using outcome = versioned_store::outcome;

class versioned_store_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(versioned_store_test);
  CPPUNIT_TEST(writesUnderConditions);
  CPPUNIT_TEST(changesAreToldInOrder);
  CPPUNIT_TEST(lostHistoryIsTold);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against an emulator that accepts what the platform refuses.
  void writesUnderConditions() {
    versioned_store Store;
    CPPUNIT_ASSERT(Store.replace("k", "a", "1") == outcome::Absent);
    CPPUNIT_ASSERT(Store.create("k", "a", "1") == outcome::Done);
    CPPUNIT_ASSERT(Store.create("k", "a", "2") == outcome::Exists);
    const store_revision Before = Store.get("k", "a")->Revision;
    CPPUNIT_ASSERT(Store.replace("k", "a", "2", Before) == outcome::Done);
    CPPUNIT_ASSERT(Store.replace("k", "a", "3", Before) == outcome::Conflict);
    CPPUNIT_ASSERT_EQUAL(std::string("2"), Store.get("k", "a")->Value);
    CPPUNIT_ASSERT(Store.remove("k", "a") == outcome::Done);
    CPPUNIT_ASSERT(Store.remove("k", "a") == outcome::Absent);
    CPPUNIT_ASSERT(Store.list("k").empty());
  }

  void changesAreToldInOrder() {
    versioned_store Store;
    const store_revision Start = Store.revision();
    Store.put("k", "a", "1");
    Store.put("other", "x", "1");
    Store.put("k", "a", "1");
    Store.remove("k", "a");
    const auto Changes = Store.changesAfter("k", Start);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Changes->size());
    CPPUNIT_ASSERT(!(*Changes)[0].IsRemoved && (*Changes)[1].IsRemoved);
    CPPUNIT_ASSERT(Store.changesAfter("k", Store.revision())->empty());
  }

  void lostHistoryIsTold() {
    versioned_store Store;
    const store_revision Start = Store.revision();
    Store.put("k", "a", "1");
    Store.dropHistory();
    CPPUNIT_ASSERT(!Store.changesAfter("k", Start));
    CPPUNIT_ASSERT(Store.changesAfter("k", Store.revision())->empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(versioned_store_test);
