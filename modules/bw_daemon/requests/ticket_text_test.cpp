#include "bw_daemon/requests/ticket_text.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace bw;

class ticket_text_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ticket_text_test);
  CPPUNIT_TEST(ticketsAndClaimsSurviveTheirText);
  CPPUNIT_TEST(malformedTextsAreRefused);
  CPPUNIT_TEST_SUITE_END();

public:
  void ticketsAndClaimsSurviveTheirText() {
    const submission_ticket Ticket{
        {host_id("entry-01"), incarnation_id(0xfedcba9876543210ULL)},
        ticket_nonce(7),
        caller_id("nan-ministry"),
        service_id("diary-svc"),
        sender_time(-5),
        ticket_checksum(0xffffffffffffffffULL)};
    const auto Read = parseTicket(formatTicket(Ticket));
    CPPUNIT_ASSERT(Read.has_value());
    CPPUNIT_ASSERT(Read->Executor == Ticket.Executor);
    CPPUNIT_ASSERT(Read->Nonce == Ticket.Nonce);
    CPPUNIT_ASSERT(Read->Caller == Ticket.Caller);
    CPPUNIT_ASSERT(Read->Service == Ticket.Service);
    CPPUNIT_ASSERT(Read->Expiry == Ticket.Expiry);
    CPPUNIT_ASSERT(Read->Checksum == Ticket.Checksum);
    const submission_claim Claim{Ticket.Executor, claim_nonce(9)};
    CPPUNIT_ASSERT(parseClaim(formatClaim(Claim)) == Claim);
  }

  // Guards against a crash or a wrong executor on a caller's text.
  void malformedTextsAreRefused() {
    const std::string Texts[] = {"",
                                 "t1",
                                 ":::::::",
                                 "t1:::::::",
                                 "t2:h:1:2:c:s:3:4",
                                 "t1:h:1:2:c:s:3",
                                 "t1:h:1:2:c:s:3:4:5",
                                 "t1:h:x:2:c:s:3:4",
                                 "t1:h:1:-2:c:s:3:4",
                                 "t1:h:1:2:c:s: 3:4",
                                 "t1:h:1:2:c:s:3:10000000000000000",
                                 "t1::1:2:c:s:3:4",
                                 "T1:h:1:2:c:s:3:4",
                                 "t1:h:0x1:2:c:s:3:4",
                                 std::string("t1:h:1\0:2:c:s:3:4", 17),
                                 "t1:h:1:2:c:s:3:4\n",
                                 std::string(2000, ':'),
                                 "t1:" + std::string(2000, 'h') +
                                     ":1:2:c:s:3:4"};
    for (const std::string &Text : Texts)
      CPPUNIT_ASSERT_MESSAGE(Text, !parseTicket(Text).has_value());
    for (const char *Text :
         {"", "c1", "c1:h:1", "c1::1:2", "c2:h:1:2", "c1:h:g:2", "c1:h:1:2:3"})
      CPPUNIT_ASSERT_MESSAGE(Text, !parseClaim(Text).has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ticket_text_test);
