// Which VMs follow the platform's store on behalf of all, from the view of one
// VM.
//
//   StoreReaders readers = ChooseStoreReaders(self, vms_with_store, 0);
//   if (readers.has_self) FollowTheStore();
//
// A VM cannot infer that a reader is alive: most VMs have no other dealings
// with it. So each of the VMs next in rank watches one reader.
//
// Limits: views of two VMs may differ, so more or fewer VMs than kStoreReaders
// may follow the store at a time.

#ifndef FIREFLYCART_CORE_PROXY_STORE_READERS_H_
#define FIREFLYCART_CORE_PROXY_STORE_READERS_H_

#include <cstddef>
#include <vector>

#include "fireflycart/core/ids.h"

namespace fireflycart::proxy {

// VMs that follow the store if all of them reach it.
constexpr size_t kStoreReaders = 3;
// VMs that are notified at once when a VM loses or regains the store: those
// that follow it next. Twice the readers, as some may be cut off, too.
constexpr size_t kNextStoreReaders = 2 * kStoreReaders;
// Limit of the VMs that follow by rank while some do not reach the store.
constexpr size_t kMaxStoreReaders = 2 * kStoreReaders;

struct StoreReaders {
  bool has_self = false;
  // The VMs that reach the store and come before this one, by rank; only the
  // first kStoreReaders + kNextStoreReaders of them.
  std::vector<VmId> before;
  // The reader that this VM probes; empty unless it is among the next
  // kNextStoreReaders. Each reader is watched by two VMs.
  VmId watched;
  size_t without_store = 0;  // Usable VMs that do not reach the store.
};

// The first kStoreReaders that reach the store follow it, and one more for each
// VM that is known not to reach it, up to kMaxStoreReaders.
StoreReaders ChooseStoreReaders(const VmId& self,
                                const std::vector<VmId>& with_store,
                                size_t without_store);

}  // namespace fireflycart::proxy

#endif  // FIREFLYCART_CORE_PROXY_STORE_READERS_H_
