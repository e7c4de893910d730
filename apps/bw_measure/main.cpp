#include "bw_measurement/runner/measurement.h"

#include <CLI/CLI.hpp>

#include <cstdlib>
#include <iostream>

int main(int ArgumentCount, char **Arguments) {
  CLI::App App("Prints figures of the decision modules, one line each: "
               "name value unit",
               "bw-measure");
  App.set_version_flag("--version", std::string("bw-measure " BW_VERSION));
  bw::measurement_options Options;
  App.add_option("--seed", Options.Seed, "Seed; the same prints the same")
      ->capture_default_str();
  App.add_option("--service", Options.Service, "Only this service");
  App.add_option("--scenario", Options.Scenario, "Only this scenario");
  App.add_option("--instance-days", Options.InstanceDays,
                 "Simulated instance-days for each service and scenario")
      ->capture_default_str()
      ->check(CLI::PositiveNumber);
  App.add_option("--requests", Options.Requests,
                 "Requests of the delivery figures")
      ->capture_default_str();
  App.add_option("--only", Options.Only,
                 "Only this measurement: detection or delivery");
  App.add_option("--threads", Options.Threads, "Threads; change no figure")
      ->capture_default_str()
      ->check(CLI::Range(1, 16));
  CLI11_PARSE(App, ArgumentCount, Arguments);
  std::cout << "seed " << Options.Seed << " count\n";
  const bw::figure_sink Sink = [](const bw::figure &Figure) {
    std::cout << bw::figureLine(Figure) << std::endl;
  };
  for (const bw::measurement &Measurement : bw::allMeasurements())
    if (Options.Only.empty() || Options.Only == Measurement.Name)
      Measurement.Run(Options, Sink);
  return EXIT_SUCCESS;
}
