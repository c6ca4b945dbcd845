// Handles the requests of the callers connected to this VM, from arrival to
// answer: forwards each to the VM that coordinates the group and retries when
// that is safe.
//
//   RequestRouter router(&table, &context);
//   router.OnRequest(caller, request);
//   router.OnLocalReply(entry, reply);
//   router.OnTick();
//
// Limits: at most caller_budget requests are pending at a time. Each is
// answered within its deadline, plus kForwardMargin while a reply is
// outstanding. A write that may have run is answered "not run" only if a
// coordinator has confirmed it.

#ifndef FIREFLYCART_CORE_REQUEST_ROUTER_H_
#define FIREFLYCART_CORE_REQUEST_ROUTER_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "fireflycart/core/clock.h"
#include "fireflycart/core/context.h"
#include "fireflycart/core/event.h"
#include "fireflycart/core/ids.h"
#include "fireflycart/core/retry_budget.h"

namespace fireflycart {

// Gives the router access to the membership, the placement and the groups of
// this VM.
class RoutingTable {
 public:
  virtual ~RoutingTable() = default;
  // The VM that receives requests of the group; empty if there is none now.
  virtual VmId CoordinatorOf(const GroupId& group) const = 0;
  virtual std::string AddressOf(const VmId& vm) const = 0;
  virtual bool IsReachable(const VmId& vm) const = 0;
  // Submits a request to the group on this VM. The result is passed to
  // OnLocalReply() with the same entry.
  virtual void SubmitLocally(const Request& request, HandleId entry,
                             Duration time_left, bool maybe_run) = 0;
  virtual void CancelLocally(const GroupId& group, HandleId entry) = 0;
  // Called when the VM did not answer a forwarded request.
  virtual void OnForwardFailed(const GroupId& group, const VmId& vm) = 0;
  // Called when a VM reported that it does not coordinate the group. `to` is
  // the coordinator that it named, empty if none.
  virtual void OnMisdirected(const GroupId& group, const VmId& from,
                             const VmId& to) = 0;
};

class RequestRouter {
 public:
  RequestRouter(RoutingTable* table, Context* context)
      : table_(table), context_(context) {}

  void OnRequest(HandleId caller, const Request& request);
  void OnCallerDisconnected(HandleId caller);
  // Handles the reply of a group on this VM.
  void OnLocalReply(HandleId entry, const ForwardReply& reply);
  // Handles the reply of a peer. Returns false for calls that this class did
  // not emit.
  bool OnPeerReplied(const PeerReplied& reply);
  void OnTick();
  // Answers all requests that are open, with what is known of them.
  void RefuseAll(Reason reason);

  size_t size() const { return pending_.size(); }

 private:
  struct Pending {
    HandleId caller;
    Request request;
    bool maybe_run = false;
    bool waiting = false;  // For retry_at; else for the reply to a call.
    TimePoint retry_at;
    int attempts = 0;
    // The last attempt may have caused work at an upstream, so a retry is
    // charged to the retry budget. A misdirected request is free of charge.
    bool uses_retry_budget = false;
    CallId call;
    VmId target;
  };
  using ShedKey = std::pair<GroupId, KindId>;

  void Route(HandleId entry);
  void RouteTo(HandleId entry, const VmId& target);
  void OnReply(HandleId entry, const ForwardReply& reply);
  void OnCallFailed(HandleId entry, bool sent);
  void ScheduleRetry(Pending* pending);
  void RetryDue(HandleId entry);
  void Answer(HandleId entry, ::fireflycart::Answer answer);
  void Refuse(HandleId entry, Reason reason);
  bool IsShed(const Request& request);

  RoutingTable* table_;
  Context* context_;
  RetryBudget retry_budget_;
  std::map<HandleId, Pending> pending_;
  std::map<HandleId, HandleId> by_caller_;
  std::map<CallId, HandleId> by_call_;
  std::map<ShedKey, TimePoint> shed_until_;
};

}  // namespace fireflycart

#endif  // FIREFLYCART_CORE_REQUEST_ROUTER_H_
