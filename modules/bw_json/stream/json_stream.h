#ifndef BW_JSON_STREAM_JSON_STREAM_H
#define BW_JSON_STREAM_JSON_STREAM_H

#include "bw_json/stream/json_shape.h"
#include "bw_json/stream/json_token_check.h"

#include <bitset>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bw {

enum class json_element_end : std::uint8_t {
  Usable,
  Malformed, ///< Not valid JSON, or nested deeper than `json_stream::MaxDepth`.
  TooLong,   ///< The used parts are longer than the limit of the shape.
};

/// An element of a streamed list.
struct json_element {
  /// Name of the member that holds the list.
  std::string_view List;
  /// Position in the list, from 0.
  std::size_t Index = 0;
  json_element_end End = json_element_end::Usable;
  /// JSON text of the used parts; empty unless usable.
  std::string_view Text;
  /// The name as JSON text, with its quotes; empty if the element has none. The
  /// rest of a name above `json_stream::MaxName` bytes is replaced by the
  /// highest code point.
  std::string_view Name;
};

struct json_stream_options {
  json_shape Shape;
  /// Longest text of the used parts outside of all streamed lists.
  byte_count Limit = kibibytes(8);
  /// Receives the elements of streamed lists; inner ones come before the
  /// element that they are in.
  std::function<void(const json_element &)> OnElement =
      [](const json_element &) {};
};

/// Reads one JSON document that arrives in parts of any size. What it holds is
/// bounded by the limits of the shape, whatever the document contains. An
/// element that is not valid JSON is delivered as such and ends where its
/// brackets and quotes do.
class json_stream {
public:
  static constexpr std::size_t MaxDepth = 512;
  static constexpr std::size_t MaxName = 1024;

  explicit json_stream(json_stream_options Options);
  json_stream(const json_stream &) = delete;
  json_stream &operator=(const json_stream &) = delete;

  void write(std::string_view Part);

  /// Ends the document. Returns the used parts outside of streamed lists as
  /// JSON text, or nothing if they are not valid, not complete or too long.
  std::optional<std::string> finish();

  /// The name of the outermost streamed element that is open, if it has come;
  /// as in `json_element`.
  std::string_view openName() const;

private:
  enum class lexing : std::uint8_t { Between, Text, Scalar };
  enum class expected : std::uint8_t {
    Value,
    ValueOrEnd,
    Key,
    KeyOrEnd,
    Colon,
    SeparatorOrEnd,
    End,
  };
  /// An open container whose parts are used.
  struct frame {
    const json_shape *Shape;
    bool IsObject;
    bool NeedsSeparator = false;
    std::size_t Count = 0;
    /// The streamed lists that have come in this object, by position.
    std::uint32_t Lists = 0;
  };
  /// The document, or an element of a streamed list.
  struct element {
    std::string_view List;
    std::size_t Index;
    byte_count Limit;
    /// Number of open containers around it.
    std::size_t Depth;
    std::string Text = {};
    std::string Name = {};
    bool IsMalformed = false;
    bool IsTooLong = false;
  };

  const char *skipStructure(const char *At, const char *End);
  void readBetween(char Character);
  const char *readText(const char *At, const char *End);
  void readScalar(char Character);
  void openContainer(bool IsObject);
  void closeContainer(bool IsObject);
  /// Rejects a bracket that does not end the innermost container.
  void checkClosing(bool IsObject);
  void beginText();
  void endText();
  void endScalar();
  /// Starts a value. Returns its shape, or null if it is not used.
  const json_shape *beginValue();
  void endValue();
  void deliver();
  /// Marks the innermost delivered element, or the document, as malformed.
  void reject() { Elements.back().IsMalformed = true; }
  /// The same for what stands between values. Between the elements of the
  /// outermost list it delivers a malformed one instead, and returns true.
  bool rejectHere();
  void keep(std::string_view Text);
  void keepName(std::string_view Part, bool IsPlain);
  void endName();
  void takeKey();
  bool isSkipping() const { return Depth > Frames.size(); }
  bool isUsedFrame() const { return !Frames.empty() && !isSkipping(); }
  /// True if the innermost container is an object.
  bool isObject() const {
    return Depth > 0 && Depth <= MaxDepth && Objects[Depth - 1];
  }

  json_stream_options Options;
  lexing Lexing = lexing::Between;
  expected Expected = expected::Value;
  /// Number of open containers, and which of them are objects.
  std::size_t Depth = 0;
  std::bitset<MaxDepth> Objects;
  /// The used containers; they are the outermost of the open ones.
  std::vector<frame> Frames;
  std::vector<element> Elements;
  /// Shape of the value that follows a key, if it is used.
  const json_shape *Following = nullptr;
  bool IsKey = false;
  bool IsKept = false;
  bool IsName = false;
  /// Length of the name up to its last whole character.
  std::size_t WholeName = 0;
  std::string Key;
  json_text_check TextCheck;
  json_scalar_check ScalarCheck;
};

} // namespace bw

#endif
