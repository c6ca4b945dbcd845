// Time types: a duration and a point in time, both in whole milliseconds, and
// an abstract clock.
//
// The decision library never reads a clock. Each event carries the time at
// which it arrived, and tests pass in any time:
//
//   TimePoint now = clock.Now();
//   TimePoint deadline = now + Duration::Millis(250);
//   bool late = clock.Now() > deadline;
//
// Limits: the resolution is one millisecond. Points in time of two processes
// are not comparable; only durations may cross a process boundary.

#ifndef FIREFLYCART_CORE_CLOCK_H_
#define FIREFLYCART_CORE_CLOCK_H_

#include <cstdint>

namespace fireflycart {

// A span of time in milliseconds. May be negative.
class Duration {
 public:
  constexpr Duration() = default;
  static constexpr Duration Millis(int64_t count) { return Duration(count); }
  static constexpr Duration Seconds(int64_t count) {
    return Duration(count * kMillisPerSecond);
  }

  constexpr int64_t millis() const { return millis_; }

  constexpr bool operator==(Duration o) const { return millis_ == o.millis_; }
  constexpr bool operator!=(Duration o) const { return millis_ != o.millis_; }
  constexpr bool operator<(Duration o) const { return millis_ < o.millis_; }
  constexpr bool operator>(Duration o) const { return millis_ > o.millis_; }
  constexpr bool operator<=(Duration o) const { return millis_ <= o.millis_; }
  constexpr bool operator>=(Duration o) const { return millis_ >= o.millis_; }
  constexpr Duration operator+(Duration o) const {
    return Duration(millis_ + o.millis_);
  }
  constexpr Duration operator-(Duration o) const {
    return Duration(millis_ - o.millis_);
  }
  constexpr Duration operator*(int64_t factor) const {
    return Duration(millis_ * factor);
  }

 private:
  static constexpr int64_t kMillisPerSecond = 1000;
  explicit constexpr Duration(int64_t millis) : millis_(millis) {}

  int64_t millis_ = 0;
};

// A point in time on the monotonic clock of one process, in milliseconds.
class TimePoint {
 public:
  constexpr TimePoint() = default;
  static constexpr TimePoint FromMillis(int64_t millis) {
    return TimePoint(millis);
  }

  constexpr int64_t millis() const { return millis_; }

  constexpr bool operator==(TimePoint o) const { return millis_ == o.millis_; }
  constexpr bool operator!=(TimePoint o) const { return millis_ != o.millis_; }
  constexpr bool operator<(TimePoint o) const { return millis_ < o.millis_; }
  constexpr bool operator>(TimePoint o) const { return millis_ > o.millis_; }
  constexpr bool operator<=(TimePoint o) const { return millis_ <= o.millis_; }
  constexpr bool operator>=(TimePoint o) const { return millis_ >= o.millis_; }
  constexpr TimePoint operator+(Duration d) const {
    return TimePoint(millis_ + d.millis());
  }
  constexpr TimePoint operator-(Duration d) const {
    return TimePoint(millis_ - d.millis());
  }
  constexpr Duration operator-(TimePoint o) const {
    return Duration::Millis(millis_ - o.millis_);
  }

 private:
  explicit constexpr TimePoint(int64_t millis) : millis_(millis) {}

  int64_t millis_ = 0;
};

// Source of the current time. Implemented by the daemon and by tests.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual TimePoint Now() const = 0;
};

}  // namespace fireflycart

#endif  // FIREFLYCART_CORE_CLOCK_H_
