// A commit is acknowledged only once a replica has received it. So when all
// replicas are held, nothing more can be acknowledged, and the replica with the
// longest log has every acknowledged commit. A replica that does not answer
// delays the replacement, since it might still acknowledge commits of the old
// primary, and its log may be the longest. One that is not in the commit set
// counts until its registry entry has been missing for kUnregisteredTimeout:
// no commit was passed on because it alone had it.
//
// The VM that alone counts single replicas, see DutyLease::IsSole(), knows up
// to which position commits were passed on: a position of the primary, taken
// every kBaseInterval, or a later one that it passed on itself. Other VMs pass
// on only what every replica of their lists has. So a held replica that had
// been listed for kMaxUntrustedListAge when the position was taken, and has it,
// has every such commit; as it is held, no other VM passes on anything more.
//
// A replica reports the term of the last hold that it was sent. Holds of VMs
// with different tokens differ, so a VM sees when another one has replaced its
// hold. A VM whose token the store does not confirm requests the status right
// before each hold: its own hold would hide an earlier one with a newer token.
//
// In a planned change, all replicas but the successor are held. The promotion
// waits until the successor has what was acknowledged before; later commits are
// acknowledged only by the successor. So an attempt is for one successor; if
// that one cannot take over, the replicas are resumed and a new attempt begins.

#include "fireflycart/core/proxy/failover.h"

#include <iterator>

namespace fireflycart::proxy {
namespace {

constexpr char kPart[] = "failover";
// How long an upstream that cannot be promoted is no candidate.
constexpr Duration kNotRunningExclusion = Duration::Seconds(1);
// Maximum age of a status by which a hold is ended without the lease.
constexpr Duration kOwnHoldMaxAge = Duration::Millis(100);
// The lower bits of the term of a hold are those of the token: of its version's
// number, and above them of its era.
constexpr int kHoldNumberBits = 32;
constexpr int kHoldEraBits = 8;
constexpr int kHoldTokenBits = kHoldNumberBits + kHoldEraBits;

constexpr uint64_t LowerBits(uint64_t value, int bits) {
  return value & ((uint64_t{1} << bits) - 1);
}

std::string FormatPosition(LogPosition position) {
  return std::to_string(position.term) + "." + std::to_string(position.number);
}

}  // namespace

const char* FailoverCauseName(FailoverCause cause) {
  switch (cause) {
    case FailoverCause::kLost:
      return "primary_lost";
    case FailoverCause::kNoPrimary:
      return "no_primary";
    case FailoverCause::kStalled:
      return "replication_stalled";
    case FailoverCause::kLeaving:
      return "primary_leaving";
    case FailoverCause::kReplicasLate:
      return "replicas_late";
  }
  return "unknown";
}

uint64_t Failover::HoldTermOf(uint64_t term, uint64_t token) {
  uint64_t era = LowerBits(token >> DutyLease::kTokenNumberBits, kHoldEraBits);
  return ((term + 1) << kHoldTokenBits) | (era << kHoldNumberBits) |
         LowerBits(token, kHoldNumberBits);
}

bool Failover::IsHoldOver(uint64_t hold_term, uint64_t term) {
  uint64_t held_above = hold_term >> kHoldTokenBits;
  // A VM of an earlier version holds with the term alone.
  return (held_above == 0 ? hold_term : held_above) <= term;
}

void Failover::Start(FailoverCause cause, const UpstreamId& old_primary,
                     uint64_t term, ProxyContext* context) {
  if (is_active() || context->now() < retry_at_) return;
  stage_ = FailoverStage::kHoldingReplicas;
  cause_ = cause;
  old_primary_ = old_primary;
  term_ = term;
  started_ = context->instant();
  successor_ = UpstreamId();
  has_catch_up_position_ = false;
  all_held_at_ = Instant();
  held_position_ = LogPosition();
  has_sent_hold_ = false;
  has_unseen_order_ = false;
  leaves_out_silent_ = false;
  is_fleet_reachable_ = false;
  reported_wait_.clear();
  command_sent_at_.clear();
  held_at_.clear();
  resuming_.clear();
  releases_lease_ = false;
  context->Log(LogLevel::kWarning, kPart, "started",
               {{"group", group_.value()},
                {"cause", FailoverCauseName(cause)},
                {"old_primary", old_primary.value()},
                {"term", std::to_string(term)},
                {"acknowledged", FormatPosition(acknowledged_)}});
  lease_.Acquire(true, term, context);
}

void Failover::StartChangeTo(const UpstreamId& successor,
                             const UpstreamId& old_primary, uint64_t term,
                             ProxyContext* context) {
  if (is_active() || context->now() < retry_at_) return;
  Start(FailoverCause::kReplicasLate, old_primary, term, context);
  successor_ = successor;
}

void Failover::KeepLease(bool is_needed, uint64_t term, ProxyContext* context) {
  bool is_over = keeps_lease_ && !is_needed;
  if (!is_settled() || (!is_needed && !is_over)) return;
  keeps_lease_ = is_needed;
  if (is_over) {
    lease_.Release(term, context);
    return;
  }
  if (lease_.is_acquiring()) return;
  if (context->now() >= next_renewal_) {
    next_renewal_ = context->now() + kLeaseRenewal;
    lease_.Keep(term, context);
  }
  context->WakeAt(next_renewal_);
}

TimePoint Failover::expected_end() const {
  bool is_known =
      is_active() && !is_planned() && replacement_time_ != Duration();
  return is_known ? started_.time + replacement_time_ : TimePoint();
}

// What the primary of the newest term acknowledged is in the log of a replica
// of the set, so its own log is not needed. An earlier primary may be the only
// upstream that has a commit.
bool Failover::IsNeeded(const UpstreamId& id, const UpstreamId& lost_primary,
                        uint64_t term, const UpstreamPool& pool) const {
  const CommitSet& set = lease_.commit_set();
  if (set.members.count(id) == 0) return false;
  if (set.term == term) return id != set.primary;
  if (id != lost_primary) return true;
  auto lost = pool.upstreams().find(id);
  bool led_later = lost != pool.upstreams().end() && lost->second.has_status &&
                   lost->second.status.is_primary &&
                   lost->second.status.term > set.term;
  return !led_later;
}

bool Failover::MayAcknowledge(const PooledUpstream& upstream,
                              const UpstreamPool& pool,
                              ProxyContext* context) const {
  if (pool.ReplacementOf(upstream) != nullptr) return false;
  if (leaves_out_silent_ && upstream.is_down) return false;
  if (upstream.is_registered) return true;
  if (IsNeeded(upstream.record.id, old_primary_, term_, pool)) return true;
  return context->now() - upstream.unregistered_at < kUnregisteredTimeout;
}

// False if the log of a recorded upstream is out of reach, or if no recorded
// replica is left that could have the acknowledged commits.
bool Failover::ReachesCommitSet(const UpstreamPool& pool) const {
  const CommitSet& set = lease_.commit_set();
  if (!set.is_known() || is_planned()) return true;
  bool reaches_any = false;
  for (const auto& member : set.members) {
    if (!IsNeeded(member.first, old_primary_, term_, pool)) continue;
    const PooledUpstream* upstream = pool.WithLogOf(member.first, set);
    bool answers = upstream != nullptr && !upstream->is_down;
    if (!answers && !leaves_out_silent_) return false;
    reaches_any = reaches_any || answers;
  }
  return reaches_any;
}

UpstreamId Failover::AwaitedUpstream(const UpstreamId& lost_primary,
                                     uint64_t term, const UpstreamPool& pool,
                                     ProxyContext* context) const {
  const CommitSet& set = lease_.commit_set();
  if (!set.is_known() || HasCompleteReplica(pool, term, context)) {
    return UpstreamId();
  }
  bool needs_any = false;
  for (const auto& member : set.members) {
    if (!IsNeeded(member.first, lost_primary, term, pool)) continue;
    needs_any = true;
    const PooledUpstream* upstream = pool.WithLogOf(member.first, set);
    if (upstream == nullptr || upstream->is_down) return member.first;
  }
  return needs_any ? UpstreamId() : set.primary;
}

void Failover::OnPrimaryStatus(const PooledUpstream& primary,
                               ProxyContext* context) {
  if (!lease_.IsSole(context->now())) return;
  TimePoint sole_since = lease_.sole_since();
  bool is_known = base_term_ == primary.status.term &&
                  base_sole_since_ == sole_since &&
                  primary.status_sent.time - base_time_ < kBaseInterval;
  bool is_evidence = lease_.commit_set().term == primary.status.term &&
                     primary.status_sent.time >= sole_since;
  if (is_known || !is_evidence) return;
  base_term_ = primary.status.term;
  base_sole_since_ = sole_since;
  base_position_ = primary.status.received;
  base_time_ = primary.status_sent.time;
}

LogPosition Failover::PassedOnPosition(uint64_t term,
                                       ProxyContext* context) const {
  bool is_known = lease_.IsSole(context->now()) &&
                  !lease_.commit_set().may_have_order && base_term_ != 0 &&
                  base_term_ <= term && base_sole_since_ == lease_.sole_since();
  if (!is_known) return LogPosition();
  return base_position_ < acknowledged_ ? acknowledged_ : base_position_;
}

// What other VMs passed on before the position was taken is covered by it;
// later on, they knew the replica.
bool Failover::IsComplete(const PooledUpstream& replica,
                          const UpstreamPool& pool, LogPosition position,
                          ProxyContext* context) const {
  bool is_listed = replica.is_registered &&
                   pool.WasListed(replica, base_time_ - kMaxUntrustedListAge) &&
                   pool.ListAge(context->now()) <= kUnregisteredTimeout;
  return is_listed && !replica.is_down && !replica.record.leaving &&
         replica.has_status && !replica.status.is_primary &&
         lease_.commit_set().HasMember(replica.record) &&
         !(replica.status.received < position);
}

bool Failover::HasCompleteReplica(const UpstreamPool& pool, uint64_t term,
                                  ProxyContext* context) const {
  LogPosition position = PassedOnPosition(term, context);
  if (!position.known()) return false;
  for (const auto& item : pool.upstreams()) {
    if (IsComplete(item.second, pool, position, context)) return true;
  }
  return false;
}

// Decides whether replicas that do not answer are left out: if a held one, or
// the successor of a planned change, has all that was passed on.
void Failover::ReviewSilentReplicas(const UpstreamPool& pool,
                                    ProxyContext* context) {
  leaves_out_silent_ = false;
  LogPosition position = PassedOnPosition(term_, context);
  if (!position.known()) return;
  for (const auto& item : pool.upstreams()) {
    bool may_lead =
        is_planned() ? item.first == successor_ : IsHeld(item.second);
    bool is_complete =
        may_lead && IsComplete(item.second, pool, position, context);
    leaves_out_silent_ = leaves_out_silent_ || is_complete;
  }
}

bool Failover::IsHeld(const PooledUpstream& upstream) const {
  return upstream.is_status_of_this_connection() &&
         upstream.status_sent.sequence > started_.sequence &&
         !(upstream.status_sent.time < upstream.resume_may_arrive_until) &&
         !upstream.is_down && upstream.status.held_term == hold_term_;
}

bool Failover::HasNewerHold(const PooledUpstream& upstream) const {
  return !upstream.is_down && upstream.is_status_of_this_connection() &&
         upstream.status.held_term > hold_term_;
}

bool Failover::IsAnyHoldNewer(const UpstreamPool& pool) const {
  for (const auto& item : pool.upstreams()) {
    if (item.first != old_primary_ && HasNewerHold(item.second)) return true;
  }
  return false;
}

bool Failover::AreReplicasHeld(const UpstreamPool& pool,
                               ProxyContext* context) const {
  for (const auto& item : pool.upstreams()) {
    if (!MustHold(item.first, pool) ||
        !MayAcknowledge(item.second, pool, context)) {
      continue;
    }
    if (!IsHeld(item.second)) return false;
  }
  return true;
}

bool Failover::IsCommitKept(LogPosition position, const UpstreamPool& pool,
                            ProxyContext* context) const {
  if (!is_promoting() || position.term > term_) return true;
  if (is_planned()) return AreReplicasHeld(pool, context);
  return !(held_position_ < position);
}

bool Failover::MustHold(const UpstreamId& id, const UpstreamPool& pool) const {
  if (id == old_primary_) return IsNeeded(id, id, term_, pool);
  return !is_planned() || id != successor_;
}

bool Failover::SendCommand(const UpstreamId& id, CommandKind kind,
                           UpstreamPool* pool, ProxyContext* context) {
  TimePoint& sent_at = command_sent_at_[id];
  if (sent_at != TimePoint() && context->now() - sent_at < kCommandInterval) {
    context->WakeAt(sent_at + kCommandInterval);
    return false;
  }
  // A slow upstream is not sent more before it has answered.
  if (pool->IsControlBusy(id)) return false;
  UpstreamCommand command;
  command.kind = kind;
  command.term = hold_term_;
  bool may_hide_newer = kind == CommandKind::kHold && !lease_.has_token();
  if (may_hide_newer) {
    UpstreamCommand status;
    if (!pool->SendControl(id, status, context)) return false;
  }
  if (!pool->SendControl(id, command, context)) return false;
  sent_at = context->now();
  context->WakeAt(sent_at + kCommandInterval);
  return true;
}

void Failover::Step(UpstreamPool* pool, ProxyContext* context) {
  if (stage_ == FailoverStage::kIdle) {
    StepResuming(pool, context);
    return;
  }
  if (HasNewPrimary(pool)) {
    Finish(pool, context);
    return;
  }
  TrackHolds(pool, context);
  if (stage_ == FailoverStage::kHoldingReplicas) {
    StepHoldingReplicas(pool, context);
  } else {
    StepAwaitingNewPrimary(pool, context);
  }
}

bool Failover::HasNewPrimary(UpstreamPool* pool) const {
  for (const auto& item : pool->upstreams()) {
    const PooledUpstream& upstream = item.second;
    bool leads = upstream.has_status && upstream.status.is_primary &&
                 upstream.status.term > term_;
    if (leads) return true;
  }
  return false;
}

// True if a primary that was lost or unknown answers.
bool Failover::HasPrimaryReturned(UpstreamPool* pool) const {
  bool may_return =
      cause_ == FailoverCause::kLost || cause_ == FailoverCause::kNoPrimary;
  if (!may_return) return false;
  for (const auto& item : pool->upstreams()) {
    const PooledUpstream& upstream = item.second;
    bool leads = !upstream.is_down && upstream.has_status &&
                 upstream.status.is_primary && upstream.status.term == term_ &&
                 upstream.status_sent.sequence > started_.sequence;
    if (leads) return true;
  }
  return false;
}

void Failover::StepHoldingReplicas(UpstreamPool* pool, ProxyContext* context) {
  if (!has_unseen_order_ && HasPrimaryReturned(pool)) {
    GiveUp("the primary answers", pool, context);
    return;
  }
  bool is_over = context->now() - started_.time > kHoldTimeout;
  if (is_over && !has_unseen_order_) {
    GiveUp("not every replica could be held in time", pool, context);
    return;
  }
  if (is_planned()) {
    PooledUpstream* old = pool->FindUpstream(old_primary_);
    if (old == nullptr || old->is_down) {
      // The primary stopped early, so it is replaced like a lost one.
      cause_ = FailoverCause::kLost;
      successor_ = UpstreamId();
    } else if (successor_ == UpstreamId()) {
      // The holds and the position to catch up with were for the successor
      // that is gone. Another one, held meanwhile, lacks later commits.
      if (has_sent_hold_ || cause_ == FailoverCause::kReplicasLate) {
        GiveUp("the successor cannot take over", pool, context);
        return;
      }
      ChooseSuccessor(pool, context);
      if (successor_ == UpstreamId()) return;
    }
  }
  if (!RenewToken(*pool, context)) {
    ReportWait("a token", context);
    return;
  }
  uint64_t hold_term = HoldTermOf(term_, lease_.token());
  if (hold_term != hold_term_) held_at_.clear();  // They are held anew.
  hold_term_ = hold_term;
  // With a token that the store confirmed, such a hold is one left behind.
  if (!lease_.has_token() && IsAnyHoldNewer(*pool)) {
    has_sent_hold_ = false;  // The other VM needs these holds.
    GiveUp("a VM with a newer token holds a replica", pool, context);
    return;
  }
  if (lease_.commit_set().term > term_) {
    GiveUp("a later term is recorded", pool, context);
    return;
  }
  has_sent_hold_ = true;
  ReviewSilentReplicas(*pool, context);
  if (!HoldReplicas(pool, context)) {
    // A replica that restarted may have acknowledged commits since the position
    // was taken.
    has_catch_up_position_ = false;
    all_held_at_ = Instant();
    ReportWait("holds", context);
    return;
  }
  TrackHolds(pool, context);
  if (!AreHoldsConfirmed(*pool, context)) {
    RequestHoldEvidence(pool, context);
    ReportWait("evidence of the holds", context);
    return;
  }
  if (!ReachesCommitSet(*pool)) {
    ReportWait("members of the commit set", context);
    return;
  }
  // If the store gave the lease, it can also be asked for the list.
  bool is_list_old = pool->ListAge(context->now()) > kListMaxAge;
  if (lease_.has_token() && is_list_old) {
    ReportWait("a newer list of upstreams", context);
    return;
  }
  if (is_planned()) {
    if (!HasCaughtUp(pool, context)) return;
  } else {
    ChooseSuccessor(pool, context);
    if (successor_ == UpstreamId()) {
      ReportWait("a successor", context);
      return;
    }
    held_position_ = pool->FindUpstream(successor_)->status.received;
    // Reads are served at the successor meanwhile.
    if (WouldLeadAlone(*pool, context)) {
      ReportWait("a replica for the successor", context);
      return;
    }
  }
  RequestPromotion(*pool, context);
}

void Failover::ReportWait(const char* cause, ProxyContext* context) {
  if (is_planned() || reported_wait_ == cause) return;
  reported_wait_ = cause;
  context->Log(LogLevel::kInfo, kPart, "waits",
               {{"group", group_.value()},
                {"for", cause},
                {"after_ms",
                 std::to_string((context->now() - started_.time).millis())}});
}

// True if the successor would have no replica, and so could not acknowledge
// commits, while the upstreams that were left out may return any moment: then
// the old primary goes on, or the successor has a replica.
bool Failover::WouldLeadAlone(const UpstreamPool& pool,
                              ProxyContext* context) const {
  if (!leaves_out_silent_) return false;
  bool may_return = false;
  for (const auto& item : pool.upstreams()) {
    const PooledUpstream& upstream = item.second;
    if (item.first == successor_) continue;
    if (!upstream.is_down) return false;
    may_return = may_return || !pool.HasEnded(upstream, context->now());
  }
  return may_return;
}

// True if a token may be used now. Writes the row again to replace a token that
// is too old.
bool Failover::RenewToken(const UpstreamPool& pool, ProxyContext* context) {
  if (HasUsableToken(pool, context)) return true;
  if (lease_.has_token()) lease_.Acquire(true, term_, context);
  return false;
}

bool Failover::HoldReplicas(UpstreamPool* pool, ProxyContext* context) {
  bool all_hold = true;
  for (auto& item : pool->upstreams()) {
    PooledUpstream& upstream = item.second;
    if (!MustHold(item.first, *pool) || IsHeld(upstream)) continue;
    if (!MayAcknowledge(upstream, *pool, context)) continue;
    all_hold = false;
    bool is_ordered = stage_ != FailoverStage::kHoldingReplicas;
    if (is_ordered && HasNewerHold(upstream)) continue;
    if (LeadsEarlierTerm(upstream)) {
      SendDemote(upstream, pool, context);
      continue;
    }
    SendCommand(item.first, CommandKind::kHold, pool, context);
  }
  return all_hold;
}

// The primary of an earlier term cannot be held before it is a replica.
bool Failover::LeadsEarlierTerm(const PooledUpstream& upstream) const {
  return !upstream.is_down && upstream.is_status_of_this_connection() &&
         upstream.status.is_primary && upstream.status.term < term_;
}

void Failover::SendDemote(const PooledUpstream& upstream, UpstreamPool* pool,
                          ProxyContext* context) {
  TimePoint& sent_at = command_sent_at_[upstream.record.id];
  if (sent_at != TimePoint() && context->now() - sent_at < kCommandInterval) {
    context->WakeAt(sent_at + kCommandInterval);
    return;
  }
  UpstreamCommand demote;
  demote.kind = CommandKind::kDemote;
  demote.term = term_;
  if (!pool->SendControl(upstream.record.id, demote, context)) return;
  sent_at = context->now();
  context->WakeAt(sent_at + kCommandInterval);
  context->Log(LogLevel::kInfo, kPart, "demoted",
               {{"group", group_.value()},
                {"upstream", upstream.record.id.value()},
                {"term", std::to_string(term_)}});
}

bool Failover::IsExcluded(const UpstreamId& id, ProxyContext* context) const {
  auto excluded = excluded_until_.find(id);
  return excluded != excluded_until_.end() && context->now() < excluded->second;
}

// Every held replica is a candidate for a lost primary, also one whose registry
// entry is missing, as it may return: the longest log may be there alone.
bool Failover::IsCandidate(const PooledUpstream& upstream,
                           ProxyContext* context) const {
  bool is_replica = upstream.record.id != old_primary_ && upstream.has_status &&
                    !upstream.is_down && !upstream.status.is_primary;
  if (!is_planned()) return is_replica && IsHeld(upstream);
  return is_replica && upstream.is_registered && !upstream.record.leaving &&
         !IsExcluded(upstream.record.id, context);
}

void Failover::RequestHoldEvidence(UpstreamPool* pool, ProxyContext* context) {
  for (const auto& item : pool->upstreams()) {
    bool is_missing =
        MustHold(item.first, *pool) && !IsHoldConfirmed(item.second, context);
    if (!is_missing) continue;
    SendCommand(item.first, CommandKind::kStatus, pool, context);
  }
}

void Failover::ChooseSuccessor(UpstreamPool* pool, ProxyContext* context) {
  successor_ = UpstreamId();
  LogPosition best;
  bool best_lasts = false;
  int best_obstacles = 0;
  for (const auto& item : pool->upstreams()) {
    const PooledUpstream& upstream = item.second;
    if (!IsCandidate(upstream, context)) continue;
    LogPosition received = upstream.status.received;
    // In a planned change, prefers an upstream that other VMs know, since they
    // pass on what it alone has received.
    bool lasts = is_planned() && pool->IsLasting(upstream, context->now());
    int obstacles = (upstream.record.leaving ? 1 : 0) +
                    (upstream.is_registered ? 0 : 1) +
                    (IsExcluded(item.first, context) ? 1 : 0);
    bool wins_tie = received == best && obstacles < best_obstacles;
    bool is_better = lasts != best_lasts ? lasts : best < received || wins_tie;
    if (successor_ == UpstreamId() || is_better) {
      successor_ = item.first;
      best = received;
      best_lasts = lasts;
      best_obstacles = obstacles;
    }
  }
  // A shorter log is no substitute for one that cannot take over yet.
  if (successor_ != UpstreamId() && IsExcluded(successor_, context)) {
    context->WakeAt(excluded_until_[successor_]);
    successor_ = UpstreamId();
  }
  bool may_wait = context->now() - started_.time < kShortLogTimeout ||
                  !lease_.commit_set().is_known();
  bool is_short = !is_planned() && best < acknowledged_ && may_wait;
  if (successor_ != UpstreamId() && is_short) {
    context->Log(LogLevel::kWarning, kPart, "replicas_too_short",
                 {{"group", group_.value()},
                  {"best", FormatPosition(best)},
                  {"acknowledged", FormatPosition(acknowledged_)}});
    successor_ = UpstreamId();
  }
}

bool Failover::HasCaughtUp(UpstreamPool* pool, ProxyContext* context) {
  PooledUpstream* old = pool->FindUpstream(old_primary_);
  PooledUpstream* next = pool->FindUpstream(successor_);
  if (next == nullptr || next->is_down || next->record.leaving) {
    successor_ = UpstreamId();
    return false;
  }
  if (!has_catch_up_position_) {
    // This status is requested after the other replicas are held, so it covers
    // all commits that they acknowledged.
    if (all_held_at_.sequence == 0) all_held_at_ = context->instant();
    if (old->status_sent.sequence < all_held_at_.sequence) {
      SendCommand(old_primary_, CommandKind::kStatus, pool, context);
      return false;
    }
    catch_up_position_ = old->status.received;
    has_catch_up_position_ = true;
  }
  bool is_fresh = next->status_sent.sequence > started_.sequence;
  if (is_fresh && !(next->status.received < catch_up_position_)) return true;
  if (context->now() - all_held_at_.time > kCatchUpTimeout) {
    GiveUp("the successor did not catch up in time", pool, context);
    return false;
  }
  SendCommand(successor_, CommandKind::kStatus, pool, context);
  return false;
}

bool Failover::HasUsableToken(const UpstreamPool& pool,
                              ProxyContext* context) const {
  if (lease_.has_token()) {
    return context->now() - lease_.granted_at() < kTokenMaxAge;
  }
  // Without a hold, nothing shows that another VM has a newer token. A VM that
  // keeps the lease of a group without replicas places none, but it knows the
  // established upstreams.
  bool holds_any = false;
  for (const auto& item : pool.upstreams()) {
    bool is_evidence = MustHold(item.first, pool) &&
                       item.second.is_registered &&
                       pool.IsEstablished(item.second, context->now());
    holds_any = holds_any || is_evidence;
  }
  if (!holds_any) return false;
  return is_fleet_reachable_ && lease_.MayUseOldToken(term_);
}

void Failover::LogEvidence(const UpstreamPool& pool,
                           ProxyContext* context) const {
  std::string replicas;
  for (const auto& item : pool.upstreams()) {
    const PooledUpstream& upstream = item.second;
    if (item.first == old_primary_) continue;
    Duration age = context->now() - upstream.status_sent.time;
    Duration missing = context->now() - upstream.unregistered_at;
    if (!replicas.empty()) replicas += ", ";
    replicas += item.first.value() + " " +
                FormatPosition(upstream.status.received) +
                (IsHeld(upstream) ? " held" : " not_held") +
                " status_age_ms=" + std::to_string(age.millis());
    if (upstream.is_down) {
      replicas += leaves_out_silent_ ? " left_out" : " down";
    }
    if (upstream.record.leaving) replicas += " leaving";
    if (!upstream.is_registered) {
      replicas += " entry_missing_ms=" + std::to_string(missing.millis());
    }
  }
  Duration token_age = context->now() - lease_.granted_at();
  Duration list_age = pool.ListAge(context->now());
  context->Log(LogLevel::kInfo, kPart, "promotion_evidence",
               {{"group", group_.value()},
                {"successor", successor_.value()},
                {"replicas", replicas},
                {"acknowledged", FormatPosition(acknowledged_)},
                {"commit_set", FormatCommitSet(lease_.commit_set())},
                {"token_age_ms", std::to_string(token_age.millis())},
                {"list_age_ms", std::to_string(list_age.millis())}});
}

// A replica whose hold ends before the promotion takes effect may acknowledge
// commits that the successor lacks. So a hold is confirmed by a status that was
// requested after it was first seen: the upstream has then read what had
// reached it before, an order to resume included.
void Failover::TrackHolds(UpstreamPool* pool, ProxyContext* context) {
  for (const auto& item : pool->upstreams()) {
    const PooledUpstream& upstream = item.second;
    if (IsHeld(upstream)) {
      bool is_first = held_at_.emplace(item.first, context->instant()).second;
      UpstreamCommand status;
      if (is_first) pool->SendControl(item.first, status, context);
      continue;
    }
    bool was_held = held_at_.erase(item.first) != 0;
    if (!was_held || !MustHold(item.first, *pool)) continue;
    context->Log(LogLevel::kWarning, kPart, "hold_lost",
                 {{"group", group_.value()},
                  {"upstream", item.first.value()},
                  {"held_term", std::to_string(upstream.status.held_term)},
                  {"expected", std::to_string(hold_term_)},
                  {"down", upstream.is_down ? "yes" : "no"},
                  {"ordered", is_promoting() ? "yes" : "no"}});
    // The old primary may acknowledge commits that the successor lacks.
    held_position_ = LogPosition();
  }
}

bool Failover::IsHoldConfirmed(const PooledUpstream& upstream,
                               ProxyContext* context) const {
  auto held = held_at_.find(upstream.record.id);
  Duration age = context->now() - upstream.status_sent.time;
  return held != held_at_.end() &&
         held->second.sequence <= upstream.status_sent.sequence &&
         age <= kHoldEvidenceAge;
}

bool Failover::AreHoldsConfirmed(const UpstreamPool& pool,
                                 ProxyContext* context) const {
  for (const auto& item : pool.upstreams()) {
    bool counts = MustHold(item.first, pool) &&
                  MayAcknowledge(item.second, pool, context);
    if (counts && !IsHoldConfirmed(item.second, context)) return false;
  }
  return true;
}

void Failover::RequestPromotion(const UpstreamPool& pool,
                                ProxyContext* context) {
  stage_ = FailoverStage::kPromotionRequested;
  lease_.EndExclusive(context->now());
  promotion_ = context->NextCall();
  promotion_requested_at_ = context->now();
  context->Log(LogLevel::kWarning, kPart, "promotion_ordered",
               {{"group", group_.value()},
                {"successor", successor_.value()},
                {"token", std::to_string(lease_.token())},
                {"cause", FailoverCauseName(cause_)}});
  LogEvidence(pool, context);
  context->Emit(PromoteUpstream{promotion_, kPromotionCallTimeout, group_,
                                successor_, lease_.token()});
}

bool Failover::OnPromotion(const PromotionAnswered& answer,
                           ProxyContext* context) {
  if (promotion_ == CallId() || answer.call != promotion_) return false;
  promotion_ = CallId();
  context->Log(LogLevel::kInfo, kPart, "promotion_answered",
               {{"group", group_.value()},
                {"successor", successor_.value()},
                {"status", PromotionStatusName(answer.status)}});
  if (stage_ != FailoverStage::kPromotionRequested) return true;
  switch (answer.status) {
    case PromotionStatus::kAccepted:
    case PromotionStatus::kUnknown:
      // Without an answer the promotion may be under way, so the status of the
      // successor is read before another request.
      stage_ = FailoverStage::kAwaitingNewPrimary;
      break;
    case PromotionStatus::kNotRunning:
      excluded_until_[successor_] = context->now() + kNotRunningExclusion;
      stage_ = FailoverStage::kHoldingReplicas;
      successor_ = UpstreamId();
      break;
    case PromotionStatus::kRefused:
      stage_ = FailoverStage::kHoldingReplicas;
      break;
  }
  if (stage_ == FailoverStage::kHoldingReplicas) {
    held_position_ = LogPosition();
    lease_.Acquire(true, term_, context);
  }
  return true;
}

// False while the successor may lead unseen by this VM. If the other replicas
// were resumed then, the old primary could acknowledge commits through them.
// That the successor is silent or has no entry does not show that it does not
// lead.
bool Failover::IsOrderSettled(const UpstreamPool& pool) const {
  auto found = pool.upstreams().find(successor_);
  if (found == pool.upstreams().end()) return true;
  const PooledUpstream* replacement = pool.ReplacementOf(found->second);
  const PooledUpstream& successor =
      replacement == nullptr ? found->second : *replacement;
  TimePoint decided_at = promotion_requested_at_ + kPromotionEffectTimeout;
  return !successor.is_down && successor.is_status_of_this_connection() &&
         !(successor.status_sent.time < decided_at);
}

void Failover::StepAwaitingNewPrimary(UpstreamPool* pool,
                                      ProxyContext* context) {
  if (context->now() - promotion_requested_at_ > kPromotionEffectTimeout) {
    if (IsOrderSettled(*pool)) {
      GiveUp("the promotion did not take effect in time", pool, context);
    } else if (!ReplaceSuccessor(pool, context)) {
      SendCommand(successor_, CommandKind::kStatus, pool, context);
    }
    return;
  }
  // A replica that has restarted is held again.
  HoldReplicas(pool, context);
  // The replicas are to be resumed as soon as the successor leads.
  if (!MayResume(context) && lease_.has_token()) {
    lease_.Acquire(true, term_, context);
  }
  SendCommand(successor_, CommandKind::kStatus, pool, context);
}

// Goes on with another successor if the one that was ordered does not answer.
// It may lead unseen, so the replicas stay held until another upstream leads.
// What it acknowledges then is not passed on without the held replicas.
bool Failover::ReplaceSuccessor(UpstreamPool* pool, ProxyContext* context) {
  const PooledUpstream* successor = pool->FindUpstream(successor_);
  if (successor == nullptr || !successor->is_down) return false;
  if (!HasCompleteReplica(*pool, term_, context)) return false;
  context->Log(LogLevel::kWarning, kPart, "successor_silent",
               {{"group", group_.value()}, {"successor", successor_.value()}});
  has_unseen_order_ = true;
  cause_ = FailoverCause::kLost;
  stage_ = FailoverStage::kHoldingReplicas;
  successor_ = UpstreamId();
  held_position_ = LogPosition();
  lease_.Acquire(true, term_, context);
  return true;
}

// An order to resume cannot be called back, and would end the hold of another
// VM if it arrived after it. So it is given only while the lease lasts for the
// time that the order may take to arrive.
bool Failover::MayResume(ProxyContext* context) const {
  Duration age = context->now() - lease_.granted_at();
  return lease_.has_token() &&
         age + UpstreamPool::kResumeMaxTransit < DutyLease::kLeaseDuration;
}

bool Failover::IsResumeOver(const PooledUpstream* upstream) const {
  if (upstream == nullptr || upstream->is_down) return true;
  // Without a connection, nothing can be ordered.
  if (upstream->control_opened.sequence == 0) return true;
  bool is_known = upstream->is_status_of_this_connection() &&
                  upstream->status_sent.sequence > resuming_since_.sequence;
  bool is_held_by_other =
      upstream->status.held_term > HoldTermOf(term_, lease_.token());
  return is_known && (upstream->status.held_term == 0 || is_held_by_other);
}

// While the store does not answer, the lease cannot be renewed. If the replicas
// stayed held, no commit could be acknowledged until it returns. So a replica
// that has just shown the hold of this VM is resumed then.
void Failover::ResumeReplicas(UpstreamPool* pool, ProxyContext* context) {
  for (const UpstreamId& id : resuming_) {
    const PooledUpstream* upstream = pool->FindUpstream(id);
    Duration age = context->now() - upstream->status_sent.time;
    bool shows_own_hold =
        upstream->is_status_of_this_connection() &&
        upstream->status_sent.sequence > resuming_since_.sequence &&
        age <= kOwnHoldMaxAge && upstream->status.held_term == hold_term_;
    bool may_resume =
        MayResume(context) || (lease_.is_failing() && shows_own_hold);
    if (!may_resume && !lease_.is_failing()) continue;
    CommandKind kind = may_resume ? CommandKind::kResume : CommandKind::kStatus;
    bool is_sent = SendCommand(id, kind, pool, context);
    if (!is_sent || !may_resume) continue;
    context->Log(LogLevel::kInfo, kPart, "resume_ordered",
                 {{"group", group_.value()},
                  {"upstream", id.value()},
                  {"held_term", std::to_string(upstream->status.held_term)},
                  {"lease", MayResume(context) ? "yes" : "no"}});
  }
}

void Failover::StepResuming(UpstreamPool* pool, ProxyContext* context) {
  for (auto it = resuming_.begin(); it != resuming_.end();) {
    bool is_over = IsResumeOver(pool->FindUpstream(*it));
    it = is_over ? resuming_.erase(it) : std::next(it);
  }
  if (is_ending_holds() && context->now() >= resume_deadline_) {
    resuming_.clear();
    context->Log(LogLevel::kWarning, kPart, "resume_not_ordered",
                 {{"group", group_.value()}});
  }
  if (is_ending_holds()) {
    if (!MayResume(context) && !lease_.is_acquiring()) {
      lease_.Acquire(true, term_, context);
    }
    ResumeReplicas(pool, context);
    context->WakeAt(resume_deadline_);
    return;
  }
  if (!releases_lease_) return;
  TimePoint until;
  if (pool->MayResumeArrive(context->now(), &until)) {
    context->WakeAt(until);
    return;
  }
  releases_lease_ = false;
  lease_.Release(release_term_, context);
}

void Failover::EndHolds(const std::set<UpstreamId>& replicas, uint64_t term,
                        ProxyContext* context) {
  if (is_active() || is_ending_holds()) return;
  term_ = term;
  resuming_ = replicas;
  resuming_since_ = context->instant();
  resume_deadline_ = context->now() + kResumeTimeout;
  releases_lease_ = true;
  release_term_ = term;
  lease_.Acquire(true, term, context);
}

void Failover::EndAttempt(uint64_t term, UpstreamPool* pool,
                          ProxyContext* context) {
  stage_ = FailoverStage::kIdle;
  held_position_ = LogPosition();
  releases_lease_ = true;
  release_term_ = term;
  if (has_sent_hold_) {
    for (const auto& item : pool->upstreams()) {
      if (item.first != old_primary_) resuming_.insert(item.first);
    }
    resuming_since_ = context->instant();
    resume_deadline_ = context->now() + kResumeTimeout;
    command_sent_at_.clear();
  }
  StepResuming(pool, context);
}

void Failover::GiveUp(const char* reason, UpstreamPool* pool,
                      ProxyContext* context) {
  context->Log(LogLevel::kWarning, kPart, "given_up",
               {{"group", group_.value()}, {"reason", reason}});
  retry_at_ = context->now() + kRetryDelay;
  EndAttempt(term_, pool, context);
}

void Failover::OnOwnershipLost(UpstreamPool* pool, ProxyContext* context) {
  lease_.OnOwnershipLost();
  if (stage_ != FailoverStage::kHoldingReplicas) return;
  if (has_unseen_order_) {
    // The replicas stay held. The row that is left as promoting tells the next
    // holder that an order may have been given.
    stage_ = FailoverStage::kIdle;
    held_position_ = LogPosition();
    lease_.Cancel();
    return;
  }
  GiveUp("another VM owns the group", pool, context);
}

void Failover::Finish(UpstreamPool* pool, ProxyContext* context) {
  context->Log(
      LogLevel::kWarning, kPart, "finished",
      {{"group", group_.value()},
       {"cause", FailoverCauseName(cause_)},
       {"took_ms", std::to_string((context->now() - started_.time).millis())}});
  if (!is_planned()) replacement_time_ = context->now() - started_.time;
  EndAttempt(term_ + 1, pool, context);
}

}  // namespace fireflycart::proxy
