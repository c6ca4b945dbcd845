// Distinguishes an upstream that is down from a connection that failed.
//
// A call that times out only makes the upstream suspect: a new connection is
// tried. If that one works, the old connection was at fault; if it fails too,
// repeatedly, the upstream is down.
//
//   health.OnCallTimeout();          // then close and open a new connection
//   health.OnOpenFailed(now);
//   if (health.down()) StartFailover();

#ifndef FIREFLYCART_CORE_UPSTREAM_HEALTH_H_
#define FIREFLYCART_CORE_UPSTREAM_HEALTH_H_

#include <algorithm>

#include "fireflycart/core/clock.h"

namespace fireflycart {

class UpstreamHealth {
 public:
  // Consecutive failures to open a connection after which the upstream is down.
  static constexpr int kOpenFailuresUntilDown = 2;
  static constexpr Duration kInitialRetryDelay = Duration::Millis(40);
  static constexpr Duration kMaxRetryDelay = Duration::Millis(500);

  bool down() const { return failures_ >= kOpenFailuresUntilDown; }
  bool suspect() const { return failures_ > 0 || call_timed_out_; }

  void OnReply() {
    failures_ = 0;
    call_timed_out_ = false;
  }
  void OnCallTimeout() { call_timed_out_ = true; }
  void OnOpenFailed(TimePoint now) {
    failures_++;
    int64_t doubled = kInitialRetryDelay.millis()
                      << std::min(failures_ - 1, kMaxDoublings);
    next_open_ = now + std::min(Duration::Millis(doubled), kMaxRetryDelay);
  }
  bool MayOpen(TimePoint now) const { return now >= next_open_; }

 private:
  static constexpr int kMaxDoublings = 5;

  int failures_ = 0;
  bool call_timed_out_ = false;
  TimePoint next_open_;
};

}  // namespace fireflycart

#endif  // FIREFLYCART_CORE_UPSTREAM_HEALTH_H_
