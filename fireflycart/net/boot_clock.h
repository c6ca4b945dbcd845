// The clock of daemons that serve sessions. It includes the time for which the
// VM was suspended, so that information received before a suspension is treated
// as old after it.

#ifndef FIREFLYCART_NET_BOOT_CLOCK_H_
#define FIREFLYCART_NET_BOOT_CLOCK_H_

#include <ctime>

#include "fireflycart/core/clock.h"

namespace fireflycart {

class BootClock : public Clock {
 public:
  TimePoint Now() const override {
    constexpr int64_t kMillisPerSecond = 1000;
    constexpr int64_t kNanosPerMilli = 1000000;
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint::FromMillis(time.tv_sec * kMillisPerSecond +
                                 time.tv_nsec / kNanosPerMilli);
  }
};

}  // namespace fireflycart

#endif  // FIREFLYCART_NET_BOOT_CLOCK_H_
