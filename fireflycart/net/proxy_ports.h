// Abstract interfaces through which a daemon that serves sessions reaches
// callers, upstreams, the platform's store and its promotion service. The
// package `platform` implements them.
//
// An implementation reports events to the sink, from the one thread that runs
// the io_context.

#ifndef FIREFLYCART_NET_PROXY_PORTS_H_
#define FIREFLYCART_NET_PROXY_PORTS_H_

#include "fireflycart/core/proxy/proxy_event.h"

namespace fireflycart::proxy {

class EventSink {
 public:
  virtual ~EventSink() = default;
  virtual void OnEvent(ProxyEventBody event) = 0;
};

// Sessions of callers.
class CallerPort {
 public:
  virtual ~CallerPort() = default;
  virtual void Greet(const GreetCaller& greeting) = 0;
  virtual void Answer(const AnswerStatement& answer) = 0;
  virtual void Close(const CloseCaller& close) = 0;
  virtual void StopListening() = 0;
};

// Connections to upstreams.
class UpstreamPort {
 public:
  virtual ~UpstreamPort() = default;
  virtual void Open(const OpenUpstream& open) = 0;
  virtual void Send(const SendUpstream& send) = 0;
  virtual void Close(const CloseUpstream& close) = 0;
};

// Calls to the platform's store.
class StorePort {
 public:
  virtual ~StorePort() = default;
  virtual void Call(const StoreCall& call) = 0;
};

// Requests to promote an upstream to primary.
class PromotionPort {
 public:
  virtual ~PromotionPort() = default;
  virtual void RequestPromotion(const PromoteUpstream& promotion) = 0;
};

}  // namespace fireflycart::proxy

#endif  // FIREFLYCART_NET_PROXY_PORTS_H_
