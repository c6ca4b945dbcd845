// HTTP/1.1 clients on Beast. The implementation is kept out of this header,
// since Beast is slow to compile.
//
// A connection carries one request at a time and cannot be used after an error:
//
//   auto connection = OpenHttpConnection(&io, "127.0.0.1:7001", on_open);
//   connection->Post("/v1/call", body, timeout, on_reply);
//   connection->Close();                     // no callback follows
//
// A single request on a connection of its own, with a timeout:
//
//   PostOnce(&io, address, "/v1/platform", body, timeout, on_reply);
//
// Limits: replies of at most kMaxHttpReplyBytes bytes. One thread.

#ifndef FIREFLYCART_NET_HTTP_CLIENT_H_
#define FIREFLYCART_NET_HTTP_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "fireflycart/core/clock.h"
#include "fireflycart/net/http_field.h"

namespace fireflycart {

constexpr size_t kMaxHttpReplyBytes = size_t{64} << 20;

struct HttpReply {
  bool ok = false;  // False if no complete reply was received.
  int status = 0;
  std::string body;
  std::vector<HttpField> fields;  // Only those that HttpCall asks for.
};

// A request other than a POST of JSON.
struct HttpCall {
  std::string method;  // Any registered method, such as GET.
  std::string target;  // Path and query, escaped.
  std::string body;
  std::vector<HttpField> fields;
  // Names of fields of the reply that the caller needs.
  std::vector<std::string> reply_fields;
};

class HttpConnection {
 public:
  virtual ~HttpConnection() = default;
  // Like Post, for any method.
  virtual void Send(const HttpCall& call, Duration timeout,
                    std::function<void(HttpReply)> on_reply) = 0;
  // Sets the bearer token of all later requests; none is sent if it is empty.
  virtual void SetToken(const std::string& token) = 0;
  // One request at a time; the callback is not called after Close. With a
  // timeout of 0, the request ends only with its reply or with the connection.
  virtual void Post(const std::string& path, const std::string& body,
                    Duration timeout,
                    std::function<void(HttpReply)> on_reply) = 0;
  virtual void Close() = 0;
  // If set, what the peer has not received when the connection is closed or a
  // request times out is never sent. Otherwise the kernel goes on sending it.
  virtual void SetDiscardsOnClose(bool discards) = 0;
};

// Connects to the address. The callback receives whether this succeeded. It is
// called once, unless Close is called first.
std::shared_ptr<HttpConnection> OpenHttpConnection(
    boost::asio::io_context* io, const std::string& address,
    std::function<void(bool)> on_open);
// The same; connecting fails after the timeout.
std::shared_ptr<HttpConnection> OpenHttpConnection(
    boost::asio::io_context* io, const std::string& address, Duration timeout,
    std::function<void(bool)> on_open);

// Sends one POST on a connection of its own. The callback is called once.
void PostOnce(boost::asio::io_context* io, const std::string& address,
              const std::string& path, const std::string& body,
              Duration timeout, std::function<void(HttpReply)> on_reply);

// Sends a request and blocks until the reply or the timeout. The method is GET
// or POST; the token may be empty.
HttpReply RequestAndWait(const std::string& address, const std::string& method,
                         const std::string& target, const std::string& body,
                         const std::string& token, Duration timeout);

}  // namespace fireflycart

#endif  // FIREFLYCART_NET_HTTP_CLIENT_H_
