// Work that needs the primary goes first there; reads that may run elsewhere
// take the replica with the least load that is known to hold what they need,
// and the primary only when it has a free slot that nothing else waits for.
//
// Where a read must contain all commits up to some time, it asks a replica to
// hold a position that was the primary's at such a time. Which positions count
// is decided by Evidence.
//
// At the primary a read runs only if the primary was proven current a moment
// ago. A promotion that was ordered after the proof takes effect later than
// that moment, so no other upstream had acknowledged anything when the read
// arrived.

#include <algorithm>
#include <utility>

#include "fireflycart/core/error.h"
#include "fireflycart/core/proxy/group_owner.h"

namespace fireflycart::proxy {
namespace {

// A position that a replica showed this long ago says little of now.
constexpr Duration kAppliedFresh = Duration::Millis(20);
// The platform promotes some hundred milliseconds after the order. Within this
// time after a proof no other upstream leads.
constexpr Duration kPromotionLead = Duration::Millis(100);
// A write needs no proof to be correct. Without a recent one its commit would
// probably wait for a replica in vain.
constexpr Duration kWriteProofAge = Duration::Millis(600);
// Pause of work that no upstream can serve yet.
constexpr Duration kRecheck = Duration::Millis(10);
// Part of a read's age that is left for the time its statement travels.
constexpr Duration kAgeMargin = Duration::Millis(50);
// A status of a replica is believed for so long.
constexpr Duration kStatusFresh = Duration::Seconds(2);

UpstreamCommand StatementCommand(const StatementCall& call, LogPosition after) {
  UpstreamCommand command;
  command.kind =
      call.is_prepared ? CommandKind::kExecute : CommandKind::kVerbatim;
  command.id = call.id;
  command.after = after;
  command.text = call.text;
  command.arguments = call.text;
  command.prepared = call.prepared;
  return command;
}

}  // namespace

PooledUpstream* GroupOwner::Primary() {
  PooledUpstream* primary = pool_.FindUpstream(primary_);
  return primary == nullptr || primary->is_down ? nullptr : primary;
}

void GroupOwner::Dispatch(ProxyContext* context) {
  while (DispatchPrimary(context)) {
  }
  while (DispatchAny(context)) {
  }
}

// How old the proof may be that the primary was current.
Duration GroupOwner::ProofAge(const Work& work) const {
  bool only_writes =
      !work.in_transaction() && work.call.access != Access::kRead;
  if (only_writes) return kWriteProofAge;
  if (work.call.consistency == ReadConsistency::kStrong) return kPromotionLead;
  return std::min(work.call.max_age, kWriteProofAge);
}

bool GroupOwner::IsProven(const Work& work) const {
  return evidence_.IsProvenSince(work.arrived.time - ProofAge(work));
}

bool GroupOwner::MayStartAtPrimary(const Work& work, ProxyContext* context) {
  if (context->now() < work.not_before || !IsProven(work)) return false;
  const PooledUpstream* primary = Primary();
  if (primary == nullptr || pool_.IsDrained(*primary, context->now())) {
    return false;
  }
  return !work.in_transaction() || pool_.MayPin(primary_);
}

bool GroupOwner::DispatchPrimary(ProxyContext* context) {
  if (queue_.IsEmpty(Lane::kPrimary)) return false;
  // Until the successor leads, the old primary of a planned change goes on.
  bool is_blocked =
      failover_.is_active() && failover_.cause() != FailoverCause::kLeaving;
  if (is_blocked) return DispatchFrozen(context);
  PooledUpstream* primary = Primary();
  if (primary == nullptr || !pool_.HasSlot(*primary)) return false;
  Work* work =
      queue_.First(Lane::kPrimary, context->now(), [&](const Work& candidate) {
        return MayStartAtPrimary(candidate, context);
      });
  return work != nullptr && Start(work, primary, context);
}

// While no upstream leads, reads of the newest state run at the successor,
// which has all that was acknowledged.
bool GroupOwner::DispatchFrozen(ProxyContext* context) {
  PooledUpstream* successor = pool_.FindUpstream(failover_.successor());
  bool may_read = failover_.frozen().known() && successor != nullptr &&
                  !successor->is_down && pool_.HasSlot(*successor) &&
                  !pool_.IsDrained(*successor, context->now());
  if (!may_read) return false;
  Work* work =
      queue_.First(Lane::kPrimary, context->now(), [&](const Work& candidate) {
        bool reads = candidate.call.transaction == TransactionKind::kReadOnly ||
                     (!candidate.in_transaction() &&
                      candidate.call.access == Access::kRead);
        return reads && !(context->now() < candidate.not_before) &&
               candidate.avoid.count(successor->record.id) == 0 &&
               (!candidate.in_transaction() ||
                pool_.MayPin(successor->record.id));
      });
  return work != nullptr && Start(work, successor, context);
}

bool GroupOwner::DispatchAny(ProxyContext* context) {
  if (queue_.IsEmpty(Lane::kAny)) return false;
  PooledUpstream* chosen = nullptr;
  Work* work =
      queue_.First(Lane::kAny, context->now(), [&](const Work& candidate) {
        if (context->now() < candidate.not_before) return false;
        chosen = ReplicaFor(candidate, context);
        if (chosen != nullptr) return true;
        PooledUpstream* primary = Primary();
        bool has_free_slot = primary != nullptr &&
                             primary->running < primary->record.slots &&
                             candidate.avoid.count(primary_) == 0;
        if (!has_free_slot || !MayStartAtPrimary(candidate, context)) {
          return false;
        }
        chosen = primary;
        return true;
      });
  return work != nullptr && Start(work, chosen, context);
}

LogPosition GroupOwner::FloorFor(const Work& work) const {
  if (failover_.frozen().known()) return failover_.frozen();
  TimePoint oldest = work.arrived.time - work.call.max_age + kAgeMargin;
  LogPosition floor = evidence_.FloorFor(oldest);
  if (!floor.known()) return floor;
  bool wants_own = work.call.consistency == ReadConsistency::kOwnWrites;
  if (wants_own && floor < work.call.own_position) {
    return work.call.own_position;
  }
  return floor;
}

// True if the replica will probably refuse a read at this position: it lacked
// it a moment ago, or is too far behind the time at which the primary had it.
bool GroupOwner::IsBehind(const PooledUpstream& replica, LogPosition floor,
                          TimePoint now) const {
  if (!(replica.applied < floor)) return false;
  if (now - replica.applied_at < kAppliedFresh) return true;
  Duration lag = evidence_.LagOf(replica.applied, replica.applied_at);
  return now - lag < evidence_.ReachedAt(floor);
}

PooledUpstream* GroupOwner::ReplicaFor(const Work& work,
                                       ProxyContext* context) {
  LogPosition floor = FloorFor(work);
  if (!floor.known()) return nullptr;
  PooledUpstream* best = nullptr;
  for (auto& item : pool_.upstreams()) {
    PooledUpstream& upstream = item.second;
    bool is_usable = item.first != primary_ && upstream.is_registered &&
                     !upstream.record.leaving && !upstream.is_down &&
                     upstream.has_status && !upstream.status.is_primary &&
                     pool_.HasSlot(upstream) &&
                     work.avoid.count(item.first) == 0 &&
                     context->now() - upstream.status_sent.time < kStatusFresh;
    if (!is_usable) continue;
    if (IsBehind(upstream, floor, context->now())) continue;
    if (work.in_transaction() && !pool_.MayPin(item.first)) continue;
    // Loads are compared as shares of slots, cross-multiplied.
    bool is_better =
        best == nullptr || upstream.running * best->record.slots <
                               best->running * upstream.record.slots;
    if (is_better) best = &upstream;
  }
  if (best == nullptr) context->WakeAt(context->now() + kRecheck);
  return best;
}

LogPosition GroupOwner::AfterAtPrimary(const Work& work) const {
  // The log of a later term holds all that was acknowledged in earlier ones.
  auto found = pool_.upstreams().find(primary_);
  if (found == pool_.upstreams().end()) return LogPosition();
  LogPosition own = work.call.own_position;
  return own.term >= found->second.status.term ? own : LogPosition();
}

bool GroupOwner::Start(Work* work, PooledUpstream* upstream,
                       ProxyContext* context) {
  PooledConnection* connection =
      pool_.Take(upstream->record.id, work->call.values, context);
  if (connection == nullptr) return false;
  queue_.Remove(work);
  work->attempts++;
  work->connection = connection->id;
  work->sent = context->instant();
  context->WakeAtCoarse(work->timeout);
  bool is_primary = upstream->record.id == primary_;
  LogPosition after = is_primary ? AfterAtPrimary(*work) : FloorFor(*work);
  std::vector<UpstreamCommand> commands =
      UpstreamPool::SetUp(connection, work->call);
  if (!work->in_transaction()) {
    work->stage = WorkStage::kRunning;
    // Plain writes need no position: the primary has all of them.
    if (work->call.access != Access::kRead) after = LogPosition();
    commands.push_back(StatementCommand(work->call, after));
    pool_.Send(connection, std::move(commands), work->number, context);
    return true;
  }
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
  found->second.running = work->number;
  work->stage = WorkStage::kRunning;
  work->connection = connection->id;
  work->sent = context->instant();
  context->WakeAtCoarse(work->timeout);
  SendStatement(work, connection, UpstreamPool::SetUp(connection, work->call),
                context);
}

void GroupOwner::SendStatement(Work* work, PooledConnection* connection,
                               std::vector<UpstreamCommand> commands,
                               ProxyContext* context) {
  commands.push_back(StatementCommand(work->call, LogPosition()));
  pool_.Send(connection, std::move(commands), work->number, context);
}

void GroupOwner::Requeue(Work* work, Duration pause, ProxyContext* context) {
  work->stage = WorkStage::kQueued;
  work->connection = ConnectionId();
  work->not_before = context->now() + pause;
  context->WakeAt(work->not_before);
  queue_.Add(work);
}

}  // namespace fireflycart::proxy
