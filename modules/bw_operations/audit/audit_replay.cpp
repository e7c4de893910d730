#include "bw_operations/audit/audit_replay.h"

#include "bw_operations/audit/audit_line.h"

using namespace bw;

void audit_replay::add(const schema::audit_entry &Entry) {
  const std::string Line = formatAuditLine(Entry);
  auto &Known = Lines[{Entry.host(), Entry.incarnation()}];
  const auto [Place, IsNew] = Known.emplace(Entry.sequence(), Line);
  if (!IsNew) {
    ++RepeatedCount;
    if (Place->second != Line)
      Contradictions.push_back("two entries with one sequence number: " +
                               Place->second + " | " + Line);
    return;
  }
  ++EntryCount;
  ++EventCounts[schema::audit_entry::audit_event_Name(Entry.event())];
  record_state &Record = Records[{Entry.order(), Entry.record()}];
  if (Entry.event() == schema::audit_entry::fetched)
    ++Record.FetchCount;
  if (Entry.event() == schema::audit_entry::confirmed)
    Record.Confirmations[Entry.actor()].push_back(Line);
}

void audit_replay::addFindings(audit_summary &Summary) const {
  for (const auto &[Origin, Known] : Lines) {
    std::uint64_t Expected = 1;
    for (const auto &Each : Known) {
      if (Each.first > Expected)
        Summary.Findings.push_back(
            "missing entries: host " + Origin.first + ", incarnation " +
            std::to_string(Origin.second) + ", sequence " +
            std::to_string(Expected) + " to " + std::to_string(Each.first - 1));
      Expected = Each.first + 1;
    }
  }
  for (const auto &[Name, State] : Records)
    for (const auto &[Caller, Confirmed] : State.Confirmations)
      if (Confirmed.size() > 1)
        Summary.Findings.push_back(
            "confirmed " + std::to_string(Confirmed.size()) + " times: order " +
            Name.first + ", record " + Name.second + ", caller " + Caller);
}

audit_summary audit_replay::finish() const {
  audit_summary Summary;
  Summary.EntryCount = EntryCount;
  Summary.RepeatedCount = RepeatedCount;
  Summary.EventCounts = EventCounts;
  Summary.Findings = Contradictions;
  addFindings(Summary);
  for (const auto &[Name, State] : Records) {
    if (State.FetchCount == 0 && State.Confirmations.empty())
      continue;
    std::string Line = "order " + Name.first + ", record " + Name.second +
                       ": fetched " + std::to_string(State.FetchCount) +
                       " times";
    for (const auto &[Caller, Confirmed] : State.Confirmations)
      Line += ", confirmed by " + Caller + " at " +
              Confirmed.front().substr(0, Confirmed.front().find(' '));
    Summary.Records.push_back(std::move(Line));
  }
  return Summary;
}
