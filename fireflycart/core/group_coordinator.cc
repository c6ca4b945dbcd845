// Configuration, submission and timers of a group at one VM, and
// ProcessPending(), which runs after each event and performs every step that is
// then possible. Control connections, dispatch and replies are in
// group_control.cc, group_dispatch.cc and group_replies.cc, in the order in
// which a request passes through them.

#include "fireflycart/core/group_coordinator.h"

#include <algorithm>
#include <utility>

namespace fireflycart {
namespace {

constexpr Duration kSessionTrimPeriod = Duration::Seconds(1);
// A queue whose wait stays above its target for this long counts as overload;
// a shorter excess is a burst.
constexpr Duration kStandingQueuePeriod = Duration::Millis(500);
// Overload ends when the estimated wait falls to the target divided by this.
constexpr int64_t kClearDivisor = 4;
constexpr Duration kOverloadRetryAfter = Duration::Millis(200);

}  // namespace

const char* GroupPhaseText(GroupPhase phase) {
  switch (phase) {
    case GroupPhase::kIdle:
      return "idle";
    case GroupPhase::kTakingOver:
      return "taking_over";
    case GroupPhase::kServing:
      return "serving";
    case GroupPhase::kPausing:
      return "pausing";
    case GroupPhase::kHandingOver:
      return "handing_over";
  }
  return "unknown";
}

GroupCoordinator::GroupCoordinator(GroupId id, const TermSource* terms,
                                   const LeaderView* leaders, Context* context)
    : id_(id),
      terms_(terms),
      leaders_(leaders),
      context_(context),
      links_(id),
      sessions_(context->options().session_budget()),
      outcomes_(context->options().outcome_budget()) {}

void GroupCoordinator::Configure(const GroupPolicy& policy,
                                 const Configuration& all) {
  policy_ = policy;
  ranks_ = all.ranks;
  kinds_.clear();
  for (const KindPolicy& kind : all.kinds) kinds_[kind.id] = kind;
  std::vector<UpstreamId> members;
  for (const UpstreamPolicy& upstream : policy.upstreams) {
    members.push_back(upstream.id);
  }
  view_.SetMembers(members);
  queue_.Configure(all.ranks, all.kinds,
                   static_cast<size_t>(policy.queue_limit));
  for (WorkId interrupted : links_.Configure(policy.upstreams, context_)) {
    Work* work = FindWork(interrupted);
    if (work == nullptr) continue;
    DataConnection lost;
    lost.work = interrupted;
    lost.transaction = work->request.transaction;
    OnConnectionLost(lost);
  }
  SetLeaving(listed_leaving_);
  ProcessPending();
}

void GroupCoordinator::SetLeaving(const std::set<UpstreamId>& leaving) {
  listed_leaving_ = leaving;
  for (auto& item : links_.all()) {
    item.second.leaving =
        item.second.policy.leaving || leaving.count(item.first) != 0;
  }
}

void GroupCoordinator::TakeOver(const std::string& why) {
  bool is_backing_off = context_->now() < earliest_takeover_;
  if (coordinating() || is_backing_off || !terms_->ready()) return;
  context_->Log(LogLevel::kInfo, "takeover",
                "Taking over " + id_.value() + ": " + why + ".");
  BeginStatusCollection();
  ProcessPending();
}

void GroupCoordinator::TakeOverFrom(const HandoverCall& predecessor) {
  if (coordinating() || !terms_->ready()) return;
  predecessor_ = predecessor;
  primary_ = predecessor.primary;
  term_ = std::max(term_, predecessor.term);
  context_->Log(
      LogLevel::kInfo, "takeover",
      "Taking over " + id_.value() + " from its previous coordinator.");
  BeginStatusCollection();
  ProcessPending();
}

void GroupCoordinator::HandOverTo(const VmId& successor,
                                  const std::string& address) {
  if (phase_ != GroupPhase::kServing) return;
  successor_ = successor;
  successor_address_ = address;
  phase_ = GroupPhase::kPausing;
  phase_since_ = context_->now();
  context_->Log(LogLevel::kInfo, "handover",
                "Handing " + id_.value() + " to " + successor.value() + ".");
  ProcessPending();
}

void GroupCoordinator::StepDown(const std::string& why, const VmId& successor) {
  if (!coordinating()) return;
  context_->Log(LogLevel::kInfo, "takeover",
                "Stopping coordination of " + id_.value() + ": " + why + ".");
  phase_ = GroupPhase::kIdle;
  phase_since_ = context_->now();
  AbandonAll(successor);
  links_.CloseAll(context_);
  sessions_.Clear();
  outcomes_.Clear();
  unknown_outcome_keys_.clear();
  transactions_.Clear();
  view_.ClearPrimarySamples();
  predecessor_.reset();
  successor_ = VmId();
  handover_call_ = CallId();
}

void GroupCoordinator::Submit(const Request& request, const WorkOrigin& origin,
                              Duration time_left, bool maybe_run) {
  Work work;
  work.id = WorkId(context_->NextNumber());
  work.request = request;
  work.request.deadline = context_->now() + time_left;
  work.origin = origin;
  work.arrival = context_->now();
  work.arrival_sequence = context_->sequence();
  work.maybe_run = maybe_run;
  auto kind = kinds_.find(request.kind);
  WorkId id = work.id;
  if (kind != kinds_.end()) work.rank = kind->second.rank;
  pending_[id] = std::move(work);
  if (!coordinating()) {
    FinishMoved(id, VmId());
    return;
  }
  if (kind == kinds_.end()) {
    Finish(id, Outcome::kNotRun, Reason::kUnknownKind);
    return;
  }
  Enqueue(&pending_[id]);
  ProcessPending();
}

void GroupCoordinator::Cancel(const RequestKey& key) {
  for (auto& item : pending_) {
    bool is_cancellable = item.second.state == WorkState::kQueued &&
                          item.second.request.key == key &&
                          !item.second.maybe_run;
    if (!is_cancellable || outcomes_.HasJoined(key)) continue;
    queue_.Remove(item.first);
    Finish(item.first, Outcome::kNotRun, Reason::kCallerGone);
    return;
  }
}

void GroupCoordinator::CancelLocal(HandleId handle) {
  for (auto& item : pending_) {
    const Work& work = item.second;
    bool is_match = work.origin.local && work.origin.handle == handle;
    if (!is_match || work.state != WorkState::kQueued) continue;
    if (outcomes_.HasJoined(work.request.key)) continue;
    queue_.Remove(item.first);
    Finish(item.first, Outcome::kNotRun, Reason::kCallerGone);
    return;
  }
}

void GroupCoordinator::OnTick() {
  if (!coordinating()) return;
  CheckDeadlines();
  CheckTransactions();
  bool serves =
      phase_ == GroupPhase::kServing || phase_ == GroupPhase::kPausing;
  if (serves) FailOverIfPrimaryLost();
  if (phase_ == GroupPhase::kServing) SwitchOverIfPrimaryLeaving();
  TrimSessions();
  ProcessPending();
}

void GroupCoordinator::OnConnectionOpened(const ConnectionOpened& event) {
  links_.OnOpened(event, context_);
  ProcessPending();
}

void GroupCoordinator::OnConnectionBroken(const ConnectionBroken& event) {
  DataConnection lost = links_.OnBroken(event.connection, context_);
  if (lost.id != ConnectionId()) OnConnectionLost(lost);
  ProcessPending();
}

void GroupCoordinator::OnUpstreamReplied(const UpstreamReplied& event) {
  std::optional<ControlReply> control = links_.OnControlReply(event, context_);
  if (control) {
    Observe(control->upstream, event.reply, control->sent_at);
    OnControlReply(*control, event.reply);
    ProcessPending();
    return;
  }
  DataConnection* connection = links_.FindData(event.connection);
  if (connection == nullptr || connection->call != event.call) return;
  Observe(connection->upstream, event.reply, connection->sent_at);
  OnDataReply(connection, event.reply);
  ProcessPending();
}

bool GroupCoordinator::OnPeerReplied(const PeerReplied& event) {
  if (handover_call_ == CallId() || event.call != handover_call_) return false;
  handover_call_ = CallId();
  const auto* reply = std::get_if<HandoverReply>(&event.body);
  bool accepted = event.error == PeerCallError::kNone && reply != nullptr &&
                  reply->accepted;
  if (phase_ != GroupPhase::kHandingOver) return true;
  if (accepted) {
    StepDown("handed over", successor_);
    return true;
  }
  // The hand-over call may still be delivered. A new term invalidates it: the
  // successor then detects that a VM led the group in between and discards the
  // session positions in the call.
  successor_ = VmId();
  RenewTerm(primary_);
  ProcessPending();
  return true;
}

std::vector<WorkResult> GroupCoordinator::TakeResults() {
  return std::exchange(results_, {});
}

// Queues a new work item. If its key is known, answers it with the recorded
// outcome or lets it wait for the request in progress.
void GroupCoordinator::Enqueue(Work* work) {
  const RequestKey& key = work->request.key;
  if (key != RequestKey()) {
    if (const Answer* first = outcomes_.FindDone(key)) {
      work->answer = *first;
      work->answer.replayed = true;
      FinishAnswered(work);
      return;
    }
    if (outcomes_.IsRunning(key)) {
      work->state = WorkState::kJoined;
      outcomes_.Join(key, work->id);
      return;
    }
    outcomes_.Start(key);
    if (unknown_outcome_keys_.count(key) != 0) work->maybe_run = true;
  }
  bool needs_transaction = work->request.type != RequestType::kStatement &&
                           work->request.type != RequestType::kBegin;
  if (needs_transaction &&
      transactions_.Find(work->request.transaction) == nullptr) {
    bool is_commit =
        work->request.type == RequestType::kCommit && key != RequestKey();
    if (is_commit) {
      StartResolving(work);
    } else {
      Finish(work->id, Outcome::kNotRun, Reason::kTransactionLost);
    }
    return;
  }
  std::optional<Duration> excess = ExcessWait(*work);
  if (excess && !work->maybe_run) {
    // The request would miss its limit in any case; refusing it now costs no
    // upstream capacity.
    work->answer.retry_after = context_->Jitter(*excess + kOverloadRetryAfter);
    Finish(work->id, Outcome::kNotRun, Reason::kOverloaded);
    return;
  }
  AdmissionQueue::PushResult pushed = queue_.Push(MakeQueuedWork(*work));
  if (pushed.evicted) {
    Finish(*pushed.evicted, Outcome::kNotRun, Reason::kOverloaded);
  }
  if (!pushed.queued) {
    work->answer.retry_after = context_->Jitter(kOverloadRetryAfter);
    Finish(work->id, Outcome::kNotRun, Reason::kOverloaded);
  }
}

QueuedWork GroupCoordinator::MakeQueuedWork(const Work& work) const {
  QueuedWork item;
  item.work = work.id;
  item.kind = work.request.kind;
  item.rank = work.rank;
  bool is_read = work.request.type == RequestType::kStatement &&
                 work.request.access == Access::kRead;
  item.lane = is_read ? Lane::kRead : Lane::kPrimary;
  item.deadline = work.request.deadline;
  return item;
}

// Returns how long a new work item waits for a slot at the measured rates, or
// nothing if the rates are unknown or the item belongs to an open transaction,
// whose steps do not queue behind other work.
std::optional<Duration> GroupCoordinator::EstimateWait(const Work& work) const {
  if (work.request.transaction != TransactionId()) return std::nullopt;
  Lane lane = MakeQueuedWork(work).lane;
  double rate = 0;
  for (const auto& item : links_.all()) {
    bool is_primary = item.first == primary_;
    bool serves = lane == Lane::kPrimary ? is_primary : !is_primary;
    if (serves && !item.second.leaving) {
      rate += item.second.concurrency.rate_per_ms();
    }
  }
  if (rate <= 0) return std::nullopt;
  auto ahead = static_cast<double>(queue_.CountUpTo(work.rank, lane));
  // Less urgent ranks keep their floor shares, which reduces the rate of this
  // rank.
  double reserved_share = 0;
  for (size_t i = 0; i < ranks_.size(); i++) {
    bool below = static_cast<int>(i) > work.rank.value();
    if (below) reserved_share += ranks_[i].floor_share;
  }
  return Duration::Millis(
      static_cast<int64_t>(ahead / (rate * std::max(0.1, 1 - reserved_share))));
}

// Returns by how much the estimated wait exceeds the time left until the
// deadline, or nothing if it does not. After the wait has been above the rank's
// target for kStandingQueuePeriod, the target replaces a later deadline. A
// shorter burst, as after a failover, may drain up to the deadline.
std::optional<Duration> GroupCoordinator::ExcessWait(const Work& work) {
  std::optional<Duration> wait = EstimateWait(work);
  if (!wait) return std::nullopt;
  Duration limit = work.request.deadline - context_->now();
  auto index = static_cast<size_t>(std::max(0, work.rank.value()));
  if (index < ranks_.size()) {
    Duration target = ranks_[index].target;
    TimePoint& since =
        above_target_since_[{work.rank, MakeQueuedWork(work).lane}];
    // Hysteresis: the rule stays in force while refusals keep the wait near the
    // target.
    if (wait->millis() * kClearDivisor <= target.millis()) since = TimePoint();
    if (*wait > target && since == TimePoint()) since = context_->now();
    bool is_standing =
        since != TimePoint() && context_->now() - since >= kStandingQueuePeriod;
    if (is_standing) limit = std::min(limit, target);
  }
  if (*wait <= limit) return std::nullopt;
  return *wait - limit;
}

void GroupCoordinator::TrimSessions() {
  if (context_->now() < next_session_trim_) return;
  next_session_trim_ = context_->now() + kSessionTrimPeriod;
  Position applied = view_.AppliedByAll(term_);
  if (applied != Position()) sessions_.DropApplied(applied);
}

// Ends every work item when this VM stops coordinating. Requests that never ran
// are sent to the next coordinator; for those that may have run, the next
// coordinator looks up the request key.
void GroupCoordinator::AbandonAll(const VmId& successor) {
  queue_.Drain();
  resolving_.clear();
  awaiting_ack_.clear();
  awaiting_quorum_.clear();
  std::vector<WorkId> all;
  for (const auto& item : pending_) all.push_back(item.first);
  for (WorkId id : all) {
    Work* work = FindWork(id);
    if (work == nullptr) continue;
    bool pinned = work->request.transaction != TransactionId() &&
                  work->request.type != RequestType::kCommit;
    if (pinned) {
      Finish(id, Outcome::kNotRun, Reason::kTransactionLost);
    } else {
      FinishMoved(id, successor);
    }
  }
}

// Performs every step that is possible without a further event.
void GroupCoordinator::ProcessPending() {
  if (!coordinating() || is_processing_) return;
  is_processing_ = true;
  PlanConnections();
  links_.Maintain(term_, context_);
  if (phase_ == GroupPhase::kTakingOver) AdvanceTakeover();
  if (phase_ == GroupPhase::kPausing) AdvancePause();
  CompleteAcks();
  CompleteReads();
  Dispatch();
  SendControlCalls();
  is_processing_ = false;
}

}  // namespace fireflycart
