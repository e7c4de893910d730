#include "bw_schema/yaml/yaml_writer.h"

#include <google/protobuf/descriptor.h>
#include <google/protobuf/message.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <charconv>
#include <vector>

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using google::protobuf::Reflection;

namespace {

bool isPlain(const std::string &Text) {
  return !Text.empty() && Text != "null" && Text != "Null" && Text != "NULL" &&
         std::all_of(Text.begin(), Text.end(), [](unsigned char Character) {
           return std::isalnum(Character) != 0 || Character == '_' ||
                  Character == '.' || Character == '/';
         });
}

// Shortest text that reads back to the same number.
std::string numberText(double Number) {
  char Buffer[32];
  const auto Result = std::to_chars(Buffer, Buffer + sizeof Buffer, Number);
  return std::string(Buffer, Result.ptr);
}

class writer {
public:
  explicit writer(YAML::Emitter &Out) : Out(Out) {}

  void writeMessage(const Message &From) {
    std::vector<const FieldDescriptor *> Fields;
    From.GetReflection()->ListFields(From, &Fields);
    if (Fields.empty())
      Out << YAML::Flow;
    Out << YAML::BeginMap;
    for (const FieldDescriptor *Field : Fields) {
      Out << YAML::Key << Field->name() << YAML::Value;
      if (Field->is_repeated())
        writeList(From, *Field);
      else
        writeValue(From, *Field);
    }
    Out << YAML::EndMap;
  }

private:
  void writeList(const Message &From, const FieldDescriptor &Field) {
    const Reflection &Reflect = *From.GetReflection();
    Out << YAML::BeginSeq;
    for (int Index = 0; Index < Reflect.FieldSize(From, &Field); ++Index)
      writeElement(From, Field, Index);
    Out << YAML::EndSeq;
  }

  // The schema's lists hold messages or texts.
  void writeElement(const Message &From, const FieldDescriptor &Field,
                    int Index) {
    const Reflection &Reflect = *From.GetReflection();
    if (Field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE)
      return writeMessage(Reflect.GetRepeatedMessage(From, &Field, Index));
    writeText(Reflect.GetRepeatedString(From, &Field, Index));
  }

  void writeValue(const Message &From, const FieldDescriptor &Field) {
    const Reflection &Reflect = *From.GetReflection();
    switch (Field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_MESSAGE:
      return writeMessage(Reflect.GetMessage(From, &Field));
    case FieldDescriptor::CPPTYPE_STRING:
      return writeText(Reflect.GetString(From, &Field));
    case FieldDescriptor::CPPTYPE_BOOL:
      return write(Reflect.GetBool(From, &Field) ? "true" : "false");
    case FieldDescriptor::CPPTYPE_DOUBLE:
      return write(numberText(Reflect.GetDouble(From, &Field)));
    case FieldDescriptor::CPPTYPE_UINT32:
      return write(std::to_string(Reflect.GetUInt32(From, &Field)));
    case FieldDescriptor::CPPTYPE_ENUM:
      return write(Reflect.GetEnum(From, &Field)->name());
    default:
      return write(std::to_string(Reflect.GetUInt64(From, &Field)));
    }
  }

  void write(const std::string &Text) { Out << Text; }

  void writeText(const std::string &Text) {
    if (!isPlain(Text))
      Out << YAML::DoubleQuoted;
    Out << Text;
  }

  YAML::Emitter &Out;
};

} // namespace

std::string bw::formatYaml(const Message &From) {
  YAML::Emitter Out;
  writer(Out).writeMessage(From);
  return std::string(Out.c_str(), Out.size()) + "\n";
}
