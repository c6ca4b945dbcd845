// The monotonic clock of the process.

#ifndef FIREFLYCART_NET_STEADY_CLOCK_H_
#define FIREFLYCART_NET_STEADY_CLOCK_H_

#include <chrono>

#include "fireflycart/core/clock.h"

namespace fireflycart {

class SteadyClock : public Clock {
 public:
  TimePoint Now() const override {
    auto since = std::chrono::steady_clock::now().time_since_epoch();
    return TimePoint::FromMillis(
        std::chrono::duration_cast<std::chrono::milliseconds>(since).count());
  }
};

}  // namespace fireflycart

#endif  // FIREFLYCART_NET_STEADY_CLOCK_H_
