// The VMs that serve sessions, from the view of one of them: which VMs are
// reachable, and which one should own each group.
//
//   fleet.SetVms(records, &context);
//   VmId owner = fleet.OwnerOf(group);
//   fleet.OnCallFailed(owner, &context);
//
// Each VM decides by its own calls: a VM that leaves calls unanswered is
// probed, and one that does not answer the probe is not used until it answers
// again. The views of two VMs may differ, so nothing that must hold may rest on
// one of them; see duty_lease.h and limit_claim.h.
//
// Load pattern: all VMs start at the same moment and the store refuses some of
// them. A VM without routes answers, so it is not down, but it owns no group
// until its heartbeat shows that it has the tables.
//
// Each VM regularly probes only a few others, its contacts; see vm_ring.h.
// Those that would follow the store next also probe a reader; see
// store_readers.h.
//
// Cost: one probe per period to a contact, one to a watched reader, and one to
// each VM that leaves open calls unanswered, whatever the size of the fleet.

#ifndef FIREFLYCART_CORE_PROXY_FLEET_H_
#define FIREFLYCART_CORE_PROXY_FLEET_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "fireflycart/core/proxy/duty_lease.h"
#include "fireflycart/core/proxy/proxy_context.h"
#include "fireflycart/core/proxy/route.h"
#include "fireflycart/core/proxy/store_readers.h"

namespace fireflycart::proxy {

// Provides the heartbeat that every probe sends, and receives those of peers.
class HeartbeatHandler {
 public:
  virtual ~HeartbeatHandler() = default;
  virtual Heartbeat MakeHeartbeat() const = 0;
  // Called with each heartbeat of a peer.
  virtual void OnPeerHeartbeat(const VmId& vm, const Heartbeat& heartbeat) = 0;
  // Called with the answer to a probe that was sent at that time. Unlike a call
  // of a peer, it cannot have waited for longer than since then.
  virtual void OnProbeAnswered(const Heartbeat& heartbeat, TimePoint sent) = 0;
};

class Fleet {
 public:
  // Period of probes to contacts, one contact at a time.
  static constexpr Duration kProbePeriod = Duration::Millis(400);
  // A round trip takes a few milliseconds.
  static constexpr Duration kProbeTimeout = Duration::Millis(200);
  // A VM that answers nothing for this long while calls are open is probed.
  static constexpr Duration kSilenceTimeout = Duration::Millis(100);
  // Delay before a VM that failed is probed, first and later on.
  static constexpr Duration kFirstReprobeDelay = Duration::Millis(100);
  static constexpr Duration kDownProbePeriod = Duration::Millis(400);
  // The delay doubles with each failure, so that many lost VMs cost little.
  static constexpr Duration kMaxDownProbePeriod = Duration::Millis(1600);
  static constexpr int kMaxProbeDoublings = 2;
  // A VM that gets no answers from this one stops using it after
  // kSilenceTimeout and kProbeTimeout, so one that answered within less time
  // still counts this VM as usable.
  static constexpr Duration kContactMaxAge = Duration::Millis(250);
  static constexpr Duration kContactProbePeriod = Duration::Millis(100);
  // A VM that took this one for lost may be replacing a primary for this long.
  static constexpr Duration kDoubtTime = DutyLease::kLeaseDuration;

  Fleet(VmRecord self, HeartbeatHandler* heartbeat_handler);

  // Applies the list of the registry; VMs that are not in it are removed.
  void SetVms(const VmList& list, ProxyContext* context);
  void SetGroups(const std::vector<GroupId>& groups);

  // The VM that should own the group; this one if no other can.
  VmId OwnerOf(const GroupId& group) const;
  // The VM in this VM's data centre that should read from the group's replicas
  // there; empty if the owner is in this data centre.
  VmId ReaderOf(const GroupId& group) const;
  // The data centres of the VMs that can own groups; empty if all are in one.
  const std::set<DataCentreId>& data_centres() const { return data_centres_; }
  std::string AddressOf(const VmId& vm) const;
  // Empty if the VM is not known.
  DataCentreId DataCentreOf(const VmId& vm) const;
  bool IsUsable(const VmId& vm) const;
  std::vector<VmRecord> Records() const;
  // The VMs that follow the store, from the view of this one.
  const StoreReaders& store_readers() const { return store_readers_; }
  // The VMs to ask first how old their routes are. Of each data centre the
  // first few VMs by rank ask the readers of the store, and the others ask
  // them.
  const std::vector<VmId>& routes_sources() const { return routes_sources_; }
  // The VM that lends out the limits of tenants; see token_lender.h.
  const VmId& limits_lender() const { return limits_lender_; }
  // False if no other VM has answered a probe for kInTouchAge.
  static constexpr Duration kInTouchAge = Duration::Millis(1500);
  bool IsInTouch(TimePoint now) const;
  // Probes a VM that left a call unanswered.
  void Check(const VmId& vm, ProxyContext* context);
  // Sends a heartbeat, which says whether this VM reaches the store, to the VMs
  // that would follow the store next.
  void NotifyStoreReaders(ProxyContext* context);
  // Sends a heartbeat to the contacts, after this VM received newer data.
  void NotifyContacts(ProxyContext* context);
  // Probes the contacts that did not answer within kContactProbePeriod.
  void ProbeStaleContacts(ProxyContext* context);
  // True if all contacts answered within kContactMaxAge, no VM is down, and no
  // VM has taken this one for lost within kDoubtTime.
  bool IsFullyReachable(TimePoint now) const;
  // Grows whenever owners or store readers may have changed.
  uint64_t version() const { return version_; }
  size_t size() const { return vms_.size(); }
  size_t down_count() const;

  void Leave();

  void OnCallSent(const VmId& vm, ProxyContext* context);
  void OnCallAnswered(const VmId& vm, ProxyContext* context);
  // The call was not sent, or its answer was lost.
  void OnCallFailed(const VmId& vm, ProxyContext* context);
  // The VM answered that it cannot serve a group: it has just started and has
  // no routes or upstreams yet.
  void OnMisdirected(const VmId& vm, ProxyContext* context);
  void OnLeaving(const VmId& vm, ProxyContext* context);
  // The VM sent a heartbeat, in a call or in the reply to a probe.
  void OnHeartbeat(const VmId& vm, const Heartbeat& heartbeat,
                   ProxyContext* context);

  // Handles the reply to a probe; false if the call is not one.
  bool OnReply(const PeerReplied& reply, ProxyContext* context);
  void OnWake(ProxyContext* context);

 private:
  struct Vm {
    VmRecord record;
    bool is_down = false;
    bool is_leaving = false;
    bool reaches_store = true;
    // It has routes and upstreams, as far as is known.
    bool can_own = true;
    int open_calls = 0;
    TimePoint unanswered_since;  // Since when open calls have had no answer.
    TimePoint last_answer_at;
    bool has_open_probe = false;
    TimePoint next_probe;
    int failed_probes = 0;  // Consecutive, up to kMaxProbeDoublings.
  };

  bool Watch(Vm* vm, ProxyContext* context);
  void Probe(Vm* vm, ProxyContext* context);
  void SendHeartbeat(const Vm& vm, ProxyContext* context);
  void SetDown(Vm* vm, bool is_down, const char* cause, ProxyContext* context);
  void AddVm(const VmRecord& record, ProxyContext* context);
  void Recompute();
  void RecomputeReaders(const std::vector<VmRecord>& able_to_own);
  void RecomputeStoreReaders();
  void RecomputeRoutesSources();
  void ProbeWatchedReader(ProxyContext* context);
  void SetCanOwn(Vm* vm, bool can_own, ProxyContext* context);
  void AskAgain(Vm* vm, ProxyContext* context);
  HeartbeatCall MakeCall(const Vm& to) const;

  VmRecord self_;
  HeartbeatHandler* heartbeat_handler_;
  bool is_leaving_ = false;
  std::map<VmId, Vm> vms_;  // Without this VM.
  std::set<VmId> watched_;  // Down, or with open calls.
  std::vector<VmId> contacts_;
  struct OpenProbe {
    VmId vm;
    TimePoint sent;
  };
  std::map<CallId, OpenProbe> probes_;
  std::vector<GroupId> groups_;
  std::map<GroupId, VmId> owners_;
  std::map<GroupId, VmId> readers_;
  std::set<DataCentreId> data_centres_;
  StoreReaders store_readers_;
  std::vector<VmId> routes_sources_;
  VmId limits_lender_;
  TimePoint probe_answered_at_;
  uint64_t version_ = 1;
  TimePoint next_probe_;
  TimePoint doubted_until_;
};

}  // namespace fireflycart::proxy

#endif  // FIREFLYCART_CORE_PROXY_FLEET_H_
