// Tests of sessions that end while the VM stops.

#include "fireflycart/core/proxy/session_manager.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace fireflycart::proxy {
namespace {

constexpr char kDatabase[] = "ledger";
constexpr size_t kStateLimit = size_t{1} << 20;
const SessionNumber kSession(4);

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
    (void)call;
  }
  void RouteEndTransaction(const EndTransactionCall& call) override {
    (void)call;
  }
  void RouteCancelQueued(const CancelQueuedCall& call) override {
    StatementReply reply;
    reply.outcome = Outcome::kAborted;
    sessions_->OnReply(call.session.session, reply, context_);
  }
  const RouteTable& routes() const override { return table_; }
  bool HasCurrentKeys() const override { return true; }

 private:
  RouteTable table_;
  SessionManager* sessions_ = nullptr;
  ProxyContext* context_ = nullptr;
};

class SessionManagerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SessionManagerTest);
  CPPUNIT_TEST(Ended_WithQueuedStatementWhileDraining_LeavesNothing);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionManagerTest);

}  // namespace
}  // namespace fireflycart::proxy
