// Queue of the requests that wait at the coordinator of a group. They are
// served in order of rank, with a floor (minimum share) for lower ranks, and
// fairly between the kinds of one rank.
//
//   auto result = queue.Push(item);            // may evict less urgent work
//   auto next = queue.Pop(server, filter);     // first item that is accepted
//   for (WorkId late : queue.Expire(now)) ...
//
// Limits: at most `limit` items in each lane, apart from those put back by
// PushFront(). When a lane is full, Push() evicts an item of a less urgent rank
// that is above its floor share; if there is none and the new item's rank is
// below its own floor share, an item of a more urgent rank; else an item of the
// longest kind of the same rank. Otherwise it refuses the new item.

#ifndef FIREFLYCART_CORE_ADMISSION_QUEUE_H_
#define FIREFLYCART_CORE_ADMISSION_QUEUE_H_

#include <array>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "fireflycart/core/clock.h"
#include "fireflycart/core/configuration.h"
#include "fireflycart/core/ids.h"

namespace fireflycart {

// Which upstreams can serve an item: kRead any of them, kPrimary only the
// primary.
enum class Lane { kPrimary, kRead };
constexpr size_t kLanes = 2;

// Role of the upstream that serves the next item. Floors are accounted
// separately for each role, so that a rank's reads on replicas do not use up
// its share of the primary.
enum class ServerRole { kPrimary, kReplica };
constexpr size_t kServerRoles = 2;

struct QueuedWork {
  WorkId work;
  KindId kind;
  Rank rank;
  Lane lane = Lane::kRead;
  TimePoint deadline;
};

// Decides whether the available resources can serve an item.
class WorkFilter {
 public:
  virtual ~WorkFilter() = default;
  // earned: the item's rank is owed this dispatch by its floor.
  virtual bool Accepts(const QueuedWork& item, bool earned) const = 0;
};

class AdmissionQueue {
 public:
  // Sets the policies. Queued items of kinds that no longer exist stay queued
  // under their old rank.
  void Configure(const std::vector<RankPolicy>& ranks,
                 const std::vector<KindPolicy>& kinds, size_t limit);

  struct PushResult {
    bool queued = false;
    std::optional<WorkId> evicted;
  };
  PushResult Push(const QueuedWork& item);

  // Puts an item back at the head of its kind, even if the lane is full.
  void PushFront(const QueuedWork& item);

  std::optional<QueuedWork> Pop(ServerRole server, const WorkFilter& filter);

  // Removes and returns the items whose deadline has passed.
  std::vector<WorkId> Expire(TimePoint now);
  bool Remove(WorkId work);
  // Removes and returns all items.
  std::vector<WorkId> Drain();

  size_t size() const { return size_; }
  // Returns the number of items in the lane of this rank and of more urgent
  // ranks.
  size_t CountUpTo(Rank rank, Lane lane) const;

 private:
  struct KindQueue {
    std::deque<QueuedWork> items;
    double weight = 1;
    double virtual_time = 0;
  };
  struct RankQueue {
    std::map<KindId, KindQueue> kinds;
    size_t size = 0;
    std::array<size_t, kLanes> lane_size = {};
    double virtual_time = 0;
    double floor_share = 0;
    std::array<double, kServerRoles> credit = {};
  };

  RankQueue& FindOrAddRank(Rank rank);
  KindQueue& FindOrAddKind(const QueuedWork& item);
  std::vector<size_t> ServiceOrder(ServerRole server) const;
  std::optional<QueuedWork> PopFrom(RankQueue* rank, bool earned,
                                    const WorkFilter& filter);
  void UpdateCredits(ServerRole server, size_t served);
  void UpdateCounts(const QueuedWork& item, int sign);
  std::optional<WorkId> EvictFor(const QueuedWork& incoming);
  std::optional<WorkId> EvictFromLongestKind(RankQueue* rank, Lane lane,
                                             size_t at_least);
  size_t LaneSize(Lane lane) const;

  std::vector<RankQueue> ranks_;
  std::map<KindId, double> weights_;
  size_t limit_ = 1;
  size_t size_ = 0;
};

}  // namespace fireflycart

#endif  // FIREFLYCART_CORE_ADMISSION_QUEUE_H_
