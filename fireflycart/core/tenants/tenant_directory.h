// The tenants that a configuration names, and the keys by which their callers
// are known.
//
//   TenantDirectory directory;
//   std::string problem;
//   if (!directory.Add(spec, {KeyDigest::Of(key)}, &problem)) Refuse(problem);
//   const TenantSpec* tenant = directory.FindByKey(digest);
//
// Limits: kMaxTenants, kMaxKeys.

#ifndef FIREFLYCART_CORE_TENANTS_TENANT_DIRECTORY_H_
#define FIREFLYCART_CORE_TENANTS_TENANT_DIRECTORY_H_

#include <cstddef>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "fireflycart/core/ids.h"
#include "fireflycart/core/tenants/key_digest.h"

namespace fireflycart {

struct TenantSpec {
  TenantId id;
  // Operations that the tenant may start in each second and at once, over all
  // VMs.
  bool has_limit = false;
  double rate_per_s = 0;
  double burst = 0;
  int priority = 0;  // 0 is the most urgent.

  bool operator==(const TenantSpec& o) const {
    return id == o.id && has_limit == o.has_limit &&
           rate_per_s == o.rate_per_s && burst == o.burst &&
           priority == o.priority;
  }
};

using TenantSpecs = std::map<TenantId, TenantSpec>;

class TenantDirectory {
 public:
  static constexpr size_t kMaxTenants = 10'000;
  static constexpr size_t kMaxKeys = 100'000;

  // Adds a tenant with its keys. Returns false, and names the field and the
  // value in *problem, if it is a second tenant of that name, if one of the
  // keys belongs to another tenant, or if a limit is reached.
  bool Add(const TenantSpec& spec, const std::vector<KeyDigest>& keys,
           std::string* problem);

  // Null if the key belongs to no tenant.
  const TenantSpec* FindByKey(const KeyDigest& key) const;
  const TenantSpec* Find(const TenantId& id) const;

  const TenantSpecs& tenants() const { return tenants_; }
  // The keys of each tenant, for messages to peers.
  const std::unordered_map<KeyDigest, TenantId, KeyDigest::Hash>& keys() const {
    return keys_;
  }

 private:
  TenantSpecs tenants_;
  std::unordered_map<KeyDigest, TenantId, KeyDigest::Hash> keys_;
};

}  // namespace fireflycart

#endif  // FIREFLYCART_CORE_TENANTS_TENANT_DIRECTORY_H_
