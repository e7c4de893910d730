#include "bw_platform/client/platform_client.h"

#include "bw_http/messages/percent_encoding.h"
#include "bw_json/stream/json_stream.h"
#include "bw_kernel/log/log_event.h"

#include <nlohmann/json.hpp>

#include <charconv>

using namespace bw;

namespace {

constexpr const char *EraField = "Store-Era";
constexpr int Ok = 200;
// The service takes values of 1 MB.
constexpr byte_count ValueLimit = mebibytes(1);

std::string quoteVersion(object_version Version) {
  return "\"" + std::to_string(Version.value()) + "\"";
}

// The version in an ETag; nothing when there is none.
std::optional<object_version> versionOf(const http_response &Response) {
  const auto Tag = Response.Headers.find("ETag");
  if (!Tag || Tag->size() < 3 || Tag->front() != '"' || Tag->back() != '"')
    return std::nullopt;
  std::uint64_t Number = 0;
  const char *End = Tag->data() + Tag->size() - 1;
  const auto [Stop, Error] = std::from_chars(Tag->data() + 1, End, Number);
  if (Error != std::errc() || Stop != End)
    return std::nullopt;
  return object_version(Number);
}

// Only statuses that say that nothing was stored count as "no effect". A 5xx
// may come from a part of the platform that does not know.
write_outcome outcomeOf(int Status) {
  switch (Status) {
  case 200:
  case 201:
  case 204:
    return write_outcome::Stored;
  case 404:
    return write_outcome::Absent;
  case 412:
    return write_outcome::VersionConflict;
  case 429:
    return write_outcome::Unavailable;
  default:
    return Status >= 400 && Status < 500 ? write_outcome::Refused
                                         : write_outcome::AnswerLost;
  }
}

write_answer answerOf(const call_result &Result, store_era Era) {
  if (Result.Transfer.Status != transfer_status::Complete)
    return {.Outcome = Result.Transfer.WasSent ? write_outcome::AnswerLost
                                               : write_outcome::Unavailable};
  return {
      .Outcome = outcomeOf(Result.Response.Status),
      .Position = {.Era = Era,
                   .Version =
                       versionOf(Result.Response).value_or(object_version())}};
}

// An object without a version could not be updated, so it counts as no answer.
std::optional<platform_object> objectOf(http_response Response, store_era Era) {
  const auto Version = versionOf(Response);
  if (!Version)
    return std::nullopt;
  return platform_object{.Value = std::move(Response.Body),
                         .Position = {.Era = Era, .Version = *Version}};
}

json_shape listShape() {
  const json_shape Item{
      .Members = {{.Name = "name", .IsName = true}, {.Name = "version"}}};
  return {
      .Members = {{.Name = "items", .Elements = {Item}, .IsStreamed = true}}};
}

/// Reads the names and versions of a list, part by part.
class item_reader {
public:
  explicit item_reader(std::size_t Limit)
      : Limit(Limit), Stream({.Shape = listShape(),
                              .OnElement = [this](const json_element &Element) {
                                readItem(Element);
                              }}) {}

  void write(std::string_view Part) { Stream.write(Part); }

  /// Returns nothing if the text is no list of at most the limit.
  std::optional<std::vector<listed_object>> finish(store_era Era) {
    const auto Text = Stream.finish();
    const auto Root = nlohmann::json::parse(Text.value_or(""), nullptr, false);
    if (!IsValid || !Root.is_object() || !Root.contains("items") ||
        !Root.at("items").is_array())
      return std::nullopt;
    for (listed_object &Each : Items)
      Each.Position.Era = Era;
    return std::move(Items);
  }

private:
  void readItem(const json_element &Element) {
    const auto Name = nlohmann::json::parse(Element.Name, nullptr, false);
    const auto Item = nlohmann::json::parse(Element.Text, nullptr, false);
    const auto Version = Item.is_object() && Item.contains("version")
                             ? Item.at("version")
                             : nlohmann::json();
    // A name that no object of this project has still continues the list.
    const bool IsLong = Element.End == json_element_end::TooLong;
    if (!Name.is_string() || (!IsLong && !Version.is_number_unsigned()) ||
        Items.size() == Limit) {
      IsValid = false;
      return;
    }
    Items.push_back(
        {.Name = Name.get<std::string>(),
         .Position = {.Era = {},
                      .Version = object_version(
                          IsLong ? 0 : Version.get<std::uint64_t>())}});
  }

  std::size_t Limit;
  std::vector<listed_object> Items;
  bool IsValid = true;
  json_stream Stream;
};

/// Passes the body of a response with status 200 to a reader.
template <typename Reader> auto sinkInto(Reader &Into) {
  return [&Into](int Status, std::string_view Part) {
    if (Status == Ok)
      Into.write(Part);
  };
}

template <typename Answer>
bool isComplete(const std::optional<Answer> &Result) {
  return Result && Result->Call.Transfer.Status == transfer_status::Complete;
}

} // namespace

std::string platform_client::objectUrl(const object_key &Key) const {
  if (!isObjectName(Key.Kind) || !isObjectName(Key.Name))
    throw object_key_error();
  return Options.Url + "/v1/objects/" + Key.Kind + "/" + Key.Name;
}

// A text that is no era says as little as none.
store_era platform_client::eraOf(const http_response &Response) const {
  const std::string Text = Response.Headers.combined(EraField);
  const auto Era = parseStoreEra(Text);
  if (!Era && !Text.empty() && !HasLoggedMalformedEra.exchange(true))
    logEvent(log_event::InputMalformed, {{"field", EraField}, {"value", Text}});
  return Era.value_or(store_era());
}

bool platform_client::recordEra(store_era Answered) const {
  store_era Known = KnownEra.load();
  while (Answered > Known)
    if (KnownEra.compare_exchange_weak(Known, Answered)) {
      if (Known != store_era())
        Options.OnRestore(Known, Answered);
      return true;
    }
  return Answered == store_era() || Answered == Known;
}

std::optional<platform_client::era_answer>
platform_client::send(client_request Request) const {
  if (!Options.TakeToken())
    return std::nullopt;
  Request.ConnectTimeout = Options.ConnectTimeout;
  Request.Timeout += Options.Timeout;
  era_answer Result{.Call = Options.Send(std::move(Request)), .Era = {}};
  transfer_result &Transfer = Result.Call.Transfer;
  if (Transfer.Status != transfer_status::Complete)
    return Result;
  Result.Era = eraOf(Result.Call.Response);
  if (!recordEra(Result.Era))
    Transfer = {.Status = transfer_status::Broken, .WasSent = true};
  return Result;
}

write_answer platform_client::write(client_request Request) const {
  // libcurl would silently repeat a write on a reused connection.
  Request.NeedsFreshConnection = true;
  Request.Timeout = std::chrono::milliseconds(0);
  const auto Result = send(std::move(Request));
  return Result ? answerOf(Result->Call, Result->Era)
                : write_answer{.Outcome = write_outcome::Unavailable};
}

write_answer platform_client::writeIf(client_request Request,
                                      const object_position &Expected) const {
  if (isEarlier(Expected.Era))
    return {.Outcome = write_outcome::VersionConflict};
  Request.Headers.add("If-Match", quoteVersion(Expected.Version));
  write_answer Answer = write(std::move(Request));
  // The version may be one that the service has given out again.
  const store_era Answered = Answer.Position.Era;
  if (Answer.Outcome == write_outcome::Stored && Expected.Era != store_era() &&
      Answered != store_era() && Answered != Expected.Era)
    Answer.Outcome = write_outcome::AnswerLost;
  return Answer;
}

read_answer platform_client::read(const object_key &Key) const {
  auto Result = send({.Url = objectUrl(Key),
                      .Headers = {},
                      .Body = {},
                      .Timeout = std::chrono::milliseconds(0),
                      .BodyLimit = ValueLimit});
  if (!isComplete(Result))
    return {};
  http_response &Response = Result->Call.Response;
  if (Response.Status == 404)
    return {.Outcome = read_outcome::Absent, .Object = {}};
  if (Response.Status != 200)
    return {};
  auto Object = objectOf(std::move(Response), Result->Era);
  if (!Object)
    return {};
  return {.Outcome = read_outcome::Found, .Object = std::move(*Object)};
}

write_answer platform_client::create(const object_key &Key,
                                     const std::string &Value) const {
  return write({.Method = "PUT",
                .Url = objectUrl(Key),
                .Headers = {{"If-None-Match", "*"}},
                .Body = Value});
}

write_answer platform_client::update(const object_key &Key,
                                     const std::string &Value,
                                     object_position Expected) const {
  return writeIf(
      {.Method = "PUT", .Url = objectUrl(Key), .Headers = {}, .Body = Value},
      Expected);
}

write_answer platform_client::remove(const object_key &Key,
                                     object_position Expected) const {
  return writeIf(
      {.Method = "DELETE", .Url = objectUrl(Key), .Headers = {}, .Body = {}},
      Expected);
}

list_answer platform_client::list(const std::string &Kind,
                                  const std::string &After,
                                  std::size_t Limit) const {
  if (!isObjectName(Kind))
    throw object_key_error();
  item_reader Into(Limit);
  // A list continues after whatever name its last page ended with.
  const auto Result = send({.Url = Options.Url + "/v1/objects/" + Kind +
                                   "?after=" + percentEncode(After) +
                                   "&limit=" + std::to_string(Limit),
                            .Headers = {},
                            .Body = {},
                            .Timeout = std::chrono::milliseconds(0),
                            .BodySink = sinkInto(Into)});
  if (!isComplete(Result) || Result->Call.Response.Status != Ok)
    return {};
  auto Items = Into.finish(Result->Era);
  if (!Items)
    return {};
  return {.Outcome = read_outcome::Found, .Objects = std::move(*Items)};
}

watch_answer platform_client::watch(const object_key &Key,
                                    object_position After,
                                    std::chrono::milliseconds Timeout) const {
  if (!isObjectName(Key.Kind) || !isObjectName(Key.Name))
    throw object_key_error();
  const object_version From =
      isEarlier(After.Era) ? object_version() : After.Version;
  auto Result =
      send({.Url = Options.Url + "/v1/watch/" + Key.Kind + "/" + Key.Name +
                   "?after=" + std::to_string(From.value()) +
                   "&timeout_ms=" + std::to_string(Timeout.count()),
            .Headers = {},
            .Body = {},
            .Timeout = Timeout,
            .BodyLimit = ValueLimit});
  if (!isComplete(Result))
    return {};
  http_response &Response = Result->Call.Response;
  if (Response.Status == 204) {
    // Nothing is known of the time before the service came back.
    const bool IsSame =
        After.Version == object_version() || After.Era == Result->Era;
    return {.Outcome =
                IsSame ? watch_outcome::Unchanged : watch_outcome::Restored,
            .Object = {}};
  }
  if (Response.Status != 200)
    return {};
  auto Object = objectOf(std::move(Response), Result->Era);
  if (!Object)
    return {};
  return {.Outcome = watch_outcome::Changed, .Object = std::move(*Object)};
}

std::optional<std::vector<host_list_entry>> platform_client::hosts() const {
  auto Answer = hostsSince({});
  if (!Answer)
    return std::nullopt;
  return std::move(Answer->Hosts);
}

std::optional<host_list_answer>
platform_client::hostsSince(const host_list_tag &Tag) const {
  constexpr int NotModified = 304;
  client_request Request;
  host_list_reader Into;
  Request.BodySink = sinkInto(Into);
  Request.Url = Options.Url + "/v1/hosts";
  Request.Timeout = std::chrono::milliseconds(0);
  const bool IsKnown = !Tag.Text.empty() && !isEarlier(Tag.Era);
  if (IsKnown)
    Request.Headers.add("If-None-Match", Tag.Text);
  const auto Result = send(std::move(Request));
  if (!isComplete(Result))
    return std::nullopt;
  const http_response &Response = Result->Call.Response;
  if (Response.Status == NotModified && IsKnown) {
    // The tag may be one that the service has given out again.
    if (Result->Era != Tag.Era)
      return hostsSince({});
    return host_list_answer{.IsUnchanged = true, .Tag = Tag, .Hosts = {}};
  }
  if (Response.Status != Ok)
    return std::nullopt;
  host_list List = Into.finish();
  return host_list_answer{
      .Tag = {.Text = Response.Headers.find("ETag").value_or(""),
              .Era = Result->Era},
      .Hosts = std::move(List.Hosts),
      .Malformed = std::move(List.Malformed)};
}

object_store platform_client::objectStore() const {
  return {
      .Read = [this](const object_key &Key) { return read(Key); },
      .Create = [this](const object_key &Key,
                       const std::string &Value) { return create(Key, Value); },
      .Update =
          [this](const object_key &Key, const std::string &Value,
                 object_position Expected) {
            return update(Key, Value, Expected);
          },
      .Remove =
          [this](const object_key &Key, object_position Expected) {
            return remove(Key, Expected);
          },
      .List = [this](const std::string &Kind, const std::string &After,
                     std::size_t Limit) { return list(Kind, After, Limit); }};
}
