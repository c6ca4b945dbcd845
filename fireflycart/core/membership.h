// Which VMs are alive, learnt by pinging one of them in each period.
//
// The platform's list of VMs is late and may be wrong, so it only proposes
// whom to ping. A VM counts as usable once it was heard of as alive, and until
// it is known as leaving or dead.
//
//   membership.OnPlatformList(vms, &context);
//   membership.OnTick(gossip_builder, &context);
//   for (const Member& m : membership.Usable()) ...
//
// Cost: one ping per period and VM, whatever the size of the fleet. Detection
// takes about one period, two ping timeouts and the suspicion time.
// Limits: at most kMaxMembers VMs are remembered.

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

// Supplies the gossip that rides on a ping to one VM.
class GossipSource {
 public:
  virtual ~GossipSource() = default;
  virtual Gossip GossipFor(const VmId& peer) = 0;
};

class Membership {
 public:
  explicit Membership(MemberUpdate self);

  // Adds VMs that are not known yet and pings some of them.
  void OnPlatformList(const std::vector<ListedVm>& vms, TimePoint now);

  // Sends the next ping when it is due and ends suspicions that ran out.
  void OnTick(GossipSource* source, Context* context);

  // Takes in facts from a ping or a reply of that peer.
  void Merge(const std::vector<MemberUpdate>& updates, TimePoint now);

  // Handles the reply to a call of this part. Returns false if the call
  // belongs to another part.
  bool OnReply(const PeerReplied& reply, Context* context);

  // Pings the target for another VM; the result goes to that VM's handle.
  void PingOnBehalf(HandleId handle, const VmId& target, GossipSource* source,
                    Context* context);

  // A call to the VM failed: ping it at the next tick.
  void PingAtNextTick(const VmId& vm);

  // Announces that this VM is leaving.
  void Leave();

  // Facts for a gossip to one VM, including what is held against that VM.
  std::vector<MemberUpdate> TakeUpdates(const VmId& peer);

  // All VMs that are alive or merely suspected, this one included.
  std::vector<MemberUpdate> Usable() const;
  // The same without this one.
  std::vector<MemberUpdate> Peers() const;
  // All VMs remembered, this one included.
  std::vector<MemberUpdate> All() const;
  bool IsUsable(const VmId& vm) const;
  // True while the VM answers, even if it is leaving.
  bool IsReachable(const VmId& vm) const;
  // Address for peers; empty if the VM is not known.
  std::string AddressOf(const VmId& vm) const;
  // Grows with every change of Usable().
  uint64_t version() const { return version_; }
  // When a peer was last heard of directly; the start of time if never.
  TimePoint last_contact() const { return last_contact_; }
  // True if another VM is known or listed by the platform.
  bool has_other_members() const { return members_.size() > 1; }

 private:
  struct Member {
    MemberUpdate update;
    TimePoint since;
    bool listed = false;  // The platform lists it.
  };
  // A ping on its way, for this VM or on behalf of another.
  struct Probe {
    VmId target;
    bool indirect = false;
    HandleId on_behalf_of;
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
  std::vector<VmId> round_targets_;  // Targets left in this round.
  std::set<VmId> priority_targets_;  // To be pinged first.
  DisseminationQueue<VmId, MemberUpdate> queue_;
  TimePoint next_ping_;
  TimePoint next_scan_;
  TimePoint last_contact_;
  uint64_t version_ = 1;
};

}  // namespace fireflycart

#endif  // FIREFLYCART_CORE_MEMBERSHIP_H_
