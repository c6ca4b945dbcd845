// Monitors which upstreams answer, which one is the primary, and when the
// primary has to be replaced. The status requests also confirm the leadership:
// a replica that receives the log in the primary's term shows that no promotion
// had been requested when the status request was sent.

#include <algorithm>
#include <string>

#include "fireflycart/core/proxy/group_owner.h"

namespace fireflycart::proxy {
namespace {

constexpr char kPart[] = "group";
// Interval between corrections of upstreams with an outdated role or hold.
constexpr Duration kReconcilePeriod = Duration::Millis(250);
// A hold that no promotion has followed is released after this time. A failover
// attempt holds replicas for at most Failover::kHoldTimeout plus
// Failover::kPromotionEffectTimeout.
constexpr Duration kStuckHoldTimeout = Duration::Seconds(10);
// Time without a primary after which one is promoted; covers the start-up.
constexpr Duration kLeaderlessTimeout = Duration::Millis(500);
// A commit that no replica has acknowledged for this time is taken as stalled:
// a replica normally receives within milliseconds.
constexpr Duration kStalledCommitTimeout = Duration::Millis(400);
// Time after which connections of an earlier owner are closed: an upstream
// closes the connections of a failed VM after 3 s.
constexpr Duration kSoleOwnerDelay = Duration::Seconds(4);
// Time after the assignment at which the owner requests the duty lease ahead of
// need.
constexpr Duration kLeaseRequestDelay = Duration::Millis(700);
// A data connection with a command unanswered for this time is closed.
constexpr Duration kCommandTimeout = Duration::Seconds(3);

// True if its last status says that it leads, whether or not it still answers.
bool HasLed(const PooledUpstream& upstream) {
  return upstream.has_status && upstream.status.is_primary;
}

// How well the last status shows that the upstream still leads in its term.
// Only one leads in a term, but one that crashed may be back under another id,
// and its earlier id stays known for a while. A newer term counts in any case:
// it has ended the earlier ones, also if its primary does not answer.
int LeadEvidence(const PooledUpstream& upstream) {
  if (upstream.is_down) return 0;
  return upstream.is_status_of_this_connection() ? 2 : 1;
}

}  // namespace

void GroupOwner::Activate(ProxyContext* context) {
  last_used_ = context->now();
  if (is_active_) return;
  is_active_ = true;
  without_primary_since_ = context->now();
  next_status_ = context->now();
  next_reconcile_ = context->now() + kReconcilePeriod;
  context->WakeAt(context->now() + kStatusPeriod);
  context->Log(LogLevel::kInfo, kPart, "activated",
               {{"group", spec_.id.value()},
                {"upstreams", std::to_string(pool_.upstreams().size())}});
}

void GroupOwner::Deactivate(ProxyContext* context) {
  bool is_needed = is_assigned_ || !work_.empty() || !transactions_.empty() ||
                   !failover_.is_settled() ||
                   context->now() - last_used_ < kIdleTimeout;
  if (is_needed) return;
  pool_.CloseAll(context);
  leadership_.Reset();
  for (auto& item : pool_.upstreams()) {
    item.second.has_status = false;
    item.second.is_down = false;
  }
  primary_ = UpstreamId();
  is_probe_pending_ = false;
  is_active_ = false;
  context->Log(LogLevel::kInfo, kPart, "let_go", {{"group", spec_.id.value()}});
}

void GroupOwner::OnControlAnswer(const UpstreamId& upstream,
                                 const SentCommand& command,
                                 const UpstreamAnswer& answer,
                                 ProxyContext* context) {
  if (!answer.has_status) return;  // Busy: shows only that it is alive.
  const PooledUpstream* primary = Primary();
  if (primary == nullptr || upstream == primary_ || !primary->has_status) {
    return;
  }
  const UpstreamStatus& status = answer.status;
  bool receives = !status.is_primary && status.held_term == 0 &&
                  status.term == primary->status.term;
  if (!receives) return;
  // A VM that does not know the replica does not hold it.
  const PooledUpstream& replica = *pool_.FindUpstream(upstream);
  bool is_evidence = pool_.IsEstablished(replica, context->now()) ||
                     !HasEstablishedReplica(context);
  if (!is_evidence) return;
  // Without a commit set, another VM may have left out a replica that is new.
  bool is_known =
      spec_.sync_replicas > 0 || pool_.IsEstablished(replica, context->now());
  bool suffices = is_known && CountsSingleReplicas(context) &&
                  IsInCommitSet(replica, primary->status.term);
  if (suffices) {
    leadership_.OnReplicaReceives(upstream, command.at);
  } else {
    ConfirmByAllReplicas(*primary, context);
  }
  if (IsProbeAnswered()) is_probe_pending_ = false;
}

// Another VM may have left one replica out of a promotion, but none that every
// VM knows.
void GroupOwner::ConfirmByAllReplicas(const PooledUpstream& primary,
                                      ProxyContext* context) {
  Instant oldest = context->instant();
  bool has_replica = false;
  for (const auto& item : pool_.upstreams()) {
    const PooledUpstream& replica = item.second;
    bool counts =
        item.first != primary_ && !pool_.HasEnded(replica, context->now());
    if (!counts) continue;
    has_replica = true;
    bool receives =
        !replica.is_down && replica.is_status_of_this_connection() &&
        !replica.status.is_primary && replica.status.held_term == 0 &&
        replica.status.term == primary.status.term;
    if (!receives) return;
    if (replica.status_sent.sequence < oldest.sequence) {
      oldest = replica.status_sent;
    }
  }
  if (!has_replica) return;
  // The successor of a planned change receives until it leads. So this confirms
  // the primary, but does not show that no promotion was requested.
  leadership_.OnConfirmed(oldest);
}

bool GroupOwner::IsProbeAnswered() const {
  return does_probe_need_two_
             ? leadership_.IsUnchallengedSince(probe_sent_.sequence)
             : leadership_.IsConfirmedSince(probe_sent_.sequence);
}

// Requests a confirmation ahead of its expiry while work is queued.
void GroupOwner::KeepLeadershipConfirmed(ProxyContext* context) {
  // In a planned change, the successor confirms the primary until it leads.
  bool is_lost = failover_.is_active() && !failover_.is_planned();
  if (primary_ == UpstreamId() || is_lost) return;
  Work* work = queue_.First(Lane::kPrimary, context->now(),
                            [](const Work&) { return true; });
  if (work == nullptr) {
    work = queue_.First(Lane::kAny, context->now(),
                        [](const Work&) { return true; });
  }
  if (work == nullptr) return;
  TimePoint oldest =
      context->now() - Duration::Millis(MaxConfirmationAge(*work).millis() / 2);
  bool needs_two = NeedsUnchallengedPrimary(*work);
  bool is_confirmed = needs_two ? leadership_.IsUnchallengedSince(oldest)
                                : leadership_.IsConfirmedSince(oldest);
  // A single replica cannot show that no promotion was requested, but a status
  // requested after the arrival of the work suffices for it.
  is_confirmed =
      is_confirmed || leadership_.IsConfirmedSince(work->arrived.sequence);
  if (!is_confirmed) SendProbe(needs_two, context);
}

bool GroupOwner::IsSingleUpstream() {
  for (const auto& item : pool_.upstreams()) {
    const PooledUpstream& upstream = item.second;
    bool has_ended = upstream.is_down &&
                     (upstream.record.leaving || !upstream.is_registered);
    if (item.first != primary_ && !has_ended) return false;
  }
  return Primary() != nullptr;
}

// True if no replica is left, or all of them are about to end. A replica that
// does not answer but has an entry may serve another VM, which must be able to
// take the lease.
bool GroupOwner::MayLackReplicas() {
  if (!is_assigned_ || Primary() == nullptr) return false;
  for (const auto& item : pool_.upstreams()) {
    const PooledUpstream& upstream = item.second;
    bool lasts = item.first != primary_ && upstream.is_registered &&
                 !upstream.record.leaving;
    if (lasts) return false;
  }
  return true;
}

// False if an upstream that is not in the list may have commits of this term or
// a later one.
bool GroupOwner::IsAloneInCommitSet(const PooledUpstream& primary) const {
  const CommitSet& set = failover_.lease().commit_set();
  if (spec_.sync_replicas == 0) return true;
  return set.term == primary.status.term && !set.may_have_order &&
         set.primary == primary.record.id;
}

void GroupOwner::ProveSoleLeadership(ProxyContext* context) {
  // After an upstream has joined, until it confirms the primary.
  constexpr Duration kJoinTime = Duration::Seconds(2);
  if (MayLackReplicas()) lacks_replicas_at_ = context->now();
  bool is_needed = is_assigned_ && lacks_replicas_at_ != TimePoint() &&
                   context->now() - lacks_replicas_at_ < kJoinTime;
  const PooledUpstream* primary = pool_.FindUpstream(primary_);
  uint64_t term = primary == nullptr ? 0 : primary->status.term;
  failover_.KeepLease(is_needed, term, context);
  if (!is_needed) return;
  context->WakeAtCoarse(lacks_replicas_at_ + kJoinTime);
  sole_leadership_.Step(failover_.lease(), pool_, primary_, context);
  bool is_proven =
      sole_leadership_.IsProven(failover_.lease(), context->now()) &&
      pool_.IsListCurrent(context->now()) && IsAloneInCommitSet(*primary);
  if (is_proven) {
    leadership_.OnUnchallenged(context->instant());
  }
}

void GroupOwner::SendProbe(bool needs_two, ProxyContext* context) {
  // One request at a time; if it is not answered within this time, the next
  // one goes to all replicas.
  constexpr Duration kProbeTimeout = Duration::Millis(30);
  bool is_pending =
      is_probe_pending_ && context->now() - probe_sent_.time < kProbeTimeout;
  if (is_pending) return;
  UpstreamCommand status;
  size_t wanted = needs_two ? 2 : 1;
  bool needs_all = !CountsSingleReplicas(context);
  // All are asked after a time-out, too.
  if (is_probe_pending_ || needs_all) wanted = pool_.upstreams().size();
  size_t asked = 0;
  for (const auto& item : pool_.upstreams()) {
    const PooledUpstream& upstream = item.second;
    bool may_confirm = item.first != primary_ && !upstream.is_down &&
                       upstream.has_status && upstream.status.held_term == 0;
    if (!may_confirm || asked >= wanted) continue;
    if (pool_.SendControl(item.first, status, context)) asked++;
  }
  is_probe_pending_ = true;
  does_probe_need_two_ = needs_two && asked > 1;
  probe_sent_ = context->instant();
  context->WakeAt(context->now() + kProbeTimeout);
}

void GroupOwner::UpdatePrimary(ProxyContext* context) {
  UpstreamId best;
  uint64_t best_term = 0;
  int best_evidence = 0;
  for (const auto& item : pool_.upstreams()) {
    const PooledUpstream& upstream = item.second;
    if (!HasLed(upstream)) continue;
    uint64_t term = upstream.status.term;
    // Commits of a later term may have been acknowledged, also if none of its
    // upstreams answers.
    if (term < MinTerm()) continue;
    highest_term_ = term;
    int evidence = LeadEvidence(upstream);
    bool is_better = best == UpstreamId() || term > best_term;
    if (!is_better && term == best_term) {
      is_better = evidence != best_evidence ? evidence > best_evidence
                                            : item.first == primary_;
    }
    if (!is_better) continue;
    best = item.first;
    best_term = term;
    best_evidence = evidence;
  }
  if (best == UpstreamId()) DropOvertakenPrimary(context);
  if (best == UpstreamId() || best == primary_) {
    if (best != UpstreamId()) without_primary_since_ = context->now();
    return;
  }
  context->Log(LogLevel::kWarning, kPart, "primary_changed",
               {{"group", spec_.id.value()},
                {"from", primary_.value()},
                {"to", best.value()},
                {"term", std::to_string(best_term)}});
  SettleCommits(*pool_.FindUpstream(best), context);
  UpstreamId old = primary_;
  primary_ = best;
  primary_since_ = context->now();
  without_primary_since_ = context->now();
  leadership_.Reset();
  previous_primary_position_ = LogPosition();
  is_probe_pending_ = false;
  next_status_ = context->now();
  context->WakeAt(context->now());
  if (old == UpstreamId()) return;
  // The old primary can no longer acknowledge the statements that it is
  // running. Reads are sent again; the outcome of a write that was sent is
  // unknown.
  CloseDataConnections(old, context);
}

// A later term was recorded than that in which the primary leads.
void GroupOwner::DropOvertakenPrimary(ProxyContext* context) {
  const PooledUpstream* primary = pool_.FindUpstream(primary_);
  bool is_overtaken = primary != nullptr && HasLed(*primary) &&
                      primary->status.term < MinTerm();
  if (!is_overtaken) return;
  context->Log(LogLevel::kWarning, kPart, "primary_overtaken",
               {{"group", spec_.id.value()},
                {"primary", primary_.value()},
                {"term", std::to_string(primary->status.term)},
                {"later_term", std::to_string(MinTerm())}});
  UpstreamId old = primary_;
  primary_ = UpstreamId();
  without_primary_since_ = context->now();
  leadership_.Reset();
  previous_primary_position_ = LogPosition();
  is_probe_pending_ = false;
  CloseDataConnections(old, context);
}

void GroupOwner::CloseDataConnections(const UpstreamId& id,
                                      ProxyContext* context) {
  for (ConnectionId connection : pool_.ConnectionsOf(id)) {
    PooledConnection* used = pool_.Find(connection);
    if (used == nullptr || used->is_control) continue;
    OnConnectionLost(pool_.Close(connection, context), context);
  }
}

void GroupOwner::CheckTimeouts(ProxyContext* context) {
  std::vector<StatementNumber> due;
  for (const auto& item : work_) {
    const Work* work = item.second.get();
    if (context->now() >= work->deadline) due.push_back(item.first);
  }
  for (StatementNumber number : due) {
    Work* work = FindWork(number);
    if (work == nullptr) continue;
    if (work->is_queued()) {
      Fail(work, Outcome::kBusy, "queue_wait", context);
      continue;
    }
    if (work->stage == WorkStage::kConfirming) {
      Fail(work, Outcome::kUnknown, "commit_not_confirmed", context);
      continue;
    }
    if (work->in_transaction()) {
      TransactionKey key = work->transaction();
      bool is_running = work->stage == WorkStage::kRunning;
      bool is_outcome_unknown =
          (work->call.access == Access::kCommit &&
           transactions_[key].has_written) ||
          (work->call.access == Access::kWrite && is_running);
      transactions_[key].running = StatementNumber();
      AbortTransaction(key, true, context);
      Fail(work, is_outcome_unknown ? Outcome::kUnknown : Outcome::kAborted,
           "statement_timeout", context);
      continue;
    }
    if (work->stage == WorkStage::kSettingUp) {
      Fail(work, Outcome::kBusy, "set_up_timeout", context);
      continue;
    }
    bool is_read = work->call.access == Access::kRead;
    Fail(work, is_read ? Outcome::kTimeout : Outcome::kUnknown,
         "statement_timeout", context);
  }
}

// An idle transaction occupies a connection that other callers need.
void GroupOwner::EndIdleTransactions(ProxyContext* context) {
  if (transaction_idle_timeout_ == Duration()) return;
  std::vector<TransactionKey> idle;
  for (const auto& item : transactions_) {
    const Transaction& transaction = item.second;
    if (transaction.running != StatementNumber()) continue;
    TimePoint limit = transaction.idle_since + transaction_idle_timeout_;
    if (context->now() >= limit) {
      idle.push_back(item.first);
    } else {
      context->WakeAtCoarse(limit);
    }
  }
  for (const TransactionKey& key : idle) {
    context->Log(
        LogLevel::kInfo, kPart, "idle_transaction_ended",
        {{"group", spec_.id.value()},
         {"session", key.session.vm.value() + "/" +
                         std::to_string(key.session.session.value())},
         {"limit_ms", std::to_string(transaction_idle_timeout_.millis())}});
    AbortTransaction(key, false, context);
  }
}

void GroupOwner::MarkDown(const UpstreamId& id, const char* cause,
                          ProxyContext* context) {
  for (const PooledConnection& lost : pool_.MarkDown(id, cause, context)) {
    OnConnectionLost(lost, context);
  }
  next_review_ = context->now();
}

void GroupOwner::CheckUnanswered(ProxyContext* context) {
  std::vector<ConnectionId> unresponsive;
  for (auto& item : pool_.upstreams()) {
    PooledUpstream& upstream = item.second;
    PooledConnection* control = pool_.Find(upstream.control);
    if (control == nullptr || !control->is_open || control->sent.empty()) {
      continue;
    }
    Duration unanswered = context->now() - control->sent.front().at.time;
    if (unanswered < kControlTimeout) continue;
    unresponsive.push_back(control->id);
  }
  for (ConnectionId id : unresponsive) {
    // The failure may affect only this connection, so a new one is opened; if
    // that fails too, the upstream counts as down.
    PooledConnection lost = pool_.Close(id, context);
    PooledUpstream* upstream = pool_.FindUpstream(lost.upstream);
    bool is_unresponsive =
        context->now() - upstream->last_answer >= kControlTimeout;
    if (is_unresponsive) upstream->failed_opens++;
    upstream->next_open = context->now();
    context->Log(LogLevel::kWarning, kPart, "control_silent",
                 {{"group", spec_.id.value()},
                  {"upstream", lost.upstream.value()},
                  {"failures", std::to_string(upstream->failed_opens)}});
  }
  for (const auto& item : pool_.upstreams()) {
    for (ConnectionId id : pool_.ConnectionsOf(item.first)) {
      PooledConnection* connection = pool_.Find(id);
      bool is_dead =
          !connection->is_control && !connection->sent.empty() &&
          context->now() - connection->sent.front().at.time >= kCommandTimeout;
      if (is_dead) OnConnectionLost(pool_.Close(id, context), context);
    }
  }
}

void GroupOwner::RequestStatus(ProxyContext* context) {
  if (context->now() < next_status_) {
    context->WakeAt(next_status_);
    return;
  }
  next_status_ = context->now() + kStatusPeriod;
  context->WakeAt(next_status_);
  ConsiderLagRelief(context);
  CheckStalled(context);
  UpstreamCommand status;
  for (const auto& item : pool_.upstreams()) {
    PooledConnection* control = pool_.Find(item.second.control);
    bool may_ask =
        control != nullptr && control->is_open && control->sent.empty();
    if (may_ask) pool_.SendControl(item.first, status, context);
  }
}

void GroupOwner::ReconcileUpstreams(ProxyContext* context) {
  if (context->now() < next_reconcile_) {
    context->WakeAt(next_reconcile_);
    return;
  }
  next_reconcile_ = context->now() + kReconcilePeriod;
  context->WakeAt(next_reconcile_);
  RemoveGoneUpstreams(context);
  pool_.SetSoleOwner(is_assigned_ &&
                     context->now() - assigned_since_ > kSoleOwnerDelay);
  if (!is_assigned_) pool_.CloseIdle(context);
  PooledUpstream* primary = Primary();
  if (primary == nullptr || failover_.is_active() || !is_assigned_) return;
  uint64_t term = primary->status.term;
  std::set<UpstreamId> resumable;
  for (const auto& item : pool_.upstreams()) {
    const PooledUpstream& upstream = item.second;
    bool is_known = upstream.is_status_of_this_connection() &&
                    !upstream.is_down && item.first != primary_;
    if (!is_known) continue;
    if (upstream.status.is_primary && upstream.status.term < term) {
      UpstreamCommand demote;
      demote.kind = CommandKind::kDemote;
      demote.term = term;
      if (!pool_.SendControl(item.first, demote, context)) continue;
      context->Log(LogLevel::kInfo, kPart, "demoted",
                   {{"group", spec_.id.value()},
                    {"upstream", item.first.value()},
                    {"term", std::to_string(term)}});
    } else if (upstream.status.held_term != 0) {
      bool is_over = Failover::IsHoldOver(upstream.status.held_term, term);
      bool is_stuck =
          context->now() - upstream.held_since > kStuckHoldTimeout &&
          context->now() - assigned_since_ > kStuckHoldTimeout;
      if (is_over || is_stuck) resumable.insert(item.first);
    }
  }
  if (!resumable.empty()) failover_.EndHolds(resumable, term, context);
}

// True if a promotion may depend on the upstream, though it has no entry.
bool GroupOwner::IsLogNeeded(const PooledUpstream& upstream) const {
  if (pool_.ReplacementOf(upstream) != nullptr) return false;
  bool is_successor =
      failover_.is_active() && failover_.successor() == upstream.record.id;
  return is_successor ||
         failover_.lease().commit_set().HasMember(upstream.record);
}

void GroupOwner::RemoveGoneUpstreams(ProxyContext* context) {
  std::vector<UpstreamId> gone;
  for (const auto& item : pool_.upstreams()) {
    const PooledUpstream& upstream = item.second;
    bool is_gone = !upstream.is_registered &&
                   !(item.first == primary_ && HasLed(upstream)) &&
                   upstream.is_down && !IsLogNeeded(upstream) &&
                   context->now() - upstream.unregistered_at >=
                       Failover::kUnregisteredTimeout;
    if (is_gone) gone.push_back(item.first);
  }
  for (const UpstreamId& id : gone) {
    for (ConnectionId connection : pool_.ConnectionsOf(id)) {
      OnConnectionLost(pool_.Close(connection, context), context);
    }
    pool_.Forget(id);
    context->Log(LogLevel::kInfo, kPart, "upstream_gone",
                 {{"group", spec_.id.value()}, {"upstream", id.value()}});
  }
}

// Starts a failover if no upstream has reported that it is the primary. Either
// the registry names a primary that does not answer, or all upstreams must have
// answered.
void GroupOwner::CheckLeaderless(ProxyContext* context) {
  bool may_be_starting =
      context->now() - without_primary_since_ < kLeaderlessTimeout ||
      context->now() - assigned_since_ < kLeaderlessTimeout;
  if (may_be_starting) return;
  uint64_t term = 0;
  UpstreamId registered_primary;
  bool all_answered = true;
  for (const auto& item : pool_.upstreams()) {
    const PooledUpstream& upstream = item.second;
    bool is_fresh = upstream.has_status && !upstream.is_down;
    if (is_fresh) term = std::max(term, upstream.status.term);
    // Its own later answer, that it is a replica, refutes its entry.
    bool claims = upstream.record.is_primary && upstream.is_registered &&
                  (!upstream.has_status || upstream.status.is_primary);
    if (claims && upstream.is_down) registered_primary = item.first;
    // The failover waits for one without an entry if it needs its log.
    bool counts =
        upstream.is_registered || context->now() - upstream.unregistered_at <
                                      Failover::kUnregisteredTimeout;
    all_answered = all_answered && (is_fresh || !counts);
  }
  if (term == 0) return;
  term = std::max(term, MinTerm());
  if (registered_primary != UpstreamId()) {
    failover_.Start(FailoverCause::kLost, registered_primary, term, context);
  } else if (all_answered) {
    failover_.Start(FailoverCause::kNoPrimary, UpstreamId(), term, context);
  }
}

// True if a commit that was sent to the primary before that time is unanswered.
bool GroupOwner::HasStalledCommit(TimePoint sent_before) const {
  for (const auto& item : work_) {
    const Work& work = *item.second;
    bool is_sent =
        work.stage == WorkStage::kRunning && work.sent.time < sent_before;
    if (!is_sent) continue;
    if (!work.in_transaction()) {
      if (work.call.access == Access::kWrite) return true;
      continue;
    }
    auto found = transactions_.find(work.transaction());
    bool commits = work.call.access == Access::kCommit &&
                   found != transactions_.end() && found->second.has_written;
    if (commits) return true;
  }
  return false;
}

// True if no replica has received the position that the primary had one status
// period ago.
bool GroupOwner::IsReplicationStalled(const PooledUpstream& primary,
                                      ProxyContext* context) const {
  TimePoint limit = context->now() - kStalledCommitTimeout;
  bool is_suspect = primary.has_status && primary.status_sent.time > limit &&
                    HasStalledCommit(limit);
  if (!is_suspect) return false;
  int behind = 0;
  for (const auto& item : pool_.upstreams()) {
    const PooledUpstream& replica = item.second;
    bool receives = item.first != primary_ && !replica.is_down &&
                    replica.has_status && replica.status.held_term == 0;
    if (!receives) continue;
    bool is_behind = replica.status_sent.time > limit &&
                     replica.status.received < previous_primary_position_;
    if (!is_behind) return false;
    behind++;
  }
  return behind > 0;
}

// Replaces a primary that answers but whose commits reach no replica: it is
// partitioned from the replicas, so it will acknowledge no commit.
void GroupOwner::CheckStalled(ProxyContext* context) {
  const PooledUpstream* primary = Primary();
  if (!is_assigned_ || failover_.is_active() || primary == nullptr) return;
  if (IsReplicationStalled(*primary, context)) {
    failover_.Start(FailoverCause::kStalled, primary_, primary->status.term,
                    context);
  }
  previous_primary_position_ = primary->status.received;
}

void GroupOwner::CheckFailover(ProxyContext* context) {
  if (!is_assigned_ || failover_.is_active()) return;
  PooledUpstream* primary = pool_.FindUpstream(primary_);
  // One that was demoted may acknowledge commits of a primary that this VM does
  // not know, so it is held like any other replica.
  if (primary == nullptr || !HasLed(*primary)) {
    CheckLeaderless(context);
    return;
  }
  uint64_t term = primary->status.term;
  if (primary->is_down) {
    failover_.Start(FailoverCause::kLost, primary_, term, context);
    return;
  }
  bool is_gone =
      !primary->is_registered && context->now() - primary->unregistered_at >
                                     Failover::kUnregisteredTimeout;
  if (primary->record.leaving || is_gone) {
    failover_.Start(FailoverCause::kLeaving, primary_, term, context);
    return;
  }
  bool requests_lease = !has_requested_lease_ && failover_.is_settled() &&
                        context->now() - assigned_since_ > kLeaseRequestDelay;
  if (requests_lease) {
    has_requested_lease_ = true;
    failover_.AcquireLeaseInAdvance(term, context);
  }
}

}  // namespace fireflycart::proxy
