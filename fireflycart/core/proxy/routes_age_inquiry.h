// Asks peers how old their routes are, so that this VM knows the same of its
// own without reading the store.
//
//   inquiry.OnWake(age, fleet, &context);
//   if (inquiry.OnReply(reply, age, &context)) Use(inquiry.answer());
//
// Only the answer to a question of its own tells a VM an age that it can count
// from a moment on its own clock: the message was written after the question
// was sent. A message that a peer sends of its own accord may have waited
// anywhere.
//
// Load pattern: each VM asks a VM of its own data centre, and only a few of
// each data centre ask the readers of the store, so that little crosses between
// data centres. A VM that gets no use of an answer asks any other VM next.
//
// Limits: one question at a time.

#ifndef FIREFLYCART_CORE_PROXY_ROUTES_AGE_INQUIRY_H_
#define FIREFLYCART_CORE_PROXY_ROUTES_AGE_INQUIRY_H_

#include "fireflycart/core/proxy/fleet.h"
#include "fireflycart/core/proxy/proxy_context.h"
#include "fireflycart/core/proxy/routes_age.h"

namespace fireflycart::proxy {

class RoutesAgeInquiry {
 public:
  static constexpr Duration kTimeout = Duration::Millis(200);
  // The pause grows with each question without use, up to so many periods.
  static constexpr int64_t kMaxPausePeriods = 4;

  // What the peer that was asked last answered.
  struct Answer {
    VmId peer;
    RoutesAgeReply reply;
    TimePoint asked_at;  // The peer wrote the reply later than this.
  };

  // Asks if a question is due.
  void OnWake(const RoutesAge& age, const Fleet& fleet, ProxyContext* context);
  // False if the reply is not to a question of this object. has_answer() tells
  // whether the peer answered.
  bool OnReply(const PeerReplied& reply, const RoutesAge& age,
               ProxyContext* context);
  bool has_answer() const { return has_answer_; }
  const Answer& answer() const { return answer_; }

 private:
  VmId ChoosePeer(const Fleet& fleet, ProxyContext* context) const;

  CallId call_;
  Answer answer_;
  bool has_answer_ = false;
  TimePoint next_;
  int64_t failures_ = 0;  // Questions since the last answer of use.
};

}  // namespace fireflycart::proxy

#endif  // FIREFLYCART_CORE_PROXY_ROUTES_AGE_INQUIRY_H_
