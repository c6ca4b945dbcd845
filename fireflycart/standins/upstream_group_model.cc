// Connections, slots and calls. Logs and replication are in
// upstream_replication.cc.

#include "fireflycart/standins/upstream_group_model.h"

#include <algorithm>
#include <utility>

#include "fireflycart/standins/statement.h"

namespace fireflycart {
namespace {

constexpr Duration kControlTime = Duration::Millis(0);
constexpr Duration kCommitTime = Duration::Millis(1);

}  // namespace

UpstreamGroupModel::UpstreamGroupModel(const UpstreamModelOptions& options,
                                       uint64_t seed)
    : options_(options), random_(seed) {
  for (const UpstreamId& id : options.members) {
    Upstream& upstream = upstreams_[id];
    upstream.id = id;
    upstream.primary = options.members.front();
  }
  At(options.members.front()).role = UpstreamRole::kPrimary;
}

void UpstreamGroupModel::Open(uint64_t connection, const OpenMessage& open,
                              TimePoint now, OnReply on_reply) {
  now_ = std::max(now_, now);
  auto found = upstreams_.find(open.upstream);
  if (found == upstreams_.end() || found->second.faults.down) {
    if (on_closed_) on_closed_(connection);
    return;
  }
  Upstream& upstream = found->second;
  int open_now = StatusOf(upstream).connections;
  bool stale =
      open.purpose == ConnectionPurpose::kData && open.term < upstream.term;
  bool full = open_now >= options_.connections;
  if (full) limit_refusals_++;
  if (stale || full) {
    UpstreamCode code = stale ? UpstreamCode::kStaleTerm : UpstreamCode::kLimit;
    UpstreamReply refusal = MakeReply(upstream, code);
    Schedule(now_ + options_.connect_time, open.upstream,
             [refusal, on_reply] { on_reply(refusal); });
    return;
  }
  Connection& opened = connections_[connection];
  opened.upstream = open.upstream;
  opened.purpose = open.purpose;
  opened.term = open.term;
  opened.holder = open.holder;
  opened.heard_at = now_;
  most_connections_ = std::max(most_connections_, open_now + 1);
  Schedule(now_ + options_.connect_time, open.upstream,
           [this, connection, on_reply] {
             auto it = connections_.find(connection);
             if (it == connections_.end() || it->second.silent) return;
             on_reply(MakeReply(At(it->second.upstream), UpstreamCode::kOk));
           });
}

void UpstreamGroupModel::Call(uint64_t connection, const UpstreamCallBody& body,
                              TimePoint now, OnReply on_reply) {
  now_ = std::max(now_, now);
  auto found = connections_.find(connection);
  if (found == connections_.end() || found->second.silent) return;
  found->second.heard_at = now_;
  UpstreamId id = found->second.upstream;
  if (const auto* status = std::get_if<StatusCall>(&body)) {
    StartAwait(connection, *status, now_, std::move(on_reply));
    return;
  }
  if (const auto* execute = std::get_if<ExecuteCall>(&body)) {
    StartExecute(connection, *execute, now_, std::move(on_reply));
    return;
  }
  Schedule(now_ + kControlTime, id, [this, connection, body, on_reply] {
    if (connections_.count(connection) == 0) return;
    UpstreamReply reply;
    if (const auto* fence = std::get_if<FenceCall>(&body)) {
      reply = Serve(connection, *fence);
    } else if (const auto* promote = std::get_if<PromoteCall>(&body)) {
      reply = Serve(connection, *promote);
    } else if (const auto* follow = std::get_if<FollowCall>(&body)) {
      reply = Serve(connection, *follow);
    } else if (const auto* resolve = std::get_if<ResolveCall>(&body)) {
      reply = Serve(connection, *resolve);
    }
    Reply(connection, reply, now_, on_reply);
  });
}

void UpstreamGroupModel::Close(uint64_t connection, TimePoint now) {
  now_ = std::max(now_, now);
  connections_.erase(connection);
  // A job without a connection still runs to its end, as a statement does whose
  // client went away.
}

void UpstreamGroupModel::Advance(TimePoint now) {
  now_ = std::max(now_, now);
  EndSilentConnections();
  for (auto& item : upstreams_) Replicate(&item.second);
  CheckAwaits();
  std::vector<std::pair<int64_t, Due>> held_back;
  while (!due_.empty() && due_.begin()->first <= now_.millis()) {
    Due next = std::move(due_.begin()->second);
    int64_t when = due_.begin()->first;
    due_.erase(due_.begin());
    const UpstreamFaults& faults = At(next.upstream).faults;
    if (faults.down) continue;
    if (faults.frozen) {
      held_back.emplace_back(when, std::move(next));
      continue;
    }
    next.run();
  }
  for (auto& item : held_back) due_.emplace(item.first, std::move(item.second));
  for (auto& item : upstreams_) Replicate(&item.second);
  CheckAwaits();
}

void UpstreamGroupModel::SetFaults(const UpstreamId& upstream,
                                   const UpstreamFaults& faults) {
  Upstream& target = At(upstream);
  bool goes_down = faults.down && !target.faults.down;
  target.faults = faults;
  if (!goes_down) return;
  target.busy_slots = 0;
  target.waiting.clear();
  target.running.clear();
  std::vector<uint64_t> open;
  for (const auto& item : connections_) {
    if (item.second.upstream == upstream) open.push_back(item.first);
  }
  for (uint64_t connection : open) CloseFrom(connection);
}

const UpstreamFaults& UpstreamGroupModel::faults(
    const UpstreamId& upstream) const {
  return upstreams_.at(upstream).faults;
}

void UpstreamGroupModel::SilenceConnections(const UpstreamId& upstream) {
  for (auto& item : connections_) {
    if (item.second.upstream != upstream || item.second.silent) continue;
    item.second.silent = true;
    item.second.silent_since = now_;
  }
}

void UpstreamGroupModel::SilenceConnection(uint64_t connection) {
  auto found = connections_.find(connection);
  if (found == connections_.end() || found->second.silent) return;
  found->second.silent = true;
  found->second.silent_since = now_;
}

void UpstreamGroupModel::Rebuild(const UpstreamId& upstream, Position position,
                                 Duration length) {
  Upstream& target = At(upstream);
  if (target.role == UpstreamRole::kPrimary) return;
  uint64_t applied = std::min(target.applied, position.value());
  target.applied = 0;
  target.values.clear();
  ApplyUpTo(&target, applied);
  target.rebuilt_at = now_ + length;
}

UpstreamId UpstreamGroupModel::Primary() const {
  UpstreamId primary;
  Term highest;
  for (const auto& item : upstreams_) {
    bool leads = item.second.role == UpstreamRole::kPrimary &&
                 item.second.term >= highest;
    if (!leads) continue;
    primary = item.first;
    highest = item.second.term;
  }
  return primary;
}

std::string UpstreamGroupModel::Value(const UpstreamId& upstream,
                                      const std::string& key) const {
  const auto& values = upstreams_.at(upstream).values;
  auto found = values.find(key);
  return found == values.end() ? "" : found->second;
}

void UpstreamGroupModel::Schedule(TimePoint when, const UpstreamId& upstream,
                                  std::function<void()> run) {
  due_.emplace(when.millis(), Due{std::move(run), upstream});
}

void UpstreamGroupModel::Reply(uint64_t connection, const UpstreamReply& reply,
                               TimePoint when, OnReply on_reply) {
  auto found = connections_.find(connection);
  if (found == connections_.end() || found->second.silent) return;
  Schedule(when, found->second.upstream, [this, connection, reply, on_reply] {
    auto it = connections_.find(connection);
    if (it == connections_.end() || it->second.silent) return;
    on_reply(reply);
  });
}

UpstreamReply UpstreamGroupModel::MakeReply(const Upstream& upstream,
                                            UpstreamCode code) const {
  UpstreamReply reply;
  reply.code = code;
  reply.status = StatusOf(upstream);
  return reply;
}

UpstreamStatus UpstreamGroupModel::StatusOf(const Upstream& upstream) const {
  UpstreamStatus status;
  status.term = upstream.term;
  if (!upstream.log.empty()) status.entry_term = upstream.log.back().term;
  status.held = Position(upstream.log.size());
  status.applied = Position(upstream.applied);
  status.role = upstream.role;
  status.primary = upstream.primary;
  status.holder = upstream.holder;
  for (const auto& item : connections_) {
    const Connection& connection = item.second;
    if (connection.upstream != upstream.id) continue;
    status.connections++;
    bool active = connection.holder == upstream.holder &&
                  now_ - connection.heard_at <= kHolderActivityTimeout;
    if (active) status.holder_active = true;
  }
  return status;
}

UpstreamReply UpstreamGroupModel::Serve(uint64_t connection,
                                        const FenceCall& call) {
  Upstream& upstream = At(connections_.at(connection).upstream);
  if (call.term <= upstream.term) {
    return MakeReply(upstream, UpstreamCode::kStaleTerm);
  }
  RaiseTerm(&upstream, call.term, call.holder);
  return MakeReply(upstream, UpstreamCode::kOk);
}

UpstreamReply UpstreamGroupModel::Serve(uint64_t connection,
                                        const PromoteCall& call) {
  Upstream& upstream = At(connections_.at(connection).upstream);
  if (call.term != upstream.term) {
    return MakeReply(upstream, UpstreamCode::kStaleTerm);
  }
  bool already = upstream.role == UpstreamRole::kPrimary;
  if (!already) {
    upstream.role = UpstreamRole::kPrimary;
    upstream.primary = upstream.id;
    Entry first;
    first.term = call.term;
    Append(&upstream, std::move(first));
  }
  UpstreamReply reply = MakeReply(upstream, UpstreamCode::kOk);
  for (uint64_t i = upstream.log.size(); i > 0; i--) {
    if (upstream.log[i - 1].term != call.term) break;
    reply.written = Position(i);
  }
  return reply;
}

UpstreamReply UpstreamGroupModel::Serve(uint64_t connection,
                                        const FollowCall& call) {
  Upstream& upstream = At(connections_.at(connection).upstream);
  if (call.term < upstream.term) {
    return MakeReply(upstream, UpstreamCode::kStaleTerm);
  }
  if (call.term > upstream.term) {
    RaiseTerm(&upstream, call.term, call.holder);
  }
  if (upstream.role == UpstreamRole::kPrimary) {
    return MakeReply(upstream, UpstreamCode::kNotPrimary);
  }
  upstream.primary = call.primary;
  Replicate(&upstream);
  return MakeReply(upstream, UpstreamCode::kOk);
}

UpstreamReply UpstreamGroupModel::Serve(uint64_t connection,
                                        const ResolveCall& call) {
  Upstream& upstream = At(connections_.at(connection).upstream);
  if (call.term != upstream.term) {
    return MakeReply(upstream, UpstreamCode::kStaleTerm);
  }
  if (upstream.role != UpstreamRole::kPrimary) {
    return MakeReply(upstream, UpstreamCode::kNotPrimary);
  }
  auto stored = upstream.keys.find(call.key);
  if (stored != upstream.keys.end()) {
    UpstreamReply reply = MakeReply(upstream, UpstreamCode::kOk);
    reply.written = Position(stored->second);
    reply.result = upstream.log[stored->second - 1].result;
    reply.replayed = true;
    return reply;
  }
  if (upstream.running.count(call.key) != 0) {
    return MakeReply(upstream, UpstreamCode::kBusyKey);
  }
  upstream.cancelled[call.key] = {call.term, call.attempt};
  return MakeReply(upstream, UpstreamCode::kCancelled);
}

void UpstreamGroupModel::StartAwait(uint64_t connection, const StatusCall& call,
                                    TimePoint now, OnReply on_reply) {
  UpstreamId id = connections_.at(connection).upstream;
  const Upstream& upstream = At(id);
  bool holds = upstream.log.size() >= call.await_position.value();
  if (call.await_position == Position() || holds) {
    Schedule(now + kControlTime, id, [this, connection, id, on_reply] {
      Reply(connection, MakeReply(At(id), UpstreamCode::kOk), now_, on_reply);
    });
    return;
  }
  awaits_.push_back(Await{connection, id, call.await_position,
                          now + call.await_for, std::move(on_reply)});
}

void UpstreamGroupModel::StartExecute(uint64_t connection,
                                      const ExecuteCall& call, TimePoint now,
                                      OnReply on_reply) {
  UpstreamId id = connections_.at(connection).upstream;
  uint64_t job = ++last_job_;
  jobs_[job] = Job{connection, call, std::move(on_reply), false};
  // The call waits in the upstream's own queue until a slot is free.
  Schedule(now, id, [this, job, id] {
    At(id).waiting.push_back(job);
    StartWaiting(id);
  });
}

void UpstreamGroupModel::StartWaiting(const UpstreamId& id) {
  Upstream& upstream = At(id);
  while (upstream.busy_slots < options_.slots && !upstream.waiting.empty()) {
    uint64_t job = upstream.waiting.front();
    upstream.waiting.pop_front();
    upstream.busy_slots++;
    Job& started = jobs_.at(job);
    started.started = true;
    const ExecuteCall& call = started.call;
    if (call.key != RequestKey()) upstream.running.insert(call.key);
    ParsedStatement parsed = ParseStatement(call.statement);
    bool is_step = call.step == TransactionStep::kBegin ||
                   call.step == TransactionStep::kCommit ||
                   call.step == TransactionStep::kRollback;
    Duration cost = parsed.has_cost ? parsed.cost : options_.service_time;
    if (is_step) cost = kCommitTime;
    cost = cost + upstream.faults.extra_service;
    Schedule(now_ + cost, id, [this, job, id] { FinishJob(job, id); });
  }
}

void UpstreamGroupModel::FinishJob(uint64_t job, const UpstreamId& id) {
  auto found = jobs_.find(job);
  if (found == jobs_.end()) return;
  Job finished = std::move(found->second);
  jobs_.erase(found);
  Upstream& upstream = At(id);
  upstream.busy_slots = std::max(0, upstream.busy_slots - 1);
  upstream.running.erase(finished.call.key);
  auto connection = connections_.find(finished.connection);
  Connection gone;
  bool open = connection != connections_.end();
  // Without its connection a single statement still commits; a transaction was
  // rolled back when the connection ended.
  bool runs = open || finished.call.step == TransactionStep::kNone;
  if (runs) {
    UpstreamReply reply =
        Execute(&upstream, open ? &connection->second : &gone, finished.call);
    if (open) Reply(finished.connection, reply, now_, finished.on_reply);
  }
  StartWaiting(id);
}

UpstreamReply UpstreamGroupModel::Execute(Upstream* upstream,
                                          Connection* connection,
                                          const ExecuteCall& call) {
  if (call.term != upstream->term) {
    return MakeReply(*upstream, UpstreamCode::kStaleTerm);
  }
  bool is_primary = upstream->role == UpstreamRole::kPrimary;
  bool in_transaction = call.step != TransactionStep::kNone;
  bool is_write = call.access == Access::kWrite;
  if ((is_write || in_transaction) && !is_primary) {
    return MakeReply(*upstream, UpstreamCode::kNotPrimary);
  }
  const UpstreamFaults& faults = upstream->faults;
  if (connection->in_transaction && !in_transaction) mixed_statements_++;
  switch (call.step) {
    case TransactionStep::kBegin:
      if (connection->in_transaction) mixed_statements_++;
      connection->in_transaction = true;
      connection->transaction_term = call.term;
      connection->operations.clear();
      return MakeReply(*upstream, faults.refuses_begin ? UpstreamCode::kFailed
                                                       : UpstreamCode::kOk);
    case TransactionStep::kRollback:
      if (faults.refuses_rollback) {
        return MakeReply(*upstream, UpstreamCode::kFailed);
      }
      connection->in_transaction = false;
      connection->operations.clear();
      return MakeReply(*upstream, UpstreamCode::kOk);
    case TransactionStep::kCommit: {
      if (faults.refuses_commit) {
        return MakeReply(*upstream, UpstreamCode::kFailed);
      }
      bool is_repeated = upstream->keys.count(call.key) != 0;
      if (is_repeated && faults.keeps_repeated_open) {
        return ExecuteWrite(upstream, call, {});
      }
      bool valid = connection->in_transaction &&
                   connection->transaction_term == upstream->term;
      std::vector<std::string> operations = std::move(connection->operations);
      connection->in_transaction = false;
      connection->operations.clear();
      if (!valid) return MakeReply(*upstream, UpstreamCode::kFailed);
      if (operations.empty()) return MakeReply(*upstream, UpstreamCode::kOk);
      return ExecuteWrite(upstream, call, std::move(operations));
    }
    case TransactionStep::kContinue:
      if (!connection->in_transaction) {
        return MakeReply(*upstream, UpstreamCode::kFailed);
      }
      break;
    case TransactionStep::kNone:
      break;
  }
  ParsedStatement parsed = ParseStatement(call.statement);
  if (!IsValid(parsed)) {
    UpstreamReply reply = MakeReply(*upstream, UpstreamCode::kFailed);
    reply.result = "statement is not understood";
    return reply;
  }
  if (parsed.verb == "get") {
    UpstreamReply reply = MakeReply(*upstream, UpstreamCode::kOk);
    reply.result = ReadValue(*upstream, *connection, call.statement);
    return reply;
  }
  if (!is_primary) return MakeReply(*upstream, UpstreamCode::kNotPrimary);
  if (in_transaction) {
    connection->operations.push_back(call.statement);
    return MakeReply(*upstream, UpstreamCode::kOk);
  }
  return ExecuteWrite(upstream, call, {call.statement});
}

UpstreamReply UpstreamGroupModel::ExecuteWrite(
    Upstream* upstream, const ExecuteCall& call,
    std::vector<std::string> operations) {
  auto stored = upstream->keys.find(call.key);
  if (call.key != RequestKey() && stored != upstream->keys.end()) {
    UpstreamReply reply = MakeReply(*upstream, UpstreamCode::kOk);
    reply.written = Position(stored->second);
    reply.result = upstream->log[stored->second - 1].result;
    reply.replayed = true;
    return reply;
  }
  auto cancelled = upstream->cancelled.find(call.key);
  bool is_cancelled = cancelled != upstream->cancelled.end() &&
                      cancelled->second.first == call.term &&
                      call.attempt <= cancelled->second.second;
  if (is_cancelled) return MakeReply(*upstream, UpstreamCode::kCancelled);
  Entry entry;
  entry.term = call.term;
  entry.key = call.key;
  entry.operations = std::move(operations);
  entry.result = "ok";
  uint64_t position = Append(upstream, std::move(entry));
  UpstreamReply reply = MakeReply(*upstream, UpstreamCode::kOk);
  reply.result = "ok";
  reply.written = Position(position);
  return reply;
}

std::string UpstreamGroupModel::ReadValue(const Upstream& upstream,
                                          const Connection& connection,
                                          const std::string& statement) const {
  ParsedStatement parsed = ParseStatement(statement);
  std::map<std::string, std::string> seen;
  auto found = upstream.values.find(parsed.key);
  if (found != upstream.values.end()) seen[parsed.key] = found->second;
  for (const std::string& operation : connection.operations) {
    ApplyOperation(operation, &seen);
  }
  return seen[parsed.key];
}

}  // namespace fireflycart
