// Every log record is counted, so that the metrics page includes records that
// the log omitted.

#include "fireflycart/daemon/session_metrics.h"

#include <sstream>

#include "fireflycart/daemon/metric_label.h"

namespace fireflycart {
namespace {

template <typename T>
void Gauge(const char* name, T value, std::ostream* out) {
  *out << "# TYPE fireflycart_" << name << " gauge\n"
       << "fireflycart_" << name << " " << value << "\n";
}

void Counter(const char* name, int64_t value, std::ostream* out) {
  *out << "# TYPE fireflycart_" << name << " counter\n"
       << "fireflycart_" << name << " " << value << "\n";
}

void RenderConnections(const proxy::ProxyGauges& gauges, std::ostream* out) {
  const proxy::ConnectionCounts& counts = gauges.connections;
  *out << "# TYPE fireflycart_data_connections gauge\n";
  auto state = [out](const char* name, int64_t value) {
    *out << "fireflycart_data_connections{state=\"" << name << "\"} " << value
         << "\n";
  };
  state("idle", counts.idle);
  state("busy", counts.busy);
  state("pinned", counts.pinned);
  state("opening", counts.opening);
  Counter("connections_opened_total", counts.openings, out);
  Counter("connections_opened_ahead_total", counts.openings_ahead, out);
  Counter("connections_replaced_total", counts.replaced, out);
  Counter("statements_found_connection_total",
          gauges.statements_found_connection, out);
  Counter("statements_awaited_connection_total",
          gauges.statements_awaited_connection, out);
}

// A counter of what stays in this VM's data centre and what leaves it.
void Direction(const char* name, uint64_t inside, uint64_t leaving,
               std::ostream* out) {
  *out << "# TYPE fireflycart_" << name << " counter\n"
       << "fireflycart_" << name << "{direction=\"inside\"} " << inside << "\n"
       << "fireflycart_" << name << "{direction=\"leaving\"} " << leaving
       << "\n";
}

}  // namespace

void SessionMetrics::Count(const proxy::CountStatement& effect) {
  std::string labels = MetricLabel("group", effect.group.value()) +
                       ",priority=\"" + std::to_string(effect.priority) + "\"";
  statements_[labels + ",outcome=\"" + OutcomeName(effect.outcome) +
              "\",cause=\"" + effect.cause + "\""]++;
  if (effect.outcome == proxy::Outcome::kDone) {
    latency_[labels].Add(effect.took);
  }
}

void SessionMetrics::CountRecord(const proxy::WriteRecord& record) {
  events_[std::string("part=\"") + record.part + "\",event=\"" + record.event +
          "\""]++;
}

std::string SessionMetrics::Render(const proxy::ProxyGauges& gauges,
                                   const MemoryBudget& memory) const {
  std::ostringstream out;
  out << "# TYPE fireflycart_statements_total counter\n";
  for (const auto& item : statements_) {
    out << "fireflycart_statements_total{" << item.first << "} " << item.second
        << "\n";
  }
  out << "# TYPE fireflycart_events_total counter\n";
  for (const auto& item : events_) {
    out << "fireflycart_events_total{" << item.first << "} " << item.second
        << "\n";
  }
  out << "# TYPE fireflycart_store_calls_total counter\n"
      << "fireflycart_store_calls_total " << store_calls_ << "\n"
      << "# TYPE fireflycart_statement_ms histogram\n";
  for (const auto& item : latency_) {
    item.second.Render("fireflycart_statement_ms", item.first, &out);
  }
  Direction("statements_sent_total", gauges.inside_data_centre.statements,
            gauges.leaving_data_centre.statements, &out);
  Direction("statement_bytes_total", gauges.inside_data_centre.bytes,
            gauges.leaving_data_centre.bytes, &out);
  Gauge("sessions", gauges.sessions, &out);
  Gauge("open_statements", gauges.open_statements, &out);
  Gauge("owned_groups", gauges.owned_groups, &out);
  Gauge("groups_awaiting_upstream", gauges.groups_awaiting_upstream, &out);
  Gauge("owner_statements", gauges.owner_statements, &out);
  Gauge("owner_transactions", gauges.owner_transactions, &out);
  Gauge("reader_statements", gauges.reader_statements, &out);
  Gauge("upstream_connections", gauges.upstream_connections, &out);
  RenderConnections(gauges, &out);
  Gauge("vms", gauges.vms, &out);
  Gauge("vms_down", gauges.vms_down, &out);
  Gauge("routes_version", gauges.routes_version, &out);
  Gauge("ready", gauges.is_ready ? 1 : 0, &out);
  Gauge("follows_store", gauges.follows_store ? 1 : 0, &out);
  Gauge("store_age_ms", gauges.store_age.millis(), &out);
  Gauge("routes_age_ms", gauges.routes_age.millis(), &out);
  Gauge("key_age_ms", gauges.routes_age.millis(), &out);
  Gauge("keys_current", gauges.has_current_keys ? 1 : 0, &out);
  Gauge("memory_held_bytes", memory.held(), &out);
  Gauge("memory_held_limit_bytes", memory.holdings_limit(), &out);
  out << "# TYPE fireflycart_memory_limits_met_total counter\n";
  for (MemoryLimit limit :
       {MemoryLimit::kWaits, MemoryLimit::kTooSlow, MemoryLimit::kHeldMost}) {
    out << "fireflycart_memory_limits_met_total{limit=\""
        << MemoryLimitName(limit) << "\"} " << memory.count(limit) << "\n";
  }
  out << "# TYPE fireflycart_refused_by_limit_total counter\n";
  for (const auto& item : gauges.refused_by_limit) {
    out << "fireflycart_refused_by_limit_total{"
        << MetricLabel("tenant", item.first.value()) << "} " << item.second
        << "\n";
  }
  return out.str();
}

}  // namespace fireflycart
