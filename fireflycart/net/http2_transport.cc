// One client connection for each peer address, opened at the first call. A call
// that waits for the connection is "not sent" if the connection fails; a call
// whose stream was opened is "broken", since the peer may have acted on it. A
// connection on which nothing arrived while a call timed out is replaced, as it
// may have gone silent for good.

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

}  // namespace

struct Http2Transport::OpenCall {
  CallPeer call;
  int32_t stream = 0;  // 0 while it waits for the connection.
  uint64_t received_before = 0;
  bool ended = false;
  std::unique_ptr<boost::asio::steady_timer> timer;
};

struct Http2Transport::Channel {
  std::shared_ptr<ClientConnection> connection;
  std::unique_ptr<Tcp::socket> connecting;
  std::deque<std::shared_ptr<OpenCall>> queued;
  std::map<int32_t, std::shared_ptr<OpenCall>> open;
  uint64_t received = 0;  // Messages and streams that ended, ever.
};

class Http2Transport::ClientConnection : public Http2Connection {
 public:
  ClientConnection(Tcp::socket socket, std::string address,
                   Http2Transport* transport)
      : Http2Connection(std::move(socket), Side::kClient),
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
      : Http2Connection(std::move(socket), Side::kServer),
        transport_(transport) {}

 protected:
  void OnHeader(int32_t stream, const std::string& name,
                const std::string& value) override {
    if (name == kFromHeader) from_[stream] = VmId(value);
  }
  void OnMessage(int32_t stream, std::string body) override {
    VmId from = from_[stream];
    from_.erase(stream);
    auto self = std::static_pointer_cast<ServerConnection>(shared_from_this());
    transport_->OnRequest(self, stream, from, body);
  }
  void OnStreamClosed(int32_t stream) override { from_.erase(stream); }
  void OnClosed() override { from_.clear(); }

 private:
  Http2Transport* transport_;
  std::map<int32_t, VmId> from_;
};

Http2Transport::Http2Transport(boost::asio::io_context* io, VmId self,
                               PeerHandler* handler)
    : io_(io), self_(std::move(self)), handler_(handler) {}

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
    auto found = asked_.find(answer.handle);
    if (found == asked_.end()) return;
    Asked asked = found->second;
    asked_.erase(found);
    auto connection = asked.connection.lock();
    if (!connection) return;
    connection->SubmitResponse(asked.stream, EncodePeerReply(answer.body));
  });
}

void Http2Transport::Accept() {
  acceptor_->async_accept(
      [this](boost::system::error_code error, Tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted) return;
        if (!error) {
          std::make_shared<ServerConnection>(std::move(socket), this)->Start();
        }
        Accept();
      });
}

void Http2Transport::StartCall(const CallPeer& call) {
  auto open = std::make_shared<OpenCall>();
  open->call = call;
  std::unique_ptr<Channel>& channel = channels_[call.address];
  if (!channel) channel = std::make_unique<Channel>();
  if (channel->queued.size() >= kMaxQueuedCalls) {
    End(open, PeerCallError::kNotSent, PeerReplyBody());
    return;
  }
  open->timer = std::make_unique<boost::asio::steady_timer>(*io_);
  open->timer->expires_after(std::chrono::milliseconds(call.timeout.millis()));
  open->timer->async_wait([this, open](boost::system::error_code error) {
    if (!error) OnTimeout(open);
  });
  if (channel->connection) {
    Submit(channel.get(), open);
    return;
  }
  channel->queued.push_back(open);
  if (!channel->connecting) Connect(call.address, channel.get());
}

void Http2Transport::Connect(const std::string& address, Channel* channel) {
  channel->connecting = std::make_unique<Tcp::socket>(*io_);
  auto on_connected = [this, address,
                       channel](boost::system::error_code error) {
    std::unique_ptr<Tcp::socket> socket = std::move(channel->connecting);
    if (error || !socket) {
      std::deque<std::shared_ptr<OpenCall>> queued;
      queued.swap(channel->queued);
      for (auto& call : queued) {
        End(call, PeerCallError::kNotSent, PeerReplyBody());
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
  std::deque<std::shared_ptr<OpenCall>> queued;
  queued.swap(channel->queued);
  for (auto& call : queued) {
    if (call->ended) continue;
    if (channel->connection) {
      Submit(channel, call);
    } else {
      End(call, PeerCallError::kNotSent, PeerReplyBody());
    }
  }
}

void Http2Transport::Submit(Channel* channel,
                            const std::shared_ptr<OpenCall>& call) {
  std::vector<Http2Header> headers = {{":method", "POST"},
                                      {":scheme", "http"},
                                      {":authority", call->call.address},
                                      {":path", kPath},
                                      {kFromHeader, self_.value()}};
  int32_t stream = channel->connection->SubmitRequest(
      headers, EncodePeerCall(call->call.body));
  if (stream <= 0) {
    End(call, PeerCallError::kNotSent, PeerReplyBody());
    return;
  }
  call->stream = stream;
  call->received_before = channel->received;
  // The connection may have broken while the request was written.
  if (channel->connection) {
    channel->open[stream] = call;
  } else {
    End(call, PeerCallError::kBroken, PeerReplyBody());
  }
}

void Http2Transport::OnReply(const std::string& address, int32_t stream,
                             std::string body) {
  Channel* channel = channels_[address].get();
  channel->received++;
  auto found = channel->open.find(stream);
  if (found == channel->open.end()) return;
  std::shared_ptr<OpenCall> call = found->second;
  channel->open.erase(found);
  try {
    End(call, PeerCallError::kNone, DecodePeerReply(body, address));
  } catch (const Error&) {
    End(call, PeerCallError::kBroken, PeerReplyBody());
  }
}

void Http2Transport::OnStreamLost(const std::string& address, int32_t stream) {
  Channel* channel = channels_[address].get();
  auto found = channel->open.find(stream);
  if (found == channel->open.end()) return;
  std::shared_ptr<OpenCall> call = found->second;
  channel->open.erase(found);
  End(call, PeerCallError::kBroken, PeerReplyBody());
}

void Http2Transport::OnChannelClosed(const std::string& address) {
  Channel* channel = channels_[address].get();
  if (channel->connection) channel->connection->Detach();
  channel->connection.reset();
  std::map<int32_t, std::shared_ptr<OpenCall>> open;
  open.swap(channel->open);
  for (auto& item : open) {
    End(item.second, PeerCallError::kBroken, PeerReplyBody());
  }
}

void Http2Transport::OnTimeout(const std::shared_ptr<OpenCall>& call) {
  if (call->ended) return;
  Channel* channel = channels_[call->call.address].get();
  if (call->stream == 0) {
    // Nothing connects: give the attempt up, so that the next call tries anew.
    if (channel->connecting) {
      boost::system::error_code ignored;
      channel->connecting->close(ignored);
    }
    End(call, PeerCallError::kNotSent, PeerReplyBody());
    return;
  }
  channel->open.erase(call->stream);
  std::shared_ptr<ClientConnection> connection = channel->connection;
  bool silent = channel->received == call->received_before;
  if (connection) {
    if (silent) {
      connection->Close();
    } else {
      connection->ResetStream(call->stream);
    }
  }
  End(call, PeerCallError::kBroken, PeerReplyBody());
}

void Http2Transport::End(const std::shared_ptr<OpenCall>& call,
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
    asked_[handle] = Asked{connection, stream};
    handler_->OnPeerCalled(PeerCalled{handle, from, std::move(call)});
  } catch (const Error&) {
    connection->ResetStream(stream);
  }
}

}  // namespace fireflycart
