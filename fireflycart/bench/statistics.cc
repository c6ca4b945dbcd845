// All latencies are kept: runs are short, and exact quantiles compare best.

#include "fireflycart/bench/statistics.h"

#include <algorithm>

namespace fireflycart {

int64_t Quantile(std::vector<int64_t> values, double q) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  auto index = static_cast<size_t>(q * static_cast<double>(values.size()));
  return values[std::min(index, values.size() - 1)];
}

void KindStatistics::Count(const Answer& answer, Duration took, Duration target,
                           bool is_read) {
  switch (answer.outcome) {
    case Outcome::kDone:
      done++;
      latencies_ms.push_back(took.millis());
      if (took <= target) in_target++;
      if (is_read) reads++;
      if (is_read && answer.from_replica) replica_reads++;
      return;
    case Outcome::kNotRun:
      not_run++;
      return;
    case Outcome::kUnknown:
      unknown++;
      return;
  }
}

}  // namespace fireflycart
