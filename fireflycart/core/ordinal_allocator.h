// Obtains the ordinal that makes this VM's terms unique, ahead of need.
//
// The platform's table holds the next free ordinal. A VM takes a small block
// of them: one for itself, the others to lend to VMs that start while the
// platform is down.
//
//   keeper.OnTick(&context);
//   if (keeper.ordinal() != Ordinal()) MakeTerms(keeper.ordinal());
//
// Limits: an ordinal is given out once; what is lost on the way is never used.

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
  // Asks the platform, and after a failure also one of the peers.
  void OnTick(const Membership& membership, Context* context);

  // Gives one spare ordinal away; 0 if there is none.
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
  CallId loan_call_;
  uint64_t pending_block_start_ =
      0;  // First ordinal of the block being asked for.
  TimePoint next_try_;
  int failures_ = 0;
};

}  // namespace fireflycart

#endif  // FIREFLYCART_CORE_ORDINAL_ALLOCATOR_H_
