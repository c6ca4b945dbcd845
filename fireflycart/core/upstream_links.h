// The connections of a coordinator to the upstreams of its group.
//
// Each upstream has one control connection and a pool of data connections. The
// pool stays below the upstream's limit by kReservedConnections connections, so
// that another VM that takes the group over can always connect.
//
//   links.Maintain(term, &context);            // opens what is missing
//   if (links.ControlIsFree(u)) links.CallControl(u, StatusCall{}, &context);
//   if (DataConnection* c = links.FindIdle(u)) links.CallData(c, work, ...);
//
// Limits: one call at a time on a connection. A connection whose call was not
// answered is closed, never reused.

#ifndef FIREFLYCART_CORE_UPSTREAM_LINKS_H_
#define FIREFLYCART_CORE_UPSTREAM_LINKS_H_

#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "fireflycart/core/clock.h"
#include "fireflycart/core/concurrency_limit.h"
#include "fireflycart/core/configuration.h"
#include "fireflycart/core/context.h"
#include "fireflycart/core/event.h"
#include "fireflycart/core/ids.h"
#include "fireflycart/core/upstream_health.h"
#include "fireflycart/core/upstream_message.h"

namespace fireflycart {

// Connections to each upstream that a data pool must leave unused.
constexpr int kReservedConnections = 4;

enum class ConnectionState { kOpening, kIdle, kBusy };

struct DataConnection {
  ConnectionId id;
  UpstreamId upstream;
  ConnectionState state = ConnectionState::kOpening;
  TimePoint state_since;  // Start of the current state.
  Instant sent_at;        // When the current call was sent.
  CallId call;
  WorkId work;                // The work item that the call is for.
  TransactionId transaction;  // Set while a transaction owns it.
};

struct ControlReply {
  UpstreamId upstream;
  UpstreamCallBody call;
  Instant sent_at;
};

struct UpstreamLink {
  UpstreamPolicy policy;
  UpstreamHealth health;
  ConcurrencyLimit concurrency;
  bool leaving = false;  // By configuration or the platform's VM list.
  ConnectionId control;  // 0 while there is none.
  bool control_ready = false;
  TimePoint control_open_started;
  CallId control_call;  // 0 while free.
  UpstreamCallBody control_body;
  Instant control_sent_at;
  TimePoint last_reply;
  std::map<ConnectionId, DataConnection> data;
  int in_flight = 0;                // Data calls not answered yet.
  int target_data_connections = 0;  // Data connections to keep open.
  TimePoint next_data_open;
};

class UpstreamLinks {
 public:
  explicit UpstreamLinks(GroupId group) : group_(std::move(group)) {}

  // Sets the upstreams. Closes the connections to all others and returns the
  // work items that were running on them.
  std::vector<WorkId> Configure(const std::vector<UpstreamPolicy>& upstreams,
                                Context* context);

  // Opens missing connections and closes control connections that timed out.
  void Maintain(Term term, Context* context);

  // Closes all connections.
  void CloseAll(Context* context);
  // Closes all data connections.
  void CloseData(Context* context);
  // Closes the data connections of one upstream that are idle and not owned by
  // a transaction.
  void CloseIdle(const UpstreamId& upstream, Context* context);
  // Closes one data connection immediately.
  void Close(ConnectionId connection, Context* context);

  bool ControlIsFree(const UpstreamId& upstream) const;
  void CallControl(const UpstreamId& upstream, UpstreamCallBody body,
                   Context* context);

  DataConnection* FindIdle(const UpstreamId& upstream);
  DataConnection* FindData(ConnectionId connection);
  CallId CallData(DataConnection* connection, WorkId work,
                  UpstreamCallBody body, Context* context);
  // Marks the call as answered.
  void EndCall(DataConnection* connection, TimePoint now);

  UpstreamLink* Find(const UpstreamId& upstream);
  const UpstreamLink* Find(const UpstreamId& upstream) const;
  std::map<UpstreamId, UpstreamLink>& all() { return links_; }
  const std::map<UpstreamId, UpstreamLink>& all() const { return links_; }
  bool Owns(ConnectionId connection) const;

  // Handles a connection that was opened or refused.
  void OnOpened(const ConnectionOpened& event, Context* context);
  // Handles a broken connection and returns its last state; the work is 0 if no
  // call was in progress on it.
  DataConnection OnBroken(ConnectionId connection, Context* context);
  // The reply to a control call, if the event is one.
  std::optional<ControlReply> OnControlReply(const UpstreamReplied& event,
                                             Context* context);

 private:
  void OpenControl(UpstreamLink* link, Term term, Context* context);
  void OpenData(UpstreamLink* link, Term term, Context* context);
  void MaintainControl(UpstreamLink* link, Term term, Context* context);
  void MaintainData(UpstreamLink* link, Term term, Context* context);
  void CloseControl(UpstreamLink* link, Context* context);
  UpstreamLink* LinkOf(ConnectionId connection);

  GroupId group_;
  std::map<UpstreamId, UpstreamLink> links_;
  std::map<ConnectionId, UpstreamId> upstream_of_;
};

}  // namespace fireflycart

#endif  // FIREFLYCART_CORE_UPSTREAM_LINKS_H_
