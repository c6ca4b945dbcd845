// Each read is sent with the position that it requires, and the replica itself
// refuses it if it lacks that position. So what the replica is, how far it is
// behind and who leads the group need not be known: any upstream that has the
// position has every commit that the read must contain. Evidence that is too
// old qualifies for no read, so a reader that is cut off from the owner serves
// nothing after the reads' maximum age.
//
// A read may run here and at the owner, after a fault. It changes nothing, and
// only one of the answers is passed on.

#include "fireflycart/core/proxy/group_reader.h"

#include <algorithm>
#include <map>
#include <utility>

namespace fireflycart::proxy {
namespace {

constexpr char kPart[] = "reader";
// Part of a read's max_age reserved, as at the owner.
constexpr Duration kTransitMargin = Duration::Millis(50);
// A queued read is returned after this time; most start sooner, or leave.
constexpr Duration kQueueLimit = Duration::Millis(100);
// A read that runs this multiple of its expected time is repeated elsewhere.
constexpr int64_t kRunTimeMargin = 6;
constexpr Duration kMinRunLimit = Duration::Millis(150);
constexpr Duration kMaxRunLimit = Duration::Millis(1000);
// Time without reads after a fault of an upstream, doubled with each one.
constexpr Duration kAvoidance = Duration::Millis(500);
constexpr int kMaxAvoidanceDoublings = 3;
// A connection whose read was given up is closed after this time without an
// answer.
constexpr Duration kGivenUpLimit = Duration::Seconds(2);
constexpr Duration kEvidenceIdleTimeout = Duration::Seconds(1);
// All reads together, for comparison with the owner's.
constexpr ServiceKind kAllReads;

GroupSpec WithReaderShare(GroupSpec spec) {
  spec.max_connections = spec.max_connections * GroupReader::kReaderShare / 100;
  return spec;
}

}  // namespace

GroupReader::GroupReader(GroupSpec spec, DataCentreId data_centre,
                         const DataCentreBalanceOptions& options,
                         ReadHandler* handler)
    : spec_(WithReaderShare(std::move(spec))),
      data_centre_(std::move(data_centre)),
      handler_(handler),
      pool_(spec_.id),
      balance_(options) {
  pool_.SetMaxConnections(spec_.max_connections);
}

void GroupReader::SetSpec(const GroupSpec& spec) {
  spec_ = WithReaderShare(spec);
  pool_.SetMaxConnections(spec_.max_connections);
}

bool GroupReader::IsServable(const StatementCall& call) {
  return call.transaction == TransactionKind::kNone &&
         call.access == Access::kRead &&
         call.consistency != ReadConsistency::kStrong &&
         call.max_age >= kMinMaxAge;
}

bool GroupReader::IsUsable(const UpstreamRecord& record,
                           const DataCentreId& data_centre) {
  return record.data_centre == data_centre && !record.leaving &&
         !record.is_primary;
}

void GroupReader::SetUpstreams(const std::vector<UpstreamRecord>& records,
                               ProxyContext* context) {
  std::vector<UpstreamRecord> usable;
  std::vector<UpstreamId> restarted;
  for (const UpstreamRecord& record : records) {
    if (!IsUsable(record, data_centre_)) continue;
    usable.push_back(record);
    const PooledUpstream* known = pool_.FindUpstream(record.id);
    bool has_restarted =
        known != nullptr && (known->record.started_ms != record.started_ms ||
                             known->record.address != record.address);
    if (has_restarted) restarted.push_back(record.id);
  }
  pool_.SetRecords(usable, context);
  for (const UpstreamId& id : restarted) {
    for (ConnectionId connection : pool_.ConnectionsOf(id)) {
      OnConnectionLost(pool_.Close(connection, context), context);
    }
    avoidances_.erase(id);
  }
  CloseUnused(context);
  Dispatch(context);
}

// Closes the connections to upstreams that leave, lead or have ended, once
// their reads have been answered.
void GroupReader::CloseUnused(ProxyContext* context) {
  std::vector<UpstreamId> gone;
  for (const auto& item : pool_.upstreams()) {
    if (!item.second.is_registered) gone.push_back(item.first);
  }
  for (const UpstreamId& id : gone) {
    for (ConnectionId connection : pool_.ConnectionsOf(id)) {
      bool is_unused = pool_.Find(connection)->sent.empty();
      if (is_unused) pool_.Close(connection, context);
    }
    if (!pool_.ConnectionsOf(id).empty()) continue;
    avoidances_.erase(id);
    pool_.Forget(id);
  }
}

bool GroupReader::MayServe(const StatementCall& call, ProxyContext* context) {
  if (context->now() - last_used_ >= kIdleTimeout) used_since_ = context->now();
  last_used_ = context->now();
  pool_.SetSoleOwner(last_used_ - used_since_ >= kSoleReaderTime);
  context->WakeAtCoarse(last_used_ + kIdleTimeout);
  RequestEvidenceIfDue(context);
  return IsFresh(call, context->now()) && MayStay(call, context);
}

bool GroupReader::IsFresh(const StatementCall& call, TimePoint now) const {
  return IsServable(call) && MinPositionFor(call, now).known() &&
         pool_.IsListCurrent(now);
}

void GroupReader::Submit(StatementCall call, const WorkOrigin& origin,
                         ProxyContext* context) {
  auto owned = std::make_unique<Work>();
  Work* work = owned.get();
  work->number = StatementNumber(context->NextNumber());
  work->origin = origin;
  work->call = std::move(call);
  work->arrived = context->instant();
  work->expected_service =
      service_times_.Expected(ServiceKindOf(work->call), context->now());
  work->target_deadline = context->now() + work->call.target_left;
  work->latest_start = work->target_deadline - work->expected_service;
  work->deadline = context->now() + work->call.time_left;
  work_[work->number] = std::move(owned);
  // The evidence may have aged while the read waited for its tenant's limit.
  if (!IsFresh(work->call, context->now())) {
    work->stage = WorkStage::kConfirming;  // Not queued.
    Return(work, "no_evidence", context);
    return;
  }
  if (work->call.tenant != TenantId()) pool_.SetCarriesTenants();
  demand_.OnArrival(work->call.tenant, work->expected_service, context->now());
  queue_.Add(work);
  context->WakeAt(work->arrived.time + kQueueLimit);
  Dispatch(context);
}

// As at the owner. The read's first byte came before it arrived here, so the
// limit counted from its arrival is the stricter one.
LogPosition GroupReader::MinPositionFor(const StatementCall& call,
                                        TimePoint arrived) const {
  TimePoint oldest = arrived - call.max_age + kTransitMargin;
  LogPosition min_position = evidence_.MinPositionFor(oldest);
  if (!min_position.known()) return min_position;
  bool needs_own_writes = call.consistency == ReadConsistency::kOwnWrites;
  if (needs_own_writes && min_position < call.own_position) {
    return call.own_position;
  }
  return min_position;
}

bool GroupReader::IsAvailable(const PooledUpstream& upstream,
                              TimePoint now) const {
  auto avoidance = avoidances_.find(upstream.record.id);
  bool is_avoided =
      avoidance != avoidances_.end() && now < avoidance->second.until;
  return upstream.is_registered && !is_avoided && now >= upstream.next_open &&
         IsUsable(upstream.record, data_centre_);
}

bool GroupReader::ExpectWait(TimePoint now, Duration* wait) const {
  int64_t slots = 0;
  int64_t running = 0;
  for (const auto& item : pool_.upstreams()) {
    if (!IsAvailable(item.second, now)) continue;
    slots += item.second.record.slots;
    running += item.second.running;
  }
  if (slots <= 0) return false;
  auto queued = static_cast<int64_t>(queue_.size());
  int64_t ahead = std::max(running + queued - slots + 1, int64_t{0});
  Duration service = service_times_.Expected(kAllReads, now);
  *wait = Duration::Millis(ahead * service.millis() / slots);
  return true;
}

bool GroupReader::MayStay(const StatementCall& call, ProxyContext* context) {
  Duration wait;
  if (queue_.size() >= kMaxQueuedReads) return false;
  if (!ExpectWait(context->now(), &wait)) return false;
  Duration service = service_times_.Expected(kAllReads, context->now());
  return !balance_.ShouldLeave(wait, service, call.target_left, context->now());
}

Duration GroupReader::RunLimit(const Work& work) const {
  Duration limit = work.expected_service * kRunTimeMargin;
  limit = std::min(limit, Duration::Millis(work.call.target_left.millis() / 2));
  limit = std::min(std::max(limit, kMinRunLimit), kMaxRunLimit);
  // Returned before the call of the VM of its session ends.
  return std::min(limit, work.call.time_left);
}

void GroupReader::RequestEvidenceIfDue(ProxyContext* context) {
  bool is_used = context->now() - last_used_ < kEvidenceIdleTimeout;
  if (!is_used) return;
  if (context->now() >= next_evidence_) {
    next_evidence_ = context->now() + kEvidencePeriod;
    handler_->RequestEvidence(spec_.id);
  }
  context->WakeAt(next_evidence_);
}

void GroupReader::OnEvidence(TimePoint sent, const EvidenceReply& reply,
                             ProxyContext* context) {
  if (!reply.is_known) return;
  evidence_.Add(sent, reply.age, reply.position);
  balance_.OnNews(reply.read_wait, reply.read_service, context->now() - sent,
                  context->now());
}

void GroupReader::Dispatch(ProxyContext* context) {
  PooledConnection* connection = nullptr;
  while (Work* work = queue_.First(
             Lane::kAny, context->now(), [&](const Work& candidate) {
               connection = ConnectionFor(candidate, context);
               return connection != nullptr;
             })) {
    Start(work, connection, context);
  }
  PlanConnections(context);
}

// With tenants, a read waits for a connection of its own tenant; the owner
// decides alike for what is queued there.
void GroupReader::PlanConnections(ProxyContext* context) {
  if (!pool_.carries_tenants() || queue_.size() == 0) return;
  std::map<UpstreamId, ConnectionSnapshot> snapshots;
  for (const auto& item : pool_.upstreams()) {
    if (!IsAvailable(item.second, context->now())) continue;
    snapshots[item.first] = pool_.SnapshotOf(item.second, context->now());
  }
  for (Work* work : queue_.All()) {
    const TenantId& tenant = work->call.tenant;
    ConnectionSnapshot* target = nullptr;
    bool is_target_idle = false;
    for (auto& item : snapshots) {
      bool is_idle = pool_.HasIdle(item.first, tenant);
      bool is_better =
          target == nullptr || (is_idle && !is_target_idle) ||
          (is_idle == is_target_idle && item.second.running < target->running);
      if (!is_better) continue;
      target = &item.second;
      is_target_idle = is_idle;
    }
    if (target == nullptr) return;
    if (is_target_idle) {
      target->startable.insert(tenant);
    } else {
      target->waiting.push_back(WaitingWork{
          tenant, work->expected_service, work->latest_start - context->now()});
    }
  }
  for (const auto& item : snapshots) {
    if (item.second.waiting.empty()) continue;
    for (const ConnectionStep& step :
         connection_plan_.Steps(item.second, demand_)) {
      pool_.Perform(item.first, step, context);
    }
  }
}

PooledConnection* GroupReader::ConnectionFor(const Work& work,
                                             ProxyContext* context) {
  PooledUpstream* best = nullptr;
  for (auto& item : pool_.upstreams()) {
    PooledUpstream& upstream = item.second;
    bool has_room =
        IsAvailable(upstream, context->now()) && pool_.HasSlot(upstream);
    if (!has_room) continue;
    bool has_connection =
        !pool_.carries_tenants() || pool_.HasIdle(item.first, work.call.tenant);
    if (!has_connection) continue;
    bool is_better =
        best == nullptr || upstream.running * best->record.slots <
                               best->running * upstream.record.slots;
    if (is_better) best = &upstream;
  }
  if (best == nullptr) return nullptr;
  return pool_.Take(best->record.id, work.call.tenant, work.call.values,
                    context);
}

void GroupReader::Start(Work* work, PooledConnection* connection,
                        ProxyContext* context) {
  queue_.Remove(work);
  queue_.OnStarted(*work);
  work->connection = connection->id;
  work->sent = context->instant();
  work->after = MinPositionFor(work->call, work->arrived.time);
  context->WakeAt(work->sent.time + RunLimit(*work));
  std::vector<UpstreamCommand> commands =
      UpstreamPool::SetUpCommands(connection, work->call);
  if (commands.empty()) {
    SendRead(work, connection, context);
    return;
  }
  work->stage = WorkStage::kSettingUp;
  pool_.SendSetUp(connection, std::move(commands), work->number, context);
}

void GroupReader::SendRead(Work* work, PooledConnection* connection,
                           ProxyContext* context) {
  work->stage = WorkStage::kRunning;
  UpstreamCommand command;
  command.kind =
      work->call.is_prepared ? CommandKind::kExecute : CommandKind::kVerbatim;
  command.id = work->call.id;
  command.after = work->after;
  command.text = work->call.text;
  command.arguments = work->call.text;
  command.prepared = work->call.prepared;
  pool_.Send(connection, {command}, work->number, context);
}

void GroupReader::OnOpened(const UpstreamOpened& event, ProxyContext* context) {
  pool_.OnOpened(event.connection, event.position, context);
  Dispatch(context);
}

void GroupReader::OnClosed(const UpstreamClosed& event, ProxyContext* context) {
  given_up_.erase(event.connection);
  PooledConnection lost = pool_.OnClosed(event, context);
  if (lost.id == ConnectionId()) return;
  bool is_full = !lost.is_open && event.outcome == Outcome::kTooManyConnections;
  if (!is_full) OnFault(lost.upstream, "connection_lost", context);
  OnConnectionLost(lost, context);
  Dispatch(context);
}

void GroupReader::OnConnectionLost(const PooledConnection& lost,
                                   ProxyContext* context) {
  for (const SentCommand& command : lost.sent) {
    Work* work = FindWork(command.work);
    if (work != nullptr) Return(work, "connection_lost", context);
  }
}

void GroupReader::OnAnswered(const UpstreamAnswered& event,
                             ProxyContext* context) {
  PooledConnection* connection = pool_.Find(event.connection);
  if (connection == nullptr) return;
  UpstreamId upstream = connection->upstream;
  const UpstreamAnswer& answer = event.answer;
  SentCommand command = pool_.OnAnswered(event.connection, answer, context);
  if (connection->sent.empty()) given_up_.erase(event.connection);
  bool is_statement = command.is_statement();
  bool is_done = answer.outcome == Outcome::kDone;
  Work* work = FindWork(command.work);
  bool is_state_expected = command.IsStateExpected(answer);
  if (!is_state_expected || (!is_statement && !is_done)) {
    // The connection is in a transaction, or lacks the session state that its
    // statements need.
    if (work != nullptr) {
      Return(work, is_state_expected ? "set_up_failed" : "unexpected_state",
             context);
    }
    OnConnectionLost(pool_.Close(event.connection, context), context);
  } else if (!is_statement) {
    bool is_set_up = work != nullptr && connection->sent.empty();
    if (is_set_up) SendRead(work, connection, context);
  } else if (work != nullptr && is_done) {
    Duration took = context->now() - work->sent.time;
    service_times_.OnServed(ServiceKindOf(work->call), took, context->now());
    service_times_.OnServed(kAllReads, took, context->now());
    avoidances_.erase(upstream);
    work->reply.outcome = answer.outcome;
    work->reply.rows = answer.rows;
    work->reply.signature = answer.signature;
    work->reply.detail = answer.detail;
    work->reply.position = answer.position;
    Finish(work, context);
  } else if (work != nullptr) {
    // One that is full or behind for a moment is not at fault.
    bool is_fault =
        answer.outcome != Outcome::kBusy && answer.outcome != Outcome::kBehind;
    if (is_fault) OnFault(upstream, OutcomeName(answer.outcome), context);
    Return(work, OutcomeName(answer.outcome), context);
  }
  // Also if the read was given up: the connection lacks names of others, too.
  bool lacks_shape = is_statement && answer.outcome == Outcome::kNoStatement;
  if (lacks_shape && pool_.Find(event.connection) != nullptr) {
    OnConnectionLost(pool_.Close(event.connection, context), context);
  }
  CloseUnused(context);
  Dispatch(context);
}

void GroupReader::OnFault(const UpstreamId& upstream, const char* cause,
                          ProxyContext* context) {
  Avoidance& avoidance = avoidances_[upstream];
  // Reads that ran at the same time show one fault.
  if (context->now() < avoidance.until) return;
  Duration pause =
      kAvoidance *
      (int64_t{1} << std::min(avoidance.faults++, kMaxAvoidanceDoublings));
  avoidance.until = context->now() + pause;
  context->Log(LogLevel::kInfo, kPart, "upstream_avoided",
               {{"group", spec_.id.value()},
                {"upstream", upstream.value()},
                {"cause", cause},
                {"for_ms", std::to_string(pause.millis())}});
}

bool GroupReader::CancelQueued(const SessionKey& session, const StatementId& id,
                               ProxyContext* context) {
  (void)context;
  for (Work* work : queue_.All()) {
    bool matches = !(work->call.session < session) &&
                   !(session < work->call.session) && work->call.id == id;
    if (!matches) continue;
    queue_.Remove(work);
    work->reply.outcome = Outcome::kAborted;
    work->reply.detail = "caller_left";
    Finish(work, context);
    return true;
  }
  return false;
}

void GroupReader::ReturnQueued(ProxyContext* context) {
  for (Work* work : queue_.All()) Return(work, "vm_stopping", context);
}

void GroupReader::OnWake(ProxyContext* context) {
  CheckTimes(context);
  RequestEvidenceIfDue(context);
  Dispatch(context);
  bool is_idle = context->now() - last_used_ >= kIdleTimeout && work_.empty();
  if (!is_idle || pool_.connection_count() == 0) return;
  given_up_.clear();
  pool_.CloseAll(context);
}

void GroupReader::CheckTimes(ProxyContext* context) {
  std::vector<StatementNumber> overdue;
  for (const auto& item : work_) {
    const Work& work = *item.second;
    Duration waited = context->now() - work.arrived.time;
    Duration ran = context->now() - work.sent.time;
    bool is_overdue =
        work.is_queued() ? waited >= kQueueLimit : ran >= RunLimit(work);
    if (is_overdue) overdue.push_back(item.first);
  }
  for (StatementNumber number : overdue) {
    Work* work = FindWork(number);
    // It may have ended with the connection of another one.
    if (work == nullptr) continue;
    if (work->is_queued()) {
      Return(work, "queue_limit", context);
      continue;
    }
    // The upstream may yet answer, and breaking off its work gains nothing.
    ConnectionId connection = work->connection;
    given_up_[connection] = context->now() + kGivenUpLimit;
    context->WakeAtCoarse(given_up_[connection]);
    OnFault(pool_.Find(connection)->upstream, "silent", context);
    Return(work, "run_limit", context);
  }
  std::vector<ConnectionId> silent;
  for (const auto& item : given_up_) {
    if (context->now() >= item.second) silent.push_back(item.first);
  }
  for (ConnectionId connection : silent) {
    given_up_.erase(connection);
    OnConnectionLost(pool_.Close(connection, context), context);
  }
}

void GroupReader::Return(Work* work, const char* cause, ProxyContext* context) {
  if (work->is_queued()) queue_.Remove(work);
  Duration spent = context->now() - work->arrived.time;
  context->Log(LogLevel::kDebug, kPart, "returned",
               {{"group", spec_.id.value()},
                {"id", work->call.id.value()},
                {"cause", cause},
                {"spent_ms", std::to_string(spent.millis())}});
  WorkOrigin origin = work->origin;
  StatementCall call = std::move(work->call);
  work_.erase(work->number);
  call.at_reader = false;
  call.target_left = call.target_left - spent;
  call.time_left = call.time_left - spent;
  handler_->OnReadReturned(origin, std::move(call));
}

void GroupReader::Finish(Work* work, ProxyContext* context) {
  WorkOrigin origin = work->origin;
  StatementReply reply = std::move(work->reply);
  context->Emit(CountStatement{spec_.id, work->call.priority, reply.outcome, "",
                               context->now() - work->arrived.time});
  work_.erase(work->number);
  handler_->OnReadDone(origin, std::move(reply));
}

Work* GroupReader::FindWork(StatementNumber number) {
  auto found = work_.find(number);
  return found == work_.end() ? nullptr : found->second.get();
}

}  // namespace fireflycart::proxy
