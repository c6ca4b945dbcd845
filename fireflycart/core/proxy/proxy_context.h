// What each part of the proxy's reducer is handed: the time, a place for
// effects, a source of numbers and seeded random numbers.
//
//   context->Emit(CloseCaller{session});
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

// A point in the history of one node. The sequence orders what happened within
// one millisecond.
struct Instant {
  TimePoint time;
  uint64_t sequence = 0;
};

class ProxyContext {
 public:
  ProxyContext(VmId self, uint64_t incarnation, uint64_t seed)
      : self_(std::move(self)), incarnation_(incarnation), random_(seed) {}

  // Starts a step; returns true if a time that was asked for has come.
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

  // Asks for an event at that time. Times within a few milliseconds share one.
  void WakeAt(TimePoint time) { WakeInSteps(time, 4); }
  // The same for time limits, which may be noticed a little late.
  void WakeAround(TimePoint time) { WakeInSteps(time, 25); }
  bool has_wake() const { return !wakes_.empty(); }
  TimePoint next_wake() const { return *wakes_.begin(); }

  uint64_t NextNumber() { return ++last_number_; }
  CallId NextCall() { return CallId(NextNumber()); }
  ConnectionId NextConnection() { return ConnectionId(NextNumber()); }

  // A number in [0, bound). Portable: standard distributions differ.
  uint64_t Random(uint64_t bound) { return bound == 0 ? 0 : random_() % bound; }

 private:
  // Rounds up, so that nothing wakes before its time.
  void WakeInSteps(TimePoint time, int64_t step_ms) {
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
