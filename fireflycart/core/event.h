// All input events of a node. An event carries the time at which it arrived;
// the reducer has no other source of time.

#ifndef FIREFLYCART_CORE_EVENT_H_
#define FIREFLYCART_CORE_EVENT_H_

#include <variant>

#include "fireflycart/core/clock.h"
#include "fireflycart/core/ids.h"
#include "fireflycart/core/operator_message.h"
#include "fireflycart/core/peer_message.h"
#include "fireflycart/core/platform_message.h"
#include "fireflycart/core/request.h"
#include "fireflycart/core/upstream_message.h"

namespace fireflycart {

// Signals that time passed. Expected at least every kTickPeriod.
struct Tick {};

struct CallerRequested {
  HandleId handle;  // Repeated in the answer.
  Request request;
};

// The caller closed its connection; its answer cannot be delivered.
struct CallerDisconnected {
  HandleId handle;
};

struct OperatorCalled {
  HandleId handle;
  OperatorCallBody body;
};

struct PeerCalled {
  HandleId handle;
  VmId from;
  PeerCallBody body;
};

struct PeerReplied {
  CallId call;
  PeerCallError error = PeerCallError::kNone;
  PeerReplyBody body;
};

struct ConnectionOpened {
  ConnectionId connection;
  UpstreamReply reply;
};

// The connection could not be opened or is closed; a call on it gets no reply.
struct ConnectionBroken {
  ConnectionId connection;
};

struct UpstreamReplied {
  ConnectionId connection;
  CallId call;
  UpstreamReply reply;
};

struct PlatformReplied {
  CallId call;
  PlatformReply reply;
};

// The process was asked to shut down.
struct StopRequested {};

using EventBody =
    std::variant<Tick, CallerRequested, CallerDisconnected, OperatorCalled,
                 PeerCalled, PeerReplied, ConnectionOpened, ConnectionBroken,
                 UpstreamReplied, PlatformReplied, StopRequested>;

struct Event {
  TimePoint now;
  EventBody body;
};

}  // namespace fireflycart

#endif  // FIREFLYCART_CORE_EVENT_H_
