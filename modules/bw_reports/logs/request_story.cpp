#include "bw_reports/logs/request_story.h"

#include "bw_reports/logs/refusal_text.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

using namespace bw;

namespace {

// Long enough to show an ejection or a lost dependency that led to a decision.
constexpr double SecondsBefore = 10;

constexpr int RequestRefused = 1100;
constexpr int TransferAborted = 1102;
constexpr int AttemptStarted = 1104;
constexpr int AttemptFailed = 1105;
constexpr int RequestAnswered = 1106;
constexpr int CallerLeft = 1107;

bool isEarlier(const log_record &Left, const log_record &Right) {
  return Left.Time < Right.Time;
}

std::string fieldsText(const log_record &Record) {
  std::string Result;
  for (const auto &[Key, Value] : Record.Fields)
    if (Key != "request")
      Result += fmt::format(" {}={}", Key, Value);
  return Result;
}

nlohmann::json toJson(const log_record &Record) {
  return {{"time", Record.Time},
          {"host", Record.Host},
          {"event", Record.Event},
          {"name", Record.Name},
          {"fields", Record.Fields}};
}

} // namespace

void request_story::read(std::istream &Log, const std::string &FileName) {
  std::size_t Number = 0;
  for (std::string Line; std::getline(Log, Line);) {
    ++Number;
    if (Line.empty())
      continue;
    auto Record = parseLogLine(Line);
    if (!Record) {
      Unreadable.push_back({.File = FileName, .Line = Number});
      continue;
    }
    const auto Id = Record->Fields.find("request");
    if (Id == Record->Fields.end())
      Others.push_back(std::move(*Record));
    else if (Id->second == Request)
      Own.push_back(std::move(*Record));
  }
}

std::vector<log_record> request_story::steps() const {
  std::vector<log_record> Result = Own;
  std::stable_sort(Result.begin(), Result.end(), isEarlier);
  return Result;
}

std::vector<log_record> request_story::circumstances() const {
  const std::vector<log_record> Steps = steps();
  if (Steps.empty())
    return {};
  std::set<std::string> Servers;
  std::set<std::string> Hosts;
  for (const log_record &Step : Steps) {
    Servers.insert(Step.field("server"));
    Hosts.insert(Step.Host);
  }
  Servers.erase("");
  const double From = unixSeconds(Steps.front()).value_or(0) - SecondsBefore;
  const double To = unixSeconds(Steps.back()).value_or(0);
  std::vector<log_record> Result;
  for (const log_record &Each : Others) {
    const double At = unixSeconds(Each).value_or(0);
    const std::string Server = Each.field("server");
    // What other hosts believed meanwhile decided nothing here.
    const bool IsAbout = Hosts.contains(Each.Host) &&
                         (Server.empty() || Servers.contains(Server));
    if (IsAbout && At >= From && At <= To)
      Result.push_back(Each);
  }
  std::stable_sort(Result.begin(), Result.end(), isEarlier);
  return Result;
}

std::string request_story::conclusion() const {
  const std::vector<log_record> Steps = steps();
  if (Steps.empty())
    return "No log line names this request: the host lost power before it "
           "wrote, its line was dropped (see BW1006), or the request never "
           "reached a host.";
  const log_record &Last = Steps.back();
  switch (Last.Event) {
  case RequestAnswered:
    return fmt::format("Answered with the status {} of server {} after {} ms.",
                       Last.field("status"), Last.field("server"),
                       Last.field("age_ms"));
  case RequestRefused: {
    const std::string Text = refusalText(Last);
    return fmt::format("Answered by the host itself after {} ms: {}.{}{}",
                       Last.field("age_ms"), Last.field("reason"),
                       Text.empty() ? "" : "\n", Text);
  }
  case TransferAborted:
    return fmt::format("The answer of server {} broke off halfway.",
                       Last.field("server"));
  case CallerLeft:
    return fmt::format("The caller closed its connection after {} ms.",
                       Last.field("age_ms"));
  case AttemptStarted:
  case AttemptFailed:
    return fmt::format("The log of host {} ends before an answer: look there "
                       "for a stop or a restart (BW1000, BW1001).",
                       Last.Host);
  default:
    return "The last line about it is " + Last.Name + ".";
  }
}

std::string bw::storyText(const request_story &Story) {
  std::string Out;
  for (const log_record &Step : Story.steps())
    Out += fmt::format("{} {} {}{}\n", Step.Time, Step.Host, Step.Name,
                       fieldsText(Step));
  const auto Circumstances = Story.circumstances();
  if (!Circumstances.empty())
    Out += "meanwhile:\n";
  for (const log_record &Each : Circumstances)
    Out += fmt::format("  {} {} {}{}\n", Each.Time, Each.Host, Each.Name,
                       fieldsText(Each));
  return Out + Story.conclusion() + "\n";
}

std::string bw::storyJson(const request_story &Story) {
  nlohmann::json Result = {{"steps", nlohmann::json::array()},
                           {"circumstances", nlohmann::json::array()},
                           {"conclusion", Story.conclusion()},
                           {"unreadable_lines", Story.unreadable().size()}};
  for (const log_record &Step : Story.steps())
    Result["steps"].push_back(toJson(Step));
  for (const log_record &Each : Story.circumstances())
    Result["circumstances"].push_back(toJson(Each));
  return Result.dump(2) + "\n";
}
