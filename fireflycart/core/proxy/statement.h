// Statements of callers, commands to upstreams and their answers, as types.
//
//   CallerStatement read;
//   read.kind = StatementKind::kRead;
//   read.id = StatementId("5c0e7a21");
//   const char* name = OutcomeName(Outcome::kBusy);  // "busy"
//
// Limits: the codec that decodes a text limits its length.

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
// Identifies a statement to its caller and to the upstream. Empty for commands
// of the proxy itself.
using StatementId = StrongId<struct StatementIdTag, std::string>;

// A position in an upstream's log. The term orders positions of different
// primaries.
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
  // The statement, or its whole transaction, has no effect.
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
  // It is unknown whether the statement took effect.
  kTimeout,
  kUnknown,
  // The caller has no valid key. Last, since peers of earlier versions number
  // the outcomes.
  kNotAuthenticated,
};
constexpr int kOutcomes = 14;

// Lower-case name of an outcome in logs and metrics.
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

// Lower-case name of a kind in logs.
const char* StatementKindName(StatementKind kind);

// A prepared statement, as the caller's PREPARE defines it.
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
  // What a malformed statement probably was to be; kMalformed if unknown.
  StatementKind meant = StatementKind::kMalformed;
  std::string text;        // kRead, kWrite, kCommit: the statement unchanged.
  std::string name;        // Of the session value or prepared statement; may be
                           // empty if the statement is malformed.
  std::string arguments;   // Session value, or the text after the name.
  PreparedShape prepared;  // kPrepare.

  StatementKind intended_kind() const {
    return kind == StatementKind::kMalformed ? meant : kind;
  }
};

// Lower-case name of a state in logs.
const char* TransactionStateName(TransactionState state);

// The answer to a caller's statement.
struct CallerAnswer {
  Outcome outcome = Outcome::kDone;
  std::vector<std::string> rows;
  std::string signature;  // Proves which upstream ran it; may be empty.
  std::string detail;
  TransactionState state = TransactionState::kNone;
  bool closes_session = false;  // As CloseSession, in the same message.
};

enum class CommandKind {
  kVerbatim,  // A caller's statement, text unchanged.
  kExecute,   // A prepared statement, by its name on the connection.
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
  StatementId id;     // Empty for commands of the proxy itself.
  LogPosition after;  // Position that the log must include, if known.
  std::string text;   // kVerbatim.
  std::string name;
  std::string arguments;
  PreparedShape prepared;
  uint64_t term = 0;  // kHold, kDemote.
  // If set, a status request is sent instead after this time.
  TimePoint expires;
  bool commits = false;  // Ends the open transaction with its commit.
};

// Status that an upstream reports.
struct UpstreamStatus {
  bool is_primary = false;
  uint64_t term = 0;
  LogPosition received;
  uint64_t held_term = 0;  // Of the HOLD in force; 0: it receives the log.
  Duration lag;
};

struct UpstreamAnswer {
  Outcome outcome = Outcome::kDone;
  std::vector<std::string> rows;
  std::string signature;
  std::string detail;
  TransactionState state = TransactionState::kNone;
  LogPosition position;   // Of the upstream's log; unknown if it sent none.
  UpstreamStatus status;  // Set for kStatus, kHold, kResume and kDemote.
  bool has_status = false;
};

}  // namespace fireflycart::proxy

#endif  // FIREFLYCART_CORE_PROXY_STATEMENT_H_
