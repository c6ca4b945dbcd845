// Why trying again is safe: every write has a request key. A later attempt at
// any coordinator first meets the key in the coordinator's memory or in the
// upstream's own record, so it never runs twice. The flag maybe_run travels
// along, so that a coordinator that refuses says "unknown" instead of "not run"
// unless it has looked the key up.

#include "fireflycart/core/entry_router.h"

#include <algorithm>
#include <string>
#include <vector>

namespace fireflycart {
namespace {

constexpr Duration kFirstBackoff = Duration::Millis(10);
constexpr int kMaxBackoffDoublings = 4;
constexpr Duration kRetryAfter = Duration::Millis(200);
// Beyond the deadline, so that the coordinator's own answer comes first.
constexpr Duration kForwardMargin = Duration::Millis(50);
// One of so many requests of a shed kind passes, to see if there is room.
constexpr uint64_t kShedProbeOdds = 10;

bool IsHarmless(const Request& request) {
  bool is_read = request.type == RequestType::kStatement &&
                 request.access == Access::kRead;
  return is_read || request.type == RequestType::kBegin;
}

bool IsPinned(const Request& request) {
  return request.type == RequestType::kTransactionStatement ||
         request.type == RequestType::kRollback;
}

}  // namespace

void EntryRouter::OnRequest(HandleId caller, const Request& request) {
  HandleId entry(context_->NextNumber());
  Pending pending;
  pending.caller = caller;
  pending.request = request;
  pending.maybe_run = request.sent_before && request.key != RequestKey();
  bool full = pending_.size() >= context_->options().caller_budget();
  pending_[entry] = pending;
  by_caller_[caller] = entry;
  if (full || IsShed(request)) {
    Refuse(entry, Reason::kOverloaded);
    return;
  }
  budget_.OnRequest();
  Route(entry);
}

void EntryRouter::OnCallerLeft(HandleId caller) {
  auto found = by_caller_.find(caller);
  if (found == by_caller_.end()) return;
  HandleId entry = found->second;
  by_caller_.erase(found);
  auto pending = pending_.find(entry);
  if (pending == pending_.end()) return;
  Pending left = pending->second;
  pending_.erase(pending);
  by_call_.erase(left.call);
  if (left.waiting) return;
  if (left.target == context_->self()) {
    table_->CancelLocally(left.request.group, entry);
  } else if (left.request.key != RequestKey()) {
    context_->Emit(CallPeer{context_->NextCall(), left.target,
                            table_->AddressOf(left.target), kRetryAfter,
                            CancelCall{left.request.group, left.request.key}});
  }
}

void EntryRouter::OnLocalReply(HandleId entry, const ForwardReply& reply) {
  if (pending_.count(entry) != 0) OnReply(entry, reply);
}

bool EntryRouter::OnPeerReplied(const PeerReplied& reply) {
  auto found = by_call_.find(reply.call);
  if (found == by_call_.end()) return false;
  HandleId entry = found->second;
  by_call_.erase(found);
  const auto* body = std::get_if<ForwardReply>(&reply.body);
  if (reply.error == PeerCallError::kNone && body != nullptr) {
    OnReply(entry, *body);
  } else {
    OnBroken(entry, reply.error != PeerCallError::kNotSent);
  }
  return true;
}

void EntryRouter::OnTick() {
  std::vector<HandleId> late;
  std::vector<HandleId> due;
  for (const auto& item : pending_) {
    const Pending& pending = item.second;
    TimePoint end = pending.request.deadline;
    // A reply that is under way gets a little longer than the request itself.
    if (!pending.waiting) end = end + kForwardMargin;
    if (end <= context_->now()) {
      late.push_back(item.first);
    } else if (pending.waiting && pending.retry_at <= context_->now()) {
      due.push_back(item.first);
    }
  }
  for (HandleId entry : late) {
    Pending& pending = pending_[entry];
    bool may_have_run = !pending.waiting && !IsHarmless(pending.request);
    if (may_have_run) pending.maybe_run = true;
    Refuse(entry, Reason::kDeadline);
  }
  for (HandleId entry : due) RetryDue(entry);
}

void EntryRouter::RefuseWaiting(Reason reason) {
  std::vector<HandleId> waiting;
  for (const auto& item : pending_) {
    if (item.second.waiting) waiting.push_back(item.first);
  }
  for (HandleId entry : waiting) Refuse(entry, reason);
}

void EntryRouter::Route(HandleId entry) {
  Pending& pending = pending_[entry];
  const Request& request = pending.request;
  VmId target;
  if (request.transaction != TransactionId()) {
    target = TransactionOwner(request.transaction);
    bool gone = !table_->IsReachable(target);
    if (gone && IsPinned(request)) {
      Refuse(entry, Reason::kTransactionLost);
      return;
    }
    // Any coordinator can look up whether a commit took effect.
    if (gone || pending.attempts > 0) {
      target = table_->CoordinatorOf(request.group);
    }
  } else {
    target = table_->CoordinatorOf(request.group);
  }
  if (target == VmId()) {
    Wait(&pending);
    return;
  }
  RouteTo(entry, target);
}

void EntryRouter::RouteTo(HandleId entry, const VmId& target) {
  Pending& pending = pending_[entry];
  pending.waiting = false;
  pending.target = target;
  pending.attempts++;
  Duration left = pending.request.deadline - context_->now();
  if (target == context_->self()) {
    table_->SubmitLocally(pending.request, entry, left, pending.maybe_run);
    return;
  }
  pending.call = context_->NextCall();
  by_call_[pending.call] = entry;
  ForwardCall call{pending.request, left, pending.maybe_run};
  context_->Emit(CallPeer{pending.call, target, table_->AddressOf(target),
                          left + kForwardMargin, call});
}

void EntryRouter::OnReply(HandleId entry, const ForwardReply& reply) {
  Pending& pending = pending_[entry];
  const Request& request = pending.request;
  if (reply.shed_for > Duration()) {
    shed_until_[ShedKey(request.group, request.kind)] =
        context_->now() + reply.shed_for;
  }
  switch (reply.status) {
    case ForwardStatus::kAnswered:
      Answer(entry, reply.answer);
      return;
    case ForwardStatus::kMoved:
      pending.costly = false;
      table_->OnMoved(request.group, pending.target, reply.coordinator);
      if (IsPinned(request)) {
        Refuse(entry, Reason::kTransactionLost);
        return;
      }
      break;
    case ForwardStatus::kMaybeRun:
      table_->OnMoved(request.group, pending.target, reply.coordinator);
      pending.maybe_run = true;
      pending.costly = true;
      break;
  }
  Wait(&pending);
}

void EntryRouter::OnBroken(HandleId entry, bool sent) {
  Pending& pending = pending_[entry];
  const Request& request = pending.request;
  table_->OnForwardFailed(request.group, pending.target);
  pending.costly = sent;
  if (sent && !IsHarmless(request)) pending.maybe_run = true;
  if (IsPinned(request)) {
    Refuse(entry, Reason::kTransactionLost);
    return;
  }
  Wait(&pending);
}

// Backs off with jitter, since others are probably waiting for the same VM.
void EntryRouter::Wait(Pending* pending) {
  int doublings = std::min(pending->attempts, kMaxBackoffDoublings);
  Duration pause = Duration::Millis(kFirstBackoff.millis() << doublings);
  bool first_move = pending->attempts == 1;
  pending->waiting = true;
  pending->call = CallId();
  pending->retry_at =
      context_->now() + (first_move ? kFirstBackoff : context_->Jitter(pause));
}

void EntryRouter::RetryDue(HandleId entry) {
  Pending& pending = pending_[entry];
  if (pending.costly && !budget_.TryRetry(context_->now())) {
    Wait(&pending);
    return;
  }
  Route(entry);
}

void EntryRouter::Answer(HandleId entry, ::fireflycart::Answer answer) {
  auto found = pending_.find(entry);
  if (found == pending_.end()) return;
  by_caller_.erase(found->second.caller);
  by_call_.erase(found->second.call);
  context_->Emit(AnswerCaller{found->second.caller, std::move(answer)});
  pending_.erase(found);
}

void EntryRouter::Refuse(HandleId entry, Reason reason) {
  ::fireflycart::Answer answer;
  bool open = pending_[entry].maybe_run;
  answer.outcome = open ? Outcome::kUnknown : Outcome::kNotRun;
  answer.reason = reason;
  answer.retry_after = context_->Jitter(kRetryAfter);
  Answer(entry, answer);
}

bool EntryRouter::IsShed(const Request& request) {
  auto found = shed_until_.find(ShedKey(request.group, request.kind));
  if (found == shed_until_.end()) return false;
  if (found->second <= context_->now()) {
    shed_until_.erase(found);
    return false;
  }
  bool pinned = request.transaction != TransactionId();
  return !pinned && context_->Random(kShedProbeOdds) != 0;
}

}  // namespace fireflycart
