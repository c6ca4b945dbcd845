// Lends out the operations that tenants may start, from one place for all VMs.
//
//   TokenLender lender;
//   lender.SetView(is_chosen, groups, now);
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
// Two VMs may take themselves for the lender while their views differ. A lender
// lends only while the spenders of more than half of the groups call it, and
// each spender calls one lender.
//
// Limits: a group that is owned by two VMs which call two lenders counts for
// both, so in a partition into halves each half may lend the whole limit.

#ifndef FIREFLYCART_CORE_TENANTS_TOKEN_LENDER_H_
#define FIREFLYCART_CORE_TENANTS_TOKEN_LENDER_H_

#include <map>

#include "fireflycart/core/clock.h"
#include "fireflycart/core/ids.h"
#include "fireflycart/core/tenants/tenant_directory.h"
#include "fireflycart/core/tenants/token_messages.h"

namespace fireflycart {

class TokenLender {
 public:
  // Part of a tenant's rate that is lent; spenders may use a small part of
  // their own accord. See docs/design/tenant-limits.md for the sum.
  static constexpr double kLentShare = 0.95;
  // A spender that has not called for so long does not count.
  static constexpr Duration kCallAge = Duration::Millis(600);
  // The spenders of an earlier lender may have called it for kCallAge
  // after they ceased to be the majority, and may remember its rates since
  // then.
  static constexpr Duration kStartDelay =
      kCallAge + kRememberedRateLife + Duration::Millis(100);

  // After a restart of all VMs it starts sooner: when the spenders of all
  // groups have called it for this long, each within the age, and none has
  // borrowed since its own start.
  static constexpr Duration kFreshTime = Duration::Millis(500);
  static constexpr Duration kFreshCallAge = Duration::Millis(300);

  // `is_chosen`: this VM is the lender, from its own view, and is in touch with
  // others. `groups` is the number of all groups.
  void SetView(bool is_chosen, size_t groups, TimePoint now);
  void SetTenants(const TenantSpecs& tenants) { tenants_ = tenants; }

  TokensReply OnCall(const VmId& spender, const TokensCall& call,
                     TimePoint now);
  LenderState State(TimePoint now) const;

 private:
  // How much a spender takes, as a moving average.
  struct Taker {
    double rate = 0;
    double taken = 0;  // Since `since`.
    TimePoint since;
  };
  struct Bucket {
    double level = 0;
    TimePoint filled_at;
    std::map<VmId, Taker> takers;
  };
  struct GroupReport {
    VmId spender;
    TimePoint at;
    bool has_borrowed = true;
  };

  void Check(TimePoint now);
  size_t CoveredGroups(TimePoint now) const;
  // True if the spenders of all groups call and have never borrowed.
  bool IsNothingLent(TimePoint now) const;
  void StartEarly(TimePoint now);
  TokenGrant Lend(const VmId& spender, const TenantSpec& tenant,
                  const TokenWish& wish, TimePoint now);
  static double RememberedRate(const TenantSpec& tenant, const VmId& spender,
                               Bucket* bucket, TimePoint now);

  TenantSpecs tenants_;
  bool is_chosen_ = false;
  size_t groups_ = 0;
  std::map<GroupId, GroupReport> reports_;
  bool has_majority_ = false;
  TimePoint lends_from_;   // While it has the majority.
  TimePoint fresh_since_;  // Since when nothing is lent; zero: something is.
  TimePoint checked_at_;
  std::map<TenantId, Bucket> buckets_;
};

}  // namespace fireflycart

#endif  // FIREFLYCART_CORE_TENANTS_TOKEN_LENDER_H_
