#include "bw_reports/logs/refusal_text.h"

#include <fmt/format.h>

#include <map>

using namespace bw;

namespace {

struct reason_text {
  int Status;
  const char *Text;
};

const std::map<std::string, reason_text> Reasons = {
    {"no_configuration",
     {503,
      "the host knew no configuration yet, so it could check neither route "
      "nor key"}},
    {"no_route", {404, "no route of the configuration in force has the path"}},
    {"no_server", {503, "no server of the service could take it in time"}},
    {"not_executed", {503, "every server that was asked declined it"}},
    {"stopping", {503, "the host was stopping"}},
    {"overloaded", {503, "the host was at its limit"}},
    {"over_allowance", {429, "the customer has used its allowance"}},
    {"configuration_stale",
     {503, "the host could not show that its configuration is recent enough to "
           "trust the key"}},
    {"unknown", {502, "it may have run; its answer was lost"}},
    {"timeout", {504, "it may have run; its deadline passed"}},
};

const std::map<std::string, const char *> Keys = {
    {"absent", "it has no Authorization field"},
    {"present", "no customer of the configuration in force has its key"},
    {"repeated", "it has several Authorization fields"},
    {"other_scheme", "its Authorization field has another scheme than Bearer"},
    {"empty", "its key is empty or contains blanks"},
    {"too_long", "its key is longer than 512 bytes"},
};

} // namespace

std::string bw::refusalText(const log_record &Refused) {
  std::string Result;
  if (Refused.field("reason") == "unauthenticated") {
    const auto Key = Keys.find(Refused.field("key"));
    Result = fmt::format("401: {}", Key == Keys.end() ? "its key is not known"
                                                      : Key->second);
  } else {
    const auto Reason = Reasons.find(Refused.field("reason"));
    if (Reason == Reasons.end())
      return "";
    Result = fmt::format("{}: {}", Reason->second.Status, Reason->second.Text);
  }
  const std::string Customer = Refused.field("customer");
  if (!Customer.empty())
    Result += fmt::format("; customer {}", Customer);
  const std::string Version = Refused.field("version");
  if (!Version.empty() && Version != "0")
    Result += fmt::format("; configuration version {}", Version);
  return Result + ".";
}
