// Reservations cannot block each other for good: a large one is made from a
// pool of its own, also by the holder of a medium one, and who holds one either
// completes its message, whose answer ends it, or has to go once others wait.
//
// Only holders of more than kFreeHoldingBytes are kept in order of what they
// hold, so an ordinary connection costs two additions a message.

#include "fireflycart/core/admission/memory_budget.h"

#include <algorithm>
#include <vector>

namespace fireflycart {
namespace {

// Shares of the machine's memory: one part in so many.
constexpr size_t kPartHoldings = 5;
constexpr size_t kPartLargeMessages = 12;  // For callers, and for peers.
constexpr size_t kPartMediumMessages = 16;

}  // namespace

MessageSize MessageSizeOf(size_t bytes) {
  if (bytes > kMediumMessageBytes) return MessageSize::kLarge;
  return bytes > kSmallMessageBytes ? MessageSize::kMedium
                                    : MessageSize::kSmall;
}

const char* MemoryLimitName(MemoryLimit limit) {
  switch (limit) {
    case MemoryLimit::kWaits:
      return "waits";
    case MemoryLimit::kTooSlow:
      return "too_slow";
    case MemoryLimit::kHeldMost:
      return "held_most";
  }
  return "unknown";
}

MemoryBudget::MemoryBudget(size_t machine_bytes, MemoryObserver* observer)
    : observer_(observer), holdings_limit_(machine_bytes / kPartHoldings) {
  for (MemorySide side : {MemorySide::kCallers, MemorySide::kPeers}) {
    PoolOf(side, MessageSize::kMedium).slots =
        std::max<size_t>(1, machine_bytes / kPartMediumMessages /
                                (kMediumMessageBytes * kMessageCopies));
    PoolOf(side, MessageSize::kLarge).slots =
        std::max<size_t>(1, machine_bytes / kPartLargeMessages /
                                (kLargeMessageBytes * kMessageCopies));
  }
}

void MemoryBudget::Hold(MemoryHolder* holder, size_t bytes) {
  if (holder->must_go_) return;
  if (HasReservation(*holder)) {
    holder->held_ = bytes;
    return;
  }
  Count(holder, bytes);
  if (held_ > holdings_limit_) DismissLargest();
}

void MemoryBudget::Count(MemoryHolder* holder, size_t bytes) {
  if (holder->held_ > kFreeHoldingBytes) {
    large_holders_.erase({holder->held_, holder});
  }
  held_ = held_ - holder->held_ + bytes;
  holder->held_ = bytes;
  if (bytes > kFreeHoldingBytes) large_holders_.insert({bytes, holder});
}

void MemoryBudget::DismissLargest() {
  while (held_ > holdings_limit_ && !large_holders_.empty()) {
    Dismiss(large_holders_.rbegin()->second, MemoryLimit::kHeldMost);
  }
}

void MemoryBudget::Dismiss(MemoryHolder* holder, MemoryLimit limit) {
  Tell(limit, *holder);
  if (!HasReservation(*holder)) Count(holder, 0);
  holder->must_go_ = true;
  holder->OnMustGo();
}

bool MemoryBudget::Reserve(MemoryHolder* holder, MemorySide side,
                           MessageSize size, TimePoint now) {
  if (size <= holder->reserved_) return true;
  if (holder->must_go_ || holder->awaited_ != MessageSize::kSmall) return false;
  holder->side_ = side;
  Pool& pool = PoolOf(side, size);
  // The awaiting ones go first.
  if (pool.waiting.empty() && pool.holders.size() < pool.slots) {
    Admit(&pool, holder, size, now);
    return true;
  }
  // Meanwhile it keeps its place in the smaller pool, if it has one.
  holder->awaited_ = size;
  pool.waiting.push_back(holder);
  waiting_++;
  Tell(MemoryLimit::kWaits, *holder);
  return false;
}

void MemoryBudget::Admit(Pool* pool, MemoryHolder* holder, MessageSize size,
                         TimePoint now) {
  if (HasReservation(*holder)) {
    LeavePool(holder, now);
  } else {
    Count(holder, 0);
  }
  holder->reserved_ = size;
  holder->is_receiving_ = true;
  holder->reserved_at_ = now;
  holder->received_at_reserve_ = holder->received_;
  holder->place_ = pool->holders.insert(pool->holders.end(), holder);
}

void MemoryBudget::AdmitWaiting(Pool* pool, MessageSize size, TimePoint now) {
  while (!pool->waiting.empty() && pool->holders.size() < pool->slots) {
    MemoryHolder* holder = pool->waiting.front();
    pool->waiting.pop_front();
    waiting_--;
    holder->awaited_ = MessageSize::kSmall;
    Admit(pool, holder, size, now);
    holder->OnMayReceive();
  }
}

void MemoryBudget::LeavePool(MemoryHolder* holder, TimePoint now) {
  MessageSize size = holder->reserved_;
  Pool& pool = PoolOf(holder->side_, size);
  holder->reserved_ = MessageSize::kSmall;
  holder->is_receiving_ = false;
  pool.holders.erase(holder->place_);
  AdmitWaiting(&pool, size, now);
}

void MemoryBudget::LeaveQueue(MemoryHolder* holder) {
  if (holder->awaited_ == MessageSize::kSmall) return;
  PoolOf(holder->side_, holder->awaited_).waiting.remove(holder);
  holder->awaited_ = MessageSize::kSmall;
  waiting_--;
}

void MemoryBudget::Release(MemoryHolder* holder, TimePoint now) {
  LeaveQueue(holder);
  if (!HasReservation(*holder)) return;
  holder->held_ = 0;
  LeavePool(holder, now);
}

void MemoryBudget::Remove(MemoryHolder* holder, TimePoint now) {
  LeaveQueue(holder);
  if (HasReservation(*holder)) {
    holder->held_ = 0;
    LeavePool(holder, now);
  } else if (!holder->must_go_) {
    Count(holder, 0);
  }
  holder->held_ = 0;
}

void MemoryBudget::EndSlowTurns(TimePoint now) {
  std::vector<MemoryHolder*> slow;
  for (auto& side : pools_) {
    for (Pool& pool : side) {
      if (pool.waiting.empty()) continue;
      for (MemoryHolder* holder : pool.holders) {
        bool waits = holder->awaited_ != MessageSize::kSmall;
        Duration turn = now - holder->reserved_at_;
        int64_t received = static_cast<int64_t>(holder->received_) -
                           static_cast<int64_t>(holder->received_at_reserve_);
        bool is_slow = holder->is_receiving_ && !waits && !holder->must_go_ &&
                       turn >= kReceiveTime &&
                       received < turn.millis() * kLeastBytesPerMilli;
        if (is_slow) slow.push_back(holder);
      }
    }
  }
  for (MemoryHolder* holder : slow) Dismiss(holder, MemoryLimit::kTooSlow);
}

void MemoryBudget::Tell(MemoryLimit limit, const MemoryHolder& holder) {
  counts_[static_cast<size_t>(limit)]++;
  if (observer_ != nullptr) {
    observer_->OnLimitMet(limit, holder, holder.held_);
  }
}

}  // namespace fireflycart
