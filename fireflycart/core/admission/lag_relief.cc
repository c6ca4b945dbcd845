// A change pays off if the replica would stay too old for the reads for longer
// than the change takes. The decision is stable, since the overload must have
// lasted, two changes are at least kMinInterval apart, and that interval grows
// when a change brings nothing.

#include "fireflycart/core/admission/lag_relief.h"

#include <algorithm>

namespace fireflycart::proxy {

const char* LagReliefReasonName(LagReliefReason reason) {
  switch (reason) {
    case LagReliefReason::kRelieves:
      return "relieves";
    case LagReliefReason::kNotSteady:
      return "not_steady";
    case LagReliefReason::kLoadFits:
      return "load_fits";
    case LagReliefReason::kRecentChange:
      return "recent_change";
    case LagReliefReason::kObserving:
      return "observing";
    case LagReliefReason::kNoCandidate:
      return "no_candidate";
  }
  return "unknown";
}

LagReliefDecision LagRelief::Decide(const LagReliefSnapshot& snapshot) {
  LagReliefDecision decision;
  if (!snapshot.is_steady || is_changing_) {
    is_overloaded_ = false;
    decision.reason = LagReliefReason::kNotSteady;
    return decision;
  }
  if (snapshot.read_wait <= snapshot.read_target) {
    is_overloaded_ = false;
    decision.reason = LagReliefReason::kLoadFits;
    return decision;
  }
  if (!is_overloaded_) {
    is_overloaded_ = true;
    overloaded_since_ = snapshot.now;
  }
  if (snapshot.now < next_change_) {
    decision.reason = LagReliefReason::kRecentChange;
    return decision;
  }
  if (snapshot.now - overloaded_since_ < kMinOverload) {
    decision.reason = LagReliefReason::kObserving;
    return decision;
  }
  decision.successor = ChooseSuccessor(snapshot);
  decision.reason = decision.successor == UpstreamId()
                        ? LagReliefReason::kNoCandidate
                        : LagReliefReason::kRelieves;
  return decision;
}

// The replica that stays unusable for the longest time, so that the others
// become usable first by themselves.
UpstreamId LagRelief::ChooseSuccessor(const LagReliefSnapshot& snapshot) const {
  UpstreamId best;
  Duration longest = snapshot.max_read_age + change_time_;
  for (const LaggingReplica& replica : snapshot.replicas) {
    bool is_candidate = replica.is_candidate &&
                        !(replica.received < snapshot.primary_received) &&
                        replica.announced_lag > longest;
    if (!is_candidate) continue;
    longest = replica.announced_lag;
    best = replica.id;
  }
  return best;
}

void LagRelief::OnChangeStarted(TimePoint now) {
  is_changing_ = true;
  change_started_ = now;
}

void LagRelief::OnChangeEnded(bool is_done, TimePoint now) {
  if (!is_changing_) return;
  is_changing_ = false;
  is_overloaded_ = false;
  Duration took = now - change_started_;
  if (is_done) change_time_ = took;
  bool is_useful = is_done && took <= kMaxChangeTime;
  interval_ = is_useful ? kMinInterval : std::min(interval_ * 2, kMaxInterval);
  next_change_ = now + interval_;
}

}  // namespace fireflycart::proxy
