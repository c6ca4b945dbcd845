// The deadline shrinks with each attempt by the time that was spent.

#include "fireflycart/core/proxy/forwarder.h"

#include <utility>

namespace fireflycart::proxy {
namespace {

constexpr char kPart[] = "forward";

}  // namespace

void Forwarder::Send(SessionNumber session, StatementCall call, const VmId& vm,
                     const std::string& address, ProxyContext* context) {
  CallId id = context->NextCall();
  Duration limit = call.time_left + kCallSlack;
  context->Emit(CallPeer{id, vm, address, limit, call});
  open_[id] = Open{session, vm, std::move(call), context->now()};
}

VmId Forwarder::PinOf(SessionNumber session) const {
  auto found = pins_.find(session);
  return found == pins_.end() ? VmId() : found->second;
}

void Forwarder::Forget(SessionNumber session) {
  attempts_.erase(session);
  pins_.erase(session);
}

Forwarder::Result Forwarder::OnReply(const PeerReplied& reply,
                                     ProxyContext* context) {
  Result result;
  auto found = open_.find(reply.call);
  if (found == open_.end()) return result;
  Open open = std::move(found->second);
  open_.erase(found);
  const auto* body = std::get_if<StatementReply>(&reply.body);
  bool answered = reply.error == PeerCallError::kNone && body != nullptr;
  if (!answered) return Lost(std::move(open), reply.error, context);
  result.is_mine = true;
  result.session = open.session;
  result.vm = open.vm;
  if (!body->is_moved) {
    attempts_.erase(open.session);
    result.next = Next::kAnswer;
    result.reply = *body;
    return result;
  }
  return Lost(std::move(open), PeerCallError::kNotSent, context);
}

Forwarder::Result Forwarder::Lost(Open open, PeerCallError error,
                                  ProxyContext* context) {
  Result result;
  result.is_mine = true;
  result.session = open.session;
  result.vm = open.vm;
  result.has_failed = true;
  StatementCall& call = open.call;
  Duration spent = context->now() - open.sent;
  bool in_transaction = call.transaction != TransactionKind::kNone;
  bool was_sent = error != PeerCallError::kNotSent;
  bool starts = !in_transaction || call.opens_transaction;
  bool is_harmless = !was_sent || call.access == Access::kRead ||
                     (in_transaction && call.access == Access::kWrite);
  bool has_time = spent < call.time_left;
  int attempts = ++attempts_[open.session];
  if (starts && is_harmless && has_time && attempts < kMaxAttempts) {
    call.time_left = call.time_left - spent;
    call.target_left = call.target_left - spent;
    result.next = Next::kRepeat;
    result.call = std::move(call);
    return result;
  }
  result.next = Next::kAnswer;
  result.reply.detail = "owner " + open.vm.value() + " lost";
  if (in_transaction && call.access != Access::kCommit) {
    result.reply.outcome = Outcome::kAborted;
  } else if (!was_sent) {
    result.reply.outcome = in_transaction ? Outcome::kAborted : Outcome::kBusy;
  } else if (call.access == Access::kRead) {
    result.reply.outcome = Outcome::kBusy;
  } else {
    result.reply.outcome = Outcome::kUnknown;
  }
  attempts_.erase(open.session);
  context->Log(LogLevel::kWarning, kPart, "owner_lost",
               {{"id", call.id.value()},
                {"peer", open.vm.value()},
                {"was_sent", was_sent ? "yes" : "no"},
                {"spent_ms", std::to_string(spent.millis())},
                {"outcome", OutcomeName(result.reply.outcome)}});
  return result;
}

}  // namespace fireflycart::proxy
