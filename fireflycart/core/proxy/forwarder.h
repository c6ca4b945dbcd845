// Forwards statements of this VM's sessions to group owners on other VMs.
//
//   forwarder.Send(session, statement, vm, address, &context);
//   Forwarder::Result result = forwarder.OnReply(reply, &context);
//
// The result of a lost call depends on the statement: a read, or a statement
// that was never sent, is sent to another VM, if it may begin its transaction
// again; otherwise it has no effect, and neither has its transaction. The same
// holds for the commit of a transaction without statements. A write or another
// commit that was sent has an unknown outcome, a write in a transaction too:
// it ran alone if the upstream had ended the transaction by itself.
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
  // Maximum number of times that a statement is sent to an owner, retries
  // included.
  static constexpr int kMaxAttempts = 4;
  // Added to the time left for the statement, so that the owner's answer
  // arrives before the call times out.
  static constexpr Duration kCallTimeoutMargin = Duration::Millis(100);
  // A reader answers or returns a statement within less time, unless it is
  // lost.
  static constexpr Duration kReaderTimeout = Duration::Millis(1300);

  enum class Action {
    kNothing,  // The call was not sent by this class.
    kAnswer,   // The reply is final.
    kRetry,    // Send the statement again.
  };

  struct Result {
    Action action = Action::kNothing;
    SessionNumber session;
    VmId vm;
    bool is_own_call = false;
    bool has_call_failed = false;  // The call itself, not the statement.
    bool is_misdirected = false;   // The VM answered that it cannot serve it.
    StatementCall call;            // kRetry.
    StatementReply reply;          // kAnswer.
  };

  void Send(SessionNumber session, StatementCall call, const VmId& vm,
            const std::string& address, ProxyContext* context);
  Result OnReply(const PeerReplied& reply, ProxyContext* context);
  // Discards the retry count and the pinned VM of a session that ended. A call
  // that is still open keeps its entry until its reply arrives.
  void OnSessionEnded(SessionNumber session);
  // The VM at which the session's last transaction was opened; empty if none
  // was.
  VmId PinnedVm(SessionNumber session) const;
  // The VM that has the session's open statement; empty if no other VM has it.
  VmId OpenCallVm(SessionNumber session) const;
  void Pin(SessionNumber session, const VmId& vm) { pinned_vms_[session] = vm; }

  size_t size() const { return open_calls_.size(); }

 private:
  struct OpenCall {
    SessionNumber session;
    VmId vm;
    StatementCall call;
    TimePoint sent;
  };

  Result OnCallLost(OpenCall open_call, PeerCallError error,
                    ProxyContext* context);

  std::map<CallId, OpenCall> open_calls_;
  std::map<SessionNumber, int> attempts_;
  std::map<SessionNumber, VmId> pinned_vms_;
};

}  // namespace fireflycart::proxy

#endif  // FIREFLYCART_CORE_PROXY_FORWARDER_H_
