// A connection is used only if its session state is known exactly. Its session
// values are compared with those of the statement: a reset removes surplus
// ones, and different ones are set again. Prepared statements are named by a
// number of their connection, since a shape may hold any text, and are shared
// by all callers of a shape. A connection of uncertain state is closed.

#include "fireflycart/core/proxy/upstream_pool.h"

#include <algorithm>
#include <utility>

namespace fireflycart::proxy {
namespace {

constexpr char kPart[] = "pool";
// Share of an upstream's connections that a sole owner may use. The rest is for
// the next owner.
constexpr int kSoleOwnerShareNumerator = 2;
constexpr int kSoleOwnerShareDenominator = 3;
// Connections that transactions may not pin, reserved for single statements.
constexpr int kUnpinnedReserve = 2;
// A connection with shapes of more than this is reset before one is added.
constexpr size_t kMaxPreparedBytes = size_t{256} << 10;

bool HasUnansweredResume(const PooledConnection& connection) {
  return std::any_of(connection.sent.begin(), connection.sent.end(),
                     [](const SentCommand& command) {
                       return command.kind == CommandKind::kResume;
                     });
}

bool HasLogOf(const PooledUpstream& upstream, LogPosition position) {
  return upstream.has_status && !(upstream.status.received < position);
}

TransactionState StateAfter(const UpstreamCommand& command,
                            TransactionState state) {
  switch (command.kind) {
    case CommandKind::kBegin:
    case CommandKind::kBeginReadOnly:
      return TransactionState::kOpen;
    case CommandKind::kRollback:
      return TransactionState::kNone;
    default:
      return command.commits ? TransactionState::kNone : state;
  }
}

}  // namespace

bool SentCommand::IsStateExpected(const UpstreamAnswer& answer) const {
  if (answer.outcome == Outcome::kDone) return answer.state == state_after;
  return state_before != TransactionState::kNone ||
         answer.state == TransactionState::kNone;
}

void ConnectionCounts::Add(const ConnectionCounts& o) {
  idle += o.idle;
  busy += o.busy;
  pinned += o.pinned;
  opening += o.opening;
  openings += o.openings;
  openings_ahead += o.openings_ahead;
  replaced += o.replaced;
}

void UpstreamPool::SetRecords(const std::vector<UpstreamRecord>& records,
                              ProxyContext* context) {
  std::set<UpstreamId> registered;
  for (const UpstreamRecord& record : records) {
    registered.insert(record.id);
    forgotten_addresses_.erase(record.address);
    PooledUpstream& upstream = upstreams_[record.id];
    bool is_new = upstream.record.id == UpstreamId();
    bool restarted = !is_new && upstream.record.started_ms != record.started_ms;
    if (is_new || restarted) {
      context->Log(LogLevel::kInfo, kPart,
                   is_new ? "upstream_known" : "upstream_restarted",
                   {{"group", group_.value()},
                    {"upstream", record.id.value()},
                    {"address", record.address}});
    }
    if (restarted) {
      if (upstream.has_status) {
        upstream.received_before_restart = upstream.status.received;
      }
      upstream.has_status = false;
    }
    bool moved = !is_new && upstream.record.address != record.address;
    if (moved) upstream.failed_opens = 0;
    if (!upstream.is_registered) upstream.registered_since = context->now();
    if (record.leaving && !upstream.record.leaving) {
      upstream.leaving_noticed_at = context->now();
    }
    upstream.record = record;
    upstream.is_registered = true;
  }
  for (auto& item : upstreams_) {
    PooledUpstream& upstream = item.second;
    if (registered.count(item.first) != 0 || !upstream.is_registered) continue;
    upstream.is_registered = false;
    upstream.unregistered_at = context->now();
    context->Log(LogLevel::kInfo, kPart, "upstream_unregistered",
                 {{"group", group_.value()}, {"upstream", item.first.value()}});
  }
}

bool UpstreamPool::IsEstablished(const PooledUpstream& upstream,
                                 TimePoint now) const {
  TimePoint known_since = upstream.record.known_since;
  bool is_young =
      known_since != TimePoint() && now - known_since < kEstablishedAge;
  if (is_young) return false;
  TimePoint lost_at = upstream.control_lost_at;
  bool may_have_restarted = lost_at != TimePoint() &&
                            now - lost_at < kEstablishedAge &&
                            list_time_ - lost_at < kRestartNoticeTime;
  return !may_have_restarted;
}

bool UpstreamPool::HasEnded(const PooledUpstream& upstream,
                            TimePoint now) const {
  return upstream.is_down && !upstream.is_registered &&
         now - upstream.unregistered_at >= kEndedTime;
}

void UpstreamPool::Forget(const UpstreamId& id) {
  auto found = upstreams_.find(id);
  if (found == upstreams_.end()) return;
  if (!found->second.record.leaving) {
    forgotten_addresses_.insert(found->second.record.address);
  }
  upstreams_.erase(found);
}

int UpstreamPool::MaxDataConnections(const UpstreamId& id) const {
  const PooledUpstream* upstream = FindUpstream(id);
  int share = upstream == nullptr ? 100 : upstream->connection_share;
  int max_connections = max_connections_ * share / 100;
  int shared_limit = (max_connections - 1) / 2;
  int sole_owner_limit =
      max_connections * kSoleOwnerShareNumerator / kSoleOwnerShareDenominator;
  // One of them is the control connection.
  return std::max((is_sole_owner_ ? sole_owner_limit : shared_limit) - 1, 1);
}

bool UpstreamPool::HasSlot(const PooledUpstream& upstream) const {
  int in_flight = upstream.running + (carries_tenants_ ? upstream.opening : 0);
  int ahead = std::min(upstream.setting_up, kExtraSettingUp);
  return in_flight < upstream.record.slots + kExtraInFlight + ahead;
}

void UpstreamPool::Open(PooledUpstream* upstream, const TenantId& tenant,
                        bool is_control, ProxyContext* context) {
  PooledConnection connection;
  connection.id = context->NextConnection();
  connection.upstream = upstream->record.id;
  connection.tenant = tenant;
  connection.is_control = is_control;
  if (is_control) {
    upstream->control = connection.id;
  } else {
    upstream->connections++;
    upstream->opening++;
    done_.openings++;
  }
  context->Emit(OpenUpstream{connection.id, upstream->record.address, group_,
                             tenant, upstream->record.id, kOpenTimeout});
  connections_[connection.id] = std::move(connection);
}

void UpstreamPool::OpenControls(ProxyContext* context) {
  for (auto& item : upstreams_) {
    PooledUpstream& upstream = item.second;
    if (upstream.control != ConnectionId()) continue;
    if (context->now() < upstream.next_open) {
      context->WakeAt(upstream.next_open);
      continue;
    }
    Open(&upstream, TenantId(), true, context);
  }
}

PooledConnection* UpstreamPool::Take(
    const UpstreamId& id, const TenantId& tenant,
    const std::map<std::string, std::string>& values, ProxyContext* context) {
  PooledConnection* best = nullptr;
  for (auto& item : connections_) {
    PooledConnection& connection = item.second;
    bool is_usable = connection.upstream == id && connection.is_idle() &&
                     connection.tenant == tenant;
    if (!is_usable) continue;
    if (connection.values == values) return &connection;
    if (best == nullptr || best->values.size() > connection.values.size()) {
      best = &connection;
    }
  }
  if (best != nullptr || carries_tenants_) return best;
  PooledUpstream* upstream = FindUpstream(id);
  bool may_open = upstream != nullptr && upstream->opening == 0 &&
                  !upstream->is_down && context->now() >= upstream->next_open &&
                  upstream->connections < MaxDataConnections(id);
  if (may_open) Open(upstream, tenant, false, context);
  return nullptr;
}

ConnectionSnapshot UpstreamPool::SnapshotOf(const PooledUpstream& upstream,
                                            TimePoint now) const {
  ConnectionSnapshot snapshot;
  snapshot.now = now;
  snapshot.slots = upstream.record.slots;
  snapshot.running = upstream.running;
  snapshot.connections = upstream.connections;
  snapshot.max_connections = MaxDataConnections(upstream.record.id);
  for (const auto& item : connections_) {
    const PooledConnection& connection = item.second;
    bool is_counted =
        connection.upstream == upstream.record.id && !connection.is_control;
    if (!is_counted) continue;
    TenantConnections& own = snapshot.tenants[connection.tenant];
    if (!connection.is_open) {
      own.opening++;
    } else if (connection.is_pinned || connection.is_rolling_back) {
      own.pinned++;
    } else {
      (connection.is_idle() ? own.idle : own.busy)++;
    }
    own.last_used = std::max(own.last_used, connection.last_used);
  }
  return snapshot;
}

void UpstreamPool::Perform(const UpstreamId& id, const ConnectionStep& step,
                           ProxyContext* context) {
  PooledUpstream* upstream = FindUpstream(id);
  bool may_open = upstream != nullptr && !upstream->is_down &&
                  context->now() >= upstream->next_open;
  if (!may_open) return;
  PooledConnection* closed =
      step.closes ? OldestIdleOf(id, step.close) : nullptr;
  if (closed != nullptr) {
    done_.replaced++;
    Close(closed->id, context);
  }
  if (upstream->connections >= MaxDataConnections(id)) return;
  if (step.is_ahead) done_.openings_ahead++;
  Open(upstream, step.open, false, context);
}

PooledConnection* UpstreamPool::OldestIdleOf(const UpstreamId& upstream,
                                             const TenantId& tenant) {
  PooledConnection* oldest = nullptr;
  for (auto& item : connections_) {
    PooledConnection& connection = item.second;
    bool is_usable = connection.upstream == upstream && connection.is_idle() &&
                     connection.tenant == tenant;
    if (!is_usable) continue;
    bool is_older =
        oldest == nullptr || connection.last_used < oldest->last_used;
    if (is_older) oldest = &connection;
  }
  return oldest;
}

bool UpstreamPool::HasIdle(const UpstreamId& upstream,
                           const TenantId& tenant) const {
  return std::any_of(
      connections_.begin(), connections_.end(), [&](const auto& item) {
        const PooledConnection& connection = item.second;
        return connection.upstream == upstream && connection.is_idle() &&
               connection.tenant == tenant;
      });
}

ConnectionCounts UpstreamPool::counts() const {
  ConnectionCounts counts = done_;
  for (const auto& item : connections_) {
    const PooledConnection& connection = item.second;
    if (connection.is_control) continue;
    if (!connection.is_open) {
      counts.opening++;
    } else if (connection.is_pinned || connection.is_rolling_back) {
      counts.pinned++;
    } else {
      (connection.is_idle() ? counts.idle : counts.busy)++;
    }
  }
  return counts;
}

std::set<std::pair<UpstreamId, TenantId>> UpstreamPool::IdleTenants() const {
  std::set<std::pair<UpstreamId, TenantId>> tenants;
  for (const auto& item : connections_) {
    const PooledConnection& connection = item.second;
    if (connection.is_idle()) {
      tenants.emplace(connection.upstream, connection.tenant);
    }
  }
  return tenants;
}

std::set<std::pair<UpstreamId, TenantId>> UpstreamPool::ConnectedTenants()
    const {
  std::set<std::pair<UpstreamId, TenantId>> tenants;
  for (const auto& item : connections_) {
    const PooledConnection& connection = item.second;
    if (!connection.is_control) {
      tenants.emplace(connection.upstream, connection.tenant);
    }
  }
  return tenants;
}

// The bound for one tenant is that of dynamic thresholds (Choudhury, Hahne:
// Dynamic queue length thresholds for shared-memory packet switches, 1998): it
// falls as others pin, and some room is always left.
bool UpstreamPool::MayPin(const UpstreamId& id, const TenantId& tenant) const {
  int pinned = 0;
  int own = 0;
  for (const auto& item : connections_) {
    const PooledConnection& c = item.second;
    bool is_pinned = c.upstream == id && (c.is_pinned || c.is_rolling_back);
    if (!is_pinned) continue;
    pinned++;
    if (c.tenant == tenant) own++;
  }
  int limit = std::max(MaxDataConnections(id) - kUnpinnedReserve, 1);
  if (!carries_tenants_) return pinned < limit;
  return pinned < limit && own < std::max(limit - pinned, 1);
}

std::vector<UpstreamCommand> UpstreamPool::SetUpCommands(
    PooledConnection* connection, const StatementCall& call) {
  std::vector<UpstreamCommand> commands;
  // Nothing is reset within a transaction.
  bool prepares =
      call.is_prepared && connection->prepared.count(call.prepared) == 0;
  bool has_surplus = prepares && !connection->is_pinned &&
                     connection->prepared_bytes > kMaxPreparedBytes;
  // A commit runs with the values that its transaction ran with.
  bool keeps_values = connection->is_pinned && call.access == Access::kCommit;
  for (const auto& value : connection->values) {
    bool is_surplus = !keeps_values && call.values.count(value.first) == 0;
    has_surplus = has_surplus || is_surplus;
  }
  if (has_surplus) {
    UpstreamCommand reset;
    reset.kind = CommandKind::kReset;
    commands.push_back(reset);
    connection->values.clear();
    connection->prepared.clear();
    connection->prepared_bytes = 0;
  }
  for (const auto& value : call.values) {
    auto found = connection->values.find(value.first);
    bool holds =
        found != connection->values.end() && found->second == value.second;
    if (holds) continue;
    UpstreamCommand set;
    set.kind = CommandKind::kSetValue;
    set.name = value.first;
    set.arguments = value.second;
    commands.push_back(set);
    connection->values[value.first] = value.second;
  }
  if (!call.is_prepared) return commands;
  std::string& name = connection->prepared[call.prepared];
  if (name.empty()) {
    // Used once, so that no other shape is left under it by a reset that the
    // upstream did not perform.
    name = "s" + std::to_string(++connection->last_prepared);
    UpstreamCommand prepare;
    prepare.kind = CommandKind::kPrepare;
    prepare.name = name;
    prepare.prepared = call.prepared;
    commands.push_back(prepare);
    connection->prepared_bytes += call.prepared.shape.size();
  }
  return commands;
}

void UpstreamPool::Send(PooledConnection* connection,
                        std::vector<UpstreamCommand> commands,
                        StatementNumber work, ProxyContext* context) {
  for (UpstreamCommand& command : commands) {
    if (command.kind == CommandKind::kExecute) {
      command.name = connection->prepared.at(command.prepared);
    }
    SentCommand sent;
    sent.kind = command.kind;
    sent.work = work;
    sent.at = context->instant();
    sent.state_before = connection->state;
    sent.state_after = StateAfter(command, connection->state);
    connection->state = sent.state_after;
    CountSent(sent, &upstreams_[connection->upstream]);
    connection->sent.push_back(sent);
  }
  connection->last_used = context->now();
  context->Emit(SendUpstream{connection->id, std::move(commands)});
}

void UpstreamPool::SendSetUp(PooledConnection* connection,
                             std::vector<UpstreamCommand> commands,
                             StatementNumber work, ProxyContext* context) {
  Send(connection, std::move(commands), work, context);
  connection->sent.back().ends_set_up = true;
  CountSent(connection->sent.back(), &upstreams_[connection->upstream]);
}

void UpstreamPool::CountSent(const SentCommand& command,
                             PooledUpstream* upstream) {
  if (command.is_statement() || command.ends_set_up) upstream->running++;
  if (command.ends_set_up) upstream->setting_up++;
}

void UpstreamPool::CountAnswered(const SentCommand& command,
                                 PooledUpstream* upstream) {
  if (command.is_statement() || command.ends_set_up) upstream->running--;
  if (command.ends_set_up) upstream->setting_up--;
}

bool UpstreamPool::IsControlBusy(const UpstreamId& id) {
  PooledUpstream* upstream = FindUpstream(id);
  if (upstream == nullptr) return false;
  PooledConnection* control = Find(upstream->control);
  return control != nullptr && !control->sent.empty();
}

bool UpstreamPool::SendControl(const UpstreamId& id,
                               const UpstreamCommand& command,
                               ProxyContext* context) {
  PooledUpstream* upstream = FindUpstream(id);
  if (upstream == nullptr) return false;
  PooledConnection* control = Find(upstream->control);
  if (control == nullptr || !control->is_open) return false;
  UpstreamCommand sent = command;
  if (command.kind == CommandKind::kResume) {
    sent.expires = context->now() + kResumeExpiry;
    upstream->resume_may_arrive_until = context->now() + kResumeMaxTransit;
  }
  Send(control, {sent}, StatementNumber(), context);
  return true;
}

bool UpstreamPool::MayResumeArrive(TimePoint now, TimePoint* until) const {
  *until = now;
  for (const auto& item : upstreams_) {
    *until = std::max(*until, item.second.resume_may_arrive_until);
  }
  return now < *until;
}

void UpstreamPool::OnOpened(ConnectionId id, LogPosition position,
                            ProxyContext* context) {
  PooledConnection* connection = Find(id);
  if (connection == nullptr) return;
  PooledUpstream& upstream = upstreams_[connection->upstream];
  if (!connection->is_control && !connection->is_open) upstream.opening--;
  connection->is_open = true;
  connection->last_used = context->now();
  if (connection->is_control) upstream.control_opened = context->instant();
  upstream.failed_opens = 0;
  upstream.last_answer = context->now();
  upstream.applied = position;
  upstream.applied_at = context->now();
  if (!upstream.is_down) return;
  upstream.is_down = false;
  context->Log(
      LogLevel::kInfo, kPart, "upstream_regained",
      {{"group", group_.value()}, {"upstream", connection->upstream.value()}});
}

SentCommand UpstreamPool::OnAnswered(ConnectionId id,
                                     const UpstreamAnswer& answer,
                                     ProxyContext* context) {
  PooledConnection* connection = Find(id);
  if (connection == nullptr || connection->sent.empty()) return SentCommand();
  SentCommand command = connection->sent.front();
  connection->sent.pop_front();
  PooledUpstream& upstream = upstreams_[connection->upstream];
  CountAnswered(command, &upstream);
  if (connection->sent.empty()) connection->state = answer.state;
  upstream.last_answer = context->now();
  bool resumes = command.kind == CommandKind::kResume;
  // Only the last order counts: those before it were answered before it.
  if (resumes && !HasUnansweredResume(*connection)) {
    upstream.resume_may_arrive_until = TimePoint();
  }
  if (answer.position.known()) {
    upstream.applied = answer.position;
    upstream.applied_at = context->now();
  }
  if (answer.has_status) {
    bool began_to_hold =
        answer.status.held_term != 0 &&
        (!upstream.has_status || upstream.status.held_term == 0);
    if (began_to_hold) upstream.held_since = context->now();
    upstream.status = answer.status;
    upstream.has_status = true;
    upstream.status_sent = command.at;
  }
  return command;
}

PooledConnection UpstreamPool::Remove(ConnectionId id) {
  auto found = connections_.find(id);
  if (found == connections_.end()) return PooledConnection();
  PooledConnection removed = std::move(found->second);
  connections_.erase(found);
  PooledUpstream& upstream = upstreams_[removed.upstream];
  if (removed.is_control) {
    if (upstream.control == id) {
      upstream.control = ConnectionId();
      upstream.control_opened = Instant();
    }
  } else {
    upstream.connections--;
    if (!removed.is_open) upstream.opening--;
  }
  for (const SentCommand& command : removed.sent) {
    CountAnswered(command, &upstream);
  }
  return removed;
}

PooledConnection UpstreamPool::OnClosed(const UpstreamClosed& closed,
                                        ProxyContext* context) {
  PooledConnection removed = Remove(closed.connection);
  if (removed.id == ConnectionId()) return removed;
  PooledUpstream& upstream = upstreams_[removed.upstream];
  OnControlLost(removed, context);
  if (!removed.is_open && closed.outcome == Outcome::kTooManyConnections) {
    // The upstream is alive; it still counts connections of an earlier owner.
    upstream.next_open = context->now() + kOpenRetryDelay;
    context->WakeAt(upstream.next_open);
  } else if (!removed.is_open) {
    OnOpenFailed(&upstream, closed.reason, context);
  } else if (removed.is_control) {
    upstream.next_open = context->now();
  }
  return removed;
}

void UpstreamPool::OnOpenFailed(PooledUpstream* upstream,
                                const std::string& reason,
                                ProxyContext* context) {
  upstream->failed_opens++;
  Duration pause =
      kOpenRetryDelay * (int64_t{1} << std::min(upstream->failed_opens, 4));
  pause = std::min(pause, kMaxOpenRetryDelay);
  upstream->next_open = context->now() + pause;
  context->WakeAt(upstream->next_open);
  context->Log(LogLevel::kWarning, kPart, "upstream_open_failed",
               {{"group", group_.value()},
                {"upstream", upstream->record.id.value()},
                {"failures", std::to_string(upstream->failed_opens)},
                {"reason", reason}});
}

PooledConnection UpstreamPool::Close(ConnectionId id, ProxyContext* context) {
  context->Emit(CloseUpstream{id});
  PooledConnection removed = Remove(id);
  OnControlLost(removed, context);
  return removed;
}

void UpstreamPool::OnControlLost(const PooledConnection& lost,
                                 ProxyContext* context) {
  if (!lost.is_control || !lost.is_open) return;
  PooledUpstream& upstream = upstreams_[lost.upstream];
  upstream.control_lost_at = context->now();
  if (!HasUnansweredResume(lost)) return;
  upstream.resume_may_arrive_until = std::min(
      upstream.resume_may_arrive_until, context->now() + kResetMaxTransit);
}

void UpstreamPool::CloseIdle(ProxyContext* context) {
  std::vector<ConnectionId> idle;
  for (const auto& item : connections_) {
    if (item.second.is_idle()) idle.push_back(item.first);
  }
  for (ConnectionId id : idle) Close(id, context);
}

void UpstreamPool::CloseAll(ProxyContext* context) {
  std::vector<ConnectionId> ids;
  for (const auto& item : connections_) ids.push_back(item.first);
  for (ConnectionId id : ids) Close(id, context);
  // These connections did not break.
  for (auto& item : upstreams_) item.second.control_lost_at = TimePoint();
}

std::vector<PooledConnection> UpstreamPool::MarkDown(const UpstreamId& id,
                                                     const char* cause,
                                                     ProxyContext* context) {
  PooledUpstream& upstream = upstreams_[id];
  std::vector<PooledConnection> closed;
  if (!upstream.is_down) {
    context->Log(
        LogLevel::kWarning, kPart, "upstream_lost",
        {{"group", group_.value()},
         {"upstream", id.value()},
         {"cause", cause},
         {"silent_ms",
          std::to_string((context->now() - upstream.last_answer).millis())}});
  }
  upstream.is_down = true;
  for (ConnectionId connection : ConnectionsOf(id)) {
    closed.push_back(Close(connection, context));
  }
  return closed;
}

PooledConnection* UpstreamPool::Find(ConnectionId id) {
  auto found = connections_.find(id);
  return found == connections_.end() ? nullptr : &found->second;
}

PooledUpstream* UpstreamPool::FindUpstream(const UpstreamId& id) {
  auto found = upstreams_.find(id);
  return found == upstreams_.end() ? nullptr : &found->second;
}

const PooledUpstream* UpstreamPool::FindUpstream(const UpstreamId& id) const {
  auto found = upstreams_.find(id);
  return found == upstreams_.end() ? nullptr : &found->second;
}

const PooledUpstream* UpstreamPool::ReplacementOf(
    const PooledUpstream& upstream) const {
  for (const auto& item : upstreams_) {
    const PooledUpstream& other = item.second;
    bool is_replacement = item.first != upstream.record.id &&
                          other.is_registered &&
                          other.record.address == upstream.record.address &&
                          other.record.started_ms > upstream.record.started_ms;
    LogPosition last = upstream.status.received;
    LogPosition now = other.status.received;
    bool has_log = other.has_status && !(now < last);
    if (is_replacement && has_log) return &other;
  }
  return nullptr;
}

const PooledUpstream* UpstreamPool::WithLogOf(const UpstreamId& id,
                                              const CommitSet& set) const {
  const CommitMember& member = set.members.at(id);
  auto found = upstreams_.find(id);
  if (found != upstreams_.end()) {
    const PooledUpstream& upstream = found->second;
    if (set.HasMember(upstream.record)) {
      const PooledUpstream* replacement = ReplacementOf(upstream);
      if (replacement == nullptr) return &upstream;
      return HasLogOf(*replacement, set.position) ? replacement : nullptr;
    }
    bool has_log = HasLogOf(upstream, set.position) &&
                   HasLogOf(upstream, upstream.received_before_restart);
    return has_log ? &upstream : nullptr;
  }
  for (const auto& item : upstreams_) {
    const PooledUpstream& other = item.second;
    bool is_replacement = other.is_registered &&
                          other.record.address == member.address &&
                          other.record.started_ms > member.started_ms;
    if (is_replacement && HasLogOf(other, set.position)) return &other;
  }
  return nullptr;
}

std::vector<ConnectionId> UpstreamPool::ConnectionsOf(
    const UpstreamId& id) const {
  std::vector<ConnectionId> ids;
  for (const auto& item : connections_) {
    if (item.second.upstream == id) ids.push_back(item.first);
  }
  return ids;
}

}  // namespace fireflycart::proxy
