// A position taken from the primary says nothing by itself: the primary may
// have been replaced unnoticed. It counts once a proof was sent no earlier,
// since no other upstream had acknowledged anything by then.

#include "fireflycart/core/proxy/evidence.h"

#include <algorithm>

namespace fireflycart::proxy {

void Evidence::OnPrimaryPosition(Instant sent, LogPosition position) {
  if (!position.known()) return;
  if (!marks_.empty()) {
    const Mark& last = marks_.back();
    if (sent.time - last.sent.time < kStep) return;
    if (position < last.position) return;
  }
  marks_.push_back(Mark{sent, position});
  while (sent.time - marks_.front().sent.time > kHistory) marks_.pop_front();
}

void Evidence::OnProof(Instant sent) {
  if (has_proof_ && sent.sequence <= proven_.sequence) return;
  proven_ = sent;
  has_proof_ = true;
}

void Evidence::Forget() {
  marks_.clear();
  has_proof_ = false;
}

Duration Evidence::LagOf(LogPosition applied, TimePoint at) const {
  auto later = std::partition_point(
      marks_.begin(), marks_.end(),
      [&](const Mark& mark) { return !(applied < mark.position); });
  if (later == marks_.end() || at < later->sent.time) return Duration();
  return at - later->sent.time;
}

TimePoint Evidence::ReachedAt(LogPosition position) const {
  if (marks_.empty()) return TimePoint();
  auto reached = std::partition_point(
      marks_.begin(), marks_.end(),
      [&](const Mark& mark) { return mark.position < position; });
  // Before the first mark nothing is known, after the last one it is newer.
  if (reached == marks_.begin()) return TimePoint();
  return reached == marks_.end() ? marks_.back().sent.time : reached->sent.time;
}

LogPosition Evidence::FloorFor(TimePoint time) const {
  if (!has_proof_) return LogPosition();
  for (const Mark& mark : marks_) {
    if (mark.sent.sequence > proven_.sequence) break;
    if (mark.sent.time >= time) return mark.position;
  }
  return LogPosition();
}

}  // namespace fireflycart::proxy
