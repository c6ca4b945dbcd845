// One statement at the owner of its group, from its arrival to its reply.

#ifndef FIREFLYCART_CORE_PROXY_WORK_H_
#define FIREFLYCART_CORE_PROXY_WORK_H_

#include <cstdint>
#include <set>
#include <tuple>

#include "fireflycart/core/proxy/peer_calls.h"
#include "fireflycart/core/proxy/proxy_context.h"

namespace fireflycart::proxy {

using StatementNumber = StrongId<struct StatementNumberTag, uint64_t>;

// Where the reply is sent: to a session of this VM, or as the answer to a call
// of a peer.
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
  kQueued,      // Awaits a slot, a connection or a leadership confirmation.
  kSettingUp,   // Its session's state is sent to the connection it will use.
  kBeginning,   // BEGIN is sent and not yet answered.
  kRunning,     // The statement is sent and not yet answered.
  kConfirming,  // Its commit is acknowledged and may yet be lost in a failover.
};

struct Work {
  StatementNumber number;
  WorkOrigin origin;
  StatementCall call;
  Instant arrived;
  Duration expected_service;  // Zero if unknown.
  TimePoint target_deadline;
  // Work that starts after this time probably misses its target, so it counts
  // as late.
  TimePoint latest_start;
  TimePoint deadline;
  WorkStage stage = WorkStage::kQueued;
  bool is_late = false;
  bool awaited_connection = false;  // None of its tenant was open and idle.
  int attempts = 0;                 // Times it was sent, refusals included.
  int connection_losses = 0;        // Connections lost while it was sent.
  int refusals = 0;                 // Consecutive, for lack of a free slot.
  int failed_runs = 0;              // Runs of a read that an upstream failed.
  TimePoint not_before;             // Earliest retry after a refusal.
  // Refused it as too far behind, or failed it.
  std::set<UpstreamId> excluded_upstreams;
  ConnectionId connection;  // Set while it is sent.
  LogPosition after;        // That a read requires of its upstream.
  Instant sent;
  Instant acknowledged;  // By the upstream, of a commit.
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
