// PeerTransport over HTTP/2: each call is a stream of its own with a deadline.
//
//   Http2Transport transport(&io, VmId("gbg-a-1"), &handler);
//   transport.Listen("127.0.0.1", 7100);
//
// Limits: everything runs on the one thread of the io_context. For each peer,
// at most kMaxQueuedCalls calls are queued for a connection; further calls end
// as not sent. At most kMaxPeerConnections connections of peers are open; a
// further one takes the place of the one that has been without a request for
// longest, since it may have failed silently. One that has sent no request
// within kFirstRequestTime is closed.

#ifndef FIREFLYCART_NET_HTTP2_TRANSPORT_H_
#define FIREFLYCART_NET_HTTP2_TRANSPORT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "fireflycart/net/http2_connection.h"
#include "fireflycart/net/peer_transport.h"

namespace fireflycart {

constexpr size_t kMaxQueuedCalls = 10000;
// More than the other VMs of the largest fleet, and within the descriptors that
// callers cannot use.
constexpr size_t kMaxPeerConnections = 400;
constexpr Duration kFirstRequestTime = Duration::Seconds(5);

class Http2Transport : public PeerTransport {
 public:
  // What requests hold is accounted for with `memory`, unless it is null.
  Http2Transport(boost::asio::io_context* io, VmId self, PeerHandler* handler,
                 MemoryGuard* memory);
  ~Http2Transport() override;

  // Throws Error(kUnavailable) if the address cannot be listened on.
  void Listen(const std::string& ip, uint16_t port);

  void Call(const CallPeer& call) override;
  void Answer(const AnswerPeer& answer) override;

 private:
  class ClientConnection;
  class ServerConnection;
  struct Channel;
  struct PendingCall;
  // A request from a peer that has not been answered yet.
  struct PendingRequest {
    std::weak_ptr<ServerConnection> connection;
    int32_t stream = 0;
  };

  void Accept();
  void CloseLeastUsed();
  void AddConnection(boost::asio::ip::tcp::socket socket);
  void StartCall(const CallPeer& call);
  void Connect(const std::string& address, Channel* channel);
  void SubmitQueued(Channel* channel);
  void Submit(Channel* channel, const std::shared_ptr<PendingCall>& call);
  void OnReply(const std::string& address, int32_t stream, std::string body);
  void OnStreamLost(const std::string& address, int32_t stream);
  void OnChannelClosed(const std::string& address);
  void OnTimeout(const std::shared_ptr<PendingCall>& call);
  void Finish(const std::shared_ptr<PendingCall>& call, PeerCallError error,
              PeerReplyBody body);
  void OnRequest(const std::shared_ptr<ServerConnection>& connection,
                 int32_t stream, const VmId& from, const std::string& body);

  boost::asio::io_context* io_;
  VmId self_;
  PeerHandler* handler_;
  MemoryGuard* memory_;
  boost::asio::steady_timer accept_retry_timer_;
  // Accepted and not closed.
  std::map<ServerConnection*, std::weak_ptr<ServerConnection>> connections_;
  uint64_t last_use_ = 0;  // Counts connections and requests.
  std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor_;
  std::map<std::string, std::unique_ptr<Channel>> channels_;
  std::map<HandleId, PendingRequest> pending_requests_;
  uint64_t last_handle_ = 0;
};

}  // namespace fireflycart

#endif  // FIREFLYCART_NET_HTTP2_TRANSPORT_H_
