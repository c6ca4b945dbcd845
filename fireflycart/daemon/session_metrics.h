// Counters and latency histograms of a daemon that serves sessions, in the
// Prometheus text format.
//
//   metrics.Count(effect);
//   std::string page = metrics.Render(reducer.gauges(), memory.budget());
//
// Limits: not thread-safe. The range of latencies is that of LatencyHistogram.

#ifndef FIREFLYCART_DAEMON_SESSION_METRICS_H_
#define FIREFLYCART_DAEMON_SESSION_METRICS_H_

#include <cstdint>
#include <map>
#include <string>

#include "fireflycart/core/admission/memory_budget.h"
#include "fireflycart/core/proxy/proxy_reducer.h"
#include "fireflycart/daemon/latency_histogram.h"

namespace fireflycart {

class SessionMetrics {
 public:
  // Counts a statement that ended at the owner of its group.
  void Count(const proxy::CountStatement& effect);
  void CountStoreCall() { store_calls_++; }
  void CountRecord(const proxy::WriteRecord& record);

  std::string Render(const proxy::ProxyGauges& gauges,
                     const MemoryBudget& memory) const;

 private:
  std::map<std::string, uint64_t> statements_;  // By the rendered labels.
  std::map<std::string, LatencyHistogram> latency_;
  std::map<std::string, uint64_t> events_;
  uint64_t store_calls_ = 0;
};

}  // namespace fireflycart

#endif  // FIREFLYCART_DAEMON_SESSION_METRICS_H_
