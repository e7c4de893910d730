#include "bw_forward/servers/statement_reader.h"

#include <charconv>
#include <cmath>

using namespace bw;

namespace {

constexpr int ServiceUnavailable = 503;
// Larger values are taken for malformed.
constexpr double MaxRequestLimit = 1e6;
constexpr double MaxRetryAfterSeconds = 3600;

std::optional<double> numberIn(const http1_head &Head, const std::string &Name,
                               double Max) {
  const std::optional<std::string> Field = Head.Headers.find(Name);
  if (!Field)
    return std::nullopt;
  double Result = 0;
  const char *End = Field->data() + Field->size();
  const auto [Stop, Code] = std::from_chars(Field->data(), End, Result);
  if (Code != std::errc() || Stop != End || !(Result >= 0 && Result <= Max))
    return std::nullopt;
  return Result;
}

} // namespace

server_statement bw::readStatement(const http1_head &Head,
                                   const relay_headers &Names) {
  server_statement Result{
      .RequestLimit = numberIn(Head, Names.RequestLimit, MaxRequestLimit),
      .IsLeaving = Head.Headers.find(Names.Leaving) == "1",
      .RetryAfter = {}};
  if (Head.Status != ServiceUnavailable)
    return Result;
  if (const auto Seconds = numberIn(Head, "Retry-After", MaxRetryAfterSeconds))
    Result.RetryAfter = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(*Seconds));
  return Result;
}
