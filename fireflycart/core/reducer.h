// One node of fireflycart as a pure state machine: events in, effects out.
//
// The reducer makes every decision of a node: membership, placement, takeover,
// admission, routing, retries, configuration and the planned stop. It has no
// thread, socket, clock or global randomness; the seed is passed to the
// constructor and the time with each event. The daemon and the tests run the
// same code.
//
//   NodeIdentity identity{VmId("gbg-a-1"), "127.0.0.1:7100", ...};
//   Reducer reducer(identity, Options(), seed);
//   Effects effects = reducer.Reduce(Event{now, StopRequested{}});
//
// Limits: not thread safe; call it from one thread. Tick is expected at least
// every kTickPeriod. Throws Error(kInvariantViolated) if its own state is
// inconsistent; the process should then exit.

#ifndef FIREFLYCART_CORE_REDUCER_H_
#define FIREFLYCART_CORE_REDUCER_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fireflycart/core/config_manager.h"
#include "fireflycart/core/context.h"
#include "fireflycart/core/effect.h"
#include "fireflycart/core/event.h"
#include "fireflycart/core/group_coordinator.h"
#include "fireflycart/core/membership.h"
#include "fireflycart/core/options.h"
#include "fireflycart/core/ordinal_allocator.h"
#include "fireflycart/core/placement.h"
#include "fireflycart/core/request_router.h"
#include "fireflycart/core/term_source.h"

namespace fireflycart {

struct NodeIdentity {
  VmId vm;
  std::string address;  // For peers: IP number and port.
  DataCentreId data_centre;
  uint64_t incarnation = 1;  // Higher at each start of the same VM.
};

// Sizes of a node's state at one moment.
struct Gauges {
  int64_t pending_requests = 0;
  int64_t coordinated_groups = 0;
  int64_t queued_requests = 0;
  int64_t sessions = 0;
  int64_t members = 0;
  uint64_t config_version = 0;
  bool ready = false;
};

class Reducer : private RoutingTable, private GossipSource, private LeaderView {
 public:
  Reducer(const NodeIdentity& identity, const Options& options, uint64_t seed);

  Reducer(const Reducer&) = delete;
  Reducer& operator=(const Reducer&) = delete;

  Effects Reduce(const Event& event);

  // True if callers should be routed to this node.
  bool ready() const { return NotReadyReason().empty(); }
  // Why callers should not be routed to this node; empty if they should.
  std::string NotReadyReason() const;

  ConfigVersion config_version() const { return config_.version(); }
  const Membership& membership() const { return membership_; }
  const GroupCoordinator* FindGroup(const GroupId& id) const;
  size_t pending_requests() const { return router_.size(); }
  Gauges ReadGauges() const;
  ShowStatusReply Status() const;
  Ordinal ordinal() const { return ordinals_.ordinal(); }

 private:
  void Handle(const Tick& event);
  void Handle(const CallerRequested& event);
  void Refuse(const CallerRequested& event, Reason reason);
  void RefuseAfterExit(const EventBody& body);
  void Handle(const CallerDisconnected& event);
  void Handle(const OperatorCalled& event);
  void Handle(const PeerCalled& event);
  void Handle(const PeerReplied& event);
  void Handle(const ConnectionOpened& event);
  void Handle(const ConnectionBroken& event);
  void Handle(const UpstreamReplied& event);
  void Handle(const PlatformReplied& event);
  void Handle(const StopRequested& event);

  void OnPeerCall(HandleId handle, const VmId& from, const PingCall& call);
  void OnPeerCall(HandleId handle, const VmId& from,
                  const IndirectPingCall& call);
  void OnPeerCall(HandleId handle, const VmId& from, const ForwardCall& call);
  void OnPeerCall(HandleId handle, const VmId& from, const CancelCall& call);
  void OnPeerCall(HandleId handle, const VmId& from,
                  const ConfigFetchCall& call);
  void OnPeerCall(HandleId handle, const VmId& from,
                  const ConfigAnnounceCall& call);
  void OnPeerCall(HandleId handle, const VmId& from,
                  const SpareOrdinalCall& call);
  void OnPeerCall(HandleId handle, const VmId& from, const HandoverCall& call);
  void OnPeerCall(HandleId handle, const VmId& from,
                  const HandoverRequestCall& call);
  // Ignores calls between VMs that serve sessions; they get no answer.
  template <typename T>
  void OnPeerCall(HandleId handle, const VmId& from, const T& call) {
    (void)handle;
    (void)call;
    context_.Log(LogLevel::kWarning, "peer",
                 "Ignored a call for VMs that serve sessions, sent by " +
                     from.value() + ".");
  }

  // RoutingTable.
  VmId CoordinatorOf(const GroupId& group) const override;
  std::string AddressOf(const VmId& vm) const override;
  bool IsReachable(const VmId& vm) const override;
  void SubmitLocally(const Request& request, HandleId entry, Duration time_left,
                     bool maybe_run) override;
  void CancelLocally(const GroupId& group, HandleId entry) override;
  void OnForwardFailed(const GroupId& group, const VmId& vm) override;
  void OnMisdirected(const GroupId& group, const VmId& from,
                     const VmId& to) override;

  // LeaderView.
  bool MayLead(const GroupId& group, const VmId& vm) const override;

  // GossipSource.
  Gossip GossipFor(const VmId& peer) override;
  void ApplyGossip(const Gossip& gossip);

  Request WithDefaults(Request request);
  GroupCoordinator* GroupOf(ConnectionId connection);
  GroupCoordinator* GroupById(const GroupId& id);
  void ApplyConfiguration();
  void AnnounceConfiguration();
  void PollVmList();
  void OnVmList(const PlatformReply& reply);
  void UpdatePlacement();
  void AcquireGroups();
  void AcquireGroup(GroupCoordinator* group);
  bool MayAcquireGroups() const;
  void AnnounceLeadership();
  void DrainResults();
  void StepStop();
  bool IsIsolated() const;
  bool ChooseConfigReaders() const;
  // Marks a group that is about to be called, so that its results are delivered
  // after the event.
  GroupCoordinator* MarkTouched(GroupCoordinator* group);

  Context context_;
  NodeIdentity identity_;
  TermSource terms_;
  Membership membership_;
  Placement placement_;
  ConfigManager config_;
  OrdinalAllocator ordinals_;
  RequestRouter router_;
  std::map<GroupId, std::unique_ptr<GroupCoordinator>> groups_;
  // Groups that this VM coordinates, and groups called in this event.
  std::set<GroupId> coordinated_groups_;
  std::set<GroupId> touched_;
  std::vector<GroupId> assigned_groups_;  // Placed on this VM.
  bool is_config_reader_ = false;
  std::map<GroupId, Term> announced_;
  std::map<CallId, GroupId> handover_requests_;
  struct LeadershipDenial {
    VmId vm;
    TimePoint at;
  };
  // VMs that deny leading the group.
  std::map<GroupId, LeadershipDenial> leadership_denials_;
  std::map<GroupId, TimePoint> next_handover_request_;
  std::map<CallId, HandleId> audit_calls_;
  std::set<UpstreamId> leaving_upstreams_;

  TimePoint now_;
  TimePoint started_;
  bool has_started_ = false;
  TimePoint next_acquire_;
  TimePoint next_vm_list_;
  CallId vm_list_call_;
  uint64_t placed_membership_version_ = 0;
  ConfigVersion placed_config_version_;
  TimePoint settled_since_;
  bool stopping_ = false;
  bool exited_ = false;
  TimePoint stop_started_;
};

// The reducer as a function, for code that keeps the state elsewhere.
Effects Reduce(Reducer* state, const Event& event);

}  // namespace fireflycart

#endif  // FIREFLYCART_CORE_REDUCER_H_
