// Callers run single statements and transactions, each with texts of its own,
// so that a text in a log tells whose it is. What a read must contain is taken
// down when its operation starts, and compared with the log that it runs on.

#include "fireflycart/standins/testing/session_world.h"

#include <algorithm>

#include "fireflycart/core/error.h"

namespace fireflycart::standins {
namespace {

using proxy::CallerAnswer;
using proxy::CallerStatement;
using proxy::Outcome;
using proxy::ReadRule;
using proxy::SessionNumber;
using proxy::StatementKind;
using proxy::TransactionState;

constexpr Duration kLatency = Duration::Millis(1);
constexpr Duration kStatementLimit = Duration::Millis(1000);
constexpr Duration kReconnect = Duration::Millis(30);
// As in the daemon: the last answers are still being written.
constexpr Duration kExitDelay = Duration::Millis(50);
constexpr int kMaxConnections = 16;
// A read is compared with the newest acknowledged writes and the end of the
// log, which holds them unless it lacks them.
constexpr size_t kChecked = 100;
constexpr size_t kTail = 1000;
const GroupId kGroup("ledger");

bool IsPromise(Outcome outcome) {
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

struct SessionWorld::Vm {
  VmId id;
  std::string name;
  uint64_t incarnation = 0;
  std::unique_ptr<proxy::ProxyReducer> reducer;
  TimePoint frozen_until;
  std::deque<proxy::ProxyEventBody> held;  // Arrived while it was frozen.
  bool has_exited = false;
  bool is_listening = true;
  std::map<uint64_t, Caller*> sessions;
  uint64_t last_session = 0;
};

struct SessionWorld::Caller {
  int index = 0;
  ReadRule rule = ReadRule::kNewest;
  Vm* vm = nullptr;
  uint64_t incarnation = 0;
  SessionNumber session;
  bool is_greeted = false;
  TimePoint next;                          // When it acts next.
  std::deque<CallerStatement> statements;  // Left of the operation.
  bool is_waiting = false;
  bool sent_effect = false;  // A write's single statement or a commit was sent.
  std::vector<std::string> texts;  // Writes of the operation.
  TimePoint started;
  TimePoint connected;
  std::map<std::string, std::string> acknowledged_values;
};

SessionWorld::SessionWorld(const SessionWorldOptions& options, uint64_t seed)
    : options_(options), random_(seed) {
  std::vector<UpstreamId> ids = {UpstreamId("up-a"), UpstreamId("up-b"),
                                 UpstreamId("up-c")};
  DatabaseObserver* observer = this;
  database_ = std::make_unique<DatabaseModel>(options.database, ids, observer);
  for (const UpstreamId& id : ids) {
    proxy::UpstreamRecord record;
    record.id = id;
    record.group = kGroup;
    record.address = id.value();
    record.slots = 4;
    record.is_primary = id == ids.front();
    records_[id] = record;
    store_.Put(proxy::StoreTable::kUpstreams, id.value(), "");
  }
  WriteRoutes(2, kStatementLimit);
  for (int i = 0; i < options.vms; i++) {
    auto vm = std::make_unique<Vm>();
    vm->name = "vm-" + std::to_string(i);
    vm->id = VmId(vm->name);
    vms_.push_back(std::move(vm));
  }
  for (int i = 0; i < options.vms; i++) StartVm(i);
  for (int i = 0; i < options.callers; i++) {
    auto caller = std::make_unique<Caller>();
    caller->index = i;
    caller->rule =
        options.mixed_rules ? static_cast<ReadRule>(i % 3) : options.rule;
    caller->next = now_ + Duration::Millis(1000 + 7 * i);
    callers_.push_back(std::move(caller));
  }
  last_write_ = now_ + Duration::Millis(1500);
  last_read_ = last_write_;
}

SessionWorld::~SessionWorld() = default;

std::string SessionWorld::RouteName(ReadRule rule) const {
  return "db-" + std::to_string(static_cast<int>(rule));
}

void SessionWorld::WriteRoutes(uint64_t version, Duration timeout) {
  routes_ = proxy::RouteTable();
  routes_.version = version;
  routes_.transaction_idle = Duration::Seconds(3);
  proxy::GroupSpec group;
  group.id = kGroup;
  group.max_connections = kMaxConnections;
  group.sync_replicas = 1;
  routes_.groups[kGroup] = group;
  for (int rule = 0; rule < proxy::kReadRules; rule++) {
    proxy::Route route;
    route.rule = static_cast<ReadRule>(rule);
    route.database = RouteName(route.rule);
    route.group = kGroup;
    route.max_age = options_.max_age;
    route.timeout = timeout;
    route.target = Duration::Millis(200);
    route.priority = rule;
    routes_.routes[route.database] = route;
  }
  store_.Put(proxy::StoreTable::kRoutes, "config", "");
}

void SessionWorld::SetRoutes(uint64_t version, Duration timeout) {
  WriteRoutes(version, timeout);
}

void SessionWorld::Register(const UpstreamId& id, bool leaving) {
  proxy::UpstreamRecord& record = records_[id];
  record.leaving = leaving;
  store_.Put(proxy::StoreTable::kUpstreams, id.value(), "");
}

void SessionWorld::Drain(const UpstreamId& id) { Register(id, true); }

void SessionWorld::Unregister(const UpstreamId& id) {
  store_.Remove(proxy::StoreTable::kUpstreams, id.value());
}

void SessionWorld::Run(Duration time) {
  TimePoint end = now_ + time;
  while (now_ < end) Step();
}

void SessionWorld::Report(const std::string& problem) {
  if (problem_.empty()) {
    problem_ = std::to_string(now_.millis()) + " ms: " + problem;
  }
}

void SessionWorld::Step() {
  now_ = now_ + Duration::Millis(1);
  while (!timers_.empty() && timers_.begin()->first <= now_) {
    Delivery deliver = timers_.begin()->second;
    timers_.erase(timers_.begin());
    deliver();
  }
  DeliverDue();
  for (const DatabaseOutput& output : database_->Advance(now_)) {
    auto found = connections_.find(output.connection.value());
    if (found == connections_.end()) continue;
    Vm* vm = found->second.first;
    ConnectionId connection = found->second.second;
    uint64_t incarnation = vm->incarnation;
    if (output.is_lost) {
      database_->Close(output.connection);
      LoseConnection(output.connection);
      continue;
    }
    proxy::ProxyEventBody body =
        output.is_open ? proxy::ProxyEventBody(proxy::UpstreamOpened{
                             connection, output.answer.position})
                       : proxy::ProxyEventBody(proxy::UpstreamAnswered{
                             connection, output.answer});
    Send(upstream_of_[output.connection.value()].value(), vm->name,
         [this, vm, incarnation, body] { Deliver(vm, incarnation, body); });
  }
  for (auto& answer : store_.Advance(now_)) {
    auto found = store_calls_.find(answer.handle);
    if (found == store_calls_.end()) continue;
    proxy::StoreAnswered answered;
    answered.status = answer.status;
    answered.version = answer.version;
    answered.rows = answer.rows;
    if (answer.table == proxy::StoreTable::kRoutes && !answer.rows.empty()) {
      answered.routes.push_back(routes_);
    }
    if (answer.table == proxy::StoreTable::kUpstreams) {
      for (const proxy::StoreRow& row : answer.rows) {
        proxy::UpstreamChange change;
        change.id = UpstreamId(row.key);
        change.is_present = !row.is_deleted;
        change.record = records_[change.id];
        answered.upstreams.push_back(change);
      }
    }
    auto reply = found->second;
    store_calls_.erase(found);
    reply(std::move(answered));
  }
  for (auto& vm : vms_) {
    if (!vm->reducer || now_ < vm->frozen_until) continue;
    while (!vm->held.empty()) {
      proxy::ProxyEventBody body = std::move(vm->held.front());
      vm->held.pop_front();
      Reduce(vm.get(), std::move(body));
      if (!vm->reducer) break;
    }
    bool is_due = vm->reducer && vm->reducer->has_wake() &&
                  vm->reducer->next_wake() <= now_;
    if (is_due) Reduce(vm.get(), proxy::WakeUp{});
  }
  for (auto& caller : callers_) StepCaller(caller.get());
}

bool SessionWorld::IsCut(const std::string& a, const std::string& b) const {
  return cuts_.count({std::min(a, b), std::max(a, b)}) != 0;
}

void SessionWorld::Cut(const std::string& a, const std::string& b) {
  cuts_.insert({std::min(a, b), std::max(a, b)});
  bool are_upstreams =
      records_.count(UpstreamId(a)) != 0 && records_.count(UpstreamId(b)) != 0;
  if (are_upstreams) database_->SetCut(UpstreamId(a), UpstreamId(b), true);
}

void SessionWorld::Mend(const std::string& a, const std::string& b) {
  cuts_.erase({std::min(a, b), std::max(a, b)});
  bool are_upstreams =
      records_.count(UpstreamId(a)) != 0 && records_.count(UpstreamId(b)) != 0;
  if (are_upstreams) database_->SetCut(UpstreamId(a), UpstreamId(b), false);
}

void SessionWorld::MendAll() {
  std::set<Link> cuts = cuts_;
  for (const Link& link : cuts) Mend(link.first, link.second);
}

void SessionWorld::CutPrimaryFromReplicas() {
  UpstreamId leader = primary();
  for (const auto& item : records_) {
    if (item.first != leader) Cut(leader.value(), item.first.value());
  }
}

void SessionWorld::Send(const std::string& from, const std::string& to,
                        Delivery deliver) {
  links_[{from, to}].emplace_back(now_ + kLatency, std::move(deliver));
}

void SessionWorld::DeliverDue() {
  std::vector<Delivery> due;
  for (auto& item : links_) {
    if (IsCut(item.first.first, item.first.second)) continue;
    auto& queue = item.second;
    while (!queue.empty() && queue.front().first <= now_) {
      due.push_back(std::move(queue.front().second));
      queue.pop_front();
    }
  }
  for (const Delivery& deliver : due) deliver();
}

void SessionWorld::Deliver(Vm* vm, uint64_t incarnation,
                           proxy::ProxyEventBody body) {
  if (!vm->reducer || vm->incarnation != incarnation) return;
  if (now_ < vm->frozen_until) {
    vm->held.push_back(std::move(body));
    return;
  }
  Reduce(vm, std::move(body));
}

void SessionWorld::Reduce(Vm* vm, proxy::ProxyEventBody body) {
  Perform(vm, vm->reducer->Reduce(proxy::ProxyEvent{now_, std::move(body)}));
}

void SessionWorld::Perform(Vm* vm, const proxy::ProxyEffects& effects) {
  for (const proxy::ProxyEffect& effect : effects) {
    std::visit([&](const auto& e) { PerformOne(vm, e); }, effect);
  }
}

// The process ends: what was still open is cut.
void SessionWorld::EndProcess(Vm* vm, uint64_t incarnation) {
  if (!vm->reducer || vm->incarnation != incarnation) return;
  for (const auto& item : vm->sessions) {
    if (item.second->is_waiting) Report("a stopped VM cut a statement");
  }
  vm->has_exited = true;
  KillVm(vm->id.value().back() - '0');
}

SessionWorld::Vm* SessionWorld::FindVm(const VmId& id) {
  for (auto& vm : vms_) {
    if (vm->id == id) return vm.get();
  }
  return nullptr;
}

void SessionWorld::StartVm(int index) {
  Vm* vm = vms_[static_cast<size_t>(index)].get();
  proxy::VmRecord record;
  record.vm = vm->id;
  record.address = vm->name;
  vm->incarnation = static_cast<uint64_t>(now_.millis()) + ++last_number_;
  record.incarnation = vm->incarnation;
  record.cpu_permille = 250;
  vm->has_exited = false;
  vm->is_listening = true;
  vm->held.clear();
  vm->reducer = std::make_unique<proxy::ProxyReducer>(
      record, proxy::ProxyOptions(), random_());
  Perform(vm, vm->reducer->Start(now_));
}

void SessionWorld::KillVm(int index) {
  Vm* vm = vms_[static_cast<size_t>(index)].get();
  vm->reducer.reset();
  for (auto it = connections_.begin(); it != connections_.end();) {
    if (it->second.first != vm) {
      ++it;
      continue;
    }
    uint64_t number = it->first;
    Send(vm->name, upstream_of_[number].value(),
         [this, number] { database_->Close(ConnectionId(number)); });
    connection_numbers_.erase({vm, it->second.second});
    it = connections_.erase(it);
  }
  // Connections of peers break at once; what was sent may have been acted on.
  for (const auto& item : targets_) {
    uint64_t number = item.first;
    if (item.second != vm->name || peer_calls_.count(number) == 0) continue;
    Send(vm->name, askers_[number], [this, number] {
      EndPeerCall(number, PeerCallError::kBroken, PeerReplyBody());
    });
  }
  for (auto& caller : callers_) {
    if (caller->vm == vm) OnCut(caller.get());
  }
  vm->sessions.clear();
}

void SessionWorld::StopVm(int index) {
  Vm* vm = vms_[static_cast<size_t>(index)].get();
  Deliver(vm, vm->incarnation, StopRequested{});
}

void SessionWorld::FreezeVm(int index, Duration time) {
  vms_[static_cast<size_t>(index)]->frozen_until = now_ + time;
}

void SessionWorld::CrashUpstream(const UpstreamId& id) {
  for (const DatabaseOutput& lost : database_->Crash(id)) {
    LoseConnection(lost.connection);
  }
}

void SessionWorld::LoseConnection(ConnectionId number) {
  auto found = connections_.find(number.value());
  if (found == connections_.end()) return;
  Vm* vm = found->second.first;
  ConnectionId connection = found->second.second;
  uint64_t incarnation = vm->incarnation;
  connection_numbers_.erase(found->second);
  connections_.erase(found);
  Send(upstream_of_[number.value()].value(), vm->name,
       [this, vm, incarnation, connection] {
         Deliver(vm, incarnation,
                 proxy::UpstreamClosed{connection, Outcome::kUnknown, false,
                                       "reset"});
       });
}

void SessionWorld::RestartUpstream(const UpstreamId& id) {
  database_->Restart(id);
}

VmId SessionWorld::owner() const {
  for (const auto& vm : vms_) {
    if (!vm->reducer) continue;
    const proxy::GroupOwner* group = vm->reducer->FindOwner(kGroup);
    if (group != nullptr && group->is_chosen()) return vm->id;
  }
  return VmId();
}

const proxy::ProxyReducer* SessionWorld::vm(int index) const {
  return vms_[static_cast<size_t>(index)]->reducer.get();
}

bool SessionWorld::HasExited(int index) const {
  return vms_[static_cast<size_t>(index)]->has_exited;
}

void SessionWorld::PerformOne(Vm* vm, const proxy::GreetCaller& e) {
  auto found = vm->sessions.find(e.session.value());
  if (found == vm->sessions.end()) return;
  Caller* caller = found->second;
  if (e.outcome != Outcome::kDone) {
    OnCut(caller);
    return;
  }
  caller->is_greeted = true;
  caller->next = now_;
}

void SessionWorld::PerformOne(Vm* vm, const proxy::AnswerStatement& e) {
  auto found = vm->sessions.find(e.session.value());
  if (found != vm->sessions.end()) OnAnswer(found->second, e.answer);
}

void SessionWorld::PerformOne(Vm* vm, const proxy::CloseCaller& e) {
  auto found = vm->sessions.find(e.session.value());
  if (found != vm->sessions.end()) OnCut(found->second);
}

void SessionWorld::PerformOne(Vm* vm, const proxy::StopListening& e) {
  (void)e;
  vm->is_listening = false;
}

void SessionWorld::PerformOne(Vm* vm, const proxy::OpenUpstream& e) {
  uint64_t number = ++last_number_;
  connections_[number] = {vm, e.connection};
  connection_numbers_[{vm, e.connection}] = number;
  upstream_of_[number] = e.upstream;
  uint64_t incarnation = vm->incarnation;
  ConnectionId connection = e.connection;
  UpstreamId upstream = e.upstream;
  Send(vm->name, upstream.value(),
       [this, vm, incarnation, number, connection, upstream] {
         if (connections_.count(number) == 0) return;
         bool is_full = database_->connection_count(upstream) >=
                        static_cast<size_t>(kMaxConnections);
         if (!is_full && database_->Open(upstream, ConnectionId(number))) {
           opened_.insert(number);
           return;
         }
         Outcome outcome =
             is_full ? Outcome::kTooManyConnections : Outcome::kUnknown;
         connections_.erase(number);
         Send(upstream.value(), vm->name,
              [this, vm, incarnation, connection, outcome] {
                Deliver(vm, incarnation,
                        proxy::UpstreamClosed{connection, outcome, true,
                                              "refused"});
              });
       });
  timers_.emplace(
      now_ + e.timeout, [this, vm, incarnation, number, connection] {
        if (connections_.count(number) == 0 || opened_.count(number) != 0)
          return;
        connections_.erase(number);
        Deliver(vm, incarnation,
                proxy::UpstreamClosed{connection, Outcome::kUnknown, false,
                                      "no answer in time"});
      });
}

void SessionWorld::PerformOne(Vm* vm, const proxy::SendUpstream& e) {
  auto found = connection_numbers_.find({vm, e.connection});
  if (found == connection_numbers_.end()) return;
  uint64_t number = found->second;
  for (const proxy::UpstreamCommand& command : e.commands) {
    if (command.id.value().empty()) own_commands_++;
    Send(vm->name, upstream_of_[number].value(), [this, number, command] {
      database_->Execute(ConnectionId(number), command);
    });
  }
}

void SessionWorld::PerformOne(Vm* vm, const proxy::CloseUpstream& e) {
  auto found = connection_numbers_.find({vm, e.connection});
  if (found == connection_numbers_.end()) return;
  uint64_t number = found->second;
  connection_numbers_.erase(found);
  connections_.erase(number);
  Send(vm->name, upstream_of_[number].value(),
       [this, number] { database_->Close(ConnectionId(number)); });
}

void SessionWorld::PerformOne(Vm* vm, const CallPeer& e) {
  uint64_t number = ++last_number_;
  uint64_t incarnation = vm->incarnation;
  CallId call = e.call;
  Vm* to = FindVm(e.to);
  auto end = [this, vm, incarnation, call](PeerCallError error,
                                           PeerReplyBody body) {
    Deliver(vm, incarnation, PeerReplied{call, error, std::move(body)});
  };
  peer_calls_[number] = end;
  askers_[number] = vm->name;
  VmId from = vm->id;
  PeerCallBody body = e.body;
  targets_[number] = to->name;
  Send(vm->name, to->name, [this, vm, to, number, from, body] {
    if (!to->reducer) {
      Send(to->name, vm->name, [this, number] {
        EndPeerCall(number, PeerCallError::kNotSent, PeerReplyBody());
      });
      return;
    }
    Deliver(to, to->incarnation, PeerCalled{HandleId(number), from, body});
  });
  timers_.emplace(now_ + e.timeout, [this, number] {
    EndPeerCall(number, PeerCallError::kBroken, PeerReplyBody());
  });
}

void SessionWorld::EndPeerCall(uint64_t number, PeerCallError error,
                               const PeerReplyBody& body) {
  auto found = peer_calls_.find(number);
  if (found == peer_calls_.end()) return;
  auto end = found->second;
  peer_calls_.erase(found);
  targets_.erase(number);
  end(error, body);
}

void SessionWorld::PerformOne(Vm* vm, const AnswerPeer& e) {
  uint64_t number = e.handle.value();
  PeerReplyBody body = e.body;
  // The reply travels back on the caller's connection.
  Send(vm->name, askers_[number], [this, number, body] {
    EndPeerCall(number, PeerCallError::kNone, body);
  });
}

void SessionWorld::PerformOne(Vm* vm, const proxy::StoreCall& e) {
  uint64_t number = ++last_number_;
  uint64_t incarnation = vm->incarnation;
  CallId call = e.call;
  auto ended = std::make_shared<bool>(false);
  auto end = [this, vm, incarnation, call,
              ended](proxy::StoreAnswered answered) {
    if (*ended) return;
    *ended = true;
    answered.call = call;
    Deliver(vm, incarnation, std::move(answered));
  };
  store_calls_[number] = [this, vm, end](const proxy::StoreAnswered& answered) {
    if (store_answers_to_lose_ > 0) {
      store_answers_to_lose_--;
      return;
    }
    Send("store", vm->name, [end, answered] { end(answered); });
  };
  StoreBody body = e.body;
  Send(vm->name, "store",
       [this, number, body] { store_.Call(number, body, now_); });
  timers_.emplace(now_ + e.timeout, [end] { end(proxy::StoreAnswered()); });
}

void SessionWorld::PerformOne(Vm* vm, const proxy::PromoteUpstream& e) {
  uint64_t incarnation = vm->incarnation;
  CallId call = e.call;
  UpstreamId upstream = e.upstream;
  uint64_t token = e.token;
  Send(vm->name, "promotion", [this, vm, incarnation, call, upstream, token] {
    if (token < highest_token_) {
      Report("token " + std::to_string(token) + " below " +
             std::to_string(highest_token_));
    }
    highest_token_ = std::max(highest_token_, token);
    bool ok = database_->Promote(upstream, now_);
    Send("promotion", vm->name, [this, vm, incarnation, call, ok] {
      Deliver(vm, incarnation,
              proxy::PromotionAnswered{
                  call, ok ? proxy::PromotionStatus::kAccepted
                           : proxy::PromotionStatus::kNotRunning});
    });
  });
  timers_.emplace(now_ + e.timeout, [this, vm, incarnation, call] {
    Deliver(vm, incarnation,
            proxy::PromotionAnswered{call, proxy::PromotionStatus::kUnknown});
  });
}

void SessionWorld::PerformOne(Vm* vm, const proxy::WriteRecord& e) {
  std::string line = std::to_string(now_.millis()) + " " + vm->name + " " +
                     e.part + "." + e.event;
  for (const proxy::LogField& field : e.fields) {
    line += std::string(" ") + field.name + "=" + field.value;
  }
  log_.push_back(std::move(line));
}

void SessionWorld::PerformOne(Vm* vm, const proxy::CountStatement& e) {
  (void)vm;
  (void)e;
}

void SessionWorld::PerformOne(Vm* vm, const Exit& e) {
  (void)e;
  uint64_t incarnation = vm->incarnation;
  timers_.emplace(now_ + kExitDelay,
                  [this, vm, incarnation] { EndProcess(vm, incarnation); });
}

std::vector<std::string> SessionWorld::TakeLog() {
  std::vector<std::string> log;
  log.swap(log_);
  return log;
}

void SessionWorld::ResetGaps() {
  counts_.write_gap = 0;
  counts_.read_gap = 0;
  last_write_ = now_;
  last_read_ = now_;
}

void SessionWorld::StepCaller(Caller* caller) {
  if (now_ < caller->next || caller->is_waiting) return;
  if (caller->vm == nullptr) {
    Connect(caller);
  } else if (caller->is_greeted && caller->statements.empty()) {
    BeginOperation(caller);
  } else if (caller->is_greeted) {
    SendNext(caller);
  }
}

void SessionWorld::Connect(Caller* caller) {
  Vm* vm = vms_[Random(vms_.size())].get();
  caller->next = now_ + kReconnect;
  // A balancer without a ready VM uses all of them.
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
  Deliver(vm, vm->incarnation,
          proxy::CallerStarted{caller->session, RouteName(caller->rule)});
}

void SessionWorld::BeginOperation(Caller* caller) {
  caller->statements.clear();
  caller->texts.clear();
  caller->sent_effect = false;
  caller->started = now_;
  auto add = [&](StatementKind kind, const std::string& text) {
    CallerStatement statement;
    statement.kind = kind;
    statement.id = proxy::StatementId("s" + std::to_string(++last_number_));
    statement.text = text;
    caller->statements.push_back(statement);
  };
  auto write_text = [&] {
    std::string text = "WRITE c" + std::to_string(caller->index) + "-" +
                       std::to_string(++last_number_);
    caller->texts.push_back(text);
    return text;
  };
  if (Random(8) == 0) {
    add(StatementKind::kSetValue, "");
    caller->statements.back().name = "v" + std::to_string(Random(2));
    caller->statements.back().arguments = std::to_string(Random(4));
  }
  switch (options_.only_writes ? Random(2) : Random(5)) {
    case 0:
      add(StatementKind::kWrite, write_text());
      break;
    case 1: {
      add(StatementKind::kBegin, "");
      add(StatementKind::kRead, "READ x");
      add(StatementKind::kWrite, write_text());
      if (Random(2) == 0) add(StatementKind::kWrite, write_text());
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
  CallerStatement statement = caller->statements.front();
  Expectation expectation;
  expectation.caller = caller->index;
  expectation.rule = caller->rule;
  expectation.values = caller->acknowledged_values;
  TimePoint oldest = caller->rule == ReadRule::kNewest
                         ? caller->started
                         : caller->started - options_.max_age;
  size_t first =
      acknowledged_.size() > kChecked ? acknowledged_.size() - kChecked : 0;
  for (size_t i = first; i < acknowledged_.size(); i++) {
    const Acknowledged& ack = acknowledged_[i];
    // A session's own writes end with its connection.
    bool is_own = caller->rule == ReadRule::kOwnWrites &&
                  ack.caller == caller->index && ack.at >= caller->connected &&
                  ack.at < caller->started;
    if (ack.at < oldest || is_own) expectation.texts.push_back(ack.text);
  }
  expectations_[statement.id.value()] = std::move(expectation);
  bool has_effect =
      !caller->texts.empty() && (statement.kind == StatementKind::kCommit ||
                                 (statement.kind == StatementKind::kWrite &&
                                  caller->statements.size() == 1));
  caller->sent_effect = caller->sent_effect || has_effect;
  caller->is_waiting = true;
  Vm* vm = caller->vm;
  Deliver(vm, caller->incarnation,
          proxy::CallerSent{caller->session, statement});
}

void SessionWorld::OnAnswer(Caller* caller, const CallerAnswer& answer) {
  if (!caller->is_waiting) {
    Report("answer to nothing");
    return;
  }
  caller->is_waiting = false;
  CallerStatement statement = caller->statements.front();
  caller->statements.pop_front();
  caller->next = now_;
  if (answer.outcome != Outcome::kDone) {
    EndOperation(caller, answer.outcome);
    return;
  }
  bool needs_proof = statement.kind == StatementKind::kRead ||
                     statement.kind == StatementKind::kWrite ||
                     statement.kind == StatementKind::kCommit;
  if (needs_proof && answer.signature.empty()) {
    Report("success without an upstream's signature");
  }
  if (statement.kind == StatementKind::kSetValue) {
    caller->acknowledged_values[statement.name] = statement.arguments;
  }
  if (statement.kind == StatementKind::kRollback) caller->texts.clear();
  if (caller->statements.empty()) EndOperation(caller, Outcome::kDone);
}

void SessionWorld::EndOperation(Caller* caller, Outcome outcome) {
  bool writes = !caller->texts.empty();
  if (outcome == Outcome::kDone) {
    counts_.done++;
    TimePoint& last = writes ? last_write_ : last_read_;
    int64_t& gap = writes ? counts_.write_gap : counts_.read_gap;
    gap = std::max(gap, (now_ - last).millis());
    last = now_;
    if (writes) counts_.writes++;
    for (const std::string& text : caller->texts) {
      acknowledged_.push_back(Acknowledged{text, now_, caller->index});
    }
  } else if (IsPromise(outcome)) {
    counts_.refused++;
    for (const std::string& text : caller->texts) promised_.insert(text);
  } else if (outcome == Outcome::kFailed) {
    counts_.failed++;
  } else {
    counts_.open++;
  }
  caller->texts.clear();
  caller->statements.clear();
  caller->next = now_ + options_.pause;
  if (outcome == Outcome::kDone) return;
  // The operation may have ended inside a transaction: a new session.
  Vm* vm = caller->vm;
  if (vm == nullptr) return;
  Deliver(vm, caller->incarnation, proxy::CallerEnded{caller->session});
  vm->sessions.erase(caller->session.value());
  caller->vm = nullptr;
}

void SessionWorld::OnCut(Caller* caller) {
  if (caller->vm != nullptr)
    caller->vm->sessions.erase(caller->session.value());
  caller->vm = nullptr;
  bool was_busy = caller->is_waiting || !caller->statements.empty();
  caller->is_waiting = false;
  caller->next = now_ + kReconnect;
  if (was_busy) EndOperation(caller, Outcome::kUnknown);
  caller->next = now_ + kReconnect;
}

void SessionWorld::OnRead(const proxy::StatementId& id,
                          const UpstreamId& upstream,
                          const std::vector<LogEntry>& log, size_t applied) {
  auto found = expectations_.find(id.value());
  if (found == expectations_.end()) {
    Report("a read ran that nobody sent: " + id.value());
    return;
  }
  std::set<std::string> present;
  size_t first = applied > kTail ? applied - kTail : 0;
  for (size_t i = first; i < applied; i++) {
    present.insert(log[i].writes.begin(), log[i].writes.end());
  }
  for (const std::string& text : found->second.texts) {
    if (present.count(text) != 0) continue;
    Report("stale read " + id.value() + " at " + upstream.value() + " lacks " +
           text);
    return;
  }
}

void SessionWorld::OnRun(const proxy::StatementId& id, const std::string& text,
                         const std::map<std::string, std::string>& values) {
  auto found = expectations_.find(id.value());
  if (found == expectations_.end()) {
    Report("a statement ran that nobody sent: " + text);
    return;
  }
  if (found->second.values != values) {
    Report("session values differ for " + id.value() + " " + text);
  }
}

void SessionWorld::OnPromoted(const UpstreamId& upstream,
                              const std::vector<LogEntry>& log) {
  promotions_++;
  std::set<std::string> present;
  for (const LogEntry& entry : log) {
    present.insert(entry.writes.begin(), entry.writes.end());
  }
  for (const Acknowledged& ack : acknowledged_) {
    if (present.count(ack.text) != 0) continue;
    Report("promoted " + upstream.value() + " lacks acknowledged " + ack.text);
    return;
  }
}

void SessionWorld::CheckEffects() {
  std::map<std::string, int> effects = database_->Effects(primary());
  for (const auto& item : effects) {
    if (item.second > 1) Report("ran twice: " + item.first);
    if (promised_.count(item.first) != 0) {
      Report("kept though refused: " + item.first);
    }
  }
  for (const Acknowledged& ack : acknowledged_) {
    if (effects.count(ack.text) == 0) Report("lost: " + ack.text);
  }
}

}  // namespace fireflycart::standins
