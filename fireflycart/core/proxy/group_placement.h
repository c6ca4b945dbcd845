// Places groups on VMs by weighted rendezvous hashing with bounded loads.
//
//   std::map<GroupId, VmId> owners = PlaceGroups(groups, usable_vms);
//
// VMs with the same list of usable VMs compute the same owners, without a
// message. When a VM is added or removed, few other groups move.
//
// Limits: the cost grows with groups times VMs.

#ifndef FIREFLYCART_CORE_PROXY_GROUP_PLACEMENT_H_
#define FIREFLYCART_CORE_PROXY_GROUP_PLACEMENT_H_

#include <map>
#include <vector>

#include "fireflycart/core/proxy/route.h"

namespace fireflycart::proxy {

// The owner of each group, with VMs weighted by their CPU shares; empty if
// there is no VM.
std::map<GroupId, VmId> PlaceGroups(const std::vector<GroupId>& groups,
                                    const std::vector<VmRecord>& all);

}  // namespace fireflycart::proxy

#endif  // FIREFLYCART_CORE_PROXY_GROUP_PLACEMENT_H_
