// Replaces the primary of one group without losing an acknowledged commit.
//
//   failover.Start(FailoverCause::kLost, old_primary, term, &context);
//   failover.Step(&pool, &context);       // after every event of the group
//   if (!failover.is_active()) ...        // replaced, or given up
//
// A held replica receives nothing more of the log. A lost primary is replaced
// once every replica is held, so that the old primary can acknowledge nothing
// more. That includes the replicas of the recorded commit set, however long
// they have been silent: one of them may alone have acknowledged commits. In a
// planned change the primary goes on serving while all replicas but
// its successor are held, so that whatever it acknowledges is in the
// successor's log.
//
// Only the holder of the duty lease sends commands, so that two VMs never hold
// and resume the same replicas. A VM that cannot reach the store does not know
// whether its token is still the newest. So each hold carries the token of the
// VM that placed it, and a promotion is ordered only while all these holds are
// in force: a hold with a newer token shows that another VM took the lease.
//
// An order to resume ends a hold whoever placed it. It is given under the
// lease, which is kept until the order has been answered or cannot arrive any
// more. While the store does not answer, a replica that shows the hold of this
// VM is resumed without it.
//
// A replica that does not answer is left out if this VM alone has passed on
// commits that a single replica had, and another held replica has all of them.
//
// Limits: one replacement at a time.

#ifndef FIREFLYCART_CORE_PROXY_FAILOVER_H_
#define FIREFLYCART_CORE_PROXY_FAILOVER_H_

#include <map>
#include <set>
#include <string>

#include "fireflycart/core/proxy/duty_lease.h"
#include "fireflycart/core/proxy/upstream_pool.h"

namespace fireflycart::proxy {

enum class FailoverCause {
  kLost,       // The primary does not answer.
  kNoPrimary,  // No upstream is the primary.
  kStalled,    // The primary's commits reach no replica.
  kLeaving,    // The primary is about to stop.
  // The replicas apply the log too late; see core/admission/lag_relief.h.
  kReplicasLate,
};

const char* FailoverCauseName(FailoverCause cause);

enum class FailoverStage {
  kIdle,
  kHoldingReplicas,
  kPromotionRequested,  // The platform has not answered yet.
  kAwaitingNewPrimary   // No upstream leads in a newer term yet.
};

class Failover {
 public:
  // An upstream whose registry entry is missing for this long is sent no work.
  // Its log may still be needed.
  static constexpr Duration kUnregisteredTimeout = UpstreamPool::kEndedTime;
  // An attempt that cannot hold every replica is given up after this time, so
  // that a primary that only this VM cannot reach goes on serving.
  static constexpr Duration kHoldTimeout = Duration::Seconds(5);
  // How long the successor of a leaving primary has to receive the commits
  // that the other upstreams have.
  static constexpr Duration kCatchUpTimeout = Duration::Millis(400);
  // Delay before the next attempt.
  static constexpr Duration kRetryDelay = Duration::Millis(500);
  // Minimum interval between two hold or status commands to one upstream.
  static constexpr Duration kCommandInterval = Duration::Millis(60);
  // How long a promotion has to take effect: three times the longest one.
  static constexpr Duration kPromotionEffectTimeout = Duration::Seconds(3);
  static constexpr Duration kPromotionCallTimeout = Duration::Millis(500);
  // A token may be used for this long after it was granted.
  static constexpr Duration kTokenMaxAge = Duration::Seconds(1);

  // Replicas that have not resumed for this time are left to the VM that owns
  // the group by then.
  static constexpr Duration kResumeTimeout = Duration::Seconds(5);
  // A promotion is ordered only if each replica has shown within this time that
  // it is held.
  static constexpr Duration kHoldEvidenceAge = Duration::Millis(500);
  // Interval at which a lease that is kept is renewed.
  static constexpr Duration kLeaseRenewal = Duration::Seconds(1);

  // A promotion is ordered only by a list of upstreams that was confirmed
  // within this time: a VM that follows the store alone confirms it at least
  // that often.
  static constexpr Duration kListMaxAge = Duration::Millis(4500);

  // How long to wait for a replica that has the last acknowledged position.
  // That position is the end of the log when the primary answered, so it may
  // lie above what was acknowledged. The recorded commit set then shows that
  // the longest log is complete; without it, the wait has no limit.
  static constexpr Duration kShortLogTimeout = Duration::Seconds(4);
  // A VM that does not know the newest list of upstreams passes on what every
  // replica of its list has, if the list is at most this old. So a replica has
  // all that was passed on after it had been listed for this long.
  static constexpr Duration kMaxUntrustedListAge = Duration::Seconds(4);
  // Interval at which the primary's position is recorded.
  static constexpr Duration kBaseInterval = Duration::Seconds(2);

  explicit Failover(GroupId group) : group_(std::move(group)), lease_(group_) {}

  // The term of a hold that is placed in this term with this token. It is above
  // the term, and grows with the token.
  static uint64_t HoldTermOf(uint64_t term, uint64_t token);
  // True if a promotion has ended the term in which the hold was placed.
  static bool IsHoldOver(uint64_t hold_term, uint64_t term);

  void Start(FailoverCause cause, const UpstreamId& old_primary, uint64_t term,
             ProxyContext* context);
  // Starts a planned change to that replica, which is given up if the replica
  // cannot take over.
  void StartChangeTo(const UpstreamId& successor, const UpstreamId& old_primary,
                     uint64_t term, ProxyContext* context);
  void Step(UpstreamPool* pool, ProxyContext* context);
  bool OnStore(const StoreAnswered& answer, ProxyContext* context) {
    return lease_.OnStore(answer, context);
  }
  bool OnPromotion(const PromotionAnswered& answer, ProxyContext* context);
  void OnWake(ProxyContext* context) { lease_.OnWake(context); }
  void OnStoreRestored(StoreEra era, TimePoint at) {
    lease_.OnStoreRestored(era, at);
  }
  // Acquires the lease before it is needed, so that an outage of the store does
  // not delay a replacement.
  void AcquireLeaseInAdvance(uint64_t term, ProxyContext* context) {
    if (is_settled() && !keeps_lease_) lease_.Acquire(false, term, context);
  }
  // Keeps the lease while no replacement is active, so that no other VM orders
  // a promotion; releases it once it is not needed any more.
  void KeepLease(bool is_needed, uint64_t term, ProxyContext* context);
  const DutyLease& lease() const { return lease_; }

  // This VM no longer owns the group. Gives up an attempt that has not
  // requested a promotion yet; the next owner starts its own.
  void OnOwnershipLost(UpstreamPool* pool, ProxyContext* context);

  // Sets whether the other VMs answered recently, so that none of them has
  // taken over the group. If not, a token that the store did not confirm is not
  // used, since another VM may have a newer one. Returns true on a change.
  bool SetFleetReachable(bool is_reachable) {
    bool has_changed = is_reachable != is_fleet_reachable_;
    is_fleet_reachable_ = is_reachable;
    return has_changed;
  }

  // Ends the holds of these replicas, which no failover needs any more, as soon
  // as this VM has the lease.
  void EndHolds(const std::set<UpstreamId>& replicas, uint64_t term,
                ProxyContext* context);

  bool is_active() const { return stage_ != FailoverStage::kIdle; }
  // True until the replicas that were held and can be reached have resumed.
  bool is_ending_holds() const { return !resuming_.empty(); }
  // True if nothing is left to do after an attempt.
  bool is_settled() const {
    return !is_active() && !is_ending_holds() && !releases_lease_;
  }
  bool is_promoting() const {
    return stage_ == FailoverStage::kPromotionRequested ||
           stage_ == FailoverStage::kAwaitingNewPrimary;
  }
  // True during a planned change in which no other VM can replace the primary,
  // since this one has the lease.
  bool IsChangeExclusive(TimePoint now) const {
    return is_active() && is_planned() && lease_.has_token() &&
           now - lease_.granted_at() < DutyLease::kLeaseDuration;
  }
  FailoverCause cause() const { return cause_; }
  // True if the old primary serves until the successor leads.
  bool is_planned() const {
    return cause_ == FailoverCause::kLeaving ||
           cause_ == FailoverCause::kReplicasLate;
  }
  // When writes are expected to be served again, if the primary is being
  // replaced and an earlier replacement gives an estimate; otherwise zero.
  TimePoint expected_end() const;
  const UpstreamId& successor() const { return successor_; }
  // True if replicas that do not answer, and so may acknowledge commits of the
  // old primary, are left out.
  bool leaves_out_silent() const { return is_active() && leaves_out_silent_; }

  // The successor's log position while all replicas are held; unknown at other
  // times. The successor then has every acknowledged commit, so reads of any
  // kind may run there after this position.
  LogPosition held_position() const { return held_position_; }

  // True if the log of the upstream that takes over contains the commit at this
  // position, which the old primary has acknowledged. Otherwise its outcome is
  // unknown. A replica that restarts after it was held receives the log again,
  // so the old primary can acknowledge commits that the successor lacks.
  bool IsCommitKept(LogPosition position, const UpstreamPool& pool,
                    ProxyContext* context) const;

  // Records that the group's primary, which answers, has this position. It
  // covers what other VMs passed on while they could count single replicas.
  void OnPrimaryStatus(const PooledUpstream& primary, ProxyContext* context);
  // Starts to record the commit set.
  void RecordCommitSet(const CommitSet& set, ProxyContext* context) {
    lease_.Record(set, set.term, context);
  }
  void LearnCommitSet(ProxyContext* context) { lease_.Learn(context); }
  void KeepLeaseConfirmed(ProxyContext* context) {
    lease_.KeepConfirmed(context);
  }
  // A recorded upstream that does not answer and without which the primary
  // cannot be replaced; none if there is no such upstream.
  UpstreamId AwaitedUpstream(const UpstreamId& lost_primary, uint64_t term,
                             const UpstreamPool& pool,
                             ProxyContext* context) const;

  // Records an acknowledged position. An upstream below it is not promoted,
  // except as successor of a leaving primary, or after kShortLogTimeout if the
  // commit set is known.
  void OnAcknowledged(LogPosition position) {
    if (acknowledged_ < position) acknowledged_ = position;
  }
  LogPosition acknowledged() const { return acknowledged_; }

 private:
  bool MayAcknowledge(const PooledUpstream& upstream, const UpstreamPool& pool,
                      ProxyContext* context) const;
  // True if the commit set names the upstream and its log is needed to replace
  // that primary.
  bool IsNeeded(const UpstreamId& id, const UpstreamId& lost_primary,
                uint64_t term, const UpstreamPool& pool) const;
  bool ReachesCommitSet(const UpstreamPool& pool) const;
  // The position up to which commits of this term and earlier ones may have
  // been passed on, if this VM knows it; otherwise unknown.
  LogPosition PassedOnPosition(uint64_t term, ProxyContext* context) const;
  bool IsComplete(const PooledUpstream& replica, const UpstreamPool& pool,
                  LogPosition position, ProxyContext* context) const;
  bool HasCompleteReplica(const UpstreamPool& pool, uint64_t term,
                          ProxyContext* context) const;
  void ReviewSilentReplicas(const UpstreamPool& pool, ProxyContext* context);
  bool IsHeld(const PooledUpstream& upstream) const;
  // True if a VM with a newer token holds the upstream.
  bool HasNewerHold(const PooledUpstream& upstream) const;
  bool IsAnyHoldNewer(const UpstreamPool& pool) const;
  bool MustHold(const UpstreamId& id, const UpstreamPool& pool) const;
  bool AreReplicasHeld(const UpstreamPool& pool, ProxyContext* context) const;
  void StepHoldingReplicas(UpstreamPool* pool, ProxyContext* context);
  // Logs what keeps a lost primary from being replaced, once for each cause in
  // a row.
  void ReportWait(const char* cause, ProxyContext* context);
  bool ReplaceSuccessor(UpstreamPool* pool, ProxyContext* context);
  void StepAwaitingNewPrimary(UpstreamPool* pool, ProxyContext* context);
  bool HoldReplicas(UpstreamPool* pool, ProxyContext* context);
  void RequestHoldEvidence(UpstreamPool* pool, ProxyContext* context);
  bool WouldLeadAlone(const UpstreamPool& pool, ProxyContext* context) const;
  bool LeadsEarlierTerm(const PooledUpstream& upstream) const;
  void SendDemote(const PooledUpstream& upstream, UpstreamPool* pool,
                  ProxyContext* context);
  bool IsExcluded(const UpstreamId& id, ProxyContext* context) const;
  bool IsCandidate(const PooledUpstream& upstream, ProxyContext* context) const;
  void ChooseSuccessor(UpstreamPool* pool, ProxyContext* context);
  bool HasCaughtUp(UpstreamPool* pool, ProxyContext* context);
  bool HasUsableToken(const UpstreamPool& pool, ProxyContext* context) const;
  bool RenewToken(const UpstreamPool& pool, ProxyContext* context);
  void RequestPromotion(const UpstreamPool& pool, ProxyContext* context);
  bool IsOrderSettled(const UpstreamPool& pool) const;
  // Logs what an order of promotion rests on.
  void LogEvidence(const UpstreamPool& pool, ProxyContext* context) const;
  void TrackHolds(UpstreamPool* pool, ProxyContext* context);
  bool IsHoldConfirmed(const PooledUpstream& upstream,
                       ProxyContext* context) const;
  bool AreHoldsConfirmed(const UpstreamPool& pool, ProxyContext* context) const;
  bool SendCommand(const UpstreamId& id, CommandKind kind, UpstreamPool* pool,
                   ProxyContext* context);
  bool HasPrimaryReturned(UpstreamPool* pool) const;
  bool HasNewPrimary(UpstreamPool* pool) const;
  void GiveUp(const char* reason, UpstreamPool* pool, ProxyContext* context);
  void Finish(UpstreamPool* pool, ProxyContext* context);
  // Ends the attempt; the replicas are resumed and the lease is released.
  void EndAttempt(uint64_t term, UpstreamPool* pool, ProxyContext* context);
  // True if the replica needs no order to resume from this VM any more.
  bool IsResumeOver(const PooledUpstream* upstream) const;
  void ResumeReplicas(UpstreamPool* pool, ProxyContext* context);
  bool MayResume(ProxyContext* context) const;
  void StepResuming(UpstreamPool* pool, ProxyContext* context);

  GroupId group_;
  DutyLease lease_;
  FailoverStage stage_ = FailoverStage::kIdle;
  FailoverCause cause_ = FailoverCause::kNoPrimary;
  UpstreamId old_primary_;
  UpstreamId successor_;
  uint64_t term_ = 0;
  uint64_t hold_term_ = 0;  // Of the holds that this VM places.
  Instant started_;
  LogPosition acknowledged_;
  // What a leaving primary's successor must have received.
  LogPosition catch_up_position_;
  bool has_catch_up_position_ = false;
  Instant all_held_at_;
  LogPosition held_position_;
  bool has_sent_hold_ = false;
  bool keeps_lease_ = false;
  TimePoint next_renewal_;
  bool is_fleet_reachable_ = false;
  CallId promotion_;
  TimePoint promotion_requested_at_;
  std::string reported_wait_;
  Duration replacement_time_;  // Of the last lost primary; zero: none yet.
  TimePoint retry_at_;
  std::map<UpstreamId, TimePoint> command_sent_at_;
  // When those that are held were first seen to be.
  std::map<UpstreamId, Instant> held_at_;
  std::set<UpstreamId> resuming_;  // Not known to have resumed yet.
  Instant resuming_since_;
  TimePoint resume_deadline_;
  bool releases_lease_ = false;  // Once no order to resume is on its way.
  uint64_t release_term_ = 0;
  std::map<UpstreamId, TimePoint> excluded_until_;
  // A successor that was ordered before may lead unseen by this VM.
  bool has_unseen_order_ = false;
  // Replicas that do not answer may be left out of this attempt.
  bool leaves_out_silent_ = false;
  // A position of the primary that was taken while this VM was the only one
  // that counts single replicas, its term, and since when it has been that.
  LogPosition base_position_;
  uint64_t base_term_ = 0;
  TimePoint base_sole_since_;
  TimePoint base_time_;  // When that status was requested.
};

}  // namespace fireflycart::proxy

#endif  // FIREFLYCART_CORE_PROXY_FAILOVER_H_
