// JSON encoding of the calls to the platform, shared by the HTTP adapter and
// the stand-in.
//
//   POST /v1/platform   EncodePlatformCall(...) -> EncodePlatformReply(...)
//
// Limits: decoding throws Error(kProtocol) that names the peer.

#ifndef FIREFLYCART_NET_PLATFORM_CODEC_H_
#define FIREFLYCART_NET_PLATFORM_CODEC_H_

#include <string>

#include "fireflycart/core/platform_message.h"

namespace fireflycart {

std::string EncodePlatformCall(const PlatformCallBody& body);
PlatformCallBody DecodePlatformCall(const std::string& text,
                                    const std::string& peer);

std::string EncodePlatformReply(const PlatformReply& reply);
PlatformReply DecodePlatformReply(const std::string& text,
                                  const std::string& peer);

}  // namespace fireflycart

#endif  // FIREFLYCART_NET_PLATFORM_CODEC_H_
