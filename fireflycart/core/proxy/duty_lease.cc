// A conditional write replaces the row that was read, so if two VMs write it,
// only one succeeds. A write without an answer may still be applied later, so
// the row is read again before the next write. The same holds for a write with
// the version of an older era, as another row may have that number by now.

#include "fireflycart/core/proxy/duty_lease.h"

#include <algorithm>

namespace fireflycart::proxy {
namespace {

constexpr char kPart[] = "duty";
constexpr char kPromoting[] = "promoting";
// Excludes other holders like kPromoting, but no promotion is ordered.
constexpr char kKeeping[] = "keeping";
constexpr char kIdle[] = "idle";
constexpr int kEraBits = 64 - DutyLease::kTokenNumberBits;

// In era 0 the token is the number. Returns false if there are too few bits.
bool MakeToken(const StoreVersion& version, uint64_t* token) {
  bool fits = (version.number >> DutyLease::kTokenNumberBits) == 0 &&
              (version.era.value() >> kEraBits) == 0;
  if (!fits) return false;
  *token =
      (version.era.value() << DutyLease::kTokenNumberBits) | version.number;
  return true;
}

bool HasState(const std::string& value, const char* state) {
  std::string suffix = std::string(" ") + state;
  return value.size() >= suffix.size() &&
         value.compare(value.size() - suffix.size(), suffix.size(), suffix) ==
             0;
}

bool IsPromoting(const std::string& value) {
  return HasState(value, kPromoting) || HasState(value, kKeeping);
}

// The VM, its incarnation and the state are the last three words. Before them
// is the commit set, if one was recorded.
size_t HolderOffset(const std::string& value) {
  size_t offset = value.size();
  for (int words = 0; words < 3; words++) {
    if (offset == 0) return 0;
    size_t blank = value.rfind(' ', offset - 1);
    if (blank == std::string::npos) return 0;
    offset = blank;
  }
  return offset + 1;
}

std::string HolderText(const char* state, ProxyContext* context) {
  return context->self().value() + " " +
         std::to_string(context->incarnation()) + " " + state;
}

std::string RowValue(const CommitSet& set, const char* state,
                     ProxyContext* context) {
  std::string holder = HolderText(state, context);
  return set.is_known() ? FormatCommitSet(set) + " " + holder : holder;
}

}  // namespace

bool DutyLease::IsOwn(const std::string& value, ProxyContext* context) const {
  std::string holder = value.substr(HolderOffset(value));
  return holder == HolderText(kPromoting, context) ||
         holder == HolderText(kKeeping, context) ||
         holder == HolderText(kIdle, context);
}

void DutyLease::Learn(ProxyContext* context) {
  bool is_busy = read_ != CallId() || write_ != CallId();
  if (!has_row_ && !is_busy && !is_acquiring()) Read(context);
}

void DutyLease::Record(const CommitSet& set, uint64_t term,
                       ProxyContext* context) {
  bool keeps_promoting =
      is_token_promoting_ || requested_row_ == RequestedRow::kPromotingRow;
  // A set is proposed for the row that was read last.
  if (!has_row_) return;
  proposed_set_ = set;
  Request(keeps_promoting, term, context);
}

const char* DutyLease::WritingState() const {
  if (!is_writing_promoting_) return kIdle;
  return is_writing_keeping_ ? kKeeping : kPromoting;
}

void DutyLease::Keep(uint64_t term, ProxyContext* context) {
  is_keeping_ = true;
  Request(true, term, context);
}

void DutyLease::Acquire(bool is_promoting, uint64_t term,
                        ProxyContext* context) {
  is_keeping_ = false;
  Request(is_promoting, term, context);
}

void DutyLease::Request(bool is_promoting, uint64_t term,
                        ProxyContext* context) {
  if (!is_promoting) EndExclusive(context->now());
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
  bool is_own = IsOwn(row_value_, context);
  TimePoint free_at = row_seen_at_ + kLeaseDuration;
  bool is_taken =
      !is_own && IsPromoting(row_value_) && context->now() < free_at;
  // A holder that took the row shortly before the restore may be forgotten.
  bool may_be_forgotten = restored_at_ != TimePoint() && !was_holder_ &&
                          context->now() < restored_at_ + kLeaseDuration;
  if (is_taken || may_be_forgotten) {
    // The other holder may mark the row as idle early, so it is read again.
    Wait(kRetryDelay, context);
    return;
  }
  Write(context);
}

// Then the row is read again.
void DutyLease::Wait(Duration time, ProxyContext* context) {
  has_row_ = false;
  next_try_ = context->now() + time;
  context->WakeAt(next_try_);
}

void DutyLease::OnStoreRestored(StoreEra era, TimePoint at) {
  if (!(era_ < era)) return;
  era_ = era;
  EndExclusive(at);
  has_row_ = false;
  restored_at_ = at;
  was_holder_ = is_last_holder_;
}

void DutyLease::Read(ProxyContext* context) {
  read_ = context->NextCall();
  context->Emit(StoreCall{read_, kStoreTimeout,
                          ReadTable{StoreTable::kDuties, group_.value()}});
}

void DutyLease::Write(ProxyContext* context) {
  write_ = context->NextCall();
  write_sent_at_ = context->now();
  WriteRow row;
  row.table = StoreTable::kDuties;
  row.key = group_.value();
  is_writing_promoting_ = requested_row_ == RequestedRow::kPromotingRow;
  is_writing_keeping_ = is_keeping_;
  writing_set_ = proposed_set_ ? *proposed_set_ : commit_set_;
  row.value = RowValue(writing_set_, WritingState(), context);
  row.has_condition = true;
  row.expected_version = row_version_;
  context->Emit(StoreCall{write_, kStoreTimeout, row});
}

bool DutyLease::OnStore(const StoreAnswered& answer, ProxyContext* context) {
  bool is_read = read_ != CallId() && answer.call == read_;
  bool is_write = write_ != CallId() && answer.call == write_;
  if (confirmation_ != CallId() && answer.call == confirmation_) {
    OnConfirmation(answer, context);
    return true;
  }
  if (!is_read && !is_write) return false;
  if (is_read) read_ = CallId();
  if (is_write) write_ = CallId();
  if (era_ == StoreEra()) {
    era_ = answer.version.era;
  } else {
    OnStoreRestored(answer.version.era, context->now());
  }
  bool answered = answer.status == StoreStatus::kOk ||
                  answer.status == StoreStatus::kConflict;
  bool is_written = is_write && answer.status == StoreStatus::kOk;
  bool is_other_row = is_written && answer.version.era != row_version_.era;
  if (is_other_row) {
    // It may have replaced the row of a holder that is promoting.
    was_holder_ = false;
    restored_at_ = context->now();
    EndExclusive(context->now());
  }
  if (!answered || is_other_row || answer.version.era < era_) {
    if (!answered) store_failures_++;
    failed_at_ = context->now();
    Wait(kRetryDelay, context);
    context->Log(LogLevel::kWarning, kPart, "store_failed",
                 {{"group", group_.value()},
                  {"step", is_read ? "read" : "write"},
                  {"status", StoreStatusName(answer.status)},
                  {"version", FormatVersion(answer.version)},
                  {"era", std::to_string(era_.value())},
                  {"failures", std::to_string(store_failures_)}});
  } else if (is_written) {
    store_failures_ = 0;
    OnRowWritten(answer, context);
  } else {
    store_failures_ = 0;
    OnRow(answer, context);
  }
  Step(context);
  return true;
}

void DutyLease::OnRowWritten(const StoreAnswered& answer,
                             ProxyContext* context) {
  // Another row may have been requested since the write was sent.
  bool is_promoting = is_writing_promoting_;
  RequestedRow written =
      is_promoting ? RequestedRow::kPromotingRow : RequestedRow::kIdleRow;
  has_row_ = true;
  row_version_ = answer.version;
  row_value_ = RowValue(writing_set_, WritingState(), context);
  row_seen_at_ = context->now();
  if (commit_set_ != writing_set_) {
    context->Log(
        LogLevel::kInfo, kPart, "commit_set_recorded",
        {{"group", group_.value()}, {"set", FormatCommitSet(writing_set_)}});
  }
  commit_set_ = writing_set_;
  if (proposed_set_ && *proposed_set_ == writing_set_) proposed_set_.reset();
  // The write replaced the version that was read last, so no other VM wrote the
  // row in between.
  if (!has_token_) last_writer_since_ = context->now();
  if (requested_row_ == written) requested_row_ = RequestedRow::kNone;
  has_token_ = MakeToken(answer.version, &token_);
  if (!has_token_) {
    context->Log(LogLevel::kError, kPart, "token_too_large",
                 {{"group", group_.value()},
                  {"version", FormatVersion(answer.version)}});
    return;
  }
  was_holder_ = true;
  is_last_holder_ = true;
  is_token_promoting_ = is_promoting;
  token_version_ = answer.version;
  token_term_ = term_;
  granted_at_ = write_sent_at_;
  confirmed_at_ = write_sent_at_;
  is_confirmation_failing_ = false;
  if (is_promoting && granted_at_ > exclusive_ended_at_) {
    // Others do not replace the row before kLeaseDuration after they saw it.
    if (!IsExclusive(granted_at_)) exclusive_since_ = granted_at_;
    exclusive_until_ = granted_at_ + kLeaseDuration;
  }
  context->Log(LogLevel::kInfo, kPart, "token_granted",
               {{"group", group_.value()},
                {"token", std::to_string(token_)},
                {"version", FormatVersion(answer.version)},
                {"term", std::to_string(term_)},
                {"promoting", is_token_promoting_ ? "yes" : "no"}});
}

void DutyLease::OnRow(const StoreAnswered& answer, ProxyContext* context) {
  StoreVersion version{answer.version.era, 0};
  std::string value;
  for (const StoreRow& row : answer.rows) {
    if (row.key != group_.value() || row.is_deleted) continue;
    version = row.version;
    value = row.value;
  }
  bool changed = version != row_version_ || row_seen_at_ == TimePoint();
  if (changed) row_seen_at_ = context->now();
  if (version != token_version_) {
    has_token_ = false;
    is_last_holder_ = false;
  }
  bool is_replaced = !IsOwn(value, context) && IsExclusive(context->now());
  if (is_replaced) EndExclusive(context->now());
  if (changed) {
    bool is_restored =
        row_version_.era != StoreEra() && row_version_.era < version.era;
    ReadCommitSet(value, is_restored, context);
  }
  row_version_ = version;
  row_value_ = value;
  has_row_ = true;
}

// A row that has just been read replaces what was known. After a restore of the
// store the row may be an older one.
void DutyLease::ReadCommitSet(const std::string& value, bool is_restored,
                              ProxyContext* context) {
  proposed_set_.reset();
  CommitSet known = commit_set_;
  size_t offset = HolderOffset(value);
  CommitSet stored;
  std::string problem;
  bool has_set = offset > 0;
  if (has_set &&
      !ParseCommitSet(value.substr(0, offset - 1), &stored, &problem)) {
    context->Log(LogLevel::kError, kPart, "commit_set_unreadable",
                 {{"group", group_.value()}, {"problem", problem}});
    return;
  }
  bool is_left_behind = HasState(value, kPromoting) && !IsOwn(value, context);
  if (stored.is_known() && is_left_behind) stored.may_have_order = true;
  commit_set_ = stored;
  if (!is_restored) return;
  commit_set_ = MergeCommitSets(stored, known);
  // A holder that was promoting before the restore may be forgotten.
  if (commit_set_.is_known() && !was_holder_) commit_set_.may_have_order = true;
  if (commit_set_ != stored) proposed_set_ = commit_set_;
}

void DutyLease::KeepConfirmed(ProxyContext* context) {
  bool is_busy = confirmation_ != CallId() || is_acquiring();
  if (!has_token_ || is_busy) return;
  TimePoint due =
      std::max(confirmed_at_ + kConfirmationInterval, next_confirmation_);
  if (context->now() < due) {
    context->WakeAtCoarse(due);
    return;
  }
  next_confirmation_ = context->now() + kStoreTimeout;
  confirmation_sent_at_ = context->now();
  confirmation_ = context->NextCall();
  context->Emit(StoreCall{confirmation_, kStoreTimeout,
                          ReadTable{StoreTable::kDuties, group_.value()}});
}

void DutyLease::OnConfirmation(const StoreAnswered& answer,
                               ProxyContext* context) {
  confirmation_ = CallId();
  context->WakeAtCoarse(next_confirmation_);
  is_confirmation_failing_ = answer.status != StoreStatus::kOk;
  // A write that was sent meanwhile tells which row is the last one.
  bool is_overtaken = granted_at_ >= confirmation_sent_at_ || is_acquiring();
  if (is_confirmation_failing_ || is_overtaken) return;
  if (era_ != StoreEra()) OnStoreRestored(answer.version.era, context->now());
  if (answer.version.era < era_) return;
  OnRow(answer, context);
  if (has_token_) confirmed_at_ = confirmation_sent_at_;
}

}  // namespace fireflycart::proxy
