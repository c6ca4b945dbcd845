// Decides which connections to one upstream are opened, kept and closed, if a
// connection carries the statements of one tenant only.
//
// Load pattern: more tenants than connections, a few of them large. An opening
// occupies a slot of the upstream for about as long as a short statement, so a
// connection that is closed too early costs capacity when it is needed most.
//
//   TenantDemand demand;
//   demand.OnArrival(tenant, expected_service, now);
//   for (const ConnectionStep& step : ConnectionPlan().Steps(snapshot, demand))
//     Perform(step);
//
// Limits: one upstream at a time; which upstream work waits for is decided by
// its caller. The arrivals of a tenant are taken for a Poisson process.

#ifndef FIREFLYCART_CORE_ADMISSION_CONNECTION_PLAN_H_
#define FIREFLYCART_CORE_ADMISSION_CONNECTION_PLAN_H_

#include <map>
#include <set>
#include <vector>

#include "fireflycart/core/clock.h"
#include "fireflycart/core/ids.h"

namespace fireflycart::proxy {

// Statements that arrive for each tenant, as moving averages over kWindow.
class TenantDemand {
 public:
  static constexpr Duration kWindow = Duration::Seconds(15);
  // A tenant without an arrival for this time is forgotten.
  static constexpr Duration kMemory = Duration::Seconds(120);

  void OnArrival(const TenantId& tenant, Duration service, TimePoint now);

  // Arrivals for each second.
  double RateOf(const TenantId& tenant, TimePoint now) const;
  // Statements of the tenant that run at the same time, on average.
  double LoadOf(const TenantId& tenant, TimePoint now) const;
  // The tenants with demand, the largest rate first.
  std::vector<TenantId> ByRate(TimePoint now) const;

 private:
  struct Average {
    double count = 0;
    double busy_ms = 0;
    TimePoint updated_at;
  };

  static double DecayOf(const Average& average, TimePoint now);
  void Forget(TimePoint now);

  std::map<TenantId, Average> averages_;
  TimePoint next_forget_;
};

// The data connections of one tenant to an upstream.
struct TenantConnections {
  int idle = 0;
  int busy = 0;    // A statement runs.
  int pinned = 0;  // Reserved for a transaction.
  int opening = 0;
  TimePoint last_used;
};

// Queued work without an idle connection.
struct WaitingWork {
  TenantId tenant;
  Duration service;  // Expected; zero if unknown.
  Duration slack;    // Until it can no longer meet its target.
};

struct ConnectionSnapshot {
  TimePoint now;
  int slots = 0;
  int running = 0;
  int connections = 0;  // Data connections, opening ones included.
  int max_connections = 0;
  std::map<TenantId, TenantConnections> tenants;
  std::vector<WaitingWork> waiting;  // In the order of service.
  // Tenants with queued work that has an idle connection and lacks a slot.
  std::set<TenantId> startable;
};

// Opens a connection, after one of another tenant was closed if the limit is
// reached.
struct ConnectionStep {
  TenantId open;
  bool closes = false;
  TenantId close;         // One of its idle connections.
  bool is_ahead = false;  // No work waits for it.
};

class ConnectionPlan {
 public:
  // Share of the slots that openings may take while other work could use them.
  static constexpr double kMaxOpeningShare = 0.4;
  // Expected time that an opening takes.
  static constexpr Duration kOpenTime = Duration::Millis(12);
  // A connection that a tenant could do without replaces one of another tenant
  // only if it is expected to be used this much more often.
  static constexpr double kMinGain = 2;
  // Connections are opened ahead, while less than half of the slots are in use
  // and into free room only, for tenants that would use them at this rate, each
  // second.
  static constexpr double kMinAheadRate = 0.1;

  std::vector<ConnectionStep> Steps(const ConnectionSnapshot& upstream,
                                    const TenantDemand& demand) const;

  // Uses per second that the last of this many connections of the tenant is
  // expected to get: arrivals that find all others in use.
  static double ValueOf(const TenantId& tenant, int connections,
                        const TenantDemand& demand, TimePoint now);
};

}  // namespace fireflycart::proxy

#endif  // FIREFLYCART_CORE_ADMISSION_CONNECTION_PLAN_H_
