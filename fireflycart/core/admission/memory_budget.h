// One account of the memory that a process holds for those who connect to it:
// what was received and is not answered yet, and what is written and not sent.
// It decides who may receive a large message, who waits for that, and who has
// to go when the memory is short.
//
//   MemoryBudget budget(machine_bytes, &observer);
//   budget.Hold(&connection, buffered_bytes);       // after each change
//   if (!budget.Reserve(&connection, MemorySide::kCallers,
//                       MessageSize::kLarge, now)) {
//     StopReading();                                // until OnMayReceive()
//   }
//   budget.Release(&connection);                    // the message is answered
//   budget.Remove(&connection);                     // before its destruction
//
// The parts of the machine's memory: half is not accounted for (the program,
// its tables, the allocator's losses). The other half is divided among messages
// of medium and large size of callers, those of peers, and all the rest, the
// small holdings.
//
// Limits: one thread. A message of at most kSmallMessageBytes needs no
// reservation. Bytes count as held, copies of them in the program included.

#ifndef FIREFLYCART_CORE_ADMISSION_MEMORY_BUDGET_H_
#define FIREFLYCART_CORE_ADMISSION_MEMORY_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <set>
#include <string>
#include <utility>

#include "fireflycart/core/clock.h"

namespace fireflycart {

// Callers and peers reserve from separate parts: a caller's message may wait at
// a peer, and the peer's must not wait for callers in turn.
enum class MemorySide { kCallers, kPeers };
constexpr size_t kMemorySides = 2;

enum class MessageSize { kSmall, kMedium, kLarge };
constexpr size_t kMessageSizes = 3;

constexpr size_t kSmallMessageBytes = size_t{16} << 10;
constexpr size_t kMediumMessageBytes = size_t{128} << 10;
constexpr size_t kLargeMessageBytes = size_t{1} << 20;

// A message that is passed on exists at most that often at a time: as it was
// received, as a statement, in a queue, encoded, and towards the receiver.
constexpr size_t kMessageCopies = 6;

// The size class of a message of so many bytes.
MessageSize MessageSizeOf(size_t bytes);

class MemoryBudget;

// Someone for whom memory is held, usually a connection.
class MemoryHolder {
 public:
  MemoryHolder() = default;
  virtual ~MemoryHolder() = default;
  MemoryHolder(const MemoryHolder&) = delete;
  MemoryHolder& operator=(const MemoryHolder&) = delete;

  // The reservation that it waits for is made. Called within a call for another
  // holder, so it only arranges to act later, as does OnMustGo().
  virtual void OnMayReceive() = 0;
  // It has to give up all that it holds, and is counted as gone from now on.
  virtual void OnMustGo() = 0;
  // For the log: who it is.
  virtual std::string Describe() const = 0;

 private:
  friend class MemoryBudget;

  size_t held_ = 0;
  MemorySide side_ = MemorySide::kCallers;
  MessageSize reserved_ = MessageSize::kSmall;
  MessageSize awaited_ = MessageSize::kSmall;  // kSmall: none.
  size_t received_ = 0;  // Of the message that is received.
  size_t received_at_reserve_ = 0;
  bool is_receiving_ = false;  // Its reserved message is not complete.
  bool must_go_ = false;
  TimePoint reserved_at_;
  std::list<MemoryHolder*>::iterator place_;  // Of its reservation.
};

// Limits that a holder can meet.
enum class MemoryLimit {
  kWaits,     // For its turn to send a message of more than small size.
  kTooSlow,   // Had its turn for too long while others wait; must go.
  kHeldMost,  // Held most when the memory was short; must go.
};
constexpr size_t kMemoryLimits = 3;

// Name of a limit in logs and metrics.
const char* MemoryLimitName(MemoryLimit limit);

// Is told of each limit that was met.
class MemoryObserver {
 public:
  virtual ~MemoryObserver() = default;
  virtual void OnLimitMet(MemoryLimit limit, const MemoryHolder& holder,
                          size_t held) = 0;
};

class MemoryBudget {
 public:
  // Who receives a message more slowly than that after this time has to go
  // while others wait for a reservation. A message of 1 MiB over 2 Mbit/s is
  // faster.
  static constexpr Duration kReceiveTime = Duration::Seconds(2);
  static constexpr int64_t kLeastBytesPerMilli = 64;
  // A holder of less never has to go.
  static constexpr size_t kFreeHoldingBytes = size_t{8} << 10;

  // The observer may be null.
  MemoryBudget(size_t machine_bytes, MemoryObserver* observer);

  // What the holder holds in all now. Holders that hold most have to go while
  // the sum is above the part of small holdings. What the holder has reserved
  // is not counted again.
  void Hold(MemoryHolder* holder, size_t bytes);

  // Reserves room for one message of that size, in place of a smaller one.
  // Returns false if it has to wait for OnMayReceive().
  bool Reserve(MemoryHolder* holder, MemorySide side, MessageSize size,
               TimePoint now);
  // So much of the incomplete message was received; told before Reserve().
  void OnProgress(MemoryHolder* holder, size_t bytes) {
    holder->received_ = bytes;
  }
  // The message is complete; from now on it ends with its answer.
  void OnReceived(MemoryHolder* holder) { holder->is_receiving_ = false; }
  // Gives the reservation back, or the place in the queue. What the holder
  // still holds has to be told by Hold().
  void Release(MemoryHolder* holder, TimePoint now);
  // The holder is gone.
  void Remove(MemoryHolder* holder, TimePoint now);

  // To be called from time to time while has_waiting(): ends the turns of those
  // that receive their message too slowly, unless they wait themselves.
  void EndSlowTurns(TimePoint now);
  bool has_waiting() const { return waiting_ > 0; }

  bool HasReservation(const MemoryHolder& holder) const {
    return holder.reserved_ != MessageSize::kSmall;
  }
  bool IsWaiting(const MemoryHolder& holder) const {
    return holder.awaited_ != MessageSize::kSmall;
  }
  size_t held() const { return held_; }
  size_t holdings_limit() const { return holdings_limit_; }
  uint64_t count(MemoryLimit limit) const {
    return counts_[static_cast<size_t>(limit)];
  }

 private:
  struct Pool {
    size_t slots = 1;
    std::list<MemoryHolder*> holders;
    std::list<MemoryHolder*> waiting;
  };

  Pool& PoolOf(MemorySide side, MessageSize size) {
    return pools_[static_cast<size_t>(side)][static_cast<size_t>(size)];
  }
  void Count(MemoryHolder* holder, size_t bytes);
  void DismissLargest();
  void Dismiss(MemoryHolder* holder, MemoryLimit limit);
  void LeavePool(MemoryHolder* holder, TimePoint now);
  void LeaveQueue(MemoryHolder* holder);
  void Admit(Pool* pool, MemoryHolder* holder, MessageSize size, TimePoint now);
  void AdmitWaiting(Pool* pool, MessageSize size, TimePoint now);
  void Tell(MemoryLimit limit, const MemoryHolder& holder);

  MemoryObserver* observer_;
  size_t holdings_limit_;
  size_t held_ = 0;  // Without the holders that have a reservation or must go.
  std::set<std::pair<size_t, MemoryHolder*>> large_holders_;
  std::array<std::array<Pool, kMessageSizes>, kMemorySides> pools_;
  size_t waiting_ = 0;
  std::array<uint64_t, kMemoryLimits> counts_{};
};

}  // namespace fireflycart

#endif  // FIREFLYCART_CORE_ADMISSION_MEMORY_BUDGET_H_
