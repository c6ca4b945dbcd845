// The duty lease of one group: the right to request promotions. A row of the
// platform's store names the holder; the version of the row is the fencing
// token, which grows with every change of the holder. After a restore of the
// store the token grows, too, since the store's era is in its upper bits.
//
//   lease.Acquire(true, term, &context);
//   if (lease.OnStore(answer, &context)) ...
//   if (lease.has_token()) Promote(lease.token());
//
// While the row is marked as promoting, other VMs do not replace it before
// kLeaseDuration has passed. A restored store may have forgotten such a row, so
// VMs other than the last known holder wait as long.
//
// The row also records the group's commit set, which each writer passes on. The
// VM that wrote the row last confirms it by reading it again:
//
//   lease.KeepConfirmed(&context);          // after every event of the group
//   if (lease.IsConfirmed(now)) ...         // no other VM counts on the row
//   if (lease.IsSole(now)) lease.Record(set, term, &context);
//
// Limits: of a row that another VM has written, only what was read last is
// known.

#ifndef FIREFLYCART_CORE_PROXY_DUTY_LEASE_H_
#define FIREFLYCART_CORE_PROXY_DUTY_LEASE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "fireflycart/core/proxy/commit_set.h"
#include "fireflycart/core/proxy/proxy_context.h"

namespace fireflycart::proxy {

class DutyLease {
 public:
  // How long another holder has for its promotion: longer than a promotion with
  // its retries takes on any known platform, 1 s.
  static constexpr Duration kLeaseDuration = Duration::Seconds(3);
  // A healthy store answers within about 10 ms.
  static constexpr Duration kStoreTimeout = Duration::Millis(300);
  // Bits of a token for the number of a version; the era is above them.
  static constexpr int kTokenNumberBits = 40;
  // Delay after a failed call.
  static constexpr Duration kRetryDelay = Duration::Millis(150);

  // Interval of the reads that confirm the row.
  static constexpr Duration kConfirmationInterval = Duration::Millis(1000);
  // For this long after the row was confirmed, its writer counts as its only
  // one: for two reads, one of which may get no answer.
  static constexpr Duration kConfirmationMaxAge = Duration::Millis(2500);
  // An earlier writer takes itself for the only one for kConfirmationMaxAge,
  // and its last order of promotion takes effect within 4 s, if at all.
  static constexpr Duration kSoleDelay = Duration::Seconds(4);

  explicit DutyLease(GroupId group) : group_(std::move(group)) {}

  // Starts to write the row with this VM as holder, as "promoting" or idle.
  void Acquire(bool is_promoting, uint64_t term, ProxyContext* context);
  // The same without the intent to order a promotion.
  void Keep(uint64_t term, ProxyContext* context);
  // Starts to mark the row as idle after a promotion. Keeps the token.
  void Release(uint64_t term, ProxyContext* context);
  bool is_acquiring() const { return requested_row_ != RequestedRow::kNone; }
  // True if the store did not answer the last call.
  bool is_failing() const { return store_failures_ > 0; }
  // Stops an acquisition in progress.
  void Cancel() { requested_row_ = RequestedRow::kNone; }

  bool OnStore(const StoreAnswered& answer, ProxyContext* context);
  // The store came back from an older copy, as was noticed at this time.
  void OnStoreRestored(StoreEra era, TimePoint at);
  // Another VM owns the group and may take the lease unseen by this one.
  void OnOwnershipLost() { is_last_holder_ = false; }
  void OnWake(ProxyContext* context);

  // True once the row names this VM as promoting.
  bool has_token() const { return has_token_ && is_token_promoting_; }
  uint64_t token() const { return token_; }
  // When the write that granted the token was sent. The answer may be read much
  // later, for example after a pause of this process.
  TimePoint granted_at() const { return granted_at_; }

  // True if no other VM can have been granted a token since exclusive_since(),
  // and this VM has ordered no promotion since then.
  bool IsExclusive(TimePoint now) const { return now < exclusive_until_; }
  TimePoint exclusive_since() const { return exclusive_since_; }
  // What was written until then gives no exclusive time.
  void EndExclusive(TimePoint now) {
    exclusive_until_ = TimePoint();
    exclusive_ended_at_ = now;
  }
  // What the row records, as it was last read or written by this VM.
  const CommitSet& commit_set() const { return commit_set_; }
  // True if that replica is in the set and is not being taken out.
  bool IsRecorded(const UpstreamRecord& replica, uint64_t term) const {
    return commit_set_.HasReplica(replica, term) &&
           (!proposed_set_ || proposed_set_->HasReplica(replica, term));
  }
  // The same for the set of that term with its primary.
  bool IsRecordedMember(const UpstreamRecord& upstream, uint64_t term) const {
    return commit_set_.is_known() && commit_set_.term == term &&
           commit_set_.HasMember(upstream) &&
           (!proposed_set_ || proposed_set_->HasMember(upstream));
  }
  // Starts to read the row if it is not known.
  void Learn(ProxyContext* context);
  // Starts to write the set. It is dropped if another VM has written the row
  // since this one last read it.
  void Record(const CommitSet& set, uint64_t term, ProxyContext* context);
  // Reads the row again from time to time if this VM wrote it last.
  void KeepConfirmed(ProxyContext* context);
  // True if this VM wrote the row last, as far as is known.
  bool is_last_writer() const { return has_token_; }
  // True if the row was this VM's at some time within kConfirmationMaxAge.
  bool IsConfirmed(TimePoint now) const {
    return has_token_ && now - confirmed_at_ <= kConfirmationMaxAge;
  }
  TimePoint confirmed_until() const {
    return confirmed_at_ + kConfirmationMaxAge;
  }
  // True if a read that was to confirm the row got no answer.
  bool is_confirmation_failing() const { return is_confirmation_failing_; }
  // True if this VM is the only one since sole_since() that takes its row for
  // confirmed.
  bool IsSole(TimePoint now) const {
    return IsConfirmed(now) && now >= sole_since();
  }
  TimePoint sole_since() const { return last_writer_since_ + kSoleDelay; }

  StoreEra era() const { return era_; }
  // When a call last failed; zero: never.
  TimePoint failed_at() const { return failed_at_; }

  // A token that was confirmed in this term may still be used if the store does
  // not answer and no other VM can have taken the lease: a promotion by another
  // VM would have raised the term.
  bool MayUseOldToken(uint64_t term) const {
    return has_token_ && token_term_ == term && store_failures_ > 0;
  }

 private:
  enum class RequestedRow { kNone, kIdleRow, kPromotingRow };

  void Request(bool is_promoting, uint64_t term, ProxyContext* context);
  const char* WritingState() const;
  void Step(ProxyContext* context);
  void Read(ProxyContext* context);
  void Write(ProxyContext* context);
  void OnRow(const StoreAnswered& answer, ProxyContext* context);
  void OnRowWritten(const StoreAnswered& answer, ProxyContext* context);
  void OnConfirmation(const StoreAnswered& answer, ProxyContext* context);
  void ReadCommitSet(const std::string& value, bool is_restored,
                     ProxyContext* context);
  void Wait(Duration time, ProxyContext* context);
  bool IsOwn(const std::string& value, ProxyContext* context) const;

  GroupId group_;
  RequestedRow requested_row_ = RequestedRow::kNone;
  uint64_t term_ = 0;
  CallId read_;
  CallId write_;
  bool is_keeping_ = false;  // No promotion is to be ordered.
  // What the write under way contains.
  bool is_writing_promoting_ = false;
  bool is_writing_keeping_ = false;
  CommitSet writing_set_;
  TimePoint write_sent_at_;
  bool has_row_ = false;
  StoreVersion row_version_;
  std::string row_value_;
  TimePoint row_seen_at_;  // When this version was first read.
  bool has_token_ = false;
  bool is_token_promoting_ = false;
  uint64_t token_ = 0;
  StoreVersion token_version_;
  uint64_t token_term_ = 0;
  TimePoint granted_at_;
  TimePoint exclusive_since_;
  TimePoint exclusive_until_;
  TimePoint exclusive_ended_at_;
  CommitSet commit_set_;
  std::optional<CommitSet> proposed_set_;
  TimePoint last_writer_since_;
  TimePoint confirmed_at_;  // When the last confirming call was sent.
  CallId confirmation_;
  TimePoint confirmation_sent_at_;
  TimePoint next_confirmation_;
  bool is_confirmation_failing_ = false;
  int store_failures_ = 0;  // Consecutive.
  TimePoint failed_at_;
  TimePoint next_try_;
  StoreEra era_;
  TimePoint restored_at_;    // Zero: no restore is known.
  bool was_holder_ = false;  // At the restore.
  // No other VM is known to have taken the lease since this one did.
  bool is_last_holder_ = false;
};

}  // namespace fireflycart::proxy

#endif  // FIREFLYCART_CORE_PROXY_DUTY_LEASE_H_
