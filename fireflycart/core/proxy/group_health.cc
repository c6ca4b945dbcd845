// Which upstreams answer, which one leads, and when it has to be replaced. The
// same questions serve as proofs: a replica that receives in the primary's
// term shows that no promotion had been ordered when it was asked.

#include <algorithm>
#include <string>

#include "fireflycart/core/proxy/group_owner.h"

namespace fireflycart::proxy {
namespace {

constexpr char kPart[] = "group";
// Pause between two looks for upstreams to bring into line.
constexpr Duration kTidyPeriod = Duration::Millis(250);
// A hold without a promotion is lifted after it. An attempt holds replicas for
// no longer than the limits of holding and of taking effect.
constexpr Duration kStuckHold = Duration::Seconds(10);
// Time without a leader after which one is chosen; covers the start.
constexpr Duration kLeaderless = Duration::Millis(500);
// A commit that waits for replicas for so long waits in vain: a replica
// receives within milliseconds.
constexpr Duration kCommitStall = Duration::Millis(400);
// An upstream drops the connections of a dead VM after 3 s.
constexpr Duration kAloneAfter = Duration::Seconds(4);
// Time after which the owner takes the duty ahead of need.
constexpr Duration kDutyAfter = Duration::Millis(700);
// An answer that is missing for so long is not awaited on its connection.
constexpr Duration kDeadCommand = Duration::Seconds(3);

}  // namespace

void GroupOwner::Activate(ProxyContext* context) {
  last_used_ = context->now();
  if (is_active_) return;
  is_active_ = true;
  without_primary_since_ = context->now();
  next_status_ = context->now();
  next_tidy_ = context->now() + kTidyPeriod;
  context->WakeAt(context->now() + kStatusPeriod);
  context->Log(LogLevel::kInfo, kPart, "activated",
               {{"group", spec_.id.value()},
                {"upstreams", std::to_string(pool_.upstreams().size())}});
}

void GroupOwner::Deactivate(ProxyContext* context) {
  bool is_needed = is_chosen_ || !work_.empty() || !transactions_.empty() ||
                   failover_.is_active() ||
                   context->now() - last_used_ < kIdleAfter;
  if (is_needed) return;
  pool_.CloseAll(context);
  evidence_.Forget();
  for (auto& item : pool_.upstreams()) {
    item.second.has_status = false;
    item.second.is_down = false;
  }
  primary_ = UpstreamId();
  proof_pending_ = false;
  is_active_ = false;
  context->Log(LogLevel::kInfo, kPart, "let_go", {{"group", spec_.id.value()}});
}

void GroupOwner::OnControlAnswer(const UpstreamId& upstream,
                                 const SentCommand& command,
                                 const UpstreamAnswer& answer) {
  if (!answer.has_status) return;  // Busy: it lives, and says nothing else.
  const PooledUpstream* primary = Primary();
  if (primary == nullptr || upstream == primary_ || !primary->has_status) {
    return;
  }
  const UpstreamStatus& status = answer.status;
  bool receives = !status.is_primary && status.held_term == 0 &&
                  status.term == primary->status.term;
  if (!receives) return;
  evidence_.OnProof(command.at);
  if (command.at.sequence >= proof_asked_.sequence) proof_pending_ = false;
}

// Asks for a proof ahead of need while work that needs one waits or comes.
void GroupOwner::KeepProven(ProxyContext* context) {
  if (primary_ == UpstreamId() || failover_.is_active()) return;
  Work* work = queue_.First(Lane::kPrimary, context->now(),
                            [](const Work&) { return true; });
  if (work == nullptr) {
    work = queue_.First(Lane::kAny, context->now(),
                        [](const Work&) { return true; });
  }
  if (work == nullptr) return;
  Duration age = Duration::Millis(ProofAge(*work).millis() / 2);
  if (!evidence_.IsProvenSince(context->now() - age)) RequestProof(context);
}

void GroupOwner::RequestProof(ProxyContext* context) {
  // One question at a time; all replicas are asked if one does not answer.
  constexpr Duration kLost = Duration::Millis(30);
  bool is_pending =
      proof_pending_ && context->now() - proof_asked_.time < kLost;
  if (is_pending) return;
  UpstreamCommand status;
  bool ask_all = proof_pending_;  // The last one was not answered in time.
  bool asked = false;
  for (const auto& item : pool_.upstreams()) {
    const PooledUpstream& upstream = item.second;
    bool may_prove = item.first != primary_ && !upstream.is_down &&
                     upstream.has_status && upstream.status.held_term == 0;
    if (!may_prove || (asked && !ask_all)) continue;
    asked = pool_.SendControl(item.first, status, context) || asked;
  }
  proof_pending_ = true;
  proof_asked_ = context->instant();
  context->WakeAt(context->now() + kLost);
}

void GroupOwner::UpdatePrimary(ProxyContext* context) {
  UpstreamId best;
  uint64_t best_term = 0;
  for (const auto& item : pool_.upstreams()) {
    const PooledUpstream& upstream = item.second;
    bool leads = upstream.has_status && upstream.status.is_primary;
    if (!leads || (best != UpstreamId() && upstream.status.term <= best_term)) {
      continue;
    }
    best = item.first;
    best_term = upstream.status.term;
  }
  if (best == UpstreamId() || best == primary_) {
    if (best != UpstreamId()) without_primary_since_ = context->now();
    return;
  }
  context->Log(LogLevel::kWarning, kPart, "primary_changed",
               {{"group", spec_.id.value()},
                {"from", primary_.value()},
                {"to", best.value()},
                {"term", std::to_string(best_term)}});
  UpstreamId old = primary_;
  primary_ = best;
  without_primary_since_ = context->now();
  evidence_.Forget();
  primary_before_ = LogPosition();
  proof_pending_ = false;
  next_status_ = context->now();
  context->WakeAt(context->now());
  if (old == UpstreamId()) return;
  // What still runs at the old primary cannot be acknowledged any more. Reads
  // run again; the outcome of a write that was sent is unknown.
  for (ConnectionId connection : pool_.ConnectionsOf(old)) {
    PooledConnection* used = pool_.Find(connection);
    if (used == nullptr || used->is_control) continue;
    OnLost(pool_.Close(connection, context), context);
  }
}

void GroupOwner::CheckTimeouts(ProxyContext* context) {
  std::vector<StatementNumber> due;
  for (const auto& item : work_) {
    const Work* work = item.second.get();
    TimePoint limit = work->is_queued() ? work->give_up : work->timeout;
    if (context->now() >= limit) due.push_back(item.first);
  }
  for (StatementNumber number : due) {
    Work* work = FindWork(number);
    if (work == nullptr) continue;
    if (work->is_queued()) {
      Fail(work, Outcome::kBusy, "queue_wait", context);
      continue;
    }
    if (work->in_transaction()) {
      TransactionKey key = work->transaction();
      bool is_open = work->call.access == Access::kCommit &&
                     transactions_[key].has_written;
      transactions_[key].running = StatementNumber();
      DropTransaction(key, true, context);
      Fail(work, is_open ? Outcome::kUnknown : Outcome::kAborted,
           "statement_timeout", context);
      continue;
    }
    bool is_read = work->call.access == Access::kRead;
    Fail(work, is_read ? Outcome::kTimeout : Outcome::kUnknown,
         "statement_timeout", context);
  }
}

// Callers that rest inside a transaction hold a connection that others need.
void GroupOwner::EndIdleTransactions(ProxyContext* context) {
  if (transaction_idle_ == Duration()) return;
  std::vector<TransactionKey> idle;
  for (const auto& item : transactions_) {
    const Transaction& transaction = item.second;
    if (transaction.running != StatementNumber()) continue;
    TimePoint limit = transaction.idle_since + transaction_idle_;
    if (context->now() >= limit) {
      idle.push_back(item.first);
    } else {
      context->WakeAtCoarse(limit);
    }
  }
  for (const TransactionKey& key : idle) {
    context->Log(LogLevel::kInfo, kPart, "idle_transaction_ended",
                 {{"group", spec_.id.value()},
                  {"session", key.session.vm.value() + "/" +
                                  std::to_string(key.session.session.value())},
                  {"limit_ms", std::to_string(transaction_idle_.millis())}});
    DropTransaction(key, false, context);
  }
}

void GroupOwner::MarkDown(const UpstreamId& id, const char* cause,
                          ProxyContext* context) {
  for (const PooledConnection& lost : pool_.MarkDown(id, cause, context)) {
    OnLost(lost, context);
  }
}

void GroupOwner::CheckSilence(ProxyContext* context) {
  std::vector<ConnectionId> silent;
  for (auto& item : pool_.upstreams()) {
    PooledUpstream& upstream = item.second;
    PooledConnection* control = pool_.Find(upstream.control);
    if (control == nullptr || !control->is_open || control->sent.empty()) {
      continue;
    }
    Duration unanswered = context->now() - control->sent.front().at.time;
    if (unanswered < kSilentAfter) continue;
    silent.push_back(control->id);
  }
  for (ConnectionId id : silent) {
    // The connection may be silent alone. A new one tells; if it cannot be
    // opened either, the upstream counts as down.
    PooledConnection lost = pool_.Close(id, context);
    PooledUpstream* upstream = pool_.FindUpstream(lost.upstream);
    bool is_all_silent = context->now() - upstream->last_answer >= kSilentAfter;
    if (is_all_silent) upstream->failed_opens++;
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
          context->now() - connection->sent.front().at.time >= kDeadCommand;
      if (is_dead) OnLost(pool_.Close(id, context), context);
    }
  }
}

void GroupOwner::AskStatus(ProxyContext* context) {
  if (context->now() < next_status_) {
    context->WakeAt(next_status_);
    return;
  }
  next_status_ = context->now() + kStatusPeriod;
  context->WakeAt(next_status_);
  CheckStalled(context);
  UpstreamCommand status;
  for (const auto& item : pool_.upstreams()) {
    PooledConnection* control = pool_.Find(item.second.control);
    bool may_ask =
        control != nullptr && control->is_open && control->sent.empty();
    if (may_ask) pool_.SendControl(item.first, status, context);
  }
}

void GroupOwner::Tidy(ProxyContext* context) {
  if (context->now() < next_tidy_) {
    context->WakeAt(next_tidy_);
    return;
  }
  next_tidy_ = context->now() + kTidyPeriod;
  context->WakeAt(next_tidy_);
  DropGone(context);
  pool_.SetAlone(is_chosen_ && context->now() - chosen_since_ > kAloneAfter);
  if (!is_chosen_) pool_.CloseIdle(context);
  PooledUpstream* primary = Primary();
  if (primary == nullptr || failover_.is_active() || !is_chosen_) return;
  uint64_t term = primary->status.term;
  for (const auto& item : pool_.upstreams()) {
    const PooledUpstream& upstream = item.second;
    if (item.first == primary_ || !upstream.has_status) continue;
    UpstreamCommand command;
    if (upstream.status.is_primary && upstream.status.term < term) {
      command.kind = CommandKind::kDemote;
      command.term = term;
    } else if (upstream.status.held_term != 0) {
      bool is_over = upstream.status.held_term <= term;
      bool is_stuck = context->now() - upstream.held_since > kStuckHold &&
                      context->now() - chosen_since_ > kStuckHold;
      if (!is_over && !is_stuck) continue;
      command.kind = CommandKind::kResume;
    } else {
      continue;
    }
    if (!pool_.SendControl(item.first, command, context)) continue;
    context->Log(LogLevel::kInfo, kPart,
                 command.kind == CommandKind::kDemote ? "demoted" : "resumed",
                 {{"group", spec_.id.value()},
                  {"upstream", item.first.value()},
                  {"term", std::to_string(term)}});
  }
}

void GroupOwner::DropGone(ProxyContext* context) {
  std::vector<UpstreamId> gone;
  for (const auto& item : pool_.upstreams()) {
    const PooledUpstream& upstream = item.second;
    bool is_gone =
        !upstream.is_registered && item.first != primary_ &&
        context->now() - upstream.unregistered_at >= Failover::kGoneAfter;
    if (is_gone) gone.push_back(item.first);
  }
  for (const UpstreamId& id : gone) {
    for (ConnectionId connection : pool_.ConnectionsOf(id)) {
      OnLost(pool_.Close(connection, context), context);
    }
    pool_.upstreams().erase(id);
    context->Log(LogLevel::kInfo, kPart, "upstream_gone",
                 {{"group", spec_.id.value()}, {"upstream", id.value()}});
  }
}

// No upstream has said that it leads. The registry may name one that does not
// answer; otherwise all of them must have been asked.
void GroupOwner::CheckLeaderless(ProxyContext* context) {
  bool may_be_starting =
      context->now() - without_primary_since_ < kLeaderless ||
      context->now() - chosen_since_ < kLeaderless;
  if (may_be_starting) return;
  uint64_t term = 0;
  UpstreamId registered;
  bool all_replicas = true;
  for (const auto& item : pool_.upstreams()) {
    const PooledUpstream& upstream = item.second;
    bool is_fresh = upstream.has_status && !upstream.is_down;
    if (is_fresh) term = std::max(term, upstream.status.term);
    bool claims = upstream.record.is_primary && upstream.is_registered;
    if (claims && upstream.is_down) registered = item.first;
    all_replicas = all_replicas && is_fresh;
  }
  if (term == 0) return;
  if (registered != UpstreamId()) {
    failover_.Start(FailoverCause::kLost, registered, term, context);
  } else if (all_replicas) {
    failover_.Start(FailoverCause::kNone, UpstreamId(), term, context);
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

// True if no replica has what the primary had a status period ago.
bool GroupOwner::IsReplicationStalled(const PooledUpstream& primary,
                                      ProxyContext* context) const {
  TimePoint limit = context->now() - kCommitStall;
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
                     replica.status.received < primary_before_;
    if (!is_behind) return false;
    behind++;
  }
  return behind > 0;
}

// A primary that answers, but whose commits reach no replica, is cut off from
// them: nothing will be acknowledged there.
void GroupOwner::CheckStalled(ProxyContext* context) {
  const PooledUpstream* primary = Primary();
  if (!is_chosen_ || failover_.is_active() || primary == nullptr) return;
  if (IsReplicationStalled(*primary, context)) {
    failover_.Start(FailoverCause::kStalled, primary_, primary->status.term,
                    context);
  }
  primary_before_ = primary->status.received;
}

void GroupOwner::CheckFailover(ProxyContext* context) {
  if (!is_chosen_ || failover_.is_active()) return;
  PooledUpstream* known = pool_.FindUpstream(primary_);
  if (known == nullptr || !known->has_status) {
    CheckLeaderless(context);
    return;
  }
  uint64_t term = known->status.term;
  if (known->is_down) {
    failover_.Start(FailoverCause::kLost, primary_, term, context);
    return;
  }
  bool is_gone = !known->is_registered &&
                 context->now() - known->unregistered_at > Failover::kGoneAfter;
  if (known->record.leaving || is_gone) {
    failover_.Start(FailoverCause::kLeaving, primary_, term, context);
    return;
  }
  bool takes_duty = !holds_duty_ && context->now() - chosen_since_ > kDutyAfter;
  if (takes_duty) {
    holds_duty_ = true;
    failover_.HoldDuty(term, context);
  }
}

}  // namespace fireflycart::proxy
