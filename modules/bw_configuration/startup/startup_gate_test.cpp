#include "bw_configuration/startup/startup_gate.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>

using namespace bw;

class startup_gate_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(startup_gate_test);
  CPPUNIT_TEST(becomesReadyOnlyWithACertainVersion);
  CPPUNIT_TEST_SUITE_END();

public:
  void becomesReadyOnlyWithACertainVersion() {
    struct fault_case {
      const char *GuardsAgainst;
      std::function<void(startup_gate &)> Steps;
      startup_wait Wait;
    };
    const auto Peer = [](startup_gate &G, const char *Name, bool Ready,
                         std::uint64_t Version) {
      G.peerAnswered(host_id(Name), Ready, config_version(Version));
    };
    const config_version Nine(9);
    const fault_case Cases[] = {
        {"readiness before any answer",
         [&](startup_gate &G) { G.applied(Nine); }, startup_wait::Store},
        {"a host that waits although the store has answered",
         [&](startup_gate &G) { G.storeAnswered(Nine), G.applied(Nine); },
         startup_wait::None},
        {"readiness before the version is applied",
         [&](startup_gate &G) {
           G.storeAnswered(Nine), G.applied(config_version(8));
         },
         startup_wait::Configuration},
        {"readiness after answers of half of the peers",
         [&](startup_gate &G) {
           G.storeUnavailable(), Peer(G, "b", true, 9), Peer(G, "c", true, 9);
           G.applied(Nine);
         },
         startup_wait::Peers},
        {"counting answers of peers that are not ready",
         [&](startup_gate &G) {
           G.storeUnavailable(), Peer(G, "b", true, 9), Peer(G, "c", true, 9);
           Peer(G, "d", false, 0), Peer(G, "e", false, 0), G.applied(Nine);
         },
         startup_wait::Peers},
        {"counting hosts that are not listed, or one host twice",
         [&](startup_gate &G) {
           G.storeUnavailable(), Peer(G, "b", true, 9), Peer(G, "b", true, 9);
           Peer(G, "x", true, 9), Peer(G, "y", true, 9), G.applied(Nine);
         },
         startup_wait::Peers},
        {"readiness below the highest version of the majority",
         [&](startup_gate &G) {
           G.storeUnavailable(), Peer(G, "b", true, 9), Peer(G, "c", true, 8);
           Peer(G, "d", true, 8), G.applied(config_version(8));
         },
         startup_wait::Configuration},
        {"a host that waits although a majority has answered",
         [&](startup_gate &G) {
           G.storeUnavailable(), Peer(G, "b", true, 9), Peer(G, "c", true, 8);
           Peer(G, "d", true, 8), G.applied(Nine);
         },
         startup_wait::None},
    };
    for (const fault_case &Case : Cases) {
      startup_gate Gate(host_id("a"));
      Gate.setListed({host_id("a"), host_id("b"), host_id("c"), host_id("d"),
                      host_id("e")});
      Case.Steps(Gate);
      CPPUNIT_ASSERT_MESSAGE(Case.GuardsAgainst, Gate.waitsFor() == Case.Wait);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(startup_gate_test);
