// There is one client connection for each peer address, opened at the first
// call. A call that is queued for the connection ends as "not sent" if the
// connection fails. A call whose stream was opened ends as "broken", since the
// peer may have run it. If a call times out and no reply to any call was
// received while it was in flight, the connection is closed, as it may be
// permanently unresponsive; the next call opens a new one.

#include "fireflycart/net/http2_transport.h"

#include <boost/asio/post.hpp>
#include <chrono>
#include <deque>
#include <set>

#include "fireflycart/core/error.h"
#include "fireflycart/net/address.h"
#include "fireflycart/net/peer_codec.h"

namespace fireflycart {
namespace {

using Tcp = boost::asio::ip::tcp;

constexpr char kFromHeader[] = "x-from";
constexpr char kPath[] = "/peer";
constexpr size_t kMaxNameBytes = 256;
constexpr std::chrono::milliseconds kAcceptRetryDelay{100};

}  // namespace

struct Http2Transport::PendingCall {
  CallPeer call;
  int32_t stream = 0;  // 0 while the call is queued.
  uint64_t received_at_submit = 0;
  bool ended = false;
  std::unique_ptr<boost::asio::steady_timer> timer;
};

struct Http2Transport::Channel {
  std::shared_ptr<ClientConnection> connection;
  std::unique_ptr<Tcp::socket> connecting;
  std::deque<std::shared_ptr<PendingCall>> queued;
  std::map<int32_t, std::shared_ptr<PendingCall>> in_flight;
  uint64_t received_count = 0;  // Replies received, over all connections.
};

class Http2Transport::ClientConnection : public Http2Connection {
 public:
  ClientConnection(Tcp::socket socket, std::string address,
                   Http2Transport* transport)
      : Http2Connection(std::move(socket), Side::kClient, nullptr),
        address_(std::move(address)),
        transport_(transport) {}

  void Detach() { transport_ = nullptr; }

 protected:
  void OnHeader(int32_t, const std::string&, const std::string&) override {}
  void OnMessage(int32_t stream, std::string body) override {
    if (transport_ == nullptr) return;
    transport_->OnReply(address_, stream, std::move(body));
  }
  void OnStreamClosed(int32_t stream) override {
    if (transport_ != nullptr) transport_->OnStreamLost(address_, stream);
  }
  void OnClosed() override {
    if (transport_ != nullptr) transport_->OnChannelClosed(address_);
  }

 private:
  std::string address_;
  Http2Transport* transport_;
};

class Http2Transport::ServerConnection : public Http2Connection {
 public:
  ServerConnection(Tcp::socket socket, Http2Transport* transport)
      : Http2Connection(std::move(socket), Side::kServer, transport->memory_),
        transport_(transport),
        last_use_(++transport->last_use_) {}

  bool has_requested() const { return has_requested_; }
  // True if it is rather to be closed than the other one.
  bool IsLessUsedThan(const ServerConnection& o) const {
    return std::make_pair(has_requested_, last_use_) <
           std::make_pair(o.has_requested_, o.last_use_);
  }

 protected:
  void OnHeader(int32_t stream, const std::string& name,
                const std::string& value) override {
    if (name != kFromHeader || value.size() > kMaxNameBytes) return;
    from_[stream] = VmId(value);
  }
  void OnMessage(int32_t stream, std::string body) override {
    has_requested_ = true;
    last_use_ = ++transport_->last_use_;
    VmId from = from_[stream];
    from_.erase(stream);
    auto self = std::static_pointer_cast<ServerConnection>(shared_from_this());
    transport_->OnRequest(self, stream, from, body);
  }
  void OnStreamClosed(int32_t stream) override { from_.erase(stream); }
  void OnClosed() override {
    from_.clear();
    transport_->connections_.erase(this);
  }

 private:
  Http2Transport* transport_;
  std::map<int32_t, VmId> from_;
  bool has_requested_ = false;
  uint64_t last_use_;  // Order of the last request, or of its opening.
};

Http2Transport::Http2Transport(boost::asio::io_context* io, VmId self,
                               PeerHandler* handler, MemoryGuard* memory)
    : io_(io),
      self_(std::move(self)),
      handler_(handler),
      memory_(memory),
      accept_retry_timer_(*io) {}

Http2Transport::~Http2Transport() {
  for (auto& item : channels_) {
    if (item.second->connection) item.second->connection->Detach();
  }
}

void Http2Transport::Listen(const std::string& ip, uint16_t port) {
  try {
    Tcp::endpoint endpoint(boost::asio::ip::make_address(ip), port);
    acceptor_ = std::make_unique<Tcp::acceptor>(*io_, endpoint);
  } catch (const boost::system::system_error& e) {
    throw Error(ErrorCode::kUnavailable, "listen for peers",
                ip + ":" + std::to_string(port), e.what());
  }
  Accept();
}

void Http2Transport::Call(const CallPeer& call) {
  boost::asio::post(*io_, [this, call] { StartCall(call); });
}

void Http2Transport::Answer(const AnswerPeer& answer) {
  boost::asio::post(*io_, [this, answer] {
    auto found = pending_requests_.find(answer.handle);
    if (found == pending_requests_.end()) return;
    PendingRequest request = found->second;
    pending_requests_.erase(found);
    auto connection = request.connection.lock();
    if (!connection) return;
    connection->SubmitResponse(request.stream, EncodePeerReply(answer.body));
  });
}

void Http2Transport::Accept() {
  acceptor_->async_accept(
      [this](boost::system::error_code error, Tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted) return;
        if (error) {
          // Most likely the process is out of file descriptors; some may be
          // free later.
          accept_retry_timer_.expires_after(kAcceptRetryDelay);
          accept_retry_timer_.async_wait([this](boost::system::error_code e) {
            if (!e) Accept();
          });
          return;
        }
        AddConnection(std::move(socket));
        Accept();
      });
}

void Http2Transport::CloseLeastUsed() {
  std::shared_ptr<ServerConnection> least;
  for (const auto& item : connections_) {
    std::shared_ptr<ServerConnection> connection = item.second.lock();
    if (!connection) continue;
    if (!least || connection->IsLessUsedThan(*least)) least = connection;
  }
  if (least) least->Close();
}

void Http2Transport::AddConnection(Tcp::socket socket) {
  if (connections_.size() >= kMaxPeerConnections) CloseLeastUsed();
  auto connection = std::make_shared<ServerConnection>(std::move(socket), this);
  connections_[connection.get()] = connection;
  connection->Start();
  auto timer = std::make_shared<boost::asio::steady_timer>(*io_);
  timer->expires_after(std::chrono::milliseconds(kFirstRequestTime.millis()));
  std::weak_ptr<ServerConnection> weak = connection;
  timer->async_wait([timer, weak](boost::system::error_code) {
    auto locked = weak.lock();
    if (locked && !locked->has_requested()) locked->Close();
  });
}

void Http2Transport::StartCall(const CallPeer& call) {
  auto pending = std::make_shared<PendingCall>();
  pending->call = call;
  std::unique_ptr<Channel>& channel = channels_[call.address];
  if (!channel) channel = std::make_unique<Channel>();
  if (channel->queued.size() >= kMaxQueuedCalls) {
    Finish(pending, PeerCallError::kNotSent, PeerReplyBody());
    return;
  }
  pending->timer = std::make_unique<boost::asio::steady_timer>(*io_);
  pending->timer->expires_after(
      std::chrono::milliseconds(call.timeout.millis()));
  pending->timer->async_wait([this, pending](boost::system::error_code error) {
    if (!error) OnTimeout(pending);
  });
  if (channel->connection) {
    Submit(channel.get(), pending);
    return;
  }
  channel->queued.push_back(pending);
  if (!channel->connecting) Connect(call.address, channel.get());
}

void Http2Transport::Connect(const std::string& address, Channel* channel) {
  channel->connecting = std::make_unique<Tcp::socket>(*io_);
  auto on_connected = [this, address,
                       channel](boost::system::error_code error) {
    std::unique_ptr<Tcp::socket> socket = std::move(channel->connecting);
    if (error || !socket) {
      std::deque<std::shared_ptr<PendingCall>> queued;
      queued.swap(channel->queued);
      for (auto& call : queued) {
        Finish(call, PeerCallError::kNotSent, PeerReplyBody());
      }
      return;
    }
    channel->connection =
        std::make_shared<ClientConnection>(std::move(*socket), address, this);
    channel->connection->Start();
    SubmitQueued(channel);
  };
  try {
    IpAddress parsed = ParseAddress(address);
    Tcp::endpoint endpoint(boost::asio::ip::make_address(parsed.ip),
                           parsed.port);
    channel->connecting->async_connect(endpoint, on_connected);
  } catch (const std::exception&) {
    boost::asio::post(*io_, [on_connected] {
      on_connected(boost::asio::error::host_not_found);
    });
  }
}

void Http2Transport::SubmitQueued(Channel* channel) {
  std::deque<std::shared_ptr<PendingCall>> queued;
  queued.swap(channel->queued);
  for (auto& call : queued) {
    if (call->ended) continue;
    if (channel->connection) {
      Submit(channel, call);
    } else {
      Finish(call, PeerCallError::kNotSent, PeerReplyBody());
    }
  }
}

void Http2Transport::Submit(Channel* channel,
                            const std::shared_ptr<PendingCall>& call) {
  std::vector<Http2Header> headers = {{":method", "POST"},
                                      {":scheme", "http"},
                                      {":authority", call->call.address},
                                      {":path", kPath},
                                      {kFromHeader, self_.value()}};
  int32_t stream = channel->connection->SubmitRequest(
      headers, EncodePeerCall(call->call.body));
  if (stream <= 0) {
    Finish(call, PeerCallError::kNotSent, PeerReplyBody());
    return;
  }
  call->stream = stream;
  call->received_at_submit = channel->received_count;
  // The connection may have failed while the request was written.
  if (channel->connection) {
    channel->in_flight[stream] = call;
  } else {
    Finish(call, PeerCallError::kBroken, PeerReplyBody());
  }
}

void Http2Transport::OnReply(const std::string& address, int32_t stream,
                             std::string body) {
  Channel* channel = channels_[address].get();
  channel->received_count++;
  auto found = channel->in_flight.find(stream);
  if (found == channel->in_flight.end()) return;
  std::shared_ptr<PendingCall> call = found->second;
  channel->in_flight.erase(found);
  try {
    Finish(call, PeerCallError::kNone, DecodePeerReply(body, address));
  } catch (const Error&) {
    Finish(call, PeerCallError::kBroken, PeerReplyBody());
  }
}

void Http2Transport::OnStreamLost(const std::string& address, int32_t stream) {
  Channel* channel = channels_[address].get();
  auto found = channel->in_flight.find(stream);
  if (found == channel->in_flight.end()) return;
  std::shared_ptr<PendingCall> call = found->second;
  channel->in_flight.erase(found);
  Finish(call, PeerCallError::kBroken, PeerReplyBody());
}

void Http2Transport::OnChannelClosed(const std::string& address) {
  Channel* channel = channels_[address].get();
  if (channel->connection) channel->connection->Detach();
  channel->connection.reset();
  std::map<int32_t, std::shared_ptr<PendingCall>> in_flight;
  in_flight.swap(channel->in_flight);
  for (auto& item : in_flight) {
    Finish(item.second, PeerCallError::kBroken, PeerReplyBody());
  }
}

void Http2Transport::OnTimeout(const std::shared_ptr<PendingCall>& call) {
  if (call->ended) return;
  Channel* channel = channels_[call->call.address].get();
  if (call->stream == 0) {
    // The connection was not established in time. The attempt is cancelled, so
    // that the next call starts a new one.
    if (channel->connecting) {
      boost::system::error_code ignored;
      channel->connecting->close(ignored);
    }
    Finish(call, PeerCallError::kNotSent, PeerReplyBody());
    return;
  }
  channel->in_flight.erase(call->stream);
  std::shared_ptr<ClientConnection> connection = channel->connection;
  bool unresponsive = channel->received_count == call->received_at_submit;
  if (connection) {
    if (unresponsive) {
      connection->Close();
    } else {
      connection->ResetStream(call->stream);
    }
  }
  Finish(call, PeerCallError::kBroken, PeerReplyBody());
}

void Http2Transport::Finish(const std::shared_ptr<PendingCall>& call,
                            PeerCallError error, PeerReplyBody body) {
  if (call->ended) return;
  call->ended = true;
  if (call->timer) call->timer->cancel();
  handler_->OnPeerReplied(PeerReplied{call->call.call, error, std::move(body)});
}

void Http2Transport::OnRequest(
    const std::shared_ptr<ServerConnection>& connection, int32_t stream,
    const VmId& from, const std::string& body) {
  HandleId handle(++last_handle_);
  try {
    PeerCallBody call = DecodePeerCall(body, from.value());
    pending_requests_[handle] = PendingRequest{connection, stream};
    handler_->OnPeerCalled(PeerCalled{handle, from, std::move(call)});
  } catch (const Error&) {
    connection->ResetStream(stream);
  }
}

}  // namespace fireflycart
