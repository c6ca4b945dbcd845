// Sessions of the callers that are connected to this VM: their session values,
// prepared statements and transactions, and the last commit that their reads
// must include.
//
//   sessions.OnStarted(session, "ledger-app", key, &context);
//   sessions.OnStatement(session, statement, &context);
//   sessions.OnReply(session, reply, &context);    // from the group's owner
//
// Statements that need no upstream are answered locally. A transaction begins
// at an upstream only when its first statement is sent.
//
// A caller may send statements without waiting for answers. So what depends on
// a refused statement is refused as well: behind a BEGIN, and in a transaction,
// all up to the end of the transaction; behind a SET, reads, writes and
// executions until the value is set; behind a PREPARE or FORGET, the execution
// of that name until it is prepared.
//
// Every statement that was accepted is answered, also by a VM that stops.
//
// Limits: one open statement for each session. What sessions keep is bounded by
// a SessionStateQuota; a statement that would keep more is refused.

#ifndef FIREFLYCART_CORE_PROXY_SESSION_MANAGER_H_
#define FIREFLYCART_CORE_PROXY_SESSION_MANAGER_H_

#include <map>
#include <string>

#include "fireflycart/core/admission/session_state_quota.h"
#include "fireflycart/core/proxy/peer_calls.h"
#include "fireflycart/core/proxy/proxy_context.h"
#include "fireflycart/core/proxy/route.h"
#include "fireflycart/core/proxy/session_state.h"

namespace fireflycart::proxy {

// Sends statements to the owner of their group.
class StatementRouter {
 public:
  virtual ~StatementRouter() = default;
  // SessionManager::OnReply is called with the reply, unless the session ends
  // first.
  virtual void Route(SessionNumber session, StatementCall call) = 0;
  virtual void RouteEndTransaction(const EndTransactionCall& call) = 0;
  virtual void RouteCancelQueued(const CancelQueuedCall& call) = 0;
  virtual const RouteTable& routes() const = 0;
  // False if keys may have been taken away without the routes showing it.
  virtual bool HasCurrentKeys() const = 0;
};

class SessionManager {
 public:
  // A caller abandons the start of a session after 2 s, so a session that is
  // still without routes is refused before that.
  static constexpr Duration kSessionStartTimeout = Duration::Millis(1700);
  // A draining VM closes a session that has done nothing for this long. A
  // caller prepares and begins an operation within a few round trips.
  static constexpr Duration kIdleBeforeClose = Duration::Millis(200);
  // A caller that is told of a close leaves within a round trip.
  static constexpr Duration kCloseTimeout = Duration::Millis(1000);

  SessionManager(StatementRouter* router, size_t session_state_limit)
      : router_(router), quota_(session_state_limit) {}

  void OnStarted(SessionNumber session, const std::string& database,
                 const KeyDigest& key, ProxyContext* context);
  void OnStatement(SessionNumber session, const CallerStatement& statement,
                   ProxyContext* context);
  void OnEnded(SessionNumber session, ProxyContext* context);
  void OnReply(SessionNumber session, StatementReply reply,
               ProxyContext* context);
  // Called before the session's open statement is sent again. If it opens a
  // transaction, that one gets another number: the first copy may be on its
  // way, even to the same owner, and must not open the same one.
  void OnRepeat(SessionNumber session, StatementCall* call);
  // Called when routes arrived: answers the sessions that are waiting for them.
  void OnRoutes(ProxyContext* context);
  void OnWake(ProxyContext* context);

  // Planned stop, in this order. Draining closes the sessions that are idle
  // outside a transaction, and the others as soon as their statement or
  // transaction ends; a new session is given kIdleBeforeClose to begin its
  // operation.
  void StartDraining(ProxyContext* context);
  // Refuses new sessions and operations, and aborts the open transactions, each
  // once its running statement is answered.
  void RefuseOperations(ProxyContext* context);
  // Cancels the open statements that no upstream has received yet.
  void CancelQueued(ProxyContext* context);
  // Answers each open statement with what is known of it, and refuses those
  // that still come.
  void AnswerAll(ProxyContext* context);
  // Logs each session whose statement or transaction the exit ends, before
  // AnswerAll.
  void LogUnanswered(TimePoint stop_requested, ProxyContext* context) const;

  bool Has(SessionNumber session) const {
    return sessions_.count(session) != 0;
  }
  size_t size() const { return sessions_.size(); }
  // True if a caller may still send a statement that crosses the close of its
  // session.
  bool IsAwaitingClose(TimePoint now) const;
  size_t open_statements() const;

 private:
  struct Session {
    std::string database;
    KeyDigest key;    // Empty if the caller sent none.
    TenantId tenant;  // Of the current statement; empty if none is needed.
    SessionState kept;
    TransactionState state = TransactionState::kNone;
    TransactionKind transaction_kind = TransactionKind::kNone;
    uint64_t transaction_number = 0;  // Of the current or last one.
    bool is_begun = false;  // Its first statement was sent to the owner.
    bool has_written = false;
    bool has_unknown_write = false;  // It failed by a write that may be kept.
    bool is_aborted_by_stop = false;
    Route route;           // Of the current transaction or statement.
    LogPosition position;  // Of the last commit.
    bool has_open_statement = false;
    StatementId statement;  // Of the open statement, as is access.
    Access access = Access::kRead;
    TimePoint received_at;
    TimePoint idle_since;  // Since it was accepted or last answered.
  };

  enum class StopStage { kNone, kDraining, kRefusing, kAnsweredAll };

  void Answer(SessionNumber number, Session* session, CallerAnswer answer,
              ProxyContext* context);
  void AnswerLast(SessionNumber number, Session* session, CallerAnswer answer,
                  ProxyContext* context);
  // Closes the sessions that have been idle for at least that long.
  void CloseIdle(Duration idle_time, ProxyContext* context);
  void Close(SessionNumber number, ProxyContext* context);
  bool IsIdle(SessionNumber number, const Session& session) const;
  // Handles a statement of a stopping VM that serves no more operations; false
  // if the statement may proceed.
  bool RefuseWhileStopping(SessionNumber number, Session* session,
                           const CallerStatement& statement,
                           ProxyContext* context);
  void AbortTransaction(SessionNumber number, Session* session,
                        ProxyContext* context);
  static Outcome OutcomeIfUnanswered(const Session& session);
  static Outcome OutcomeIfFailed(const Session& session);
  void Refuse(SessionNumber number, Session* session,
              const CallerStatement& statement, Outcome outcome,
              const std::string& detail, ProxyContext* context);
  void OnRefused(SessionNumber number, Session* session,
                 const CallerStatement& statement, ProxyContext* context);
  void FailNewTransaction(Session* session);
  bool TryAnswerLocally(SessionNumber number, Session* session,
                        const CallerStatement& statement,
                        ProxyContext* context);
  void BeginTransaction(SessionNumber number, Session* session,
                        const CallerStatement& statement,
                        ProxyContext* context);
  void RollBack(SessionNumber number, Session* session,
                const CallerStatement& statement, ProxyContext* context);
  void Erase(SessionNumber number);
  bool FindRoute(SessionNumber number, Session* session,
                 const CallerStatement& statement, ProxyContext* context);
  // True if callers need a key on the route.
  bool NeedsKey(const Route& route) const;
  // True if the caller may use the route now; sets *tenant to whose caller it
  // is, or to none.
  bool IsAuthenticated(const Session& session, const Route& route,
                       TenantId* tenant) const;
  // Refuses a statement whose caller has no valid key, or no longer, or may
  // have none; false if the statement may proceed.
  bool RefuseUnauthenticated(SessionNumber number, Session* session,
                             const CallerStatement& statement,
                             ProxyContext* context);
  void Forward(SessionNumber number, Session* session,
               const CallerStatement& statement, ProxyContext* context);
  void Greet(SessionNumber number, ProxyContext* context);
  void RefuseSession(SessionNumber number, Outcome outcome,
                     const std::string& detail, ProxyContext* context);
  SessionKey KeyOf(SessionNumber number, ProxyContext* context) const;

  StatementRouter* router_;
  SessionStateQuota quota_;
  std::map<SessionNumber, Session> sessions_;
  std::map<SessionNumber, TimePoint> awaiting_routes_;  // With deadlines.
  // Sessions that were closed and whose callers have not left yet, with the
  // times of their closing.
  std::map<SessionNumber, TimePoint> closing_;
  StopStage stop_stage_ = StopStage::kNone;
};

}  // namespace fireflycart::proxy

#endif  // FIREFLYCART_CORE_PROXY_SESSION_MANAGER_H_
