// Statements of callers, commands to upstreams and their answers, as types.
//
//   CallerStatement read;
//   read.kind = StatementKind::kRead;
//   read.id = StatementId("5c0e7a21");
//   bool repeatable = !ChangesData(read);
//
// Limits: texts are bounded by the codec that decoded them.

#ifndef FIREFLYCART_CORE_PROXY_STATEMENT_H_
#define FIREFLYCART_CORE_PROXY_STATEMENT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fireflycart/core/clock.h"
#include "fireflycart/core/ids.h"

namespace fireflycart::proxy {

// Number of a caller's session in one process.
using SessionNumber = StrongId<struct SessionNumberTag, uint64_t>;
// Identifies a statement to its caller and to the upstream. Empty: our own.
using StatementId = StrongId<struct StatementIdTag, std::string>;

// A place in an upstream's log. Terms order places of different primaries.
struct LogPosition {
  uint64_t term = 0;
  uint64_t number = 0;

  bool known() const { return term != 0 || number != 0; }
  bool operator==(const LogPosition& o) const {
    return term == o.term && number == o.number;
  }
  bool operator<(const LogPosition& o) const {
    return term != o.term ? term < o.term : number < o.number;
  }
};

// How a statement ended.
enum class Outcome {
  kDone,
  // Nothing that the caller asked for is kept.
  kBusy,
  kAborted,
  kBehind,
  kReadOnly,
  kWrongInstance,
  kTooManyConnections,
  // The statement was not accepted.
  kNoStatement,
  kNoDatabase,
  kBadRequest,
  // The statement ran and failed.
  kFailed,
  // Nothing is known of the effect.
  kTimeout,
  kUnknown,
};
constexpr int kOutcomes = 13;

// Lower-case name for logs and metrics.
const char* OutcomeName(Outcome outcome);

enum class TransactionState { kNone, kOpen, kFailed };

enum class StatementKind {
  kBegin,
  kBeginReadOnly,
  kCommit,
  kRollback,
  kRead,
  kWrite,
  kSetValue,
  kPrepare,
  kExecute,
  kForget,
  kMalformed,
};

// A prepared statement as its caller described it.
struct PreparedShape {
  bool writes = false;
  std::string shape;

  bool operator<(const PreparedShape& o) const {
    return writes != o.writes ? writes < o.writes : shape < o.shape;
  }
};

// One statement as a caller sent it.
struct CallerStatement {
  StatementId id;
  StatementKind kind = StatementKind::kMalformed;
  std::string text;        // kRead, kWrite, kCommit: the statement unchanged.
  std::string name;        // Name of the session value or prepared statement.
  std::string arguments;   // Value, or what follows the name of a prepared one.
  PreparedShape prepared;  // kPrepare.
};

// The answer to a caller's statement.
struct CallerAnswer {
  Outcome outcome = Outcome::kDone;
  std::vector<std::string> rows;
  std::string signature;  // Proof of the upstream that ran it; may be empty.
  std::string detail;
  TransactionState state = TransactionState::kNone;
};

enum class CommandKind {
  kVerbatim,  // A caller's statement, text unchanged.
  kExecute,   // A prepared statement under the connection's own name.
  kBegin,
  kBeginReadOnly,
  kRollback,
  kReset,
  kSetValue,
  kPrepare,
  kStatus,
  kHold,
  kResume,
  kDemote,
};

// One command on an upstream connection. Answers come in the order of commands.
struct UpstreamCommand {
  CommandKind kind = CommandKind::kStatus;
  StatementId id;     // Empty for commands of our own.
  LogPosition after;  // The log must hold it, if known.
  std::string text;   // kVerbatim.
  std::string name;
  std::string arguments;
  PreparedShape prepared;
  uint64_t term = 0;  // kHold, kDemote.
};

// What an upstream says of itself.
struct UpstreamStatus {
  bool is_primary = false;
  uint64_t term = 0;
  LogPosition received;
  uint64_t held_term = 0;  // 0: it receives.
  Duration lag;
};

struct UpstreamAnswer {
  Outcome outcome = Outcome::kDone;
  std::vector<std::string> rows;
  std::string signature;
  std::string detail;
  TransactionState state = TransactionState::kNone;
  LogPosition position;   // Of the upstream's log; unknown if it gave none.
  UpstreamStatus status;  // Set for kStatus, kHold, kResume and kDemote.
  bool has_status = false;
};

}  // namespace fireflycart::proxy

#endif  // FIREFLYCART_CORE_PROXY_STATEMENT_H_
