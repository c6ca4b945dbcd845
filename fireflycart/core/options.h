// Timeouts, periods and limits of a node. Plain values with defaults; the
// daemon sets them from flags.
//
//   Options options;
//   options.set_probe_period(Duration::Millis(500));

#ifndef FIREFLYCART_CORE_OPTIONS_H_
#define FIREFLYCART_CORE_OPTIONS_H_

#include <cstddef>

#include "fireflycart/core/clock.h"

namespace fireflycart {

// Longest interval between two Tick events.
constexpr Duration kTickPeriod = Duration::Millis(10);

class Options {
 public:
  // Period of the membership pings of one VM.
  Duration probe_period() const { return probe_period_; }
  void set_probe_period(Duration d) { probe_period_ = d; }

  // Time that a ping may take before other VMs are asked to ping.
  Duration probe_timeout() const { return probe_timeout_; }
  void set_probe_timeout(Duration d) { probe_timeout_ = d; }

  // Time that a suspected VM has to refute the suspicion before it is dead.
  Duration suspicion_timeout() const { return suspicion_timeout_; }
  void set_suspicion_timeout(Duration d) { suspicion_timeout_ = d; }

  // Longest wait for a reply on an upstream's control connection.
  Duration control_timeout() const { return control_timeout_; }
  void set_control_timeout(Duration d) { control_timeout_ = d; }

  // Period of status calls to an upstream that sends no other replies.
  Duration status_period() const { return status_period_; }
  void set_status_period(Duration d) { status_period_ = d; }

  // Time without a new placement after which a VM may acquire its groups.
  Duration settle_period() const { return settle_period_; }
  void set_settle_period(Duration d) { settle_period_ = d; }

  // Longest wait for further upstreams, such as the old primary, after a
  // majority was fenced.
  Duration primary_grace() const { return primary_grace_; }
  void set_primary_grace(Duration d) { primary_grace_ = d; }

  // A primary whose replicas make no progress for this long is treated as cut
  // off from them.
  Duration replication_stall_timeout() const {
    return replication_stall_timeout_;
  }
  void set_replication_stall_timeout(Duration d) {
    replication_stall_timeout_ = d;
  }

  // Period at which configuration readers poll the platform.
  Duration config_poll_period() const { return config_poll_period_; }
  void set_config_poll_period(Duration d) { config_poll_period_ = d; }

  // A VM that receives nothing from peers or the platform for this long stops
  // serving.
  Duration isolation_limit() const { return isolation_limit_; }
  void set_isolation_limit(Duration d) { isolation_limit_ = d; }

  // Longest duration of a planned stop.
  Duration stop_limit() const { return stop_limit_; }
  void set_stop_limit(Duration d) { stop_limit_ = d; }

  // Sessions tracked for each group. Beyond it, the position that reads of
  // untracked sessions require rises.
  size_t session_budget() const { return session_budget_; }
  void set_session_budget(size_t n) { session_budget_ = n; }

  // Pending requests of callers on one VM. Beyond it, requests are refused.
  size_t caller_budget() const { return caller_budget_; }
  void set_caller_budget(size_t n) { caller_budget_ = n; }

  // Finished writes cached for each group to answer repeated requests at once.
  size_t outcome_budget() const { return outcome_budget_; }
  void set_outcome_budget(size_t n) { outcome_budget_ = n; }

 private:
  Duration probe_period_ = Duration::Millis(200);
  Duration probe_timeout_ = Duration::Millis(150);
  Duration suspicion_timeout_ = Duration::Millis(600);
  Duration control_timeout_ = Duration::Millis(250);
  Duration status_period_ = Duration::Millis(500);
  Duration settle_period_ = Duration::Millis(200);
  Duration primary_grace_ = Duration::Millis(300);
  Duration replication_stall_timeout_ = Duration::Millis(1500);
  Duration config_poll_period_ = Duration::Millis(1000);
  Duration isolation_limit_ = Duration::Millis(5000);
  Duration stop_limit_ = Duration::Millis(10000);
  size_t session_budget_ = 100000;
  size_t caller_budget_ = 20000;
  size_t outcome_budget_ = 10000;
};

}  // namespace fireflycart

#endif  // FIREFLYCART_CORE_OPTIONS_H_
