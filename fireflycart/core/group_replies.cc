// Replies and outcomes.
//
// A write is answered once a majority holds its position in this term. A read
// is answered once a majority has replied, in this term, to calls sent after
// the read arrived. When the connection of a write breaks, the primary looks up
// the write's key: either it finds the write, or it cancels the attempt
// permanently and the request may be sent again. "Not run" is therefore
// reported only for requests that were never sent, were refused, or were
// cancelled.

#include <algorithm>
#include <string>
#include <vector>

#include "fireflycart/core/error.h"
#include "fireflycart/core/group_coordinator.h"

namespace fireflycart {
namespace {

// A call times out after the longer of kMinResponseTimeout and
// kResponseTimeoutFactor average service times without a reply.
constexpr Duration kMinResponseTimeout = Duration::Millis(600);
constexpr double kResponseTimeoutFactor = 8;
// Time reserved before the deadline for looking up a write's outcome.
constexpr Duration kResolveMargin = Duration::Millis(150);
// Weight of a new sample in the moving average of service times.
constexpr double kServiceTimeSampleWeight = 0.05;
// How long the callers' VMs refuse a kind after an overload reply.
constexpr Duration kShedDuration = Duration::Millis(100);
constexpr Duration kDefaultRetryAfter = Duration::Millis(100);

bool IsRead(const Request& request) {
  return request.type == RequestType::kStatement &&
         request.access == Access::kRead;
}

std::string TransactionNumber(const Work& work) {
  return std::to_string(work.id.value());
}

bool IsPinned(const Request& request) {
  return request.type == RequestType::kTransactionStatement ||
         request.type == RequestType::kCommit ||
         request.type == RequestType::kRollback;
}

}  // namespace

void GroupCoordinator::OnDataReply(DataConnection* connection,
                                   const UpstreamReply& reply) {
  DataConnection served = *connection;
  links_.EndCall(connection, context_->now());
  Work* work = FindWork(served.work);
  Transaction* transaction = transactions_.Find(served.transaction);
  if (transaction != nullptr) {
    transaction->running = WorkId();
    transaction->last_used = context_->now();
  }
  if (work != nullptr) {
    if (reply.code == UpstreamCode::kOk) {
      OnStatementDone(work, served, reply);
    } else {
      OnStatementRefused(work, reply);
    }
  }
  if (view_.HighestTerm() > term_ && phase_ != GroupPhase::kTakingOver) {
    OnPreempted();
  }
}

void GroupCoordinator::OnStatementDone(Work* work,
                                       const DataConnection& connection,
                                       const UpstreamReply& reply) {
  double took = static_cast<double>((context_->now() - work->sent_at).millis());
  service_ms_ += kServiceTimeSampleWeight * (took - service_ms_);
  work->answer.result = reply.result;
  work->answer.upstream = connection.upstream;
  work->answer.replayed = reply.replayed;
  work->answer.from_replica = connection.upstream != primary_;
  work->written = reply.written;
  switch (work->request.type) {
    case RequestType::kBegin: {
      TransactionId id =
          MakeTransactionId(context_->self(), id_, TransactionNumber(*work));
      Transaction* opened = transactions_.Open(
          id, connection.id, connection.upstream, work->rank, context_->now());
      opened->session = work->request.session;
      links_.FindData(connection.id)->transaction = id;
      work->answer.transaction = id;
      FinishAnswered(work);
      return;
    }
    case RequestType::kRollback:
      EndTransaction(work->request.transaction, TransactionEnd::kClean);
      FinishAnswered(work);
      return;
    case RequestType::kCommit:
      // If the key was stored already, nothing ran, so the transaction may
      // still be open.
      EndTransaction(work->request.transaction, reply.replayed
                                                    ? TransactionEnd::kBroken
                                                    : TransactionEnd::kClean);
      break;
    case RequestType::kStatement:
      if (IsRead(work->request) && work->answer.from_replica &&
          !HasData(reply.status, *work)) {
        Requeue(work);
        return;
      }
      break;
    case RequestType::kTransactionStatement:
      break;
  }
  if (work->written != Position()) {
    work->state = WorkState::kAwaitingAck;
    awaiting_ack_.insert(work->id);
  } else {
    work->state = WorkState::kAwaitingQuorum;
    awaiting_quorum_.insert(work->id);
  }
}

void GroupCoordinator::OnStatementRefused(Work* work,
                                          const UpstreamReply& reply) {
  switch (reply.code) {
    case UpstreamCode::kFailed:
      OnStatementFailed(work, reply);
      return;
    case UpstreamCode::kBusyKey:
      StartResolving(work);
      return;
    default:
      break;
  }
  // The reply proves that this attempt did not run.
  if (IsPinned(work->request)) {
    TransactionId id = work->request.transaction;
    Finish(work->id, Outcome::kNotRun, Reason::kTransactionLost);
    EndTransaction(id, TransactionEnd::kBroken);
    return;
  }
  Requeue(work);
}

// A reply does not tell whether the upstream still has a transaction open, so
// a connection on which its begin or end failed is closed, which rolls it back.
void GroupCoordinator::OnStatementFailed(Work* work,
                                         const UpstreamReply& reply) {
  work->answer.result = reply.result;
  RequestType type = work->request.type;
  if (type == RequestType::kBegin) links_.Close(work->connection, context_);
  if (type == RequestType::kCommit || type == RequestType::kRollback) {
    EndTransaction(work->request.transaction, TransactionEnd::kBroken);
  }
  if (type == RequestType::kRollback) {
    FinishAnswered(work);
    return;
  }
  Finish(work->id, Outcome::kNotRun, Reason::kStatementFailed);
}

void GroupCoordinator::OnConnectionLost(const DataConnection& lost) {
  Work* work = FindWork(lost.work);
  if (work != nullptr) {
    RequestType type = work->request.type;
    if (type == RequestType::kCommit || work->written != Position() ||
        (type == RequestType::kStatement && !IsRead(work->request))) {
      StartResolving(work);
    } else if (type == RequestType::kRollback) {
      FinishAnswered(work);
    } else if (type == RequestType::kTransactionStatement) {
      Finish(work->id, Outcome::kNotRun, Reason::kTransactionLost);
    } else {
      Requeue(work);
    }
  }
  EndTransaction(lost.transaction, TransactionEnd::kBroken);
}

void GroupCoordinator::CompleteAcks() {
  Position held = view_.QuorumPosition(term_);
  if (held > acknowledged_) {
    acknowledged_ = held;
    last_ack_progress_ = context_->now();
  }
  std::vector<WorkId> acked;
  for (WorkId id : awaiting_ack_) {
    if (pending_.at(id).written <= held) acked.push_back(id);
  }
  for (WorkId id : acked) {
    Work* work = FindWork(id);
    sessions_.Record(work->request.session, work->written);
    FinishAnswered(work);
  }
}

void GroupCoordinator::CompleteReads() {
  uint64_t confirmed = view_.QuorumSequence(term_);
  std::vector<WorkId> complete;
  for (WorkId id : awaiting_quorum_) {
    if (pending_.at(id).arrival_sequence <= confirmed) complete.push_back(id);
  }
  for (WorkId id : complete) FinishAnswered(FindWork(id));
}

void GroupCoordinator::CheckDeadlines() {
  for (WorkId id : queue_.Expire(context_->now())) {
    Finish(id, Outcome::kNotRun,
           phase_ == GroupPhase::kTakingOver ? Reason::kNoPrimary
                                             : Reason::kDeadline);
  }
  std::vector<WorkId> active;
  for (const auto& item : pending_) {
    if (item.second.state != WorkState::kQueued) active.push_back(item.first);
  }
  for (WorkId id : active) {
    Work* work = FindWork(id);
    if (work == nullptr) continue;
    if (work->request.deadline > context_->now()) {
      if (work->state == WorkState::kRunning) CheckResponseTimeout(work);
      continue;
    }
    bool is_discarded =
        IsRead(work->request) || work->request.type == RequestType::kBegin ||
        work->request.type == RequestType::kTransactionStatement;
    TransactionId transaction = work->request.transaction;
    // A statement that the upstream has run would be kept by a COMMIT, although
    // its caller is told that it did not run.
    bool ends_transaction =
        work->state == WorkState::kRunning ||
        work->request.type == RequestType::kTransactionStatement;
    CloseUnansweredConnection(*work);
    Finish(id, is_discarded ? Outcome::kNotRun : Outcome::kUnknown,
           Reason::kDeadline);
    if (ends_transaction) EndTransaction(transaction, TransactionEnd::kBroken);
  }
}

// Handles a call without a reply, whose connection may be unresponsive: looks
// up the key of a write, and sends a read again on another connection.
void GroupCoordinator::CheckResponseTimeout(Work* work) {
  Duration waited = context_->now() - work->sent_at;
  auto average = static_cast<int64_t>(service_ms_ * kResponseTimeoutFactor);
  Duration limit = std::max(kMinResponseTimeout, Duration::Millis(average));
  Duration left = work->request.deadline - context_->now();
  bool is_read = IsRead(work->request);
  bool is_write = work->request.type == RequestType::kCommit ||
                  (work->request.type == RequestType::kStatement && !is_read);
  bool is_timed_out = waited > limit;
  bool must_resolve = is_write && left < kResolveMargin;
  if (!is_timed_out && !must_resolve) return;
  if (is_write) {
    StartResolving(work);
  } else if (is_read) {
    CloseUnansweredConnection(*work);
    Requeue(work);
  }
}

// Starts the look-up of the request key at the primary. The connection of the
// attempt stays open, since its reply may still arrive first.
void GroupCoordinator::StartResolving(Work* work) {
  work->maybe_run = true;
  work->state = WorkState::kResolving;
  awaiting_ack_.erase(work->id);
  awaiting_quorum_.erase(work->id);
  work->written = Position();
  if (work->attempt == AttemptId()) {
    work->attempt = AttemptId(context_->NextNumber());
  }
  resolving_.push_back(work->id);
}

// Closes the connection of the work item if its call has no reply yet.
void GroupCoordinator::CloseUnansweredConnection(const Work& work) {
  DataConnection* connection = links_.FindData(work.connection);
  bool serves = connection != nullptr && connection->work == work.id;
  if (serves) links_.Close(work.connection, context_);
}

void GroupCoordinator::Requeue(Work* work) {
  if (IsPinned(work->request)) {
    Finish(work->id, Outcome::kNotRun, Reason::kTransactionLost);
    return;
  }
  work->state = WorkState::kQueued;
  work->written = Position();
  awaiting_ack_.erase(work->id);
  awaiting_quorum_.erase(work->id);
  work->connection = ConnectionId();
  queue_.PushFront(MakeQueuedWork(*work));
}

// Ends a work item that no upstream answered, or that failed. The outcome of a
// request that may have run is never reported as not run.
void GroupCoordinator::Finish(WorkId id, Outcome outcome, Reason reason) {
  Work* work = FindWork(id);
  if (work == nullptr) return;
  bool open = work->maybe_run && outcome == Outcome::kNotRun;
  work->answer.outcome = open ? Outcome::kUnknown : outcome;
  work->answer.reason = reason;
  if (work->answer.retry_after == Duration()) {
    work->answer.retry_after = context_->Jitter(kDefaultRetryAfter);
  }
  ForwardReply reply;
  reply.status = ForwardStatus::kAnswered;
  if (reason == Reason::kOverloaded) reply.shed_duration = kShedDuration;
  Reply(*work, reply);
}

void GroupCoordinator::FinishAnswered(Work* work) {
  work->answer.outcome = Outcome::kDone;
  work->answer.reason = Reason::kNone;
  ForwardReply reply;
  reply.status = ForwardStatus::kAnswered;
  Reply(*work, reply);
}

void GroupCoordinator::FinishMoved(WorkId id, const VmId& coordinator) {
  Work* work = FindWork(id);
  if (work == nullptr) return;
  bool never_sent = work->state == WorkState::kQueued && !work->maybe_run;
  bool is_repeatable =
      IsRead(work->request) || work->request.type == RequestType::kBegin;
  ForwardReply reply;
  reply.status = never_sent || is_repeatable ? ForwardStatus::kMisdirected
                                             : ForwardStatus::kOutcomeUnknown;
  reply.coordinator = coordinator;
  Reply(*work, reply);
}

// Sends the reply and removes the work item. Duplicates that joined it get the
// same reply.
void GroupCoordinator::Reply(const Work& work, ForwardReply reply) {
  Work ended = work;
  reply.answer = ended.answer;
  RecordUnknownOutcomeKey(ended, reply);
  results_.push_back(WorkResult{ended.origin, reply});
  awaiting_ack_.erase(ended.id);
  awaiting_quorum_.erase(ended.id);
  pending_.erase(ended.id);
  bool owns_key =
      ended.request.key != RequestKey() && ended.state != WorkState::kJoined;
  if (!owns_key) return;
  for (WorkId joined : outcomes_.Finish(ended.request.key, ended.answer)) {
    Work* copy = FindWork(joined);
    if (copy == nullptr) continue;
    results_.push_back(WorkResult{copy->origin, reply});
    pending_.erase(joined);
  }
}

// Records a key whose request ended with an unknown outcome, so that a repeat
// that is refused is not reported as not run.
void GroupCoordinator::RecordUnknownOutcomeKey(const Work& work,
                                               const ForwardReply& reply) {
  bool is_unknown = reply.status == ForwardStatus::kAnswered &&
                    reply.answer.outcome == Outcome::kUnknown;
  const RequestKey& key = work.request.key;
  if (!is_unknown) {
    if (work.state != WorkState::kJoined) unknown_outcome_keys_.erase(key);
    return;
  }
  unknown_outcome_keys_.insert(key);
  if (unknown_outcome_keys_.size() > context_->options().outcome_budget()) {
    unknown_outcome_keys_.erase(unknown_outcome_keys_.begin());
  }
}

Work* GroupCoordinator::FindWork(WorkId id) {
  auto found = pending_.find(id);
  return found == pending_.end() ? nullptr : &found->second;
}

// Ends a transaction. After a clean end its connection returns to the pool;
// otherwise the connection is closed, which rolls the transaction back. Queued
// statements of the transaction are refused.
void GroupCoordinator::EndTransaction(const TransactionId& id,
                                      TransactionEnd end) {
  Transaction* found = transactions_.Find(id);
  if (found == nullptr) return;
  Transaction ended = *found;
  transactions_.Close(id);
  std::vector<WorkId> waiting;
  for (const auto& item : pending_) {
    bool waits = item.second.request.transaction == id &&
                 item.second.state == WorkState::kQueued;
    if (waits) waiting.push_back(item.first);
  }
  for (WorkId work : waiting) {
    queue_.Remove(work);
    Finish(work, Outcome::kNotRun, Reason::kTransactionLost);
  }
  DataConnection* connection = links_.FindData(ended.connection);
  if (connection == nullptr) return;
  connection->transaction = TransactionId();
  if (end == TransactionEnd::kBroken) links_.Close(connection->id, context_);
}

void GroupCoordinator::CheckTransactions() {
  std::vector<TransactionId> expired = transactions_.Expired(
      context_->now(), policy_.transaction_idle, policy_.transaction_max);
  for (const TransactionId& id : expired) {
    EndTransaction(id, TransactionEnd::kBroken);
  }
}

}  // namespace fireflycart
