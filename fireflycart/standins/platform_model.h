// A stand-in for the platform as a pure state machine: a transactional table,
// an object store, a lagging list of VMs, and faults.
//
//   PlatformModel platform;
//   auto reply = platform.Call(body, now);   // nothing: the answer is lost
//
// Limits: everything is in memory.

#ifndef FIREFLYCART_STANDINS_PLATFORM_MODEL_H_
#define FIREFLYCART_STANDINS_PLATFORM_MODEL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fireflycart/core/clock.h"
#include "fireflycart/core/platform_message.h"

namespace fireflycart {

struct PlatformFaults {
  bool outage = false;   // Nothing is answered and nothing changes.
  int lose_answers = 0;  // So many changes take effect without an answer.
  Duration slow;         // Added to each answer.
  Duration list_lag;     // Age of the list of VMs.
};

class PlatformModel {
 public:
  // The reply, or nothing if the caller must get none.
  std::optional<PlatformReply> Call(const PlatformCallBody& body,
                                    TimePoint now);

  // Replaces the list of VMs; readers see it after the lag.
  void SetVms(const std::vector<ListedVm>& vms, TimePoint now);
  void SetFaults(const PlatformFaults& faults) { faults_ = faults; }
  const PlatformFaults& faults() const { return faults_; }

 private:
  PlatformReply Serve(const PlatformCallBody& body, TimePoint now);
  PlatformReply Transact(const TransactCall& call);
  std::vector<ListedVm> VmsAt(TimePoint when) const;

  std::map<std::string, Row> rows_;
  std::map<std::string, std::string> objects_;
  std::map<int64_t, std::vector<ListedVm>> vms_;  // By time of the change.
  PlatformFaults faults_;
};

}  // namespace fireflycart

#endif  // FIREFLYCART_STANDINS_PLATFORM_MODEL_H_
