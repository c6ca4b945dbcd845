// Estimates when queued statements will be served, and finds those that cannot
// be served before their deadlines.
//
// Load pattern: more work arrives than the upstreams can run, for seconds. If
// every statement waits for a fixed time and is then refused, callers lose that
// time, come back and wait again, and few requests meet their targets. A
// statement that cannot be served is refused as soon as that is known, and one
// that can be served is kept, also if it will be late.
//
//   QueueOutlook outlook;
//   LaneOutlook result = outlook.Review(snapshot);
//   for (const HopelessStatement& s : result.hopeless) Refuse(s);
//
// Limits: arrivals of more urgent work after the snapshot are not predicted,
// so the wait of work in time is rather too short, and the statement is
// reviewed again later. Work in time is refused only if the estimate exceeds
// its time left by kConfidence.

#ifndef FIREFLYCART_CORE_ADMISSION_QUEUE_OUTLOOK_H_
#define FIREFLYCART_CORE_ADMISSION_QUEUE_OUTLOOK_H_

#include <vector>

#include "fireflycart/core/clock.h"
#include "fireflycart/core/proxy/work.h"

namespace fireflycart::proxy {

struct QueuedStatement {
  StatementNumber number;
  Duration service;        // Expected; zero if unknown.
  TimePoint deadline;      // When its caller's time ends.
  bool is_late = false;    // Its target has passed.
  TimePoint available_at;  // When an upstream can run it at the earliest.
};

struct LaneSnapshot {
  TimePoint now;
  // Statements that the usable upstreams run at the same time for this lane;
  // 0: none can serve it.
  double concurrency = 0;
  // Load that arrives in the lane, in statements running at the same time.
  double arrival_load = 0;
  // Load of late work that was recently started in the lane.
  double late_load = 0;
  std::vector<QueuedStatement> queue;  // In the order of service.
};

struct HopelessStatement {
  StatementNumber number;
  Duration expected_wait;
  Duration time_left;
};

struct LaneOutlook {
  // Expected wait of a statement that is last in the lane and in time.
  Duration wait;
  std::vector<HopelessStatement> hopeless;
};

class QueueOutlook {
 public:
  // How far an estimate must exceed the time left before it is acted upon.
  static constexpr double kConfidence = 1.5;
  // Share of the concurrency that late work is assumed to get at least, so that
  // some late work stays queued and shows when it is served again.
  static constexpr double kMinLateShare = 0.02;

  LaneOutlook Review(const LaneSnapshot& lane) const;
};

}  // namespace fireflycart::proxy

#endif  // FIREFLYCART_CORE_ADMISSION_QUEUE_OUTLOOK_H_
