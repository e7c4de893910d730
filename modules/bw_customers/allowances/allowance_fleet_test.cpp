#include "bw_customers/allowances/allowance_fleet.h"

#include "bw_testing/runner/test_seed.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdio>

using namespace allowance_fleet_fake;

namespace {

constexpr double Window = 5;
constexpr std::uint64_t SeedsOfBound = 2;
constexpr std::uint64_t SeedsOfPrint = 10;

// Requests that K8 allows in a window with the settings of the page.
double allowedInWindow(const customer_allowance &Allowance) {
  return (Allowance.Rate.value() * Window + Allowance.Burst) * 1.1 + 20;
}

double maxAdmittedInWindow(const fleet &Fleet, double From = 0) {
  std::vector<double> Times;
  for (const fleet_request &Each : Fleet.requests())
    if (Each.IsAdmitted && Each.At >= From)
      Times.push_back(Each.At);
  std::size_t Most = 0;
  std::size_t First = 0;
  for (std::size_t Last = 0; Last < Times.size(); ++Last) {
    while (Times[Last] - Times[First] >= Window)
      ++First;
    Most = std::max(Most, Last - First + 1);
  }
  return static_cast<double>(Most);
}

// Share of the requests that one bucket for the whole fleet admits, and that
// the hosts refused.
double wronglyRefused(const fleet &Fleet, double From, double To,
                      const std::function<bool(std::size_t)> &IsCounted) {
  double Allowed = 0;
  double Refused = 0;
  for (const fleet_request &Each : Fleet.requests())
    if (Each.IsAllowed && Each.At >= From && Each.At < To &&
        IsCounted(Each.Host)) {
      ++Allowed;
      Refused += Each.IsAdmitted ? 0 : 1;
    }
  return Allowed == 0 ? 0 : Refused / Allowed;
}

bool anyHost(std::size_t) { return true; }

struct shape {
  std::size_t Hosts;
  double Rate;
};

// Customers below, near and above one request a second and host.
const std::vector<shape> Shapes = {{3, 2},    {3, 60},  {30, 2},   {30, 60},
                                   {30, 600}, {100, 2}, {100, 60}, {100, 600}};

customer_allowance allowance(const shape &Shape) {
  return {.Rate = request_rate(Shape.Rate), .Burst = Shape.Rate};
}

// Most requests come to a few hosts: each host has half of what the one before
// it has, those after the tenth nothing.
double unevenPart(std::size_t Host, std::size_t Shift = 0) {
  constexpr std::size_t Used = 10;
  if (Host < Shift || Host - Shift >= Used)
    return 0;
  return std::pow(0.5, static_cast<double>(Host - Shift + 1));
}

using demand = std::function<double(std::size_t Host, double Seconds)>;

demand even(const shape &Shape, double Factor) {
  return [=](std::size_t, double) {
    return Factor * Shape.Rate / static_cast<double>(Shape.Hosts);
  };
}

demand uneven(const shape &Shape, double Factor) {
  return [=](std::size_t Host, double) {
    return Factor * Shape.Rate * unevenPart(Host);
  };
}

// As even demand, and more at once from the given time on.
demand jump(const shape &Shape, double Factor, double At, double Times) {
  return [=](std::size_t, double Seconds) {
    return Factor * (Seconds < At ? 1 : Times) * Shape.Rate /
           static_cast<double>(Shape.Hosts);
  };
}

// Comes to other hosts after each period.
demand moving(const shape &Shape, double Factor, double Period) {
  return [=](std::size_t Host, double Seconds) {
    const auto Moves = static_cast<std::size_t>(Seconds / Period);
    return Factor * Shape.Rate * unevenPart(Host, Moves * 7 % Shape.Hosts);
  };
}

constexpr double CutAt = 6;
constexpr double HealedAt = 14;

// Which hosts are on the smaller side, spread over the data centres.
struct cut {
  double Part = 0.5;
  /// Chooses the hosts. With these numbers, the smaller side of a third has at
  /// most one of the two aggregators of each data centre.
  std::size_t Factor = 53;
  std::size_t Shift = 40;

  bool isOnSmallSide(std::size_t Host, const shape &Shape) const {
    return static_cast<double>((Host * Factor + Shift) % Shape.Hosts) <
           std::floor(Part * static_cast<double>(Shape.Hosts) + 0.01);
  }
};

// The last one takes both aggregators of two data centres of 100 hosts from the
// larger side.
const std::vector<cut> Cuts = {{.Part = 1.0 / 3},
                               {.Part = 0.5},
                               {.Part = 1.0 / 3, .Factor = 7, .Shift = 0}};

fleet_options partition(const shape &Shape, const cut &Cut, demand Demand) {
  fleet_options Result{.Demand = std::move(Demand)};
  Result.Events.emplace(CutAt, [=](fleet &Fleet) {
    for (std::size_t Host = 0; Host < Shape.Hosts; ++Host)
      Fleet.setSide(Host, Cut.isOnSmallSide(Host, Shape) ? 1 : 0);
  });
  Result.Events.emplace(HealedAt, [](fleet &Fleet) {
    for (std::size_t Host = 0; Host < Fleet.size(); ++Host)
      Fleet.setSide(Host, 0);
  });
  return Result;
}

// A few hosts hear nobody.
fleet_options singleHostsCutOff(const shape &Shape, demand Demand) {
  fleet_options Result{.Demand = std::move(Demand)};
  Result.Events.emplace(CutAt, [=](fleet &Fleet) {
    for (std::size_t Host = 0; Host < Shape.Hosts; Host += 1 + Shape.Hosts / 3)
      Fleet.setSide(Host, static_cast<int>(Host) + 1);
  });
  return Result;
}

fleet_options kills(const shape &Shape, demand Demand) {
  fleet_options Result{.Demand = std::move(Demand)};
  for (std::size_t Host = 0; Host < Shape.Hosts; ++Host)
    if ((Host * 37 + 11) % 100 < 55) {
      Result.Events.emplace(6, [=](fleet &Fleet) { Fleet.kill(Host); });
      Result.Events.emplace(8, [=](fleet &Fleet) { Fleet.restart(Host); });
    }
  return Result;
}

fleet_options restart(const shape &, demand Demand) {
  fleet_options Result{.Demand = std::move(Demand)};
  Result.Events.emplace(6, [](fleet &Fleet) { Fleet.kill(0); });
  Result.Events.emplace(7, [](fleet &Fleet) { Fleet.restart(0); });
  return Result;
}

fleet_options added(const shape &Shape, demand Demand) {
  fleet_options Result{.Demand = std::move(Demand)};
  Result.Events.emplace(
      6, [=](fleet &Fleet) { Fleet.addHosts((Shape.Hosts + 4) / 5); });
  return Result;
}

fleet_options badNetwork(const shape &, demand Demand) {
  return {.Loss = 0.2, .Late = 0.2, .Demand = std::move(Demand)};
}

std::unique_ptr<fleet> play(const shape &Shape, fleet_options Options,
                            std::uint64_t Seed, double Seconds) {
  Options.Hosts = Shape.Hosts;
  Options.Allowance = allowance(Shape);
  Options.Seed = Seed;
  auto Result = std::make_unique<fleet>(std::move(Options));
  Result->run(Seconds);
  return Result;
}

using scenario = std::function<fleet_options(const shape &)>;

// Prints the worst window of each play as a part of what is allowed.
void checkBound(const std::string &Name, const scenario &Make,
                double Seconds = 14, const std::vector<shape> &Of = Shapes) {
  for (const shape &Shape : Of) {
    double Worst = 0;
    for (std::uint64_t Seed = testSeed(); Seed < testSeed() + SeedsOfBound;
         ++Seed) {
      const auto Fleet = play(Shape, Make(Shape), Seed, Seconds);
      const double Most =
          maxAdmittedInWindow(*Fleet) / allowedInWindow(allowance(Shape));
      Worst = std::max(Worst, Most);
      CPPUNIT_ASSERT_MESSAGE(Name + ", " + std::to_string(Shape.Hosts) +
                                 " hosts, rate " + std::to_string(Shape.Rate) +
                                 ", seed " + std::to_string(Seed) + ": " +
                                 std::to_string(Most) + " of the bound",
                             Most <= 1);
    }
    std::printf("  %-22s %3zu hosts, rate %3.0f, seeds %llu to %llu: "
                "worst window %.2f of the bound\n",
                Name.c_str(), Shape.Hosts, Shape.Rate,
                static_cast<unsigned long long>(testSeed()),
                static_cast<unsigned long long>(testSeed() + SeedsOfBound - 1),
                Worst);
  }
}

// The requirement names no number. At less than some requests a second and
// host, a host holds a few tokens only, and first requests come before any
// report.
double mostRefused(const shape &Shape) {
  const double PerHost = Shape.Rate / static_cast<double>(Shape.Hosts);
  return PerHost >= 5 ? 0.01 : PerHost >= 0.5 ? 0.1 : 0.25;
}

using host_filter = std::function<bool(std::size_t)>;

// Mean over the seeds of the part of the allowed requests that was refused.
double meanWronglyRefused(const shape &Shape, const scenario &Make,
                          std::uint64_t Seeds, double From, double To,
                          const host_filter &IsCounted) {
  double Sum = 0;
  for (std::uint64_t Seed = testSeed(); Seed < testSeed() + Seeds; ++Seed)
    Sum += wronglyRefused(*play(Shape, Make(Shape), Seed, To), From, To,
                          IsCounted);
  return Sum / static_cast<double>(Seeds);
}

void checkRefused(const std::string &Name, const shape &Shape,
                  const scenario &Make, double From, double To, double Most,
                  const host_filter &IsCounted = anyHost) {
  const double Refused =
      meanWronglyRefused(Shape, Make, SeedsOfBound, From, To, IsCounted);
  std::printf("  %-22s %3zu hosts, rate %3.0f, seeds %llu to %llu: "
              "%.3f wrongly refused\n",
              Name.c_str(), Shape.Hosts, Shape.Rate,
              static_cast<unsigned long long>(testSeed()),
              static_cast<unsigned long long>(testSeed() + SeedsOfBound - 1),
              Refused);
  CPPUNIT_ASSERT_MESSAGE(Name + ": " + std::to_string(Refused),
                         Refused <= Most);
}

} // namespace

class allowance_fleet_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(allowance_fleet_test);
  CPPUNIT_TEST(steadyDemandKeepsTheBound);
  CPPUNIT_TEST(jumpsOfDemandKeepTheBound);
  CPPUNIT_TEST(floodsKeepTheBound);
  CPPUNIT_TEST(movingDemandKeepsTheBound);
  CPPUNIT_TEST(partitionsKeepTheBound);
  CPPUNIT_TEST(badNetworksKeepTheBound);
  CPPUNIT_TEST(restartsAndNewHostsKeepTheBound);
  CPPUNIT_TEST(aLoweredLimitBindsAfterAWindow);
  CPPUNIT_TEST(unevenDemandIsNotRefused);
  CPPUNIT_TEST(anUnreachableThirdCausesNoRefusals);
  CPPUNIT_TEST(printsWronglyRefusedInPartitions);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against shares that add up to more than the rate.
  void steadyDemandKeepsTheBound() {
    for (const double Factor : {0.9, 3.0}) {
      checkBound("even demand", [=](const shape &Shape) {
        return fleet_options{.Demand = even(Shape, Factor)};
      });
      checkBound("uneven demand", [=](const shape &Shape) {
        return fleet_options{.Demand = uneven(Shape, Factor)};
      });
    }
  }

  // Guards against hosts that admit by an old total while demand rises, and
  // against tokens saved up at many hosts.
  void jumpsOfDemandKeepTheBound() {
    for (const double Usual : {0.13, 0.5, 0.9})
      checkBound("jump to 7.5 times", [=](const shape &Shape) {
        return fleet_options{.Demand = jump(Shape, Usual, 6, 7.5)};
      });
  }

  // Guards against a token at each of many hosts: all of them are asked within
  // a moment by a customer that was quiet before.
  void floodsKeepTheBound() {
    checkBound("jump to 60 times",
               [](const shape &Shape) {
                 return fleet_options{.Demand = jump(Shape, 0.5, 6, 60)};
               },
               12, {{3, 2}, {30, 2}, {100, 2}, {30, 60}, {100, 60}});
  }

  // Guards against a share that is used at the old and the new hosts.
  void movingDemandKeepsTheBound() {
    for (const double Period : {0.4, 1.0, 2.5})
      checkBound("moves", [=](const shape &Shape) {
        return fleet_options{.Demand = moving(Shape, 3, Period)};
      });
  }

  // Guards against sides that each use the whole rate.
  void partitionsKeepTheBound() {
    for (const cut &Cut : Cuts) {
      checkBound(
          "two sides",
          [=](const shape &Shape) {
            return partition(Shape, Cut, even(Shape, 3));
          },
          20);
      checkBound(
          "two sides, jump",
          [=](const shape &Shape) {
            return partition(Shape, Cut, jump(Shape, 0.5, 7, 7.5));
          },
          20);
      checkBound(
          "two sides, moves",
          [=](const shape &Shape) {
            return partition(Shape, Cut, moving(Shape, 3, 1));
          },
          20);
    }
    checkBound("single hosts", [](const shape &Shape) {
      return singleHostsCutOff(Shape, even(Shape, 3));
    });
    checkBound("single hosts, uneven", [](const shape &Shape) {
      return singleHostsCutOff(Shape, uneven(Shape, 3));
    });
  }

  // Guards against shares from totals that lost or late messages make old.
  void badNetworksKeepTheBound() {
    checkBound("lost and late", [](const shape &Shape) {
      return badNetwork(Shape, even(Shape, 3));
    });
    checkBound("lost and late, jump", [](const shape &Shape) {
      return badNetwork(Shape, jump(Shape, 0.9, 6, 7.5));
    });
    checkBound("lost and late, moves", [](const shape &Shape) {
      return badNetwork(Shape, moving(Shape, 3, 1));
    });
  }

  // Guards against allowances that start again with a process, and against
  // hosts that do not know of each other.
  void restartsAndNewHostsKeepTheBound() {
    checkBound("restart of one", [](const shape &Shape) {
      return restart(Shape, even(Shape, 3));
    });
    checkBound("kill of 55%",
               [](const shape &Shape) { return kills(Shape, even(Shape, 3)); });
    checkBound("kill of 55%, uneven", [](const shape &Shape) {
      return kills(Shape, uneven(Shape, 7.5));
    });
    checkBound("a fifth more hosts",
               [](const shape &Shape) { return added(Shape, even(Shape, 3)); });
  }

  // Guards against shares of a superseded limit.
  void aLoweredLimitBindsAfterAWindow() {
    for (const shape &Shape : Shapes) {
      customer_allowance Lowered = allowance(Shape);
      Lowered.Rate = request_rate(Shape.Rate / 4);
      Lowered.Burst /= 4;
      fleet_options Options{.Demand = even(Shape, 3)};
      Options.Events.emplace(
          6, [=](fleet &Fleet) { Fleet.setAllowance(Lowered); });
      const auto Fleet = play(Shape, Options, testSeed(), 20);
      const double Most = maxAdmittedInWindow(*Fleet, 6 + Window);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(Shape.Hosts) + " hosts, rate " +
                                 std::to_string(Shape.Rate) + ": " +
                                 std::to_string(Most),
                             Most <= allowedInWindow(Lowered));
    }
  }

  // Guards against shares by the number of hosts. The customers use up to 0.8
  // of their rate. A rate of less than a request a second and host is checked
  // less strictly: the first requests at each host come before any report.
  void unevenDemandIsNotRefused() {
    for (const shape &Shape : Shapes) {
      const double Most = mostRefused(Shape);
      checkRefused(
          "uneven demand", Shape,
          [=](const shape &Each) {
            return fleet_options{.Demand = uneven(Each, 0.8)};
          },
          3, 14, Most);
      checkRefused(
          "even demand", Shape,
          [=](const shape &Each) {
            return fleet_options{.Demand = even(Each, 0.8)};
          },
          3, 14, Most);
    }
  }

  // Guards against a side with two thirds of the hosts that leaves a part of
  // the rate to the others. Counted from the time when the demand of the others
  // is known to have ended.
  void anUnreachableThirdCausesNoRefusals() {
    for (const shape &Shape : Shapes)
      checkRefused(
          "third cut off", Shape,
          [](const shape &Each) {
            return partition(Each, {.Part = 1.0 / 3}, even(Each, 0.8));
          },
          CutAt + 3.5, HealedAt, mostRefused(Shape),
          [&](std::size_t Host) {
            return !cut{.Part = 1.0 / 3}.isOnSmallSide(Host, Shape);
          });
  }

  // Prints for each partition case the part of the allowed requests that was
  // refused, over ten seeds. The customer uses 0.8 of its rate.
  void printsWronglyRefusedInPartitions() {
    struct partition_case {
      std::string Name;
      scenario Make;
      host_filter IsCounted;
    };
    for (const shape &Shape :
         {shape{3, 60}, shape{30, 60}, shape{100, 2}, shape{100, 60}}) {
      std::vector<partition_case> Cases;
      for (const cut &Cut : Cuts) {
        const scenario Make = [=](const shape &Each) {
          return partition(Each, Cut, even(Each, 0.8));
        };
        const std::string Name =
            std::string(Cut.Part < 0.5 ? "1/3 to 2/3" : "1/2 to 1/2") +
            (Cut.Factor == 7 ? ", aggregators" : "");
        Cases.push_back({Name + ", all hosts", Make, anyHost});
        Cases.push_back({Name + ", larger side", Make, [=](std::size_t Host) {
                           return !Cut.isOnSmallSide(Host, Shape);
                         }});
      }
      Cases.push_back({"single hosts cut off",
                       [](const shape &Each) {
                         return singleHostsCutOff(Each, even(Each, 0.8));
                       },
                       anyHost});
      for (const partition_case &Case : Cases)
        std::printf("  wrongly refused: %-24s %3zu hosts, rate %3.0f: %.3f "
                    "from the cut "
                    "on, %.3f after 3.5 s\n",
                    Case.Name.c_str(), Shape.Hosts, Shape.Rate,
                    meanWronglyRefused(Shape, Case.Make, SeedsOfPrint, CutAt,
                                       HealedAt, Case.IsCounted),
                    meanWronglyRefused(Shape, Case.Make, SeedsOfPrint,
                                       CutAt + 3.5, HealedAt, Case.IsCounted));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(allowance_fleet_test);
