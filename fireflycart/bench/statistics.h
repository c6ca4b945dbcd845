// Latencies and counts of one kind of work in an experiment.

#ifndef FIREFLYCART_BENCH_STATISTICS_H_
#define FIREFLYCART_BENCH_STATISTICS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "fireflycart/core/clock.h"
#include "fireflycart/core/request.h"

namespace fireflycart {

// The value below which a share q of the values lie; 0 if there are none.
int64_t Quantile(std::vector<int64_t> values, double q);

struct KindStatistics {
  int64_t offered = 0;
  int64_t done = 0;
  int64_t in_target = 0;
  int64_t not_run = 0;
  int64_t unknown = 0;
  int64_t reads = 0;
  int64_t replica_reads = 0;
  std::vector<int64_t> latencies_ms;  // Of those done.

  // offered is counted apart. target: latency that counts as in time.
  void Count(const Answer& answer, Duration took, Duration target,
             bool is_read);
};

}  // namespace fireflycart

#endif  // FIREFLYCART_BENCH_STATISTICS_H_
