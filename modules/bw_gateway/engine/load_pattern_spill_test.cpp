// Compares hosts that leave their data centre by the spill policy with those
// that weigh the distance for each request, in virtual time.

#include "bw_gateway/engine/load_pattern_fleet_test.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <iostream>
#include <numbers>

using namespace bw;
using namespace bw::load_pattern;
using namespace std::chrono_literals;

namespace {

// The slots run 265 requests a second.
fleet_pattern loaded(double Utilisation) {
  return {.RequestsPerSecond = 265 * Utilisation, .RemoteDelay = 8ms};
}

// Half of the requests are urgent; the others wait for room at the hosts. All
// are nearly as many as the slots can run.
fleet_pattern urgent() {
  return {.Slots = 4,
          .QueueLimit = 4,
          .RequestsPerSecond = 700,
          .Kinds = {{.Name = "urgent", .Share = 0.5, .Target = 250ms},
                    {.Name = "patient", .Share = 0.5, .Priority = 1}},
          .WorkSeconds = 0.1,
          .ReportInterval = 80ms,
          .RemoteDelay = 8ms,
          .CallersComeBack = true};
}

struct comparison {
  fleet_result ByCost;
  fleet_result BySpill;
};

comparison compare(const char *Name, const fleet_pattern &Pattern) {
  comparison Result{.ByCost = simulate(Pattern, Detecting),
                    .BySpill = simulate(Pattern, Spilling)};
  for (const auto *Each : {&Result.ByCost, &Result.BySpill}) {
    std::cout << Name << (Each == &Result.ByCost ? ", by cost" : ", by spill")
              << ": served " << Each->servedShare() << ", in target "
              << Each->inTargetShare() << ", left " << Each->leftShare();
    for (const auto &[Reason, Count] : Each->Departures)
      std::cout << ", " << departureName(Reason) << " " << Count;
    for (const auto &[Kind, Counts] : Each->Kinds)
      std::cout << ", " << Kind << " left " << Counts.leftShare();
    std::cout << "\n";
  }
  return Result;
}

} // namespace

class load_pattern_spill_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(load_pattern_spill_test);
  CPPUNIT_TEST(swingsOfDemandAreServedElsewhere);
  CPPUNIT_TEST(twoDataCentresSpillSteadily);
  CPPUNIT_TEST(aSilentDataCentreGetsNothing);
  CPPUNIT_TEST(downloadsLeaveLast);
  CPPUNIT_TEST_SUITE_END();

public:
  // Demand swings by half with a period of 13 s, in turn in each data centre.
  // Guards against requests that wait in one data centre while others have
  // room, and against traffic between data centres that buys nothing.
  void swingsOfDemandAreServedElsewhere() {
    for (fleet_pattern Pattern : {loaded(0.6), loaded(0.8), urgent()}) {
      Pattern.DataCentreLoad = [](int DataCentre, double Seconds) {
        return 1 + 0.5 * std::sin(2 * std::numbers::pi *
                                  (Seconds / 13 + DataCentre / 3.0));
      };
      const comparison Result = compare("swing", Pattern);
      CPPUNIT_ASSERT(Result.BySpill.servedShare() >
                     Result.ByCost.servedShare() - 0.01);
      CPPUNIT_ASSERT(Result.BySpill.inTargetShare() >
                     Result.ByCost.inTargetShare() - 0.02);
      CPPUNIT_ASSERT(Result.BySpill.Left < 0.7 * Result.ByCost.Left);
    }
  }

  // Two of three data centres have a fifth more than they can run. Guards
  // against requests that they send each other, and against a share that swings
  // between them and the third while the demand is steady.
  void twoDataCentresSpillSteadily() {
    fleet_pattern Pattern = loaded(1);
    Pattern.DataCentreLoad = [](int DataCentre, double) {
      return DataCentre == 2 ? 0.2 : 1.15;
    };
    const comparison Result = compare("two spill", Pattern);
    for (const int From : {0, 1}) {
      int Mutual = 0;
      int Outwards = 0;
      int Least = 1'000'000;
      int Most = 0;
      for (int Second = 10; Second < 38; Second += 4) {
        int Sum = 0;
        for (int Part = 0; Part < 4; ++Part) {
          Sum += Result.BySpill.flow(From, 2, Second + Part);
          Mutual += Result.BySpill.flow(From, 1 - From, Second + Part);
        }
        Outwards += Sum;
        Least = std::min(Least, Sum);
        Most = std::max(Most, Sum);
      }
      std::cout << "  out " << Outwards << ", to each other " << Mutual
                << ", in 4 s " << Least << " to " << Most << "\n";
      CPPUNIT_ASSERT(Mutual < Outwards / 10);
      CPPUNIT_ASSERT(Most < 2 * Least);
    }
  }

  // From 15 s on, one data centre is cut off and a second one is overloaded.
  // Guards against requests that are lost because a data centre which is not
  // heard from looks idle.
  void aSilentDataCentreGetsNothing() {
    fleet_pattern Pattern = loaded(0.7);
    Pattern.DataCentreLoad = [](int DataCentre, double) {
      return DataCentre == 0 ? 1.4 : 0.8;
    };
    Pattern.IsSilent = [](int DataCentre, double Seconds) {
      return DataCentre == 1 && Seconds > 15;
    };
    Pattern.IsCut = [](int Host, int Server, double Seconds) {
      const bool IsInside = Host % DataCentreCount == 1;
      return (Server % DataCentreCount == 1) != IsInside && Seconds > 15;
    };
    const comparison Result = compare("silent", Pattern);
    int After = 0;
    for (int Second = 18; Second < 40; ++Second)
      After += Result.BySpill.flow(0, 1, Second);
    std::cout << "  to the silent one " << After << "\n";
    CPPUNIT_ASSERT(After < 20);
    CPPUNIT_ASSERT(Result.BySpill.servedShare() >
                   Result.ByCost.servedShare() - 0.005);
  }

  // A third of the requests of an overloaded data centre are downloads. Guards
  // against bytes between data centres while other requests can leave instead.
  void downloadsLeaveLast() {
    fleet_pattern Pattern = loaded(0.7);
    Pattern.DataCentreLoad = [](int DataCentre, double) {
      return DataCentre == 0 ? 1.5 : 0.75;
    };
    Pattern.Kinds = {{.Name = "submit", .Share = 0.67},
                     {.Name = "download",
                      .Share = 0.33,
                      .Execution = execution_rule::Repeatable,
                      .IsDownload = true}};
    const comparison Result = compare("downloads", Pattern);
    const auto &Kinds = Result.BySpill.Kinds;
    CPPUNIT_ASSERT(Kinds.at("download").leftShare() <
                   0.4 * Kinds.at("submit").leftShare());
    CPPUNIT_ASSERT(Kinds.at("download").Left <
                   Result.ByCost.Kinds.at("download").Left / 3);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_pattern_spill_test);
