// A peer that was asked leaves the queue, so one that does not answer is asked
// again only after its next heartbeat. Peers that are no longer ahead are
// dropped before each call.

#include "fireflycart/core/proxy/snapshot_inquiry.h"

#include <algorithm>
#include <variant>

namespace fireflycart::proxy {

void SnapshotInquiry::OnPeerAhead(const VmId& peer, const std::string& address,
                                  const KnownVersions& versions) {
  if (peer == VmId() || address.empty()) return;
  Remove(peer);
  ahead_.push_front(Peer{peer, address, versions});
  if (ahead_.size() > kMaxPeers) ahead_.pop_back();
}

void SnapshotInquiry::Ask(const KnownVersions& known, ProxyContext* context) {
  ahead_.erase(std::remove_if(ahead_.begin(), ahead_.end(),
                              [&known](const Peer& peer) {
                                return !peer.versions.IsAheadOf(known);
                              }),
               ahead_.end());
  if (calls_.size() >= kMaxOpenCalls) return;
  auto next =
      std::find_if(ahead_.begin(), ahead_.end(),
                   [this](const Peer& peer) { return !IsAsked(peer.vm); });
  if (next == ahead_.end()) return;
  if (!calls_.empty() && context->now() < next_) {
    context->WakeAt(next_);
    return;
  }
  CallId call = context->NextCall();
  calls_[call] = OpenCall{next->vm, context->now()};
  context->Emit(
      CallPeer{call, next->vm, next->address, kTimeout, SnapshotCall{known}});
  ahead_.erase(next);
  next_ = context->now() + kPatience;
  context->WakeAt(next_);
}

bool SnapshotInquiry::OnReply(const PeerReplied& reply) {
  auto found = calls_.find(reply.call);
  if (found == calls_.end()) return false;
  answer_ = Answer();
  answer_.peer = found->second.peer;
  answer_.asked_at = found->second.asked_at;
  calls_.erase(found);
  const auto* body = std::get_if<SnapshotReply>(&reply.body);
  answer_.has_reply = reply.error == PeerCallError::kNone && body != nullptr;
  if (answer_.has_reply) answer_.reply = *body;
  return true;
}

void SnapshotInquiry::Remove(const VmId& peer) {
  ahead_.erase(
      std::remove_if(ahead_.begin(), ahead_.end(),
                     [&peer](const Peer& other) { return other.vm == peer; }),
      ahead_.end());
}

bool SnapshotInquiry::IsAsked(const VmId& peer) const {
  return std::any_of(calls_.begin(), calls_.end(), [&peer](const auto& item) {
    return item.second.peer == peer;
  });
}

}  // namespace fireflycart::proxy
