// Connections to upstreams. The adapter for a real database implements this
// interface with the database's own client library.

#ifndef FIREFLYCART_NET_UPSTREAM_ADAPTER_H_
#define FIREFLYCART_NET_UPSTREAM_ADAPTER_H_

#include <boost/asio/io_context.hpp>
#include <memory>

#include "fireflycart/core/effect.h"
#include "fireflycart/core/event.h"

namespace fireflycart {

// Receives events of the connections, on the adapter's thread.
class UpstreamHandler {
 public:
  virtual ~UpstreamHandler() = default;
  virtual void OnConnectionOpened(ConnectionOpened event) = 0;
  virtual void OnConnectionBroken(ConnectionBroken event) = 0;
  virtual void OnUpstreamReplied(UpstreamReplied event) = 0;
};

// May be called from any thread.
class UpstreamAdapter {
 public:
  virtual ~UpstreamAdapter() = default;
  virtual void Open(const OpenConnection& open) = 0;
  virtual void Close(const CloseConnection& close) = 0;
  virtual void Call(const CallUpstream& call) = 0;
};

// Uses JSON over HTTP, as the stand-in does. The io_context must have one
// thread.
std::unique_ptr<UpstreamAdapter> MakeHttpUpstreamAdapter(
    boost::asio::io_context* io, UpstreamHandler* handler);

}  // namespace fireflycart

#endif  // FIREFLYCART_NET_UPSTREAM_ADAPTER_H_
