// The last position that each session wrote, so that a read is sent only to an
// upstream that has applied it.
//
//   sessions.Record(session, reply.written);
//   if (replica.applied >= sessions.Needed(session)) Send(read, replica);
//
// Limits: at most `budget` sessions. Beyond it the sessions with the lowest
// positions are forgotten and the floor rises to cover them, which is safe and
// only costs reads on replicas.

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

  // Position that the session's reads must see.
  Position RequiredPosition(const SessionId& session) const;

  void Record(const SessionId& session, Position position);

  // Reads of unlisted sessions need at least this from now on.
  void RaiseFloor(Position floor);
  Position floor() const { return floor_; }

  // Forgets what every upstream has applied.
  void DropApplied(Position applied_by_all);

  // For a planned hand-over.
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
