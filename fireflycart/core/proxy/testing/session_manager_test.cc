// Tests of sessions that end while the VM stops, and of what follows a refused
// begin of a transaction or a refused set-up.

#include "fireflycart/core/proxy/session_manager.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <utility>
#include <vector>

namespace fireflycart::proxy {
namespace {

constexpr char kDatabase[] = "ledger";
constexpr size_t kStateLimit = size_t{1} << 20;
const SessionNumber kSession(4);
// Of a session value or a prepared statement.
constexpr char kName[] = "n";
// More than a session may keep.
const std::string kTooLarge(size_t{4} << 20, 'x');

// Answers a cancelled statement at once, as an owner on the same VM does.
class CancellingRouter : public StatementRouter {
 public:
  CancellingRouter() {
    table_.version = 1;
    table_.routes[kDatabase].database = kDatabase;
  }
  void Connect(SessionManager* sessions, ProxyContext* context) {
    sessions_ = sessions;
    context_ = context;
  }

  void Route(SessionNumber session, StatementCall call) override {
    (void)session;
    calls.push_back(std::move(call));
  }
  void RouteEndTransaction(const EndTransactionCall& call) override {
    ended.push_back(call);
  }
  void RouteCancelQueued(const CancelQueuedCall& call) override {
    StatementReply reply;
    reply.outcome = Outcome::kAborted;
    sessions_->OnReply(call.session.session, reply, context_);
  }
  const RouteTable& routes() const override { return table_; }
  bool HasCurrentKeys() const override { return true; }

  std::vector<StatementCall> calls;
  std::vector<EndTransactionCall> ended;
  void RemoveRoute() { table_.routes.clear(); }
  void AddRoute() { table_.routes[kDatabase].database = kDatabase; }

 private:
  RouteTable table_;
  SessionManager* sessions_ = nullptr;
  ProxyContext* context_ = nullptr;
};

class SessionManagerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SessionManagerTest);
  CPPUNIT_TEST(Ended_WithQueuedStatementWhileDraining_LeavesNothing);
  CPPUNIT_TEST(Begin_Malformed_StatementsBehindItAreNotRun);
  CPPUNIT_TEST(Begin_WithoutRoute_StatementsBehindItAreNotRun);
  CPPUNIT_TEST(Begin_InTransaction_TransactionIsRolledBack);
  CPPUNIT_TEST(Begin_RefusedWhileDraining_SessionIsClosed);
  CPPUNIT_TEST(Set_TooLarge_NothingRunsUntilItIsSet);
  CPPUNIT_TEST(Prepare_TooLarge_FormerShapeDoesNotRun);
  CPPUNIT_TEST(Set_TooLargeInTransaction_TransactionFails);
  CPPUNIT_TEST(Exit_WriteInTransactionUnanswered_IsUnknown);
  CPPUNIT_TEST(Ended_WithRefusedNames_WhatTheyTookIsFree);
  CPPUNIT_TEST(Commit_BehindUnknownWrite_IsNoPromise);
  CPPUNIT_TEST(Exit_StatementBehindUnknownWrite_IsNoPromise);
  CPPUNIT_TEST(Repeat_OfFirstStatement_OpensAnotherTransaction);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Ended_WithQueuedStatementWhileDraining_LeavesNothing() {
    ProxyContext context(VmId("vm-0"), 1, 1);
    ProxyEffects effects;
    context.Begin(TimePoint::FromMillis(1000), &effects);
    CancellingRouter router;
    SessionManager sessions(&router, kStateLimit);
    router.Connect(&sessions, &context);
    sessions.OnStarted(kSession, kDatabase, KeyDigest(), &context);
    CallerStatement statement;
    statement.kind = StatementKind::kRead;
    statement.id = StatementId("s1");
    sessions.OnStatement(kSession, statement, &context);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, sessions.open_statements());
    sessions.StartDraining(&context);
    sessions.OnEnded(kSession, &context);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, sessions.size());
    CPPUNIT_ASSERT(!sessions.IsAwaitingClose(context.now()));
  }

  void Begin_Malformed_StatementsBehindItAreNotRun() {
    for (StatementKind kind :
         {StatementKind::kBegin, StatementKind::kBeginReadOnly}) {
      router_.calls.clear();
      StartSession();
      CPPUNIT_ASSERT(SendMalformedBegin(kind) == Outcome::kBadRequest);
      ExpectNothingRunsUntilTheEnd();
      sessions_.OnEnded(kSession, &context_);
    }
  }

  // The route is back before the statements that were sent behind.
  void Begin_WithoutRoute_StatementsBehindItAreNotRun() {
    for (StatementKind kind :
         {StatementKind::kBegin, StatementKind::kBeginReadOnly}) {
      router_.calls.clear();
      StartSession();
      router_.RemoveRoute();
      CPPUNIT_ASSERT(Send(kind) == Outcome::kNoDatabase);
      router_.AddRoute();
      ExpectNothingRunsUntilTheEnd();
      sessions_.OnEnded(kSession, &context_);
    }
  }

  // The caller takes the earlier transaction for ended.
  void Begin_InTransaction_TransactionIsRolledBack() {
    StartSession();
    Send(StatementKind::kBegin);
    Send(StatementKind::kWrite);
    StatementReply done;
    done.outcome = Outcome::kDone;
    sessions_.OnReply(kSession, done, &context_);
    CPPUNIT_ASSERT(Send(StatementKind::kBegin) == Outcome::kBadRequest);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, router_.ended.size());
    CPPUNIT_ASSERT(Send(StatementKind::kWrite) == Outcome::kBadRequest);
    CPPUNIT_ASSERT(Send(StatementKind::kCommit) == Outcome::kAborted);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, router_.calls.size());
  }

  void Begin_RefusedWhileDraining_SessionIsClosed() {
    StartSession();
    sessions_.StartDraining(&context_);
    CPPUNIT_ASSERT(SendMalformedBegin() == Outcome::kBadRequest);
    CPPUNIT_ASSERT(
        std::get<AnswerStatement>(effects_.back()).answer.closes_session);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, sessions_.size());
  }

  void Set_TooLarge_NothingRunsUntilItIsSet() {
    StartSession();
    CPPUNIT_ASSERT(SendSet("1") == Outcome::kDone);
    CPPUNIT_ASSERT(SendSet(kTooLarge) == Outcome::kBusy);
    for (StatementKind kind : {StatementKind::kRead, StatementKind::kWrite}) {
      CPPUNIT_ASSERT(Send(kind) == Outcome::kAborted);
    }
    CPPUNIT_ASSERT(router_.calls.empty());
    CPPUNIT_ASSERT(SendSet("2") == Outcome::kDone);
    Send(StatementKind::kRead);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, router_.calls.size());
    CPPUNIT_ASSERT_EQUAL(std::string("2"),
                         router_.calls.front().values.at(kName));
  }

  void Prepare_TooLarge_FormerShapeDoesNotRun() {
    StartSession();
    CPPUNIT_ASSERT(SendPrepare("q") == Outcome::kDone);
    CPPUNIT_ASSERT(SendPrepare(kTooLarge) == Outcome::kBusy);
    CallerStatement execute;
    execute.kind = StatementKind::kExecute;
    execute.name = kName;
    CPPUNIT_ASSERT(SendStatement(execute) == Outcome::kAborted);
    CPPUNIT_ASSERT(SendPrepare("q2") == Outcome::kDone);
    sessions_.OnStatement(kSession, execute, &context_);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, router_.calls.size());
    CPPUNIT_ASSERT_EQUAL(std::string("q2"),
                         router_.calls.front().prepared.shape);
  }

  // BUSY says that nothing of the transaction is kept.
  void Set_TooLargeInTransaction_TransactionFails() {
    StartSession();
    Send(StatementKind::kBegin);
    Send(StatementKind::kWrite);
    StatementReply done;
    done.outcome = Outcome::kDone;
    sessions_.OnReply(kSession, done, &context_);
    CPPUNIT_ASSERT(SendSet(kTooLarge) == Outcome::kBusy);
    CPPUNIT_ASSERT(Send(StatementKind::kCommit) == Outcome::kAborted);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, router_.calls.size());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, router_.ended.size());
  }

  // Its upstream may have ended the transaction, so that the write ran alone.
  void Exit_WriteInTransactionUnanswered_IsUnknown() {
    for (StatementKind kind : {StatementKind::kRead, StatementKind::kWrite}) {
      SessionManager sessions(&router_, kStateLimit);
      context_.Begin(TimePoint::FromMillis(1000), &effects_);
      sessions.OnStarted(kSession, kDatabase, KeyDigest(), &context_);
      CallerStatement statement;
      for (StatementKind next : {StatementKind::kBegin, kind}) {
        statement.kind = next;
        sessions.OnStatement(kSession, statement, &context_);
      }
      sessions.AnswerAll(&context_);
      Outcome outcome =
          std::get<AnswerStatement>(effects_.back()).answer.outcome;
      bool reads = kind == StatementKind::kRead;
      CPPUNIT_ASSERT(outcome ==
                     (reads ? Outcome::kAborted : Outcome::kUnknown));
    }
  }

  void Ended_WithRefusedNames_WhatTheyTookIsFree() {
    constexpr size_t kLarge = kStateLimit / 2;
    // With others, a fair share is less than the session keeps.
    StartSession();
    for (uint64_t other = 100; other < 103; other++) {
      sessions_.OnStarted(SessionNumber(other), kDatabase, KeyDigest(),
                          &context_);
    }
    for (int i = 0; i < 10; i++) {
      StartSession();
      CPPUNIT_ASSERT(SendSet(std::string(kLarge, 'v')) == Outcome::kDone);
      CPPUNIT_ASSERT(SendSet(kTooLarge) == Outcome::kBusy);
      CallerStatement set;
      set.meant = StatementKind::kSetValue;
      set.name = std::string(kLarge / 2, 'n');
      CPPUNIT_ASSERT(SendStatement(set) == Outcome::kBadRequest);
      CPPUNIT_ASSERT(SendPrepare("q") == Outcome::kDone);
      CPPUNIT_ASSERT(SendPrepare(kTooLarge) == Outcome::kBusy);
      sessions_.OnEnded(kSession, &context_);
    }
  }

  // The write may have run alone and be kept, which ABORTED denies.
  void Commit_BehindUnknownWrite_IsNoPromise() {
    StartSession();
    Send(StatementKind::kBegin);
    Send(StatementKind::kWrite);
    StatementReply unknown;
    unknown.outcome = Outcome::kUnknown;
    sessions_.OnReply(kSession, unknown, &context_);
    CPPUNIT_ASSERT(Send(StatementKind::kCommit) != Outcome::kAborted);
  }

  void Exit_StatementBehindUnknownWrite_IsNoPromise() {
    StartSession();
    Send(StatementKind::kBegin);
    Send(StatementKind::kWrite);
    sessions_.AnswerAll(&context_);
    CPPUNIT_ASSERT(Send(StatementKind::kRead) != Outcome::kAborted);
    CPPUNIT_ASSERT(Send(StatementKind::kCommit) != Outcome::kAborted);
  }

  void Repeat_OfFirstStatement_OpensAnotherTransaction() {
    StartSession();
    Send(StatementKind::kBegin);
    Send(StatementKind::kWrite);
    StatementCall repeated = router_.calls.front();
    sessions_.OnRepeat(kSession, &repeated);
    CPPUNIT_ASSERT(repeated.opens_transaction);
    CPPUNIT_ASSERT(repeated.transaction_number !=
                   router_.calls.front().transaction_number);
    // What follows belongs to the repeated one.
    StatementReply done;
    done.outcome = Outcome::kDone;
    sessions_.OnReply(kSession, done, &context_);
    Send(StatementKind::kWrite);
    CPPUNIT_ASSERT_EQUAL(repeated.transaction_number,
                         router_.calls.back().transaction_number);
    StatementCall continuing = router_.calls.back();
    sessions_.OnRepeat(kSession, &continuing);
    CPPUNIT_ASSERT_EQUAL(repeated.transaction_number,
                         continuing.transaction_number);
    sessions_.OnEnded(kSession, &context_);
    CPPUNIT_ASSERT_EQUAL(repeated.transaction_number,
                         router_.ended.back().transaction_number);
  }

 private:
  void StartSession() {
    context_.Begin(TimePoint::FromMillis(1000), &effects_);
    router_.Connect(&sessions_, &context_);
    sessions_.OnStarted(kSession, kDatabase, KeyDigest(), &context_);
  }

  Outcome SendStatement(const CallerStatement& statement) {
    sessions_.OnStatement(kSession, statement, &context_);
    return std::get<AnswerStatement>(effects_.back()).answer.outcome;
  }

  Outcome Send(StatementKind kind) {
    CallerStatement statement;
    statement.id = StatementId("s1");
    statement.kind = kind;
    return SendStatement(statement);
  }

  Outcome SendSet(const std::string& value) {
    CallerStatement set;
    set.id = StatementId("s1");
    set.kind = StatementKind::kSetValue;
    set.name = kName;
    set.arguments = value;
    return SendStatement(set);
  }

  Outcome SendPrepare(const std::string& shape) {
    CallerStatement prepare;
    prepare.id = StatementId("s1");
    prepare.kind = StatementKind::kPrepare;
    prepare.name = kName;
    prepare.prepared.shape = shape;
    return SendStatement(prepare);
  }

  Outcome SendMalformedBegin(StatementKind meant = StatementKind::kBegin) {
    CallerStatement begin;
    begin.id = StatementId("s1");
    begin.meant = meant;
    return SendStatement(begin);
  }

  void ExpectNothingRunsUntilTheEnd() {
    for (StatementKind kind : {StatementKind::kWrite, StatementKind::kRead}) {
      CPPUNIT_ASSERT(Send(kind) == Outcome::kBadRequest);
      const auto& answer = std::get<AnswerStatement>(effects_.back()).answer;
      CPPUNIT_ASSERT(TransactionState::kFailed == answer.state);
    }
    CPPUNIT_ASSERT(Send(StatementKind::kCommit) == Outcome::kAborted);
    CPPUNIT_ASSERT(router_.calls.empty());
    Send(StatementKind::kWrite);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, router_.calls.size());
  }

  ProxyEffects effects_;
  ProxyContext context_{VmId("vm-0"), 1, 1};
  CancellingRouter router_;
  SessionManager sessions_{&router_, kStateLimit};
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionManagerTest);

}  // namespace
}  // namespace fireflycart::proxy
