// Everything that a node can ask its surroundings to do. The reducer returns
// effects as data; the daemon or a test carries them out in order.

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

// Ends with exactly one PeerReplied, at the latest when time is up.
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

// Ends with ConnectionOpened or ConnectionBroken.
struct OpenConnection {
  ConnectionId connection;
  GroupId group;
  UpstreamId upstream;
  std::string address;
  ConnectionPurpose purpose = ConnectionPurpose::kData;
  Term term;
  VmId holder;
};

// The connection is gone at once; no event follows.
struct CloseConnection {
  ConnectionId connection;
};

// Ends with UpstreamReplied or ConnectionBroken. The reducer keeps the time.
struct CallUpstream {
  ConnectionId connection;
  CallId call;
  UpstreamCallBody body;
};

// Ends with exactly one PlatformReplied, at the latest when time is up.
struct CallPlatform {
  CallId call;
  Duration timeout;
  PlatformCallBody body;
};

enum class LogLevel { kDebug, kInfo, kWarning, kError };

struct WriteLog {
  LogLevel level = LogLevel::kInfo;
  const char* part = "";  // Fixed prefix of the part that speaks.
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
