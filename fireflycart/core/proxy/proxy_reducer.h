// State machine of one VM that serves sessions: takes events, returns effects.
//
//   ProxyReducer reducer(self, options, seed);
//   ProxyEffects effects = reducer.Start(now);
//   effects = reducer.Reduce(ProxyEvent{now, SessionStarted{session, "app"}});
//   if (reducer.has_wake()) timer.Set(reducer.next_wake());
//
// It composes the caller sessions, the group owners, the fleet of VMs and the
// tables read from the store. It uses no thread, socket, clock or global random
// generator.
//
// Limits: not thread safe. Throws Error(kInvariantViolated) if its state is
// inconsistent; the process should then exit.

#ifndef FIREFLYCART_CORE_PROXY_PROXY_REDUCER_H_
#define FIREFLYCART_CORE_PROXY_PROXY_REDUCER_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "fireflycart/core/proxy/data_centre_traffic.h"
#include "fireflycart/core/proxy/fleet.h"
#include "fireflycart/core/proxy/forwarder.h"
#include "fireflycart/core/proxy/group_owner.h"
#include "fireflycart/core/proxy/group_reader.h"
#include "fireflycart/core/proxy/limit_keeper.h"
#include "fireflycart/core/proxy/routes_age_inquiry.h"
#include "fireflycart/core/proxy/session_manager.h"
#include "fireflycart/core/proxy/snapshot_inquiry.h"
#include "fireflycart/core/proxy/store_follower.h"

namespace fireflycart::proxy {

class ProxyOptions {
 public:
  // Longest duration of a planned stop. The platform kills the process when its
  // grace period ends.
  Duration stop_limit() const { return stop_limit_; }
  void set_stop_limit(Duration d) { stop_limit_ = d; }

  // Time from the announcement that an upstream leaves, within which it must
  // have received its last statement.
  Duration drain_time() const { return drain_time_; }
  void set_drain_time(Duration d) { drain_time_ = d; }

  // Time within which a configuration must be in force on each VM that reaches
  // the store; zero if there is no such limit.
  Duration apply_limit() const { return apply_limit_; }
  void set_apply_limit(Duration d) { apply_limit_ = d; }
  // Time after which no statement may run that is sent with a key which was
  // taken away; zero if there is no such limit.
  Duration key_age_limit() const { return key_age_limit_; }
  void set_key_age_limit(Duration d) { key_age_limit_ = d; }
  // Bytes that all sessions together may keep as values and prepared
  // statements; see SessionStateQuota.
  size_t session_state_limit() const { return session_state_limit_; }
  void set_session_state_limit(size_t bytes) { session_state_limit_ = bytes; }
  // True if reads may run at replicas in the data centre of their caller's VM
  // without passing through the owner of the group.
  bool reads_nearby() const { return reads_nearby_; }
  void set_reads_nearby(bool is_on) { reads_nearby_ = is_on; }

  const DataCentreBalanceOptions& data_centre_balance() const {
    return data_centre_balance_;
  }
  void set_data_centre_balance(const DataCentreBalanceOptions& options) {
    data_centre_balance_ = options;
  }

 private:
  Duration stop_limit_ = Duration::Millis(6000);
  Duration drain_time_ = Duration::Millis(7000);
  Duration apply_limit_ = Duration::Millis(5000);
  Duration key_age_limit_;
  size_t session_state_limit_ = size_t{256} << 20;
  bool reads_nearby_ = true;
  DataCentreBalanceOptions data_centre_balance_;
};

// Current sizes of a VM's state.
struct ProxyGauges {
  int64_t sessions = 0;
  int64_t open_statements = 0;
  int64_t owned_groups = 0;
  // Groups that cannot replace their primary without a silent upstream.
  int64_t groups_awaiting_upstream = 0;
  int64_t owner_statements = 0;
  int64_t owner_transactions = 0;
  int64_t reader_statements = 0;
  int64_t upstream_connections = 0;
  ConnectionCounts connections;  // Those that carry statements.
  // Statements that found an open connection of their tenant, and that had to
  // wait for one.
  int64_t statements_found_connection = 0;
  int64_t statements_awaited_connection = 0;
  DataCentreTraffic::Counts inside_data_centre;
  DataCentreTraffic::Counts leaving_data_centre;
  int64_t vms = 0;
  int64_t vms_down = 0;
  uint64_t routes_version = 0;
  bool is_ready = false;
  bool follows_store = false;  // Reads the store on behalf of other VMs, too.
  Duration store_age;          // Since its last known answer to any VM.
  // Of its knowledge of the routes and the tenants' keys; zero if that has no
  // limit.
  Duration routes_age;
  bool has_current_keys = true;  // Serves callers with keys.
  // Operations that this VM refused for the limits of their tenants.
  std::map<TenantId, uint64_t> refused_by_limit;
};

class ProxyReducer : private StatementRouter,
                     private StatementReplyHandler,
                     private ReadHandler,
                     private HeartbeatHandler {
 public:
  ProxyReducer(VmRecord self, const ProxyOptions& options, uint64_t seed);

  ProxyReducer(const ProxyReducer&) = delete;
  ProxyReducer& operator=(const ProxyReducer&) = delete;

  ProxyEffects Start(TimePoint now);
  ProxyEffects Reduce(const ProxyEvent& event);

  bool has_wake() const { return context_.has_wake(); }
  TimePoint next_wake() const { return context_.next_wake(); }

  // True if the load balancer should send callers to this VM.
  bool is_ready() const;
  ProxyGauges gauges() const;
  const GroupOwner* FindOwner(const GroupId& group) const;

 private:
  void Handle(const WakeUp& event);
  void Handle(const SessionStarted& event);
  void Handle(const StatementReceived& event);
  void Handle(const SessionEnded& event);
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
  void OnPeerCall(HandleId handle, const VmId& from,
                  const CancelQueuedCall& call);
  void OnPeerCall(HandleId handle, const VmId& from, const HeartbeatCall& call);
  void OnPeerCall(HandleId handle, const VmId& from, const SnapshotCall& call);
  void OnPeerCall(HandleId handle, const VmId& from, const RoutesAgeCall& call);
  void OnPeerCall(HandleId handle, const VmId& from, const EvidenceCall& call);
  void OnPeerCall(HandleId handle, const VmId& from, const TokensCall& call);
  template <typename T>
  void OnPeerCall(HandleId handle, const VmId& from, const T& call);

  // StatementRouter.
  void Route(SessionNumber session, StatementCall call) override;
  void RouteEndTransaction(const EndTransactionCall& call) override;
  void RouteCancelQueued(const CancelQueuedCall& call) override;
  const RouteTable& routes() const override { return follower_.routes(); }
  bool HasCurrentKeys() const override;

  // StatementReplyHandler.
  void OnStatementDone(const WorkOrigin& origin, StatementReply reply) override;

  // ReadHandler.
  void OnReadDone(const WorkOrigin& origin, StatementReply reply) override;
  void OnReadReturned(const WorkOrigin& origin, StatementCall call) override;
  void RequestEvidence(const GroupId& group) override;

  // HeartbeatHandler.
  Heartbeat MakeHeartbeat() const override;
  void OnPeerHeartbeat(const VmId& vm, const Heartbeat& heartbeat) override;
  void OnProbeAnswered(const Heartbeat& heartbeat, TimePoint sent) override;

  // Adds when the upstream was first known, and known to leave.
  UpstreamRecord WithTimes(UpstreamRecord record) const;
  GroupOwner* OwnerFor(const GroupId& group);
  GroupOwner* OwnerOfConnection(ConnectionId connection);
  GroupReader* ReaderFor(const GroupId& group);
  GroupReader* FindReader(const GroupId& group);
  // The reader that has the connection; null if an owner has it.
  GroupReader* ReaderOfConnection(ConnectionId connection);
  // The VM whose reader should serve the statement; empty if the owner should.
  VmId ReaderVm(const StatementCall& call) const;
  void SubmitToReader(StatementCall call, const WorkOrigin& origin);
  void RouteToOwner(SessionNumber session, StatementCall call);
  bool OnEvidenceReply(const PeerReplied& event);
  // Selects the VM for a statement, and pins it if a transaction begins.
  VmId TargetVm(SessionNumber session, const StatementCall& call);
  // Gives the statement to the owner on this VM, if the tenant's limit allows.
  void Submit(StatementCall call, const WorkOrigin& origin);
  void SubmitAllowed(StatementCall call, const WorkOrigin& origin);
  void RefuseForLimit(StatementCall call, const WorkOrigin& origin,
                      Duration retry_after);
  void ReturnToOwner(const WorkOrigin& origin, StatementCall call);
  void SubmitDecided();
  void SubmitDecided(LimitKeeper::Decided* decided);
  // Ends the statement of a session that left, if it waits for its limit.
  void CancelWaiting(const SessionKey& session);
  void UpdateLimits();
  std::optional<Duration> CurrentRoutesAge() const;
  void OnRoutesAgeAnswered();
  void CheckKeys();
  void OnSnapshotAnswered(PeerCallError error);
  void ApplyChanges();
  bool ApplyVms();
  bool ApplyEra();
  void ApplyRoutesAndUpstreams();
  void ApplyPlacement();
  void CheckFleetReachability();
  void OnWake();
  void AdvanceStop();
  // True while a session, a caller that was asked to leave or a group needs
  // this VM. Appends the names of such groups.
  bool IsBusyWhileStopping(std::string* busy_groups) const;
  void TrackConnections(ProxyEffects* effects);
  void CountTraffic(const ProxyEffect& effect);

  VmRecord self_;
  ProxyOptions options_;
  ProxyContext context_;
  StoreFollower follower_;
  Fleet fleet_;
  SessionManager session_manager_;
  Forwarder forwarder_;
  SnapshotInquiry snapshots_;
  RoutesAgeInquiry routes_age_inquiry_;
  LimitKeeper limit_keeper_;
  uint64_t limits_version_ = 0;  // Of the routes.
  bool had_current_keys_ = true;
  std::map<GroupId, std::unique_ptr<GroupOwner>> owners_;
  std::map<GroupId, std::unique_ptr<GroupReader>> readers_;
  // Groups with an upstream in this data centre that a reader may use.
  std::set<GroupId> nearby_groups_;
  struct EvidenceRequest {
    GroupId group;
    TimePoint sent;
  };
  std::map<CallId, EvidenceRequest> evidence_requests_;
  DataCentreTraffic traffic_;
  struct ConnectionPlace {
    GroupId group;
    DataCentreId data_centre;
  };
  std::unordered_map<uint64_t, ConnectionPlace> connections_;
  uint64_t applied_changes_ = 0;
  uint64_t applied_vm_changes_ = 0;
  StoreEra applied_era_;
  TimePoint next_fleet_update_;
  uint64_t applied_fleet_version_ = 0;
  bool announced_reaches_store_ = true;
  bool is_stopping_ = false;
  bool has_started_draining_ = false;
  bool has_stopped_listening_ = false;
  bool refuses_operations_ = false;
  bool returns_queued_ = false;
  bool has_exited_ = false;
  TimePoint started_;
  TimePoint stop_started_;
};

}  // namespace fireflycart::proxy

#endif  // FIREFLYCART_CORE_PROXY_PROXY_REDUCER_H_
