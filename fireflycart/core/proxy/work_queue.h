// Statements queued at the owner of a group, in the order in which they are to
// be served: those in time before late ones, then by priority, then fair
// between tenants, and within a tenant by the earliest target deadline.
//
// Load pattern: more work of one priority arrives than the upstreams can run.
// Work that can no longer meet its target gives way to work that can, and work
// with a distant target waits out a short peak. A tenant that sends many times
// its usual makes its own work wait, not that of others.
//
//   queue.Add(work);
//   Work* next = queue.First(Lane::kPrimary, now, may_start);
//   queue.Remove(next);
//   queue.OnStarted(*next);
//
// Work past its latest start is moved behind all work that can still meet its
// target, and late work keeps that order too: it is served when no work in time
// can start. Without tenants all work is of one tenant.
//
// Limits: tenants have equal weights. What a tenant did not use while it had
// nothing queued is not made up for.

#ifndef FIREFLYCART_CORE_PROXY_WORK_QUEUE_H_
#define FIREFLYCART_CORE_PROXY_WORK_QUEUE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <utility>
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
  // Counts the work, which has been removed, as service of its tenant.
  void OnStarted(const Work& work);

  // Returns the first work of the lane that the predicate accepts; null if
  // there is none. Moves work that has become late behind the work in time.
  Work* First(Lane lane, TimePoint now,
              const std::function<bool(const Work&)>& accepts);

  size_t size() const { return sizes_[0] + sizes_[1]; }
  bool IsEmpty(Lane lane) const {
    return sizes_[static_cast<size_t>(lane)] == 0;
  }
  // Returns all queued work, each lane in the order of service.
  std::vector<Work*> All() const;
  std::vector<Work*> AllOf(Lane lane) const;

 private:
  // Late, priority.
  using ClassKey = std::pair<bool, int>;
  // Target deadline, arrival.
  using WorkKey = std::pair<int64_t, uint64_t>;
  using Flow = std::map<WorkKey, Work*>;
  // Start tag, tenant.
  using FlowKey = std::pair<int64_t, TenantId>;

  // Work of one class: its tenants with queued work in the order of their start
  // tags.
  struct FairClass {
    int64_t virtual_time = 0;
    std::map<TenantId, Flow> flows;
    std::set<FlowKey> order;
    // Of tenants with queued work, and of others while they are ahead of the
    // virtual time.
    std::map<TenantId, int64_t> start_tags;

    bool is_empty() const { return flows.empty(); }
  };
  using Classes = std::map<ClassKey, FairClass>;

  static ClassKey ClassOf(const Work& work) {
    return ClassKey(work.is_late, work.call.priority);
  }
  static WorkKey KeyOf(const Work& work) {
    return WorkKey(work.target_deadline.millis(), work.arrived.sequence);
  }
  Classes& LaneOf(const Work& work);
  static void AddTo(FairClass* fair, Work* work);
  // False if it is not in the class.
  static bool RemoveFrom(FairClass* fair, const Work& work);
  static void EndBusyPeriod(FairClass* fair);
  static void AppendInOrder(const FairClass& fair, std::vector<Work*>* all);

  std::array<Classes, kLanes> lanes_;
  std::array<size_t, kLanes> sizes_ = {};
};

// The lane that a statement belongs to.
Lane LaneFor(const StatementCall& call);

}  // namespace fireflycart::proxy

#endif  // FIREFLYCART_CORE_PROXY_WORK_QUEUE_H_
