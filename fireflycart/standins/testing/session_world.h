// Simulates several VMs that serve sessions, one database group, the store and
// callers in virtual time, on a network whose links can be cut. Checks safety
// invariants during the run.
//
//   SessionWorld world(options, seed);
//   world.Run(Duration::Seconds(2));
//   world.CutPrimaryFromReplicas();
//   CPPUNIT_ASSERT_EQUAL(std::string(), world.problem());
//
// Time advances in steps of a millisecond. Messages on a cut link are queued
// and delivered when the link is healed, as on a TCP connection.

#ifndef FIREFLYCART_STANDINS_TESTING_SESSION_WORLD_H_
#define FIREFLYCART_STANDINS_TESTING_SESSION_WORLD_H_

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fireflycart/core/proxy/proxy_reducer.h"
#include "fireflycart/standins/database_model.h"
#include "fireflycart/standins/prepared_store_model.h"

namespace fireflycart::standins {

struct SessionWorldOptions {
  int vms = 3;
  int callers = 12;
  // VM i and the upstream of number i are in number i % data_centres; 0: none
  // is named.
  int data_centres = 0;
  proxy::ProxyOptions proxy;
  Duration pause = Duration::Millis(20);  // Between two operations of a caller.
  Duration statement_pause;  // Between two statements of an operation.
  Duration caller_latency;   // One way, between a caller and its VM.
  Duration peer_latency = Duration::Millis(1);  // One way, between two VMs.
  DatabaseOptions database;
  proxy::ReadConsistency consistency = proxy::ReadConsistency::kStrong;
  bool only_writes = false;
  // Every second write is a prepared statement, of one of a few shapes.
  bool prepares = false;
  bool only_reads = false;  // Single ones, but for one write in ten.
  // A third of the callers uses each consistency.
  bool mixed_consistencies = true;
  Duration max_age = Duration::Millis(1000);
  Duration target = Duration::Millis(200);
  Duration timeout = Duration::Millis(1000);  // Of one statement.
  int max_connections = 16;                   // Of an upstream.
  // Tenants t0, t1 and so on, to which the callers belong in shares that fall
  // with the rank (Zipf, exponent 1.2). 0: the deployment has no tenants.
  int tenants = 0;
  // Further callers of each of these tenants, by rank, which begin operations
  // only while SetHot() says so.
  std::vector<int> hot_tenants;
  int hot_callers = 0;
  proxy::ReadConsistency hot_consistency = proxy::ReadConsistency::kOwnWrites;
  Duration hot_statement_pause;  // Between two statements of an operation.
  // Limit of the tenant that all callers belong to, by second; zero: there are
  // no tenants.
  double tenant_rate = 0;
  double tenant_burst = 0;
};

// Outcomes of the callers' operations.
struct SessionCounts {
  int done = 0;
  int refused = 0;  // The answer guarantees that no write took effect.
  int unknown = 0;  // Outcome unknown, or the connection broke.
  int failed = 0;
  int writes = 0;  // Acknowledged writing operations.
  // By priority, which is the number of the route's read consistency.
  std::array<int, proxy::kReadConsistencies> in_target = {};
  std::array<int, proxy::kReadConsistencies> late = {};
  std::array<int, proxy::kReadConsistencies> not_served = {};
  // Time that operations spent before they were refused, in ms.
  int64_t refused_wait = 0;
  // By tenant.
  std::map<TenantId, int> tenant_in_target;
  std::map<TenantId, int> tenant_operations;
  // Longest time without a successful operation that writes, or that only
  // reads, in ms.
  int64_t write_gap = 0;
  int64_t read_gap = 0;
};

class SessionWorld : private DatabaseObserver {
 public:
  SessionWorld(const SessionWorldOptions& options, uint64_t seed);
  ~SessionWorld() override;

  void Run(Duration time);

  // Faults. The endpoints of links are named "vm-0" and so on for VMs, "up-a"
  // to "up-c" for upstreams, "store", and "promotion" for the promotion
  // service.
  void Cut(const std::string& a, const std::string& b);
  void Heal(const std::string& a, const std::string& b);
  void HealAll();
  // A cut beside those of Cut(), which ends by itself. What was sent meanwhile
  // is delivered then.
  void CutFor(const std::string& a, const std::string& b, Duration time);
  // Separates these VMs and upstreams from all others, the store and the
  // promotion service, until Rejoin(). HealAll() does not end it. The registry
  // entries of the upstreams lapse after kEntryLapse.
  static constexpr Duration kEntryLapse = Duration::Millis(3600);
  void Isolate(const std::vector<std::string>& names);
  // Upstreams that run and whose entries have lapsed register themselves again.
  void Rejoin(const std::vector<std::string>& names);
  // The open connections between a VM and an upstream go silent for good: what
  // is on its way is lost, in both directions, and so is the end of the
  // connection. New connections work. The upstream drops them after 3 s.
  void MuteConnections(int vm, const UpstreamId& upstream);
  // The open connections between VMs go silent for good: calls on them get no
  // answer. A VM replaces its connection to another VM when a call on it has
  // timed out.
  void MutePeerConnections();
  // The store refuses the calls of a VM for this table.
  void RefuseTable(int vm, proxy::StoreTable table, bool refuses);
  void CutPrimaryFromReplicas();
  void KillVm(int vm);
  void StartVm(int vm);
  void FreezeVm(int vm, Duration time);
  void StopVm(int vm);
  void CrashUpstream(const UpstreamId& id);
  // Starts the upstream again with its log; it registers itself.
  void RestartUpstream(const UpstreamId& id);
  // Starts a crashed upstream with its log under another id; it registers
  // itself. The earlier entry stays until Unregister().
  void RestartUpstreamAs(const UpstreamId& crashed, const UpstreamId& id);
  // The upstream goes on under another id, with its log and in its role. Its
  // connections are lost; it registers itself.
  void RenameUpstream(const UpstreamId& id, const UpstreamId& new_id);
  // Starts a new upstream with an empty log in its place.
  void ReplaceUpstream(const UpstreamId& id);
  // Starts a new upstream with an empty log at an address of its own.
  void AddUpstream(const UpstreamId& id);
  void Drain(const UpstreamId& id);
  void Unregister(const UpstreamId& id);
  void Register(const UpstreamId& id, bool leaving);
  void SetRoutes(uint64_t version, Duration timeout);
  // While paused, callers begin no new operations.
  void PauseCallers(bool is_paused) { callers_paused_ = is_paused; }
  // Which of the hot tenants send more than usual, by position.
  void SetHot(std::set<int> hot) { hot_ = std::move(hot); }
  // The load balancer also sends callers to VMs that are not ready.
  void IgnoreReadiness() { ignores_readiness_ = true; }
  void LoseStoreAnswers(int count) { store_answers_to_lose_ = count; }
  // The platform refuses promotions, and has not performed them.
  void RefusePromotions(bool refuses) { refuses_promotions_ = refuses; }
  // The upstream that the last promotion was requested for.
  const UpstreamId& last_successor() const { return last_successor_; }
  // The store refuses all calls for the time of the outage and then returns
  // with the content that it had before the age. The operator and the upstreams
  // write their rows again within kRewriteTime.
  static constexpr Duration kRewriteTime = Duration::Seconds(2);
  void RestoreStore(Duration age, Duration outage);

  DatabaseModel& database() { return *database_; }
  PreparedStoreModel& store() { return store_; }
  const SessionCounts& counts() const { return counts_; }
  void ResetGaps();
  void ResetCounts() { counts_ = SessionCounts(); }
  UpstreamId primary() const { return database_->primary(); }
  VmId owner() const;
  const proxy::ProxyReducer* vm(int index) const;
  bool HasExited(int index) const;
  // The first violation of an invariant; empty if there is none.
  const std::string& problem() const { return problem_; }
  int promotions() const { return promotions_; }
  // Acknowledged writes that a promotion rolled back. Without synchronous
  // replicas they are no violation.
  int64_t rolled_back() const { return acknowledged_rolled_back_; }
  TimePoint now() const { return now_; }
  // Compares the primary's log with the answers that callers received. Call it
  // after all faults are repaired.
  void CheckEffects();
  std::vector<std::string> TakeLog();
  const std::vector<std::string>& log() const { return log_; }
  // Statements that VMs sent to other VMs or to upstreams, and how many of them
  // went to another data centre.
  int statements_sent() const { return statements_sent_; }
  int statements_crossing() const { return statements_crossing_; }
  // Reads that ran at the upstream.
  int reads_at(const UpstreamId& upstream) const {
    auto found = reads_at_.find(upstream);
    return found == reads_at_.end() ? 0 : found->second;
  }

 private:
  struct Vm;
  struct Caller;
  struct Expectation;
  using Delivery = std::function<void()>;
  using Link = std::pair<std::string, std::string>;

  void Step();
  void Send(const std::string& from, const std::string& to, Delivery deliver);
  void SendToPeer(const std::string& from, const std::string& to,
                  Delivery deliver);
  void DeliverDue();
  bool IsCut(const std::string& a, const std::string& b) const;
  // Tells the database whether the link is cut, if it is between upstreams.
  void ApplyCut(const std::string& a, const std::string& b);
  void ApplyCutsOf(const UpstreamId& id);
  // The separated part of the network that the endpoint is in; 0: none.
  uint64_t IslandOf(const std::string& name) const;
  // Removes the entry after kEntryLapse if the upstream is isolated till then.
  void LapseIfIsolated(const UpstreamId& id);
  void RegisterAs(const UpstreamId& id, const UpstreamId& new_id);
  bool IsMute(uint64_t connection) const {
    return mute_connections_.count(connection) != 0;
  }
  void Report(const std::string& problem);
  std::string MissingWrites() const;
  DataCentreId DataCentre(size_t number) const;
  DataCentreId DataCentreOf(const std::string& name) const;
  void CountSent(const std::string& from, const std::string& to);

  void Reduce(Vm* vm, proxy::ProxyEventBody body);
  void Perform(Vm* vm, const proxy::ProxyEffects& effects);
  void PerformOne(Vm* vm, const proxy::GreetCaller& e);
  void PerformOne(Vm* vm, const proxy::AnswerStatement& e);
  void PerformOne(Vm* vm, const proxy::CloseSession& e);
  void PerformOne(Vm* vm, const proxy::StopListening& e);
  void PerformOne(Vm* vm, const proxy::OpenUpstream& e);
  void PerformOne(Vm* vm, const proxy::SendUpstream& e);
  void PerformOne(Vm* vm, const proxy::CloseUpstream& e);
  void PerformOne(Vm* vm, const CallPeer& e);
  void PerformOne(Vm* vm, const AnswerPeer& e);
  void PerformOne(Vm* vm, const proxy::StoreCall& e);
  void PerformOne(Vm* vm, const proxy::PromoteUpstream& e);
  void PerformOne(Vm* vm, const proxy::WriteRecord& e);
  void PerformOne(Vm* vm, const proxy::CountStatement& e);
  void PerformOne(Vm* vm, const Exit& e);
  Vm* FindVm(const VmId& id);
  void LoseConnection(ConnectionId number);
  void ResetIfCut(const Vm* vm, uint64_t connection);
  void EndPeerCall(uint64_t number, PeerCallError error,
                   const PeerReplyBody& body);
  void EndProcess(Vm* vm, uint64_t incarnation);
  // Delivers an event, or drops it if the VM is down or was restarted since.
  void Deliver(Vm* vm, uint64_t incarnation, proxy::ProxyEventBody body);
  // Sends an event from a caller to its VM.
  void SendFromCaller(Caller* caller, proxy::ProxyEventBody body);
  // Runs the action when a message of the VM reaches the caller of the session,
  // unless the caller has left the session by then.
  void SendToCaller(Vm* vm, proxy::SessionNumber session,
                    std::function<void(Caller*)> action);

  void StepCaller(Caller* caller);
  void Connect(Caller* caller);
  void BeginOperation(Caller* caller);
  void SendNext(Caller* caller);
  void OnAnswer(Caller* caller, const proxy::CallerAnswer& answer);
  void EndOperation(Caller* caller, proxy::Outcome outcome);
  // The VM asks the caller to leave its session.
  void OnCloseRequest(Caller* caller);
  void OnDisconnected(Caller* caller);
  std::string RouteName(proxy::ReadConsistency consistency) const;
  // The position in hot_tenants of a further caller; -1: it is none.
  int HotIndexOf(int caller) const;
  // The tenant of a caller; none without tenants.
  TenantId TenantOf(int caller) const;
  // Reports a statement that is sent on a connection of another tenant.
  void CheckTenant(uint64_t connection, const proxy::StatementId& id);
  void WriteRoutes(uint64_t version, Duration timeout);
  void PutRoutes();
  void PutUpstream(const UpstreamId& id);
  void WriteRowsAgain();
  uint64_t Random(uint64_t bound) { return random_() % bound; }

  // DatabaseObserver.
  void OnRead(const proxy::StatementId& id, const UpstreamId& upstream,
              const std::vector<LogEntry>& log, size_t applied) override;
  void OnRun(const RanStatement& ran) override;
  void OnCommitted(const std::vector<std::string>& writes,
                   bool is_replaced) override;
  void RollBack(const std::set<std::string>& present);
  // Reports a statement in the transaction of another caller or another
  // operation, or out of the order in which it was sent.
  void CheckTransaction(const RanStatement& ran, const Expectation& expected);
  // Reports what must not run a second time.
  void CountRun(const RanStatement& ran, const Expectation& expected);
  void OnPromoted(const UpstreamId& upstream,
                  const std::vector<LogEntry>& log) override;

  SessionWorldOptions options_;
  std::mt19937_64 random_;
  TimePoint now_ = TimePoint::FromMillis(1000);
  std::unique_ptr<DatabaseModel> database_;
  PreparedStoreModel store_;
  std::map<UpstreamId, proxy::UpstreamRecord> records_;
  std::set<UpstreamId> unregistered_;
  std::map<UpstreamId, int> upstream_writes_;
  proxy::RouteTable routes_;
  // Documents of the operator and the upstreams; a row's value is its index.
  std::vector<proxy::RouteTable> written_routes_;
  std::vector<proxy::UpstreamRecord> written_records_;
  std::vector<std::unique_ptr<Vm>> vms_;
  std::vector<std::unique_ptr<Caller>> callers_;
  std::multimap<TimePoint, Delivery> timers_;
  std::map<Link, std::deque<std::pair<TimePoint, Delivery>>> links_;
  std::set<Link> cuts_;
  std::multiset<Link> passing_cuts_;         // Those of CutFor().
  std::map<std::string, uint64_t> islands_;  // Of those that are isolated.
  std::set<std::pair<std::string, proxy::StoreTable>> refused_tables_;
  std::map<uint64_t, std::pair<Vm*, ConnectionId>> connections_;
  std::map<std::pair<Vm*, ConnectionId>, uint64_t> connection_numbers_;
  std::map<uint64_t, std::function<void(proxy::StoreAnswered)>> store_calls_;
  std::map<uint64_t, std::function<void(PeerCallError, PeerReplyBody)>>
      peer_calls_;
  std::map<uint64_t, std::string> call_receivers_;     // By pending peer call.
  std::map<uint64_t, std::string> call_senders_;       // By peer call.
  std::map<uint64_t, UpstreamId> upstream_of_;         // By connection.
  std::map<uint64_t, TenantId> tenant_of_;             // By connection.
  std::map<std::string, TenantId> statement_tenants_;  // By statement id.
  std::set<uint64_t> accepted_connections_;
  std::set<uint64_t> opened_connections_;  // The VM was told.
  std::set<uint64_t> mute_connections_;
  std::set<Link> mute_peer_connections_;  // By calling and called VM.
  std::set<uint64_t> reset_connections_;  // Closed while their link was cut.
  uint64_t last_number_ = 0;
  int store_answers_to_lose_ = 0;
  bool ignores_readiness_ = false;
  bool refuses_promotions_ = false;
  UpstreamId last_successor_;
  bool callers_paused_ = false;
  std::set<int> hot_;
  uint64_t highest_token_ = 0;

  // Answers that callers received, and what their statements must observe.
  struct Acknowledged {
    std::string text;
    TimePoint at;
    int caller = 0;
  };
  struct Expectation {
    int caller = 0;
    proxy::ReadConsistency consistency = proxy::ReadConsistency::kStrong;
    std::vector<std::string> texts;  // Writes that the read must contain.
    std::map<std::string, std::string> values;
    proxy::CallerStatement sent;
    proxy::PreparedShape prepared;  // Of the statement that it executes.
    bool in_transaction = false;
    uint64_t transaction = 0;  // Number of the caller's transaction; 0: none.
    int place = 0;             // Among the statements that run in it.
  };
  // What an upstream has run in one transaction.
  struct RanTransaction {
    uint64_t transaction = 0;  // Number of the caller's transaction.
    int statements = 0;
  };
  std::vector<Acknowledged> acknowledged_;
  // Committed by an upstream after the promotion of another took effect.
  std::set<std::string> late_writes_;
  std::set<std::string> committed_;
  // Missing in the log of an upstream that was promoted.
  std::set<std::string> rolled_back_;
  int64_t acknowledged_rolled_back_ = 0;
  // Without synchronous replicas: acknowledged writes that a read lacked, and
  // that read. It is stale unless a promotion rolls the write back.
  std::map<std::string, std::string> unseen_writes_;
  std::set<std::string> refused_writes_;  // Guaranteed to have no effect.
  std::map<std::string, Expectation> expectations_;  // By statement id.
  std::map<std::string, int> runs_;                  // By statement id.
  // By the number that the upstreams gave the transaction.
  std::map<uint64_t, RanTransaction> ran_transactions_;
  uint64_t last_transaction_ = 0;  // Of callers.
  SessionCounts counts_;
  TimePoint last_write_;
  TimePoint last_read_;
  std::string problem_;
  int promotions_ = 0;
  std::vector<std::string> log_;
  int statements_sent_ = 0;
  int statements_crossing_ = 0;
  std::map<UpstreamId, int> reads_at_;
};

}  // namespace fireflycart::standins

#endif  // FIREFLYCART_STANDINS_TESTING_SESSION_WORLD_H_
