// Rendezvous hashing (Thaler and Ravishankar, 1998): the score of a VM for a
// group is a hash of both names, and the group is assigned to the VM with the
// highest score. When a VM leaves, only its own groups move, and they spread
// evenly over the remaining VMs.

#include "fireflycart/core/placement.h"

#include <xxhash.h>

#include <set>
#include <string>

namespace fireflycart {
namespace {

constexpr size_t kLeaderUpdatesPerPing = 6;

uint64_t Score(const GroupId& group, const VmId& vm) {
  uint64_t seed = XXH3_64bits(group.value().data(), group.value().size());
  return XXH3_64bits_withSeed(vm.value().data(), vm.value().size(), seed);
}

}  // namespace

VmId ChooseCoordinator(const GroupPolicy& group,
                       const std::vector<MemberUpdate>& usable) {
  std::set<DataCentreId> group_data_centres;
  for (const UpstreamPolicy& upstream : group.upstreams) {
    group_data_centres.insert(upstream.data_centre);
  }
  VmId best;
  uint64_t best_score = 0;
  bool best_is_local = false;
  for (const MemberUpdate& vm : usable) {
    bool is_local = group_data_centres.count(vm.data_centre) != 0;
    if (best_is_local && !is_local) continue;
    uint64_t score = Score(group.id, vm.vm);
    bool better =
        best == VmId() || (is_local && !best_is_local) || score > best_score;
    if (!better) continue;
    best = vm.vm;
    best_score = score;
    best_is_local = is_local;
  }
  return best;
}

void Placement::Recompute(const std::vector<GroupPolicy>& groups,
                          const std::vector<MemberUpdate>& usable) {
  assigned_.clear();
  for (const GroupPolicy& group : groups) {
    assigned_[group.id] = ChooseCoordinator(group, usable);
  }
}

VmId Placement::AssignedVm(const GroupId& group) const {
  auto found = assigned_.find(group);
  return found == assigned_.end() ? VmId() : found->second;
}

void Placement::UpdateLeader(const LeaderUpdate& update) {
  LeaderUpdate& known = leaders_[update.group];
  if (update.term <= known.term) return;
  known = update;
  queue_.Put(update.group, update);
}

void Placement::SetLeaderHint(const GroupId& group, const VmId& coordinator) {
  leaders_[group].coordinator = coordinator;
}

void Placement::ClearLeader(const GroupId& group, const VmId& coordinator) {
  auto found = leaders_.find(group);
  if (found == leaders_.end()) return;
  // The term stays, so that delayed gossip does not restore the old leader.
  if (found->second.coordinator == coordinator) {
    found->second.coordinator = VmId();
  }
}

VmId Placement::Leader(const GroupId& group) const {
  auto found = leaders_.find(group);
  return found == leaders_.end() ? VmId() : found->second.coordinator;
}

Term Placement::LeaderTerm(const GroupId& group) const {
  auto found = leaders_.find(group);
  return found == leaders_.end() ? Term() : found->second.term;
}

std::vector<LeaderUpdate> Placement::TakeUpdates(size_t fleet_size) {
  return queue_.Take(kLeaderUpdatesPerPing, fleet_size);
}

}  // namespace fireflycart
