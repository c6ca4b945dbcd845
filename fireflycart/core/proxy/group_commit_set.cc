// Keeps the recorded commit set of the group, see commit_set.h, and reports an
// upstream that the group waits for because of it.
//
// Only the VM that is assigned the group changes the set. Each change is
// recorded before it counts:
//
// - An upstream that has received all that the primary has joins it. What is
//   passed on meanwhile is in the log of another member, or in that of every
//   replica that any VM knows.
// - A replica that does not answer, or is about to end, leaves it if another
//   member has all that the primary has, so that the group need not wait for it
//   when the primary is lost, too. Meanwhile no VM may count it alone: see
//   DutyLease::IsSole().
// - If no other replica is left, the set stays as it is. The group cannot
//   replace its primary then, until an upstream joins or one of these returns.
//
// A new primary begins with a new set, since a replica may still lack what the
// primary has received in the term before. It is recorded once a replica has
// joined it; until then, the set of the term before is in force, by which the
// log of the new primary is needed.

#include <algorithm>
#include <string>

#include "fireflycart/core/proxy/group_owner.h"

namespace fireflycart::proxy {
namespace {

constexpr char kPart[] = "group";
// A replica that has not answered for this time leaves the commit set.
constexpr Duration kSilentTime = Duration::Seconds(1);
// Interval at which a VM tries to take the duty row of a group that it is
// assigned.
constexpr Duration kRowRequestInterval = Duration::Seconds(2);
// How long the first replica of a new primary has to join.
constexpr Duration kFirstJoinTime = Duration::Seconds(1);
constexpr Duration kAwaitedReportInterval = Duration::Seconds(5);

bool Follows(const PooledUpstream& replica, const PooledUpstream& primary) {
  return replica.is_registered && !replica.record.leaving && !replica.is_down &&
         replica.is_status_of_this_connection() && !replica.status.is_primary &&
         replica.status.held_term == 0 &&
         replica.status.term == primary.status.term;
}

std::string FormatPosition(LogPosition position) {
  return std::to_string(position.term) + "." + std::to_string(position.number);
}

}  // namespace

void GroupOwner::KeepCommitSet(ProxyContext* context) {
  if (!is_assigned_ || spec_.sync_replicas == 0) return;
  failover_.KeepLeaseConfirmed(context);
  const PooledUpstream* primary = Primary();
  if (primary == nullptr) return;
  failover_.OnPrimaryStatus(*primary, context);
  if (failover_.is_active()) return;
  const DutyLease& lease = failover_.lease();
  if (lease.is_acquiring()) return;
  if (!lease.is_last_writer()) {
    if (!has_requested_lease_ || context->now() < next_lease_request_) return;
    next_lease_request_ = context->now() + kRowRequestInterval;
    failover_.AcquireLeaseInAdvance(primary->status.term, context);
    return;
  }
  CommitSet next = NextCommitSet(*primary, context);
  bool is_alone = true;
  for (const auto& item : pool_.upstreams()) {
    bool is_other =
        item.first != primary_ && !pool_.HasEnded(item.second, context->now());
    if (is_other) is_alone = false;
  }
  // One that starts again must have all that was passed on. Nothing is without
  // a replica.
  bool has_old_position = is_alone && next.position < primary->status.received;
  if (next == lease.commit_set() && !has_old_position) return;
  bool awaits_first = lease.commit_set().is_known() &&
                      next.term > lease.commit_set().term &&
                      next.members.size() == 1 &&
                      context->now() - primary_since_ < kFirstJoinTime;
  if (awaits_first) {
    context->WakeAtCoarse(primary_since_ + kFirstJoinTime);
    return;
  }
  next.position = primary->status.received;
  failover_.RecordCommitSet(next, context);
}

CommitSet GroupOwner::NextCommitSet(const PooledUpstream& primary,
                                    ProxyContext* context) const {
  const DutyLease& lease = failover_.lease();
  const CommitSet& recorded = lease.commit_set();
  if (recorded.term > primary.status.term) return recorded;
  CommitSet next = recorded;
  if (recorded.term < primary.status.term) {
    // An earlier writer of the row may still count a member alone.
    bool may_replace = !recorded.is_known() || lease.IsSole(context->now());
    if (!may_replace) return recorded;
    next = CommitSet();
    next.term = primary.status.term;
  }
  if (next.primary != primary.record.id) {
    // One that returned under another id has its log there.
    auto before = next.members.find(next.primary);
    bool has_moved = before != next.members.end() &&
                     before->second.address == primary.record.address;
    if (has_moved) next.members.erase(before);
    next.primary = primary.record.id;
  }
  next.Add(primary.record);
  if (next.may_have_order) {
    next.may_have_order = !HasOrderLapsed(primary);
  }
  for (const auto& member : recorded.members) {
    if (member.first == next.primary || next.members.count(member.first) == 0) {
      continue;
    }
    if (MayLeaveCommitSet(member.first, member.second, primary, context)) {
      next.members.erase(member.first);
    }
  }
  for (const auto& item : pool_.upstreams()) {
    const PooledUpstream& upstream = item.second;
    bool joins = !next.HasMember(upstream.record) &&
                 MayJoinCommitSet(upstream, primary, context);
    if (joins) next.Add(upstream.record);
  }
  return next;
}

// True if no upstream that an earlier holder of the lease may have ordered to
// lead does so. An order takes effect before sole_since(), or never will.
bool GroupOwner::HasOrderLapsed(const PooledUpstream& primary) const {
  const DutyLease& lease = failover_.lease();
  for (const auto& member : lease.commit_set().members) {
    if (member.first == primary.record.id) continue;
    const PooledUpstream* upstream =
        pool_.WithLogOf(member.first, lease.commit_set());
    bool is_known = upstream != nullptr && !upstream->is_down &&
                    upstream->is_status_of_this_connection() &&
                    !(upstream->status_sent.time < lease.sole_since());
    if (!is_known) return false;
    bool leads = upstream->status.is_primary && upstream != &primary;
    if (leads) return false;
  }
  return true;
}

bool GroupOwner::MayJoinCommitSet(const PooledUpstream& replica,
                                  const PooledUpstream& primary,
                                  ProxyContext* context) const {
  if (replica.record.id == primary.record.id) return false;
  if (!Follows(replica, primary)) return false;
  if (!pool_.IsEstablished(replica, context->now())) return false;
  TimePoint listed_since = context->now() - UpstreamPool::kEstablishedAge;
  if (!pool_.WasListed(replica, listed_since)) return false;
  LogPosition needed = previous_primary_position_.known()
                           ? previous_primary_position_
                           : primary.status.received;
  // The members of the term before counted until now.
  bool is_new_term = failover_.lease().commit_set().term < primary.status.term;
  if (is_new_term && needed < failover_.acknowledged()) {
    needed = failover_.acknowledged();
  }
  return !(replica.status.received < needed);
}

bool GroupOwner::MayLeaveCommitSet(const UpstreamId& id,
                                   const CommitMember& member,
                                   const PooledUpstream& primary,
                                   ProxyContext* context) const {
  const DutyLease& lease = failover_.lease();
  bool is_evidence = lease.IsSole(context->now()) &&
                     !lease.commit_set().may_have_order &&
                     primary.status_sent.time >= lease.sole_since();
  if (!is_evidence) return false;
  auto found = pool_.upstreams().find(id);
  if (found == pool_.upstreams().end()) {
    return IsCoveredWithout(id, primary, context);
  }
  const PooledUpstream& upstream = found->second;
  bool has_lost_log = upstream.record.started_ms != member.started_ms;
  bool is_silent =
      upstream.is_down && context->now() - upstream.last_answer >= kSilentTime;
  bool is_leaving = upstream.record.leaving;
  if (!has_lost_log && !is_silent && !is_leaving) return false;
  // It counted alone until then.
  TimePoint last_counted = upstream.control_lost_at;
  if (is_leaving) {
    last_counted = std::max(last_counted, upstream.leaving_noticed_at);
  } else if (is_silent) {
    last_counted = std::max(last_counted, upstream.last_answer);
  }
  if (primary.status_sent.time < last_counted) return false;
  return IsCoveredWithout(id, primary, context);
}

// True if another recorded replica has all that the primary has.
bool GroupOwner::IsCoveredWithout(const UpstreamId& id,
                                  const PooledUpstream& primary,
                                  ProxyContext* context) const {
  TimePoint listed_since =
      primary.status_sent.time - Failover::kMaxUntrustedListAge;
  for (const auto& item : pool_.upstreams()) {
    const PooledUpstream& replica = item.second;
    bool covers =
        item.first != id && item.first != primary.record.id &&
        Follows(replica, primary) && pool_.IsLasting(replica, context->now()) &&
        pool_.WasListed(replica, listed_since) &&
        failover_.lease().IsRecorded(replica.record, primary.status.term) &&
        !(replica.status.received < primary.status.received) &&
        !(replica.status.received < failover_.acknowledged());
    if (covers) return true;
  }
  return false;
}

UpstreamId GroupOwner::AwaitedUpstream(ProxyContext* context) {
  if (failover_.is_promoting()) {
    const PooledUpstream* successor = pool_.FindUpstream(failover_.successor());
    bool is_silent = successor != nullptr && successor->is_down &&
                     pool_.ReplacementOf(*successor) == nullptr;
    return is_silent ? failover_.successor() : UpstreamId();
  }
  bool is_replacing = failover_.is_active() && !failover_.is_planned();
  if (Primary() != nullptr && !is_replacing) return UpstreamId();
  const PooledUpstream* lost = pool_.FindUpstream(primary_);
  uint64_t term = lost != nullptr && lost->has_status ? lost->status.term : 0;
  return failover_.AwaitedUpstream(primary_, std::max(term, MinTerm()), pool_,
                                   context);
}

// Names the upstream that the group waits for, when that begins, now and then,
// and when it ends.
void GroupOwner::ReportAwaitedUpstream(ProxyContext* context) {
  UpstreamId awaited = is_assigned_ ? AwaitedUpstream(context) : UpstreamId();
  if (awaited == UpstreamId()) {
    if (awaited_ == UpstreamId()) return;
    context->Log(
        LogLevel::kInfo, kPart, "upstream_awaited_no_more",
        {{"group", spec_.id.value()},
         {"upstream", awaited_.value()},
         {"waited_ms",
          std::to_string((context->now() - awaited_since_).millis())}});
    awaited_ = UpstreamId();
    return;
  }
  if (awaited_ == UpstreamId()) awaited_since_ = context->now();
  bool is_due = awaited != awaited_ || context->now() >= next_awaited_report_;
  awaited_ = awaited;
  if (!is_due) return;
  next_awaited_report_ = context->now() + kAwaitedReportInterval;
  const PooledUpstream* upstream = pool_.FindUpstream(awaited);
  LogPosition seen =
      upstream == nullptr ? LogPosition() : upstream->status.received;
  context->Log(
      LogLevel::kWarning, kPart, "upstream_awaited",
      {{"group", spec_.id.value()},
       {"upstream", awaited.value()},
       {"since_ms", std::to_string((context->now() - awaited_since_).millis())},
       {"last_position", FormatPosition(seen)},
       {"acknowledged", FormatPosition(failover_.acknowledged())},
       {"commit_set", FormatCommitSet(failover_.lease().commit_set())}});
}

}  // namespace fireflycart::proxy
