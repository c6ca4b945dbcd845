// JSON encoding of the calls to an upstream, shared by the HTTP adapter and the
// stand-in.
//
//   POST /v1/open   EncodeOpen(...)         -> EncodeUpstreamReply(...)
//   POST /v1/call   EncodeUpstreamCall(...) -> EncodeUpstreamReply(...)
//
// Limits: decoding throws Error(kProtocol) that names the peer.

#ifndef FIREFLYCART_NET_UPSTREAM_CODEC_H_
#define FIREFLYCART_NET_UPSTREAM_CODEC_H_

#include <string>

#include "fireflycart/core/upstream_message.h"

namespace fireflycart {

// The first message on a connection.
struct OpenMessage {
  UpstreamId upstream;
  ConnectionPurpose purpose = ConnectionPurpose::kData;
  Term term;
  VmId holder;
};

std::string EncodeOpen(const OpenMessage& open);
OpenMessage DecodeOpen(const std::string& text, const std::string& peer);

std::string EncodeUpstreamCall(const UpstreamCallBody& body);
UpstreamCallBody DecodeUpstreamCall(const std::string& text,
                                    const std::string& peer);

std::string EncodeUpstreamReply(const UpstreamReply& reply);
UpstreamReply DecodeUpstreamReply(const std::string& text,
                                  const std::string& peer);

}  // namespace fireflycart

#endif  // FIREFLYCART_NET_UPSTREAM_CODEC_H_
