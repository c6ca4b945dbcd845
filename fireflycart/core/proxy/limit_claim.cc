// Two lenders may believe that the limits are theirs. That they never lend more
// than the whole together rests on these times:
//
// - A lender that lacks votes lends their part only if it has read the row
//   without a foreign claim at most kUnclaimedLife ago. A claim that is written
//   later is used for the whole after kMajorityDelay, which is longer.
// - A lender with the majority may be cut off from the store and goes on for
//   kMajorityUnclaimedLife. The claim of another VM is then one without the
//   majority, which is used after kMinorityDelay.
// - Votes move from one lender to another within TokenLender::kStartDelay, so
//   two lenders never have the majority at the same time.
// - A lender with the majority may replace the claim of another one, which
//   learns it from its next write, and stops kClaimLife after its last write at
//   the latest.
//
// Evidence is as old as the call that asked for it, and a claim as old as the
// answer to its first write, so that a slow store lengthens no right to lend.

#include "fireflycart/core/proxy/limit_claim.h"

#include <algorithm>

namespace fireflycart::proxy {
namespace {

constexpr char kPart[] = "limits";

}  // namespace

// Names of groups have no blanks.
std::string LimitClaim::RowKey() { return "tenant limits"; }

std::string LimitClaim::OwnValue(ProxyContext* context) const {
  return context->self().value() + " " + std::to_string(context->incarnation());
}

bool LimitClaim::IsClaimed(TimePoint now) const {
  return claimed_at_ != TimePoint() && now - renewed_at_ <= kClaimLife;
}

double LimitClaim::Share(size_t votes, size_t voters, TimePoint now) const {
  // A lender that has all votes does not look at claims.
  if (!is_chosen_ || votes == 0) return 0;
  if (votes >= voters) return 1;
  bool has_majority = 2 * votes > voters;
  bool is_claimed = IsClaimed(now) && now >= usable_from_;
  Duration delay = has_majority ? kMajorityDelay : kMinorityDelay;
  if (is_claimed && now - claimed_at_ >= delay) return 1;
  Duration life = has_majority ? kMajorityUnclaimedLife : kUnclaimedLife;
  bool is_unclaimed =
      unclaimed_at_ != TimePoint() && now - unclaimed_at_ <= life;
  if (!is_claimed && !is_unclaimed) return 0;
  return static_cast<double>(votes) / static_cast<double>(voters);
}

bool LimitClaim::MayClaim(TimePoint now) const {
  if (votes_ == 0) return false;
  if (2 * votes_ > voters_) return now - lacks_votes_since_ >= kMajorityWait;
  bool is_over =
      row_state_ == RowState::kFree ||
      (row_state_ == RowState::kForeign && now - row_seen_at_ >= kTakeOverAge);
  return is_over && now - lacks_votes_since_ >= kMinorityWait;
}

void LimitClaim::Step(bool is_chosen, size_t votes, size_t voters,
                      ProxyContext* context) {
  TimePoint now = context->now();
  votes_ = votes;
  voters_ = voters;
  if (is_chosen != is_chosen_) {
    is_chosen_ = is_chosen;
    lacks_votes_since_ = is_chosen ? now : TimePoint();
    unclaimed_at_ = TimePoint();
    claimed_at_ = TimePoint();
    row_state_ = RowState::kUnknown;
    next_call_ = TimePoint();
  }
  if (!is_chosen_) return;
  if (voters == 0) return;
  if (votes >= voters) {
    lacks_votes_since_ = TimePoint();
    unclaimed_at_ = now;
    bool may_release = row_state_ == RowState::kOwn && call_ == CallId();
    if (may_release) Write("", context);
    return;
  }
  if (lacks_votes_since_ == TimePoint()) {
    lacks_votes_since_ = now;
    next_call_ = TimePoint();
  }
  if (call_ != CallId()) return;
  if (now < next_call_) {
    context->WakeAt(next_call_);
    return;
  }
  next_call_ = now + kCallPeriod;
  context->WakeAt(next_call_);
  bool is_own = row_state_ == RowState::kOwn;
  bool is_known = row_state_ != RowState::kUnknown;
  if (is_own && votes == 0) {
    Write("", context);
  } else if (is_own || (is_known && MayClaim(now))) {
    Write(OwnValue(context), context);
  } else {
    Read(context);
  }
}

void LimitClaim::Read(ProxyContext* context) {
  is_write_ = false;
  sent_at_ = context->now();
  call_ = context->NextCall();
  context->Emit(StoreCall{call_, kStoreTimeout,
                          ReadTable{StoreTable::kDuties, RowKey()}});
}

void LimitClaim::Write(const std::string& value, ProxyContext* context) {
  is_write_ = true;
  is_release_ = value.empty();
  bool takes_over = row_state_ == RowState::kForeign &&
                    context->now() - row_seen_at_ < kTakeOverAge;
  if (takes_over) usable_from_ = row_seen_at_ + kTakeOverAge;
  sent_at_ = context->now();
  call_ = context->NextCall();
  WriteRow row;
  row.table = StoreTable::kDuties;
  row.key = RowKey();
  row.value = value;
  row.has_condition = true;
  row.expected_version = row_version_;
  context->Emit(StoreCall{call_, kStoreTimeout, row});
}

bool LimitClaim::OnStore(const StoreAnswered& answer, ProxyContext* context) {
  if (call_ == CallId() || answer.call != call_) return false;
  call_ = CallId();
  if (answer.status == StoreStatus::kOk) {
    if (is_write_) {
      OnWritten(answer, context);
    } else {
      OnRow(answer, context);
    }
  } else {
    // A write may have taken effect, or may yet.
    row_state_ = RowState::kUnknown;
    if (answer.status == StoreStatus::kConflict) {
      claimed_at_ = TimePoint();
      next_call_ = context->now();
    }
  }
  context->WakeAt(std::max(next_call_, context->now()));
  return true;
}

void LimitClaim::OnRow(const StoreAnswered& answer, ProxyContext* context) {
  StoreRow row;
  row.version = StoreVersion{answer.version.era, 0};
  for (const StoreRow& found : answer.rows) {
    if (found.key == RowKey() && !found.is_deleted) row = found;
  }
  bool is_same = row_version_ == row.version;
  row_version_ = row.version;
  if (!is_same || row_seen_at_ == TimePoint()) row_seen_at_ = sent_at_;
  if (row.value.empty()) {
    row_state_ = RowState::kFree;
  } else if (row.value == OwnValue(context)) {
    row_state_ = RowState::kOwn;
  } else {
    row_state_ = RowState::kForeign;
  }
  // At once, before a holder renews the row.
  if (MayClaim(context->now())) next_call_ = context->now();
  bool is_over = sent_at_ - row_seen_at_ >= kTakeOverAge;
  if (row_state_ == RowState::kForeign) {
    claimed_at_ = TimePoint();
    if (!is_over) return;
  }
  if (is_chosen_) unclaimed_at_ = sent_at_;
}

void LimitClaim::OnWritten(const StoreAnswered& answer, ProxyContext* context) {
  row_version_ = answer.version;
  row_seen_at_ = sent_at_;
  if (is_release_ || !is_chosen_) {
    row_state_ = is_release_ ? RowState::kFree : RowState::kUnknown;
    claimed_at_ = TimePoint();
    return;
  }
  row_state_ = RowState::kOwn;
  bool is_new = !IsClaimed(context->now());
  renewed_at_ = sent_at_;
  if (!is_new) return;
  claimed_at_ = context->now();
  context->Log(
      LogLevel::kWarning, kPart, "claimed",
      {{"votes", std::to_string(votes_)}, {"voters", std::to_string(voters_)}});
}

}  // namespace fireflycart::proxy
