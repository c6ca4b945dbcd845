// Open transactions of a group, each pinned to one connection.
//
//   Transaction* t = table.Open(id, connection, upstream, rank, now);
//   for (const TransactionId& expired :
//        table.Expired(now, idle_timeout, max_duration)) ...
//
// Limits: a transaction expires when it is idle or open for too long.

#ifndef FIREFLYCART_CORE_TRANSACTION_TABLE_H_
#define FIREFLYCART_CORE_TRANSACTION_TABLE_H_

#include <map>
#include <vector>

#include "fireflycart/core/clock.h"
#include "fireflycart/core/ids.h"

namespace fireflycart {

struct Transaction {
  TransactionId id;
  ConnectionId connection;
  UpstreamId upstream;
  Rank rank;
  SessionId session;
  TimePoint opened;
  TimePoint last_used;
  WorkId running;  // The statement in progress, 0 if none.
};

class TransactionTable {
 public:
  Transaction* Open(const TransactionId& id, ConnectionId connection,
                    const UpstreamId& upstream, Rank rank, TimePoint now);
  Transaction* Find(const TransactionId& id);
  const Transaction* Find(const TransactionId& id) const;
  void Close(const TransactionId& id) { open_.erase(id); }
  void Clear() { open_.clear(); }

  // Transactions that are idle for longer than idle_timeout or open for longer
  // than max_duration.
  std::vector<TransactionId> Expired(TimePoint now, Duration idle_timeout,
                                     Duration max_duration) const;

  size_t size() const { return open_.size(); }
  // Open transactions of this rank and of less urgent ones.
  size_t CountNoMoreUrgentThan(Rank rank) const;

 private:
  std::map<TransactionId, Transaction> open_;
};

}  // namespace fireflycart

#endif  // FIREFLYCART_CORE_TRANSACTION_TABLE_H_
