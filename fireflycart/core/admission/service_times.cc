// Moving averages with exponential weights. The time that a statement spends
// at the upstream includes its queue there, so by Little's law the number in
// flight divided by this time is the throughput.

#include "fireflycart/core/admission/service_times.h"

#include <algorithm>
#include <cmath>

namespace fireflycart::proxy {
namespace {

// Age after which a measurement counts for half.
constexpr Duration kHalfLife = Duration::Seconds(1);

}  // namespace

ServiceKind ServiceKindOf(const StatementCall& call) {
  return ServiceKind{call.priority, call.access, call.consistency};
}

void ServiceTimes::OnServed(const ServiceKind& kind, Duration took,
                            TimePoint now) {
  auto ms = static_cast<double>(std::max<int64_t>(took.millis(), 0));
  auto inserted = averages_.emplace(kind, Average{ms, now});
  Average& average = inserted.first->second;
  average.ms += kWeight * (ms - average.ms);
  average.measured_at = now;
}

Duration ServiceTimes::Expected(const ServiceKind& kind, TimePoint now) const {
  auto found = averages_.find(kind);
  if (found == averages_.end()) return Duration();
  int64_t halvings =
      (now - found->second.measured_at).millis() / kHalfLife.millis();
  double ms = std::ldexp(found->second.ms,
                         -static_cast<int>(std::min<int64_t>(halvings, 60)));
  return Duration::Millis(static_cast<int64_t>(std::lround(ms)));
}

void ArrivalLoad::OnArrival(Duration service, TimePoint now) {
  load_ = load(now) + static_cast<double>(service.millis()) /
                          static_cast<double>(kWindow.millis());
  updated_at_ = now;
}

double ArrivalLoad::load(TimePoint now) const {
  double age = static_cast<double>((now - updated_at_).millis()) /
               static_cast<double>(kWindow.millis());
  return load_ * std::exp(-std::max(age, 0.0));
}

}  // namespace fireflycart::proxy
