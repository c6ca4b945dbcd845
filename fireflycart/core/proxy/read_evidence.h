// What a VM that does not own a group knows of the group's commits: log
// positions of the primary, and up to which time each covers them.
//
//   evidence.Add(sent, reply.age, reply.position);
//   LogPosition min_position = evidence.MinPositionFor(now - max_age);
//
// A position covers every commit that was acknowledged before its time, for
// good: a failover keeps those commits, and the log of a later term has them.
//
// Limits: keeps kMaxAge of positions; they say nothing of later commits.

#ifndef FIREFLYCART_CORE_PROXY_READ_EVIDENCE_H_
#define FIREFLYCART_CORE_PROXY_READ_EVIDENCE_H_

#include <deque>

#include "fireflycart/core/clock.h"
#include "fireflycart/core/proxy/statement.h"

namespace fireflycart::proxy {

class ReadEvidence {
 public:
  static constexpr Duration kMaxAge = Duration::Seconds(10);

  // Adds a position that the owner reported with its age. `sent` is when the
  // owner was asked, on the clock of this VM.
  void Add(TimePoint sent, Duration age, LogPosition position);

  // The oldest position that covers every commit acknowledged before that time;
  // unknown if there is none.
  LogPosition MinPositionFor(TimePoint time) const;

  void Clear() { entries_.clear(); }

 private:
  struct Entry {
    TimePoint time;
    LogPosition position;
  };

  std::deque<Entry> entries_;  // In order of time.
};

}  // namespace fireflycart::proxy

#endif  // FIREFLYCART_CORE_PROXY_READ_EVIDENCE_H_
