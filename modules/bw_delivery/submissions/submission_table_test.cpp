#include "bw_delivery/submissions/submission_table.h"

#include "bw_testing/runner/test_seed.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <vector>

using namespace bw;
using namespace std::chrono_literals;

namespace {

const daemon_id Self{host_id("a"), incarnation_id(7)};
const daemon_id Other{host_id("b"), incarnation_id(8)};
const submission_identity Identity{caller_id("c"), service_id("s"),
                                   idempotency_key("k")};
const attempt_outcome Okay{request_outcome::Done, answer_status(200)};

struct executor {
  explicit executor(submission_table_options Options = {})
      : Random(testSeed()), Table(Self, Random, std::move(Options)) {}

  submission_decision offer(const submission_ticket &Ticket, duration At,
                            const char *Caller = "c") {
    return Table.offerTicket(Ticket, caller_id(Caller), service_id("s"),
                             time_point(At));
  }
  submission_ticket issue() {
    return Table.issue(caller_id("c"), service_id("s"), time_point());
  }
  submission_decision answer(claim_answer_kind Kind,
                             const submission_claim &Holder = {}) {
    return Table.claimAnswered(Identity, {Kind, Holder}, time_point());
  }

  random_source Random;
  submission_table Table;
};

} // namespace

class submission_table_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(submission_table_test);
  CPPUNIT_TEST(ticketsRunAtMostOnce);
  CPPUNIT_TEST(claimsAreReadBackBeforeReporting);
  CPPUNIT_TEST(unresolvedClaimRunsOnceConfirmed);
  CPPUNIT_TEST(storedBodiesAreBounded);
  CPPUNIT_TEST_SUITE_END();

public:
  void ticketsRunAtMostOnce() {
    using action = submission_action;
    using reason = submission_reason;
    struct fault_case {
      const char *GuardsAgainst;
      std::function<submission_decision(executor &, submission_ticket)> Offer;
      action Expected;
      request_outcome Reported;
      reason Reason;
    };
    const auto Run = [](executor &Executor, const submission_ticket &Ticket) {
      CPPUNIT_ASSERT(Executor.offer(Ticket, 1s).Action == action::Run);
    };
    const fault_case Cases[] = {
        {"a second run when the caller retries",
         [Run](executor &Executor, const submission_ticket &Ticket) {
           Run(Executor, Ticket);
           return Executor.offer(Ticket, 2s);
         },
         action::Join, request_outcome::Unknown, reason::None},
        {"a second run after the first has ended",
         [Run](executor &Executor, const submission_ticket &Ticket) {
           Run(Executor, Ticket);
           Executor.Table.finished(Ticket.Nonce, {Okay, "body", false}, {});
           return Executor.offer(Ticket, 2s);
         },
         action::Replay, request_outcome::Done, reason::None},
        {"a run after 'not run' was reported",
         [Run](executor &Executor, const submission_ticket &Ticket) {
           Run(Executor, Ticket);
           Executor.Table.finished(
               Ticket.Nonce, {{request_outcome::NotRun, {}}, "", false}, {});
           return Executor.offer(Ticket, 2s);
         },
         action::Replay, request_outcome::NotRun, reason::None},
        {"'not run' for a ticket that was used before it expired",
         [Run](executor &Executor, const submission_ticket &Ticket) {
           Run(Executor, Ticket);
           Executor.Table.finished(Ticket.Nonce, {Okay, "", false}, {});
           Executor.Table.tick(time_point(61min));
           return Executor.offer(Ticket, 61min);
         },
         action::Refuse, request_outcome::Unknown, reason::ExpiredTicket},
        {"a second run of a submission that outlives its ticket",
         [Run](executor &Executor, const submission_ticket &Ticket) {
           Run(Executor, Ticket);
           Executor.Table.tick(time_point(61min));
           return Executor.offer(Ticket, 61min);
         },
         action::Join, request_outcome::Unknown, reason::None},
        {"a caller that uses another caller's ticket",
         [](executor &Executor, const submission_ticket &Ticket) {
           return Executor.offer(Ticket, 1s, "d");
         },
         action::Refuse, request_outcome::NotRun, reason::OtherCaller},
        {"a ticket with a later expiry than issued",
         [](executor &Executor, submission_ticket Ticket) {
           Ticket.Expiry += sender_time(1);
           return Executor.offer(Ticket, 1s);
         },
         action::Refuse, request_outcome::NotRun, reason::InvalidTicket},
        {"a second run or 'not run' after the executor was restarted",
         [](executor &Executor, submission_ticket Ticket) {
           Ticket.Executor.Incarnation = incarnation_id(1);
           return Executor.offer(Ticket, 1s);
         },
         action::Refuse, request_outcome::Unknown, reason::OtherIncarnation},
        {"a run at an entry host that is not the executor",
         [](executor &Executor, submission_ticket Ticket) {
           Ticket.Executor = Other;
           return Executor.offer(Ticket, 1s);
         },
         action::RouteTo, request_outcome::Unknown, reason::None},
    };
    for (const fault_case &Case : Cases) {
      executor Executor;
      const auto Got = Case.Offer(Executor, Executor.issue());
      CPPUNIT_ASSERT_MESSAGE(Case.GuardsAgainst, Got.Action == Case.Expected);
      CPPUNIT_ASSERT_MESSAGE(Case.GuardsAgainst,
                             Got.Result.Outcome.Reported == Case.Reported);
      CPPUNIT_ASSERT_MESSAGE(Case.GuardsAgainst, Got.Reason == Case.Reason);
    }
  }

  void claimsAreReadBackBeforeReporting() {
    using kind = claim_answer_kind;
    using action = submission_action;
    struct step {
      kind Answer;
      action Expected;
    };
    struct fault_case {
      const char *GuardsAgainst;
      std::vector<step> Steps;
      bool OwnClaim;
      request_outcome Reported;
    };
    const request_outcome Unknown = request_outcome::Unknown;
    const fault_case Cases[] = {
        {"a submission that waits although its claim was created",
         {{kind::Created, action::Run}},
         true,
         Unknown},
        {"a second run while another executor holds the claim",
         {{kind::Exists, action::RouteTo}},
         false,
         Unknown},
        {"'not run' while the store is unavailable: an earlier try may have "
         "run",
         {{kind::Unavailable, action::Refuse}},
         false,
         Unknown},
        {"a run without reading back a claim whose answer was lost",
         {{kind::Lost, action::ReadClaim}, {kind::Exists, action::RouteTo}},
         false,
         Unknown},
        {"a refusal although the lost write created the executor's own claim",
         {{kind::Lost, action::ReadClaim}, {kind::Exists, action::Run}},
         true,
         Unknown},
        {"a run before a delayed write of the claim is resolved",
         {{kind::Lost, action::ReadClaim},
          {kind::Absent, action::CreateClaim},
          {kind::Exists, action::Run}},
         true,
         Unknown},
        {"unlimited calls to a store whose answers are lost",
         {{kind::Lost, action::ReadClaim},
          {kind::Lost, action::ReadClaim},
          {kind::Lost, action::ReadClaim},
          {kind::Lost, action::ReadClaim},
          {kind::Lost, action::ReadClaim},
          {kind::Lost, action::Refuse}},
         false,
         Unknown},
    };
    for (const fault_case &Case : Cases) {
      executor Executor;
      submission_decision Got =
          Executor.Table.offerIdentity(Identity, time_point());
      CPPUNIT_ASSERT(Got.Action == action::CreateClaim);
      const submission_claim Holder =
          Case.OwnClaim ? Got.Claim : submission_claim{Other, claim_nonce(3)};
      for (const step &Step : Case.Steps) {
        Got = Executor.answer(Step.Answer, Holder);
        CPPUNIT_ASSERT_MESSAGE(Case.GuardsAgainst, Got.Action == Step.Expected);
      }
      CPPUNIT_ASSERT_MESSAGE(Case.GuardsAgainst,
                             Got.Result.Outcome.Reported == Case.Reported);
    }
  }

  // Guards against a submission that stays unknown after its claim was written
  // late, and against a run under a claim whose record was dropped.
  void unresolvedClaimRunsOnceConfirmed() {
    executor Executor;
    const submission_claim Own =
        Executor.Table.offerIdentity(Identity, time_point()).Claim;
    Executor.answer(claim_answer_kind::Unavailable);
    const submission_claim Foreign{Self, claim_nonce(99)};
    const auto Offer = [&](const submission_claim &Claim) {
      return Executor.Table.offerClaimed(Identity, Claim, time_point()).Action;
    };
    CPPUNIT_ASSERT(Offer(Foreign) == submission_action::Refuse);
    CPPUNIT_ASSERT(Offer(Own) == submission_action::Run);
    CPPUNIT_ASSERT(Offer(Own) == submission_action::Join);
    CPPUNIT_ASSERT(Executor.answer(claim_answer_kind::Created).Action ==
                   submission_action::Join);
    executor Restarted;
    CPPUNIT_ASSERT(
        Restarted.Table.offerClaimed(Identity, Own, time_point()).Reason ==
        submission_reason::ForgottenClaim);
  }

  // Guards against memory use that grows with the size of answers, and against
  // losing an outcome when its body is dropped.
  void storedBodiesAreBounded() {
    executor Executor({.Capacity = 3, .BodyCapacity = byte_count(10)});
    std::vector<submission_ticket> Tickets;
    for (int Count = 0; Count < 3; ++Count) {
      Tickets.push_back(Executor.issue());
      Executor.offer(Tickets.back(), 1s);
      Executor.Table.finished(Tickets.back().Nonce, {Okay, "12345", false}, {});
    }
    CPPUNIT_ASSERT(Executor.Table.bodyBytes() == byte_count(10));
    const submission_decision First = Executor.offer(Tickets[0], 2s);
    CPPUNIT_ASSERT(First.Result.BodyDropped && First.Result.Outcome == Okay);
    CPPUNIT_ASSERT(!Executor.offer(Tickets[2], 2s).Result.BodyDropped);
    const submission_decision Full = Executor.offer(Executor.issue(), 2s);
    CPPUNIT_ASSERT(Full.Reason == submission_reason::TableFull);
    CPPUNIT_ASSERT(Full.Result.Outcome.Reported == request_outcome::Unknown);
    Executor.Table.tick(time_point(2h));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Executor.Table.size());
    CPPUNIT_ASSERT(Executor.Table.bodyBytes() == byte_count());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(submission_table_test);
