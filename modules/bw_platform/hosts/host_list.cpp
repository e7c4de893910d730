#include "bw_platform/hosts/host_list.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cctype>
#include <set>

using namespace bw;

namespace {

// Four times the instances of the design size.
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

json_shape listShape() {
  json_shape Entry;
  for (const char *Each : {"name", "role", "service", "data_centre", "address",
                           "port", "slots", "state"})
    Entry.Members.push_back({.Name = Each});
  return {.Members = {{.Name = "hosts",
                       .Elements = {std::move(Entry)},
                       .IsStreamed = true}}};
}

} // namespace

host_list_error::host_list_error(const std::string &Reason)
    : error("host list: " + Reason) {}

host_list_reader::host_list_reader()
    : Stream({.Shape = listShape(),
              .OnElement = [this](const json_element &Element) {
                readEntry(Element);
              }}) {}

// An entry that another writer has spoilt names no host; the others hold.
void host_list_reader::readEntry(const json_element &Element) {
  const std::string Path = "hosts[" + std::to_string(Element.Index) + "]";
  try {
    if (Element.End == json_element_end::TooLong)
      throw host_list_error(Path + ": is too long");
    const auto Entry = nlohmann::json::parse(Element.Text, nullptr, false);
    if (Entry.is_discarded())
      throw host_list_error(Path + ": is not valid JSON");
    host_list_entry Host = decodeEntry(Entry, Element.Index);
    if (!Names.insert(Host.Name).second)
      throw host_list_error(Path + ".name: is given twice");
    IsTooLong |= Result.Hosts.size() == MaxEntries;
    if (!IsTooLong)
      Result.Hosts.push_back(std::move(Host));
  } catch (const host_list_error &Failure) {
    if (Result.Malformed.size() < host_list::MaxReasons)
      Result.Malformed.emplace_back(Failure.what());
  }
}

host_list host_list_reader::finish() {
  const auto Text = Stream.finish();
  const auto Root = nlohmann::json::parse(Text.value_or(""), nullptr, false);
  if (!Root.is_object() || !Root.contains("hosts") ||
      !Root.at("hosts").is_array())
    throw host_list_error("must be an object with a list 'hosts'");
  if (IsTooLong)
    throw host_list_error("has more than 40000 hosts");
  return std::move(Result);
}

host_list bw::decodeHostList(std::string_view Json) {
  host_list_reader Reader;
  Reader.write(Json);
  return Reader.finish();
}
