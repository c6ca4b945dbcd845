// Calls of operators to a daemon and the replies.

#ifndef FIREFLYCART_CORE_OPERATOR_MESSAGE_H_
#define FIREFLYCART_CORE_OPERATOR_MESSAGE_H_

#include <string>
#include <variant>
#include <vector>

#include "fireflycart/core/clock.h"
#include "fireflycart/core/configuration.h"
#include "fireflycart/core/ids.h"
#include "fireflycart/core/peer_message.h"

namespace fireflycart {

// Submits a document that changes the given base version. Idempotent: the same
// document on the same base by the same operator is accepted once.
struct SubmitConfigCall {
  ConfigVersion base;
  std::string document;
  std::string operator_name;
  std::string submitted_at;  // Wall clock time for the audit record.
};

struct ShowConfigCall {};
struct ShowStatusCall {};
struct ShowAuditCall {
  int limit = 0;
};

using OperatorCallBody = std::variant<SubmitConfigCall, ShowConfigCall,
                                      ShowStatusCall, ShowAuditCall>;

enum class SubmitCode {
  kAccepted,
  kAlreadyAccepted,  // An earlier attempt at this submission was accepted.
  kInvalid,          // See problems.
  kConflict,         // Another change was accepted first; see changes.
  kUnknown,          // The platform did not answer; submit again.
};

struct SubmitReply {
  SubmitCode code = SubmitCode::kUnknown;
  ConfigVersion version;  // In force after the call, if known.
  std::vector<ConfigurationProblem> problems;
  // Audit records of the changes since the given base, newest first.
  std::vector<std::string> changes;
};

struct ShowConfigReply {
  ConfigVersion version;
  std::string document;
};

struct GroupStatusLine {
  GroupId group;
  VmId coordinator;
  Term term;
  UpstreamId primary;  // Set by the coordinator only.
  std::string phase;
  int queued = 0;
};

struct ShowStatusReply {
  VmId vm;
  bool ready = false;
  std::string not_ready_because;
  ConfigVersion version;
  Ordinal ordinal;
  std::vector<MemberUpdate> members;
  std::vector<GroupStatusLine> groups;
};

// Audit records of accepted changes, as stored.
struct ShowAuditReply {
  bool available = false;
  std::vector<std::string> records;
};

using OperatorReplyBody =
    std::variant<SubmitReply, ShowConfigReply, ShowStatusReply, ShowAuditReply>;

}  // namespace fireflycart

#endif  // FIREFLYCART_CORE_OPERATOR_MESSAGE_H_
