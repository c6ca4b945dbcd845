// Shows that the primary of a group leads while there is no replica that could
// confirm it.
//
//   sole.Step(failover.lease(), pool, primary, &context);
//   if (sole.OnStore(answer, &context)) ...
//   if (sole.IsProven(failover.lease(), now)) ...
//
// Limits: needs the duty lease and answers of the store; a VM without them
// proves nothing.

#ifndef FIREFLYCART_CORE_PROXY_SOLE_LEADERSHIP_H_
#define FIREFLYCART_CORE_PROXY_SOLE_LEADERSHIP_H_

#include <cstdint>
#include <set>
#include <string>

#include "fireflycart/core/proxy/duty_lease.h"
#include "fireflycart/core/proxy/upstream_pool.h"

namespace fireflycart::proxy {

class SoleLeadership {
 public:
  // An order that another VM gave before it lost the lease has taken effect
  // after this time, or never will: see UpstreamPool::kEstablishedAge.
  static constexpr Duration kMaxOrderTime = Duration::Seconds(4);
  // Entries that expired while the store did not answer are back after this
  // time; see Failover::kUnregisteredTimeout.
  static constexpr Duration kReturnTime = Duration::Millis(2300);
  // Interval between two reads of the list of upstreams.
  static constexpr Duration kListReadInterval = Duration::Millis(500);
  static constexpr Duration kListReadTimeout = Duration::Millis(300);

  explicit SoleLeadership(GroupId group) : group_(std::move(group)) {}

  void Step(const DutyLease& lease, const UpstreamPool& pool,
            const UpstreamId& primary, ProxyContext* context);
  bool OnStore(const StoreAnswered& answer, ProxyContext* context);

  // True if no promotion was requested until now.
  bool IsProven(const DutyLease& lease, TimePoint now) const {
    return is_proven_ && lease.IsExclusive(now) &&
           lease.exclusive_since() == exclusive_since_;
  }
  // What the proof rests on or lacks, for logs and refusals.
  std::string Describe(const DutyLease& lease, TimePoint now) const;

 private:
  void ReadList(ProxyContext* context);
  bool AreOthersReplicas(const UpstreamPool& pool, const UpstreamId& primary,
                         TimePoint since, TimePoint now) const;

  GroupId group_;
  // What the evidence is for.
  TimePoint exclusive_since_;
  UpstreamId primary_;
  uint64_t term_ = 0;
  bool is_proven_ = false;
  CallId read_;
  TimePoint read_sent_at_;
  TimePoint next_read_;
  bool has_list_ = false;
  TimePoint list_sent_at_;  // When the list was requested.
  StoreEra list_era_;
  std::set<UpstreamId> listed_;
};

}  // namespace fireflycart::proxy

#endif  // FIREFLYCART_CORE_PROXY_SOLE_LEADERSHIP_H_
