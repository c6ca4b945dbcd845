// Nobody's state is taken away: a session works with what it was told that it
// has. Whoever keeps most is refused first, since the fair share is what
// remains open to all others.

#include "fireflycart/core/admission/session_state_quota.h"

#include <algorithm>

namespace fireflycart {

SessionStateQuota::SessionStateQuota(size_t limit)
    : limit_(limit),
      session_limit_(std::clamp(limit / kPartOfSession, kLeastSessionBytes,
                                kMostSessionBytes)) {}

bool SessionStateQuota::Charge(size_t* kept, size_t bytes, size_t sessions) {
  size_t wanted = *kept + bytes;
  if (wanted > session_limit_) return false;
  size_t share = std::max(limit_ / std::max<size_t>(sessions, 1), kMinShare);
  if (kept_ + bytes > limit_ && wanted > share) return false;
  *kept = wanted;
  kept_ += bytes;
  return true;
}

void SessionStateQuota::Return(size_t* kept, size_t bytes) {
  *kept -= bytes;
  kept_ -= bytes;
}

}  // namespace fireflycart
