// Texts of the reply codes.

#include "fireflycart/core/upstream_message.h"

namespace fireflycart {

const char* UpstreamCodeText(UpstreamCode code) {
  switch (code) {
    case UpstreamCode::kOk:
      return "ok";
    case UpstreamCode::kStaleTerm:
      return "stale_term";
    case UpstreamCode::kNotPrimary:
      return "not_primary";
    case UpstreamCode::kCancelled:
      return "cancelled";
    case UpstreamCode::kBusyKey:
      return "busy_key";
    case UpstreamCode::kFailed:
      return "failed";
    case UpstreamCode::kLimit:
      return "limit";
  }
  return "unknown";
}

}  // namespace fireflycart
