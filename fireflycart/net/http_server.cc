// RESTinio reads further requests while earlier ones are pending (pipelining).
// Only by reading can it detect that a caller disconnected while its request
// was pending.

#include "fireflycart/net/http_server.h"

#include <chrono>
#include <exception>
#include <restinio/all.hpp>
#include <utility>

#include "fireflycart/core/error.h"

namespace fireflycart {
namespace {

constexpr size_t kMaxPipelinedRequests = 16;
constexpr std::chrono::seconds kHandlingTimeout{600};
constexpr std::chrono::seconds kWriteTimeout{10};
constexpr char kBearerPrefix[] = "Bearer ";

class CloseListener {
 public:
  explicit CloseListener(HttpHandler* handler) : handler_(handler) {}

  void state_changed(
      const restinio::connection_state::notice_t& notice) noexcept {
    bool closed =
        restinio::holds_alternative<restinio::connection_state::closed_t>(
            notice.cause());
    if (!closed) return;
    try {
      handler_->OnHttpClosed(notice.connection_id());
    } catch (const std::exception&) {
      // The listener must not throw; the handler reports its own errors.
    }
  }

 private:
  HttpHandler* handler_;
};

struct ServerTraits : public restinio::default_traits_t {
  using connection_state_listener_t = CloseListener;
  // RESTinio requires this name.
  static constexpr bool use_connection_count_limiter = true;  // NOLINT
};

class Responder : public HttpResponder {
 public:
  explicit Responder(restinio::request_handle_t request)
      : request_(std::move(request)) {}

  void Respond(const HttpResponse& response) override {
    auto builder = request_->create_response(restinio::http_status_line_t(
        restinio::http_status_code_t(static_cast<uint16_t>(response.status)),
        ReasonPhrase(response.status)));
    builder.append_header(restinio::http_field::content_type,
                          response.content_type);
    if (response.retry_after > Duration()) {
      // Whole seconds, rounded up; the body has the exact time.
      int64_t seconds = (response.retry_after.millis() + 999) / 1000;
      builder.append_header("Retry-After", std::to_string(seconds));
    }
    for (const HttpField& field : response.fields) {
      builder.append_header(field.name, field.value);
    }
    builder.set_body(response.body);
    if (response.close_connection) {
      builder.connection_close();
    } else {
      builder.connection_keep_alive();
    }
    builder.done();
  }

 private:
  static std::string ReasonPhrase(int status) {
    switch (status) {
      case 200:
        return "OK";
      case 400:
        return "Bad Request";
      case 401:
        return "Unauthorized";
      case 404:
        return "Not Found";
      case 405:
        return "Method Not Allowed";
      case 409:
        return "Conflict";
      case 413:
        return "Content Too Large";
      case 422:
        return "Unprocessable Content";
      case 429:
        return "Too Many Requests";
      case 503:
        return "Service Unavailable";
      case 504:
        return "Gateway Timeout";
      default:
        return "Status";
    }
  }

  restinio::request_handle_t request_;
};

std::string BearerToken(const restinio::request_t& request) {
  std::string value = request.header().get_field_or(
      restinio::http_field::authorization, std::string());
  std::string prefix = kBearerPrefix;
  if (value.compare(0, prefix.size(), prefix) != 0) return std::string();
  return value.substr(prefix.size());
}

class RestinioServer : public HttpServer {
 public:
  RestinioServer(const HttpServerOptions& options, HttpHandler* handler) {
    auto serve = [handler](restinio::request_handle_t request) {
      HttpRequest http;
      http.method = request->header().method().c_str();
      http.path = std::string(request->header().path());
      http.query = std::string(request->header().query());
      http.body = request->body();
      http.bearer_token = BearerToken(*request);
      http.connection = request->connection_id();
      handler->OnHttpRequest(std::move(http),
                             std::make_shared<Responder>(request));
      return restinio::request_accepted();
    };
    std::chrono::milliseconds idle_timeout(options.idle_timeout.millis());
    restinio::server_settings_t<ServerTraits> settings;
    settings.address(options.ip)
        .port(options.port)
        .request_handler(serve)
        .connection_state_listener(std::make_shared<CloseListener>(handler))
        .max_pipelined_requests(kMaxPipelinedRequests)
        .max_parallel_connections(options.max_connections)
        .handle_request_timeout(kHandlingTimeout)
        .write_http_response_timelimit(kWriteTimeout)
        .read_next_http_message_timelimit(idle_timeout)
        .concurrent_accepts_count(4)
        .socket_options_setter([](auto& socket_options) {
          socket_options.set_option(restinio::asio_ns::ip::tcp::no_delay(true));
        })
        .incoming_http_msg_limits(
            restinio::incoming_http_msg_limits_t()
                .max_url_size(options.max_header_bytes)
                .max_field_name_size(options.max_header_bytes)
                .max_field_value_size(options.max_header_bytes)
                .max_field_count(kMaxHeaderFields)
                .max_body_size(options.max_body));
    try {
      server_ = restinio::run_async<ServerTraits>(
          restinio::own_io_context(), std::move(settings), options.threads);
    } catch (const std::exception& e) {
      throw Error(ErrorCode::kUnavailable, "listen for HTTP",
                  options.ip + ":" + std::to_string(options.port), e.what());
    }
  }

  void Stop() override {
    server_->stop();
    server_->wait();
  }

 private:
  restinio::running_server_handle_t<ServerTraits> server_;
};

}  // namespace

HttpResponse PlainResponse(int status, const std::string& content_type,
                           const std::string& body) {
  HttpResponse response;
  response.status = status;
  response.content_type = content_type;
  response.body = body;
  return response;
}

std::unique_ptr<HttpServer> StartHttpServer(const HttpServerOptions& options,
                                            HttpHandler* handler) {
  return std::make_unique<RestinioServer>(options, handler);
}

}  // namespace fireflycart
