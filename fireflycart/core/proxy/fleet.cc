// Whether a VM is down follows from its answers to calls and probes. Each
// change of the usable VMs recomputes the owners of the groups and the
// contacts.

#include "fireflycart/core/proxy/fleet.h"

#include <algorithm>
#include <utility>

#include "fireflycart/core/proxy/group_placement.h"
#include "fireflycart/core/proxy/vm_ring.h"

namespace fireflycart::proxy {
namespace {

constexpr char kPart[] = "fleet";
// Places the lender of limits as if it were the owner of a group of this name.
constexpr char kLimitsName[] = "tenant limits";
// VMs of a data centre that ask the readers of the store for the age of the
// routes, so that one may fail, and one more for so many VMs.
constexpr size_t kMinRelays = 2;
constexpr size_t kVmsPerRelay = 40;

}  // namespace

Fleet::Fleet(VmRecord self, HeartbeatHandler* heartbeat_handler)
    : self_(std::move(self)),
      heartbeat_handler_(heartbeat_handler),
      store_readers_(ChooseStoreReaders(self_.vm, {}, 0)) {}

void Fleet::SetVms(const VmList& list, ProxyContext* context) {
  for (const auto& item : list.records) AddVm(item.second, context);
  for (auto it = vms_.begin(); it != vms_.end();) {
    bool keep = list.records.count(it->first) != 0;
    it = keep ? std::next(it) : vms_.erase(it);
  }
  Recompute();
}

void Fleet::AddVm(const VmRecord& record, ProxyContext* context) {
  if (record.vm == self_.vm) return;
  auto found = vms_.find(record.vm);
  bool is_new = found == vms_.end();
  if (!is_new && record.incarnation <= found->second.record.incarnation) return;
  Vm& vm = vms_[record.vm];
  vm.record = record;
  vm.is_down = false;
  vm.is_leaving = false;
  vm.reaches_store = true;
  vm.can_own = true;
  vm.open_calls = 0;
  context->Log(LogLevel::kInfo, kPart, is_new ? "vm_known" : "vm_restarted",
               {{"peer", record.vm.value()}, {"address", record.address}});
}

void Fleet::SetGroups(const std::vector<GroupId>& groups) {
  groups_ = groups;
  std::sort(groups_.begin(), groups_.end());
  Recompute();
}

void Fleet::Recompute() {
  std::vector<VmRecord> usable;
  std::vector<VmRecord> able_to_own;
  if (!is_leaving_) usable.push_back(self_);
  if (!is_leaving_) able_to_own.push_back(self_);
  for (const auto& item : vms_) {
    if (!IsUsable(item.first)) continue;
    usable.push_back(item.second.record);
    if (item.second.can_own) able_to_own.push_back(item.second.record);
  }
  owners_ = PlaceGroups(groups_, able_to_own);
  RecomputeReaders(able_to_own);
  const GroupId limits(kLimitsName);
  limits_lender_ = PlaceGroups({limits}, able_to_own)[limits];
  contacts_ = ContactsOf(self_.vm, usable);
  RecomputeStoreReaders();
}

void Fleet::RecomputeReaders(const std::vector<VmRecord>& able_to_own) {
  readers_.clear();
  data_centres_.clear();
  std::vector<VmRecord> nearby;
  std::map<VmId, DataCentreId> homes;
  for (const VmRecord& vm : able_to_own) {
    homes[vm.vm] = vm.data_centre;
    if (vm.data_centre == DataCentreId()) continue;
    data_centres_.insert(vm.data_centre);
    if (vm.data_centre == self_.data_centre) nearby.push_back(vm);
  }
  if (data_centres_.size() < 2) {
    data_centres_.clear();
    return;
  }
  readers_ = PlaceGroups(groups_, nearby);
  for (const auto& item : owners_) {
    if (homes[item.second] == self_.data_centre) readers_.erase(item.first);
  }
}

void Fleet::RecomputeStoreReaders() {
  std::vector<VmId> with_store;
  size_t without_store = 0;
  for (const auto& item : vms_) {
    if (!IsUsable(item.first)) continue;
    if (item.second.reaches_store) {
      with_store.push_back(item.first);
    } else {
      without_store++;
    }
  }
  store_readers_ = ChooseStoreReaders(self_.vm, with_store, without_store);
  RecomputeRoutesSources();
  version_++;
}

void Fleet::RecomputeRoutesSources() {
  // By rank, of all VMs that reach the store, and of this data centre.
  std::map<uint64_t, VmId> with_store;
  std::map<uint64_t, VmId> near;
  for (const auto& item : vms_) {
    const Vm& vm = item.second;
    if (!IsUsable(item.first) || !vm.can_own) continue;
    uint64_t rank = RankOf(item.first);
    if (vm.reaches_store) with_store[rank] = item.first;
    bool is_near = vm.record.data_centre == self_.data_centre;
    if (is_near) near[rank] = item.first;
  }
  size_t relays = std::max(kMinRelays, near.size() / kVmsPerRelay);
  uint64_t own = RankOf(self_.vm);
  auto before_self =
      static_cast<size_t>(std::distance(near.begin(), near.lower_bound(own)));
  bool is_relay = before_self < relays;
  const std::map<uint64_t, VmId>& from = is_relay ? with_store : near;
  size_t count = is_relay ? kStoreReaders : relays;
  routes_sources_.clear();
  for (const auto& item : from) {
    if (routes_sources_.size() == count) break;
    routes_sources_.push_back(item.second);
  }
}

bool Fleet::IsInTouch(TimePoint now) const {
  return vms_.empty() || now - probe_answered_at_ <= kInTouchAge;
}

void Fleet::Check(const VmId& vm, ProxyContext* context) {
  auto found = vms_.find(vm);
  if (found != vms_.end()) Probe(&found->second, context);
}

VmId Fleet::OwnerOf(const GroupId& group) const {
  auto found = owners_.find(group);
  return found == owners_.end() ? self_.vm : found->second;
}

VmId Fleet::ReaderOf(const GroupId& group) const {
  auto found = readers_.find(group);
  return found == readers_.end() ? VmId() : found->second;
}

std::string Fleet::AddressOf(const VmId& vm) const {
  auto found = vms_.find(vm);
  return found == vms_.end() ? "" : found->second.record.address;
}

DataCentreId Fleet::DataCentreOf(const VmId& vm) const {
  if (vm == self_.vm) return self_.data_centre;
  auto found = vms_.find(vm);
  return found == vms_.end() ? DataCentreId()
                             : found->second.record.data_centre;
}

bool Fleet::IsUsable(const VmId& vm) const {
  if (vm == self_.vm) return true;
  auto found = vms_.find(vm);
  return found != vms_.end() && !found->second.is_down &&
         !found->second.is_leaving;
}

std::vector<VmRecord> Fleet::Records() const {
  std::vector<VmRecord> records = {self_};
  for (const auto& item : vms_) records.push_back(item.second.record);
  return records;
}

size_t Fleet::down_count() const {
  size_t count = 0;
  for (const auto& item : vms_) {
    if (item.second.is_down) count++;
  }
  return count;
}

void Fleet::ProbeStaleContacts(ProxyContext* context) {
  for (const VmId& contact : contacts_) {
    auto found = vms_.find(contact);
    if (found == vms_.end()) continue;
    bool is_due =
        context->now() - found->second.last_answer_at >= kContactProbePeriod;
    if (is_due) Probe(&found->second, context);
  }
  context->WakeAt(context->now() + kContactProbePeriod);
}

bool Fleet::IsFullyReachable(TimePoint now) const {
  if (now < doubted_until_) return false;
  for (const VmId& contact : contacts_) {
    auto found = vms_.find(contact);
    bool is_recent = found != vms_.end() &&
                     now - found->second.last_answer_at <= kContactMaxAge;
    if (!is_recent) return false;
  }
  return down_count() == 0;
}

void Fleet::Leave() {
  is_leaving_ = true;
  Recompute();
}

void Fleet::SetDown(Vm* vm, bool is_down, const char* cause,
                    ProxyContext* context) {
  if (vm->is_down == is_down) return;
  vm->is_down = is_down;
  vm->failed_probes = 0;
  if (is_down) watched_.insert(vm->record.vm);
  // If it is alive, it must know at once that others may act in its place.
  if (is_down) SendHeartbeat(*vm, context);
  context->Log(LogLevel::kWarning, kPart, is_down ? "vm_lost" : "vm_regained",
               {{"peer", vm->record.vm.value()}, {"cause", cause}});
  Recompute();
}

void Fleet::OnCallSent(const VmId& id, ProxyContext* context) {
  auto found = vms_.find(id);
  if (found == vms_.end()) return;
  Vm& vm = found->second;
  watched_.insert(id);
  if (vm.open_calls++ == 0) {
    vm.unanswered_since = context->now();
    context->WakeAt(context->now() + kSilenceTimeout);
  }
}

void Fleet::OnCallAnswered(const VmId& id, ProxyContext* context) {
  auto found = vms_.find(id);
  if (found == vms_.end()) return;
  Vm& vm = found->second;
  if (vm.open_calls > 0) vm.open_calls--;
  vm.unanswered_since = context->now();
  vm.last_answer_at = context->now();
  SetDown(&vm, false, "answered", context);
}

void Fleet::OnCallFailed(const VmId& id, ProxyContext* context) {
  auto found = vms_.find(id);
  if (found == vms_.end()) return;
  Vm& vm = found->second;
  if (vm.open_calls > 0) vm.open_calls--;
  vm.next_probe = context->now() + kFirstReprobeDelay;
  context->WakeAt(vm.next_probe);
  SetDown(&vm, true, "call_failed", context);
}

void Fleet::OnMisdirected(const VmId& id, ProxyContext* context) {
  OnCallAnswered(id, context);
  auto found = vms_.find(id);
  if (found == vms_.end()) return;
  SetCanOwn(&found->second, false, context);
  // Its heartbeat tells when it has the tables, and ours tells it that this VM
  // has them.
  Probe(&found->second, context);
}

// Probes the VM again after a while.
void Fleet::AskAgain(Vm* vm, ProxyContext* context) {
  watched_.insert(vm->record.vm);
  vm->next_probe = context->now() + kFirstReprobeDelay;
  context->WakeAt(vm->next_probe);
}

void Fleet::SetCanOwn(Vm* vm, bool can_own, ProxyContext* context) {
  if (vm->can_own == can_own) return;
  vm->can_own = can_own;
  // A VM that is no contact sends no heartbeats of its own accord.
  if (!can_own) AskAgain(vm, context);
  context->Log(LogLevel::kInfo, kPart,
               can_own ? "vm_has_tables" : "vm_lacks_tables",
               {{"peer", vm->record.vm.value()}});
  Recompute();
}

HeartbeatCall Fleet::MakeCall(const Vm& to) const {
  HeartbeatCall call{heartbeat_handler_->MakeHeartbeat()};
  call.heartbeat.address = self_.address;
  call.heartbeat.takes_receiver_for_lost = to.is_down;
  return call;
}

void Fleet::OnLeaving(const VmId& id, ProxyContext* context) {
  auto found = vms_.find(id);
  if (found == vms_.end() || found->second.is_leaving) return;
  found->second.is_leaving = true;
  context->Log(LogLevel::kInfo, kPart, "vm_leaving", {{"peer", id.value()}});
  Recompute();
}

void Fleet::OnHeartbeat(const VmId& id, const Heartbeat& heartbeat,
                        ProxyContext* context) {
  auto found = vms_.find(id);
  if (heartbeat.takes_receiver_for_lost) {
    doubted_until_ = context->now() + kDoubtTime;
  }
  if (found != vms_.end()) {
    Vm& vm = found->second;
    if (heartbeat.is_leaving) OnLeaving(id, context);
    // A VM that does not tell the era cannot follow the store for others.
    bool reaches_store = heartbeat.reaches_store && heartbeat.tells_era;
    if (vm.reaches_store != reaches_store) {
      vm.reaches_store = reaches_store;
      RecomputeStoreReaders();
    }
    bool has_tables = heartbeat.known.routes != 0 &&
                      heartbeat.known.upstreams != StoreVersion();
    SetCanOwn(&vm, has_tables, context);
    if (vm.is_down) {
      vm.next_probe = context->now();
      context->WakeAt(vm.next_probe);
    }
  }
  heartbeat_handler_->OnPeerHeartbeat(id, heartbeat);
}

void Fleet::NotifyStoreReaders(ProxyContext* context) {
  std::map<uint64_t, const Vm*> next;
  for (const auto& item : vms_) {
    if (!IsUsable(item.first) || !item.second.reaches_store) continue;
    next[RankOf(item.first)] = &item.second;
    if (next.size() > kNextStoreReaders) next.erase(std::prev(next.end()));
  }
  for (const auto& item : next) SendHeartbeat(*item.second, context);
}

void Fleet::SendHeartbeat(const Vm& vm, ProxyContext* context) {
  context->Emit(CallPeer{context->NextCall(), vm.record.vm, vm.record.address,
                         kProbeTimeout, MakeCall(vm)});
}

void Fleet::NotifyContacts(ProxyContext* context) {
  for (const VmId& contact : contacts_) {
    auto found = vms_.find(contact);
    if (found != vms_.end()) SendHeartbeat(found->second, context);
  }
}

void Fleet::Probe(Vm* vm, ProxyContext* context) {
  if (vm->has_open_probe) return;
  vm->has_open_probe = true;
  CallId call = context->NextCall();
  probes_[call] = OpenProbe{vm->record.vm, context->now()};
  context->Emit(CallPeer{call, vm->record.vm, vm->record.address, kProbeTimeout,
                         MakeCall(*vm)});
}

bool Fleet::OnReply(const PeerReplied& reply, ProxyContext* context) {
  auto probe = probes_.find(reply.call);
  if (probe == probes_.end()) return false;
  VmId id = probe->second.vm;
  TimePoint sent = probe->second.sent;
  probes_.erase(probe);
  auto found = vms_.find(id);
  if (found == vms_.end()) return true;
  Vm& vm = found->second;
  vm.has_open_probe = false;
  const auto* body = std::get_if<HeartbeatReply>(&reply.body);
  if (reply.error != PeerCallError::kNone || body == nullptr) {
    SetDown(&vm, true, "probe_failed", context);
    Duration pause = kDownProbePeriod * (int64_t{1} << vm.failed_probes);
    vm.next_probe = context->now() + std::min(pause, kMaxDownProbePeriod);
    vm.failed_probes = std::min(vm.failed_probes + 1, kMaxProbeDoublings);
    context->WakeAt(vm.next_probe);
    return true;
  }
  vm.unanswered_since = context->now();
  vm.last_answer_at = context->now();
  probe_answered_at_ = context->now();
  SetDown(&vm, false, "probe_answered", context);
  OnHeartbeat(id, body->heartbeat, context);
  heartbeat_handler_->OnProbeAnswered(body->heartbeat, sent);
  if (!vm.can_own) AskAgain(&vm, context);
  return true;
}

void Fleet::ProbeWatchedReader(ProxyContext* context) {
  auto found = vms_.find(store_readers_.watched);
  if (found == vms_.end()) return;
  Vm& vm = found->second;
  bool has_answered_lately =
      context->now() - vm.last_answer_at < kContactProbePeriod;
  if (!has_answered_lately) Probe(&vm, context);
}

// Probes a VM that is down, lacks the tables or leaves calls unanswered if a
// probe is due. Returns false if none of that is the case.
bool Fleet::Watch(Vm* vm, ProxyContext* context) {
  if (vm->is_down || !vm->can_own) {
    if (context->now() >= vm->next_probe) {
      Probe(vm, context);
    } else {
      context->WakeAt(vm->next_probe);
    }
    return true;
  }
  if (vm->open_calls == 0) return false;
  if (context->now() >= vm->unanswered_since + kSilenceTimeout) {
    Probe(vm, context);
    vm->unanswered_since = context->now();
  }
  context->WakeAt(vm->unanswered_since + kSilenceTimeout);
  return true;
}

void Fleet::OnWake(ProxyContext* context) {
  for (auto it = watched_.begin(); it != watched_.end();) {
    auto found = vms_.find(*it);
    bool stays = found != vms_.end() && Watch(&found->second, context);
    it = stays ? std::next(it) : watched_.erase(it);
  }
  if (context->now() < next_probe_) return;
  next_probe_ = context->now() + kProbePeriod;
  context->WakeAt(next_probe_);
  ProbeWatchedReader(context);
  if (contacts_.empty()) return;
  auto chosen = vms_.find(contacts_[context->Random(contacts_.size())]);
  if (chosen != vms_.end()) Probe(&chosen->second, context);
}

}  // namespace fireflycart::proxy
