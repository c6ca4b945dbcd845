// Replication copies the log of the highest primary that a replica can reach,
// cutting off what that primary does not have. A commit is answered once some
// replica has it.

#include "fireflycart/standins/database_model.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace fireflycart::standins {
namespace {

using proxy::CommandKind;
using proxy::LogPosition;
using proxy::Outcome;
using proxy::TransactionState;
using proxy::UpstreamAnswer;
using proxy::UpstreamCommand;

bool IsRoleCommand(const UpstreamCommand& command) {
  return command.kind == CommandKind::kHold ||
         command.kind == CommandKind::kResume ||
         command.kind == CommandKind::kDemote;
}

bool IsStatement(const UpstreamCommand& command) {
  return command.kind == CommandKind::kVerbatim ||
         command.kind == CommandKind::kExecute;
}

bool IsSetUp(const UpstreamCommand& command) {
  return command.kind == CommandKind::kReset ||
         command.kind == CommandKind::kSetValue ||
         command.kind == CommandKind::kPrepare;
}

bool IsOneWord(const std::string& name) {
  return !name.empty() && name.find(' ') == std::string::npos;
}

UpstreamAnswer Failed(Outcome outcome, TransactionState state) {
  UpstreamAnswer answer;
  answer.outcome = outcome;
  answer.state = state;
  return answer;
}

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

}  // namespace

DatabaseModel::DatabaseModel(DatabaseOptions options,
                             const std::vector<UpstreamId>& ids,
                             DatabaseObserver* observer)
    : options_(options), observer_(observer) {
  for (const UpstreamId& id : ids) upstreams_[id];
  upstreams_[ids.front()].is_primary = true;
}

bool DatabaseModel::Open(const UpstreamId& upstream, ConnectionId connection) {
  auto found = upstreams_.find(upstream);
  if (found == upstreams_.end() || !found->second.is_running) return false;
  Connection& opened = connections_[connection];
  opened.upstream = upstream;
  opened.is_opening = options_.open_time > Duration();
  if (!opened.is_opening) AnswerOpened(connection, found->second);
  return true;
}

void DatabaseModel::AnswerOpened(ConnectionId id, const Upstream& upstream) {
  DatabaseOutput output;
  output.connection = id;
  output.is_open = true;
  if (!upstream.log.empty()) {
    output.answer.position = upstream.log.back().position;
  }
  opened_.push_back(output);
}

bool DatabaseModel::FinishOpening(ConnectionId id, Connection* connection,
                                  TimePoint now) {
  if (!connection->is_opening) return true;
  Upstream& upstream = upstreams_[connection->upstream];
  if (!connection->has_slot) {
    if (options_.slots > 0 && upstream.running >= options_.slots) return false;
    upstream.running++;
    connection->has_slot = true;
    connection->ready_at = now + options_.open_time;
    slow_openings_++;
  }
  if (now < connection->ready_at) return false;
  upstream.running--;
  connection->has_slot = false;
  connection->is_opening = false;
  AnswerOpened(id, upstream);
  return true;
}

void DatabaseModel::Execute(ConnectionId connection,
                            const UpstreamCommand& command) {
  auto found = connections_.find(connection);
  if (found != connections_.end()) found->second.commands.push_back(command);
}

void DatabaseModel::Close(ConnectionId connection) {
  auto found = connections_.find(connection);
  if (found == connections_.end()) return;
  Connection& closed = found->second;
  // What was sent before the end of the connection is read before it.
  for (const UpstreamCommand& command : closed.commands) {
    if (IsRoleCommand(command)) RunOwn(&closed, command, now_);
  }
  if (closed.has_slot) upstreams_[closed.upstream].running--;
  connections_.erase(found);
}

std::vector<DatabaseOutput> DatabaseModel::Advance(TimePoint now) {
  std::vector<DatabaseOutput> outputs;
  outputs.swap(opened_);
  now_ = now;
  ApplyPromotions(now);
  StepDown(now);
  Replicate(now);
  for (auto& item : connections_) {
    Connection& connection = item.second;
    if (!FinishOpening(item.first, &connection, now)) continue;
    // Short commands of one write run at once; bounded by the queue.
    while (!connection.commands.empty()) {
      size_t before = connection.commands.size();
      RunFirst(item.first, &connection, now, &outputs);
      if (connection.commands.size() == before) break;
    }
  }
  return outputs;
}

void DatabaseModel::RunFirst(ConnectionId id, Connection* connection,
                             TimePoint now,
                             std::vector<DatabaseOutput>* outputs) {
  const UpstreamCommand command = connection->commands.front();
  UpstreamAnswer answer;
  if (connection->awaits_replica) {
    Upstream& upstream = upstreams_[connection->upstream];
    bool is_done = upstream.is_primary &&
                   IsReplicated(connection->upstream, connection->awaited);
    if (!is_done) return;
    connection->awaits_replica = false;
    answer.signature = "sig." + command.id.value();
    answer.position = upstream.log.back().position;
  } else {
    if (!connection->is_started) {
      Upstream& upstream = upstreams_[connection->upstream];
      bool needs_slot = IsStatement(command) && options_.slots > 0;
      if (needs_slot && upstream.running >= options_.slots) return;
      if (needs_slot) upstream.running++;
      connection->has_slot = needs_slot;
      connection->is_started = true;
      connection->ready_at =
          IsStatement(command) ? now + StatementTimeOf(upstream) : now;
    }
    if (now < connection->ready_at) return;
    if (connection->has_slot) upstreams_[connection->upstream].running--;
    connection->has_slot = false;
    answer = IsStatement(command) ? RunStatement(connection, command, now)
                                  : RunOwn(connection, command, now);
    if (connection->awaits_replica) return;
  }
  connection->is_started = false;
  connection->commands.pop_front();
  if (IsStatement(command) && answers_to_lose_ > 0) {
    answers_to_lose_--;
    return;
  }
  if (IsStatement(command) && answers_to_break_ > 0) {
    answers_to_break_--;
    outputs->push_back(DatabaseOutput{id, false, true, UpstreamAnswer()});
    connection->commands.clear();
    return;
  }
  if (!answer.has_status) answer.state = connection->state;
  bool is_refused = answer.outcome != Outcome::kDone;
  if (reports_failed_states_ && is_refused) {
    answer.state = TransactionState::kFailed;
  }
  outputs->push_back(DatabaseOutput{id, false, false, answer});
}

UpstreamAnswer DatabaseModel::RunStatement(Connection* connection,
                                           const UpstreamCommand& command,
                                           TimePoint now) {
  Upstream& upstream = upstreams_[connection->upstream];
  bool in_transaction = connection->state != TransactionState::kNone;
  if (connection->state == TransactionState::kFailed) {
    return Failed(Outcome::kBadRequest, TransactionState::kFailed);
  }
  auto fail = [&](Outcome outcome) {
    if (in_transaction) connection->state = TransactionState::kFailed;
    return Failed(outcome, connection->state);
  };
  if (command.kind == CommandKind::kExecute && command.after.known()) {
    auto found = connection->prepared.find(command.name);
    bool writes = found != connection->prepared.end() && found->second.writes;
    if (writes) return fail(Outcome::kBadRequest);
  }
  size_t applied = AppliedOf(upstream, now);
  LogPosition position =
      applied == 0 ? LogPosition() : upstream.log[applied - 1].position;
  if (position < command.after) {
    behind_answers_++;
    return fail(Outcome::kBehind);
  }
  if (busy_answers_ > 0 && !in_transaction) {
    busy_answers_--;
    return fail(Outcome::kBusy);
  }
  if (now < upstream.applied_at && !in_transaction) {
    return fail(Outcome::kBusy);
  }
  if (upstream.is_failing && ++upstream.statements % 2 == 0) {
    return fail(Outcome::kFailed);
  }
  if (!MayRun(*connection, command)) return fail(Outcome::kBadRequest);
  std::string text = command.text;
  RanStatement ran;
  ran.text = text;
  if (command.kind == CommandKind::kExecute) {
    auto found = connection->prepared.find(command.name);
    if (found == connection->prepared.end()) {
      return fail(Outcome::kNoStatement);
    }
    ran.is_prepared = true;
    ran.prepared = found->second;
    ran.text = command.arguments;
    text = (found->second.writes ? "WRITE " : "READ ") + command.arguments;
  }
  ran.id = command.id;
  ran.values = connection->values;
  ran.in_transaction = in_transaction;
  ran.has_lost_transaction = connection->has_lost_transaction;
  ran.transaction = connection->transaction;
  bool commits = text == "COMMIT";
  bool writes = StartsWith(text, "WRITE ");
  bool lost_lead =
      in_transaction && !connection->is_read_only && !upstream.is_primary;
  bool commits_nothing = commits && connection->writes.empty();
  ran.is_refused =
      (lost_lead && !commits_nothing) || (writes && !upstream.is_primary);
  observer_->OnRun(ran);
  if (connection->has_lost_transaction || commits) connection->transaction = 0;
  connection->has_lost_transaction = false;
  if (ran.is_refused) {
    if (commits) connection->writes.clear();
    return fail(Outcome::kReadOnly);
  }
  UpstreamAnswer answer;
  if (commits) {
    std::vector<std::string> committed = std::move(connection->writes);
    connection->writes.clear();
    connection->state = TransactionState::kNone;
    return Commit(connection, command, std::move(committed), now);
  }
  if (writes) {
    if (!in_transaction) return Commit(connection, command, {text}, now);
    connection->writes.push_back(text);
  } else {
    observer_->OnRead(command.id, connection->upstream, upstream.log, applied);
    answer.rows = {ValueOf(*connection, upstream.log, applied, text)};
  }
  answer.signature = "sig." + command.id.value();
  answer.position = position;
  return answer;
}

// READ ITEM gives the data that was written last, READ @NAME the session value;
// "-" if there is none.
std::string DatabaseModel::ValueOf(const Connection& connection,
                                   const std::vector<LogEntry>& log,
                                   size_t applied, const std::string& text) {
  const std::string item = text.substr(text.find(' ') + 1);
  if (StartsWith(item, "@")) {
    auto found = connection.values.find(item.substr(1));
    return found == connection.values.end() ? "-" : found->second;
  }
  const std::string prefix = "WRITE " + item + " ";
  for (auto write = connection.writes.rbegin();
       write != connection.writes.rend(); ++write) {
    if (StartsWith(*write, prefix)) return write->substr(prefix.size());
  }
  for (size_t i = applied; i > 0; i--) {
    for (const std::string& write : log[i - 1].writes) {
      if (StartsWith(write, prefix)) return write.substr(prefix.size());
    }
  }
  return "-";
}

UpstreamAnswer DatabaseModel::Commit(Connection* connection,
                                     const UpstreamCommand& command,
                                     std::vector<std::string> writes,
                                     TimePoint now) {
  Upstream& upstream = upstreams_[connection->upstream];
  UpstreamAnswer answer;
  answer.signature = "sig." + command.id.value();
  if (writes.empty()) return answer;
  LogEntry entry;
  entry.position = LogPosition{upstream.term, upstream.log.size() + 1};
  entry.writes = std::move(writes);
  entry.at = now;
  upstream.log.push_back(entry);
  observer_->OnCommitted(entry.writes, upstream.term < NewestTerm());
  connection->awaits_replica = options_.sync_replicas > 0;
  connection->awaited = entry.position;
  answer.position = entry.position;
  return answer;
}

bool DatabaseModel::MayRun(const Connection& connection,
                           const UpstreamCommand& command) const {
  bool in_transaction = connection.state != TransactionState::kNone;
  switch (command.kind) {
    case CommandKind::kVerbatim: {
      if (command.text == "COMMIT") return in_transaction;
      bool reads = StartsWith(command.text, "READ ");
      bool has_position = command.after.known();
      return reads || (StartsWith(command.text, "WRITE ") && !has_position);
    }
    case CommandKind::kBegin:
    case CommandKind::kBeginReadOnly:
      return !in_transaction;
    case CommandKind::kRollback:
      return in_transaction;
    case CommandKind::kPrepare:
      return IsOneWord(command.name) && !command.prepared.shape.empty() &&
             connection.state != TransactionState::kFailed;
    case CommandKind::kSetValue:
      return IsOneWord(command.name) &&
             connection.state != TransactionState::kFailed;
    case CommandKind::kReset:
      return !in_transaction;
    default:
      return true;
  }
}

void DatabaseModel::EndTransactions() {
  for (auto& item : connections_) {
    Connection& connection = item.second;
    if (connection.state == TransactionState::kNone) continue;
    connection.state = TransactionState::kNone;
    connection.writes.clear();
    connection.has_lost_transaction = true;
  }
}

UpstreamAnswer DatabaseModel::RunOwn(Connection* connection,
                                     const UpstreamCommand& command,
                                     TimePoint now) {
  Upstream& upstream = upstreams_[connection->upstream];
  if (!MayRun(*connection, command)) {
    return Failed(Outcome::kBadRequest, connection->state);
  }
  if (IsSetUp(command) && set_ups_to_refuse_ > 0) {
    set_ups_to_refuse_--;
    if (connection->state == TransactionState::kOpen) {
      connection->state = TransactionState::kFailed;
    }
    return Failed(Outcome::kFailed, connection->state);
  }
  bool is_rollback = command.kind == CommandKind::kRollback;
  if (is_rollback && rollbacks_to_refuse_ > 0) {
    rollbacks_to_refuse_--;
    return Failed(Outcome::kFailed, connection->state);
  }
  UpstreamAnswer answer;
  size_t applied = AppliedOf(upstream, now);
  if (applied > 0) answer.position = upstream.log[applied - 1].position;
  switch (command.kind) {
    case CommandKind::kBegin:
    case CommandKind::kBeginReadOnly: {
      bool reads = command.kind == CommandKind::kBeginReadOnly;
      if (answer.position < command.after) {
        return Failed(Outcome::kBehind, connection->state);
      }
      if (!reads && !upstream.is_primary) {
        return Failed(Outcome::kReadOnly, connection->state);
      }
      if (now < upstream.applied_at) {
        return Failed(Outcome::kBusy, connection->state);
      }
      connection->state = TransactionState::kOpen;
      connection->is_read_only = reads;
      connection->has_lost_transaction = false;
      connection->transaction = ++last_transaction_;
      return answer;
    }
    case CommandKind::kRollback:
      connection->state = TransactionState::kNone;
      connection->transaction = 0;
      connection->writes.clear();
      return answer;
    case CommandKind::kReset:
      connection->values.clear();
      connection->prepared.clear();
      return answer;
    case CommandKind::kSetValue:
      connection->values[command.name] = command.arguments;
      return answer;
    case CommandKind::kPrepare:
      connection->prepared[command.name] = command.prepared;
      return answer;
    case CommandKind::kHold:
      if (!upstream.is_primary && command.term > upstream.term) {
        upstream.held_term = command.term;
      }
      return StatusOf(upstream, now);
    case CommandKind::kResume:
      upstream.held_term = 0;
      return StatusOf(upstream, now);
    case CommandKind::kDemote:
      if (upstream.is_primary && upstream.term < command.term) {
        upstream.is_primary = false;
      }
      return StatusOf(upstream, now);
    default:
      return StatusOf(upstream, now);
  }
}

UpstreamAnswer DatabaseModel::StatusOf(const Upstream& upstream,
                                       TimePoint now) const {
  UpstreamAnswer answer;
  answer.has_status = true;
  answer.status.is_primary = upstream.is_primary;
  answer.status.term = upstream.term;
  answer.status.held_term = upstream.held_term;
  if (!upstream.log.empty()) {
    answer.status.received = upstream.log.back().position;
  }
  size_t applied = AppliedOf(upstream, now);
  if (applied > 0) answer.position = upstream.log[applied - 1].position;
  if (applied < upstream.log.size()) {
    answer.status.lag = upstream.log.back().at + ApplyLagOf(upstream) - now;
  }
  return answer;
}

Duration DatabaseModel::ApplyLagOf(const Upstream& upstream) const {
  bool has_own = upstream.own_apply_lag != Duration();
  Duration lag = has_own ? upstream.own_apply_lag : options_.apply_lag;
  return options_.replication_delay + lag;
}

Duration DatabaseModel::StatementTimeOf(const Upstream& upstream) const {
  bool has_own = upstream.own_statement_time != Duration();
  return has_own ? upstream.own_statement_time : options_.statement_time;
}

size_t DatabaseModel::AppliedOf(const Upstream& upstream, TimePoint now) const {
  size_t applied = upstream.log.size();
  if (upstream.is_primary && now >= upstream.applied_at) return applied;
  Duration lag = ApplyLagOf(upstream);
  size_t least = std::min(upstream.applied, upstream.log.size());
  while (applied > least && now - upstream.log[applied - 1].at < lag) applied--;
  return applied;
}

void DatabaseModel::Replicate(TimePoint now) {
  for (auto& item : upstreams_) {
    Upstream& replica = item.second;
    bool receives =
        replica.is_running && !replica.is_primary && replica.held_term == 0;
    if (receives) Follow(&replica, item.first, now);
    // A longer lag does not undo what was applied.
    replica.applied = std::max(std::min(replica.applied, replica.log.size()),
                               AppliedOf(replica, now));
  }
}

void DatabaseModel::Follow(Upstream* replica, const UpstreamId& id,
                           TimePoint now) {
  const Upstream* leader = nullptr;
  for (const auto& item : upstreams_) {
    const Upstream& candidate = item.second;
    bool leads = candidate.is_running && candidate.is_primary &&
                 !IsCut(id, item.first) && candidate.term >= replica->term;
    if (!leads) continue;
    if (leader == nullptr || candidate.term > leader->term) leader = &candidate;
  }
  if (leader == nullptr) return;
  replica->term = leader->term;
  size_t same = 0;
  while (same < replica->log.size() && same < leader->log.size() &&
         replica->log[same].position == leader->log[same].position) {
    same++;
  }
  replica->log.resize(same);
  for (size_t i = same; i < leader->log.size(); i++) {
    if (now - leader->log[i].at < options_.replication_delay) break;
    replica->log.push_back(leader->log[i]);
  }
}

bool DatabaseModel::IsReplicated(const UpstreamId& primary,
                                 LogPosition position) {
  uint64_t term = upstreams_[primary].term;
  for (const auto& item : upstreams_) {
    const Upstream& replica = item.second;
    bool counts = item.first != primary && replica.is_running &&
                  !replica.is_primary && replica.held_term == 0 &&
                  replica.term == term && !IsCut(item.first, primary);
    if (!counts || replica.log.size() < position.number) continue;
    if (replica.log[position.number - 1].position == position) return true;
  }
  return false;
}

bool DatabaseModel::Promote(const UpstreamId& upstream, TimePoint now) {
  auto found = upstreams_.find(upstream);
  if (found == upstreams_.end() || !found->second.is_running) return false;
  if (found->second.is_primary && found->second.term == NewestTerm()) {
    return true;
  }
  promotions_.push_back(Promotion{upstream, now + options_.promote_time});
  return true;
}

void DatabaseModel::ApplyPromotions(TimePoint now) {
  for (auto it = promotions_.begin(); it != promotions_.end();) {
    if (now < it->at) {
      ++it;
      continue;
    }
    Upstream& upstream = upstreams_[it->upstream];
    if (upstream.is_running) {
      upstream.term = NewestTerm() + 1;
      upstream.is_primary = true;
      upstream.held_term = 0;
      if (options_.applies_before_leading && !upstream.log.empty()) {
        upstream.applied_at = upstream.log.back().at + ApplyLagOf(upstream);
      }
      observer_->OnPromoted(it->upstream, upstream.log);
    }
    it = promotions_.erase(it);
  }
}

void DatabaseModel::StepDown(TimePoint now) {
  for (auto& item : upstreams_) {
    Upstream& old = item.second;
    bool reaches = false;
    for (const auto& other : upstreams_) {
      reaches =
          reaches ||
          (other.second.is_running && other.second.is_primary &&
           other.second.term > old.term && !IsCut(item.first, other.first));
    }
    bool is_old = old.is_running && old.is_primary && reaches;
    if (!is_old) {
      old.reaches_successor = false;
      continue;
    }
    if (!old.reaches_successor) {
      old.reaches_successor = true;
      old.reaches_successor_since = now;
    }
    if (now - old.reaches_successor_since >= options_.step_down) {
      old.is_primary = false;
    }
  }
}

std::vector<DatabaseOutput> DatabaseModel::Crash(const UpstreamId& upstream) {
  std::vector<DatabaseOutput> lost;
  Upstream& crashed = upstreams_[upstream];
  crashed.is_running = false;
  crashed.held_term = 0;
  crashed.running = 0;
  for (auto it = connections_.begin(); it != connections_.end();) {
    if (it->second.upstream != upstream) {
      ++it;
      continue;
    }
    lost.push_back(DatabaseOutput{it->first, false, true, UpstreamAnswer()});
    it = connections_.erase(it);
  }
  return lost;
}

void DatabaseModel::Restart(const UpstreamId& upstream) {
  Upstream& started = upstreams_[upstream];
  started.is_running = true;
  // It stays a primary only if no other upstream was promoted meanwhile.
  if (started.term < NewestTerm()) started.is_primary = false;
}

void DatabaseModel::RestartAs(const UpstreamId& crashed, const UpstreamId& id) {
  Upstream upstream = upstreams_.at(crashed);
  upstreams_.erase(crashed);
  // Promotions name an id, and nothing runs under the earlier one any more.
  for (auto it = promotions_.begin(); it != promotions_.end();) {
    it = it->upstream == crashed ? promotions_.erase(it) : std::next(it);
  }
  upstreams_[id] = std::move(upstream);
  Restart(id);
}

std::vector<DatabaseOutput> DatabaseModel::Rename(const UpstreamId& id,
                                                  const UpstreamId& new_id) {
  bool leads = upstreams_.at(id).is_primary;
  std::vector<DatabaseOutput> lost = Crash(id);
  RestartAs(id, new_id);
  upstreams_[new_id].is_primary = leads;
  return lost;
}

void DatabaseModel::Rebirth(const UpstreamId& upstream) {
  Upstream fresh;
  fresh.term = 0;
  upstreams_[upstream] = fresh;
}

void DatabaseModel::SetCut(const UpstreamId& a, const UpstreamId& b,
                           bool is_cut) {
  auto key = std::minmax(a, b);
  if (is_cut) {
    cuts_.insert({key.first, key.second});
  } else {
    cuts_.erase({key.first, key.second});
  }
}

bool DatabaseModel::IsCut(const UpstreamId& a, const UpstreamId& b) const {
  auto key = std::minmax(a, b);
  return cuts_.count({key.first, key.second}) != 0;
}

uint64_t DatabaseModel::NewestTerm() const {
  uint64_t newest = 0;
  for (const auto& item : upstreams_) {
    newest = std::max(newest, item.second.term);
  }
  return newest;
}

UpstreamId DatabaseModel::primary() const {
  UpstreamId best;
  uint64_t term = 0;
  for (const auto& item : upstreams_) {
    const Upstream& upstream = item.second;
    bool leads = upstream.is_running && upstream.is_primary;
    if (!leads || upstream.term < term) continue;
    best = item.first;
    term = upstream.term;
  }
  return best;
}

const std::vector<LogEntry>& DatabaseModel::LogOf(
    const UpstreamId& upstream) const {
  return upstreams_.at(upstream).log;
}

bool DatabaseModel::IsRunning(const UpstreamId& upstream) const {
  return upstreams_.at(upstream).is_running;
}

bool DatabaseModel::IsPrimary(const UpstreamId& upstream) const {
  return upstreams_.at(upstream).is_primary;
}

std::map<std::string, int> DatabaseModel::Effects(
    const UpstreamId& upstream) const {
  std::map<std::string, int> effects;
  for (const LogEntry& entry : upstreams_.at(upstream).log) {
    for (const std::string& text : entry.writes) effects[text]++;
  }
  return effects;
}

uint64_t DatabaseModel::held_term(const UpstreamId& upstream) const {
  return upstreams_.at(upstream).held_term;
}

size_t DatabaseModel::connection_count(const UpstreamId& upstream) const {
  size_t count = 0;
  for (const auto& item : connections_) {
    if (item.second.upstream == upstream) count++;
  }
  return count;
}

}  // namespace fireflycart::standins
