// Assigns each group to the VM that should coordinate it, and records which VM
// coordinates it at present.
//
// The assignment affects performance only: two VMs may compute different
// assignments for a while, which is safe because of the terms.
//
//   placement.Recompute(groups, membership.Usable());
//   VmId assigned = placement.AssignedVm(group);
//   VmId leader = placement.Leader(group);
//
// Cost: at most one hash per pair of group and usable VM, on changes of
// membership or configuration only. VMs outside the group's data centres are
// skipped once one inside has been found.

#ifndef FIREFLYCART_CORE_PLACEMENT_H_
#define FIREFLYCART_CORE_PLACEMENT_H_

#include <map>
#include <vector>

#include "fireflycart/core/configuration.h"
#include "fireflycart/core/dissemination_queue.h"
#include "fireflycart/core/ids.h"
#include "fireflycart/core/peer_message.h"

namespace fireflycart {

// Returns the VM with the highest score for the group. VMs in a data centre of
// the group's upstreams take precedence. Empty if no VM is usable.
VmId ChooseCoordinator(const GroupPolicy& group,
                       const std::vector<MemberUpdate>& usable);

class Placement {
 public:
  void Recompute(const std::vector<GroupPolicy>& groups,
                 const std::vector<MemberUpdate>& usable);

  // VM that should coordinate the group; empty if there is none.
  VmId AssignedVm(const GroupId& group) const;

  // Records the leader of a group. An update in the recorded term or a lower
  // one is ignored.
  void UpdateLeader(const LeaderUpdate& update);
  // Records a leader without changing the recorded term. A hint is not
  // disseminated.
  void SetLeaderHint(const GroupId& group, const VmId& coordinator);
  // Removes a leader that has reported that it does not coordinate the group.
  void ClearLeader(const GroupId& group, const VmId& coordinator);
  // Empty if no leader is recorded.
  VmId Leader(const GroupId& group) const;
  Term LeaderTerm(const GroupId& group) const;

  // Updates for the next gossip message.
  std::vector<LeaderUpdate> TakeUpdates(size_t fleet_size);

 private:
  std::map<GroupId, VmId> assigned_;
  std::map<GroupId, LeaderUpdate> leaders_;
  DisseminationQueue<GroupId, LeaderUpdate> queue_;
};

}  // namespace fireflycart

#endif  // FIREFLYCART_CORE_PLACEMENT_H_
