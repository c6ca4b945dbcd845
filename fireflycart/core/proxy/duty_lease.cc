// A conditional write replaces the row that was read, so if two VMs write it,
// only one succeeds. A write without an answer may still be applied later, so
// the row is read again before the next write.

#include "fireflycart/core/proxy/duty_lease.h"

namespace fireflycart::proxy {
namespace {

constexpr char kPart[] = "duty";
constexpr char kPromoting[] = "promoting";
constexpr char kIdle[] = "idle";

bool IsPromoting(const std::string& value) {
  std::string suffix = std::string(" ") + kPromoting;
  return value.size() >= suffix.size() &&
         value.compare(value.size() - suffix.size(), suffix.size(), suffix) ==
             0;
}

}  // namespace

std::string DutyLease::ValueFor(bool is_promoting,
                                ProxyContext* context) const {
  return context->self().value() + " " +
         std::to_string(context->incarnation()) + " " +
         (is_promoting ? kPromoting : kIdle);
}

void DutyLease::Acquire(bool is_promoting, uint64_t term,
                        ProxyContext* context) {
  requested_row_ =
      is_promoting ? RequestedRow::kPromotingRow : RequestedRow::kIdleRow;
  term_ = term;
  is_token_promoting_ = false;
  next_try_ = context->now();
  Step(context);
}

void DutyLease::Release(uint64_t term, ProxyContext* context) {
  Acquire(false, term, context);
}

void DutyLease::OnWake(ProxyContext* context) { Step(context); }

void DutyLease::Step(ProxyContext* context) {
  if (requested_row_ == RequestedRow::kNone) return;
  if (read_ != CallId() || write_ != CallId()) return;
  if (context->now() < next_try_) {
    context->WakeAt(next_try_);
    return;
  }
  if (!has_row_) {
    Read(context);
    return;
  }
  bool is_own = row_value_ == ValueFor(true, context) ||
                row_value_ == ValueFor(false, context);
  TimePoint free_at = row_seen_at_ + kLeaseDuration;
  bool is_taken =
      !is_own && IsPromoting(row_value_) && context->now() < free_at;
  if (is_taken) {
    // The other holder may mark the row as idle early, so it is read again.
    has_row_ = false;
    next_try_ = context->now() + kRetryDelay;
    context->WakeAt(next_try_);
    return;
  }
  Write(context);
}

void DutyLease::Read(ProxyContext* context) {
  read_ = context->NextCall();
  context->Emit(StoreCall{read_, kStoreTimeout,
                          ReadTable{StoreTable::kDuties, group_.value()}});
}

void DutyLease::Write(ProxyContext* context) {
  write_ = context->NextCall();
  WriteRow row;
  row.table = StoreTable::kDuties;
  row.key = group_.value();
  row.value = ValueFor(requested_row_ == RequestedRow::kPromotingRow, context);
  row.has_condition = true;
  row.expected_version = row_version_;
  context->Emit(StoreCall{write_, kStoreTimeout, row});
}

bool DutyLease::OnStore(const StoreAnswered& answer, ProxyContext* context) {
  bool is_read = read_ != CallId() && answer.call == read_;
  bool is_write = write_ != CallId() && answer.call == write_;
  if (!is_read && !is_write) return false;
  if (is_read) read_ = CallId();
  if (is_write) write_ = CallId();
  bool answered = answer.status == StoreStatus::kOk ||
                  answer.status == StoreStatus::kConflict;
  if (!answered) {
    store_failures_++;
    has_row_ = false;
    next_try_ = context->now() + kRetryDelay;
    context->Log(LogLevel::kWarning, kPart, "store_failed",
                 {{"group", group_.value()},
                  {"step", is_read ? "read" : "write"},
                  {"status", StoreStatusName(answer.status)},
                  {"failures", std::to_string(store_failures_)}});
  } else if (is_read || answer.status == StoreStatus::kConflict) {
    store_failures_ = 0;
    OnRow(answer, context);
  } else {
    store_failures_ = 0;
    has_row_ = true;
    row_version_ = answer.version;
    row_value_ =
        ValueFor(requested_row_ == RequestedRow::kPromotingRow, context);
    row_seen_at_ = context->now();
    has_token_ = true;
    is_token_promoting_ = requested_row_ == RequestedRow::kPromotingRow;
    token_ = answer.version.number;
    token_term_ = term_;
    granted_at_ = context->now();
    requested_row_ = RequestedRow::kNone;
    context->Log(LogLevel::kInfo, kPart, "token_granted",
                 {{"group", group_.value()},
                  {"token", std::to_string(token_)},
                  {"term", std::to_string(term_)},
                  {"promoting", is_token_promoting_ ? "yes" : "no"}});
  }
  Step(context);
  return true;
}

void DutyLease::OnRow(const StoreAnswered& answer, ProxyContext* context) {
  StoreVersion version;
  std::string value;
  for (const StoreRow& row : answer.rows) {
    if (row.key != group_.value() || row.is_deleted) continue;
    version = row.version;
    value = row.value;
  }
  bool changed = version != row_version_ || row_seen_at_ == TimePoint();
  if (changed) row_seen_at_ = context->now();
  if (version.number != token_) has_token_ = false;
  row_version_ = version;
  row_value_ = value;
  has_row_ = true;
}

}  // namespace fireflycart::proxy
