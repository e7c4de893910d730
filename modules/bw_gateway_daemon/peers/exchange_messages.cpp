#include "bw_gateway_daemon/peers/exchange_messages.h"

#include "bw_gateway_daemon/peers/exchange.pb.h"
#include "bw_gateway_daemon/peers/exchange_demands.h"
#include "bw_gateway_daemon/peers/exchange_verification.h"
#include "bw_gateway_daemon/peers/wire_fields.h"

#include <algorithm>
#include <cmath>
#include <limits>

using namespace bw;

namespace {

// Ages above this are not distinguished.
constexpr std::chrono::milliseconds MaxListAge = std::chrono::hours(24);

// Most entries of what a host fetches. The values of the store hold fewer
// routes and customers, and the design size has a fifth of the servers.
constexpr std::size_t MaxServers = 50'000;
constexpr std::size_t MaxHosts = 10'000;
constexpr std::size_t MaxRoutes = 10'000;
constexpr std::size_t MaxDestinations = 40'000;
constexpr std::size_t MaxCustomers = 80'000;
constexpr std::size_t MaxKeys = 300'000;

// Bytes of a record without its lists; names take most of them.
constexpr std::size_t MaxRecordBytes = kibibytes(64).value();

void checkCount(std::size_t Count, std::size_t Max) {
  if (Count > Max)
    throw exchange_error("more than " + std::to_string(Max) + " entries");
}

template <typename Message> Message parse(std::string_view Bytes) {
  Message Result;
  if (!Result.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())))
    throw exchange_error("not a valid protobuf message");
  return Result;
}

template <typename Record> Record parseRecord(std::string_view Bytes) {
  if (Bytes.size() > MaxRecordBytes)
    throw exchange_error("an entry is too long");
  return parse<Record>(Bytes);
}

std::uint64_t microseconds(duration Time) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(Time).count());
}

std::uint64_t milliseconds(duration Time) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Time).count());
}

// Ages beyond the maximum are of no use.
duration decodeAge(std::uint64_t Milliseconds) {
  return std::chrono::milliseconds(std::min<std::uint64_t>(
      Milliseconds, static_cast<std::uint64_t>(MaxListAge.count())));
}

std::optional<duration> optionalDuration(std::uint64_t Microseconds) {
  if (Microseconds == 0)
    return std::nullopt;
  return std::chrono::microseconds(Microseconds);
}

exchange::route_record encodeRoute(const gateway_route &Route) {
  exchange::route_record Result;
  Result.set_id(Route.Id.value());
  Result.set_virtual_host(Route.VirtualHost);
  Result.set_prefix(Route.Prefix);
  for (const route_destination &Each : Route.Destinations) {
    auto *Destination = Result.add_destinations();
    Destination->set_service(Each.Service.value());
    Destination->set_weight(Each.Weight);
  }
  Result.set_repeatable(Route.Execution == execution_rule::Repeatable);
  Result.set_timeout(microseconds(Route.Timeout.value_or(duration::zero())));
  Result.set_target_latency(
      microseconds(Route.TargetLatency.value_or(duration::zero())));
  Result.set_max_attempts(Route.MaxAttempts);
  Result.set_priority(Route.Priority);
  Result.set_is_public(Route.IsPublic);
  Result.set_is_download(Route.IsDownload);
  return Result;
}

// Implausible numbers would permanently corrupt the failure estimates.
void checkOutcomes(float Good, float Bad) {
  constexpr float MaxOutcomes = 1000;
  if (!(Good >= 0 && Good <= MaxOutcomes && Bad >= 0 && Bad <= MaxOutcomes))
    throw exchange_error("outcome count is out of range");
}

template <typename Record>
void encodeStatement(const std::optional<server_statement> &Statement,
                     Record &Result) {
  if (!Statement)
    return;
  auto *Encoded = Result.mutable_statement();
  Encoded->set_has_limit(Statement->RequestLimit.has_value());
  Encoded->set_limit(Statement->RequestLimit.value_or(0));
  Encoded->set_leaving(Statement->IsLeaving);
}

template <typename Record>
std::optional<server_statement> decodeStatement(const Record &Encoded) {
  if (!Encoded.has_statement())
    return std::nullopt;
  server_statement Result{.RequestLimit = {},
                          .IsLeaving = Encoded.statement().leaving(),
                          .RetryAfter = {}};
  if (Encoded.statement().has_limit()) {
    const double Limit = Encoded.statement().limit();
    if (!(Limit >= 0 && std::isfinite(Limit)))
      throw exchange_error("limit of a server is out of range");
    Result.RequestLimit = Limit;
  }
  return Result;
}

std::uint16_t saturatedCount(std::uint32_t Count) {
  return static_cast<std::uint16_t>(std::min<std::uint32_t>(
      Count, std::numeric_limits<std::uint16_t>::max()));
}

void encodeAggregate(const load_aggregate &Aggregate,
                     exchange::host_report &Result) {
  Result.set_is_aggregate(true);
  Result.set_round(Aggregate.Round.value());
  Result.set_has_load(Aggregate.HasLoad);
  for (const aggregated_load &Each : Aggregate.Servers) {
    auto *Server = Result.add_aggregate();
    Server->set_server(Each.Server.value());
    Server->set_near(Each.Local);
    Server->set_far(Each.Remote);
    Server->set_good(Each.Good);
    Server->set_bad(Each.Bad);
    encodeStatement(Each.Statement, *Server);
  }
  for (const auto &[Host, Number] : Aggregate.Included) {
    auto *Included = Result.add_included();
    Included->set_host(Host.value());
    Included->set_number(Number.value());
  }
  for (const heard_data_centre &Each : Aggregate.Heard) {
    auto *Heard = Result.add_heard_data_centres();
    Heard->set_data_centre(Each.DataCentre.value());
    Heard->set_age(milliseconds(Each.Age));
  }
  if (Aggregate.Demand)
    encodeDemandTotals(*Aggregate.Demand, *Result.mutable_demand_totals());
}

load_aggregate decodeAggregate(const exchange::host_report &Report) {
  load_aggregate Result{.HasLoad = Report.has_load(),
                        .Servers = {},
                        .Included = {},
                        .Round = message_round(Report.round())};
  if (Report.has_demand_totals())
    Result.Demand = decodeDemandTotals(Report.demand_totals());
  for (const auto &Each : Report.included())
    Result.Included.emplace_back(host_id(Each.host()),
                                 report_number(Each.number()));
  for (const auto &Each : Report.heard_data_centres())
    Result.Heard.push_back({.DataCentre = data_centre_id(Each.data_centre()),
                            .Age = decodeAge(Each.age())});
  for (const auto &Each : Report.aggregate()) {
    checkOutcomes(Each.good(), Each.bad());
    Result.Servers.push_back({.Server = backend_server_id(Each.server()),
                              .Local = saturatedCount(Each.near()),
                              .Remote = saturatedCount(Each.far()),
                              .Good = Each.good(),
                              .Bad = Each.bad(),
                              .Statement = decodeStatement(Each)});
  }
  return Result;
}

gateway_route decodeRoute(const exchange::route_record &Route) {
  gateway_route Result{
      .Id = route_id(Route.id()),
      .VirtualHost = Route.virtual_host(),
      .Prefix = Route.prefix(),
      .Destinations = {},
      .Execution = Route.repeatable() ? execution_rule::Repeatable
                                      : execution_rule::AtMostOnce,
      .Timeout = optionalDuration(Route.timeout()),
      .TargetLatency = optionalDuration(Route.target_latency()),
      .MaxAttempts = Route.max_attempts(),
      .Priority = Route.priority(),
      .IsPublic = Route.is_public(),
      .IsDownload = Route.is_download()};
  for (const auto &Each : Route.destinations())
    Result.Destinations.push_back(
        {.Service = service_id(Each.service()), .Weight = Each.weight()});
  if (Result.Destinations.empty())
    throw exchange_error("a route has no destination");
  return Result;
}

exchange::customer_record encodeCustomer(const customer &Customer) {
  exchange::customer_record Result;
  Result.set_name(Customer.Name.value());
  for (const key_digest &Each : Customer.Keys)
    Result.add_key_digests(std::string(Each.view()));
  if (Customer.Priority)
    Result.set_priority(*Customer.Priority);
  Result.set_rate(Customer.Allowance.Rate.value());
  Result.set_burst(Customer.Allowance.Burst);
  return Result;
}

bool isCount(double Value) { return Value >= 0 && std::isfinite(Value); }

// A customer may have so many keys that a message with all of them would take
// several times their bytes.
customer decodeCustomer(std::string_view Bytes) {
  using record = exchange::customer_record;
  customer Result{.Name = {}, .Keys = {}, .Priority = {}, .Allowance = {}};
  const auto ReadNumber = [&](int Field, std::uint64_t Value) {
    if (Field == record::kPriorityFieldNumber)
      Result.Priority = static_cast<std::uint32_t>(Value);
  };
  const auto ReadDouble = [&](int Field, double Value) {
    if (!isCount(Value))
      throw exchange_error("allowance of a customer is out of range");
    if (Field == record::kRateFieldNumber)
      Result.Allowance.Rate = request_rate(Value);
    else if (Field == record::kBurstFieldNumber)
      Result.Allowance.Burst = Value;
  };
  const auto ReadBytes = [&](int Field, std::string_view Value) {
    if (Field == record::kNameFieldNumber) {
      if (Value.size() > MaxRecordBytes)
        throw exchange_error("an entry is too long");
      Result.Name = customer_id(std::string(Value));
    } else if (Field == record::kKeyDigestsFieldNumber) {
      const auto Digest = key_digest::fromBytes(Value);
      if (!Digest)
        throw exchange_error("digest of a key has another size than expected");
      checkCount(Result.Keys.size() + 1, MaxKeys);
      Result.Keys.push_back(*Digest);
    }
  };
  readWireFields(
      Bytes,
      {.OnNumber = ReadNumber, .OnDouble = ReadDouble, .OnBytes = ReadBytes});
  return Result;
}

std::shared_ptr<const customer_directory>
makeDirectory(std::vector<customer> Customers) {
  try {
    return std::make_shared<const customer_directory>(std::move(Customers));
  } catch (const customer_error &Failure) {
    throw exchange_error(Failure.what());
  }
}

} // namespace

namespace {

// Upper bounds of the encoded size of an entry without its name, and of the
// other members of a report.
constexpr std::size_t MaxEntryBytes = 48;
constexpr std::size_t MaxReportStateBytes = 512;

// Splits the entries of a message so that each part can be encoded in the given
// number of bytes. The first part has the given bytes less.
template <typename Message>
std::vector<Message> splitByServers(Message Whole, std::size_t MaxBytes,
                                    std::size_t FirstBytes) {
  std::vector<Message> Result;
  auto Servers = std::exchange(Whole.Servers, {});
  Result.push_back(std::move(Whole));
  std::size_t Bytes = MaxReportStateBytes + FirstBytes;
  for (auto &Each : Servers) {
    const std::size_t Size = MaxEntryBytes + Each.Server.value().size();
    if (Bytes + Size > MaxBytes && !Result.back().Servers.empty()) {
      Message Next{};
      Next.HasLoad = Result.back().HasLoad;
      Next.Round = Result.back().Round;
      Result.push_back(std::move(Next));
      Bytes = MaxReportStateBytes;
    }
    Bytes += Size;
    Result.back().Servers.push_back(std::move(Each));
  }
  return Result;
}

} // namespace

std::vector<load_aggregate> bw::splitAggregate(load_aggregate Whole,
                                               byte_count MaxBytes) {
  std::size_t Included = 0;
  for (const auto &[Host, Number] : Whole.Included)
    Included += MaxEntryBytes + Host.value().size();
  for (const heard_data_centre &Each : Whole.Heard)
    Included += MaxEntryBytes + Each.DataCentre.value().size();
  if (Whole.Demand)
    Included += encodedSize(*Whole.Demand);
  return splitByServers(std::move(Whole), MaxBytes.value(), Included);
}

std::vector<load_summary> bw::splitSummary(load_summary Whole,
                                           byte_count MaxBytes) {
  const data_centre_id DataCentre = Whole.DataCentre;
  const std::size_t DemandBytes = Whole.Demand ? encodedSize(*Whole.Demand) : 0;
  std::vector<load_summary> Result =
      splitByServers(std::move(Whole), MaxBytes.value(), DemandBytes);
  for (load_summary &Each : Result)
    Each.DataCentre = DataCentre;
  return Result;
}

std::string bw::encodeReport(const host_report &Report) {
  exchange::host_report Result;
  Result.set_host(Report.Observations.Host.value());
  Result.set_configuration_version(Report.State.Version.value());
  Result.set_list_revision(Report.State.ListPosition.Revision.value());
  Result.set_list_era(Report.State.ListPosition.Era.value());
  Result.set_store_era(Report.State.Era.value());
  Result.set_list_digest(Report.State.ListDigest.value());
  Result.set_list_age(milliseconds(Report.State.ListAge));
  Result.set_confirmed_age(milliseconds(Report.State.ConfirmedAge));
  Result.set_hosts_digest(Report.State.HostsDigest.value());
  encodeVerification(Report, Result);
  if (Report.Aggregate) {
    encodeAggregate(*Report.Aggregate, Result);
    return Result.SerializeAsString();
  }
  Result.set_has_load(Report.Observations.HasLoad);
  Result.set_number(Report.Observations.Number.value());
  Result.set_is_broadcast(Report.Observations.IsBroadcast);
  if (Report.Summary) {
    Result.set_summary_of(Report.Summary->DataCentre.value());
    Result.set_has_load(Report.Summary->HasLoad);
    Result.set_round(Report.Summary->Round.value());
    if (Report.Summary->Demand)
      encodeDemandSummary(*Report.Summary->Demand,
                          *Result.mutable_demand_summary());
  } else {
    encodeDemands(Report.Observations.Demands, Result);
  }
  for (const server_report &Each :
       Report.Summary ? Report.Summary->Servers : Report.Observations.Servers) {
    auto *Server = Result.add_servers();
    Server->set_server(Each.Server.value());
    Server->set_good(Each.Good);
    Server->set_bad(Each.Bad);
    Server->set_in_flight(Each.InFlight);
    encodeStatement(Each.Statement, *Server);
  }
  return Result.SerializeAsString();
}

host_report bw::decodeReport(std::string_view Bytes) {
  const auto Report = parse<exchange::host_report>(Bytes);
  host_report Result{
      .Observations = {.Host = host_id(Report.host()),
                       .Number = report_number(Report.number()),
                       .HasLoad = Report.has_load(),
                       .IsBroadcast = Report.is_broadcast(),
                       .Servers = {}},
      .Summary = {},
      .Aggregate = {},
      .State = {
          .Version = config_version(Report.configuration_version()),
          .ListPosition = {.Era = store_era(Report.list_era()),
                           .Revision = store_revision(Report.list_revision())},
          .ListDigest = list_digest(Report.list_digest()),
          .ListAge = decodeAge(Report.list_age()),
          .HostsDigest = list_digest(Report.hosts_digest()),
          .ConfirmedAge = Report.has_confirmed_age()
                              ? decodeAge(Report.confirmed_age())
                              : duration::max(),
          .Era = store_era(Report.store_era())}};
  decodeVerification(Report, Result);
  if (Report.is_aggregate()) {
    Result.Observations.HasLoad = false;
    Result.Aggregate = decodeAggregate(Report);
    return Result;
  }
  Result.Observations.Demands = decodeDemands(Report);
  for (const auto &Each : Report.servers()) {
    checkOutcomes(Each.good(), Each.bad());
    Result.Observations.Servers.push_back(
        {.Server = backend_server_id(Each.server()),
         .Good = Each.good(),
         .Bad = Each.bad(),
         .InFlight = saturatedCount(Each.in_flight()),
         .Statement = decodeStatement(Each)});
  }
  if (!Report.summary_of().empty())
    Result.Summary = {.DataCentre = data_centre_id(Report.summary_of()),
                      .HasLoad = Report.has_load(),
                      .Servers = std::move(Result.Observations.Servers),
                      .Round = message_round(Report.round())};
  if (Result.Summary && Report.has_demand_summary())
    Result.Summary->Demand = decodeDemandSummary(Report.demand_summary());
  return Result;
}

std::string bw::encodeServers(const servers_listed &Servers) {
  exchange::server_list Result;
  Result.set_revision(Servers.Position.Revision.value());
  Result.set_era(Servers.Position.Era.value());
  for (const listed_server &Each : Servers.Servers) {
    auto *Server = Result.add_servers();
    Server->set_server(Each.Server.value());
    Server->set_service(Each.Service.value());
    Server->set_data_centre(Each.DataCentre.value());
    Server->set_address(Each.Address.value());
    Server->set_slots(Each.Slots.value());
    Server->set_leaving(Each.Leaving);
    Server->set_start(Each.Start.value());
    Server->set_cold_milliseconds(static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            Each.ColdRemaining)
            .count()));
  }
  return Result.SerializeAsString();
}

servers_listed bw::decodeServers(std::string_view Bytes) {
  servers_listed Result;
  const auto ReadNumber = [&](int Field, std::uint64_t Value) {
    if (Field == exchange::server_list::kRevisionFieldNumber)
      Result.Position.Revision = store_revision(Value);
    else if (Field == exchange::server_list::kEraFieldNumber)
      Result.Position.Era = store_era(Value);
  };
  const auto ReadEntry = [&](int Field, std::string_view Value) {
    if (Field != exchange::server_list::kServersFieldNumber)
      return;
    checkCount(Result.Servers.size() + 1, MaxServers);
    const auto Each = parseRecord<exchange::server_record>(Value);
    Result.Servers.push_back(
        {.Server = backend_server_id(Each.server()),
         .Service = service_id(Each.service()),
         .DataCentre = data_centre_id(Each.data_centre()),
         .Address = server_address(Each.address()),
         .Slots = slot_count(Each.slots()),
         .Leaving = Each.leaving(),
         .Start = server_start(Each.start()),
         .ColdRemaining = std::chrono::milliseconds(Each.cold_milliseconds())});
  };
  readWireFields(Bytes, {.OnNumber = ReadNumber, .OnBytes = ReadEntry});
  return Result;
}

std::string
bw::encodeConfiguration(const gateway_configuration &Configuration) {
  exchange::configuration_record Result;
  const caller_limits &Limits = Configuration.Limits;
  Result.set_version(Configuration.Version.value());
  Result.set_header_bytes(Limits.Header.value());
  Result.set_body_bytes(Limits.Body.value());
  Result.set_header_timeout(microseconds(Limits.HeaderTimeout));
  Result.set_idle_timeout(microseconds(Limits.IdleTimeout));
  for (const gateway_route &Each : Configuration.Routes)
    *Result.add_routes() = encodeRoute(Each);
  Result.set_names_customers(Configuration.Customers != nullptr);
  if (Configuration.Customers)
    for (const customer &Each : Configuration.Customers->customers())
      *Result.add_customers() = encodeCustomer(Each);
  return Result.SerializeAsString();
}

std::shared_ptr<const gateway_configuration>
bw::decodeConfiguration(std::string_view Bytes) {
  using record = exchange::configuration_record;
  auto Result = std::make_shared<gateway_configuration>();
  std::vector<customer> Customers;
  bool NamesCustomers = false;
  std::size_t Destinations = 0;
  std::size_t Keys = 0;
  Result->Limits = {.Header = {},
                    .Body = {},
                    .HeaderTimeout = duration::zero(),
                    .IdleTimeout = duration::zero()};
  const auto ReadNumber = [&](int Field, std::uint64_t Value) {
    switch (Field) {
    case record::kVersionFieldNumber:
      Result->Version = config_version(Value);
      break;
    case record::kHeaderBytesFieldNumber:
      Result->Limits.Header = byte_count(Value);
      break;
    case record::kBodyBytesFieldNumber:
      Result->Limits.Body = byte_count(Value);
      break;
    case record::kHeaderTimeoutFieldNumber:
      Result->Limits.HeaderTimeout = std::chrono::microseconds(Value);
      break;
    case record::kIdleTimeoutFieldNumber:
      Result->Limits.IdleTimeout = std::chrono::microseconds(Value);
      break;
    case record::kNamesCustomersFieldNumber:
      NamesCustomers = Value != 0;
      break;
    default:
      break;
    }
  };
  const auto ReadEntry = [&](int Field, std::string_view Value) {
    if (Field == record::kRoutesFieldNumber) {
      checkCount(Result->Routes.size() + 1, MaxRoutes);
      Result->Routes.push_back(
          decodeRoute(parseRecord<exchange::route_record>(Value)));
      Destinations += Result->Routes.back().Destinations.size();
      checkCount(Destinations, MaxDestinations);
    } else if (Field == record::kCustomersFieldNumber) {
      checkCount(Customers.size() + 1, MaxCustomers);
      Customers.push_back(decodeCustomer(Value));
      Keys += Customers.back().Keys.size();
      checkCount(Keys, MaxKeys);
    }
  };
  readWireFields(Bytes, {.OnNumber = ReadNumber, .OnBytes = ReadEntry});
  if (NamesCustomers)
    Result->Customers = makeDirectory(std::move(Customers));
  return Result;
}

std::string bw::encodeHosts(const std::vector<gateway_host> &Hosts) {
  exchange::host_list Result;
  for (const gateway_host &Each : Hosts) {
    auto *Host = Result.add_hosts();
    Host->set_host(Each.Host.value());
    Host->set_data_centre(Each.DataCentre.value());
    Host->set_ip(Each.Ip);
    Host->set_report_port(Each.ReportPort);
    Host->set_exchange_port(Each.ExchangePort);
    Host->set_processor_share(Each.ProcessorShare.value());
  }
  return Result.SerializeAsString();
}

std::vector<gateway_host> bw::decodeHosts(std::string_view Bytes) {
  std::vector<gateway_host> Result;
  const auto ReadEntry = [&](int Field, std::string_view Value) {
    if (Field != exchange::host_list::kHostsFieldNumber)
      return;
    checkCount(Result.size() + 1, MaxHosts);
    const auto Each = parseRecord<exchange::host_record>(Value);
    Result.push_back(
        {.Host = host_id(Each.host()),
         .DataCentre = data_centre_id(Each.data_centre()),
         .Ip = Each.ip(),
         .ReportPort = static_cast<std::uint16_t>(Each.report_port()),
         .ExchangePort = static_cast<std::uint16_t>(Each.exchange_port()),
         .ProcessorShare = ratio(Each.processor_share())});
  };
  readWireFields(Bytes, {.OnBytes = ReadEntry});
  return Result;
}
