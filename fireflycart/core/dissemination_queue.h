// Holds updates that have to reach every VM and returns a few of them for each
// ping, those sent least often first. An update leaves the queue after a
// number of sends that grows with the logarithm of the fleet size, which is
// enough for an epidemic protocol to reach every member with high probability
// (Das, Gupta, Motivala: SWIM, 2002, section 4.1).
//
//   DisseminationQueue<VmId, MemberUpdate> queue;
//   queue.Put(update.vm, update);
//   std::vector<MemberUpdate> sent = queue.Take(6, fleet_size);
//
// Limits: the queue holds one update per key; a newer one replaces the older.

#ifndef FIREFLYCART_CORE_DISSEMINATION_QUEUE_H_
#define FIREFLYCART_CORE_DISSEMINATION_QUEUE_H_

#include <algorithm>
#include <cstddef>
#include <map>
#include <vector>

namespace fireflycart {

template <typename Key, typename Update>
class DisseminationQueue {
 public:
  void Put(const Key& key, const Update& update) {
    entries_[key] = Entry{update, 0};
  }

  // Returns at most max_count updates and counts each as sent once more.
  std::vector<Update> Take(size_t max_count, size_t fleet_size) {
    std::vector<typename Map::iterator> order;
    for (auto it = entries_.begin(); it != entries_.end(); ++it) {
      order.push_back(it);
    }
    std::stable_sort(order.begin(), order.end(), [](auto a, auto b) {
      return a->second.sends < b->second.sends;
    });
    if (order.size() > max_count) order.resize(max_count);
    std::vector<Update> taken;
    for (auto it : order) {
      taken.push_back(it->second.update);
      it->second.sends++;
      if (it->second.sends >= SendLimit(fleet_size)) entries_.erase(it);
    }
    return taken;
  }

  size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    Update update;
    int sends = 0;
  };
  using Map = std::map<Key, Entry>;

  // Sends per doubling of the fleet size.
  static constexpr int kSendsPerDoubling = 4;

  static int SendLimit(size_t fleet_size) {
    int log2 = 1;
    while ((size_t{1} << log2) < fleet_size + 1) log2++;
    return kSendsPerDoubling * log2;
  }

  Map entries_;
};

}  // namespace fireflycart

#endif  // FIREFLYCART_CORE_DISSEMINATION_QUEUE_H_
