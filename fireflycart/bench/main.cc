// Experiments in virtual time.
//
//   fireflycart-bench failover|acknowledgement|configuration|ranks|capacity

#include <cstdio>
#include <map>
#include <string>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "fireflycart/bench/experiments.h"

ABSL_FLAG(uint64_t, seed, 1, "First seed.");
ABSL_FLAG(int, seeds, 30, "Number of seeds.");
ABSL_FLAG(int, seconds, 6, "ranks: virtual length of a run.");
ABSL_FLAG(std::string, json, "", "ranks: file for the results.");

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "fireflycart-bench failover|acknowledgement|configuration|ranks|"
      "capacity");
  std::vector<char*> arguments = absl::ParseCommandLine(argc, argv);
  fireflycart::ExperimentOptions options;
  options.seed = absl::GetFlag(FLAGS_seed);
  options.seeds = absl::GetFlag(FLAGS_seeds);
  options.seconds = absl::GetFlag(FLAGS_seconds);
  options.json_file = absl::GetFlag(FLAGS_json);
  using Experiment = bool (*)(const fireflycart::ExperimentOptions&);
  const std::map<std::string, Experiment> experiments = {
      {"failover", fireflycart::MeasureFailover},
      {"acknowledgement", fireflycart::MeasureAcknowledgement},
      {"configuration", fireflycart::MeasureConfiguration},
      {"ranks", fireflycart::MeasureRanks},
      {"capacity", fireflycart::MeasureCapacity}};
  auto chosen = arguments.size() == 2 ? experiments.find(arguments[1])
                                      : experiments.end();
  if (chosen == experiments.end()) {
    std::fprintf(stderr, "%s\n", absl::ProgramUsageMessage().data());
    return 2;
  }
  return chosen->second(options) ? 0 : 1;
}
