// An age grows on its way by less than the time that passes meanwhile, so a
// time that was passed on is never earlier than the original one, and the
// earliest of all is the one of the VM that knew first.

#include "fireflycart/core/proxy/upstream_times.h"

#include <algorithm>
#include <iterator>

namespace fireflycart::proxy {
namespace {

// Sets the time to the earlier one; TimePoint() is unknown. True on a change.
bool SetEarlier(TimePoint candidate, TimePoint* time) {
  bool is_earlier =
      *time == TimePoint() || *time - candidate >= UpstreamTimes::kTolerance;
  if (!is_earlier) return false;
  *time = candidate;
  return true;
}

}  // namespace

void UpstreamTimes::Update(const std::map<UpstreamId, UpstreamRecord>& records,
                           TimePoint unchanged_until, TimePoint now) {
  for (const auto& item : records) {
    const UpstreamRecord& record = item.second;
    auto inserted = times_.emplace(item.first, Times());
    Times& times = inserted.first->second;
    if (inserted.second || times.started_ms != record.started_ms) {
      times = Times();
      times.started_ms = record.started_ms;
      if (has_list_) times.known_since = now;
    }
    if (record.leaving && !times.is_leaving && has_list_) {
      times.leaving_since = unchanged_until;
    }
    times.is_leaving = record.leaving;
    times.is_missing = false;
  }
  for (auto it = times_.begin(); it != times_.end();) {
    Times& times = it->second;
    bool is_listed = records.count(it->first) != 0;
    if (!is_listed && !times.is_missing) {
      times.is_missing = true;
      times.missing_since = now;
    }
    bool is_over = !is_listed && now - times.missing_since > kMissingKept;
    it = is_over ? times_.erase(it) : std::next(it);
  }
  has_list_ = true;
}

bool UpstreamTimes::Merge(const std::vector<UpstreamAge>& ages, TimePoint now) {
  bool has_changed = false;
  for (const UpstreamAge& age : ages) {
    auto found = times_.find(age.id);
    if (found == times_.end()) continue;
    Times& times = found->second;
    if (times.started_ms != age.started_ms) continue;
    if (age.known_for) {
      has_changed |= SetEarlier(now - *age.known_for, &times.known_since);
    }
    if (age.leaving_for && times.is_leaving) {
      has_changed |= SetEarlier(now - *age.leaving_for, &times.leaving_since);
    }
  }
  return has_changed;
}

std::vector<UpstreamAge> UpstreamTimes::Ages(TimePoint now) const {
  auto age_of = [now](TimePoint since, Duration limit) {
    Duration age = now - since;
    bool is_sent = since != TimePoint() && age < limit;
    return is_sent ? std::optional<Duration>(age) : std::nullopt;
  };
  std::vector<UpstreamAge> ages;
  for (const auto& item : times_) {
    const Times& times = item.second;
    UpstreamAge age;
    age.id = item.first;
    age.started_ms = times.started_ms;
    age.known_for = age_of(times.known_since, kMaxKnownAge);
    if (times.is_leaving) {
      age.leaving_for = age_of(times.leaving_since, kMaxLeavingAge);
    }
    if (age.known_for || age.leaving_for) ages.push_back(age);
  }
  if (ages.size() <= kMaxAges) return ages;
  auto latest = [](const UpstreamAge& age) {
    return std::min(age.known_for.value_or(kMaxLeavingAge),
                    age.leaving_for.value_or(kMaxLeavingAge));
  };
  std::sort(ages.begin(), ages.end(),
            [&](const UpstreamAge& a, const UpstreamAge& b) {
              return latest(a) < latest(b);
            });
  ages.resize(kMaxAges);
  return ages;
}

TimePoint UpstreamTimes::KnownSince(const UpstreamId& id) const {
  auto found = times_.find(id);
  return found == times_.end() ? TimePoint() : found->second.known_since;
}

TimePoint UpstreamTimes::LeavingSince(const UpstreamId& id) const {
  auto found = times_.find(id);
  return found == times_.end() ? TimePoint() : found->second.leaving_since;
}

}  // namespace fireflycart::proxy
