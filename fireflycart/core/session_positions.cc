// Invariant: for each session, RequiredPosition() is at or past every write of
// the session that was acknowledged and that some upstream has not applied.
// Every function below keeps a position, raises the floor to it or above, or
// drops it after all upstreams have applied it.

#include "fireflycart/core/session_positions.h"

#include <algorithm>

namespace fireflycart {

Position SessionPositions::RequiredPosition(const SessionId& session) const {
  auto found = positions_.find(session);
  if (found == positions_.end()) return floor_;
  return std::max(floor_, found->second);
}

void SessionPositions::Record(const SessionId& session, Position position) {
  if (session == SessionId()) return;
  Position& known = positions_[session];
  known = std::max(known, position);
  if (positions_.size() > budget_) ShrinkToBudget();
}

void SessionPositions::RaiseFloor(Position floor) {
  floor_ = std::max(floor_, floor);
}

void SessionPositions::DropApplied(Position applied_by_all) {
  // The floor rises to the dropped positions. No upstream is below it now, but
  // it excludes an upstream that is rebuilt and returns with less applied.
  RaiseFloor(applied_by_all);
  for (auto it = positions_.begin(); it != positions_.end();) {
    it = it->second <= applied_by_all ? positions_.erase(it) : std::next(it);
  }
}

std::vector<SessionPosition> SessionPositions::List() const {
  std::vector<SessionPosition> list;
  list.reserve(positions_.size());
  for (const auto& item : positions_) {
    list.push_back(SessionPosition{item.first, item.second});
  }
  return list;
}

void SessionPositions::Restore(Position floor,
                               const std::vector<SessionPosition>& sessions) {
  Clear();
  floor_ = floor;
  for (const SessionPosition& item : sessions) {
    Record(item.session, item.position);
  }
}

void SessionPositions::Clear() {
  floor_ = Position();
  positions_.clear();
}

void SessionPositions::ShrinkToBudget() {
  std::vector<Position> sorted;
  sorted.reserve(positions_.size());
  for (const auto& item : positions_) sorted.push_back(item.second);
  auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
  std::nth_element(sorted.begin(), middle, sorted.end());
  RaiseFloor(*middle);
  for (auto it = positions_.begin(); it != positions_.end();) {
    it = it->second <= floor_ ? positions_.erase(it) : std::next(it);
  }
}

}  // namespace fireflycart
