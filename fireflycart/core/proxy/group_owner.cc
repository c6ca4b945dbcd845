// Each entry point changes what is known and then settles the group: the
// failover takes its next step, proofs are asked for that waiting work needs,
// and work is dispatched. Dispatch, answers and health are in files of their
// own.

#include "fireflycart/core/proxy/group_owner.h"

#include <utility>

namespace fireflycart::proxy {
namespace {

constexpr char kPart[] = "group";

}  // namespace

GroupOwner::GroupOwner(GroupSpec spec, StatementResults* results)
    : spec_(std::move(spec)),
      results_(results),
      pool_(spec_.id),
      failover_(spec_.id) {
  pool_.SetMaxConnections(spec_.max_connections);
}

void GroupOwner::SetSpec(const GroupSpec& spec) {
  spec_ = spec;
  pool_.SetMaxConnections(spec.max_connections);
}

void GroupOwner::SetUpstreams(const std::vector<UpstreamRecord>& records,
                              ProxyContext* context) {
  std::set<UpstreamId> restarted;
  for (const UpstreamRecord& record : records) {
    PooledUpstream* known = pool_.FindUpstream(record.id);
    if (known == nullptr) continue;
    bool is_other = known->record.started_ms != record.started_ms ||
                    known->record.address != record.address;
    if (is_other) restarted.insert(record.id);
  }
  pool_.SetRecords(records, context);
  // What was known of an earlier start does not hold for the next one.
  for (const UpstreamId& id : restarted) {
    for (ConnectionId connection : pool_.ConnectionsOf(id)) {
      OnLost(pool_.Close(connection, context), context);
    }
    PooledUpstream* upstream = pool_.FindUpstream(id);
    upstream->has_status = false;
    upstream->is_down = false;
    upstream->next_open = context->now();
  }
  Settle(context);
}

void GroupOwner::SetChosen(bool is_chosen, ProxyContext* context) {
  if (is_chosen == is_chosen_) return;
  is_chosen_ = is_chosen;
  chosen_since_ = context->now();
  holds_duty_ = false;
  context->Log(LogLevel::kInfo, kPart, is_chosen ? "owned" : "not_owned",
               {{"group", spec_.id.value()},
                {"transactions", std::to_string(transactions_.size())}});
  if (is_chosen) {
    Activate(context);
  } else {
    failover_.Yield(&pool_, context);
    pool_.CloseIdle(context);
  }
  Settle(context);
}

void GroupOwner::SetFleetConfirmed(bool is_confirmed, ProxyContext* context) {
  if (failover_.SetFleetConfirmed(is_confirmed)) Settle(context);
}

void GroupOwner::Submit(StatementCall call, const WorkOrigin& origin,
                        ProxyContext* context) {
  Activate(context);
  auto owned = std::make_unique<Work>();
  Work* work = owned.get();
  work->number = StatementNumber(context->NextNumber());
  work->origin = origin;
  work->call = std::move(call);
  work->arrived = context->instant();
  work->target = context->now() + work->call.target_left;
  work->timeout = context->now() + work->call.time_left;
  // A refusal is of use only while the caller can still try elsewhere: held
  // for more than half of the time it has, it would be lost.
  Duration half = Duration::Millis(work->call.time_left.millis() * 2 / 5);
  work->give_up = context->now() + std::max(work->call.target_left, half);
  if (work->timeout < work->give_up) work->give_up = work->timeout;
  work_[work->number] = std::move(owned);
  bool continues = work->in_transaction() && !work->call.opens_transaction;
  if (continues) {
    Continue(work, context);
  } else if (queue_.size() >= kMaxQueued) {
    Fail(work, Outcome::kBusy, "queue_full", context);
  } else {
    queue_.Add(work);
    context->WakeAtCoarse(work->give_up);
  }
  Settle(context);
}

void GroupOwner::Withdraw(const SessionKey& session, const StatementId& id,
                          ProxyContext* context) {
  Work* found = nullptr;
  for (Work* work : queue_.All()) {
    bool is_meant = !(work->call.session < session) &&
                    !(session < work->call.session) && work->call.id == id;
    if (is_meant) found = work;
  }
  if (found != nullptr) Fail(found, Outcome::kAborted, "caller_left", context);
}

void GroupOwner::EndTransaction(const TransactionKey& key,
                                ProxyContext* context) {
  auto found = transactions_.find(key);
  if (found == transactions_.end()) {
    WithdrawQueued(key, context);
    return;
  }
  bool is_running = found->second.running != StatementNumber();
  DropTransaction(key, is_running, context);
  Settle(context);
}

// The transaction's first statement may still wait.
void GroupOwner::WithdrawQueued(const TransactionKey& key,
                                ProxyContext* context) {
  for (Work* work : queue_.All()) {
    TransactionKey queued = work->transaction();
    bool is_meant =
        work->in_transaction() && !(queued < key) && !(key < queued);
    if (!is_meant) continue;
    Fail(work, Outcome::kAborted, "caller_left", context);
    return;
  }
}

void GroupOwner::OnOpened(const UpstreamOpened& event, ProxyContext* context) {
  pool_.OnOpened(event.connection, event.position, context);
  PooledConnection* connection = pool_.Find(event.connection);
  if (connection != nullptr && connection->is_control) {
    UpstreamCommand status;
    pool_.SendControl(connection->upstream, status, context);
  }
  Settle(context);
}

void GroupOwner::OnClosed(const UpstreamClosed& event, ProxyContext* context) {
  PooledConnection lost = pool_.OnClosed(event, context);
  if (lost.id == ConnectionId()) return;
  OnLost(lost, context);
  PooledUpstream* upstream = pool_.FindUpstream(lost.upstream);
  bool gives_up = upstream->failed_opens >= UpstreamPool::kFailuresUntilDown;
  if (gives_up && !upstream->is_down) {
    MarkDown(lost.upstream, event.reason.c_str(), context);
  }
  Settle(context);
}

void GroupOwner::OnAnswered(const UpstreamAnswered& event,
                            ProxyContext* context) {
  PooledConnection* connection = pool_.Find(event.connection);
  if (connection == nullptr) return;
  UpstreamId upstream = connection->upstream;
  bool is_control = connection->is_control;
  SentCommand command =
      pool_.OnAnswered(event.connection, event.answer, context);
  if (upstream == primary_) {
    evidence_.OnPrimaryPosition(command.at, event.answer.position);
  }
  if (is_control) {
    OnControlAnswer(upstream, command, event.answer);
  } else if (command.kind == CommandKind::kRollback) {
    connection->is_ending = false;
  } else if (Work* work = FindWork(command.work)) {
    OnStatementAnswer(work, command, event.answer, context);
  }
  Settle(context);
}

bool GroupOwner::OnStore(const StoreAnswered& answer, ProxyContext* context) {
  if (!failover_.OnStore(answer, context)) return false;
  Settle(context);
  return true;
}

bool GroupOwner::OnPromotion(const PromotionAnswered& answer,
                             ProxyContext* context) {
  if (!failover_.OnPromotion(answer, context)) return false;
  Settle(context);
  return true;
}

void GroupOwner::OnWake(ProxyContext* context) {
  if (!is_active_) return;
  CheckTimeouts(context);
  EndIdleTransactions(context);
  CheckSilence(context);
  AskStatus(context);
  Tidy(context);
  failover_.OnWake(context);
  Settle(context);
}

void GroupOwner::Settle(ProxyContext* context) {
  if (!is_active_) return;
  pool_.OpenControls(context);
  UpdatePrimary(context);
  CheckFailover(context);
  failover_.Step(&pool_, context);
  KeepProven(context);
  Dispatch(context);
  Deactivate(context);
}

Work* GroupOwner::FindWork(StatementNumber number) {
  auto found = work_.find(number);
  return found == work_.end() ? nullptr : found->second.get();
}

}  // namespace fireflycart::proxy
