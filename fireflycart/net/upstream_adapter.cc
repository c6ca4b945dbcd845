// Each connection of the reducer is one TCP connection. Its first request is
// the open message; the connection is open once that is answered.

#include "fireflycart/net/upstream_adapter.h"

#include <boost/asio/post.hpp>
#include <map>
#include <string>
#include <utility>

#include "fireflycart/core/error.h"
#include "fireflycart/net/http_client.h"
#include "fireflycart/net/upstream_codec.h"

namespace fireflycart {
namespace {

constexpr char kOpenPath[] = "/v1/open";
constexpr char kCallPath[] = "/v1/call";

class HttpUpstreamAdapter : public UpstreamAdapter {
 public:
  HttpUpstreamAdapter(boost::asio::io_context* io, UpstreamHandler* handler)
      : io_(io), handler_(handler) {}

  void Open(const OpenConnection& open) override {
    boost::asio::post(*io_, [this, open] { StartOpen(open); });
  }

  void Close(const CloseConnection& close) override {
    boost::asio::post(*io_, [this, close] {
      auto found = connections_.find(close.connection);
      if (found == connections_.end()) return;
      found->second.http->Close();
      connections_.erase(found);
    });
  }

  void Call(const CallUpstream& call) override {
    boost::asio::post(*io_, [this, call] { StartCall(call); });
  }

 private:
  struct Connection {
    std::shared_ptr<HttpConnection> http;
    std::string address;
  };

  void StartOpen(const OpenConnection& open) {
    ConnectionId id = open.connection;
    std::string message = EncodeOpen(
        OpenMessage{open.upstream, open.purpose, open.term, open.holder});
    auto http =
        OpenHttpConnection(io_, open.address, [this, id, message](bool ok) {
          if (!ok) {
            FailConnection(id);
            return;
          }
          connections_[id].http->Post(
              kOpenPath, message, Duration(),
              [this, id](HttpReply reply) { OnOpened(id, std::move(reply)); });
        });
    connections_[id] = Connection{http, open.address};
  }

  void OnOpened(ConnectionId id, HttpReply reply) {
    try {
      if (!reply.ok) throw Error(ErrorCode::kUnavailable, "open", "", "");
      UpstreamReply decoded =
          DecodeUpstreamReply(reply.body, connections_[id].address);
      handler_->OnConnectionOpened(ConnectionOpened{id, std::move(decoded)});
    } catch (const Error&) {
      FailConnection(id);
    }
  }

  void StartCall(const CallUpstream& call) {
    auto found = connections_.find(call.connection);
    if (found == connections_.end()) return;
    ConnectionId id = call.connection;
    CallId call_id = call.call;
    found->second.http->Post(kCallPath, EncodeUpstreamCall(call.body),
                             Duration(), [this, id, call_id](HttpReply reply) {
                               OnReplied(id, call_id, std::move(reply));
                             });
  }

  void OnReplied(ConnectionId id, CallId call, HttpReply reply) {
    try {
      if (!reply.ok) throw Error(ErrorCode::kUnavailable, "call", "", "");
      UpstreamReply decoded =
          DecodeUpstreamReply(reply.body, connections_[id].address);
      handler_->OnUpstreamReplied(
          UpstreamReplied{id, call, std::move(decoded)});
    } catch (const Error&) {
      FailConnection(id);
    }
  }

  // A missing or malformed reply leaves the connection in an unknown state, so
  // it is closed.
  void FailConnection(ConnectionId id) {
    auto found = connections_.find(id);
    if (found != connections_.end()) {
      found->second.http->Close();
      connections_.erase(found);
    }
    handler_->OnConnectionBroken(ConnectionBroken{id});
  }

  boost::asio::io_context* io_;
  UpstreamHandler* handler_;
  std::map<ConnectionId, Connection> connections_;
};

}  // namespace

std::unique_ptr<UpstreamAdapter> MakeHttpUpstreamAdapter(
    boost::asio::io_context* io, UpstreamHandler* handler) {
  return std::make_unique<HttpUpstreamAdapter>(io, handler);
}

}  // namespace fireflycart
