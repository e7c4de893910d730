#include "bw_platform/client/platform_client.h"

#include "bw_http/messages/percent_encoding.h"

#include <nlohmann/json.hpp>

#include <charconv>

using namespace bw;

namespace {

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

write_answer answerOf(const call_result &Result) {
  if (Result.Transfer.Status != transfer_status::Complete)
    return {.Outcome = Result.Transfer.WasSent ? write_outcome::AnswerLost
                                               : write_outcome::Unavailable,
            .Version = {}};
  return {.Outcome = outcomeOf(Result.Response.Status),
          .Version = versionOf(Result.Response).value_or(object_version())};
}

bool isComplete(const std::optional<call_result> &Result) {
  return Result && Result->Transfer.Status == transfer_status::Complete;
}

// An object without a version could not be updated, so it counts as no answer.
std::optional<platform_object> objectOf(http_response Response) {
  const auto Version = versionOf(Response);
  if (!Version)
    return std::nullopt;
  return platform_object{.Value = std::move(Response.Body),
                         .Version = *Version};
}

std::vector<listed_object> decodeItems(const std::string &Json) {
  const auto Items = nlohmann::json::parse(Json)
                         .at("items")
                         .get<std::vector<nlohmann::json>>();
  std::vector<listed_object> Result;
  Result.reserve(Items.size());
  for (const nlohmann::json &Item : Items)
    Result.push_back(
        {.Name = Item.at("name").get<std::string>(),
         .Version = object_version(Item.at("version").get<std::uint64_t>())});
  return Result;
}

} // namespace

std::string platform_client::objectUrl(const object_key &Key) const {
  if (!isObjectName(Key.Kind) || !isObjectName(Key.Name))
    throw object_key_error();
  return Options.Url + "/v1/objects/" + Key.Kind + "/" + Key.Name;
}

std::optional<call_result> platform_client::send(client_request Request) const {
  if (!Options.TakeToken())
    return std::nullopt;
  Request.ConnectTimeout = Options.ConnectTimeout;
  Request.Timeout += Options.Timeout;
  return Options.Send(std::move(Request));
}

write_answer platform_client::write(client_request Request) const {
  // libcurl would silently repeat a write on a reused connection.
  Request.NeedsFreshConnection = true;
  Request.Timeout = std::chrono::milliseconds(0);
  const auto Result = send(std::move(Request));
  return Result ? answerOf(*Result)
                : write_answer{.Outcome = write_outcome::Unavailable,
                               .Version = {}};
}

read_answer platform_client::read(const object_key &Key) const {
  auto Result = send({.Url = objectUrl(Key),
                      .Headers = {},
                      .Body = {},
                      .Timeout = std::chrono::milliseconds(0)});
  if (!isComplete(Result))
    return {};
  if (Result->Response.Status == 404)
    return {.Outcome = read_outcome::Absent, .Object = {}};
  if (Result->Response.Status != 200)
    return {};
  auto Object = objectOf(std::move(Result->Response));
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
                                     object_version Expected) const {
  return write({.Method = "PUT",
                .Url = objectUrl(Key),
                .Headers = {{"If-Match", quoteVersion(Expected)}},
                .Body = Value});
}

write_answer platform_client::remove(const object_key &Key,
                                     object_version Expected) const {
  return write({.Method = "DELETE",
                .Url = objectUrl(Key),
                .Headers = {{"If-Match", quoteVersion(Expected)}},
                .Body = {}});
}

list_answer platform_client::list(const std::string &Kind,
                                  const std::string &After,
                                  std::size_t Limit) const {
  if (!isObjectName(Kind))
    throw object_key_error();
  // A list continues after whatever name its last page ended with.
  const auto Result = send({.Url = Options.Url + "/v1/objects/" + Kind +
                                   "?after=" + percentEncode(After) +
                                   "&limit=" + std::to_string(Limit),
                            .Headers = {},
                            .Body = {},
                            .Timeout = std::chrono::milliseconds(0)});
  if (!isComplete(Result) || Result->Response.Status != 200)
    return {};
  try {
    return {.Outcome = read_outcome::Found,
            .Objects = decodeItems(Result->Response.Body)};
  } catch (const nlohmann::json::exception &) {
    return {};
  }
}

watch_answer platform_client::watch(const object_key &Key, object_version After,
                                    std::chrono::milliseconds Timeout) const {
  if (!isObjectName(Key.Kind) || !isObjectName(Key.Name))
    throw object_key_error();
  auto Result =
      send({.Url = Options.Url + "/v1/watch/" + Key.Kind + "/" + Key.Name +
                   "?after=" + std::to_string(After.value()) +
                   "&timeout_ms=" + std::to_string(Timeout.count()),
            .Headers = {},
            .Body = {},
            .Timeout = Timeout});
  if (!isComplete(Result))
    return {};
  if (Result->Response.Status == 204)
    return {.Outcome = watch_outcome::Unchanged, .Object = {}};
  if (Result->Response.Status != 200)
    return {};
  auto Object = objectOf(std::move(Result->Response));
  if (!Object)
    return {};
  return {.Outcome = watch_outcome::Changed, .Object = std::move(*Object)};
}

std::optional<std::vector<host_list_entry>> platform_client::hosts() const {
  auto Answer = hostsSince("");
  if (!Answer)
    return std::nullopt;
  return std::move(Answer->Hosts);
}

std::optional<host_list_answer>
platform_client::hostsSince(const std::string &Tag) const {
  constexpr int NotModified = 304;
  client_request Request;
  Request.Url = Options.Url + "/v1/hosts";
  Request.Timeout = std::chrono::milliseconds(0);
  if (!Tag.empty())
    Request.Headers.add("If-None-Match", Tag);
  const auto Result = send(std::move(Request));
  if (!isComplete(Result))
    return std::nullopt;
  const http_response &Response = Result->Response;
  if (Response.Status == NotModified && !Tag.empty())
    return host_list_answer{.IsUnchanged = true, .Tag = Tag, .Hosts = {}};
  if (Response.Status != 200)
    return std::nullopt;
  host_list List = decodeHostList(Response.Body);
  return host_list_answer{.Tag = Response.Headers.find("ETag").value_or(""),
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
                 object_version Expected) {
            return update(Key, Value, Expected);
          },
      .Remove =
          [this](const object_key &Key, object_version Expected) {
            return remove(Key, Expected);
          },
      .List = [this](const std::string &Kind, const std::string &After,
                     std::size_t Limit) { return list(Kind, After, Limit); }};
}
