// Events arrive on several threads and are posted to the reducer's thread, so
// that the reducer needs no locks. The adapters that carry out effects may be
// called from any thread.

#include "fireflycart/daemon/daemon.h"

#include <boost/asio/post.hpp>
#include <chrono>
#include <utility>

#include "fireflycart/core/error.h"
#include "fireflycart/daemon/logging.h"

namespace fireflycart {
namespace {

constexpr std::chrono::milliseconds kTickInterval{kTickPeriod.millis()};
constexpr int kStatusNotReady = 503;

}  // namespace

Daemon::Daemon(Settings settings)
    : settings_(std::move(settings)),
      tokens_{settings_.caller_token, settings_.operator_token},
      control_work_(control_io_.get_executor()),
      reducer_(settings_.identity, settings_.options, settings_.seed),
      tick_timer_(control_io_),
      exit_timer_(control_io_),
      traffic_work_(traffic_io_.get_executor()) {}

Daemon::~Daemon() {
  control_io_.stop();
  traffic_io_.stop();
  if (control_thread_.joinable()) control_thread_.join();
  if (traffic_thread_.joinable()) traffic_thread_.join();
}

void Daemon::Start() {
  peers_ = std::make_unique<Http2Transport>(&traffic_io_, settings_.identity.vm,
                                            this, nullptr);
  upstreams_ = MakeHttpUpstreamAdapter(&traffic_io_, this);
  platform_ =
      MakeHttpPlatformAdapter(&traffic_io_, settings_.platform_address, this);
  peers_->Listen(settings_.peer_listen_address.ip,
                 settings_.peer_listen_address.port);
  HttpServerOptions options;
  options.ip = settings_.http_address.ip;
  options.port = settings_.http_address.port;
  options.threads = static_cast<size_t>(settings_.http_threads);
  options.max_body = size_t{16} << 20;
  http_ = StartHttpServer(options, this);
  LogRecord(LogLevel::kInfo, "start",
            "Seed " + std::to_string(settings_.seed) + ".");
  ScheduleTick();
  traffic_thread_ = std::thread([this] { traffic_io_.run(); });
  control_thread_ = std::thread([this] {
    try {
      control_io_.run();
    } catch (const std::exception& e) {
      LogRecord(LogLevel::kError, "reducer", e.what());
      failed_ = true;
    }
  });
}

void Daemon::RequestStop() { Post(StopRequested{}); }

bool Daemon::WaitUntilStopped() {
  control_thread_.join();
  http_->Stop();
  traffic_io_.stop();
  traffic_thread_.join();
  return !failed_;
}

void Daemon::OnHttpRequest(HttpRequest request,
                           std::shared_ptr<HttpResponder> responder) {
  ParsedCall parsed = ParseCall(request, tokens_, clock_.Now());
  if (parsed.error) {
    responder->Respond(*parsed.error);
    return;
  }
  boost::asio::post(control_io_, [this, request, parsed, responder] {
    StartCall(request, parsed, responder);
  });
}

void Daemon::OnHttpClosed(uint64_t connection) {
  boost::asio::post(control_io_, [this, connection] {
    auto found = handles_by_connection_.find(connection);
    if (found == handles_by_connection_.end()) return;
    std::set<HandleId> disconnected = std::move(found->second);
    handles_by_connection_.erase(found);
    for (HandleId handle : disconnected) {
      pending_.erase(handle);
      Reduce(CallerDisconnected{handle});
    }
  });
}

void Daemon::OnPeerCalled(PeerCalled event) { Post(std::move(event)); }
void Daemon::OnPeerReplied(PeerReplied event) { Post(std::move(event)); }
void Daemon::OnConnectionOpened(ConnectionOpened event) {
  Post(std::move(event));
}
void Daemon::OnConnectionBroken(ConnectionBroken event) { Post(event); }
void Daemon::OnUpstreamReplied(UpstreamReplied event) {
  Post(std::move(event));
}
void Daemon::OnPlatformReplied(PlatformReplied event) {
  Post(std::move(event));
}

void Daemon::Post(EventBody body) {
  boost::asio::post(control_io_,
                    [this, body = std::move(body)] { Reduce(body); });
}

void Daemon::Reduce(const EventBody& body) {
  Effects effects = reducer_.Reduce(Event{clock_.Now(), body});
  for (const Effect& effect : effects) {
    std::visit([this](const auto& e) { Perform(e); }, effect);
  }
}

void Daemon::ScheduleTick() {
  tick_timer_.expires_after(kTickInterval);
  tick_timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    Reduce(Tick{});
    ScheduleTick();
  });
}

void Daemon::StartCall(const HttpRequest& http, const ParsedCall& parsed,
                       std::shared_ptr<HttpResponder> responder) {
  if (std::holds_alternative<ReadyProbe>(parsed.call)) {
    responder->Respond(RenderReady());
    return;
  }
  if (std::holds_alternative<MetricsPage>(parsed.call)) {
    responder->Respond(RenderMetrics());
    return;
  }
  if (const auto* caller = std::get_if<CallerCall>(&parsed.call)) {
    StartCallerCall(http, *caller, std::move(responder));
    return;
  }
  HandleId handle(++last_handle_);
  pending_[handle] =
      PendingRequest{std::move(responder), 0, KindId(), clock_.Now()};
  Reduce(OperatorCalled{handle, std::get<OperatorCall>(parsed.call).body});
}

void Daemon::StartCallerCall(const HttpRequest& http, CallerCall call,
                             std::shared_ptr<HttpResponder> responder) {
  HandleId handle(++last_handle_);
  pending_[handle] = PendingRequest{std::move(responder), http.connection,
                                    call.request.kind, clock_.Now()};
  handles_by_connection_[http.connection].insert(handle);
  Reduce(CallerRequested{handle, call.request});
}

HttpResponse Daemon::RenderReady() const {
  HttpResponse response;
  std::string reason = reducer_.NotReadyReason();
  response.content_type = "text/plain";
  response.status = reason.empty() ? 200 : kStatusNotReady;
  response.body = reason.empty() ? "ready\n" : "not ready: " + reason + "\n";
  return response;
}

HttpResponse Daemon::RenderMetrics() const {
  HttpResponse response;
  response.content_type = "text/plain; version=0.0.4";
  response.body = metrics_.Render(reducer_.ReadGauges());
  return response;
}

void Daemon::Perform(const AnswerCaller& effect) {
  auto found = pending_.find(effect.handle);
  if (found == pending_.end()) return;
  PendingRequest request = std::move(found->second);
  pending_.erase(found);
  auto connection = handles_by_connection_.find(request.connection);
  if (connection != handles_by_connection_.end()) {
    connection->second.erase(effect.handle);
    if (connection->second.empty()) handles_by_connection_.erase(connection);
  }
  metrics_.Record(request.kind, effect.answer,
                  clock_.Now() - request.received_at);
  HttpResponse response = RenderAnswer(effect.answer);
  response.close_connection = !reducer_.ready();
  request.responder->Respond(response);
}

void Daemon::Perform(const AnswerOperator& effect) {
  auto found = pending_.find(effect.handle);
  if (found == pending_.end()) return;
  found->second.responder->Respond(RenderOperatorReply(effect.body));
  pending_.erase(found);
}

void Daemon::Perform(const CallPeer& effect) { peers_->Call(effect); }
void Daemon::Perform(const AnswerPeer& effect) { peers_->Answer(effect); }
void Daemon::Perform(const OpenConnection& effect) { upstreams_->Open(effect); }
void Daemon::Perform(const CloseConnection& effect) {
  upstreams_->Close(effect);
}
void Daemon::Perform(const CallUpstream& effect) { upstreams_->Call(effect); }
void Daemon::Perform(const CallPlatform& effect) { platform_->Call(effect); }

void Daemon::Perform(const WriteLog& effect) {
  LogRecord(effect.level, effect.part, effect.text);
}

void Daemon::Perform(const Exit&) {
  control_work_.reset();
  // The delay lets the HTTP threads finish writing the answers of this step.
  // The ticks go on meanwhile.
  exit_timer_.expires_after(kTickInterval * 10);
  exit_timer_.async_wait(
      [this](boost::system::error_code) { control_io_.stop(); });
}

}  // namespace fireflycart
