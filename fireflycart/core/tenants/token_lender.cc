// Token buckets (RFC 2697 names the parameters) whose tokens are lent for a
// time, as the capacity leases of Doorman are (Google, 2016). The level of a
// bucket and the valid tokens that are out sum up to at most the burst and what
// is lent within a token's life. A returned token was certainly not used.

#include "fireflycart/core/tenants/token_lender.h"

#include <algorithm>
#include <cmath>
#include <limits>
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
// When a spender that does not call uses its remembered rate: after its tokens
// ended, and with a margin for the way of its last call.
constexpr Duration kSilentAfter = kTokenLife + Duration::Millis(50);
constexpr Duration kSilentMargin = Duration::Millis(100);
// The lender may come to have a larger part of the limit by then.
constexpr Duration kMaxRetryAfter = Duration::Millis(2000);

double SecondsBetween(TimePoint from, TimePoint to) {
  return static_cast<double>(std::max<int64_t>((to - from).millis(), 0)) /
         kMillisPerSecond;
}

}  // namespace

void TokenLender::SetVoters(const std::set<VmId>& voters, TimePoint now) {
  voters_ = voters;
  for (auto& item : votes_) {
    item.second.is_voter = voters.count(item.first) != 0;
  }
  Check(now);
}

void TokenLender::SetChosen(bool is_chosen, TimePoint now) {
  is_chosen_ = is_chosen;
  Check(now);
}

size_t TokenLender::CountVotes(TimePoint now) const {
  size_t count = 0;
  for (const auto& item : votes_) {
    const Vote& vote = item.second;
    if (vote.is_voter && vote.CountsAt(now)) count++;
  }
  return count;
}

double TokenLender::Share(TimePoint now) const {
  return share_->Share(CountVotes(now), voters_.size(), now);
}

double TokenLender::OwnShare(TimePoint now) const {
  if (voters_.empty()) return 0;
  double share = Share(now);
  if (share >= 1) return 1;
  // Another lender may lend the whole limit.
  if (share == 0 && CountVotes(now) > 0) return 0;
  size_t count = 0;
  for (const auto& item : votes_) {
    bool calls =
        item.second.is_voter && now - item.second.called_at <= kOwnShareAge;
    if (calls) count++;
  }
  return static_cast<double>(count) / static_cast<double>(voters_.size());
}

bool TokenLender::IsNothingLent(TimePoint now) const {
  size_t count = 0;
  for (const auto& item : votes_) {
    const Vote& vote = item.second;
    if (now - vote.called_at > kFreshCallAge) continue;
    if (vote.has_borrowed) return false;
    if (vote.is_voter) count++;
  }
  return !voters_.empty() && count == voters_.size();
}

// Each spender calls one VM in each period, so while all call this one, no
// other VM can come to lend by the same rule.
void TokenLender::StartEarly(TimePoint now) {
  if (!IsNothingLent(now)) {
    fresh_since_ = TimePoint();
    return;
  }
  if (fresh_since_ == TimePoint()) fresh_since_ = now;
  if (now - fresh_since_ < kFreshTime) return;
  lends_from_ = now;
  for (auto& item : votes_) item.second.counts = true;
}

void TokenLender::Check(TimePoint now) {
  bool is_continuous = now - checked_at_ <= kMaxPause;
  checked_at_ = now;
  bool goes_on = is_chosen_ && was_chosen_ && is_continuous;
  was_chosen_ = is_chosen_;
  if (goes_on) return;
  lends_from_ = now + kStartDelay;
  fresh_since_ = TimePoint();
  votes_.clear();
  buckets_.clear();
}

// The spender tells how long its vote has counted nowhere else. A call that was
// read late may tell it of an earlier time, but comes alone.
void TokenLender::CountVote(const VmId& spender, const TokensCall& call,
                            TimePoint now) {
  Vote& vote = votes_[spender];
  bool is_continuous =
      vote.called_at != TimePoint() && now - vote.called_at <= kVoteLife;
  if (!is_continuous) {
    vote = Vote();
    vote.is_voter = voters_.count(spender) != 0;
    vote.since = now;
    vote.called_at = now;
  }
  bool did_count = vote.CountsAt(now);
  Duration called_for = now - vote.since;
  Duration voting_for = call.voting_for.value_or(called_for);
  bool has_begun = voting_for >= kStartDelay && called_for >= kMinCallTime;
  // It may have called another VM since, but not for long enough to count.
  bool has_stayed = now - voting_for <= vote.called_at + kVoteLife;
  vote.counts = has_begun || (did_count && has_stayed);
  vote.called_at = now;
  vote.has_borrowed = call.has_borrowed;
}

LenderState TokenLender::State(TimePoint now) const {
  if (!is_chosen_) return LenderState::kNone;
  bool lends = now >= lends_from_ && Share(now) > 0;
  return lends ? LenderState::kLending : LenderState::kStarting;
}

TokensReply TokenLender::OnCall(const VmId& spender, const TokensCall& call,
                                TimePoint now) {
  Check(now);
  TokensReply reply;
  if (is_chosen_) {
    CountVote(spender, call, now);
    if (now < lends_from_) StartEarly(now);
    reply.own_share =
        static_cast<int64_t>(OwnShare(now) * static_cast<double>(kWholeShare));
  }
  reply.state = State(now);
  if (reply.state != LenderState::kLending) return reply;
  double share = Share(now);
  std::vector<VmId> silent = SilentSpenders(now);
  for (const TokenWish& wish : call.wishes) {
    auto tenant = tenants_.find(wish.tenant);
    if (tenant == tenants_.end() || !tenant->second.has_limit) continue;
    reply.grants.push_back(
        Lend(spender, tenant->second, wish, share, silent, now));
  }
  votes_[spender].remembers_rates = !reply.grants.empty();
  return reply;
}

TokenGrant TokenLender::Lend(const VmId& spender, const TenantSpec& tenant,
                             const TokenWish& wish, double share,
                             const std::vector<VmId>& silent, TimePoint now) {
  auto inserted = buckets_.try_emplace(tenant.id);
  Bucket& bucket = inserted.first->second;
  // An empty bucket has filled since lending began.
  if (inserted.second) bucket.filled_at = lends_from_;
  double whole_rate = tenant.rate_per_s * kLentShare;
  double unused_rate = std::max(whole_rate - RateOf(silent, bucket), 0.0);
  double rate = std::min(whole_rate * share, unused_rate);
  double capacity = std::max(tenant.burst, 1.0) * share;
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
    double millis = rate > 0 ? std::ceil(missing / rate * kMillisPerSecond)
                             : std::numeric_limits<double>::infinity();
    grant.retry_after = Duration::Millis(static_cast<int64_t>(
        std::min(millis, static_cast<double>(kMaxRetryAfter.millis()))));
  }
  Taker& taker = bucket.takers[spender];
  taker.taken += static_cast<double>(grant.tokens) - returned;
  taker.called_at = now;
  double told = RememberedRate(whole_rate * share, spender, &bucket, now);
  taker.told = told;
  grant.remembered_rate = static_cast<int64_t>(told * kThousandth);
  return grant;
}

// What silent spenders may use at their remembered rates. A reply without a
// grant for the tenant tells none.
double TokenLender::RateOf(const std::vector<VmId>& silent,
                           const Bucket& bucket) const {
  double sum = 0;
  for (const VmId& spender : silent) {
    auto taker = bucket.takers.find(spender);
    if (taker == bucket.takers.end()) continue;
    const Vote& vote = votes_.at(spender);
    if (taker->second.called_at == vote.called_at) sum += taker->second.told;
  }
  return sum;
}

// Those that remember rates and have not called since their tokens ended.
std::vector<VmId> TokenLender::SilentSpenders(TimePoint now) const {
  std::vector<VmId> silent;
  // Half of the voters can call another lender only if votes are missing here.
  Duration life = CountVotes(now) < voters_.size() ? kMajorityRememberedRateLife
                                                   : kMaxRememberedRateLife;
  for (const auto& item : votes_) {
    Duration age = now - item.second.called_at;
    bool is_silent = item.second.remembers_rates && age > kSilentAfter &&
                     age <= life + kSilentMargin;
    if (is_silent) silent.push_back(item.first);
  }
  return silent;
}

// The spender's part of what all spenders take, and of the limit if they take
// more for a while.
double TokenLender::RememberedRate(double limit, const VmId& spender,
                                   Bucket* bucket, TimePoint now) {
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
  double scale = sum > limit ? limit / sum : 1;
  return taker.rate * scale * kRememberedShare;
}

}  // namespace fireflycart
