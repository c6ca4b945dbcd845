// Lends out the operations that tenants may start, from one place for all VMs.
//
//   TokenLender lender(&share);
//   lender.SetVoters(voters, now);
//   lender.SetChosen(is_chosen, now);
//   TokensReply reply = lender.OnCall(spender, call, now);
//
// A token permits one operation and is valid for a short time only, so that the
// tokens that are out never amount to much more than the limit. What a spender
// does not use returns with its next call.
//
// State: a bucket for each tenant that is asked for. Nothing of it lasts: a
// lender that begins waits until no token or remembered rate of an earlier
// lender is valid, and then starts with empty buckets. Until then it tells the
// spenders to go on at the rates that they remember.
//
// VMs that cannot reach each other choose different lenders. So some VMs, which
// follow from the store's list alone, have votes, each of which carries an
// equal part of every limit, and a lender lends the parts of the voters that
// call it. A VM calls one lender at a time. Its vote counts at another one only
// after it has ceased to count at the first, so all lenders together lend at
// most the whole limit, whatever each of them believes of the fleet. LimitShare
// decides which part a lender lends that lacks votes.
//
// Limits: VMs whose lists differ may count different voters for a moment.

#ifndef FIREFLYCART_CORE_TENANTS_TOKEN_LENDER_H_
#define FIREFLYCART_CORE_TENANTS_TOKEN_LENDER_H_

#include <cstddef>
#include <map>
#include <set>
#include <vector>

#include "fireflycart/core/clock.h"
#include "fireflycart/core/ids.h"
#include "fireflycart/core/tenants/limit_share.h"
#include "fireflycart/core/tenants/tenant_directory.h"
#include "fireflycart/core/tenants/token_messages.h"

namespace fireflycart {

class TokenLender {
 public:
  // Part of a tenant's rate that is lent; spenders may use a small part of
  // their own accord. See docs/design/tenant-limits.md for the sum.
  static constexpr double kLentShare = 0.95;
  // A lender that was not active for this long may have calls to read that were
  // sent long ago, so it begins anew.
  static constexpr Duration kMaxPause = Duration::Millis(600);
  // A vote counts for this long after the last call.
  static constexpr Duration kVoteLife = Duration::Millis(2200);
  // A vote begins to count after this time: a vote that counted elsewhere has
  // ended then, and so have the tokens that were lent for it.
  static constexpr Duration kStartDelay = Duration::Millis(2700);
  // A vote counts from its second call on, so long after the first.
  static constexpr Duration kMinCallTime = Duration::Millis(150);
  // A spender that has not called for this long uses no own allowance by this
  // lender.
  static constexpr Duration kOwnShareAge = Duration::Millis(1200);

  // After a restart of all VMs it starts sooner: when all voters have called it
  // for this long, each within the age, and none has borrowed since its own
  // start.
  static constexpr Duration kFreshTime = Duration::Millis(500);
  static constexpr Duration kFreshCallAge = Duration::Millis(1000);

  explicit TokenLender(const LimitShare* share) : share_(share) {}

  // The VMs that have votes, by the list of the store.
  void SetVoters(const std::set<VmId>& voters, TimePoint now);
  // This VM is the lender, from its own view, and is in touch with others.
  void SetChosen(bool is_chosen, TimePoint now);
  void SetTenants(const TenantSpecs& tenants) { tenants_ = tenants; }

  TokensReply OnCall(const VmId& spender, const TokensCall& call,
                     TimePoint now);
  LenderState State(TimePoint now) const;
  // Votes that count, and all.
  size_t CountVotes(TimePoint now) const;
  size_t voters() const { return voters_.size(); }

 private:
  struct Vote {
    bool is_voter = false;
    TimePoint since;  // Of calls without a gap.
    TimePoint called_at;
    bool counts = false;
    bool has_borrowed = true;
    bool remembers_rates = false;  // By the last reply.

    bool CountsAt(TimePoint now) const {
      return counts && now - called_at <= kVoteLife;
    }
  };
  // How much a spender takes, as a moving average.
  struct Taker {
    double rate = 0;
    double taken = 0;  // Since `since`.
    TimePoint since;
    TimePoint called_at;  // With a wish for the tenant.
    double told = 0;      // The rate that it remembers since then.
  };
  struct Bucket {
    double level = 0;
    TimePoint filled_at;
    std::map<VmId, Taker> takers;
  };

  void Check(TimePoint now);
  void CountVote(const VmId& spender, const TokensCall& call, TimePoint now);
  double Share(TimePoint now) const;
  double OwnShare(TimePoint now) const;
  // True if all voters call and no caller has borrowed.
  bool IsNothingLent(TimePoint now) const;
  void StartEarly(TimePoint now);
  TokenGrant Lend(const VmId& spender, const TenantSpec& tenant,
                  const TokenWish& wish, double share,
                  const std::vector<VmId>& silent, TimePoint now);
  static double RememberedRate(double limit, const VmId& spender,
                               Bucket* bucket, TimePoint now);
  std::vector<VmId> SilentSpenders(TimePoint now) const;
  double RateOf(const std::vector<VmId>& silent, const Bucket& bucket) const;

  const LimitShare* share_;
  TenantSpecs tenants_;
  std::set<VmId> voters_;
  std::map<VmId, Vote> votes_;
  bool is_chosen_ = false;
  bool was_chosen_ = false;
  TimePoint lends_from_;
  TimePoint fresh_since_;  // Since when nothing is lent; zero: something is.
  TimePoint checked_at_;
  std::map<TenantId, Bucket> buckets_;
};

}  // namespace fireflycart

#endif  // FIREFLYCART_CORE_TENANTS_TOKEN_LENDER_H_
