// Decides when a planned change of the primary relieves a database group whose
// replicas apply the log too late for the group's reads.
//
// Load pattern: the replicas have received the whole log but apply it many
// seconds late, so every read waits for the slots of the primary, and the
// replicas' slots are idle. A promoted upstream leads with all that it has
// received, and the old primary stays as a replica that has applied
// everything, so one change makes two upstreams usable for reads.
//
//   LagRelief relief;
//   LagReliefDecision decision = relief.Decide(snapshot);
//   if (decision.reason == LagReliefReason::kRelieves) {
//     relief.OnChangeStarted(now);            // promote decision.successor
//   }
//   relief.OnChangeEnded(true, now);          // or false: given up
//
// Limits: the decision assumes that the announced lag is the time until the
// replica has applied what it has received. Where a promoted upstream must
// apply the log first, a change takes as long as the lag. The time that past
// changes took is part of the decision, so later changes are not started.

#ifndef FIREFLYCART_CORE_ADMISSION_LAG_RELIEF_H_
#define FIREFLYCART_CORE_ADMISSION_LAG_RELIEF_H_

#include <vector>

#include "fireflycart/core/clock.h"
#include "fireflycart/core/ids.h"
#include "fireflycart/core/proxy/statement.h"

namespace fireflycart::proxy {

struct LaggingReplica {
  UpstreamId id;
  // It answers, stays in the group, and receives the log of the primary.
  bool is_candidate = false;
  LogPosition received;
  Duration announced_lag;
};

struct LagReliefSnapshot {
  TimePoint now;
  // This VM owns the group, the primary is confirmed, and no upstream is
  // leaving, lost, held or being replaced.
  bool is_steady = false;
  // What the primary had received one status period ago.
  LogPosition primary_received;
  // Expected wait of the queued reads that replicas may serve, and the time
  // that they have left until their target.
  Duration read_wait;
  Duration read_target;
  // The largest age that these reads accept.
  Duration max_read_age;
  std::vector<LaggingReplica> replicas;
};

enum class LagReliefReason {
  kRelieves,
  kNotSteady,
  kLoadFits,      // The reads are served in time as things are.
  kRecentChange,  // The last change is too recent to be judged.
  kObserving,     // The overload has not lasted long enough.
  kNoCandidate,   // No replica both has the log and lags for long enough.
};

// Lower-case name of a reason in logs.
const char* LagReliefReasonName(LagReliefReason reason);

struct LagReliefDecision {
  LagReliefReason reason = LagReliefReason::kNotSteady;
  UpstreamId successor;  // kRelieves.
};

class LagRelief {
 public:
  // An overload that ends by itself within this time needs no change.
  static constexpr Duration kMinOverload = Duration::Millis(400);
  // Expected duration of the first change.
  static constexpr Duration kInitialChangeTime = Duration::Millis(1500);
  // Shortest time between two changes, doubled after each change that failed
  // or took longer than kMaxChangeTime.
  static constexpr Duration kMinInterval = Duration::Seconds(4);
  static constexpr Duration kMaxInterval = Duration::Seconds(120);
  static constexpr Duration kMaxChangeTime = Duration::Seconds(5);

  LagReliefDecision Decide(const LagReliefSnapshot& snapshot);
  void OnChangeStarted(TimePoint now);
  // The new primary serves, or the change was given up.
  void OnChangeEnded(bool is_done, TimePoint now);

  bool is_changing() const { return is_changing_; }
  Duration change_time() const { return change_time_; }
  Duration interval() const { return interval_; }

 private:
  UpstreamId ChooseSuccessor(const LagReliefSnapshot& snapshot) const;

  bool is_changing_ = false;
  bool is_overloaded_ = false;
  TimePoint overloaded_since_;
  TimePoint change_started_;
  TimePoint next_change_;
  Duration change_time_ = kInitialChangeTime;
  Duration interval_ = kMinInterval;
};

}  // namespace fireflycart::proxy

#endif  // FIREFLYCART_CORE_ADMISSION_LAG_RELIEF_H_
