// Each event goes to the component that it belongs to. Then changes of routes,
// upstreams, VMs or the fleet are passed on to the components that depend on
// them, and if a wake-up is due, every component runs its timers.

#include "fireflycart/core/proxy/proxy_reducer.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace fireflycart::proxy {
namespace {

constexpr char kPart[] = "node";
// Time that the load balancer and the callers need to move to other VMs.
constexpr Duration kTrafficShiftTime = Duration::Millis(2200);
// Period at which a stopping VM checks for remaining work.
constexpr Duration kStopCheckPeriod = Duration::Millis(100);
// A stopping VM exits this long before the stop limit, to avoid being killed.
constexpr Duration kStopMargin = Duration::Millis(500);
// A stopping VM begins no operation within this time before the exit, so that
// most of those that it has accepted can end. Until then it serves the callers
// that the load balancer sends it for lack of a better VM.
constexpr Duration kLastOperationMargin = Duration::Millis(1000);
// What still waits in a queue this long before the exit is returned, so that
// other owners can run it or its caller can repeat it.
constexpr Duration kReturnQueuedMargin = Duration::Millis(400);
// Part of the drain time reserved for the announcement to reach this VM and for
// running statements to finish.
constexpr Duration kDrainMargin = Duration::Millis(1500);
// Number of peers that are notified of a stop at once; the others detect it by
// their probes.
constexpr size_t kMaxStopNotices = 100;
constexpr Duration kNoticeTimeout = Duration::Millis(500);
constexpr Duration kEvidenceTimeout = Duration::Millis(500);
// Shortest time between two updates of the fleet from the list of VMs.
constexpr Duration kFleetUpdateInterval = Duration::Millis(200);
// Time that a starting VM waits for the list of VMs; after that it becomes
// ready without the list.
constexpr Duration kVmListTimeout = Duration::Millis(1500);

}  // namespace

ProxyReducer::ProxyReducer(VmRecord self, const ProxyOptions& options,
                           uint64_t seed)
    : self_(self),
      options_(options),
      context_(self.vm, self.incarnation, seed),
      follower_(RoutesAge(options.apply_limit(), options.key_age_limit())),
      fleet_(self, this),
      session_manager_(this, options.session_state_limit()),
      traffic_(self_.data_centre) {}

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
  TrackConnections(&effects);
  return effects;
}

ProxyEffects ProxyReducer::Reduce(const ProxyEvent& event) {
  ProxyEffects effects;
  bool is_due = context_.Begin(event.now, &effects);
  std::visit([this](const auto& body) { Handle(body); }, event.body);
  SubmitDecided();
  ApplyChanges();
  // After the changes: an owner must not take its old records for confirmed.
  for (auto& item : owners_) {
    item.second->SetListTime(follower_.upstreams_confirmed_at());
  }
  for (auto& item : readers_) {
    item.second->SetListTime(follower_.upstreams_confirmed_at());
  }
  if (is_due) OnWake();
  ApplyChanges();
  SubmitDecided();
  TrackConnections(&effects);
  return effects;
}

void ProxyReducer::TrackConnections(ProxyEffects* effects) {
  for (const ProxyEffect& effect : *effects) {
    CountTraffic(effect);
    if (const auto* open = std::get_if<OpenUpstream>(&effect)) {
      ConnectionPlace place;
      place.group = open->group;
      auto record = follower_.upstreams().records.find(open->upstream);
      if (record != follower_.upstreams().records.end()) {
        place.data_centre = record->second.data_centre;
      }
      connections_[open->connection.value()] = place;
    } else if (const auto* close = std::get_if<CloseUpstream>(&effect)) {
      connections_.erase(close->connection.value());
    }
  }
}

void ProxyReducer::CountTraffic(const ProxyEffect& effect) {
  if (const auto* call = std::get_if<CallPeer>(&effect)) {
    const auto* statement = std::get_if<StatementCall>(&call->body);
    if (statement == nullptr) return;
    traffic_.OnSent(fleet_.DataCentreOf(call->to), statement->text.size());
  } else if (const auto* send = std::get_if<SendUpstream>(&effect)) {
    auto found = connections_.find(send->connection.value());
    if (found == connections_.end()) return;
    for (const UpstreamCommand& command : send->commands) {
      if (command.id == StatementId()) continue;
      traffic_.OnSent(found->second.data_centre, command.text.size());
    }
  }
}

void ProxyReducer::OnWake() {
  follower_.OnWake(&context_);
  fleet_.OnWake(&context_);
  snapshots_.Ask(follower_.known(), &context_);
  // A reader whose calls are answered knows best.
  bool asks_peers = follower_.routes_age().has_limit() &&
                    !(follower_.follows_store() &&
                      follower_.routes_age().IsYoung(context_.now()));
  if (asks_peers) {
    routes_age_inquiry_.OnWake(follower_.routes_age(), fleet_, &context_);
  }
  CheckKeys();
  UpdateLimits();
  limit_keeper_.OnWake(&context_);
  session_manager_.OnWake(&context_);
  for (auto& item : owners_) item.second->OnWake(&context_);
  for (auto& item : readers_) item.second->OnWake(&context_);
  AdvanceStop();
}

void ProxyReducer::ApplyChanges() {
  // First, so that owners know of it before they use the new lists.
  bool has_new_era = ApplyEra();
  bool has_new_vms = ApplyVms();
  bool has_changes =
      has_new_era || has_new_vms || applied_changes_ != follower_.changes();
  if (applied_changes_ != follower_.changes()) {
    applied_changes_ = follower_.changes();
    ApplyRoutesAndUpstreams();
  }
  if (applied_fleet_version_ != fleet_.version()) ApplyPlacement();
  if (has_changes) fleet_.NotifyContacts(&context_);
  if (announced_reaches_store_ != follower_.reaches_store()) {
    announced_reaches_store_ = follower_.reaches_store();
    fleet_.NotifyStoreReaders(&context_);
  }
  CheckFleetReachability();
}

// Tells the owners that the store was restored, if it was; true if so.
bool ProxyReducer::ApplyEra() {
  if (applied_era_ == follower_.era()) return false;
  applied_era_ = follower_.era();
  if (follower_.restored_at() == TimePoint()) return false;
  for (auto& item : owners_) {
    item.second->OnStoreRestored(applied_era_, follower_.restored_at());
  }
  return true;
}

// Applies the list of VMs if it changed; returns true if it was applied. Many
// VMs start at the same moment, so changes are applied in batches.
bool ProxyReducer::ApplyVms() {
  if (applied_vm_changes_ == follower_.vm_changes()) return false;
  if (context_.now() < next_fleet_update_) {
    context_.WakeAt(next_fleet_update_);
    return false;
  }
  next_fleet_update_ = context_.now() + kFleetUpdateInterval;
  applied_vm_changes_ = follower_.vm_changes();
  fleet_.SetVms(follower_.vms(), &context_);
  std::vector<VmId> vms = {self_.vm};
  for (const auto& item : follower_.vms().records) vms.push_back(item.first);
  limit_keeper_.SetVms(vms, &context_);
  return true;
}

void ProxyReducer::ApplyRoutesAndUpstreams() {
  const RouteTable& table = follower_.routes();
  std::vector<GroupId> groups;
  for (const auto& item : table.groups) groups.push_back(item.first);
  fleet_.SetGroups(groups);
  std::map<GroupId, std::vector<UpstreamRecord>> by_group;
  nearby_groups_.clear();
  for (const auto& item : follower_.upstreams().records) {
    by_group[item.second.group].push_back(WithTimes(item.second));
    if (GroupReader::IsUsable(item.second, self_.data_centre)) {
      nearby_groups_.insert(item.second.group);
    }
  }
  for (auto& item : readers_) {
    auto spec = table.groups.find(item.first);
    if (spec != table.groups.end()) item.second->SetSpec(spec->second);
    item.second->SetUpstreams(by_group[item.first], &context_);
  }
  for (auto& item : owners_) {
    auto spec = table.groups.find(item.first);
    if (spec != table.groups.end()) item.second->SetSpec(spec->second);
    item.second->SetTransactionIdleTimeout(table.transaction_idle_timeout);
    item.second->SetUpstreams(by_group[item.first], &context_);
  }
  session_manager_.OnRoutes(&context_);
}

void ProxyReducer::ApplyPlacement() {
  applied_fleet_version_ = fleet_.version();
  follower_.SetReaders(fleet_.store_readers(), &context_);
  UpdateLimits();
  if (!follower_.has_upstreams() || !follower_.has_vms()) return;
  for (const auto& item : follower_.routes().groups) {
    bool is_assigned = !is_stopping_ && fleet_.OwnerOf(item.first) == self_.vm;
    bool exists = owners_.count(item.first) != 0;
    if (!is_assigned && !exists) continue;
    GroupOwner* owner = OwnerFor(item.first);
    if (options_.reads_nearby()) {
      owner->SetReaderDataCentres(fleet_.data_centres());
    }
    owner->SetAssigned(is_assigned, &context_);
  }
}

void ProxyReducer::UpdateLimits() {
  const RouteTable& table = follower_.routes();
  if (limits_version_ != table.version) {
    limits_version_ = table.version;
    limit_keeper_.SetTenants(table.tenants.tenants(), &context_);
  }
  if (!table.has_tenants) return;
  LimitKeeper::View view;
  view.lender = fleet_.limits_lender();
  view.lender_address = fleet_.AddressOf(view.lender);
  view.groups = table.groups.size();
  // Without the list, a VM would take itself for the only one.
  bool knows_fleet = follower_.has_upstreams() && follower_.has_vms();
  for (const auto& item : table.groups) {
    bool is_own =
        knows_fleet && !is_stopping_ && fleet_.OwnerOf(item.first) == self_.vm;
    if (is_own) view.owned.insert(item.first);
  }
  bool hears_store = follower_.store_reader() == self_.vm &&
                     follower_.store_age(context_.now()) <= Fleet::kInTouchAge;
  view.is_in_touch =
      knows_fleet && (hears_store || fleet_.IsInTouch(context_.now()));
  limit_keeper_.SetView(view, &context_);
}

// An owner that replaces a primary needs confirmation that no other VM is doing
// the same, and one whose list of upstreams is old that no other VM has a newer
// one.
void ProxyReducer::CheckFleetReachability() {
  bool has_requested = false;
  for (auto& item : owners_) {
    if (!item.second->needs_fleet_check(context_.now())) continue;
    if (!has_requested) fleet_.ProbeStaleContacts(&context_);
    has_requested = true;
    item.second->SetFleetReachable(fleet_.IsFullyReachable(context_.now()),
                                   &context_);
  }
}

UpstreamRecord ProxyReducer::WithTimes(UpstreamRecord record) const {
  record.known_since = follower_.upstream_times().KnownSince(record.id);
  record.leaving_since = follower_.upstream_times().LeavingSince(record.id);
  return record;
}

GroupOwner* ProxyReducer::OwnerFor(const GroupId& group) {
  auto found = owners_.find(group);
  if (found != owners_.end()) return found->second.get();
  const RouteTable& table = follower_.routes();
  auto spec = table.groups.find(group);
  if (spec == table.groups.end() || !follower_.has_upstreams()) return nullptr;
  std::vector<UpstreamRecord> records;
  for (const auto& item : follower_.upstreams().records) {
    if (item.second.group == group) records.push_back(WithTimes(item.second));
  }
  StatementReplyHandler* reply_handler = this;
  auto owner = std::make_unique<GroupOwner>(spec->second, reply_handler);
  owner->SetTransactionIdleTimeout(table.transaction_idle_timeout);
  owner->SetDrainLimit(options_.drain_time() - kDrainMargin);
  if (options_.reads_nearby()) owner->SetDataCentre(self_.data_centre);
  if (follower_.restored_at() != TimePoint()) {
    owner->OnStoreRestored(follower_.era(), follower_.restored_at());
  }
  if (options_.reads_nearby()) {
    owner->SetReaderDataCentres(fleet_.data_centres());
  }
  owner->SetListTime(follower_.upstreams_confirmed_at());
  owner->SetUpstreams(records, &context_);
  GroupOwner* created = owner.get();
  owners_[group] = std::move(owner);
  return created;
}

GroupOwner* ProxyReducer::OwnerOfConnection(ConnectionId connection) {
  auto found = connections_.find(connection.value());
  if (found == connections_.end()) return nullptr;
  auto owner = owners_.find(found->second.group);
  return owner == owners_.end() ? nullptr : owner->second.get();
}

const GroupOwner* ProxyReducer::FindOwner(const GroupId& group) const {
  auto found = owners_.find(group);
  return found == owners_.end() ? nullptr : found->second.get();
}

bool ProxyReducer::is_ready() const {
  bool has_peers =
      follower_.has_vms() || context_.now() - started_ > kVmListTimeout;
  return !is_stopping_ && follower_.routes().version != 0 &&
         follower_.has_upstreams() && has_peers && HasCurrentKeys();
}

bool ProxyReducer::HasCurrentKeys() const {
  return follower_.routes_age().MayServeKeys(context_.now());
}

std::optional<Duration> ProxyReducer::CurrentRoutesAge() const {
  const RoutesAge& age = follower_.routes_age();
  if (!age.has_limit() || !age.is_confirmed()) return std::nullopt;
  return age.Age(context_.now());
}

// Records from when to when callers with keys are refused.
void ProxyReducer::CheckKeys() {
  bool has_current_keys = HasCurrentKeys();
  if (has_current_keys == had_current_keys_) return;
  had_current_keys_ = has_current_keys;
  std::optional<Duration> age = CurrentRoutesAge();
  context_.Log(LogLevel::kWarning, kPart,
               has_current_keys ? "keys_current" : "keys_out_of_date",
               {{"age_ms", age ? std::to_string(age->millis()) : "unknown"},
                {"limit_ms", std::to_string(options_.key_age_limit().millis())},
                {"reaches_store", follower_.reaches_store() ? "yes" : "no"}});
}

ProxyGauges ProxyReducer::gauges() const {
  ProxyGauges gauges;
  gauges.sessions = static_cast<int64_t>(session_manager_.size());
  gauges.open_statements =
      static_cast<int64_t>(session_manager_.open_statements());
  for (const auto& item : owners_) {
    const GroupOwner& owner = *item.second;
    if (owner.is_active()) gauges.owned_groups++;
    if (owner.is_awaiting_upstream()) gauges.groups_awaiting_upstream++;
    gauges.owner_statements += static_cast<int64_t>(owner.work_count());
    gauges.owner_transactions +=
        static_cast<int64_t>(owner.open_transactions());
    gauges.upstream_connections +=
        static_cast<int64_t>(owner.connection_count());
    gauges.connections.Add(owner.connections());
    gauges.statements_found_connection += owner.started_at_once();
    gauges.statements_awaited_connection += owner.started_after_wait();
  }
  for (const auto& item : readers_) {
    gauges.reader_statements += static_cast<int64_t>(item.second->work_count());
    gauges.upstream_connections +=
        static_cast<int64_t>(item.second->connection_count());
  }
  gauges.inside_data_centre = traffic_.inside();
  gauges.leaving_data_centre = traffic_.leaving();
  gauges.vms = static_cast<int64_t>(fleet_.size()) + 1;
  gauges.vms_down = static_cast<int64_t>(fleet_.down_count());
  gauges.routes_version = follower_.routes().version;
  gauges.is_ready = is_ready();
  gauges.follows_store = follower_.follows_store();
  gauges.store_age = follower_.store_age(context_.now());
  gauges.routes_age = CurrentRoutesAge().value_or(Duration());
  gauges.has_current_keys = HasCurrentKeys();
  gauges.refused_by_limit = limit_keeper_.refused();
  return gauges;
}

void ProxyReducer::Handle(const WakeUp& event) { (void)event; }

void ProxyReducer::Handle(const SessionStarted& event) {
  session_manager_.OnStarted(event.session, event.database, event.key,
                             &context_);
}

void ProxyReducer::Handle(const StatementReceived& event) {
  session_manager_.OnStatement(event.session, event.statement, &context_);
}

void ProxyReducer::Handle(const SessionEnded& event) {
  session_manager_.OnEnded(event.session, &context_);
  forwarder_.OnSessionEnded(event.session);
}

void ProxyReducer::Handle(const UpstreamOpened& event) {
  if (GroupReader* reader = ReaderOfConnection(event.connection)) {
    reader->OnOpened(event, &context_);
    return;
  }
  GroupOwner* owner = OwnerOfConnection(event.connection);
  if (owner != nullptr) owner->OnOpened(event, &context_);
}

void ProxyReducer::Handle(const UpstreamClosed& event) {
  GroupReader* reader = ReaderOfConnection(event.connection);
  GroupOwner* owner = OwnerOfConnection(event.connection);
  connections_.erase(event.connection.value());
  if (reader != nullptr) {
    reader->OnClosed(event, &context_);
    return;
  }
  if (owner != nullptr) owner->OnClosed(event, &context_);
}

void ProxyReducer::Handle(const UpstreamAnswered& event) {
  auto place = connections_.find(event.connection.value());
  if (place != connections_.end()) {
    traffic_.OnRows(place->second.data_centre, event.answer.rows);
  }
  if (GroupReader* reader = ReaderOfConnection(event.connection)) {
    reader->OnAnswered(event, &context_);
    return;
  }
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
  if (OnEvidenceReply(event)) return;
  if (snapshots_.OnReply(event)) {
    OnSnapshotAnswered(event.error);
    return;
  }
  if (routes_age_inquiry_.OnReply(event, follower_.routes_age(), &context_)) {
    OnRoutesAgeAnswered();
    return;
  }
  if (limit_keeper_.OnReply(event, &context_)) {
    const VmId& silent = limit_keeper_.silent_lender();
    if (silent != VmId()) fleet_.Check(silent, &context_);
    return;
  }
  Forwarder::Result result = forwarder_.OnReply(event, &context_);
  if (!result.is_own_call) return;
  traffic_.OnRows(fleet_.DataCentreOf(result.vm), result.reply.rows);
  if (result.has_call_failed) {
    fleet_.OnCallFailed(result.vm, &context_);
  } else if (result.is_misdirected) {
    fleet_.OnMisdirected(result.vm, &context_);
  } else {
    fleet_.OnCallAnswered(result.vm, &context_);
    if (result.reply.is_leaving) fleet_.OnLeaving(result.vm, &context_);
  }
  if (!session_manager_.Has(result.session)) {
    // Its caller left, so nothing would end what a repeat begins.
    forwarder_.OnSessionEnded(result.session);
    return;
  }
  if (result.action == Forwarder::Action::kRetry) {
    session_manager_.OnRepeat(result.session, &result.call);
    RouteToOwner(result.session, std::move(result.call));
  } else {
    session_manager_.OnReply(result.session, std::move(result.reply),
                             &context_);
  }
}

void ProxyReducer::OnRoutesAgeAnswered() {
  const RoutesAgeInquiry::Answer& answer = routes_age_inquiry_.answer();
  if (!routes_age_inquiry_.has_answer()) {
    fleet_.Check(answer.peer, &context_);
    return;
  }
  follower_.OnPeerRoutesAge(answer.reply.routes, answer.reply.age,
                            answer.asked_at);
  KnownVersions versions;
  versions.routes = answer.reply.routes;
  snapshots_.OnPeerAhead(answer.peer, fleet_.AddressOf(answer.peer), versions);
  snapshots_.Ask(follower_.known(), &context_);
}

void ProxyReducer::OnSnapshotAnswered(PeerCallError error) {
  const SnapshotInquiry::Answer& answer = snapshots_.answer();
  if (answer.has_reply) {
    follower_.OnSnapshot(answer.reply, answer.asked_at, &context_);
  } else {
    Duration took = context_.now() - answer.asked_at;
    context_.Log(
        LogLevel::kWarning, kPart, "snapshot_failed",
        {{"peer", answer.peer.value()},
         {"was_sent", error == PeerCallError::kNotSent ? "no" : "yes"},
         {"took_ms", std::to_string(took.millis())},
         {"routes_version", std::to_string(follower_.routes().version)}});
  }
  snapshots_.Ask(follower_.known(), &context_);
}

void ProxyReducer::Handle(const StoreAnswered& event) {
  if (follower_.OnStore(event, &context_)) return;
  if (limit_keeper_.OnStore(event, &context_)) return;
  follower_.OnEra(event.version.era, "store", &context_);
  if (ApplyEra()) fleet_.NotifyContacts(&context_);
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
               {{"sessions", std::to_string(session_manager_.size())}});
  fleet_.Leave();
  size_t notified = 0;
  for (const VmRecord& vm : fleet_.Records()) {
    if (vm.vm == self_.vm || !fleet_.IsUsable(vm.vm)) continue;
    if (++notified > kMaxStopNotices) break;
    context_.Emit(CallPeer{context_.NextCall(), vm.vm, vm.address,
                           kNoticeTimeout, HeartbeatCall{MakeHeartbeat()}});
  }
  context_.WakeAt(context_.now() + kStopCheckPeriod);
}

// A planned stop has a fixed schedule. Each stage accepts less than the one
// before, so that nothing is left unanswered when the process exits.
void ProxyReducer::AdvanceStop() {
  if (!is_stopping_ || has_exited_) return;
  context_.WakeAt(context_.now() + kStopCheckPeriod);
  Duration elapsed = context_.now() - stop_started_;
  Duration exit_at = options_.stop_limit() - kStopMargin;
  if (elapsed >= kTrafficShiftTime && !has_started_draining_) {
    has_started_draining_ = true;
    session_manager_.StartDraining(&context_);
  }
  if (elapsed >= exit_at - kLastOperationMargin && !refuses_operations_) {
    refuses_operations_ = true;
    session_manager_.RefuseOperations(&context_);
  }
  if (elapsed >= exit_at - kReturnQueuedMargin) {
    // Again at each check, since a statement that an upstream refuses is queued
    // again.
    returns_queued_ = true;
    for (auto& item : owners_) item.second->EndForStop(&context_);
    for (auto& item : readers_) item.second->ReturnQueued(&context_);
    session_manager_.CancelQueued(&context_);
  }
  std::string busy_groups;
  bool is_done =
      elapsed >= kTrafficShiftTime && !IsBusyWhileStopping(&busy_groups);
  bool is_time_up = elapsed >= exit_at;
  // The load balancer may send callers until the end if it has no better VM.
  // Accepted callers are served, so the last check for remaining work comes
  // after the listener was closed.
  bool stops_listening = is_time_up || is_done || refuses_operations_;
  if (stops_listening && !has_stopped_listening_) {
    has_stopped_listening_ = true;
    context_.Emit(StopListening{});
    return;
  }
  if (!is_time_up && !is_done) return;
  has_exited_ = true;
  session_manager_.LogUnanswered(stop_started_, &context_);
  session_manager_.AnswerAll(&context_);
  context_.Log(LogLevel::kInfo, kPart, "stopped",
               {{"took_ms", std::to_string(elapsed.millis())},
                {"sessions", std::to_string(session_manager_.size())},
                {"busy_groups", busy_groups}});
  context_.Emit(Exit{});
}

bool ProxyReducer::IsBusyWhileStopping(std::string* busy_groups) const {
  for (const auto& item : owners_) {
    const GroupOwner& owner = *item.second;
    bool has_work = owner.work_count() != 0 || owner.open_transactions() != 0 ||
                    owner.is_replacing_primary();
    if (has_work) *busy_groups += item.first.value() + " ";
  }
  for (const auto& item : readers_) {
    bool has_work = item.second->work_count() != 0;
    if (has_work) *busy_groups += item.first.value() + " ";
  }
  return !busy_groups->empty() || limit_keeper_.waiting_count() != 0 ||
         session_manager_.size() != 0 ||
         session_manager_.IsAwaitingClose(context_.now());
}

VmId ProxyReducer::TargetVm(SessionNumber session, const StatementCall& call) {
  bool is_continuation =
      call.transaction != TransactionKind::kNone && !call.opens_transaction;
  if (is_continuation) return forwarder_.PinnedVm(session);
  VmId vm = fleet_.OwnerOf(call.group);
  if (call.opens_transaction) forwarder_.Pin(session, vm);
  return vm;
}

VmId ProxyReducer::ReaderVm(const StatementCall& call) const {
  bool may_use_reader = options_.reads_nearby() &&
                        GroupReader::IsServable(call) &&
                        nearby_groups_.count(call.group) != 0;
  return may_use_reader ? fleet_.ReaderOf(call.group) : VmId();
}

void ProxyReducer::Route(SessionNumber session, StatementCall call) {
  VmId reader = ReaderVm(call);
  if (reader == VmId()) {
    RouteToOwner(session, std::move(call));
    return;
  }
  call.at_reader = true;
  if (reader == self_.vm) {
    WorkOrigin origin;
    origin.session = session;
    SubmitToReader(std::move(call), origin);
    return;
  }
  fleet_.OnCallSent(reader, &context_);
  forwarder_.Send(session, std::move(call), reader, fleet_.AddressOf(reader),
                  &context_);
}

void ProxyReducer::SubmitToReader(StatementCall call,
                                  const WorkOrigin& origin) {
  GroupReader* reader = is_stopping_ ? nullptr : ReaderFor(call.group);
  // Before it counts under its tenant's limit: the owner counts it again.
  if (reader == nullptr || !reader->MayServe(call, &context_)) {
    ReturnToOwner(origin, std::move(call));
    return;
  }
  Submit(std::move(call), origin);
}

void ProxyReducer::ReturnToOwner(const WorkOrigin& origin, StatementCall call) {
  call.at_reader = false;
  OnReadReturned(origin, std::move(call));
}

GroupReader* ProxyReducer::FindReader(const GroupId& group) {
  auto found = readers_.find(group);
  return found == readers_.end() ? nullptr : found->second.get();
}

GroupReader* ProxyReducer::ReaderOfConnection(ConnectionId connection) {
  auto found = connections_.find(connection.value());
  if (found == connections_.end()) return nullptr;
  GroupReader* reader = FindReader(found->second.group);
  bool has = reader != nullptr && reader->HasConnection(connection);
  return has ? reader : nullptr;
}

GroupReader* ProxyReducer::ReaderFor(const GroupId& group) {
  GroupReader* found = FindReader(group);
  if (found != nullptr) return found;
  const RouteTable& table = follower_.routes();
  auto spec = table.groups.find(group);
  if (spec == table.groups.end() || !follower_.has_upstreams()) return nullptr;
  std::vector<UpstreamRecord> records;
  for (const auto& item : follower_.upstreams().records) {
    if (item.second.group == group) records.push_back(WithTimes(item.second));
  }
  ReadHandler* handler = this;
  auto reader = std::make_unique<GroupReader>(
      spec->second, self_.data_centre, options_.data_centre_balance(), handler);
  reader->SetListTime(follower_.upstreams_confirmed_at());
  reader->SetUpstreams(records, &context_);
  GroupReader* created = reader.get();
  readers_[group] = std::move(reader);
  return created;
}

void ProxyReducer::OnReadDone(const WorkOrigin& origin, StatementReply reply) {
  OnStatementDone(origin, std::move(reply));
}

void ProxyReducer::OnReadReturned(const WorkOrigin& origin,
                                  StatementCall call) {
  if (origin.is_local) {
    // Its caller may have left.
    if (!session_manager_.Has(origin.session)) return;
    RouteToOwner(origin.session, std::move(call));
    return;
  }
  StatementReply reply;
  reply.is_for_owner = true;
  reply.is_leaving = is_stopping_;
  context_.Emit(AnswerPeer{origin.handle, std::move(reply)});
}

void ProxyReducer::RequestEvidence(const GroupId& group) {
  VmId owner = fleet_.OwnerOf(group);
  if (owner == self_.vm || owner == VmId()) return;
  CallId call = context_.NextCall();
  evidence_requests_[call] = EvidenceRequest{group, context_.now()};
  context_.Emit(CallPeer{call, owner, fleet_.AddressOf(owner), kEvidenceTimeout,
                         EvidenceCall{group}});
}

bool ProxyReducer::OnEvidenceReply(const PeerReplied& event) {
  auto found = evidence_requests_.find(event.call);
  if (found == evidence_requests_.end()) return false;
  EvidenceRequest request = found->second;
  evidence_requests_.erase(found);
  const auto* reply = std::get_if<EvidenceReply>(&event.body);
  bool is_answered = event.error == PeerCallError::kNone && reply != nullptr;
  GroupReader* reader = FindReader(request.group);
  if (is_answered && reader != nullptr) {
    reader->OnEvidence(request.sent, *reply, &context_);
  }
  return true;
}

void ProxyReducer::RouteToOwner(SessionNumber session, StatementCall call) {
  VmId vm = TargetVm(session, call);
  if (vm == self_.vm || vm == VmId()) {
    WorkOrigin origin;
    origin.session = session;
    Submit(std::move(call), origin);
    return;
  }
  fleet_.OnCallSent(vm, &context_);
  forwarder_.Send(session, std::move(call), vm, fleet_.AddressOf(vm),
                  &context_);
}

void ProxyReducer::Submit(StatementCall call, const WorkOrigin& origin) {
  Duration retry_after;
  switch (limit_keeper_.Admit(&call, origin, &retry_after, &context_)) {
    case LimitKeeper::Verdict::kRun:
      SubmitAllowed(std::move(call), origin);
      break;
    case LimitKeeper::Verdict::kRefused:
      RefuseForLimit(std::move(call), origin, retry_after);
      break;
    case LimitKeeper::Verdict::kWaits:
      break;
  }
}

void ProxyReducer::SubmitAllowed(StatementCall call, const WorkOrigin& origin) {
  if (call.at_reader) {
    GroupReader* reader = is_stopping_ ? nullptr : FindReader(call.group);
    if (reader != nullptr) {
      reader->Submit(std::move(call), origin, &context_);
    } else {
      ReturnToOwner(origin, std::move(call));
    }
    return;
  }
  GroupOwner* owner = OwnerFor(call.group);
  if (owner != nullptr) {
    owner->Submit(std::move(call), origin, &context_);
    return;
  }
  StatementReply refused;
  refused.outcome = Outcome::kBusy;
  refused.detail = "group is not known here";
  OnStatementDone(origin, std::move(refused));
}

// A reader has no allowance of its own, so without tokens of the lender the
// owner decides.
void ProxyReducer::RefuseForLimit(StatementCall call, const WorkOrigin& origin,
                                  Duration retry_after) {
  if (call.at_reader && !limit_keeper_.has_lender(context_.now())) {
    ReturnToOwner(origin, std::move(call));
    return;
  }
  StatementReply refused;
  refused.outcome = Outcome::kBusy;
  refused.detail = "limit of the tenant, retry in " +
                   std::to_string(retry_after.millis()) + " ms";
  OnStatementDone(origin, std::move(refused));
}

void ProxyReducer::SubmitDecided() {
  // What is submitted may decide on more: the lender may be this VM.
  for (std::vector<LimitKeeper::Decided> decided = limit_keeper_.TakeDecided();
       !decided.empty(); decided = limit_keeper_.TakeDecided()) {
    for (LimitKeeper::Decided& item : decided) SubmitDecided(&item);
  }
}

void ProxyReducer::SubmitDecided(LimitKeeper::Decided* decided) {
  LimitKeeper::Waiting& waiting = decided->waiting;
  if (!decided->may_run) {
    RefuseForLimit(std::move(waiting.call), waiting.origin,
                   decided->retry_after);
    return;
  }
  Duration waited = context_.now() - waiting.since;
  StatementCall& call = waiting.call;
  call.time_left = std::max(call.time_left - waited, Duration());
  call.target_left = std::max(call.target_left - waited, Duration());
  SubmitAllowed(std::move(call), waiting.origin);
}

void ProxyReducer::CancelWaiting(const SessionKey& session) {
  LimitKeeper::Waiting cancelled;
  if (!limit_keeper_.Cancel(session, &cancelled)) return;
  StatementReply reply;
  reply.outcome = Outcome::kAborted;
  reply.detail = "caller left";
  OnStatementDone(cancelled.origin, std::move(reply));
}

void ProxyReducer::RouteEndTransaction(const EndTransactionCall& call) {
  VmId vm = forwarder_.PinnedVm(call.session.session);
  if (vm == self_.vm || vm == VmId()) {
    CancelWaiting(call.session);
    GroupOwner* owner = OwnerFor(call.group);
    if (owner == nullptr) return;
    owner->EndTransaction(TransactionKey{call.session, call.transaction_number},
                          &context_);
    return;
  }
  context_.Emit(CallPeer{context_.NextCall(), vm, fleet_.AddressOf(vm),
                         kNoticeTimeout, call});
}

void ProxyReducer::RouteCancelQueued(const CancelQueuedCall& call) {
  // The VM that has the statement may own the group no longer.
  VmId vm = forwarder_.OpenCallVm(call.session.session);
  if (vm == VmId()) {
    CancelWaiting(call.session);
    GroupReader* reader = FindReader(call.group);
    bool is_cancelled = reader != nullptr &&
                        reader->CancelQueued(call.session, call.id, &context_);
    if (is_cancelled) return;
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
    session_manager_.OnReply(origin.session, std::move(reply), &context_);
  } else {
    context_.Emit(AnswerPeer{origin.handle, std::move(reply)});
  }
}

Heartbeat ProxyReducer::MakeHeartbeat() const {
  Heartbeat heartbeat;
  heartbeat.known = follower_.known();
  heartbeat.store_age = follower_.store_age(context_.now());
  heartbeat.store_reader = follower_.store_reader();
  heartbeat.store_answer = follower_.store_answer();
  heartbeat.reaches_store = follower_.reaches_store();
  heartbeat.is_leaving = is_stopping_;
  heartbeat.era = follower_.era();
  heartbeat.upstream_ages = follower_.upstream_times().Ages(context_.now());
  heartbeat.routes_age = CurrentRoutesAge();
  return heartbeat;
}

void ProxyReducer::OnProbeAnswered(const Heartbeat& heartbeat, TimePoint sent) {
  follower_.OnPeerRoutesAge(heartbeat.known.routes, heartbeat.routes_age, sent);
  if (heartbeat.known.upstreams != follower_.known().upstreams) return;
  follower_.OnPeerAgrees(sent - heartbeat.store_age);
}

void ProxyReducer::OnPeerHeartbeat(const VmId& vm, const Heartbeat& heartbeat) {
  follower_.OnEra(heartbeat.era, "peer", &context_);
  // A VM that misses new eras may follow the store without effect.
  if (heartbeat.tells_era) {
    follower_.OnPeerStoreAge(heartbeat.store_age, heartbeat.store_reader,
                             heartbeat.store_answer, &context_);
  }
  follower_.OnUpstreamAges(heartbeat.upstream_ages, &context_);
  if (!heartbeat.known.IsAheadOf(follower_.known())) return;
  std::string address = fleet_.AddressOf(vm);
  if (address.empty()) address = heartbeat.address;
  snapshots_.OnPeerAhead(vm, address, heartbeat.known);
  snapshots_.Ask(follower_.known(), &context_);
}

void ProxyReducer::OnPeerCall(HandleId handle, const VmId& from,
                              const StatementCall& call) {
  (void)from;
  WorkOrigin origin;
  origin.is_local = false;
  origin.handle = handle;
  if (call.at_reader) {
    SubmitToReader(call, origin);
    return;
  }
  GroupOwner* owner = OwnerFor(call.group);
  bool continues =
      call.transaction != TransactionKind::kNone && !call.opens_transaction;
  bool is_too_late = has_exited_ || (returns_queued_ && !continues);
  if (owner == nullptr || is_too_late) {
    StatementReply misdirected;
    misdirected.is_misdirected = true;
    context_.Emit(AnswerPeer{handle, misdirected});
    return;
  }
  Submit(call, origin);
}

void ProxyReducer::OnPeerCall(HandleId handle, const VmId& from,
                              const EndTransactionCall& call) {
  (void)from;
  CancelWaiting(call.session);
  GroupOwner* owner = OwnerFor(call.group);
  if (owner != nullptr) {
    owner->EndTransaction(TransactionKey{call.session, call.transaction_number},
                          &context_);
  }
  context_.Emit(AnswerPeer{handle, EndTransactionReply()});
}

void ProxyReducer::OnPeerCall(HandleId handle, const VmId& from,
                              const CancelQueuedCall& call) {
  (void)from;
  CancelWaiting(call.session);
  GroupReader* reader = FindReader(call.group);
  bool is_cancelled = reader != nullptr &&
                      reader->CancelQueued(call.session, call.id, &context_);
  GroupOwner* owner = is_cancelled ? nullptr : OwnerFor(call.group);
  if (owner != nullptr) owner->CancelQueued(call.session, call.id, &context_);
  context_.Emit(AnswerPeer{handle, CancelQueuedReply()});
}

void ProxyReducer::OnPeerCall(HandleId handle, const VmId& from,
                              const HeartbeatCall& call) {
  context_.Emit(AnswerPeer{handle, HeartbeatReply{MakeHeartbeat()}});
  fleet_.OnHeartbeat(from, call.heartbeat, &context_);
}

void ProxyReducer::OnPeerCall(HandleId handle, const VmId& from,
                              const SnapshotCall& call) {
  (void)from;
  SnapshotReply reply;
  if (follower_.routes().version > call.known.routes) {
    reply.routes = follower_.routes();
  }
  if (follower_.known().upstreams > call.known.upstreams) {
    reply.upstreams = follower_.stored_upstreams();
  }
  if (follower_.known().vms > call.known.vms) {
    reply.vms = follower_.VmsAfter(call.known.vms);
  }
  reply.routes_age = CurrentRoutesAge();
  context_.Emit(AnswerPeer{handle, std::move(reply)});
}

void ProxyReducer::OnPeerCall(HandleId handle, const VmId& from,
                              const RoutesAgeCall& call) {
  (void)from;
  (void)call;
  context_.Emit(AnswerPeer{
      handle, RoutesAgeReply{follower_.routes().version, CurrentRoutesAge()}});
}

void ProxyReducer::OnPeerCall(HandleId handle, const VmId& from,
                              const EvidenceCall& call) {
  (void)from;
  EvidenceReply reply;
  auto found = owners_.find(call.group);
  if (found != owners_.end()) {
    reply = found->second->Evidence(context_.now());
  }
  context_.Emit(AnswerPeer{handle, reply});
}

void ProxyReducer::OnPeerCall(HandleId handle, const VmId& from,
                              const TokensCall& call) {
  TokensReply reply = limit_keeper_.OnCall(from, call, &context_);
  // The caller may know that the lender is down.
  const VmId& lender = fleet_.limits_lender();
  bool is_other = reply.state == LenderState::kNone && lender != self_.vm;
  if (is_other) fleet_.Check(lender, &context_);
  context_.Emit(AnswerPeer{handle, std::move(reply)});
}

template <typename T>
void ProxyReducer::OnPeerCall(HandleId handle, const VmId& from,
                              const T& call) {
  // These calls come from VMs that serve HTTP callers only; they get no answer.
  (void)handle;
  (void)call;
  context_.Log(LogLevel::kWarning, kPart, "peer_call_ignored",
               {{"peer", from.value()}});
}

}  // namespace fireflycart::proxy
