// A work item: a request at the coordinator of its group, with its state and
// the destination of its reply.

#ifndef FIREFLYCART_CORE_WORK_H_
#define FIREFLYCART_CORE_WORK_H_

#include <cstdint>

#include "fireflycart/core/clock.h"
#include "fireflycart/core/ids.h"
#include "fireflycart/core/peer_message.h"
#include "fireflycart/core/request.h"

namespace fireflycart {

// Where a request came from: a caller of this VM, or another VM.
struct WorkOrigin {
  bool local = true;
  HandleId handle;
};

enum class WorkState {
  kQueued,          // Not sent yet.
  kRunning,         // Sent on a connection, no reply yet.
  kAwaitingAck,     // Written at the primary, not yet held by a majority.
  kAwaitingQuorum,  // Read; a majority has not yet replied in this term.
  kResolving,       // Outcome unknown; its key is being looked up.
  kJoined,          // A duplicate of a request that is in progress.
};

struct Work {
  WorkId id;
  Request request;
  WorkOrigin origin;
  Rank rank;
  TimePoint arrival;
  uint64_t arrival_sequence = 0;
  WorkState state = WorkState::kQueued;
  // True if an attempt may have run in this term or in an earlier one.
  bool maybe_run = false;
  AttemptId attempt;
  ConnectionId connection;
  UpstreamId upstream;
  TimePoint sent_at;
  TimePoint next_check;  // Earliest time of the next key look-up.
  Position written;
  Answer answer;
};

struct WorkResult {
  WorkOrigin origin;
  ForwardReply reply;
};

}  // namespace fireflycart

#endif  // FIREFLYCART_CORE_WORK_H_
