#include "bw_forward/service/request_description.h"

#include "bw_forward/callers/authorization_field.h"

#include <algorithm>
#include <charconv>

using namespace bw;

namespace {

std::string_view withoutPort(std::string_view Host) {
  const std::size_t Colon = Host.rfind(':');
  return Colon == Host.npos ? Host : Host.substr(0, Colon);
}

// The time that the request has waited behind others counts.
std::optional<duration> callerTimeout(const caller_exchange &Exchange,
                                      const relay_headers &Names,
                                      time_point Now) {
  const auto Field = Exchange.Head.Headers.find(Names.Deadline);
  if (!Field)
    return std::nullopt;
  std::int64_t Milliseconds = 0;
  const auto [End, Error] = std::from_chars(
      Field->data(), Field->data() + Field->size(), Milliseconds);
  if (Error != std::errc() || Milliseconds < 0)
    return std::nullopt;
  return std::max<duration>(std::chrono::milliseconds(Milliseconds) -
                                (Now - Exchange.WaitsSince.value_or(Now)),
                            duration::zero());
}

} // namespace

request_arrived bw::describeRequest(const caller_exchange &Exchange,
                                    const relay_headers &Names,
                                    time_point Now) {
  const http1_head &Head = Exchange.Head;
  const std::string Host = Head.Headers.find("Host").value_or("");
  return {.Request = Exchange.Number,
          .Label =
              request_label(Head.Headers.find(Names.RequestLabel).value_or("")),
          .VirtualHost = std::string(withoutPort(Host)),
          .Path = Head.Target.substr(0, Head.Target.find('?')),
          .CallerTimeout = callerTimeout(Exchange, Names, Now),
          .IsReplayable = !Exchange.IsStreamed,
          .Key = readPresentedKey(Head.Headers)};
}
