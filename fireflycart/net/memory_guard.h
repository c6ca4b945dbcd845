// The memory budget of a process at run time: adds the clock, and a timer that
// runs only while a connection waits for its turn.
//
//   MemoryGuard memory(&io, &clock, machine_bytes, &observer);
//   memory.Hold(&connection, bytes);
//
// Limits: those of MemoryBudget.

#ifndef FIREFLYCART_NET_MEMORY_GUARD_H_
#define FIREFLYCART_NET_MEMORY_GUARD_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>

#include "fireflycart/core/admission/memory_budget.h"
#include "fireflycart/core/clock.h"

namespace fireflycart {

class MemoryGuard {
 public:
  // The observer may be null.
  MemoryGuard(boost::asio::io_context* io, const Clock* clock,
              size_t machine_bytes, MemoryObserver* observer)
      : clock_(clock), timer_(*io), budget_(machine_bytes, observer) {}

  void Hold(MemoryHolder* holder, size_t bytes) { budget_.Hold(holder, bytes); }
  bool Reserve(MemoryHolder* holder, MemorySide side, MessageSize size);
  void OnProgress(MemoryHolder* holder, size_t bytes) {
    budget_.OnProgress(holder, bytes);
  }
  void OnReceived(MemoryHolder* holder) { budget_.OnReceived(holder); }
  void Release(MemoryHolder* holder) { budget_.Release(holder, clock_->Now()); }
  void Remove(MemoryHolder* holder) { budget_.Remove(holder, clock_->Now()); }
  const MemoryBudget& budget() const { return budget_; }

 private:
  void EndSlowTurnsLater();

  const Clock* clock_;
  boost::asio::steady_timer timer_;
  MemoryBudget budget_;
  bool is_timer_set_ = false;
};

}  // namespace fireflycart

#endif  // FIREFLYCART_NET_MEMORY_GUARD_H_
