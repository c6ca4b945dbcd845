// A Boost.Histogram with a logarithmic axis for each kind of work. The text
// format wants cumulative buckets, which are summed up when rendering.

#include "fireflycart/daemon/metrics.h"

#include <boost/histogram.hpp>
#include <sstream>

namespace fireflycart {
namespace {

namespace bh = boost::histogram;
using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;

constexpr unsigned kBuckets = 32;
constexpr double kLowestMs = 1;
constexpr double kHighestMs = 65536;

}  // namespace

struct Metrics::Histogram {
  decltype(bh::make_histogram(LogAxis())) values =
      bh::make_histogram(LogAxis(kBuckets, kLowestMs, kHighestMs));
  double sum_ms = 0;
  uint64_t count = 0;
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::Record(const KindId& kind, const Answer& answer, Duration took) {
  std::lock_guard<std::mutex> lock(mutex_);
  std::string labels = "kind=\"" + kind.value() + "\",outcome=\"" +
                       OutcomeText(answer.outcome) + "\",reason=\"" +
                       ReasonText(answer.reason) + "\"";
  answers_[labels]++;
  if (answer.from_replica) replica_reads_++;
  if (answer.outcome != Outcome::kDone) return;
  std::unique_ptr<Histogram>& histogram = latency_by_kind_[kind.value()];
  if (!histogram) histogram = std::make_unique<Histogram>();
  double ms = static_cast<double>(took.millis());
  histogram->values(ms);
  histogram->sum_ms += ms;
  histogram->count++;
}

std::string Metrics::Render(const Gauges& gauges) const {
  std::lock_guard<std::mutex> lock(mutex_);
  std::ostringstream out;
  out << "# TYPE fireflycart_answers_total counter\n";
  for (const auto& item : answers_) {
    out << "fireflycart_answers_total{" << item.first << "} " << item.second
        << "\n";
  }
  out << "# TYPE fireflycart_replica_reads_total counter\n"
      << "fireflycart_replica_reads_total " << replica_reads_ << "\n"
      << "# TYPE fireflycart_latency_ms histogram\n";
  for (const auto& item : latency_by_kind_) {
    std::string kind = "kind=\"" + item.first + "\"";
    const Histogram& histogram = *item.second;
    const auto& axis = histogram.values.axis();
    // The underflow bucket holds answers within less than a millisecond.
    double total = histogram.values.at(-1);
    for (int i = 0; i < axis.size(); i++) {
      total += histogram.values.at(i);
      out << "fireflycart_latency_ms_bucket{" << kind << ",le=\""
          << axis.bin(i).upper() << "\"} " << total << "\n";
    }
    out << "fireflycart_latency_ms_bucket{" << kind << ",le=\"+Inf\"} "
        << histogram.count << "\n"
        << "fireflycart_latency_ms_sum{" << kind << "} " << histogram.sum_ms
        << "\n"
        << "fireflycart_latency_ms_count{" << kind << "} " << histogram.count
        << "\n";
  }
  out << "# TYPE fireflycart_pending_requests gauge\n"
      << "fireflycart_pending_requests " << gauges.pending_requests << "\n"
      << "# TYPE fireflycart_coordinated_groups gauge\n"
      << "fireflycart_coordinated_groups " << gauges.coordinated_groups << "\n"
      << "# TYPE fireflycart_queued_requests gauge\n"
      << "fireflycart_queued_requests " << gauges.queued_requests << "\n"
      << "# TYPE fireflycart_sessions gauge\n"
      << "fireflycart_sessions " << gauges.sessions << "\n"
      << "# TYPE fireflycart_members gauge\n"
      << "fireflycart_members " << gauges.members << "\n"
      << "# TYPE fireflycart_config_version gauge\n"
      << "fireflycart_config_version " << gauges.config_version << "\n"
      << "# TYPE fireflycart_ready gauge\n"
      << "fireflycart_ready " << (gauges.ready ? 1 : 0) << "\n";
  return out.str();
}

}  // namespace fireflycart
