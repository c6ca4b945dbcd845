// Asks peers that have newer routes, upstreams or VMs for them.
//
//   inquiry.OnPeerAhead(vm, address, heartbeat.known);
//   inquiry.Ask(follower.known(), &context);
//   if (inquiry.OnReply(reply)) Use(inquiry.answer());
//
// A call from a peer does not show that this VM reaches the peer: a connection
// of each direction fails by itself. So another peer is asked if one does not
// answer soon, however long its answer may take to arrive.
//
// Limits: kMaxOpenCalls calls at a time, kMaxPeers peers in wait.

#ifndef FIREFLYCART_CORE_PROXY_SNAPSHOT_INQUIRY_H_
#define FIREFLYCART_CORE_PROXY_SNAPSHOT_INQUIRY_H_

#include <deque>
#include <map>
#include <string>

#include "fireflycart/core/proxy/proxy_context.h"

namespace fireflycart::proxy {

class SnapshotInquiry {
 public:
  // A large table takes this long on a slow link that others use, too.
  static constexpr Duration kTimeout = Duration::Millis(1000);
  // A peer that is reached answers sooner in most cases. Asking another one
  // costs the bytes of a second answer.
  static constexpr Duration kPatience = Duration::Millis(250);
  static constexpr size_t kMaxOpenCalls = 3;
  static constexpr size_t kMaxPeers = 16;

  struct Answer {
    VmId peer;
    TimePoint asked_at;
    bool has_reply = false;  // False if the call failed.
    SnapshotReply reply;
  };

  // Records that a message of the peer showed these versions. The peer of the
  // latest message is asked first.
  void OnPeerAhead(const VmId& peer, const std::string& address,
                   const KnownVersions& versions);
  // Asks a peer that is ahead of these versions, if it is time to.
  void Ask(const KnownVersions& known, ProxyContext* context);
  // False if the reply is not to a call of this object.
  bool OnReply(const PeerReplied& reply);
  const Answer& answer() const { return answer_; }

 private:
  struct Peer {
    VmId vm;
    std::string address;
    KnownVersions versions;
  };
  struct OpenCall {
    VmId peer;
    TimePoint asked_at;
  };

  void Remove(const VmId& peer);
  bool IsAsked(const VmId& peer) const;

  std::deque<Peer> ahead_;  // That of the latest message comes first.
  std::map<CallId, OpenCall> calls_;
  TimePoint next_;  // Of the next call while others are open.
  Answer answer_;
};

}  // namespace fireflycart::proxy

#endif  // FIREFLYCART_CORE_PROXY_SNAPSHOT_INQUIRY_H_
