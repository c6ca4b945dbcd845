// Decides which operations may start under the limits of their tenants, for the
// statements that one VM serves as owner of groups, and lends tokens to others
// if this VM is the lender.
//
//   keeper.SetView(view, &context);
//   Verdict verdict = keeper.Admit(&call, origin, &retry_after, &context);
//   for (LimitKeeper::Decided& item : keeper.TakeDecided()) Submit(&item);
//
// An operation is a single statement or a whole transaction, and counts when
// its first statement reaches the owner of its group. One that finds no token
// waits for an answer of the lender, a few milliseconds.
//
// Limits: one open call to the lender. An operation that is refused later, for
// lack of room, has used its token.

#ifndef FIREFLYCART_CORE_PROXY_LIMIT_KEEPER_H_
#define FIREFLYCART_CORE_PROXY_LIMIT_KEEPER_H_

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "fireflycart/core/proxy/limit_claim.h"
#include "fireflycart/core/proxy/peer_calls.h"
#include "fireflycart/core/proxy/proxy_context.h"
#include "fireflycart/core/proxy/work.h"
#include "fireflycart/core/tenants/token_lender.h"
#include "fireflycart/core/tenants/token_stock.h"

namespace fireflycart::proxy {

class LimitKeeper {
 public:
  LimitKeeper() = default;
  LimitKeeper(const LimitKeeper&) = delete;
  LimitKeeper& operator=(const LimitKeeper&) = delete;

  // Period of the calls to the lender; less than a token's life.
  static constexpr Duration kCallPeriod = Duration::Millis(200);
  static constexpr Duration kCallTimeout = Duration::Millis(100);
  // Shortest time between two calls, if operations wait.
  static constexpr Duration kMinCallGap = Duration::Millis(20);
  // A VM that owns no group calls the lender as often for so long after an
  // operation, and then less, if it has a vote.
  static constexpr Duration kIdleTime = Duration::Millis(1000);
  static constexpr Duration kIdleCallPeriod = Duration::Millis(800);
  static constexpr size_t kMaxVoters = 15;

  // What this VM knows of the fleet.
  struct View {
    VmId lender;  // May be this VM.
    std::string lender_address;
    std::set<GroupId> owned;
    size_t groups = 0;  // Of all owners.
    bool is_in_touch = false;
  };

  enum class Verdict { kRun, kWaits, kRefused };

  struct Waiting {
    StatementCall call;
    WorkOrigin origin;
    TimePoint since;
  };
  // A statement that waited.
  struct Decided {
    Waiting waiting;
    bool may_run = false;
    Duration retry_after;
  };

  void SetTenants(const TenantSpecs& tenants, ProxyContext* context);
  // The VMs that the store lists, this one included. The first kMaxVoters of
  // them by rank have votes.
  void SetVms(const std::vector<VmId>& vms, ProxyContext* context);
  void SetView(const View& view, ProxyContext* context);

  // Moves the statement away if it waits.
  Verdict Admit(StatementCall* call, const WorkOrigin& origin,
                Duration* retry_after, ProxyContext* context);
  // Removes a statement that waits, if its caller left; true if there was one.
  bool Cancel(const SessionKey& session, Waiting* cancelled);

  TokensReply OnCall(const VmId& from, const TokensCall& call,
                     ProxyContext* context);
  // False if the reply is not to a call of this object.
  bool OnReply(const PeerReplied& reply, ProxyContext* context);
  bool OnStore(const StoreAnswered& answer, ProxyContext* context) {
    return claim_.OnStore(answer, context);
  }
  // The VM that left the last call unanswered; empty if it was answered.
  const VmId& silent_lender() const { return silent_lender_; }
  // True if the lender lends, as far as is known.
  bool has_lender(TimePoint now) const {
    return silent_lender_ == VmId() && now >= ask_again_at_;
  }
  void OnWake(ProxyContext* context);
  std::vector<Decided> TakeDecided();

  size_t waiting_count() const { return waiting_.size(); }
  // Operations refused for the limits of each tenant.
  const std::map<TenantId, uint64_t>& refused() const { return refused_; }

 private:
  void Call(ProxyContext* context);
  // Wakes this VM for its first call to another lender.
  void WakeForVote(ProxyContext* context);
  void StepClaim(ProxyContext* context);
  void LogVotes(ProxyContext* context);
  void OnAnswer(const TokensReply& reply, ProxyContext* context);
  // Decides on those that the last call was for. Others may ask next.
  void Decide(bool may_ask, ProxyContext* context);
  Duration RetryAfter(const TenantId& tenant, ProxyContext* context) const;

  TokenStock stock_;
  LimitClaim claim_;
  TokenLender lender_{&claim_};
  View view_;
  std::deque<Waiting> waiting_;
  size_t asked_count_ = 0;  // Of those, the first that the open call is for.
  std::vector<Decided> decided_;
  CallId call_;
  VmId called_;
  TimePoint called_at_;
  bool is_voter_ = false;
  VmId voted_;  // The lender that this VM has called since, and no other.
  TimePoint voting_since_;
  // Where the vote may count: the last lender that was called for kStartDelay.
  VmId counted_;
  LenderState logged_state_ = LenderState::kNone;
  size_t logged_votes_ = 0;
  TimePoint next_log_;
  VmId silent_lender_;
  // The last VM that answered does not lend; operations wait for none till
  // then.
  TimePoint ask_again_at_;
  TimePoint last_operation_;
  std::map<TenantId, uint64_t> refused_;
};

}  // namespace fireflycart::proxy

#endif  // FIREFLYCART_CORE_PROXY_LIMIT_KEEPER_H_
