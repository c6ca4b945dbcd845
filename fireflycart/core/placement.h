// Which VM should coordinate each group, and which one is known to do so.
//
// The choice is only a matter of performance: two VMs may believe in two
// choices for a while, and terms keep that safe.
//
//   placement.Recompute(groups, membership.Usable());
//   VmId chosen = placement.Chosen(group);
//   VmId leader = placement.Leader(group);
//
// Cost: one hash for each pair of group and VM of its data centres, on changes
// of membership or configuration only.

#ifndef FIREFLYCART_CORE_PLACEMENT_H_
#define FIREFLYCART_CORE_PLACEMENT_H_

#include <map>
#include <vector>

#include "fireflycart/core/configuration.h"
#include "fireflycart/core/dissemination_queue.h"
#include "fireflycart/core/ids.h"
#include "fireflycart/core/peer_message.h"

namespace fireflycart {

// The VM with the highest score for the group. VMs in a data centre of the
// group's upstreams go first. Empty if there is no VM.
VmId ChooseCoordinator(const GroupPolicy& group,
                       const std::vector<MemberUpdate>& usable);

class Placement {
 public:
  void Recompute(const std::vector<GroupPolicy>& groups,
                 const std::vector<MemberUpdate>& usable);

  VmId AssignedVm(const GroupId& group) const;

  // Takes in who leads a group. A lower term than the known one is ignored.
  void UpdateLeader(const LeaderUpdate& update);
  // Takes a hint in the term that is known already; it is not passed on.
  void SetLeaderHint(const GroupId& group, const VmId& coordinator);
  // Forgets a leader that says it does not coordinate the group.
  void ClearLeader(const GroupId& group, const VmId& coordinator);
  VmId Leader(const GroupId& group) const;
  Term LeaderTerm(const GroupId& group) const;

  std::vector<LeaderUpdate> TakeUpdates(size_t fleet_size);

 private:
  std::map<GroupId, VmId> assigned_;
  std::map<GroupId, LeaderUpdate> leaders_;
  DisseminationQueue<GroupId, LeaderUpdate> queue_;
};

}  // namespace fireflycart

#endif  // FIREFLYCART_CORE_PLACEMENT_H_
