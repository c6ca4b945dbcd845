// As in a Chord ring (Stoica et al., 2001), distances that double reach any VM
// in log2(N) steps from any other.

#include "fireflycart/core/proxy/vm_ring.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace fireflycart::proxy {

uint64_t RankOf(const VmId& vm) {
  return XXH3_64bits(vm.value().data(), vm.value().size());
}

std::vector<VmId> ContactsOf(const VmId& self,
                             const std::vector<VmRecord>& vms) {
  std::vector<std::pair<uint64_t, VmId>> ring;
  ring.reserve(vms.size());
  for (const VmRecord& vm : vms) {
    if (vm.vm != self) ring.emplace_back(RankOf(vm.vm), vm.vm);
  }
  std::sort(ring.begin(), ring.end());
  auto next = std::upper_bound(ring.begin(), ring.end(),
                               std::make_pair(RankOf(self), self));
  auto start = static_cast<size_t>(next - ring.begin());
  std::vector<VmId> contacts;
  for (size_t distance = 1; distance <= ring.size(); distance *= 2) {
    contacts.push_back(ring[(start + distance - 1) % ring.size()].second);
  }
  return contacts;
}

}  // namespace fireflycart::proxy
