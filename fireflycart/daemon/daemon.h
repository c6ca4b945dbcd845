// The daemon for callers over HTTP: connects the reducer to callers, peers,
// upstreams and the platform.
//
//   Daemon daemon(settings);
//   daemon.Start();
//   daemon.RequestStop();
//   daemon.WaitUntilStopped();
//
// Threads: one for the reducer, one for peers, upstreams and platform, and some
// for HTTP. All events are posted to the reducer's thread.

#ifndef FIREFLYCART_DAEMON_DAEMON_H_
#define FIREFLYCART_DAEMON_DAEMON_H_

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>

#include "fireflycart/core/reducer.h"
#include "fireflycart/daemon/caller_api.h"
#include "fireflycart/daemon/metrics.h"
#include "fireflycart/daemon/settings.h"
#include "fireflycart/net/http2_transport.h"
#include "fireflycart/net/http_server.h"
#include "fireflycart/net/platform_adapter.h"
#include "fireflycart/net/steady_clock.h"
#include "fireflycart/net/upstream_adapter.h"

namespace fireflycart {

class Daemon : public HttpHandler,
               public PeerHandler,
               public UpstreamHandler,
               public PlatformHandler {
 public:
  explicit Daemon(Settings settings);
  ~Daemon() override;

  // Throws Error if listening on an address fails.
  void Start();
  // Begins a planned stop. May be called from any thread.
  void RequestStop();
  // Returns true after a planned stop, false after a failure.
  bool WaitUntilStopped();

 private:
  // A request of a caller or operator that is not answered yet.
  struct PendingRequest {
    std::shared_ptr<HttpResponder> responder;
    uint64_t connection = 0;
    KindId kind;
    TimePoint received_at;
  };

  void OnHttpRequest(HttpRequest request,
                     std::shared_ptr<HttpResponder> responder) override;
  void OnHttpClosed(uint64_t connection) override;
  void OnPeerCalled(PeerCalled event) override;
  void OnPeerReplied(PeerReplied event) override;
  void OnConnectionOpened(ConnectionOpened event) override;
  void OnConnectionBroken(ConnectionBroken event) override;
  void OnUpstreamReplied(UpstreamReplied event) override;
  void OnPlatformReplied(PlatformReplied event) override;

  void Post(EventBody body);
  void Reduce(const EventBody& body);
  void ScheduleTick();
  void StartCall(const HttpRequest& http, const ParsedCall& parsed,
                 std::shared_ptr<HttpResponder> responder);
  void StartCallerCall(const HttpRequest& http, CallerCall call,
                       std::shared_ptr<HttpResponder> responder);
  HttpResponse RenderReady() const;
  HttpResponse RenderMetrics() const;

  void Perform(const AnswerCaller& effect);
  void Perform(const AnswerOperator& effect);
  void Perform(const CallPeer& effect);
  void Perform(const AnswerPeer& effect);
  void Perform(const OpenConnection& effect);
  void Perform(const CloseConnection& effect);
  void Perform(const CallUpstream& effect);
  void Perform(const CallPlatform& effect);
  void Perform(const WriteLog& effect);
  void Perform(const Exit& effect);

  using WorkGuard =
      boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

  Settings settings_;
  SteadyClock clock_;
  AccessTokens tokens_;
  Metrics metrics_;

  // Used on the reducer's thread only.
  boost::asio::io_context control_io_;
  WorkGuard control_work_;
  Reducer reducer_;
  boost::asio::steady_timer tick_timer_;
  boost::asio::steady_timer exit_timer_;
  std::map<HandleId, PendingRequest> pending_;
  std::map<uint64_t, std::set<HandleId>> handles_by_connection_;
  uint64_t last_handle_ = 0;

  boost::asio::io_context traffic_io_;
  WorkGuard traffic_work_;
  std::unique_ptr<Http2Transport> peers_;
  std::unique_ptr<UpstreamAdapter> upstreams_;
  std::unique_ptr<PlatformAdapter> platform_;
  std::unique_ptr<HttpServer> http_;
  std::thread control_thread_;
  std::thread traffic_thread_;
  std::atomic<bool> failed_{false};
};

}  // namespace fireflycart

#endif  // FIREFLYCART_DAEMON_DAEMON_H_
