// SWIM failure detection (Das, Gupta, Motivala, 2002): in each period this VM
// pings one member, in random order but each once per round. After a failed
// ping, two other members repeat it, so that a fault of one network path does
// not make a member suspect. If these fail too, the member is suspect, and
// dead when the suspicion timeout has passed. A member that receives a
// suspicion of itself raises its incarnation, which overrides the suspicion.
//
// There are two additions to SWIM. Dead members are still pinged occasionally,
// so that the two halves of a fleet rejoin after a partition. A ping always
// contains the state of its target unless that is alive, so that the target
// can refute it.

#include "fireflycart/core/membership.h"

#include <algorithm>
#include <utility>

namespace fireflycart {
namespace {

constexpr size_t kUpdatesPerPing = 6;
constexpr int kIndirectProbes = 2;
// One in this many pings goes to a dead member.
constexpr uint64_t kPingsPerDeadMemberPing = 8;
// Period of the scan for expired suspicions and old dead members.
constexpr Duration kMemberScanPeriod = Duration::Millis(50);
// A longer list is the full table that a VM sends to a new member. The fleet
// already has these updates, so they are not relayed.
constexpr size_t kMaxRelayedUpdates = 2 * kUpdatesPerPing;
constexpr Duration kDeadMemberRetention = Duration::Seconds(60);

bool Overrides(const MemberUpdate& incoming, const MemberUpdate& known) {
  if (incoming.incarnation != known.incarnation) {
    return incoming.incarnation > known.incarnation;
  }
  return incoming.state > known.state;
}

bool IsUsableState(MemberState state) {
  return state == MemberState::kAlive || state == MemberState::kSuspect;
}

}  // namespace

Membership::Membership(MemberUpdate self) : self_(self.vm) {
  queue_.Put(self.vm, self);
  members_[self.vm].update = std::move(self);
}

void Membership::OnPlatformList(const std::vector<ListedVm>& vms,
                                TimePoint now) {
  for (auto& item : members_) item.second.listed = false;
  for (const ListedVm& listed : vms) {
    auto found = members_.find(listed.vm);
    if (found != members_.end()) {
      found->second.listed = true;
      continue;
    }
    if (listed.leaving || members_.size() >= kMaxMembers) continue;
    // Any update from the VM itself overrides incarnation 0 and dead.
    Member member;
    member.update = MemberUpdate{listed.vm, listed.address, listed.data_centre,
                                 0, MemberState::kDead};
    member.since = now;
    member.listed = true;
    members_[listed.vm] = member;
    priority_targets_.insert(listed.vm);
  }
}

void Membership::OnTick(GossipSource* source, Context* context) {
  if (context->now() >= next_scan_) {
    next_scan_ = context->now() + kMemberScanPeriod;
    ExpireSuspicions(context->now(), context->options().suspicion_timeout());
    RemoveOldDeadMembers(context->now());
  }
  if (!priority_targets_.empty()) {
    VmId target = *priority_targets_.begin();
    priority_targets_.erase(priority_targets_.begin());
    SendPing(target, HandleId(), source, context);
    return;
  }
  if (context->now() < next_ping_) return;
  next_ping_ = context->now() + context->options().probe_period();
  SendNextPing(source, context);
}

void Membership::Merge(const std::vector<MemberUpdate>& updates,
                       TimePoint now) {
  last_contact_ = std::max(last_contact_, now);
  bool disseminate = updates.size() <= kMaxRelayedUpdates;
  for (const MemberUpdate& update : updates) {
    if (update.vm == self_) {
      RefuteIfNeeded(update);
    } else {
      Apply(update, disseminate, now);
    }
  }
}

bool Membership::OnReply(const PeerReplied& reply, Context* context) {
  auto found = probes_.find(reply.call);
  if (found == probes_.end()) return false;
  Probe probe = found->second;
  probes_.erase(found);
  bool reached = reply.error == PeerCallError::kNone;
  if (probe.indirect) {
    const auto* body = std::get_if<IndirectPingReply>(&reply.body);
    if (reached && body != nullptr && body->reached) {
      indirect_pending_.erase(probe.target);
    } else {
      OnIndirectPingFailed(probe, context->now());
    }
    return true;
  }
  if (probe.on_behalf_of != HandleId()) {
    context->Emit(AnswerPeer{probe.on_behalf_of, IndirectPingReply{reached}});
    return true;
  }
  if (!reached) OnPingFailed(probe, context);
  return true;
}

void Membership::PingOnBehalf(HandleId handle, const VmId& target,
                              GossipSource* source, Context* context) {
  if (members_.count(target) == 0) {
    context->Emit(AnswerPeer{handle, IndirectPingReply{false}});
    return;
  }
  SendPing(target, handle, source, context);
}

void Membership::PingAtNextTick(const VmId& vm) {
  if (members_.count(vm) != 0 && vm != self_) priority_targets_.insert(vm);
}

void Membership::Leave() {
  Member& self = members_[self_];
  if (self.update.state == MemberState::kLeaving) return;
  self.update.state = MemberState::kLeaving;
  queue_.Put(self_, self.update);
  version_++;
}

std::vector<MemberUpdate> Membership::TakeUpdates(const VmId& peer) {
  std::vector<MemberUpdate> updates =
      queue_.Take(kUpdatesPerPing, members_.size());
  auto found = members_.find(peer);
  bool is_new =
      found == members_.end() || found->second.update.incarnation == 0;
  // A VM that is new to this one is probably new to the fleet, so it gets the
  // full table.
  if (is_new) return All();
  updates.push_back(members_[self_].update);
  if (found->second.update.state != MemberState::kAlive) {
    updates.push_back(found->second.update);
  }
  return updates;
}

std::vector<MemberUpdate> Membership::Usable() const {
  std::vector<MemberUpdate> usable;
  for (const auto& item : members_) {
    if (IsUsableState(item.second.update.state)) {
      usable.push_back(item.second.update);
    }
  }
  return usable;
}

std::vector<MemberUpdate> Membership::Peers() const {
  std::vector<MemberUpdate> peers;
  for (const auto& item : members_) {
    bool is_usable_peer =
        item.first != self_ && IsUsableState(item.second.update.state);
    if (is_usable_peer) peers.push_back(item.second.update);
  }
  return peers;
}

std::vector<MemberUpdate> Membership::All() const {
  std::vector<MemberUpdate> all;
  for (const auto& item : members_) {
    if (item.second.update.incarnation != 0) all.push_back(item.second.update);
  }
  return all;
}

bool Membership::IsUsable(const VmId& vm) const {
  auto found = members_.find(vm);
  return found != members_.end() && IsUsableState(found->second.update.state);
}

bool Membership::IsReachable(const VmId& vm) const {
  auto found = members_.find(vm);
  return found != members_.end() &&
         found->second.update.state != MemberState::kDead;
}

std::string Membership::AddressOf(const VmId& vm) const {
  auto found = members_.find(vm);
  return found == members_.end() ? "" : found->second.update.address;
}

void Membership::Apply(const MemberUpdate& update, bool disseminate,
                       TimePoint now) {
  auto found = members_.find(update.vm);
  if (found == members_.end()) {
    if (update.state == MemberState::kDead) return;
    if (members_.size() >= kMaxMembers) return;
    Member member;
    member.update = update;
    member.since = now;
    members_[update.vm] = member;
    if (disseminate) queue_.Put(update.vm, update);
    version_++;
    return;
  }
  Member& member = found->second;
  if (!Overrides(update, member.update)) return;
  bool was_usable = IsUsableState(member.update.state);
  member.update = update;
  member.since = now;
  if (disseminate) queue_.Put(update.vm, update);
  if (was_usable != IsUsableState(update.state)) version_++;
}

void Membership::RefuteIfNeeded(const MemberUpdate& update) {
  Member& self = members_[self_];
  bool reported_not_alive = update.state != MemberState::kAlive;
  bool current = update.incarnation >= self.update.incarnation;
  if (!reported_not_alive || !current) return;
  bool own_leave = self.update.state == MemberState::kLeaving &&
                   update.state != MemberState::kDead;
  if (own_leave) return;
  self.update.incarnation = update.incarnation + 1;
  queue_.Put(self_, self.update);
}

void Membership::ExpireSuspicions(TimePoint now, Duration suspicion) {
  for (auto& item : members_) {
    Member& member = item.second;
    bool expired = member.update.state == MemberState::kSuspect &&
                   now - member.since >= suspicion;
    if (expired) SetState(&member, MemberState::kDead, now);
  }
}

void Membership::RemoveOldDeadMembers(TimePoint now) {
  for (auto it = members_.begin(); it != members_.end();) {
    const Member& member = it->second;
    bool is_old = member.update.state == MemberState::kDead && !member.listed &&
                  now - member.since > kDeadMemberRetention;
    it = is_old ? members_.erase(it) : std::next(it);
  }
}

void Membership::SendNextPing(GossipSource* source, Context* context) {
  VmId target = NextTarget(context);
  if (target == VmId()) return;
  SendPing(target, HandleId(), source, context);
}

void Membership::SendPing(const VmId& target, HandleId on_behalf_of,
                          GossipSource* source, Context* context) {
  auto found = members_.find(target);
  if (found == members_.end()) return;
  CallId call = context->NextCall();
  probes_[call] = Probe{target, false, on_behalf_of};
  context->Emit(CallPeer{call, target, found->second.update.address,
                         context->options().probe_timeout(),
                         PingCall{source->GossipFor(target)}});
}

void Membership::OnPingFailed(const Probe& probe, Context* context) {
  auto found = members_.find(probe.target);
  if (found == members_.end()) return;
  if (found->second.update.state == MemberState::kDead) return;
  std::vector<MemberUpdate> intermediaries;
  for (const MemberUpdate& vm : Usable()) {
    if (vm.vm != self_ && vm.vm != probe.target) intermediaries.push_back(vm);
  }
  int sent = 0;
  while (sent < kIndirectProbes && !intermediaries.empty()) {
    size_t index = context->Random(intermediaries.size());
    MemberUpdate intermediary = intermediaries[index];
    intermediaries.erase(intermediaries.begin() +
                         static_cast<std::ptrdiff_t>(index));
    CallId call = context->NextCall();
    probes_[call] = Probe{probe.target, true, HandleId()};
    context->Emit(CallPeer{call, intermediary.vm, intermediary.address,
                           context->options().probe_timeout() * 2,
                           IndirectPingCall{probe.target}});
    sent++;
  }
  indirect_pending_[probe.target] = sent;
  if (sent == 0) OnIndirectPingFailed(probe, context->now());
}

void Membership::OnIndirectPingFailed(const Probe& probe, TimePoint now) {
  auto pending = indirect_pending_.find(probe.target);
  if (pending == indirect_pending_.end()) return;
  pending->second--;
  if (pending->second > 0) return;
  indirect_pending_.erase(pending);
  auto found = members_.find(probe.target);
  if (found == members_.end()) return;
  if (found->second.update.state == MemberState::kAlive) {
    SetState(&found->second, MemberState::kSuspect, now);
  } else if (found->second.update.state == MemberState::kLeaving) {
    SetState(&found->second, MemberState::kDead, now);
  }
}

VmId Membership::NextTarget(Context* context) {
  if (context->Random(kPingsPerDeadMemberPing) == 0) {
    std::vector<VmId> dead;
    for (const auto& item : members_) {
      bool is_dead = item.second.update.state == MemberState::kDead;
      if (is_dead && item.first != self_) dead.push_back(item.first);
    }
    if (!dead.empty()) return dead[context->Random(dead.size())];
  }
  while (true) {
    if (unpinged_.empty()) {
      for (const auto& item : members_) {
        bool is_dead = item.second.update.state == MemberState::kDead;
        if (!is_dead && item.first != self_) unpinged_.push_back(item.first);
      }
      for (size_t i = unpinged_.size(); i > 1; i--) {
        std::swap(unpinged_[i - 1], unpinged_[context->Random(i)]);
      }
      if (unpinged_.empty()) return VmId();
    }
    VmId target = unpinged_.back();
    unpinged_.pop_back();
    if (IsReachable(target)) return target;
  }
}

void Membership::SetState(Member* member, MemberState state, TimePoint now) {
  bool was_usable = IsUsableState(member->update.state);
  member->update.state = state;
  member->since = now;
  queue_.Put(member->update.vm, member->update);
  if (was_usable != IsUsableState(state)) version_++;
}

}  // namespace fireflycart
