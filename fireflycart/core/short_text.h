// Text of another party, made fit for an error or a log line.
//
//   throw Error(ErrorCode::kInvalidArgument, "parse address", ShortText(text),
//               "allowed is an IP address and a port");
//
// Limits: the original cannot be restored from the result.

#ifndef FIREFLYCART_CORE_SHORT_TEXT_H_
#define FIREFLYCART_CORE_SHORT_TEXT_H_

#include <cstddef>
#include <string>

namespace fireflycart {

constexpr size_t kMaxShortTextBytes = 160;

// Returns the text with each byte that is not printable ASCII replaced by '?'.
// If it is longer than kMaxShortTextBytes, only the start and its size are
// returned.
std::string ShortText(const std::string& text);

// Returns true for 1 to kMaxNameBytes bytes of printable ASCII without blanks.
// Such a text can be a field of a line of the wire protocol.
bool IsName(const std::string& text);
constexpr size_t kMaxNameBytes = 200;

}  // namespace fireflycart

#endif  // FIREFLYCART_CORE_SHORT_TEXT_H_
