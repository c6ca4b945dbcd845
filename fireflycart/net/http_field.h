// One header field of an HTTP message.
//
//   call.fields.push_back(HttpField{"X-Duty-Holder", "vm-1"});
//
// Limits: plain text, not checked here.

#ifndef FIREFLYCART_NET_HTTP_FIELD_H_
#define FIREFLYCART_NET_HTTP_FIELD_H_

#include <string>

namespace fireflycart {

struct HttpField {
  std::string name;
  std::string value;
};

}  // namespace fireflycart

#endif  // FIREFLYCART_NET_HTTP_FIELD_H_
