// Coordinates one database group from this VM: promotes a primary, queues and
// dispatches requests, and determines their outcomes.
//
// Normally one VM coordinates a group at a time. Correctness does not depend on
// it: every write carries the coordinator's term, and reads are returned only
// after a majority of the upstreams has replied in that term.
//
//   GroupCoordinator group(id, &terms, &leaders, &context);
//   group.Configure(policy, configuration);
//   group.Submit(request, origin, time_left, maybe_run);
//   group.OnUpstreamReplied(event);
//   for (WorkResult& result : group.TakeResults()) Send(result);
//
// Limits: at most queue_limit requests wait in each lane of the queue; those
// beyond it are refused as not run. Each request ends by its deadline.

#ifndef FIREFLYCART_CORE_GROUP_COORDINATOR_H_
#define FIREFLYCART_CORE_GROUP_COORDINATOR_H_

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fireflycart/core/admission_queue.h"
#include "fireflycart/core/configuration.h"
#include "fireflycart/core/context.h"
#include "fireflycart/core/event.h"
#include "fireflycart/core/outcome_cache.h"
#include "fireflycart/core/replication_view.h"
#include "fireflycart/core/session_positions.h"
#include "fireflycart/core/takeover.h"
#include "fireflycart/core/term_source.h"
#include "fireflycart/core/transaction_table.h"
#include "fireflycart/core/upstream_links.h"
#include "fireflycart/core/work.h"

namespace fireflycart {

enum class GroupPhase {
  kIdle,        // Another VM coordinates the group, or none.
  kTakingOver,  // Fencing and promoting.
  kServing,
  kPausing,      // In-flight work completes before the primary or this VM
                 // changes.
  kHandingOver,  // The hand-over call was sent and has no reply yet.
};

const char* GroupPhaseText(GroupPhase phase);

// How a transaction ended: after kClean its connection can be reused.
enum class TransactionEnd { kClean, kBroken };

// State of other VMs that a group coordinator queries. The leader of a group is
// the VM that coordinates it.
class LeaderView {
 public:
  virtual ~LeaderView() = default;
  // True if the VM can be reached and has not denied leading the group.
  virtual bool MayLead(const GroupId& group, const VmId& vm) const = 0;
};

class GroupCoordinator {
 public:
  GroupCoordinator(GroupId id, const TermSource* terms,
                   const LeaderView* leaders, Context* context);

  void Configure(const GroupPolicy& policy, const Configuration& all);
  // Sets the upstreams that the platform lists as leaving.
  void SetLeaving(const std::set<UpstreamId>& leaving);

  // Starts coordinating, unless this VM already coordinates the group, has no
  // ordinal to make terms from, or is in its takeover backoff. why is logged.
  void TakeOver(const std::string& why);
  // Starts coordinating with the term, primary and session positions that the
  // predecessor sent.
  void TakeOverFrom(const HandoverCall& predecessor);
  // Waits until the work in flight has ended, for a limited time, and then
  // hands the group over to the successor. Does nothing unless the phase is
  // kServing.
  void HandOverTo(const VmId& successor, const std::string& address);
  // Stops coordinating immediately. why is logged.
  void StepDown(const std::string& why, const VmId& successor);

  void Submit(const Request& request, const WorkOrigin& origin,
              Duration time_left, bool maybe_run);
  // Drops the request if it was not sent yet; its caller has disconnected.
  void Cancel(const RequestKey& key);
  void CancelLocal(HandleId handle);

  void OnTick();
  void OnConnectionOpened(const ConnectionOpened& event);
  void OnConnectionBroken(const ConnectionBroken& event);
  void OnUpstreamReplied(const UpstreamReplied& event);
  // Handles the reply to the hand-over call; returns false for other replies.
  bool OnPeerReplied(const PeerReplied& event);

  bool Owns(ConnectionId connection) const { return links_.Owns(connection); }
  std::vector<WorkResult> TakeResults();

  const GroupId& id() const { return id_; }
  const GroupPolicy& policy() const { return policy_; }
  GroupPhase phase() const { return phase_; }
  bool coordinating() const { return phase_ != GroupPhase::kIdle; }
  Term term() const { return term_; }
  const UpstreamId& primary() const { return primary_; }
  size_t queued() const { return queue_.size(); }
  size_t sessions() const { return sessions_.size(); }
  bool busy() const { return !pending_.empty(); }
  const ReplicationView& view() const { return view_; }
  const UpstreamLinks& links() const { return links_; }
  // The VM that holds the highest term that this VM has seen; empty if it is
  // this VM or unknown.
  const VmId& known_holder() const { return known_holder_; }

 private:
  friend class DispatchFilter;

  // Control connections and leadership: group_control.cc.
  void SendControlCalls();
  std::optional<UpstreamCallBody> NextControlCall(const UpstreamLink& link);
  std::optional<UpstreamCallBody> NextServingCall(const UpstreamLink& link);
  bool NeedsStatus(const UpstreamLink& link) const;
  void OnControlReply(const ControlReply& control, const UpstreamReply& reply);
  void OnResolved(const ResolveCall& call, const UpstreamReply& reply);
  void Observe(const UpstreamId& upstream, const UpstreamReply& reply,
               Instant sent_at);
  void BeginStatusCollection();
  UpstreamId PrimaryOfHighestTerm() const;
  bool HasCollectedStatuses() const;
  VmId HolderOfHighestTerm() const;
  bool HolderIsActive() const;
  void AdvanceTakeover();
  void BeginServing();
  void StartTakeover(const UpstreamId& old_primary,
                     std::set<UpstreamId> avoided);
  void FailOverIfPrimaryLost();
  bool MajorityReachableWithout(const UpstreamId& upstream) const;
  bool ReplicationStalled() const;
  void OnPreempted();
  void SwitchOverIfPrimaryLeaving();
  void AdvancePause();
  void RenewTerm(const UpstreamId& old_primary);
  void SendHandover();
  std::set<UpstreamId> LeavingUpstreams() const;

  // Assignment of queued work to connections: group_dispatch.cc.
  void Dispatch();
  bool DispatchOn(UpstreamLink* link);
  bool CanServe(const UpstreamLink& link, const QueuedWork& item,
                bool earned) const;
  bool CanRead(const UpstreamLink& link, const Work& work) const;
  bool ReplicaHasData(const UpstreamId& upstream, const Work& work) const;
  bool HasData(const UpstreamStatus& status, const Work& work) const;
  bool ShouldReadAtPrimary(const UpstreamLink& link, const Work& work) const;
  void Send(Work* work, DataConnection* connection);
  ExecuteCall MakeCall(const Work& work) const;
  int InFlightLimit(const UpstreamLink& link, Rank rank) const;
  void PlanConnections();
  Position RequiredPositionOf(const Work& work) const;

  // Replies and outcomes: group_replies.cc.
  void OnDataReply(DataConnection* connection, const UpstreamReply& reply);
  void OnStatementDone(Work* work, const DataConnection& connection,
                       const UpstreamReply& reply);
  void OnStatementRefused(Work* work, const UpstreamReply& reply);
  void OnStatementFailed(Work* work, const UpstreamReply& reply);
  void OnConnectionLost(const DataConnection& lost);
  void CompleteAcks();
  void CompleteReads();
  void CheckDeadlines();
  void CheckResponseTimeout(Work* work);
  void StartResolving(Work* work);
  Work* NextToResolve();
  void CloseUnansweredConnection(const Work& work);
  void Requeue(Work* work);
  void Finish(WorkId id, Outcome outcome, Reason reason);
  void FinishAnswered(Work* work);
  void FinishMoved(WorkId id, const VmId& coordinator);
  void EndTransaction(const TransactionId& id, TransactionEnd end);
  void CheckTransactions();
  void Reply(const Work& work, ForwardReply reply);
  void RecordUnknownOutcomeKey(const Work& work, const ForwardReply& reply);
  Work* FindWork(WorkId id);

  void Enqueue(Work* work);
  QueuedWork MakeQueuedWork(const Work& work) const;
  std::optional<Duration> EstimateWait(const Work& work) const;
  std::optional<Duration> ExcessWait(const Work& work);
  void TrimSessions();
  void AbandonAll(const VmId& successor);
  void ProcessPending();

  GroupId id_;
  const TermSource* terms_;
  const LeaderView* leaders_;
  Context* context_;
  GroupPolicy policy_;
  std::map<KindId, KindPolicy> kinds_;
  std::vector<RankPolicy> ranks_;
  std::set<UpstreamId> listed_leaving_;

  GroupPhase phase_ = GroupPhase::kIdle;
  Term term_;
  UpstreamId primary_;
  Takeover takeover_;
  // The upstreams' statuses are read before a new term is made.
  bool collecting_statuses_ = false;
  TimePoint earliest_takeover_;
  VmId known_holder_;
  Duration takeover_backoff_;
  TimePoint phase_since_;
  std::optional<HandoverCall> predecessor_;
  VmId successor_;
  std::string successor_address_;
  CallId handover_call_;

  ReplicationView view_;
  UpstreamLinks links_;
  SessionPositions sessions_;
  OutcomeCache outcomes_;
  AdmissionQueue queue_;
  TransactionTable transactions_;
  std::map<WorkId, Work> pending_;
  std::set<WorkId> awaiting_ack_;
  std::set<WorkId> awaiting_quorum_;
  std::deque<WorkId> resolving_;
  // Keys whose requests ended with an unknown outcome in this term.
  std::set<RequestKey> unknown_outcome_keys_;
  std::vector<WorkResult> results_;
  Position acknowledged_;  // Highest position acknowledged in this term.
  TimePoint last_ack_progress_;
  TimePoint next_session_trim_;
  // Since when the estimated wait is above the rank's target.
  std::map<std::pair<Rank, Lane>, TimePoint> above_target_since_;
  double service_ms_ = 0;  // Moving average over all statements.
  bool is_processing_ = false;
};

}  // namespace fireflycart

#endif  // FIREFLYCART_CORE_GROUP_COORDINATOR_H_
