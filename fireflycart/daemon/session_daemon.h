// A daemon that serves sessions: one reducer, and the ports that carry its
// events and effects. All of it runs on one thread.
//
//   SessionDaemon daemon(settings);
//   return daemon.Run();        // until a planned stop is complete
//
// Limits: the ready probe and the metrics page are served by threads of their
// own, which only read a flag or post a question.

#ifndef FIREFLYCART_DAEMON_SESSION_DAEMON_H_
#define FIREFLYCART_DAEMON_SESSION_DAEMON_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <memory>

#include "fireflycart/core/proxy/proxy_reducer.h"
#include "fireflycart/daemon/session_metrics.h"
#include "fireflycart/daemon/settings.h"
#include "fireflycart/net/boot_clock.h"
#include "fireflycart/net/http2_transport.h"
#include "fireflycart/net/http_server.h"
#include "fireflycart/net/proxy_ports.h"
#include "platform/platform_ports.h"

namespace fireflycart {

class SessionDaemon : private proxy::EventSink,
                      private PeerHandler,
                      private HttpHandler {
 public:
  explicit SessionDaemon(Settings settings);
  ~SessionDaemon() override;

  // Throws Error if an address cannot be listened on or an invariant breaks.
  void Run();

 private:
  // EventSink. Events wait until the effects of earlier ones are carried out.
  void OnEvent(proxy::ProxyEventBody event) override;
  // PeerHandler.
  void OnPeerCalled(PeerCalled event) override { OnEvent(std::move(event)); }
  void OnPeerReplied(PeerReplied event) override { OnEvent(std::move(event)); }
  // HttpHandler.
  void OnHttpRequest(HttpRequest request,
                     std::shared_ptr<HttpResponder> responder) override;
  void OnHttpClosed(uint64_t connection) override { (void)connection; }

  void Drain();
  void Perform(proxy::ProxyEffects effects);
  void PerformOne(const proxy::GreetCaller& e) { ports_.callers->Greet(e); }
  void PerformOne(const proxy::AnswerStatement& e) {
    ports_.callers->Answer(e);
  }
  void PerformOne(const proxy::CloseSession& e) { ports_.callers->Close(e); }
  void PerformOne(const proxy::StopListening&) {
    ports_.callers->StopListening();
  }
  void PerformOne(const proxy::OpenUpstream& e) { ports_.upstreams->Open(e); }
  void PerformOne(const proxy::SendUpstream& e) { ports_.upstreams->Send(e); }
  void PerformOne(const proxy::CloseUpstream& e) { ports_.upstreams->Close(e); }
  void PerformOne(const CallPeer& e) { peers_->Call(e); }
  void PerformOne(const AnswerPeer& e) { peers_->Answer(e); }
  void PerformOne(const proxy::StoreCall& e);
  void PerformOne(const proxy::PromoteUpstream& e) {
    ports_.promotion->Order(e);
  }
  void PerformOne(const proxy::WriteRecord& e);
  void PerformOne(const proxy::CountStatement& e) { metrics_.Count(e); }
  void PerformOne(const Exit& e);

  void SetTimer();
  void WaitForSignal();
  void Reload();

  Settings settings_;
  BootClock clock_;
  boost::asio::io_context io_;
  boost::asio::steady_timer timer_;
  boost::asio::signal_set signals_;
  proxy::ProxyReducer reducer_;
  SessionMetrics metrics_;
  std::unique_ptr<Http2Transport> peers_;
  platform::PlatformPorts ports_;
  std::unique_ptr<HttpServer> ready_server_;
  std::unique_ptr<HttpServer> metrics_server_;
  std::deque<proxy::ProxyEventBody> events_;
  bool is_draining_ = false;
  TimePoint timer_at_;
  bool has_timer_ = false;
  std::atomic<bool> is_ready_{false};
};

}  // namespace fireflycart

#endif  // FIREFLYCART_DAEMON_SESSION_DAEMON_H_
