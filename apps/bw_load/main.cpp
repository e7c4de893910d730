// Sends an open-loop load and prints its latencies, beside a baseline; or sends
// a burst of requests at once and prints how they ended.

#include "bw_load/bw_load.h"

#include <CLI/CLI.hpp>

#include <fstream>
#include <iostream>
#include <regex>

namespace {

struct load_arguments {
  std::vector<std::string> Urls;
  std::vector<std::string> Baseline;
  std::string CredentialFile;
  std::vector<std::string> Headers;
  std::size_t Burst = 0;
  std::size_t Pipelined = 16;
  double Limit = 60;
  double Rate = 1000;
  double Seconds = 5;
};

bw::latency_report run(bw::runtime_clock &Clock,
                       const std::vector<std::string> &Urls,
                       const bw::http_headers &Headers,
                       const load_arguments &Arguments,
                       const std::string &Prefix) {
  bw::load_options Options;
  Options.Urls = Urls;
  Options.Headers = Headers;
  Options.Rate = Arguments.Rate;
  Options.Duration = std::chrono::milliseconds(
      static_cast<std::int64_t>(Arguments.Seconds * 1000));
  bw::latency_report Report = bw::runLoad(Clock, Options);
  std::cout << Report.text(Prefix, Options.Duration);
  return Report;
}

void printAdded(const bw::latency_report &Through,
                const bw::latency_report &Direct) {
  const std::pair<const char *, double> Quantiles[] = {
      {"p50", 0.5}, {"p99", 0.99}, {"p999", 0.999}};
  for (const auto &[Name, Share] : Quantiles) {
    const std::chrono::duration<double, std::milli> Added =
        Through.quantile(Share) - Direct.quantile(Share);
    std::cout << "added." << Name << "_ms " << Added.count() << " ms\n";
  }
}

bw::http_headers readHeaders(const load_arguments &Arguments) {
  bw::http_headers Result;
  if (!Arguments.CredentialFile.empty()) {
    std::ifstream File(Arguments.CredentialFile);
    std::string Credential;
    std::getline(File, Credential);
    Result.add("Authorization", "Bearer " + Credential);
  }
  for (const std::string &Each : Arguments.Headers) {
    const std::size_t Colon = Each.find(':');
    const std::size_t Value = Each.find_first_not_of(' ', Colon + 1);
    if (Colon != Each.npos && Value != Each.npos)
      Result.add(Each.substr(0, Colon), Each.substr(Value));
  }
  return Result;
}

// Sends the burst to an URL `http://IP:PORT/PATH`. Returns false if it is none,
// or if a request got neither a response nor a close.
bool sendBurst(const load_arguments &Arguments,
               const bw::http_headers &Headers) {
  static const std::regex Form("http://([0-9.]+):([0-9]{1,5})(/.*)");
  std::smatch Parts;
  const std::string &Url = Arguments.Urls.front();
  if (!std::regex_match(Url, Parts, Form)) {
    std::cerr << "a burst needs an URL http://IP:PORT/PATH\n";
    return false;
  }
  bw::burst_options Options;
  Options.Ip = Parts[1];
  Options.Port = static_cast<std::uint16_t>(std::stoul(Parts[2]));
  Options.Request = "GET " + Parts[3].str() + " HTTP/1.1\r\n";
  if (!Headers.find("Host"))
    Options.Request += "Host: " + Options.Ip + "\r\n";
  for (const bw::http_header &Each : Headers.fields())
    Options.Request += Each.Name + ": " + Each.Value + "\r\n";
  Options.Request += "\r\n";
  Options.Requests = Arguments.Burst;
  Options.RequestsPerConnection = Arguments.Pipelined;
  Options.Limit = std::chrono::milliseconds(
      static_cast<std::int64_t>(Arguments.Limit * 1000));
  const bw::burst_report Report = bw::runBurst(Options);
  std::cout << Report.text("burst");
  return Report.Overdue == 0;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  CLI::App Program("Open-loop load over HTTP");
  Program.set_version_flag("--version", BW_VERSION);
  load_arguments Given;
  Program.add_option("--url", Given.Urls, "targets, used in turn")->required();
  Program.add_option("--baseline", Given.Baseline,
                     "targets of the run to compare with, first");
  Program.add_option("--credential-file", Given.CredentialFile,
                     "file with the bearer credential");
  Program.add_option("--rate", Given.Rate, "requests a second")
      ->check(CLI::Range(0.1, 100'000.0));
  Program.add_option("--seconds", Given.Seconds, "length of each run")
      ->check(CLI::Range(0.1, 600.0));
  Program.add_option("--header", Given.Headers,
                     "further header fields, as `Name: value`");
  Program
      .add_option("--burst", Given.Burst,
                  "send this many requests at once to the first target instead")
      ->check(CLI::Range(1, 1'000'000));
  Program
      .add_option("--pipelined", Given.Pipelined,
                  "requests of a burst on each connection")
      ->check(CLI::Range(1, 1000));
  Program
      .add_option("--limit", Given.Limit,
                  "seconds after which missing responses count as overdue")
      ->check(CLI::Range(0.1, 600.0));
  CLI11_PARSE(Program, ArgumentCount, Arguments);
  const bw::http_headers Headers = readHeaders(Given);
  if (Given.Burst > 0)
    return sendBurst(Given, Headers) ? EXIT_SUCCESS : EXIT_FAILURE;
  bw::runtime_clock Clock;
  if (Given.Baseline.empty()) {
    run(Clock, Given.Urls, Headers, Given, "through");
    return EXIT_SUCCESS;
  }
  const auto Direct = run(Clock, Given.Baseline, Headers, Given, "direct");
  const auto Through = run(Clock, Given.Urls, Headers, Given, "through");
  printAdded(Through, Direct);
  return EXIT_SUCCESS;
}
