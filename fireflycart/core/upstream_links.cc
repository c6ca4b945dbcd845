// Connections are opened before they are needed, since opening takes as long as
// several statements. The pool opens a few connections at a time and backs off
// after a refusal, so that a full upstream is not flooded with attempts.
//
// A control call that times out makes the upstream suspect: its control
// connection is replaced. Its idle data connections are closed too, since the
// fault that stopped one connection has probably stopped them as well.

#include "fireflycart/core/upstream_links.h"

#include <algorithm>

#include "fireflycart/core/error.h"

namespace fireflycart {
namespace {

constexpr int kMaxConcurrentOpens = 4;
constexpr Duration kOpenTimeout = Duration::Millis(250);
constexpr Duration kRefusedOpenBackoff = Duration::Millis(50);

int CountOpening(const UpstreamLink& link) {
  int count = 0;
  for (const auto& item : link.data) {
    if (item.second.state == ConnectionState::kOpening) count++;
  }
  return count;
}

}  // namespace

std::vector<WorkId> UpstreamLinks::Configure(
    const std::vector<UpstreamPolicy>& upstreams, Context* context) {
  std::vector<WorkId> interrupted;
  std::map<UpstreamId, UpstreamLink> kept;
  for (const UpstreamPolicy& policy : upstreams) {
    auto found = links_.find(policy.id);
    bool same_address =
        found != links_.end() && found->second.policy.address == policy.address;
    if (same_address) kept[policy.id] = std::move(found->second);
    kept[policy.id].policy = policy;
    kept[policy.id].concurrency.set_slots(policy.slots);
    kept[policy.id].leaving = policy.leaving;
    if (same_address) links_.erase(found);
  }
  for (auto& item : links_) {
    for (auto& data : item.second.data) {
      if (data.second.work != WorkId()) interrupted.push_back(data.second.work);
    }
  }
  CloseAll(context);
  links_ = std::move(kept);
  for (auto& item : links_) {
    if (item.second.control != ConnectionId()) {
      upstream_of_[item.second.control] = item.first;
    }
    for (auto& data : item.second.data) upstream_of_[data.first] = item.first;
  }
  return interrupted;
}

void UpstreamLinks::Maintain(Term term, Context* context) {
  for (auto& item : links_) {
    MaintainControl(&item.second, term, context);
    MaintainData(&item.second, term, context);
  }
}

void UpstreamLinks::CloseAll(Context* context) {
  for (auto& item : links_) {
    UpstreamLink& link = item.second;
    if (link.control != ConnectionId()) CloseControl(&link, context);
  }
  CloseData(context);
}

void UpstreamLinks::CloseData(Context* context) {
  for (auto& item : links_) {
    UpstreamLink& link = item.second;
    for (auto& data : link.data) {
      context->Emit(CloseConnection{data.first});
      upstream_of_.erase(data.first);
    }
    link.data.clear();
    link.in_flight = 0;
  }
}

void UpstreamLinks::CloseIdle(const UpstreamId& upstream, Context* context) {
  UpstreamLink* link = Find(upstream);
  if (link == nullptr) return;
  std::vector<ConnectionId> idle;
  for (const auto& item : link->data) {
    bool free = item.second.state == ConnectionState::kIdle &&
                item.second.transaction == TransactionId();
    if (free) idle.push_back(item.first);
  }
  for (ConnectionId id : idle) Close(id, context);
}

void UpstreamLinks::Close(ConnectionId connection, Context* context) {
  UpstreamLink* link = LinkOf(connection);
  if (link == nullptr) return;
  auto found = link->data.find(connection);
  if (found == link->data.end()) return;
  if (found->second.state == ConnectionState::kBusy) link->in_flight--;
  link->data.erase(found);
  upstream_of_.erase(connection);
  context->Emit(CloseConnection{connection});
}

bool UpstreamLinks::ControlIsFree(const UpstreamId& upstream) const {
  const UpstreamLink* link = Find(upstream);
  return link != nullptr && link->control_ready &&
         link->control_call == CallId();
}

void UpstreamLinks::CallControl(const UpstreamId& upstream,
                                UpstreamCallBody body, Context* context) {
  UpstreamLink* link = Find(upstream);
  CheckInvariant(ControlIsFree(upstream), "send control call",
                 "control connection is not ready or has a call in progress");
  link->control_call = context->NextCall();
  link->control_body = body;
  link->control_sent_at = context->instant();
  context->Emit(
      CallUpstream{link->control, link->control_call, std::move(body)});
}

DataConnection* UpstreamLinks::FindIdle(const UpstreamId& upstream) {
  UpstreamLink* link = Find(upstream);
  if (link == nullptr) return nullptr;
  for (auto& item : link->data) {
    bool free = item.second.state == ConnectionState::kIdle &&
                item.second.transaction == TransactionId();
    if (free) return &item.second;
  }
  return nullptr;
}

DataConnection* UpstreamLinks::FindData(ConnectionId connection) {
  UpstreamLink* link = LinkOf(connection);
  if (link == nullptr) return nullptr;
  auto found = link->data.find(connection);
  return found == link->data.end() ? nullptr : &found->second;
}

CallId UpstreamLinks::CallData(DataConnection* connection, WorkId work,
                               UpstreamCallBody body, Context* context) {
  CheckInvariant(connection->state == ConnectionState::kIdle, "send data call",
                 "connection is not idle");
  connection->state = ConnectionState::kBusy;
  connection->state_since = context->now();
  connection->sent_at = context->instant();
  connection->call = context->NextCall();
  connection->work = work;
  Find(connection->upstream)->in_flight++;
  context->Emit(
      CallUpstream{connection->id, connection->call, std::move(body)});
  return connection->call;
}

void UpstreamLinks::EndCall(DataConnection* connection, TimePoint now) {
  connection->state = ConnectionState::kIdle;
  connection->state_since = now;
  connection->call = CallId();
  connection->work = WorkId();
  UpstreamLink* link = Find(connection->upstream);
  link->concurrency.OnCompletion(link->in_flight, now);
  link->in_flight--;
  link->last_reply = now;
  CheckInvariant(link->in_flight >= 0, "end upstream call",
                 "more replies than calls in flight");
}

UpstreamLink* UpstreamLinks::Find(const UpstreamId& upstream) {
  auto found = links_.find(upstream);
  return found == links_.end() ? nullptr : &found->second;
}

const UpstreamLink* UpstreamLinks::Find(const UpstreamId& upstream) const {
  auto found = links_.find(upstream);
  return found == links_.end() ? nullptr : &found->second;
}

bool UpstreamLinks::Owns(ConnectionId connection) const {
  return upstream_of_.count(connection) != 0;
}

void UpstreamLinks::OnOpened(const ConnectionOpened& event, Context* context) {
  UpstreamLink* link = LinkOf(event.connection);
  if (link == nullptr) return;
  bool accepted = event.reply.code == UpstreamCode::kOk;
  if (event.connection == link->control) {
    if (!accepted) {
      CloseControl(link, context);
      link->health.OnOpenFailed(context->now());
      return;
    }
    link->control_ready = true;
    link->last_reply = context->now();
    link->health.OnReply();
    return;
  }
  auto found = link->data.find(event.connection);
  if (found == link->data.end()) return;
  if (!accepted) {
    Close(event.connection, context);
    link->next_data_open = context->now() + kRefusedOpenBackoff;
    return;
  }
  found->second.state = ConnectionState::kIdle;
  found->second.state_since = context->now();
}

DataConnection UpstreamLinks::OnBroken(ConnectionId connection,
                                       Context* context) {
  UpstreamLink* link = LinkOf(connection);
  DataConnection broken;
  if (link == nullptr) return broken;
  upstream_of_.erase(connection);
  if (connection == link->control) {
    if (!link->control_ready) link->health.OnOpenFailed(context->now());
    link->control = ConnectionId();
    link->control_ready = false;
    link->control_call = CallId();
    link->health.OnCallTimeout();
    return broken;
  }
  auto found = link->data.find(connection);
  if (found == link->data.end()) return broken;
  broken = found->second;
  if (broken.state == ConnectionState::kBusy) link->in_flight--;
  if (broken.state == ConnectionState::kOpening) {
    link->next_data_open = context->now() + kRefusedOpenBackoff;
  }
  link->data.erase(found);
  return broken;
}

std::optional<ControlReply> UpstreamLinks::OnControlReply(
    const UpstreamReplied& event, Context* context) {
  UpstreamLink* link = LinkOf(event.connection);
  if (link == nullptr || event.connection != link->control) return std::nullopt;
  if (event.call != link->control_call) return std::nullopt;
  link->control_call = CallId();
  link->last_reply = context->now();
  link->health.OnReply();
  const auto* status = std::get_if<StatusCall>(&link->control_body);
  bool immediate = status != nullptr && status->await_position == Position();
  if (immediate) {
    link->concurrency.OnRoundTrip(context->now() - link->control_sent_at.time);
  }
  return ControlReply{link->policy.id, link->control_body,
                      link->control_sent_at};
}

void UpstreamLinks::OpenControl(UpstreamLink* link, Term term,
                                Context* context) {
  link->control = context->NextConnection();
  link->control_ready = false;
  link->control_open_started = context->now();
  upstream_of_[link->control] = link->policy.id;
  context->Emit(OpenConnection{
      link->control, group_, link->policy.id, link->policy.address,
      ConnectionPurpose::kControl, term, context->self()});
}

void UpstreamLinks::OpenData(UpstreamLink* link, Term term, Context* context) {
  DataConnection connection;
  connection.id = context->NextConnection();
  connection.upstream = link->policy.id;
  connection.state_since = context->now();
  upstream_of_[connection.id] = link->policy.id;
  link->data[connection.id] = connection;
  context->Emit(OpenConnection{connection.id, group_, link->policy.id,
                               link->policy.address, ConnectionPurpose::kData,
                               term, context->self()});
}

void UpstreamLinks::MaintainControl(UpstreamLink* link, Term term,
                                    Context* context) {
  TimePoint now = context->now();
  if (link->control == ConnectionId()) {
    if (link->health.MayOpen(now)) OpenControl(link, term, context);
    return;
  }
  if (!link->control_ready) {
    if (now - link->control_open_started <= kOpenTimeout) return;
    CloseControl(link, context);
    link->health.OnOpenFailed(now);
    return;
  }
  if (link->control_call == CallId()) return;
  Duration limit = context->options().control_timeout();
  if (now - link->control_sent_at.time <= limit) return;
  context->Log(LogLevel::kInfo, "upstream",
               "Control call to " + link->policy.id.value() +
                   " timed out; replacing the connection.");
  CloseControl(link, context);
  link->health.OnCallTimeout();
  CloseIdle(link->policy.id, context);
}

void UpstreamLinks::MaintainData(UpstreamLink* link, Term term,
                                 Context* context) {
  TimePoint now = context->now();
  std::vector<ConnectionId> timed_out;
  for (const auto& item : link->data) {
    bool opening = item.second.state == ConnectionState::kOpening;
    if (opening && now - item.second.state_since > kOpenTimeout) {
      timed_out.push_back(item.first);
    }
  }
  for (ConnectionId id : timed_out) {
    Close(id, context);
    link->next_data_open = now + kRefusedOpenBackoff;
  }
  if (!link->control_ready || now < link->next_data_open) return;
  int cap = std::max(1, link->policy.connections - kReservedConnections);
  int target = std::min(link->target_data_connections, cap);
  int opening = CountOpening(*link);
  while (static_cast<int>(link->data.size()) < target &&
         opening < kMaxConcurrentOpens) {
    OpenData(link, term, context);
    opening++;
  }
}

void UpstreamLinks::CloseControl(UpstreamLink* link, Context* context) {
  context->Emit(CloseConnection{link->control});
  upstream_of_.erase(link->control);
  link->control = ConnectionId();
  link->control_ready = false;
  link->control_call = CallId();
}

UpstreamLink* UpstreamLinks::LinkOf(ConnectionId connection) {
  auto found = upstream_of_.find(connection);
  return found == upstream_of_.end() ? nullptr : Find(found->second);
}

}  // namespace fireflycart
