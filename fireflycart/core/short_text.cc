// Bytes are compared with the ASCII range directly, since the classification of
// the C library depends on the locale.

#include "fireflycart/core/short_text.h"

namespace fireflycart {
namespace {

constexpr char kBlank = ' ';
constexpr char kLastPrintable = '~';

bool IsPrintable(char c) { return c >= kBlank && c <= kLastPrintable; }

}  // namespace

std::string ShortText(const std::string& text) {
  std::string result = text.substr(0, kMaxShortTextBytes);
  for (char& c : result) {
    if (!IsPrintable(c)) c = '?';
  }
  if (text.size() > kMaxShortTextBytes) {
    result += "... (" + std::to_string(text.size()) + " bytes)";
  }
  return result;
}

bool IsName(const std::string& text) {
  for (char c : text) {
    if (!IsPrintable(c) || c == kBlank) return false;
  }
  return !text.empty() && text.size() <= kMaxNameBytes;
}

}  // namespace fireflycart
