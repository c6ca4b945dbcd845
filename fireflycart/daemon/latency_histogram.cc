// A Boost.Histogram with a logarithmic axis. The text format requires
// cumulative buckets, which are summed up when rendering.

#include "fireflycart/daemon/latency_histogram.h"

#include <boost/histogram.hpp>

namespace fireflycart {
namespace {

namespace bh = boost::histogram;
using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;

constexpr unsigned kBucketCount = 32;
constexpr double kMinLatencyMs = 1;
constexpr double kMaxLatencyMs = 65536;

}  // namespace

struct LatencyHistogram::Values {
  decltype(bh::make_histogram(LogAxis())) counts =
      bh::make_histogram(LogAxis(kBucketCount, kMinLatencyMs, kMaxLatencyMs));
  double sum_ms = 0;
  uint64_t count = 0;
};

LatencyHistogram::LatencyHistogram() : values_(std::make_unique<Values>()) {}
LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::Add(Duration latency) {
  double ms = static_cast<double>(latency.millis());
  values_->counts(ms);
  values_->sum_ms += ms;
  values_->count++;
}

void LatencyHistogram::Render(const std::string& name,
                              const std::string& labels,
                              std::ostream* out) const {
  const auto& axis = values_->counts.axis();
  // The underflow bucket counts latencies below a millisecond.
  double total = values_->counts.at(-1);
  for (int i = 0; i < axis.size(); i++) {
    total += values_->counts.at(i);
    *out << name << "_bucket{" << labels << ",le=\"" << axis.bin(i).upper()
         << "\"} " << total << "\n";
  }
  *out << name << "_bucket{" << labels << ",le=\"+Inf\"} " << values_->count
       << "\n"
       << name << "_sum{" << labels << "} " << values_->sum_ms << "\n"
       << name << "_count{" << labels << "} " << values_->count << "\n";
}

}  // namespace fireflycart
