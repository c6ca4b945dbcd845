// These names are part of log records and must not change.

#include "fireflycart/core/proxy/store.h"

namespace fireflycart::proxy {

const char* StoreTableName(StoreTable table) {
  switch (table) {
    case StoreTable::kRoutes:
      return "routes";
    case StoreTable::kUpstreams:
      return "upstreams";
    case StoreTable::kVms:
      return "vms";
    case StoreTable::kDuties:
      return "duties";
  }
  return "unknown";
}

const char* StoreStatusName(StoreStatus status) {
  switch (status) {
    case StoreStatus::kOk:
      return "ok";
    case StoreStatus::kConflict:
      return "conflict";
    case StoreStatus::kHistoryLost:
      return "history_lost";
    case StoreStatus::kRefused:
      return "refused";
    case StoreStatus::kUnknown:
      return "no_answer";
  }
  return "unknown";
}

const char* PromotionStatusName(PromotionStatus status) {
  switch (status) {
    case PromotionStatus::kAccepted:
      return "accepted";
    case PromotionStatus::kNotRunning:
      return "not_running";
    case PromotionStatus::kRefused:
      return "refused";
    case PromotionStatus::kUnknown:
      return "no_answer";
  }
  return "unknown";
}

}  // namespace fireflycart::proxy
