// Each entry point updates the state and then re-evaluates the group: the
// failover takes its next step, the owner requests the leadership confirmations
// that queued work needs, and it dispatches work. Dispatch, the handling of
// answers, the confirmation of commits and the health checks are in
// group_dispatch.cc, group_answers.cc, group_commits.cc and group_health.cc;
// the record of which replicas count is kept in group_commit_set.cc.

#include "fireflycart/core/proxy/group_owner.h"

#include <utility>
#include <vector>

#include "fireflycart/core/proxy/group_reader.h"

namespace fireflycart::proxy {
namespace {

constexpr char kPart[] = "group";
// Most statements take less than this multiple of the average service time.
constexpr int64_t kServiceTimeMargin = 2;

}  // namespace

GroupOwner::GroupOwner(GroupSpec spec, StatementReplyHandler* reply_handler)
    : spec_(std::move(spec)),
      reply_handler_(reply_handler),
      pool_(spec_.id),
      failover_(spec_.id),
      sole_leadership_(spec_.id) {
  pool_.SetMaxConnections(spec_.max_connections);
}

void GroupOwner::SetSpec(const GroupSpec& spec) {
  spec_ = spec;
  pool_.SetMaxConnections(spec.max_connections);
}

void GroupOwner::SetReaderDataCentres(
    const std::set<DataCentreId>& data_centres) {
  if (data_centres == reader_data_centres_) return;
  reader_data_centres_ = data_centres;
  ShareConnections();
}

void GroupOwner::ShareConnections() {
  for (auto& item : pool_.upstreams()) {
    const UpstreamRecord& record = item.second.record;
    bool has_reader = record.data_centre != data_centre_ &&
                      reader_data_centres_.count(record.data_centre) != 0 &&
                      GroupReader::IsUsable(record, record.data_centre);
    item.second.connection_share = has_reader ? GroupReader::kOwnerShare : 100;
  }
}

EvidenceReply GroupOwner::Evidence(TimePoint now) const {
  EvidenceReply reply;
  TimePoint time;
  reply.position = leadership_.NewestPosition(&time);
  reply.is_known = reply.position.known();
  if (reply.is_known) reply.age = now - time;
  reply.read_wait = read_wait_;
  reply.read_service = read_times_.Expected(ServiceKind(), now);
  return reply;
}

void GroupOwner::SetUpstreams(const std::vector<UpstreamRecord>& records,
                              ProxyContext* context) {
  std::set<UpstreamId> restarted;
  for (const UpstreamRecord& record : records) {
    PooledUpstream* current = pool_.FindUpstream(record.id);
    if (current == nullptr) continue;
    bool is_restarted = current->record.started_ms != record.started_ms ||
                        current->record.address != record.address;
    if (is_restarted) restarted.insert(record.id);
  }
  pool_.SetRecords(records, context);
  ShareConnections();
  // State observed before the restart does not apply to the new process.
  for (const UpstreamId& id : restarted) {
    for (ConnectionId connection : pool_.ConnectionsOf(id)) {
      OnConnectionLost(pool_.Close(connection, context), context);
    }
    PooledUpstream* upstream = pool_.FindUpstream(id);
    upstream->has_status = false;
    upstream->is_down = false;
    upstream->resume_may_arrive_until = TimePoint();
    upstream->next_open = context->now();
  }
  Reevaluate(context);
}

void GroupOwner::SetAssigned(bool is_assigned, ProxyContext* context) {
  if (is_assigned == is_assigned_) return;
  is_assigned_ = is_assigned;
  assigned_since_ = context->now();
  has_requested_lease_ = false;
  context->Log(LogLevel::kInfo, kPart, is_assigned ? "owned" : "not_owned",
               {{"group", spec_.id.value()},
                {"transactions", std::to_string(transactions_.size())}});
  if (is_assigned) {
    Activate(context);
    if (spec_.sync_replicas > 0) failover_.LearnCommitSet(context);
  } else {
    failover_.OnOwnershipLost(&pool_, context);
    failover_.KeepLease(false, 0, context);
    lacks_replicas_at_ = TimePoint();
    pool_.CloseIdle(context);
  }
  Reevaluate(context);
}

void GroupOwner::SetFleetReachable(bool is_confirmed, ProxyContext* context) {
  pool_.SetFleetReachable(is_confirmed, context->now());
  if (failover_.SetFleetReachable(is_confirmed)) Reevaluate(context);
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
  if (work->call.tenant != TenantId()) pool_.SetCarriesTenants();
  work->expected_service =
      service_times_.Expected(ServiceKindOf(work->call), context->now());
  work->target_deadline = context->now() + work->call.target_left;
  work->latest_start =
      work->target_deadline - work->expected_service * kServiceTimeMargin;
  work->deadline = context->now() + work->call.time_left;
  arrivals_[static_cast<size_t>(LaneFor(work->call))].OnArrival(
      work->expected_service, context->now());
  work_[work->number] = std::move(owned);
  bool continues = work->in_transaction() && !work->call.opens_transaction;
  if (continues) {
    Continue(work, context);
  } else if (queue_.size() >= kMaxQueuedStatements) {
    Fail(work, Outcome::kBusy, "queue_full", context);
  } else {
    demand_[static_cast<size_t>(LaneFor(work->call))].OnArrival(
        work->call.tenant, work->expected_service, context->now());
    queue_.Add(work);
    context->WakeAtCoarse(work->deadline);
  }
  Reevaluate(context);
}

void GroupOwner::CancelQueued(const SessionKey& session, const StatementId& id,
                              ProxyContext* context) {
  Work* found = nullptr;
  for (Work* work : queue_.All()) {
    bool matches = !(work->call.session < session) &&
                   !(session < work->call.session) && work->call.id == id;
    if (matches) found = work;
  }
  if (found != nullptr) Fail(found, Outcome::kAborted, "caller_left", context);
}

void GroupOwner::EndTransaction(const TransactionKey& key,
                                ProxyContext* context) {
  auto found = transactions_.find(key);
  if (found == transactions_.end()) {
    CancelQueuedTransaction(key, context);
    return;
  }
  bool is_running = found->second.running != StatementNumber();
  AbortTransaction(key, is_running, context);
  Reevaluate(context);
}

// Cancels the first statement of the transaction if it is still queued.
void GroupOwner::CancelQueuedTransaction(const TransactionKey& key,
                                         ProxyContext* context) {
  for (Work* work : queue_.All()) {
    TransactionKey queued = work->transaction();
    bool matches = work->in_transaction() && !(queued < key) && !(key < queued);
    if (!matches) continue;
    Fail(work, Outcome::kAborted, "caller_left", context);
    return;
  }
}

void GroupOwner::EndForStop(ProxyContext* context) {
  ReturnQueued(context);
  std::vector<TransactionKey> idle;
  for (const auto& item : transactions_) {
    bool is_idle = item.second.running == StatementNumber();
    if (is_idle) idle.push_back(item.first);
  }
  for (const TransactionKey& key : idle) AbortTransaction(key, false, context);
}

void GroupOwner::ReturnQueued(ProxyContext* context) {
  std::vector<StatementNumber> queued;
  for (const Work* work : queue_.All()) queued.push_back(work->number);
  if (queued.empty()) return;
  context->Log(
      LogLevel::kInfo, kPart, "queue_returned",
      {{"group", spec_.id.value()}, {"queued", std::to_string(queued.size())}});
  for (StatementNumber number : queued) {
    Work* work = FindWork(number);
    if (work == nullptr) continue;
    if (work->origin.is_local) {
      Fail(work, Outcome::kBusy, "vm_stopping", context);
      continue;
    }
    queue_.Remove(work);
    WorkOrigin origin = work->origin;
    work_.erase(number);
    StatementReply reply;
    reply.is_misdirected = true;
    reply_handler_->OnStatementDone(origin, std::move(reply));
  }
}

void GroupOwner::OnOpened(const UpstreamOpened& event, ProxyContext* context) {
  pool_.OnOpened(event.connection, event.position, context);
  PooledConnection* connection = pool_.Find(event.connection);
  if (connection != nullptr && connection->is_control) {
    UpstreamCommand status;
    pool_.SendControl(connection->upstream, status, context);
  }
  Reevaluate(context);
}

void GroupOwner::OnClosed(const UpstreamClosed& event, ProxyContext* context) {
  PooledConnection lost = pool_.OnClosed(event, context);
  if (lost.id == ConnectionId()) return;
  OnConnectionLost(lost, context);
  PooledUpstream* upstream = pool_.FindUpstream(lost.upstream);
  bool has_failed = upstream->failed_opens >= UpstreamPool::kFailuresUntilDown;
  if (has_failed && !upstream->is_down) {
    MarkDown(lost.upstream, event.reason.c_str(), context);
  }
  Reevaluate(context);
}

void GroupOwner::OnAnswered(const UpstreamAnswered& event,
                            ProxyContext* context) {
  PooledConnection* connection = pool_.Find(event.connection);
  if (connection == nullptr) return;
  const UpstreamId upstream = connection->upstream;
  bool is_control = connection->is_control;
  SentCommand command =
      pool_.OnAnswered(event.connection, event.answer, context);
  if (upstream == primary_ && HasAppliedLog(event.answer.position)) {
    leadership_.OnPrimaryPosition(command.at, event.answer.position);
  }
  if (is_control) {
    OnControlAnswer(upstream, command, event.answer, context);
    PassOnKeptCommits(context);
  } else {
    LogOddAnswer(upstream, command, event.answer, context);
    if (!command.IsStateExpected(event.answer)) {
      OnUnexpectedState(event.connection, command, event.answer, context);
    } else if (command.kind == CommandKind::kRollback) {
      connection->is_rolling_back = false;
      // It may still have the transaction.
      if (event.answer.outcome != Outcome::kDone) {
        CloseAfter(event.connection, command, context);
      }
    } else if (command.is_set_up()) {
      OnSetUpAnswer(event.connection, command, event.answer, context);
    } else if (Work* work = FindWork(command.work)) {
      OnStatementAnswer(work, command, event.answer, context);
    } else if (event.answer.outcome == Outcome::kNoStatement) {
      // The statement has ended; the connection lacks names of others, too.
      CloseAfter(event.connection, command, context);
    }
  }
  Reevaluate(context);
}

// False for a promoted primary that has not applied yet what it received: its
// position does not cover the acknowledged commits then.
bool GroupOwner::HasAppliedLog(LogPosition position) const {
  auto found = pool_.upstreams().find(primary_);
  if (found == pool_.upstreams().end()) return false;
  return !(position < failover_.acknowledged()) ||
         !(position < found->second.status.received);
}

bool GroupOwner::OnStore(const StoreAnswered& answer, ProxyContext* context) {
  bool is_own = failover_.OnStore(answer, context) ||
                sole_leadership_.OnStore(answer, context);
  if (!is_own) return false;
  Reevaluate(context);
  return true;
}

bool GroupOwner::OnPromotion(const PromotionAnswered& answer,
                             ProxyContext* context) {
  if (!failover_.OnPromotion(answer, context)) return false;
  Reevaluate(context);
  return true;
}

void GroupOwner::OnWake(ProxyContext* context) {
  if (!is_active_) return;
  CheckTimeouts(context);
  EndIdleTransactions(context);
  CheckUnanswered(context);
  RequestStatus(context);
  ReconcileUpstreams(context);
  RequestCommitEvidence(context);
  failover_.OnWake(context);
  Reevaluate(context);
}

void GroupOwner::Reevaluate(ProxyContext* context) {
  if (!is_active_) return;
  pool_.OpenControls(context);
  UpdatePrimary(context);
  CheckFailover(context);
  failover_.Step(&pool_, context);
  CheckLagReliefEnded(context);
  KeepCommitSet(context);
  ReportAwaitedUpstream(context);
  ProveSoleLeadership(context);
  KeepLeadershipConfirmed(context);
  Dispatch(context);
  RefuseWithoutReplica(context);
  ReviewQueue(context);
  Deactivate(context);
}

Work* GroupOwner::FindWork(StatementNumber number) {
  auto found = work_.find(number);
  return found == work_.end() ? nullptr : found->second.get();
}

}  // namespace fireflycart::proxy
