// While all slots are busy, they complete slots / service_time statements per
// unit of time, so the service time follows from the number of completions. To
// keep the slots busy during a round trip, slots * round_trip / service_time
// more calls must be in flight (Little's law). With too few calls in flight the
// first windows overestimate the service time; each window then allows more
// calls until the estimate is right.

#include "fireflycart/core/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace fireflycart {
namespace {

constexpr int kWindowCompletions = 20;
// Weights of a new sample in the moving averages.
constexpr double kRoundTripSampleWeight = 0.1;
constexpr double kServiceTimeSampleWeight = 0.5;
constexpr double kMinServiceMs = 0.1;

}  // namespace

void ConcurrencyLimit::OnRoundTrip(Duration took) {
  auto ms = static_cast<double>(took.millis());
  bool first = round_trip_ms_ == 0;
  round_trip_ms_ =
      first ? ms
            : round_trip_ms_ + kRoundTripSampleWeight * (ms - round_trip_ms_);
}

void ConcurrencyLimit::OnCompletion(int in_flight, TimePoint now) {
  bool busy = in_flight >= slots_;
  if (busy && was_busy_) {
    completions_++;
    busy_time_ = busy_time_ + (now - last_completion_);
  }
  was_busy_ = busy;
  last_completion_ = now;
  if (completions_ >= kWindowCompletions) EndWindow();
}

void ConcurrencyLimit::EndWindow() {
  double ms_per_completion =
      static_cast<double>(busy_time_.millis()) / completions_;
  double service = std::max(kMinServiceMs, slots_ * ms_per_completion);
  bool first = service_ms_ == 0;
  service_ms_ =
      first ? service
            : service_ms_ + kServiceTimeSampleWeight * (service - service_ms_);
  double needed = slots_ * round_trip_ms_ / service_ms_;
  extra_calls_ = std::clamp(static_cast<int>(std::ceil(needed)), 0, slots_);
  completions_ = 0;
  busy_time_ = Duration();
}

}  // namespace fireflycart
