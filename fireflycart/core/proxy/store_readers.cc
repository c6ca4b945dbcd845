// Every VM orders the VMs by rank and counts those before itself.

#include "fireflycart/core/proxy/store_readers.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "fireflycart/core/proxy/vm_ring.h"

namespace fireflycart::proxy {

StoreReaders ChooseStoreReaders(const VmId& self,
                                const std::vector<VmId>& with_store,
                                size_t without_store) {
  StoreReaders readers;
  readers.without_store = without_store;
  uint64_t own = RankOf(self);
  std::vector<std::pair<uint64_t, VmId>> before;
  for (const VmId& vm : with_store) {
    uint64_t rank = RankOf(vm);
    if (rank < own) before.emplace_back(rank, vm);
  }
  std::sort(before.begin(), before.end());
  size_t position = before.size();
  before.resize(std::min(position, kStoreReaders + kNextStoreReaders));
  for (auto& item : before) readers.before.push_back(std::move(item.second));
  // An outage that affects some readers may affect the next ones, too.
  size_t limit = std::min(kStoreReaders + without_store, kMaxStoreReaders);
  readers.has_self = position < limit;
  bool is_next =
      position >= kStoreReaders && position < kStoreReaders + kNextStoreReaders;
  if (is_next) readers.watched = readers.before[position % kStoreReaders];
  return readers;
}

}  // namespace fireflycart::proxy
