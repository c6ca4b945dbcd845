// One VM that serves sessions, as a pure state machine: events in, effects out.
//
//   ProxyReducer reducer(self, options, seed);
//   ProxyEffects effects = reducer.Start(now);
//   effects = reducer.Reduce(ProxyEvent{now, CallerStarted{session, "app"}});
//   if (reducer.has_wake()) timer.Set(reducer.next_wake());
//
// It composes the sessions of the entry, the owners of groups, the fleet and
// what the store says. No thread, socket, clock or global randomness.
//
// Limits: not thread safe. Throws Error(kInvariantViolated) if its own state is
// inconsistent; the process should end then.

#ifndef FIREFLYCART_CORE_PROXY_PROXY_REDUCER_H_
#define FIREFLYCART_CORE_PROXY_PROXY_REDUCER_H_

#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "fireflycart/core/proxy/entry.h"
#include "fireflycart/core/proxy/fleet.h"
#include "fireflycart/core/proxy/forwarder.h"
#include "fireflycart/core/proxy/group_owner.h"
#include "fireflycart/core/proxy/store_follower.h"

namespace fireflycart::proxy {

class ProxyOptions {
 public:
  // Longest planned stop. The platform kills the process after its grace.
  Duration stop_limit() const { return stop_limit_; }
  void set_stop_limit(Duration d) { stop_limit_ = d; }

  // Time within which the last work must have reached a leaving upstream.
  Duration drain_time() const { return drain_time_; }
  void set_drain_time(Duration d) { drain_time_ = d; }

 private:
  Duration stop_limit_ = Duration::Millis(6000);
  Duration drain_time_ = Duration::Millis(7000);
};

// Sizes of a node's state at one moment.
struct ProxyGauges {
  int64_t sessions = 0;
  int64_t open_statements = 0;
  int64_t owned_groups = 0;
  int64_t owner_statements = 0;
  int64_t owner_transactions = 0;
  int64_t upstream_connections = 0;
  int64_t vms = 0;
  int64_t vms_down = 0;
  uint64_t routes_version = 0;
  bool is_ready = false;
  bool follows_store = false;  // Reads the store for other VMs, too.
};

class ProxyReducer : private StatementRouter,
                     private StatementReplyHandler,
                     private HeartbeatHandler {
 public:
  ProxyReducer(VmRecord self, const ProxyOptions& options, uint64_t seed);

  ProxyReducer(const ProxyReducer&) = delete;
  ProxyReducer& operator=(const ProxyReducer&) = delete;

  ProxyEffects Start(TimePoint now);
  ProxyEffects Reduce(const ProxyEvent& event);

  bool has_wake() const { return context_.has_wake(); }
  TimePoint next_wake() const { return context_.next_wake(); }

  // True if callers should be sent here.
  bool is_ready() const;
  ProxyGauges gauges() const;
  const GroupOwner* FindOwner(const GroupId& group) const;

 private:
  void Handle(const WakeUp& event);
  void Handle(const CallerStarted& event);
  void Handle(const CallerSent& event);
  void Handle(const CallerEnded& event);
  void Handle(const UpstreamOpened& event);
  void Handle(const UpstreamClosed& event);
  void Handle(const UpstreamAnswered& event);
  void Handle(const PeerCalled& event);
  void Handle(const PeerReplied& event);
  void Handle(const StoreAnswered& event);
  void Handle(const PromotionAnswered& event);
  void Handle(const StopRequested& event);

  void OnPeerCall(HandleId handle, const VmId& from, const StatementCall& call);
  void OnPeerCall(HandleId handle, const VmId& from,
                  const EndTransactionCall& call);
  void OnPeerCall(HandleId handle, const VmId& from, const WithdrawCall& call);
  void OnPeerCall(HandleId handle, const VmId& from, const FreshnessCall& call);
  void OnPeerCall(HandleId handle, const VmId& from, const SnapshotCall& call);
  template <typename T>
  void OnPeerCall(HandleId handle, const VmId& from, const T& call);

  // StatementRouter.
  void Route(SessionNumber session, StatementCall call) override;
  void RouteEnd(const EndTransactionCall& call) override;
  void RouteWithdraw(const WithdrawCall& call) override;
  const RouteTable& routes() const override { return follower_.routes(); }

  // StatementReplyHandler.
  void OnStatementDone(const WorkOrigin& origin, StatementReply reply) override;

  // HeartbeatHandler.
  Freshness MakeHeartbeat() const override;
  void OnPeerHeartbeat(const VmId& vm, const Freshness& freshness) override;

  GroupOwner* OwnerFor(const GroupId& group);
  GroupOwner* OwnerOfConnection(ConnectionId connection);
  VmId VmFor(SessionNumber session, const StatementCall& call);
  void AskAhead();
  void ApplyChanges();
  bool ApplyVms();
  void ApplyDirectory();
  void ApplyOwners();
  void ConfirmFleet();
  void OnWake();
  void StepStop();
  void Finish(ProxyEffects* effects);

  VmRecord self_;
  ProxyOptions options_;
  ProxyContext context_;
  StoreFollower follower_;
  Fleet fleet_;
  Entry entry_;
  Forwarder forwarder_;
  std::map<GroupId, std::unique_ptr<GroupOwner>> owners_;
  std::unordered_map<uint64_t, GroupId> connections_;
  CallId snapshot_;
  VmId ahead_;  // Knows more, and is to be asked next.
  uint64_t applied_changes_ = 0;
  uint64_t applied_vm_changes_ = 0;
  TimePoint next_vms_;
  uint64_t applied_fleet_ = 0;
  bool has_told_hearing_ = true;
  bool is_stopping_ = false;
  bool has_left_ = false;
  bool has_stopped_listening_ = false;
  bool has_aborted_ = false;
  bool has_exited_ = false;
  TimePoint started_;
  TimePoint stop_started_;
};

}  // namespace fireflycart::proxy

#endif  // FIREFLYCART_CORE_PROXY_PROXY_REDUCER_H_
