// Statements queued at the owner of a group, in the order in which they are to
// be served: those in time before late ones, then by priority, then by the
// earliest target deadline.
//
// Load pattern: more work of one priority arrives than the upstreams can run.
// Work that can no longer meet its target gives way to work that can, and work
// with a distant target waits out a short peak.
//
//   queue.Add(work);
//   Work* next = queue.First(Lane::kPrimary, now, may_start);
//
// Work past its latest start is moved behind all work that can still meet its
// target, and late work keeps that order too: it is served when no work in time
// can start.

#ifndef FIREFLYCART_CORE_PROXY_WORK_QUEUE_H_
#define FIREFLYCART_CORE_PROXY_WORK_QUEUE_H_

#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <tuple>
#include <vector>

#include "fireflycart/core/proxy/work.h"

namespace fireflycart::proxy {

// The upstreams on which queued work may run.
enum class Lane { kPrimary, kAny };
constexpr size_t kLanes = 2;

class WorkQueue {
 public:
  void Add(Work* work);
  void Remove(Work* work);

  // Returns the first work of the lane that the predicate accepts; null if
  // there is none. Moves work that has become late behind the work in time.
  Work* First(Lane lane, TimePoint now,
              const std::function<bool(const Work&)>& accepts);

  size_t size() const { return lanes_[0].size() + lanes_[1].size(); }
  bool IsEmpty(Lane lane) const {
    return lanes_[static_cast<size_t>(lane)].empty();
  }
  // Returns all queued work, each lane in the order of service.
  std::vector<Work*> All() const;
  std::vector<Work*> AllOf(Lane lane) const;

 private:
  // Late, priority, target deadline, arrival.
  using Key = std::tuple<bool, int, int64_t, uint64_t>;

  static Key KeyOf(const Work& work) {
    return Key(work.is_late, work.call.priority, work.target_deadline.millis(),
               work.arrived.sequence);
  }
  std::map<Key, Work*>& LaneOf(const Work& work);

  std::array<std::map<Key, Work*>, kLanes> lanes_;
};

// The lane that a statement belongs to.
Lane LaneFor(const StatementCall& call);

}  // namespace fireflycart::proxy

#endif  // FIREFLYCART_CORE_PROXY_WORK_QUEUE_H_
