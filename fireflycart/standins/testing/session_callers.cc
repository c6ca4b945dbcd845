// The simulated callers. They run single statements and transactions. Each
// write has a unique text, so that a log entry identifies the caller that wrote
// it. What a read must contain is recorded when the read is sent and compared
// with the log that the read runs on.

#include <algorithm>
#include <array>

#include "fireflycart/standins/testing/session_world.h"
#include "fireflycart/standins/testing/session_world_parts.h"

namespace fireflycart::standins {
namespace {

using proxy::CallerAnswer;
using proxy::CallerStatement;
using proxy::Outcome;
using proxy::ReadConsistency;
using proxy::SessionNumber;
using proxy::StatementKind;

constexpr Duration kReconnectDelay = Duration::Millis(30);
// A read is checked for the newest acknowledged writes only.
constexpr size_t kMaxCheckedWrites = 100;
// Of prepared statements; the same name stands for any of them.
const std::array<const char*, 4> kShapes = {"q", "q 2c", "q  ", "READ q"};

// All prepared statements write.
bool IsWrite(const CallerStatement& statement) {
  return statement.kind == StatementKind::kWrite ||
         statement.kind == StatementKind::kExecute;
}

// The VMs answer all other kinds.
bool RunsAtUpstream(const CallerStatement& statement) {
  return IsWrite(statement) || statement.kind == StatementKind::kRead ||
         statement.kind == StatementKind::kCommit;
}

std::string NameOf(const RanStatement& ran) {
  return ran.id.value() + " " + ran.text;
}

bool GuaranteesNoEffect(Outcome outcome) {
  switch (outcome) {
    case Outcome::kBusy:
    case Outcome::kAborted:
    case Outcome::kBehind:
    case Outcome::kReadOnly:
    case Outcome::kWrongInstance:
    case Outcome::kTooManyConnections:
      return true;
    default:
      return false;
  }
}

}  // namespace

void SessionWorld::StepCaller(Caller* caller) {
  if (now_ < caller->next_action || caller->is_waiting) return;
  if (caller->vm == nullptr) {
    Connect(caller);
  } else if (caller->is_greeted && caller->pending_statements.empty()) {
    int hot = HotIndexOf(caller->index);
    bool is_paused = callers_paused_ || (hot >= 0 && hot_.count(hot) == 0);
    if (!is_paused) BeginOperation(caller);
  } else if (caller->is_greeted) {
    SendNext(caller);
  }
}

void SessionWorld::Connect(Caller* caller) {
  Vm* vm = vms_[Random(vms_.size())].get();
  caller->next_action = now_ + kReconnectDelay;
  // ignores_readiness_ models a load balancer that uses all VMs because none of
  // them is ready.
  bool is_sent = vm->reducer && vm->is_listening &&
                 (vm->reducer->is_ready() || ignores_readiness_);
  if (!is_sent) return;
  caller->vm = vm;
  caller->incarnation = vm->incarnation;
  caller->session = SessionNumber(++vm->last_session);
  caller->is_greeted = false;
  caller->connected = now_;
  caller->acknowledged_values.clear();
  vm->sessions[caller->session.value()] = caller;
  TenantId tenant = TenantOf(caller->index);
  KeyDigest key;
  if (tenant != TenantId()) key = KeyDigest::Of("key-" + tenant.value());
  if (options_.tenant_rate > 0) key = KeyDigest::Of(kCallersKey);
  SendFromCaller(caller,
                 proxy::SessionStarted{caller->session,
                                       RouteName(caller->consistency), key});
}

void SessionWorld::BeginOperation(Caller* caller) {
  caller->pending_statements.clear();
  caller->texts.clear();
  caller->sent_effect = false;
  caller->in_transaction = false;
  caller->started = now_;
  auto add = [&](StatementKind kind, const std::string& text) {
    CallerStatement statement;
    statement.kind = kind;
    statement.id = proxy::StatementId("s" + std::to_string(++last_number_));
    statement.text = text;
    if (options_.tenants > 0) {
      statement_tenants_[statement.id.value()] = TenantOf(caller->index);
    }
    caller->pending_statements.push_back(statement);
  };
  auto write_text = [&] {
    std::string text = "WRITE c" + std::to_string(caller->index) + "-" +
                       std::to_string(++last_number_);
    caller->texts.push_back(text);
    return text;
  };
  // Texts in logs are those of plain writes.
  auto add_write = [&] {
    std::string text = write_text();
    if (!options_.prepares || Random(2) == 0) {
      add(StatementKind::kWrite, text);
      return;
    }
    add(StatementKind::kPrepare, "");
    CallerStatement& prepare = caller->pending_statements.back();
    prepare.name = "s1";
    prepare.prepared =
        proxy::PreparedShape{true, kShapes[Random(kShapes.size())]};
    add(StatementKind::kExecute, "");
    CallerStatement& execute = caller->pending_statements.back();
    execute.name = "s1";
    execute.arguments = text.substr(std::string("WRITE ").size());
  };
  if (Random(8) == 0) {
    add(StatementKind::kSetValue, "");
    caller->pending_statements.back().name = "v" + std::to_string(Random(2));
    caller->pending_statements.back().arguments = std::to_string(Random(4));
  }
  uint64_t operation = options_.only_writes ? Random(2) : Random(5);
  if (options_.only_reads) operation = Random(10) == 0 ? 0 : 4;
  switch (operation) {
    case 0:
      add_write();
      break;
    case 1: {
      add(StatementKind::kBegin, "");
      add(StatementKind::kRead, "READ x");
      add_write();
      if (Random(2) == 0) add_write();
      add(Random(6) == 0 ? StatementKind::kRollback : StatementKind::kCommit,
          "COMMIT");
      break;
    }
    case 2:
      add(StatementKind::kBeginReadOnly, "");
      add(StatementKind::kRead, "READ x");
      add(StatementKind::kRead, "READ y");
      add(StatementKind::kCommit, "COMMIT");
      break;
    default:
      add(StatementKind::kRead, "READ x");
  }
  SendNext(caller);
}

void SessionWorld::SendNext(Caller* caller) {
  CallerStatement statement = caller->pending_statements.front();
  Expectation expectation;
  expectation.caller = caller->index;
  expectation.consistency = caller->consistency;
  expectation.values = caller->acknowledged_values;
  expectation.sent = statement;
  expectation.prepared = caller->prepared;
  if (statement.kind == StatementKind::kPrepare) {
    caller->prepared = statement.prepared;
  }
  expectation.in_transaction = caller->in_transaction;
  if (caller->in_transaction && RunsAtUpstream(statement)) {
    expectation.transaction = caller->transaction;
    expectation.place = caller->sent_in_transaction++;
  }
  if (statement.kind == StatementKind::kBegin ||
      statement.kind == StatementKind::kBeginReadOnly) {
    caller->in_transaction = true;
    caller->transaction = ++last_transaction_;
    caller->sent_in_transaction = 0;
  }
  TimePoint oldest = caller->consistency == ReadConsistency::kStrong
                         ? caller->started
                         : caller->started - options_.max_age;
  size_t first = acknowledged_.size() > kMaxCheckedWrites
                     ? acknowledged_.size() - kMaxCheckedWrites
                     : 0;
  for (size_t i = first; i < acknowledged_.size(); i++) {
    const Acknowledged& ack = acknowledged_[i];
    // Read-your-writes covers only writes of the same connection.
    bool is_own = caller->consistency == ReadConsistency::kOwnWrites &&
                  ack.caller == caller->index && ack.at >= caller->connected &&
                  ack.at < caller->started;
    if (ack.at < oldest || is_own) expectation.texts.push_back(ack.text);
  }
  expectations_[statement.id.value()] = std::move(expectation);
  bool has_effect =
      !caller->texts.empty() &&
      (statement.kind == StatementKind::kCommit ||
       (IsWrite(statement) && caller->pending_statements.size() == 1));
  caller->sent_effect = caller->sent_effect || has_effect;
  caller->is_waiting = true;
  SendFromCaller(caller, proxy::StatementReceived{caller->session, statement});
}

void SessionWorld::OnAnswer(Caller* caller, const CallerAnswer& answer) {
  if (!caller->is_waiting) {
    Report("a caller received an answer without a pending statement");
    return;
  }
  caller->is_waiting = false;
  CallerStatement statement = caller->pending_statements.front();
  caller->pending_statements.pop_front();
  caller->next_action =
      now_ + (HotIndexOf(caller->index) >= 0 ? options_.hot_statement_pause
                                             : options_.statement_pause);
  if (answer.outcome != Outcome::kDone) {
    EndOperation(caller, answer.outcome);
    return;
  }
  bool needs_signature = statement.kind == StatementKind::kRead ||
                         statement.kind == StatementKind::kWrite ||
                         statement.kind == StatementKind::kExecute ||
                         statement.kind == StatementKind::kCommit;
  if (needs_signature && answer.signature.empty()) {
    Report("success without an upstream's signature");
  }
  if (statement.kind == StatementKind::kSetValue) {
    caller->acknowledged_values[statement.name] = statement.arguments;
  }
  if (statement.kind == StatementKind::kRollback) caller->texts.clear();
  if (caller->pending_statements.empty()) EndOperation(caller, Outcome::kDone);
}

void SessionWorld::EndOperation(Caller* caller, Outcome outcome) {
  bool writes = !caller->texts.empty();
  auto priority = static_cast<size_t>(caller->consistency);
  Duration took = now_ - caller->started;
  TenantId tenant = TenantOf(caller->index);
  counts_.tenant_operations[tenant]++;
  if (outcome == Outcome::kDone) {
    counts_.done++;
    bool is_in_target = took <= options_.target;
    if (is_in_target) counts_.tenant_in_target[tenant]++;
    (is_in_target ? counts_.in_target : counts_.late)[priority]++;
    TimePoint& last = writes ? last_write_ : last_read_;
    int64_t& gap = writes ? counts_.write_gap : counts_.read_gap;
    gap = std::max(gap, (now_ - last).millis());
    last = now_;
    if (writes) counts_.writes++;
    for (const std::string& text : caller->texts) {
      if (late_writes_.count(text) != 0) {
        Report("write " + text +
               " was acknowledged, which a replaced primary had committed");
      }
      if (rolled_back_.count(text) != 0) {
        acknowledged_rolled_back_++;
        continue;
      }
      acknowledged_.push_back(Acknowledged{text, now_, caller->index});
    }
  } else if (GuaranteesNoEffect(outcome)) {
    counts_.refused++;
    counts_.refused_wait += took.millis();
    for (const std::string& text : caller->texts) refused_writes_.insert(text);
  } else if (outcome == Outcome::kFailed) {
    counts_.failed++;
  } else {
    counts_.unknown++;
  }
  if (outcome != Outcome::kDone) counts_.not_served[priority]++;
  caller->texts.clear();
  caller->pending_statements.clear();
  caller->next_action = now_ + options_.pause;
  if (outcome == Outcome::kDone) return;
  // The operation may have ended inside a transaction, so the caller closes the
  // session and opens a new one.
  Vm* vm = caller->vm;
  if (vm == nullptr) return;
  SendFromCaller(caller, proxy::SessionEnded{caller->session});
  vm->sessions.erase(caller->session.value());
  caller->vm = nullptr;
}

void SessionWorld::OnCloseRequest(Caller* caller) {
  if (caller->vm == nullptr) return;
  if (caller->is_waiting) {
    CallerAnswer refused;
    refused.outcome = Outcome::kBusy;
    OnAnswer(caller, refused);
    return;
  }
  SendFromCaller(caller, proxy::SessionEnded{caller->session});
  OnDisconnected(caller);
}

void SessionWorld::OnDisconnected(Caller* caller) {
  Vm* vm = caller->vm;
  if (vm != nullptr) vm->sessions.erase(caller->session.value());
  caller->vm = nullptr;
  bool was_busy = caller->is_waiting || !caller->pending_statements.empty();
  caller->is_waiting = false;
  caller->next_action = now_ + kReconnectDelay;
  if (was_busy) EndOperation(caller, Outcome::kUnknown);
  caller->next_action = now_ + kReconnectDelay;
}

void SessionWorld::OnRead(const proxy::StatementId& id,
                          const UpstreamId& upstream,
                          const std::vector<LogEntry>& log, size_t applied) {
  reads_at_[upstream]++;
  auto found = expectations_.find(id.value());
  if (found == expectations_.end()) {
    Report("a read ran that no caller sent: " + id.value());
    return;
  }
  // The newest entries have most of them, so the search begins there. A read
  // that waited on a cut link finds them further back.
  std::set<std::string> absent(found->second.texts.begin(),
                               found->second.texts.end());
  for (size_t i = applied; i > 0 && !absent.empty(); i--) {
    for (const std::string& write : log[i - 1].writes) absent.erase(write);
  }
  for (const std::string& write : rolled_back_) absent.erase(write);
  if (absent.empty()) return;
  if (options_.database.sync_replicas == 0) {
    for (const std::string& text : absent) {
      unseen_writes_[text] = id.value() + " at " + upstream.value();
    }
    return;
  }
  for (const std::string& text : found->second.texts) {
    if (absent.count(text) == 0) continue;
    Report("stale read " + id.value() + " at " + upstream.value() +
           " lacks write " + text);
    return;
  }
}

void SessionWorld::OnRun(const RanStatement& ran) {
  auto found = expectations_.find(ran.id.value());
  if (found == expectations_.end()) {
    Report("a statement ran that no caller sent: " + ran.text);
    return;
  }
  const Expectation& expected = found->second;
  const std::string name = NameOf(ran);
  CheckTransaction(ran, expected);
  CountRun(ran, expected);
  if (expected.values != ran.values) {
    Report("unexpected session values in " + name);
  }
  const CallerStatement& sent = expected.sent;
  bool executes = sent.kind == StatementKind::kExecute;
  bool is_as_sent = executes == ran.is_prepared &&
                    ran.text == (executes ? sent.arguments : sent.text);
  if (executes) {
    is_as_sent = is_as_sent &&
                 expected.prepared.writes == ran.prepared.writes &&
                 expected.prepared.shape == ran.prepared.shape;
  }
  if (!is_as_sent) Report("a statement ran changed: " + name);
  if (expected.in_transaction == ran.in_transaction) return;
  // The upstream ended the transaction by itself, and its answer to this
  // statement is the first to say so.
  if (ran.has_lost_transaction && !ran.in_transaction) return;
  Report(name + (ran.in_transaction ? " ran in a transaction"
                                    : " ran outside its transaction"));
}

void SessionWorld::CheckTransaction(const RanStatement& ran,
                                    const Expectation& expected) {
  if (ran.transaction == 0) return;
  RanTransaction& transaction = ran_transactions_[ran.transaction];
  if (transaction.statements == 0) {
    transaction.transaction = expected.transaction;
  }
  if (expected.transaction == 0 ||
      expected.transaction != transaction.transaction) {
    Report(NameOf(ran) + " ran in another transaction than its own");
  } else if (expected.place != transaction.statements) {
    Report(NameOf(ran) + " ran out of order in its transaction");
  }
  transaction.statements++;
}

// A read outside transactions, or as the first statement of one, may be
// repeated: nothing was promised on the ground of its first run.
void SessionWorld::CountRun(const RanStatement& ran,
                            const Expectation& expected) {
  if (ran.is_refused) return;
  int runs = ++runs_[ran.id.value()];
  bool may_repeat =
      expected.sent.kind == StatementKind::kRead && expected.place == 0;
  if (runs > 1 && !may_repeat) Report(NameOf(ran) + " ran more than once");
}

void SessionWorld::OnPromoted(const UpstreamId& upstream,
                              const std::vector<LogEntry>& log) {
  promotions_++;
  std::set<std::string> present;
  for (const LogEntry& entry : log) {
    present.insert(entry.writes.begin(), entry.writes.end());
  }
  if (options_.database.sync_replicas == 0) {
    RollBack(present);
    return;
  }
  for (const Acknowledged& ack : acknowledged_) {
    if (present.count(ack.text) != 0) continue;
    Report("promoted upstream " + upstream.value() +
           " lacks acknowledged write " + ack.text);
    return;
  }
}

// Without synchronous replicas, a promotion may lose what was acknowledged.
void SessionWorld::RollBack(const std::set<std::string>& present) {
  for (const std::string& write : committed_) {
    if (present.count(write) == 0) rolled_back_.insert(write);
  }
  auto is_lost = [&](const Acknowledged& ack) {
    return rolled_back_.count(ack.text) != 0;
  };
  auto lost =
      std::remove_if(acknowledged_.begin(), acknowledged_.end(), is_lost);
  acknowledged_rolled_back_ += acknowledged_.end() - lost;
  acknowledged_.erase(lost, acknowledged_.end());
}

void SessionWorld::OnCommitted(const std::vector<std::string>& writes,
                               bool is_replaced) {
  committed_.insert(writes.begin(), writes.end());
  if (is_replaced) late_writes_.insert(writes.begin(), writes.end());
}

// How many acknowledged writes the log of each running upstream lacks.
std::string SessionWorld::MissingWrites() const {
  std::string text;
  for (const auto& item : records_) {
    if (!database_->IsRunning(item.first)) continue;
    std::map<std::string, int> effects = database_->Effects(item.first);
    auto missing = std::count_if(
        acknowledged_.begin(), acknowledged_.end(),
        [&](const Acknowledged& ack) { return effects.count(ack.text) == 0; });
    text += "; " + item.first.value() + " lacks " + std::to_string(missing) +
            " of " + std::to_string(acknowledged_.size());
  }
  return text;
}

void SessionWorld::CheckEffects() {
  if (primary() == UpstreamId()) {
    Report("no primary, so acknowledged writes cannot be read" +
           MissingWrites());
    return;
  }
  std::map<std::string, int> effects = database_->Effects(primary());
  for (const auto& item : effects) {
    if (item.second > 1) Report("write ran more than once: " + item.first);
    if (refused_writes_.count(item.first) != 0) {
      Report("write was refused but took effect: " + item.first);
    }
  }
  for (const Acknowledged& ack : acknowledged_) {
    if (effects.count(ack.text) == 0) Report("lost write: " + ack.text);
  }
  for (const auto& item : unseen_writes_) {
    if (rolled_back_.count(item.first) != 0) continue;
    Report("stale read " + item.second + " lacks write " + item.first);
  }
}

}  // namespace fireflycart::standins
