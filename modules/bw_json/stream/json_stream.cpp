#include "bw_json/stream/json_stream.h"

#include <algorithm>
#include <array>
#include <utility>

using namespace bw;

namespace {

// Longer names of members are not used by any shape.
constexpr std::size_t MaxKey = 64;
constexpr std::string_view HighestCodePoint = "\xF4\x8F\xBF\xBF";

bool isBlank(char Character) {
  return Character == ' ' || Character == '\t' || Character == '\r' ||
         Character == '\n';
}

/// A set of bytes, tested by one access.
class byte_set {
public:
  template <typename Predicate>
  constexpr explicit byte_set(const Predicate &Has) : Bytes() {
    for (std::size_t Byte = 0; Byte < Bytes.size(); ++Byte)
      Bytes[Byte] = Has(static_cast<unsigned char>(Byte));
  }
  bool has(char Character) const {
    return Bytes[static_cast<unsigned char>(Character)];
  }

private:
  std::array<bool, 256> Bytes;
};

constexpr byte_set ScalarEnds([](unsigned char Byte) {
  return std::string_view(" \t\r\n,:[]{}\"").find(static_cast<char>(Byte)) !=
         std::string_view::npos;
});

// Bytes of a text that are characters and need no check.
constexpr byte_set PlainBytes([](unsigned char Byte) {
  return Byte >= 0x20 && Byte < 0x80 && Byte != '"' && Byte != '\\';
});

} // namespace

json_stream::json_stream(json_stream_options GivenOptions)
    : Options(std::move(GivenOptions)) {
  Elements.push_back(
      {.List = {}, .Index = 0, .Limit = Options.Limit, .Depth = 0});
}

void json_stream::write(std::string_view Part) {
  const char *At = Part.data();
  const char *const End = At + Part.size();
  while (At != End) {
    switch (Lexing) {
    case lexing::Text:
      At = readText(At, End);
      break;
    case lexing::Scalar:
      if (ScalarEnds.has(*At)) {
        endScalar();
        break;
      }
      readScalar(*At++);
      break;
    case lexing::Between:
      if (isSkipping())
        At = skipStructure(At, End);
      if (At != End)
        readBetween(*At++);
      break;
    }
  }
}

std::optional<std::string> json_stream::finish() {
  if (Lexing == lexing::Scalar)
    endScalar();
  element &Document = Elements.front();
  const bool IsWhole = Lexing == lexing::Between && Depth == 0 &&
                       Elements.size() == 1 && Expected == expected::End;
  if (!IsWhole || Document.IsMalformed || Document.IsTooLong)
    return std::nullopt;
  return std::move(Document.Text);
}

std::string_view json_stream::openName() const {
  return Elements.size() > 1 && !IsName ? std::string_view(Elements[1].Name)
                                        : std::string_view();
}

// Reads brackets and separators in what is not used. Stops before a text or a
// scalar, and before the end of the outermost unused container.
const char *json_stream::skipStructure(const char *At, const char *End) {
  for (; At != End; ++At) {
    const char Character = *At;
    switch (Character) {
    case '{':
    case '[': {
      const bool IsObject = Character == '{';
      if (Expected != expected::Value && Expected != expected::ValueOrEnd)
        reject();
      if (Depth < MaxDepth)
        Objects[Depth] = IsObject;
      else
        reject();
      ++Depth;
      Expected = IsObject ? expected::KeyOrEnd : expected::ValueOrEnd;
      break;
    }
    case '}':
    case ']':
      if (Depth == Frames.size() + 1)
        return At;
      checkClosing(Character == '}');
      --Depth;
      Expected = expected::SeparatorOrEnd;
      break;
    case ',':
      if (Expected != expected::SeparatorOrEnd)
        reject();
      Expected = isObject() ? expected::Key : expected::Value;
      break;
    case ' ':
    case '\t':
    case '\r':
    case '\n':
      break;
    default:
      return At;
    }
  }
  return At;
}

void json_stream::checkClosing(bool IsObject) {
  const bool IsComplete =
      Expected == expected::SeparatorOrEnd ||
      Expected == (IsObject ? expected::KeyOrEnd : expected::ValueOrEnd);
  if (!IsComplete || (Depth <= MaxDepth && isObject() != IsObject))
    reject();
}

void json_stream::readBetween(char Character) {
  if (isBlank(Character))
    return;
  switch (Character) {
  case '"':
    beginText();
    return;
  case '{':
  case '[':
    openContainer(Character == '{');
    return;
  case '}':
  case ']':
    closeContainer(Character == '}');
    return;
  case ',':
    if (Expected != expected::SeparatorOrEnd || Depth == 0)
      rejectHere();
    Expected = isObject() ? expected::Key : expected::Value;
    Following = nullptr;
    return;
  case ':':
    if (Expected == expected::Colon || !rejectHere())
      Expected = expected::Value;
    else
      Expected = expected::SeparatorOrEnd;
    return;
  default:
    break;
  }
  const json_shape *Shape = beginValue();
  IsKept = Shape != nullptr;
  Lexing = lexing::Scalar;
  ScalarCheck.begin();
  readScalar(Character);
}

void json_stream::readScalar(char Character) {
  ScalarCheck.next(Character);
  if (IsKept)
    keep({&Character, 1});
}

void json_stream::endScalar() {
  if (!ScalarCheck.isValid())
    reject();
  Lexing = lexing::Between;
  endValue();
}

void json_stream::beginText() {
  IsKey = isObject() &&
          (Expected == expected::Key || Expected == expected::KeyOrEnd);
  IsKept = false;
  IsName = false;
  Lexing = lexing::Text;
  TextCheck.begin();
  if (IsKey) {
    Key.clear();
    return;
  }
  const json_shape *Shape = beginValue();
  IsKept = Shape != nullptr;
  IsName = IsKept && Shape->IsName;
  if (IsName) {
    Elements.back().Name = '"';
    WholeName = 1;
  }
  if (IsKept)
    keep("\"");
}

// Most bytes of most texts need no check of their own.
const char *json_stream::readText(const char *At, const char *End) {
  const char *const Start = At;
  if (TextCheck.isBetweenCharacters())
    while (At != End && PlainBytes.has(*At))
      ++At;
  const bool IsRun = At != Start;
  if (!IsRun) {
    const char Character = *At++;
    if (Character == '"' && !TextCheck.isEscape()) {
      if (!TextCheck.isBetweenCharacters())
        reject();
      endText();
      return At;
    }
    if (!TextCheck.next(static_cast<unsigned char>(Character)))
      reject();
  }
  const std::string_view Read(Start, static_cast<std::size_t>(At - Start));
  if (IsKey && Key.size() <= MaxKey)
    Key += Read.substr(0, MaxKey + 1 - Key.size());
  if (IsKept)
    keep(Read);
  if (IsName)
    keepName(Read, IsRun);
  return At;
}

void json_stream::endText() {
  Lexing = lexing::Between;
  if (IsKey) {
    IsKey = false;
    takeKey();
    return;
  }
  if (IsKept)
    keep("\"");
  if (IsName)
    endName();
  endValue();
}

void json_stream::takeKey() {
  Expected = expected::Colon;
  Following = nullptr;
  if (!isUsedFrame())
    return;
  frame &Frame = Frames.back();
  const auto &Members = Frame.Shape->Members;
  const auto Found =
      std::find_if(Members.begin(), Members.end(),
                   [&](const json_shape &Each) { return Each.Name == Key; });
  if (Found == Members.end())
    return;
  Following = &*Found;
  if (!Found->IsStreamed)
    return;
  // The elements of the first list have been delivered already.
  const std::uint32_t Bit = std::uint32_t(1) << (Found - Members.begin());
  if ((Frame.Lists & Bit) != 0)
    reject();
  Frame.Lists |= Bit;
}

const json_shape *json_stream::beginValue() {
  const bool IsAllowed =
      Expected == expected::Value || Expected == expected::ValueOrEnd;
  if (!IsAllowed)
    rejectHere();
  Expected = expected::SeparatorOrEnd;
  if (isSkipping())
    return nullptr;
  if (Frames.empty())
    return IsAllowed ? &Options.Shape : nullptr;
  frame &Frame = Frames.back();
  if (Frame.IsObject) {
    const json_shape *Shape = std::exchange(Following, nullptr);
    if (Shape != nullptr)
      keep((Frame.NeedsSeparator ? ",\"" : "\"") + Shape->Name + "\":");
    Frame.NeedsSeparator |= Shape != nullptr;
    return Shape;
  }
  const json_shape *Shape = &Frame.Shape->Elements.front();
  if (Frame.Shape->IsStreamed) {
    Elements.push_back({.List = Frame.Shape->Name,
                        .Index = Frame.Count++,
                        .Limit = Shape->ElementLimit,
                        .Depth = Depth,
                        .IsMalformed = !IsAllowed});
    return Shape;
  }
  if (Frame.NeedsSeparator)
    keep(",");
  Frame.NeedsSeparator = true;
  return Shape;
}

void json_stream::endValue() {
  IsKept = false;
  if (Depth == 0)
    Expected = expected::End;
  if (Elements.size() > 1 && Elements.back().Depth == Depth)
    deliver();
}

void json_stream::deliver() {
  element Whole = std::move(Elements.back());
  Elements.pop_back();
  json_element Delivered{.List = Whole.List, .Index = Whole.Index};
  Delivered.Name = Whole.Name;
  if (Whole.IsMalformed)
    Delivered.End = json_element_end::Malformed;
  else if (Whole.IsTooLong)
    Delivered.End = json_element_end::TooLong;
  else
    Delivered.Text = Whole.Text;
  // The document holds, whatever its elements are.
  if (Whole.IsMalformed && Elements.size() > 1)
    reject();
  Options.OnElement(Delivered);
}

void json_stream::openContainer(bool IsObject) {
  const json_shape *Shape = beginValue();
  if (Depth < MaxDepth)
    Objects[Depth] = IsObject;
  else
    reject();
  const bool IsUsed = Shape != nullptr && (IsObject ? !Shape->Members.empty()
                                                    : !Shape->Elements.empty());
  // A container of another type is kept as an empty one.
  if (Shape != nullptr)
    keep(IsUsed ? (IsObject ? "{" : "[") : (IsObject ? "{}" : "[]"));
  if (IsUsed)
    Frames.push_back({.Shape = Shape, .IsObject = IsObject});
  ++Depth;
  Expected = IsObject ? expected::KeyOrEnd : expected::ValueOrEnd;
}

void json_stream::closeContainer(bool IsObject) {
  if (Depth == 0) {
    reject();
    return;
  }
  checkClosing(IsObject);
  if (!isSkipping()) {
    keep(Frames.back().IsObject ? "}" : "]");
    Frames.pop_back();
  }
  --Depth;
  Following = nullptr;
  Expected = expected::SeparatorOrEnd;
  endValue();
}

void json_stream::keep(std::string_view Text) {
  element &Element = Elements.back();
  if (Element.IsTooLong)
    return;
  if (Element.Text.size() + Text.size() <= Element.Limit.value()) {
    Element.Text += Text;
    return;
  }
  Element.IsTooLong = true;
  Element.Text = std::string();
}

// Plain: each byte is a character. The name begins with its quote.
void json_stream::keepName(std::string_view Part, bool IsPlain) {
  constexpr std::size_t MaxSize = MaxName + 1;
  std::string &Name = Elements.back().Name;
  if (Name.size() > MaxSize)
    return;
  Name += Part.substr(0, MaxSize + 1 - Name.size());
  if (IsPlain)
    WholeName = std::min(Name.size(), MaxSize);
  else if (TextCheck.isBetweenCharacters() && Name.size() <= MaxSize)
    WholeName = Name.size();
}

// The code point sorts behind all names that begin like this one.
void json_stream::endName() {
  std::string &Name = Elements.back().Name;
  if (Name.size() > MaxName + 1) {
    Name.resize(WholeName);
    Name += HighestCodePoint;
  }
  Name += '"';
  IsName = false;
}

// What stands between the elements of the outermost list, other than single
// separators, counts as an element that is not valid.
bool json_stream::rejectHere() {
  const bool IsBetweenElements =
      Elements.size() == 1 && isUsedFrame() && Frames.back().Shape->IsStreamed;
  if (!IsBetweenElements) {
    reject();
    return false;
  }
  Options.OnElement({.List = Frames.back().Shape->Name,
                     .Index = Frames.back().Count++,
                     .End = json_element_end::Malformed});
  return true;
}
