// Records the position of the last write of each session, so that a read of the
// session is sent only to an upstream that has applied this position.
//
//   sessions.Record(session, reply.written);
//   Position required = sessions.RequiredPosition(session);
//   if (replica.applied >= required) Send(read, replica);
//
// Limits: at most `budget` sessions. Beyond it the sessions with the lowest
// positions are evicted and the floor, the position that reads of unlisted
// sessions require, rises to cover them. This is safe; it only reduces the
// reads that replicas can serve.

#ifndef FIREFLYCART_CORE_SESSION_POSITIONS_H_
#define FIREFLYCART_CORE_SESSION_POSITIONS_H_

#include <cstddef>
#include <map>
#include <vector>

#include "fireflycart/core/ids.h"
#include "fireflycart/core/peer_message.h"

namespace fireflycart {

class SessionPositions {
 public:
  explicit SessionPositions(size_t budget) : budget_(budget) {}

  // Position that an upstream must have applied to serve the session's reads.
  Position RequiredPosition(const SessionId& session) const;

  void Record(const SessionId& session, Position position);

  // Reads of every session require at least this position from now on.
  void RaiseFloor(Position floor);
  Position floor() const { return floor_; }

  // Drops the positions that every upstream has applied.
  void DropApplied(Position applied_by_all);

  // Export and import for a planned hand-over.
  std::vector<SessionPosition> List() const;
  void Restore(Position floor, const std::vector<SessionPosition>& sessions);

  void Clear();
  size_t size() const { return positions_.size(); }

 private:
  void ShrinkToBudget();

  size_t budget_;
  Position floor_;
  std::map<SessionId, Position> positions_;
};

}  // namespace fireflycart

#endif  // FIREFLYCART_CORE_SESSION_POSITIONS_H_
