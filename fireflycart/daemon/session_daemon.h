// A daemon that serves sessions: one reducer, and the ports that deliver its
// events and carry out its effects. All of it runs on one thread.
//
//   SessionDaemon daemon(settings);
//   return daemon.Run();        // until a planned stop is complete
//
// Limits: the readiness probe and the metrics page are served by separate
// threads, which only read an atomic flag or post a task to the main thread.

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
#include "fireflycart/net/memory_guard.h"
#include "fireflycart/net/proxy_ports.h"
#include "platform/platform_ports.h"

namespace fireflycart {

class SessionDaemon : private proxy::EventSink,
                      private PeerHandler,
                      private HttpHandler,
                      private MemoryObserver {
 public:
  explicit SessionDaemon(Settings settings);
  ~SessionDaemon() override;

  // Throws Error if listening on an address fails or an invariant is violated.
  void Run();

 private:
  // EventSink. Queues the event until the effects of earlier ones are
  // performed.
  void OnEvent(proxy::ProxyEventBody event) override;
  // PeerHandler.
  void OnPeerCalled(PeerCalled event) override { OnEvent(std::move(event)); }
  void OnPeerReplied(PeerReplied event) override { OnEvent(std::move(event)); }
  // HttpHandler.
  void OnHttpRequest(HttpRequest request,
                     std::shared_ptr<HttpResponder> responder) override;
  void OnHttpClosed(uint64_t connection) override { (void)connection; }

  // MemoryObserver.
  void OnLimitMet(MemoryLimit limit, const MemoryHolder& holder,
                  size_t held) override;

  void ProcessQueuedEvents();
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
    ports_.promotion->RequestPromotion(e);
  }
  void PerformOne(const proxy::WriteRecord& e);
  void PerformOne(const proxy::CountStatement& e) { metrics_.Count(e); }
  void PerformOne(const Exit& e);

  void ScheduleWakeUp();
  void WaitForSignal();
  // Names the revision of the sources, since a fleet may run two of them.
  void LogProgram();
  void LogChangedSettings();

  Settings settings_;
  BootClock clock_;
  boost::asio::io_context io_;
  boost::asio::steady_timer wake_up_timer_;
  boost::asio::signal_set signals_;
  proxy::ProxyReducer reducer_;
  SessionMetrics metrics_;
  MemoryGuard memory_;
  std::unique_ptr<Http2Transport> peers_;
  platform::PlatformPorts ports_;
  std::unique_ptr<HttpServer> ready_server_;
  std::unique_ptr<HttpServer> metrics_server_;
  std::deque<proxy::ProxyEventBody> queued_events_;
  bool is_processing_ = false;
  TimePoint wake_up_at_;
  bool is_wake_up_scheduled_ = false;
  std::atomic<bool> is_ready_{false};
};

}  // namespace fireflycart

#endif  // FIREFLYCART_DAEMON_SESSION_DAEMON_H_
