// Weighted rendezvous hashing (Schindelhauer and Schomaker, 2005): a VM's score
// for a group is -weight / ln(hash), and the highest score wins. A VM takes at
// most its share of the groups, rounded up, so that a few groups on many VMs
// are not placed on one VM. Weak VMs own none as long as the strong ones can
// own all groups: hashing alone would place most of a few groups on the many
// weak VMs.

#include "fireflycart/core/proxy/group_placement.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace fireflycart::proxy {
namespace {

// Groups that a strong VM may own before weak ones own some. The busiest owner
// of one group used 6% of a core in the users' benchmark; strong VMs have 50%.
constexpr size_t kMaxGroupsPerStrongVm = 4;

double Score(const GroupId& group, const VmRecord& vm) {
  uint64_t seed = XXH3_64bits(group.value().data(), group.value().size());
  uint64_t hash =
      XXH3_64bits_withSeed(vm.vm.value().data(), vm.vm.value().size(), seed);
  constexpr double kHashRange = 9007199254740992.0;  // 2^53, exact in a double.
  double uniform = (static_cast<double>(hash >> 11) + 0.5) / kHashRange;
  return -static_cast<double>(std::max(vm.cpu_permille, 1)) / std::log(uniform);
}

// The strong VMs, which have at least half the CPU share of the largest VM, if
// they are enough for the groups; else all VMs.
std::vector<VmRecord> Candidates(size_t groups,
                                 const std::vector<VmRecord>& vms) {
  int max_cpu_permille = 0;
  for (const VmRecord& vm : vms) {
    max_cpu_permille = std::max(max_cpu_permille, vm.cpu_permille);
  }
  std::vector<VmRecord> strong;
  for (const VmRecord& vm : vms) {
    if (2 * vm.cpu_permille >= max_cpu_permille) strong.push_back(vm);
  }
  return groups <= kMaxGroupsPerStrongVm * strong.size() ? strong : vms;
}

}  // namespace

std::map<GroupId, VmId> PlaceGroups(const std::vector<GroupId>& groups,
                                    const std::vector<VmRecord>& all) {
  std::vector<VmRecord> vms = Candidates(groups.size(), all);
  double total = 0;
  for (const VmRecord& vm : vms) total += std::max(vm.cpu_permille, 1);
  std::map<VmId, int> remaining;
  for (const VmRecord& vm : vms) {
    double share = std::max(vm.cpu_permille, 1) / total;
    remaining[vm.vm] =
        static_cast<int>(std::ceil(share * static_cast<double>(groups.size())));
  }
  std::map<GroupId, VmId> owners;
  for (const GroupId& group : groups) {
    const VmRecord* best = nullptr;
    double best_score = 0;
    for (const VmRecord& vm : vms) {
      if (remaining[vm.vm] <= 0) continue;
      double score = Score(group, vm);
      if (best != nullptr && score <= best_score) continue;
      best = &vm;
      best_score = score;
    }
    if (best == nullptr) continue;
    remaining[best->vm]--;
    owners[group] = best->vm;
  }
  return owners;
}

}  // namespace fireflycart::proxy
