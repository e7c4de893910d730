#include "bw_platform/client/platform_client.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>

using namespace bw;
using namespace std::chrono_literals;

namespace {

call_result complete(int Status, const std::string &Tag = {},
                     std::string Body = {}) {
  call_result Result;
  Result.Transfer = {.Status = transfer_status::Complete,
                     .WasSent = true,
                     .HttpStatus = Status};
  Result.Response.Status = Status;
  Result.Response.Body = std::move(Body);
  if (!Tag.empty())
    Result.Response.Headers.add("ETag", Tag);
  return Result;
}

call_result failed(transfer_status Status, bool WasSent) {
  call_result Result;
  Result.Transfer = {.Status = Status, .WasSent = WasSent};
  return Result;
}

} // namespace

class platform_client_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(platform_client_test);
  CPPUNIT_TEST(writesAreConditional);
  CPPUNIT_TEST(tellsLostAnswersFromCallsNotSent);
  CPPUNIT_TEST(brokenReadsAreUnavailable);
  CPPUNIT_TEST(sendsNothingWithoutToken);
  CPPUNIT_TEST(refusesKeysThatLeaveThePath);
  CPPUNIT_TEST(listsContinueAfterAnyName);
  CPPUNIT_TEST(watchOutlastsItsTimeout);
  CPPUNIT_TEST(responsesOfEarlierErasAreLost);
  CPPUNIT_TEST(conditionsOfAnEarlierEraAreNotSent);
  CPPUNIT_TEST(watchesEndWithTheirEra);
  CPPUNIT_TEST(hostListsOfAnotherEraAreReadAgain);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a write that overwrites a racing operator's.
  void writesAreConditional() {
    const auto Client = clientFor(complete(200, "\"8\""));
    CPPUNIT_ASSERT_EQUAL(
        std::uint64_t(8),
        Client->create({"k", "n"}, "v").Position.Version.value());
    CPPUNIT_ASSERT_EQUAL(std::string("*"),
                         *Sent.back().Headers.find("If-None-Match"));
    Client->update({"k", "n"}, "v",
                   object_position{.Version = object_version(7)});
    CPPUNIT_ASSERT_EQUAL(std::string("\"7\""),
                         *Sent.back().Headers.find("If-Match"));
    Client->remove({"k", "n"}, object_position{.Version = object_version(7)});
    CPPUNIT_ASSERT_EQUAL(std::string("\"7\""),
                         *Sent.back().Headers.find("If-Match"));
    CPPUNIT_ASSERT_EQUAL(std::string("DELETE"), Sent.back().Method);
    for (const client_request &Request : Sent) {
      CPPUNIT_ASSERT_EQUAL(std::string("http://p/v1/objects/k/n"), Request.Url);
      CPPUNIT_ASSERT(Request.NeedsFreshConnection);
    }
  }

  // Guards against "not stored" being told of a write that took effect.
  void tellsLostAnswersFromCallsNotSent() {
    struct fault_case {
      const char *Fault;
      call_result Result;
      write_outcome Expected;
    };
    const fault_case Cases[] = {
        {"stored", complete(200, "\"1\""), write_outcome::Stored},
        {"another version", complete(412, "\"2\""),
         write_outcome::VersionConflict},
        {"no such object", complete(404), write_outcome::Absent},
        {"too large", complete(413), write_outcome::Refused},
        {"bad request", complete(400), write_outcome::Refused},
        {"over the platform's rate", complete(429), write_outcome::Unavailable},
        {"error after the write", complete(500), write_outcome::AnswerLost},
        {"error of a gateway", complete(503), write_outcome::AnswerLost},
        {"redirect", complete(302), write_outcome::AnswerLost},
        {"no connection", failed(transfer_status::ConnectFailed, false),
         write_outcome::Unavailable},
        {"connection lost before sending",
         failed(transfer_status::Broken, false), write_outcome::Unavailable},
        {"connection lost after sending", failed(transfer_status::Broken, true),
         write_outcome::AnswerLost},
        {"silence after sending", failed(transfer_status::TimedOut, true),
         write_outcome::AnswerLost},
        {"cancelled after sending", failed(transfer_status::Cancelled, true),
         write_outcome::AnswerLost},
    };
    for (const fault_case &Case : Cases) {
      const auto Client = clientFor(Case.Result);
      CPPUNIT_ASSERT_MESSAGE(
          Case.Fault, Client->create({"k", "n"}, "v").Outcome == Case.Expected);
      CPPUNIT_ASSERT_MESSAGE(
          Case.Fault,
          Client->update({"k", "n"}, "v",
                         object_position{.Version = object_version(1)})
                  .Outcome == Case.Expected);
    }
  }

  // Guards against a missing answer read as "there is no such object".
  void brokenReadsAreUnavailable() {
    struct fault_case {
      const char *Fault;
      call_result Result;
      read_outcome Expected;
    };
    const fault_case Cases[] = {
        {"found", complete(200, "\"1\"", "{\"items\":[]}"),
         read_outcome::Found},
        {"absent", complete(404), read_outcome::Absent},
        {"no version", complete(200, "", "v"), read_outcome::Unavailable},
        {"odd version", complete(200, "\"x\"", "v"), read_outcome::Unavailable},
        {"half a version", complete(200, "\"1", "v"),
         read_outcome::Unavailable},
        {"error", complete(500), read_outcome::Unavailable},
        {"cut", failed(transfer_status::Broken, true),
         read_outcome::Unavailable},
    };
    for (const fault_case &Case : Cases) {
      const auto Client = clientFor(Case.Result);
      CPPUNIT_ASSERT_MESSAGE(Case.Fault,
                             Client->read({"k", "n"}).Outcome == Case.Expected);
    }
    for (const char *Json : {"", "[]", "{}", "{\"items\":1}", "{\"items\":[1]}",
                             "{\"items\":[{\"name\":1,\"version\":1}]}"}) {
      const auto Client = clientFor(complete(200, "", Json));
      CPPUNIT_ASSERT_MESSAGE(Json, Client->list("k", "", 10).Outcome ==
                                       read_outcome::Unavailable);
    }
  }

  void sendsNothingWithoutToken() {
    platform_client Client({.Url = "http://p",
                            .TakeToken = [] { return false; },
                            .Send =
                                [this](client_request Request) {
                                  Sent.push_back(std::move(Request));
                                  return complete(200, "\"1\"");
                                }});
    CPPUNIT_ASSERT(Client.create({"k", "n"}, "v").Outcome ==
                   write_outcome::Unavailable);
    CPPUNIT_ASSERT(Client.read({"k", "n"}).Outcome ==
                   read_outcome::Unavailable);
    CPPUNIT_ASSERT(!Client.hosts().has_value());
    CPPUNIT_ASSERT(Sent.empty());
  }

  void refusesKeysThatLeaveThePath() {
    const auto Client = clientFor(complete(200, "\"1\""));
    for (const char *Name : {"", ".", "..", "a/b", "a?b", "a b", "a%2f", "é"})
      CPPUNIT_ASSERT_THROW_MESSAGE(Name, Client->read({"k", Name}),
                                   object_key_error);
    CPPUNIT_ASSERT_THROW(Client->list("k?", "", 1), object_key_error);
    CPPUNIT_ASSERT(Sent.empty());
  }

  // Guards against a list that cannot be continued, or that is read with
  // another limit, because of the name of another writer's object.
  void listsContinueAfterAnyName() {
    const auto Client = clientFor(complete(200, "", R"({"items":[]})"));
    CPPUNIT_ASSERT(Client->list("k", "a&limit=9 #+%", 1).Outcome ==
                   read_outcome::Found);
    CPPUNIT_ASSERT_EQUAL(
        std::string(
            "http://p/v1/objects/k?after=a%26limit%3D9%20%23%2B%25&limit=1"),
        Sent.back().Url);
  }

  // Guards against a long poll that its own client ends early.
  void watchOutlastsItsTimeout() {
    const auto Client = clientFor(complete(204));
    CPPUNIT_ASSERT(Client
                       ->watch({"k", "n"},
                               object_position{.Version = object_version(3)},
                               30'000ms)
                       .Outcome == watch_outcome::Unchanged);
    CPPUNIT_ASSERT_EQUAL(
        std::string("http://p/v1/watch/k/n?after=3&timeout_ms=30000"),
        Sent.back().Url);
    CPPUNIT_ASSERT(Sent.back().Timeout > 30'000ms);
  }

  // Guards against a late response that passes for the present state, and
  // against a service that is not used any more because one names no era.
  void responsesOfEarlierErasAreLost() {
    struct {
      std::string Era;
      bool IsUsed;
      std::uint64_t Position;
    } const Cases[] = {{"", true, 0},  {"1", true, 1},  {"1", true, 1},
                       {"3", true, 3}, {"2", false, 0}, {"x", true, 0},
                       {"", true, 0},  {"0", true, 0},  {"3", true, 3}};
    std::vector<std::pair<store_era, store_era>> Restores;
    call_result Next;
    platform_client Client(
        {.Url = "http://p",
         .Send = [&](const client_request &) { return Next; },
         .OnRestore =
             [&](store_era Before, store_era Now) {
               Restores.emplace_back(Before, Now);
             }});
    for (const auto &Case : Cases) {
      Next = withEra(complete(200, "\"7\"", "v"), Case.Era);
      const read_answer Read = Client.read({"k", "n"});
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Case.Era, Case.IsUsed,
                                   Read.Outcome == read_outcome::Found);
      CPPUNIT_ASSERT_EQUAL(store_era(Case.Position), Read.Object.Position.Era);
      const write_answer Written = Client.create({"k", "n"}, "v");
      CPPUNIT_ASSERT(
          Written.Outcome ==
          (Case.IsUsed ? write_outcome::Stored : write_outcome::AnswerLost));
    }
    CPPUNIT_ASSERT(Restores ==
                   (std::vector{std::pair(store_era(1), store_era(3))}));
  }

  // Guards against a write under a condition that another object meets.
  void conditionsOfAnEarlierEraAreNotSent() {
    struct {
      const char *Name;
      std::uint64_t Known;
      std::uint64_t Expected;
      std::string Answered;
      bool IsSent;
      write_outcome Outcome;
    } const Cases[] = {
        {"the same era", 2, 2, "2", true, write_outcome::Stored},
        {"an earlier era", 2, 1, "2", false, write_outcome::VersionConflict},
        {"a restore before the write", 1, 1, "2", true,
         write_outcome::AnswerLost},
        {"no era known", 1, 0, "1", true, write_outcome::Stored},
        {"no era answered", 2, 2, "", true, write_outcome::Stored},
        {"a late answer", 2, 2, "1", true, write_outcome::AnswerLost},
    };
    for (const auto &Case : Cases)
      for (const bool IsRemoval : {false, true}) {
        int Count = 0;
        call_result Next = withEra(complete(404), std::to_string(Case.Known));
        platform_client Client(
            {.Url = "http://p", .Send = [&](const client_request &) {
               ++Count;
               return Next;
             }});
        Client.read({"k", "n"});
        Next = withEra(complete(200, "\"8\""), Case.Answered);
        const object_position Expected{.Era = store_era(Case.Expected),
                                       .Version = object_version(7)};
        const write_answer Answer =
            IsRemoval ? Client.remove({"k", "n"}, Expected)
                      : Client.update({"k", "n"}, "v", Expected);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(Case.Name, int(Case.Outcome),
                                     int(Answer.Outcome));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(Case.Name, Case.IsSent ? 2 : 1, Count);
      }
  }

  // Guards against a head that is watched from a version that the service has
  // lost, until it has given out as many again.
  void watchesEndWithTheirEra() {
    struct {
      const char *Name;
      std::uint64_t After;
      call_result Response;
      std::string Era;
      watch_outcome Outcome;
    } const Cases[] = {
        {"nothing new", 1, complete(204), "1", watch_outcome::Unchanged},
        {"changed", 1, complete(200, "\"9\"", "v"), "1",
         watch_outcome::Changed},
        {"restored while it waited", 1, complete(204), "2",
         watch_outcome::Restored},
        {"restored and changed", 1, complete(200, "\"3\"", "v"), "2",
         watch_outcome::Changed},
        {"no era any more", 1, complete(204), "", watch_outcome::Restored},
        {"never an era", 0, complete(204), "", watch_outcome::Unchanged},
    };
    for (const auto &Case : Cases) {
      const auto Client = clientFor(withEra(Case.Response, Case.Era));
      const object_position After{.Era = store_era(Case.After),
                                  .Version = object_version(7)};
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          Case.Name, int(Case.Outcome),
          int(Client->watch({"k", "n"}, After, 10ms).Outcome));
    }
    // A position of an era that has ended is before all versions.
    const auto Client = clientFor(withEra(complete(204), "5"));
    Client->read({"k", "n"});
    CPPUNIT_ASSERT(
        Client
            ->watch({"k", "n"},
                    {.Era = store_era(4), .Version = object_version(7)}, 10ms)
            .Outcome == watch_outcome::Restored);
    CPPUNIT_ASSERT(Sent.back().Url.find("?after=0&") != std::string::npos);
    CPPUNIT_ASSERT(Client->watch({"k", "n"}, {}, 10ms).Outcome ==
                   watch_outcome::Unchanged);
  }

  // Guards against a host list that counts as the present one because its tag
  // was given out again.
  void hostListsOfAnotherEraAreReadAgain() {
    std::deque<call_result> Responses = {
        withEra(complete(200, "\"t\"", R"({"hosts":[]})"), "1"),
        withEra(complete(304), "1"), withEra(complete(304), "2"),
        withEra(complete(200, "\"t\"", R"({"hosts":[]})"), "2"),
        withEra(complete(200, "\"t\"", R"({"hosts":[]})"), "2")};
    platform_client Client(
        {.Url = "http://p", .Send = [&](client_request Request) {
           call_result Result = Responses.front();
           Responses.pop_front();
           deliver(Request, Result);
           Sent.push_back(std::move(Request));
           return Result;
         }});
    const auto First = Client.hostsSince({});
    CPPUNIT_ASSERT(Client.hostsSince(First->Tag)->IsUnchanged);
    const auto Second = Client.hostsSince(First->Tag);
    CPPUNIT_ASSERT(!Second->IsUnchanged);
    CPPUNIT_ASSERT_EQUAL(store_era(2), Second->Tag.Era);
    CPPUNIT_ASSERT(!Sent.back().Headers.find("If-None-Match"));
    // The tag of the era before is not sent.
    CPPUNIT_ASSERT(!Client.hostsSince(First->Tag)->IsUnchanged);
    CPPUNIT_ASSERT(!Sent.back().Headers.find("If-None-Match"));
  }

private:
  static call_result withEra(call_result Result, const std::string &Era) {
    if (!Era.empty())
      Result.Response.Headers.add("Store-Era", Era);
    return Result;
  }

  std::unique_ptr<platform_client> clientFor(const call_result &Result) {
    Sent.clear();
    return std::make_unique<platform_client>(platform_client_options{
        .Url = "http://p", .Send = [this, Result](client_request Request) {
          deliver(Request, Result);
          Sent.push_back(std::move(Request));
          return Result;
        }});
  }

  // Passes the body on as a blocking call does.
  static void deliver(const client_request &Request,
                      const call_result &Result) {
    if (Request.BodySink)
      Request.BodySink(Result.Response.Status, Result.Response.Body);
  }

  std::vector<client_request> Sent;
};

CPPUNIT_TEST_SUITE_REGISTRATION(platform_client_test);
