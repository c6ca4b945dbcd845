// Each connection owns its stream and buffers; callbacks keep it alive.

#include "fireflycart/net/http_client.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <utility>

#include "fireflycart/core/error.h"
#include "fireflycart/net/address.h"

namespace fireflycart {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = boost::asio::ip::tcp;
using HttpRequestMessage = http::request<http::string_body>;
using ReplyParser = http::response_parser<http::string_body>;

constexpr int kHttpVersion = 11;
// Closing resets the connection instead of sending the rest.
constexpr int kNoLingerSeconds = 0;
// A connection reads once in each turn of the event loop, at most what its
// buffer holds, so a small buffer delays large replies when the loop is busy.
constexpr size_t kReadBufferBytes = size_t{64} << 10;

Tcp::endpoint EndpointOf(const std::string& address) {
  IpAddress parsed = ParseAddress(address);
  return Tcp::endpoint(boost::asio::ip::make_address(parsed.ip), parsed.port);
}

HttpRequestMessage MakeRequest(http::verb method, const std::string& address,
                               const std::string& target,
                               const std::string& body,
                               const std::string& token) {
  HttpRequestMessage request(method, target, kHttpVersion);
  request.set(http::field::host, address);
  request.set(http::field::content_type, "application/json");
  if (!token.empty()) {
    request.set(http::field::authorization, "Bearer " + token);
  }
  request.keep_alive(true);
  request.body() = body;
  request.prepare_payload();
  return request;
}

class BeastConnection : public HttpConnection,
                        public std::enable_shared_from_this<BeastConnection> {
 public:
  BeastConnection(boost::asio::io_context* io, std::string address)
      : stream_(*io), address_(std::move(address)) {}

  void Open(std::function<void(bool)> on_open) {
    auto self = shared_from_this();
    Tcp::endpoint endpoint;
    try {
      endpoint = EndpointOf(address_);
    } catch (const Error&) {
      boost::asio::post(stream_.get_executor(), [self, on_open] {
        if (!self->closed_) on_open(false);
      });
      return;
    }
    stream_.async_connect(endpoint, [self, on_open](beast::error_code error) {
      if (self->closed_) return;
      beast::error_code ignored;
      if (!error) {
        self->stream_.socket().set_option(Tcp::no_delay(true), ignored);
      }
      on_open(!error);
    });
  }

  void SetToken(const std::string& token) override { token_ = token; }

  void Post(const std::string& path, const std::string& body, Duration timeout,
            std::function<void(HttpReply)> on_reply) override {
    Send(HttpCall{"POST", path, body, {}, {}}, timeout, std::move(on_reply));
  }

  void Send(const HttpCall& call, Duration timeout,
            std::function<void(HttpReply)> on_reply) override {
    request_ = MakeRequest(http::string_to_verb(call.method), address_,
                           call.target, call.body, token_);
    for (const HttpField& field : call.fields) {
      request_.set(field.name, field.value);
    }
    if (timeout > Duration()) {
      SetTimeout(timeout);
    } else {
      stream_.expires_never();
    }
    parser_ = std::make_unique<ReplyParser>();
    parser_->body_limit(kMaxHttpReplyBytes);
    reply_fields_ = call.reply_fields;
    on_reply_ = std::move(on_reply);
    auto self = shared_from_this();
    http::async_write(
        stream_, request_,
        [self](beast::error_code error, size_t) { self->OnWritten(error); });
  }

  void Close() override {
    if (closed_) return;
    closed_ = true;
    on_reply_ = nullptr;
    beast::error_code ignored;
    stream_.socket().close(ignored);
  }

  void SetDiscardsOnClose(bool discards) override {
    beast::error_code ignored;
    stream_.socket().set_option(
        boost::asio::socket_base::linger(discards, kNoLingerSeconds), ignored);
  }

  void SetTimeout(Duration timeout) {
    stream_.expires_after(std::chrono::milliseconds(timeout.millis()));
  }

 private:
  void OnWritten(beast::error_code error) {
    if (closed_) return;
    if (error) {
      Finish(HttpReply());
      return;
    }
    buffer_.reserve(kReadBufferBytes);
    auto self = shared_from_this();
    http::async_read(stream_, buffer_, *parser_,
                     [self](beast::error_code read_error, size_t) {
                       self->OnRead(read_error);
                     });
  }

  void OnRead(beast::error_code error) {
    if (closed_) return;
    if (error) {
      Finish(HttpReply());
      return;
    }
    buffer_.shrink_to_fit();  // Idle connections keep none.
    HttpReply reply;
    reply.ok = true;
    reply.status = static_cast<int>(parser_->get().result_int());
    for (const std::string& name : reply_fields_) {
      auto found = parser_->get().find(name);
      if (found == parser_->get().end()) continue;
      HttpField field;
      field.name = name;
      field.value.assign(found->value().data(), found->value().size());
      reply.fields.push_back(field);
    }
    reply.body = std::move(parser_->get().body());
    Finish(std::move(reply));
  }

  void Finish(HttpReply reply) {
    std::function<void(HttpReply)> on_reply = std::move(on_reply_);
    on_reply_ = nullptr;
    if (on_reply) on_reply(std::move(reply));
  }

  beast::tcp_stream stream_;
  std::string address_;
  std::string token_;
  beast::flat_buffer buffer_;
  HttpRequestMessage request_;
  std::unique_ptr<ReplyParser> parser_;
  std::vector<std::string> reply_fields_;
  std::function<void(HttpReply)> on_reply_;
  bool closed_ = false;
};

}  // namespace

std::shared_ptr<HttpConnection> OpenHttpConnection(
    boost::asio::io_context* io, const std::string& address,
    std::function<void(bool)> on_open) {
  auto connection = std::make_shared<BeastConnection>(io, address);
  connection->Open(std::move(on_open));
  return connection;
}

std::shared_ptr<HttpConnection> OpenHttpConnection(
    boost::asio::io_context* io, const std::string& address, Duration timeout,
    std::function<void(bool)> on_open) {
  auto connection = std::make_shared<BeastConnection>(io, address);
  connection->SetTimeout(timeout);
  connection->Open(std::move(on_open));
  return connection;
}

void PostOnce(boost::asio::io_context* io, const std::string& address,
              const std::string& path, const std::string& body,
              Duration timeout, std::function<void(HttpReply)> on_reply) {
  auto connection = std::make_shared<BeastConnection>(io, address);
  connection->SetTimeout(timeout);
  connection->Open([connection, path, body, timeout, on_reply](bool open) {
    if (!open) {
      on_reply(HttpReply());
      return;
    }
    connection->Post(path, body, timeout,
                     [connection, on_reply](HttpReply reply) {
                       connection->Close();
                       on_reply(std::move(reply));
                     });
  });
}

HttpReply RequestAndWait(const std::string& address, const std::string& method,
                         const std::string& target, const std::string& body,
                         const std::string& token, Duration timeout) {
  HttpReply reply;
  boost::asio::io_context io;
  beast::tcp_stream stream(io);
  beast::flat_buffer buffer;
  ReplyParser parser;
  parser.body_limit(kMaxHttpReplyBytes);
  http::verb verb = method == "GET" ? http::verb::get : http::verb::post;
  HttpRequestMessage request = MakeRequest(verb, address, target, body, token);
  stream.expires_after(std::chrono::milliseconds(timeout.millis()));
  stream.async_connect(EndpointOf(address), [&](beast::error_code error) {
    if (error) return;
    http::async_write(stream, request, [&](beast::error_code e, size_t) {
      if (e) return;
      http::async_read(
          stream, buffer, parser, [&](beast::error_code read_error, size_t) {
            if (read_error) return;
            reply.ok = true;
            reply.status = static_cast<int>(parser.get().result_int());
            reply.body = std::move(parser.get().body());
          });
    });
  });
  io.run();
  return reply;
}

}  // namespace fireflycart
