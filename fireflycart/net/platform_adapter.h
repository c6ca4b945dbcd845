// Calls to the platform. The adapter for a real platform implements this
// interface with the platform's own client library.

#ifndef FIREFLYCART_NET_PLATFORM_ADAPTER_H_
#define FIREFLYCART_NET_PLATFORM_ADAPTER_H_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

#include "fireflycart/core/effect.h"
#include "fireflycart/core/event.h"

namespace fireflycart {

// Receives replies, on the adapter's thread.
class PlatformHandler {
 public:
  virtual ~PlatformHandler() = default;
  virtual void OnPlatformReplied(PlatformReplied event) = 0;
};

// May be called from any thread. Each call ends with one reply.
class PlatformAdapter {
 public:
  virtual ~PlatformAdapter() = default;
  virtual void Call(const CallPlatform& call) = 0;
};

// Uses JSON over HTTP, as the stand-in does.
std::unique_ptr<PlatformAdapter> MakeHttpPlatformAdapter(
    boost::asio::io_context* io, const std::string& address,
    PlatformHandler* handler);

}  // namespace fireflycart

#endif  // FIREFLYCART_NET_PLATFORM_ADAPTER_H_
