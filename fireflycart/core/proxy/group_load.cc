// Collects the snapshots for the decisions about load and applies the
// decisions. A replica counts as usable for reads if dispatch would send it the
// first queued read. The primary serves such reads with the slots that work
// which needs the primary leaves.

#include <algorithm>
#include <string>

#include "fireflycart/core/proxy/group_owner.h"

namespace fireflycart::proxy {
namespace {

constexpr char kPart[] = "load";
constexpr Duration kReviewPeriod = Duration::Millis(50);
// A status older than this does not show that a replica receives the log.
constexpr Duration kMaxReplicaStatusAge = Duration::Millis(500);
// A primary that was confirmed within this time is not in doubt.
constexpr Duration kMaxConfirmationAge = Duration::Millis(600);
// Concurrency that is assumed if no upstream seems usable: the state of the
// upstreams may be unknown for a moment, and estimates should then admit.
constexpr double kMinConcurrency = 0.5;

// Longer than any statement may wait for an upstream whose return nothing
// announces.
constexpr Duration kUnknownReturnTime = Duration::Seconds(600);

int InFlightLimit(const PooledUpstream& upstream) {
  return upstream.record.slots + UpstreamPool::kExtraInFlight;
}

}  // namespace

void GroupOwner::ReviewQueue(ProxyContext* context) {
  if (queue_.size() == 0) {
    read_wait_ = Duration();
    return;
  }
  if (context->now() < next_review_) {
    context->WakeAtCoarse(next_review_);
    return;
  }
  next_review_ = context->now() + kReviewPeriod;
  context->WakeAtCoarse(next_review_);
  for (Lane lane : {Lane::kPrimary, Lane::kAny}) {
    LaneOutlook outlook = queue_outlook_.Review(LaneSnapshotOf(lane, context));
    if (lane == Lane::kAny) read_wait_ = outlook.wait;
    for (const HopelessStatement& statement : outlook.hopeless) {
      Work* work = FindWork(statement.number);
      if (work == nullptr) continue;
      work->reply.detail =
          "expected wait " + std::to_string(statement.expected_wait.millis()) +
          " ms, " + std::to_string(statement.time_left.millis()) + " ms left";
      bool lacks_primary = PrimaryBlockedUntil(context) != TimePoint() &&
                           context->now() < AvailableAt(*work, context);
      UpstreamId awaited = AwaitedUpstream(context);
      const char* cause = "cannot_be_served_in_time";
      if (lacks_primary) cause = "no_primary_in_sight";
      if (lacks_primary && awaited != UpstreamId()) {
        cause = "awaits_upstream";
        work->reply.detail = awaited.value() +
                             " does not answer and may alone have "
                             "acknowledged commits";
      }
      Fail(work, Outcome::kBusy, cause, context);
    }
  }
}

// Refuses at once what the only upstream of a group cannot serve: commits that
// no replica would acknowledge, and reads that must not run there since nothing
// shows that it leads.
void GroupOwner::RefuseWithoutReplica(ProxyContext* context) {
  if (queue_.size() == 0 || !IsSingleUpstream()) return;
  bool is_proven = leadership_.IsUnchallengedSince(context->now());
  for (Work* work : queue_.All()) {
    bool may_write = work->in_transaction()
                         ? work->call.transaction == TransactionKind::kReadWrite
                         : work->call.access != Access::kRead;
    if (may_write && spec_.sync_replicas > 0) {
      work->reply.detail = "no replica is left to acknowledge commits";
      Fail(work, Outcome::kBusy, "no_replica", context);
    } else if (!is_proven && !IsPrimaryCurrent(*work)) {
      work->reply.detail =
          "no replica is left to confirm the primary, " +
          sole_leadership_.Describe(failover_.lease(), context->now());
      Fail(work, Outcome::kBusy, "primary_not_confirmed", context);
    }
  }
}

LaneSnapshot GroupOwner::LaneSnapshotOf(Lane lane, ProxyContext* context) {
  LaneSnapshot snapshot;
  snapshot.now = context->now();
  snapshot.concurrency = ConcurrencyOf(lane, context);
  snapshot.arrival_load =
      arrivals_[static_cast<size_t>(lane)].load(context->now());
  snapshot.late_load =
      late_starts_[static_cast<size_t>(lane)].load(context->now());
  for (const Work* work : queue_.AllOf(lane)) {
    QueuedStatement statement;
    statement.number = work->number;
    statement.service = work->expected_service;
    statement.deadline = work->deadline;
    statement.is_late = context->now() > work->latest_start;
    statement.available_at = AvailableAt(*work, context);
    snapshot.queue.push_back(statement);
  }
  return snapshot;
}

double GroupOwner::ConcurrencyOf(Lane lane, ProxyContext* context) {
  if (IsCutOff(context)) return 0;
  const PooledUpstream* primary = Primary();
  double at_primary = primary == nullptr ? 0 : InFlightLimit(*primary);
  if (lane == Lane::kPrimary) return std::max(at_primary, kMinConcurrency);
  double for_primary_lane =
      arrivals_[static_cast<size_t>(Lane::kPrimary)].load(context->now());
  double concurrency = std::max(at_primary - for_primary_lane, kMinConcurrency);
  std::vector<Work*> reads = queue_.AllOf(Lane::kAny);
  LogPosition min_position =
      reads.empty() ? LogPosition() : MinPositionFor(*reads.front());
  for (const auto& item : pool_.upstreams()) {
    const PooledUpstream& upstream = item.second;
    bool is_usable = item.first != primary_ && upstream.is_registered &&
                     !upstream.record.leaving && !upstream.is_down &&
                     upstream.has_status &&
                     !IsBehind(upstream, min_position, context->now());
    if (is_usable) concurrency += InFlightLimit(upstream);
  }
  return concurrency;
}

// True if this VM can serve nothing: it reaches no upstream, or only a primary
// that no replica has confirmed for a while. The status requests show when
// that changes.
bool GroupOwner::IsCutOff(ProxyContext* context) {
  if (IsSingleUpstream()) return false;  // See RefuseWithoutReplica().
  bool reaches_primary = false;
  for (const auto& item : pool_.upstreams()) {
    if (item.second.is_down) continue;
    if (item.first != primary_) return false;
    reaches_primary = true;
  }
  return !reaches_primary ||
         !leadership_.IsConfirmedSince(context->now() - kMaxConfirmationAge);
}

// When the primary can be replaced at the earliest while a replica that has to
// be held for that does not answer; zero if none of them is in the way. The
// replica or the primary may answer earlier, but nothing says that it will.
TimePoint GroupOwner::PrimaryBlockedUntil(ProxyContext* context) {
  bool is_replacing = failover_.is_active() && !failover_.is_planned();
  if (AwaitedUpstream(context) != UpstreamId()) {
    return context->now() + kUnknownReturnTime;
  }
  if (failover_.is_promoting()) return TimePoint();
  const PooledUpstream* primary = pool_.FindUpstream(primary_);
  bool may_lead = primary != nullptr && !primary->is_down &&
                  primary->has_status && primary->status.is_primary;
  if (may_lead && !is_replacing) return TimePoint();
  TimePoint until;
  for (const auto& item : pool_.upstreams()) {
    const PooledUpstream& upstream = item.second;
    bool must_hold = item.first != primary_ && !upstream.record.is_primary;
    if (!must_hold || !upstream.is_down) continue;
    TimePoint missing_since =
        upstream.is_registered ? context->now() : upstream.unregistered_at;
    until = std::max(until, missing_since + Failover::kUnregisteredTimeout);
  }
  return context->now() < until ? until : TimePoint();
}

// Reads are served at the successor while the primary is being replaced, and at
// a replica if a position is known that it has to have.
TimePoint GroupOwner::AvailableAt(const Work& work, ProxyContext* context) {
  bool only_reads =
      work.call.transaction == TransactionKind::kReadOnly ||
      (!work.in_transaction() && work.call.access == Access::kRead);
  TimePoint blocked_until = PrimaryBlockedUntil(context);
  if (!only_reads) return std::max(failover_.expected_end(), blocked_until);
  bool needs_primary =
      LaneFor(work.call) == Lane::kPrimary || !MinPositionFor(work).known();
  return needs_primary ? std::max(context->now(), blocked_until)
                       : context->now();
}

std::string GroupOwner::FormatUpstreams(ProxyContext* context) const {
  std::string text;
  for (const auto& item : pool_.upstreams()) {
    const PooledUpstream& upstream = item.second;
    if (!text.empty()) text += " ";
    text += item.first.value() + ":" + std::to_string(upstream.running) + "/" +
            std::to_string(upstream.record.slots) + "@" +
            std::to_string(upstream.applied.term) + "." +
            std::to_string(upstream.applied.number) + "+" +
            std::to_string(upstream.status.lag.millis());
    if (item.first == primary_) {
      text += ",primary";
    } else if (upstream.is_down) {
      text += ",down";
    } else if (!upstream.has_status) {
      text += ",no_status";
    } else if (upstream.status.held_term != 0) {
      text += ",held";
    } else if (pool_.IsDrained(upstream, context->now())) {
      text += ",drained";
    } else if (!pool_.HasSlot(upstream)) {
      text += ",full";
    }
  }
  return text;
}

bool GroupOwner::IsGroupSteady(ProxyContext* context) {
  const PooledUpstream* primary = Primary();
  bool is_confirmed =
      leadership_.IsConfirmedSince(context->now() - kMaxConfirmationAge);
  bool may_change = is_assigned_ && primary != nullptr && is_confirmed &&
                    !failover_.is_active() &&
                    previous_primary_position_.known();
  if (!may_change) return false;
  for (const auto& item : pool_.upstreams()) {
    const PooledUpstream& upstream = item.second;
    bool is_steady = upstream.is_registered && !upstream.record.leaving &&
                     !upstream.is_down && upstream.status.held_term == 0 &&
                     upstream.is_status_of_this_connection();
    if (!is_steady) return false;
  }
  return true;
}

LagReliefSnapshot GroupOwner::LagSnapshot(ProxyContext* context) {
  LagReliefSnapshot snapshot;
  snapshot.now = context->now();
  snapshot.is_steady = IsGroupSteady(context);
  if (!snapshot.is_steady) return snapshot;
  snapshot.primary_received = previous_primary_position_;
  snapshot.read_wait = read_wait_;
  for (const Work* work : queue_.AllOf(Lane::kAny)) {
    const StatementCall& call = work->call;
    bool is_shortest = snapshot.read_target == Duration() ||
                       call.target_left < snapshot.read_target;
    if (is_shortest) snapshot.read_target = call.target_left;
    snapshot.max_read_age = std::max(snapshot.max_read_age, call.max_age);
  }
  uint64_t term = Primary()->status.term;
  for (const auto& item : pool_.upstreams()) {
    if (item.first == primary_) continue;
    const PooledUpstream& upstream = item.second;
    LaggingReplica replica;
    replica.id = item.first;
    replica.is_candidate =
        upstream.status.term == term && !upstream.status.is_primary &&
        context->now() - upstream.status_sent.time <= kMaxReplicaStatusAge;
    replica.received = upstream.status.received;
    replica.announced_lag = upstream.status.lag;
    snapshot.replicas.push_back(replica);
  }
  return snapshot;
}

void GroupOwner::ConsiderLagRelief(ProxyContext* context) {
  LagReliefSnapshot snapshot = LagSnapshot(context);
  LagReliefDecision decision = lag_relief_.Decide(snapshot);
  if (decision.reason != LagReliefReason::kRelieves) return;
  const PooledUpstream* successor = pool_.FindUpstream(decision.successor);
  context->Log(
      LogLevel::kWarning, kPart, "lag_relief_started",
      {{"group", spec_.id.value()},
       {"reason", LagReliefReasonName(decision.reason)},
       {"from", primary_.value()},
       {"to", decision.successor.value()},
       {"lag_ms", std::to_string(successor->status.lag.millis())},
       {"read_wait_ms", std::to_string(snapshot.read_wait.millis())},
       {"read_target_ms", std::to_string(snapshot.read_target.millis())},
       {"max_read_age_ms", std::to_string(snapshot.max_read_age.millis())},
       {"change_ms", std::to_string(lag_relief_.change_time().millis())},
       {"queued", std::to_string(queue_.size())}});
  failover_.StartChangeTo(decision.successor, primary_, Primary()->status.term,
                          context);
  if (!failover_.is_active()) return;
  lag_relief_.OnChangeStarted(context->now());
  relief_successor_ = decision.successor;
  relief_started_ = context->now();
  measures_write_gap_ = false;
}

// A change has ended when the new primary has applied what it had received, or
// when it was given up.
void GroupOwner::CheckLagReliefEnded(ProxyContext* context) {
  if (!lag_relief_.is_changing() || failover_.is_active()) return;
  const PooledUpstream* primary = Primary();
  bool leads = primary != nullptr && primary_ == relief_successor_;
  bool serves = leads && !(primary->applied < primary->status.received);
  bool is_over = context->now() - relief_started_ > LagRelief::kMaxChangeTime;
  if (leads && !serves && !is_over) return;
  lag_relief_.OnChangeEnded(serves, context->now());
  measures_write_gap_ = leads;
  context->Log(
      LogLevel::kInfo, kPart, "lag_relief_ended",
      {{"group", spec_.id.value()},
       {"primary", primary_.value()},
       {"serves", serves ? "yes" : "no"},
       {"took_ms", std::to_string((context->now() - relief_started_).millis())},
       {"next_after_ms", std::to_string(lag_relief_.interval().millis())}});
}

}  // namespace fireflycart::proxy
