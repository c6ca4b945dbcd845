// Caches the outcome of each write by its request key, so that a repeated
// request gets the first outcome at once and duplicates never run concurrently.
//
//   if (const Answer* first = outcomes.FindDone(key)) return *first;
//   if (outcomes.IsRunning(key)) outcomes.Join(key, work); else
//     outcomes.Start(key);
//   for (WorkId joined : outcomes.Finish(key, answer)) Answer(joined);
//
// Limits: running keys are never evicted. Beyond `capacity` finished keys, the
// oldest ones are evicted; the upstream still stores their results.

#ifndef FIREFLYCART_CORE_OUTCOME_CACHE_H_
#define FIREFLYCART_CORE_OUTCOME_CACHE_H_

#include <cstddef>
#include <deque>
#include <map>
#include <vector>

#include "fireflycart/core/ids.h"
#include "fireflycart/core/request.h"

namespace fireflycart {

class OutcomeCache {
 public:
  explicit OutcomeCache(size_t capacity) : capacity_(capacity) {}

  const Answer* FindDone(const RequestKey& key) const;
  bool IsRunning(const RequestKey& key) const;

  bool HasJoined(const RequestKey& key) const;

  void Start(const RequestKey& key);
  void Join(const RequestKey& key, WorkId work);

  // Ends a running key and returns the work items that joined it. The answer is
  // cached only if its outcome is kDone.
  std::vector<WorkId> Finish(const RequestKey& key, const Answer& answer);

  void Clear();
  size_t size() const { return done_.size() + running_.size(); }

 private:
  size_t capacity_;
  std::map<RequestKey, std::vector<WorkId>> running_;
  std::map<RequestKey, Answer> done_;
  std::deque<RequestKey> eviction_order_;
};

}  // namespace fireflycart

#endif  // FIREFLYCART_CORE_OUTCOME_CACHE_H_
