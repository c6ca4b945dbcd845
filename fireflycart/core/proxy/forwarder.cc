// Each retry subtracts the time already spent from the statement's time limits.

#include "fireflycart/core/proxy/forwarder.h"

#include <algorithm>
#include <utility>

namespace fireflycart::proxy {
namespace {

constexpr char kPart[] = "forward";

// The call as it is sent to the owner next.
StatementCall WithoutSpentTime(StatementCall call, Duration spent) {
  call.time_left = call.time_left - spent;
  call.target_left = call.target_left - spent;
  call.at_reader = false;
  return call;
}

}  // namespace

void Forwarder::Send(SessionNumber session, StatementCall call, const VmId& vm,
                     const std::string& address, ProxyContext* context) {
  CallId id = context->NextCall();
  Duration limit = call.time_left + kCallTimeoutMargin;
  if (call.at_reader) limit = std::min(limit, kReaderTimeout);
  context->Emit(CallPeer{id, vm, address, limit, call});
  open_calls_[id] = OpenCall{session, vm, std::move(call), context->now()};
}

VmId Forwarder::PinnedVm(SessionNumber session) const {
  auto found = pinned_vms_.find(session);
  return found == pinned_vms_.end() ? VmId() : found->second;
}

VmId Forwarder::OpenCallVm(SessionNumber session) const {
  for (const auto& item : open_calls_) {
    if (item.second.session == session) return item.second.vm;
  }
  return VmId();
}

void Forwarder::OnSessionEnded(SessionNumber session) {
  attempts_.erase(session);
  pinned_vms_.erase(session);
}

Forwarder::Result Forwarder::OnReply(const PeerReplied& reply,
                                     ProxyContext* context) {
  Result result;
  auto found = open_calls_.find(reply.call);
  if (found == open_calls_.end()) return result;
  OpenCall open_call = std::move(found->second);
  open_calls_.erase(found);
  const auto* body = std::get_if<StatementReply>(&reply.body);
  bool answered = reply.error == PeerCallError::kNone && body != nullptr;
  if (!answered) return OnCallLost(std::move(open_call), reply.error, context);
  result.is_own_call = true;
  result.session = open_call.session;
  result.vm = open_call.vm;
  if (body->is_for_owner) {
    // The reader is well; the retries are for VMs that are lost.
    result.action = Action::kRetry;
    result.call = WithoutSpentTime(std::move(open_call.call),
                                   context->now() - open_call.sent);
    result.reply = *body;
    return result;
  }
  if (!body->is_misdirected) {
    attempts_.erase(open_call.session);
    result.action = Action::kAnswer;
    result.reply = *body;
    return result;
  }
  result = OnCallLost(std::move(open_call), PeerCallError::kNotSent, context);
  result.has_call_failed = false;
  result.is_misdirected = true;
  return result;
}

Forwarder::Result Forwarder::OnCallLost(OpenCall open_call, PeerCallError error,
                                        ProxyContext* context) {
  Result result;
  result.is_own_call = true;
  result.session = open_call.session;
  result.vm = open_call.vm;
  result.has_call_failed = true;
  StatementCall& call = open_call.call;
  Duration spent = context->now() - open_call.sent;
  bool in_transaction = call.transaction != TransactionKind::kNone;
  bool was_sent = error != PeerCallError::kNotSent;
  bool can_reroute = !in_transaction || call.opens_transaction;
  bool has_time = spent < call.time_left;
  int attempts = ++attempts_[open_call.session];
  bool has_no_effect =
      call.access == Access::kRead ||
      (call.access == Access::kCommit && call.opens_transaction);
  bool may_have_effect = was_sent && !has_no_effect;
  bool may_retry = can_reroute && !may_have_effect && has_time;
  if (may_retry && attempts < kMaxAttempts) {
    result.action = Action::kRetry;
    result.call = WithoutSpentTime(std::move(call), spent);
    return result;
  }
  result.action = Action::kAnswer;
  result.reply.detail = "owner " + open_call.vm.value() + " lost";
  if (may_have_effect) {
    result.reply.outcome = Outcome::kUnknown;
  } else {
    result.reply.outcome = in_transaction ? Outcome::kAborted : Outcome::kBusy;
  }
  attempts_.erase(open_call.session);
  context->Log(LogLevel::kWarning, kPart, "owner_lost",
               {{"id", call.id.value()},
                {"peer", open_call.vm.value()},
                {"was_sent", was_sent ? "yes" : "no"},
                {"spent_ms", std::to_string(spent.millis())},
                {"outcome", OutcomeName(result.reply.outcome)}});
  return result;
}

}  // namespace fireflycart::proxy
