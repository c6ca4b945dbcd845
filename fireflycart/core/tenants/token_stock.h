// The tokens of one VM, each for one operation of a tenant.
//
//   TokenStock stock;
//   if (stock.Take(tenant, now)) Run();
//   TokensCall call = stock.MakeCall(now);       // to the lender
//   stock.OnReply(reply, asked_at);
//
// Tokens are borrowed in advance for tenants that use many, and asked for when
// an operation comes for the others. Beside them, the VM has a small allowance
// of its own, for operations that get no token: a part of the limit split
// evenly over the groups, with most of what the limit's rule lets pass beyond
// the limit. Of that, it uses the part that its lender tells it. For a while
// without a lender, it goes on at the rate that the last one told it.
//
// Limits: tokens that a lost message carried are lost.

#ifndef FIREFLYCART_CORE_TENANTS_TOKEN_STOCK_H_
#define FIREFLYCART_CORE_TENANTS_TOKEN_STOCK_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>

#include "fireflycart/core/clock.h"
#include "fireflycart/core/ids.h"
#include "fireflycart/core/tenants/tenant_directory.h"
#include "fireflycart/core/tenants/token_messages.h"

namespace fireflycart {

class TokenStock {
 public:
  // The part of a tenant's rate that the VMs use of their own accord.
  static constexpr double kOwnShare = 0.09;
  // Operations that they may start so at once, all together: these, and the
  // part of the burst. The rule lets twenty pass beyond the limit.
  static constexpr double kOwnBurst = 12;
  static constexpr double kOwnBurstShare = 0.1;
  // The own allowance is used for this long after a call that the lender
  // answered: others may own these groups and call another lender later.
  static constexpr Duration kOwnShareLife = Duration::Millis(600);

  void SetTenants(const TenantSpecs& tenants, TimePoint now);
  // The VM owns these of so many groups. The allowance of a group that is new
  // here starts empty. A VM that is not in touch with others has none.
  void SetGroups(const std::set<GroupId>& owned, size_t groups,
                 bool is_in_touch, TimePoint now);

  bool has_limits() const { return has_limits_; }
  bool IsLimited(const TenantId& tenant) const;
  // An operation of the tenant arrived.
  void OnArrival(const TenantId& tenant);
  // Takes a token of the lender, or a part of the remembered rate.
  bool Take(const TenantId& tenant, TimePoint now);
  // Takes a part of the VM's own allowance.
  bool TakeOwn(const TenantId& tenant, TimePoint now);
  // The lender has none until then.
  TimePoint empty_until(const TenantId& tenant) const;

  // Wants what is expected to be used within a token's life, and what
  // operations wait for. Returns the tokens that are left.
  TokensCall MakeCall(const std::map<TenantId, int64_t>& waiting,
                      TimePoint now);
  void OnReply(const TokensReply& reply, TimePoint asked_at, TimePoint now);

 private:
  struct Lot {
    int64_t tokens = 0;
    TimePoint expires;
  };
  struct Account {
    std::deque<Lot> lots;  // By expiry.
    int64_t returned = 0;  // Unused, to be returned with the next call.
    int64_t arrivals = 0;  // Since the last call.
    double arrival_rate = 0;
    double own = 0;
    TimePoint own_filled_at;
    double remembered_rate = 0;
    double remembered = 0;
    TimePoint remembered_filled_at;
    TimePoint empty_until;
  };

  void DropExpired(Account* account, TimePoint now) const;
  void FillOwn(const TenantSpec& tenant, Account* account, TimePoint now) const;
  double OwnPart(TimePoint now) const;
  void FillAll(TimePoint now);

  TenantSpecs tenants_;
  bool has_limits_ = false;
  std::set<GroupId> owned_;
  size_t groups_ = 0;
  bool is_in_touch_ = false;
  std::map<TenantId, Account> accounts_;
  TimePoint called_at_;
  // Remembered rates are in use after the last tokens expired, until then.
  TimePoint lent_until_;
  TimePoint remembered_until_;
  TimePoint granted_at_;  // When the last granted tokens were asked for.
  double own_share_ = 0;
  TimePoint own_share_until_;
};

}  // namespace fireflycart

#endif  // FIREFLYCART_CORE_TENANTS_TOKEN_STOCK_H_
