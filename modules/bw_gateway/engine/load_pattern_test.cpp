// Simulates the engines of all hosts in virtual time under the load patterns of
// the two platforms, and compares them with baselines without failure
// detection.

#include "bw_gateway/engine/gateway_engine.h"

#include "bw_testing/runner/test_seed.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <deque>
#include <functional>
#include <iostream>
#include <map>
#include <queue>

using namespace bw;
using namespace std::chrono_literals;

namespace {

const service_id Service("service");

struct fleet_pattern {
  std::uint64_t Seed = testSeed();
  int Hosts = 32;
  int Servers = 21;
  std::uint32_t Slots = 6;
  double RequestsPerSecond = 110;
  double SubmissionShare = 0.75;
  double WorkSeconds = 0.42;
  duration Length = 40s;
  /// Share of requests that the server fails at the given time.
  std::function<double(int Server, double Seconds)> FailureShare =
      [](int, double) { return 0.012; };
  /// A failing server resets the connection instead of answering with an error.
  bool FailsByReset = false;
  /// True while the path between the two is cut.
  std::function<bool(int Host, int Server, double Seconds)> IsCut =
      [](int, int, double) { return false; };
  /// Share of requests that the server declines at the given time.
  std::function<double(int Server, double Seconds)> DeclineShare =
      [](int, double) { return 0.0; };
  /// Factor on the service time of the server at the given time.
  std::function<double(int Server, double Seconds)> Slowness = [](int, double) {
    return 1.0;
  };
};

struct fleet_result {
  int Asked = 0;
  int Served = 0;
  int InTarget = 0;
  int Attempts = 0;

  double servedShare() const { return double(Served) / Asked; }
  double inTargetShare() const { return double(InTarget) / Asked; }
};

/// How the engines choose servers.
struct policy {
  std::function<server_choice()> Choice;
  double EjectAt = server_pool_options().EjectAtFailureShare;
  ratio ProbeShare = server_pool_options().ProbeShare;
};

constexpr double Never = 2;
const policy Detecting{.Choice = [] { return chooseByExpectedDelay; }};
const policy LeastOfTwo{.Choice = [] { return chooseLessLoadedOfTwo; },
                        .EjectAt = Never,
                        .ProbeShare = ratio(0)};
const policy RoundRobin{
    .Choice = makeRoundRobinChoice, .EjectAt = Never, .ProbeShare = ratio(0)};

// Simulates the engines, the servers with their slots and queues, and the
// exchange of reports every 150 ms, or 50 ms for failures. It is independent of
// how the engines decide.
class fleet_simulation {
public:
  fleet_simulation(fleet_pattern GivenPattern, const policy &Policy)
      : Pattern(std::move(GivenPattern)), Random(Pattern.Seed) {
    auto Configuration = std::make_shared<gateway_configuration>();
    Configuration->Version = config_version(1);
    for (const bool IsSubmission : {false, true})
      Configuration->Routes.push_back(
          {.Id = route_id(IsSubmission ? "submit" : "read"),
           .VirtualHost = "v",
           .Prefix = IsSubmission ? "/submit/" : "/read/",
           .Destinations = {{.Service = Service}},
           .Execution = IsSubmission ? execution_rule::AtMostOnce
                                     : execution_rule::Repeatable,
           .Timeout = 4s,
           .TargetLatency = Target,
           .MaxAttempts = 2});
    servers_listed List{.Revision = store_revision(1)};
    for (int Index = 0; Index < Pattern.Servers; ++Index) {
      List.Servers.push_back({.Server = nameOf(Index),
                              .Service = Service,
                              .DataCentre = dataCentreOf(Index),
                              .Slots = slot_count(Pattern.Slots)});
      Indexes.emplace(nameOf(Index), Index);
    }
    Servers.resize(std::size_t(Pattern.Servers));
    for (int Host = 0; Host < Pattern.Hosts; ++Host) {
      Engines.push_back(std::make_unique<gateway_engine>(gateway_engine_options{
          .Seed = Random.next(),
          .Pool = {.Self = host_id("h" + std::to_string(Host)),
                   .OwnDataCentre = dataCentreOf(Host),
                   .EjectAtFailureShare = Policy.EjectAt,
                   .ProbeShare = Policy.ProbeShare,
                   .Choose = Policy.Choice()}}));
      handle(Host, configuration_read{Configuration});
      handle(Host, List);
      handle(Host, hosts_counted{.Hosts = std::uint32_t(Pattern.Hosts)});
      handle(Host, exchange_duty{.IsAggregator = Host < DataCentreCount,
                                 .IsFirst = Host < DataCentreCount});
    }
  }

  fleet_result run() {
    scheduleArrival();
    at(Now + UrgentInterval, [this] { report(); });
    const time_point End = Now + Pattern.Length + 5s;
    while (!Events.empty() && Events.top().At <= End) {
      const auto Next = Events.top();
      Events.pop();
      Now = Next.At;
      Next.Action();
    }
    return Result;
  }

private:
  static constexpr duration Target = 1500ms;
  static constexpr duration ReportInterval = 150ms;
  static constexpr duration UrgentInterval = 50ms;
  static constexpr int DataCentreCount = 3;

  struct scheduled {
    time_point At;
    std::uint64_t Order = 0;
    std::function<void()> Action;
    bool operator<(const scheduled &Other) const {
      return std::tie(At, Order) > std::tie(Other.At, Other.Order);
    }
  };
  struct running_attempt {
    int Host = 0;
    start_attempt Attempt;
    bool IsCancelled = false;
  };
  using running_pointer = std::shared_ptr<running_attempt>;
  struct simulated_server {
    std::uint32_t Busy = 0;
    std::deque<running_pointer> Queue;
  };
  struct open_request {
    time_point Arrived;
    std::map<attempt_number, running_pointer> Attempts;
  };

  static backend_server_id nameOf(int Server) {
    return backend_server_id("s" + std::to_string(Server));
  }
  static data_centre_id dataCentreOf(int Index) {
    return data_centre_id("d" + std::to_string(Index % DataCentreCount));
  }
  double seconds() const {
    return std::chrono::duration<double>(Now - Start).count();
  }
  static duration fromSeconds(double Seconds) {
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(Seconds));
  }

  void at(time_point When, std::function<void()> Action) {
    Events.push(
        {.At = When, .Order = ++LastOrder, .Action = std::move(Action)});
  }

  void scheduleArrival() {
    const duration Gap =
        fromSeconds(Random.exponential(1 / Pattern.RequestsPerSecond));
    if (Now + Gap > Start + Pattern.Length)
      return;
    at(Now + Gap, [this] {
      arrive();
      scheduleArrival();
    });
  }

  void arrive() {
    ++Result.Asked;
    const int Host = int(Random.below(std::uint64_t(Pattern.Hosts)));
    LastRequest = LastRequest.next();
    Open[LastRequest].Arrived = Now;
    const bool IsSubmission = Random.chance(Pattern.SubmissionShare);
    handle(Host, request_arrived{.Request = LastRequest,
                                 .VirtualHost = "v",
                                 .Path = IsSubmission ? "/submit/" : "/read/",
                                 .CallerTimeout = 8s});
  }

  void handle(int Host, const gateway_event &Event) {
    gateway_engine::commands Out;
    Engines[std::size_t(Host)]->handle(Event, Now, Out);
    follow(Host, Out);
  }

  void follow(int Host, const gateway_engine::commands &Out) {
    for (const gateway_command &Command : Out)
      std::visit([&](const auto &Each) { on(Host, Each); }, Command);
    const time_point Due = Engines[std::size_t(Host)]->nextDue();
    if (Due != time_point::max())
      at(std::max(Due, Now), [this, Host] {
        gateway_engine::commands More;
        Engines[std::size_t(Host)]->tick(Now, More);
        if (!More.empty())
          follow(Host, More);
      });
  }

  void on(int Host, const start_attempt &Command) {
    ++Result.Attempts;
    auto Running = std::make_shared<running_attempt>(
        running_attempt{.Host = Host, .Attempt = Command});
    Open[Command.Request].Attempts[Command.Attempt] = Running;
    const int Server = Indexes.at(Command.Server);
    simulated_server &Target = Servers[std::size_t(Server)];
    constexpr std::size_t QueueLimit = 24;
    if (Pattern.IsCut(Host, Server, seconds())) {
      at(Now + 8ms,
         [this, Running] { end(Running, attempt_outcome::Broken, 0); });
    } else if (Random.chance(Pattern.DeclineShare(Server, seconds())) ||
               Target.Queue.size() >= QueueLimit) {
      at(Now + 8ms,
         [this, Running] { end(Running, attempt_outcome::NotExecuted, 503); });
    } else if (Target.Busy < Pattern.Slots) {
      work(Server, Running);
    } else {
      Target.Queue.push_back(Running);
    }
  }

  void work(int Server, const running_pointer &Running) {
    ++Servers[std::size_t(Server)].Busy;
    const bool IsFailing =
        Random.chance(Pattern.FailureShare(Server, seconds()));
    const double Work = Pattern.WorkSeconds * std::exp(0.5 * Random.normal()) *
                        Pattern.Slowness(Server, seconds());
    at(Now + (IsFailing ? duration(5ms) : fromSeconds(Work)),
       [this, Server, Running, IsFailing] {
         simulated_server &Done = Servers[std::size_t(Server)];
         --Done.Busy;
         if (IsFailing && Pattern.FailsByReset)
           end(Running, attempt_outcome::Broken, 0);
         else
           end(Running, attempt_outcome::Answered, IsFailing ? 500 : 200);
         while (!Done.Queue.empty() && Done.Busy < Pattern.Slots) {
           const running_pointer Next = Done.Queue.front();
           Done.Queue.pop_front();
           if (!Next->IsCancelled)
             work(Server, Next);
         }
       });
  }

  void end(const running_pointer &Running, attempt_outcome Outcome,
           int Status) {
    if (Running->IsCancelled)
      return;
    Statuses[{Running->Attempt.Request, Running->Attempt.Attempt}] = Status;
    handle(Running->Host, attempt_ended{.Request = Running->Attempt.Request,
                                        .Attempt = Running->Attempt.Attempt,
                                        .Outcome = Outcome,
                                        .Status = Status});
  }

  void on(int, const cancel_attempt &Command) {
    Open[Command.Request].Attempts[Command.Attempt]->IsCancelled = true;
  }

  void on(int, const relay_answer &Command) {
    constexpr int Ok = 200;
    if (Statuses[{Command.Request, Command.Attempt}] == Ok) {
      ++Result.Served;
      if (Now - Open[Command.Request].Arrived <= Target)
        ++Result.InTarget;
    }
    Open.erase(Command.Request);
  }

  void on(int, const refuse_request &Command) { Open.erase(Command.Request); }
  void on(int, const end_request &) {}
  void on(int, const limits_changed &) {}

  // Exchanges reports as the peers duty does. The first host of each data
  // centre is its aggregator.
  void report() {
    const bool IsRegular = Now >= NextReport;
    if (IsRegular)
      NextReport = Now + ReportInterval;
    for (int From = 0; From < Pattern.Hosts; ++From) {
      gateway_engine &Engine = *Engines[std::size_t(From)];
      const bool IsUrgent = Engine.exchange().hasUnreportedFailure();
      if (!IsRegular && !IsUrgent)
        continue;
      peer_reported Report = Engine.takeReport(Now);
      Report.IsBroadcast = IsUrgent;
      for (int To = From % DataCentreCount; To < Pattern.Hosts;
           To += DataCentreCount)
        if (To != From && (IsUrgent || To < DataCentreCount))
          handle(To, Report);
    }
    if (IsRegular)
      sendAggregates();
    if (Now < Start + Pattern.Length)
      at(Now + UrgentInterval, [this] { report(); });
  }

  void sendAggregates() {
    SummaryDue = !SummaryDue;
    for (int From = 0; From < DataCentreCount; ++From) {
      gateway_engine &Engine = *Engines[std::size_t(From)];
      const load_aggregate Sums = Engine.takeAggregate(true, Now);
      for (int To = From + DataCentreCount; To < Pattern.Hosts;
           To += DataCentreCount)
        handle(To, Sums);
      if (!SummaryDue && !Engine.exchange().hasFailureForRemote())
        continue;
      const load_summary Summary = Engine.takeSummary(SummaryDue, Now);
      for (int To = 0; To < DataCentreCount; ++To)
        if (To != From)
          handle(To, Summary);
    }
  }

  fleet_pattern Pattern;
  random_source Random;
  const time_point Start{100s};
  time_point Now{100s};
  time_point NextReport{100s};
  bool SummaryDue = false;
  std::vector<std::unique_ptr<gateway_engine>> Engines;
  std::vector<simulated_server> Servers;
  std::unordered_map<backend_server_id, int> Indexes;
  std::priority_queue<scheduled> Events;
  std::uint64_t LastOrder = 0;
  request_number LastRequest;
  std::unordered_map<request_number, open_request> Open;
  std::map<std::pair<request_number, attempt_number>, int> Statuses;
  fleet_result Result;
};

fleet_result simulate(const fleet_pattern &Pattern, const policy &Policy) {
  return fleet_simulation(Pattern, Policy).run();
}

void print(const char *Name, const fleet_result &Result) {
  std::cout << Name << ": served " << Result.servedShare() << ", in target "
            << Result.inTargetShare() << ", arrivals per request "
            << double(Result.Attempts) / Result.Asked << "\n";
}

// Every third server fails 85 in 100 requests for 3 s in every 9 s, each at a
// different phase.
double failInTurns(int Server, double Seconds) {
  constexpr double Period = 9;
  constexpr double FailingFor = 3;
  const double Phase = std::fmod(Seconds + 1.7 * Server, Period);
  return Server % 3 == 0 && Phase < FailingFor ? 0.85 : 0.012;
}

// Three servers in ten fail 85 in 100 requests for 1 s in every 9 s.
double failInBursts(int Server, double Seconds) {
  constexpr double Period = 9;
  const double Phase = std::fmod(Seconds + 2.3 * Server, Period);
  return Server % 10 < 3 && Phase < 1 ? 0.85 : 0.012;
}

} // namespace

class load_pattern_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(load_pattern_test);
  CPPUNIT_TEST(serversThatFailInTurnsCostLittle);
  CPPUNIT_TEST(shortBurstsOfFailuresCostLittle);
  CPPUNIT_TEST(burstsOfResetsCostLittle);
  CPPUNIT_TEST(serversThatSomeHostsCannotReachCostLittle);
  CPPUNIT_TEST(slowServersAreAvoided);
  CPPUNIT_TEST(twoSlotServersAtHalfLoadQueueLittle);
  CPPUNIT_TEST(decliningServersDoNotCauseARetryStorm);
  CPPUNIT_TEST(someDecliningServersCostLittle);
  CPPUNIT_TEST(overloadKeepsAllServersAtWork);
  CPPUNIT_TEST_SUITE_END();

public:
  // A third of the servers fail 85 in 100 requests for 3 s in every 9 s. Guards
  // against losing submissions at servers that other hosts know to be failing:
  // at most half as many may be lost as without detection.
  void serversThatFailInTurnsCostLittle() {
    const fleet_pattern Pattern{.FailureShare = failInTurns};
    const fleet_result Detection = simulate(Pattern, Detecting);
    const fleet_result Baseline = simulate(Pattern, LeastOfTwo);
    print("fail in turns", Detection);
    print("fail in turns, plain", Baseline);
    print("fail in turns, round robin", simulate(Pattern, RoundRobin));
    CPPUNIT_ASSERT(1 - Detection.servedShare() <
                   (1 - Baseline.servedShare()) / 2);
  }

  // Three servers in ten fail 85 in 100 requests for 1 s in every 9 s. Guards
  // against an estimator that takes a burst for a failure of several seconds,
  // or forgets which servers are bursty: beyond the 1.2 in 100 that fail at
  // every server, at most a third of the loss without detection is allowed.
  void shortBurstsOfFailuresCostLittle() {
    const fleet_pattern Pattern{.Servers = 40,
                                .RequestsPerSecond = 220,
                                .Length = 60s,
                                .FailureShare = failInBursts};
    const fleet_result Detection = simulate(Pattern, Detecting);
    const fleet_result Baseline = simulate(Pattern, LeastOfTwo);
    print("bursts", Detection);
    print("bursts, plain", Baseline);
    // Submissions are three quarters of the requests and are not retried.
    constexpr double Everywhere = 0.012 * 0.75;
    CPPUNIT_ASSERT(1 - Detection.servedShare() - Everywhere <
                   (1 - Baseline.servedShare() - Everywhere) / 3);
  }

  // The same with servers that reset the connection. Guards against hosts that
  // each find out for themselves, because a broken attempt counts for little as
  // an outcome that hosts share: beyond what fails at every server, at most
  // half as much again may be lost as with errors.
  void burstsOfResetsCostLittle() {
    constexpr std::uint64_t Runs = 4;
    constexpr double Everywhere = 0.012 * 0.75;
    double Errors = 0;
    double Resets = 0;
    for (std::uint64_t Run = 0; Run < Runs; ++Run)
      for (const bool FailsByReset : {false, true}) {
        const fleet_result Result = simulate({.Seed = testSeed() + Run,
                                              .Servers = 40,
                                              .RequestsPerSecond = 220,
                                              .Length = 60s,
                                              .FailureShare = failInBursts,
                                              .FailsByReset = FailsByReset},
                                             Detecting);
        print(FailsByReset ? "bursts of resets" : "bursts of errors", Result);
        (FailsByReset ? Resets : Errors) +=
            1 - Result.servedShare() - Everywhere;
      }
    CPPUNIT_ASSERT(Resets < 1.5 * Errors);
  }

  // A quarter of the servers are cut off from one host in five for 8 s in every
  // 12 s. Guards against hosts that avoid sound servers because others cannot
  // reach them: requests must be in time as often as without detection, and at
  // most half as many may be lost.
  void serversThatSomeHostsCannotReachCostLittle() {
    const fleet_pattern Pattern{
        .RequestsPerSecond = 200,
        .IsCut = [](int Host, int Server, double Seconds) {
          return Host % 5 == 0 && Server % 4 == 0 &&
                 std::fmod(Seconds, 12.0) < 8;
        }};
    const fleet_result Detection = simulate(Pattern, Detecting);
    const fleet_result Baseline = simulate(Pattern, LeastOfTwo);
    print("cut off from some hosts", Detection);
    print("cut off from some hosts, plain", Baseline);
    constexpr double Everywhere = 0.012 * 0.75;
    CPPUNIT_ASSERT(1 - Detection.servedShare() - Everywhere <
                   (1 - Baseline.servedShare() - Everywhere) / 2);
    CPPUNIT_ASSERT(Detection.inTargetShare() >= Baseline.inTargetShare());
  }

  // One server in seven takes eight times as long. Guards against requests that
  // wait there while other servers are free.
  void slowServersAreAvoided() {
    const fleet_pattern Pattern{
        .Slowness = [](int Server, double) { return Server % 7 ? 1.0 : 8.0; }};
    const fleet_result Detection = simulate(Pattern, Detecting);
    const fleet_result Baseline = simulate(Pattern, LeastOfTwo);
    print("slow servers", Detection);
    print("slow servers, plain", Baseline);
    CPPUNIT_ASSERT(1 - Detection.inTargetShare() <
                   (1 - Baseline.inTargetShare()) / 2);
  }

  // Each server has two slots, half of which are busy on average. Guards
  // against hosts that choose the same server at the same time.
  void twoSlotServersAtHalfLoadQueueLittle() {
    const fleet_pattern Pattern{
        .Slots = 2, .RequestsPerSecond = 72, .WorkSeconds = 0.29};
    const fleet_result Detection = simulate(Pattern, Detecting);
    print("two slots", Detection);
    CPPUNIT_ASSERT(Detection.inTargetShare() > 0.97);
  }

  // All servers decline 55 in 100 requests. Guards against a retry storm: the
  // platform allows a fifth more attempts than requests, plus the slack of 56.
  void decliningServersDoNotCauseARetryStorm() {
    const fleet_pattern Pattern{
        .DeclineShare = [](int, double) { return 0.55; }};
    const fleet_result Detection = simulate(Pattern, Detecting);
    print("all shed", Detection);
    CPPUNIT_ASSERT(Detection.Attempts <= Detection.Asked * 1.2 + 56);
    CPPUNIT_ASSERT(Detection.servedShare() > 0.45);
  }

  // One server in seven declines 40 in 100 requests. Guards against losing more
  // than the few requests that a second server declines too.
  void someDecliningServersCostLittle() {
    const fleet_pattern Pattern{.DeclineShare = [](int Server, double) {
      return Server % 7 ? 0.0 : 0.4;
    }};
    const fleet_result Detection = simulate(Pattern, Detecting);
    print("some shed", Detection);
    CPPUNIT_ASSERT(Detection.inTargetShare() > 0.96);
    CPPUNIT_ASSERT(Detection.Attempts <= Detection.Asked * 1.1);
  }

  // The load exceeds the capacity of the slots by a tenth. Guards against
  // ejections that reduce capacity when all servers are slow.
  void overloadKeepsAllServersAtWork() {
    const fleet_pattern Pattern{.RequestsPerSecond = 290, .Length = 20s};
    const fleet_result Detection = simulate(Pattern, Detecting);
    const fleet_result Baseline = simulate(Pattern, LeastOfTwo);
    print("overload", Detection);
    print("overload, plain", Baseline);
    CPPUNIT_ASSERT(Detection.servedShare() > 0.95 * Baseline.servedShare());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_pattern_test);
