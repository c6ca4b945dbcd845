// Measured service times of statements, and the load that arrives, for
// estimates of how long queued statements will wait.
//
// Load pattern: kinds of work whose service times differ tenfold share the
// slots of an upstream, so the length of the queue alone says little about the
// wait.
//
//   ServiceTimes times;
//   times.OnServed(kind, answered_at - sent_at, now);
//   Duration expected = times.Expected(kind, now);
//
// Limits: a kind without a measurement is expected to take no time, so that
// estimates admit it. Measurements count for half with each second of age.

#ifndef FIREFLYCART_CORE_ADMISSION_SERVICE_TIMES_H_
#define FIREFLYCART_CORE_ADMISSION_SERVICE_TIMES_H_

#include <map>
#include <tuple>

#include "fireflycart/core/clock.h"
#include "fireflycart/core/proxy/peer_calls.h"

namespace fireflycart::proxy {

// Statements of one kind take about the same time.
struct ServiceKind {
  int priority = 0;
  Access access = Access::kRead;
  ReadConsistency consistency = ReadConsistency::kStrong;

  bool operator<(const ServiceKind& o) const {
    return std::tie(priority, access, consistency) <
           std::tie(o.priority, o.access, o.consistency);
  }
};

ServiceKind ServiceKindOf(const StatementCall& call);

class ServiceTimes {
 public:
  // Weight of a new measurement in the moving average.
  static constexpr double kWeight = 1.0 / 16;

  void OnServed(const ServiceKind& kind, Duration took, TimePoint now);
  Duration Expected(const ServiceKind& kind, TimePoint now) const;

 private:
  struct Average {
    double ms = 0;
    TimePoint measured_at;
  };

  std::map<ServiceKind, Average> averages_;
};

// The work that arrives per unit of time, as the number of statements that it
// keeps running: an exponentially weighted average over kWindow.
class ArrivalLoad {
 public:
  static constexpr Duration kWindow = Duration::Seconds(1);

  void OnArrival(Duration service, TimePoint now);
  double load(TimePoint now) const;

 private:
  double load_ = 0;
  TimePoint updated_at_;
};

}  // namespace fireflycart::proxy

#endif  // FIREFLYCART_CORE_ADMISSION_SERVICE_TIMES_H_
