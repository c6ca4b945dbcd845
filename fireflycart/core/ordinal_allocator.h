// Obtains the ordinal that makes this VM's terms unique before it is needed.
//
// The platform's table stores the next free ordinal. A VM allocates a small
// block of them: one for itself, the others to give to VMs that start while the
// platform is down.
//
//   allocator.OnTick(membership, &context);
//   if (allocator.ordinal() != Ordinal()) terms = TermSource(...);
//
// Limits: an ordinal is given out at most once; one that is lost in transit is
// never used.

#ifndef FIREFLYCART_CORE_ORDINAL_ALLOCATOR_H_
#define FIREFLYCART_CORE_ORDINAL_ALLOCATOR_H_

#include <vector>

#include "fireflycart/core/clock.h"
#include "fireflycart/core/context.h"
#include "fireflycart/core/event.h"
#include "fireflycart/core/ids.h"
#include "fireflycart/core/membership.h"

namespace fireflycart {

class OrdinalAllocator {
 public:
  // Requests ordinals from the platform, and after a failure also one from a
  // peer.
  void OnTick(const Membership& membership, Context* context);

  // Removes and returns a spare ordinal, to be given to a peer; 0 if there is
  // none.
  Ordinal TakeSpare();

  bool OnPeerReplied(const PeerReplied& reply);
  bool OnPlatformReplied(const PlatformReplied& reply, Context* context);

  Ordinal ordinal() const { return ordinal_; }
  size_t spare() const { return spare_.size(); }

 private:
  bool HasEnough() const;
  void ScheduleRetry(Context* context);

  Ordinal ordinal_;
  std::vector<Ordinal> spare_;
  CallId read_call_;
  CallId grant_call_;
  CallId spare_call_;
  uint64_t pending_block_start_ = 0;  // First ordinal of the requested block.
  TimePoint next_try_;
  int failures_ = 0;
};

}  // namespace fireflycart

#endif  // FIREFLYCART_CORE_ORDINAL_ALLOCATOR_H_
