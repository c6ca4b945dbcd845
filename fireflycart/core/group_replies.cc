// Replies and outcomes.
//
// A write is answered once a majority holds its position in this term. A read
// is answered once a majority was seen in this term after the read arrived.
// When a connection breaks under a write, its key is looked up at the primary:
// either the write is found, or its attempt is cancelled for good and the
// request may be sent again. So "not run" is said only of requests that never
// were sent, were refused, or were cancelled.

#include <algorithm>
#include <string>
#include <vector>

#include "fireflycart/core/error.h"
#include "fireflycart/core/group_coordinator.h"

namespace fireflycart {
namespace {

// A call without a reply for this long, or for kSilentFactor average service
// times, is looked into.
constexpr Duration kSilentAfter = Duration::Millis(600);
constexpr double kSilentFactor = 8;
// Time before the deadline that is kept for finding out an outcome.
constexpr Duration kResolveMargin = Duration::Millis(150);
constexpr double kServiceWeight = 0.05;
constexpr Duration kOverloadShed = Duration::Millis(100);
constexpr Duration kRetryAfter = Duration::Millis(100);

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
    OnOvertaken();
  }
}

void GroupCoordinator::OnStatementDone(Work* work,
                                       const DataConnection& connection,
                                       const UpstreamReply& reply) {
  double took = static_cast<double>((context_->now() - work->sent_at).millis());
  service_ms_ += kServiceWeight * (took - service_ms_);
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
      EndTransaction(work->request.transaction, TransactionEnd::kClean);
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
      work->answer.result = reply.result;
      if (work->request.type == RequestType::kCommit) {
        EndTransaction(work->request.transaction, TransactionEnd::kClean);
      }
      Finish(work->id, Outcome::kNotRun, Reason::kStatementFailed);
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
    ack_progress_ = context_->now();
  }
  std::vector<WorkId> acked;
  for (WorkId id : awaiting_ack_) {
    if (works_.at(id).written <= held) acked.push_back(id);
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
    if (works_.at(id).arrival_sequence <= confirmed) complete.push_back(id);
  }
  for (WorkId id : complete) FinishAnswered(FindWork(id));
}

void GroupCoordinator::CheckDeadlines() {
  for (WorkId id : queue_.Expire(context_->now())) {
    Finish(id, Outcome::kNotRun,
           phase_ == GroupPhase::kTakingOver ? Reason::kNoPrimary
                                             : Reason::kDeadline);
  }
  std::vector<WorkId> open;
  for (const auto& item : works_) {
    if (item.second.state != WorkState::kQueued) open.push_back(item.first);
  }
  for (WorkId id : open) {
    Work* work = FindWork(id);
    if (work == nullptr) continue;
    if (work->request.deadline > context_->now()) {
      if (work->state == WorkState::kRunning) CheckSilence(work);
      continue;
    }
    bool harmless = IsRead(work->request) ||
                    work->request.type == RequestType::kBegin ||
                    work->request.type == RequestType::kTransactionStatement;
    TransactionId transaction = work->request.transaction;
    bool unanswered = work->state == WorkState::kRunning;
    DropConnectionOf(*work);
    Finish(id, harmless ? Outcome::kNotRun : Outcome::kUnknown,
           Reason::kDeadline);
    if (unanswered) EndTransaction(transaction, TransactionEnd::kBroken);
  }
}

// A call without a reply may sit on a connection that went silent.
void GroupCoordinator::CheckSilence(Work* work) {
  Duration waited = context_->now() - work->sent_at;
  auto average = static_cast<int64_t>(service_ms_ * kSilentFactor);
  Duration limit = std::max(kSilentAfter, Duration::Millis(average));
  Duration left = work->request.deadline - context_->now();
  bool is_read = IsRead(work->request);
  bool is_write = work->request.type == RequestType::kCommit ||
                  (work->request.type == RequestType::kStatement && !is_read);
  bool silent = waited > limit;
  bool last_chance = is_write && left < kResolveMargin;
  if (!silent && !last_chance) return;
  if (is_write) {
    StartResolving(work);
  } else if (is_read) {
    DropConnectionOf(*work);
    Requeue(work);
  }
}

// Looks the request key up at the primary. The connection of the attempt stays
// open, since its reply may still come first.
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

// Closes the connection on which the work's call has no reply.
void GroupCoordinator::DropConnectionOf(const Work& work) {
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
  queue_.PushFront(ItemOf(*work));
}

// Ends a work that was not answered by an upstream. A request that may have run
// is never called not run.
void GroupCoordinator::Finish(WorkId id, Outcome outcome, Reason reason) {
  Work* work = FindWork(id);
  if (work == nullptr) return;
  bool open = work->maybe_run && outcome == Outcome::kNotRun;
  work->answer.outcome = open ? Outcome::kUnknown : outcome;
  work->answer.reason = reason;
  if (work->answer.retry_after == Duration()) {
    work->answer.retry_after = context_->Jitter(kRetryAfter);
  }
  ForwardReply reply;
  reply.status = ForwardStatus::kAnswered;
  if (reason == Reason::kOverloaded) reply.shed_for = kOverloadShed;
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
  bool harmless =
      IsRead(work->request) || work->request.type == RequestType::kBegin;
  ForwardReply reply;
  reply.status =
      never_sent || harmless ? ForwardStatus::kMoved : ForwardStatus::kMaybeRun;
  reply.coordinator = coordinator;
  Reply(*work, reply);
}

// Sends the reply and forgets the work. Works that joined it get the same.
void GroupCoordinator::Reply(const Work& work, ForwardReply reply) {
  Work ended = work;
  reply.answer = ended.answer;
  RememberOpenKey(ended, reply);
  results_.push_back(WorkResult{ended.origin, reply});
  awaiting_ack_.erase(ended.id);
  awaiting_quorum_.erase(ended.id);
  works_.erase(ended.id);
  bool owns_key =
      ended.request.key != RequestKey() && ended.state != WorkState::kJoined;
  if (!owns_key) return;
  for (WorkId joined : outcomes_.Finish(ended.request.key, ended.answer)) {
    Work* copy = FindWork(joined);
    if (copy == nullptr) continue;
    results_.push_back(WorkResult{copy->origin, reply});
    works_.erase(joined);
  }
}

// A key whose outcome was left unknown: a repeat that is refused must not be
// told that the request did not run.
void GroupCoordinator::RememberOpenKey(const Work& work,
                                       const ForwardReply& reply) {
  bool open = reply.status == ForwardStatus::kAnswered &&
              reply.answer.outcome == Outcome::kUnknown;
  const RequestKey& key = work.request.key;
  if (!open) {
    if (work.state != WorkState::kJoined) open_keys_.erase(key);
    return;
  }
  open_keys_.insert(key);
  if (open_keys_.size() > context_->options().outcome_budget()) {
    open_keys_.erase(open_keys_.begin());
  }
}

Work* GroupCoordinator::FindWork(WorkId id) {
  auto found = works_.find(id);
  return found == works_.end() ? nullptr : &found->second;
}

// Ends a transaction. Its connection goes back to the pool after a clean end;
// else it is closed, which rolls back what is open. Waiting statements are
// refused.
void GroupCoordinator::EndTransaction(const TransactionId& id,
                                      TransactionEnd end) {
  Transaction* found = transactions_.Find(id);
  if (found == nullptr) return;
  Transaction ended = *found;
  transactions_.Close(id);
  std::vector<WorkId> waiting;
  for (const auto& item : works_) {
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
