// Context that is passed to each component of the proxy's reducer: the current
// time, the list of effects, wake-up times, unique numbers and a seeded random
// generator.
//
//   context->Emit(CloseSession{session});
//   context->WakeAt(context->now() + Duration::Millis(50));

#ifndef FIREFLYCART_CORE_PROXY_PROXY_CONTEXT_H_
#define FIREFLYCART_CORE_PROXY_PROXY_CONTEXT_H_

#include <cstdint>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fireflycart/core/proxy/proxy_event.h"

namespace fireflycart::proxy {

// A point in the event history of one VM. The sequence number orders events
// within one millisecond.
struct Instant {
  TimePoint time;
  uint64_t sequence = 0;
};

class ProxyContext {
 public:
  ProxyContext(VmId self, uint64_t incarnation, uint64_t seed)
      : self_(std::move(self)), incarnation_(incarnation), random_(seed) {}

  // Starts the handling of an event; returns true if a requested wake-up time
  // has been reached.
  bool Begin(TimePoint now, ProxyEffects* effects) {
    now_ = now;
    effects_ = effects;
    sequence_++;
    bool is_due = !wakes_.empty() && *wakes_.begin() <= now;
    wakes_.erase(wakes_.begin(), wakes_.upper_bound(now));
    return is_due;
  }

  const VmId& self() const { return self_; }
  uint64_t incarnation() const { return incarnation_; }
  TimePoint now() const { return now_; }
  Instant instant() const { return Instant{now_, sequence_}; }

  void Emit(ProxyEffect effect) { effects_->push_back(std::move(effect)); }

  void Log(LogLevel level, const char* part, const char* event,
           std::vector<LogField> fields) {
    Emit(WriteRecord{level, part, event, std::move(fields)});
  }

  // Requests a WakeUp event at that time, rounded up to a multiple of 4 ms so
  // that close times share one event.
  void WakeAt(TimePoint time) { WakeRounded(time, 4); }
  // The same, rounded up to a multiple of 25 ms, for time limits that may be
  // enforced slightly late.
  void WakeAtCoarse(TimePoint time) { WakeRounded(time, 25); }
  bool has_wake() const { return !wakes_.empty(); }
  TimePoint next_wake() const { return *wakes_.begin(); }

  uint64_t NextNumber() { return ++last_number_; }
  CallId NextCall() { return CallId(NextNumber()); }
  ConnectionId NextConnection() { return ConnectionId(NextNumber()); }

  // A number in [0, bound). Does not use a standard distribution, since their
  // results differ between library implementations.
  uint64_t Random(uint64_t bound) { return bound == 0 ? 0 : random_() % bound; }

 private:
  // Rounds up, so that no wake-up comes early.
  void WakeRounded(TimePoint time, int64_t step_ms) {
    int64_t steps = (time.millis() + step_ms - 1) / step_ms;
    wakes_.insert(TimePoint::FromMillis(steps * step_ms));
  }

  VmId self_;
  uint64_t incarnation_;
  std::mt19937_64 random_;
  TimePoint now_;
  ProxyEffects* effects_ = nullptr;
  std::set<TimePoint> wakes_;
  uint64_t last_number_ = 0;
  uint64_t sequence_ = 0;
};

}  // namespace fireflycart::proxy

#endif  // FIREFLYCART_CORE_PROXY_PROXY_CONTEXT_H_
