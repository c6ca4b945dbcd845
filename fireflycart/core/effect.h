// All output effects of a node. The reducer returns effects as data; the daemon
// or a test executes them in order.

#ifndef FIREFLYCART_CORE_EFFECT_H_
#define FIREFLYCART_CORE_EFFECT_H_

#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "fireflycart/core/clock.h"
#include "fireflycart/core/ids.h"
#include "fireflycart/core/operator_message.h"
#include "fireflycart/core/peer_message.h"
#include "fireflycart/core/platform_message.h"
#include "fireflycart/core/request.h"
#include "fireflycart/core/upstream_message.h"

namespace fireflycart {

struct AnswerCaller {
  HandleId handle;
  Answer answer;
};

struct AnswerOperator {
  HandleId handle;
  OperatorReplyBody body;
};

// Results in exactly one PeerReplied, at the latest when timeout has passed.
struct CallPeer {
  CallId call;
  VmId to;
  std::string address;
  Duration timeout;
  PeerCallBody body;
};

struct AnswerPeer {
  HandleId handle;
  PeerReplyBody body;
};

// Results in ConnectionOpened or ConnectionBroken.
struct OpenConnection {
  ConnectionId connection;
  GroupId group;
  UpstreamId upstream;
  std::string address;
  ConnectionPurpose purpose = ConnectionPurpose::kData;
  Term term;
  VmId holder;
};

// Closes the connection immediately; no event follows.
struct CloseConnection {
  ConnectionId connection;
};

// Results in UpstreamReplied or ConnectionBroken. The reducer enforces the
// timeout.
struct CallUpstream {
  ConnectionId connection;
  CallId call;
  UpstreamCallBody body;
};

// Results in exactly one PlatformReplied, at the latest when timeout has
// passed.
struct CallPlatform {
  CallId call;
  Duration timeout;
  PlatformCallBody body;
};

enum class LogLevel { kDebug, kInfo, kWarning, kError };

struct WriteLog {
  LogLevel level = LogLevel::kInfo;
  const char* part = "";  // Fixed prefix of the part that logs.
  std::string text;
};

// The planned stop is complete; the process may exit.
struct Exit {};

using Effect = std::variant<AnswerCaller, AnswerOperator, CallPeer, AnswerPeer,
                            OpenConnection, CloseConnection, CallUpstream,
                            CallPlatform, WriteLog, Exit>;

using Effects = std::vector<Effect>;

}  // namespace fireflycart

#endif  // FIREFLYCART_CORE_EFFECT_H_
