// A position received from the primary is not sufficient by itself: the primary
// may have been replaced before the owner detected it. The position is used
// once a leadership confirmation was requested no earlier than it, since no
// other upstream had acknowledged anything by then.

#include "fireflycart/core/proxy/leadership_tracker.h"

#include <algorithm>

namespace fireflycart::proxy {

void LeadershipTracker::OnPrimaryPosition(Instant sent, LogPosition position) {
  if (!position.known()) return;
  if (!samples_.empty()) {
    const Sample& last = samples_.back();
    if (sent.time - last.sent.time < kMinSampleInterval) return;
    if (position < last.position) return;
  }
  samples_.push_back(Sample{sent, position});
  while (sent.time - samples_.front().sent.time > kMaxAge) samples_.pop_front();
}

void LeadershipTracker::OnConfirmed(Instant sent) {
  if (is_confirmed_ && sent.sequence <= confirmed_.sequence) return;
  confirmed_ = sent;
  is_confirmed_ = true;
}

void LeadershipTracker::OnReplicaReceives(const UpstreamId& replica,
                                          Instant sent) {
  OnConfirmed(sent);
  if (replica == last_receiver_) {
    if (last_received_.sequence < sent.sequence) last_received_ = sent;
    return;
  }
  if (last_receiver_ != UpstreamId() &&
      sent.sequence < last_received_.sequence) {
    bool is_newer = other_receiver_ == UpstreamId() ||
                    other_received_.sequence < sent.sequence;
    if (!is_newer) return;
    other_receiver_ = replica;
    other_received_ = sent;
    return;
  }
  other_receiver_ = last_receiver_;
  other_received_ = last_received_;
  last_receiver_ = replica;
  last_received_ = sent;
}

void LeadershipTracker::OnUnchallenged(Instant at) {
  OnConfirmed(at);
  unchallenged_ = at;
  is_unchallenged_ = true;
}

void LeadershipTracker::Reset() {
  samples_.clear();
  is_confirmed_ = false;
  is_unchallenged_ = false;
  last_receiver_ = UpstreamId();
  other_receiver_ = UpstreamId();
}

Duration LeadershipTracker::LagOf(LogPosition applied, TimePoint at) const {
  auto later = std::partition_point(
      samples_.begin(), samples_.end(),
      [&](const Sample& sample) { return !(applied < sample.position); });
  if (later == samples_.end() || at < later->sent.time) return Duration();
  return at - later->sent.time;
}

TimePoint LeadershipTracker::ReachedAt(LogPosition position) const {
  if (samples_.empty()) return TimePoint();
  auto reached = std::partition_point(
      samples_.begin(), samples_.end(),
      [&](const Sample& sample) { return sample.position < position; });
  // The time is unknown before the first sample; a position beyond the last one
  // was reached later than it.
  if (reached == samples_.begin()) return TimePoint();
  return reached == samples_.end() ? samples_.back().sent.time
                                   : reached->sent.time;
}

LogPosition LeadershipTracker::MinPositionFor(TimePoint time) const {
  if (!is_confirmed_) return LogPosition();
  for (const Sample& sample : samples_) {
    if (sample.sent.sequence > confirmed_.sequence) break;
    if (sample.sent.time >= time) return sample.position;
  }
  return LogPosition();
}

LogPosition LeadershipTracker::NewestPosition(TimePoint* time) const {
  if (!is_confirmed_) return LogPosition();
  for (auto it = samples_.rbegin(); it != samples_.rend(); ++it) {
    if (it->sent.sequence > confirmed_.sequence) continue;
    *time = it->sent.time;
    return it->position;
  }
  return LogPosition();
}

}  // namespace fireflycart::proxy
