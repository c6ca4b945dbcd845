// A confirmation never loses force: a table that reflects all changes before a
// moment, or a newer table, reflects those before any earlier moment. So the
// newest of all confirmations counts, in whatever order they arrive.

#include "fireflycart/core/tenants/key_age.h"

#include <algorithm>

namespace fireflycart {
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

void KeyAge::Confirm(TimePoint at) {
  confirmed_at_ = std::max(confirmed_at_, at);
}

bool KeyAge::MayServe(TimePoint now) const {
  if (!has_limit()) return true;
  return is_confirmed() && Age(now) <= limit_ - kMargin;
}

bool KeyAge::IsYoung(Duration age) const {
  return age.millis() * kYoungParts <= limit_.millis() * kYoungLimitParts;
}

Duration KeyAge::read_period() const {
  return PeriodOf(limit_, kReadPeriodsPerLimit);
}

Duration KeyAge::ask_period() const {
  return PeriodOf(limit_, kAskPeriodsPerLimit);
}

}  // namespace fireflycart
