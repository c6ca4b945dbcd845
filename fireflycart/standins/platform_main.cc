// The stand-in for the platform as a process.
//
//   POST /v1/platform   a call, as in net/platform_codec.h
//   POST /vms           replaces the list of VMs: [{"vm", "address",
//                       "data_centre", "leaving"}, ...]
//   POST /fault         {"outage": true, "slow_ms": 0, "lose_answers": 0,
//                       "list_lag_ms": 0}
//
// A lost answer leaves the request open until the caller gives up.

#include <memory>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

#include "absl/flags/flag.h"
#include "fireflycart/core/error.h"
#include "fireflycart/net/address.h"
#include "fireflycart/net/http_server.h"
#include "fireflycart/net/json_types.h"
#include "fireflycart/net/platform_codec.h"
#include "fireflycart/net/steady_clock.h"
#include "fireflycart/net/stop_signal.h"
#include "fireflycart/standins/platform_model.h"
#include "fireflycart/standins/standin_main.h"

ABSL_FLAG(std::string, listen, "", "IP:PORT of the platform.");

namespace fireflycart {
namespace {

class PlatformServer : public HttpHandler {
 public:
  void OnHttpRequest(HttpRequest request,
                     std::shared_ptr<HttpResponder> responder) override {
    try {
      if (request.path == "/v1/platform") {
        Serve(request, std::move(responder));
      } else if (request.path == "/vms") {
        SetVms(Json::parse(request.body));
        responder->Respond(PlainResponse(200, "application/json", "{}"));
      } else {
        SetFaults(Json::parse(request.body));
        responder->Respond(PlainResponse(200, "application/json", "{}"));
      }
    } catch (const std::exception& e) {
      responder->Respond(PlainResponse(400, "text/plain", e.what()));
    }
  }

  // Answers that are lost stay with their responders until then.
  void OnHttpClosed(uint64_t connection) override {
    std::lock_guard<std::mutex> lock(mutex_);
    lost_.erase(connection);
  }

 private:
  void Serve(const HttpRequest& request,
             std::shared_ptr<HttpResponder> responder) {
    PlatformCallBody call = DecodePlatformCall(request.body, "caller");
    std::optional<PlatformReply> reply;
    Duration slow;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      reply = model_.Call(call, clock_.Now());
      slow = model_.faults().slow;
      if (!reply) lost_[request.connection] = responder;
    }
    if (!reply) return;
    if (slow > Duration()) {
      std::this_thread::sleep_until(std::chrono::steady_clock::now() +
                                    std::chrono::milliseconds(slow.millis()));
    }
    responder->Respond(
        PlainResponse(200, "application/json", EncodePlatformReply(*reply)));
  }

  void SetVms(const Json& json) {
    std::vector<ListedVm> vms;
    for (const Json& item : json) {
      ListedVm vm;
      Read(item, "vm", &vm.vm);
      Read(item, "address", &vm.address);
      Read(item, "data_centre", &vm.data_centre);
      vm.leaving = item.value("leaving", false);
      vms.push_back(vm);
    }
    std::lock_guard<std::mutex> lock(mutex_);
    model_.SetVms(vms, clock_.Now());
  }

  void SetFaults(const Json& json) {
    std::lock_guard<std::mutex> lock(mutex_);
    PlatformFaults faults = model_.faults();
    faults.outage = json.value("outage", faults.outage);
    faults.lose_answers = json.value("lose_answers", faults.lose_answers);
    faults.slow = Duration::Millis(json.value("slow_ms", faults.slow.millis()));
    faults.list_lag =
        Duration::Millis(json.value("list_lag_ms", faults.list_lag.millis()));
    model_.SetFaults(faults);
  }

  SteadyClock clock_;
  std::mutex mutex_;
  PlatformModel model_;
  std::map<uint64_t, std::shared_ptr<HttpResponder>> lost_;
};

int Run() {
  IpAddress address = ParseAddress(absl::GetFlag(FLAGS_listen));
  HttpServerOptions options;
  options.ip = address.ip;
  options.port = address.port;
  options.threads = 2;
  options.max_body = size_t{64} << 20;
  PlatformServer handler;
  std::unique_ptr<HttpServer> server = StartHttpServer(options, &handler);
  WaitForStopSignal();
  server->Stop();
  return 0;
}

}  // namespace
}  // namespace fireflycart

int main(int argc, char** argv) {
  return fireflycart::RunStandin(argc, argv, "Stand-in for the platform.",
                                 fireflycart::Run);
}
