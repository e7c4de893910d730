// Prints time and memory of the decision modules at growing fleet sizes.

#include "bw_decision_bench/bw_decision_bench.h"

#include <CLI/CLI.hpp>

#include <iostream>

int main(int ArgumentCount, char **Arguments) {
  CLI::App Program("Prints time and memory of the decision modules at growing "
                   "fleet sizes, one figure a line: name, value, unit");
  Program.set_version_flag("--version", BW_VERSION);
  bw::decision_benchmark_options Options;
  Program.add_option("--seed", Options.Seed,
                     "seed of the made-up fleet and its requests");
  Program.add_option("--steps", Options.StepsPerRun, "steps of a timed run")
      ->check(CLI::Range(1, 100'000'000));
  Program
      .add_option("--divisors", Options.Divisors,
                  "the design size is divided by each of these")
      ->check(CLI::Range(1, 1'000));
  CLI11_PARSE(Program, ArgumentCount, Arguments);
  bw::runDecisionBenchmark(Options, std::cout);
  return EXIT_SUCCESS;
}
