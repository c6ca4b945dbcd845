// An HTTP/1.1 server with keep-alive, on RESTinio. The implementation is kept
// out of this header, since RESTinio is slow to compile.
//
//   class Handler : public HttpHandler { ... };
//   auto server = StartHttpServer(options, &handler);
//   responder->Respond(HttpResponse{200, "application/json", body});
//
// Limits: the body of a request is at most max_body bytes, its header
// kMaxHeaderFields fields of max_header_bytes bytes, and at most
// max_connections connections are served. Handler methods are called from the
// server's threads, several at a time.

#ifndef FIREFLYCART_NET_HTTP_SERVER_H_
#define FIREFLYCART_NET_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "fireflycart/core/clock.h"
#include "fireflycart/net/http_field.h"

namespace fireflycart {

struct HttpRequest {
  std::string method;
  std::string path;
  std::string query;
  std::string body;
  std::string bearer_token;  // Empty if the request carries none.
  uint64_t connection = 0;   // Equal for all requests of one connection.
};

struct HttpResponse {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
  Duration retry_after;           // Sent as Retry-After if positive.
  bool close_connection = false;  // Close after this response.
  std::vector<HttpField> fields;  // Further header fields.
};

// A response without further fields.
HttpResponse PlainResponse(int status, const std::string& content_type,
                           const std::string& body);

// Answers one request, once. May be used from any thread. It may be destroyed
// without an answer only while the server shuts down.
class HttpResponder {
 public:
  virtual ~HttpResponder() = default;
  virtual void Respond(const HttpResponse& response) = 0;
};

class HttpHandler {
 public:
  virtual ~HttpHandler() = default;
  virtual void OnHttpRequest(HttpRequest request,
                             std::shared_ptr<HttpResponder> responder) = 0;
  // The connection is closed. Its pending requests need no answer.
  virtual void OnHttpClosed(uint64_t connection) = 0;
};

constexpr size_t kMaxHeaderFields = 64;

struct HttpServerOptions {
  std::string ip;
  uint16_t port = 0;
  size_t threads = 1;
  size_t max_body = size_t{1} << 20;
  size_t max_connections = 20000;
  Duration idle_timeout = Duration::Seconds(600);
  // Of the path, and of each of at most kMaxHeaderFields header fields.
  size_t max_header_bytes = size_t{64} << 10;
};

class HttpServer {
 public:
  virtual ~HttpServer() = default;
  // Stops serving and waits for the threads to end.
  virtual void Stop() = 0;
};

// Throws Error(kUnavailable) if the address cannot be listened on.
std::unique_ptr<HttpServer> StartHttpServer(const HttpServerOptions& options,
                                            HttpHandler* handler);

}  // namespace fireflycart

#endif  // FIREFLYCART_NET_HTTP_SERVER_H_
