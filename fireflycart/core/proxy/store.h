// The platform's metadata store, in the product's terms. Calls are effects;
// each ends with exactly one StoreAnswered, at the latest when time is up.
//
//   context->Emit(StoreCall{id, FollowTable{StoreTable::kRoutes, 530, wait}});
//
// Limits: a call without an answer may still be performed later.

#ifndef FIREFLYCART_CORE_PROXY_STORE_H_
#define FIREFLYCART_CORE_PROXY_STORE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "fireflycart/core/clock.h"
#include "fireflycart/core/proxy/route.h"

namespace fireflycart::proxy {

// kRoutes and kUpstreams are written by others, kVms and kDuties by us.
enum class StoreTable { kRoutes, kUpstreams, kVms, kDuties };

const char* StoreTableName(StoreTable table);

// Reads all rows as of one moment, or the one with that key.
struct ReadTable {
  StoreTable table = StoreTable::kRoutes;
  std::string key;  // Empty: all.
};

// Waits for the first change after a version.
struct FollowTable {
  StoreTable table = StoreTable::kRoutes;
  uint64_t after = 0;
  Duration wait;
};

// Replaces one row of kVms or kDuties. With a condition, only if the row has
// the expected version; 0 means that there is no such row.
struct WriteRow {
  StoreTable table = StoreTable::kVms;
  std::string key;
  std::string value;
  bool has_condition = false;
  uint64_t expected_version = 0;
};

struct StoreCall {
  CallId call;
  Duration timeout;
  std::variant<ReadTable, FollowTable, WriteRow> body;
};

enum class StoreStatus {
  kOk,
  kConflict,     // The condition does not hold; the rows are the present ones.
  kHistoryLost,  // The table has to be read whole.
  kRefused,      // Nothing was done.
  kUnknown,      // No answer; a write may be done, also later.
};

const char* StoreStatusName(StoreStatus status);

// One row of kVms or kDuties.
struct StoreRow {
  std::string key;
  std::string value;
  uint64_t version = 0;
  bool is_deleted = false;
};

// One row of kUpstreams. A record that cannot be read counts as absent.
struct UpstreamChange {
  UpstreamId id;
  bool is_present = false;
  UpstreamRecord record;
};

struct StoreAnswered {
  CallId call;
  StoreStatus status = StoreStatus::kUnknown;
  uint64_t version = 0;            // Newest version that the answer reflects.
  std::vector<StoreRow> rows;      // kVms, kDuties.
  std::vector<RouteTable> routes;  // kRoutes: newest last.
  std::vector<UpstreamChange> upstreams;  // kUpstreams.
  std::vector<std::string> problems;      // Rows that could not be read.
};

// Names the upstream that is to lead its group.
struct PromoteUpstream {
  CallId call;
  Duration timeout;
  GroupId group;
  UpstreamId upstream;
  uint64_t token = 0;  // Grows whenever the holder of the duty changes.
};

enum class PromotionStatus {
  kAccepted,
  kNotRunning,  // The upstream cannot lead.
  kRefused,     // Nothing was done.
  kUnknown,
};

const char* PromotionStatusName(PromotionStatus status);

struct PromotionAnswered {
  CallId call;
  PromotionStatus status = PromotionStatus::kUnknown;
};

}  // namespace fireflycart::proxy

#endif  // FIREFLYCART_CORE_PROXY_STORE_H_
