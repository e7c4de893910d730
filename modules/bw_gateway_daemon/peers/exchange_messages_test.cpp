#include "bw_gateway_daemon/peers/exchange_messages.h"

#include <cppunit/extensions/HelperMacros.h>

#include <limits>

using namespace bw;
using namespace std::chrono_literals;

class exchange_messages_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(exchange_messages_test);
  CPPUNIT_TEST(reportsRoundTrip);
  CPPUNIT_TEST(summariesRoundTrip);
  CPPUNIT_TEST(aggregatesRoundTrip);
  CPPUNIT_TEST(listsAndConfigurationsRoundTrip);
  CPPUNIT_TEST(rejectsInvalidMessages);
  CPPUNIT_TEST_SUITE_END();

public:
  void reportsRoundTrip() {
    const host_report Sent{
        .Observations = {.Host = host_id("h1"),
                         .Number = report_number(12),
                         .HasLoad = true,
                         .IsBroadcast = true,
                         .Servers = {{.Server = backend_server_id("s1"),
                                      .Good = 3,
                                      .Bad = 0.5,
                                      .InFlight = 7}}},
        .Summary = {},
        .Aggregate = {},
        .State = {.Version = config_version(4),
                  .ListRevision = store_revision(9),
                  .ListDigest = list_digest(77),
                  .ListAge = 1500ms,
                  .HostsDigest = list_digest(88),
                  .ConfirmedAge = 40ms}};
    const host_report Got = decodeReport(encodeReport(Sent));
    CPPUNIT_ASSERT(Got.Observations.Host == host_id("h1"));
    CPPUNIT_ASSERT(Got.Observations.Number == report_number(12));
    CPPUNIT_ASSERT(Got.Observations.HasLoad && Got.Observations.IsBroadcast);
    CPPUNIT_ASSERT(!Got.Summary && !Got.Aggregate);
    CPPUNIT_ASSERT(Got.State.HostsDigest == list_digest(88));
    CPPUNIT_ASSERT(Got.State.ConfirmedAge == 40ms);
    const server_report &Server = Got.Observations.Servers.at(0);
    CPPUNIT_ASSERT(Server.Good == 3 && Server.Bad == 0.5 &&
                   Server.InFlight == 7);
    CPPUNIT_ASSERT(Got.State.Version == config_version(4));
    CPPUNIT_ASSERT(Got.State.ListRevision == store_revision(9));
    CPPUNIT_ASSERT(Got.State.ListDigest == list_digest(77));
    CPPUNIT_ASSERT(Got.State.ListAge == 1500ms);
    // A host without a list must not appear to have a recent one.
    host_report Unread = Sent;
    Unread.State.ListAge = duration::max();
    CPPUNIT_ASSERT(decodeReport(encodeReport(Unread)).State.ListAge > 1h);
  }

  void summariesRoundTrip() {
    const host_report Got = decodeReport(encodeReport(
        {.Observations = {.Host = host_id("h1"), .Servers = {}},
         .Summary = load_summary{.DataCentre = data_centre_id("a"),
                                 .HasLoad = false,
                                 .Servers = {{.Server = backend_server_id("s"),
                                              .InFlight = 2,
                                              .Statement =
                                                  server_statement{
                                                      .RequestLimit = 0.5}}}},
         .Aggregate = {},
         .State = {}}));
    CPPUNIT_ASSERT(Got.Summary->DataCentre == data_centre_id("a"));
    CPPUNIT_ASSERT(!Got.Summary->HasLoad);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Got.Summary->Servers.size());
    CPPUNIT_ASSERT(Got.Summary->Servers[0].Statement->RequestLimit == 0.5);
    CPPUNIT_ASSERT(Got.Observations.Servers.empty());
  }

  void aggregatesRoundTrip() {
    const host_report Got = decodeReport(encodeReport(
        {.Observations = {.Host = host_id("h1"), .Servers = {}},
         .Summary = {},
         .Aggregate =
             load_aggregate{
                 .Servers = {{.Server = backend_server_id("s"),
                              .Local = 3,
                              .Remote = 4,
                              .Good = 2,
                              .Bad = 0.25,
                              .Statement =
                                  server_statement{.IsLeaving = true}}},
                 .Included = {{host_id("h2"), report_number(3)}}},
         .State = {}}));
    CPPUNIT_ASSERT(Got.Aggregate && !Got.Observations.HasLoad);
    const aggregated_load &Server = Got.Aggregate->Servers.at(0);
    CPPUNIT_ASSERT(Server.Local == 3 && Server.Remote == 4);
    CPPUNIT_ASSERT(Server.Good == 2 && Server.Bad == 0.25);
    CPPUNIT_ASSERT(Got.Aggregate->Included.at(0).first == host_id("h2"));
    CPPUNIT_ASSERT(Got.Aggregate->Included[0].second == report_number(3));
  }

  void listsAndConfigurationsRoundTrip() {
    const servers_listed List{
        .Revision = store_revision(5),
        .Servers = {{.Server = backend_server_id("s"),
                     .Service = service_id("diary"),
                     .DataCentre = data_centre_id("a"),
                     .Address = server_address("10.0.0.1:80"),
                     .Slots = slot_count(6),
                     .Leaving = true,
                     .Start = server_start(1786201937700),
                     .ColdRemaining = 1500ms}}};
    const servers_listed GotList = decodeServers(encodeServers(List));
    const listed_server &Server = GotList.Servers.at(0);
    CPPUNIT_ASSERT(GotList.Revision == List.Revision);
    CPPUNIT_ASSERT(Server.Address == List.Servers[0].Address &&
                   Server.Leaving && Server.Start == List.Servers[0].Start &&
                   Server.ColdRemaining == 1500ms);
    const gateway_configuration Configuration{
        .Version = config_version(12),
        .Limits = {.Header = byte_count(100), .IdleTimeout = 4s},
        .Routes = {
            {.Id = route_id("r"),
             .VirtualHost = "one.example",
             .Prefix = "/a/",
             .Destinations = {{.Service = service_id("x"), .Weight = 90.5}},
             .Execution = execution_rule::Repeatable,
             .Timeout = std::nullopt,
             .TargetLatency = 1500ms,
             .MaxAttempts = 3,
             .Priority = 2}}};
    const auto Got = decodeConfiguration(encodeConfiguration(Configuration));
    const gateway_route &Route = Got->Routes.at(0);
    CPPUNIT_ASSERT(Got->Version == config_version(12));
    CPPUNIT_ASSERT(Got->Limits.IdleTimeout == 4s);
    CPPUNIT_ASSERT(!Route.Timeout && Route.TargetLatency == 1500ms);
    CPPUNIT_ASSERT(Route.Execution == execution_rule::Repeatable);
    CPPUNIT_ASSERT(Route.Destinations.at(0).Weight == 90.5);
    CPPUNIT_ASSERT(Route.MaxAttempts == 3 && Route.Priority == 2);
  }

  // Guards against foreign or corrupt datagrams that affect decisions.
  void rejectsInvalidMessages() {
    CPPUNIT_ASSERT_THROW(decodeReport("\xff\xff nonsense"), exchange_error);
    for (const float Outcomes :
         {-1.0F, 1e9F, std::numeric_limits<float>::quiet_NaN(),
          std::numeric_limits<float>::infinity()}) {
      const std::string Bytes = encodeReport(
          {.Observations = {.Host = host_id("h"),
                            .Servers = {{.Server = backend_server_id("s"),
                                         .Bad = Outcomes}}},
           .Summary = {},
           .Aggregate = {},
           .State = {}});
      CPPUNIT_ASSERT_THROW(decodeReport(Bytes), exchange_error);
      const std::string Sums = encodeReport(
          {.Observations = {},
           .Summary = {},
           .Aggregate =
               load_aggregate{.Servers = {{.Server = backend_server_id("s"),
                                           .Good = Outcomes}}},
           .State = {}});
      CPPUNIT_ASSERT_THROW(decodeReport(Sums), exchange_error);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(exchange_messages_test);
