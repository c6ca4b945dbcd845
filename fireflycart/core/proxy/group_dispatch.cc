// Work that needs the primary is dispatched first. A read that may run on a
// replica goes to a replica that is known to have the log position that the
// read requires: to one in this VM's data centre while it has a free slot, and
// otherwise to the least loaded one. It goes to the primary only if that has a
// free slot that no other work is queued for, and if no replica can take it or
// the primary alone is in this data centre and half idle. So work leaves the
// data centre slot by slot as the nearby upstreams fill up; nothing is
// remembered that could swing.
//
// A read that must contain all commits up to a given time requires the replica
// to have a position that the primary had at such a time. LeadershipTracker
// decides which positions qualify.
//
// At the primary a read of the newest state runs only if the primary was
// confirmed to lead after the read arrived, or if no promotion had been
// requested shortly before it arrived: one that was requested later takes
// effect only after the read's arrival. So no other upstream had acknowledged
// anything when the read arrived.

#include <algorithm>
#include <tuple>
#include <utility>

#include "fireflycart/core/error.h"
#include "fireflycart/core/proxy/group_owner.h"

namespace fireflycart::proxy {
namespace {

// A replica's position older than this does not indicate its current one.
constexpr Duration kAppliedPositionMaxAge = Duration::Millis(20);
// A write does not need a confirmation to be correct. Without a recent one its
// commit would probably wait for a replica that does not acknowledge it.
constexpr Duration kMaxWriteConfirmationAge = Duration::Millis(600);
// Delay before the next search for a replica if none could serve a read.
constexpr Duration kReplicaRecheckDelay = Duration::Millis(10);
// Part of a read's max_age reserved for the transit of its statement.
constexpr Duration kTransitMargin = Duration::Millis(50);
// A replica is used only if its last status is more recent than this.
constexpr Duration kStatusMaxAge = Duration::Seconds(2);
// From this number of queued statements on, the idle connections are collected
// once for all of them.
constexpr size_t kManyQueued = 8;
// Interval of the search for connections to open ahead.
constexpr Duration kOpenAheadPeriod = Duration::Millis(100);

UpstreamCommand StatementCommand(const StatementCall& call, LogPosition after) {
  UpstreamCommand command;
  command.kind =
      call.is_prepared ? CommandKind::kExecute : CommandKind::kVerbatim;
  command.id = call.id;
  command.after = after;
  command.text = call.text;
  command.arguments = call.text;
  command.prepared = call.prepared;
  command.commits = call.access == Access::kCommit;
  return command;
}

}  // namespace

PooledUpstream* GroupOwner::Primary() {
  PooledUpstream* primary = pool_.FindUpstream(primary_);
  bool leads = primary != nullptr && !primary->is_down &&
               primary->is_status_of_this_connection() &&
               primary->status.is_primary;
  return leads ? primary : nullptr;
}

void GroupOwner::Dispatch(ProxyContext* context) {
  while (DispatchPrimary(context)) {
  }
  while (DispatchAny(context)) {
  }
  PlanConnections(context);
}

// With tenants, work without an idle connection is passed over, so that work
// behind it which has one can start.
bool GroupOwner::HasConnection(const Work& work,
                               const UpstreamId& upstream) const {
  if (!pool_.carries_tenants()) return true;
  if (queue_.size() < kManyQueued) {
    return pool_.HasIdle(upstream, work.call.tenant);
  }
  return idle_tenants_.count({upstream, work.call.tenant}) != 0;
}

// A search of all connections for each statement costs less if there are few.
void GroupOwner::RefreshIdleTenants() {
  bool is_needed = pool_.carries_tenants() && queue_.size() >= kManyQueued;
  if (is_needed) idle_tenants_ = pool_.IdleTenants();
}

void GroupOwner::PlanConnections(ProxyContext* context) {
  if (!pool_.carries_tenants()) return;
  if (queue_.size() == 0 && context->now() < next_open_ahead_) return;
  next_open_ahead_ = context->now() + kOpenAheadPeriod;
  RefreshIdleTenants();
  connected_tenants_ = pool_.ConnectedTenants();
  std::map<UpstreamId, ConnectionSnapshot> snapshots;
  for (const auto& item : pool_.upstreams()) {
    const PooledUpstream& upstream = item.second;
    if (upstream.is_down || !upstream.has_status) continue;
    snapshots[item.first] = pool_.SnapshotOf(upstream, context->now());
  }
  for (Work* work : queue_.All()) {
    auto found = snapshots.find(ConnectionTarget(*work, context));
    if (found == snapshots.end()) continue;
    if (HasConnection(*work, found->first)) {
      found->second.startable.insert(work->call.tenant);
      continue;
    }
    work->awaited_connection = true;
    found->second.waiting.push_back(
        WaitingWork{work->call.tenant, work->expected_service,
                    work->latest_start - context->now()});
  }
  for (const auto& item : snapshots) {
    const PooledUpstream* upstream = pool_.FindUpstream(item.first);
    bool may_open_ahead =
        is_assigned_ && upstream->is_registered && !upstream->record.leaving;
    if (item.second.waiting.empty() && !may_open_ahead) continue;
    bool needs_primary =
        item.first == primary_ || item.first == failover_.successor();
    Lane lane = needs_primary ? Lane::kPrimary : Lane::kAny;
    const TenantDemand& demand = demand_[static_cast<size_t>(lane)];
    for (const ConnectionStep& step :
         connection_plan_.Steps(item.second, demand)) {
      pool_.Perform(item.first, step, context);
    }
  }
}

UpstreamId GroupOwner::ConnectionTarget(const Work& work,
                                        ProxyContext* context) {
  if (context->now() < work.not_before) return UpstreamId();
  if (LaneFor(work.call) == Lane::kAny) {
    LogPosition min_position = MinPositionFor(work);
    const PooledUpstream* best = nullptr;
    auto best_rank = std::make_tuple(false, false, 0);
    for (const auto& item : pool_.upstreams()) {
      const PooledUpstream& upstream = item.second;
      bool may_begin =
          !work.in_transaction() || pool_.MayPin(item.first, work.call.tenant);
      if (!may_begin) continue;
      if (!IsUsableReplica(work, upstream, min_position, context)) continue;
      bool is_connected =
          connected_tenants_.count({item.first, work.call.tenant}) != 0;
      auto rank = std::make_tuple(pool_.HasSlot(upstream), is_connected,
                                  -upstream.connections);
      if (best != nullptr && !(best_rank < rank)) continue;
      best = &upstream;
      best_rank = rank;
    }
    if (best != nullptr) return best->record.id;
  }
  bool is_replacing = failover_.is_active() && !failover_.is_planned();
  if (is_replacing) return failover_.successor();
  const PooledUpstream* primary = Primary();
  bool is_usable =
      primary != nullptr && !pool_.IsDrained(*primary, context->now()) &&
      work.excluded_upstreams.count(primary_) == 0 &&
      (!work.in_transaction() || pool_.MayPin(primary_, work.call.tenant));
  return is_usable ? primary_ : UpstreamId();
}

// True if the work must observe every commit that was acknowledged before it
// arrived.
bool GroupOwner::NeedsUnchallengedPrimary(const Work& work) const {
  bool only_writes =
      !work.in_transaction() && work.call.access != Access::kRead;
  return !only_writes && work.call.consistency == ReadConsistency::kStrong;
}

// The maximum age of the last leadership confirmation when the work arrives.
Duration GroupOwner::MaxConfirmationAge(const Work& work) {
  if (NeedsUnchallengedPrimary(work)) {
    return LeadershipTracker::kMinPromotionDelay;
  }
  bool only_writes =
      !work.in_transaction() && work.call.access != Access::kRead;
  if (only_writes) return kMaxWriteConfirmationAge;
  // No other upstream can take over sooner.
  if (IsSingleUpstream()) return work.call.max_age;
  return std::min(work.call.max_age, kMaxWriteConfirmationAge);
}

bool GroupOwner::IsPrimaryCurrent(const Work& work) {
  TimePoint oldest = work.arrived.time - MaxConfirmationAge(work);
  if (!NeedsUnchallengedPrimary(work)) {
    return leadership_.IsConfirmedSince(oldest);
  }
  return leadership_.IsUnchallengedSince(oldest) ||
         leadership_.IsConfirmedSince(work.arrived.sequence);
}

bool GroupOwner::MayStartAtPrimary(const Work& work, ProxyContext* context) {
  if (context->now() < work.not_before || !IsPrimaryCurrent(work)) return false;
  bool may_write = work.in_transaction()
                       ? work.call.transaction == TransactionKind::kReadWrite
                       : work.call.access != Access::kRead;
  if (may_write && !CanKeepCommits(context)) return false;
  const PooledUpstream* primary = Primary();
  if (primary == nullptr || pool_.IsDrained(*primary, context->now())) {
    return false;
  }
  return !work.in_transaction() || pool_.MayPin(primary_, work.call.tenant);
}

bool GroupOwner::DispatchPrimary(ProxyContext* context) {
  if (queue_.IsEmpty(Lane::kPrimary)) return false;
  RefreshIdleTenants();
  bool is_blocked = failover_.is_active() && !failover_.is_planned();
  if (is_blocked) return DispatchDuringFailover(context);
  PooledUpstream* primary = Primary();
  if (primary == nullptr || !pool_.HasSlot(*primary)) return false;
  Work* work =
      queue_.First(Lane::kPrimary, context->now(), [&](const Work& candidate) {
        return HasConnection(candidate, primary_) &&
               MayStartAtPrimary(candidate, context);
      });
  return work != nullptr && Start(work, primary, context);
}

// While there is no primary, reads of the newest state run at the successor,
// which has every acknowledged commit.
bool GroupOwner::DispatchDuringFailover(ProxyContext* context) {
  PooledUpstream* successor = pool_.FindUpstream(failover_.successor());
  bool may_read = CompletePosition().known() && successor != nullptr &&
                  !successor->is_down && pool_.HasSlot(*successor) &&
                  !pool_.IsDrained(*successor, context->now());
  if (!may_read) return false;
  Work* work =
      queue_.First(Lane::kPrimary, context->now(), [&](const Work& candidate) {
        bool reads = candidate.call.transaction == TransactionKind::kReadOnly ||
                     (!candidate.in_transaction() &&
                      candidate.call.access == Access::kRead);
        return reads && !(context->now() < candidate.not_before) &&
               HasConnection(candidate, successor->record.id) &&
               candidate.excluded_upstreams.count(successor->record.id) == 0 &&
               (!candidate.in_transaction() ||
                pool_.MayPin(successor->record.id, candidate.call.tenant));
      });
  return work != nullptr && Start(work, successor, context);
}

bool GroupOwner::DispatchAny(ProxyContext* context) {
  if (queue_.IsEmpty(Lane::kAny)) return false;
  RefreshIdleTenants();
  PooledUpstream* chosen = nullptr;
  Work* work =
      queue_.First(Lane::kAny, context->now(), [&](const Work& candidate) {
        if (context->now() < candidate.not_before) return false;
        chosen = ReplicaFor(candidate, context);
        if (chosen != nullptr) {
          if (IsPrimaryNearer(candidate, *chosen, context)) chosen = Primary();
          return true;
        }
        PooledUpstream* primary = Primary();
        bool has_free_slot = primary != nullptr &&
                             primary->running < primary->record.slots &&
                             candidate.excluded_upstreams.count(primary_) == 0;
        bool may_start = has_free_slot && HasConnection(candidate, primary_) &&
                         MayStartAtPrimary(candidate, context);
        if (!may_start) return false;
        chosen = primary;
        return true;
      });
  return work != nullptr && Start(work, chosen, context);
}

// A position of the successor that covers every acknowledged commit; unknown if
// there is none. Without synchronous replicas, the old primary may have commits
// that the successor lacks, and may lead on if no promotion takes effect.
LogPosition GroupOwner::CompletePosition() const {
  return spec_.sync_replicas > 0 ? failover_.held_position() : LogPosition();
}

LogPosition GroupOwner::MinPositionFor(const Work& work) const {
  LogPosition complete = CompletePosition();
  if (complete.known()) return complete;
  TimePoint oldest = work.arrived.time - work.call.max_age + kTransitMargin;
  LogPosition min_position = leadership_.MinPositionFor(oldest);
  if (!min_position.known()) return min_position;
  bool needs_own_writes = work.call.consistency == ReadConsistency::kOwnWrites;
  if (needs_own_writes && min_position < work.call.own_position) {
    return work.call.own_position;
  }
  return min_position;
}

// True if the replica will probably refuse a read at this position: either an
// answer within the last kAppliedPositionMaxAge had a lower position, or the
// replica lags by more than the time since the primary reached the position.
bool GroupOwner::IsBehind(const PooledUpstream& replica,
                          LogPosition min_position, TimePoint now) const {
  if (!(replica.applied < min_position)) return false;
  if (now - replica.applied_at < kAppliedPositionMaxAge) return true;
  Duration lag = leadership_.LagOf(replica.applied, replica.applied_at);
  return now - lag < leadership_.ReachedAt(min_position);
}

bool GroupOwner::IsUsableReplica(const Work& work,
                                 const PooledUpstream& upstream,
                                 LogPosition min_position,
                                 ProxyContext* context) const {
  const UpstreamId& id = upstream.record.id;
  bool is_usable =
      min_position.known() && id != primary_ && upstream.is_registered &&
      !upstream.record.leaving && !upstream.is_down && upstream.has_status &&
      !upstream.status.is_primary && work.excluded_upstreams.count(id) == 0 &&
      context->now() - upstream.status_sent.time < kStatusMaxAge;
  return is_usable && !IsBehind(upstream, min_position, context->now());
}

bool GroupOwner::HasRoomNearby(const PooledUpstream& upstream) const {
  return data_centre_ != DataCentreId() &&
         upstream.record.data_centre == data_centre_ &&
         upstream.running < upstream.record.slots;
}

bool GroupOwner::IsPrimaryNearer(const Work& work,
                                 const PooledUpstream& replica,
                                 ProxyContext* context) {
  const PooledUpstream* primary = Primary();
  bool has_room = primary != nullptr && HasRoomNearby(*primary) &&
                  2 * primary->running < primary->record.slots &&
                  work.excluded_upstreams.count(primary_) == 0;
  // The lane of the primary's own work was served first, so what is left in it
  // waits for something else than a slot.
  return has_room && replica.record.data_centre != data_centre_ &&
         MayStartAtPrimary(work, context);
}

PooledUpstream* GroupOwner::ReplicaFor(const Work& work,
                                       ProxyContext* context) {
  LogPosition min_position = MinPositionFor(work);
  if (!min_position.known()) return nullptr;
  PooledUpstream* best = nullptr;
  for (auto& item : pool_.upstreams()) {
    PooledUpstream& upstream = item.second;
    bool has_room = HasConnection(work, item.first) && pool_.HasSlot(upstream);
    if (!has_room) continue;
    if (!IsUsableReplica(work, upstream, min_position, context)) continue;
    bool may_begin =
        !work.in_transaction() || pool_.MayPin(item.first, work.call.tenant);
    if (!may_begin) continue;
    bool is_nearby = HasRoomNearby(upstream);
    bool is_best_nearby = best != nullptr && HasRoomNearby(*best);
    // Compares the running statements per slot, cross-multiplied.
    bool is_less_loaded =
        best == nullptr || upstream.running * best->record.slots <
                               best->running * upstream.record.slots;
    bool is_better = is_nearby == is_best_nearby ? is_less_loaded : is_nearby;
    if (is_better) best = &upstream;
  }
  if (best == nullptr) context->WakeAt(context->now() + kReplicaRecheckDelay);
  return best;
}

LogPosition GroupOwner::MinPositionAtPrimary(const Work& work) const {
  // The log of a later term contains every commit acknowledged in earlier ones.
  auto found = pool_.upstreams().find(primary_);
  if (found == pool_.upstreams().end()) return LogPosition();
  LogPosition own = work.call.own_position;
  return own.term >= found->second.status.term ? own : LogPosition();
}

bool GroupOwner::Start(Work* work, PooledUpstream* upstream,
                       ProxyContext* context) {
  PooledConnection* connection = pool_.Take(
      upstream->record.id, work->call.tenant, work->call.values, context);
  if (connection == nullptr) return false;
  queue_.Remove(work);
  if (context->now() > work->latest_start) {
    late_starts_[static_cast<size_t>(LaneFor(work->call))].OnArrival(
        work->expected_service, context->now());
  }
  queue_.OnStarted(*work);
  if (pool_.carries_tenants()) {
    (work->awaited_connection ? started_after_wait_ : started_at_once_)++;
  }
  work->attempts++;
  work->connection = connection->id;
  work->sent = context->instant();
  context->WakeAtCoarse(work->deadline);
  bool is_primary = upstream->record.id == primary_;
  LogPosition after =
      is_primary ? MinPositionAtPrimary(*work) : MinPositionFor(*work);
  if (!work->in_transaction()) {
    // A single write needs no position: the primary has every commit.
    bool reads = work->call.access == Access::kRead;
    work->after = reads ? after : LogPosition();
    SetUpAndSend(work, connection, context);
    return true;
  }
  // The answers to the set-up come before that to BEGIN, and the statement is
  // sent after it.
  std::vector<UpstreamCommand> commands =
      UpstreamPool::SetUpCommands(connection, work->call);
  work->stage = WorkStage::kBeginning;
  connection->is_pinned = true;
  Transaction transaction;
  transaction.connection = connection->id;
  transaction.upstream = upstream->record.id;
  transaction.kind = work->call.transaction;
  transaction.began = work->arrived;
  transaction.running = work->number;
  transactions_[work->transaction()] = transaction;
  UpstreamCommand begin;
  begin.kind = work->call.transaction == TransactionKind::kReadOnly
                   ? CommandKind::kBeginReadOnly
                   : CommandKind::kBegin;
  begin.after = after;
  commands.push_back(begin);
  pool_.Send(connection, std::move(commands), work->number, context);
  return true;
}

void GroupOwner::Continue(Work* work, ProxyContext* context) {
  auto found = transactions_.find(work->transaction());
  if (found == transactions_.end()) {
    Fail(work, Outcome::kAborted, "transaction_lost", context);
    return;
  }
  PooledConnection* connection = pool_.Find(found->second.connection);
  CheckInvariant(connection != nullptr && connection->is_pinned,
                 "continue transaction", spec_.id.value());
  queue_.OnStarted(*work);
  if (pool_.carries_tenants()) started_at_once_++;
  found->second.running = work->number;
  work->connection = connection->id;
  work->sent = context->instant();
  context->WakeAtCoarse(work->deadline);
  SetUpAndSend(work, connection, context);
}

void GroupOwner::SetUpAndSend(Work* work, PooledConnection* connection,
                              ProxyContext* context) {
  std::vector<UpstreamCommand> commands =
      UpstreamPool::SetUpCommands(connection, work->call);
  if (commands.empty()) {
    SendStatement(work, connection, context);
    return;
  }
  work->stage = WorkStage::kSettingUp;
  pool_.SendSetUp(connection, std::move(commands), work->number, context);
}

void GroupOwner::SendStatement(Work* work, PooledConnection* connection,
                               ProxyContext* context) {
  work->stage = WorkStage::kRunning;
  work->sent = context->instant();
  pool_.Send(connection, {StatementCommand(work->call, work->after)},
             work->number, context);
}

// False if the upstream of work that was being set up may no longer be sent it.
bool GroupOwner::MayStillStart(const Work& work, const UpstreamId& id,
                               ProxyContext* context) {
  if (work.in_transaction()) return true;
  const PooledUpstream* upstream = pool_.FindUpstream(id);
  if (upstream == nullptr || pool_.IsDrained(*upstream, context->now())) {
    return false;
  }
  if (id != primary_) return true;
  bool is_replaced = failover_.is_active() && !failover_.is_planned();
  return !is_replaced && MayStartAtPrimary(work, context);
}

void GroupOwner::Requeue(Work* work, Duration pause, ProxyContext* context) {
  work->stage = WorkStage::kQueued;
  work->connection = ConnectionId();
  work->not_before = context->now() + pause;
  context->WakeAt(work->not_before);
  queue_.Add(work);
}

}  // namespace fireflycart::proxy
