// Replaces the primary of one group so that no acknowledged commit is lost.
//
//   failover.Start(FailoverCause::kLost, old_primary, term, &context);
//   failover.Step(&pool, &context);       // after every event of the group
//   if (failover.is_done()) ...           // the new primary leads
//
// Two ways: a lost primary is replaced once every replica holds, so that the
// old one can acknowledge nothing more; a leaving primary goes on serving while
// all replicas but its successor hold, so that whatever it acknowledges is in
// the successor's log.
//
// Only the holder of the duty lease gives orders, so that two VMs never hold
// and resume the same replicas.
//
// Limits: one replacement at a time.

#ifndef FIREFLYCART_CORE_PROXY_FAILOVER_H_
#define FIREFLYCART_CORE_PROXY_FAILOVER_H_

#include <map>
#include <string>

#include "fireflycart/core/proxy/duty_lease.h"
#include "fireflycart/core/proxy/upstream_pool.h"

namespace fireflycart::proxy {

enum class FailoverCause {
  kLost,     // The primary answers nothing.
  kNone,     // No upstream leads.
  kStalled,  // Its commits reach no replica.
  kLeaving,  // It is about to stop.
};

const char* FailoverCauseName(FailoverCause cause);

enum class FailoverStage { kIdle, kHolding, kOrdered, kTakingEffect };

class Failover {
 public:
  // An entry that is missing from the registry for so long belongs to an
  // upstream that is gone; the platform restores entries within 2 s.
  static constexpr Duration kGoneAfter = Duration::Millis(2300);
  // An attempt that cannot make every replica hold is given up after it, so
  // that a primary which only this VM cannot reach goes on.
  static constexpr Duration kHoldLimit = Duration::Seconds(5);
  // Time for the successor of a leaving primary to receive what others have.
  static constexpr Duration kCatchUpLimit = Duration::Millis(400);
  // Pause before the next attempt.
  static constexpr Duration kRetryAfter = Duration::Millis(500);
  // Pause between two orders to hold, or two questions, to one upstream.
  static constexpr Duration kAskPeriod = Duration::Millis(60);
  // Time that a promotion has to take effect: three times the longest one.
  static constexpr Duration kEffectLimit = Duration::Seconds(3);
  static constexpr Duration kOrderTimeout = Duration::Millis(500);
  // A token is used only for so long after it was granted.
  static constexpr Duration kTokenLimit = Duration::Seconds(1);

  // Wait for an upstream that has the last acknowledged position. The position
  // is the log's end at the answer, so it may lie above what was acknowledged.
  static constexpr Duration kShortLimit = Duration::Seconds(4);

  explicit Failover(GroupId group) : group_(std::move(group)), lease_(group_) {}

  void Start(FailoverCause cause, const UpstreamId& old_primary, uint64_t term,
             ProxyContext* context);
  void Step(UpstreamPool* pool, ProxyContext* context);
  bool OnStore(const StoreAnswered& answer, ProxyContext* context) {
    return lease_.OnStore(answer, context);
  }
  bool OnPromotion(const PromotionAnswered& answer, ProxyContext* context);
  void OnWake(ProxyContext* context) { lease_.OnWake(context); }
  // Takes the duty ahead of need, so that an outage of the store does not
  // delay a replacement.
  void HoldDuty(uint64_t term, ProxyContext* context) {
    if (stage_ == FailoverStage::kIdle) lease_.Acquire(false, term, context);
  }

  // This VM is no longer to own the group: an attempt that has not ordered a
  // promotion yet is left to the next owner.
  void Yield(UpstreamPool* pool, ProxyContext* context);

  // Whether the other VMs were just heard, so that none of them took the group
  // for its own. Without it no token is used that the store did not confirm:
  // another VM may have a newer one. Returns true if that changed.
  bool SetFleetConfirmed(bool is_confirmed) {
    bool has_changed = is_confirmed != is_fleet_confirmed_;
    is_fleet_confirmed_ = is_confirmed;
    return has_changed;
  }

  bool is_active() const { return stage_ != FailoverStage::kIdle; }
  FailoverCause cause() const { return cause_; }
  const UpstreamId& successor() const { return successor_; }

  // While all replicas hold, the successor has every acknowledged commit: reads
  // of any kind may run there after this position. Unknown at other times.
  LogPosition frozen() const { return frozen_; }

  // Never promote an upstream below this position.
  void OnAcknowledged(LogPosition position) {
    if (acknowledged_ < position) acknowledged_ = position;
  }

 private:
  bool MayAcknowledge(const PooledUpstream& upstream,
                      ProxyContext* context) const;
  bool IsHeld(const PooledUpstream& upstream) const;
  bool MustHold(const UpstreamId& id) const;
  void StepHolding(UpstreamPool* pool, ProxyContext* context);
  void StepTakingEffect(UpstreamPool* pool, ProxyContext* context);
  bool HoldReplicas(UpstreamPool* pool, ProxyContext* context);
  void ChooseSuccessor(UpstreamPool* pool, ProxyContext* context);
  bool HasCaughtUp(UpstreamPool* pool, ProxyContext* context);
  bool HasUsableToken(ProxyContext* context) const;
  bool RenewToken(ProxyContext* context);
  void Order(ProxyContext* context);
  void Ask(const UpstreamId& id, CommandKind kind, UpstreamPool* pool,
           ProxyContext* context);
  bool PrimaryReturned(UpstreamPool* pool) const;
  bool OtherLeads(UpstreamPool* pool) const;
  void GiveUp(const char* reason, UpstreamPool* pool, ProxyContext* context);
  void Finish(UpstreamPool* pool, ProxyContext* context);
  void Resume(UpstreamPool* pool, ProxyContext* context);

  GroupId group_;
  DutyLease lease_;
  FailoverStage stage_ = FailoverStage::kIdle;
  FailoverCause cause_ = FailoverCause::kNone;
  UpstreamId old_primary_;
  UpstreamId successor_;
  uint64_t term_ = 0;
  Instant started_;
  LogPosition acknowledged_;
  LogPosition catch_up_;  // What a leaving primary's successor must hold.
  bool has_catch_up_ = false;
  Instant all_held_;
  LogPosition frozen_;
  bool has_ordered_hold_ = false;
  bool is_fleet_confirmed_ = false;
  CallId order_;
  TimePoint ordered_at_;
  TimePoint retry_at_;
  std::map<UpstreamId, TimePoint> asked_;
  std::map<UpstreamId, TimePoint> not_running_until_;
};

}  // namespace fireflycart::proxy

#endif  // FIREFLYCART_CORE_PROXY_FAILOVER_H_
