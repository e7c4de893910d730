#include "bw_control/output/output_text.h"

#include "bw_schema/json/json_codec.h"
#include "bw_schema/yaml/yaml_writer.h"

#include <algorithm>
#include <cstdio>

using namespace bw;

namespace {

using table_rows = std::vector<std::vector<std::string>>;

std::string fixed(double Number) {
  char Text[48];
  std::snprintf(Text, sizeof Text, "%.3f", Number);
  return Text;
}

template <typename Objects>
void addNames(table_rows &Rows, const std::string &Kind, const Objects &From) {
  for (const auto &Each : From)
    Rows.push_back({Kind, Each.name()});
}

} // namespace

std::string bw::formatTable(const std::vector<std::vector<std::string>> &Rows) {
  std::vector<std::size_t> Widths;
  for (const auto &Row : Rows) {
    Widths.resize(std::max(Widths.size(), Row.size()));
    for (std::size_t Column = 0; Column < Row.size(); ++Column)
      Widths[Column] = std::max(Widths[Column], Row[Column].size());
  }
  std::string Result;
  for (const auto &Row : Rows) {
    std::string Line;
    for (std::size_t Column = 0; Column < Row.size(); ++Column) {
      Line += Row[Column];
      Line.append(Widths[Column] - Row[Column].size() + 2, ' ');
    }
    Line.erase(Line.find_last_not_of(' ') + 1);
    Result += Line + "\n";
  }
  return Result;
}

std::string bw::formatMessage(const google::protobuf::Message &Message,
                              output_format Format) {
  return Format == output_format::Yaml ? formatYaml(Message)
                                       : formatJson(Message, true);
}

std::string bw::changesText(
    const google::protobuf::RepeatedPtrField<schema::object_change> &Changes,
    std::uint32_t Count) {
  std::string Result;
  for (const schema::object_change &Change : Changes)
    Result += schema::object_change::change_action_Name(Change.action()) + " " +
              Change.kind() + " " + Change.name() + "\n";
  const auto Listed = static_cast<std::uint32_t>(Changes.size());
  if (Count > Listed)
    Result += "and " + std::to_string(Count - Listed) + " more\n";
  return Result;
}

std::string bw::configurationText(const schema::configuration &Configuration) {
  std::string Result = "version " + std::to_string(Configuration.version());
  if (!Configuration.change_id().empty())
    Result += ", change " + Configuration.change_id() + " by " +
              Configuration.applier();
  table_rows Rows = {{"KIND", "NAME"}};
  addNames(Rows, "service", Configuration.services());
  addNames(Rows, "route", Configuration.routes());
  addNames(Rows, "caller", Configuration.callers());
  addNames(Rows, "order", Configuration.orders());
  return Result + "\n" + formatTable(Rows);
}

std::string bw::statusText(const schema::status_answer &Answer) {
  std::string Result =
      "stored version " + std::to_string(Answer.stored_version()) + "\n";
  if (Answer.has_change())
    Result += "change " + Answer.change().change_id() +
              " was accepted as version " +
              std::to_string(Answer.change().version()) + "\n";
  table_rows Centres = {{"DATA CENTRE", "VERSION IN FORCE"}};
  for (const schema::data_centre_status &Each : Answer.data_centres())
    Centres.push_back(
        {Each.data_centre(), std::to_string(Each.version_in_force())});
  table_rows Hosts = {{"HOST", "DATA CENTRE", "STATE", "VERSION", "IN FLIGHT"}};
  for (const schema::host_status &Host : Answer.hosts())
    Hosts.push_back({Host.host(), Host.data_centre(), Host.state(),
                     std::to_string(Host.config_version()),
                     std::to_string(Host.in_flight())});
  return Result + formatTable(Centres) + formatTable(Hosts);
}

std::string bw::burnText(const schema::burn_report_answer &Answer) {
  table_rows Rows = {{"SERVICE", "OBJECTIVE", "TARGET", "BUDGET LEFT",
                      "WINDOW S", "BURN RATE", "GOOD", "TOTAL"}};
  for (const schema::objective_burn &Objective : Answer.objectives())
    for (const schema::window_burn &Window : Objective.windows())
      Rows.push_back({Objective.service(), Objective.objective(),
                      fixed(Objective.target()), fixed(Objective.budget_left()),
                      std::to_string(Window.window_s()),
                      fixed(Window.burn_rate()), std::to_string(Window.good()),
                      std::to_string(Window.total())});
  return formatTable(Rows);
}
