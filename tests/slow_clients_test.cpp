// Clients and servers that hold the gateway's memory and descriptors. Each test
// runs the real gateway with lowered limits in its settings and checks only
// that the process lives, that its peak memory and open descriptors stay under
// these limits, and that it answers an ordinary request while the crowd is
// still there. The crowds and limits are fixed by what the gateway without a
// process budget did; each test says so.

#include "tests/slow_clients/crowd.h"
#include "tests/slow_clients/gateway_under_test.h"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

using namespace bw;
using namespace bw::slow_clients;

class slow_clients_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(slow_clients_test);
  CPPUNIT_TEST(longAnswersLeftUnread);
  CPPUNIT_TEST(longAnswersReadSlowly);
  CPPUNIT_TEST(shortAnswersLeftUnread);
  CPPUNIT_TEST(idleConnections);
  CPPUNIT_TEST(headsByteByByte);
  CPPUNIT_TEST(halfSentBodies);
  CPPUNIT_TEST(bodiesForServersThatDoNotRead);
  CPPUNIT_TEST(connectionsOpenedAndReset);
  CPPUNIT_TEST(serversAnswerByteByByte);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against answers that are buffered without bound for callers that
  // send requests ahead and read nothing.
  void longAnswersLeftUnread() {
    play({}, server_conduct::Answers,
         {.Size = 100,
          .Request =
              repeat(gateway_under_test::request("/crowd/", 1'000'000), 8)});
  }

  // Guards against many callers that each hold a full buffer.
  void longAnswersReadSlowly() {
    play({}, server_conduct::Answers,
         {.Size = 300,
          .Request = gateway_under_test::request("/crowd/", 2'000'000),
          .ReadPerRound = byte_count(200),
          .Rounds = 60});
  }

  // Guards against a bound on each answer that leaves their sum unbounded.
  void shortAnswersLeftUnread() {
    play({}, server_conduct::Answers,
         {.Size = 200,
          .Request =
              repeat(gateway_under_test::request("/crowd/", 40'000), 32)});
  }

  // Guards against descriptors held by callers that ask nothing.
  void idleConnections() {
    play({.Descriptors = FewDescriptors}, server_conduct::Answers,
         {.Size = 700, .Request = "", .Rounds = 10});
  }

  // Guards against descriptors held by heads that never end.
  void headsByteByByte() {
    play({.Descriptors = FewDescriptors}, server_conduct::Answers,
         {.Size = 700,
          .Request = gateway_under_test::request("/crowd/", 1000),
          .SentPerRound = byte_count(1)});
  }

  // Guards against memory held by bodies whose rest does not come.
  void halfSentBodies() {
    play(
        {}, server_conduct::Answers,
        {.Size = 400, .Request = gateway_under_test::upload(500'000, 250'000)});
  }

  // Guards against memory held by bodies that a server does not take.
  void bodiesForServersThatDoNotRead() {
    play({}, server_conduct::ReadsNothing,
         {.Size = 200,
          .Request = gateway_under_test::upload(4'000'000, 4'000'000)});
  }

  // Guards against connections that are not released when they are reset.
  void connectionsOpenedAndReset() {
    gateway_under_test Gateway({.Descriptors = FewDescriptors},
                               server_conduct::Answers);
    std::size_t Descriptors = 0;
    for (int Round = 0; Round < 20; ++Round) {
      openAndReset(Gateway.address(), 300,
                   gateway_under_test::request("/crowd/", 100'000));
      Descriptors = std::max(Descriptors, Gateway.openDescriptors());
    }
    check(Gateway, {.Descriptors = FewDescriptors}, Descriptors);
  }

  // Guards against requests whose answers never end taking up the process.
  void serversAnswerByteByByte() {
    play({}, server_conduct::AnswersByteByByte,
         {.Size = 300,
          .Request = gateway_under_test::request("/crowd/", 100'000)});
  }

private:
  static constexpr std::size_t FewDescriptors = 500;

  static std::string repeat(const std::string &Text, int Count) {
    std::string Result;
    for (int Index = 0; Index < Count; ++Index)
      Result += Text;
    return Result;
  }

  static void play(gateway_limits Limits, server_conduct Conduct,
                   const crowd_options &Options) {
    gateway_under_test Gateway(Limits, Conduct);
    std::size_t Descriptors = 0;
    crowd Crowd(Gateway.address(), Options);
    Crowd.play([&] {
      Descriptors = std::max(Descriptors, Gateway.openDescriptors());
    });
    std::cout << "  " << Crowd.connected() << " of " << Options.Size
              << " clients are connected\n";
    check(Gateway, Limits, Descriptors);
  }

  static void check(gateway_under_test &Gateway, gateway_limits Limits,
                    std::size_t Descriptors) {
    const bool IsAnswered = Gateway.answersOrdinaryRequest();
    std::cout << "  peak memory " << Gateway.peakMemory().value() / 1024
              << " KB, descriptors " << Descriptors
              << (IsAnswered ? ", answered\n" : ", not answered\n");
    CPPUNIT_ASSERT(Gateway.isAlive());
    CPPUNIT_ASSERT(Gateway.peakMemory() <= Limits.Memory);
    CPPUNIT_ASSERT(Descriptors <= Limits.Descriptors);
    CPPUNIT_ASSERT(IsAnswered);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(slow_clients_test);
