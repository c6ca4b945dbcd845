// Answers to the calls of other VMs. Each call gets exactly one answer: at
// once, or for forwarded requests and indirect pings when the result is
// available.

#include <utility>

#include "fireflycart/core/reducer.h"

namespace fireflycart {

void Reducer::Handle(const PeerCalled& event) {
  std::visit(
      [&](const auto& call) { OnPeerCall(event.handle, event.from, call); },
      event.body);
}

void Reducer::OnPeerCall(HandleId handle, const VmId& from,
                         const PingCall& call) {
  ApplyGossip(call.gossip);
  context_.Emit(AnswerPeer{handle, PingReply{GossipFor(from)}});
}

void Reducer::OnPeerCall(HandleId handle, const VmId& from,
                         const IndirectPingCall& call) {
  (void)from;
  membership_.PingOnBehalf(handle, call.target, this, &context_);
}

void Reducer::OnPeerCall(HandleId handle, const VmId& from,
                         const ForwardCall& call) {
  (void)from;
  GroupCoordinator* group = GroupById(call.request.group);
  if (group == nullptr || IsIsolated()) {
    context_.Emit(AnswerPeer{handle, ForwardReply()});
    return;
  }
  group->Submit(call.request, WorkOrigin{false, handle}, call.time_left,
                call.maybe_run);
}

void Reducer::OnPeerCall(HandleId handle, const VmId& from,
                         const CancelCall& call) {
  (void)from;
  GroupCoordinator* group = GroupById(call.group);
  if (group != nullptr) group->Cancel(call.key);
  context_.Emit(AnswerPeer{handle, CancelReply{}});
}

void Reducer::OnPeerCall(HandleId handle, const VmId& from,
                         const ConfigFetchCall& call) {
  (void)from;
  context_.Emit(AnswerPeer{handle, config_.AnswerFetch(call)});
}

void Reducer::OnPeerCall(HandleId handle, const VmId& from,
                         const ConfigAnnounceCall& call) {
  config_.OnPeerVersion(from, AddressOf(from), call.version, &context_);
  context_.Emit(AnswerPeer{handle, ConfigAnnounceReply{}});
}

void Reducer::OnPeerCall(HandleId handle, const VmId& from,
                         const SpareOrdinalCall& call) {
  (void)from;
  (void)call;
  context_.Emit(AnswerPeer{handle, SpareOrdinalReply{ordinals_.TakeSpare()}});
}

void Reducer::OnPeerCall(HandleId handle, const VmId& from,
                         const HandoverCall& call) {
  (void)from;
  GroupCoordinator* group = GroupById(call.group);
  bool can_take_over = group != nullptr && !stopping_ && !IsIsolated();
  if (can_take_over) group->TakeOverFrom(call);
  bool accepted = can_take_over && group->coordinating();
  context_.Emit(AnswerPeer{handle, HandoverReply{accepted}});
}

// Hands the group over if this VM's placement also assigns it to the sender.
void Reducer::OnPeerCall(HandleId handle, const VmId& from,
                         const HandoverRequestCall& call) {
  GroupCoordinator* group = GroupById(call.group);
  VmId coordinator = placement_.Leader(call.group);
  bool coordinates = group != nullptr && group->coordinating();
  if (coordinates) coordinator = context_.self();
  if (!coordinates && coordinator == context_.self()) coordinator = VmId();
  context_.Emit(AnswerPeer{handle, HandoverRequestReply{coordinator}});
  bool agreed = coordinates && placement_.AssignedVm(call.group) == from &&
                membership_.IsUsable(from);
  if (agreed) group->HandOverTo(from, AddressOf(from));
}

Gossip Reducer::GossipFor(const VmId& peer) {
  Gossip gossip;
  gossip.sender = context_.self();
  gossip.members = membership_.TakeUpdates(peer);
  gossip.leaders = placement_.TakeUpdates(gossip.members.size());
  gossip.config_version = config_.version();
  return gossip;
}

void Reducer::ApplyGossip(const Gossip& gossip) {
  membership_.Merge(gossip.members, now_);
  for (const LeaderUpdate& leader : gossip.leaders) {
    placement_.UpdateLeader(leader);
  }
  config_.OnPeerVersion(gossip.sender, AddressOf(gossip.sender),
                        gossip.config_version, &context_);
}

}  // namespace fireflycart
