#include "bw_forward/callers/caller_exchange.h"

using namespace bw;

std::size_t bw::memoryOf(const std::string &Text) {
  static const std::size_t Short = std::string().capacity();
  return Text.capacity() > Short ? Text.capacity() : 0;
}

// A field costs two texts beside its bytes.
std::size_t bw::memoryOf(const http1_head &Head) {
  std::size_t Result = Head.Target.size();
  for (const http_header &Each : Head.Headers.fields())
    Result += sizeof Each + Each.Name.size() + Each.Value.size();
  return Result;
}

std::string_view bw::reasonPhrase(int Status) {
  switch (Status) {
  case 200:
    return "OK";
  case 400:
    return "Bad Request";
  case 401:
    return "Unauthorized";
  case 404:
    return "Not Found";
  case 408:
    return "Request Timeout";
  case 413:
    return "Content Too Large";
  case 429:
    return "Too Many Requests";
  case 431:
    return "Request Header Fields Too Large";
  case 501:
    return "Not Implemented";
  case 502:
    return "Bad Gateway";
  case 503:
    return "Service Unavailable";
  case 504:
    return "Gateway Timeout";
  default:
    return "Status";
  }
}
