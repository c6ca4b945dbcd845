// Order between ranks: strictly by rank, except that each rank with queued
// items earns its floor share as credit at every dispatch. A rank with at least
// one unit of credit is served first, which costs one unit. Credit is capped,
// so an idle rank cannot accumulate a burst.
//
// Order within a rank: start-time fair queueing (Goyal, Vin, Cheng, 1996). Each
// kind has a virtual time that grows by 1/weight for each item served; the kind
// with the lowest virtual time is served next. A kind that was empty starts at
// the rank's virtual time, so an idle period gives it no advantage.

#include "fireflycart/core/admission_queue.h"

#include <algorithm>
#include <utility>

namespace fireflycart {
namespace {

constexpr double kMaxCredit = 2;  // In dispatches.
// Number of items of one kind that Pop() offers to the filter.
constexpr size_t kMaxScannedItems = 32;

}  // namespace

void AdmissionQueue::Configure(const std::vector<RankPolicy>& ranks,
                               const std::vector<KindPolicy>& kinds,
                               size_t limit) {
  limit_ = limit;
  if (ranks_.size() < ranks.size()) ranks_.resize(ranks.size());
  for (size_t i = 0; i < ranks.size(); i++) {
    ranks_[i].floor_share = ranks[i].floor_share;
  }
  weights_.clear();
  for (const KindPolicy& kind : kinds) weights_[kind.id] = kind.weight;
  for (RankQueue& rank : ranks_) {
    for (auto& item : rank.kinds) {
      auto found = weights_.find(item.first);
      if (found != weights_.end()) item.second.weight = found->second;
    }
  }
}

AdmissionQueue::PushResult AdmissionQueue::Push(const QueuedWork& item) {
  PushResult result;
  if (LaneSize(item.lane) >= limit_) {
    result.evicted = EvictFor(item);
    if (!result.evicted) return result;
  }
  FindOrAddKind(item).items.push_back(item);
  UpdateCounts(item, 1);
  result.queued = true;
  return result;
}

void AdmissionQueue::PushFront(const QueuedWork& item) {
  FindOrAddKind(item).items.push_front(item);
  UpdateCounts(item, 1);
}

std::optional<QueuedWork> AdmissionQueue::Pop(ServerRole server,
                                              const WorkFilter& filter) {
  for (size_t index : ServiceOrder(server)) {
    bool earned = ranks_[index].credit[static_cast<size_t>(server)] >= 1;
    std::optional<QueuedWork> item = PopFrom(&ranks_[index], earned, filter);
    if (!item) continue;
    UpdateCounts(*item, -1);
    UpdateCredits(server, index);
    return item;
  }
  return std::nullopt;
}

std::vector<WorkId> AdmissionQueue::Expire(TimePoint now) {
  std::vector<WorkId> expired;
  for (RankQueue& rank : ranks_) {
    for (auto& entry : rank.kinds) {
      auto& items = entry.second.items;
      auto is_late = [&](const QueuedWork& item) {
        if (item.deadline > now) return false;
        expired.push_back(item.work);
        UpdateCounts(item, -1);
        return true;
      };
      items.erase(std::remove_if(items.begin(), items.end(), is_late),
                  items.end());
    }
  }
  return expired;
}

bool AdmissionQueue::Remove(WorkId work) {
  for (RankQueue& rank : ranks_) {
    for (auto& entry : rank.kinds) {
      auto& items = entry.second.items;
      auto found =
          std::find_if(items.begin(), items.end(),
                       [&](const QueuedWork& i) { return i.work == work; });
      if (found == items.end()) continue;
      UpdateCounts(*found, -1);
      items.erase(found);
      return true;
    }
  }
  return false;
}

std::vector<WorkId> AdmissionQueue::Drain() {
  std::vector<WorkId> all;
  for (RankQueue& rank : ranks_) {
    for (auto& entry : rank.kinds) {
      for (const QueuedWork& item : entry.second.items) {
        all.push_back(item.work);
      }
      entry.second.items.clear();
    }
    rank.size = 0;
    rank.lane_size = {};
  }
  size_ = 0;
  return all;
}

size_t AdmissionQueue::CountUpTo(Rank rank, Lane lane) const {
  size_t count = 0;
  for (size_t i = 0; i < ranks_.size(); i++) {
    if (static_cast<int>(i) <= rank.value()) {
      count += ranks_[i].lane_size[static_cast<size_t>(lane)];
    }
  }
  return count;
}

AdmissionQueue::RankQueue& AdmissionQueue::FindOrAddRank(Rank rank) {
  size_t index = static_cast<size_t>(std::max(0, rank.value()));
  if (index >= ranks_.size()) ranks_.resize(index + 1);
  return ranks_[index];
}

AdmissionQueue::KindQueue& AdmissionQueue::FindOrAddKind(
    const QueuedWork& item) {
  RankQueue& rank = FindOrAddRank(item.rank);
  auto inserted = rank.kinds.emplace(item.kind, KindQueue());
  KindQueue& kind = inserted.first->second;
  if (inserted.second) {
    auto weight = weights_.find(item.kind);
    if (weight != weights_.end()) kind.weight = weight->second;
  }
  if (kind.items.empty()) {
    kind.virtual_time = std::max(kind.virtual_time, rank.virtual_time);
  }
  return kind;
}

std::vector<size_t> AdmissionQueue::ServiceOrder(ServerRole server) const {
  auto at = static_cast<size_t>(server);
  std::vector<size_t> order;
  for (size_t i = 0; i < ranks_.size(); i++) {
    if (ranks_[i].size > 0 && ranks_[i].credit[at] >= 1) order.push_back(i);
  }
  for (size_t i = 0; i < ranks_.size(); i++) {
    if (ranks_[i].size > 0 && ranks_[i].credit[at] < 1) order.push_back(i);
  }
  return order;
}

std::optional<QueuedWork> AdmissionQueue::PopFrom(RankQueue* rank, bool earned,
                                                  const WorkFilter& filter) {
  std::vector<KindQueue*> order;
  for (auto& entry : rank->kinds) {
    if (!entry.second.items.empty()) order.push_back(&entry.second);
  }
  std::stable_sort(order.begin(), order.end(), [](auto* a, auto* b) {
    return a->virtual_time < b->virtual_time;
  });
  for (KindQueue* kind : order) {
    size_t scan = std::min(kMaxScannedItems, kind->items.size());
    for (size_t i = 0; i < scan; i++) {
      if (!filter.Accepts(kind->items[i], earned)) continue;
      QueuedWork item = kind->items[i];
      kind->items.erase(kind->items.begin() + static_cast<std::ptrdiff_t>(i));
      rank->virtual_time = std::max(rank->virtual_time, kind->virtual_time);
      kind->virtual_time += 1 / kind->weight;
      return item;
    }
  }
  return std::nullopt;
}

void AdmissionQueue::UpdateCredits(ServerRole server, size_t served) {
  auto at = static_cast<size_t>(server);
  for (size_t i = 0; i < ranks_.size(); i++) {
    RankQueue& rank = ranks_[i];
    bool waits = rank.size > 0 || i == served;
    if (!waits) {
      rank.credit[at] = 0;
      continue;
    }
    rank.credit[at] = std::min(kMaxCredit, rank.credit[at] + rank.floor_share);
  }
  double& charged = ranks_[served].credit[at];
  charged = std::max(0.0, charged - 1);
}

// Updates the sizes for an item that is added (sign 1) or removed (sign -1).
void AdmissionQueue::UpdateCounts(const QueuedWork& item, int sign) {
  RankQueue& rank = FindOrAddRank(item.rank);
  auto change = static_cast<size_t>(sign);  // Wraps around for -1.
  rank.size += change;
  rank.lane_size[static_cast<size_t>(item.lane)] += change;
  size_ += change;
}

size_t AdmissionQueue::LaneSize(Lane lane) const {
  size_t size = 0;
  for (const RankQueue& rank : ranks_) {
    size += rank.lane_size[static_cast<size_t>(lane)];
  }
  return size;
}

std::optional<WorkId> AdmissionQueue::EvictFor(const QueuedWork& incoming) {
  auto lane = static_cast<size_t>(incoming.lane);
  auto own = static_cast<size_t>(std::max(0, incoming.rank.value()));
  auto reserved = [&](const RankQueue& rank) {
    return rank.floor_share * static_cast<double>(limit_);
  };
  for (size_t i = ranks_.size(); i > own + 1; i--) {
    RankQueue& rank = ranks_[i - 1];
    auto size = static_cast<double>(rank.lane_size[lane]);
    if (size > reserved(rank) && rank.lane_size[lane] > 0) {
      return EvictFromLongestKind(&rank, incoming.lane, 1);
    }
  }
  RankQueue& rank = FindOrAddRank(incoming.rank);
  bool below_floor =
      static_cast<double>(rank.lane_size[lane]) < reserved(rank) && own > 0;
  if (below_floor) {
    // More urgent ranks occupy the places that this rank's floor reserves.
    for (size_t i = own; i > 0; i--) {
      if (ranks_[i - 1].lane_size[lane] > 0) {
        return EvictFromLongestKind(&ranks_[i - 1], incoming.lane, 1);
      }
    }
  }
  auto found = rank.kinds.find(incoming.kind);
  size_t own_kind_size =
      found == rank.kinds.end() ? 0 : found->second.items.size();
  return EvictFromLongestKind(&rank, incoming.lane, own_kind_size + 2);
}

// Evicts the newest item of the lane from the longest kind of the rank.
std::optional<WorkId> AdmissionQueue::EvictFromLongestKind(RankQueue* rank,
                                                           Lane lane,
                                                           size_t at_least) {
  KindQueue* longest = nullptr;
  for (auto& entry : rank->kinds) {
    KindQueue& kind = entry.second;
    bool has_lane =
        std::any_of(kind.items.begin(), kind.items.end(),
                    [&](const QueuedWork& item) { return item.lane == lane; });
    if (!has_lane) continue;
    bool longer =
        longest == nullptr ||
        static_cast<double>(kind.items.size()) / kind.weight >
            static_cast<double>(longest->items.size()) / longest->weight;
    if (longer) longest = &kind;
  }
  if (longest == nullptr || longest->items.size() < at_least) {
    return std::nullopt;
  }
  auto newest =
      std::find_if(longest->items.rbegin(), longest->items.rend(),
                   [&](const QueuedWork& item) { return item.lane == lane; });
  WorkId evicted = newest->work;
  UpdateCounts(*newest, -1);
  longest->items.erase(std::next(newest).base());
  return evicted;
}

}  // namespace fireflycart
