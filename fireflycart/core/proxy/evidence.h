// Proof that the primary that an owner knows was still the one that could
// acknowledge commits, and where its log stood.
//
// A promotion is ordered only after every replica was told to hold, so a
// replica that receives proves that none had been ordered by then.
//
//   evidence.OnPrimaryPosition(sent_at, answer.position);
//   evidence.OnProof(sent_at);
//   bool current = evidence.IsProvenSince(work.arrived);
//   LogPosition floor = evidence.FloorFor(now - max_age);
//
// Limits: remembers kHistory of positions, one in kStep.

#ifndef FIREFLYCART_CORE_PROXY_EVIDENCE_H_
#define FIREFLYCART_CORE_PROXY_EVIDENCE_H_

#include <deque>

#include "fireflycart/core/proxy/proxy_context.h"

namespace fireflycart::proxy {

class Evidence {
 public:
  // The longest age of reads that positions are kept for.
  static constexpr Duration kHistory = Duration::Seconds(10);
  // Two positions are at least so far apart.
  static constexpr Duration kStep = Duration::Millis(20);

  // The primary answered a command sent at that instant from this position, so
  // the position covers all that it had acknowledged by then.
  void OnPrimaryPosition(Instant sent, LogPosition position);

  // At some moment after the instant the primary was able to acknowledge.
  void OnProof(Instant sent);

  // The primary changed: nothing said of the old one counts.
  void Forget();

  // True if the primary was proven current after the instant.
  bool IsProvenSince(uint64_t sequence) const {
    return has_proof_ && proven_.sequence >= sequence;
  }
  bool IsProvenSince(TimePoint time) const {
    return has_proof_ && proven_.time >= time;
  }

  // The oldest known position that covers every commit acknowledged before
  // that time; unknown if there is none.
  LogPosition FloorFor(TimePoint time) const;

  // How far an upstream that held just this position at that time is behind the
  // primary, as far as is known: it may be further.
  Duration LagOf(LogPosition applied, TimePoint at) const;

  // When the primary had this position, as far as is known: it may have been
  // later. Zero if nothing is known of that.
  TimePoint ReachedAt(LogPosition position) const;

 private:
  struct Mark {
    Instant sent;
    LogPosition position;
  };

  std::deque<Mark> marks_;  // In order of time and position.
  Instant proven_;
  bool has_proof_ = false;
};

}  // namespace fireflycart::proxy

#endif  // FIREFLYCART_CORE_PROXY_EVIDENCE_H_
