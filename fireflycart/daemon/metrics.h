// Counters and latency histograms of one VM, in the usual text format.
//
//   metrics.Record(Rank(0), answer, Duration::Millis(7));
//   std::string page = metrics.Render();
//
// Limits: latencies fall into kBuckets buckets from 1 ms to about a minute.

#ifndef FIREFLYCART_DAEMON_METRICS_H_
#define FIREFLYCART_DAEMON_METRICS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "fireflycart/core/clock.h"
#include "fireflycart/core/reducer.h"
#include "fireflycart/core/request.h"

namespace fireflycart {

class Metrics {
 public:
  Metrics();
  ~Metrics();

  // One request was answered after this time. May be called from any thread.
  void Record(const KindId& kind, const Answer& answer, Duration took);
  std::string Render(const Gauges& gauges) const;

 private:
  struct Histogram;

  mutable std::mutex mutex_;
  std::map<std::string, std::unique_ptr<Histogram>> latency_by_kind_;
  std::map<std::string, uint64_t> answers_;  // By labels.
  uint64_t replica_reads_ = 0;
};

}  // namespace fireflycart

#endif  // FIREFLYCART_DAEMON_METRICS_H_
