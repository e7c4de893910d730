#include "bw_kernel/settings/settings_reader.h"

#include <yaml-cpp/yaml.h>

#include <charconv>
#include <fstream>
#include <set>
#include <sstream>

using namespace bw;

struct settings_reader::state {
  std::string File;
  std::string Prefix;
  YAML::Node Mapping;
  std::set<std::string> Known;

  std::string path(const std::string &Key) const { return Prefix + Key; }

  int lineOf(const std::string &Key) const {
    if (Mapping.IsMap())
      for (const auto &Entry : Mapping)
        if (Entry.first.Scalar() == Key)
          return Entry.first.Mark().line + 1;
    return Mapping.IsDefined() ? std::max(0, Mapping.Mark().line + 1) : 0;
  }

  [[noreturn]] void fail(const std::string &Key,
                         const std::string &Reason) const {
    throw settings_error(File, lineOf(Key), path(Key), Reason);
  }

  // yaml-cpp's const look-up does not insert absent keys.
  YAML::Node get(const std::string &Key) {
    Known.insert(Key);
    const YAML::Node &Constant = Mapping;
    return Constant.IsMap() ? Constant[Key] : YAML::Node(YAML::NodeType::Null);
  }
};

namespace {

bool isAbsent(const YAML::Node &Node) {
  return !Node.IsDefined() || Node.IsNull();
}

template <typename Value>
std::optional<Value> parseWhole(const std::string &Text) {
  Value Result{};
  const char *End = Text.data() + Text.size();
  const auto [Stop, Error] = std::from_chars(Text.data(), End, Result);
  if (Error != std::errc() || Stop != End)
    return std::nullopt;
  return Result;
}

template <typename Value>
std::string describeRange(const value_range<Value> &Range) {
  std::ostringstream Out;
  Out << "must be between " << Range.Least << " and " << Range.Most;
  return Out.str();
}

} // namespace

settings_reader::settings_reader(std::unique_ptr<state> State)
    : State(std::move(State)) {}
settings_reader::settings_reader(settings_reader &&) noexcept = default;
settings_reader::~settings_reader() = default;

settings_reader settings_reader::fromFile(const std::filesystem::path &Path) {
  std::ifstream File(Path);
  if (!File)
    throw settings_error(Path.string(), 0, "(file)", "cannot be read");
  std::ostringstream Text;
  Text << File.rdbuf();
  return fromText(Text.str(), Path.string());
}

settings_reader settings_reader::fromText(const std::string &Text,
                                          const std::string &Name) {
  auto State = std::make_unique<state>();
  State->File = Name;
  try {
    State->Mapping = YAML::Load(Text);
  } catch (const YAML::Exception &Error) {
    throw settings_error(Name, Error.mark.line + 1, "(syntax)", Error.msg);
  }
  if (!State->Mapping.IsMap())
    throw settings_error(Name, 1, "(root)", "must be a mapping");
  return settings_reader(std::move(State));
}

std::optional<std::string> settings_reader::scalar(const std::string &Key,
                                                   bool IsRequired) {
  const YAML::Node Node = State->get(Key);
  if (isAbsent(Node)) {
    if (IsRequired)
      State->fail(Key, "is required");
    return std::nullopt;
  }
  if (!Node.IsScalar())
    State->fail(Key, "must be a single value");
  return Node.Scalar();
}

std::string settings_reader::text(const std::string &Key,
                                  std::optional<std::string> Default) {
  const auto Found = scalar(Key, !Default.has_value());
  return Found ? *Found : *Default;
}

std::int64_t settings_reader::integer(const std::string &Key,
                                      value_range<std::int64_t> Range,
                                      std::optional<std::int64_t> Default) {
  const auto Found = scalar(Key, !Default.has_value());
  if (!Found)
    return *Default;
  const auto Value = parseWhole<std::int64_t>(*Found);
  if (!Value)
    State->fail(Key, "must be a whole number");
  if (*Value < Range.Least || *Value > Range.Most)
    State->fail(Key, describeRange(Range));
  return *Value;
}

double settings_reader::number(const std::string &Key,
                               value_range<double> Range,
                               std::optional<double> Default) {
  const auto Found = scalar(Key, !Default.has_value());
  if (!Found)
    return *Default;
  const auto Value = parseWhole<double>(*Found);
  if (!Value)
    State->fail(Key, "must be a number");
  // Written so that a NaN is refused as well.
  if (!(*Value >= Range.Least && *Value <= Range.Most))
    State->fail(Key, describeRange(Range));
  return *Value;
}

bool settings_reader::boolean(const std::string &Key,
                              std::optional<bool> Default) {
  const auto Found = scalar(Key, !Default.has_value());
  if (!Found)
    return *Default;
  if (*Found != "true" && *Found != "false")
    State->fail(Key, "must be true or false");
  return *Found == "true";
}

std::chrono::milliseconds settings_reader::milliseconds(
    const std::string &Key, value_range<std::chrono::milliseconds> Range,
    std::optional<std::chrono::milliseconds> Default) {
  std::optional<std::int64_t> DefaultCount;
  if (Default)
    DefaultCount = Default->count();
  return std::chrono::milliseconds(
      integer(Key, {Range.Least.count(), Range.Most.count()}, DefaultCount));
}

std::vector<std::string> settings_reader::texts(const std::string &Key) {
  const YAML::Node Node = State->get(Key);
  std::vector<std::string> Result;
  if (isAbsent(Node))
    return Result;
  if (!Node.IsSequence())
    State->fail(Key, "must be a list");
  for (const auto &Entry : Node) {
    if (!Entry.IsScalar())
      State->fail(Key, "must be a list of single values");
    Result.push_back(Entry.Scalar());
  }
  return Result;
}

settings_reader settings_reader::section(const std::string &Key) {
  const YAML::Node Node = State->get(Key);
  if (!isAbsent(Node) && !Node.IsMap())
    State->fail(Key, "must be a mapping");
  auto Inner = std::make_unique<state>();
  Inner->File = State->File;
  Inner->Prefix = State->path(Key) + ".";
  Inner->Mapping = isAbsent(Node) ? YAML::Node(YAML::NodeType::Map) : Node;
  return settings_reader(std::move(Inner));
}

std::vector<settings_reader> settings_reader::sections(const std::string &Key) {
  const YAML::Node Node = State->get(Key);
  std::vector<settings_reader> Result;
  if (isAbsent(Node))
    return Result;
  if (!Node.IsSequence())
    State->fail(Key, "must be a list of mappings");
  for (std::size_t Index = 0; Index < Node.size(); ++Index) {
    if (!Node[Index].IsMap())
      State->fail(Key, "must be a list of mappings");
    auto Inner = std::make_unique<state>();
    Inner->File = State->File;
    Inner->Prefix = State->path(Key) + "[" + std::to_string(Index) + "].";
    Inner->Mapping = Node[Index];
    Result.push_back(settings_reader(std::move(Inner)));
  }
  return Result;
}

void settings_reader::fail(const std::string &Key, const std::string &Reason) {
  State->fail(Key, Reason);
}

void settings_reader::finish() const {
  std::set<std::string> Seen;
  for (const auto &Entry : State->Mapping) {
    const std::string Key = Entry.first.Scalar();
    const int Line = Entry.first.Mark().line + 1;
    if (!State->Known.contains(Key))
      throw settings_error(State->File, Line, State->path(Key),
                           "is not a known key");
    if (!Seen.insert(Key).second)
      throw settings_error(State->File, Line, State->path(Key),
                           "is given twice");
  }
}
