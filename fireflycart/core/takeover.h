// Takes over a group: fences a majority of its upstreams to a new term, chooses
// a primary among them and promotes it.
//
//   takeover.Start(term, old_primary, avoided, now);
//   auto call = takeover.NextCall(upstream, view, self);  // per upstream
//   takeover.Step(view, unreachable, member_count, grace, now);
//   if (takeover.stage() == TakeoverStage::kPromoted) Serve();
//
// Step is called after each reply.
//
// Limits: one attempt, in one term. If another VM raises the term meanwhile,
// the attempt is preempted, and a new one needs a higher term.

#ifndef FIREFLYCART_CORE_TAKEOVER_H_
#define FIREFLYCART_CORE_TAKEOVER_H_

#include <optional>
#include <set>

#include "fireflycart/core/clock.h"
#include "fireflycart/core/context.h"
#include "fireflycart/core/ids.h"
#include "fireflycart/core/replication_view.h"
#include "fireflycart/core/upstream_message.h"

namespace fireflycart {

enum class TakeoverStage { kFencing, kPromoting, kPromoted, kPreempted };

class Takeover {
 public:
  // Starts an attempt in the given term. old_primary remains the primary if its
  // log is as up to date as that of any other candidate. Avoided upstreams are
  // promoted only if no other upstream qualifies.
  void Start(Term term, const UpstreamId& old_primary,
             std::set<UpstreamId> avoided, TimePoint now);

  // The control call to send to the upstream next, if any.
  std::optional<UpstreamCallBody> NextCall(const UpstreamId& upstream,
                                           const ReplicationView& view,
                                           const VmId& self) const;

  // Advances the stage as far as the view allows. Once a majority is fenced,
  // Step waits up to grace for the other members, but not for the unreachable
  // ones, which are down.
  void Step(const ReplicationView& view,
            const std::set<UpstreamId>& unreachable, size_t member_count,
            Duration grace, TimePoint now);

  // Handles the reply to a promotion. The first entry that the new primary
  // appended in this term is at the given position.
  void OnPromoted(Position first_entry);
  // Handles a failed promotion: avoids the upstream and chooses again.
  void OnPromotionFailed(const UpstreamId& upstream);

  TakeoverStage stage() const { return stage_; }
  Term term() const { return term_; }
  const UpstreamId& primary() const { return primary_; }
  Position first_entry() const { return first_entry_; }
  TimePoint started() const { return started_; }
  // Term of the last entry that the primary held before its promotion. It shows
  // whether another VM led the group since a given term.
  Term prior_entry_term() const { return prior_entry_term_; }

 private:
  UpstreamId Choose(const ReplicationView& view) const;

  TakeoverStage stage_ = TakeoverStage::kFencing;
  Term term_;
  UpstreamId old_primary_;
  std::set<UpstreamId> avoided_;
  UpstreamId primary_;
  Position first_entry_;
  Term prior_entry_term_;
  TimePoint started_;
  TimePoint majority_since_;
  bool has_majority_ = false;
};

}  // namespace fireflycart

#endif  // FIREFLYCART_CORE_TAKEOVER_H_
