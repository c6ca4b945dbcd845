// A session's values and prepared statements are kept here and sent with each
// statement, so that the owner can set up any connection for it. What a refusal
// means for statements that were sent behind it is decided in OnRefused(): the
// wire does not tell whether their caller has seen the refusal. A failed
// statement fails its transaction: the owner rolls back at once, and the answer
// carries the failed transaction state to the caller.

#include "fireflycart/core/proxy/session_manager.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace fireflycart::proxy {
namespace {

constexpr char kPart[] = "entry";
constexpr char kStopping[] = "this VM is stopping";
constexpr char kNoValidKey[] = "no valid key";
constexpr char kOldKeys[] = "keys cannot be checked here, try another VM";
constexpr char kPrepareRefused[] =
    "a change of the prepared statement was refused";
constexpr char kValueRefused[] = "a session value was refused and is not set";
constexpr char kStateTooLarge[] = "sessions keep too much already";
constexpr size_t kMaxKeptIdBytes = 1024;

CallerAnswer MakeAnswer(Outcome outcome, const std::string& detail) {
  CallerAnswer answer;
  answer.outcome = outcome;
  answer.detail = detail;
  return answer;
}

}  // namespace

SessionKey SessionManager::KeyOf(SessionNumber number,
                                 ProxyContext* context) const {
  return SessionKey{context->self(), context->incarnation(), number};
}

void SessionManager::OnStarted(SessionNumber number,
                               const std::string& database,
                               const KeyDigest& key, ProxyContext* context) {
  Session& session = sessions_[number];
  session.database = database;
  session.key = key;
  session.idle_since = context->now();
  if (stop_stage_ >= StopStage::kRefusing) {
    RefuseSession(number, Outcome::kBusy, kStopping, context);
    return;
  }
  if (router_->routes().version == 0) {
    awaiting_routes_[number] = context->now() + kSessionStartTimeout;
    context->WakeAt(context->now() + kSessionStartTimeout);
    return;
  }
  Greet(number, context);
}

void SessionManager::Greet(SessionNumber number, ProxyContext* context) {
  const Session& session = sessions_[number];
  const RouteTable& table = router_->routes();
  auto route = table.routes.find(session.database);
  if (route == table.routes.end()) {
    Outcome outcome =
        table.version == 0 ? Outcome::kBusy : Outcome::kNoDatabase;
    RefuseSession(number, outcome, session.database, context);
    return;
  }
  if (NeedsKey(route->second) && !router_->HasCurrentKeys()) {
    RefuseSession(number, Outcome::kBusy, kOldKeys, context);
    return;
  }
  TenantId tenant;
  if (!IsAuthenticated(session, route->second, &tenant)) {
    RefuseSession(number, Outcome::kNotAuthenticated, kNoValidKey, context);
    return;
  }
  context->Emit(GreetCaller{number, Outcome::kDone, ""});
}

bool SessionManager::NeedsKey(const Route& route) const {
  return router_->routes().has_tenants && !route.is_public;
}

bool SessionManager::IsAuthenticated(const Session& session, const Route& route,
                                     TenantId* tenant) const {
  const RouteTable& table = router_->routes();
  *tenant = TenantId();
  if (!NeedsKey(route)) return true;
  const TenantSpec* found = table.tenants.FindByKey(session.key);
  if (found == nullptr) return false;
  *tenant = found->id;
  return true;
}

// The route and the key are looked up at each statement, since either may have
// been removed while the session was open.
bool SessionManager::RefuseUnauthenticated(SessionNumber number,
                                           Session* session,
                                           const CallerStatement& statement,
                                           ProxyContext* context) {
  const RouteTable& table = router_->routes();
  auto found = table.routes.find(session->database);
  bool is_known = found != table.routes.end();
  const Route& route = is_known ? found->second : session->route;
  TenantId tenant;
  bool is_valid = IsAuthenticated(*session, route, &tenant);
  // The transaction runs on a connection of the tenant that began it.
  bool is_begun =
      session->state == TransactionState::kOpen && session->is_begun;
  if (is_begun && tenant != session->tenant) is_valid = false;
  if (NeedsKey(route) && !router_->HasCurrentKeys()) {
    Refuse(number, session, statement,
           is_begun ? Outcome::kAborted : Outcome::kBusy, kOldKeys, context);
    return true;
  }
  session->tenant = tenant;
  if (is_valid) return false;
  Refuse(number, session, statement, Outcome::kNotAuthenticated, kNoValidKey,
         context);
  return true;
}

void SessionManager::RefuseSession(SessionNumber number, Outcome outcome,
                                   const std::string& detail,
                                   ProxyContext* context) {
  context->Log(LogLevel::kInfo, kPart, "session_refused",
               {{"database", sessions_[number].database},
                {"outcome", OutcomeName(outcome)},
                {"detail", detail},
                {"routes_version", std::to_string(router_->routes().version)}});
  context->Emit(GreetCaller{number, outcome, detail});
  Erase(number);
}

void SessionManager::OnRoutes(ProxyContext* context) {
  if (router_->routes().version == 0) return;
  std::map<SessionNumber, TimePoint> waiting;
  waiting.swap(awaiting_routes_);
  for (const auto& item : waiting) Greet(item.first, context);
}

void SessionManager::OnWake(ProxyContext* context) {
  std::vector<SessionNumber> due;
  for (const auto& item : awaiting_routes_) {
    if (context->now() >= item.second) due.push_back(item.first);
  }
  for (SessionNumber number : due) {
    awaiting_routes_.erase(number);
    Greet(number, context);
  }
  if (stop_stage_ == StopStage::kDraining) CloseIdle(kIdleBeforeClose, context);
}

void SessionManager::Answer(SessionNumber number, Session* session,
                            CallerAnswer answer, ProxyContext* context) {
  answer.state = session->state;
  session->idle_since = context->now();
  // An idle session keeps no large id.
  if (session->statement.value().size() > kMaxKeptIdBytes) {
    session->statement = StatementId();
  }
  context->Emit(AnswerStatement{number, std::move(answer)});
}

// Answers the last statement of a caller's operation, that is, of a transaction
// or a single statement. A stopping VM closes the session with this answer, and
// not between the statements that prepare an operation. The request to close is
// part of the same message, since many callers begin their next operation as
// soon as they have the answer.
void SessionManager::AnswerLast(SessionNumber number, Session* session,
                                CallerAnswer answer, ProxyContext* context) {
  answer.closes_session =
      stop_stage_ != StopStage::kNone && IsIdle(number, *session);
  bool closes = answer.closes_session;
  Answer(number, session, std::move(answer), context);
  if (!closes) return;
  Erase(number);
  closing_[number] = context->now();
}

void SessionManager::Close(SessionNumber number, ProxyContext* context) {
  Erase(number);
  closing_[number] = context->now();
  context->Emit(CloseSession{number});
}

bool SessionManager::IsIdle(SessionNumber number,
                            const Session& session) const {
  return !session.has_open_statement &&
         session.state == TransactionState::kNone &&
         awaiting_routes_.count(number) == 0;
}

void SessionManager::CloseIdle(Duration idle_time, ProxyContext* context) {
  std::vector<SessionNumber> idle;
  for (const auto& item : sessions_) {
    if (!IsIdle(item.first, item.second)) continue;
    TimePoint close_at = item.second.idle_since + idle_time;
    if (context->now() >= close_at) {
      idle.push_back(item.first);
    } else {
      context->WakeAtCoarse(close_at);
    }
  }
  for (SessionNumber number : idle) Close(number, context);
}

bool SessionManager::IsAwaitingClose(TimePoint now) const {
  for (const auto& item : closing_) {
    if (now - item.second < kCloseTimeout) return true;
  }
  return false;
}

void SessionManager::Refuse(SessionNumber number, Session* session,
                            const CallerStatement& statement, Outcome outcome,
                            const std::string& detail, ProxyContext* context) {
  context->Log(LogLevel::kInfo, kPart, "statement_refused",
               {{"id", session->statement.value()},
                {"database", session->database},
                {"kind", StatementKindName(statement.intended_kind())},
                {"outcome", OutcomeName(outcome)},
                {"detail", detail},
                {"routes_version", std::to_string(router_->routes().version)}});
  OnRefused(number, session, statement, context);
  AnswerLast(number, session, MakeAnswer(outcome, detail), context);
}

// The caller may have sent further statements already, in the belief that this
// one takes effect. A COMMIT among them must not commit a transaction without
// it.
void SessionManager::OnRefused(SessionNumber number, Session* session,
                               const CallerStatement& statement,
                               ProxyContext* context) {
  if (session->state == TransactionState::kOpen) {
    AbortTransaction(number, session, context);
  }
  switch (statement.intended_kind()) {
    case StatementKind::kBegin:
    case StatementKind::kBeginReadOnly:
      FailNewTransaction(session);
      return;
    case StatementKind::kSetValue:
      session->kept.OnSetRefused(statement.name, &quota_, sessions_.size());
      return;
    case StatementKind::kPrepare:
    case StatementKind::kForget:
      session->kept.OnPrepareRefused(statement.name);
      return;
    default:
      return;
  }
}

// What was sent behind a BEGIN must not run without the transaction. A session
// that a stopping VM closes runs nothing more.
void SessionManager::FailNewTransaction(Session* session) {
  bool is_new = stop_stage_ == StopStage::kNone &&
                session->state == TransactionState::kNone;
  if (!is_new) return;
  session->state = TransactionState::kFailed;
  session->has_unknown_write = false;
}

void SessionManager::OnStatement(SessionNumber number,
                                 const CallerStatement& statement,
                                 ProxyContext* context) {
  auto found = sessions_.find(number);
  if (found == sessions_.end()) {
    auto closed = closing_.find(number);
    if (closed == closing_.end()) return;
    Duration since = context->now() - closed->second;
    context->Log(LogLevel::kInfo, kPart, "statement_crossed_close",
                 {{"id", statement.id.value()},
                  {"closed_ms_ago", std::to_string(since.millis())}});
    return;
  }
  Session* session = &found->second;
  session->statement = statement.id;
  session->received_at = context->now();
  if (statement.kind == StatementKind::kMalformed) {
    Refuse(number, session, statement, Outcome::kBadRequest, statement.text,
           context);
    return;
  }
  if (RefuseWhileStopping(number, session, statement, context)) return;
  bool ends_transaction = statement.kind == StatementKind::kRollback ||
                          statement.kind == StatementKind::kCommit;
  if (session->state == TransactionState::kFailed && !ends_transaction) {
    Refuse(number, session, statement, Outcome::kBadRequest,
           "transaction has failed", context);
    return;
  }
  bool only_ends =
      ends_transaction && (session->state == TransactionState::kFailed ||
                           statement.kind == StatementKind::kRollback);
  if (!only_ends &&
      RefuseUnauthenticated(number, session, statement, context)) {
    return;
  }
  bool needs_values = statement.kind == StatementKind::kRead ||
                      statement.kind == StatementKind::kWrite ||
                      statement.kind == StatementKind::kExecute;
  if (needs_values && session->kept.has_refused_values()) {
    Refuse(number, session, statement, Outcome::kAborted, kValueRefused,
           context);
    return;
  }
  if (TryAnswerLocally(number, session, statement, context)) return;
  Forward(number, session, statement, context);
}

bool SessionManager::RefuseWhileStopping(SessionNumber number, Session* session,
                                         const CallerStatement& statement,
                                         ProxyContext* context) {
  if (stop_stage_ < StopStage::kRefusing) return false;
  if (session->state == TransactionState::kNone) {
    Refuse(number, session, statement, Outcome::kBusy, kStopping, context);
    return true;
  }
  bool ends_transaction = statement.kind == StatementKind::kRollback ||
                          statement.kind == StatementKind::kCommit;
  if (!session->is_aborted_by_stop || ends_transaction) return false;
  Refuse(number, session, statement, OutcomeIfFailed(*session), kStopping,
         context);
  return true;
}

bool SessionManager::TryAnswerLocally(SessionNumber number, Session* session,
                                      const CallerStatement& statement,
                                      ProxyContext* context) {
  bool in_transaction = session->state != TransactionState::kNone;
  SessionState* kept = &session->kept;
  switch (statement.kind) {
    case StatementKind::kBegin:
    case StatementKind::kBeginReadOnly:
      BeginTransaction(number, session, statement, context);
      return true;
    case StatementKind::kRollback:
      RollBack(number, session, statement, context);
      return true;
    case StatementKind::kCommit:
      if (!in_transaction) {
        Refuse(number, session, statement, Outcome::kBadRequest,
               "no transaction", context);
        return true;
      }
      if (session->state != TransactionState::kFailed) return false;
      session->state = TransactionState::kNone;
      session->transaction_kind = TransactionKind::kNone;
      Refuse(number, session, statement, OutcomeIfFailed(*session),
             "transaction has failed", context);
      return true;
    case StatementKind::kSetValue:
      if (kept->SetValue(statement.name, statement.arguments, &quota_,
                         sessions_.size())) {
        break;
      }
      Refuse(number, session, statement, Outcome::kBusy, kStateTooLarge,
             context);
      return true;
    case StatementKind::kPrepare:
      if (kept->Prepare(statement.name, statement.prepared, &quota_,
                        sessions_.size())) {
        break;
      }
      Refuse(number, session, statement, Outcome::kBusy, kStateTooLarge,
             context);
      return true;
    case StatementKind::kForget:
      kept->Forget(statement.name, &quota_);
      break;
    case StatementKind::kExecute:
      if (kept->FindPrepared(statement.name) != nullptr) return false;
      if (kept->IsPrepareRefused(statement.name)) {
        Refuse(number, session, statement, Outcome::kAborted, kPrepareRefused,
               context);
      } else {
        Refuse(number, session, statement, Outcome::kNoStatement,
               statement.name, context);
      }
      return true;
    default:
      return false;
  }
  Answer(number, session, CallerAnswer(), context);
  return true;
}

void SessionManager::Erase(SessionNumber number) {
  auto found = sessions_.find(number);
  if (found == sessions_.end()) return;
  Session& session = found->second;
  session.kept.Release(&quota_);
  sessions_.erase(found);
}

bool SessionManager::FindRoute(SessionNumber number, Session* session,
                               const CallerStatement& statement,
                               ProxyContext* context) {
  const RouteTable& table = router_->routes();
  auto found = table.routes.find(session->database);
  if (found != table.routes.end()) {
    session->route = found->second;
    return true;
  }
  Refuse(number, session, statement, Outcome::kNoDatabase, session->database,
         context);
  return false;
}

void SessionManager::BeginTransaction(SessionNumber number, Session* session,
                                      const CallerStatement& statement,
                                      ProxyContext* context) {
  if (session->state != TransactionState::kNone) {
    Refuse(number, session, statement, Outcome::kBadRequest,
           "already in a transaction", context);
    return;
  }
  if (!FindRoute(number, session, statement, context)) return;
  session->state = TransactionState::kOpen;
  session->transaction_kind = statement.kind == StatementKind::kBeginReadOnly
                                  ? TransactionKind::kReadOnly
                                  : TransactionKind::kReadWrite;
  session->transaction_number++;
  session->is_begun = false;
  session->has_written = false;
  session->has_unknown_write = false;
  session->is_aborted_by_stop = false;
  Answer(number, session, CallerAnswer(), context);
}

void SessionManager::RollBack(SessionNumber number, Session* session,
                              const CallerStatement& statement,
                              ProxyContext* context) {
  if (session->state == TransactionState::kNone) {
    Refuse(number, session, statement, Outcome::kBadRequest, "no transaction",
           context);
    return;
  }
  if (session->state == TransactionState::kOpen && session->is_begun) {
    router_->RouteEndTransaction(
        EndTransactionCall{session->route.group, KeyOf(number, context),
                           session->transaction_number});
  }
  session->state = TransactionState::kNone;
  session->transaction_kind = TransactionKind::kNone;
  AnswerLast(number, session, CallerAnswer(), context);
}

void SessionManager::Forward(SessionNumber number, Session* session,
                             const CallerStatement& statement,
                             ProxyContext* context) {
  bool in_transaction = session->state != TransactionState::kNone;
  if (!in_transaction && !FindRoute(number, session, statement, context)) {
    return;
  }
  const Route& route = session->route;
  StatementCall call;
  call.group = route.group;
  call.session = KeyOf(number, context);
  call.transaction = session->transaction_kind;
  call.transaction_number = in_transaction ? session->transaction_number : 0;
  call.opens_transaction = in_transaction && !session->is_begun;
  call.id = statement.id;
  call.tenant = session->tenant;
  call.values = session->kept.values();
  call.consistency = route.consistency;
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
    call.prepared = *session->kept.FindPrepared(statement.name);
    call.access = call.prepared.writes ? Access::kWrite : Access::kRead;
    call.text = statement.arguments;
  }
  if (in_transaction) session->is_begun = true;
  session->has_open_statement = true;
  session->access = call.access;
  router_->Route(number, std::move(call));
}

void SessionManager::OnReply(SessionNumber number, StatementReply reply,
                             ProxyContext* context) {
  auto found = sessions_.find(number);
  if (found == sessions_.end()) return;
  Session* session = &found->second;
  if (!session->has_open_statement) return;
  session->has_open_statement = false;
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
    session->transaction_kind = TransactionKind::kNone;
  } else if (in_transaction && !ok) {
    session->state = TransactionState::kFailed;
    bool is_unknown = reply.outcome == Outcome::kUnknown ||
                      reply.outcome == Outcome::kTimeout;
    session->has_unknown_write =
        is_unknown && session->access == Access::kWrite;
  }
  if (!ok) {
    context->Log(
        LogLevel::kInfo, kPart, "statement_failed",
        {{"id", session->statement.value()},
         {"database", session->database},
         {"group", session->route.group.value()},
         {"outcome", OutcomeName(reply.outcome)},
         {"detail", reply.detail},
         {"took_ms",
          std::to_string((context->now() - session->received_at).millis())},
         {"in_transaction", in_transaction ? "yes" : "no"}});
  }
  CallerAnswer answer;
  answer.outcome = reply.outcome;
  answer.rows = std::move(reply.rows);
  answer.signature = std::move(reply.signature);
  answer.detail = std::move(reply.detail);
  bool stays_open = session->state == TransactionState::kOpen;
  AnswerLast(number, session, std::move(answer), context);
  if (stays_open && stop_stage_ >= StopStage::kRefusing) {
    AbortTransaction(number, session, context);
    session->is_aborted_by_stop = true;
  }
}

void SessionManager::OnRepeat(SessionNumber number, StatementCall* call) {
  auto found = sessions_.find(number);
  if (found == sessions_.end() || !call->opens_transaction) return;
  call->transaction_number = ++found->second.transaction_number;
}

void SessionManager::OnEnded(SessionNumber number, ProxyContext* context) {
  auto found = sessions_.find(number);
  if (found == sessions_.end()) {
    closing_.erase(number);
    return;
  }
  Session& session = found->second;
  bool has_transaction =
      session.state == TransactionState::kOpen && session.is_begun;
  if (has_transaction) {
    router_->RouteEndTransaction(
        EndTransactionCall{session.route.group, KeyOf(number, context),
                           session.transaction_number});
  } else if (session.has_open_statement) {
    router_->RouteCancelQueued(CancelQueuedCall{
        session.route.group, KeyOf(number, context), session.statement});
  }
  awaiting_routes_.erase(number);
  // The owner may have answered at once, and a stopping VM closes the session
  // with the answer.
  Erase(number);
  closing_.erase(number);
}

void SessionManager::StartDraining(ProxyContext* context) {
  stop_stage_ = std::max(stop_stage_, StopStage::kDraining);
  context->Log(LogLevel::kInfo, kPart, "closing_sessions",
               {{"sessions", std::to_string(sessions_.size())}});
  CloseIdle(kIdleBeforeClose, context);
}

void SessionManager::RefuseOperations(ProxyContext* context) {
  stop_stage_ = std::max(stop_stage_, StopStage::kRefusing);
  std::map<SessionNumber, TimePoint> waiting;
  waiting.swap(awaiting_routes_);
  for (const auto& item : waiting) Greet(item.first, context);
  for (auto& item : sessions_) {
    Session& session = item.second;
    bool is_waiting =
        session.state == TransactionState::kOpen && !session.has_open_statement;
    if (!is_waiting) continue;
    AbortTransaction(item.first, &session, context);
    session.is_aborted_by_stop = true;
  }
  CloseIdle(Duration(), context);
}

void SessionManager::AbortTransaction(SessionNumber number, Session* session,
                                      ProxyContext* context) {
  if (session->is_begun) {
    router_->RouteEndTransaction(
        EndTransactionCall{session->route.group, KeyOf(number, context),
                           session->transaction_number});
  }
  session->state = TransactionState::kFailed;
}

void SessionManager::CancelQueued(ProxyContext* context) {
  std::vector<CancelQueuedCall> calls;
  for (const auto& item : sessions_) {
    const Session& session = item.second;
    if (!session.has_open_statement) continue;
    calls.push_back(CancelQueuedCall{
        session.route.group, KeyOf(item.first, context), session.statement});
  }
  for (const CancelQueuedCall& call : calls) router_->RouteCancelQueued(call);
}

void SessionManager::AnswerAll(ProxyContext* context) {
  stop_stage_ = StopStage::kAnsweredAll;
  std::vector<SessionNumber> open;
  for (const auto& item : sessions_) {
    if (item.second.has_open_statement) open.push_back(item.first);
  }
  for (SessionNumber number : open) {
    auto found = sessions_.find(number);
    // An earlier answer may have ended it.
    if (found == sessions_.end()) continue;
    Session& session = found->second;
    bool must_roll_back = session.state != TransactionState::kNone &&
                          session.access != Access::kCommit;
    if (must_roll_back) {
      router_->RouteEndTransaction(
          EndTransactionCall{session.route.group, KeyOf(number, context),
                             session.transaction_number});
    }
    StatementReply reply;
    reply.outcome = OutcomeIfUnanswered(session);
    reply.detail = kStopping;
    session.is_aborted_by_stop = true;
    OnReply(number, std::move(reply), context);
  }
}

// What is known of an open statement without the owner's reply. A write in a
// transaction may have run alone, if the upstream had ended the transaction.
Outcome SessionManager::OutcomeIfUnanswered(const Session& session) {
  switch (session.access) {
    case Access::kWrite:
      return Outcome::kUnknown;
    case Access::kCommit:
      return session.has_written ? Outcome::kUnknown : Outcome::kAborted;
    case Access::kRead:
      break;
  }
  return session.state == TransactionState::kNone ? Outcome::kBusy
                                                  : Outcome::kAborted;
}

// What a caller is told of a failed transaction. A write of unknown outcome may
// be kept, which no promise may deny.
Outcome SessionManager::OutcomeIfFailed(const Session& session) {
  return session.has_unknown_write ? Outcome::kUnknown : Outcome::kAborted;
}

void SessionManager::LogUnanswered(TimePoint stop_requested,
                                   ProxyContext* context) const {
  for (const auto& item : sessions_) {
    const Session& session = item.second;
    bool is_idle =
        !session.has_open_statement && session.state == TransactionState::kNone;
    if (is_idle) continue;
    context->Log(
        LogLevel::kWarning, kPart, "unanswered_at_exit",
        {{"id", session.statement.value()},
         {"database", session.database},
         {"group", session.route.group.value()},
         {"has_open_statement", session.has_open_statement ? "yes" : "no"},
         {"in_transaction",
          session.state == TransactionState::kNone ? "no" : "yes"},
         {"received_after_stop_ms",
          std::to_string((session.received_at - stop_requested).millis())},
         {"waited_ms",
          std::to_string((context->now() - session.received_at).millis())}});
  }
}

size_t SessionManager::open_statements() const {
  size_t count = 0;
  for (const auto& item : sessions_) {
    if (item.second.has_open_statement) count++;
  }
  return count;
}

}  // namespace fireflycart::proxy
