// Faults of single connections, links and tables, and of parts of the network.

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

uint64_t SessionWorld::IslandOf(const std::string& name) const {
  auto found = islands_.find(name);
  return found == islands_.end() ? 0 : found->second;
}

void SessionWorld::ApplyCutsOf(const UpstreamId& id) {
  for (const auto& item : records_) {
    if (item.first != id) ApplyCut(id.value(), item.first.value());
  }
}

void SessionWorld::LapseIfIsolated(const UpstreamId& id) {
  uint64_t island = IslandOf(id.value());
  if (island == 0) return;
  timers_.emplace(now_ + kEntryLapse, [this, id, island] {
    if (IslandOf(id.value()) == island) Unregister(id);
  });
}

void SessionWorld::Isolate(const std::vector<std::string>& names) {
  uint64_t island = ++last_number_;
  for (const std::string& name : names) islands_[name] = island;
  for (const std::string& name : names) {
    UpstreamId id(name);
    if (records_.count(id) == 0) continue;
    ApplyCutsOf(id);
    LapseIfIsolated(id);
  }
}

void SessionWorld::Rejoin(const std::vector<std::string>& names) {
  for (const std::string& name : names) islands_.erase(name);
  for (const std::string& name : names) {
    UpstreamId id(name);
    if (records_.count(id) == 0) continue;
    ApplyCutsOf(id);
    bool is_missing = unregistered_.count(id) != 0 && database_->IsRunning(id);
    if (is_missing) Register(id, records_[id].leaving);
  }
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
