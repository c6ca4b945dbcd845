// Collects the snapshots for the decisions about load and applies the
// decisions. A replica counts as usable for reads if dispatch would send it the
// first queued read. The primary serves such reads with the slots that work
// which needs the primary leaves.

#include <algorithm>
#include <string>

#include "fireflycart/core/proxy/group_owner.h"

namespace fireflycart::proxy {
namespace {

constexpr Duration kReviewPeriod = Duration::Millis(50);
// Concurrency that is assumed if no upstream seems usable: the state of the
// upstreams may be unknown for a moment, and estimates should then admit.
constexpr double kMinConcurrency = 0.5;

int InFlightLimit(const PooledUpstream& upstream) {
  return upstream.record.slots + UpstreamPool::kExtraInFlight;
}

}  // namespace

void GroupOwner::ReviewQueue(ProxyContext* context) {
  if (queue_.size() == 0) return;
  if (context->now() < next_review_) {
    context->WakeAtCoarse(next_review_);
    return;
  }
  next_review_ = context->now() + kReviewPeriod;
  context->WakeAtCoarse(next_review_);
  for (Lane lane : {Lane::kPrimary, Lane::kAny}) {
    LaneOutlook outlook = queue_outlook_.Review(LaneSnapshotOf(lane, context));
    for (const HopelessStatement& statement : outlook.hopeless) {
      Work* work = FindWork(statement.number);
      if (work == nullptr) continue;
      work->reply.detail =
          "expected wait " + std::to_string(statement.expected_wait.millis()) +
          " ms, " + std::to_string(statement.time_left.millis()) + " ms left";
      Fail(work, Outcome::kBusy, "cannot_be_served_in_time", context);
    }
  }
}

LaneSnapshot GroupOwner::LaneSnapshotOf(Lane lane, ProxyContext* context) {
  LaneSnapshot snapshot;
  snapshot.now = context->now();
  snapshot.concurrency = ConcurrencyOf(lane, context);
  snapshot.arrival_load =
      arrivals_[static_cast<size_t>(lane)].load(context->now());
  snapshot.late_load =
      late_starts_[static_cast<size_t>(lane)].load(context->now());
  for (const Work* work : queue_.AllOf(lane)) {
    QueuedStatement statement;
    statement.number = work->number;
    statement.service = work->expected_service;
    statement.deadline = work->deadline;
    statement.is_late = context->now() > work->latest_start;
    statement.available_at = AvailableAt(*work, context);
    snapshot.queue.push_back(statement);
  }
  return snapshot;
}

double GroupOwner::ConcurrencyOf(Lane lane, ProxyContext* context) {
  const PooledUpstream* primary = Primary();
  double at_primary = primary == nullptr ? 0 : InFlightLimit(*primary);
  if (lane == Lane::kPrimary) return std::max(at_primary, kMinConcurrency);
  double for_primary_lane =
      arrivals_[static_cast<size_t>(Lane::kPrimary)].load(context->now());
  double concurrency = std::max(at_primary - for_primary_lane, kMinConcurrency);
  std::vector<Work*> reads = queue_.AllOf(Lane::kAny);
  LogPosition min_position =
      reads.empty() ? LogPosition() : MinPositionFor(*reads.front());
  for (const auto& item : pool_.upstreams()) {
    const PooledUpstream& upstream = item.second;
    bool is_usable = item.first != primary_ && upstream.is_registered &&
                     !upstream.record.leaving && !upstream.is_down &&
                     upstream.has_status &&
                     !IsBehind(upstream, min_position, context->now());
    if (is_usable) concurrency += InFlightLimit(upstream);
  }
  return concurrency;
}

// Reads are served at the successor while the primary is being replaced.
TimePoint GroupOwner::AvailableAt(const Work& work,
                                  ProxyContext* context) const {
  bool only_reads =
      work.call.transaction == TransactionKind::kReadOnly ||
      (!work.in_transaction() && work.call.access == Access::kRead);
  return only_reads ? context->now() : failover_.expected_end();
}

std::string GroupOwner::FormatUpstreams(ProxyContext* context) const {
  std::string text;
  for (const auto& item : pool_.upstreams()) {
    const PooledUpstream& upstream = item.second;
    if (!text.empty()) text += " ";
    text += item.first.value() + ":" + std::to_string(upstream.running) + "/" +
            std::to_string(upstream.record.slots) + "@" +
            std::to_string(upstream.applied.term) + "." +
            std::to_string(upstream.applied.number) + "+" +
            std::to_string(upstream.status.lag.millis());
    if (item.first == primary_) {
      text += ",primary";
    } else if (upstream.is_down) {
      text += ",down";
    } else if (!upstream.has_status) {
      text += ",no_status";
    } else if (upstream.status.held_term != 0) {
      text += ",held";
    } else if (pool_.IsDrained(upstream, context->now())) {
      text += ",drained";
    } else if (!pool_.HasSlot(upstream)) {
      text += ",full";
    }
  }
  return text;
}

}  // namespace fireflycart::proxy
