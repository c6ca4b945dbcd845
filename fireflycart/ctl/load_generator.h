// Load generator with many sessions that send each request to a random entry
// VM. It checks the whole history: no acknowledged write is lost or applied
// twice, no write reported as "not run" was applied, and each session reads its
// own writes.
//
//   LoadReport report = RunLoad(options);
//   if (report.violations() > 0) Fail();
//
// Limits: the load is a closed loop; each session has at most one request in
// flight. The check reads every list back at the end, which requires a
// reachable primary.

#ifndef FIREFLYCART_CTL_LOAD_GENERATOR_H_
#define FIREFLYCART_CTL_LOAD_GENERATOR_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fireflycart/core/clock.h"

namespace fireflycart {

struct LoadKind {
  std::string name;
  int weight = 1;
  bool writes = false;
  int cost_ms = 0;  // Service time; 0 for the upstream's default.
  int deadline_ms = 2000;
  int max_age_ms = 0;  // 0: reads guarantee the session's own writes only.
};

struct LoadOptions {
  std::vector<std::string> entry_vms;  // IP:PORT of the entry VMs.
  std::vector<std::string> groups;
  std::vector<LoadKind> kinds;
  int sessions = 16;
  Duration duration = Duration::Seconds(10);
  Duration think_time;          // Pause of a session between two requests.
  int transaction_percent = 5;  // Of the writes.
  std::string token;
  uint64_t seed = 1;
};

struct KindReport {
  int64_t done = 0;
  int64_t not_run = 0;
  int64_t unknown = 0;
  int64_t failed = 0;  // The entry VM did not answer.
  int64_t from_replica = 0;
  double p50_ms = 0;
  double p99_ms = 0;
};

struct LoadReport {
  std::map<std::string, KindReport> kinds;
  std::map<std::string, int64_t> reasons;  // Of requests that were not done.
  std::map<std::string, int64_t> longest_write_gap_ms;  // By group.
  int64_t stale_reads = 0;      // A session did not read its own write.
  int64_t lost_writes = 0;      // Acknowledged but not in the list.
  int64_t doubled_writes = 0;   // In the list more than once.
  int64_t phantom_writes = 0;   // Reported as not run but in the list.
  int64_t unchecked_lists = 0;  // Could not be read back.

  int64_t violations() const {
    return stale_reads + lost_writes + doubled_writes + phantom_writes +
           unchecked_lists;
  }
  std::string ToJson() const;
  std::string ToText() const;
};

LoadReport RunLoad(const LoadOptions& options);

}  // namespace fireflycart

#endif  // FIREFLYCART_CTL_LOAD_GENERATOR_H_
