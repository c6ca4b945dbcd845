// A fixed order of VMs by the hash of their names, the same at each of them.
//
//   std::vector<VmId> contacts = ContactsOf(self, usable_vms);
//
// The contacts of a VM are few, and news that each VM passes on to its contacts
// reaches all VMs in as many steps as there are contacts.

#ifndef FIREFLYCART_CORE_PROXY_VM_RING_H_
#define FIREFLYCART_CORE_PROXY_VM_RING_H_

#include <cstdint>
#include <vector>

#include "fireflycart/core/proxy/route.h"

namespace fireflycart::proxy {

// The place of a VM in the order.
uint64_t RankOf(const VmId& vm);

// The VMs at distances 1, 2, 4 and so on behind this one, the order closed to a
// ring.
std::vector<VmId> ContactsOf(const VmId& self,
                             const std::vector<VmRecord>& vms);

}  // namespace fireflycart::proxy

#endif  // FIREFLYCART_CORE_PROXY_VM_RING_H_
