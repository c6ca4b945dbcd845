// Decides when an acknowledged commit is passed on to its caller.
//
// A VM that replaces the primary holds the recorded commit set and the
// upstreams that it knows, and promotes the one with the longest log. A commit
// that was acknowledged by a replica that this VM does not know, or that ends
// before it leads, is lost. So a commit is kept for certain once a lasting
// replica of the commit set has received it: one that every VM knows and that
// does not leave. Only the VM that wrote the duty row last may count on one
// replica, as another one may leave that replica out. Other VMs, or this one if
// it may not know who leaves, need all replicas. In a planned change by this
// VM, whose lease excludes other failovers, the successor suffices.
//
// A commit of a service without synchronous replicas may be lost with its
// primary, but not acknowledged by one that has been replaced: the old primary
// goes on committing until it learns of its successor. So such a commit is
// passed on once replicas show, by statuses that were requested after the
// acknowledgement or shortly before it, that no promotion had taken effect.
// When this VM has ordered a promotion, only the log of the successor shows it.
//
// In a steady group, every replica is lasting and one has just shown that it
// receives the log, so no status is requested. Otherwise the status of a
// replica is requested after the acknowledgement. A commit that no replica
// confirms until its deadline has an unknown outcome.

#include <algorithm>
#include <utility>

#include "fireflycart/core/proxy/group_owner.h"

namespace fireflycart::proxy {
namespace {

constexpr char kPart[] = "commit";
// A commit that took longer may have waited for a replica that has just joined.
constexpr Duration kMaxSteadyCommitTime = Duration::Millis(100);
// A replica whose status is older may be held by now.
constexpr Duration kMaxSteadyStatusAge = Duration::Millis(100);
// Interval of status requests for commits, and after kFastRequestTime without a
// new commit.
constexpr Duration kRequestInterval = Duration::Millis(4);
constexpr Duration kSlowRequestInterval = Duration::Millis(24);
constexpr Duration kFastRequestTime = Duration::Millis(20);

bool HasReceived(const PooledUpstream& upstream, LogPosition position) {
  return !upstream.is_down && upstream.is_status_of_this_connection() &&
         upstream.status.received.term == position.term &&
         !(upstream.status.received < position);
}

bool IsReceiving(const PooledUpstream& upstream) {
  return !upstream.is_down && upstream.is_status_of_this_connection() &&
         upstream.status.held_term == 0;
}

}  // namespace

bool GroupOwner::CountsSingleReplicas(ProxyContext* context) const {
  if (spec_.sync_replicas == 0) return true;
  const DutyLease& lease = failover_.lease();
  // Its successor may lead unseen by this VM.
  if (lease.commit_set().may_have_order) return false;
  if (lease.IsConfirmed(context->now())) return true;
  // While the store does not answer this VM, no other one has taken the row if
  // all of them answer.
  bool is_failing = lease.is_confirmation_failing() ||
                    (lease.is_acquiring() && lease.is_failing());
  return lease.is_last_writer() && is_failing &&
         pool_.IsFleetReachable(context->now()) &&
         pool_.fleet_reachable_since() <= lease.confirmed_until();
}

// True if the commit set of the term, or of the one before until that of a new
// primary is recorded, contains the replica. A VM that replaces the new primary
// by the earlier set needs the log of the new primary.
bool GroupOwner::IsInCommitSet(const PooledUpstream& replica,
                               uint64_t term) const {
  if (spec_.sync_replicas == 0) return true;
  const DutyLease& lease = failover_.lease();
  return lease.IsRecorded(replica.record, term) ||
         lease.IsRecordedMember(replica.record, term - 1);
}

// True if a failover of another VM cannot have begun when the commit was
// acknowledged.
bool GroupOwner::IsSteady(const Work& work, ProxyContext* context) const {
  // The holds of this VM exclude others.
  if (failover_.leaves_out_silent()) return false;
  if (failover_.is_promoting() && failover_.IsChangeExclusive(context->now())) {
    return true;
  }
  bool may_be_steady = unconfirmed_.empty() && CountsSingleReplicas(context) &&
                       !pool_.may_have_forgotten_replica() &&
                       pool_.IsListCurrent(context->now()) &&
                       context->now() - work.sent.time <= kMaxSteadyCommitTime;
  if (!may_be_steady) return false;
  bool is_receiving = false;
  for (const auto& item : pool_.upstreams()) {
    const PooledUpstream& upstream = item.second;
    if (item.first == primary_) continue;
    bool counts = pool_.IsLasting(upstream, context->now()) &&
                  IsInCommitSet(upstream, work.reply.position.term);
    if (!counts) return false;
    Duration age = context->now() - upstream.status_sent.time;
    is_receiving =
        is_receiving || (IsReceiving(upstream) &&
                         upstream.status.term == work.reply.position.term &&
                         age <= kMaxSteadyStatusAge);
  }
  return is_receiving;
}

// A failover leaves out no replica that answers and has an entry, and a service
// without synchronous replicas has no commit set. So every failover of another
// VM holds the replicas that this one knows, if its list is not too old: an
// entry is missing for kUnregisteredTimeout before it is passed over.
bool GroupOwner::IsCommittedByLeader(const Work& work,
                                     ProxyContext* context) const {
  if (failover_.is_promoting()) {
    auto successor = pool_.upstreams().find(failover_.successor());
    return successor != pool_.upstreams().end() &&
           HasReceived(successor->second, work.reply.position);
  }
  bool knows_replicas =
      pool_.IsListTrusted(context->now()) ||
      pool_.ListAge(context->now()) <= Failover::kMaxUntrustedListAge;
  TimePoint oldest =
      work.acknowledged.time - LeadershipTracker::kMinPromotionDelay;
  return knows_replicas &&
         (leadership_.IsUnchallengedSince(oldest) ||
          leadership_.IsConfirmedSince(work.acknowledged.sequence));
}

// True if a replica would confirm the primary now, or if there is none.
bool GroupOwner::CanConfirmLeader(ProxyContext* context) const {
  bool has_replica = false;
  for (const auto& item : pool_.upstreams()) {
    bool is_replica =
        item.first != primary_ && !pool_.HasEnded(item.second, context->now());
    if (!is_replica) continue;
    if (IsReceiving(item.second)) return true;
    has_replica = true;
  }
  return !has_replica;
}

bool GroupOwner::IsKept(LogPosition position, ProxyContext* context) const {
  bool counts_single =
      pool_.IsListTrusted(context->now()) && CountsSingleReplicas(context);
  // A replica that was left out may answer again.
  bool needs_successor = failover_.leaves_out_silent();
  bool has_lasting = false;
  bool has_replica = false;
  bool have_all = true;
  for (const auto& item : pool_.upstreams()) {
    bool is_replica =
        item.first != primary_ && !pool_.HasEnded(item.second, context->now());
    if (!is_replica) continue;
    bool is_lasting = pool_.IsLasting(item.second, context->now());
    bool has_received = HasReceived(item.second, position);
    bool suffices = is_lasting && has_received && counts_single &&
                    !needs_successor &&
                    IsInCommitSet(item.second, position.term);
    if (suffices) return true;
    has_lasting = has_lasting || is_lasting;
    have_all = have_all && has_received;
    has_replica = true;
  }
  auto successor = pool_.upstreams().find(failover_.successor());
  bool has_successor = failover_.IsChangeExclusive(context->now()) &&
                       successor != pool_.upstreams().end() &&
                       HasReceived(successor->second, position);
  if (has_successor) return true;
  return !needs_successor && has_replica && have_all &&
         MayCountAll(has_lasting, context);
}

// True if every failover includes one of the replicas that this VM knows.
bool GroupOwner::MayCountAll(bool has_lasting, ProxyContext* context) const {
  if (pool_.IsListTrusted(context->now())) {
    return has_lasting || pool_.IsListCurrent(context->now());
  }
  return has_lasting &&
         pool_.ListAge(context->now()) <= Failover::kMaxUntrustedListAge;
}

// True if commits that are sent now can be confirmed, as far as is known.
bool GroupOwner::CanKeepCommits(ProxyContext* context) const {
  if (spec_.sync_replicas == 0) return CanConfirmLeader(context);
  if (failover_.is_active() && failover_.is_planned()) return true;
  bool counts_single =
      pool_.IsListTrusted(context->now()) && CountsSingleReplicas(context);
  const PooledUpstream* primary = pool_.FindUpstream(primary_);
  uint64_t term = primary == nullptr ? 0 : primary->status.term;
  bool has_lasting = false;
  bool has_replica = false;
  bool receive_all = true;
  for (const auto& item : pool_.upstreams()) {
    bool is_replica =
        item.first != primary_ && !pool_.HasEnded(item.second, context->now());
    if (!is_replica) continue;
    bool is_lasting = pool_.IsLasting(item.second, context->now());
    bool is_receiving = IsReceiving(item.second);
    bool suffices = is_lasting && is_receiving && counts_single &&
                    IsInCommitSet(item.second, term);
    if (suffices) return true;
    has_lasting = has_lasting || is_lasting;
    receive_all = receive_all && is_receiving;
    has_replica = true;
  }
  return has_replica && receive_all && MayCountAll(has_lasting, context);
}

bool GroupOwner::HasEstablishedReplica(ProxyContext* context) const {
  for (const auto& item : pool_.upstreams()) {
    bool is_established = item.first != primary_ &&
                          pool_.IsEstablished(item.second, context->now());
    if (is_established) return true;
  }
  return false;
}

void GroupOwner::PassOnCommit(Work* work, ProxyContext* context) {
  if (spec_.sync_replicas > 0) {
    leadership_.OnConfirmed(work->sent);
    failover_.OnAcknowledged(work->reply.position);
  }
  if (measures_write_gap_) {
    measures_write_gap_ = false;
    Duration gap = context->now() - last_commit_at_;
    context->Log(LogLevel::kInfo, kPart, "write_gap",
                 {{"group", spec_.id.value()},
                  {"primary", primary_.value()},
                  {"gap_ms", std::to_string(gap.millis())}});
  }
  last_commit_at_ = context->now();
  Finish(work, context);
}

void GroupOwner::AwaitReplica(Work* work, ProxyContext* context) {
  work->stage = WorkStage::kConfirming;
  work->connection = ConnectionId();
  unconfirmed_.push_back(work->number);
  last_unconfirmed_at_ = context->now();
  RequestCommitEvidence(context);
}

void GroupOwner::RequestCommitEvidence(ProxyContext* context) {
  if (unconfirmed_.empty()) return;
  bool is_slow = context->now() - last_unconfirmed_at_ > kFastRequestTime;
  Duration interval = is_slow ? kSlowRequestInterval : kRequestInterval;
  TimePoint next = evidence_requested_at_ + interval;
  if (context->now() < next) {
    context->WakeAt(next);
    return;
  }
  evidence_requested_at_ = context->now();
  context->WakeAt(context->now() + interval);
  // Lasting replicas of the commit set are asked first, then all. One shows
  // that it has a commit, two that no promotion was requested for a while.
  size_t wanted = spec_.sync_replicas == 0 ? 2 : 1;
  size_t asked = 0;
  const PooledUpstream* primary = pool_.FindUpstream(primary_);
  uint64_t term = primary == nullptr ? 0 : primary->status.term;
  UpstreamCommand status;
  if (!is_slow) {
    for (const auto& item : pool_.upstreams()) {
      bool may_confirm = item.first != primary_ && IsReceiving(item.second) &&
                         !item.second.status.is_primary &&
                         pool_.IsLasting(item.second, context->now()) &&
                         IsInCommitSet(item.second, term);
      if (!may_confirm || asked >= wanted) continue;
      if (pool_.SendControl(item.first, status, context)) asked++;
    }
  }
  if (asked > 0) return;
  for (const auto& item : pool_.upstreams()) {
    if (item.first != primary_) pool_.SendControl(item.first, status, context);
  }
}

void GroupOwner::PassOnKeptCommits(ProxyContext* context) {
  if (unconfirmed_.empty()) return;
  std::vector<StatementNumber> waiting;
  waiting.swap(unconfirmed_);
  std::vector<StatementNumber> kept;
  for (StatementNumber number : waiting) {
    const Work* work = FindWork(number);
    if (work == nullptr) continue;
    bool is_kept = spec_.sync_replicas == 0
                       ? IsCommittedByLeader(*work, context)
                       : IsKept(work->reply.position, context);
    (is_kept ? kept : unconfirmed_).push_back(number);
  }
  for (StatementNumber number : kept) {
    if (Work* work = FindWork(number)) PassOnCommit(work, context);
  }
  RequestCommitEvidence(context);
}

void GroupOwner::SettleCommits(const PooledUpstream& new_primary,
                               ProxyContext* context) {
  std::vector<StatementNumber> waiting;
  waiting.swap(unconfirmed_);
  for (StatementNumber number : waiting) {
    Work* work = FindWork(number);
    if (work == nullptr) continue;
    // That the primary of this term has it does not show that the next one
    // will.
    if (work->reply.position.term == new_primary.status.term) {
      unconfirmed_.push_back(number);
      continue;
    }
    if (HasReceived(new_primary, work->reply.position)) {
      PassOnCommit(work, context);
    } else {
      Fail(work, Outcome::kUnknown, "primary_replaced", context);
    }
  }
}

}  // namespace fireflycart::proxy
