#include "bw_gateway/engine/engine_fixture_test.h"
#include "bw_gateway/messages/ring_bounds.h"

#include <set>

using namespace bw;
using namespace bw::engine_test;
using namespace std::chrono_literals;

namespace {

const service_id Diary("diary");

gateway_route route(const std::string &Prefix, execution_rule Execution) {
  return {.Id = route_id(Prefix),
          .VirtualHost = "one.example",
          .Prefix = Prefix,
          .Destinations = {{.Service = Diary}},
          .Execution = Execution,
          .Timeout = 3s,
          .TargetLatency = 1s,
          .MaxAttempts = 2};
}

std::shared_ptr<const gateway_configuration>
configuration(std::uint64_t Version) {
  auto Result = std::make_shared<gateway_configuration>();
  Result->Version = config_version(Version);
  Result->Routes = {route("/read/", execution_rule::Repeatable),
                    route("/submit/", execution_rule::AtMostOnce)};
  return Result;
}

struct retry_case {
  const char *Failure;
  const char *Path;
  attempt_outcome Outcome;
  int Status;
  bool IsReplayable;
  bool IsSentAgain;
  /// If the request is not sent again: the reason it is refused for, or no
  /// value if the answer is relayed.
  std::optional<refusal_reason> Reason;
};

const retry_case RetryCases[] = {
    {"submission that may have run is repeated after a break", "/submit/1",
     attempt_outcome::Broken, 0, true, false, refusal_reason::Unknown},
    {"submission is repeated after the server's own error", "/submit/1",
     attempt_outcome::Answered, 500, true, false, std::nullopt},
    {"submission that did not run is lost", "/submit/1",
     attempt_outcome::NotExecuted, 0, true, true, std::nullopt},
    {"submission that was never sent is lost", "/submit/1",
     attempt_outcome::NotSent, 0, true, true, std::nullopt},
    {"lookup is not repeated after a break", "/read/1", attempt_outcome::Broken,
     0, true, true, std::nullopt},
    {"lookup is not repeated after a server's error", "/read/1",
     attempt_outcome::Answered, 500, true, true, std::nullopt},
    {"client error of a server is repeated", "/read/1",
     attempt_outcome::Answered, 404, true, false, std::nullopt},
    {"a body that is no longer held is sent again", "/read/1",
     attempt_outcome::Broken, 0, false, false, refusal_reason::Unknown},
    {"a streamed body that was not run is called unknown", "/submit/1",
     attempt_outcome::NotExecuted, 0, false, false,
     refusal_reason::NotExecuted},
};

} // namespace

class gateway_engine_test : public engine_fixture {
  CPPUNIT_TEST_SUITE(gateway_engine_test);
  CPPUNIT_TEST(refusesWithoutConfiguration);
  CPPUNIT_TEST(refusesUnknownRoutesAndEmptyServices);
  CPPUNIT_TEST(repeatsOnlyWhatMayRunAgain);
  CPPUNIT_TEST(neverSendsASubmissionTwiceThatMayHaveRun);
  CPPUNIT_TEST(keepsToTheAttemptsOfTheRoute);
  CPPUNIT_TEST(keepsToTheRetryBudgetInAnOutage);
  CPPUNIT_TEST(hedgesALookupAndCancelsTheLoser);
  CPPUNIT_TEST(neverHedgesASubmission);
  CPPUNIT_TEST(answersAtTheRoutesTimeout);
  CPPUNIT_TEST(relaysTheServersErrorWhenRetriesFail);
  CPPUNIT_TEST(callerThatLeavesCancelsItsAttempts);
  CPPUNIT_TEST(answersInRelayEndAtTheDeadline);
  CPPUNIT_TEST(eachRequestHasOneLastCommand);
  CPPUNIT_TEST(pendingCommandsOfARequestAreBounded);
  CPPUNIT_TEST(configurationNeverGoesBack);
  CPPUNIT_TEST(tellsTheServerNoMoreTimeThanIsLeft);
  CPPUNIT_TEST(keepsNothingOfFinishedRequests);
  CPPUNIT_TEST(takesOnlyWhatItCanFinishWhileStopping);
  CPPUNIT_TEST(estimatesOfWorkDoNotBoundAStop);
  CPPUNIT_TEST(cutsNothingThatItTookWhileStopping);
  CPPUNIT_TEST(startsNoAttemptThatAStopWouldCut);
  CPPUNIT_TEST(answersOpenRequestsBeforeAStopEnds);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    Engine = std::make_unique<gateway_engine>(
        gateway_engine_options{.Seed = testSeed()});
    Now = time_point(100s);
    LastRequest = {};
  }

  // Guards against a final error for a valid request while no configuration is
  // known; the caller must be told to retry.
  void refusesWithoutConfiguration() {
    CPPUNIT_ASSERT(!Engine->isReady());
    const auto Out = arrive("/read/1");
    const auto Refused = only<refuse_request>(Out);
    CPPUNIT_ASSERT(Refused.Reason == refusal_reason::NoConfiguration);
    CPPUNIT_ASSERT(Refused.RetryAfter.has_value());
  }

  // Guards against holding requests that cannot be served.
  void refusesUnknownRoutesAndEmptyServices() {
    handle(configuration_read{configuration(1)});
    CPPUNIT_ASSERT(only<refuse_request>(arrive("/other/1")).Reason ==
                   refusal_reason::NoRoute);
    CPPUNIT_ASSERT(only<refuse_request>(arrive("/read/1")).Reason ==
                   refusal_reason::NoServer);
  }

  // Guards against repeating requests that may have been executed, and against
  // losing those that can be repeated.
  void repeatsOnlyWhatMayRunAgain() {
    for (const retry_case &Case : RetryCases) {
      setUp();
      configure();
      const auto First =
          only<start_attempt>(arrive(Case.Path, 8s, Case.IsReplayable));
      Now += 10ms;
      const auto Out = handle(attempt_ended{.Request = First.Request,
                                            .Attempt = First.Attempt,
                                            .Outcome = Case.Outcome,
                                            .Status = Case.Status});
      if (Case.IsSentAgain) {
        const auto Second = only<start_attempt>(Out);
        CPPUNIT_ASSERT_MESSAGE(Case.Failure, Second.Server != First.Server);
      } else if (Case.Reason) {
        CPPUNIT_ASSERT_MESSAGE(Case.Failure, only<refuse_request>(Out).Reason ==
                                                 *Case.Reason);
      } else {
        CPPUNIT_ASSERT_MESSAGE(Case.Failure, only<relay_answer>(Out).Attempt ==
                                                 First.Attempt);
      }
    }
  }

  // Guards against a second execution when a retry after a decline ends in a
  // broken connection.
  void neverSendsASubmissionTwiceThatMayHaveRun() {
    configure();
    const auto First = only<start_attempt>(arrive("/submit/1"));
    const auto Second =
        only<start_attempt>(end(First, attempt_outcome::NotExecuted));
    CPPUNIT_ASSERT(
        only<refuse_request>(end(Second, attempt_outcome::Broken)).Reason ==
        refusal_reason::Unknown);
  }

  // Guards against more attempts for one request than its route allows.
  void keepsToTheAttemptsOfTheRoute() {
    configure();
    const auto First = only<start_attempt>(arrive("/read/1"));
    const auto Second =
        only<start_attempt>(end(First, attempt_outcome::Broken));
    only<refuse_request>(end(Second, attempt_outcome::Broken));
  }

  // Guards against a retry storm when every request of a service fails.
  void keepsToTheRetryBudgetInAnOutage() {
    configure();
    int Sent = 0;
    constexpr int Requests = 400;
    for (int Count = 0; Count < Requests; ++Count) {
      Now += 50ms;
      auto Out = arrive("/read/1");
      while (const auto *Attempt = std::get_if<start_attempt>(&Out.front())) {
        ++Sent;
        Out = end(*Attempt, attempt_outcome::Broken);
      }
    }
    // The platform allows a fifth of the requests, plus this host's share of
    // the slack.
    CPPUNIT_ASSERT(Sent <= Requests * 6 / 5 + 3);
    CPPUNIT_ASSERT(Sent > Requests);
  }

  // Guards against lookups that hang at a slow server, and against attempts
  // that continue after the request is answered.
  void hedgesALookupAndCancelsTheLoser() {
    configure();
    const auto First = only<start_attempt>(arrive("/read/1"));
    const auto Second = only<start_attempt>(advance(500ms));
    CPPUNIT_ASSERT(Second.Server != First.Server);
    const auto Out = handle(attempt_ended{.Request = Second.Request,
                                          .Attempt = Second.Attempt,
                                          .Outcome = attempt_outcome::Answered,
                                          .Status = 200});
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Out.size());
    CPPUNIT_ASSERT(std::get<cancel_attempt>(Out[0]).Attempt == First.Attempt);
    CPPUNIT_ASSERT(std::get<relay_answer>(Out[1]).Attempt == Second.Attempt);
  }

  // Guards against a second execution of a slow submission.
  void neverHedgesASubmission() {
    configure();
    only<start_attempt>(arrive("/submit/1"));
    CPPUNIT_ASSERT(advance(2900ms).empty());
  }

  // Guards against callers that wait longer than the timeout of the route.
  void answersAtTheRoutesTimeout() {
    configure();
    only<start_attempt>(arrive("/submit/1"));
    const auto Out = advance(3100ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Out.size());
    std::get<cancel_attempt>(Out[0]);
    const auto Refused = std::get<refuse_request>(Out[1]);
    CPPUNIT_ASSERT(Refused.Reason == refusal_reason::Timeout);
    // It may have been executed, so the caller must not be told to retry.
    CPPUNIT_ASSERT(!Refused.RetryAfter);
  }

  // Guards against replacing the error answer of a server by one of the
  // gateway.
  void relaysTheServersErrorWhenRetriesFail() {
    configure();
    const auto First = only<start_attempt>(arrive("/read/1"));
    const auto Second =
        only<start_attempt>(end(First, attempt_outcome::Answered, 500));
    const auto Out = end(Second, attempt_outcome::Broken);
    CPPUNIT_ASSERT(only<relay_answer>(Out).Attempt == First.Attempt);
  }

  // Guards against attempts that continue after the caller has disconnected.
  void callerThatLeavesCancelsItsAttempts() {
    configure();
    const auto First = only<start_attempt>(arrive("/read/1"));
    const auto Out = handle(caller_left{.Request = First.Request});
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Out.size());
    CPPUNIT_ASSERT(std::get<cancel_attempt>(Out[0]).Attempt == First.Attempt);
    CPPUNIT_ASSERT(std::get<end_request>(Out[1]).Request == First.Request);
    CPPUNIT_ASSERT(advance(10s).empty());
  }

  // Guards against answers that are relayed without a bound in time, and
  // against the slot of their server staying occupied.
  void answersInRelayEndAtTheDeadline() {
    configure();
    const auto First = only<start_attempt>(arrive("/submit/1"));
    const auto Relayed = only<relay_answer>(
        handle(attempt_ended{.Request = First.Request,
                             .Attempt = First.Attempt,
                             .Outcome = attempt_outcome::Answered,
                             .Status = 200,
                             .IsComplete = false}));
    CPPUNIT_ASSERT(!Relayed.IsComplete);
    CPPUNIT_ASSERT(advance(2900ms).empty());
    CPPUNIT_ASSERT(only<end_request>(advance(200ms)).Request == First.Request);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Engine->openRequests());
    CPPUNIT_ASSERT(
        handle(relay_ended{.Request = First.Request, .Attempt = First.Attempt})
            .empty());
  }

  // Guards against a request that counts as open in the forward service for
  // ever, or not long enough: exactly one command is the last.
  void eachRequestHasOneLastCommand() {
    configure();
    const auto First = only<start_attempt>(arrive("/submit/1"));
    handle(attempt_ended{.Request = First.Request,
                         .Attempt = First.Attempt,
                         .Outcome = attempt_outcome::Answered,
                         .Status = 200,
                         .IsComplete = false});
    const relay_ended Ended{.Request = First.Request, .Attempt = First.Attempt};
    CPPUNIT_ASSERT(only<end_request>(handle(Ended)).Request == First.Request);
    CPPUNIT_ASSERT(handle(Ended).empty());
    CPPUNIT_ASSERT(handle(caller_left{.Request = First.Request}).empty());
    const auto Second = only<start_attempt>(arrive("/submit/1"));
    CPPUNIT_ASSERT(
        only<relay_answer>(end(Second, attempt_outcome::Answered, 200))
            .IsComplete);
    CPPUNIT_ASSERT(handle(caller_left{.Request = Second.Request}).empty());
  }

  // Guards against more commands for one request than the ring has places for:
  // the most are those of a hedged request whose answer is broken off.
  void pendingCommandsOfARequestAreBounded() {
    configure();
    std::size_t Commands = 0;
    const auto First = only<start_attempt>(arrive("/read/1"));
    const auto Second = only<start_attempt>(advance(500ms));
    Commands += 2;
    Commands += handle(attempt_ended{.Request = Second.Request,
                                     .Attempt = Second.Attempt,
                                     .Outcome = attempt_outcome::Answered,
                                     .Status = 200,
                                     .IsComplete = false})
                    .size();
    Commands += advance(10s).size();
    CPPUNIT_ASSERT_EQUAL(MaxPendingCommands, Commands);
    CPPUNIT_ASSERT(First.Request == Second.Request);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Engine->openRequests());
  }

  // Guards against applying an outdated configuration from the store or another
  // host.
  void configurationNeverGoesBack() {
    configure();
    handle(configuration_read{configuration(7)});
    CPPUNIT_ASSERT(handle(configuration_read{configuration(6)}).empty());
    CPPUNIT_ASSERT(Engine->version() == config_version(7));
  }

  // Guards against servers working beyond the deadline of the caller.
  void tellsTheServerNoMoreTimeThanIsLeft() {
    configure();
    CPPUNIT_ASSERT(only<start_attempt>(arrive("/read/1", 8s)).TimeLeft == 3s);
    const auto First = only<start_attempt>(arrive("/read/1", 2s));
    CPPUNIT_ASSERT(First.TimeLeft == 2s);
    Now += 400ms;
    CPPUNIT_ASSERT(
        only<start_attempt>(end(First, attempt_outcome::Broken)).TimeLeft ==
        1600ms);
  }

  // Guards against memory use and timers that grow with the number of requests.
  void keepsNothingOfFinishedRequests() {
    configure();
    for (int Count = 0; Count < 100; ++Count)
      end(only<start_attempt>(arrive("/read/1")), attempt_outcome::Answered,
          200);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Engine->openRequests());
    CPPUNIT_ASSERT(Engine->nextDue() == time_point::max());
  }

  // Guards against requests that arrive late in a planned stop, are passed on,
  // and are cut when the process ends.
  void takesOnlyWhatItCanFinishWhileStopping() {
    configure();
    // The slowest of the last answers took 2 s.
    const auto Slow = only<start_attempt>(arrive("/submit/1"));
    Now += 2s;
    end(Slow, attempt_outcome::Answered, 200);
    for (int Count = 0; Count < 10; ++Count)
      end(only<start_attempt>(arrive("/submit/1")), attempt_outcome::Answered,
          200);
    CPPUNIT_ASSERT(handle(stop_began{.FinishWithin = 5s}).empty());
    const auto Taken = only<start_attempt>(arrive("/submit/1"));
    end(Taken, attempt_outcome::Answered, 200);
    Now += 3500ms;
    const auto Refused = only<refuse_request>(arrive("/submit/1"));
    CPPUNIT_ASSERT(Refused.Reason == refusal_reason::Stopping);
    CPPUNIT_ASSERT(Refused.RetryAfter.has_value());
    // Its caller gives up before the stop ends.
    only<start_attempt>(arrive("/submit/1", 1s));
  }

  // Guards against a submission that is taken because earlier ones were fast,
  // takes longer, and is cut while its server works on it.
  void estimatesOfWorkDoNotBoundAStop() {
    configure();
    for (int Count = 0; Count < 20; ++Count) {
      const auto Usual = only<start_attempt>(arrive("/submit/1"));
      Now += 200ms;
      end(Usual, attempt_outcome::Answered, 200);
    }
    handle(stop_began{.FinishWithin = 5500ms});
    Now += 3300ms;
    // 2.2 s are left, and the route allows the server 3 s.
    for (const char *Path : {"/submit/1", "/read/1"}) {
      const auto Refused = only<refuse_request>(arrive(Path));
      CPPUNIT_ASSERT(Refused.Reason == refusal_reason::Stopping);
      CPPUNIT_ASSERT(Refused.RetryAfter.has_value());
    }
    const auto Taken = only<start_attempt>(arrive("/submit/1", 2s));
    Now += 2s;
    CPPUNIT_ASSERT(
        only<relay_answer>(end(Taken, attempt_outcome::Answered, 200))
            .Attempt == Taken.Attempt);
  }

  // Guards against any request that arrives during a planned stop and is
  // neither refused at once nor ended by its own deadline, whatever its time
  // limit, and however long its servers take.
  void cutsNothingThatItTookWhileStopping() {
    constexpr duration FinishWithin = 5500ms;
    random_source Random(testSeed());
    int Taken = 0;
    int Refused = 0;
    for (int Round = 0; Round < 50; ++Round) {
      setUp();
      configure();
      handle(stop_began{.FinishWithin = FinishWithin});
      const time_point Stopped = Now;
      const request_number Last = LastRequest;
      const auto IsFinal = [&](const refuse_request &Answer) {
        return Answer.Request <= Last ||
               Answer.Reason == refusal_reason::Timeout ||
               (Answer.Reason == refusal_reason::NotExecuted &&
                Answer.RetryAfter);
      };
      while (Now < Stopped + FinishWithin) {
        for (const gateway_command &Each : advance(50ms))
          if (const auto *Answer = std::get_if<refuse_request>(&Each))
            CPPUNIT_ASSERT(IsFinal(*Answer));
        const auto Out =
            arrive(Random.unit() < 0.5 ? "/submit/1" : "/read/1",
                   std::chrono::milliseconds(50 + int(6000 * Random.unit())));
        if (const auto *Answer = std::get_if<refuse_request>(&Out.at(0))) {
          ++Refused;
          CPPUNIT_ASSERT(Answer->Reason == refusal_reason::Stopping &&
                         Answer->RetryAfter.has_value());
          continue;
        }
        ++Taken;
        // Some servers decline; the others never answer.
        if (Random.unit() < 0.3) {
          const auto Next =
              end(only<start_attempt>(Out), attempt_outcome::NotExecuted);
          if (const auto *Answer = std::get_if<refuse_request>(&Next.at(0)))
            CPPUNIT_ASSERT(IsFinal(*Answer));
        }
      }
    }
    CPPUNIT_ASSERT(Taken > 0 && Refused > 0);
  }

  // Guards against a retry that a planned stop would cut: the caller would be
  // left without an answer although nothing has run.
  void startsNoAttemptThatAStopWouldCut() {
    configure();
    const auto Declined = only<start_attempt>(arrive("/submit/1"));
    const auto Broken = only<start_attempt>(arrive("/submit/1"));
    handle(stop_began{.FinishWithin = 2s});
    Now += 1500ms;
    CPPUNIT_ASSERT(
        only<refuse_request>(end(Declined, attempt_outcome::NotExecuted))
            .Reason == refusal_reason::NotExecuted);
    CPPUNIT_ASSERT(
        only<refuse_request>(end(Broken, attempt_outcome::Broken)).Reason ==
        refusal_reason::Unknown);
  }

  // Guards against connections that close without an answer when a planned stop
  // ends, and against calling a request not executed that a server works on.
  void answersOpenRequestsBeforeAStopEnds() {
    configure();
    const auto Open = only<start_attempt>(arrive("/submit/1"));
    handle(stop_began{.FinishWithin = 2s});
    CPPUNIT_ASSERT(advance(1900ms).empty());
    const auto Out = advance(200ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Out.size());
    CPPUNIT_ASSERT(std::get<cancel_attempt>(Out[0]).Attempt == Open.Attempt);
    CPPUNIT_ASSERT(std::get<refuse_request>(Out[1]).Reason ==
                   refusal_reason::Unknown);
    CPPUNIT_ASSERT(Engine->nextDue() == time_point::max());
    CPPUNIT_ASSERT(only<refuse_request>(arrive("/read/1")).Reason ==
                   refusal_reason::Stopping);
  }

private:
  void configure() {
    handle(configuration_read{configuration(1)});
    handle(serversOf(Diary, 5));
    // Each request adds to the retry budget.
    for (int Count = 0; Count < 20; ++Count)
      end(only<start_attempt>(arrive("/read/1")), attempt_outcome::Answered,
          200);
  }

  gateway_engine::commands arrive(const std::string &Path, duration Wait = 8s,
                                  bool IsReplayable = true) {
    return receive({.Label = request_label("label"),
                    .Path = Path,
                    .CallerTimeout = Wait,
                    .IsReplayable = IsReplayable});
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_engine_test);
