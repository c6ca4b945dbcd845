// A key is looked up by its digest, so the time of a lookup tells nothing about
// the key itself.

#include "fireflycart/core/tenants/tenant_directory.h"

#include "fireflycart/core/short_text.h"

namespace fireflycart {

bool TenantDirectory::Add(const TenantSpec& spec,
                          const std::vector<KeyDigest>& keys,
                          std::string* problem) {
  std::string name = "tenant " + ShortText(spec.id.value()) + ": ";
  if (tenants_.size() >= kMaxTenants) {
    *problem = name + "more than " + std::to_string(kMaxTenants) + " tenants";
    return false;
  }
  if (keys_.size() + keys.size() > kMaxKeys) {
    *problem = name + "more than " + std::to_string(kMaxKeys) + " keys";
    return false;
  }
  if (tenants_.count(spec.id) != 0) {
    *problem = name + "named twice";
    return false;
  }
  for (const KeyDigest& key : keys) {
    auto found = keys_.find(key);
    if (found == keys_.end()) continue;
    *problem = name + "one of its keys belongs to tenant " +
               ShortText(found->second.value());
    return false;
  }
  tenants_[spec.id] = spec;
  for (const KeyDigest& key : keys) keys_[key] = spec.id;
  return true;
}

const TenantSpec* TenantDirectory::FindByKey(const KeyDigest& key) const {
  auto found = keys_.find(key);
  return found == keys_.end() ? nullptr : Find(found->second);
}

const TenantSpec* TenantDirectory::Find(const TenantId& id) const {
  auto found = tenants_.find(id);
  return found == tenants_.end() ? nullptr : &found->second;
}

}  // namespace fireflycart
