#ifndef BW_HTTP_MESSAGES_HTTP_MESSAGES_H
#define BW_HTTP_MESSAGES_HTTP_MESSAGES_H

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bw {

struct http_header {
  std::string Name;
  std::string Value;
};

/// Header fields in their order. Names compare without regard to case.
class http_headers {
public:
  http_headers() = default;
  http_headers(std::initializer_list<http_header> Fields) : Fields(Fields) {}

  void add(std::string Name, std::string Value);
  /// Value of the first field of that name.
  std::optional<std::string> find(std::string_view Name) const;
  /// Values of all fields of that name, joined by commas as RFC 9110, 5.3 has
  /// it; empty if there is none.
  std::string combined(std::string_view Name) const;
  const std::vector<http_header> &fields() const { return Fields; }

private:
  std::vector<http_header> Fields;
};

struct http_request {
  std::string Method;
  /// Path as received, without the query.
  std::string Path;
  std::string Query;
  http_headers Headers;
  std::string Body;

  /// Value of a query parameter as received, not percent-decoded.
  std::optional<std::string> queryParameter(std::string_view Name) const;
};

struct http_response {
  int Status = 200;
  http_headers Headers;
  std::string Body;
};

/// True for equal texts without regard to ASCII case.
bool equalsIgnoringCase(std::string_view Left, std::string_view Right);

/// Hop-by-hop fields (RFC 9110, 7.6.1) and those that each hop sets anew; a
/// proxy does not pass them on.
bool isHopByHopHeader(std::string_view Name);

} // namespace bw

#endif
