// Limits how many calls an upstream may have in flight: enough to keep its
// slots busy during the round trip, and no more, so that urgent work does not
// queue behind other work at the upstream.
//
//   limit.OnRoundTrip(Duration::Millis(2));          // a status call
//   limit.OnCompletion(in_flight_before, now);       // a statement's reply
//   if (in_flight < limit.limit()) Send();
//
// Limits: the limit is between the number of slots and twice that number. It
// equals the number of slots before the first measurement, and approaches it
// when the upstream slows down.

#ifndef FIREFLYCART_CORE_CONCURRENCY_LIMIT_H_
#define FIREFLYCART_CORE_CONCURRENCY_LIMIT_H_

#include "fireflycart/core/clock.h"

namespace fireflycart {

class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(int slots = 1) : slots_(slots) {}

  void set_slots(int slots) { slots_ = slots; }

  // Records the duration of a call that needs no slot.
  void OnRoundTrip(Duration took);
  // Records the end of a statement. in_flight includes this statement.
  void OnCompletion(int in_flight, TimePoint now);

  int limit() const { return slots_ + extra_calls_; }
  // Service time of one statement in a slot, in milliseconds; 0 if not yet
  // measured.
  double service_ms() const { return service_ms_; }
  // Statements that the upstream completes per millisecond when all slots are
  // busy; 0 if not yet measured.
  double rate_per_ms() const {
    return service_ms_ > 0 ? slots_ / service_ms_ : 0;
  }

 private:
  void EndWindow();

  int slots_;
  int extra_calls_ = 0;
  double round_trip_ms_ = 0;
  double service_ms_ = 0;
  // The measurement window; counts only time in which all slots were busy.
  int completions_ = 0;
  Duration busy_time_;
  TimePoint last_completion_;
  bool was_busy_ = false;
};

}  // namespace fireflycart

#endif  // FIREFLYCART_CORE_CONCURRENCY_LIMIT_H_
