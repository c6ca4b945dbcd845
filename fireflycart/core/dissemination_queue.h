// Keeps facts that have to reach every VM and hands out a few of them for each
// ping, those sent least often first. A fact leaves the queue after a number
// of sends that grows with the logarithm of the fleet, which is enough for an
// epidemic to reach every member with high probability (Das, Gupta, Motivala:
// SWIM, 2002, section 4.1).
//
//   DisseminationQueue<VmId, MemberUpdate> queue;
//   queue.Put(update.vm, update);
//   std::vector<MemberUpdate> sent = queue.Take(6, fleet_size);
//
// Limits: one fact for each key; a newer one replaces the older.

#ifndef FIREFLYCART_CORE_DISSEMINATION_QUEUE_H_
#define FIREFLYCART_CORE_DISSEMINATION_QUEUE_H_

#include <algorithm>
#include <cstddef>
#include <map>
#include <vector>

namespace fireflycart {

template <typename Key, typename Fact>
class DisseminationQueue {
 public:
  void Put(const Key& key, const Fact& fact) { facts_[key] = Entry{fact, 0}; }

  // At most `most` facts; each counts as sent once more.
  std::vector<Fact> Take(size_t most, size_t fleet_size) {
    std::vector<typename Map::iterator> order;
    for (auto it = facts_.begin(); it != facts_.end(); ++it) {
      order.push_back(it);
    }
    std::stable_sort(order.begin(), order.end(), [](auto a, auto b) {
      return a->second.sends < b->second.sends;
    });
    if (order.size() > most) order.resize(most);
    std::vector<Fact> taken;
    for (auto it : order) {
      taken.push_back(it->second.fact);
      it->second.sends++;
      if (it->second.sends >= SendLimit(fleet_size)) facts_.erase(it);
    }
    return taken;
  }

  size_t size() const { return facts_.size(); }

 private:
  struct Entry {
    Fact fact;
    int sends = 0;
  };
  using Map = std::map<Key, Entry>;

  static constexpr int kSendFactor = 4;

  static int SendLimit(size_t fleet_size) {
    int log2 = 1;
    while ((size_t{1} << log2) < fleet_size + 1) log2++;
    return kSendFactor * log2;
  }

  Map facts_;
};

}  // namespace fireflycart

#endif  // FIREFLYCART_CORE_DISSEMINATION_QUEUE_H_
