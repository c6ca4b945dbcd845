// The owner took the position `age` before it answered, and it answered after
// it was asked. So the time `sent - age` is not later than that of the
// position: neither the transit nor a pause of one of the VMs can make a
// position look newer than it is.

#include "fireflycart/core/proxy/read_evidence.h"

#include <algorithm>

namespace fireflycart::proxy {

void ReadEvidence::Add(TimePoint sent, Duration age, LogPosition position) {
  if (!position.known() || age < Duration()) return;
  TimePoint time = sent - age;
  // Answers may come out of order; the later one says all that matters.
  if (!entries_.empty() && time <= entries_.back().time) return;
  entries_.push_back(Entry{time, position});
  while (time - entries_.front().time > kMaxAge) entries_.pop_front();
}

LogPosition ReadEvidence::MinPositionFor(TimePoint time) const {
  auto found = std::partition_point(
      entries_.begin(), entries_.end(),
      [&](const Entry& entry) { return entry.time < time; });
  return found == entries_.end() ? LogPosition() : found->position;
}

}  // namespace fireflycart::proxy
