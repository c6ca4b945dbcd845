// What the proxy knows of the deployment: routes from databases to groups, and
// the upstreams of each group.
//
//   auto route = table.routes.find("ledger-app");
//   const GroupSpec& group = table.groups.at(route->second.group);
//
// Limits: plain values; the version tells which of two is newer.

#ifndef FIREFLYCART_CORE_PROXY_ROUTE_H_
#define FIREFLYCART_CORE_PROXY_ROUTE_H_

#include <cstdint>
#include <map>
#include <string>

#include "fireflycart/core/clock.h"
#include "fireflycart/core/ids.h"

namespace fireflycart::proxy {

// What a read must at least contain.
enum class ReadRule {
  kNewest,      // Every commit acknowledged before it.
  kBoundedAge,  // Every commit older than the route's age.
  kOwnWrites,   // The same, and every commit of its session.
};
constexpr int kReadRules = 3;

struct Route {
  std::string database;
  GroupId group;
  ReadRule rule = ReadRule::kNewest;
  Duration max_age;  // Unused for kNewest.
  Duration timeout;  // For one statement.
  Duration target;   // For a whole operation.
  int priority = 0;  // 0 is the most urgent.
};

struct GroupSpec {
  GroupId id;
  int max_connections = 1;  // Each upstream accepts, from all VMs together.
  int sync_replicas = 0;    // Replicas that hold a commit when it is answered.
};

struct RouteTable {
  uint64_t version = 0;                 // 0: none is known yet.
  std::map<std::string, Route> routes;  // By database.
  std::map<GroupId, GroupSpec> groups;
  Duration transaction_idle;  // An idle transaction may be ended after it.
};

struct UpstreamRecord {
  UpstreamId id;
  GroupId group;
  std::string address;  // IP number and port.
  DataCentreId data_centre;
  int slots = 1;
  bool leaving = false;
  bool is_primary = false;  // By its own view.
  int64_t started_ms = 0;   // Its wall clock; tells two starts apart.
};

// All registered upstreams as of one version of the registry.
struct UpstreamList {
  uint64_t version = 0;
  std::map<UpstreamId, UpstreamRecord> records;
};

// A VM as it announces itself in the registry.
struct VmRecord {
  VmId vm;
  std::string address;  // For peers: IP number and port.
  DataCentreId data_centre;
  uint64_t incarnation = 0;
  int cpu_permille = 0;  // Of one core.
  uint64_t version = 0;  // Of the registry, when the record was written.
};

// The registered VMs as of one version of the registry.
struct VmList {
  uint64_t version = 0;
  uint64_t after = 0;  // Only changes after this version; 0: all records.
  std::map<VmId, VmRecord> records;
};

}  // namespace fireflycart::proxy

#endif  // FIREFLYCART_CORE_PROXY_ROUTE_H_
