// A transaction with a statement in progress does not expire; its statement has
// a deadline of its own.

#include "fireflycart/core/transaction_table.h"

namespace fireflycart {

Transaction* TransactionTable::Open(const TransactionId& id,
                                    ConnectionId connection,
                                    const UpstreamId& upstream, Rank rank,
                                    TimePoint now) {
  Transaction& transaction = open_[id];
  transaction.id = id;
  transaction.connection = connection;
  transaction.upstream = upstream;
  transaction.rank = rank;
  transaction.opened = now;
  transaction.last_used = now;
  return &transaction;
}

Transaction* TransactionTable::Find(const TransactionId& id) {
  auto found = open_.find(id);
  return found == open_.end() ? nullptr : &found->second;
}

const Transaction* TransactionTable::Find(const TransactionId& id) const {
  auto found = open_.find(id);
  return found == open_.end() ? nullptr : &found->second;
}

std::vector<TransactionId> TransactionTable::Expired(
    TimePoint now, Duration idle_timeout, Duration max_duration) const {
  std::vector<TransactionId> expired;
  for (const auto& item : open_) {
    const Transaction& transaction = item.second;
    if (transaction.running != WorkId()) continue;
    bool is_idle = now - transaction.last_used > idle_timeout;
    bool is_old = now - transaction.opened > max_duration;
    if (is_idle || is_old) expired.push_back(item.first);
  }
  return expired;
}

size_t TransactionTable::CountNoMoreUrgentThan(Rank rank) const {
  size_t count = 0;
  for (const auto& item : open_) {
    if (item.second.rank >= rank) count++;
  }
  return count;
}

}  // namespace fireflycart
