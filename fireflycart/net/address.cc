// The port follows the last colon. Asio validates the IP address.

#include "fireflycart/net/address.h"

#include <boost/asio/ip/address.hpp>

#include "fireflycart/core/error.h"
#include "fireflycart/core/short_text.h"

namespace fireflycart {
namespace {

constexpr int kMaxPort = 65535;
constexpr size_t kMaxPortDigits = 5;

[[noreturn]] void Fail(const std::string& text) {
  throw Error(ErrorCode::kInvalidArgument, "parse address", ShortText(text),
              "allowed is an IP address and a port, as in 127.0.0.1:7001");
}

}  // namespace

IpAddress ParseAddress(const std::string& text) {
  // The C library that validates the IP address stops at a NUL.
  if (!IsName(text)) Fail(text);
  size_t colon = text.rfind(':');
  if (colon == std::string::npos) Fail(text);
  std::string port = text.substr(colon + 1);
  bool digits = port.find_first_not_of("0123456789") == std::string::npos;
  if (port.empty() || port.size() > kMaxPortDigits || !digits) Fail(text);
  int number = std::stoi(port);
  if (number < 1 || number > kMaxPort) Fail(text);
  IpAddress address;
  address.ip = text.substr(0, colon);
  address.port = static_cast<uint16_t>(number);
  boost::system::error_code error;
  boost::asio::ip::make_address(address.ip, error);
  if (error) Fail(text);
  return address;
}

}  // namespace fireflycart
