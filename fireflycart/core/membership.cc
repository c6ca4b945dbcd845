// SWIM failure detection (Das, Gupta, Motivala, 2002): in each period one
// member is pinged, in random order but each once per round. A failed ping is
// repeated by two other members, so that one bad path accuses nobody. Then the
// member is suspect, and dead once the suspicion ran out. A member that hears
// of its own suspicion raises its incarnation, which overrides.
//
// Two additions: members that count as dead are still pinged now and then, so
// that two halves of a fleet find each other after a partition; and a ping
// always names what is held against its target, so that the target can refute.

#include "fireflycart/core/membership.h"

#include <algorithm>
#include <utility>

namespace fireflycart {
namespace {

constexpr size_t kUpdatesPerPing = 6;
constexpr int kIndirectProbes = 2;
// One of so many pings goes to a member that counts as dead.
constexpr uint64_t kDeadProbeOdds = 8;
// How often all members are looked at for suspicions that ran out.
constexpr Duration kScanPeriod = Duration::Millis(50);
// A larger list comes from a VM that tells a newcomer everything. What stands
// in it is known to the fleet and need not be passed on.
constexpr size_t kLargestGossip = 2 * kUpdatesPerPing;
constexpr Duration kForgetDeadAfter = Duration::Seconds(60);

bool Overrides(const MemberUpdate& news, const MemberUpdate& known) {
  if (news.incarnation != known.incarnation) {
    return news.incarnation > known.incarnation;
  }
  return news.state > known.state;
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
    // Incarnation 0 and dead: anything heard from the VM itself overrides.
    Member member;
    member.update = MemberUpdate{listed.vm, listed.address, listed.data_centre,
                                 0, MemberState::kDead};
    member.since = now;
    member.listed = true;
    members_[listed.vm] = member;
    urgent_.insert(listed.vm);
  }
}

void Membership::OnTick(GossipSource* source, Context* context) {
  if (context->now() >= next_scan_) {
    next_scan_ = context->now() + kScanPeriod;
    EndSuspicions(context->now(), context->options().suspicion_timeout());
    DropForgotten(context->now());
  }
  if (!urgent_.empty()) {
    VmId target = *urgent_.begin();
    urgent_.erase(urgent_.begin());
    SendPing(target, HandleId(), source, context);
    return;
  }
  if (context->now() < next_ping_) return;
  next_ping_ = context->now() + context->options().probe_period();
  SendNextPing(source, context);
}

void Membership::Merge(const std::vector<MemberUpdate>& updates,
                       TimePoint now) {
  last_heard_ = std::max(last_heard_, now);
  bool passes_on = updates.size() <= kLargestGossip;
  for (const MemberUpdate& update : updates) {
    if (update.vm == self_) {
      RefuteIfAccused(update);
    } else {
      Apply(update, passes_on, now);
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
      OnIndirectFailed(probe, context->now());
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

void Membership::PingFor(HandleId handle, const VmId& target,
                         GossipSource* source, Context* context) {
  if (members_.count(target) == 0) {
    context->Emit(AnswerPeer{handle, IndirectPingReply{false}});
    return;
  }
  SendPing(target, handle, source, context);
}

void Membership::Suspect(const VmId& vm) {
  if (members_.count(vm) != 0 && vm != self_) urgent_.insert(vm);
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
  bool stranger =
      found == members_.end() || found->second.update.incarnation == 0;
  // A VM that is new here is probably new to the fleet: tell it everything.
  if (stranger) return All();
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
    bool counts =
        item.first != self_ && IsUsableState(item.second.update.state);
    if (counts) peers.push_back(item.second.update);
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

void Membership::Apply(const MemberUpdate& update, bool passes_on,
                       TimePoint now) {
  auto found = members_.find(update.vm);
  if (found == members_.end()) {
    if (update.state == MemberState::kDead) return;
    if (members_.size() >= kMaxMembers) return;
    Member member;
    member.update = update;
    member.since = now;
    members_[update.vm] = member;
    if (passes_on) queue_.Put(update.vm, update);
    version_++;
    return;
  }
  Member& member = found->second;
  if (!Overrides(update, member.update)) return;
  bool was_usable = IsUsableState(member.update.state);
  member.update = update;
  member.since = now;
  if (passes_on) queue_.Put(update.vm, update);
  if (was_usable != IsUsableState(update.state)) version_++;
}

void Membership::RefuteIfAccused(const MemberUpdate& update) {
  Member& self = members_[self_];
  bool accused = update.state != MemberState::kAlive;
  bool current = update.incarnation >= self.update.incarnation;
  if (!accused || !current) return;
  bool own_leave = self.update.state == MemberState::kLeaving &&
                   update.state != MemberState::kDead;
  if (own_leave) return;
  self.update.incarnation = update.incarnation + 1;
  queue_.Put(self_, self.update);
}

void Membership::EndSuspicions(TimePoint now, Duration suspicion) {
  for (auto& item : members_) {
    Member& member = item.second;
    bool ran_out = member.update.state == MemberState::kSuspect &&
                   now - member.since >= suspicion;
    if (ran_out) SetState(&member, MemberState::kDead, now);
  }
}

void Membership::DropForgotten(TimePoint now) {
  for (auto it = members_.begin(); it != members_.end();) {
    const Member& member = it->second;
    bool forgotten = member.update.state == MemberState::kDead &&
                     !member.listed && now - member.since > kForgetDeadAfter;
    it = forgotten ? members_.erase(it) : std::next(it);
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
  std::vector<MemberUpdate> helpers;
  for (const MemberUpdate& vm : Usable()) {
    if (vm.vm != self_ && vm.vm != probe.target) helpers.push_back(vm);
  }
  int asked = 0;
  while (asked < kIndirectProbes && !helpers.empty()) {
    size_t index = context->Random(helpers.size());
    MemberUpdate helper = helpers[index];
    helpers.erase(helpers.begin() + static_cast<std::ptrdiff_t>(index));
    CallId call = context->NextCall();
    probes_[call] = Probe{probe.target, true, HandleId()};
    context->Emit(CallPeer{call, helper.vm, helper.address,
                           context->options().probe_timeout() * 2,
                           IndirectPingCall{probe.target}});
    asked++;
  }
  indirect_pending_[probe.target] = asked;
  if (asked == 0) OnIndirectFailed(probe, context->now());
}

void Membership::OnIndirectFailed(const Probe& probe, TimePoint now) {
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
  if (context->Random(kDeadProbeOdds) == 0) {
    std::vector<VmId> dead;
    for (const auto& item : members_) {
      bool is_dead = item.second.update.state == MemberState::kDead;
      if (is_dead && item.first != self_) dead.push_back(item.first);
    }
    if (!dead.empty()) return dead[context->Random(dead.size())];
  }
  while (true) {
    if (round_.empty()) {
      for (const auto& item : members_) {
        bool is_dead = item.second.update.state == MemberState::kDead;
        if (!is_dead && item.first != self_) round_.push_back(item.first);
      }
      for (size_t i = round_.size(); i > 1; i--) {
        std::swap(round_[i - 1], round_[context->Random(i)]);
      }
      if (round_.empty()) return VmId();
    }
    VmId target = round_.back();
    round_.pop_back();
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
