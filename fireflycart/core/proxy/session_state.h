// What one session keeps by name: session values and prepared statements. A
// name whose change was refused has neither its former content nor the new one
// until it is changed again, since the caller may take either for it.
//
//   SessionState state;
//   if (!state.SetValue("tz", "CET", &quota, sessions)) {
//     state.OnSetRefused("tz", &quota, sessions);
//   }
//   if (!state.has_refused_values()) call.values = state.values();
//   state.Release(&quota);  // Before it is destroyed.
//
// Limits: what is kept is charged to a SessionStateQuota, refused names too.

#ifndef FIREFLYCART_CORE_PROXY_SESSION_STATE_H_
#define FIREFLYCART_CORE_PROXY_SESSION_STATE_H_

#include <cstddef>
#include <map>
#include <string>

#include "fireflycart/core/admission/session_state_quota.h"
#include "fireflycart/core/proxy/statement.h"

namespace fireflycart::proxy {

class SessionState {
 public:
  const std::map<std::string, std::string>& values() const { return values_; }
  // Null if no statement is prepared under the name.
  const PreparedShape* FindPrepared(const std::string& name) const;

  // Change the state, or return false and change nothing if the quota forbids
  // it; sessions is the number of all that share the quota.
  bool SetValue(const std::string& name, const std::string& value,
                SessionStateQuota* quota, size_t sessions);
  bool Prepare(const std::string& name, const PreparedShape& shape,
               SessionStateQuota* quota, size_t sessions);
  void Forget(const std::string& name, SessionStateQuota* quota);

  // Called when a SET was refused. An empty name means that the refused text
  // does not tell it.
  void OnSetRefused(const std::string& name, SessionStateQuota* quota,
                    size_t sessions);
  // Called when a PREPARE or FORGET was refused; an empty name, likewise, means
  // any.
  void OnPrepareRefused(const std::string& name);

  // True if a value is not known to its caller.
  bool has_refused_values() const {
    return has_unnamed_refused_value_ || !refused_values_.empty();
  }
  // True if a statement was prepared under the name, and a later change of it
  // was refused.
  bool IsPrepareRefused(const std::string& name) const {
    return refused_prepared_.count(name) != 0;
  }

  // Returns what is charged to the quota.
  void Release(SessionStateQuota* quota);

 private:
  // Names without content, with what is charged for each.
  using RefusedNames = std::map<std::string, size_t>;

  bool ChargeChange(size_t old_bytes, size_t bytes, SessionStateQuota* quota,
                    size_t sessions);

  std::map<std::string, std::string> values_;
  std::map<std::string, PreparedShape> prepared_;
  RefusedNames refused_values_;
  RefusedNames refused_prepared_;
  // A refused value that is not among the names, for the rest of the session.
  bool has_unnamed_refused_value_ = false;
  size_t charged_bytes_ = 0;
};

}  // namespace fireflycart::proxy

#endif  // FIREFLYCART_CORE_PROXY_SESSION_STATE_H_
