// Token bucket that bounds the load added by retries. Each request adds a
// fraction of a token and each retry costs one, so retries stay a fixed share
// of the traffic. A small constant refill lets a VM with little traffic retry
// too.
//
//   budget.OnRequest();
//   if (budget.TryRetry(now)) SendAgain();

#ifndef FIREFLYCART_CORE_RETRY_BUDGET_H_
#define FIREFLYCART_CORE_RETRY_BUDGET_H_

#include <algorithm>

#include "fireflycart/core/clock.h"

namespace fireflycart {

class RetryBudget {
 public:
  static constexpr double kTokensPerRequest = 0.2;
  static constexpr double kTokensPerSecond = 20;
  static constexpr double kMaxTokens = 200;

  void OnRequest() {
    tokens_ = std::min(kMaxTokens, tokens_ + kTokensPerRequest);
  }

  bool TryRetry(TimePoint now) {
    double seconds = static_cast<double>((now - last_refill_).millis()) / 1000;
    last_refill_ = now;
    tokens_ = std::min(kMaxTokens, tokens_ + seconds * kTokensPerSecond);
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

 private:
  double tokens_ = kMaxTokens / 2;
  TimePoint last_refill_;
};

}  // namespace fireflycart

#endif  // FIREFLYCART_CORE_RETRY_BUDGET_H_
