// Calls to one upstream of a database group, and their replies.
//
// An adapter translates each call into the protocol of the real database. Every
// reply carries the upstream's status, so that terms and positions need no
// calls of their own while there is traffic.
//
// Limits: one call at a time on a connection. A connection whose call was not
// answered must be closed, never reused.

#ifndef FIREFLYCART_CORE_UPSTREAM_MESSAGE_H_
#define FIREFLYCART_CORE_UPSTREAM_MESSAGE_H_

#include <string>
#include <variant>

#include "fireflycart/core/clock.h"
#include "fireflycart/core/ids.h"
#include "fireflycart/core/request.h"

namespace fireflycart {

// A holder that sent nothing for this long is no longer active.
constexpr Duration kHolderActivityTimeout = Duration::Millis(1200);

enum class UpstreamRole { kPrimary, kReplica };

// Status that an upstream reports at the moment at which it serves a call.
struct UpstreamStatus {
  Term term;         // Highest term that it was fenced to.
  Term entry_term;   // Term of the last entry of its log.
  Position held;     // Last entry that it holds durably.
  Position applied;  // Last entry that is visible to its reads.
  UpstreamRole role = UpstreamRole::kReplica;
  UpstreamId primary;   // The primary it follows in its term.
  VmId holder;          // The VM that proposed its term.
  int connections = 0;  // Connections open to it, from all VMs.
  // True if the holder of the term has an open connection on which it sent
  // something within kHolderActivityTimeout.
  bool holder_active = false;
};

// Requests the status. If await_position is set, the reply may be delayed by up
// to await_for until the upstream holds that position.
struct StatusCall {
  Position await_position;
  Duration await_for;
};

// Raises the term: nothing of a lower term is accepted from then on, and data
// connections opened in a lower term are closed, which rolls back their open
// transactions.
struct FenceCall {
  Term term;
  VmId holder;
};

// Makes a fenced upstream the primary of its term and appends one entry.
struct PromoteCall {
  Term term;
};

// Makes a replica follow the primary of the term and discard entries that the
// primary does not hold. Also raises the term.
struct FollowCall {
  Term term;
  VmId holder;
  UpstreamId primary;
};

enum class TransactionStep { kNone, kBegin, kContinue, kCommit, kRollback };

// Runs a statement. A write stores its request key in its own transaction; if
// the key is stored already, nothing runs and the stored result is returned.
struct ExecuteCall {
  Term term;
  Access access = Access::kRead;
  TransactionStep step = TransactionStep::kNone;
  RequestKey key;
  AttemptId attempt;
  std::string statement;
};

// Returns the stored result of a key. If the key is not stored and no attempt
// is running, permanently cancels all attempts of this term up to the given
// one.
struct ResolveCall {
  Term term;
  RequestKey key;
  AttemptId attempt;
};

using UpstreamCallBody = std::variant<StatusCall, FenceCall, PromoteCall,
                                      FollowCall, ExecuteCall, ResolveCall>;

enum class UpstreamCode {
  kOk,
  kStaleTerm,   // The call's term is not the upstream's term. Nothing ran.
  kNotPrimary,  // A write or promotion at a replica. Nothing ran.
  kCancelled,   // Cancelled before it ran, by this call or earlier.
  kBusyKey,     // Another attempt of the same key is running. Nothing ran.
  kFailed,      // The statement itself was refused. Nothing ran.
  kLimit,       // Too many connections. Nothing ran.
};

const char* UpstreamCodeText(UpstreamCode code);

struct UpstreamReply {
  UpstreamCode code = UpstreamCode::kOk;
  UpstreamStatus status;
  std::string result;
  Position written;       // Position of the write, for writes and commits.
  bool replayed = false;  // The key was stored already.
};

enum class ConnectionPurpose { kControl, kData };

}  // namespace fireflycart

#endif  // FIREFLYCART_CORE_UPSTREAM_MESSAGE_H_
