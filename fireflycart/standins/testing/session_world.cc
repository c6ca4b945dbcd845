// Each effect of a reducer becomes a message on a link. The message arrives
// after the link's latency, or once the link is healed if it is cut. The
// callers are in session_callers.cc.

#include "fireflycart/standins/testing/session_world.h"

#include <algorithm>
#include <cmath>

#include "fireflycart/standins/testing/session_world_parts.h"

namespace fireflycart::standins {
namespace {

using proxy::Outcome;
using proxy::ReadConsistency;

constexpr Duration kLinkLatency = Duration::Millis(1);
// As in the daemon, which delays its exit to finish writing the last answers.
constexpr Duration kExitDelay = Duration::Millis(50);
constexpr int kSlots = 4;  // Of an upstream.
const GroupId kGroup("ledger");

}  // namespace

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
    record.slots = kSlots;
    record.is_primary = id == ids.front();
    record.data_centre = DataCentre(records_.size());
    records_[id] = record;
    PutUpstream(id);
  }
  WriteRoutes(2, options.timeout);
  for (int i = 0; i < options.vms; i++) {
    auto vm = std::make_unique<Vm>();
    vm->name = "vm-" + std::to_string(i);
    vm->id = VmId(vm->name);
    vms_.push_back(std::move(vm));
  }
  for (int i = 0; i < options.vms; i++) StartVm(i);
  int hot_callers =
      static_cast<int>(options.hot_tenants.size()) * options.hot_callers;
  for (int i = 0; i < options.callers + hot_callers; i++) {
    auto caller = std::make_unique<Caller>();
    caller->index = i;
    caller->consistency = options.mixed_consistencies
                              ? static_cast<ReadConsistency>(i % 3)
                              : options.consistency;
    if (i >= options.callers) caller->consistency = options.hot_consistency;
    caller->next_action = now_ + Duration::Millis(1000 + 7 * i);
    callers_.push_back(std::move(caller));
  }
  last_write_ = now_ + Duration::Millis(1500);
  last_read_ = last_write_;
}

SessionWorld::~SessionWorld() = default;

int SessionWorld::HotIndexOf(int caller) const {
  if (caller < options_.callers) return -1;
  return (caller - options_.callers) / options_.hot_callers;
}

// The callers are dealt out by a low-discrepancy sequence, so that the shares
// do not depend on the seed and are the same for callers of each route.
TenantId SessionWorld::TenantOf(int caller) const {
  if (options_.tenants == 0) return TenantId();
  int hot = HotIndexOf(caller);
  if (hot >= 0) {
    int rank = options_.hot_tenants[static_cast<size_t>(hot)];
    return TenantId("t" + std::to_string(rank));
  }
  constexpr double kGoldenRatio = 0.6180339887498949;
  constexpr double kExponent = 1.2;
  double total = 0;
  for (int i = 1; i <= options_.tenants; i++) total += std::pow(i, -kExponent);
  double left = std::fmod((caller + 0.5) * kGoldenRatio, 1.0) * total;
  int tenant = 1;
  while (tenant < options_.tenants && left > std::pow(tenant, -kExponent)) {
    left -= std::pow(tenant, -kExponent);
    tenant++;
  }
  return TenantId("t" + std::to_string(tenant - 1));
}

void SessionWorld::CheckTenant(uint64_t connection,
                               const proxy::StatementId& id) {
  auto found = statement_tenants_.find(id.value());
  if (found == statement_tenants_.end()) return;
  if (found->second == tenant_of_[connection]) return;
  Report("statement of " + found->second.value() + " on a connection of " +
         tenant_of_[connection].value());
}

DataCentreId SessionWorld::DataCentre(size_t number) const {
  if (options_.data_centres == 0) return DataCentreId();
  return DataCentreId(
      "dc-" +
      std::to_string(number % static_cast<size_t>(options_.data_centres)));
}

DataCentreId SessionWorld::DataCentreOf(const std::string& name) const {
  auto record = records_.find(UpstreamId(name));
  if (record != records_.end()) return record->second.data_centre;
  for (size_t i = 0; i < vms_.size(); i++) {
    if (vms_[i]->name == name) return DataCentre(i);
  }
  return DataCentreId();
}

void SessionWorld::CountSent(const std::string& from, const std::string& to) {
  statements_sent_++;
  if (DataCentreOf(from) != DataCentreOf(to)) statements_crossing_++;
}

std::string SessionWorld::RouteName(ReadConsistency consistency) const {
  return "db-" + std::to_string(static_cast<int>(consistency));
}

void SessionWorld::WriteRoutes(uint64_t version, Duration timeout) {
  routes_ = proxy::RouteTable();
  routes_.version = version;
  routes_.transaction_idle_timeout = Duration::Seconds(3);
  proxy::GroupSpec group;
  group.id = kGroup;
  group.max_connections = options_.max_connections;
  group.sync_replicas = options_.database.sync_replicas;
  routes_.groups[kGroup] = group;
  for (int rule = 0; rule < proxy::kReadConsistencies; rule++) {
    proxy::Route route;
    route.consistency = static_cast<ReadConsistency>(rule);
    route.database = RouteName(route.consistency);
    route.group = kGroup;
    route.max_age = options_.max_age;
    route.timeout = timeout;
    route.target = options_.target;
    route.priority = rule;
    routes_.routes[route.database] = route;
  }
  routes_.has_tenants = options_.tenants > 0;
  for (int i = 0; i < options_.tenants; i++) {
    TenantSpec tenant;
    tenant.id = TenantId("t" + std::to_string(i));
    std::string problem;
    KeyDigest key = KeyDigest::Of("key-" + tenant.id.value());
    if (!routes_.tenants.Add(tenant, {key}, &problem)) Report(problem);
  }
  if (options_.tenant_rate > 0) {
    TenantSpec tenant;
    tenant.id = TenantId("acme");
    tenant.has_limit = true;
    tenant.rate_per_s = options_.tenant_rate;
    tenant.burst = options_.tenant_burst;
    std::string problem;
    routes_.has_tenants = true;
    routes_.tenants.Add(tenant, {KeyDigest::Of(kCallersKey)}, &problem);
  }
  PutRoutes();
}

void SessionWorld::PutRoutes() {
  store_.Put(proxy::StoreTable::kRoutes, "config",
             std::to_string(written_routes_.size()));
  written_routes_.push_back(routes_);
}

void SessionWorld::PutUpstream(const UpstreamId& id) {
  store_.Put(proxy::StoreTable::kUpstreams, id.value(),
             std::to_string(written_records_.size()));
  upstream_writes_[id]++;
  written_records_.push_back(records_[id]);
}

void SessionWorld::RestoreStore(Duration age, Duration outage) {
  TimePoint moment = now_ - age;
  store_.SetRefusing(true);
  timers_.emplace(now_ + outage, [this, moment] {
    store_.SetRefusing(false);
    store_.Restore(moment);
    WriteRowsAgain();
    for (const auto& item : records_) LapseIfIsolated(item.first);
  });
}

// A writer that has written since needs not write again.
void SessionWorld::WriteRowsAgain() {
  auto limit = static_cast<uint64_t>(kRewriteTime.millis());
  size_t routes = written_routes_.size();
  timers_.emplace(now_ + Duration::Millis(static_cast<int64_t>(Random(limit))),
                  [this, routes] {
                    if (written_routes_.size() == routes) PutRoutes();
                  });
  for (const auto& item : records_) {
    UpstreamId id = item.first;
    int writes = upstream_writes_[id];
    timers_.emplace(
        now_ + Duration::Millis(static_cast<int64_t>(Random(limit))),
        [this, id, writes] {
          if (upstream_writes_[id] != writes) return;
          if (IslandOf(id.value()) != 0) return;
          if (unregistered_.count(id) == 0) {
            PutUpstream(id);
          } else {
            Unregister(id);
          }
        });
  }
}

void SessionWorld::SetRoutes(uint64_t version, Duration timeout) {
  WriteRoutes(version, timeout);
}

void SessionWorld::Register(const UpstreamId& id, bool leaving) {
  proxy::UpstreamRecord& record = records_[id];
  record.leaving = leaving;
  unregistered_.erase(id);
  PutUpstream(id);
}

void SessionWorld::Drain(const UpstreamId& id) { Register(id, true); }

void SessionWorld::Unregister(const UpstreamId& id) {
  unregistered_.insert(id);
  upstream_writes_[id]++;
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
    uint64_t number = found->first;
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
    Send(upstream_of_[number].value(), vm->name,
         [this, vm, incarnation, number, body] {
           if (IsMute(number)) return;
           opened_connections_.insert(number);
           Deliver(vm, incarnation, body);
         });
  }
  for (auto& answer : store_.Advance(now_)) {
    auto found = store_calls_.find(answer.handle);
    if (found == store_calls_.end()) continue;
    proxy::StoreAnswered answered;
    answered.status = answer.status;
    answered.version = answer.version;
    answered.rows = answer.rows;
    answered.is_unchanged = answer.is_follow && answer.rows.empty();
    if (answer.table == proxy::StoreTable::kRoutes && !answer.rows.empty()) {
      answered.routes.push_back(
          written_routes_[std::stoul(answer.rows.back().value)]);
    }
    if (answer.table == proxy::StoreTable::kUpstreams) {
      for (const proxy::StoreRow& row : answer.rows) {
        proxy::UpstreamChange change;
        change.id = UpstreamId(row.key);
        change.is_present = !row.is_deleted;
        if (change.is_present) {
          change.record = written_records_[std::stoul(row.value)];
        }
        answered.upstreams.push_back(change);
      }
    }
    auto reply = found->second;
    store_calls_.erase(found);
    reply(std::move(answered));
  }
  for (auto& vm : vms_) {
    if (!vm->reducer || now_ < vm->frozen_until) continue;
    while (!vm->deferred_events.empty()) {
      proxy::ProxyEventBody body = std::move(vm->deferred_events.front());
      vm->deferred_events.pop_front();
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
  Link link(std::min(a, b), std::max(a, b));
  return cuts_.count(link) != 0 || passing_cuts_.count(link) != 0 ||
         IslandOf(a) != IslandOf(b);
}

void SessionWorld::ApplyCut(const std::string& a, const std::string& b) {
  bool are_upstreams =
      records_.count(UpstreamId(a)) != 0 && records_.count(UpstreamId(b)) != 0;
  if (!are_upstreams) return;
  database_->SetCut(UpstreamId(a), UpstreamId(b), IsCut(a, b));
}

void SessionWorld::Cut(const std::string& a, const std::string& b) {
  cuts_.insert({std::min(a, b), std::max(a, b)});
  ApplyCut(a, b);
}

void SessionWorld::Heal(const std::string& a, const std::string& b) {
  cuts_.erase({std::min(a, b), std::max(a, b)});
  ApplyCut(a, b);
}

void SessionWorld::HealAll() {
  std::set<Link> cuts = cuts_;
  for (const Link& link : cuts) Heal(link.first, link.second);
}

void SessionWorld::MutePeerConnections() {
  for (const auto& from : vms_) {
    for (const auto& to : vms_) {
      if (from != to) mute_peer_connections_.emplace(from->name, to->name);
    }
  }
}

void SessionWorld::CutPrimaryFromReplicas() {
  UpstreamId leader = primary();
  for (const auto& item : records_) {
    if (item.first != leader) Cut(leader.value(), item.first.value());
  }
}

void SessionWorld::Send(const std::string& from, const std::string& to,
                        Delivery deliver) {
  links_[{from, to}].emplace_back(now_ + kLinkLatency, std::move(deliver));
}

void SessionWorld::SendToPeer(const std::string& from, const std::string& to,
                              Delivery deliver) {
  links_[{from, to}].emplace_back(now_ + options_.peer_latency,
                                  std::move(deliver));
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
    vm->deferred_events.push_back(std::move(body));
    return;
  }
  Reduce(vm, std::move(body));
}

void SessionWorld::SendFromCaller(Caller* caller, proxy::ProxyEventBody body) {
  Vm* vm = caller->vm;
  uint64_t incarnation = caller->incarnation;
  if (options_.caller_latency == Duration()) {
    Deliver(vm, incarnation, std::move(body));
    return;
  }
  timers_.emplace(now_ + options_.caller_latency,
                  [this, vm, incarnation, body = std::move(body)] {
                    Deliver(vm, incarnation, body);
                  });
}

void SessionWorld::SendToCaller(Vm* vm, proxy::SessionNumber session,
                                std::function<void(Caller*)> action) {
  uint64_t incarnation = vm->incarnation;
  auto deliver = [vm, incarnation, session, action = std::move(action)] {
    auto found = vm->sessions.find(session.value());
    if (vm->incarnation != incarnation || found == vm->sessions.end()) return;
    action(found->second);
  };
  if (options_.caller_latency == Duration()) {
    deliver();
  } else {
    timers_.emplace(now_ + options_.caller_latency, std::move(deliver));
  }
}

void SessionWorld::Reduce(Vm* vm, proxy::ProxyEventBody body) {
  if (const auto* received = std::get_if<proxy::StatementReceived>(&body)) {
    // The close request that it crosses is its answer.
    bool is_refused = vm->closing.count(received->session.value()) != 0;
    if (!is_refused) vm->unanswered.insert(received->session.value());
  } else if (const auto* ended = std::get_if<proxy::SessionEnded>(&body)) {
    vm->unanswered.erase(ended->session.value());
    vm->closing.erase(ended->session.value());
  }
  Perform(vm, vm->reducer->Reduce(proxy::ProxyEvent{now_, std::move(body)}));
}

void SessionWorld::Perform(Vm* vm, const proxy::ProxyEffects& effects) {
  for (const proxy::ProxyEffect& effect : effects) {
    std::visit([&](const auto& e) { PerformOne(vm, e); }, effect);
  }
}

// Ends the process. Its remaining connections and calls break.
void SessionWorld::EndProcess(Vm* vm, uint64_t incarnation) {
  if (!vm->reducer || vm->incarnation != incarnation) return;
  // With a latency, a statement may have been sent that it has not read yet.
  bool has_waiting = false;
  for (const auto& item : vm->sessions) {
    has_waiting = has_waiting || item.second->is_waiting;
  }
  bool has_cut = !vm->unanswered.empty() ||
                 (has_waiting && options_.caller_latency == Duration());
  if (has_cut) Report("a VM exited during a statement");
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
  record.data_centre = DataCentre(static_cast<size_t>(index));
  vm->has_exited = false;
  vm->is_listening = true;
  vm->deferred_events.clear();
  vm->reducer =
      std::make_unique<proxy::ProxyReducer>(record, options_.proxy, random_());
  Perform(vm, vm->reducer->Start(now_));
}

void SessionWorld::KillVm(int index) {
  Vm* vm = vms_[static_cast<size_t>(index)].get();
  vm->reducer.reset();
  vm->unanswered.clear();
  vm->closing.clear();
  for (auto it = connections_.begin(); it != connections_.end();) {
    if (it->second.first != vm) {
      ++it;
      continue;
    }
    uint64_t number = it->first;
    ResetIfCut(vm, number);
    Send(vm->name, upstream_of_[number].value(), [this, number] {
      if (!IsMute(number)) database_->Close(ConnectionId(number));
    });
    connection_numbers_.erase({vm, it->second.second});
    it = connections_.erase(it);
  }
  // Connections from peers break at once. The VM may have executed calls that
  // it had received.
  for (const auto& item : call_receivers_) {
    uint64_t number = item.first;
    if (item.second != vm->name || peer_calls_.count(number) == 0) continue;
    Send(vm->name, call_senders_[number], [this, number] {
      EndPeerCall(number, PeerCallError::kBroken, PeerReplyBody());
    });
  }
  for (auto& caller : callers_) {
    if (caller->vm == vm) OnDisconnected(caller.get());
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
  if (found == connections_.end() || IsMute(number.value())) return;
  Vm* vm = found->second.first;
  ConnectionId connection = found->second.second;
  uint64_t incarnation = vm->incarnation;
  connection_numbers_.erase(found->second);
  connections_.erase(found);
  Send(upstream_of_[number.value()].value(), vm->name,
       [this, vm, incarnation, connection] {
         Deliver(vm, incarnation,
                 proxy::UpstreamClosed{connection, Outcome::kUnknown, "reset"});
       });
}

void SessionWorld::RestartUpstream(const UpstreamId& id) {
  database_->Restart(id);
  records_[id].started_ms = now_.millis();
  if (unregistered_.count(id) == 0) PutUpstream(id);
}

void SessionWorld::RestartUpstreamAs(const UpstreamId& crashed,
                                     const UpstreamId& id) {
  database_->RestartAs(crashed, id);
  RegisterAs(crashed, id);
}

void SessionWorld::RenameUpstream(const UpstreamId& id,
                                  const UpstreamId& new_id) {
  for (const DatabaseOutput& lost : database_->Rename(id, new_id)) {
    LoseConnection(lost.connection);
  }
  RegisterAs(id, new_id);
}

void SessionWorld::RegisterAs(const UpstreamId& id, const UpstreamId& new_id) {
  proxy::UpstreamRecord record = records_[id];
  record.id = new_id;
  record.started_ms = now_.millis();
  record.leaving = false;
  record.is_primary = database_->IsPrimary(new_id);
  records_[new_id] = record;
  ApplyCutsOf(new_id);
  PutUpstream(new_id);
}

void SessionWorld::AddUpstream(const UpstreamId& id) {
  proxy::UpstreamRecord& record = records_[id];
  record.id = id;
  record.group = kGroup;
  record.address = id.value();
  record.slots = kSlots;
  ApplyCutsOf(id);
  ReplaceUpstream(id);
}

void SessionWorld::ReplaceUpstream(const UpstreamId& id) {
  database_->Rebirth(id);
  records_[id].started_ms = now_.millis();
  Register(id, false);
}

VmId SessionWorld::owner() const {
  for (const auto& vm : vms_) {
    if (!vm->reducer) continue;
    const proxy::GroupOwner* group = vm->reducer->FindOwner(kGroup);
    if (group != nullptr && group->is_assigned()) return vm->id;
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
  Outcome outcome = e.outcome;
  SendToCaller(vm, e.session, [this, outcome](Caller* caller) {
    if (outcome != Outcome::kDone) {
      OnDisconnected(caller);
      return;
    }
    caller->is_greeted = true;
    caller->next_action = now_;
  });
}

void SessionWorld::PerformOne(Vm* vm, const proxy::AnswerStatement& e) {
  vm->unanswered.erase(e.session.value());
  if (e.answer.closes_session) vm->closing.insert(e.session.value());
  proxy::CallerAnswer answer = e.answer;
  SendToCaller(vm, e.session, [this, answer](Caller* caller) {
    OnAnswer(caller, answer);
    if (answer.closes_session) OnCloseRequest(caller);
  });
}

void SessionWorld::PerformOne(Vm* vm, const proxy::CloseSession& e) {
  vm->closing.insert(e.session.value());
  SendToCaller(vm, e.session,
               [this](Caller* caller) { OnCloseRequest(caller); });
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
  tenant_of_[number] = e.tenant;
  uint64_t incarnation = vm->incarnation;
  ConnectionId connection = e.connection;
  UpstreamId upstream = e.upstream;
  Send(vm->name, upstream.value(),
       [this, vm, incarnation, number, connection, upstream] {
         if (connections_.count(number) == 0) return;
         bool is_full = database_->connection_count(upstream) >=
                        static_cast<size_t>(options_.max_connections);
         if (!is_full && database_->Open(upstream, ConnectionId(number))) {
           accepted_connections_.insert(number);
           return;
         }
         Outcome outcome =
             is_full ? Outcome::kTooManyConnections : Outcome::kUnknown;
         connections_.erase(number);
         Send(upstream.value(), vm->name,
              [this, vm, incarnation, connection, outcome] {
                Deliver(vm, incarnation,
                        proxy::UpstreamClosed{connection, outcome, "refused"});
              });
       });
  timers_.emplace(now_ + e.timeout,
                  [this, vm, incarnation, number, connection] {
                    bool is_over = connections_.count(number) == 0 ||
                                   accepted_connections_.count(number) != 0;
                    if (is_over) return;
                    connections_.erase(number);
                    Deliver(vm, incarnation,
                            proxy::UpstreamClosed{connection, Outcome::kUnknown,
                                                  "no answer in time"});
                  });
}

void SessionWorld::PerformOne(Vm* vm, const proxy::SendUpstream& e) {
  auto found = connection_numbers_.find({vm, e.connection});
  if (found == connection_numbers_.end()) return;
  uint64_t number = found->second;
  for (const proxy::UpstreamCommand& command : e.commands) {
    CheckTenant(number, command.id);
    bool is_statement = command.kind == proxy::CommandKind::kVerbatim ||
                        command.kind == proxy::CommandKind::kExecute;
    if (is_statement) CountSent(vm->name, upstream_of_[number].value());
    Send(vm->name, upstream_of_[number].value(), [this, number, command] {
      if (reset_connections_.count(number) != 0) return;
      if (IsMute(number)) return;
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
  ResetIfCut(vm, number);
  Send(vm->name, upstream_of_[number].value(), [this, number] {
    if (!IsMute(number)) database_->Close(ConnectionId(number));
  });
}

// A VM resets the connections to upstreams that it closes: what waits on a cut
// link does not arrive any more.
void SessionWorld::ResetIfCut(const Vm* vm, uint64_t connection) {
  bool is_cut = IsCut(vm->name, upstream_of_[connection].value());
  if (is_cut) reset_connections_.insert(connection);
}

void SessionWorld::PerformOne(Vm* vm, const CallPeer& e) {
  uint64_t number = ++last_number_;
  uint64_t incarnation = vm->incarnation;
  CallId call = e.call;
  Vm* to = FindVm(e.to);
  if (std::get_if<proxy::StatementCall>(&e.body) != nullptr) {
    CountSent(vm->name, to->name);
  }
  auto end = [this, vm, incarnation, call](PeerCallError error,
                                           PeerReplyBody body) {
    Deliver(vm, incarnation, PeerReplied{call, error, std::move(body)});
  };
  peer_calls_[number] = end;
  call_senders_[number] = vm->name;
  VmId from = vm->id;
  PeerCallBody body = e.body;
  call_receivers_[number] = to->name;
  Link connection(vm->name, to->name);
  timers_.emplace(now_ + e.timeout, [this, number, connection] {
    bool is_unanswered = peer_calls_.count(number) != 0;
    if (is_unanswered) mute_peer_connections_.erase(connection);
    EndPeerCall(number, PeerCallError::kBroken, PeerReplyBody());
  });
  if (mute_peer_connections_.count(connection) != 0) return;
  SendToPeer(vm->name, to->name, [this, vm, to, number, from, body] {
    if (!to->reducer) {
      SendToPeer(to->name, vm->name, [this, number] {
        EndPeerCall(number, PeerCallError::kNotSent, PeerReplyBody());
      });
      return;
    }
    Deliver(to, to->incarnation, PeerCalled{HandleId(number), from, body});
  });
}

void SessionWorld::EndPeerCall(uint64_t number, PeerCallError error,
                               const PeerReplyBody& body) {
  auto found = peer_calls_.find(number);
  if (found == peer_calls_.end()) return;
  auto end = found->second;
  peer_calls_.erase(found);
  call_receivers_.erase(number);
  end(error, body);
}

void SessionWorld::PerformOne(Vm* vm, const AnswerPeer& e) {
  uint64_t number = e.handle.value();
  PeerReplyBody body = e.body;
  // The reply is sent on the connection that the call came on.
  SendToPeer(vm->name, call_senders_[number], [this, number, body] {
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
  StoreBody body = e.body;
  proxy::StoreTable table =
      std::visit([](const auto& call_body) { return call_body.table; }, body);
  store_calls_[number] = [this, vm, end,
                          table](const proxy::StoreAnswered& answer) {
    if (store_answers_to_lose_ > 0) {
      store_answers_to_lose_--;
      return;
    }
    proxy::StoreAnswered answered = answer;
    if (refused_tables_.count({vm->name, table}) != 0) {
      answered = proxy::StoreAnswered();
      answered.status = proxy::StoreStatus::kRefused;
      answered.version.era = store_.era();
    }
    Send("store", vm->name, [end, answered] { end(answered); });
  };
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
      Report("promotion token " + std::to_string(token) +
             " is below earlier token " + std::to_string(highest_token_));
    }
    highest_token_ = std::max(highest_token_, token);
    last_successor_ = upstream;
    auto status = proxy::PromotionStatus::kRefused;
    if (!refuses_promotions_) {
      status = database_->Promote(upstream, now_)
                   ? proxy::PromotionStatus::kAccepted
                   : proxy::PromotionStatus::kNotRunning;
    }
    Send("promotion", vm->name, [this, vm, incarnation, call, status] {
      Deliver(vm, incarnation, proxy::PromotionAnswered{call, status});
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

}  // namespace fireflycart::standins
