// Metadata of the deployment: routes from databases to groups, the upstreams of
// each group, and the VMs.
//
//   auto route = table.routes.find("ledger-app");
//   const GroupSpec& group = table.groups.at(route->second.group);
//
// Limits: plain values; of two tables the one with the higher version is newer.

#ifndef FIREFLYCART_CORE_PROXY_ROUTE_H_
#define FIREFLYCART_CORE_PROXY_ROUTE_H_

#include <cstdint>
#include <map>
#include <string>

#include "fireflycart/core/clock.h"
#include "fireflycart/core/ids.h"
#include "fireflycart/core/proxy/store_version.h"
#include "fireflycart/core/tenants/tenant_directory.h"

namespace fireflycart::proxy {

// Commits that a read must at least include.
enum class ReadConsistency {
  kStrong,            // Every commit acknowledged before the read.
  kBoundedStaleness,  // Every commit older than the route's max_age.
  kOwnWrites,         // As kBoundedStaleness, and every commit of its session.
};
constexpr int kReadConsistencies = 3;

struct Route {
  std::string database;
  GroupId group;
  ReadConsistency consistency = ReadConsistency::kStrong;
  Duration max_age;  // Unused for kStrong.
  Duration timeout;  // Of one statement.
  Duration target;   // Target latency of a whole operation.
  int priority = 0;  // 0 is the most urgent.
  // Callers need no key, even if the deployment has tenants.
  bool is_public = false;
};

struct GroupSpec {
  GroupId id;
  // Connections that each upstream accepts from all VMs together.
  int max_connections = 1;
  // Number of replicas that have a commit when it is acknowledged.
  int sync_replicas = 0;
};

struct RouteTable {
  uint64_t version = 0;                 // 0: not received yet.
  std::map<std::string, Route> routes;  // By database.
  std::map<GroupId, GroupSpec> groups;
  Duration transaction_idle_timeout;  // Idle transactions may be ended after
                                      // this time.
  // True if the configuration names tenants, even if there are none: then a
  // caller needs the key of one, except on a public route.
  bool has_tenants = false;
  TenantDirectory tenants;
};

struct UpstreamRecord {
  UpstreamId id;
  GroupId group;
  std::string address;  // IP address and port.
  DataCentreId data_centre;
  int slots = 1;
  bool leaving = false;
  bool is_primary = false;  // As the upstream itself reports.
  int64_t started_ms = 0;   // By its wall clock; distinguishes restarts.
  // On the clock of the VM that uses the record; see upstream_times.h. Not
  // compared.
  TimePoint known_since;
  TimePoint leaving_since;

  bool operator==(const UpstreamRecord& o) const {
    return id == o.id && group == o.group && address == o.address &&
           data_centre == o.data_centre && slots == o.slots &&
           leaving == o.leaving && is_primary == o.is_primary &&
           started_ms == o.started_ms;
  }
};

// All registered upstreams as of one version of the registry.
struct UpstreamList {
  StoreVersion version;
  std::map<UpstreamId, UpstreamRecord> records;
};

// Record that a VM writes to the registry about itself.
struct VmRecord {
  VmId vm;
  std::string address;  // For peers: IP address and port.
  DataCentreId data_centre;
  uint64_t incarnation = 0;
  int cpu_permille = 0;  // Of one core.
  StoreVersion version;  // Registry version at which the record was written.

  bool operator==(const VmRecord& o) const {
    return vm == o.vm && address == o.address && data_centre == o.data_centre &&
           incarnation == o.incarnation && cpu_permille == o.cpu_permille &&
           version == o.version;
  }
};

// The registered VMs as of one version of the registry.
struct VmList {
  StoreVersion version;
  // Includes only later changes, in the same era; number 0: all records.
  StoreVersion after;
  std::map<VmId, VmRecord> records;
};

}  // namespace fireflycart::proxy

#endif  // FIREFLYCART_CORE_PROXY_ROUTE_H_
