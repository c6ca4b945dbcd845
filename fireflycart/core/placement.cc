// Rendezvous hashing (Thaler and Ravishankar, 1998): each VM scores each group
// by a hash of both names and the highest score wins. When a VM leaves, only
// its own groups move, and they spread evenly over the others.

#include "fireflycart/core/placement.h"

#include <xxhash.h>

#include <set>
#include <string>

namespace fireflycart {
namespace {

constexpr size_t kLeadersPerPing = 6;

uint64_t Score(const GroupId& group, const VmId& vm) {
  uint64_t seed = XXH3_64bits(group.value().data(), group.value().size());
  return XXH3_64bits_withSeed(vm.value().data(), vm.value().size(), seed);
}

}  // namespace

VmId ChooseCoordinator(const GroupPolicy& group,
                       const std::vector<MemberUpdate>& usable) {
  std::set<DataCentreId> near;
  for (const UpstreamPolicy& upstream : group.upstreams) {
    near.insert(upstream.data_centre);
  }
  VmId best;
  uint64_t best_score = 0;
  bool best_is_near = false;
  for (const MemberUpdate& vm : usable) {
    bool is_near = near.count(vm.data_centre) != 0;
    if (best_is_near && !is_near) continue;
    uint64_t score = Score(group.id, vm.vm);
    bool better =
        best == VmId() || (is_near && !best_is_near) || score > best_score;
    if (!better) continue;
    best = vm.vm;
    best_score = score;
    best_is_near = is_near;
  }
  return best;
}

void Placement::Recompute(const std::vector<GroupPolicy>& groups,
                          const std::vector<MemberUpdate>& usable) {
  chosen_.clear();
  for (const GroupPolicy& group : groups) {
    chosen_[group.id] = ChooseCoordinator(group, usable);
  }
}

VmId Placement::Chosen(const GroupId& group) const {
  auto found = chosen_.find(group);
  return found == chosen_.end() ? VmId() : found->second;
}

void Placement::LearnLeader(const LeaderUpdate& update) {
  LeaderUpdate& known = leaders_[update.group];
  if (update.term <= known.term) return;
  known = update;
  queue_.Put(update.group, update);
}

void Placement::HintLeader(const GroupId& group, const VmId& coordinator) {
  leaders_[group].coordinator = coordinator;
}

void Placement::ForgetLeader(const GroupId& group, const VmId& coordinator) {
  auto found = leaders_.find(group);
  if (found == leaders_.end()) return;
  // The term stays, so that gossip of the old leader does not bring it back.
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
  return queue_.Take(kLeadersPerPing, fleet_size);
}

}  // namespace fireflycart
