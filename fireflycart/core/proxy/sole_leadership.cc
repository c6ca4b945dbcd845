// A promotion is ordered only by the holder of the duty lease. While this VM
// keeps the lease without a gap and orders none, none is ordered. One that was
// ordered before has taken effect kMaxOrderTime after the lease was granted, or
// never will. The upstream that it promoted leads then, and is in the list of
// the store, or it is gone. So if, after that time, the primary says that it
// leads and every other upstream of the list says that it does not, the primary
// leads for as long as the lease is kept, whatever joins meanwhile.
//
// A VM that the store does not answer may order a promotion with an older
// token, but only if it holds an established upstream. This VM knows that
// upstream, since its own list is current, and does not use the proof then.
//
// All times are those at which a request was sent, so that an answer that is
// read late, or a pause of this process, makes the evidence older, not newer.
// The age of the list that was read does not matter: an upstream that joins
// after it cannot be promoted without the lease.

#include "fireflycart/core/proxy/sole_leadership.h"

#include <algorithm>

namespace fireflycart::proxy {
namespace {

constexpr char kPart[] = "sole_lead";

}  // namespace

void SoleLeadership::Step(const DutyLease& lease, const UpstreamPool& pool,
                          const UpstreamId& primary, ProxyContext* context) {
  auto found = pool.upstreams().find(primary);
  uint64_t term =
      found == pool.upstreams().end() ? 0 : found->second.status.term;
  bool was_proven = is_proven_;
  bool is_same = lease.exclusive_since() == exclusive_since_ &&
                 primary == primary_ && term == term_;
  if (!lease.IsExclusive(context->now()) || !is_same) {
    is_proven_ = false;
    has_list_ = false;
  }
  if (was_proven && !is_proven_) {
    context->Log(LogLevel::kWarning, kPart, "ended",
                 {{"group", group_.value()},
                  {"primary", primary.value()},
                  {"evidence", Describe(lease, context->now())}});
  }
  exclusive_since_ = lease.exclusive_since();
  primary_ = primary;
  term_ = term;
  if (is_proven_ || term == 0 || !lease.IsExclusive(context->now())) return;
  TimePoint settled_at = exclusive_since_ + kMaxOrderTime;
  if (lease.failed_at() != TimePoint()) {
    settled_at = std::max(settled_at, lease.failed_at() + kReturnTime);
  }
  if (context->now() < settled_at) {
    context->WakeAt(settled_at);
    return;
  }
  bool is_listed =
      has_list_ && list_sent_at_ >= settled_at && list_era_ == lease.era();
  is_proven_ =
      is_listed && AreOthersReplicas(pool, primary, settled_at, context->now());
  if (!is_proven_) {
    ReadList(context);
    return;
  }
  context->Log(LogLevel::kInfo, kPart, "proven",
               {{"group", group_.value()},
                {"primary", primary.value()},
                {"term", std::to_string(term)},
                {"evidence", Describe(lease, context->now())}});
}

void SoleLeadership::ReadList(ProxyContext* context) {
  if (read_ != CallId()) return;
  if (context->now() < next_read_) {
    context->WakeAt(next_read_);
    return;
  }
  next_read_ = context->now() + kListReadInterval;
  read_sent_at_ = context->now();
  read_ = context->NextCall();
  context->Emit(StoreCall{read_, kListReadTimeout,
                          ReadTable{StoreTable::kUpstreams, ""}});
}

bool SoleLeadership::OnStore(const StoreAnswered& answer,
                             ProxyContext* context) {
  if (read_ == CallId() || answer.call != read_) return false;
  read_ = CallId();
  context->WakeAt(next_read_);
  has_list_ = answer.status == StoreStatus::kOk;
  if (!has_list_) return true;
  list_sent_at_ = read_sent_at_;
  list_era_ = answer.version.era;
  listed_.clear();
  for (const UpstreamChange& change : answer.upstreams) {
    bool is_listed = change.is_present && change.record.group == group_;
    if (is_listed) listed_.insert(change.id);
  }
  return true;
}

bool SoleLeadership::AreOthersReplicas(const UpstreamPool& pool,
                                       const UpstreamId& primary,
                                       TimePoint since, TimePoint now) const {
  for (const UpstreamId& id : listed_) {
    if (pool.upstreams().count(id) == 0) return false;
  }
  for (const auto& item : pool.upstreams()) {
    const PooledUpstream& upstream = item.second;
    // Without the lease it cannot have been ordered to lead.
    if (pool.HasEnded(upstream, now)) continue;
    bool is_fresh = !upstream.is_down &&
                    upstream.is_status_of_this_connection() &&
                    upstream.status_sent.time >= since;
    bool leads = item.first == primary;
    if (!is_fresh || upstream.status.is_primary != leads) return false;
  }
  return true;
}

std::string SoleLeadership::Describe(const DutyLease& lease,
                                     TimePoint now) const {
  if (lease.exclusive_since() == TimePoint()) return "no lease";
  std::string text =
      "lease_age_ms=" + std::to_string((now - lease.granted_at()).millis()) +
      " kept_ms=" + std::to_string((now - lease.exclusive_since()).millis());
  if (!lease.IsExclusive(now)) text += " ended";
  if (has_list_) {
    text += " list_age_ms=" + std::to_string((now - list_sent_at_).millis()) +
            " listed=" + std::to_string(listed_.size());
  }
  return text;
}

}  // namespace fireflycart::proxy
