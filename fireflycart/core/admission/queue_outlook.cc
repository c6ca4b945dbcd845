// The wait of a statement is the service time ahead of it, divided by the
// number of statements that run at the same time. Work in time is served
// first, so late work waits for the concurrency that arriving work leaves, or
// that late work got recently. A hopeless statement does not count as work
// ahead of others, since it is going to be refused.

#include "fireflycart/core/admission/queue_outlook.h"

#include <algorithm>

namespace fireflycart::proxy {
namespace {

// Wait of a lane that no upstream serves.
constexpr Duration kEndlessWait = Duration::Seconds(3600);

Duration WaitFor(double ahead_ms, double concurrency) {
  if (concurrency <= 0) return kEndlessWait;
  if (ahead_ms <= 0) return Duration();
  double ms = ahead_ms / concurrency;
  return std::min(Duration::Millis(static_cast<int64_t>(ms)), kEndlessWait);
}

}  // namespace

LaneOutlook QueueOutlook::Review(const LaneSnapshot& lane) const {
  LaneOutlook outlook;
  double in_time_ms = 0;
  double late_ms = 0;
  double for_late =
      std::max({lane.concurrency - lane.arrival_load, lane.late_load,
                lane.concurrency * kMinLateShare});
  for (const QueuedStatement& statement : lane.queue) {
    Duration queued = WaitFor(in_time_ms, lane.concurrency);
    if (statement.is_late) queued = queued + WaitFor(late_ms, for_late);
    Duration blocked = std::max(statement.available_at - lane.now, Duration());
    Duration wait = std::max(queued, blocked);
    Duration time_left = statement.deadline - lane.now;
    // The wait for an upstream is known, the rest is an estimate.
    Duration estimate = wait - blocked + statement.service;
    double confidence = statement.is_late ? 1.0 : kConfidence;
    double end_ms = static_cast<double>(blocked.millis()) +
                    static_cast<double>(estimate.millis()) / confidence;
    if (end_ms > static_cast<double>(time_left.millis())) {
      outlook.hopeless.push_back(
          HopelessStatement{statement.number, wait, time_left});
      continue;
    }
    (statement.is_late ? late_ms : in_time_ms) +=
        static_cast<double>(statement.service.millis());
  }
  outlook.wait = WaitFor(in_time_ms, lane.concurrency);
  return outlook;
}

}  // namespace fireflycart::proxy
