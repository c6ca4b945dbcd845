// What is known of a group's logs: who holds which position in which term.
//
//   view.Observe(upstream, reply.status, sent_at);
//   if (view.QuorumPosition(term) >= written) Acknowledge();
//   if (view.QuorumSequence(term) >= read_arrival) ReturnRead();
//
// Limits: positions are compared only within the given term. An upstream whose
// last entry is of another term counts for nothing.

#ifndef FIREFLYCART_CORE_REPLICATION_VIEW_H_
#define FIREFLYCART_CORE_REPLICATION_VIEW_H_

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "fireflycart/core/clock.h"
#include "fireflycart/core/context.h"
#include "fireflycart/core/ids.h"
#include "fireflycart/core/upstream_message.h"

namespace fireflycart {

class ReplicationView {
 public:
  // Sets the upstreams of the group; what is known of others is dropped.
  void SetMembers(const std::vector<UpstreamId>& members);

  // Takes in the status of a reply to a call sent at sent_at. A status older
  // than the last one is ignored.
  void Observe(const UpstreamId& upstream, const UpstreamStatus& status,
               Instant sent_at);

  // Forgets all statuses, as before a takeover.
  void ClearStatuses();
  size_t CountWithStatus() const;

  // The last status of an upstream, or null.
  const UpstreamStatus* Find(const UpstreamId& upstream) const;

  // A copy that knows nothing of the given upstreams. Its majority() is that of
  // fewer members and must not be used.
  ReplicationView Without(const std::set<UpstreamId>& excluded) const;

  size_t majority() const { return members_.size() / 2 + 1; }

  // Highest term seen on any upstream.
  Term HighestTerm() const;
  // How many upstreams are known to be fenced to exactly this term.
  size_t CountFenced(Term term) const;
  // Among those fenced to the term, the ones with the longest log: highest
  // term of the last entry, then highest position.
  std::vector<UpstreamId> MostUpToDate(Term term) const;

  // Highest position that a majority holds within the term.
  Position QuorumPosition(Term term) const;
  // Latest event after which a majority was certainly still in the term.
  uint64_t QuorumSequence(Term term) const;
  // The same for one upstream; 0 if it is not known to be in the term.
  uint64_t ConfirmedSequence(const UpstreamId& upstream, Term term) const;
  // Highest position that every member has applied; 0 if any is unknown.
  Position AppliedByAll(Term term) const;

  // True if the upstream's log is known to be a prefix of the primary's.
  bool IsConsistent(const UpstreamId& upstream, Term term) const;

  // An upper bound of the age of data that ends at the given position, or
  // nothing if the primary was never heard of with so low a position.
  std::optional<Duration> AgeUpperBound(Position applied, TimePoint now) const;
  // Records that the primary was at this position when the call was sent.
  void ObservePrimary(Position position, TimePoint sent_at);
  void ClearPrimarySamples() { primary_samples_.clear(); }

 private:
  struct Member {
    bool has_status = false;
    UpstreamStatus status;
    uint64_t status_sequence = 0;
    // For the term of the status: latest call that was answered in it.
    uint64_t confirmed_sequence = 0;
  };
  struct PrimarySample {
    TimePoint sent_at;
    Position position;
  };

  void DownsamplePrimarySamples();

  std::map<UpstreamId, Member> members_;
  std::deque<PrimarySample> primary_samples_;
};

}  // namespace fireflycart

#endif  // FIREFLYCART_CORE_REPLICATION_VIEW_H_
