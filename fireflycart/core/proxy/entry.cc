// A session's values and prepared statements live here and travel with each
// statement, so that any connection can be made to fit. A failed statement
// fails its transaction: the owner rolls back at once, and the caller learns
// it from the state of the answer.

#include "fireflycart/core/proxy/entry.h"

#include <utility>
#include <vector>

namespace fireflycart::proxy {
namespace {

constexpr char kPart[] = "entry";

CallerAnswer Plain(Outcome outcome, const std::string& detail) {
  CallerAnswer answer;
  answer.outcome = outcome;
  answer.detail = detail;
  return answer;
}

}  // namespace

SessionKey Entry::KeyOf(SessionNumber number, ProxyContext* context) const {
  return SessionKey{context->self(), context->incarnation(), number};
}

void Entry::OnStarted(SessionNumber number, const std::string& database,
                      ProxyContext* context) {
  sessions_[number].database = database;
  if (router_->routes().version == 0) {
    ungreeted_[number] = context->now() + kStartLimit;
    context->WakeAt(context->now() + kStartLimit);
    return;
  }
  Greet(number, context);
}

void Entry::Greet(SessionNumber number, ProxyContext* context) {
  const std::string& database = sessions_[number].database;
  const RouteTable& table = router_->routes();
  bool is_known = table.routes.count(database) != 0;
  if (is_known) {
    context->Emit(GreetCaller{number, Outcome::kDone, ""});
    return;
  }
  Outcome outcome = table.version == 0 ? Outcome::kBusy : Outcome::kNoDatabase;
  context->Log(LogLevel::kInfo, kPart, "session_refused",
               {{"database", database},
                {"outcome", OutcomeName(outcome)},
                {"routes_version", std::to_string(table.version)}});
  context->Emit(GreetCaller{number, outcome, database});
  sessions_.erase(number);
}

void Entry::OnRoutes(ProxyContext* context) {
  if (router_->routes().version == 0) return;
  std::map<SessionNumber, TimePoint> waiting;
  waiting.swap(ungreeted_);
  for (const auto& item : waiting) Greet(item.first, context);
}

void Entry::OnWake(ProxyContext* context) {
  std::vector<SessionNumber> due;
  for (const auto& item : ungreeted_) {
    if (context->now() >= item.second) due.push_back(item.first);
  }
  for (SessionNumber number : due) {
    ungreeted_.erase(number);
    Greet(number, context);
  }
}

void Entry::Answer(SessionNumber number, Session* session, CallerAnswer answer,
                   ProxyContext* context) {
  answer.state = session->state;
  context->Emit(AnswerStatement{number, std::move(answer)});
}

// An operation of the caller is over. A stopping VM closes the session now, and
// not between the statements that prepare an operation.
void Entry::OnOperationEnded(SessionNumber number, ProxyContext* context) {
  if (!is_leaving_) return;
  auto found = sessions_.find(number);
  bool rests = found != sessions_.end() &&
               found->second.state == TransactionState::kNone;
  if (!rests) return;
  sessions_.erase(found);
  context->Emit(CloseCaller{number});
}

void Entry::Refuse(SessionNumber number, Session* session, Outcome outcome,
                   const std::string& detail, ProxyContext* context) {
  context->Log(LogLevel::kInfo, kPart, "statement_refused",
               {{"id", session->statement.value()},
                {"database", session->database},
                {"outcome", OutcomeName(outcome)},
                {"detail", detail},
                {"routes_version", std::to_string(router_->routes().version)}});
  Answer(number, session, Plain(outcome, detail), context);
}

void Entry::OnStatement(SessionNumber number, const CallerStatement& statement,
                        ProxyContext* context) {
  auto found = sessions_.find(number);
  if (found == sessions_.end()) return;
  Session* session = &found->second;
  session->statement = statement.id;
  session->asked = context->now();
  if (statement.kind == StatementKind::kMalformed) {
    Refuse(number, session, Outcome::kBadRequest, statement.text, context);
    return;
  }
  bool ends = statement.kind == StatementKind::kRollback ||
              statement.kind == StatementKind::kCommit;
  if (session->state == TransactionState::kFailed && !ends) {
    Refuse(number, session, Outcome::kBadRequest, "transaction has failed",
           context);
    return;
  }
  if (AnswersLocally(number, session, statement, context)) return;
  Forward(number, session, statement, context);
}

bool Entry::AnswersLocally(SessionNumber number, Session* session,
                           const CallerStatement& statement,
                           ProxyContext* context) {
  bool in_transaction = session->state != TransactionState::kNone;
  switch (statement.kind) {
    case StatementKind::kBegin:
    case StatementKind::kBeginReadOnly:
      Begin(number, session, statement.kind == StatementKind::kBeginReadOnly,
            context);
      return true;
    case StatementKind::kRollback:
      End(number, session, context);
      return true;
    case StatementKind::kCommit:
      if (!in_transaction) {
        Refuse(number, session, Outcome::kBadRequest, "no transaction",
               context);
        return true;
      }
      if (session->state != TransactionState::kFailed) return false;
      session->state = TransactionState::kNone;
      session->kind = TransactionKind::kNone;
      Refuse(number, session, Outcome::kAborted, "transaction has failed",
             context);
      return true;
    case StatementKind::kSetValue:
      session->values[statement.name] = statement.arguments;
      break;
    case StatementKind::kPrepare:
      session->prepared[statement.name] = statement.prepared;
      break;
    case StatementKind::kForget:
      session->prepared.erase(statement.name);
      break;
    case StatementKind::kExecute:
      if (session->prepared.count(statement.name) != 0) return false;
      if (in_transaction) session->state = TransactionState::kFailed;
      if (in_transaction && session->is_begun) {
        router_->RouteEnd(EndTransactionCall{session->route.group,
                                             KeyOf(number, context),
                                             session->transaction});
      }
      Refuse(number, session, Outcome::kNoStatement, statement.name, context);
      return true;
    default:
      return false;
  }
  Answer(number, session, CallerAnswer(), context);
  return true;
}

bool Entry::FindRoute(SessionNumber number, Session* session,
                      ProxyContext* context) {
  const RouteTable& table = router_->routes();
  auto found = table.routes.find(session->database);
  if (found != table.routes.end()) {
    session->route = found->second;
    return true;
  }
  Refuse(number, session, Outcome::kNoDatabase, session->database, context);
  return false;
}

void Entry::Begin(SessionNumber number, Session* session, bool is_read_only,
                  ProxyContext* context) {
  if (session->state != TransactionState::kNone) {
    Refuse(number, session, Outcome::kBadRequest, "already in a transaction",
           context);
    return;
  }
  if (!FindRoute(number, session, context)) return;
  session->state = TransactionState::kOpen;
  session->kind =
      is_read_only ? TransactionKind::kReadOnly : TransactionKind::kReadWrite;
  session->transaction++;
  session->is_begun = false;
  session->has_written = false;
  Answer(number, session, CallerAnswer(), context);
}

void Entry::End(SessionNumber number, Session* session, ProxyContext* context) {
  if (session->state == TransactionState::kNone) {
    Refuse(number, session, Outcome::kBadRequest, "no transaction", context);
    return;
  }
  if (session->state == TransactionState::kOpen && session->is_begun) {
    router_->RouteEnd(EndTransactionCall{
        session->route.group, KeyOf(number, context), session->transaction});
  }
  session->state = TransactionState::kNone;
  session->kind = TransactionKind::kNone;
  Answer(number, session, CallerAnswer(), context);
  OnOperationEnded(number, context);
}

void Entry::Forward(SessionNumber number, Session* session,
                    const CallerStatement& statement, ProxyContext* context) {
  bool in_transaction = session->state != TransactionState::kNone;
  if (!in_transaction && !FindRoute(number, session, context)) return;
  const Route& route = session->route;
  StatementCall call;
  call.group = route.group;
  call.session = KeyOf(number, context);
  call.transaction = session->kind;
  call.transaction_number = in_transaction ? session->transaction : 0;
  call.opens_transaction = in_transaction && !session->is_begun;
  call.id = statement.id;
  call.values = session->values;
  call.rule = route.rule;
  call.max_age = route.max_age;
  call.own_position = session->position;
  call.priority = route.priority;
  call.target_left = route.target;
  call.time_left = route.timeout;
  call.text = statement.text;
  if (statement.kind == StatementKind::kCommit) {
    call.access = Access::kCommit;
  } else if (statement.kind == StatementKind::kWrite) {
    call.access = Access::kWrite;
  } else if (statement.kind == StatementKind::kExecute) {
    call.is_prepared = true;
    call.prepared = session->prepared[statement.name];
    call.access = call.prepared.writes ? Access::kWrite : Access::kRead;
    call.text = statement.arguments;
  }
  if (in_transaction) session->is_begun = true;
  session->is_waiting = true;
  session->access = call.access;
  router_->Route(number, std::move(call));
}

void Entry::OnReply(SessionNumber number, StatementReply reply,
                    ProxyContext* context) {
  auto found = sessions_.find(number);
  if (found == sessions_.end()) return;
  Session* session = &found->second;
  if (!session->is_waiting) return;
  session->is_waiting = false;
  bool ok = reply.outcome == Outcome::kDone;
  bool in_transaction = session->state != TransactionState::kNone;
  if (ok && in_transaction && session->access == Access::kWrite) {
    session->has_written = true;
  }
  bool is_commit = session->access == Access::kCommit;
  bool commits = (is_commit && session->has_written) ||
                 (!in_transaction && session->access == Access::kWrite);
  if (ok && commits && session->position < reply.position) {
    session->position = reply.position;
  }
  if (is_commit) {
    session->state = TransactionState::kNone;
    session->kind = TransactionKind::kNone;
  } else if (in_transaction && !ok) {
    session->state = TransactionState::kFailed;
  }
  if (!ok) {
    context->Log(LogLevel::kInfo, kPart, "statement_failed",
                 {{"id", session->statement.value()},
                  {"database", session->database},
                  {"group", session->route.group.value()},
                  {"outcome", OutcomeName(reply.outcome)},
                  {"detail", reply.detail},
                  {"took_ms",
                   std::to_string((context->now() - session->asked).millis())},
                  {"in_transaction", in_transaction ? "yes" : "no"}});
  }
  CallerAnswer answer;
  answer.outcome = reply.outcome;
  answer.rows = std::move(reply.rows);
  answer.signature = std::move(reply.signature);
  answer.detail = std::move(reply.detail);
  Answer(number, session, std::move(answer), context);
  OnOperationEnded(number, context);
}

void Entry::OnEnded(SessionNumber number, ProxyContext* context) {
  auto found = sessions_.find(number);
  if (found == sessions_.end()) return;
  Session& session = found->second;
  bool has_transaction =
      session.state == TransactionState::kOpen && session.is_begun;
  if (has_transaction) {
    router_->RouteEnd(EndTransactionCall{
        session.route.group, KeyOf(number, context), session.transaction});
  } else if (session.is_waiting) {
    router_->RouteWithdraw(WithdrawCall{
        session.route.group, KeyOf(number, context), session.statement});
  }
  ungreeted_.erase(number);
  sessions_.erase(found);
}

void Entry::Leave(ProxyContext* context) {
  is_leaving_ = true;
  context->Log(LogLevel::kInfo, kPart, "closing_sessions",
               {{"sessions", std::to_string(sessions_.size())}});
  for (auto it = sessions_.begin(); it != sessions_.end();) {
    const Session& session = it->second;
    bool is_idle = !session.is_waiting &&
                   session.state == TransactionState::kNone &&
                   ungreeted_.count(it->first) == 0;
    if (!is_idle) {
      ++it;
      continue;
    }
    context->Emit(CloseCaller{it->first});
    it = sessions_.erase(it);
  }
}

void Entry::AbortTransactions(ProxyContext* context) {
  for (auto& item : sessions_) {
    Session& session = item.second;
    bool rests =
        session.state == TransactionState::kOpen && !session.is_waiting;
    if (!rests) continue;
    if (session.is_begun) {
      router_->RouteEnd(EndTransactionCall{session.route.group,
                                           KeyOf(item.first, context),
                                           session.transaction});
    }
    session.state = TransactionState::kFailed;
  }
}

size_t Entry::open_statements() const {
  size_t count = 0;
  for (const auto& item : sessions_) {
    if (item.second.is_waiting) count++;
  }
  return count;
}

}  // namespace fireflycart::proxy
