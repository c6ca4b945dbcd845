// Each event is dispatched to the part that it concerns; then the results of
// the groups are delivered to the request router or to peers until none is
// left. Peer calls are answered in reducer_peers.cc.

#include "fireflycart/core/reducer.h"

#include <algorithm>
#include <utility>

#include "fireflycart/core/error.h"

namespace fireflycart {
namespace {

constexpr Duration kAcquirePeriod = Duration::Millis(50);
constexpr Duration kVmListPeriod = Duration::Millis(1000);
// Number of VMs that read the list of VMs in one kVmListPeriod. In a larger
// fleet, each VM reads it less often.
constexpr size_t kVmListReadersPerPeriod = 100;
constexpr Duration kVmListTimeout = Duration::Millis(1500);
// Time that a newly started VM waits for messages from others.
constexpr Duration kStartupGrace = Duration::Millis(1500);
constexpr Duration kHandoverRequestPeriod = Duration::Millis(1000);
constexpr Duration kHandoverRequestTimeout = Duration::Millis(500);
// Time for which a message from a peer shows that this VM is connected.
constexpr Duration kPeerContactTimeout = Duration::Millis(2000);
// How long a VM's denial that it leads a group is valid.
constexpr Duration kLeadershipDenialTtl = Duration::Millis(3000);
constexpr int kAnnounceFanout = 4;
constexpr Duration kAnnounceTimeout = Duration::Millis(500);
constexpr int kConfigReaderCount = 3;
constexpr Duration kAuditTimeout = Duration::Millis(1500);
constexpr char kAuditPrefix[] = "audit/";
// Time that the load balancer needs to detect that this VM is not ready.
constexpr Duration kLoadBalancerGrace = Duration::Millis(1000);

MemberUpdate SelfUpdate(const NodeIdentity& identity) {
  return MemberUpdate{identity.vm, identity.address, identity.data_centre,
                      identity.incarnation, MemberState::kAlive};
}

}  // namespace

Reducer::Reducer(const NodeIdentity& identity, const Options& options,
                 uint64_t seed)
    : context_(identity.vm, options, seed),
      identity_(identity),
      membership_(SelfUpdate(identity)),
      router_(this, &context_) {}

Effects Reducer::Reduce(const Event& event) {
  Effects effects;
  now_ = std::max(now_, event.now);
  context_.Begin(now_, &effects);
  if (!has_started_) {
    has_started_ = true;
    started_ = now_;
    settled_since_ = now_;
  }
  if (exited_) {
    RefuseAfterExit(event.body);
    return effects;
  }
  std::visit([this](const auto& body) { Handle(body); }, event.body);
  if (config_.TakeInstalled()) ApplyConfiguration();
  DrainResults();
  AnnounceLeadership();
  return effects;
}

std::string Reducer::NotReadyReason() const {
  if (stopping_) return "stopping";
  if (config_.version() == ConfigVersion()) return "no configuration";
  if (IsIsolated()) return "isolated";
  return "";
}

const GroupCoordinator* Reducer::FindGroup(const GroupId& id) const {
  auto found = groups_.find(id);
  return found == groups_.end() ? nullptr : found->second.get();
}

Gauges Reducer::ReadGauges() const {
  Gauges gauges;
  gauges.pending_requests = static_cast<int64_t>(router_.size());
  for (const auto& item : groups_) {
    const GroupCoordinator& group = *item.second;
    if (!group.coordinating()) continue;
    gauges.coordinated_groups++;
    gauges.queued_requests += static_cast<int64_t>(group.queued());
    gauges.sessions += static_cast<int64_t>(group.sessions());
  }
  gauges.members = static_cast<int64_t>(membership_.Usable().size());
  gauges.config_version = config_.version().value();
  gauges.ready = ready();
  return gauges;
}

void Reducer::Handle(const Tick&) {
  membership_.OnTick(this, &context_);
  ordinals_.OnTick(membership_, &context_);
  if (!terms_.ready() && ordinals_.ordinal() != Ordinal()) {
    terms_ = TermSource(ordinals_.ordinal());
  }
  config_.OnTick(is_config_reader_, &context_);
  PollVmList();
  UpdatePlacement();
  AcquireGroups();
  for (const GroupId& id : std::set<GroupId>(coordinated_groups_)) {
    GroupById(id)->OnTick();
  }
  DrainResults();
  router_.OnTick();
  if (stopping_) StepStop();
}

// The server takes requests until the process is gone.
void Reducer::RefuseAfterExit(const EventBody& body) {
  const auto* requested = std::get_if<CallerRequested>(&body);
  if (requested != nullptr) Refuse(*requested, Reason::kStopping);
}

void Reducer::Refuse(const CallerRequested& event, Reason reason) {
  const Request& request = event.request;
  Answer answer;
  bool open = request.sent_before && request.key != RequestKey();
  answer.outcome = open ? Outcome::kUnknown : Outcome::kNotRun;
  answer.reason = reason;
  answer.retry_after = context_.Jitter(kVmListPeriod);
  context_.Emit(AnswerCaller{event.handle, answer});
}

void Reducer::Handle(const CallerRequested& event) {
  Reason refusal = Reason::kNone;
  const Request& request = event.request;
  if (config_.version() == ConfigVersion()) {
    refusal = Reason::kNoConfiguration;
  } else if (IsIsolated()) {
    refusal = Reason::kIsolated;
  } else if (groups_.count(request.group) == 0) {
    refusal = Reason::kUnknownGroup;
  } else if (config_.current().FindKind(request.kind) == nullptr) {
    refusal = Reason::kUnknownKind;
  }
  if (refusal == Reason::kNone) {
    router_.OnRequest(event.handle, WithDefaults(request));
    return;
  }
  Refuse(event, refusal);
}

// Fills in what the caller omitted: a deadline from the kind's policy, and a
// key for each write, so that its outcome can be looked up.
Request Reducer::WithDefaults(Request request) {
  const KindPolicy* kind = config_.current().FindKind(request.kind);
  if (request.deadline == TimePoint()) {
    request.deadline = now_ + kind->deadline;
  }
  bool is_write = request.type == RequestType::kCommit ||
                  (request.type == RequestType::kStatement &&
                   request.access == Access::kWrite);
  if (is_write && request.key == RequestKey()) {
    request.key = RequestKey("~" + context_.self().value() + "." +
                             std::to_string(identity_.incarnation) + "." +
                             std::to_string(context_.NextNumber()));
  }
  return request;
}

void Reducer::Handle(const CallerDisconnected& event) {
  router_.OnCallerDisconnected(event.handle);
}

void Reducer::Handle(const OperatorCalled& event) {
  const OperatorCallBody& body = event.body;
  if (const auto* submit = std::get_if<SubmitConfigCall>(&body)) {
    config_.Submit(event.handle, *submit, &context_);
  } else if (std::holds_alternative<ShowConfigCall>(body)) {
    context_.Emit(AnswerOperator{
        event.handle, ShowConfigReply{config_.version(), config_.document()}});
  } else if (std::holds_alternative<ShowStatusCall>(body)) {
    context_.Emit(AnswerOperator{event.handle, Status()});
  } else if (const auto* audit = std::get_if<ShowAuditCall>(&body)) {
    CallId call = context_.NextCall();
    audit_calls_[call] = event.handle;
    context_.Emit(CallPlatform{call, kAuditTimeout,
                               ScanRowsCall{kAuditPrefix, audit->limit}});
  }
}

void Reducer::Handle(const PeerReplied& event) {
  // Gossip is applied no matter which part made the call.
  const auto* ping = std::get_if<PingReply>(&event.body);
  if (event.error == PeerCallError::kNone && ping != nullptr) {
    ApplyGossip(ping->gossip);
  }
  if (membership_.OnReply(event, &context_)) return;
  if (router_.OnPeerReplied(event)) return;
  if (config_.OnPeerReplied(event, &context_)) return;
  if (ordinals_.OnPeerReplied(event)) return;
  auto request = handover_requests_.find(event.call);
  if (request != handover_requests_.end()) {
    GroupId group = request->second;
    handover_requests_.erase(request);
    const auto* reply = std::get_if<HandoverRequestReply>(&event.body);
    bool answered = event.error == PeerCallError::kNone && reply != nullptr;
    VmId asked = placement_.Leader(group);
    if (answered && reply->coordinator != asked) {
      leadership_denials_[group] = LeadershipDenial{asked, now_};
      placement_.ClearLeader(group, asked);
    }
    return;
  }
  for (const GroupId& id : std::set<GroupId>(coordinated_groups_)) {
    if (GroupById(id)->OnPeerReplied(event)) return;
  }
}

void Reducer::Handle(const ConnectionOpened& event) {
  GroupCoordinator* group = GroupOf(event.connection);
  if (group != nullptr) group->OnConnectionOpened(event);
}

void Reducer::Handle(const ConnectionBroken& event) {
  GroupCoordinator* group = GroupOf(event.connection);
  if (group != nullptr) group->OnConnectionBroken(event);
}

void Reducer::Handle(const UpstreamReplied& event) {
  GroupCoordinator* group = GroupOf(event.connection);
  if (group != nullptr) group->OnUpstreamReplied(event);
}

void Reducer::Handle(const PlatformReplied& event) {
  if (config_.OnPlatformReplied(event, &context_)) return;
  if (ordinals_.OnPlatformReplied(event, &context_)) return;
  if (vm_list_call_ != CallId() && event.call == vm_list_call_) {
    vm_list_call_ = CallId();
    OnVmList(event.reply);
    return;
  }
  auto audit = audit_calls_.find(event.call);
  if (audit == audit_calls_.end()) return;
  ShowAuditReply reply;
  reply.available = event.reply.code == PlatformCode::kOk;
  for (const Row& row : event.reply.rows) reply.records.push_back(row.value);
  context_.Emit(AnswerOperator{audit->second, reply});
  audit_calls_.erase(audit);
}

void Reducer::Handle(const StopRequested&) {
  if (stopping_) return;
  stopping_ = true;
  stop_started_ = now_;
  membership_.Leave();
  context_.Log(LogLevel::kInfo, "stop", "Planned stop begins.");
}

VmId Reducer::CoordinatorOf(const GroupId& group) const {
  VmId leader = placement_.Leader(group);
  if (leader != VmId() && membership_.IsReachable(leader)) return leader;
  return placement_.AssignedVm(group);
}

std::string Reducer::AddressOf(const VmId& vm) const {
  return membership_.AddressOf(vm);
}

bool Reducer::IsReachable(const VmId& vm) const {
  return membership_.IsReachable(vm);
}

void Reducer::SubmitLocally(const Request& request, HandleId entry,
                            Duration time_left, bool maybe_run) {
  GroupCoordinator* group = GroupById(request.group);
  if (group == nullptr) {
    router_.OnLocalReply(entry, ForwardReply());
    return;
  }
  group->Submit(request, WorkOrigin{true, entry}, time_left, maybe_run);
}

void Reducer::CancelLocally(const GroupId& group, HandleId entry) {
  GroupCoordinator* found = GroupById(group);
  if (found != nullptr) found->CancelLocal(entry);
}

void Reducer::OnForwardFailed(const GroupId& group, const VmId& vm) {
  (void)group;
  membership_.PingAtNextTick(vm);
}

void Reducer::OnMisdirected(const GroupId& group, const VmId& from,
                            const VmId& to) {
  placement_.ClearLeader(group, from);
  if (to == VmId() || to == from) return;
  placement_.SetLeaderHint(group, to);
}

bool Reducer::MayLead(const GroupId& group, const VmId& vm) const {
  if (vm == VmId() || !membership_.IsReachable(vm)) return false;
  auto denial = leadership_denials_.find(group);
  bool denied = denial != leadership_denials_.end() &&
                denial->second.vm == vm &&
                now_ - denial->second.at < kLeadershipDenialTtl;
  return !denied;
}

GroupCoordinator* Reducer::GroupOf(ConnectionId connection) {
  for (const GroupId& id : coordinated_groups_) {
    GroupCoordinator* group = groups_.at(id).get();
    if (group->Owns(connection)) return MarkTouched(group);
  }
  return nullptr;
}

GroupCoordinator* Reducer::MarkTouched(GroupCoordinator* group) {
  touched_.insert(group->id());
  return group;
}

GroupCoordinator* Reducer::GroupById(const GroupId& id) {
  auto found = groups_.find(id);
  return found == groups_.end() ? nullptr : MarkTouched(found->second.get());
}

void Reducer::ApplyConfiguration() {
  const Configuration& current = config_.current();
  const LeaderView* leaders = this;
  std::set<GroupId> kept;
  for (const GroupPolicy& policy : current.groups) {
    kept.insert(policy.id);
    auto& group = groups_[policy.id];
    if (group == nullptr) {
      group = std::make_unique<GroupCoordinator>(policy.id, &terms_, leaders,
                                                 &context_);
    }
    group->Configure(policy, current);
    group->SetLeaving(leaving_upstreams_);
    MarkTouched(group.get());
  }
  for (auto it = groups_.begin(); it != groups_.end();) {
    if (kept.count(it->first) != 0) {
      ++it;
      continue;
    }
    MarkTouched(it->second.get())->StepDown("no longer configured", VmId());
    DrainResults();
    coordinated_groups_.erase(it->first);
    touched_.erase(it->first);
    it = groups_.erase(it);
  }
  AnnounceConfiguration();
  UpdatePlacement();
}

// Epidemic push: each VM announces a new version to a few others as soon as it
// has it.
void Reducer::AnnounceConfiguration() {
  std::vector<MemberUpdate> peers = membership_.Peers();
  for (int i = 0; i < kAnnounceFanout && !peers.empty(); i++) {
    size_t index = context_.Random(peers.size());
    MemberUpdate peer = peers[index];
    peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(index));
    context_.Emit(CallPeer{context_.NextCall(), peer.vm, peer.address,
                           kAnnounceTimeout,
                           ConfigAnnounceCall{config_.version()}});
  }
}

void Reducer::PollVmList() {
  if (now_ < next_vm_list_) return;
  size_t fleet = membership_.All().size();
  auto factor = static_cast<int64_t>(1 + fleet / kVmListReadersPerPeriod);
  next_vm_list_ = now_ + context_.Jitter(kVmListPeriod * factor);
  vm_list_call_ = context_.NextCall();
  context_.Emit(CallPlatform{vm_list_call_, kVmListTimeout, ListVmsCall{}});
}

void Reducer::OnVmList(const PlatformReply& reply) {
  if (reply.code != PlatformCode::kOk) return;
  std::set<std::string> upstreams;
  for (const auto& item : groups_) {
    for (const UpstreamPolicy& u : item.second->policy().upstreams) {
      upstreams.insert(u.id.value());
    }
  }
  std::vector<ListedVm> vms;
  leaving_upstreams_.clear();
  for (const ListedVm& vm : reply.vms) {
    bool is_upstream = upstreams.count(vm.vm.value()) != 0;
    if (!is_upstream) {
      vms.push_back(vm);
    } else if (vm.leaving) {
      leaving_upstreams_.insert(UpstreamId(vm.vm.value()));
    }
  }
  membership_.OnPlatformList(vms, now_);
  for (auto& item : groups_) item.second->SetLeaving(leaving_upstreams_);
}

void Reducer::UpdatePlacement() {
  bool same = placed_membership_version_ == membership_.version() &&
              placed_config_version_ == config_.version();
  if (same) return;
  placed_membership_version_ = membership_.version();
  placed_config_version_ = config_.version();
  settled_since_ = now_;
  placement_.Recompute(config_.current().groups, membership_.Usable());
  is_config_reader_ = ChooseConfigReaders();
  assigned_groups_.clear();
  for (const auto& item : groups_) {
    bool assigned = placement_.AssignedVm(item.first) == context_.self();
    if (assigned) assigned_groups_.push_back(item.first);
  }
}

void Reducer::AcquireGroups() {
  if (now_ < next_acquire_) return;
  next_acquire_ = now_ + kAcquirePeriod;
  if (IsIsolated()) {
    for (const GroupId& id : std::set<GroupId>(coordinated_groups_)) {
      GroupById(id)->StepDown("isolated", VmId());
    }
    return;
  }
  if (!MayAcquireGroups()) return;
  for (const GroupId& id : assigned_groups_) AcquireGroup(GroupById(id));
}

// A VM that has peers but receives nothing from them is probably cut off
// itself.
bool Reducer::MayAcquireGroups() const {
  if (stopping_ || !terms_.ready()) return false;
  if (now_ - settled_since_ < context_.options().settle_period()) return false;
  bool has_peer_contact =
      now_ - membership_.last_contact() < kPeerContactTimeout &&
      membership_.last_contact() != TimePoint();
  bool is_only_vm =
      !membership_.has_other_members() && now_ - started_ >= kStartupGrace;
  bool waited =
      now_ - started_ >= kStartupGrace * 2 && membership_.Peers().empty();
  return has_peer_contact || is_only_vm || waited;
}

void Reducer::AcquireGroup(GroupCoordinator* group) {
  if (group == nullptr || group->coordinating()) return;
  VmId leader = placement_.Leader(group->id());
  bool has_leader = leader != VmId() && leader != context_.self() &&
                    membership_.IsReachable(leader);
  if (!has_leader) {
    group->TakeOver(leader == VmId() ? "no known coordinator"
                                     : leader.value() + " is unreachable");
    return;
  }
  TimePoint& next = next_handover_request_[group->id()];
  if (now_ < next) return;
  next = now_ + context_.Jitter(kHandoverRequestPeriod);
  CallId call = context_.NextCall();
  handover_requests_[call] = group->id();
  context_.Emit(CallPeer{call, leader, AddressOf(leader),
                         kHandoverRequestTimeout,
                         HandoverRequestCall{group->id()}});
}

void Reducer::AnnounceLeadership() {
  for (const GroupId& id : touched_) {
    GroupCoordinator& group = *groups_.at(id);
    if (group.coordinating()) {
      coordinated_groups_.insert(id);
    } else {
      coordinated_groups_.erase(id);
    }
    Term& announced = announced_[id];
    bool leads = group.phase() == GroupPhase::kServing;
    if (leads && announced != group.term()) {
      announced = group.term();
      placement_.UpdateLeader(LeaderUpdate{id, context_.self(), group.term()});
    }
    if (!group.coordinating() && announced != Term()) {
      announced = Term();
      placement_.ClearLeader(id, context_.self());
    }
    bool has_hint = !group.coordinating() && group.known_holder() != VmId() &&
                    placement_.Leader(id) == VmId() &&
                    MayLead(id, group.known_holder());
    if (has_hint) placement_.SetLeaderHint(id, group.known_holder());
  }
  touched_.clear();
}

// Delivers the groups' replies to this VM's callers and to other VMs.
void Reducer::DrainResults() {
  bool progress = true;
  while (progress) {
    progress = false;
    for (const GroupId& id : std::set<GroupId>(touched_)) {
      for (WorkResult& result : groups_.at(id)->TakeResults()) {
        progress = true;
        ForwardReply& reply = result.reply;
        bool no_hint = reply.status != ForwardStatus::kAnswered &&
                       reply.coordinator == VmId();
        if (no_hint) reply.coordinator = placement_.Leader(id);
        if (reply.coordinator == context_.self()) reply.coordinator = VmId();
        if (result.origin.local) {
          router_.OnLocalReply(result.origin.handle, reply);
        } else {
          context_.Emit(AnswerPeer{result.origin.handle, reply});
        }
      }
    }
  }
}

// Hands over the groups one by one, waits for requests in flight, then exits.
void Reducer::StepStop() {
  Duration waited = now_ - stop_started_;
  bool coordinating = false;
  for (const GroupId& id : std::set<GroupId>(coordinated_groups_)) {
    GroupCoordinator& group = *GroupById(id);
    if (!group.coordinating()) continue;
    coordinating = true;
    VmId successor = placement_.AssignedVm(id);
    if (successor != VmId() && successor != context_.self()) {
      group.HandOverTo(successor, AddressOf(successor));
    } else if (!group.busy()) {
      group.StepDown("stopping", VmId());
    }
  }
  bool idle = !coordinating && router_.size() == 0;
  bool done = idle && waited >= kLoadBalancerGrace;
  bool out_of_time = waited >= context_.options().stop_limit();
  if (!done && !out_of_time) return;
  for (const GroupId& id : std::set<GroupId>(coordinated_groups_)) {
    GroupById(id)->StepDown("stopping", VmId());
  }
  DrainResults();
  router_.RefuseAll(Reason::kStopping);
  context_.Log(LogLevel::kInfo, "stop",
               out_of_time ? "Planned stop reached its time limit."
                           : "Planned stop is complete.");
  exited_ = true;
  context_.Emit(Exit{});
}

bool Reducer::IsIsolated() const {
  if (!membership_.has_other_members()) return false;
  Duration limit = context_.options().isolation_limit();
  TimePoint last_contact =
      std::max(membership_.last_contact(), config_.last_platform_reply());
  return now_ - std::max(last_contact, started_) > limit;
}

// A few VMs, chosen by hash, poll the platform on behalf of all.
bool Reducer::ChooseConfigReaders() const {
  GroupPolicy role;
  std::vector<MemberUpdate> usable = membership_.Usable();
  for (int i = 0; i < kConfigReaderCount; i++) {
    role.id = GroupId("config-reader-" + std::to_string(i));
    if (ChooseCoordinator(role, usable) == context_.self()) return true;
  }
  return false;
}

ShowStatusReply Reducer::Status() const {
  ShowStatusReply status;
  status.vm = context_.self();
  status.not_ready_because = NotReadyReason();
  status.ready = status.not_ready_because.empty();
  status.version = config_.version();
  status.ordinal = ordinals_.ordinal();
  status.members = membership_.All();
  for (const auto& item : groups_) {
    const GroupCoordinator& group = *item.second;
    GroupStatusLine line;
    line.group = item.first;
    line.coordinator = placement_.Leader(item.first);
    line.term = placement_.LeaderTerm(item.first);
    line.phase = GroupPhaseText(group.phase());
    if (group.coordinating()) {
      line.primary = group.primary();
      line.term = group.term();
      line.queued = static_cast<int>(group.queued());
    }
    status.groups.push_back(line);
  }
  return status;
}

Effects Reduce(Reducer* state, const Event& event) {
  return state->Reduce(event);
}

}  // namespace fireflycart
