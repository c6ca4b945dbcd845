// Binary encoding of the messages between daemons: CBOR, written and read by
// the JSON library.
//
//   std::string bytes = EncodePeerCall(PingCall{gossip});
//   PeerCallBody body = DecodePeerCall(bytes, peer);
//
// Limits: at most kMaxPeerMessageBytes bytes. Decoding throws Error(kProtocol)
// that names the peer; it never crashes on malformed input.

#ifndef FIREFLYCART_NET_PEER_CODEC_H_
#define FIREFLYCART_NET_PEER_CODEC_H_

#include <cstddef>
#include <string>

#include "fireflycart/core/peer_message.h"

namespace fireflycart {

constexpr size_t kMaxPeerMessageBytes = size_t{16} << 20;

std::string EncodePeerCall(const PeerCallBody& body);
PeerCallBody DecodePeerCall(const std::string& bytes, const std::string& peer);

std::string EncodePeerReply(const PeerReplyBody& body);
PeerReplyBody DecodePeerReply(const std::string& bytes,
                              const std::string& peer);

}  // namespace fireflycart

#endif  // FIREFLYCART_NET_PEER_CODEC_H_
