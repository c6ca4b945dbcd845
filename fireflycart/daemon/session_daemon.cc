// Ports may report an event while an effect is performed. Such an event is
// queued, so that the effects of two events never interleave.

#include "fireflycart/daemon/session_daemon.h"

#include <boost/asio/post.hpp>
#include <chrono>
#include <csignal>
#include <utility>

#include "fireflycart/core/error.h"
#include "fireflycart/daemon/logging.h"

namespace fireflycart {
namespace {

constexpr char kLogPart[] = "daemon";
constexpr char kMetricsPath[] = "/metrics";
// Share of the machine's memory that sessions may keep: one part in so many.
constexpr size_t kPartSessionState = 16;
// A connection of the readiness probe or of the metrics page that sends no
// request for this time is closed.
constexpr Duration kProbeIdleTime = Duration::Seconds(10);
constexpr size_t kMaxProbeHeaderBytes = 4096;
constexpr int kStatusNotReady = 503;
constexpr int kStatusNotFound = 404;
// Time to finish writing the answers of the last step before the daemon exits.
constexpr std::chrono::milliseconds kExitDelay{50};

proxy::VmRecord MakeVmRecord(const Settings& settings) {
  proxy::VmRecord record;
  record.vm = settings.identity.vm;
  record.address = settings.identity.address;
  record.data_centre = settings.identity.data_centre;
  record.incarnation = settings.identity.incarnation;
  record.cpu_permille = settings.sessions->cpu_permille;
  return record;
}

proxy::ProxyOptions MakeProxyOptions(const Settings& settings) {
  proxy::ProxyOptions options;
  options.set_stop_limit(settings.sessions->stop_limit);
  options.set_drain_time(settings.sessions->drain_time);
  options.set_apply_limit(settings.sessions->apply_limit);
  options.set_key_age_limit(settings.sessions->key_age_limit);
  options.set_session_state_limit(settings.sessions->memory_bytes /
                                  kPartSessionState);
  options.set_reads_nearby(settings.sessions->reads_nearby);
  proxy::DataCentreBalanceOptions data_centre_balance;
  data_centre_balance.leave_cost = settings.sessions->leave_cost;
  options.set_data_centre_balance(data_centre_balance);
  return options;
}

HttpServerOptions MakeServerOptions(const IpAddress& address) {
  HttpServerOptions options;
  options.ip = address.ip;
  options.port = address.port;
  options.max_body = 0;
  options.max_connections = 64;
  options.idle_timeout = kProbeIdleTime;
  options.max_header_bytes = kMaxProbeHeaderBytes;
  return options;
}

}  // namespace

SessionDaemon::SessionDaemon(Settings settings)
    : settings_(std::move(settings)),
      io_(1),
      wake_up_timer_(io_),
      signals_(io_, SIGTERM, SIGINT, SIGHUP),
      reducer_(MakeVmRecord(settings_), MakeProxyOptions(settings_),
               settings_.seed),
      memory_(&io_, &clock_, settings_.sessions->memory_bytes,
              static_cast<MemoryObserver*>(this)) {
  std::signal(SIGPIPE, SIG_IGN);
}

SessionDaemon::~SessionDaemon() {
  if (ready_server_) ready_server_->Stop();
  if (metrics_server_) metrics_server_->Stop();
}

void SessionDaemon::Run() {
  const SessionSettings& sessions = *settings_.sessions;
  PeerHandler* handler = this;
  peers_ = std::make_unique<Http2Transport>(&io_, settings_.identity.vm,
                                            handler, &memory_);
  peers_->Listen(settings_.peer_listen_address.ip,
                 settings_.peer_listen_address.port);
  platform::PlatformAddresses addresses{sessions.session_address,
                                        sessions.store_address,
                                        sessions.promotion_address};
  platform::CallerLimits limits;
  limits.sessions = sessions.max_sessions;
  ports_ = platform::OpenPlatform(&io_, addresses, settings_.identity.vm,
                                  limits, &memory_, &clock_, this);
  ready_server_ =
      StartHttpServer(MakeServerOptions(sessions.ready_address), this);
  metrics_server_ =
      StartHttpServer(MakeServerOptions(sessions.metrics_address), this);
  WaitForSignal();
  LogProgram();
  is_processing_ = true;
  Perform(reducer_.Start(clock_.Now()));
  is_processing_ = false;
  ProcessQueuedEvents();
  io_.run();
  FlushStructuredLog();
}

void SessionDaemon::OnEvent(proxy::ProxyEventBody event) {
  queued_events_.push_back(std::move(event));
  if (!is_processing_) ProcessQueuedEvents();
}

void SessionDaemon::ProcessQueuedEvents() {
  is_processing_ = true;
  while (!queued_events_.empty()) {
    proxy::ProxyEvent event{clock_.Now(), std::move(queued_events_.front())};
    queued_events_.pop_front();
    Perform(reducer_.Reduce(event));
  }
  is_processing_ = false;
  is_ready_ = reducer_.is_ready();
  ScheduleWakeUp();
  FlushStructuredLog();
}

void SessionDaemon::Perform(proxy::ProxyEffects effects) {
  for (const proxy::ProxyEffect& effect : effects) {
    std::visit([this](const auto& e) { PerformOne(e); }, effect);
  }
}

void SessionDaemon::ScheduleWakeUp() {
  if (!reducer_.has_wake()) return;
  TimePoint next = reducer_.next_wake();
  if (is_wake_up_scheduled_ && wake_up_at_ <= next) return;
  is_wake_up_scheduled_ = true;
  wake_up_at_ = next;
  Duration wait = next - clock_.Now();
  wake_up_timer_.expires_after(std::chrono::milliseconds(wait.millis()));
  wake_up_timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    is_wake_up_scheduled_ = false;
    OnEvent(proxy::WakeUp{});
  });
}

void SessionDaemon::PerformOne(const proxy::StoreCall& e) {
  metrics_.CountStoreCall();
  ports_.store->Call(e);
}

void SessionDaemon::PerformOne(const proxy::WriteRecord& e) {
  metrics_.CountRecord(e);
  LogStructured(e, clock_.Now());
}

void SessionDaemon::PerformOne(const Exit& e) {
  (void)e;
  auto delay = std::make_shared<boost::asio::steady_timer>(io_);
  delay->expires_after(kExitDelay);
  delay->async_wait([this, delay](boost::system::error_code) { io_.stop(); });
}

void SessionDaemon::WaitForSignal() {
  signals_.async_wait([this](boost::system::error_code error, int signal) {
    if (error) return;
    if (signal == SIGHUP) {
      LogChangedSettings();
    } else {
      OnEvent(StopRequested{});
    }
    WaitForSignal();
  });
}

// Waiting is no fault of a single caller and part of every crowd, so it is
// only counted.
void SessionDaemon::OnLimitMet(MemoryLimit limit, const MemoryHolder& holder,
                               size_t held) {
  if (limit == MemoryLimit::kWaits) return;
  proxy::WriteRecord record;
  record.level = LogLevel::kWarning;
  record.part = "memory";
  record.event = MemoryLimitName(limit);
  const MemoryBudget& budget = memory_.budget();
  record.fields = {{"who", holder.Describe()},
                   {"held", std::to_string(held)},
                   {"held_by_all", std::to_string(budget.held())},
                   {"limit", std::to_string(budget.holdings_limit())}};
  PerformOne(record);
}

void SessionDaemon::LogProgram() {
  proxy::WriteRecord record;
  record.part = kLogPart;
  record.event = "program";
  record.fields = {{"revision", FIREFLYCART_REVISION}};
  PerformOne(record);
}

void SessionDaemon::LogChangedSettings() {
  proxy::WriteRecord record;
  record.part = kLogPart;
  record.event = "reload";
  std::string changes = "no settings file";
  if (!settings_.settings_file.empty()) {
    changes.clear();
    for (const std::string& change : ChangedSettings(settings_.settings_file)) {
      changes += (changes.empty() ? "" : "; ") + change;
    }
    if (changes.empty()) changes = "none";
  }
  record.fields = {{"changes", changes}, {"in_force", "after a restart"}};
  PerformOne(record);
  FlushStructuredLog();
}

void SessionDaemon::OnHttpRequest(HttpRequest request,
                                  std::shared_ptr<HttpResponder> responder) {
  if (request.path == platform::kReadyPath) {
    bool is_ready = is_ready_;
    responder->Respond(PlainResponse(is_ready ? 200 : kStatusNotReady,
                                     "text/plain",
                                     is_ready ? "ready\n" : "not ready\n"));
    return;
  }
  if (request.path != kMetricsPath) {
    responder->Respond(
        PlainResponse(kStatusNotFound, "text/plain", "not found\n"));
    return;
  }
  boost::asio::post(io_, [this, responder] {
    responder->Respond(
        PlainResponse(200, "text/plain; version=0.0.4",
                      metrics_.Render(reducer_.gauges(), memory_.budget())));
  });
}

}  // namespace fireflycart
