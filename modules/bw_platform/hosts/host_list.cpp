#include "bw_platform/hosts/host_list.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cctype>
#include <set>

using namespace bw;

namespace {

// Twice the instances of the design size, so that a faulty answer cannot
// exhaust the memory.
constexpr std::size_t MaxEntries = 40'000;
constexpr std::size_t MaxTextLength = 200;

class entry_reader {
public:
  entry_reader(const nlohmann::json &Entry, std::size_t Index)
      : Entry(Entry), Path("hosts[" + std::to_string(Index) + "]") {
    if (!Entry.is_object())
      throw host_list_error(Path + ": must be an object");
  }

  std::string text(const char *Field) const {
    const auto Found = Entry.find(Field);
    if (Found == Entry.end() || !Found->is_string())
      fail(Field, "must be a text");
    std::string Text = Found->get<std::string>();
    if (Text.empty() || Text.size() > MaxTextLength)
      fail(Field, "must have 1 to 200 characters");
    return Text;
  }

  // An IP address or a host name: it becomes a part of URLs.
  std::string address(const char *Field) const {
    std::string Text = text(Field);
    const bool IsAddress =
        std::all_of(Text.begin(), Text.end(), [](unsigned char Character) {
          return (Character < 0x80 && std::isalnum(Character) != 0) ||
                 Character == '.' || Character == '-';
        });
    if (!IsAddress)
      fail(Field, "must be an IP address or a host name");
    return Text;
  }

  std::uint64_t number(const char *Field, std::uint64_t Least,
                       std::uint64_t Most) const {
    const auto Found = Entry.find(Field);
    if (Found == Entry.end() || !Found->is_number_unsigned())
      fail(Field, "must be a whole number");
    const auto Number = Found->get<std::uint64_t>();
    if (Number < Least || Number > Most)
      fail(Field, "must be from " + std::to_string(Least) + " to " +
                      std::to_string(Most));
    return Number;
  }

  // True for the second of two allowed texts.
  bool choice(const char *Field, const char *First, const char *Second) const {
    const std::string Text = text(Field);
    if (Text != First && Text != Second)
      fail(Field, std::string("must be ") + First + " or " + Second);
    return Text == Second;
  }

private:
  [[noreturn]] void fail(const char *Field, const std::string &Reason) const {
    throw host_list_error(Path + "." + Field + ": " + Reason);
  }

  const nlohmann::json &Entry;
  std::string Path;
};

host_list_entry decodeEntry(const nlohmann::json &Entry, std::size_t Index) {
  const entry_reader Reader(Entry, Index);
  host_list_entry Result;
  Result.Name = Reader.text("name");
  Result.DataCentre = data_centre_id(Reader.text("data_centre"));
  Result.Address = Reader.address("address");
  Result.Port = static_cast<std::uint16_t>(Reader.number("port", 1, 65'535));
  Result.IsLeaving = Reader.choice("state", "live", "leaving");
  if (!Reader.choice("role", "host", "backend_server"))
    return Result;
  Result.Role = listed_role::BackendServer;
  Result.Service = service_id(Reader.text("service"));
  Result.Slots =
      slot_count(static_cast<std::uint32_t>(Reader.number("slots", 1, 1'024)));
  return Result;
}

// The list has three levels; a bound keeps the work on a hostile one small.
bool checkDepth(int Depth, nlohmann::json::parse_event_t Event,
                const nlohmann::json &) {
  constexpr int MaxDepth = 8;
  if (Depth <= MaxDepth)
    return true;
  if (Event == nlohmann::json::parse_event_t::array_start ||
      Event == nlohmann::json::parse_event_t::object_start)
    throw host_list_error("the list is nested too deeply");
  return true;
}

} // namespace

host_list_error::host_list_error(const std::string &Reason)
    : error("host list: " + Reason) {}

// An entry that another writer has spoilt names no host; the others hold.
host_list bw::decodeHostList(const std::string &Json) {
  const auto Root = nlohmann::json::parse(Json, checkDepth, false);
  if (!Root.is_object() || !Root.contains("hosts") ||
      !Root.at("hosts").is_array())
    throw host_list_error("must be an object with a list 'hosts'");
  const nlohmann::json &Entries = Root.at("hosts");
  if (Entries.size() > MaxEntries)
    throw host_list_error("has more than 40000 entries");
  host_list Result;
  Result.Hosts.reserve(Entries.size());
  std::set<std::string> Names;
  for (std::size_t Index = 0; Index < Entries.size(); ++Index) {
    try {
      host_list_entry Entry = decodeEntry(Entries[Index], Index);
      if (!Names.insert(Entry.Name).second)
        throw host_list_error("hosts[" + std::to_string(Index) +
                              "].name: is given twice");
      Result.Hosts.push_back(std::move(Entry));
    } catch (const host_list_error &Failure) {
      Result.Malformed.emplace_back(Failure.what());
    }
  }
  return Result;
}
