// One statement at the owner of its group, from arrival to answer.

#ifndef FIREFLYCART_CORE_PROXY_WORK_H_
#define FIREFLYCART_CORE_PROXY_WORK_H_

#include <cstdint>
#include <set>
#include <tuple>

#include "fireflycart/core/proxy/peer_calls.h"
#include "fireflycart/core/proxy/proxy_context.h"

namespace fireflycart::proxy {

using StatementNumber = StrongId<struct StatementNumberTag, uint64_t>;

// Where the answer goes: a session of this VM or a peer's call.
struct WorkOrigin {
  bool is_local = true;
  SessionNumber session;  // Local.
  HandleId handle;        // Peer.
};

struct TransactionKey {
  SessionKey session;
  uint64_t number = 0;

  bool operator<(const TransactionKey& o) const {
    if (session < o.session) return true;
    if (o.session < session) return false;
    return number < o.number;
  }
};

enum class WorkStage {
  kQueued,     // Waits for a slot, a connection or a proof.
  kBeginning,  // Its transaction is being begun.
  kRunning,    // Sent; its answer is awaited.
};

struct Work {
  StatementNumber number;
  WorkOrigin origin;
  StatementCall call;
  Instant arrived;
  TimePoint target;   // Answered later, it is late.
  TimePoint give_up;  // Refused if it still waits by then.
  TimePoint timeout;
  WorkStage stage = WorkStage::kQueued;
  bool is_late = false;
  int attempts = 0;            // Sendings, refused ones included.
  int losses = 0;              // Sendings that failed with their connection.
  TimePoint not_before;        // Pause after a refusal.
  std::set<UpstreamId> avoid;  // Refused it, or are behind what it needs.
  ConnectionId connection;     // While it is sent.
  Instant sent;
  StatementReply reply;

  TransactionKey transaction() const {
    return TransactionKey{call.session, call.transaction_number};
  }
  bool in_transaction() const {
    return call.transaction != TransactionKind::kNone;
  }
  bool is_queued() const { return stage == WorkStage::kQueued; }
};

}  // namespace fireflycart::proxy

#endif  // FIREFLYCART_CORE_PROXY_WORK_H_
