// A confirmation never loses force: a table that reflects all changes before a
// moment, or a newer table, reflects those before any earlier moment. So the
// newest of all confirmations counts, in whatever order they arrive.

#include "fireflycart/core/proxy/routes_age.h"

#include <algorithm>

namespace fireflycart::proxy {
namespace {

constexpr int64_t kReadPeriodsPerLimit = 6;
constexpr int64_t kAskPeriodsPerLimit = 12;
// 0.45 of the limit.
constexpr int64_t kYoungLimitParts = 9;
constexpr int64_t kYoungParts = 20;
// Shorter periods cost more than the fresh knowledge is worth.
constexpr Duration kMinPeriod = Duration::Millis(200);
constexpr Duration kMaxPeriod = Duration::Millis(4000);

Duration PeriodOf(Duration limit, int64_t periods) {
  Duration period = Duration::Millis(limit.millis() / periods);
  return std::min(std::max(period, kMinPeriod), kMaxPeriod);
}

}  // namespace

Duration RoutesAge::limit() const {
  if (!has_keys_ || key_limit_ == Duration()) return apply_limit_;
  if (apply_limit_ == Duration()) return key_limit_;
  return std::min(apply_limit_, key_limit_);
}

void RoutesAge::Confirm(TimePoint at) {
  confirmed_at_ = std::max(confirmed_at_, at);
}

bool RoutesAge::MayServeKeys(TimePoint now) const {
  if (!has_keys_ || key_limit_ == Duration()) return true;
  return is_confirmed() && Age(now) <= key_limit_ - kMargin;
}

bool RoutesAge::IsYoung(Duration age) const {
  return age.millis() * kYoungParts <= limit().millis() * kYoungLimitParts;
}

Duration RoutesAge::read_period() const {
  return PeriodOf(limit(), kReadPeriodsPerLimit);
}

Duration RoutesAge::ask_period() const {
  return PeriodOf(limit(), kAskPeriodsPerLimit);
}

}  // namespace fireflycart::proxy
