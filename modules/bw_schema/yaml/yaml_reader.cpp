#include "bw_schema/yaml/yaml_reader.h"

#include "bw_schema/errors/declaration_error.h"

#include <google/protobuf/descriptor.h>
#include <google/protobuf/message.h>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>
#include <set>
#include <sstream>

using namespace bw;
using google::protobuf::EnumValueDescriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using google::protobuf::Reflection;

namespace {

int lineOf(const YAML::Node &Node) { return Node.Mark().line + 1; }

template <typename Value>
std::optional<Value> parseWhole(const std::string &Text) {
  Value Result{};
  const char *End = Text.data() + Text.size();
  const auto [Stop, Error] = std::from_chars(Text.data(), End, Result);
  if (Error != std::errc() || Stop != End)
    return std::nullopt;
  return Result;
}

// Length of the UTF-8 sequence that a byte starts; 0 when it starts none.
std::size_t sequenceLength(unsigned char First) {
  if (First < 0x80)
    return 1;
  if (First >= 0xc2 && First < 0xe0)
    return 2;
  if (First >= 0xe0 && First < 0xf0)
    return 3;
  return First >= 0xf0 && First < 0xf5 ? 4 : 0;
}

// Protobuf refuses to write JSON from text that is not valid UTF-8.
bool isUtf8(std::string_view Text) {
  for (std::size_t Index = 0; Index < Text.size();) {
    const std::size_t Length =
        sequenceLength(static_cast<unsigned char>(Text[Index]));
    if (Length == 0 || Length > Text.size() - Index)
      return false;
    for (std::size_t Offset = 1; Offset < Length; ++Offset)
      if ((static_cast<unsigned char>(Text[Index + Offset]) & 0xc0) != 0x80)
        return false;
    Index += Length;
  }
  return true;
}

// A field of a message that is being filled.
struct target_field {
  Message &Into;
  const FieldDescriptor &Field;

  bool isRepeated() const { return Field.is_repeated(); }
  const Reflection &reflection() const { return *Into.GetReflection(); }

  void set(std::uint32_t Value) const {
    isRepeated() ? reflection().AddUInt32(&Into, &Field, Value)
                 : reflection().SetUInt32(&Into, &Field, Value);
  }
  void set(std::uint64_t Value) const {
    isRepeated() ? reflection().AddUInt64(&Into, &Field, Value)
                 : reflection().SetUInt64(&Into, &Field, Value);
  }
  void set(double Value) const {
    isRepeated() ? reflection().AddDouble(&Into, &Field, Value)
                 : reflection().SetDouble(&Into, &Field, Value);
  }
  void set(bool Value) const {
    isRepeated() ? reflection().AddBool(&Into, &Field, Value)
                 : reflection().SetBool(&Into, &Field, Value);
  }
  void set(const std::string &Value) const {
    isRepeated() ? reflection().AddString(&Into, &Field, Value)
                 : reflection().SetString(&Into, &Field, Value);
  }
  void set(const EnumValueDescriptor *Value) const {
    isRepeated() ? reflection().AddEnum(&Into, &Field, Value)
                 : reflection().SetEnum(&Into, &Field, Value);
  }
  Message &child() const {
    return isRepeated() ? *reflection().AddMessage(&Into, &Field)
                        : *reflection().MutableMessage(&Into, &Field);
  }
};

class reader {
public:
  reader(const std::string &Name, field_locations &Locations,
         std::size_t TextSize)
      : Name(Name), Locations(Locations),
        MaxValues(std::min(MaxYamlValues, TextSize)) {}

  void readMapping(const YAML::Node &Node, Message &Into,
                   const std::string &Prefix) {
    std::set<std::string> Seen;
    for (const auto &Entry : Node) {
      if (!countValue(Entry.first))
        return;
      readEntry(Entry.first, Entry.second, Into, Prefix, Seen);
    }
  }

  void addFault(int Line, const std::string &Field, const std::string &Reason) {
    if (Faults.size() < MaxListedFaults)
      Faults.push_back(
          {.File = Name, .Line = Line, .Field = Field, .Reason = Reason});
  }

  std::vector<field_fault> takeFaults() { return std::move(Faults); }

private:
  bool countValue(const YAML::Node &Node) {
    if (++ValueCount <= MaxValues)
      return true;
    if (ValueCount == MaxValues + 1)
      addFault(lineOf(Node), "(syntax)",
               "there are more than " + std::to_string(MaxValues) + " values");
    return false;
  }

  void readEntry(const YAML::Node &Key, const YAML::Node &Value, Message &Into,
                 const std::string &Prefix, std::set<std::string> &Seen) {
    if (!Key.IsScalar())
      return addFault(lineOf(Key), Prefix + "(key)", "must be a field's name");
    const std::string Path = Prefix + printable(Key.Scalar());
    const FieldDescriptor *Field =
        Into.GetDescriptor()->FindFieldByName(Key.Scalar());
    if (Field == nullptr)
      return addFault(lineOf(Key), Path, "is not a known field");
    if (!Seen.insert(Key.Scalar()).second)
      return addFault(lineOf(Key), Path, "is given twice");
    Locations.add(Path, {.File = Name, .Line = lineOf(Key), .Field = Path});
    const target_field Target{.Into = Into, .Field = *Field};
    if (Field->is_repeated())
      readList(Value, Target, Path);
    else
      readValue(Value, Target, Path);
  }

  // yaml-cpp places an empty value at the token that follows it.
  int lineOfValue(const YAML::Node &Node, const std::string &Path) const {
    return Node.IsNull() ? Locations.find(Path)->Line : lineOf(Node);
  }

  void readList(const YAML::Node &Node, const target_field &Target,
                const std::string &Path) {
    if (!Node.IsSequence())
      return addFault(lineOfValue(Node, Path), Path, "must be a list");
    std::size_t Index = 0;
    for (const YAML::Node &Element : Node) {
      if (!countValue(Element))
        return;
      const std::string ElementPath = Path + "[" + std::to_string(Index) + "]";
      Locations.add(
          ElementPath,
          {.File = Name, .Line = lineOf(Element), .Field = ElementPath});
      readValue(Element, Target, ElementPath);
      ++Index;
    }
  }

  void readValue(const YAML::Node &Node, const target_field &Target,
                 const std::string &Path) {
    if (Target.Field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE) {
      if (!Node.IsMap())
        return addFault(lineOfValue(Node, Path), Path, "must be a mapping");
      return readMapping(Node, Target.child(), Path + ".");
    }
    if (Node.IsNull())
      return addFault(lineOfValue(Node, Path), Path, "has no value");
    if (!Node.IsScalar())
      return addFault(lineOfValue(Node, Path), Path, "must be a single value");
    if (const char *Expected = readScalar(Node.Scalar(), Target))
      addFault(lineOfValue(Node, Path), Path,
               std::string("must be ") + Expected + ", not '" +
                   printable(Node.Scalar()) + "'");
  }

  // Returns what was expected when the text does not fit the field.
  static const char *readScalar(const std::string &Text,
                                const target_field &Target) {
    switch (Target.Field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_STRING:
      return readText(Text, Target);
    case FieldDescriptor::CPPTYPE_BOOL:
      return readBoolean(Text, Target);
    case FieldDescriptor::CPPTYPE_DOUBLE:
      return readNumber(Text, Target);
    case FieldDescriptor::CPPTYPE_UINT32:
      return readInteger<std::uint32_t>(Text, Target);
    case FieldDescriptor::CPPTYPE_UINT64:
      return readInteger<std::uint64_t>(Text, Target);
    case FieldDescriptor::CPPTYPE_ENUM:
      return readChoice(Text, Target);
    default:
      return "of a type that the schema does not use";
    }
  }

  static const char *readText(const std::string &Text,
                              const target_field &Target) {
    if (!isUtf8(Text))
      return "valid UTF-8";
    Target.set(Text);
    return nullptr;
  }

  static const char *readBoolean(const std::string &Text,
                                 const target_field &Target) {
    if (Text != "true" && Text != "false")
      return "true or false";
    Target.set(Text == "true");
    return nullptr;
  }

  static const char *readNumber(const std::string &Text,
                                const target_field &Target) {
    const auto Value = parseWhole<double>(Text);
    if (!Value || !std::isfinite(*Value))
      return "a number";
    Target.set(*Value);
    return nullptr;
  }

  template <typename Integer>
  static const char *readInteger(const std::string &Text,
                                 const target_field &Target) {
    const auto Value = parseWhole<Integer>(Text);
    if (!Value)
      return sizeof(Integer) == 4 ? "a whole number from 0 to 4294967295"
                                  : "a whole number of at least 0";
    Target.set(*Value);
    return nullptr;
  }

  // Value 0 of each enumeration means that it was not given.
  static const char *readChoice(const std::string &Text,
                                const target_field &Target) {
    const EnumValueDescriptor *Value =
        Target.Field.enum_type()->FindValueByName(Text);
    if (Value == nullptr || Value->number() == 0)
      return "one of the field's choices";
    Target.set(Value);
    return nullptr;
  }

  const std::string &Name;
  field_locations &Locations;
  const std::size_t MaxValues;
  std::size_t ValueCount = 0;
  std::vector<field_fault> Faults;
};

// yaml-cpp 0.7 takes a quoted value that the end of the text cuts off as whole
// when white space comes last, and reports it otherwise.
std::string withoutTrailingSpace(const std::string &Text) {
  return Text.substr(0, Text.find_last_not_of(" \t\r\n") + 1);
}

// Remembers where a document starts.
class document_finder : public YAML::EventHandler {
public:
  void OnDocumentStart(const YAML::Mark &Mark) override {
    Line = Mark.line + 1;
  }
  void OnDocumentEnd() override {}
  void OnNull(const YAML::Mark &, YAML::anchor_t) override {}
  void OnAlias(const YAML::Mark &, YAML::anchor_t) override {}
  void OnScalar(const YAML::Mark &, const std::string &, YAML::anchor_t,
                const std::string &) override {}
  void OnSequenceStart(const YAML::Mark &, const std::string &, YAML::anchor_t,
                       YAML::EmitterStyle::value) override {}
  void OnSequenceEnd() override {}
  void OnMapStart(const YAML::Mark &, const std::string &, YAML::anchor_t,
                  YAML::EmitterStyle::value) override {}
  void OnMapEnd() override {}

  int line() const { return Line; }

private:
  int Line = 0;
};

// Line of a second document; 0 when there is none. LoadAll of yaml-cpp 0.7
// cannot be used for that: on some malformed texts it finds one empty document
// after the other without end.
int secondDocumentLine(const std::string &Text) {
  std::istringstream Stream(Text);
  YAML::Parser Parser(Stream);
  document_finder Finder;
  if (!Parser.HandleNextDocument(Finder) || !Parser.HandleNextDocument(Finder))
    return 0;
  return Finder.line();
}

YAML::Node loadDocument(const std::string &Text, reader &Reader) {
  const std::string Trimmed = withoutTrailingSpace(Text);
  try {
    if (const int Line = secondDocumentLine(Trimmed)) {
      Reader.addFault(Line, "(syntax)", "there is more than one document");
      return {};
    }
    return YAML::Load(Trimmed);
  } catch (const YAML::Exception &Error) {
    Reader.addFault(Error.mark.line + 1, "(syntax)", printable(Error.msg));
    return {};
  }
}

} // namespace

void bw::parseYaml(const std::string &Text, const std::string &Name,
                   Message &Into, field_locations &Locations) {
  field_locations Found;
  reader Reader(Name, Found, Text.size());
  if (Text.size() > MaxYamlBytes) {
    Reader.addFault(0, "(file)", "is larger than 32 MiB");
  } else {
    const YAML::Node Root = loadDocument(Text, Reader);
    // An empty file declares nothing.
    if (Root.IsMap())
      Reader.readMapping(Root, Into, "");
    else if (!Root.IsNull())
      Reader.addFault(lineOf(Root), "(root)", "must be a mapping");
  }
  std::vector<field_fault> Faults = Reader.takeFaults();
  if (!Faults.empty()) {
    Into.Clear();
    throw declaration_error(std::move(Faults));
  }
  for (const auto &[Path, Location] : Found.all())
    Locations.add(Path, Location);
}
