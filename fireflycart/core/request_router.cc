// Retries are safe because every write has a request key. A later attempt at
// any coordinator is checked against the keys in the coordinator's memory and
// in the upstream's own record, so a write never runs twice. The flag maybe_run
// is forwarded with the request: a coordinator that refuses the request then
// reports its outcome as "unknown" instead of "not run", unless it has looked
// up the key.

#include "fireflycart/core/request_router.h"

#include <algorithm>
#include <string>
#include <vector>

namespace fireflycart {
namespace {

constexpr Duration kInitialBackoff = Duration::Millis(10);
constexpr int kMaxBackoffDoublings = 4;
constexpr Duration kRetryAfter = Duration::Millis(200);
// Time added to the deadline of a forwarded request, so that the coordinator's
// own answer arrives first.
constexpr Duration kForwardMargin = Duration::Millis(50);
// One in this many requests of a shed kind is let through, to detect free
// capacity.
constexpr uint64_t kRequestsPerShedProbe = 10;

bool HasNoLastingEffect(const Request& request) {
  bool is_read = request.type == RequestType::kStatement &&
                 request.access == Access::kRead;
  return is_read || request.type == RequestType::kBegin;
}

bool IsPinned(const Request& request) {
  return request.type == RequestType::kTransactionStatement ||
         request.type == RequestType::kRollback;
}

}  // namespace

void RequestRouter::OnRequest(HandleId caller, const Request& request) {
  HandleId entry(context_->NextNumber());
  Pending pending;
  pending.caller = caller;
  pending.request = request;
  pending.maybe_run = request.sent_before && request.key != RequestKey();
  bool at_capacity = pending_.size() >= context_->options().caller_budget();
  pending_[entry] = pending;
  by_caller_[caller] = entry;
  if (at_capacity || IsShed(request)) {
    Refuse(entry, Reason::kOverloaded);
    return;
  }
  retry_budget_.OnRequest();
  Route(entry);
}

void RequestRouter::OnCallerDisconnected(HandleId caller) {
  auto found = by_caller_.find(caller);
  if (found == by_caller_.end()) return;
  HandleId entry = found->second;
  by_caller_.erase(found);
  auto pending = pending_.find(entry);
  if (pending == pending_.end()) return;
  Pending cancelled = pending->second;
  pending_.erase(pending);
  by_call_.erase(cancelled.call);
  if (cancelled.waiting) return;
  if (cancelled.target == context_->self()) {
    table_->CancelLocally(cancelled.request.group, entry);
  } else if (cancelled.request.key != RequestKey()) {
    context_->Emit(
        CallPeer{context_->NextCall(), cancelled.target,
                 table_->AddressOf(cancelled.target), kRetryAfter,
                 CancelCall{cancelled.request.group, cancelled.request.key}});
  }
}

void RequestRouter::OnLocalReply(HandleId entry, const ForwardReply& reply) {
  if (pending_.count(entry) != 0) OnReply(entry, reply);
}

bool RequestRouter::OnPeerReplied(const PeerReplied& reply) {
  auto found = by_call_.find(reply.call);
  if (found == by_call_.end()) return false;
  HandleId entry = found->second;
  by_call_.erase(found);
  const auto* body = std::get_if<ForwardReply>(&reply.body);
  if (reply.error == PeerCallError::kNone && body != nullptr) {
    OnReply(entry, *body);
  } else {
    OnCallFailed(entry, reply.error != PeerCallError::kNotSent);
  }
  return true;
}

void RequestRouter::OnTick() {
  std::vector<HandleId> expired;
  std::vector<HandleId> due;
  for (const auto& item : pending_) {
    const Pending& pending = item.second;
    TimePoint end = pending.request.deadline;
    // An outstanding reply may arrive shortly after the request's deadline.
    if (!pending.waiting) end = end + kForwardMargin;
    if (end <= context_->now()) {
      expired.push_back(item.first);
    } else if (pending.waiting && pending.retry_at <= context_->now()) {
      due.push_back(item.first);
    }
  }
  for (HandleId entry : expired) {
    Pending& pending = pending_[entry];
    bool may_have_run =
        !pending.waiting && !HasNoLastingEffect(pending.request);
    if (may_have_run) pending.maybe_run = true;
    Refuse(entry, Reason::kDeadline);
  }
  for (HandleId entry : due) RetryDue(entry);
}

void RequestRouter::RefuseAll(Reason reason) {
  std::vector<HandleId> entries;
  for (auto& item : pending_) {
    Pending& pending = item.second;
    bool may_have_run =
        !pending.waiting && !HasNoLastingEffect(pending.request);
    if (may_have_run) pending.maybe_run = true;
    entries.push_back(item.first);
  }
  for (HandleId entry : entries) Refuse(entry, reason);
}

void RequestRouter::Route(HandleId entry) {
  Pending& pending = pending_[entry];
  const Request& request = pending.request;
  VmId target;
  if (request.transaction != TransactionId()) {
    target = TransactionOwner(request.transaction);
    bool unreachable = !table_->IsReachable(target);
    if (unreachable && IsPinned(request)) {
      Refuse(entry, Reason::kTransactionLost);
      return;
    }
    // Any coordinator can look up whether a commit took effect.
    if (unreachable || pending.attempts > 0) {
      target = table_->CoordinatorOf(request.group);
    }
  } else {
    target = table_->CoordinatorOf(request.group);
  }
  if (target == VmId()) {
    ScheduleRetry(&pending);
    return;
  }
  RouteTo(entry, target);
}

void RequestRouter::RouteTo(HandleId entry, const VmId& target) {
  Pending& pending = pending_[entry];
  pending.waiting = false;
  pending.target = target;
  pending.attempts++;
  Duration time_left = pending.request.deadline - context_->now();
  if (target == context_->self()) {
    table_->SubmitLocally(pending.request, entry, time_left, pending.maybe_run);
    return;
  }
  pending.call = context_->NextCall();
  by_call_[pending.call] = entry;
  ForwardCall call{pending.request, time_left, pending.maybe_run};
  context_->Emit(CallPeer{pending.call, target, table_->AddressOf(target),
                          time_left + kForwardMargin, call});
}

void RequestRouter::OnReply(HandleId entry, const ForwardReply& reply) {
  Pending& pending = pending_[entry];
  const Request& request = pending.request;
  if (reply.shed_duration > Duration()) {
    shed_until_[ShedKey(request.group, request.kind)] =
        context_->now() + reply.shed_duration;
  }
  switch (reply.status) {
    case ForwardStatus::kAnswered:
      Answer(entry, reply.answer);
      return;
    case ForwardStatus::kMisdirected:
      pending.uses_retry_budget = false;
      table_->OnMisdirected(request.group, pending.target, reply.coordinator);
      if (IsPinned(request)) {
        Refuse(entry, Reason::kTransactionLost);
        return;
      }
      break;
    case ForwardStatus::kOutcomeUnknown:
      table_->OnMisdirected(request.group, pending.target, reply.coordinator);
      pending.maybe_run = true;
      pending.uses_retry_budget = true;
      break;
  }
  ScheduleRetry(&pending);
}

void RequestRouter::OnCallFailed(HandleId entry, bool sent) {
  Pending& pending = pending_[entry];
  const Request& request = pending.request;
  table_->OnForwardFailed(request.group, pending.target);
  pending.uses_retry_budget = sent;
  if (sent && !HasNoLastingEffect(request)) pending.maybe_run = true;
  if (IsPinned(request)) {
    Refuse(entry, Reason::kTransactionLost);
    return;
  }
  ScheduleRetry(&pending);
}

// Backs off with jitter, since other requests are probably waiting for the
// same VM. The first retry has no jitter.
void RequestRouter::ScheduleRetry(Pending* pending) {
  int doublings = std::min(pending->attempts, kMaxBackoffDoublings);
  Duration backoff = Duration::Millis(kInitialBackoff.millis() << doublings);
  bool is_first_retry = pending->attempts == 1;
  pending->waiting = true;
  pending->call = CallId();
  pending->retry_at =
      context_->now() +
      (is_first_retry ? kInitialBackoff : context_->Jitter(backoff));
}

void RequestRouter::RetryDue(HandleId entry) {
  Pending& pending = pending_[entry];
  if (pending.uses_retry_budget && !retry_budget_.TryRetry(context_->now())) {
    ScheduleRetry(&pending);
    return;
  }
  Route(entry);
}

void RequestRouter::Answer(HandleId entry, ::fireflycart::Answer answer) {
  auto found = pending_.find(entry);
  if (found == pending_.end()) return;
  by_caller_.erase(found->second.caller);
  by_call_.erase(found->second.call);
  context_->Emit(AnswerCaller{found->second.caller, std::move(answer)});
  pending_.erase(found);
}

void RequestRouter::Refuse(HandleId entry, Reason reason) {
  ::fireflycart::Answer answer;
  bool outcome_unknown = pending_[entry].maybe_run;
  answer.outcome = outcome_unknown ? Outcome::kUnknown : Outcome::kNotRun;
  answer.reason = reason;
  answer.retry_after = context_->Jitter(kRetryAfter);
  Answer(entry, answer);
}

bool RequestRouter::IsShed(const Request& request) {
  auto found = shed_until_.find(ShedKey(request.group, request.kind));
  if (found == shed_until_.end()) return false;
  if (found->second <= context_->now()) {
    shed_until_.erase(found);
    return false;
  }
  bool in_transaction = request.transaction != TransactionId();
  return !in_transaction && context_->Random(kRequestsPerShedProbe) != 0;
}

}  // namespace fireflycart
