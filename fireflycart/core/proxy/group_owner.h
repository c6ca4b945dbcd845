// Serves the statements of one database group: queues them by priority, selects
// an upstream for each, keeps a transaction on its connection, confirms that
// reads are current, and replaces the primary when it fails or leaves. The
// decisions about load are in core/admission.
//
//   GroupOwner owner(spec, &reply_handler);
//   owner.SetUpstreams(records, &context);
//   owner.Submit(call, origin, &context);
//
// Any VM may own a group; placement normally assigns a group to one VM. Two
// concurrent owners are safe, since each confirms its results with the
// upstreams.
//
// Limits: at most kMaxQueuedStatements statements are queued.

#ifndef FIREFLYCART_CORE_PROXY_GROUP_OWNER_H_
#define FIREFLYCART_CORE_PROXY_GROUP_OWNER_H_

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fireflycart/core/admission/connection_plan.h"
#include "fireflycart/core/admission/lag_relief.h"
#include "fireflycart/core/admission/queue_outlook.h"
#include "fireflycart/core/admission/service_times.h"
#include "fireflycart/core/proxy/failover.h"
#include "fireflycart/core/proxy/leadership_tracker.h"
#include "fireflycart/core/proxy/sole_leadership.h"
#include "fireflycart/core/proxy/upstream_pool.h"
#include "fireflycart/core/proxy/work_queue.h"

namespace fireflycart::proxy {

// Receives the replies to the statements of a group.
class StatementReplyHandler {
 public:
  virtual ~StatementReplyHandler() = default;
  virtual void OnStatementDone(const WorkOrigin& origin,
                               StatementReply reply) = 0;
};

class GroupOwner {
 public:
  static constexpr size_t kMaxQueuedStatements = 2000;
  // Interval of the status requests to each upstream while the group is active.
  static constexpr Duration kStatusPeriod = Duration::Millis(200);
  // A control connection with a command unanswered for this time is replaced by
  // a new one.
  static constexpr Duration kControlTimeout = Duration::Millis(250);
  // After this time without work a VM deactivates a group that is not assigned
  // to it.
  static constexpr Duration kIdleTimeout = Duration::Seconds(3);

  GroupOwner(GroupSpec spec, StatementReplyHandler* reply_handler);

  void SetSpec(const GroupSpec& spec);
  // Sets the data centres that have readers of the group. The owner leaves them
  // a share of the connections of the replicas there.
  void SetReaderDataCentres(const std::set<DataCentreId>& data_centres);
  // Time after which an idle transaction is rolled back; zero: never.
  void SetTransactionIdleTimeout(Duration limit) {
    transaction_idle_timeout_ = limit;
  }
  // Time after which a leaving upstream is sent no new statements.
  void SetDrainLimit(Duration limit) { pool_.SetDrainLimit(limit); }
  // Data centre of this VM; empty: none is preferred for reads.
  void SetDataCentre(const DataCentreId& data_centre) {
    data_centre_ = data_centre;
  }
  // The upstreams that were set include the changes up to about this time.
  void SetListTime(TimePoint list_time) { pool_.SetListTime(list_time); }
  void SetUpstreams(const std::vector<UpstreamRecord>& records,
                    ProxyContext* context);
  // Sets whether placement assigns the group to this VM.
  void SetAssigned(bool is_assigned, ProxyContext* context);

  void Submit(StatementCall call, const WorkOrigin& origin,
              ProxyContext* context);
  void CancelQueued(const SessionKey& session, const StatementId& id,
                    ProxyContext* context);
  void EndTransaction(const TransactionKey& key, ProxyContext* context);

  // Last stage of a planned stop of this VM. Returns the queued statements of
  // other VMs to them, and refuses its own, since none of them has run. Rolls
  // back the transactions that have no statement running.
  void EndForStop(ProxyContext* context);

  void OnOpened(const UpstreamOpened& event, ProxyContext* context);
  void OnClosed(const UpstreamClosed& event, ProxyContext* context);
  void OnAnswered(const UpstreamAnswered& event, ProxyContext* context);
  bool OnStore(const StoreAnswered& answer, ProxyContext* context);
  void OnStoreRestored(StoreEra era, TimePoint at) {
    failover_.OnStoreRestored(era, at);
  }
  bool OnPromotion(const PromotionAnswered& answer, ProxyContext* context);
  void OnWake(ProxyContext* context);

  const GroupId& id() const { return spec_.id; }
  bool is_active() const { return is_active_; }
  bool is_assigned() const { return is_assigned_; }
  size_t open_transactions() const { return transactions_.size(); }
  size_t work_count() const { return work_.size(); }
  bool is_replacing_primary() const {
    return failover_.is_active() || failover_.is_ending_holds();
  }
  // True while a primary is replaced, the list of upstreams is out of date, or
  // the duty row cannot be read: then it matters whether the other VMs answer.
  bool needs_fleet_check(TimePoint now) const {
    return is_replacing_primary() ||
           (is_active_ && (!pool_.IsListCurrent(now) ||
                           failover_.lease().is_confirmation_failing()));
  }
  bool is_awaiting_upstream() const { return awaited_ != UpstreamId(); }
  // Sets whether the other VMs have answered recently.
  void SetFleetReachable(bool is_confirmed, ProxyContext* context);
  UpstreamId primary() const { return primary_; }
  // For a reader of the group in another data centre.
  EvidenceReply Evidence(TimePoint now) const;
  size_t connection_count() const { return pool_.connection_count(); }
  ConnectionCounts connections() const { return pool_.counts(); }
  // Statements that found an open connection that could carry them, and that
  // had to wait for one, if the group has tenants.
  int64_t started_at_once() const { return started_at_once_; }
  int64_t started_after_wait() const { return started_after_wait_; }

 private:
  void ShareConnections();
  void ReturnQueued(ProxyContext* context);

  struct Transaction {
    ConnectionId connection;
    UpstreamId upstream;
    TransactionKind kind = TransactionKind::kReadWrite;
    Instant began;
    bool has_written = false;
    StatementNumber running;  // Sent and not yet answered; 0: none.
    TimePoint idle_since;
  };

  // Defined in group_dispatch.cc.
  bool HasAppliedLog(LogPosition position) const;
  void Dispatch(ProxyContext* context);
  bool DispatchPrimary(ProxyContext* context);
  bool DispatchDuringFailover(ProxyContext* context);
  bool DispatchAny(ProxyContext* context);
  bool Start(Work* work, PooledUpstream* upstream, ProxyContext* context);
  // True if a connection that may carry the work is idle, or if the group has
  // no tenants, so that any connection may.
  bool HasConnection(const Work& work, const UpstreamId& upstream) const;
  // Opens the connections that queued work lacks, and some ahead.
  void PlanConnections(ProxyContext* context);
  void RefreshIdleTenants();
  // The upstream at which a connection for the work is to be opened or awaited;
  // none if the work may not run now.
  UpstreamId ConnectionTarget(const Work& work, ProxyContext* context);
  bool IsUsableReplica(const Work& work, const PooledUpstream& upstream,
                       LogPosition min_position, ProxyContext* context) const;
  // Sends the statement, behind the answers to what its connection lacks.
  void SetUpAndSend(Work* work, PooledConnection* connection,
                    ProxyContext* context);
  void SendStatement(Work* work, PooledConnection* connection,
                     ProxyContext* context);
  bool MayStillStart(const Work& work, const UpstreamId& id,
                     ProxyContext* context);
  void Continue(Work* work, ProxyContext* context);
  // The upstream that leads; none while the last known one is down, has not
  // answered on its present connection, or says that it is a replica. A broken
  // connection may mean that another process runs there, which knows nothing.
  PooledUpstream* Primary();
  PooledUpstream* ReplicaFor(const Work& work, ProxyContext* context);
  // True if the upstream is in this VM's data centre and has a free slot.
  bool HasRoomNearby(const PooledUpstream& upstream) const;
  // True if the primary should take this read although a replica could, which
  // is in another data centre.
  bool IsPrimaryNearer(const Work& work, const PooledUpstream& replica,
                       ProxyContext* context);
  bool IsBehind(const PooledUpstream& replica, LogPosition min_position,
                TimePoint now) const;
  LogPosition CompletePosition() const;
  LogPosition MinPositionFor(const Work& work) const;
  LogPosition MinPositionAtPrimary(const Work& work) const;
  bool MayStartAtPrimary(const Work& work, ProxyContext* context);
  void Requeue(Work* work, Duration pause, ProxyContext* context);

  // Defined in group_load.cc.
  void ReviewQueue(ProxyContext* context);
  void RefuseWithoutReplica(ProxyContext* context);
  LaneSnapshot LaneSnapshotOf(Lane lane, ProxyContext* context);
  double ConcurrencyOf(Lane lane, ProxyContext* context);
  bool IsCutOff(ProxyContext* context);
  TimePoint AvailableAt(const Work& work, ProxyContext* context);
  TimePoint PrimaryBlockedUntil(ProxyContext* context);
  void ConsiderLagRelief(ProxyContext* context);
  void CheckLagReliefEnded(ProxyContext* context);
  LagReliefSnapshot LagSnapshot(ProxyContext* context);
  bool IsGroupSteady(ProxyContext* context);
  std::string FormatUpstreams(ProxyContext* context) const;

  bool NeedsUnchallengedPrimary(const Work& work) const;
  Duration MaxConfirmationAge(const Work& work);
  bool IsPrimaryCurrent(const Work& work);
  void KeepLeadershipConfirmed(ProxyContext* context);
  // True if the group has no upstream but the primary, besides those that have
  // ended.
  bool IsSingleUpstream();
  bool MayLackReplicas();
  void ProveSoleLeadership(ProxyContext* context);
  // Requests the status of one replica, or of two if they are to confirm that
  // no promotion was requested.
  void SendProbe(bool needs_two, ProxyContext* context);
  bool IsProbeAnswered() const;

  // Defined in group_answers.cc.
  // Logs an answer that leaves the state of its connection in doubt.
  void LogOddAnswer(const UpstreamId& upstream, const SentCommand& command,
                    const UpstreamAnswer& answer, ProxyContext* context);
  // Closes a connection whose state this command left in doubt, as if it had
  // been lost before the command was answered.
  void CloseAfter(ConnectionId id, const SentCommand& command,
                  ProxyContext* context);
  void OnUnexpectedState(ConnectionId id, const SentCommand& command,
                         const UpstreamAnswer& answer, ProxyContext* context);
  void OnSetUpAnswer(ConnectionId id, const SentCommand& command,
                     const UpstreamAnswer& answer, ProxyContext* context);
  void OnStatementAnswer(Work* work, const SentCommand& command,
                         const UpstreamAnswer& answer, ProxyContext* context);
  void OnBeginAnswer(Work* work, const UpstreamAnswer& answer,
                     ProxyContext* context);
  void OnStatementOrBeginFailed(Work* work, const UpstreamId& upstream,
                                const UpstreamAnswer& answer,
                                ProxyContext* context);
  void OnInTransactionFailed(Work* work, const UpstreamAnswer& answer,
                             ProxyContext* context);
  void OnConnectionLost(const PooledConnection& lost, ProxyContext* context);
  void OnWorkConnectionLost(Work* work, bool was_sent, ProxyContext* context);
  void OnControlAnswer(const UpstreamId& upstream, const SentCommand& command,
                       const UpstreamAnswer& answer, ProxyContext* context);
  // Repeats a read that an upstream has failed, at another upstream if there is
  // one. Returns false if it may not be repeated.
  bool RepeatFailedRead(Work* work, const UpstreamId& upstream,
                        const UpstreamAnswer& answer, ProxyContext* context);
  // Handles the success of a statement or transaction that writes: passes it on
  // now or once a replica has it, or fails it.
  void OnCommitted(Work* work, const UpstreamAnswer& answer,
                   ProxyContext* context);

  // Defined in group_commits.cc.
  // True if this VM is the only one that takes a commit for kept since one
  // replica has it.
  bool CountsSingleReplicas(ProxyContext* context) const;
  bool IsInCommitSet(const PooledUpstream& replica, uint64_t term) const;
  bool MayCountAll(bool has_lasting, ProxyContext* context) const;
  // Of commits that wait for no replica: true if no promotion had taken effect
  // when the upstream acknowledged it.
  bool IsCommittedByLeader(const Work& work, ProxyContext* context) const;
  bool CanConfirmLeader(ProxyContext* context) const;
  bool IsSteady(const Work& work, ProxyContext* context) const;
  bool IsKept(LogPosition position, ProxyContext* context) const;
  bool CanKeepCommits(ProxyContext* context) const;
  bool HasEstablishedReplica(ProxyContext* context) const;
  void PassOnCommit(Work* work, ProxyContext* context);
  void AwaitReplica(Work* work, ProxyContext* context);
  void RequestCommitEvidence(ProxyContext* context);
  void PassOnKeptCommits(ProxyContext* context);
  // Ends the commits that wait for a replica when that upstream has taken over.
  // Those of its own term, in which it led under another id, go on waiting.
  void SettleCommits(const PooledUpstream& new_primary, ProxyContext* context);
  void AbortTransaction(const TransactionKey& key, bool close,
                        ProxyContext* context);
  void Finish(Work* work, ProxyContext* context);
  void Fail(Work* work, Outcome outcome, const char* cause,
            ProxyContext* context);
  Work* FindWork(StatementNumber number);
  void CancelQueuedTransaction(const TransactionKey& key,
                               ProxyContext* context);

  // Defined in group_commit_set.cc.
  void KeepCommitSet(ProxyContext* context);
  CommitSet NextCommitSet(const PooledUpstream& primary,
                          ProxyContext* context) const;
  bool HasOrderLapsed(const PooledUpstream& primary) const;
  bool MayJoinCommitSet(const PooledUpstream& replica,
                        const PooledUpstream& primary,
                        ProxyContext* context) const;
  bool MayLeaveCommitSet(const UpstreamId& id, const CommitMember& member,
                         const PooledUpstream& primary,
                         ProxyContext* context) const;
  bool IsCoveredWithout(const UpstreamId& id, const PooledUpstream& primary,
                        ProxyContext* context) const;
  void ReportAwaitedUpstream(ProxyContext* context);
  // A recorded upstream that does not answer and without which the group has no
  // primary; none if there is no such upstream.
  UpstreamId AwaitedUpstream(ProxyContext* context);
  // The lowest term in which an upstream can lead.
  uint64_t MinTerm() const {
    return std::max(highest_term_, failover_.lease().commit_set().term);
  }

  // Defined in group_health.cc.
  void Activate(ProxyContext* context);
  void Deactivate(ProxyContext* context);
  void UpdatePrimary(ProxyContext* context);
  void DropOvertakenPrimary(ProxyContext* context);
  void CloseDataConnections(const UpstreamId& id, ProxyContext* context);
  void ConfirmByAllReplicas(const PooledUpstream& primary,
                            ProxyContext* context);
  bool IsAloneInCommitSet(const PooledUpstream& primary) const;
  bool IsLogNeeded(const PooledUpstream& upstream) const;
  void CheckUnanswered(ProxyContext* context);
  void CheckTimeouts(ProxyContext* context);
  void EndIdleTransactions(ProxyContext* context);
  void CheckFailover(ProxyContext* context);
  void CheckLeaderless(ProxyContext* context);
  void CheckStalled(ProxyContext* context);
  bool HasStalledCommit(TimePoint sent_before) const;
  bool IsReplicationStalled(const PooledUpstream& primary,
                            ProxyContext* context) const;
  void RequestStatus(ProxyContext* context);
  void ReconcileUpstreams(ProxyContext* context);
  void RemoveGoneUpstreams(ProxyContext* context);
  void MarkDown(const UpstreamId& id, const char* cause, ProxyContext* context);
  void Reevaluate(ProxyContext* context);

  GroupSpec spec_;
  DataCentreId data_centre_;
  std::set<DataCentreId> reader_data_centres_;
  StatementReplyHandler* reply_handler_;
  UpstreamPool pool_;
  LeadershipTracker leadership_;
  Failover failover_;
  SoleLeadership sole_leadership_;
  TimePoint lacks_replicas_at_;  // When it last did; zero: never.
  WorkQueue queue_;
  std::map<StatementNumber, std::unique_ptr<Work>> work_;
  std::map<TransactionKey, Transaction> transactions_;
  // If the group carries tenants; by lane.
  std::array<TenantDemand, kLanes> demand_;
  ConnectionPlan connection_plan_;
  TimePoint next_open_ahead_;
  int64_t started_at_once_ = 0;
  int64_t started_after_wait_ = 0;
  // Snapshots during a dispatch, if many statements are queued.
  std::set<std::pair<UpstreamId, TenantId>> idle_tenants_;
  std::set<std::pair<UpstreamId, TenantId>> connected_tenants_;
  Duration transaction_idle_timeout_;
  bool is_assigned_ = false;
  bool is_active_ = false;
  TimePoint assigned_since_;
  TimePoint last_used_;
  TimePoint next_status_;
  TimePoint next_reconcile_;
  UpstreamId primary_;
  TimePoint without_primary_since_;
  LogPosition previous_primary_position_;  // One kStatusPeriod ago.
  uint64_t highest_term_ = 0;  // In which an upstream was seen to lead.
  TimePoint primary_since_;    // When primary_ was seen to lead.
  TimePoint next_lease_request_;
  UpstreamId awaited_;  // As last reported.
  TimePoint awaited_since_;
  TimePoint next_awaited_report_;
  Instant probe_sent_;
  bool is_probe_pending_ = false;
  bool does_probe_need_two_ = false;  // Statuses of two replicas.
  bool has_requested_lease_ = false;
  std::vector<StatementNumber> unconfirmed_;  // In stage kConfirming.
  TimePoint last_unconfirmed_at_;
  TimePoint evidence_requested_at_;
  ServiceTimes service_times_;
  ServiceTimes read_times_;  // Of all reads that a replica may serve.
  std::array<ArrivalLoad, kLanes> arrivals_;
  std::array<ArrivalLoad, kLanes> late_starts_;
  QueueOutlook queue_outlook_;
  TimePoint next_review_;
  Duration read_wait_;  // Expected wait of a queued read that is in time.
  LagRelief lag_relief_;
  UpstreamId relief_successor_;
  TimePoint relief_started_;
  TimePoint last_commit_at_;
  bool measures_write_gap_ = false;
};

}  // namespace fireflycart::proxy

#endif  // FIREFLYCART_CORE_PROXY_GROUP_OWNER_H_
