// Requests of callers and their answers.
//
// A request is a single statement, or one step of a transaction. Every request
// ends with exactly one Answer, whose outcome is one of three:
//
//   kDone     the request ran once and its effect will not be lost
//   kNotRun   the request did not run and will not run later
//   kUnknown  a write was sent and it is not known whether it ran

#ifndef FIREFLYCART_CORE_REQUEST_H_
#define FIREFLYCART_CORE_REQUEST_H_

#include <optional>
#include <string>

#include "fireflycart/core/clock.h"
#include "fireflycart/core/ids.h"

namespace fireflycart {

enum class Access { kRead, kWrite };

enum class RequestType {
  kStatement,             // One statement, committed by itself.
  kBegin,                 // Opens a transaction.
  kTransactionStatement,  // One statement of an open transaction.
  kCommit,
  kRollback,
};

struct Request {
  GroupId group;
  KindId kind;
  CallerId caller;
  SessionId session;  // Read-your-writes holds over one session.
  RequestKey key;     // Empty for reads; every write has one.
  RequestType type = RequestType::kStatement;
  Access access = Access::kRead;
  // A repeatable request may be sent again after an unknown outcome.
  bool repeatable = false;
  // The caller sent this key before and did not receive the outcome. Such a
  // request is answered "not run" only if the key was looked up.
  bool sent_before = false;
  std::string statement;
  TransactionId transaction;
  TimePoint deadline;  // Unset (0): the kind's own deadline applies.
  // Maximum age of the data that a read accepts. Absent: any data that includes
  // the session's own writes.
  std::optional<Duration> max_age;
};

enum class Outcome { kDone, kNotRun, kUnknown };

// Why a request was refused or its outcome is unknown.
enum class Reason {
  kNone,
  kDeadline,          // The deadline passed or cannot be met.
  kOverloaded,        // The queue is full, or lower ranks are shed.
  kNoPrimary,         // The group has no primary for now.
  kNoCoordinator,     // No VM coordinates the group for now.
  kUnknownGroup,      // The configuration has no such group.
  kUnknownKind,       // The configuration has no such kind of work.
  kTransactionLost,   // The transaction was rolled back.
  kStopping,          // The VM is shutting down.
  kIsolated,          // No message from peers or the platform.
  kNoConfiguration,   // The VM has no configuration yet.
  kTooStale,          // No upstream's data is known to be within max_age.
  kStatementFailed,   // The upstream refused the statement itself.
  kConnectionBroken,  // The connection broke while the statement ran.
  kCallerGone,        // The caller disconnected before the work began.
};

const char* ReasonText(Reason reason);
const char* OutcomeText(Outcome outcome);

struct Answer {
  Outcome outcome = Outcome::kNotRun;
  Reason reason = Reason::kNone;
  std::string result;         // Set when done.
  Duration retry_after;       // Set when not run: delay before a retry.
  TransactionId transaction;  // Set by kBegin.
  UpstreamId upstream;        // Which upstream ran it.
  bool from_replica = false;  // True if a replica answered the read.
  bool replayed = false;      // True if an earlier attempt had run it.
};

// The VM that owns a transaction, read from the transaction's id.
VmId TransactionOwner(const TransactionId& transaction);
// The group that a transaction belongs to.
GroupId TransactionGroup(const TransactionId& transaction);
// Builds an id from its owner, group and a number that is unique on the owner.
TransactionId MakeTransactionId(const VmId& owner, const GroupId& group,
                                const std::string& unique);

}  // namespace fireflycart

#endif  // FIREFLYCART_CORE_REQUEST_H_
