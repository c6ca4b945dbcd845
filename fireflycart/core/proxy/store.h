// Calls to the platform's metadata store, independent of its protocol. Calls
// are effects; each ends with exactly one StoreAnswered, at the latest when its
// timeout expires.
//
//   context->Emit(StoreCall{call, timeout,
//                           FollowTable{StoreTable::kRoutes, 530, wait}});
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
#include "fireflycart/core/proxy/store_version.h"

namespace fireflycart::proxy {

// The proxy writes kVms and kDuties; kRoutes and kUpstreams are written by
// others.
enum class StoreTable { kRoutes, kUpstreams, kVms, kDuties };

const char* StoreTableName(StoreTable table);

// Reads a consistent snapshot of all rows, or the row with the key.
struct ReadTable {
  StoreTable table = StoreTable::kRoutes;
  std::string key;  // Empty: all rows.
};

// Waits up to `wait` for the first change after a version (long polling).
struct FollowTable {
  StoreTable table = StoreTable::kRoutes;
  StoreVersion after;
  Duration wait;
};

// Replaces one row of kVms or kDuties. With a condition, it is replaced only if
// it has the expected version; number 0 means that the row does not exist. If
// the answer is of another era than the expected version, the condition may
// have matched another row that has the same number.
struct WriteRow {
  StoreTable table = StoreTable::kVms;
  std::string key;
  std::string value;
  bool has_condition = false;
  StoreVersion expected_version;
};

struct StoreCall {
  CallId call;
  Duration timeout;
  std::variant<ReadTable, FollowTable, WriteRow> body;
};

enum class StoreStatus {
  kOk,
  kConflict,     // The row has another version; the rows are current.
  kHistoryLost,  // The changes are no longer stored; read the whole table.
  kRefused,      // The call had no effect.
  kUnknown,      // No answer; a write may take effect, also later.
};

const char* StoreStatusName(StoreStatus status);

// One row of kVms or kDuties.
struct StoreRow {
  std::string key;
  std::string value;
  StoreVersion version;
  bool is_deleted = false;
};

// One row of kUpstreams. A record that cannot be parsed counts as absent.
struct UpstreamChange {
  UpstreamId id;
  bool is_present = false;
  UpstreamRecord record;
};

struct StoreAnswered {
  CallId call;
  StoreStatus status = StoreStatus::kUnknown;
  // Newest version that the answer reflects. Answers without rows, such as
  // refusals, may tell the era only.
  StoreVersion version;
  std::vector<StoreRow> rows;             // kVms, kDuties.
  std::vector<RouteTable> routes;         // kRoutes: newest last.
  std::vector<UpstreamChange> upstreams;  // kUpstreams.
  std::vector<std::string> problems;      // Rows that could not be parsed.
  // The answer to a FollowTable that lists no change at all.
  bool is_unchanged = false;
};

// Asks the platform to make an upstream the primary of its group. Ends with a
// PromotionAnswered.
struct PromoteUpstream {
  CallId call;
  Duration timeout;
  GroupId group;
  UpstreamId upstream;
  uint64_t token = 0;  // Fencing token of the duty lease; see duty_lease.h.
};

enum class PromotionStatus {
  kAccepted,
  kNotRunning,  // The upstream cannot become the primary.
  kRefused,     // The request had no effect.
  kUnknown,
};

const char* PromotionStatusName(PromotionStatus status);

struct PromotionAnswered {
  CallId call;
  PromotionStatus status = PromotionStatus::kUnknown;
};

}  // namespace fireflycart::proxy

#endif  // FIREFLYCART_CORE_PROXY_STORE_H_
