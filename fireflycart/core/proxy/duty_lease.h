// The right to order promotions for one group. A row of the platform's store
// names the holder; the version of the row is the fencing token, which grows
// with every change of the holder.
//
//   lease.Acquire(&context);
//   if (lease.OnStore(answer, &context)) ...
//   if (lease.has_token()) Promote(lease.token());
//
// A holder that says it is promoting is left alone for kExclusive. Limits: the
// row is read only when it is needed.

#ifndef FIREFLYCART_CORE_PROXY_DUTY_LEASE_H_
#define FIREFLYCART_CORE_PROXY_DUTY_LEASE_H_

#include <cstdint>
#include <string>

#include "fireflycart/core/proxy/proxy_context.h"

namespace fireflycart::proxy {

class DutyLease {
 public:
  // Time that another holder has for its promotion: longer than a promotion
  // takes on any platform described so far, 1 s, with its retries.
  static constexpr Duration kExclusive = Duration::Seconds(3);
  // Longest wait for the store. It answers within about 10 ms when it is well.
  static constexpr Duration kStoreTimeout = Duration::Millis(300);
  // Pause after a failed call.
  static constexpr Duration kRetry = Duration::Millis(150);

  explicit DutyLease(GroupId group) : group_(std::move(group)) {}

  // Starts to write the row as its holder, "promoting" or idle.
  void Acquire(bool is_promoting, uint64_t term, ProxyContext* context);
  // Says that the promotion is over. Keeps the token.
  void Release(uint64_t term, ProxyContext* context);
  // Gives up what is under way.
  void Cancel() { wanted_ = Wanted::kNothing; }

  bool OnStore(const StoreAnswered& answer, ProxyContext* context);
  void OnWake(ProxyContext* context);

  // True once the row names this VM as promoting.
  bool has_token() const { return has_token_ && promoting_token_; }
  uint64_t token() const { return token_; }
  TimePoint granted_at() const { return granted_at_; }

  // A token that was confirmed in that term may still be used if the store
  // does not answer and no other VM may have taken the duty: nobody else
  // promoted since, or the term would have grown.
  bool MayUseOldToken(uint64_t term) const {
    return has_token_ && token_term_ == term && store_failures_ > 0;
  }

 private:
  enum class Wanted { kNothing, kIdleRow, kPromotingRow };

  void Step(ProxyContext* context);
  void Read(ProxyContext* context);
  void Write(ProxyContext* context);
  void OnRow(const StoreAnswered& answer, ProxyContext* context);
  std::string ValueFor(bool is_promoting, ProxyContext* context) const;

  GroupId group_;
  Wanted wanted_ = Wanted::kNothing;
  uint64_t term_ = 0;
  CallId read_;
  CallId write_;
  bool knows_row_ = false;
  uint64_t row_version_ = 0;
  std::string row_value_;
  TimePoint row_seen_;  // When this version was first seen.
  bool has_token_ = false;
  bool promoting_token_ = false;
  uint64_t token_ = 0;
  uint64_t token_term_ = 0;
  TimePoint granted_at_;
  int store_failures_ = 0;  // In a row.
  TimePoint next_try_;
};

}  // namespace fireflycart::proxy

#endif  // FIREFLYCART_CORE_PROXY_DUTY_LEASE_H_
