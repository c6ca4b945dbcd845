// Every event is handled by the part that it belongs to. Then what changed in
// the directory or the fleet is handed on, and parts whose time has come act.

#include "fireflycart/core/proxy/proxy_reducer.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace fireflycart::proxy {
namespace {

constexpr char kPart[] = "node";
// Time for the balancer and the callers to turn away from a stopping VM.
constexpr Duration kTurnAway = Duration::Millis(2200);
// Pause between two looks at what a stopping VM still serves.
constexpr Duration kStopStep = Duration::Millis(100);
// A stopping VM exits this long before it would be killed.
constexpr Duration kStopMargin = Duration::Millis(500);
// Part of the drain time for news of it to arrive and for work under way.
constexpr Duration kDrainMargin = Duration::Millis(1500);
// Peers that are told of a stop at once; the others learn it by probes.
constexpr size_t kStopNotices = 100;
constexpr Duration kNoticeTimeout = Duration::Millis(500);
// Pause between two changes of the fleet that come from the list of VMs.
constexpr Duration kVmsStep = Duration::Millis(200);
constexpr Duration kSnapshotTimeout = Duration::Millis(1000);
// A starting VM waits so long for the list of VMs before it serves without.
constexpr Duration kListLimit = Duration::Millis(1500);

}  // namespace

ProxyReducer::ProxyReducer(VmRecord self, const ProxyOptions& options,
                           uint64_t seed)
    : self_(self),
      options_(options),
      context_(self.vm, self.incarnation, seed),
      fleet_(self, this),
      entry_(this) {}

ProxyEffects ProxyReducer::Start(TimePoint now) {
  ProxyEffects effects;
  context_.Begin(now, &effects);
  started_ = now;
  context_.Log(LogLevel::kInfo, kPart, "started",
               {{"address", self_.address},
                {"data_centre", self_.data_centre.value()},
                {"incarnation", std::to_string(self_.incarnation)}});
  follower_.Start(self_, &context_);
  fleet_.OnWake(&context_);
  Finish(&effects);
  return effects;
}

ProxyEffects ProxyReducer::Reduce(const ProxyEvent& event) {
  ProxyEffects effects;
  bool is_due = context_.Begin(event.now, &effects);
  std::visit([this](const auto& body) { Handle(body); }, event.body);
  ApplyChanges();
  if (is_due) OnWake();
  ApplyChanges();
  Finish(&effects);
  return effects;
}

void ProxyReducer::Finish(ProxyEffects* effects) {
  for (const ProxyEffect& effect : *effects) {
    if (const auto* open = std::get_if<OpenUpstream>(&effect)) {
      connections_[open->connection.value()] = open->group;
    } else if (const auto* close = std::get_if<CloseUpstream>(&effect)) {
      connections_.erase(close->connection.value());
    }
  }
}

void ProxyReducer::OnWake() {
  follower_.OnWake(&context_);
  fleet_.OnWake(&context_);
  entry_.OnWake(&context_);
  for (auto& item : owners_) item.second->OnWake(&context_);
  StepStop();
}

void ProxyReducer::ApplyChanges() {
  bool has_new_vms = ApplyVms();
  bool has_news = has_new_vms || applied_changes_ != follower_.changes();
  if (applied_changes_ != follower_.changes()) {
    applied_changes_ = follower_.changes();
    ApplyDirectory();
  }
  if (applied_fleet_ != fleet_.version()) ApplyOwners();
  if (has_news) fleet_.NotifyContacts(&context_);
  if (has_told_hearing_ != follower_.reaches_store()) {
    has_told_hearing_ = follower_.reaches_store();
    fleet_.NotifyStoreReaders(&context_);
  }
  ConfirmFleet();
}

// Takes in the list of VMs if it changed. Many VMs start at the same moment, so
// it is done in steps; true if it was done now.
bool ProxyReducer::ApplyVms() {
  if (applied_vm_changes_ == follower_.vm_changes()) return false;
  if (context_.now() < next_vms_) {
    context_.WakeAt(next_vms_);
    return false;
  }
  next_vms_ = context_.now() + kVmsStep;
  applied_vm_changes_ = follower_.vm_changes();
  fleet_.SetVms(follower_.vms(), &context_);
  return true;
}

void ProxyReducer::ApplyDirectory() {
  const RouteTable& table = follower_.routes();
  std::vector<GroupId> groups;
  for (const auto& item : table.groups) groups.push_back(item.first);
  fleet_.SetGroups(groups);
  std::map<GroupId, std::vector<UpstreamRecord>> by_group;
  for (const auto& item : follower_.upstreams().records) {
    by_group[item.second.group].push_back(item.second);
  }
  for (auto& item : owners_) {
    auto spec = table.groups.find(item.first);
    if (spec != table.groups.end()) item.second->SetSpec(spec->second);
    item.second->SetTransactionIdleTimeout(table.transaction_idle);
    item.second->SetUpstreams(by_group[item.first], &context_);
  }
  entry_.OnRoutes(&context_);
}

void ProxyReducer::ApplyOwners() {
  applied_fleet_ = fleet_.version();
  follower_.SetReader(fleet_.IsStoreReader(), &context_);
  if (!follower_.has_upstreams() || !follower_.has_vms()) return;
  for (const auto& item : follower_.routes().groups) {
    bool is_assigned = !is_stopping_ && fleet_.OwnerOf(item.first) == self_.vm;
    bool exists = owners_.count(item.first) != 0;
    if (!is_assigned && !exists) continue;
    OwnerFor(item.first)->SetAssigned(is_assigned, &context_);
  }
}

// An owner that replaces a primary has to know that no other VM does, too.
void ProxyReducer::ConfirmFleet() {
  bool is_asked = false;
  for (auto& item : owners_) {
    if (!item.second->is_replacing_primary()) continue;
    if (!is_asked) fleet_.ProbeStaleContacts(&context_);
    is_asked = true;
    item.second->SetFleetReachable(fleet_.IsFullyReachable(context_.now()),
                                   &context_);
  }
}

GroupOwner* ProxyReducer::OwnerFor(const GroupId& group) {
  auto found = owners_.find(group);
  if (found != owners_.end()) return found->second.get();
  const RouteTable& table = follower_.routes();
  auto spec = table.groups.find(group);
  if (spec == table.groups.end() || !follower_.has_upstreams()) return nullptr;
  std::vector<UpstreamRecord> records;
  for (const auto& item : follower_.upstreams().records) {
    if (item.second.group == group) records.push_back(item.second);
  }
  StatementReplyHandler* results = this;
  auto owner = std::make_unique<GroupOwner>(spec->second, results);
  owner->SetTransactionIdleTimeout(table.transaction_idle);
  owner->SetDrainLimit(options_.drain_time() - kDrainMargin);
  owner->SetUpstreams(records, &context_);
  GroupOwner* created = owner.get();
  owners_[group] = std::move(owner);
  return created;
}

GroupOwner* ProxyReducer::OwnerOfConnection(ConnectionId connection) {
  auto found = connections_.find(connection.value());
  if (found == connections_.end()) return nullptr;
  auto owner = owners_.find(found->second);
  return owner == owners_.end() ? nullptr : owner->second.get();
}

const GroupOwner* ProxyReducer::FindOwner(const GroupId& group) const {
  auto found = owners_.find(group);
  return found == owners_.end() ? nullptr : found->second.get();
}

bool ProxyReducer::is_ready() const {
  bool knows_peers =
      follower_.has_vms() || context_.now() - started_ > kListLimit;
  return !is_stopping_ && follower_.routes().version != 0 &&
         follower_.has_upstreams() && knows_peers;
}

ProxyGauges ProxyReducer::gauges() const {
  ProxyGauges gauges;
  gauges.sessions = static_cast<int64_t>(entry_.size());
  gauges.open_statements = static_cast<int64_t>(entry_.open_statements());
  for (const auto& item : owners_) {
    const GroupOwner& owner = *item.second;
    if (owner.is_active()) gauges.owned_groups++;
    gauges.owner_statements += static_cast<int64_t>(owner.work_count());
    gauges.owner_transactions +=
        static_cast<int64_t>(owner.open_transactions());
    gauges.upstream_connections +=
        static_cast<int64_t>(owner.connection_count());
  }
  gauges.vms = static_cast<int64_t>(fleet_.size()) + 1;
  gauges.vms_down = static_cast<int64_t>(fleet_.down_count());
  gauges.routes_version = follower_.routes().version;
  gauges.is_ready = is_ready();
  gauges.follows_store = follower_.is_reader();
  return gauges;
}

void ProxyReducer::Handle(const WakeUp& event) { (void)event; }

void ProxyReducer::Handle(const CallerStarted& event) {
  entry_.OnStarted(event.session, event.database, &context_);
}

void ProxyReducer::Handle(const CallerSent& event) {
  entry_.OnStatement(event.session, event.statement, &context_);
}

void ProxyReducer::Handle(const CallerEnded& event) {
  entry_.OnEnded(event.session, &context_);
  forwarder_.Forget(event.session);
}

void ProxyReducer::Handle(const UpstreamOpened& event) {
  GroupOwner* owner = OwnerOfConnection(event.connection);
  if (owner != nullptr) owner->OnOpened(event, &context_);
}

void ProxyReducer::Handle(const UpstreamClosed& event) {
  GroupOwner* owner = OwnerOfConnection(event.connection);
  connections_.erase(event.connection.value());
  if (owner != nullptr) owner->OnClosed(event, &context_);
}

void ProxyReducer::Handle(const UpstreamAnswered& event) {
  GroupOwner* owner = OwnerOfConnection(event.connection);
  if (owner != nullptr) owner->OnAnswered(event, &context_);
}

void ProxyReducer::Handle(const PeerCalled& event) {
  std::visit(
      [&](const auto& call) { OnPeerCall(event.handle, event.from, call); },
      event.body);
}

void ProxyReducer::Handle(const PeerReplied& event) {
  if (fleet_.OnReply(event, &context_)) return;
  if (snapshot_ != CallId() && event.call == snapshot_) {
    snapshot_ = CallId();
    const auto* body = std::get_if<SnapshotReply>(&event.body);
    if (body != nullptr) follower_.OnSnapshot(*body, &context_);
    AskAhead();
    return;
  }
  Forwarder::Result result = forwarder_.OnReply(event, &context_);
  if (!result.is_mine) return;
  if (result.has_failed) {
    fleet_.OnCallFailed(result.vm, &context_);
  } else {
    fleet_.OnCallAnswered(result.vm, &context_);
    if (result.reply.is_leaving) fleet_.OnLeaving(result.vm, &context_);
  }
  if (result.next == Forwarder::Next::kRepeat) {
    Route(result.session, std::move(result.call));
  } else {
    entry_.OnReply(result.session, std::move(result.reply), &context_);
  }
}

void ProxyReducer::Handle(const StoreAnswered& event) {
  if (follower_.OnStore(event, &context_)) return;
  for (auto& item : owners_) {
    if (item.second->OnStore(event, &context_)) return;
  }
}

void ProxyReducer::Handle(const PromotionAnswered& event) {
  for (auto& item : owners_) {
    if (item.second->OnPromotion(event, &context_)) return;
  }
}

void ProxyReducer::Handle(const StopRequested& event) {
  (void)event;
  if (is_stopping_) return;
  is_stopping_ = true;
  stop_started_ = context_.now();
  context_.Log(LogLevel::kInfo, kPart, "stopping",
               {{"sessions", std::to_string(entry_.size())}});
  fleet_.Leave();
  size_t told = 0;
  for (const VmRecord& vm : fleet_.Records()) {
    if (vm.vm == self_.vm || !fleet_.IsUsable(vm.vm)) continue;
    if (++told > kStopNotices) break;
    context_.Emit(CallPeer{context_.NextCall(), vm.vm, vm.address,
                           kNoticeTimeout, FreshnessCall{MakeHeartbeat()}});
  }
  context_.WakeAt(context_.now() + kStopStep);
}

void ProxyReducer::StepStop() {
  if (!is_stopping_ || has_exited_) return;
  context_.WakeAt(context_.now() + kStopStep);
  Duration passed = context_.now() - stop_started_;
  Duration half = Duration::Millis(options_.stop_limit().millis() / 2);
  if (passed >= kTurnAway && !has_left_) {
    has_left_ = true;
    entry_.Leave(&context_);
  }
  if (passed >= half && !has_aborted_) {
    has_aborted_ = true;
    entry_.AbortTransactions(&context_);
  }
  bool is_busy = entry_.size() != 0;
  std::string busy_groups;
  for (const auto& item : owners_) {
    const GroupOwner& owner = *item.second;
    bool has_work = owner.work_count() != 0 || owner.open_transactions() != 0 ||
                    owner.is_replacing_primary();
    if (has_work) busy_groups += item.first.value() + " ";
    is_busy = is_busy || has_work;
  }
  bool is_over = passed >= options_.stop_limit() - kStopMargin;
  bool is_done = !is_busy && passed >= kTurnAway;
  // The balancer may send callers to the end if it has no better VM. Those that
  // were accepted are served, so the last look comes after the listener closed.
  bool stops_listening = is_over || is_done || passed >= half;
  if (stops_listening && !has_stopped_listening_) {
    has_stopped_listening_ = true;
    context_.Emit(StopListening{});
    return;
  }
  if (!is_over && !is_done) return;
  has_exited_ = true;
  context_.Log(LogLevel::kInfo, kPart, "stopped",
               {{"took_ms", std::to_string(passed.millis())},
                {"sessions", std::to_string(entry_.size())},
                {"busy_groups", busy_groups}});
  context_.Emit(Exit{});
}

VmId ProxyReducer::VmFor(SessionNumber session, const StatementCall& call) {
  bool continues =
      call.transaction != TransactionKind::kNone && !call.opens_transaction;
  if (continues) return forwarder_.PinOf(session);
  VmId vm = fleet_.OwnerOf(call.group);
  if (call.opens_transaction) forwarder_.Pin(session, vm);
  return vm;
}

void ProxyReducer::Route(SessionNumber session, StatementCall call) {
  VmId vm = VmFor(session, call);
  if (vm == self_.vm || vm == VmId()) {
    WorkOrigin origin;
    origin.session = session;
    GroupOwner* owner = OwnerFor(call.group);
    if (owner != nullptr) {
      owner->Submit(std::move(call), origin, &context_);
      return;
    }
    StatementReply refused;
    refused.outcome = Outcome::kBusy;
    refused.detail = "group is not known here";
    entry_.OnReply(session, std::move(refused), &context_);
    return;
  }
  fleet_.OnCallSent(vm, &context_);
  forwarder_.Send(session, std::move(call), vm, fleet_.AddressOf(vm),
                  &context_);
}

void ProxyReducer::RouteEnd(const EndTransactionCall& call) {
  VmId vm = forwarder_.PinOf(call.session.session);
  if (vm == self_.vm || vm == VmId()) {
    GroupOwner* owner = OwnerFor(call.group);
    if (owner == nullptr) return;
    owner->EndTransaction(TransactionKey{call.session, call.transaction_number},
                          &context_);
    return;
  }
  context_.Emit(CallPeer{context_.NextCall(), vm, fleet_.AddressOf(vm),
                         kNoticeTimeout, call});
}

void ProxyReducer::RouteWithdraw(const WithdrawCall& call) {
  VmId vm = fleet_.OwnerOf(call.group);
  if (vm == self_.vm) {
    GroupOwner* owner = OwnerFor(call.group);
    if (owner != nullptr) owner->CancelQueued(call.session, call.id, &context_);
    return;
  }
  context_.Emit(CallPeer{context_.NextCall(), vm, fleet_.AddressOf(vm),
                         kNoticeTimeout, call});
}

void ProxyReducer::OnStatementDone(const WorkOrigin& origin,
                                   StatementReply reply) {
  reply.is_leaving = is_stopping_;
  if (origin.is_local) {
    entry_.OnReply(origin.session, std::move(reply), &context_);
  } else {
    context_.Emit(AnswerPeer{origin.handle, std::move(reply)});
  }
}

Freshness ProxyReducer::MakeHeartbeat() const {
  Freshness freshness;
  freshness.known = follower_.known();
  freshness.store_age = follower_.store_age(context_.now());
  freshness.hears_store = follower_.reaches_store();
  freshness.is_leaving = is_stopping_;
  return freshness;
}

void ProxyReducer::OnPeerHeartbeat(const VmId& vm, const Freshness& freshness) {
  follower_.OnPeerStoreAge(freshness.store_age, &context_);
  if (!freshness.known.IsAheadOf(follower_.known())) return;
  ahead_ = vm;
  AskAhead();
}

void ProxyReducer::AskAhead() {
  if (snapshot_ != CallId() || ahead_ == VmId()) return;
  std::string address = fleet_.AddressOf(ahead_);
  if (!address.empty()) {
    snapshot_ = context_.NextCall();
    context_.Emit(CallPeer{snapshot_, ahead_, address, kSnapshotTimeout,
                           SnapshotCall{follower_.known()}});
  }
  ahead_ = VmId();
}

void ProxyReducer::OnPeerCall(HandleId handle, const VmId& from,
                              const StatementCall& call) {
  (void)from;
  WorkOrigin origin;
  origin.is_local = false;
  origin.handle = handle;
  GroupOwner* owner = OwnerFor(call.group);
  if (owner == nullptr) {
    StatementReply moved;
    moved.is_moved = true;
    context_.Emit(AnswerPeer{handle, moved});
    return;
  }
  owner->Submit(call, origin, &context_);
}

void ProxyReducer::OnPeerCall(HandleId handle, const VmId& from,
                              const EndTransactionCall& call) {
  (void)from;
  GroupOwner* owner = OwnerFor(call.group);
  if (owner != nullptr) {
    owner->EndTransaction(TransactionKey{call.session, call.transaction_number},
                          &context_);
  }
  context_.Emit(AnswerPeer{handle, EndTransactionReply()});
}

void ProxyReducer::OnPeerCall(HandleId handle, const VmId& from,
                              const WithdrawCall& call) {
  (void)from;
  GroupOwner* owner = OwnerFor(call.group);
  if (owner != nullptr) owner->CancelQueued(call.session, call.id, &context_);
  context_.Emit(AnswerPeer{handle, WithdrawReply()});
}

void ProxyReducer::OnPeerCall(HandleId handle, const VmId& from,
                              const FreshnessCall& call) {
  context_.Emit(AnswerPeer{handle, FreshnessReply{MakeHeartbeat()}});
  fleet_.OnHeartbeat(from, call.freshness, &context_);
}

void ProxyReducer::OnPeerCall(HandleId handle, const VmId& from,
                              const SnapshotCall& call) {
  (void)from;
  SnapshotReply reply;
  if (follower_.routes().version > call.known.routes) {
    reply.routes = follower_.routes();
  }
  if (follower_.upstreams().version > call.known.upstreams) {
    reply.upstreams = follower_.upstreams();
  }
  if (follower_.vms().version > call.known.vms) {
    reply.vms = follower_.VmsAfter(call.known.vms);
  }
  context_.Emit(AnswerPeer{handle, std::move(reply)});
}

template <typename T>
void ProxyReducer::OnPeerCall(HandleId handle, const VmId& from,
                              const T& call) {
  // Calls of VMs that serve HTTP callers only; they get no answer.
  (void)handle;
  (void)call;
  context_.Log(LogLevel::kWarning, kPart, "peer_call_ignored",
               {{"peer", from.value()}});
}

}  // namespace fireflycart::proxy
