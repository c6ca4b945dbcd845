// A latency histogram with logarithmic buckets, rendered in the Prometheus text
// format.
//
//   LatencyHistogram histogram;
//   histogram.Add(Duration::Millis(7));
//   histogram.Render("fireflycart_latency_ms", "kind=\"closure\"", &out);
//
// Limits: 32 buckets from 1 ms to about a minute. Not thread-safe.

#ifndef FIREFLYCART_DAEMON_LATENCY_HISTOGRAM_H_
#define FIREFLYCART_DAEMON_LATENCY_HISTOGRAM_H_

#include <memory>
#include <ostream>
#include <string>

#include "fireflycart/core/clock.h"

namespace fireflycart {

class LatencyHistogram {
 public:
  LatencyHistogram();
  ~LatencyHistogram();

  void Add(Duration latency);
  // Writes the cumulative buckets, the sum in milliseconds and the count.
  void Render(const std::string& name, const std::string& labels,
              std::ostream* out) const;

 private:
  struct Values;

  std::unique_ptr<Values> values_;
};

}  // namespace fireflycart

#endif  // FIREFLYCART_DAEMON_LATENCY_HISTOGRAM_H_
