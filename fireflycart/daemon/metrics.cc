// One lock guards the counters and histograms, since several threads use them.

#include "fireflycart/daemon/metrics.h"

#include <sstream>

#include "fireflycart/daemon/metric_label.h"

namespace fireflycart {
namespace {

// False if the request was refused before its kind was looked up, so that
// callers cannot add lines to the page with kinds of their own.
bool IsKindConfigured(Reason reason) {
  switch (reason) {
    case Reason::kUnknownKind:
    case Reason::kUnknownGroup:
    case Reason::kIsolated:
    case Reason::kNoConfiguration:
    case Reason::kStopping:
      return false;
    default:
      return true;
  }
}

}  // namespace

void Metrics::Record(const KindId& kind, const Answer& answer, Duration took) {
  std::lock_guard<std::mutex> lock(mutex_);
  std::string kind_label =
      MetricLabel("kind", IsKindConfigured(answer.reason) ? kind.value() : "");
  answers_[kind_label + ",outcome=\"" + OutcomeText(answer.outcome) +
           "\",reason=\"" + ReasonText(answer.reason) + "\""]++;
  if (answer.from_replica) replica_reads_++;
  if (answer.outcome != Outcome::kDone) return;
  latency_by_kind_[kind_label].Add(took);
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
    item.second.Render("fireflycart_latency_ms", item.first, &out);
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
