// An IP address and a port, parsed from text such as "127.0.0.1:7001".

#ifndef FIREFLYCART_NET_ADDRESS_H_
#define FIREFLYCART_NET_ADDRESS_H_

#include <cstdint>
#include <string>

namespace fireflycart {

struct IpAddress {
  std::string ip;
  uint16_t port = 0;
};

// Throws Error(kInvalidArgument) if the text is not an IP address and a
// port.
IpAddress ParseAddress(const std::string& text);

}  // namespace fireflycart

#endif  // FIREFLYCART_NET_ADDRESS_H_
