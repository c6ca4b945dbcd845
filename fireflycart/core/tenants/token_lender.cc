// Token buckets (RFC 2697 names the parameters) whose tokens are lent for a
// time, as the capacity leases of Doorman are (Google, 2016). The level of a
// bucket and the valid tokens that are out sum up to at most the burst and what
// is lent within a token's life. A returned token was certainly not used.

#include "fireflycart/core/tenants/token_lender.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace fireflycart {
namespace {

constexpr double kMillisPerSecond = 1000;
constexpr double kThousandth = 1000;
// Time constant of a spender's rate.
constexpr double kRateSeconds = 1;
// The rates that spenders remember were told at different moments, so they are
// told somewhat less than they took.
constexpr double kRememberedShare = 0.7;

double SecondsBetween(TimePoint from, TimePoint to) {
  return static_cast<double>(std::max<int64_t>((to - from).millis(), 0)) /
         kMillisPerSecond;
}

}  // namespace

void TokenLender::SetView(bool is_chosen, size_t groups, TimePoint now) {
  is_chosen_ = is_chosen;
  groups_ = groups;
  Check(now);
}

size_t TokenLender::CoveredGroups(TimePoint now) const {
  size_t count = 0;
  for (const auto& item : reports_) {
    if (now - item.second.at <= kCallAge) count++;
  }
  return count;
}

bool TokenLender::IsNothingLent(TimePoint now) const {
  size_t count = 0;
  for (const auto& item : reports_) {
    if (now - item.second.at > kFreshCallAge) continue;
    if (item.second.has_borrowed) return false;
    count++;
  }
  return groups_ > 0 && count >= groups_;
}

// Each spender calls one VM in each period, so while all call this one, no
// other VM can come to lend by the same rule.
void TokenLender::StartEarly(TimePoint now) {
  if (!IsNothingLent(now)) {
    fresh_since_ = TimePoint();
    return;
  }
  if (fresh_since_ == TimePoint()) fresh_since_ = now;
  if (now - fresh_since_ >= kFreshTime) lends_from_ = now;
}

// A pause, as of a VM that was suspended, ends the majority, too.
void TokenLender::Check(TimePoint now) {
  bool is_continuous = now - checked_at_ <= kCallAge;
  checked_at_ = now;
  bool has_majority = is_chosen_ && 2 * CoveredGroups(now) > groups_;
  if (has_majority && has_majority_ && is_continuous) return;
  has_majority_ = has_majority;
  lends_from_ = now + kStartDelay;
  fresh_since_ = TimePoint();
  buckets_.clear();
}

LenderState TokenLender::State(TimePoint now) const {
  if (!has_majority_) return LenderState::kNone;
  return now < lends_from_ ? LenderState::kStarting : LenderState::kLending;
}

TokensReply TokenLender::OnCall(const VmId& spender, const TokensCall& call,
                                TimePoint now) {
  // What was known before this call must have been without a gap.
  Check(now);
  for (const GroupId& group : call.groups) {
    reports_[group] = GroupReport{spender, now, call.has_borrowed};
  }
  Check(now);
  if (has_majority_ && now < lends_from_) StartEarly(now);
  TokensReply reply;
  reply.state = State(now);
  if (reply.state != LenderState::kLending) return reply;
  for (const TokenWish& wish : call.wishes) {
    auto tenant = tenants_.find(wish.tenant);
    if (tenant == tenants_.end() || !tenant->second.has_limit) continue;
    reply.grants.push_back(Lend(spender, tenant->second, wish, now));
  }
  return reply;
}

TokenGrant TokenLender::Lend(const VmId& spender, const TenantSpec& tenant,
                             const TokenWish& wish, TimePoint now) {
  auto inserted = buckets_.try_emplace(tenant.id);
  Bucket& bucket = inserted.first->second;
  // An empty bucket has filled since lending began.
  if (inserted.second) bucket.filled_at = lends_from_;
  double rate = tenant.rate_per_s * kLentShare;
  double capacity = std::max(tenant.burst, 1.0);
  double returned = static_cast<double>(std::max<int64_t>(wish.returned, 0));
  bucket.level += SecondsBetween(bucket.filled_at, now) * rate + returned;
  bucket.level = std::min(bucket.level, capacity);
  bucket.filled_at = now;
  TokenGrant grant;
  grant.tenant = tenant.id;
  int64_t wanted = std::max<int64_t>(wish.wanted, 0);
  grant.tokens = std::min(wanted, static_cast<int64_t>(bucket.level));
  bucket.level -= static_cast<double>(grant.tokens);
  if (grant.tokens < wanted) {
    double missing = 1 - bucket.level;
    grant.retry_after = Duration::Millis(
        static_cast<int64_t>(std::ceil(missing / rate * kMillisPerSecond)));
  }
  Taker& taker = bucket.takers[spender];
  taker.taken += static_cast<double>(grant.tokens) - returned;
  double told = RememberedRate(tenant, spender, &bucket, now);
  grant.remembered_rate = static_cast<int64_t>(told * kThousandth);
  return grant;
}

// The spender's part of what all spenders take, and of the limit if they take
// more for a while.
double TokenLender::RememberedRate(const TenantSpec& tenant,
                                   const VmId& spender, Bucket* bucket,
                                   TimePoint now) {
  Taker& taker = bucket->takers[spender];
  double seconds = SecondsBetween(taker.since, now);
  constexpr double kMinSeconds = 0.1;
  if (seconds >= kMinSeconds) {
    double weight = 1 - std::exp(-seconds / kRateSeconds);
    double sample = std::max(taker.taken, 0.0) / seconds;
    taker.rate += weight * (sample - taker.rate);
    taker.taken = 0;
    taker.since = now;
  }
  double sum = 0;
  for (const auto& item : bucket->takers) {
    // One that does not call any more takes less and less.
    double silent = SecondsBetween(item.second.since, now);
    sum += item.second.rate * std::exp(-silent / kRateSeconds);
  }
  double limit = tenant.rate_per_s * kLentShare;
  double scale = sum > limit ? limit / sum : 1;
  return taker.rate * scale * kRememberedShare;
}

}  // namespace fireflycart
