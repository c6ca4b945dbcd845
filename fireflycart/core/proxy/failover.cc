// A commit is acknowledged only once a replica has received it. So when all
// replicas hold, nothing more can be acknowledged, and the replica that
// received most has every acknowledged commit. A replica counts until its
// registry entry is gone for good; one that cannot be asked delays the
// replacement, since it might still acknowledge for the old primary.
//
// For a leaving primary all replicas but one hold. What was acknowledged before
// is awaited at the successor; what is acknowledged later went through it.

#include "fireflycart/core/proxy/failover.h"

namespace fireflycart::proxy {
namespace {

constexpr char kPart[] = "failover";
// Time for which an upstream that cannot be promoted is passed over.
constexpr Duration kPassOver = Duration::Seconds(1);

std::string Text(LogPosition position) {
  return std::to_string(position.term) + "." + std::to_string(position.number);
}

}  // namespace

const char* FailoverCauseName(FailoverCause cause) {
  switch (cause) {
    case FailoverCause::kLost:
      return "primary_lost";
    case FailoverCause::kNone:
      return "no_primary";
    case FailoverCause::kStalled:
      return "replication_stalled";
    case FailoverCause::kLeaving:
      return "primary_leaving";
  }
  return "unknown";
}

void Failover::Start(FailoverCause cause, const UpstreamId& old_primary,
                     uint64_t term, ProxyContext* context) {
  if (is_active() || context->now() < retry_at_) return;
  stage_ = FailoverStage::kHolding;
  cause_ = cause;
  old_primary_ = old_primary;
  term_ = term;
  started_ = context->instant();
  successor_ = UpstreamId();
  has_catch_up_ = false;
  all_held_ = Instant();
  frozen_ = LogPosition();
  has_ordered_hold_ = false;
  is_fleet_confirmed_ = false;
  asked_.clear();
  context->Log(LogLevel::kWarning, kPart, "started",
               {{"group", group_.value()},
                {"cause", FailoverCauseName(cause)},
                {"old_primary", old_primary.value()},
                {"term", std::to_string(term)},
                {"acknowledged", Text(acknowledged_)}});
  lease_.Acquire(true, term, context);
}

bool Failover::MayAcknowledge(const PooledUpstream& upstream,
                              ProxyContext* context) const {
  if (upstream.is_registered) return true;
  return context->now() - upstream.unregistered_at < kGoneAfter;
}

bool Failover::IsHeld(const PooledUpstream& upstream) const {
  return upstream.has_status &&
         upstream.status_sent.sequence > started_.sequence &&
         !upstream.is_down && upstream.status.held_term > term_;
}

bool Failover::MustHold(const UpstreamId& id) const {
  if (id == old_primary_) return false;
  return cause_ != FailoverCause::kLeaving || id != successor_;
}

void Failover::Ask(const UpstreamId& id, CommandKind kind, UpstreamPool* pool,
                   ProxyContext* context) {
  TimePoint& asked = asked_[id];
  if (asked != TimePoint() && context->now() - asked < kAskPeriod) {
    context->WakeAt(asked + kAskPeriod);
    return;
  }
  UpstreamCommand command;
  command.kind = kind;
  command.term = term_ + 1;
  if (!pool->SendControl(id, command, context)) return;
  asked = context->now();
  context->WakeAt(asked + kAskPeriod);
}

void Failover::Step(UpstreamPool* pool, ProxyContext* context) {
  if (stage_ == FailoverStage::kIdle) return;
  if (OtherLeads(pool)) {
    Finish(pool, context);
    return;
  }
  if (stage_ == FailoverStage::kHolding) {
    StepHolding(pool, context);
  } else {
    StepTakingEffect(pool, context);
  }
}

bool Failover::OtherLeads(UpstreamPool* pool) const {
  for (const auto& item : pool->upstreams()) {
    const PooledUpstream& upstream = item.second;
    bool leads = upstream.has_status && upstream.status.is_primary &&
                 upstream.status.term > term_;
    if (leads) return true;
  }
  return false;
}

// A primary that was lost, or that nobody knew of, answers.
bool Failover::PrimaryReturned(UpstreamPool* pool) const {
  bool may_return =
      cause_ == FailoverCause::kLost || cause_ == FailoverCause::kNone;
  if (!may_return) return false;
  for (const auto& item : pool->upstreams()) {
    const PooledUpstream& upstream = item.second;
    bool leads = !upstream.is_down && upstream.has_status &&
                 upstream.status.is_primary && upstream.status.term == term_ &&
                 upstream.status_sent.sequence > started_.sequence;
    if (leads) return true;
  }
  return false;
}

void Failover::StepHolding(UpstreamPool* pool, ProxyContext* context) {
  if (PrimaryReturned(pool)) {
    GiveUp("the primary answers", pool, context);
    return;
  }
  if (context->now() - started_.time > kHoldLimit) {
    GiveUp("not every replica could be held", pool, context);
    return;
  }
  if (cause_ == FailoverCause::kLeaving) {
    PooledUpstream* old = pool->FindUpstream(old_primary_);
    if (old == nullptr || old->is_down) {
      // It ended early: from now on as for a lost one.
      cause_ = FailoverCause::kLost;
      successor_ = UpstreamId();
    } else if (successor_ == UpstreamId()) {
      ChooseSuccessor(pool, context);
      if (successor_ == UpstreamId()) return;
    }
  }
  if (!RenewToken(context)) return;
  has_ordered_hold_ = true;
  if (!HoldReplicas(pool, context)) return;
  if (cause_ == FailoverCause::kLeaving) {
    if (!HasCaughtUp(pool, context)) return;
  } else {
    ChooseSuccessor(pool, context);
    if (successor_ == UpstreamId()) return;
    frozen_ = pool->FindUpstream(successor_)->status.received;
  }
  Order(context);
}

// True if a token may be used now; one that is too old is written anew.
bool Failover::RenewToken(ProxyContext* context) {
  if (HasUsableToken(context)) return true;
  if (lease_.has_token()) lease_.Acquire(true, term_, context);
  return false;
}

bool Failover::HoldReplicas(UpstreamPool* pool, ProxyContext* context) {
  bool all_hold = true;
  for (auto& item : pool->upstreams()) {
    PooledUpstream& upstream = item.second;
    if (!MustHold(item.first) || IsHeld(upstream)) continue;
    if (!MayAcknowledge(upstream, context)) continue;
    all_hold = false;
    Ask(item.first, CommandKind::kHold, pool, context);
  }
  return all_hold;
}

void Failover::ChooseSuccessor(UpstreamPool* pool, ProxyContext* context) {
  successor_ = UpstreamId();
  LogPosition best;
  bool best_leaves = false;
  for (const auto& item : pool->upstreams()) {
    const PooledUpstream& upstream = item.second;
    bool is_candidate = item.first != old_primary_ && upstream.has_status &&
                        upstream.is_registered && !upstream.is_down &&
                        !upstream.status.is_primary;
    if (cause_ == FailoverCause::kLeaving) {
      is_candidate = is_candidate && !upstream.record.leaving;
    } else {
      is_candidate = is_candidate && IsHeld(upstream);
    }
    auto passed_over = not_running_until_.find(item.first);
    if (passed_over != not_running_until_.end() &&
        context->now() < passed_over->second) {
      is_candidate = false;
    }
    if (!is_candidate) continue;
    LogPosition received = upstream.status.received;
    // Of equal ones, one that stays.
    bool is_as_good = received == best && best_leaves;
    if (successor_ == UpstreamId() || best < received || is_as_good) {
      successor_ = item.first;
      best = received;
      best_leaves = upstream.record.leaving;
    }
  }
  bool may_wait = context->now() - started_.time < kShortLimit;
  bool is_short =
      cause_ != FailoverCause::kLeaving && best < acknowledged_ && may_wait;
  if (successor_ != UpstreamId() && is_short) {
    context->Log(LogLevel::kWarning, kPart, "replicas_too_short",
                 {{"group", group_.value()},
                  {"best", Text(best)},
                  {"acknowledged", Text(acknowledged_)}});
    successor_ = UpstreamId();
  }
}

bool Failover::HasCaughtUp(UpstreamPool* pool, ProxyContext* context) {
  PooledUpstream* old = pool->FindUpstream(old_primary_);
  PooledUpstream* next = pool->FindUpstream(successor_);
  if (next == nullptr || next->is_down || next->record.leaving) {
    successor_ = UpstreamId();
    return false;
  }
  if (!has_catch_up_) {
    // Asked after the others hold, so it covers what they acknowledged.
    if (all_held_.sequence == 0) all_held_ = context->instant();
    if (old->status_sent.sequence < all_held_.sequence) {
      Ask(old_primary_, CommandKind::kStatus, pool, context);
      return false;
    }
    catch_up_ = old->status.received;
    has_catch_up_ = true;
  }
  bool is_fresh = next->status_sent.sequence > started_.sequence;
  if (is_fresh && !(next->status.received < catch_up_)) return true;
  if (context->now() - all_held_.time > kCatchUpLimit) {
    GiveUp("the successor lags", pool, context);
    return false;
  }
  Ask(successor_, CommandKind::kStatus, pool, context);
  return false;
}

bool Failover::HasUsableToken(ProxyContext* context) const {
  if (lease_.has_token()) {
    return context->now() - lease_.granted_at() < kTokenLimit;
  }
  return is_fleet_confirmed_ && lease_.MayUseOldToken(term_);
}

void Failover::Order(ProxyContext* context) {
  stage_ = FailoverStage::kOrdered;
  order_ = context->NextCall();
  ordered_at_ = context->now();
  context->Log(LogLevel::kWarning, kPart, "promotion_ordered",
               {{"group", group_.value()},
                {"successor", successor_.value()},
                {"token", std::to_string(lease_.token())},
                {"cause", FailoverCauseName(cause_)}});
  context->Emit(PromoteUpstream{order_, kOrderTimeout, group_, successor_,
                                lease_.token()});
}

bool Failover::OnPromotion(const PromotionAnswered& answer,
                           ProxyContext* context) {
  if (order_ == CallId() || answer.call != order_) return false;
  order_ = CallId();
  context->Log(LogLevel::kInfo, kPart, "promotion_answered",
               {{"group", group_.value()},
                {"successor", successor_.value()},
                {"status", PromotionStatusName(answer.status)}});
  if (stage_ != FailoverStage::kOrdered) return true;
  switch (answer.status) {
    case PromotionStatus::kAccepted:
    case PromotionStatus::kUnknown:
      // Without an answer it may be under way: look before ordering again.
      stage_ = FailoverStage::kTakingEffect;
      break;
    case PromotionStatus::kNotRunning:
      not_running_until_[successor_] = context->now() + kPassOver;
      stage_ = FailoverStage::kHolding;
      successor_ = UpstreamId();
      break;
    case PromotionStatus::kRefused:
      stage_ = FailoverStage::kHolding;
      break;
  }
  if (stage_ == FailoverStage::kHolding) {
    frozen_ = LogPosition();
    lease_.Acquire(true, term_, context);
  }
  return true;
}

void Failover::StepTakingEffect(UpstreamPool* pool, ProxyContext* context) {
  if (context->now() - ordered_at_ > kEffectLimit) {
    GiveUp("promotion took no effect", pool, context);
    return;
  }
  Ask(successor_, CommandKind::kStatus, pool, context);
}

void Failover::Resume(UpstreamPool* pool, ProxyContext* context) {
  UpstreamCommand command;
  command.kind = CommandKind::kResume;
  for (const auto& item : pool->upstreams()) {
    bool may_hold = item.first != old_primary_ && !item.second.is_down;
    if (may_hold) pool->SendControl(item.first, command, context);
  }
}

void Failover::GiveUp(const char* reason, UpstreamPool* pool,
                      ProxyContext* context) {
  context->Log(LogLevel::kWarning, kPart, "given_up",
               {{"group", group_.value()}, {"reason", reason}});
  // After a pause as long as another holder's wait, the replicas may be held
  // for that one.
  bool is_holder = has_ordered_hold_ &&
                   context->now() - lease_.granted_at() < DutyLease::kExclusive;
  if (is_holder) Resume(pool, context);
  stage_ = FailoverStage::kIdle;
  frozen_ = LogPosition();
  retry_at_ = context->now() + kRetryAfter;
  lease_.Release(term_, context);
}

void Failover::Yield(UpstreamPool* pool, ProxyContext* context) {
  if (stage_ != FailoverStage::kHolding) return;
  GiveUp("another VM owns the group", pool, context);
}

void Failover::Finish(UpstreamPool* pool, ProxyContext* context) {
  context->Log(
      LogLevel::kWarning, kPart, "finished",
      {{"group", group_.value()},
       {"cause", FailoverCauseName(cause_)},
       {"took_ms", std::to_string((context->now() - started_.time).millis())}});
  if (has_ordered_hold_) Resume(pool, context);
  stage_ = FailoverStage::kIdle;
  frozen_ = LogPosition();
  lease_.Release(term_ + 1, context);
}

}  // namespace fireflycart::proxy
