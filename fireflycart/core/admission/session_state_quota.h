// Bounds the memory of what callers let their sessions keep: session values and
// prepared statements. While the whole is within its limit, a session may keep
// up to its own limit; beyond it, only sessions below the fair share may keep
// more.
//
//   SessionStateQuota quota(limit_bytes);
//   if (!quota.Charge(&session.state_bytes, bytes, sessions)) Refuse();
//   quota.Return(&session.state_bytes, bytes);   // replaced, or forgotten
//
// Limits: the sum stays below twice the limit: the limit, and a fair share for
// each session. kMinShare is always granted, whatever the number of sessions.

#ifndef FIREFLYCART_CORE_ADMISSION_SESSION_STATE_QUOTA_H_
#define FIREFLYCART_CORE_ADMISSION_SESSION_STATE_QUOTA_H_

#include <cstddef>

namespace fireflycart {

class SessionStateQuota {
 public:
  // What a session may keep if no other keeps anything: one message of the
  // largest size, or this part of the limit if that is more.
  static constexpr size_t kPartOfSession = 8;
  static constexpr size_t kLeastSessionBytes = size_t{1100} << 10;
  static constexpr size_t kMostSessionBytes = size_t{8} << 20;
  static constexpr size_t kMinShare = size_t{2} << 10;
  // Of the program, for each value or prepared statement.
  static constexpr size_t kEntryOverhead = 128;

  explicit SessionStateQuota(size_t limit);

  // Adds bytes to what a session keeps; false if it may not keep them.
  bool Charge(size_t* kept, size_t bytes, size_t sessions);
  void Return(size_t* kept, size_t bytes);

  size_t kept() const { return kept_; }
  size_t session_limit() const { return session_limit_; }

 private:
  size_t limit_;
  size_t session_limit_;
  size_t kept_ = 0;
};

}  // namespace fireflycart

#endif  // FIREFLYCART_CORE_ADMISSION_SESSION_STATE_QUOTA_H_
