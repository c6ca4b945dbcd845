// Formats code, step, peer and detail as one line of text.

#include "fireflycart/core/error.h"

#include <utility>

namespace fireflycart {
namespace {

std::string Describe(ErrorCode code, const std::string& step,
                     const std::string& peer, const std::string& detail) {
  std::string text = step;
  if (!peer.empty()) text += " (" + peer + ")";
  return text + ": " + ErrorCodeText(code) + ": " + detail;
}

}  // namespace

const char* ErrorCodeText(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidArgument:
      return "invalid argument";
    case ErrorCode::kUnavailable:
      return "unavailable";
    case ErrorCode::kProtocol:
      return "protocol error";
    case ErrorCode::kInvariantViolated:
      return "invariant violated";
  }
  return "unknown error";
}

Error::Error(ErrorCode code, std::string step, std::string peer,
             const std::string& detail)
    : std::runtime_error(Describe(code, step, peer, detail)),
      code_(code),
      step_(std::move(step)),
      peer_(std::move(peer)) {}

void CheckInvariant(bool holds, const char* step, const std::string& detail) {
  if (holds) return;
  throw Error(ErrorCode::kInvariantViolated, step, "", detail);
}

}  // namespace fireflycart
