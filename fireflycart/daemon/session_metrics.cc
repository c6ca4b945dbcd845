// Every log record is counted, so that the metrics page includes records that
// the log omitted.

#include "fireflycart/daemon/session_metrics.h"

#include <sstream>

namespace fireflycart {
namespace {

template <typename T>
void Gauge(const char* name, T value, std::ostream* out) {
  *out << "# TYPE fireflycart_" << name << " gauge\n"
       << "fireflycart_" << name << " " << value << "\n";
}

// The name of a tenant may contain quotes.
std::string EscapeLabel(const std::string& text) {
  std::string escaped;
  for (char c : text) {
    if (c == '"' || c == '\\') escaped += '\\';
    escaped += c;
  }
  return escaped;
}

}  // namespace

void SessionMetrics::Count(const proxy::CountStatement& effect) {
  std::string labels = "group=\"" + effect.group.value() + "\",priority=\"" +
                       std::to_string(effect.priority) + "\"";
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

std::string SessionMetrics::Render(const proxy::ProxyGauges& gauges) const {
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
  Gauge("sessions", gauges.sessions, &out);
  Gauge("open_statements", gauges.open_statements, &out);
  Gauge("owned_groups", gauges.owned_groups, &out);
  Gauge("groups_awaiting_upstream", gauges.groups_awaiting_upstream, &out);
  Gauge("owner_statements", gauges.owner_statements, &out);
  Gauge("owner_transactions", gauges.owner_transactions, &out);
  Gauge("upstream_connections", gauges.upstream_connections, &out);
  Gauge("vms", gauges.vms, &out);
  Gauge("vms_down", gauges.vms_down, &out);
  Gauge("routes_version", gauges.routes_version, &out);
  Gauge("ready", gauges.is_ready ? 1 : 0, &out);
  Gauge("follows_store", gauges.follows_store ? 1 : 0, &out);
  Gauge("store_age_ms", gauges.store_age.millis(), &out);
  Gauge("key_age_ms", gauges.key_age.millis(), &out);
  Gauge("keys_current", gauges.has_current_keys ? 1 : 0, &out);
  out << "# TYPE fireflycart_refused_by_limit_total counter\n";
  for (const auto& item : gauges.refused_by_limit) {
    out << "fireflycart_refused_by_limit_total{tenant=\""
        << EscapeLabel(item.first.value()) << "\"} " << item.second << "\n";
  }
  return out.str();
}

}  // namespace fireflycart
