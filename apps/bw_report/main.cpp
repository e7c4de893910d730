// Writes the burn report of service-level objectives from metrics pages or
// logs of any number of hosts.

#include "bw_reports/bw_reports.h"

#include <CLI/CLI.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

namespace {

constexpr int UnreadableExitCode = 2;

std::ifstream open(const std::string &Name) {
  std::ifstream File(Name);
  if (!File)
    std::cerr << Name << ": cannot be read\n";
  return File;
}

bool readPages(const std::vector<std::string> &Names,
               bw::outcome_series &Series) {
  for (const std::string &Name : Names) {
    std::ifstream File = open(Name);
    if (!File)
      return false;
    std::ostringstream Text;
    Text << File.rdbuf();
    const bw::metrics_page Page = bw::parseMetrics(Text.str());
    for (const std::size_t Line : Page.BadLines)
      std::cerr << Name << ":" << Line << ": not a metric, skipped\n";
    Series.addPage(Page);
  }
  return true;
}

bool readLogs(const std::vector<std::string> &Names,
              bw::outcome_series &Series) {
  for (const std::string &Name : Names) {
    std::ifstream File = open(Name);
    if (!File)
      return false;
    Series.addLog(File);
  }
  return true;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  CLI::App Program("Burn rates of service-level objectives");
  Program.set_version_flag("--version", BW_VERSION);
  bw::burn_options Options;
  std::vector<std::string> Pages;
  std::vector<std::string> Logs;
  std::string HtmlFile;
  Program
      .add_option("--objective", Options.Objective,
                  "share of requests that shall be served")
      ->check(CLI::Range(0.5, 0.999999));
  auto *PageOption = Program.add_option(
      "--metrics", Pages, "metrics pages; those of a host in time order");
  auto *LogOption = Program.add_option("--log", Logs, "logs of daemons");
  Program.add_option("--html", HtmlFile, "also write an HTML page there");
  PageOption->excludes(LogOption);
  CLI11_PARSE(Program, ArgumentCount, Arguments);
  if (Pages.empty() && Logs.empty()) {
    std::cerr << "--metrics or --log is required\n";
    return EXIT_FAILURE;
  }
  bw::outcome_series Series;
  if (!readPages(Pages, Series) || !readLogs(Logs, Series))
    return UnreadableExitCode;
  const auto Report = bw::burnReport(Series, Options);
  std::cout << bw::burnTable(Report, Options);
  if (!HtmlFile.empty()) {
    std::ofstream Html(HtmlFile);
    Html << bw::burnPage(Series, Report, Options);
    if (!Html.flush()) {
      std::cerr << HtmlFile << ": cannot be written\n";
      return EXIT_FAILURE;
    }
  }
  return EXIT_SUCCESS;
}
