// Calls between daemons, independent of the protocol that carries them.
//
// An implementation delivers each call at most once and reports its end with
// exactly one OnPeerReplied. It calls all methods of the handler from its own
// thread.

#ifndef FIREFLYCART_NET_PEER_TRANSPORT_H_
#define FIREFLYCART_NET_PEER_TRANSPORT_H_

#include "fireflycart/core/effect.h"
#include "fireflycart/core/event.h"

namespace fireflycart {

class PeerHandler {
 public:
  virtual ~PeerHandler() = default;
  virtual void OnPeerCalled(PeerCalled event) = 0;
  virtual void OnPeerReplied(PeerReplied event) = 0;
};

class PeerTransport {
 public:
  virtual ~PeerTransport() = default;
  // May be called from any thread.
  virtual void Call(const CallPeer& call) = 0;
  virtual void Answer(const AnswerPeer& answer) = 0;
};

}  // namespace fireflycart

#endif  // FIREFLYCART_NET_PEER_TRANSPORT_H_
