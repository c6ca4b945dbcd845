// Assigns queued work items to connections. Each upstream with free capacity is
// offered the queue in turn and is sent the first item that it can serve.
// Replicas come first, in order of their load (calls in flight per slot), and
// the primary last, which keeps its slots for work that only it can do.

#include <algorithm>
#include <vector>

#include "fireflycart/core/error.h"
#include "fireflycart/core/group_coordinator.h"

namespace fireflycart {
namespace {

// Longest time that a read waits for a replica to catch up; then the primary
// serves it.
constexpr Duration kMaxReplicaCatchUpWait = Duration::Millis(10);
// The same limit if a replica has the data and only lacks an idle connection.
constexpr Duration kMaxConnectionWait = Duration::Millis(25);
// Data connections that are kept open beyond the calls in flight.
constexpr int kSpareConnections = 2;
// Calls beyond the concurrency limit that the most urgent rank may have in
// flight. They wait at the upstream and start as soon as a slot is free.
constexpr int kExtraUrgentCalls = 1;

}  // namespace

// Accepts the queued items that one upstream can serve now.
class DispatchFilter : public WorkFilter {
 public:
  DispatchFilter(const GroupCoordinator* group, const UpstreamLink* link)
      : group_(group), link_(link) {}

  bool Accepts(const QueuedWork& item, bool earned) const override {
    return group_->CanServe(*link_, item, earned);
  }

 private:
  const GroupCoordinator* group_;
  const UpstreamLink* link_;
};

void GroupCoordinator::Dispatch() {
  bool may_dispatch =
      phase_ == GroupPhase::kServing || phase_ == GroupPhase::kPausing;
  if (!may_dispatch) return;
  bool progress = true;
  while (progress && queue_.size() > 0) {
    std::vector<UpstreamLink*> order;
    for (auto& item : links_.all()) order.push_back(&item.second);
    std::stable_sort(order.begin(), order.end(), [&](auto* a, auto* b) {
      bool a_primary = a->policy.id == primary_;
      bool b_primary = b->policy.id == primary_;
      if (a_primary != b_primary) return b_primary;
      return a->in_flight * b->policy.slots < b->in_flight * a->policy.slots;
    });
    progress = false;
    for (UpstreamLink* link : order) {
      if (DispatchOn(link)) progress = true;
    }
  }
}

bool GroupCoordinator::DispatchOn(UpstreamLink* link) {
  const UpstreamStatus* status = view_.Find(link->policy.id);
  bool ready = status != nullptr && status->term == term_ &&
               link->control_ready && !link->health.suspect();
  if (!ready) return false;
  if (link->in_flight >= InFlightLimit(*link, Rank(0))) return false;
  DispatchFilter filter(this, link);
  ServerRole server =
      link->policy.id == primary_ ? ServerRole::kPrimary : ServerRole::kReplica;
  std::optional<QueuedWork> item = queue_.Pop(server, filter);
  if (!item) return false;
  Work* work = FindWork(item->work);
  CheckInvariant(work != nullptr && work->state == WorkState::kQueued,
                 "dispatch",
                 "work item taken from the queue is not in state kQueued");
  DataConnection* connection = nullptr;
  if (work->request.transaction != TransactionId()) {
    Transaction* transaction = transactions_.Find(work->request.transaction);
    connection = links_.FindData(transaction->connection);
    transaction->running = work->id;
  } else {
    connection = links_.FindIdle(link->policy.id);
  }
  Send(work, connection);
  return true;
}

bool GroupCoordinator::CanServe(const UpstreamLink& link,
                                const QueuedWork& item, bool earned) const {
  // An item that its rank's floor has earned may use the calls reserved for
  // urgent work. Urgent work would otherwise starve the floor.
  Rank effective_rank = earned ? Rank(0) : item.rank;
  if (link.in_flight >= InFlightLimit(link, effective_rank)) return false;
  const Work& work = pending_.at(item.work);
  if (work.request.transaction != TransactionId()) {
    const Transaction* transaction =
        transactions_.Find(work.request.transaction);
    return transaction != nullptr && transaction->running == WorkId() &&
           transaction->upstream == link.policy.id;
  }
  if (phase_ != GroupPhase::kServing || link.leaving) return false;
  bool has_idle = false;
  int pinned = 0;
  for (const auto& data : link.data) {
    bool is_pinned = data.second.transaction != TransactionId();
    if (is_pinned) pinned++;
    if (!is_pinned && data.second.state == ConnectionState::kIdle) {
      has_idle = true;
    }
  }
  if (!has_idle) return false;
  bool is_read = work.request.type == RequestType::kStatement &&
                 work.request.access == Access::kRead;
  if (is_read) return CanRead(link, work);
  if (link.policy.id != primary_) return false;
  if (work.request.type != RequestType::kBegin) return true;
  // Less urgent transactions may pin only half of the connections.
  int pool = std::max(1, link.policy.connections - kReservedConnections);
  bool urgent = item.rank == Rank(0);
  return pinned < (urgent ? pool - 1 : std::max(1, pool / 2));
}

bool GroupCoordinator::CanRead(const UpstreamLink& link,
                               const Work& work) const {
  if (link.policy.id == primary_) return ShouldReadAtPrimary(link, work);
  return ReplicaHasData(link.policy.id, work);
}

bool GroupCoordinator::ReplicaHasData(const UpstreamId& upstream,
                                      const Work& work) const {
  const UpstreamStatus* status = view_.Find(upstream);
  return status != nullptr && HasData(*status, work);
}

// Returns true if a replica with this status can serve the read.
bool GroupCoordinator::HasData(const UpstreamStatus& status,
                               const Work& work) const {
  bool consistent = status.term == term_ && status.entry_term == term_;
  if (!consistent || status.applied < RequiredPositionOf(work)) return false;
  if (!work.request.max_age) return true;
  std::optional<Duration> age =
      view_.AgeUpperBound(status.applied, context_->now());
  return age && *age <= *work.request.max_age;
}

// The primary serves a read if it has a free slot beyond those reserved and
// either all replicas with the data are at their limit, or the read has waited
// as long as it may for a replica.
bool GroupCoordinator::ShouldReadAtPrimary(const UpstreamLink& link,
                                           const Work& work) const {
  int slots = link.policy.slots;
  int reserved_slots = work.rank == Rank(0) || slots == 1 ? 0 : 1;
  if (link.in_flight >= slots - reserved_slots) return false;
  bool has_data = false;
  bool has_capacity = false;
  for (const auto& item : links_.all()) {
    const UpstreamLink& other = item.second;
    bool usable = item.first != primary_ && !other.leaving &&
                  other.control_ready && !other.health.suspect();
    if (!usable || !ReplicaHasData(item.first, work)) continue;
    has_data = true;
    if (other.in_flight < InFlightLimit(other, work.rank)) has_capacity = true;
  }
  if (has_data && !has_capacity) return true;
  // A replica with free capacity serves the read as soon as a connection is
  // idle.
  Duration max_wait =
      has_capacity ? kMaxConnectionWait : kMaxReplicaCatchUpWait;
  return context_->now() - work.arrival >= max_wait;
}

Position GroupCoordinator::RequiredPositionOf(const Work& work) const {
  if (work.request.session == SessionId()) return Position();
  return sessions_.RequiredPosition(work.request.session);
}

void GroupCoordinator::Send(Work* work, DataConnection* connection) {
  work->state = WorkState::kRunning;
  work->connection = connection->id;
  work->upstream = connection->upstream;
  work->sent_at = context_->now();
  work->next_check = TimePoint();
  work->attempt = AttemptId(context_->NextNumber());
  ExecuteCall call = MakeCall(*work);
  links_.CallData(connection, work->id, call, context_);
}

ExecuteCall GroupCoordinator::MakeCall(const Work& work) const {
  ExecuteCall call;
  call.term = term_;
  call.access = work.request.access;
  call.attempt = work.attempt;
  call.statement = work.request.statement;
  bool is_write = work.request.access == Access::kWrite;
  switch (work.request.type) {
    case RequestType::kStatement:
      if (is_write) call.key = work.request.key;
      break;
    case RequestType::kBegin:
      call.step = TransactionStep::kBegin;
      break;
    case RequestType::kTransactionStatement:
      call.step = TransactionStep::kContinue;
      break;
    case RequestType::kCommit:
      call.step = TransactionStep::kCommit;
      call.key = work.request.key;
      break;
    case RequestType::kRollback:
      call.step = TransactionStep::kRollback;
      break;
  }
  return call;
}

int GroupCoordinator::InFlightLimit(const UpstreamLink& link, Rank rank) const {
  return link.concurrency.limit() + (rank == Rank(0) ? kExtraUrgentCalls : 0);
}

// Sets how many data connections each upstream keeps open, so that they are
// open before they are needed: one for each call that may be in flight, one for
// each open transaction, and kSpareConnections.
void GroupCoordinator::PlanConnections() {
  bool serves =
      phase_ == GroupPhase::kServing || phase_ == GroupPhase::kPausing;
  for (auto& item : links_.all()) {
    UpstreamLink& link = item.second;
    const UpstreamStatus* status = view_.Find(item.first);
    bool in_term = status != nullptr && status->term == term_;
    if (!serves || !in_term) {
      link.target_data_connections = 0;
      continue;
    }
    int pinned = 0;
    for (const auto& data : link.data) {
      if (data.second.transaction != TransactionId()) pinned++;
    }
    link.target_data_connections =
        InFlightLimit(link, Rank(0)) + pinned + kSpareConnections;
  }
}

}  // namespace fireflycart
