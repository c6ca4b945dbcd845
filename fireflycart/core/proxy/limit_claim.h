// Decides which part of the tenants' limits a lender may lend if it does not
// have the votes of all VMs, by a row of the platform's store.
//
//   claim.Step(is_chosen, votes, voters, &context);   // on every wake
//   if (claim.OnStore(answer, &context)) ...
//   double share = claim.Share(votes, voters, now);
//
// VMs whose votes a lender lacks may have ended, or may be cut off from it and
// have another lender. So at first it lends the parts of its own votes alone,
// and claims the row. After a while that others cannot outlast, the holder of
// the row lends the whole limit.
//
// Limits: while the store does not answer, no lender can claim the row, and one
// without the majority of the votes lends nothing after kUnclaimedLife.

#ifndef FIREFLYCART_CORE_PROXY_LIMIT_CLAIM_H_
#define FIREFLYCART_CORE_PROXY_LIMIT_CLAIM_H_

#include <string>

#include "fireflycart/core/proxy/proxy_context.h"
#include "fireflycart/core/tenants/limit_share.h"

namespace fireflycart::proxy {

class LimitClaim : public LimitShare {
 public:
  static constexpr Duration kCallPeriod = Duration::Millis(1000);
  static constexpr Duration kStoreTimeout = Duration::Millis(300);
  // A claim holds for this long after its last write was sent.
  static constexpr Duration kClaimLife = Duration::Millis(3000);
  // A claim of another VM is over if its row is the same for this long.
  static constexpr Duration kTakeOverAge = Duration::Millis(4000);
  // How long a read that shows no foreign claim permits a lender to lend the
  // parts of its votes, without and with the majority.
  static constexpr Duration kUnclaimedLife = Duration::Millis(7000);
  static constexpr Duration kMajorityUnclaimedLife = Duration::Millis(18000);
  // The holder of the row lends the whole limit so long after its claim, with
  // and without the majority: others have stopped by then.
  static constexpr Duration kMajorityDelay = Duration::Millis(8000);
  static constexpr Duration kMinorityDelay = Duration::Millis(20000);
  // How long a lender lacks votes before it claims. The votes of VMs that are
  // cut off end within the first; and one with the majority comes first.
  static constexpr Duration kMajorityWait = Duration::Millis(1000);
  static constexpr Duration kMinorityWait = Duration::Millis(4000);

  void Step(bool is_chosen, size_t votes, size_t voters, ProxyContext* context);
  // False if the answer is not to a call of this object.
  bool OnStore(const StoreAnswered& answer, ProxyContext* context);
  double Share(size_t votes, size_t voters, TimePoint now) const override;

 private:
  enum class RowState { kUnknown, kFree, kOwn, kForeign };

  static std::string RowKey();
  std::string OwnValue(ProxyContext* context) const;
  void Read(ProxyContext* context);
  void Write(const std::string& value, ProxyContext* context);
  void OnRow(const StoreAnswered& answer, ProxyContext* context);
  void OnWritten(const StoreAnswered& answer, ProxyContext* context);
  bool IsClaimed(TimePoint now) const;
  bool MayClaim(TimePoint now) const;

  bool is_chosen_ = false;
  size_t votes_ = 0;
  size_t voters_ = 0;
  TimePoint lacks_votes_since_;  // Zero: it has all.
  RowState row_state_ = RowState::kUnknown;
  StoreVersion row_version_;
  TimePoint row_seen_at_;  // When this version was first read.
  CallId call_;
  bool is_write_ = false;
  bool is_release_ = false;
  TimePoint sent_at_;
  TimePoint next_call_;
  // When it was last known that no other VM had claimed; zero: never.
  TimePoint unclaimed_at_;
  // Of the own claim.
  TimePoint renewed_at_;
  TimePoint claimed_at_;   // Zero: none.
  TimePoint usable_from_;  // The claim that it replaced is over by then.
};

}  // namespace fireflycart::proxy

#endif  // FIREFLYCART_CORE_PROXY_LIMIT_CLAIM_H_
