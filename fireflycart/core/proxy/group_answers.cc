// Applies the answers of upstreams to their statements. A statement is sent
// again only if the upstream reports that it did not run, or if it only reads.
// A write or a commit without an answer has an unknown outcome. Any failure
// inside a transaction ends it: the upstream rolls it back, so none of its
// changes persist. What an acknowledged commit waits for is in
// group_commits.cc.

#include <algorithm>
#include <string>
#include <utility>

#include "fireflycart/core/proxy/group_owner.h"
#include "fireflycart/core/proxy/group_reader.h"

namespace fireflycart::proxy {
namespace {

constexpr char kPart[] = "statement";
// A statement fails when this many connections were lost while it was in
// flight. Refusals do not count: the statement did not run, and their time is
// bounded.
constexpr int kMaxConnectionLosses = 4;
// Runs of a read after which a failure is the read's own, not the upstream's.
constexpr int kMaxFailedRuns = 2;
// Delay before a retry after an upstream reported a full queue, doubled with
// each refusal up to the maximum.
constexpr Duration kBusyRetryDelay = Duration::Millis(8);
constexpr int kMaxBusyDoublings = 2;
// Delay before a retry after an upstream reported that it is not the primary.
constexpr Duration kNotPrimaryRetryDelay = Duration::Millis(20);

// The upstream says that the statement has not run.
bool IsRefusal(Outcome outcome) {
  return outcome == Outcome::kBusy || outcome == Outcome::kNoStatement ||
         outcome == Outcome::kBehind || outcome == Outcome::kReadOnly;
}

bool IsReadOnly(const Work& work, bool has_written) {
  return work.call.access == Access::kRead ||
         (work.call.access == Access::kCommit && !has_written);
}

// Half of the delay is random, so that refused statements do not return at the
// same moment.
Duration BusyPause(int refusals, ProxyContext* context) {
  int64_t millis =
      (kBusyRetryDelay * (int64_t{1} << std::min(refusals, kMaxBusyDoublings)))
          .millis();
  auto jitter = static_cast<int64_t>(
      context->Random(static_cast<uint64_t>(millis / 2 + 1)));
  return Duration::Millis(millis / 2 + jitter);
}

}  // namespace

void GroupOwner::LogOddAnswer(const UpstreamId& upstream,
                              const SentCommand& command,
                              const UpstreamAnswer& answer,
                              ProxyContext* context) {
  bool is_rollback = command.kind == CommandKind::kRollback;
  bool is_refused = answer.outcome != Outcome::kDone;
  const char* event = nullptr;
  if (is_refused && command.is_set_up()) {
    event = "setup_failed";
  } else if (is_refused && is_rollback) {
    event = "rollback_failed";
  } else if (!command.IsStateExpected(answer)) {
    event = "unexpected_transaction_state";
  }
  if (event == nullptr) return;
  const Work* work = FindWork(command.work);
  context->Log(LogLevel::kError, kPart, event,
               {{"group", spec_.id.value()},
                {"upstream", upstream.value()},
                {"id", work == nullptr ? "" : work->call.id.value()},
                {"outcome", OutcomeName(answer.outcome)},
                {"detail", answer.detail},
                {"expected", TransactionStateName(command.state_after)},
                {"state", TransactionStateName(answer.state)}});
}

void GroupOwner::CloseAfter(ConnectionId id, const SentCommand& command,
                            ProxyContext* context) {
  PooledConnection lost = pool_.Close(id, context);
  lost.sent.push_front(command);
  OnConnectionLost(lost, context);
}

// A write of a transaction that the upstream has ended ran alone, and may have
// been committed. Outside transactions a refusal holds. For all else it is as
// if the answer had not come.
void GroupOwner::OnUnexpectedState(ConnectionId id, const SentCommand& command,
                                   const UpstreamAnswer& answer,
                                   ProxyContext* context) {
  Work* work = FindWork(command.work);
  bool is_refused = work != nullptr && command.is_statement() &&
                    !work->in_transaction() && IsRefusal(answer.outcome);
  if (is_refused) {
    UpstreamId upstream = pool_.Find(id)->upstream;
    pool_.Close(id, context);
    OnStatementOrBeginFailed(work, upstream, answer, context);
    return;
  }
  bool may_be_kept =
      work != nullptr && command.is_statement() && work->in_transaction() &&
      work->call.access == Access::kWrite && answer.outcome == Outcome::kDone;
  if (may_be_kept) {
    transactions_.erase(work->transaction());
    Fail(work, Outcome::kUnknown, "unexpected_transaction_state", context);
  }
  CloseAfter(id, command, context);
}

// The connection of a refused command lacks a state that the pool has recorded
// for it, also if the statement has ended that needed it.
void GroupOwner::OnSetUpAnswer(ConnectionId id, const SentCommand& command,
                               const UpstreamAnswer& answer,
                               ProxyContext* context) {
  if (answer.outcome != Outcome::kDone) {
    CloseAfter(id, command, context);
    return;
  }
  PooledConnection* connection = pool_.Find(id);
  Work* work = FindWork(command.work);
  bool is_set_up = work != nullptr && work->stage == WorkStage::kSettingUp &&
                   work->connection == id && connection->sent.empty();
  if (!is_set_up) return;
  if (MayStillStart(*work, connection->upstream, context)) {
    SendStatement(work, connection, context);
  } else {
    Requeue(work, Duration(), context);
  }
}

void GroupOwner::OnStatementAnswer(Work* work, const SentCommand& command,
                                   const UpstreamAnswer& answer,
                                   ProxyContext* context) {
  switch (command.kind) {
    case CommandKind::kBegin:
    case CommandKind::kBeginReadOnly:
      OnBeginAnswer(work, answer, context);
      return;
    default:
      break;
  }
  PooledConnection* connection = pool_.Find(work->connection);
  if (connection == nullptr) return;
  UpstreamId upstream = connection->upstream;
  work->reply.position = answer.position;
  work->reply.rows = answer.rows;
  work->reply.signature = answer.signature;
  work->reply.detail = answer.detail;
  work->reply.outcome = answer.outcome;
  bool ok = answer.outcome == Outcome::kDone;
  if (ok) {
    service_times_.OnServed(ServiceKindOf(work->call),
                            context->now() - work->sent.time, context->now());
    if (GroupReader::IsServable(work->call)) {
      read_times_.OnServed(ServiceKind(), context->now() - work->sent.time,
                           context->now());
    }
  }
  if (!work->in_transaction()) {
    if (!ok) {
      OnStatementOrBeginFailed(work, upstream, answer, context);
      return;
    }
    if (work->call.access == Access::kWrite) {
      OnCommitted(work, answer, context);
    } else {
      Finish(work, context);
    }
    return;
  }
  Transaction& transaction = transactions_[work->transaction()];
  if (!ok) {
    OnInTransactionFailed(work, answer, context);
    return;
  }
  transaction.running = StatementNumber();
  transaction.idle_since = context->now();
  if (work->call.access == Access::kWrite) transaction.has_written = true;
  if (work->call.access == Access::kCommit) {
    bool has_written = transaction.has_written;
    if (!has_written) work->reply.position = LogPosition();
    connection->is_pinned = false;
    transactions_.erase(work->transaction());
    if (has_written) {
      OnCommitted(work, answer, context);
    } else {
      Finish(work, context);
    }
    return;
  }
  Finish(work, context);
}

void GroupOwner::OnCommitted(Work* work, const UpstreamAnswer& answer,
                             ProxyContext* context) {
  work->acknowledged = context->instant();
  bool is_replicated = spec_.sync_replicas > 0;
  // In a planned change, the successor may receive an unreplicated commit yet.
  bool may_be_late = is_replicated || !failover_.is_planned();
  if (may_be_late && !failover_.IsCommitKept(answer.position, pool_, context)) {
    Fail(work, Outcome::kUnknown, "acknowledged_by_replaced_primary", context);
    return;
  }
  bool is_confirmed = is_replicated ? IsSteady(*work, context) ||
                                          IsKept(answer.position, context)
                                    : IsCommittedByLeader(*work, context);
  if (is_confirmed) {
    PassOnCommit(work, context);
  } else {
    AwaitReplica(work, context);
  }
}

void GroupOwner::OnBeginAnswer(Work* work, const UpstreamAnswer& answer,
                               ProxyContext* context) {
  PooledConnection* connection = pool_.Find(work->connection);
  if (connection == nullptr) return;
  if (answer.outcome == Outcome::kDone) {
    SendStatement(work, connection, context);
    return;
  }
  UpstreamId upstream = connection->upstream;
  connection->is_pinned = false;
  transactions_.erase(work->transaction());
  OnStatementOrBeginFailed(work, upstream, answer, context);
}

// Handles the failure of a single statement or of a BEGIN.
void GroupOwner::OnStatementOrBeginFailed(Work* work,
                                          const UpstreamId& upstream,
                                          const UpstreamAnswer& answer,
                                          ProxyContext* context) {
  if (RepeatFailedRead(work, upstream, answer, context)) return;
  bool may_retry = context->now() < work->deadline;
  Duration pause;
  switch (answer.outcome) {
    case Outcome::kBehind:
      if (upstream != primary_) {
        work->excluded_upstreams.insert(upstream);
        // All replicas may be behind for a moment; the primary is not.
        break;
      }
      // The primary lacks commits that the session has read, so it was
      // replaced.
      next_status_ = context->now();
      pause = kNotPrimaryRetryDelay;
      break;
    case Outcome::kReadOnly:
      next_status_ = context->now();
      pause = kNotPrimaryRetryDelay;
      break;
    case Outcome::kBusy:
      pause = BusyPause(work->refusals++, context);
      break;
    case Outcome::kNoStatement:
      pool_.Close(work->connection, context);
      work->connection_losses++;
      break;
    default:
      may_retry = false;
  }
  may_retry = may_retry && work->connection_losses < kMaxConnectionLosses;
  if (may_retry) {
    Requeue(work, pause, context);
    return;
  }
  bool may_have_run = answer.outcome == Outcome::kFailed ||
                      answer.outcome == Outcome::kTimeout ||
                      answer.outcome == Outcome::kUnknown;
  Outcome outcome = answer.outcome;
  // Reported as a refusal: the caller did not prepare a statement of that name.
  if (outcome == Outcome::kNoStatement) outcome = Outcome::kBusy;
  Fail(work, outcome, may_have_run ? "upstream_failed" : "upstream_refused",
       context);
}

bool GroupOwner::RepeatFailedRead(Work* work, const UpstreamId& upstream,
                                  const UpstreamAnswer& answer,
                                  ProxyContext* context) {
  bool only_reads =
      work->call.transaction == TransactionKind::kReadOnly ||
      (!work->in_transaction() && work->call.access == Access::kRead);
  bool may_repeat = answer.outcome == Outcome::kFailed && only_reads &&
                    context->now() < work->deadline &&
                    ++work->failed_runs < kMaxFailedRuns;
  if (!may_repeat) return false;
  work->excluded_upstreams.insert(upstream);
  Requeue(work, Duration(), context);
  return true;
}

void GroupOwner::OnInTransactionFailed(Work* work, const UpstreamAnswer& answer,
                                       ProxyContext* context) {
  TransactionKey key = work->transaction();
  if (work->call.opens_transaction) {
    // The caller has seen nothing of the transaction, so it may begin again.
    UpstreamId upstream = transactions_[key].upstream;
    transactions_[key].running = StatementNumber();
    if (RepeatFailedRead(work, upstream, answer, context)) {
      AbortTransaction(key, false, context);
      return;
    }
  }
  Outcome outcome = answer.outcome;
  bool has_no_result =
      outcome == Outcome::kTimeout || outcome == Outcome::kUnknown;
  bool is_commit = work->call.access == Access::kCommit;
  bool has_written = transactions_[key].has_written;
  // Outside the transaction, a write ran alone.
  bool may_be_kept = !IsReadOnly(*work, has_written) &&
                     (is_commit || answer.state == TransactionState::kNone);
  if (has_no_result && may_be_kept) {
    outcome = Outcome::kUnknown;
  } else if (outcome != Outcome::kFailed) {
    outcome = Outcome::kAborted;
  }
  if (answer.outcome == Outcome::kReadOnly) next_status_ = context->now();
  transactions_[key].running = StatementNumber();
  bool lacks_shape = answer.outcome == Outcome::kNoStatement;
  AbortTransaction(key, is_commit || lacks_shape, context);
  Fail(work, outcome, "failed_in_transaction", context);
}

void GroupOwner::AbortTransaction(const TransactionKey& key, bool close,
                                  ProxyContext* context) {
  auto found = transactions_.find(key);
  if (found == transactions_.end()) return;
  Transaction transaction = found->second;
  transactions_.erase(found);
  if (Work* running = FindWork(transaction.running)) {
    bool may_be_kept = running->stage == WorkStage::kRunning &&
                       !IsReadOnly(*running, transaction.has_written);
    Fail(running, may_be_kept ? Outcome::kUnknown : Outcome::kAborted,
         "transaction_ended", context);
  }
  PooledConnection* connection = pool_.Find(transaction.connection);
  if (connection == nullptr) return;
  if (close || !connection->sent.empty()) {
    pool_.Close(connection->id, context);
    return;
  }
  connection->is_pinned = false;
  connection->is_rolling_back = true;
  UpstreamCommand rollback;
  rollback.kind = CommandKind::kRollback;
  pool_.Send(connection, {rollback}, StatementNumber(), context);
}

void GroupOwner::OnConnectionLost(const PooledConnection& lost,
                                  ProxyContext* context) {
  std::map<StatementNumber, bool> was_sent;
  for (const SentCommand& command : lost.sent) {
    if (command.work == StatementNumber()) continue;
    was_sent[command.work] = was_sent[command.work] || command.is_statement();
  }
  for (const auto& item : was_sent) {
    Work* work = FindWork(item.first);
    if (work != nullptr) OnWorkConnectionLost(work, item.second, context);
  }
  if (!lost.is_pinned) return;
  for (auto it = transactions_.begin(); it != transactions_.end(); ++it) {
    if (it->second.connection != lost.id) continue;
    context->Log(
        LogLevel::kWarning, kPart, "idle_transaction_lost",
        {{"group", spec_.id.value()},
         {"upstream", lost.upstream.value()},
         {"session", std::to_string(it->first.session.session.value())}});
    transactions_.erase(it);
    return;
  }
}

void GroupOwner::OnWorkConnectionLost(Work* work, bool was_sent,
                                      ProxyContext* context) {
  if (work->in_transaction()) {
    bool has_written = false;
    auto found = transactions_.find(work->transaction());
    if (found != transactions_.end()) {
      has_written = found->second.has_written;
      transactions_.erase(found);
    }
    bool may_retry_begin = !was_sent && work->call.opens_transaction &&
                           ++work->connection_losses < kMaxConnectionLosses;
    if (may_retry_begin) {
      Requeue(work, Duration(), context);
      return;
    }
    // A write may have run alone, if the upstream had ended the transaction.
    bool is_outcome_unknown = was_sent && !IsReadOnly(*work, has_written);
    Fail(work, is_outcome_unknown ? Outcome::kUnknown : Outcome::kAborted,
         "connection_lost", context);
    return;
  }
  bool may_repeat = !was_sent || work->call.access == Access::kRead;
  if (!may_repeat) {
    Fail(work, Outcome::kUnknown, "connection_lost", context);
  } else if (++work->connection_losses < kMaxConnectionLosses &&
             context->now() < work->deadline) {
    Requeue(work, Duration(), context);
  } else {
    Fail(work, Outcome::kBusy, "connection_lost", context);
  }
}

void GroupOwner::Finish(Work* work, ProxyContext* context) {
  StatementNumber number = work->number;
  WorkOrigin origin = work->origin;
  StatementReply reply = std::move(work->reply);
  context->Emit(CountStatement{spec_.id, work->call.priority, reply.outcome, "",
                               context->now() - work->arrived.time});
  work_.erase(number);
  reply_handler_->OnStatementDone(origin, std::move(reply));
}

void GroupOwner::Fail(Work* work, Outcome outcome, const char* cause,
                      ProxyContext* context) {
  if (work->is_queued()) queue_.Remove(work);
  context->Log(
      LogLevel::kInfo, kPart, "not_served",
      {{"group", spec_.id.value()},
       {"id", work->call.id.value()},
       {"session", work->call.session.vm.value() + "/" +
                       std::to_string(work->call.session.session.value())},
       {"outcome", OutcomeName(outcome)},
       {"cause", cause},
       {"detail", work->reply.detail},
       {"priority", std::to_string(work->call.priority)},
       {"waited_ms",
        std::to_string((context->now() - work->arrived.time).millis())},
       {"attempts", std::to_string(work->attempts)},
       {"queued", std::to_string(queue_.size())},
       {"primary", primary_.value()},
       {"upstreams", FormatUpstreams(context)}});
  context->Emit(CountStatement{spec_.id, work->call.priority, outcome, cause,
                               context->now() - work->arrived.time});
  StatementNumber number = work->number;
  WorkOrigin origin = work->origin;
  StatementReply reply;
  reply.outcome = outcome;
  reply.detail = work->reply.detail.empty() ? cause : work->reply.detail;
  work_.erase(number);
  reply_handler_->OnStatementDone(origin, std::move(reply));
}

}  // namespace fireflycart::proxy
