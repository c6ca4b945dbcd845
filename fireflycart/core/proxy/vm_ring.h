// A fixed order of VMs by the hash of their names, the same on every VM.
//
//   std::vector<VmId> contacts = ContactsOf(self, usable_vms);
//
// A VM has few contacts, and an update that each VM forwards to its contacts
// reaches all VMs in as many steps as a VM has contacts.

#ifndef FIREFLYCART_CORE_PROXY_VM_RING_H_
#define FIREFLYCART_CORE_PROXY_VM_RING_H_

#include <cstdint>
#include <vector>

#include "fireflycart/core/proxy/route.h"

namespace fireflycart::proxy {

// The position of a VM in the order.
uint64_t RankOf(const VmId& vm);

// The VMs at distances 1, 2, 4 and so on after this one, where the first VM
// follows the last.
std::vector<VmId> ContactsOf(const VmId& self,
                             const std::vector<VmRecord>& vms);

}  // namespace fireflycart::proxy

#endif  // FIREFLYCART_CORE_PROXY_VM_RING_H_
