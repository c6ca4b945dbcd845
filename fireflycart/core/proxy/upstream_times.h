// Records when each start of an upstream was first known to any VM, and when it
// was first known to leave. The times survive changes of a group's owner, and
// VMs exchange them as ages, so that a limit on such a time does not begin anew
// at a VM that learns of the upstream later.
//
//   times.Update(list.records, last_answer, now);
//   times.Merge(heartbeat.upstream_ages, now);
//   record.leaving_since = times.LeavingSince(id);
//
// Limits: what happened before any running VM knew the upstream is unknown, and
// its time is TimePoint(). A time that came from another VM is late by the time
// that the heartbeats took, and by kTolerance.

#ifndef FIREFLYCART_CORE_PROXY_UPSTREAM_TIMES_H_
#define FIREFLYCART_CORE_PROXY_UPSTREAM_TIMES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "fireflycart/core/proxy/route.h"

namespace fireflycart::proxy {

// What a VM knows of one start of an upstream, for other VMs.
struct UpstreamAge {
  UpstreamId id;
  int64_t started_ms = 0;
  std::optional<Duration> known_for;
  std::optional<Duration> leaving_for;
};

class UpstreamTimes {
 public:
  // Ages beyond these are not sent. An upstream that has been known for longer
  // is established in any case; that one has been leaving for longer still
  // matters to a VM that was cut off.
  static constexpr Duration kMaxKnownAge = Duration::Seconds(8);
  static constexpr Duration kMaxLeavingAge = Duration::Seconds(30);
  // The times of an upstream without an entry are kept for this long, since its
  // entry may return.
  static constexpr Duration kMissingKept = Duration::Seconds(60);
  // VMs learn of a change within some milliseconds of each other. These
  // differences are not corrected, as each correction is passed on.
  static constexpr Duration kTolerance = Duration::Millis(100);
  // Maximum number of ages in one message; the latest are sent.
  static constexpr size_t kMaxAges = 64;

  // Applies the present records. What changed since the last call did so after
  // `unchanged_until`: an upstream that begins to leave is taken to leave since
  // then, or for an unknown time if that is TimePoint(). The times of the
  // records of the first call are unknown.
  void Update(const std::map<UpstreamId, UpstreamRecord>& records,
              TimePoint unchanged_until, TimePoint now);

  // Applies the ages that another VM sent, but for upstreams that are not
  // listed here; true if a time changed. The earliest known time counts; one
  // that is earlier by less than kTolerance changes nothing.
  bool Merge(const std::vector<UpstreamAge>& ages, TimePoint now);

  // The known ages within their limits.
  std::vector<UpstreamAge> Ages(TimePoint now) const;

  // When the present start was first known; TimePoint() if that is unknown.
  TimePoint KnownSince(const UpstreamId& id) const;
  // When it was first known to leave; TimePoint() if that is unknown.
  TimePoint LeavingSince(const UpstreamId& id) const;

 private:
  struct Times {
    int64_t started_ms = 0;
    TimePoint known_since;
    bool is_leaving = false;
    TimePoint leaving_since;
    bool is_missing = false;
    TimePoint missing_since;
  };

  std::map<UpstreamId, Times> times_;
  bool has_list_ = false;
};

}  // namespace fireflycart::proxy

#endif  // FIREFLYCART_CORE_PROXY_UPSTREAM_TIMES_H_
