// Events and effects of a VM that serves sessions. An event carries the time at
// which it arrived; the reducer has no other source of time.

#ifndef FIREFLYCART_CORE_PROXY_PROXY_EVENT_H_
#define FIREFLYCART_CORE_PROXY_PROXY_EVENT_H_

#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "fireflycart/core/effect.h"
#include "fireflycart/core/event.h"
#include "fireflycart/core/proxy/statement.h"
#include "fireflycart/core/proxy/store.h"
#include "fireflycart/core/tenants/key_digest.h"

namespace fireflycart::proxy {

// The requested wake-up time (ProxyReducer::next_wake()) was reached.
struct WakeUp {};

struct SessionStarted {
  SessionNumber session;
  std::string database;
  KeyDigest key;  // Empty if the caller sent none.
};

// The next statement of a session. It arrives only after the previous one was
// answered.
struct StatementReceived {
  SessionNumber session;
  CallerStatement statement;
};

// The caller closed its connection.
struct SessionEnded {
  SessionNumber session;
};

struct UpstreamOpened {
  ConnectionId connection;
  LogPosition position;
};

// The connection could not be opened or was closed; unanswered commands may
// have run. If the upstream refused the connection, outcome states why,
// otherwise it is kUnknown.
struct UpstreamClosed {
  ConnectionId connection;
  Outcome outcome = Outcome::kUnknown;
  std::string reason;
};

struct UpstreamAnswered {
  ConnectionId connection;
  UpstreamAnswer answer;
};

using ProxyEventBody =
    std::variant<WakeUp, SessionStarted, StatementReceived, SessionEnded,
                 UpstreamOpened, UpstreamClosed, UpstreamAnswered, PeerCalled,
                 PeerReplied, StoreAnswered, PromotionAnswered, StopRequested>;

struct ProxyEvent {
  TimePoint now;
  ProxyEventBody body;
};

// Accepts the session, or refuses it and closes the connection.
struct GreetCaller {
  SessionNumber session;
  Outcome outcome = Outcome::kDone;
  std::string detail;
};

struct AnswerStatement {
  SessionNumber session;
  CallerAnswer answer;
};

// Asks the caller to leave. The session has no open statement and accepts no
// more: a statement that crosses this request is refused as busy, and its event
// is only logged. Ends with SessionEnded once the caller has closed its
// connection.
struct CloseSession {
  SessionNumber session;
};

// Stops accepting new callers; existing sessions continue.
struct StopListening {};

// Ends with UpstreamOpened or UpstreamClosed.
struct OpenUpstream {
  ConnectionId connection;
  std::string address;
  GroupId group;
  TenantId tenant;      // Whose statements it carries; may be empty.
  UpstreamId upstream;  // Any other upstream refuses the connection.
  Duration timeout;
};

// Sends all commands in a single write.
struct SendUpstream {
  ConnectionId connection;
  std::vector<UpstreamCommand> commands;
};

// Closes the connection at once; no event follows.
struct CloseUpstream {
  ConnectionId connection;
};

// One field of a log record.
struct LogField {
  const char* name;
  std::string value;
};

// A structured log record: a decision and the data that it is based on.
struct WriteRecord {
  LogLevel level = LogLevel::kInfo;
  const char* part = "";
  const char* event = "";
  std::vector<LogField> fields;
};

// Adds to the counters and histograms of the metrics page.
struct CountStatement {
  GroupId group;
  int priority = 0;
  Outcome outcome = Outcome::kDone;
  const char* cause = "";
  Duration took;
};

using ProxyEffect =
    std::variant<GreetCaller, AnswerStatement, CloseSession, StopListening,
                 OpenUpstream, SendUpstream, CloseUpstream, CallPeer,
                 AnswerPeer, StoreCall, PromoteUpstream, WriteRecord,
                 CountStatement, Exit>;

using ProxyEffects = std::vector<ProxyEffect>;

}  // namespace fireflycart::proxy

#endif  // FIREFLYCART_CORE_PROXY_PROXY_EVENT_H_
