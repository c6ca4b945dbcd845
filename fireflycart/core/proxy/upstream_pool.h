// Connections of a group's owner to the group's upstreams: decides when to open
// them, and records the session state and the unanswered commands of each.
//
//   pool.SetRecords(records, &context);
//   PooledConnection* c =
//       pool.Take(upstream, call.tenant, call.values, &context);
//   pool.Send(c, commands, work, &context);
//
// Each upstream has one control connection, for status requests and role
// changes, and a limited number of data connections. At first the limit is less
// than half of what the upstream accepts, since the upstream keeps the
// connections of a failed owner for some seconds; an owner that has been the
// only one for longer than that may use more.
//
// Limits: one statement at a time on a data connection.

#ifndef FIREFLYCART_CORE_PROXY_UPSTREAM_POOL_H_
#define FIREFLYCART_CORE_PROXY_UPSTREAM_POOL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fireflycart/core/admission/connection_plan.h"
#include "fireflycart/core/proxy/commit_set.h"
#include "fireflycart/core/proxy/proxy_context.h"
#include "fireflycart/core/proxy/route.h"
#include "fireflycart/core/proxy/work.h"

namespace fireflycart::proxy {

struct SentCommand {
  CommandKind kind = CommandKind::kStatus;
  StatementNumber work;  // 0: not sent for a statement.
  Instant at;
  // The transaction of the connection before the command, and after it if it
  // succeeds.
  TransactionState state_before = TransactionState::kNone;
  TransactionState state_after = TransactionState::kNone;
  // The last command of a set-up: the statement is sent when it is answered.
  bool ends_set_up = false;

  // A caller's statement, or the commit of a transaction.
  bool is_statement() const {
    return kind == CommandKind::kVerbatim || kind == CommandKind::kExecute;
  }
  bool is_set_up() const {
    return kind == CommandKind::kReset || kind == CommandKind::kSetValue ||
           kind == CommandKind::kPrepare;
  }
  // False if the upstream reports another transaction state than the answer
  // implies. What it reports after a failure in a transaction is not known
  // beforehand.
  bool IsStateExpected(const UpstreamAnswer& answer) const;
};

struct PooledConnection {
  ConnectionId id;
  UpstreamId upstream;
  TenantId tenant;  // Whose statements it carries; may be empty.
  bool is_control = false;
  bool is_open = false;
  bool is_pinned = false;        // Reserved for a transaction.
  bool is_rolling_back = false;  // Until the rollback is answered.
  TimePoint last_used;           // When it was opened or last sent to.
  // Once the commands that were sent have succeeded; after a failure, what the
  // upstream reported.
  TransactionState state = TransactionState::kNone;
  std::deque<SentCommand> sent;
  std::map<std::string, std::string> values;
  std::map<PreparedShape, std::string> prepared;  // With their names.
  uint64_t last_prepared = 0;                     // Number of the last name.
  size_t prepared_bytes = 0;                      // Of their shapes.

  bool is_idle() const {
    return is_open && !is_control && !is_pinned && !is_rolling_back &&
           sent.empty() && state == TransactionState::kNone;
  }
};

// Data connections by state, and what was done since the start.
struct ConnectionCounts {
  int64_t idle = 0;
  int64_t busy = 0;
  int64_t pinned = 0;
  int64_t opening = 0;
  int64_t openings = 0;
  int64_t openings_ahead = 0;  // Before any work waited for them.
  int64_t replaced = 0;        // Closed for one of another tenant.

  void Add(const ConnectionCounts& o);
};

// The last known state of one upstream.
struct PooledUpstream {
  UpstreamRecord record;
  bool is_registered = true;
  TimePoint unregistered_at;
  // When its entry returned after it had been missing; zero: it never was.
  TimePoint registered_since;
  ConnectionId control;
  Instant control_opened;     // Sequence 0: the control connection is not open.
  TimePoint control_lost_at;  // When the last one broke; it may have restarted.
  // Statements sent and not yet answered, or whose set-up is.
  int running = 0;
  int setting_up = 0;    // Those of them that are set up.
  int connections = 0;   // Data connections, opening ones included.
  int opening = 0;       // Data connections that are not open yet.
  int failed_opens = 0;  // Consecutive.
  bool is_down = false;  // It does not answer.
  TimePoint next_open;   // Earliest next attempt to connect.
  TimePoint last_answer;
  bool has_status = false;
  UpstreamStatus status;
  Instant status_sent;
  LogPosition received_before_restart;
  TimePoint leaving_noticed_at;  // When its record first said that it leaves.
  TimePoint held_since;          // When its answers first reported the hold.
  // Until then, an order to resume that was not answered may still arrive.
  TimePoint resume_may_arrive_until;
  LogPosition applied;  // Position in the last answer.
  TimePoint applied_at;
  // Percentage of its connections that this pool may use.
  int connection_share = 100;

  // True if the status came on the present control connection. A restart of the
  // upstream, which ends a hold, breaks that connection.
  bool is_status_of_this_connection() const {
    return has_status && control_opened.sequence != 0 &&
           status_sent.sequence >= control_opened.sequence;
  }
};

class UpstreamPool {
 public:
  static constexpr Duration kOpenTimeout = Duration::Millis(400);
  // Base delay before the next attempt after a failed one. It doubles with each
  // consecutive failure, up to the maximum.
  static constexpr Duration kOpenRetryDelay = Duration::Millis(60);
  static constexpr Duration kMaxOpenRetryDelay = Duration::Millis(400);
  // Consecutive failed attempts after which an upstream counts as down.
  static constexpr int kFailuresUntilDown = 2;
  // Statements in flight beyond the slots of an upstream, to keep the slots
  // busy during the round trip.
  static constexpr int kExtraInFlight = 1;
  // The same for statements whose set-up is not answered yet.
  static constexpr int kExtraSettingUp = 1;

  // Every failover that takes effect from now on includes an upstream that was
  // first known this long ago: the list of the VM that orders the promotion is
  // at most kListMaxAge old, and an order takes effect within 3.5 s.
  static constexpr Duration kEstablishedAge = Duration::Seconds(8);
  // A list of upstreams that was confirmed within this time is current; it is
  // StoreFollower::kStoreAgeLimit.
  static constexpr Duration kListMaxAge = Duration::Millis(3600);
  static constexpr Duration kFleetCheckMaxAge = Duration::Millis(500);
  // Time without an entry after which an upstream that does not answer is sent
  // nothing more; the platform restores entries within 2 s.
  static constexpr Duration kEndedTime = Duration::Millis(2300);
  // Time until the list of upstreams shows the restart of one.
  static constexpr Duration kRestartNoticeTime = Duration::Millis(1500);
  // An order to resume is sent within this time after it was given, or not.
  static constexpr Duration kResumeExpiry = Duration::Millis(300);
  // Time after which an order to resume that was given has arrived or never
  // will: its expiry and the time for which the transport repeats what the
  // upstream has not acknowledged.
  static constexpr Duration kResumeMaxTransit = Duration::Millis(1800);
  // The same for an order whose connection was reset.
  static constexpr Duration kResetMaxTransit = Duration::Millis(100);

  explicit UpstreamPool(GroupId group) : group_(std::move(group)) {}

  // Updates the registered upstreams of the group.
  void SetRecords(const std::vector<UpstreamRecord>& records,
                  ProxyContext* context);
  // The records include the changes up to about this time.
  void SetListTime(TimePoint list_time) { list_time_ = list_time; }
  Duration ListAge(TimePoint now) const { return now - list_time_; }
  bool IsListCurrent(TimePoint now) const {
    return ListAge(now) <= kListMaxAge;
  }
  // Sets whether the other VMs have answered recently.
  void SetFleetReachable(bool is_reachable, TimePoint now) {
    if (is_reachable && !IsFleetReachable(now)) fleet_reachable_since_ = now;
    is_fleet_reachable_ = is_reachable;
    fleet_checked_at_ = now;
  }
  // True if no other VM has a newer list: this one is current, or the store
  // answers no VM. A VM that is cut off from the store and from other VMs does
  // not know which upstreams have left since.
  bool IsListTrusted(TimePoint now) const {
    return IsListCurrent(now) || IsFleetReachable(now);
  }
  // True if all other VMs have answered recently.
  bool IsFleetReachable(TimePoint now) const {
    bool is_checked = now - fleet_checked_at_ <= kFleetCheckMaxAge;
    return is_fleet_reachable_ && is_checked;
  }
  // Since when they have answered without a gap.
  TimePoint fleet_reachable_since() const { return fleet_reachable_since_; }
  // True if every VM knows the present process of the upstream.
  bool IsEstablished(const PooledUpstream& upstream, TimePoint now) const;
  // True if the store has listed the upstream since that time without a gap, as
  // far as is known.
  bool WasListed(const PooledUpstream& upstream, TimePoint since) const {
    return (upstream.record.known_since == TimePoint() ||
            upstream.record.known_since <= since) &&
           (upstream.registered_since == TimePoint() ||
            upstream.registered_since <= since);
  }
  // True if it has ended, as far as work is concerned; see
  // Failover::kUnregisteredTimeout.
  bool HasEnded(const PooledUpstream& upstream, TimePoint now) const;
  // True if an upstream that did not leave was forgotten, and none has started
  // at its address since. It may go on receiving the log.
  bool may_have_forgotten_replica() const {
    return !forgotten_addresses_.empty();
  }
  void Forget(const UpstreamId& id);
  // True if it is also not about to end, as far as is known.
  bool IsLasting(const PooledUpstream& upstream, TimePoint now) const {
    return upstream.is_registered && !upstream.record.leaving &&
           IsEstablished(upstream, now);
  }
  void SetMaxConnections(int max_connections) {
    max_connections_ = max_connections;
  }
  // Sets whether this VM has owned the group long enough that no earlier owner
  // has connections open.
  void SetSoleOwner(bool is_sole_owner) { is_sole_owner_ = is_sole_owner; }
  // Closes idle data connections once another VM owns the group.
  void CloseIdle(ProxyContext* context);

  // Opens control connections that are missing.
  void OpenControls(ProxyContext* context);

  // Set once statements of tenants arrive. From then on Take() opens nothing:
  // ConnectionPlan decides which connections are opened, and those under way
  // count as statements in flight, since each occupies a slot.
  void SetCarriesTenants() { carries_tenants_ = true; }
  bool carries_tenants() const { return carries_tenants_; }

  // Returns an idle connection of the tenant, preferably one with these session
  // values. If there is none, returns null, and without tenants opens one more
  // if the limit allows.
  PooledConnection* Take(const UpstreamId& upstream, const TenantId& tenant,
                         const std::map<std::string, std::string>& values,
                         ProxyContext* context);
  // The connections to the upstream, for the decision which to open.
  ConnectionSnapshot SnapshotOf(const PooledUpstream& upstream,
                                TimePoint now) const;
  // Performs what was decided for the upstream, if its limit allows.
  void Perform(const UpstreamId& upstream, const ConnectionStep& step,
               ProxyContext* context);
  bool HasIdle(const UpstreamId& upstream, const TenantId& tenant) const;
  // The tenants that have an idle connection, by upstream.
  std::set<std::pair<UpstreamId, TenantId>> IdleTenants() const;
  // The tenants that have any data connection, opening ones included.
  std::set<std::pair<UpstreamId, TenantId>> ConnectedTenants() const;
  // True if a transaction of the tenant may pin one more connection. A tenant
  // pins at most as many as it leaves for all others to pin.
  bool MayPin(const UpstreamId& upstream, const TenantId& tenant) const;

  // Returns the commands that give the connection exactly the session values of
  // the call and, if it is prepared, its shape; records them in the connection.
  // The statement must not be sent before they are answered: an upstream that
  // refuses one would run it with the state of another session.
  static std::vector<UpstreamCommand> SetUpCommands(
      PooledConnection* connection, const StatementCall& call);
  // Sends these commands, with a place in flight for the statement behind them.
  void SendSetUp(PooledConnection* connection,
                 std::vector<UpstreamCommand> commands, StatementNumber work,
                 ProxyContext* context);
  void Send(PooledConnection* connection, std::vector<UpstreamCommand> commands,
            StatementNumber work, ProxyContext* context);

  // True if an order to resume of this VM may still arrive at an upstream; sets
  // `until` to the latest time at which one may.
  bool MayResumeArrive(TimePoint now, TimePoint* until) const;

  // True if a command on the control connection is not answered yet.
  bool IsControlBusy(const UpstreamId& upstream);
  // Sends on the control connection; false if none is open.
  bool SendControl(const UpstreamId& upstream, const UpstreamCommand& command,
                   ProxyContext* context);

  void OnOpened(ConnectionId id, LogPosition position, ProxyContext* context);
  // Removes the answered command from the connection and returns it.
  SentCommand OnAnswered(ConnectionId id, const UpstreamAnswer& answer,
                         ProxyContext* context);
  // Removes the connection; returns it with its unanswered commands.
  PooledConnection OnClosed(const UpstreamClosed& closed,
                            ProxyContext* context);
  // Closes the connection; returns it with its unanswered commands.
  PooledConnection Close(ConnectionId id, ProxyContext* context);
  void CloseAll(ProxyContext* context);
  // Marks an upstream as down; closes its connections and returns them.
  std::vector<PooledConnection> MarkDown(const UpstreamId& id,
                                         const char* cause,
                                         ProxyContext* context);

  PooledConnection* Find(ConnectionId id);
  PooledUpstream* FindUpstream(const UpstreamId& id);
  const PooledUpstream* FindUpstream(const UpstreamId& id) const;
  // The upstream that was started later at the same address and so has the log
  // of this one, which has ended; null if there is none.
  const PooledUpstream* ReplacementOf(const PooledUpstream& upstream) const;
  // The member of the set, or the upstream that has its log now, if either is
  // known; otherwise null. One that has started again since has the log if it
  // reaches the positions that are known.
  const PooledUpstream* WithLogOf(const UpstreamId& id,
                                  const CommitSet& set) const;
  std::map<UpstreamId, PooledUpstream>& upstreams() { return upstreams_; }
  const std::map<UpstreamId, PooledUpstream>& upstreams() const {
    return upstreams_;
  }
  size_t connection_count() const { return connections_.size(); }
  ConnectionCounts counts() const;
  std::vector<ConnectionId> ConnectionsOf(const UpstreamId& id) const;
  // True if one more statement may be sent to the upstream now.
  bool HasSlot(const PooledUpstream& upstream) const;
  // True if the upstream has been leaving or without an entry for so long that
  // it is sent no new statements. One that has been leaving for an unknown time
  // is sent none.
  bool IsDrained(const PooledUpstream& upstream, TimePoint now) const {
    TimePoint leaving_since = upstream.record.leaving_since;
    bool has_left =
        upstream.record.leaving &&
        (leaving_since == TimePoint() || now - leaving_since >= drain_limit_);
    bool is_gone = !upstream.is_registered &&
                   now - upstream.unregistered_at >= drain_limit_;
    return has_left || is_gone;
  }
  void SetDrainLimit(Duration limit) { drain_limit_ = limit; }

 private:
  void CountSent(const SentCommand& command, PooledUpstream* upstream);
  void CountAnswered(const SentCommand& command, PooledUpstream* upstream);
  int MaxDataConnections(const UpstreamId& upstream) const;
  // Its idle connection that was used longest ago; null if it has none.
  PooledConnection* OldestIdleOf(const UpstreamId& upstream,
                                 const TenantId& tenant);
  void Open(PooledUpstream* upstream, const TenantId& tenant, bool is_control,
            ProxyContext* context);
  void OnOpenFailed(PooledUpstream* upstream, const std::string& reason,
                    ProxyContext* context);
  PooledConnection Remove(ConnectionId id);
  // An open control connection has ended and was reset.
  void OnControlLost(const PooledConnection& lost, ProxyContext* context);

  GroupId group_;
  int max_connections_ = 1;
  bool is_sole_owner_ = false;
  bool carries_tenants_ = false;
  TimePoint list_time_;
  bool is_fleet_reachable_ = false;
  TimePoint fleet_checked_at_;
  TimePoint fleet_reachable_since_;
  std::set<std::string> forgotten_addresses_;
  Duration drain_limit_ = Duration::Millis(5500);
  std::map<UpstreamId, PooledUpstream> upstreams_;
  std::map<ConnectionId, PooledConnection> connections_;
  ConnectionCounts done_;  // Only what was done.
};

}  // namespace fireflycart::proxy

#endif  // FIREFLYCART_CORE_PROXY_UPSTREAM_POOL_H_
