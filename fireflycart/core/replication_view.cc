// Why counting by the term of the last entry is right: each primary appends an
// entry of its own term before anything else, and a replica accepts entries
// only from the primary of its term and discards those that this primary does
// not hold. So a log whose last entry is of term T is a prefix of the log of
// T's primary, and a position identifies the same entry in both (Ongaro and
// Ousterhout, Raft, 2014, sections 5.3 and 5.4).
//
// Why QuorumSequence makes a read safe: a later coordinator fences a majority
// before it accepts a write. If a majority answered in our term to calls sent
// after the read arrived, that fencing was not complete when the read arrived,
// so no later coordinator had accepted a write that the reader could have seen.

#include "fireflycart/core/replication_view.h"

#include <algorithm>
#include <utility>

namespace fireflycart {
namespace {

constexpr size_t kMaxPrimarySamples = 256;
constexpr Duration kMinSampleGap = Duration::Millis(10);

// The n-th largest of the values, counting from 1.
template <typename T>
T NthLargest(std::vector<T> values, size_t n) {
  if (values.size() < n) return T();
  std::sort(values.begin(), values.end(), [](T a, T b) { return b < a; });
  return values[n - 1];
}

}  // namespace

void ReplicationView::SetMembers(const std::vector<UpstreamId>& members) {
  std::map<UpstreamId, Member> kept;
  for (const UpstreamId& id : members) kept[id] = members_[id];
  members_ = std::move(kept);
}

void ReplicationView::Observe(const UpstreamId& upstream,
                              const UpstreamStatus& status, Instant sent_at) {
  auto found = members_.find(upstream);
  if (found == members_.end()) return;
  Member& member = found->second;
  if (member.known && status.term < member.status.term) return;
  bool new_term = !member.known || status.term != member.status.term;
  uint64_t sent = sent_at.sequence;
  member.confirmed_sequence =
      new_term ? sent : std::max(member.confirmed_sequence, sent);
  if (!new_term && sent < member.status_sequence) return;
  member.known = true;
  member.status = status;
  member.status_sequence = sent;
}

void ReplicationView::ClearStatuses() {
  for (auto& item : members_) item.second = Member();
  samples_.clear();
}

size_t ReplicationView::CountWithStatus() const {
  size_t count = 0;
  for (const auto& item : members_) count += item.second.known ? 1 : 0;
  return count;
}

const UpstreamStatus* ReplicationView::Find(const UpstreamId& upstream) const {
  auto found = members_.find(upstream);
  if (found == members_.end() || !found->second.known) return nullptr;
  return &found->second.status;
}

ReplicationView ReplicationView::Without(
    const std::set<UpstreamId>& excluded) const {
  ReplicationView copy = *this;
  for (const UpstreamId& id : excluded) copy.members_.erase(id);
  return copy;
}

Term ReplicationView::HighestTerm() const {
  Term highest;
  for (const auto& item : members_) {
    if (item.second.known) highest = std::max(highest, item.second.status.term);
  }
  return highest;
}

size_t ReplicationView::CountFenced(Term term) const {
  size_t count = 0;
  for (const auto& item : members_) {
    if (item.second.known && item.second.status.term == term) count++;
  }
  return count;
}

std::vector<UpstreamId> ReplicationView::MostUpToDate(Term term) const {
  std::vector<UpstreamId> best;
  std::pair<Term, Position> best_end;
  for (const auto& item : members_) {
    const UpstreamStatus& status = item.second.status;
    if (!item.second.known || status.term != term) continue;
    std::pair<Term, Position> end(status.entry_term, status.held);
    if (!best.empty() && end < best_end) continue;
    if (best.empty() || best_end < end) best.clear();
    best.push_back(item.first);
    best_end = end;
  }
  return best;
}

Position ReplicationView::QuorumPosition(Term term) const {
  std::vector<Position> held;
  for (const auto& item : members_) {
    if (IsConsistent(item.first, term)) held.push_back(item.second.status.held);
  }
  return NthLargest(held, majority());
}

uint64_t ReplicationView::QuorumSequence(Term term) const {
  std::vector<uint64_t> confirmed;
  for (const auto& item : members_) {
    confirmed.push_back(ConfirmedSequence(item.first, term));
  }
  return NthLargest(confirmed, majority());
}

uint64_t ReplicationView::ConfirmedSequence(const UpstreamId& upstream,
                                            Term term) const {
  auto found = members_.find(upstream);
  if (found == members_.end() || !found->second.known) return 0;
  if (found->second.status.term != term) return 0;
  return found->second.confirmed_sequence;
}

Position ReplicationView::AppliedByAll(Term term) const {
  bool first = true;
  Position lowest;
  for (const auto& item : members_) {
    if (!IsConsistent(item.first, term)) return Position();
    Position applied = item.second.status.applied;
    lowest = first ? applied : std::min(lowest, applied);
    first = false;
  }
  return lowest;
}

bool ReplicationView::IsConsistent(const UpstreamId& upstream,
                                   Term term) const {
  const UpstreamStatus* status = Find(upstream);
  return status != nullptr && status->term == term &&
         status->entry_term == term;
}

std::optional<Duration> ReplicationView::AgeUpperBound(Position applied,
                                                       TimePoint now) const {
  for (auto it = samples_.rbegin(); it != samples_.rend(); ++it) {
    if (it->position <= applied) return now - it->sent_at;
  }
  return std::nullopt;
}

void ReplicationView::ObservePrimary(Position position, TimePoint sent_at) {
  if (!samples_.empty()) {
    PrimarySample& last = samples_.back();
    if (sent_at < last.sent_at) return;
    // A later sample of the same position supersedes the older one.
    if (last.position == position) {
      last.sent_at = sent_at;
      return;
    }
    if (sent_at - last.sent_at < kMinSampleGap && samples_.size() > 1) {
      // Replacing a sample with a later and higher one only raises the bound.
      const PrimarySample& before = samples_[samples_.size() - 2];
      if (last.sent_at - before.sent_at < kMinSampleGap) samples_.pop_back();
    }
  }
  samples_.push_back(PrimarySample{sent_at, position});
  if (samples_.size() > kMaxPrimarySamples) DownsampleOldSamples();
}

void ReplicationView::DownsampleOldSamples() {
  std::deque<PrimarySample> kept;
  for (size_t i = 0; i < samples_.size(); i++) {
    bool recent = i + kMaxPrimarySamples / 2 >= samples_.size();
    if (recent || i % 2 == 0) kept.push_back(samples_[i]);
  }
  samples_ = std::move(kept);
}

}  // namespace fireflycart
