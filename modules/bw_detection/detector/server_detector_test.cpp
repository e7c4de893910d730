#include "bw_detection/detector/server_detector.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <vector>

using namespace bw;
using namespace std::chrono_literals;

namespace {

constexpr kind_index Lookup = kind_index(0);
constexpr kind_index Submit = kind_index(1);

/// A scenario in which a server gets a request of each kind every 20 ms for 6
/// s.
struct fault_case {
  const char *GuardsAgainst;
  /// Outcome and latency of affected requests; all others succeed in 40 ms.
  server_outcome Outcome = server_outcome::Succeeded;
  duration Latency = 40ms;
  /// Every n-th request is affected; 0 for none.
  int Every = 1;
  bool OnlySubmit = false;
  bool ColdStart = false;
  bool PeersToo = false;
  path_report Path = {.Good = 0, .Bad = 3};
  bool EjectsLookup = false;
  bool EjectsSubmit = false;
  bool PathFault = false;
};

const fault_case FaultCases[] = {
    {.GuardsAgainst = "a healthy server ejected"},
    {.GuardsAgainst = "a slow server that answers everything",
     .Latency = 400ms,
     .EjectsLookup = true,
     .EjectsSubmit = true},
    {.GuardsAgainst = "fast failures counted as low latencies",
     .Outcome = server_outcome::Failed,
     .Latency = 1ms,
     .Every = 2,
     .EjectsLookup = true,
     .EjectsSubmit = true},
    {.GuardsAgainst = "load shedding counted as a fault",
     .Outcome = server_outcome::Shed,
     .Latency = 1ms},
    {.GuardsAgainst = "a server unhealthy for one kind ejected for all",
     .Latency = 400ms,
     .OnlySubmit = true,
     .EjectsSubmit = true},
    {.GuardsAgainst = "a server ejected when the whole service is slow",
     .Latency = 400ms,
     .PeersToo = true},
    {.GuardsAgainst = "a starting server ejected for slow responses",
     .Latency = 160ms,
     .ColdStart = true},
    {.GuardsAgainst = "failures ignored during a cold start",
     .Outcome = server_outcome::Failed,
     .ColdStart = true,
     .EjectsLookup = true,
     .EjectsSubmit = true},
    {.GuardsAgainst = "a server that never answers, undetected as no request "
                      "completes",
     .Latency = 1h,
     .EjectsLookup = true,
     .EjectsSubmit = true},
    {.GuardsAgainst = "a server ejected for a fault of the owner's path",
     .Latency = 1h,
     .Path = {.Good = 3, .Bad = 0},
     .PathFault = true},
    {.GuardsAgainst =
         "an unhealthy server kept when the successor does not reply",
     .Latency = 400ms,
     .Path = {},
     .EjectsLookup = true,
     .EjectsSubmit = true},
};

/// Simulates a server with up to eight requests in flight, its owner and its
/// peers.
class simulated_server {
public:
  explicit simulated_server(const fault_case &Case)
      : Case(Case), Detector(Reference, Now, Case.ColdStart) {
    mergePeers(evidence_class::Normal);
  }

  void mergePeers(evidence_class Recent) {
    for (std::uint64_t Source = 2; Source < 6; ++Source) {
      latency_digest Digest;
      Digest.Source = Source;
      for (kind_digest &Kind : Digest.Kinds) {
        Kind.Latencies[latencyBand(40ms)] = 980;
        Kind.Latencies[latencyBand(80ms)] = 20;
        Kind.Recent[static_cast<std::size_t>(Recent)] = 50;
      }
      Reference.merge(Now, Digest);
    }
  }

  void run(duration Length) {
    for (const time_point End = Now + Length; Now < End; Now += 10ms) {
      finishDueRequests();
      handle(Detector.tick(Now));
      startRequest(Started % 2 == 0 ? Lookup : Submit);
    }
  }

  bool saw(detection_event_type Type, kind_index Kind) const {
    for (const detection_event &Event : AllEvents)
      if (Event.Type == Type && Event.Kind == Kind)
        return true;
    return false;
  }

  const fault_case &Case;
  detection_options Options;
  latency_reference Reference{Options, 1};
  time_point Now{1h};
  server_detector Detector;
  std::vector<detection_event> AllEvents;

private:
  struct running {
    tracked_request Request;
    time_point Finish;
    server_outcome Outcome = server_outcome::Succeeded;
  };

  void startRequest(kind_index Kind) {
    ++Started;
    if (Running.size() >= 8)
      return;
    const bool Affected = Case.Every > 0 && (Started / 2) % Case.Every == 0 &&
                          (!Case.OnlySubmit || Kind == Submit);
    Connection = Connection.next();
    Running.push_back(
        {.Request = Detector.started(Now, Kind, Connection),
         .Finish = Now + (Affected ? Case.Latency : duration(40ms)),
         .Outcome = Affected ? Case.Outcome : server_outcome::Succeeded});
  }

  void finishDueRequests() {
    for (std::size_t Index = 0; Index < Running.size();) {
      const running Request = Running[Index];
      if (Request.Finish > Now) {
        ++Index;
        continue;
      }
      Running.erase(Running.begin() + static_cast<std::ptrdiff_t>(Index));
      handle(Detector.finished(Now, Request.Request, Request.Outcome));
    }
  }

  void handle(const detection_events &Events) {
    for (const detection_event &Event : Events) {
      AllEvents.push_back(Event);
      if (Event.Type == detection_event_type::ReferenceRequested)
        mergePeers(Case.PeersToo ? evidence_class::Unbounded
                                 : evidence_class::Normal);
      if (Event.Type == detection_event_type::PathCheckRequested)
        handle(Detector.pathChecked(Now, Event.Kind, Case.Path));
    }
  }

  connection_number Connection;
  std::vector<running> Running;
  int Started = 0;
};

} // namespace

class server_detector_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(server_detector_test);
  CPPUNIT_TEST(handlesFaultCases);
  CPPUNIT_TEST(pauseCountsAsOneObservation);
  CPPUNIT_TEST(silentConnectionIsReplacedFirst);
  CPPUNIT_TEST(flappingLengthensTheEjection);
  CPPUNIT_TEST(returnsThroughATrial);
  CPPUNIT_TEST(memoryIsBounded);
  CPPUNIT_TEST_SUITE_END();

public:
  void handlesFaultCases() {
    for (const fault_case &Case : FaultCases) {
      simulated_server Server(Case);
      Server.run(6s);
      const std::string Row = Case.GuardsAgainst;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          Row, Case.EjectsLookup,
          Server.saw(detection_event_type::Ejected, Lookup));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          Row, Case.EjectsSubmit,
          Server.saw(detection_event_type::Ejected, Submit));
      const bool PathFault =
          Server.saw(detection_event_type::PathFault, Lookup) ||
          Server.saw(detection_event_type::PathFault, Submit);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Row, Case.PathFault, PathFault);
    }
  }

  // Guards against counting correlated evidence several times: a short pause
  // delays all requests in flight at once.
  void pauseCountsAsOneObservation() {
    const fault_case Healthy = {.GuardsAgainst = ""};
    simulated_server Server(Healthy);
    std::vector<tracked_request> Requests;
    for (std::uint64_t Number = 1; Number <= 6; ++Number)
      Requests.push_back(Server.Detector.started(Server.Now, Lookup,
                                                 connection_number(Number)));
    for (int Step = 0; Step < 15; ++Step)
      Server.Detector.tick(Server.Now += 10ms);
    for (const tracked_request &Request : Requests)
      Server.Detector.finished(Server.Now, Request, server_outcome::Succeeded);
    CPPUNIT_ASSERT(Server.Detector.score(Lookup) > 0);
    CPPUNIT_ASSERT(Server.Detector.score(Lookup) <
                   Server.Detector.threshold() / 2);
  }

  // Guards against ejecting the server, or taking no action, when a connection
  // that has worked before goes silent.
  void silentConnectionIsReplacedFirst() {
    const fault_case Healthy = {.GuardsAgainst = ""};
    simulated_server Server(Healthy);
    const connection_number Kept(1);
    const auto First = Server.Detector.started(Server.Now, Lookup, Kept);
    Server.Detector.finished(Server.Now += 40ms, First,
                             server_outcome::Succeeded);
    Server.Detector.started(Server.Now, Lookup, Kept);
    std::size_t Suspected = 0;
    for (int Step = 0; Step < 500; ++Step)
      for (const detection_event &Event :
           Server.Detector.tick(Server.Now += 10ms)) {
        CPPUNIT_ASSERT(Event.Type == detection_event_type::ConnectionSuspected);
        CPPUNIT_ASSERT(Event.Connection == Kept);
        ++Suspected;
      }
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Suspected);
  }

  // Guards against a flapping server that is returned to service every few
  // seconds.
  void flappingLengthensTheEjection() {
    const detection_options Options;
    const auto Time = [&](std::uint32_t Count) {
      return Options.EjectionTime(Options, Count);
    };
    CPPUNIT_ASSERT(Time(1) == 5s);
    CPPUNIT_ASSERT(Time(3) == 20s);
    CPPUNIT_ASSERT(Time(200) == 5min);
    const fault_case Unhealthy = {.GuardsAgainst = "",
                                  .Outcome = server_outcome::Failed};
    simulated_server Server(Unhealthy);
    Server.run(60s);
    std::vector<duration> Times;
    for (const detection_event &Event : Server.AllEvents)
      if (Event.Type == detection_event_type::Ejected && Event.Kind == Lookup)
        Times.push_back(Event.Until - time_point(1h));
    CPPUNIT_ASSERT(Times.size() >= 3);
    CPPUNIT_ASSERT(Times[2] - Times[1] > Times[1] - Times[0]);
  }

  // Guards against sending full load to a server before its recovery is
  // verified.
  void returnsThroughATrial() {
    fault_case Changing = {.GuardsAgainst = "",
                           .Outcome = server_outcome::Failed};
    simulated_server Server(Changing);
    Server.run(2s);
    CPPUNIT_ASSERT(Server.Detector.phase(Lookup) == server_phase::Ejected);
    Changing.Every = 0;
    Server.run(10s);
    CPPUNIT_ASSERT(Server.saw(detection_event_type::TrialRequested, Lookup));
    CPPUNIT_ASSERT(Server.saw(detection_event_type::Returned, Lookup));
    CPPUNIT_ASSERT(!Server.Detector.anyEjected());
  }

  // Guards against memory growth: a process holds thousands of instances.
  void memoryIsBounded() {
    CPPUNIT_ASSERT(sizeof(server_detector) <= 1024);
    CPPUNIT_ASSERT(sizeof(latency_reference) <= 8192);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_detector_test);
