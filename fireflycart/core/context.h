// The context in which every part of the reducer handles an event: the time,
// the list of effects, a counter for unique ids and a seeded random generator.
//
//   context->Log(LogLevel::kInfo, "takeover", "Fencing started.");
//   CallId call = context->NextCall();

#ifndef FIREFLYCART_CORE_CONTEXT_H_
#define FIREFLYCART_CORE_CONTEXT_H_

#include <cstdint>
#include <random>
#include <string>
#include <utility>

#include "fireflycart/core/effect.h"
#include "fireflycart/core/options.h"

namespace fireflycart {

// A point in the event history of one node.
struct Instant {
  TimePoint time;
  uint64_t sequence = 0;
};

class Context {
 public:
  Context(VmId self, Options options, uint64_t seed)
      : self_(std::move(self)), options_(options), random_(seed) {}

  // Starts the next event: its effects are appended to *effects.
  void Begin(TimePoint now, Effects* effects) {
    now_ = now;
    effects_ = effects;
    sequence_++;
  }

  const VmId& self() const { return self_; }
  const Options& options() const { return options_; }
  TimePoint now() const { return now_; }
  // Number of the current event. It also orders two events of the same
  // millisecond, which the time does not.
  uint64_t sequence() const { return sequence_; }
  Instant instant() const { return Instant{now_, sequence_}; }

  void Emit(Effect effect) { effects_->push_back(std::move(effect)); }

  void Log(LogLevel level, const char* part, std::string text) {
    Emit(WriteLog{level, part, std::move(text)});
  }

  uint64_t NextNumber() { return ++last_number_; }
  CallId NextCall() { return CallId(NextNumber()); }
  ConnectionId NextConnection() { return ConnectionId(NextNumber()); }

  // A number in [0, bound). Portable: no standard distribution is used, since
  // their results differ between libraries.
  uint64_t Random(uint64_t bound) { return bound == 0 ? 0 : random_() % bound; }

  // A duration between half of base and one and a half times base.
  Duration Jitter(Duration base) {
    int64_t spread = base.millis();
    int64_t drawn =
        static_cast<int64_t>(Random(static_cast<uint64_t>(spread) + 1));
    return Duration::Millis(spread / 2 + drawn);
  }

 private:
  VmId self_;
  Options options_;
  std::mt19937_64 random_;
  TimePoint now_;
  Effects* effects_ = nullptr;
  uint64_t last_number_ = 0;
  uint64_t sequence_ = 0;
};

}  // namespace fireflycart

#endif  // FIREFLYCART_CORE_CONTEXT_H_
