// HTTP/1.1 clients on Beast. The implementation is kept out of this header,
// since Beast is slow to compile.
//
// A connection carries one request at a time and is gone after an error:
//
//   auto connection = OpenHttpConnection(&io, "127.0.0.1:7001", on_open);
//   connection->Post("/v1/call", body, limit, on_reply);
//   connection->Close();                     // no callback follows
//
// A single request on a connection of its own, with a time limit:
//
//   PostOnce(&io, address, "/v1/platform", body, limit, on_reply);
//
// Limits: replies of at most kMaxHttpReply bytes. One thread.

#ifndef FIREFLYCART_NET_HTTP_CLIENT_H_
#define FIREFLYCART_NET_HTTP_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "fireflycart/core/clock.h"

namespace fireflycart {

constexpr size_t kMaxHttpReply = size_t{64} << 20;

struct HttpReply {
  bool ok = false;  // False if no whole reply arrived.
  int status = 0;
  std::string body;
};

struct HttpField {
  std::string name;
  std::string value;
};

// A request other than a POST of JSON.
struct HttpCall {
  std::string method;  // Any registered one, such as GET.
  std::string target;  // Path and query, escaped.
  std::string body;
  std::vector<HttpField> fields;
};

class HttpConnection {
 public:
  virtual ~HttpConnection() = default;
  // Like Post, for any method.
  virtual void Send(const HttpCall& call, Duration limit,
                    std::function<void(HttpReply)> on_reply) = 0;
  // Sent with each later request, if not empty.
  virtual void SetToken(const std::string& token) = 0;
  // One request at a time; the callback is not called after Close. A limit of 0
  // leaves the request open for as long as the connection is.
  virtual void Post(const std::string& path, const std::string& body,
                    Duration limit,
                    std::function<void(HttpReply)> on_reply) = 0;
  virtual void Close() = 0;
};

// The callback tells whether the connection is open. It is called once, unless
// the connection is closed before.
std::shared_ptr<HttpConnection> OpenHttpConnection(
    boost::asio::io_context* io, const std::string& address,
    std::function<void(bool)> on_open);
// The same, given up after the limit.
std::shared_ptr<HttpConnection> OpenHttpConnection(
    boost::asio::io_context* io, const std::string& address, Duration limit,
    std::function<void(bool)> on_open);

// Requests on a connection of their own. The callback is called once.
void PostOnce(boost::asio::io_context* io, const std::string& address,
              const std::string& path, const std::string& body, Duration limit,
              std::function<void(HttpReply)> on_reply);

// Requests and waits. Method is GET or POST; the token may be empty.
HttpReply RequestAndWait(const std::string& address, const std::string& method,
                         const std::string& target, const std::string& body,
                         const std::string& token, Duration limit);

}  // namespace fireflycart

#endif  // FIREFLYCART_NET_HTTP_CLIENT_H_
