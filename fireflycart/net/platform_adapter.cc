// Each call opens a connection of its own: calls are rare, and an unresponsive
// connection then affects one call only.

#include "fireflycart/net/platform_adapter.h"

#include <boost/asio/post.hpp>
#include <utility>

#include "fireflycart/core/error.h"
#include "fireflycart/net/http_client.h"
#include "fireflycart/net/platform_codec.h"

namespace fireflycart {
namespace {

constexpr char kPath[] = "/v1/platform";
constexpr int kStatusOk = 200;

class HttpPlatformAdapter : public PlatformAdapter {
 public:
  HttpPlatformAdapter(boost::asio::io_context* io, std::string address,
                      PlatformHandler* handler)
      : io_(io), address_(std::move(address)), handler_(handler) {}

  void Call(const CallPlatform& call) override {
    boost::asio::post(*io_, [this, call] {
      PostOnce(
          io_, address_, kPath, EncodePlatformCall(call.body), call.timeout,
          [this, id = call.call](HttpReply reply) {
            handler_->OnPlatformReplied(PlatformReplied{id, Decode(reply)});
          });
    });
  }

 private:
  PlatformReply Decode(const HttpReply& reply) const {
    if (!reply.ok || reply.status != kStatusOk) return PlatformReply();
    try {
      return DecodePlatformReply(reply.body, address_);
    } catch (const Error&) {
      return PlatformReply();
    }
  }

  boost::asio::io_context* io_;
  std::string address_;
  PlatformHandler* handler_;
};

}  // namespace

std::unique_ptr<PlatformAdapter> MakeHttpPlatformAdapter(
    boost::asio::io_context* io, const std::string& address,
    PlatformHandler* handler) {
  return std::make_unique<HttpPlatformAdapter>(io, address, handler);
}

}  // namespace fireflycart
