// Counters and latency histograms of one VM, in the Prometheus text format.
//
//   metrics.Record(KindId("closure"), answer, Duration::Millis(7));
//   std::string page = metrics.Render(gauges);
//
// Limits: the range of latencies is that of LatencyHistogram.

#ifndef FIREFLYCART_DAEMON_METRICS_H_
#define FIREFLYCART_DAEMON_METRICS_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "fireflycart/core/clock.h"
#include "fireflycart/core/reducer.h"
#include "fireflycart/core/request.h"
#include "fireflycart/daemon/latency_histogram.h"

namespace fireflycart {

class Metrics {
 public:
  // Counts an answered request. May be called from any thread.
  void Record(const KindId& kind, const Answer& answer, Duration took);
  std::string Render(const Gauges& gauges) const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, LatencyHistogram> latency_by_kind_;  // By the label.
  std::map<std::string, uint64_t> answers_;  // By the rendered labels.
  uint64_t replica_reads_ = 0;
};

}  // namespace fireflycart

#endif  // FIREFLYCART_DAEMON_METRICS_H_
