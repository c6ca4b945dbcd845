// Leadership of a group. Each control connection is driven by state, not by
// history: whenever it is free, the call that the upstream needs most is sent,
// so a lost call or reply is made up for by the next one.

#include <algorithm>
#include <utility>

#include "fireflycart/core/error.h"
#include "fireflycart/core/group_coordinator.h"

namespace fireflycart {
namespace {

// Oldest status that is good enough while requests wait.
constexpr Duration kStatusForQueue = Duration::Millis(3);
constexpr Duration kAwaitPosition = Duration::Millis(5);
constexpr Duration kFirstOvertakenPause = Duration::Millis(500);
constexpr Duration kLongestOvertakenPause = Duration::Seconds(30);
// Longest wait for transactions before the primary or the VM changes.
constexpr Duration kPauseForTransactions = Duration::Millis(2500);
// Longest wait for other work in flight.
constexpr Duration kPauseForWork = Duration::Millis(4000);
// Pause before a key is looked up again while its attempt still runs.
constexpr Duration kResolveAgain = Duration::Millis(50);
// Pause before a group that another VM leads is looked at again.
constexpr Duration kAskAgain = Duration::Millis(300);
// Longest wait for the status of all upstreams before a term is made.
constexpr Duration kLearnPeriod = Duration::Millis(100);
constexpr Duration kHandoverTimeout = Duration::Millis(1000);

}  // namespace

void GroupCoordinator::DriveControl() {
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
  if (phase_ == GroupPhase::kTakingOver && !learning_) {
    std::optional<UpstreamCallBody> call =
        takeover_.NextCall(id, view_, context_->self());
    if (call) return call;
  } else if (!learning_) {
    std::optional<UpstreamCallBody> call = NextServingCall(link);
    if (call) return call;
  }
  bool silent =
      context_->now() - link.last_reply >= context_->options().status_period();
  if (silent) return StatusCall{};
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
    Position wanted;
    for (WorkId waiting : awaiting_ack_) {
      Position written = works_.at(waiting).written;
      if (written <= status->held) continue;
      bool first = wanted == Position();
      wanted = first ? written : std::min(wanted, written);
    }
    if (wanted != Position()) return StatusCall{wanted, kAwaitPosition};
  }
  if (NeedsStatus(link)) return StatusCall{};
  return std::nullopt;
}

// Reads wait for a majority seen after their arrival, or for a replica that is
// known to have the data.
bool GroupCoordinator::NeedsStatus(const UpstreamLink& link) const {
  uint64_t confirmed = view_.ConfirmedSequence(link.policy.id, term_);
  for (WorkId waiting : awaiting_quorum_) {
    if (works_.at(waiting).arrival_sequence > confirmed) return true;
  }
  bool outdated = context_->now() - link.last_reply >= kStatusForQueue;
  return outdated && queue_.size() > 0;
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
    OnOvertaken();
    return;
  }
  const auto* resolve = std::get_if<ResolveCall>(&control.call);
  if (resolve != nullptr) OnResolved(*resolve, reply);
}

void GroupCoordinator::OnResolved(const ResolveCall& call,
                                  const UpstreamReply& reply) {
  for (auto& item : works_) {
    Work& work = item.second;
    bool is_it =
        work.state == WorkState::kResolving && work.attempt == call.attempt;
    if (!is_it) continue;
    // Until a majority holds an entry of this term, a later primary may still
    // bring back a log of an earlier term that has the key.
    bool absent = reply.code == UpstreamCode::kCancelled &&
                  view_.QuorumPosition(term_) >= takeover_.first_entry();
    bool settled =
        absent || (reply.code == UpstreamCode::kOk && reply.replayed);
    if (settled) DropConnectionOf(work);
    if (reply.code == UpstreamCode::kOk && reply.replayed) {
      work.written = reply.written;
      work.answer.result = reply.result;
      work.answer.replayed = true;
      work.state = WorkState::kAwaitingAck;
      awaiting_ack_.insert(work.id);
    } else if (absent) {
      // The attempt is cancelled for good, and all earlier ones were refused
      // or resolved before it, so the request has not run.
      work.maybe_run = false;
      bool is_commit = work.request.type == RequestType::kCommit;
      if (is_commit) {
        EndTransaction(work.request.transaction, TransactionEnd::kBroken);
        Finish(work.id, Outcome::kNotRun, Reason::kTransactionLost);
      } else {
        Requeue(&work);
      }
    } else {
      work.next_check = context_->now() + kResolveAgain;
      resolving_.push_back(work.id);
    }
    return;
  }
}

// The first work that is due to have its key looked up, or null.
Work* GroupCoordinator::NextToResolve() {
  for (size_t left = resolving_.size(); left > 0; left--) {
    WorkId next = resolving_.front();
    resolving_.pop_front();
    Work* work = FindWork(next);
    bool open = work != nullptr && work->state == WorkState::kResolving;
    if (!open) continue;
    if (work->next_check <= context_->now()) return work;
    resolving_.push_back(next);
  }
  return nullptr;
}

void GroupCoordinator::BeginLearning() {
  phase_ = GroupPhase::kTakingOver;
  phase_since_ = context_->now();
  learning_ = true;
  view_.ClearStatuses();
}

// The primary of the highest term that is known.
UpstreamId GroupCoordinator::KnownPrimary() const {
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

// A majority was heard, and the others had their chance.
bool GroupCoordinator::HasLearned() const {
  size_t down = 0;
  for (const auto& item : links_.all()) {
    if (item.second.health.down()) down++;
  }
  size_t known = view_.CountWithStatus();
  if (known < view_.majority()) return false;
  bool waited = context_->now() - phase_since_ >= kLearnPeriod;
  return waited || known + down >= links_.all().size();
}

void GroupCoordinator::StartTakeover(const UpstreamId& old_primary,
                                     std::set<UpstreamId> avoided) {
  Term above = std::max(term_, view_.HighestTerm());
  term_ = terms_->Next(above);
  phase_ = GroupPhase::kTakingOver;
  phase_since_ = context_->now();
  learning_ = false;
  takeover_.Start(term_, old_primary, std::move(avoided), context_->now());
}

void GroupCoordinator::StepTakeover() {
  if (learning_) {
    if (!HasLearned()) return;
    VmId holder = HolderOfHighestTerm();
    bool led = !predecessor_ && holder != context_->self() &&
               (leaders_->MayLead(id_, holder) || HolderIsActive());
    if (led) {
      next_takeover_ = context_->now() + context_->Jitter(kAskAgain);
      known_holder_ = holder;
      StepDown(holder.value() + " leads it", holder);
      return;
    }
    StartTakeover(KnownPrimary(), LeavingUpstreams());
  }
  std::set<UpstreamId> unreachable;
  for (const auto& item : links_.all()) {
    if (item.second.health.down()) unreachable.insert(item.first);
  }
  takeover_.Step(view_, unreachable, links_.all().size(),
                 context_->options().primary_grace(), context_->now());
  if (takeover_.stage() == TakeoverStage::kPreempted) OnOvertaken();
  if (takeover_.stage() == TakeoverStage::kPromoting) {
    bool lost = unreachable.count(takeover_.primary()) != 0;
    if (lost) takeover_.OnPromotionFailed(takeover_.primary());
  }
  if (takeover_.stage() == TakeoverStage::kPromoted) BeginServing();
}

// True if a majority hears the holder of the highest term. It leads well then,
// even if this VM cannot reach it; deposing it would begin a duel.
bool GroupCoordinator::HolderIsActive() const {
  Term highest = view_.HighestTerm();
  size_t active = 0;
  for (const auto& item : links_.all()) {
    const UpstreamStatus* status = view_.Find(item.first);
    bool hears =
        status != nullptr && status->term == highest && status->holder_active;
    if (hears) active++;
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
  ack_progress_ = context_->now();
  view_.ClearPrimarySamples();
  view_.ObservePrimary(takeover_.first_entry(), context_->now());
  // The predecessor's positions are complete only if nobody led in between.
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

// Fails over if the primary is down, or if it no longer reaches its replicas.
void GroupCoordinator::WatchPrimary() {
  const UpstreamLink* link = links_.Find(primary_);
  bool down = link == nullptr || link->health.down();
  bool stalled = !down && ReplicationStalled();
  if (!down && !stalled) return;
  if (!MajorityReachableWithout(primary_)) return;
  context_->Log(LogLevel::kWarning, "takeover",
                "Primary " + primary_.value() + " of " + id_.value() +
                    (down ? " is down." : " does not reach its replicas."));
  std::set<UpstreamId> avoided = LeavingUpstreams();
  avoided.insert(primary_);
  // Writes that are waiting for their acknowledgement, or for a reply, may be
  // lost with the old primary. Their keys tell once the new one serves.
  std::vector<WorkId> open;
  for (auto& item : works_) {
    bool is_open = item.second.state != WorkState::kQueued &&
                   item.second.state != WorkState::kJoined;
    if (is_open) open.push_back(item.first);
  }
  awaiting_ack_.clear();
  awaiting_quorum_.clear();
  resolving_.clear();
  links_.CloseData(context_);
  for (WorkId id : open) {
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
    oldest = std::min(oldest, works_.at(id).sent_at);
  }
  Duration limit = context_->options().replication_stall_timeout();
  TimePoint since = std::max(oldest, ack_progress_);
  return context_->now() - since >= limit;
}

// Another VM raised the term. If it is wrong about this VM, both would depose
// each other for ever; pauses that double and differ settle it.
void GroupCoordinator::OnOvertaken() {
  Term highest = view_.HighestTerm();
  VmId holder = HolderOfHighestTerm();
  Duration quiet = context_->now() - next_takeover_;
  bool calm = quiet >= kLongestOvertakenPause * 2;
  bool first = overtaken_pause_ == Duration() || calm;
  overtaken_pause_ =
      first ? kFirstOvertakenPause
            : std::min(overtaken_pause_ * 2, kLongestOvertakenPause);
  next_takeover_ = context_->now() + context_->Jitter(overtaken_pause_);
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

// A leaving primary is switched over while it is still well.
void GroupCoordinator::WatchLeaving() {
  const UpstreamLink* link = links_.Find(primary_);
  if (link == nullptr || !link->leaving) return;
  bool has_other = false;
  for (const auto& item : links_.all()) {
    bool fit = !item.second.leaving && item.second.control_ready &&
               view_.IsConsistent(item.first, term_);
    if (fit) has_other = true;
  }
  if (!has_other) return;
  context_->Log(LogLevel::kInfo, "takeover",
                "Primary " + primary_.value() + " is leaving; switching.");
  successor_ = VmId();
  phase_ = GroupPhase::kPausing;
  phase_since_ = context_->now();
}

// Waits until nothing is in flight. Work goes on being queued meanwhile, and
// open transactions may end.
void GroupCoordinator::StepPause() {
  Duration waited = context_->now() - phase_since_;
  if (transactions_.size() > 0 && waited < kPauseForTransactions) return;
  bool in_flight = !awaiting_ack_.empty() || !awaiting_quorum_.empty() ||
                   !resolving_.empty();
  for (const auto& item : works_) {
    if (item.second.state == WorkState::kRunning) in_flight = true;
  }
  if (in_flight && waited < kPauseForWork) return;
  if (successor_ != VmId()) {
    SendHandover();
    return;
  }
  const UpstreamStatus* old = view_.Find(primary_);
  bool equal = false;
  for (const auto& item : links_.all()) {
    if (item.second.leaving || !view_.IsConsistent(item.first, term_)) continue;
    if (old != nullptr && view_.Find(item.first)->held >= old->held) {
      equal = true;
    }
  }
  if (!equal && waited < kPauseForWork) return;
  RenewTerm(UpstreamId());
}

// Takes the group over from itself, keeping what it knows of the sessions.
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
