// Records until when the primary that an owner uses was confirmed to be the one
// that can acknowledge commits, and which log positions it had.
//
// A promotion is requested only after every replica was ordered to hold, so a
// replica that receives the log confirms that none had been requested by then.
//
//   leadership.OnPrimaryPosition(sent_at, answer.position);
//   leadership.OnConfirmed(sent_at);
//   bool is_current = leadership.IsConfirmedSince(work.arrived.time);
//   LogPosition min_position = leadership.MinPositionFor(now - max_age);
//
// Limits: keeps the positions of kMaxAge, one per kMinSampleInterval.

#ifndef FIREFLYCART_CORE_PROXY_LEADERSHIP_TRACKER_H_
#define FIREFLYCART_CORE_PROXY_LEADERSHIP_TRACKER_H_

#include <deque>

#include "fireflycart/core/proxy/proxy_context.h"

namespace fireflycart::proxy {

class LeadershipTracker {
 public:
  // The maximum age of reads for which positions are kept.
  static constexpr Duration kMaxAge = Duration::Seconds(10);
  // Minimum time between two samples.
  static constexpr Duration kMinSampleInterval = Duration::Millis(20);

  // Records that the primary answered a command sent at that instant with this
  // position, which thus covers every commit it had acknowledged by then.
  void OnPrimaryPosition(Instant sent, LogPosition position);

  // Records that the primary was able to acknowledge commits at some time after
  // the instant.
  void OnConfirmed(Instant sent);

  // Discards all records, since they apply to a primary that was replaced.
  void Reset();

  // True if the primary was confirmed as current after the given time.
  bool IsConfirmedSince(uint64_t sequence) const {
    return is_confirmed_ && confirmed_.sequence >= sequence;
  }
  bool IsConfirmedSince(TimePoint time) const {
    return is_confirmed_ && confirmed_.time >= time;
  }

  // Returns the oldest sampled position that covers every commit acknowledged
  // before that time; unknown if there is none.
  LogPosition MinPositionFor(TimePoint time) const;

  // Returns the replication lag of an upstream that had exactly this position
  // at that time. It is a lower bound: the actual lag may be longer.
  Duration LagOf(LogPosition applied, TimePoint at) const;

  // Returns when the primary reached this position, according to the samples;
  // it may have been later. Zero if the samples do not cover the position.
  TimePoint ReachedAt(LogPosition position) const;

 private:
  struct Sample {
    Instant sent;
    LogPosition position;
  };

  std::deque<Sample> samples_;  // In order of time and position.
  Instant confirmed_;
  bool is_confirmed_ = false;
};

}  // namespace fireflycart::proxy

#endif  // FIREFLYCART_CORE_PROXY_LEADERSHIP_TRACKER_H_
