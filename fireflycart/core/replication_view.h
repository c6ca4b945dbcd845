// Tracks the logs of a group's upstreams: the last reported position and term
// of each.
//
//   view.Observe(upstream, reply.status, sent_at);
//   if (view.QuorumPosition(term) >= written) Acknowledge();
//   if (view.QuorumSequence(term) >= read_arrival) ReturnRead();
//
// Limits: positions are compared only within the given term. An upstream whose
// last entry is of another term is not counted.

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
  // Sets the upstreams of the group and discards the state of all others.
  void SetMembers(const std::vector<UpstreamId>& members);

  // Records the status in a reply to a call sent at sent_at. A status older
  // than the recorded one is ignored.
  void Observe(const UpstreamId& upstream, const UpstreamStatus& status,
               Instant sent_at);

  // Discards all statuses and primary samples, as before a takeover.
  void ClearStatuses();
  size_t CountWithStatus() const;

  // The last recorded status of an upstream, or null.
  const UpstreamStatus* Find(const UpstreamId& upstream) const;

  // A copy without the given upstreams. Its majority() is computed from fewer
  // members and must not be used.
  ReplicationView Without(const std::set<UpstreamId>& excluded) const;

  size_t majority() const { return members_.size() / 2 + 1; }

  // Highest term in any recorded status.
  Term HighestTerm() const;
  // How many upstreams are known to be fenced to exactly this term.
  size_t CountFenced(Term term) const;
  // Among those fenced to the term, the ones with the most up-to-date log:
  // highest term of the last entry, then highest position.
  std::vector<UpstreamId> MostUpToDate(Term term) const;

  // Highest position that a majority holds within the term.
  Position QuorumPosition(Term term) const;
  // Sequence number of the latest event after which a majority was certainly
  // still in the term.
  uint64_t QuorumSequence(Term term) const;
  // The same for one upstream; 0 if its last status is not of the term.
  uint64_t ConfirmedSequence(const UpstreamId& upstream, Term term) const;
  // Highest position that every member has applied; 0 if any member's log is
  // not known to be consistent with the primary's.
  Position AppliedByAll(Term term) const;

  // True if the upstream's log is known to be a prefix of the primary's.
  bool IsConsistent(const UpstreamId& upstream, Term term) const;

  // An upper bound on the age of data that ends at the given position, or
  // nullopt if no sample of the primary has so low a position.
  std::optional<Duration> AgeUpperBound(Position applied, TimePoint now) const;
  // Records the position that the primary reported in reply to a call sent at
  // sent_at.
  void ObservePrimary(Position position, TimePoint sent_at);
  void ClearPrimarySamples() { samples_.clear(); }

 private:
  struct Member {
    bool known = false;
    UpstreamStatus status;
    uint64_t status_sequence = 0;
    // Sequence number of the latest call answered in the term of the status.
    uint64_t confirmed_sequence = 0;
  };
  struct PrimarySample {
    TimePoint sent_at;
    Position position;
  };

  void DownsampleOldSamples();

  std::map<UpstreamId, Member> members_;
  std::deque<PrimarySample> samples_;
};

}  // namespace fireflycart

#endif  // FIREFLYCART_CORE_REPLICATION_VIEW_H_
