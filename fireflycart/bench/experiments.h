// Experiments in virtual time. Each prints a table and returns whether its
// bounds, which come from the stated targets, were kept.

#ifndef FIREFLYCART_BENCH_EXPERIMENTS_H_
#define FIREFLYCART_BENCH_EXPERIMENTS_H_

#include <cstdint>
#include <string>

namespace fireflycart {

struct ExperimentOptions {
  uint64_t seed = 1;
  int seeds = 30;
  int seconds = 6;        // Virtual length of a run of the rank experiment.
  std::string json_file;  // Empty: no JSON is written.
};

// Gap in writes at failover, refusals and unknown outcomes.
bool MeasureFailover(const ExperimentOptions& options);
// What waiting for a majority adds to a write.
bool MeasureAcknowledgement(const ExperimentOptions& options);
// Time from acceptance of a change until it is in force everywhere.
bool MeasureConfiguration(const ExperimentOptions& options);
// Service by rank under load, against baselines.
bool MeasureRanks(const ExperimentOptions& options);
// Memory, processor time and bytes by number of members, groups and sessions.
bool MeasureCapacity(const ExperimentOptions& options);

}  // namespace fireflycart

#endif  // FIREFLYCART_BENCH_EXPERIMENTS_H_
