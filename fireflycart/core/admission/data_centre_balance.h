// Decides which reads leave the data centre of their caller, although its own
// replicas could serve them later.
//
// Load pattern: a data centre asks for more than its own upstreams can run,
// because demand is uneven or moves in a wave, or because its upstreams are
// slow. The way to other data centres takes time and its bytes cost money, so a
// read leaves only if it gains more than that.
//
//   DataCentreBalance balance(options);
//   balance.OnNews(wait, service, way, now);
//   if (balance.ShouldLeave(local_wait, local_service, target_left, now)) ...
//
// A read gains the time that it is expected to take here, less the time
// elsewhere, the way there and back, and the leave cost. From no gain to a gain
// of kWidth, the share of the reads that leave grows from none to all.
//
// Limits: without news for kNewsMaxAge it takes the other data centres for
// idle, and the way for kDefaultWay. Only the caller of this class knows
// whether any upstream here is available.

#ifndef FIREFLYCART_CORE_ADMISSION_DATA_CENTRE_BALANCE_H_
#define FIREFLYCART_CORE_ADMISSION_DATA_CENTRE_BALANCE_H_

#include "fireflycart/core/clock.h"

namespace fireflycart::proxy {

struct DataCentreBalanceOptions {
  // The price of the bytes between data centres, as the time that a read may
  // take longer rather than leave its own; zero: they cost nothing.
  Duration leave_cost = Duration::Millis(40);
};

class DataCentreBalance {
 public:
  static constexpr Duration kWidth = Duration::Millis(40);
  static constexpr Duration kDefaultWay = Duration::Millis(8);  // Both ways.
  static constexpr Duration kNewsMaxAge = Duration::Seconds(1);
  // Time constant with which shorter waits elsewhere are believed.
  static constexpr Duration kNewsWindow = Duration::Seconds(1);
  // The leave cost counts for at most this part of the time to the target, so
  // that no read is late for the sake of bytes.
  static constexpr int64_t kTargetPart = 8;

  explicit DataCentreBalance(const DataCentreBalanceOptions& options)
      : options_(options) {}

  // How long a read waits and then runs elsewhere, and the way there and back.
  void OnNews(Duration wait, Duration service, Duration way, TimePoint now);

  // True if the next read should leave. Its wait and service here are expected.
  bool ShouldLeave(Duration wait, Duration service, Duration target_left,
                   TimePoint now);

  // The share of the reads that left, at the last decision.
  double share() const { return share_; }

 private:
  double ShareFor(double gain_ms) const;

  DataCentreBalanceOptions options_;
  bool has_news_ = false;
  TimePoint news_at_;
  double wait_ms_ = 0;
  double service_ms_ = 0;
  double way_ms_ = 0;
  double share_ = 0;
  double owed_ = 0;  // Parts of reads that were to leave and have not yet.
};

}  // namespace fireflycart::proxy

#endif  // FIREFLYCART_CORE_ADMISSION_DATA_CENTRE_BALANCE_H_
