#include "bw_daemon/requests/ticket_text.h"

#include <fmt/format.h>

#include <charconv>
#include <vector>

using namespace bw;

namespace {

constexpr std::size_t LongestText = 1024;

std::vector<std::string_view> splitFields(std::string_view Text) {
  std::vector<std::string_view> Fields;
  while (true) {
    const std::size_t Colon = Text.find(':');
    Fields.push_back(Text.substr(0, Colon));
    if (Colon == Text.npos)
      return Fields;
    Text.remove_prefix(Colon + 1);
  }
}

std::optional<std::uint64_t> parseHex(std::string_view Text) {
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto [Stop, Error] = std::from_chars(Text.data(), End, Value, 16);
  if (Error != std::errc() || Stop != End)
    return std::nullopt;
  return Value;
}

} // namespace

std::string bw::formatTicket(const submission_ticket &Ticket) {
  return fmt::format("t1:{}:{:x}:{:x}:{}:{}:{:x}:{:x}",
                     Ticket.Executor.Host.value(),
                     Ticket.Executor.Incarnation.value(), Ticket.Nonce.value(),
                     Ticket.Caller.value(), Ticket.Service.value(),
                     static_cast<std::uint64_t>(Ticket.Expiry.value()),
                     Ticket.Checksum.value());
}

std::optional<submission_ticket> bw::parseTicket(std::string_view Text) {
  if (Text.size() > LongestText)
    return std::nullopt;
  const auto Fields = splitFields(Text);
  if (Fields.size() != 8 || Fields[0] != "t1" || Fields[1].empty())
    return std::nullopt;
  const auto Incarnation = parseHex(Fields[2]);
  const auto Nonce = parseHex(Fields[3]);
  const auto Expiry = parseHex(Fields[6]);
  const auto Checksum = parseHex(Fields[7]);
  if (!Incarnation || !Nonce || !Expiry || !Checksum)
    return std::nullopt;
  return submission_ticket{
      {host_id(std::string(Fields[1])), incarnation_id(*Incarnation)},
      ticket_nonce(*Nonce),
      caller_id(std::string(Fields[4])),
      service_id(std::string(Fields[5])),
      sender_time(static_cast<std::int64_t>(*Expiry)),
      ticket_checksum(*Checksum)};
}

std::string bw::formatClaim(const submission_claim &Claim) {
  return fmt::format("c1:{}:{:x}:{:x}", Claim.Executor.Host.value(),
                     Claim.Executor.Incarnation.value(), Claim.Nonce.value());
}

std::optional<submission_claim> bw::parseClaim(std::string_view Text) {
  if (Text.size() > LongestText)
    return std::nullopt;
  const auto Fields = splitFields(Text);
  if (Fields.size() != 4 || Fields[0] != "c1" || Fields[1].empty())
    return std::nullopt;
  const auto Incarnation = parseHex(Fields[2]);
  const auto Nonce = parseHex(Fields[3]);
  if (!Incarnation || !Nonce)
    return std::nullopt;
  return submission_claim{
      {host_id(std::string(Fields[1])), incarnation_id(*Incarnation)},
      claim_nonce(*Nonce)};
}
