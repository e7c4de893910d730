#include "bw_daemon/peers/wire_conversion.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bw;
using namespace std::chrono_literals;

class wire_conversion_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(wire_conversion_test);
  CPPUNIT_TEST(forwardSurvives);
  CPPUNIT_TEST(outcomesKeepTheirMeaning);
  CPPUNIT_TEST(hostileNumbersAreBounded);
  CPPUNIT_TEST_SUITE_END();

public:
  void forwardSurvives() {
    forward_attempt Forward;
    Forward.Request.Caller = caller_id("c");
    Forward.Request.Service = service_id("s");
    Forward.Request.Kind = request_kind("k");
    Forward.Request.Repeatable = true;
    Forward.Forward.Offer = {
        {{{host_id("h"), incarnation_id(5)}, sequence_number(6)},
         sequence_number(2)},
        sender_time(-7),
        3s};
    Forward.Forward.To.Server = backend_server_id("b");
    Forward.DespiteEjection = true;
    const outgoing_request Request{"POST", "/x?y", {{"A", "b"}}, "body"};
    const wire::Forward Wire = toWire(Forward, Request);
    const forward_offer Offer = offerFromWire(Wire);
    CPPUNIT_ASSERT(Offer.Offer.Attempt == Forward.Forward.Offer.Attempt);
    CPPUNIT_ASSERT(Offer.Offer.Issued == sender_time(-7));
    CPPUNIT_ASSERT(Offer.Offer.Remaining == 3s);
    CPPUNIT_ASSERT(Offer.Repeatable && Offer.DespiteEjection);
    const outgoing_request Read = requestFromWire(Wire);
    CPPUNIT_ASSERT_EQUAL(std::string("body"), Read.Body);
    CPPUNIT_ASSERT_EQUAL(std::string("/x?y"), Read.Target);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), *Read.Headers.find("a"));
  }

  // Guards against a "may have run" that arrives as "not run".
  void outcomesKeepTheirMeaning() {
    for (const attempt_end_kind Kind :
         {attempt_end_kind::Complete, attempt_end_kind::NotRun,
          attempt_end_kind::MayHaveRun, attempt_end_kind::NotOwner}) {
      attempt_end End;
      End.Kind = Kind;
      CPPUNIT_ASSERT(fromWire(toWire(End)).Kind == Kind);
    }
    wire::End Unknown;
    CPPUNIT_ASSERT(fromWire(Unknown).Kind == attempt_end_kind::MayHaveRun);
    Unknown.set_outcome(wire::End::ABORTED);
    CPPUNIT_ASSERT(fromWire(Unknown).Kind == attempt_end_kind::MayHaveRun);
    for (const fence_verdict Verdict :
         {fence_verdict::NotRun, fence_verdict::Running,
          fence_verdict::MayHaveRun}) {
      fence_reply Reply;
      Reply.Verdict = Verdict;
      CPPUNIT_ASSERT(fromWire(toWire(Reply)).Verdict == Verdict);
    }
    fence_reply Done;
    Done.Verdict = fence_verdict::Outcome;
    Done.Outcome = {request_outcome::Done, answer_status(201)};
    CPPUNIT_ASSERT(fromWire(toWire(Done)).Outcome == Done.Outcome);
    wire::FenceReply Odd;
    CPPUNIT_ASSERT(fromWire(Odd).Verdict == fence_verdict::MayHaveRun);
  }

  // Guards against overflow by numbers that another release or a fault sends.
  void hostileNumbersAreBounded() {
    wire::Forward Forward;
    Forward.set_remaining_deadline_us(UINT64_MAX);
    CPPUNIT_ASSERT(offerFromWire(Forward).Offer.Remaining <= 24h);
    wire::LatencyDigest Digest;
    for (int Kind = 0; Kind < 100; ++Kind) {
      auto *Added = Digest.add_kinds();
      for (int Band = 0; Band < 1000; ++Band)
        Added->add_latencies(1);
    }
    const latency_digest Read = fromWire(Digest);
    CPPUNIT_ASSERT_EQUAL(1.0F, Read.Kinds[0].Latencies.back());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(wire_conversion_test);
