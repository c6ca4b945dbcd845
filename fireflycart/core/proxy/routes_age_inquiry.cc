// A question is due when the knowledge is older than a period. The first goes
// to a VM that should have newer knowledge; if that did not help, the next goes
// to a random VM, at once if the peer did not answer.

#include "fireflycart/core/proxy/routes_age_inquiry.h"

#include <algorithm>
#include <variant>
#include <vector>

namespace fireflycart::proxy {

void RoutesAgeInquiry::OnWake(const RoutesAge& age, const Fleet& fleet,
                              ProxyContext* context) {
  if (call_ != CallId()) return;
  Duration period = age.ask_period();
  Duration own_age = age.Age(context->now());
  if (age.is_confirmed() && own_age < period) {
    next_ = std::max(next_, context->now() + period - own_age);
  }
  if (context->now() < next_) {
    context->WakeAt(next_);
    return;
  }
  int64_t pauses = std::min(failures_ + 1, kMaxPausePeriods);
  next_ = context->now() + period * pauses;
  context->WakeAt(next_);
  VmId peer = ChoosePeer(fleet, context);
  if (peer == VmId()) return;
  call_ = context->NextCall();
  has_answer_ = false;
  answer_.peer = peer;
  answer_.asked_at = context->now();
  context->Emit(
      CallPeer{call_, peer, fleet.AddressOf(peer), kTimeout, RoutesAgeCall()});
}

VmId RoutesAgeInquiry::ChoosePeer(const Fleet& fleet,
                                  ProxyContext* context) const {
  const std::vector<VmId>& sources = fleet.routes_sources();
  if (failures_ == 0 && !sources.empty()) {
    return sources[context->Random(sources.size())];
  }
  std::vector<VmId> usable;
  for (const VmRecord& record : fleet.Records()) {
    bool is_peer = record.vm != context->self() && fleet.IsUsable(record.vm);
    if (is_peer) usable.push_back(record.vm);
  }
  if (usable.empty()) return VmId();
  return usable[context->Random(usable.size())];
}

bool RoutesAgeInquiry::OnReply(const PeerReplied& reply, const RoutesAge& age,
                               ProxyContext* context) {
  if (call_ == CallId() || reply.call != call_) return false;
  call_ = CallId();
  const auto* body = std::get_if<RoutesAgeReply>(&reply.body);
  has_answer_ = reply.error == PeerCallError::kNone && body != nullptr;
  if (has_answer_) answer_.reply = *body;
  bool is_useful = has_answer_ && body->age && age.IsYoung(*body->age);
  // Others are asked at once, but not again and again by all VMs.
  if (!has_answer_ && failures_ < kMaxPausePeriods) next_ = context->now();
  failures_ = is_useful ? 0 : failures_ + 1;
  context->WakeAt(next_);
  return true;
}

}  // namespace fireflycart::proxy
