// Leadership of a group. The calls on a control connection depend only on the
// current state: whenever the connection is free, the coordinator sends the
// call with the highest priority for that upstream. A lost call or reply is
// therefore compensated by the next call.

#include <algorithm>
#include <utility>

#include "fireflycart/core/error.h"
#include "fireflycart/core/group_coordinator.h"

namespace fireflycart {
namespace {

// Greatest age of an upstream's status while requests are queued.
constexpr Duration kMaxStatusAgeWhileQueued = Duration::Millis(3);
// Longest time that an upstream delays its status reply until it holds the
// awaited position.
constexpr Duration kPositionWaitTimeout = Duration::Millis(5);
// Backoff after another VM raised the term; it doubles each time.
constexpr Duration kInitialTakeoverBackoff = Duration::Millis(500);
constexpr Duration kMaxTakeoverBackoff = Duration::Seconds(30);
// Longest wait for open transactions before the primary or the coordinator
// changes.
constexpr Duration kTransactionDrainTimeout = Duration::Millis(2500);
// Longest wait for other work in flight before such a change.
constexpr Duration kWorkDrainTimeout = Duration::Millis(4000);
// Delay before a key is looked up again while its attempt still runs.
constexpr Duration kResolveRetryDelay = Duration::Millis(50);
// Delay before this VM checks again a group that another VM leads.
constexpr Duration kCoordinatorRecheckDelay = Duration::Millis(300);
// Longest wait for the statuses of all upstreams before a term is made, once a
// majority has replied.
constexpr Duration kStatusCollectionTimeout = Duration::Millis(100);
constexpr Duration kHandoverTimeout = Duration::Millis(1000);

}  // namespace

void GroupCoordinator::SendControlCalls() {
  for (auto& item : links_.all()) {
    if (!coordinating()) return;
    if (!links_.ControlIsFree(item.first)) continue;
    std::optional<UpstreamCallBody> call = NextControlCall(item.second);
    if (call) links_.CallControl(item.first, *call, context_);
  }
}

std::optional<UpstreamCallBody> GroupCoordinator::NextControlCall(
    const UpstreamLink& link) {
  const UpstreamId& id = link.policy.id;
  if (view_.Find(id) == nullptr) return StatusCall{};
  if (phase_ == GroupPhase::kTakingOver && !collecting_statuses_) {
    std::optional<UpstreamCallBody> call =
        takeover_.NextCall(id, view_, context_->self());
    if (call) return call;
  } else if (!collecting_statuses_) {
    std::optional<UpstreamCallBody> call = NextServingCall(link);
    if (call) return call;
  }
  bool is_status_due =
      context_->now() - link.last_reply >= context_->options().status_period();
  if (is_status_due) return StatusCall{};
  return std::nullopt;
}

std::optional<UpstreamCallBody> GroupCoordinator::NextServingCall(
    const UpstreamLink& link) {
  const UpstreamId& id = link.policy.id;
  const UpstreamStatus* status = view_.Find(id);
  if (id != primary_) {
    bool follows = status->term == term_ && status->primary == primary_ &&
                   status->role == UpstreamRole::kReplica;
    if (!follows) return FollowCall{term_, context_->self(), primary_};
  }
  if (id == primary_) {
    if (Work* work = NextToResolve()) {
      return ResolveCall{term_, work->request.key, work->attempt};
    }
  }
  if (!awaiting_ack_.empty() && id != primary_) {
    Position awaited;
    for (WorkId waiting : awaiting_ack_) {
      Position written = pending_.at(waiting).written;
      if (written <= status->held) continue;
      bool first = awaited == Position();
      awaited = first ? written : std::min(awaited, written);
    }
    if (awaited != Position()) return StatusCall{awaited, kPositionWaitTimeout};
  }
  if (NeedsStatus(link)) return StatusCall{};
  return std::nullopt;
}

// Returns true if a status of the upstream is needed: a read waits for a
// majority to reply to calls sent after the read arrived, or queued requests
// wait for a replica whose status shows that it has the data.
bool GroupCoordinator::NeedsStatus(const UpstreamLink& link) const {
  uint64_t confirmed = view_.ConfirmedSequence(link.policy.id, term_);
  for (WorkId waiting : awaiting_quorum_) {
    if (pending_.at(waiting).arrival_sequence > confirmed) return true;
  }
  bool is_stale = context_->now() - link.last_reply >= kMaxStatusAgeWhileQueued;
  return is_stale && queue_.size() > 0;
}

void GroupCoordinator::Observe(const UpstreamId& upstream,
                               const UpstreamReply& reply, Instant sent_at) {
  view_.Observe(upstream, reply.status, sent_at);
  bool is_primary = phase_ != GroupPhase::kTakingOver && upstream == primary_ &&
                    reply.status.term == term_;
  if (is_primary) view_.ObservePrimary(reply.status.held, sent_at.time);
}

void GroupCoordinator::OnControlReply(const ControlReply& control,
                                      const UpstreamReply& reply) {
  if (phase_ == GroupPhase::kTakingOver) {
    if (std::holds_alternative<PromoteCall>(control.call)) {
      if (reply.code == UpstreamCode::kOk) {
        takeover_.OnPromoted(reply.written);
      } else if (reply.code != UpstreamCode::kStaleTerm) {
        takeover_.OnPromotionFailed(control.upstream);
      }
    }
    return;
  }
  if (view_.HighestTerm() > term_) {
    OnPreempted();
    return;
  }
  const auto* resolve = std::get_if<ResolveCall>(&control.call);
  if (resolve != nullptr) OnResolved(*resolve, reply);
}

void GroupCoordinator::OnResolved(const ResolveCall& call,
                                  const UpstreamReply& reply) {
  for (auto& item : pending_) {
    Work& work = item.second;
    bool is_match =
        work.state == WorkState::kResolving && work.attempt == call.attempt;
    if (!is_match) continue;
    // Until a majority holds an entry of this term, a later primary may still
    // be chosen whose log of an earlier term contains the key.
    bool absent = reply.code == UpstreamCode::kCancelled &&
                  view_.QuorumPosition(term_) >= takeover_.first_entry();
    bool is_settled =
        absent || (reply.code == UpstreamCode::kOk && reply.replayed);
    if (is_settled) {
      CloseUnansweredConnection(work);
      EndTransaction(work.request.transaction, TransactionEnd::kBroken);
    }
    if (reply.code == UpstreamCode::kOk && reply.replayed) {
      work.written = reply.written;
      work.answer.result = reply.result;
      work.answer.replayed = true;
      work.state = WorkState::kAwaitingAck;
      awaiting_ack_.insert(work.id);
    } else if (absent) {
      // The attempt is permanently cancelled, and all earlier attempts were
      // refused or resolved before it, so the request has not run.
      work.maybe_run = false;
      bool is_commit = work.request.type == RequestType::kCommit;
      if (is_commit) {
        Finish(work.id, Outcome::kNotRun, Reason::kTransactionLost);
      } else {
        Requeue(&work);
      }
    } else {
      work.next_check = context_->now() + kResolveRetryDelay;
      resolving_.push_back(work.id);
    }
    return;
  }
}

// Removes and returns the first work item whose key look-up is due, or null.
// OnResolved() adds it again if the look-up does not settle it.
Work* GroupCoordinator::NextToResolve() {
  for (size_t left = resolving_.size(); left > 0; left--) {
    WorkId next = resolving_.front();
    resolving_.pop_front();
    Work* work = FindWork(next);
    bool is_resolving = work != nullptr && work->state == WorkState::kResolving;
    if (!is_resolving) continue;
    if (work->next_check <= context_->now()) return work;
    resolving_.push_back(next);
  }
  return nullptr;
}

void GroupCoordinator::BeginStatusCollection() {
  phase_ = GroupPhase::kTakingOver;
  phase_since_ = context_->now();
  collecting_statuses_ = true;
  view_.ClearStatuses();
}

// Returns the primary with the highest term among the known statuses.
UpstreamId GroupCoordinator::PrimaryOfHighestTerm() const {
  UpstreamId primary;
  Term highest;
  for (const auto& item : links_.all()) {
    const UpstreamStatus* status = view_.Find(item.first);
    if (status == nullptr || status->role != UpstreamRole::kPrimary) continue;
    if (status->term < highest) continue;
    highest = status->term;
    primary = item.first;
  }
  return primary;
}

// Returns true if a majority has sent its status and each other upstream has
// sent it too, is down, or has not replied in time.
bool GroupCoordinator::HasCollectedStatuses() const {
  size_t down = 0;
  for (const auto& item : links_.all()) {
    if (item.second.health.down()) down++;
  }
  size_t known = view_.CountWithStatus();
  if (known < view_.majority()) return false;
  bool waited = context_->now() - phase_since_ >= kStatusCollectionTimeout;
  return waited || known + down >= links_.all().size();
}

void GroupCoordinator::StartTakeover(const UpstreamId& old_primary,
                                     std::set<UpstreamId> avoided) {
  Term above = std::max(term_, view_.HighestTerm());
  term_ = terms_->Next(above);
  phase_ = GroupPhase::kTakingOver;
  phase_since_ = context_->now();
  collecting_statuses_ = false;
  takeover_.Start(term_, old_primary, std::move(avoided), context_->now());
}

void GroupCoordinator::AdvanceTakeover() {
  if (collecting_statuses_) {
    if (!HasCollectedStatuses()) return;
    VmId holder = HolderOfHighestTerm();
    bool led = !predecessor_ && holder != context_->self() &&
               (leaders_->MayLead(id_, holder) || HolderIsActive());
    if (led) {
      earliest_takeover_ =
          context_->now() + context_->Jitter(kCoordinatorRecheckDelay);
      known_holder_ = holder;
      StepDown(holder.value() + " coordinates it", holder);
      return;
    }
    StartTakeover(PrimaryOfHighestTerm(), LeavingUpstreams());
  }
  std::set<UpstreamId> unreachable;
  for (const auto& item : links_.all()) {
    if (item.second.health.down()) unreachable.insert(item.first);
  }
  takeover_.Step(view_, unreachable, links_.all().size(),
                 context_->options().primary_grace(), context_->now());
  if (takeover_.stage() == TakeoverStage::kPreempted) OnPreempted();
  if (takeover_.stage() == TakeoverStage::kPromoting) {
    bool lost = unreachable.count(takeover_.primary()) != 0;
    if (lost) takeover_.OnPromotionFailed(takeover_.primary());
  }
  if (takeover_.stage() == TakeoverStage::kPromoted) BeginServing();
}

// Returns true if a majority of the upstreams reports that the holder of the
// highest term is active. The holder then leads the group even if this VM
// cannot reach it; if this VM deposed it, the two would depose each other in
// turn.
bool GroupCoordinator::HolderIsActive() const {
  Term highest = view_.HighestTerm();
  size_t active = 0;
  for (const auto& item : links_.all()) {
    const UpstreamStatus* status = view_.Find(item.first);
    bool reports_active =
        status != nullptr && status->term == highest && status->holder_active;
    if (reports_active) active++;
  }
  return active >= view_.majority();
}

VmId GroupCoordinator::HolderOfHighestTerm() const {
  Term highest = view_.HighestTerm();
  for (const auto& item : links_.all()) {
    const UpstreamStatus* status = view_.Find(item.first);
    if (status != nullptr && status->term == highest) return status->holder;
  }
  return VmId();
}

void GroupCoordinator::BeginServing() {
  known_holder_ = VmId();
  phase_ = GroupPhase::kServing;
  phase_since_ = context_->now();
  primary_ = takeover_.primary();
  acknowledged_ = Position();
  last_ack_progress_ = context_->now();
  view_.ClearPrimarySamples();
  view_.ObservePrimary(takeover_.first_entry(), context_->now());
  // The predecessor's session positions are complete only if no other VM led
  // the group in between.
  bool complete =
      predecessor_ && takeover_.prior_entry_term() == predecessor_->term;
  if (complete) {
    sessions_.Restore(predecessor_->floor, predecessor_->sessions);
  } else {
    sessions_.RaiseFloor(takeover_.first_entry());
  }
  predecessor_.reset();
  Duration took = context_->now() - takeover_.started();
  context_->Log(LogLevel::kInfo, "takeover",
                "Serving " + id_.value() + " with primary " + primary_.value() +
                    " in term " + std::to_string(term_.value()) + " after " +
                    std::to_string(took.millis()) + " ms.");
}

// Starts a failover if the primary is down or its replication has stalled, and
// a majority is reachable without it.
void GroupCoordinator::FailOverIfPrimaryLost() {
  const UpstreamLink* link = links_.Find(primary_);
  bool down = link == nullptr || link->health.down();
  bool stalled = !down && ReplicationStalled();
  if (!down && !stalled) return;
  if (!MajorityReachableWithout(primary_)) return;
  context_->Log(
      LogLevel::kWarning, "takeover",
      "Primary " + primary_.value() + " of " + id_.value() +
          (down ? " is down." : " does not replicate to a majority."));
  std::set<UpstreamId> avoided = LeavingUpstreams();
  avoided.insert(primary_);
  // Writes that await their acknowledgement or a reply may be lost with the old
  // primary. Their keys are looked up once the new primary serves.
  std::vector<WorkId> in_progress;
  for (auto& item : pending_) {
    bool is_in_progress = item.second.state != WorkState::kQueued &&
                          item.second.state != WorkState::kJoined;
    if (is_in_progress) in_progress.push_back(item.first);
  }
  awaiting_ack_.clear();
  awaiting_quorum_.clear();
  resolving_.clear();
  links_.CloseData(context_);
  for (WorkId id : in_progress) {
    Work* work = FindWork(id);
    if (work == nullptr) continue;
    DataConnection lost;
    lost.work = id;
    lost.transaction = work->request.transaction;
    OnConnectionLost(lost);
  }
  transactions_.Clear();
  StartTakeover(UpstreamId(), std::move(avoided));
}

bool GroupCoordinator::MajorityReachableWithout(
    const UpstreamId& upstream) const {
  size_t reachable = 0;
  for (const auto& item : links_.all()) {
    bool counts = item.first != upstream && item.second.control_ready &&
                  !item.second.health.suspect();
    if (counts) reachable++;
  }
  return reachable >= view_.majority();
}

bool GroupCoordinator::ReplicationStalled() const {
  if (awaiting_ack_.empty()) return false;
  TimePoint oldest = context_->now();
  for (WorkId id : awaiting_ack_) {
    oldest = std::min(oldest, pending_.at(id).sent_at);
  }
  Duration limit = context_->options().replication_stall_timeout();
  TimePoint since = std::max(oldest, last_ack_progress_);
  return context_->now() - since >= limit;
}

// Steps down because another VM raised the term. If that VM wrongly takes this
// one for failed, the two could depose each other endlessly; a backoff with
// doubling and jitter prevents it.
void GroupCoordinator::OnPreempted() {
  Term highest = view_.HighestTerm();
  VmId holder = HolderOfHighestTerm();
  Duration since_backoff = context_->now() - earliest_takeover_;
  bool was_stable = since_backoff >= kMaxTakeoverBackoff * 2;
  bool first = takeover_backoff_ == Duration() || was_stable;
  takeover_backoff_ =
      first ? kInitialTakeoverBackoff
            : std::min(takeover_backoff_ * 2, kMaxTakeoverBackoff);
  earliest_takeover_ = context_->now() + context_->Jitter(takeover_backoff_);
  term_ = std::max(term_, highest);
  VmId successor = holder == context_->self() ? VmId() : holder;
  known_holder_ = successor;
  StepDown("term raised by " + holder.value(), successor);
}

std::set<UpstreamId> GroupCoordinator::LeavingUpstreams() const {
  std::set<UpstreamId> leaving;
  for (const auto& item : links_.all()) {
    if (item.second.leaving) leaving.insert(item.first);
  }
  return leaving;
}

// Starts a switch-over if the primary is leaving, while it still works.
void GroupCoordinator::SwitchOverIfPrimaryLeaving() {
  const UpstreamLink* link = links_.Find(primary_);
  if (link == nullptr || !link->leaving) return;
  bool has_candidate = false;
  for (const auto& item : links_.all()) {
    bool is_eligible = !item.second.leaving && item.second.control_ready &&
                       view_.IsConsistent(item.first, term_);
    if (is_eligible) has_candidate = true;
  }
  if (!has_candidate) return;
  context_->Log(LogLevel::kInfo, "takeover",
                "Primary " + primary_.value() +
                    " is leaving; switching over to another.");
  successor_ = VmId();
  phase_ = GroupPhase::kPausing;
  phase_since_ = context_->now();
}

// Waits, for a limited time, until no work is in flight, and then hands the
// group over or changes the primary. Meanwhile new requests are queued and open
// transactions may finish.
void GroupCoordinator::AdvancePause() {
  Duration waited = context_->now() - phase_since_;
  if (transactions_.size() > 0 && waited < kTransactionDrainTimeout) return;
  bool in_flight = !awaiting_ack_.empty() || !awaiting_quorum_.empty() ||
                   !resolving_.empty();
  for (const auto& item : pending_) {
    if (item.second.state == WorkState::kRunning) in_flight = true;
  }
  if (in_flight && waited < kWorkDrainTimeout) return;
  if (successor_ != VmId()) {
    SendHandover();
    return;
  }
  const UpstreamStatus* old = view_.Find(primary_);
  bool has_caught_up = false;
  for (const auto& item : links_.all()) {
    if (item.second.leaving || !view_.IsConsistent(item.first, term_)) continue;
    if (old != nullptr && view_.Find(item.first)->held >= old->held) {
      has_caught_up = true;
    }
  }
  if (!has_caught_up && waited < kWorkDrainTimeout) return;
  RenewTerm(UpstreamId());
}

// Starts a takeover of the group in a new term by the VM that coordinates it
// now. The session positions are kept.
void GroupCoordinator::RenewTerm(const UpstreamId& old_primary) {
  predecessor_ = HandoverCall{id_, term_, old_primary, sessions_.floor(),
                              sessions_.List()};
  transactions_.Clear();
  links_.CloseData(context_);
  StartTakeover(old_primary, LeavingUpstreams());
}

void GroupCoordinator::SendHandover() {
  phase_ = GroupPhase::kHandingOver;
  phase_since_ = context_->now();
  handover_call_ = context_->NextCall();
  context_->Emit(CallPeer{
      handover_call_, successor_, successor_address_, kHandoverTimeout,
      HandoverCall{id_, term_, primary_, sessions_.floor(), sessions_.List()}});
}

}  // namespace fireflycart
