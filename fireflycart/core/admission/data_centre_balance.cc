// The share follows the present wait here, which the caller of this class knows
// without delay. So a queue of this data centre that is too long sends away
// exactly what it gets too much: its length settles without overshoot, where
// the share that leaves is the surplus. What delays could make swing is the
// reaction to the queue elsewhere, on which several data centres act at once.
// So longer queues there count at once and shorter ones only over kNewsWindow,
// several times the delay of the news: work is kept back fast and sent away
// slowly. And the share reacts over a width, not at a threshold.

#include "fireflycart/core/admission/data_centre_balance.h"

#include <algorithm>

namespace fireflycart::proxy {
namespace {

double Millis(Duration d) { return static_cast<double>(d.millis()); }

}  // namespace

void DataCentreBalance::OnNews(Duration wait, Duration service, Duration way,
                               TimePoint now) {
  bool is_stale = !has_news_ || now - news_at_ > kNewsMaxAge;
  double weight =
      is_stale ? 1
               : std::min(1.0, Millis(now - news_at_) / Millis(kNewsWindow));
  // A queue that grows there counts at once. Otherwise queues that grow
  // everywhere would each look shorter to the others than they are.
  double wait_weight = Millis(wait) > wait_ms_ ? 1 : weight;
  wait_ms_ += wait_weight * (Millis(wait) - wait_ms_);
  service_ms_ += weight * (Millis(service) - service_ms_);
  way_ms_ += weight * (Millis(way) - way_ms_);
  has_news_ = true;
  news_at_ = now;
}

bool DataCentreBalance::ShouldLeave(Duration wait, Duration service,
                                    Duration target_left, TimePoint now) {
  bool is_known = has_news_ && now - news_at_ <= kNewsMaxAge;
  double here = Millis(wait) + Millis(service);
  // Without a measurement there, the same service time as here is assumed.
  bool is_measured = is_known && service_ms_ > 0 && service > Duration();
  double service_there = is_measured ? service_ms_ : Millis(service);
  double there = service_there;
  there += is_known ? wait_ms_ + way_ms_ : Millis(kDefaultWay);
  double cost = std::max(
      0.0, std::min(Millis(options_.leave_cost),
                    Millis(target_left) / static_cast<double>(kTargetPart)));
  share_ = ShareFor(here - there - cost);
  owed_ += share_;
  if (owed_ < 1) return false;
  owed_ -= 1;
  return true;
}

double DataCentreBalance::ShareFor(double gain_ms) const {
  return std::clamp(gain_ms / Millis(kWidth), 0.0, 1.0);
}

}  // namespace fireflycart::proxy
