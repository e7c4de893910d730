#ifndef BW_HTTP_MESSAGES_HEAD_GRAMMAR_H
#define BW_HTTP_MESSAGES_HEAD_GRAMMAR_H

#include "bw_http/messages/http_messages.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace bw {

/// What the bytes begin with.
enum class head_start : std::uint8_t {
  StatusLine,  ///< The head of a response.
  RequestLine, ///< The head of a request. Its first line is not checked.
  Fields,      ///< A trailer section.
};

enum class head_state : std::uint8_t { Incomplete, Complete, Malformed };

/// Checks the head of an HTTP/1 message against RFC 9112, byte by byte, as the
/// parsers accept more than its grammar. A single LF ends a line, too, and a
/// status line may end with the status.
class head_grammar {
public:
  explicit head_grammar(head_start Start);

  /// Takes bytes up to the end of the head or to the first one that no valid
  /// head has in this place. Returns the number of bytes taken.
  std::size_t feed(std::string_view Bytes);
  head_state state() const;
  /// True before the first byte of a head of a response.
  bool isAtStart() const { return Place == place::Version && Count == 0; }
  /// The status of the response; valid when the head is complete.
  int status() const { return Status; }

private:
  enum class place : std::uint8_t {
    Version,
    MinorVersion,
    BeforeStatus,
    Status,
    AfterStatus,
    Reason,
    BeforeRequest,
    RequestLine,
    LineStart,
    Name,
    Value,
    LineEnd,
    HeadEnd,
    Complete,
    Malformed,
  };

  place next(char Character);
  place nextInStatus(char Character);

  place Place;
  /// Number of characters of the version or of the status.
  std::uint8_t Count = 0;
  int Status = 0;
};

/// Returns why the body of a message with this head cannot be delimited without
/// doubt or decoded (RFC 9112, 6); nothing if it can.
std::optional<std::string_view> findFramingFault(const http_headers &Headers,
                                                 bool IsHttp10);

/// True for the characters of a field's value, of a reason and of a chunk
/// extension: visible ASCII, blanks, and bytes above ASCII.
bool isTextCharacter(char Character);

/// True if the text can be the value of a field.
bool isFieldValue(std::string_view Text);

/// Returns the value without the blanks around it.
std::string_view trimFieldValue(std::string_view Value);

/// True for a response that ends with its head, whatever its fields say
/// (RFC 9112, 6.3). A response to HEAD does so as well.
bool isBodilessStatus(int Status);

} // namespace bw

#endif
