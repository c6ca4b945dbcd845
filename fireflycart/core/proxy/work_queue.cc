// Between tenants, start-time fair queueing with several requests in service
// (Goyal, Vin, Cheng: Start-time fair queueing, 1996; Jin, Chase, Kaur:
// Interposed proportional sharing for a storage service utility, 2004). Each
// tenant of a class has a start tag, the service that it has had in it. The
// tenant with the lowest tag is next, its tag grows by the expected service of
// what it starts, and the class's virtual time is the largest tag at which
// anything was started. A tenant that queues again starts at the virtual time,
// so it neither saves up nor owes. Hence the service of two tenants that both
// have work that may start differs by at most one statement of each, whatever
// they queue.
//
// First() goes on to the next work, and the next tenant, if the predicate
// rejects one, so nothing that may start waits for what may not. A tenant that
// was passed over for lack of a connection is behind the virtual time; it
// catches up kMaxCredit at most, so that the others wait that long at most.
//
// Work becomes late merely as time passes, so First() marks it as late when it
// iterates over it; no timer is needed.

#include "fireflycart/core/proxy/work_queue.h"

#include <algorithm>

namespace fireflycart::proxy {
namespace {

// Service that a tenant may catch up, in ms; several statements.
constexpr int64_t kMaxCredit = 200;

int64_t CostOf(const Work& work) {
  return std::max<int64_t>(work.expected_service.millis(), 1);
}

}  // namespace

Lane LaneFor(const StatementCall& call) {
  bool reads = call.transaction == TransactionKind::kReadOnly ||
               (call.transaction == TransactionKind::kNone &&
                call.access == Access::kRead);
  bool may_use_replica = reads && call.consistency != ReadConsistency::kStrong;
  return may_use_replica ? Lane::kAny : Lane::kPrimary;
}

WorkQueue::Classes& WorkQueue::LaneOf(const Work& work) {
  return lanes_[static_cast<size_t>(LaneFor(work.call))];
}

void WorkQueue::Add(Work* work) {
  AddTo(&LaneOf(*work)[ClassOf(*work)], work);
  sizes_[static_cast<size_t>(LaneFor(work->call))]++;
}

void WorkQueue::Remove(Work* work) {
  Classes& classes = LaneOf(*work);
  auto found = classes.find(ClassOf(*work));
  if (found == classes.end()) return;
  if (!RemoveFrom(&found->second, *work)) return;
  sizes_[static_cast<size_t>(LaneFor(work->call))]--;
}

void WorkQueue::AddTo(FairClass* fair, Work* work) {
  const TenantId& tenant = work->call.tenant;
  Flow& flow = fair->flows[tenant];
  if (flow.empty()) {
    int64_t& tag = fair->start_tags[tenant];
    tag = std::max(tag, fair->virtual_time);
    fair->order.emplace(tag, tenant);
  }
  flow[KeyOf(*work)] = work;
}

bool WorkQueue::RemoveFrom(FairClass* fair, const Work& work) {
  const TenantId& tenant = work.call.tenant;
  auto found = fair->flows.find(tenant);
  if (found == fair->flows.end()) return false;
  if (found->second.erase(KeyOf(work)) == 0) return false;
  if (!found->second.empty()) return true;
  fair->flows.erase(found);
  auto tag = fair->start_tags.find(tenant);
  fair->order.erase(FlowKey(tag->second, tenant));
  if (tag->second <= fair->virtual_time) fair->start_tags.erase(tag);
  if (fair->is_empty()) EndBusyPeriod(fair);
  return true;
}

// No tenant waits, so none is ahead.
void WorkQueue::EndBusyPeriod(FairClass* fair) {
  for (const auto& item : fair->start_tags) {
    fair->virtual_time = std::max(fair->virtual_time, item.second);
  }
  fair->start_tags.clear();
}

void WorkQueue::OnStarted(const Work& work) {
  FairClass& fair = LaneOf(work)[ClassOf(work)];
  const TenantId& tenant = work.call.tenant;
  int64_t& tag = fair.start_tags[tenant];
  bool is_queued = fair.order.erase(FlowKey(tag, tenant)) != 0;
  if (!is_queued) tag = std::max(tag, fair.virtual_time);
  tag = std::max(tag, fair.virtual_time - kMaxCredit);
  fair.virtual_time = std::max(fair.virtual_time, tag);
  tag += CostOf(work);
  if (is_queued) fair.order.emplace(tag, tenant);
  if (fair.is_empty()) EndBusyPeriod(&fair);
}

Work* WorkQueue::First(Lane lane, TimePoint now,
                       const std::function<bool(const Work&)>& accepts) {
  Classes& classes = lanes_[static_cast<size_t>(lane)];
  for (auto& item : classes) {
    bool is_late = item.first.first;
    FairClass& fair = item.second;
    for (auto next = fair.order.begin(); next != fair.order.end();) {
      // Moving the last work of a flow removes the flow.
      Flow& flow = fair.flows.at((next++)->second);
      for (auto it = flow.begin(); it != flow.end();) {
        Work* work = it->second;
        ++it;
        if (!is_late && now > work->latest_start) {
          bool is_last = flow.size() == 1;
          RemoveFrom(&fair, *work);
          work->is_late = true;
          AddTo(&classes[ClassOf(*work)], work);
          if (is_last) break;
          continue;
        }
        if (accepts(*work)) return work;
      }
    }
  }
  return nullptr;
}

// As if each work was started in turn.
void WorkQueue::AppendInOrder(const FairClass& fair, std::vector<Work*>* all) {
  std::set<FlowKey> order = fair.order;
  std::map<TenantId, Flow::const_iterator> next;
  for (const auto& item : fair.flows) next[item.first] = item.second.begin();
  while (!order.empty()) {
    FlowKey first = *order.begin();
    order.erase(order.begin());
    Flow::const_iterator& it = next[first.second];
    Work* work = it->second;
    all->push_back(work);
    ++it;
    if (it == fair.flows.at(first.second).end()) continue;
    order.emplace(first.first + CostOf(*work), first.second);
  }
}

std::vector<Work*> WorkQueue::AllOf(Lane lane) const {
  std::vector<Work*> all;
  all.reserve(sizes_[static_cast<size_t>(lane)]);
  for (const auto& item : lanes_[static_cast<size_t>(lane)]) {
    AppendInOrder(item.second, &all);
  }
  return all;
}

std::vector<Work*> WorkQueue::All() const {
  std::vector<Work*> all = AllOf(Lane::kPrimary);
  for (Work* work : AllOf(Lane::kAny)) all.push_back(work);
  return all;
}

}  // namespace fireflycart::proxy
