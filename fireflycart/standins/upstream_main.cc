// The stand-in for one database group as a process: one HTTP address for each
// upstream and one for switching faults.
//
//   POST /v1/open, /v1/call        on an upstream's address
//   POST /fault                    on the admin address, with an object such as
//     {"upstream": "yield-1-a", "down": true, "frozen": false,
//      "replication_cut": false, "apply_lag_ms": 0, "extra_service_ms": 0,
//      "silence": false, "rebuild_to": 10}
//   GET  /state                    on the admin address
//
// A thread moves the model on every millisecond.

#include <atomic>
#include <chrono>
#include <csignal>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/strings/str_split.h"
#include "fireflycart/core/error.h"
#include "fireflycart/net/address.h"
#include "fireflycart/net/http_server.h"
#include "fireflycart/net/json_types.h"
#include "fireflycart/net/steady_clock.h"
#include "fireflycart/net/stop_signal.h"
#include "fireflycart/standins/standin_main.h"
#include "fireflycart/standins/upstream_group_model.h"

ABSL_FLAG(std::string, members, "",
          "Upstreams as NAME=IP:PORT, separated by commas.");
ABSL_FLAG(std::string, admin, "", "IP:PORT for switching faults.");
ABSL_FLAG(int, slots, 2, "Statements that an upstream runs at a time.");
ABSL_FLAG(int, connections, 16, "Connections that an upstream accepts.");
ABSL_FLAG(int, connect_ms, 12, "Time to open a connection.");
ABSL_FLAG(int, service_ms, 5, "Time to run a statement.");
ABSL_FLAG(int, receive_ms, 1, "Time until replicas hold a write.");
ABSL_FLAG(int, apply_lag_ms, 0, "Further time until their reads see it.");
ABSL_FLAG(int, seed, 1, "Seed of the model.");

namespace fireflycart {
namespace {

constexpr int kBroken = 503;
constexpr std::chrono::milliseconds kStep{1};

// The model behind a lock, driven by a thread.
class GroupProcess {
 public:
  explicit GroupProcess(const UpstreamModelOptions& options)
      : model_(options, static_cast<uint64_t>(absl::GetFlag(FLAGS_seed))) {
    model_.SetOnClosed([this](uint64_t connection) { Break(connection); });
    thread_ = std::thread([this] { Run(); });
  }

  ~GroupProcess() {
    stopping_ = true;
    thread_.join();
  }

  void Open(uint64_t connection, const OpenMessage& open,
            std::shared_ptr<HttpResponder> responder) {
    std::lock_guard<std::mutex> lock(mutex_);
    waiting_[connection] = responder;
    model_.Open(connection, open, clock_.Now(),
                [this, connection](auto& r) { Answer(connection, r); });
  }

  void Call(uint64_t connection, const UpstreamCallBody& body,
            std::shared_ptr<HttpResponder> responder) {
    std::lock_guard<std::mutex> lock(mutex_);
    if (broken_.count(connection) != 0) {
      Refuse(responder.get());
      return;
    }
    waiting_[connection] = responder;
    model_.Call(connection, body, clock_.Now(),
                [this, connection](auto& r) { Answer(connection, r); });
  }

  void Closed(uint64_t connection) {
    std::lock_guard<std::mutex> lock(mutex_);
    model_.Close(connection, clock_.Now());
    waiting_.erase(connection);
    broken_.erase(connection);
  }

  void SetFault(const Json& json) {
    std::lock_guard<std::mutex> lock(mutex_);
    auto id = json.at("upstream").get<UpstreamId>();
    UpstreamFaults faults = model_.faults(id);
    faults.down = json.value("down", faults.down);
    faults.frozen = json.value("frozen", faults.frozen);
    faults.replication_cut =
        json.value("replication_cut", faults.replication_cut);
    faults.apply_lag =
        Duration::Millis(json.value("apply_lag_ms", faults.apply_lag.millis()));
    faults.extra_service = Duration::Millis(
        json.value("extra_service_ms", faults.extra_service.millis()));
    model_.SetFaults(id, faults);
    if (json.value("silence", false)) model_.SilenceConnections(id);
    if (json.contains("rebuild_to")) {
      model_.Rebuild(id, json.at("rebuild_to").get<Position>(),
                     Duration::Millis(json.value("rebuild_ms", 1000)));
    }
  }

  Json State() {
    std::lock_guard<std::mutex> lock(mutex_);
    return {{"primary", model_.Primary()},
            {"most_connections", model_.most_connections()},
            {"mixed_statements", model_.mixed_statements()}};
  }

 private:
  void Run() {
    while (!stopping_) {
      std::this_thread::sleep_until(std::chrono::steady_clock::now() + kStep);
      std::lock_guard<std::mutex> lock(mutex_);
      model_.Advance(clock_.Now());
    }
  }

  void Answer(uint64_t connection, const UpstreamReply& reply) {
    auto found = waiting_.find(connection);
    if (found == waiting_.end()) return;
    HttpResponse response;
    response.body = EncodeUpstreamReply(reply);
    found->second->Respond(response);
    waiting_.erase(found);
  }

  // The upstream ends the connection. An idle one is refused at its next use.
  void Break(uint64_t connection) {
    broken_.insert(connection);
    auto found = waiting_.find(connection);
    if (found == waiting_.end()) return;
    Refuse(found->second.get());
    waiting_.erase(found);
  }

  static void Refuse(HttpResponder* responder) {
    HttpResponse response;
    response.status = kBroken;
    response.close_connection = true;
    responder->Respond(response);
  }

  SteadyClock clock_;
  std::mutex mutex_;
  UpstreamGroupModel model_;
  std::map<uint64_t, std::shared_ptr<HttpResponder>> waiting_;
  std::set<uint64_t> broken_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

// Serves one upstream. Connections of different upstreams must not share a
// number, so each server shifts them into a range of its own.
class UpstreamServer : public HttpHandler {
 public:
  UpstreamServer(GroupProcess* group, uint64_t base)
      : group_(group), base_(base) {}

  void OnHttpRequest(HttpRequest request,
                     std::shared_ptr<HttpResponder> responder) override {
    uint64_t connection = base_ + request.connection;
    try {
      if (request.path == "/v1/open") {
        group_->Open(connection, DecodeOpen(request.body, "caller"),
                     std::move(responder));
      } else {
        group_->Call(connection, DecodeUpstreamCall(request.body, "caller"),
                     std::move(responder));
      }
    } catch (const Error& e) {
      responder->Respond(PlainResponse(400, "text/plain", e.what()));
    }
  }

  void OnHttpClosed(uint64_t connection) override {
    group_->Closed(base_ + connection);
  }

 private:
  GroupProcess* group_;
  uint64_t base_;
};

class AdminServer : public HttpHandler {
 public:
  explicit AdminServer(GroupProcess* group) : group_(group) {}

  void OnHttpRequest(HttpRequest request,
                     std::shared_ptr<HttpResponder> responder) override {
    try {
      if (request.path == "/fault") {
        group_->SetFault(Json::parse(request.body));
        responder->Respond(PlainResponse(200, "application/json", "{}"));
      } else {
        responder->Respond(
            PlainResponse(200, "application/json", group_->State().dump()));
      }
    } catch (const std::exception& e) {
      responder->Respond(PlainResponse(400, "text/plain", e.what()));
    }
  }

  void OnHttpClosed(uint64_t) override {}

 private:
  GroupProcess* group_;
};

HttpServerOptions ServerOptions(const std::string& address) {
  IpAddress parsed = ParseAddress(address);
  HttpServerOptions options;
  options.ip = parsed.ip;
  options.port = parsed.port;
  return options;
}

int Run() {
  UpstreamModelOptions options;
  std::vector<std::string> addresses;
  for (absl::string_view member :
       absl::StrSplit(absl::GetFlag(FLAGS_members), ',', absl::SkipEmpty())) {
    std::vector<std::string> parts = absl::StrSplit(member, '=');
    if (parts.size() != 2) {
      std::cerr << "--members: " << member << ": allowed is NAME=IP:PORT\n";
      return 2;
    }
    options.members.push_back(UpstreamId(parts[0]));
    addresses.push_back(parts[1]);
  }
  if (options.members.empty()) {
    std::cerr << "--members: at least one is needed\n";
    return 2;
  }
  options.slots = absl::GetFlag(FLAGS_slots);
  options.connections = absl::GetFlag(FLAGS_connections);
  options.connect_time = Duration::Millis(absl::GetFlag(FLAGS_connect_ms));
  options.service_time = Duration::Millis(absl::GetFlag(FLAGS_service_ms));
  options.receive_delay = Duration::Millis(absl::GetFlag(FLAGS_receive_ms));
  options.apply_lag = Duration::Millis(absl::GetFlag(FLAGS_apply_lag_ms));
  GroupProcess group(options);
  std::vector<std::unique_ptr<UpstreamServer>> handlers;
  std::vector<std::unique_ptr<HttpServer>> servers;
  for (size_t i = 0; i < addresses.size(); i++) {
    uint64_t base = static_cast<uint64_t>(i + 1) << 40;
    handlers.push_back(std::make_unique<UpstreamServer>(&group, base));
    servers.push_back(
        StartHttpServer(ServerOptions(addresses[i]), handlers.back().get()));
  }
  AdminServer admin(&group);
  servers.push_back(
      StartHttpServer(ServerOptions(absl::GetFlag(FLAGS_admin)), &admin));
  WaitForStopSignal();
  for (auto& server : servers) server->Stop();
  return 0;
}

}  // namespace
}  // namespace fireflycart

int main(int argc, char** argv) {
  return fireflycart::RunStandin(argc, argv, "Stand-in for one database group.",
                                 fireflycart::Run);
}
