#ifndef BW_JSON_STREAM_JSON_TOKEN_CHECK_H
#define BW_JSON_STREAM_JSON_TOKEN_CHECK_H

#include <array>
#include <cstddef>
#include <cstdint>

namespace bw {

/// Checks the inside of a JSON text, byte by byte: escapes, control characters
/// and UTF-8.
class json_text_check {
public:
  void begin() { *this = {}; }
  /// Takes a byte between the quotes. Returns false if it is not valid there.
  bool next(unsigned char Byte);
  /// True between characters, where a quote ends the text.
  bool isBetweenCharacters() const {
    return !IsEscape && HexDigits == 0 && Continuations == 0;
  }
  /// True if the next byte belongs to an escape, so that a quote is no end.
  bool isEscape() const { return IsEscape; }

private:
  bool nextLead(unsigned char Byte);

  bool IsEscape = false;
  std::uint8_t HexDigits = 0;
  std::uint8_t Continuations = 0;
  /// Range of the next continuation byte.
  unsigned char Lowest = 0x80;
  unsigned char Highest = 0xBF;
};

/// Checks a JSON number or literal. Other writers' numbers of more than
/// `MaxSize` characters count as malformed.
class json_scalar_check {
public:
  static constexpr std::size_t MaxSize = 64;

  void begin() { Size = 0; }
  void next(char Character);
  bool isValid() const;

private:
  std::array<char, MaxSize> Text{};
  std::size_t Size = 0;
};

} // namespace bw

#endif
