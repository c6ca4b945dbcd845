// A transaction id is owner, group and number joined by dots; names contain no
// dots, so the parts can be parsed from the id without a lookup.

#include "fireflycart/core/request.h"

namespace fireflycart {

const char* ReasonText(Reason reason) {
  switch (reason) {
    case Reason::kNone:
      return "none";
    case Reason::kDeadline:
      return "deadline";
    case Reason::kOverloaded:
      return "overloaded";
    case Reason::kNoPrimary:
      return "no_primary";
    case Reason::kNoCoordinator:
      return "no_coordinator";
    case Reason::kUnknownGroup:
      return "unknown_group";
    case Reason::kUnknownKind:
      return "unknown_kind";
    case Reason::kTransactionLost:
      return "transaction_lost";
    case Reason::kStopping:
      return "stopping";
    case Reason::kIsolated:
      return "isolated";
    case Reason::kNoConfiguration:
      return "no_configuration";
    case Reason::kTooStale:
      return "too_stale";
    case Reason::kStatementFailed:
      return "statement_failed";
    case Reason::kConnectionBroken:
      return "connection_broken";
    case Reason::kCallerGone:
      return "caller_gone";
  }
  return "unknown";
}

const char* OutcomeText(Outcome outcome) {
  switch (outcome) {
    case Outcome::kDone:
      return "done";
    case Outcome::kNotRun:
      return "not_run";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

VmId TransactionOwner(const TransactionId& transaction) {
  const std::string& text = transaction.value();
  return VmId(text.substr(0, text.find('.')));
}

GroupId TransactionGroup(const TransactionId& transaction) {
  const std::string& text = transaction.value();
  size_t first = text.find('.');
  if (first == std::string::npos) return GroupId();
  size_t second = text.find('.', first + 1);
  if (second == std::string::npos) return GroupId();
  return GroupId(text.substr(first + 1, second - first - 1));
}

TransactionId MakeTransactionId(const VmId& owner, const GroupId& group,
                                const std::string& unique) {
  return TransactionId(owner.value() + "." + group.value() + "." + unique);
}

}  // namespace fireflycart
