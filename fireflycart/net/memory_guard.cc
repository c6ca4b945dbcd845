// A turn is ended up to one period late, which is within what the receiver of a
// message may take.

#include "fireflycart/net/memory_guard.h"

#include <chrono>

namespace fireflycart {
namespace {

constexpr std::chrono::milliseconds kPeriod{250};

}  // namespace

bool MemoryGuard::Reserve(MemoryHolder* holder, MemorySide side,
                          MessageSize size) {
  bool may_receive = budget_.Reserve(holder, side, size, clock_->Now());
  if (!may_receive) EndSlowTurnsLater();
  return may_receive;
}

void MemoryGuard::EndSlowTurnsLater() {
  if (is_timer_set_ || !budget_.has_waiting()) return;
  is_timer_set_ = true;
  timer_.expires_after(kPeriod);
  timer_.async_wait([this](boost::system::error_code error) {
    is_timer_set_ = false;
    if (error) return;
    budget_.EndSlowTurns(clock_->Now());
    EndSlowTurnsLater();
  });
}

}  // namespace fireflycart
