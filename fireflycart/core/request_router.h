// Requests of this VM's own callers, from arrival to answer: finds the VM that
// coordinates the group, forwards, and tries again when that is safe.
//
//   router.OnRequest(handle, request, &context);
//   router.OnReply(origin_handle, forward_reply, &context);
//   router.OnTick(&context);
//
// Limits: at most caller_budget requests at a time. Each is answered by its
// deadline. A write that may have run is answered "not run" only if a
// coordinator proved it.

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

// What the router needs to know of the rest of the node.
class RoutingTable {
 public:
  virtual ~RoutingTable() = default;
  // The VM to which requests of the group go; empty if there is none now.
  virtual VmId CoordinatorOf(const GroupId& group) const = 0;
  virtual std::string AddressOf(const VmId& vm) const = 0;
  virtual bool IsReachable(const VmId& vm) const = 0;
  // Hands a request to the group on this VM.
  virtual void SubmitLocally(const Request& request, HandleId entry,
                             Duration time_left, bool maybe_run) = 0;
  virtual void CancelLocally(const GroupId& group, HandleId entry) = 0;
  // The VM failed to answer, or says that another one coordinates the group.
  virtual void OnForwardFailed(const GroupId& group, const VmId& vm) = 0;
  virtual void OnMisdirected(const GroupId& group, const VmId& from,
                             const VmId& to) = 0;
};

class RequestRouter {
 public:
  RequestRouter(RoutingTable* table, Context* context)
      : table_(table), context_(context) {}

  void OnRequest(HandleId caller, const Request& request);
  void OnCallerDisconnected(HandleId caller);
  // The local group answered.
  void OnLocalReply(HandleId entry, const ForwardReply& reply);
  // A peer answered; false if the call is not one of this part.
  bool OnPeerReplied(const PeerReplied& reply);
  void OnTick();
  // Refuses at once what waits for a coordinator.
  void RefuseWaiting(Reason reason);

  size_t size() const { return pending_.size(); }

 private:
  struct Pending {
    HandleId caller;
    Request request;
    bool maybe_run = false;
    bool waiting = false;  // Until retry_at; else a reply is awaited.
    TimePoint retry_at;
    int attempts = 0;
    // The last attempt may have cost an upstream work, so that trying again
    // draws on the budget. Being told to go elsewhere costs nothing.
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
