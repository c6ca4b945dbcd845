// How many calls an upstream may have in flight: enough to keep its slots busy
// over the round trip, and no more, so that urgent work does not queue behind
// others at the upstream.
//
//   limit.OnRoundTrip(Duration::Millis(2));          // a status call
//   limit.OnCompletion(in_flight_before, now);       // a statement's reply
//   if (in_flight < limit.limit()) Send();
//
// Limits: between the slots and twice the slots. Falls back to the slots as
// long as nothing was measured, and when the upstream slows down.

#ifndef FIREFLYCART_CORE_CONCURRENCY_LIMIT_H_
#define FIREFLYCART_CORE_CONCURRENCY_LIMIT_H_

#include "fireflycart/core/clock.h"

namespace fireflycart {

class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(int slots = 1) : slots_(slots) {}

  void set_slots(int slots) { slots_ = slots; }

  // A call that needs no slot took this long.
  void OnRoundTrip(Duration took);
  // A statement ended; in_flight counts it.
  void OnCompletion(int in_flight, TimePoint now);

  int limit() const { return slots_ + extra_calls_; }
  // Time of one statement in a slot, in milliseconds; 0 if not measured.
  double service_ms() const { return service_ms_; }
  // Statements that the upstream ends in a millisecond when all slots are busy;
  // 0 if not measured.
  double rate_per_ms() const {
    return service_ms_ > 0 ? slots_ / service_ms_ : 0;
  }

 private:
  void EndWindow();

  int slots_;
  int extra_calls_ = 0;
  double round_trip_ms_ = 0;
  double service_ms_ = 0;
  // The current window counts only time in which all slots were busy.
  int completions_ = 0;
  Duration busy_time_;
  TimePoint last_completion_;
  bool was_busy_ = false;
};

}  // namespace fireflycart

#endif  // FIREFLYCART_CORE_CONCURRENCY_LIMIT_H_
