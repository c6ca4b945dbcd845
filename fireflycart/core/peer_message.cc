// Names of the member states in status output.

#include "fireflycart/core/peer_message.h"

namespace fireflycart {

const char* MemberStateText(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kDead:
      return "dead";
    case MemberState::kLeaving:
      return "leaving";
  }
  return "unknown";
}

}  // namespace fireflycart
