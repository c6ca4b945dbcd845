// Sessions of callers at the VM that they connected to: their values, prepared
// statements and transactions, and what each may read.
//
//   entry.OnStarted(session, "ledger-app", &context);
//   entry.OnStatement(session, statement, &context);
//   entry.OnReply(session, reply, &context);       // from the group's owner
//
// Statements that need no upstream are answered here. A transaction begins at
// an upstream with its first statement only.
//
// Limits: one open statement for each session.

#ifndef FIREFLYCART_CORE_PROXY_ENTRY_H_
#define FIREFLYCART_CORE_PROXY_ENTRY_H_

#include <map>
#include <string>

#include "fireflycart/core/proxy/peer_calls.h"
#include "fireflycart/core/proxy/proxy_context.h"
#include "fireflycart/core/proxy/route.h"

namespace fireflycart::proxy {

// Carries statements to the owner of their group.
class StatementRouter {
 public:
  virtual ~StatementRouter() = default;
  // Ends with Entry::OnReply unless the session ends before.
  virtual void Route(SessionNumber session, StatementCall call) = 0;
  virtual void RouteEnd(const EndTransactionCall& call) = 0;
  virtual void RouteWithdraw(const WithdrawCall& call) = 0;
  virtual const RouteTable& routes() const = 0;
};

class Entry {
 public:
  // A caller that starts a session gives up after 2 s; routes that are not
  // known by then will not help it.
  static constexpr Duration kStartLimit = Duration::Millis(1700);

  explicit Entry(StatementRouter* router) : router_(router) {}

  void OnStarted(SessionNumber session, const std::string& database,
                 ProxyContext* context);
  void OnStatement(SessionNumber session, const CallerStatement& statement,
                   ProxyContext* context);
  void OnEnded(SessionNumber session, ProxyContext* context);
  void OnReply(SessionNumber session, StatementReply reply,
               ProxyContext* context);
  // Routes were learnt: sessions that wait for them are answered.
  void OnRoutes(ProxyContext* context);
  void OnWake(ProxyContext* context);

  // Planned stop: closes the sessions that rest outside a transaction, and the
  // others as soon as their statement or transaction ends.
  void Leave(ProxyContext* context);
  // Ends the transactions that are still open.
  void AbortTransactions(ProxyContext* context);

  size_t size() const { return sessions_.size(); }
  size_t open_statements() const;

 private:
  struct Session {
    std::string database;
    std::map<std::string, std::string> values;
    std::map<std::string, PreparedShape> prepared;
    TransactionState state = TransactionState::kNone;
    TransactionKind kind = TransactionKind::kNone;
    uint64_t transaction = 0;  // Number of the current or last one.
    bool is_begun = false;     // Its first statement went to the owner.
    bool has_written = false;
    Route route;           // Of the current transaction or statement.
    LogPosition position;  // Last commit.
    bool is_waiting = false;
    StatementId statement;  // The open one, with its access.
    Access access = Access::kRead;
    TimePoint asked;
  };

  void Answer(SessionNumber number, Session* session, CallerAnswer answer,
              ProxyContext* context);
  void OnOperationEnded(SessionNumber number, ProxyContext* context);
  void Refuse(SessionNumber number, Session* session, Outcome outcome,
              const std::string& detail, ProxyContext* context);
  bool AnswersLocally(SessionNumber number, Session* session,
                      const CallerStatement& statement, ProxyContext* context);
  void Begin(SessionNumber number, Session* session, bool is_read_only,
             ProxyContext* context);
  void End(SessionNumber number, Session* session, ProxyContext* context);
  bool FindRoute(SessionNumber number, Session* session, ProxyContext* context);
  void Forward(SessionNumber number, Session* session,
               const CallerStatement& statement, ProxyContext* context);
  void Greet(SessionNumber number, ProxyContext* context);
  SessionKey KeyOf(SessionNumber number, ProxyContext* context) const;

  StatementRouter* router_;
  std::map<SessionNumber, Session> sessions_;
  std::map<SessionNumber, TimePoint> ungreeted_;  // Until when to wait.
  bool is_leaving_ = false;
};

}  // namespace fireflycart::proxy

#endif  // FIREFLYCART_CORE_PROXY_ENTRY_H_
