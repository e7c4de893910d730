#include "bw_gateway_daemon/peers/exchange_verification.h"

#include "bw_gateway_daemon/peers/exchange.pb.h"

#include <chrono>
#include <limits>

using namespace bw;

namespace {

// No bound is as long, so a greater age proves nothing.
constexpr std::chrono::microseconds MaxAge = std::chrono::hours(24);

} // namespace

void bw::encodeVerification(const host_report &Report,
                            exchange::host_report &Result) {
  if (Report.Query) {
    auto *Query = Result.mutable_verify_query();
    Query->set_number(Report.Query->Number.value());
    Query->set_reply_port(Report.Query->ReplyPort);
  }
  if (!Report.Reply)
    return;
  auto *Reply = Result.mutable_verify_reply();
  Reply->set_number(Report.Reply->Number.value());
  Reply->set_version(Report.Reply->Version.value());
  // Rounded up, so that no proof seems fresher than it is.
  Reply->set_age(static_cast<std::uint64_t>(
      std::chrono::ceil<std::chrono::microseconds>(Report.Reply->Age).count()));
}

void bw::decodeVerification(const exchange::host_report &Report,
                            host_report &Result) {
  if (Report.has_verify_query()) {
    const std::uint32_t Port = Report.verify_query().reply_port();
    if (Port > 0 && Port <= std::numeric_limits<std::uint16_t>::max())
      Result.Query = {.Number = query_number(Report.verify_query().number()),
                      .ReplyPort = static_cast<std::uint16_t>(Port)};
  }
  if (!Report.has_verify_reply())
    return;
  const auto &Reply = Report.verify_reply();
  if (Reply.age() <= static_cast<std::uint64_t>(MaxAge.count()))
    Result.Reply = {.Number = query_number(Reply.number()),
                    .Version = config_version(Reply.version()),
                    .Age = std::chrono::microseconds(Reply.age())};
}
