// Serves the statements of one database group: keeps their order by urgency,
// chooses an upstream for each, keeps transactions on their connection, proves
// reads current, and replaces the primary when it fails or leaves.
//
//   GroupOwner owner(spec, &results);
//   owner.SetUpstreams(records, &context);
//   owner.Submit(call, origin, &context);
//
// Each VM may own a group; placement sees to it that usually one does. Two
// owners at once are harmless: what they return is proven by the upstreams.
//
// Limits: at most kMaxQueued statements wait.

#ifndef FIREFLYCART_CORE_PROXY_GROUP_OWNER_H_
#define FIREFLYCART_CORE_PROXY_GROUP_OWNER_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fireflycart/core/proxy/evidence.h"
#include "fireflycart/core/proxy/failover.h"
#include "fireflycart/core/proxy/upstream_pool.h"
#include "fireflycart/core/proxy/work_queue.h"

namespace fireflycart::proxy {

// Takes the answers of a group's owner.
class StatementResults {
 public:
  virtual ~StatementResults() = default;
  virtual void OnStatementDone(const WorkOrigin& origin,
                               StatementReply reply) = 0;
};

class GroupOwner {
 public:
  static constexpr size_t kMaxQueued = 2000;
  // Period of status questions to each upstream while the group is in use.
  static constexpr Duration kStatusPeriod = Duration::Millis(200);
  // An upstream that answers nothing for so long is asked on a new connection.
  static constexpr Duration kSilentAfter = Duration::Millis(250);
  // After so long without work a VM that should not own the group lets it go.
  static constexpr Duration kIdleAfter = Duration::Seconds(3);

  GroupOwner(GroupSpec spec, StatementResults* results);

  void SetSpec(const GroupSpec& spec);
  void SetTransactionIdle(Duration limit) { transaction_idle_ = limit; }
  // Time after which a leaving upstream gets no new work.
  void SetDrainLimit(Duration limit) { pool_.SetDrainLimit(limit); }
  void SetUpstreams(const std::vector<UpstreamRecord>& records,
                    ProxyContext* context);
  // Whether this VM should own the group.
  void SetChosen(bool is_chosen, ProxyContext* context);

  void Submit(StatementCall call, const WorkOrigin& origin,
              ProxyContext* context);
  void Withdraw(const SessionKey& session, const StatementId& id,
                ProxyContext* context);
  void EndTransaction(const TransactionKey& key, ProxyContext* context);

  void OnOpened(const UpstreamOpened& event, ProxyContext* context);
  void OnClosed(const UpstreamClosed& event, ProxyContext* context);
  void OnAnswered(const UpstreamAnswered& event, ProxyContext* context);
  bool OnStore(const StoreAnswered& answer, ProxyContext* context);
  bool OnPromotion(const PromotionAnswered& answer, ProxyContext* context);
  void OnWake(ProxyContext* context);

  const GroupId& id() const { return spec_.id; }
  bool is_active() const { return is_active_; }
  bool is_chosen() const { return is_chosen_; }
  size_t open_transactions() const { return transactions_.size(); }
  size_t work_count() const { return work_.size(); }
  bool is_replacing_primary() const { return failover_.is_active(); }
  // Whether the other VMs were just heard. Matters while replacing a primary.
  void SetFleetReachable(bool is_confirmed, ProxyContext* context);
  UpstreamId primary() const { return primary_; }
  size_t connection_count() const { return pool_.connection_count(); }

 private:
  struct Transaction {
    ConnectionId connection;
    UpstreamId upstream;
    TransactionKind kind = TransactionKind::kReadWrite;
    Instant began;
    bool has_written = false;
    StatementNumber running;  // 0: none.
    TimePoint idle_since;
  };

  // group_dispatch
  void Dispatch(ProxyContext* context);
  bool DispatchPrimary(ProxyContext* context);
  bool DispatchFrozen(ProxyContext* context);
  bool DispatchAny(ProxyContext* context);
  bool Start(Work* work, PooledUpstream* upstream, ProxyContext* context);
  void SendStatement(Work* work, PooledConnection* connection,
                     std::vector<UpstreamCommand> commands,
                     ProxyContext* context);
  void Continue(Work* work, ProxyContext* context);
  PooledUpstream* Primary();
  PooledUpstream* ReplicaFor(const Work& work, ProxyContext* context);
  bool IsBehind(const PooledUpstream& replica, LogPosition floor,
                TimePoint now) const;
  LogPosition FloorFor(const Work& work) const;
  LogPosition AfterAtPrimary(const Work& work) const;
  bool MayStartAtPrimary(const Work& work, ProxyContext* context);
  void Requeue(Work* work, Duration pause, ProxyContext* context);
  Duration ProofAge(const Work& work) const;
  bool IsProven(const Work& work) const;
  void KeepProven(ProxyContext* context);
  void RequestProof(ProxyContext* context);

  // group_answers
  void OnStatementAnswer(Work* work, const SentCommand& command,
                         const UpstreamAnswer& answer, ProxyContext* context);
  void OnBeginAnswer(Work* work, const UpstreamAnswer& answer,
                     ProxyContext* context);
  void OnSingleFailed(Work* work, const UpstreamId& upstream,
                      const UpstreamAnswer& answer, ProxyContext* context);
  void OnInTransactionFailed(Work* work, const UpstreamAnswer& answer,
                             ProxyContext* context);
  void OnLost(const PooledConnection& lost, ProxyContext* context);
  void OnWorkLost(Work* work, bool was_sent, ProxyContext* context);
  void OnControlAnswer(const UpstreamId& upstream, const SentCommand& command,
                       const UpstreamAnswer& answer);
  void DropTransaction(const TransactionKey& key, bool close,
                       ProxyContext* context);
  void Finish(Work* work, ProxyContext* context);
  void Fail(Work* work, Outcome outcome, const char* cause,
            ProxyContext* context);
  Work* FindWork(StatementNumber number);
  void WithdrawQueued(const TransactionKey& key, ProxyContext* context);

  // group_health
  void Activate(ProxyContext* context);
  void Deactivate(ProxyContext* context);
  void UpdatePrimary(ProxyContext* context);
  void CheckSilence(ProxyContext* context);
  void CheckTimeouts(ProxyContext* context);
  void EndIdleTransactions(ProxyContext* context);
  void CheckFailover(ProxyContext* context);
  void CheckLeaderless(ProxyContext* context);
  void CheckStalled(ProxyContext* context);
  bool HasStalledCommit(TimePoint sent_before) const;
  bool IsReplicationStalled(const PooledUpstream& primary,
                            ProxyContext* context) const;
  void AskStatus(ProxyContext* context);
  void Tidy(ProxyContext* context);
  void DropGone(ProxyContext* context);
  void MarkDown(const UpstreamId& id, const char* cause, ProxyContext* context);
  void Settle(ProxyContext* context);

  GroupSpec spec_;
  StatementResults* results_;
  UpstreamPool pool_;
  Evidence evidence_;
  Failover failover_;
  WorkQueue queue_;
  std::map<StatementNumber, std::unique_ptr<Work>> work_;
  std::map<TransactionKey, Transaction> transactions_;
  Duration transaction_idle_;
  bool is_chosen_ = false;
  bool is_active_ = false;
  TimePoint chosen_since_;
  TimePoint last_used_;
  TimePoint next_status_;
  TimePoint next_tidy_;
  UpstreamId primary_;
  TimePoint without_primary_since_;
  LogPosition primary_before_;  // Its position one status period ago.
  Instant proof_asked_;
  bool proof_pending_ = false;
  bool holds_duty_ = false;
};

}  // namespace fireflycart::proxy

#endif  // FIREFLYCART_CORE_PROXY_GROUP_OWNER_H_
