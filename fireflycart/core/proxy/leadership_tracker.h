// Records until when the primary that an owner uses was confirmed to lead,
// until when no promotion had been requested, and which log positions the
// primary had.
//
// A promotion is requested only after every replica but the successor of a
// planned change was ordered to hold. So a replica that receives the log
// confirms that no promotion had taken effect, and two of them that none had
// been requested: one of the two is not the successor.
//
//   leadership.OnPrimaryPosition(sent_at, answer.position);
//   leadership.OnReplicaReceives(upstream, sent_at);
//   bool is_current = leadership.IsConfirmedSince(work.arrived.time);
//   LogPosition min_position = leadership.MinPositionFor(now - max_age);
//
// Limits: keeps the positions of kMaxAge, one per kMinSampleInterval.

#ifndef FIREFLYCART_CORE_PROXY_LEADERSHIP_TRACKER_H_
#define FIREFLYCART_CORE_PROXY_LEADERSHIP_TRACKER_H_

#include <deque>

#include "fireflycart/core/ids.h"
#include "fireflycart/core/proxy/proxy_context.h"

namespace fireflycart::proxy {

class LeadershipTracker {
 public:
  // The maximum age of reads for which positions are kept.
  static constexpr Duration kMaxAge = Duration::Seconds(10);
  // A promotion takes effect at least this long after its request: the platform
  // promotes some hundred milliseconds later.
  static constexpr Duration kMinPromotionDelay = Duration::Millis(100);
  // Minimum time between two samples.
  static constexpr Duration kMinSampleInterval = Duration::Millis(20);

  // Records that the primary answered a command sent at that instant with this
  // position, which thus covers every commit it had acknowledged by then.
  void OnPrimaryPosition(Instant sent, LogPosition position);

  // Records that the primary acknowledged a commit sent at that instant, so
  // that it led at some time after it. A promotion may have been requested,
  // since the successor of a planned change acknowledges until it leads.
  void OnConfirmed(Instant sent);

  // Records that a replica that was asked at that instant received the log of
  // the primary.
  void OnReplicaReceives(const UpstreamId& replica, Instant sent);

  // Records that no promotion was requested until that instant, by other
  // evidence than replicas.
  void OnUnchallenged(Instant at);

  // Discards all records, since they apply to a primary that was replaced.
  void Reset();

  // True if the primary was confirmed to lead after the given time.
  bool IsConfirmedSince(uint64_t sequence) const {
    return is_confirmed_ && confirmed_.sequence >= sequence;
  }
  bool IsConfirmedSince(TimePoint time) const {
    return is_confirmed_ && confirmed_.time >= time;
  }

  // True if no promotion had been requested by some time after the given one.
  bool IsUnchallengedSince(uint64_t sequence) const {
    return (other_receiver_ != UpstreamId() &&
            other_received_.sequence >= sequence) ||
           (is_unchallenged_ && unchallenged_.sequence >= sequence);
  }
  bool IsUnchallengedSince(TimePoint time) const {
    return (other_receiver_ != UpstreamId() && other_received_.time >= time) ||
           (is_unchallenged_ && unchallenged_.time >= time);
  }

  // Returns the oldest sampled position that covers every commit acknowledged
  // before that time; unknown if there is none.
  LogPosition MinPositionFor(TimePoint time) const;

  // Returns the newest position that is known to cover every commit
  // acknowledged before its time, and sets that time; unknown if there is none.
  LogPosition NewestPosition(TimePoint* time) const;

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
  Instant unchallenged_;  // By other evidence than replicas.
  bool is_unchallenged_ = false;
  // The replica that received the log last, and the last one besides it.
  UpstreamId last_receiver_;
  Instant last_received_;
  UpstreamId other_receiver_;
  Instant other_received_;
};

}  // namespace fireflycart::proxy

#endif  // FIREFLYCART_CORE_PROXY_LEADERSHIP_TRACKER_H_
