// Load of many sessions that roam between entry VMs, with a check of the whole
// history: no acknowledged write lost or doubled, no "not run" request that
// ran, and each session reads its own writes.
//
//   LoadReport report = RunLoad(options);
//   if (report.violations() > 0) Fail();
//
// Limits: a closed loop; each session has one request under way. The check
// reads every list back at the end and needs a reachable primary for it.

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
  int cost_ms = 0;  // Service time; 0 leaves it to the upstream.
  int deadline_ms = 2000;
  int max_age_ms = 0;  // 0 asks for the session's own writes only.
};

struct LoadOptions {
  std::vector<std::string> entries;  // IP:PORT of the entry VMs.
  std::vector<std::string> groups;
  std::vector<LoadKind> kinds;
  int sessions = 16;
  Duration length = Duration::Seconds(10);
  Duration think_time;          // Pause of a session between two requests.
  int transaction_percent = 5;  // Of the writes.
  std::string token;
  uint64_t seed = 1;
};

struct KindReport {
  int64_t done = 0;
  int64_t not_run = 0;
  int64_t unknown = 0;
  int64_t failed = 0;  // No answer: the entry VM went away.
  int64_t from_replica = 0;
  double p50_ms = 0;
  double p99_ms = 0;
};

struct LoadReport {
  std::map<std::string, KindReport> kinds;
  std::map<std::string, int64_t> reasons;  // Of requests that were not done.
  std::map<std::string, int64_t> longest_write_gap_ms;  // By group.
  int64_t stale_reads = 0;      // A session missed its own write.
  int64_t lost_writes = 0;      // Done but not there.
  int64_t doubled_writes = 0;   // There more than once.
  int64_t phantom_writes = 0;   // "Not run" but there.
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
