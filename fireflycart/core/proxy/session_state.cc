// A refused name stays charged for its former content, so that refusals need no
// charge of their own, which the quota may refuse as well. Only a name that had
// no value is charged anew; without room for it, no value is known any more.

#include "fireflycart/core/proxy/session_state.h"

namespace fireflycart::proxy {
namespace {

// What keeping a name with its text takes.
size_t StateBytes(const std::string& name, const std::string& text) {
  return name.size() + text.size() + SessionStateQuota::kEntryOverhead;
}

size_t ChargedFor(const std::map<std::string, size_t>& refused,
                  const std::string& name) {
  auto found = refused.find(name);
  return found == refused.end() ? 0 : found->second;
}

}  // namespace

const PreparedShape* SessionState::FindPrepared(const std::string& name) const {
  auto found = prepared_.find(name);
  return found == prepared_.end() ? nullptr : &found->second;
}

bool SessionState::SetValue(const std::string& name, const std::string& value,
                            SessionStateQuota* quota, size_t sessions) {
  auto found = values_.find(name);
  size_t old_bytes = found == values_.end() ? ChargedFor(refused_values_, name)
                                            : StateBytes(name, found->second);
  if (!ChargeChange(old_bytes, StateBytes(name, value), quota, sessions)) {
    return false;
  }
  values_[name] = value;
  refused_values_.erase(name);
  return true;
}

bool SessionState::Prepare(const std::string& name, const PreparedShape& shape,
                           SessionStateQuota* quota, size_t sessions) {
  auto found = prepared_.find(name);
  size_t old_bytes = found == prepared_.end()
                         ? ChargedFor(refused_prepared_, name)
                         : StateBytes(name, found->second.shape);
  if (!ChargeChange(old_bytes, StateBytes(name, shape.shape), quota,
                    sessions)) {
    return false;
  }
  prepared_[name] = shape;
  refused_prepared_.erase(name);
  return true;
}

void SessionState::Forget(const std::string& name, SessionStateQuota* quota) {
  OnPrepareRefused(name);
  quota->Return(&charged_bytes_, ChargedFor(refused_prepared_, name));
  refused_prepared_.erase(name);
}

void SessionState::OnSetRefused(const std::string& name,
                                SessionStateQuota* quota, size_t sessions) {
  if (refused_values_.count(name) != 0) return;
  auto found = values_.find(name);
  size_t bytes = StateBytes(name, found == values_.end() ? "" : found->second);
  bool is_kept = found != values_.end() ||
                 (!name.empty() && ChargeChange(0, bytes, quota, sessions));
  if (!is_kept) {
    has_unnamed_refused_value_ = true;
    return;
  }
  refused_values_[name] = bytes;
  values_.erase(name);
}

void SessionState::OnPrepareRefused(const std::string& name) {
  for (auto it = prepared_.begin(); it != prepared_.end();) {
    if (!name.empty() && it->first != name) {
      ++it;
      continue;
    }
    refused_prepared_[it->first] = StateBytes(it->first, it->second.shape);
    it = prepared_.erase(it);
  }
}

void SessionState::Release(SessionStateQuota* quota) {
  quota->Return(&charged_bytes_, charged_bytes_);
}

bool SessionState::ChargeChange(size_t old_bytes, size_t bytes,
                                SessionStateQuota* quota, size_t sessions) {
  if (bytes > old_bytes) {
    return quota->Charge(&charged_bytes_, bytes - old_bytes, sessions);
  }
  quota->Return(&charged_bytes_, old_bytes - bytes);
  return true;
}

}  // namespace fireflycart::proxy
