// The lender on this VM is called as any other, without a message. While a call
// is open, operations without a token wait for its answer; the answer, or its
// loss, decides on all of them.

#include "fireflycart/core/proxy/limit_keeper.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "fireflycart/core/proxy/vm_ring.h"

namespace fireflycart::proxy {
namespace {

constexpr char kPart[] = "limits";
constexpr Duration kLogInterval = Duration::Seconds(1);

const char* LenderStateName(LenderState state) {
  switch (state) {
    case LenderState::kNone:
      return "none";
    case LenderState::kStarting:
      return "starting";
    case LenderState::kLending:
      return "lending";
  }
  return "unknown";
}

}  // namespace

void LimitKeeper::SetTenants(const TenantSpecs& tenants,
                             ProxyContext* context) {
  stock_.SetTenants(tenants, context->now());
  lender_.SetTenants(tenants);
}

void LimitKeeper::SetVms(const std::vector<VmId>& vms, ProxyContext* context) {
  std::map<uint64_t, VmId> by_rank;
  for (const VmId& vm : vms) by_rank[RankOf(vm)] = vm;
  std::set<VmId> voters;
  for (const auto& item : by_rank) {
    if (voters.size() == kMaxVoters) break;
    voters.insert(item.second);
  }
  is_voter_ = voters.count(context->self()) != 0;
  lender_.SetVoters(voters, context->now());
}

void LimitKeeper::SetView(const View& view, ProxyContext* context) {
  view_ = view;
  WakeForVote(context);
  stock_.SetGroups(view.owned, view.groups, view.is_in_touch, context->now());
  bool is_chosen = view.lender == context->self() && view.is_in_touch;
  lender_.SetChosen(is_chosen, context->now());
  StepClaim(context);
  LogVotes(context);
}

LimitKeeper::Verdict LimitKeeper::Admit(StatementCall* call,
                                        const WorkOrigin& origin,
                                        Duration* retry_after,
                                        ProxyContext* context) {
  bool continues =
      call->transaction != TransactionKind::kNone && !call->opens_transaction;
  if (continues || !stock_.IsLimited(call->tenant)) return Verdict::kRun;
  TimePoint now = context->now();
  last_operation_ = now;
  stock_.OnArrival(call->tenant);
  bool is_first = true;
  for (const Waiting& item : waiting_) {
    if (item.call.tenant == call->tenant) is_first = false;
  }
  if (is_first && stock_.Take(call->tenant, now)) return Verdict::kRun;
  bool may_ask = view_.lender != VmId() && silent_lender_ != view_.lender &&
                 now >= ask_again_at_ &&
                 now >= stock_.empty_until(call->tenant);
  if (!may_ask) {
    if (stock_.TakeOwn(call->tenant, now)) return Verdict::kRun;
    refused_[call->tenant]++;
    *retry_after = RetryAfter(call->tenant, context);
    return Verdict::kRefused;
  }
  waiting_.push_back(Waiting{std::move(*call), origin, now});
  if (call_ == CallId()) {
    if (now - called_at_ >= kMinCallGap) {
      Call(context);
    } else {
      context->WakeAt(called_at_ + kMinCallGap);
    }
  }
  return Verdict::kWaits;
}

bool LimitKeeper::Cancel(const SessionKey& session, Waiting* cancelled) {
  for (auto it = waiting_.begin(); it != waiting_.end(); ++it) {
    bool matches =
        !(it->call.session < session) && !(session < it->call.session);
    if (!matches) continue;
    if (it - waiting_.begin() < static_cast<ptrdiff_t>(asked_count_)) {
      asked_count_--;
    }
    *cancelled = std::move(*it);
    waiting_.erase(it);
    return true;
  }
  return false;
}

void LimitKeeper::Call(ProxyContext* context) {
  called_at_ = context->now();
  context->WakeAt(called_at_ + kCallPeriod);
  asked_count_ = waiting_.size();
  if (voted_ != view_.lender) {
    voted_ = view_.lender;
    voting_since_ = context->now();
  }
  if (view_.lender == VmId()) {
    Decide(false, context);
    return;
  }
  std::map<TenantId, int64_t> counts;
  for (const Waiting& item : waiting_) counts[item.call.tenant]++;
  TokensCall call = stock_.MakeCall(counts, context->now());
  Duration voting_for = context->now() - voting_since_;
  if (voting_for >= TokenLender::kStartDelay) counted_ = voted_;
  // It never counted at those that were called meanwhile.
  if (voted_ == counted_) {
    voting_for = std::max(voting_for, TokenLender::kStartDelay);
  }
  call.voting_for = voting_for;
  if (view_.lender == context->self()) {
    OnAnswer(lender_.OnCall(context->self(), call, context->now()), context);
    return;
  }
  call_ = context->NextCall();
  called_ = view_.lender;
  context->Emit(CallPeer{call_, view_.lender, view_.lender_address,
                         kCallTimeout, std::move(call)});
}

void LimitKeeper::OnAnswer(const TokensReply& reply, ProxyContext* context) {
  silent_lender_ = VmId();
  stock_.OnReply(reply, called_at_, context->now());
  // Such a VM keeps no votes.
  if (reply.state == LenderState::kNone) voting_since_ = context->now();
  bool lends = reply.state == LenderState::kLending;
  if (!lends) ask_again_at_ = context->now() + kCallPeriod;
  Decide(lends, context);
}

bool LimitKeeper::OnReply(const PeerReplied& reply, ProxyContext* context) {
  if (call_ == CallId() || reply.call != call_) return false;
  call_ = CallId();
  const auto* body = std::get_if<TokensReply>(&reply.body);
  if (reply.error == PeerCallError::kNone && body != nullptr) {
    OnAnswer(*body, context);
  } else {
    silent_lender_ = called_;
    Decide(false, context);
  }
  WakeForVote(context);
  return true;
}

void LimitKeeper::Decide(bool may_ask, ProxyContext* context) {
  std::deque<Waiting> waiting;
  waiting.swap(waiting_);
  for (size_t i = 0; i < waiting.size(); i++) {
    const TenantId tenant = waiting[i].call.tenant;
    bool may_wait = may_ask && i >= asked_count_ &&
                    context->now() >= stock_.empty_until(tenant);
    Decided decided;
    // Its limit may have been removed while it waited.
    decided.may_run =
        !stock_.IsLimited(tenant) || stock_.Take(tenant, context->now());
    if (!decided.may_run && may_wait) {
      waiting_.push_back(std::move(waiting[i]));
      context->WakeAt(called_at_ + kMinCallGap);
      continue;
    }
    if (!decided.may_run) {
      decided.may_run = stock_.TakeOwn(tenant, context->now());
    }
    if (!decided.may_run) {
      refused_[tenant]++;
      decided.retry_after = RetryAfter(tenant, context);
    }
    decided.waiting = std::move(waiting[i]);
    decided_.push_back(std::move(decided));
  }
  asked_count_ = 0;
}

// Spread over as long again, so that those who were refused together do not
// come back together.
Duration LimitKeeper::RetryAfter(const TenantId& tenant,
                                 ProxyContext* context) const {
  Duration time = stock_.empty_until(tenant) - context->now();
  if (time <= Duration()) time = kCallPeriod;
  auto spread = static_cast<uint64_t>(time.millis());
  return time + Duration::Millis(static_cast<int64_t>(context->Random(spread)));
}

TokensReply LimitKeeper::OnCall(const VmId& from, const TokensCall& call,
                                ProxyContext* context) {
  TokensReply reply = lender_.OnCall(from, call, context->now());
  StepClaim(context);
  return reply;
}

void LimitKeeper::OnWake(ProxyContext* context) {
  if (call_ != CallId()) return;
  if (!stock_.has_limits() && waiting_.empty()) return;
  TimePoint now = context->now();
  bool is_idle = view_.owned.empty() && now - last_operation_ > kIdleTime;
  if (is_idle && !is_voter_ && waiting_.empty()) return;
  Duration period = is_idle ? kIdleCallPeriod : kCallPeriod;
  // The vote of this VM counts at a new lender some time after the first call.
  bool calls_soon = !waiting_.empty() || (is_voter_ && voted_ != view_.lender);
  TimePoint due = called_at_ + (calls_soon ? kMinCallGap : period);
  if (is_voter_ && voted_ != counted_ && voted_ != VmId()) {
    TimePoint counts_from = voting_since_ + TokenLender::kStartDelay;
    due = std::min(due, std::max(counts_from, called_at_ + kMinCallGap));
  }
  if (now < due) {
    context->WakeAt(due);
    return;
  }
  Call(context);
}

void LimitKeeper::StepClaim(ProxyContext* context) {
  bool lends = stock_.has_limits() && view_.is_in_touch &&
               view_.lender == context->self();
  claim_.Step(lends, lender_.CountVotes(context->now()), lender_.voters(),
              context);
}

void LimitKeeper::WakeForVote(ProxyContext* context) {
  bool is_due = is_voter_ && voted_ != view_.lender && stock_.has_limits() &&
                call_ == CallId();
  if (!is_due) return;
  context->WakeAt(std::max(context->now(), called_at_ + kMinCallGap));
}

// Tells which part of the limits this VM lends.
void LimitKeeper::LogVotes(ProxyContext* context) {
  LenderState state = lender_.State(context->now());
  size_t votes = lender_.CountVotes(context->now());
  bool is_same = state == logged_state_ && votes == logged_votes_;
  if (is_same || context->now() < next_log_) return;
  next_log_ = context->now() + kLogInterval;
  logged_state_ = state;
  logged_votes_ = votes;
  context->Log(LogLevel::kInfo, kPart, "lender",
               {{"state", LenderStateName(state)},
                {"votes", std::to_string(votes)},
                {"voters", std::to_string(lender_.voters())}});
}

std::vector<LimitKeeper::Decided> LimitKeeper::TakeDecided() {
  std::vector<Decided> decided;
  decided.swap(decided_);
  return decided;
}

}  // namespace fireflycart::proxy
