// A request at the coordinator of its group, and where its reply goes.

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
  kAwaitingQuorum,  // Read; a majority in our term is still to be seen.
  kResolving,       // Sent; asking whether its key is stored.
  kJoined,          // A copy of a request that is under way.
};

struct Work {
  WorkId id;
  Request request;
  WorkOrigin origin;
  Rank rank;
  TimePoint arrival;
  uint64_t arrival_sequence = 0;
  WorkState state = WorkState::kQueued;
  // An attempt may have run in this term or in an earlier one.
  bool maybe_run = false;
  AttemptId attempt;
  ConnectionId connection;
  UpstreamId upstream;
  TimePoint sent_at;
  TimePoint next_check;  // When to look again at a silent attempt.
  Position written;
  Answer answer;
};

struct WorkResult {
  WorkOrigin origin;
  ForwardReply reply;
};

}  // namespace fireflycart

#endif  // FIREFLYCART_CORE_WORK_H_
