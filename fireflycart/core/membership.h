// Tracks which VMs are alive by pinging one of them in each period.
//
// The platform's list of VMs is late and may be wrong, so it only proposes
// which VMs to ping. A VM is usable from the first report that it is alive
// until it is reported as leaving or dead.
//
//   membership.OnPlatformList(vms, &context);
//   membership.OnTick(gossip_builder, &context);
//   for (const Member& m : membership.Usable()) ...
//
// Cost: one ping per period and VM, independent of the size of the fleet.
// Detection of a failure takes about one period, two ping timeouts and the
// suspicion timeout.
// Limits: the table holds at most kMaxMembers VMs.

#ifndef FIREFLYCART_CORE_MEMBERSHIP_H_
#define FIREFLYCART_CORE_MEMBERSHIP_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "fireflycart/core/clock.h"
#include "fireflycart/core/context.h"
#include "fireflycart/core/dissemination_queue.h"
#include "fireflycart/core/event.h"
#include "fireflycart/core/ids.h"
#include "fireflycart/core/peer_message.h"
#include "fireflycart/core/platform_message.h"

namespace fireflycart {

constexpr size_t kMaxMembers = 10000;

// Supplies the gossip that is piggybacked on a ping to one VM.
class GossipSource {
 public:
  virtual ~GossipSource() = default;
  virtual Gossip GossipFor(const VmId& peer) = 0;
};

class Membership {
 public:
  explicit Membership(MemberUpdate self);

  // Adds VMs that are not in the table yet; the next ticks ping them.
  void OnPlatformList(const std::vector<ListedVm>& vms, TimePoint now);

  // Sends the next ping when it is due and expires suspicions.
  void OnTick(GossipSource* source, Context* context);

  // Applies the updates of a ping or a ping reply.
  void Merge(const std::vector<MemberUpdate>& updates, TimePoint now);

  // Handles the reply to a call that this class emitted. Returns false for
  // any other call.
  bool OnReply(const PeerReplied& reply, Context* context);

  // Pings the target for another VM and answers that VM's call, identified by
  // the handle, with the result.
  void PingOnBehalf(HandleId handle, const VmId& target, GossipSource* source,
                    Context* context);

  // Schedules a ping after a call to the VM failed.
  void PingAtNextTick(const VmId& vm);

  // Announces that this VM is leaving.
  void Leave();

  // Updates for a gossip to one VM. They include the state of that VM if it is
  // not alive, so that it can refute.
  std::vector<MemberUpdate> TakeUpdates(const VmId& peer);

  // All VMs that are alive or suspect, including this one.
  std::vector<MemberUpdate> Usable() const;
  // All VMs that are alive or suspect, except this one.
  std::vector<MemberUpdate> Peers() const;
  // All VMs from which or about which an update has arrived, including this
  // one. VMs that only the platform has listed are left out.
  std::vector<MemberUpdate> All() const;
  bool IsUsable(const VmId& vm) const;
  // True unless the VM is dead or not in the table; a leaving VM is reachable.
  bool IsReachable(const VmId& vm) const;
  // Address for peers; empty if the VM is not in the table.
  std::string AddressOf(const VmId& vm) const;
  // Increases whenever the set of usable VMs changes.
  uint64_t version() const { return version_; }
  // Time of the last gossip from a peer; TimePoint() if there was none.
  TimePoint last_contact() const { return last_contact_; }
  // True if the table holds another VM, from gossip or from the platform.
  bool has_other_members() const { return members_.size() > 1; }

 private:
  struct Member {
    MemberUpdate update;
    TimePoint since;      // Time of the last change of state or incarnation.
    bool listed = false;  // The platform's list contains the VM.
  };
  // A ping without a reply yet, sent for this VM or on behalf of another.
  struct Probe {
    VmId target;
    bool indirect = false;  // Another VM was asked to send the ping.
    HandleId on_behalf_of;  // Call to answer; empty for a ping of this VM.
  };

  void Apply(const MemberUpdate& update, bool disseminate, TimePoint now);
  void RefuteIfNeeded(const MemberUpdate& update);
  void ExpireSuspicions(TimePoint now, Duration suspicion);
  void RemoveOldDeadMembers(TimePoint now);
  void SendNextPing(GossipSource* source, Context* context);
  void SendPing(const VmId& target, HandleId on_behalf_of, GossipSource* source,
                Context* context);
  void OnPingFailed(const Probe& probe, Context* context);
  void OnIndirectPingFailed(const Probe& probe, TimePoint now);
  VmId NextTarget(Context* context);
  void SetState(Member* member, MemberState state, TimePoint now);

  VmId self_;
  std::map<VmId, Member> members_;
  std::map<CallId, Probe> probes_;
  std::map<VmId, int> indirect_pending_;
  std::vector<VmId> unpinged_;       // Not pinged yet in this round.
  std::set<VmId> priority_targets_;  // Pinged before all others.
  DisseminationQueue<VmId, MemberUpdate> queue_;
  TimePoint next_ping_;
  TimePoint next_scan_;
  TimePoint last_contact_;
  uint64_t version_ = 1;
};

}  // namespace fireflycart

#endif  // FIREFLYCART_CORE_MEMBERSHIP_H_
