// Statements of this VM's sessions that are open at other VMs.
//
//   CallId call = forwarder.Send(session, statement, vm, address, &context);
//   Forwarder::Result result = forwarder.OnReply(reply, &context);
//
// What a lost call means depends on the statement: what only reads, or was
// never sent, goes elsewhere; a write that may have run has an unknown outcome;
// a transaction without its commit keeps nothing.
//
// Limits: one open statement for each session.

#ifndef FIREFLYCART_CORE_PROXY_FORWARDER_H_
#define FIREFLYCART_CORE_PROXY_FORWARDER_H_

#include <map>
#include <string>

#include "fireflycart/core/proxy/peer_calls.h"
#include "fireflycart/core/proxy/proxy_context.h"

namespace fireflycart::proxy {

class Forwarder {
 public:
  // Times that one statement is sent to an owner.
  static constexpr int kMaxAttempts = 4;
  // A call outlives its statement by this, so that the owner answers first.
  static constexpr Duration kCallSlack = Duration::Millis(100);

  enum class Next {
    kNothing,  // Not a call of this part, or its session is gone.
    kAnswer,   // The reply is final.
    kRepeat,   // Send the statement again.
  };

  struct Result {
    Next next = Next::kNothing;
    SessionNumber session;
    VmId vm;
    bool is_mine = false;
    bool has_failed = false;  // The call itself, not the statement.
    StatementCall call;       // kRepeat.
    StatementReply reply;     // kAnswer.
  };

  void Send(SessionNumber session, StatementCall call, const VmId& vm,
            const std::string& address, ProxyContext* context);
  Result OnReply(const PeerReplied& reply, ProxyContext* context);
  // The session ended: its call is no longer awaited.
  void Forget(SessionNumber session);
  // The VM of a session's open transaction; empty if there is none.
  VmId PinOf(SessionNumber session) const;
  void Pin(SessionNumber session, const VmId& vm) { pins_[session] = vm; }

  size_t size() const { return open_.size(); }

 private:
  struct Open {
    SessionNumber session;
    VmId vm;
    StatementCall call;
    TimePoint sent;
  };

  Result Lost(Open open, PeerCallError error, ProxyContext* context);

  std::map<CallId, Open> open_;
  std::map<SessionNumber, int> attempts_;
  std::map<SessionNumber, VmId> pins_;
};

}  // namespace fireflycart::proxy

#endif  // FIREFLYCART_CORE_PROXY_FORWARDER_H_
