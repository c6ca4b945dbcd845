// Messages between the spenders of tenants' limits and the lender.

#ifndef FIREFLYCART_CORE_TENANTS_TOKEN_MESSAGES_H_
#define FIREFLYCART_CORE_TENANTS_TOKEN_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "fireflycart/core/clock.h"
#include "fireflycart/core/ids.h"

namespace fireflycart {

// A token is valid for so long, counted by the spender from before it asked.
constexpr Duration kTokenLife = Duration::Millis(250);
// A spender without a lender goes on at its remembered rate until so
// long after it asked for the last time.
constexpr Duration kRememberedRateLife = Duration::Millis(2000);
// A new lender that starts extends that, but not beyond this time after a
// lender granted tokens.
constexpr Duration kMaxRememberedRateLife = Duration::Millis(3000);
// The same if half of the voters or more call the new lender.
constexpr Duration kMajorityRememberedRateLife = Duration::Millis(8000);
// A part of 1 in messages.
constexpr int64_t kWholeShare = 1000;

enum class LenderState {
  kNone,      // The VM is not the lender, or does not know enough spenders.
  kStarting,  // It will lend soon; remembered rates remain valid.
  kLending,
};
constexpr int kLenderStates = 3;

struct TokenWish {
  TenantId tenant;
  int64_t wanted = 0;
  int64_t returned = 0;  // Of the lender's tokens, unused.
};

struct TokensCall {
  // That the sender owns, for lenders of earlier versions.
  std::vector<GroupId> groups;
  std::vector<TokenWish> wishes;
  // A lender has answered the sender since its start. So it is with an earlier
  // version, as far as is known.
  bool has_borrowed = true;
  // How long the sender's vote cannot have counted at another VM.
  std::optional<Duration> voting_for;
};

struct TokenGrant {
  TenantId tenant;
  int64_t tokens = 0;
  // Until there is a token again, if fewer were granted than wanted.
  Duration retry_after;
  // The rate, in 0.001/s, at which the spender may go on without a lender.
  int64_t remembered_rate = 0;
};

struct TokensReply {
  LenderState state = LenderState::kNone;
  std::vector<TokenGrant> grants;
  // The part of their own allowances that the callers of this lender may use,
  // in thousandths.
  int64_t own_share = kWholeShare;
};

}  // namespace fireflycart

#endif  // FIREFLYCART_CORE_TENANTS_TOKEN_MESSAGES_H_
