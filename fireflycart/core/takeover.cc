// Why the new primary holds every acknowledged write: a write is acknowledged
// once a majority holds it. Any fenced majority shares a member with that
// majority, and a fenced member accepts nothing more from the old primary. The
// most up-to-date member, by term of its last entry and then by position, holds
// every acknowledged write that any fenced member holds (Raft, section 5.4.1).
//
// Avoiding an upstream never breaks this: the remaining upstreams must still be
// a fenced majority of their own, or as up to date as the avoided one.

#include "fireflycart/core/takeover.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace fireflycart {

void Takeover::Start(Term term, const UpstreamId& old_primary,
                     std::set<UpstreamId> avoided, TimePoint now) {
  stage_ = TakeoverStage::kFencing;
  term_ = term;
  old_primary_ = old_primary;
  avoided_ = std::move(avoided);
  primary_ = UpstreamId();
  first_entry_ = Position();
  started_ = now;
  has_majority_ = false;
}

std::optional<UpstreamCallBody> Takeover::NextCall(const UpstreamId& upstream,
                                                   const ReplicationView& view,
                                                   const VmId& self) const {
  const UpstreamStatus* status = view.Find(upstream);
  bool fenced = status != nullptr && status->term >= term_;
  if (!fenced) return FenceCall{term_, self};
  bool promotes = stage_ == TakeoverStage::kPromoting && upstream == primary_;
  if (promotes) return PromoteCall{term_};
  return std::nullopt;
}

void Takeover::Step(const ReplicationView& view,
                    const std::set<UpstreamId>& unreachable,
                    size_t member_count, Duration grace, TimePoint now) {
  if (view.HighestTerm() > term_) {
    stage_ = TakeoverStage::kPreempted;
    return;
  }
  if (stage_ != TakeoverStage::kFencing) return;
  size_t fenced = view.CountFenced(term_);
  if (fenced < view.majority()) return;
  if (!has_majority_) {
    has_majority_ = true;
    majority_since_ = now;
  }
  // Replies from more upstreams allow a better choice, so the reachable ones
  // have until the end of the grace period to reply.
  bool all_accounted_for = fenced + unreachable.size() >= member_count;
  bool grace_elapsed = now - majority_since_ >= grace;
  if (!all_accounted_for && !grace_elapsed) return;
  primary_ = Choose(view);
  if (primary_ == UpstreamId()) return;
  prior_entry_term_ = view.Find(primary_)->entry_term;
  stage_ = TakeoverStage::kPromoting;
}

void Takeover::OnPromoted(Position first_entry) {
  if (stage_ != TakeoverStage::kPromoting) return;
  first_entry_ = first_entry;
  stage_ = TakeoverStage::kPromoted;
}

void Takeover::OnPromotionFailed(const UpstreamId& upstream) {
  avoided_.insert(upstream);
  if (stage_ == TakeoverStage::kPromoting) stage_ = TakeoverStage::kFencing;
}

UpstreamId Takeover::Choose(const ReplicationView& view) const {
  ReplicationView others = view.Without(avoided_);
  bool others_are_majority = others.CountFenced(term_) >= view.majority();
  std::vector<UpstreamId> most_up_to_date = view.MostUpToDate(term_);
  std::vector<UpstreamId> candidates;
  for (const UpstreamId& id : most_up_to_date) {
    if (avoided_.count(id) == 0) candidates.push_back(id);
  }
  if (candidates.empty()) {
    candidates =
        others_are_majority ? others.MostUpToDate(term_) : most_up_to_date;
  }
  if (candidates.empty()) return UpstreamId();
  bool old_primary_fits = std::find(candidates.begin(), candidates.end(),
                                    old_primary_) != candidates.end();
  return old_primary_fits ? old_primary_ : candidates.front();
}

}  // namespace fireflycart
