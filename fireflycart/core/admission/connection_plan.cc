// All openings cost the same, so what a connection is worth is how soon it is
// used again. The last of a tenant's k connections is used by the arrivals that
// find k - 1 others in use. With Poisson arrivals and enough connections the
// number in use has a Poisson distribution with the tenant's load as its mean,
// so the uses of the last connection follow from the rate and the load alone.
// The connection with the fewest expected uses is closed first. This is
// frequency-based replacement with ageing (Arlitt et al., Evaluating content
// management techniques for Web proxy caches, 2000, GDSF with equal costs and
// sizes), with the surplus connections of a large tenant valued by the overflow
// of a loss system.
//
// Work whose tenant has no connection that returns by itself always gets one,
// in the order of service, so none waits for ever. Openings are bounded by the
// slots: beyond kMaxOpeningShare they only use slots that nothing else can use.

#include "fireflycart/core/admission/connection_plan.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace fireflycart::proxy {
namespace {

// Uses the snapshot as if the steps had been taken.
class Planner {
 public:
  Planner(const ConnectionSnapshot& upstream, const TenantDemand& demand)
      : now_(upstream.now),
        demand_(demand),
        tenants_(upstream.tenants),
        startable_(upstream.startable),
        slots_(upstream.slots),
        room_(upstream.max_connections - upstream.connections) {
    int opening = 0;
    for (const auto& item : tenants_) opening += item.second.opening;
    auto share =
        static_cast<int>(upstream.slots * ConnectionPlan::kMaxOpeningShare);
    int free_slots = upstream.slots - upstream.running - opening;
    openings_left_ = std::max(share, 1) - opening;
    if (startable_.empty()) {
      openings_left_ = std::max(openings_left_, free_slots);
    }
    int in_use = upstream.running + opening;
    is_saturated_ = in_use >= upstream.slots;
    may_open_ahead_ = startable_.empty() && in_use * 2 < upstream.slots;
  }

  std::vector<ConnectionStep> Steps(const std::vector<WaitingWork>& waiting) {
    std::map<TenantId, int> seen;
    for (const WaitingWork& work : waiting) {
      if (openings_left_ <= 0) return std::move(steps_);
      Consider(work, seen[work.tenant]++);
    }
    if (may_open_ahead_ && waiting.empty()) OpenAhead();
    return std::move(steps_);
  }

 private:
  static int Total(const TenantConnections& c) {
    return c.idle + c.busy + c.opening;
  }

  double ValueOf(const TenantId& tenant, int connections) const {
    return ConnectionPlan::ValueOf(tenant, connections, demand_, now_);
  }

  // `ahead` counts the tenant's work that is served before this one.
  void Consider(const WaitingWork& work, int ahead) {
    const TenantConnections& own = tenants_[work.tenant];
    if (ahead < own.opening) return;  // Waits for an opening under way.
    if (own.busy == 0) {
      Open(work.tenant, 0, false);
      return;
    }
    // More connections than statements in flight do not help.
    if (Total(own) > slots_) return;
    // The first of the busy connections is free after half a service time on
    // average, the next ones follow in equal distances.
    int64_t half_services = 2 * (int64_t{ahead} - own.opening) + 1;
    int64_t busy = own.busy;
    Duration wait =
        Duration::Millis(work.service.millis() * half_services / (2 * busy));
    // With all slots in use the work would wait on another connection, too.
    bool is_urgent = wait > work.slack && !is_saturated_;
    if (!is_urgent && wait <= ConnectionPlan::kOpenTime) return;
    Open(work.tenant, is_urgent ? 0 : ConnectionPlan::kMinGain, false);
  }

  void OpenAhead() {
    for (const TenantId& tenant : demand_.ByRate(now_)) {
      if (openings_left_ <= 0 || room_ <= 0) return;
      const TenantConnections& own = tenants_[tenant];
      double value = ValueOf(tenant, Total(own) + 1);
      if (value < ConnectionPlan::kMinAheadRate) continue;
      Open(tenant, 0, true);
    }
  }

  // Opens a connection if there is room, or if it replaces one that is worth
  // less by the factor.
  void Open(const TenantId& tenant, double gain, bool is_ahead) {
    ConnectionStep step;
    step.open = tenant;
    step.is_ahead = is_ahead;
    if (room_ <= 0) {
      double worst = 0;
      if (!FindVictim(tenant, &step.close, &worst)) return;
      double value = ValueOf(tenant, Total(tenants_[tenant]) + 1);
      if (gain > 0 && value < worst * gain) return;
      step.closes = true;
      tenants_[step.close].idle--;
      room_++;
    }
    room_--;
    openings_left_--;
    tenants_[tenant].opening++;
    steps_.push_back(step);
  }

  // The idle connection with the fewest expected uses; of equal ones that which
  // was used longest ago.
  bool FindVictim(const TenantId& other_than, TenantId* victim, double* value) {
    TimePoint last_used;
    bool is_found = false;
    for (const auto& item : tenants_) {
      bool may_close = item.second.idle > 0 && item.first != other_than &&
                       startable_.count(item.first) == 0;
      if (!may_close) continue;
      double own = ValueOf(item.first, Total(item.second));
      bool is_worse = !is_found || own < *value ||
                      (!(*value < own) && item.second.last_used < last_used);
      if (!is_worse) continue;
      is_found = true;
      *victim = item.first;
      *value = own;
      last_used = item.second.last_used;
    }
    return is_found;
  }

  TimePoint now_;
  const TenantDemand& demand_;
  std::map<TenantId, TenantConnections> tenants_;
  const std::set<TenantId>& startable_;
  int slots_;
  int room_;
  bool is_saturated_ = false;
  int openings_left_ = 0;
  bool may_open_ahead_ = false;
  std::vector<ConnectionStep> steps_;
};

}  // namespace

double TenantDemand::DecayOf(const Average& average, TimePoint now) {
  double age = static_cast<double>((now - average.updated_at).millis()) /
               static_cast<double>(kWindow.millis());
  return std::exp(-std::max(age, 0.0));
}

void TenantDemand::OnArrival(const TenantId& tenant, Duration service,
                             TimePoint now) {
  Forget(now);
  Average& average = averages_[tenant];
  double decay = DecayOf(average, now);
  average.count = average.count * decay + 1;
  average.busy_ms =
      average.busy_ms * decay + static_cast<double>(service.millis());
  average.updated_at = now;
}

double TenantDemand::RateOf(const TenantId& tenant, TimePoint now) const {
  constexpr double kMillisPerSecond = 1000;
  auto found = averages_.find(tenant);
  if (found == averages_.end()) return 0;
  return found->second.count * DecayOf(found->second, now) * kMillisPerSecond /
         static_cast<double>(kWindow.millis());
}

double TenantDemand::LoadOf(const TenantId& tenant, TimePoint now) const {
  auto found = averages_.find(tenant);
  if (found == averages_.end()) return 0;
  return found->second.busy_ms * DecayOf(found->second, now) /
         static_cast<double>(kWindow.millis());
}

std::vector<TenantId> TenantDemand::ByRate(TimePoint now) const {
  std::vector<std::pair<double, TenantId>> rates;
  for (const auto& item : averages_) {
    rates.emplace_back(-RateOf(item.first, now), item.first);
  }
  std::sort(rates.begin(), rates.end());
  std::vector<TenantId> tenants;
  tenants.reserve(rates.size());
  for (const auto& item : rates) tenants.push_back(item.second);
  return tenants;
}

void TenantDemand::Forget(TimePoint now) {
  if (now < next_forget_) return;
  next_forget_ = now + kMemory;
  for (auto it = averages_.begin(); it != averages_.end();) {
    bool is_old = now - it->second.updated_at >= kMemory;
    it = is_old ? averages_.erase(it) : std::next(it);
  }
}

double ConnectionPlan::ValueOf(const TenantId& tenant, int connections,
                               const TenantDemand& demand, TimePoint now) {
  double load = demand.LoadOf(tenant, now);
  // The probability that fewer than connections - 1 are in use.
  double term = std::exp(-load);
  double fewer = 0;
  for (int i = 0; i < connections - 1; i++) {
    fewer += term;
    term *= load / (i + 1);
  }
  return demand.RateOf(tenant, now) * std::max(1 - fewer, 0.0);
}

std::vector<ConnectionStep> ConnectionPlan::Steps(
    const ConnectionSnapshot& upstream, const TenantDemand& demand) const {
  return Planner(upstream, demand).Steps(upstream.waiting);
}

}  // namespace fireflycart::proxy
