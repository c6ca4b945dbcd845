// One ordered map per lane. Work becomes late merely as time passes, so First()
// marks it as late when it iterates over it; no timer is needed.

#include "fireflycart/core/proxy/work_queue.h"

namespace fireflycart::proxy {

Lane LaneFor(const StatementCall& call) {
  bool reads = call.transaction == TransactionKind::kReadOnly ||
               (call.transaction == TransactionKind::kNone &&
                call.access == Access::kRead);
  bool may_use_replica = reads && call.consistency != ReadConsistency::kStrong;
  return may_use_replica ? Lane::kAny : Lane::kPrimary;
}

std::map<WorkQueue::Key, Work*>& WorkQueue::LaneOf(const Work& work) {
  return lanes_[static_cast<size_t>(LaneFor(work.call))];
}

void WorkQueue::Add(Work* work) { LaneOf(*work)[KeyOf(*work)] = work; }

void WorkQueue::Remove(Work* work) { LaneOf(*work).erase(KeyOf(*work)); }

Work* WorkQueue::First(Lane lane, TimePoint now,
                       const std::function<bool(const Work&)>& accepts) {
  std::map<Key, Work*>& waiting = lanes_[static_cast<size_t>(lane)];
  for (auto it = waiting.begin(); it != waiting.end();) {
    Work* work = it->second;
    if (!work->is_late && now > work->latest_start) {
      it = waiting.erase(it);
      work->is_late = true;
      waiting[KeyOf(*work)] = work;
      continue;
    }
    if (accepts(*work)) return work;
    ++it;
  }
  return nullptr;
}

std::vector<Work*> WorkQueue::AllOf(Lane lane) const {
  std::vector<Work*> all;
  for (const auto& item : lanes_[static_cast<size_t>(lane)]) {
    all.push_back(item.second);
  }
  return all;
}

std::vector<Work*> WorkQueue::All() const {
  std::vector<Work*> all = AllOf(Lane::kPrimary);
  for (Work* work : AllOf(Lane::kAny)) all.push_back(work);
  return all;
}

}  // namespace fireflycart::proxy
