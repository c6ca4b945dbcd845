// Connections of a group's owner to the group's upstreams: when to open them,
// what each one is set up for, and which commands are unanswered on it.
//
//   pool.SetRecords(records, &context);
//   PooledConnection* c = pool.Take(upstream, call.values, &context);
//   pool.Send(c, commands, work, &context);
//
// Each upstream has one control connection, for status and orders, and data
// connections up to its budget. At first the budget is less than half of what
// the upstream accepts, since it keeps the connections of an owner that died
// for some seconds; an owner that has been alone for longer may use more.
//
// Limits: one statement at a time on a data connection.

#ifndef FIREFLYCART_CORE_PROXY_UPSTREAM_POOL_H_
#define FIREFLYCART_CORE_PROXY_UPSTREAM_POOL_H_

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "fireflycart/core/proxy/proxy_context.h"
#include "fireflycart/core/proxy/route.h"
#include "fireflycart/core/proxy/work.h"

namespace fireflycart::proxy {

struct SentCommand {
  CommandKind kind = CommandKind::kStatus;
  StatementNumber work;  // 0 if it belongs to none.
  Instant at;
};

struct PooledConnection {
  ConnectionId id;
  UpstreamId upstream;
  bool is_control = false;
  bool is_open = false;
  bool is_pinned = false;  // Belongs to a transaction.
  bool is_ending = false;  // Rolls back; free after that.
  std::deque<SentCommand> sent;
  std::map<std::string, std::string> values;
  std::set<PreparedShape> prepared;

  bool is_idle() const {
    return is_open && !is_control && !is_pinned && !is_ending && sent.empty();
  }
};

// What the owner knows of one upstream.
struct PooledUpstream {
  UpstreamRecord record;
  bool is_registered = true;
  TimePoint unregistered_at;
  TimePoint leaving_since;  // Since when its record says so.
  ConnectionId control;
  int running = 0;       // Statements that were sent and not answered.
  int connections = 0;   // Data connections, opening ones included.
  int failed_opens = 0;  // In a row.
  bool is_down = false;  // It answers nothing.
  TimePoint next_open;   // Pause after a failure.
  TimePoint last_answer;
  bool has_status = false;
  UpstreamStatus status;
  Instant status_sent;
  TimePoint held_since;  // Since when its answers say that it holds.
  LogPosition applied;   // Of the last answer.
  TimePoint applied_at;
};

class UpstreamPool {
 public:
  // Longest wait for a connection.
  static constexpr Duration kOpenTimeout = Duration::Millis(400);
  // Pause before an upstream that refused a connection is tried again.
  static constexpr Duration kOpenRetry = Duration::Millis(60);
  static constexpr Duration kOpenRetryMax = Duration::Millis(400);
  // After so many failed attempts in a row an upstream counts as down.
  static constexpr int kFailuresUntilDown = 2;
  // Statements sent beyond the slots, to keep slots busy over the round trip.
  static constexpr int kAhead = 1;

  explicit UpstreamPool(GroupId group) : group_(std::move(group)) {}

  // Takes in the registered upstreams of the group.
  void SetRecords(const std::vector<UpstreamRecord>& records,
                  ProxyContext* context);
  void SetMaxConnections(int max_connections) {
    max_connections_ = max_connections;
  }
  // Whether this VM has owned the group long enough to be alone.
  void SetAlone(bool is_alone) { is_alone_ = is_alone; }
  // Closes idle data connections: another VM owns the group.
  void CloseIdle(ProxyContext* context);

  // Opens control connections that are missing.
  void OpenControls(ProxyContext* context);

  // An idle connection, best one for these values; null if there is none. One
  // more is opened if the budget allows.
  PooledConnection* Take(const UpstreamId& upstream,
                         const std::map<std::string, std::string>& values,
                         ProxyContext* context);
  // True if a transaction may pin one more connection.
  bool MayPin(const UpstreamId& upstream) const;

  // Commands that make the connection hold just these values, and the
  // statement's shape if it is prepared.
  static std::vector<UpstreamCommand> SetUp(PooledConnection* connection,
                                            const StatementCall& call);

  void Send(PooledConnection* connection, std::vector<UpstreamCommand> commands,
            StatementNumber work, ProxyContext* context);

  // Sends on the control connection; false if there is none.
  bool SendControl(const UpstreamId& upstream, const UpstreamCommand& command,
                   ProxyContext* context);

  void OnOpened(ConnectionId id, LogPosition position, ProxyContext* context);
  // Takes the answered command off the connection.
  SentCommand OnAnswered(ConnectionId id, const UpstreamAnswer& answer,
                         ProxyContext* context);
  // Forgets the connection and returns it with what was unanswered.
  PooledConnection OnClosed(const UpstreamClosed& closed,
                            ProxyContext* context);
  // Closes the connection; returns what was unanswered.
  PooledConnection Close(ConnectionId id, ProxyContext* context);
  void CloseAll(ProxyContext* context);
  // Marks an upstream as answering nothing, and closes its connections.
  std::vector<PooledConnection> MarkDown(const UpstreamId& id,
                                         const char* cause,
                                         ProxyContext* context);

  PooledConnection* Find(ConnectionId id);
  PooledUpstream* FindUpstream(const UpstreamId& id);
  std::map<UpstreamId, PooledUpstream>& upstreams() { return upstreams_; }
  const std::map<UpstreamId, PooledUpstream>& upstreams() const {
    return upstreams_;
  }
  size_t connection_count() const { return connections_.size(); }
  std::vector<ConnectionId> ConnectionsOf(const UpstreamId& id) const;
  // True if the upstream takes one more statement now.
  bool HasSlot(const PooledUpstream& upstream) const;
  // True if the upstream has been leaving for so long that no new work may
  // reach it.
  bool IsDrained(const PooledUpstream& upstream, TimePoint now) const {
    return upstream.record.leaving &&
           now - upstream.leaving_since >= drain_limit_;
  }
  void SetDrainLimit(Duration limit) { drain_limit_ = limit; }

 private:
  int DataBudget() const;
  void Open(PooledUpstream* upstream, bool is_control, ProxyContext* context);
  void OnOpenFailed(PooledUpstream* upstream, const std::string& reason,
                    ProxyContext* context);
  PooledConnection Remove(ConnectionId id);

  GroupId group_;
  int max_connections_ = 1;
  bool is_alone_ = false;
  Duration drain_limit_ = Duration::Millis(5500);
  std::map<UpstreamId, PooledUpstream> upstreams_;
  std::map<ConnectionId, PooledConnection> connections_;
};

}  // namespace fireflycart::proxy

#endif  // FIREFLYCART_CORE_PROXY_UPSTREAM_POOL_H_
