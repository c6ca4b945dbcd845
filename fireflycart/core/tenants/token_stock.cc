// A token's life counts from before it was asked for, so it ends here no later
// than at the lender. The remembered rate is used only after the last tokens
// have expired, so that it never adds to them.

#include "fireflycart/core/tenants/token_stock.h"

#include <algorithm>
#include <cmath>

namespace fireflycart {
namespace {

constexpr double kMillisPerSecond = 1000;
constexpr double kThousandth = 1000;
// Time constant of the rate of arrivals.
constexpr double kArrivalSeconds = 0.5;
// Tokens are borrowed in advance if at least so many are expected to be used.
constexpr double kMinExpected = 0.5;
constexpr double kExpectedMargin = 1.2;

double SecondsBetween(TimePoint from, TimePoint to) {
  return static_cast<double>(std::max<int64_t>((to - from).millis(), 0)) /
         kMillisPerSecond;
}

}  // namespace

void TokenStock::SetTenants(const TenantSpecs& tenants, TimePoint now) {
  FillAll(now);
  for (auto it = accounts_.begin(); it != accounts_.end();) {
    auto before = tenants_.find(it->first);
    auto after = tenants.find(it->first);
    if (after == tenants.end() || !after->second.has_limit) {
      it = accounts_.erase(it);
      continue;
    }
    // A lower limit holds for the remembered rate, too.
    double ratio = after->second.rate_per_s / before->second.rate_per_s;
    it->second.remembered_rate *= std::min(ratio, 1.0);
    ++it;
  }
  tenants_ = tenants;
  has_limits_ = false;
  for (const auto& item : tenants_) {
    if (!item.second.has_limit) continue;
    has_limits_ = true;
    auto inserted = accounts_.try_emplace(item.first);
    if (inserted.second) inserted.first->second.own_filled_at = now;
  }
}

void TokenStock::SetGroups(const std::set<GroupId>& owned, size_t groups,
                           bool is_in_touch, TimePoint now) {
  bool is_same =
      owned == owned_ && groups == groups_ && is_in_touch == is_in_touch_;
  if (is_same) return;
  FillAll(now);
  owned_ = owned;
  groups_ = groups;
  is_in_touch_ = is_in_touch;
  // What belonged to groups that left is cut off.
  FillAll(now);
}

double TokenStock::OwnPart(TimePoint now) const {
  bool may_use = is_in_touch_ && groups_ != 0 && now <= own_share_until_;
  if (!may_use) return 0;
  return own_share_ * static_cast<double>(owned_.size()) /
         static_cast<double>(groups_);
}

void TokenStock::FillAll(TimePoint now) {
  for (auto& item : accounts_) {
    auto tenant = tenants_.find(item.first);
    if (tenant != tenants_.end()) FillOwn(tenant->second, &item.second, now);
  }
}

void TokenStock::FillOwn(const TenantSpec& tenant, Account* account,
                         TimePoint now) const {
  double part = OwnPart(now);
  double rate = tenant.rate_per_s * kOwnShare * part;
  double capacity = (kOwnBurst + tenant.burst * kOwnBurstShare) * part;
  account->own += SecondsBetween(account->own_filled_at, now) * rate;
  account->own = std::min(account->own, capacity);
  account->own_filled_at = now;
}

bool TokenStock::IsLimited(const TenantId& tenant) const {
  return accounts_.count(tenant) != 0;
}

void TokenStock::OnArrival(const TenantId& tenant) {
  auto found = accounts_.find(tenant);
  if (found != accounts_.end()) found->second.arrivals++;
}

void TokenStock::DropExpired(Account* account, TimePoint now) const {
  while (!account->lots.empty() && account->lots.front().expires < now) {
    account->returned += account->lots.front().tokens;
    account->lots.pop_front();
  }
}

bool TokenStock::Take(const TenantId& tenant, TimePoint now) {
  auto found = accounts_.find(tenant);
  if (found == accounts_.end()) return false;
  Account& account = found->second;
  DropExpired(&account, now);
  if (!account.lots.empty()) {
    if (--account.lots.front().tokens == 0) account.lots.pop_front();
    return true;
  }
  if (now <= lent_until_ || now > remembered_until_) return false;
  TimePoint from = std::max(account.remembered_filled_at, lent_until_);
  double rate = account.remembered_rate;
  account.remembered += SecondsBetween(from, now) * rate;
  double capacity = std::max(
      1.0, rate * SecondsBetween(TimePoint(), TimePoint() + kTokenLife));
  account.remembered = std::min(account.remembered, capacity);
  account.remembered_filled_at = now;
  if (account.remembered < 1) return false;
  account.remembered -= 1;
  return true;
}

bool TokenStock::TakeOwn(const TenantId& tenant, TimePoint now) {
  auto found = accounts_.find(tenant);
  auto spec = tenants_.find(tenant);
  if (found == accounts_.end() || spec == tenants_.end()) return false;
  FillOwn(spec->second, &found->second, now);
  if (found->second.own < 1) return false;
  found->second.own -= 1;
  return true;
}

TimePoint TokenStock::empty_until(const TenantId& tenant) const {
  auto found = accounts_.find(tenant);
  return found == accounts_.end() ? TimePoint() : found->second.empty_until;
}

TokensCall TokenStock::MakeCall(const std::map<TenantId, int64_t>& waiting,
                                TimePoint now) {
  TokensCall call;
  call.groups.assign(owned_.begin(), owned_.end());
  call.has_borrowed = lent_until_ != TimePoint();
  double seconds = SecondsBetween(called_at_, now);
  called_at_ = now;
  double weight = 1 - std::exp(-seconds / kArrivalSeconds);
  for (auto& item : accounts_) {
    Account& account = item.second;
    double sample =
        seconds > 0 ? static_cast<double>(account.arrivals) / seconds : 0;
    account.arrival_rate += weight * (sample - account.arrival_rate);
    account.arrivals = 0;
    for (const Lot& lot : account.lots) account.returned += lot.tokens;
    account.lots.clear();
    TokenWish wish;
    wish.tenant = item.first;
    double expected = account.arrival_rate * kExpectedMargin *
                      static_cast<double>(kTokenLife.millis()) /
                      kMillisPerSecond;
    if (expected >= kMinExpected) {
      wish.wanted = static_cast<int64_t>(std::ceil(expected));
    }
    auto waits = waiting.find(item.first);
    if (waits != waiting.end()) wish.wanted += waits->second;
    wish.returned = account.returned;
    account.returned = 0;
    if (wish.wanted != 0 || wish.returned != 0) call.wishes.push_back(wish);
  }
  return call;
}

void TokenStock::OnReply(const TokensReply& reply, TimePoint asked_at,
                         TimePoint now) {
  if (reply.state != LenderState::kNone) {
    FillAll(now);
    own_share_ =
        static_cast<double>(reply.own_share) / static_cast<double>(kWholeShare);
    own_share_until_ = asked_at + kOwnShareLife;
  }
  Duration max_life = 2 * reply.own_share >= kWholeShare
                          ? kMajorityRememberedRateLife
                          : kMaxRememberedRateLife;
  if (reply.state == LenderState::kStarting && now <= remembered_until_) {
    remembered_until_ =
        std::min(asked_at + kRememberedRateLife, granted_at_ + max_life);
  }
  if (reply.state != LenderState::kLending) return;
  granted_at_ = asked_at;
  lent_until_ = asked_at + kTokenLife;
  remembered_until_ = asked_at + kRememberedRateLife;
  for (auto& item : accounts_) {
    item.second.remembered_rate = 0;
    item.second.remembered = 0;
    item.second.remembered_filled_at = lent_until_;
  }
  for (const TokenGrant& grant : reply.grants) {
    auto found = accounts_.find(grant.tenant);
    if (found == accounts_.end()) continue;
    Account& account = found->second;
    account.remembered_rate =
        static_cast<double>(grant.remembered_rate) / kThousandth;
    if (grant.tokens > 0) {
      account.lots.push_back(Lot{grant.tokens, asked_at + kTokenLife});
    }
    account.empty_until = now + grant.retry_after;
  }
}

}  // namespace fireflycart
