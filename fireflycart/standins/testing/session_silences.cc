// Faults of single connections, links and tables.

#include <algorithm>

#include "fireflycart/standins/testing/session_world.h"
#include "fireflycart/standins/testing/session_world_parts.h"

namespace fireflycart::standins {
namespace {

// An upstream drops a connection whose remote end is unreachable.
constexpr Duration kUnreachableTimeout = Duration::Seconds(3);

}  // namespace

void SessionWorld::CutFor(const std::string& a, const std::string& b,
                          Duration time) {
  Link link(std::min(a, b), std::max(a, b));
  passing_cuts_.insert(link);
  ApplyCut(a, b);
  timers_.emplace(now_ + time, [this, link] {
    passing_cuts_.erase(passing_cuts_.find(link));
    ApplyCut(link.first, link.second);
  });
}

void SessionWorld::MuteConnections(int vm, const UpstreamId& upstream) {
  const Vm* from = vms_[static_cast<size_t>(vm)].get();
  for (const auto& item : connections_) {
    uint64_t number = item.first;
    bool is_meant = item.second.first == from &&
                    upstream_of_[number] == upstream &&
                    opened_connections_.count(number) != 0;
    if (!is_meant || !mute_connections_.insert(number).second) continue;
    timers_.emplace(now_ + kUnreachableTimeout,
                    [this, number] { database_->Close(ConnectionId(number)); });
  }
}

void SessionWorld::RefuseTable(int vm, proxy::StoreTable table, bool refuses) {
  std::pair<std::string, proxy::StoreTable> key(
      vms_[static_cast<size_t>(vm)]->name, table);
  if (refuses) {
    refused_tables_.insert(key);
  } else {
    refused_tables_.erase(key);
  }
}

}  // namespace fireflycart::standins
