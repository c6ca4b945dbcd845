// Logs and metrics contain these names, so they must not change.

#include "fireflycart/core/proxy/statement.h"

namespace fireflycart::proxy {

const char* OutcomeName(Outcome outcome) {
  switch (outcome) {
    case Outcome::kDone:
      return "done";
    case Outcome::kBusy:
      return "busy";
    case Outcome::kAborted:
      return "aborted";
    case Outcome::kBehind:
      return "behind";
    case Outcome::kReadOnly:
      return "read_only";
    case Outcome::kWrongInstance:
      return "wrong_instance";
    case Outcome::kTooManyConnections:
      return "too_many_connections";
    case Outcome::kNoStatement:
      return "no_statement";
    case Outcome::kNoDatabase:
      return "no_database";
    case Outcome::kNotAuthenticated:
      return "not_authenticated";
    case Outcome::kBadRequest:
      return "bad_request";
    case Outcome::kFailed:
      return "failed";
    case Outcome::kTimeout:
      return "timeout";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

const char* StatementKindName(StatementKind kind) {
  switch (kind) {
    case StatementKind::kBegin:
      return "begin";
    case StatementKind::kBeginReadOnly:
      return "begin_read";
    case StatementKind::kCommit:
      return "commit";
    case StatementKind::kRollback:
      return "rollback";
    case StatementKind::kRead:
      return "read";
    case StatementKind::kWrite:
      return "write";
    case StatementKind::kSetValue:
      return "set";
    case StatementKind::kPrepare:
      return "prepare";
    case StatementKind::kExecute:
      return "execute";
    case StatementKind::kForget:
      return "forget";
    case StatementKind::kMalformed:
      return "malformed";
  }
  return "malformed";
}

const char* TransactionStateName(TransactionState state) {
  switch (state) {
    case TransactionState::kNone:
      return "none";
    case TransactionState::kOpen:
      return "open";
    case TransactionState::kFailed:
      return "failed";
  }
  return "failed";
}

}  // namespace fireflycart::proxy
