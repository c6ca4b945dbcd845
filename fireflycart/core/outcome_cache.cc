// Finished keys are evicted in the order in which they finished.

#include "fireflycart/core/outcome_cache.h"

#include <utility>

namespace fireflycart {

const Answer* OutcomeCache::FindDone(const RequestKey& key) const {
  auto found = done_.find(key);
  return found == done_.end() ? nullptr : &found->second;
}

bool OutcomeCache::IsRunning(const RequestKey& key) const {
  return running_.count(key) != 0;
}

bool OutcomeCache::HasJoined(const RequestKey& key) const {
  auto found = running_.find(key);
  return found != running_.end() && !found->second.empty();
}

void OutcomeCache::Start(const RequestKey& key) { running_[key]; }

void OutcomeCache::Join(const RequestKey& key, WorkId work) {
  running_[key].push_back(work);
}

std::vector<WorkId> OutcomeCache::Finish(const RequestKey& key,
                                         const Answer& answer) {
  std::vector<WorkId> joined;
  auto found = running_.find(key);
  if (found != running_.end()) {
    joined = std::move(found->second);
    running_.erase(found);
  }
  if (answer.outcome != Outcome::kDone) return joined;
  if (done_.emplace(key, answer).second) eviction_order_.push_back(key);
  while (eviction_order_.size() > capacity_) {
    done_.erase(eviction_order_.front());
    eviction_order_.pop_front();
  }
  return joined;
}

void OutcomeCache::Clear() {
  running_.clear();
  done_.clear();
  eviction_order_.clear();
}

}  // namespace fireflycart
