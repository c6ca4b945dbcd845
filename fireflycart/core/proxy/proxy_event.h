// Everything that can happen to a node that serves sessions, and everything
// that it can ask for. An event carries its time; there is no other source.

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

namespace fireflycart::proxy {

// The time that was asked for has come.
struct WakeUp {};

struct CallerStarted {
  SessionNumber session;
  std::string database;
};

// The next statement of a session. None comes before the last was answered.
struct CallerSent {
  SessionNumber session;
  CallerStatement statement;
};

// The caller closed its connection.
struct CallerEnded {
  SessionNumber session;
};

struct UpstreamOpened {
  ConnectionId connection;
  LogPosition position;
};

// The connection could not be opened or is gone; unanswered commands may have
// run. The outcome tells of a refusal, else it is kUnknown.
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
    std::variant<WakeUp, CallerStarted, CallerSent, CallerEnded, UpstreamOpened,
                 UpstreamClosed, UpstreamAnswered, PeerCalled, PeerReplied,
                 StoreAnswered, PromotionAnswered, StopRequested>;

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

struct CloseCaller {
  SessionNumber session;
};

// New callers are no longer accepted; sessions go on.
struct StopListening {};

// Ends with UpstreamOpened or UpstreamClosed.
struct OpenUpstream {
  ConnectionId connection;
  std::string address;
  GroupId group;
  UpstreamId upstream;  // The connection is refused by any other.
  Duration timeout;
};

// Sends all commands in one piece.
struct SendUpstream {
  ConnectionId connection;
  std::vector<UpstreamCommand> commands;
};

// The connection is gone at once; no event follows.
struct CloseUpstream {
  ConnectionId connection;
};

// One field of a log record.
struct LogField {
  const char* name;
  std::string value;
};

// A structured log record: what was decided, and on what.
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
    std::variant<GreetCaller, AnswerStatement, CloseCaller, StopListening,
                 OpenUpstream, SendUpstream, CloseUpstream, CallPeer,
                 AnswerPeer, StoreCall, PromoteUpstream, WriteRecord,
                 CountStatement, Exit>;

using ProxyEffects = std::vector<ProxyEffect>;

}  // namespace fireflycart::proxy

#endif  // FIREFLYCART_CORE_PROXY_PROXY_EVENT_H_
