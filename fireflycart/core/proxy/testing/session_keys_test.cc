// Tests of who may start a session and send statements, by the tenants of the
// routes in force at that moment.

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "fireflycart/core/proxy/session_manager.h"

namespace fireflycart::proxy {
namespace {

constexpr char kDatabase[] = "ledger";
constexpr char kPublicDatabase[] = "notices";
constexpr char kKey[] = "rbn4ryrbbkf83fgfwrz5";
constexpr char kOtherKey[] = "cc1xq0d8m4jw2h7p6ttv";
constexpr size_t kStateLimit = size_t{1} << 20;
const SessionNumber kSession(4);

class RecordingRouter : public StatementRouter {
 public:
  void Route(SessionNumber session, StatementCall call) override {
    (void)session;
    calls.push_back(std::move(call));
  }
  void RouteEndTransaction(const EndTransactionCall& call) override {
    ended.push_back(call);
  }
  void RouteCancelQueued(const CancelQueuedCall& call) override { (void)call; }
  const RouteTable& routes() const override { return table; }
  bool HasCurrentKeys() const override { return has_current_keys; }

  RouteTable table;
  bool has_current_keys = true;
  std::vector<StatementCall> calls;
  std::vector<EndTransactionCall> ended;
};

class SessionKeysTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SessionKeysTest);
  CPPUNIT_TEST(Start_KnownKey_AcceptedAndStatementNamesTenant);
  CPPUNIT_TEST(Start_UnknownKeyOrNone_Refused);
  CPPUNIT_TEST(Start_PublicRoute_NeedsNoKeyAndNamesNoTenant);
  CPPUNIT_TEST(Start_NoTenantsInConfiguration_NeedsNoKey);
  CPPUNIT_TEST(Start_EmptyListOfTenants_Refused);
  CPPUNIT_TEST(Start_BeforeRoutes_AuthenticatedWhenTheyCome);
  CPPUNIT_TEST(Statement_KeyRemovedWhileIdle_Refused);
  CPPUNIT_TEST(Statement_KeyRemovedInTransaction_RefusedAndTransactionEnded);
  CPPUNIT_TEST(Commit_KeyRemovedInTransaction_Refused);
  CPPUNIT_TEST(Rollback_KeyRemovedInTransaction_Done);
  CPPUNIT_TEST(Statement_KeyMovedInTransaction_RefusedAndTransactionEnded);
  CPPUNIT_TEST(Statement_KeyMovedWhileIdle_RunsForNewTenant);
  CPPUNIT_TEST(Statement_KeyReturned_Runs);
  CPPUNIT_TEST(Start_KeysOutOfDate_RefusedAsBusyExceptPublic);
  CPPUNIT_TEST(Statement_KeysOutOfDate_RefusedAsBusyUntilCurrent);
  CPPUNIT_TEST(Begin_KeysOutOfDate_StatementsBehindItAreNotRun);
  CPPUNIT_TEST(Commit_KeysOutOfDate_AbortsTransaction);
  CPPUNIT_TEST(Refusal_AnyKey_IsNotLogged);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    AddRoute(kDatabase, false);
    AddRoute(kPublicDatabase, true);
    SetTenants({{"acme", kKey}, {"other", kOtherKey}});
    context_.Begin(TimePoint::FromMillis(1000), &effects_);
  }

  void Start_KnownKey_AcceptedAndStatementNamesTenant() {
    CPPUNIT_ASSERT(Start(kDatabase, kKey) == Outcome::kDone);
    Send(StatementKind::kRead);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, router_.calls.size());
    CPPUNIT_ASSERT_EQUAL(TenantId("acme"), router_.calls[0].tenant);
  }

  void Start_UnknownKeyOrNone_Refused() {
    CPPUNIT_ASSERT(Start(kDatabase, "unknown") == Outcome::kNotAuthenticated);
    CPPUNIT_ASSERT(Start(kDatabase, "") == Outcome::kNotAuthenticated);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, sessions_.size());
  }

  void Start_PublicRoute_NeedsNoKeyAndNamesNoTenant() {
    for (const char* key : {"", "unknown", kKey}) {
      router_.calls.clear();
      CPPUNIT_ASSERT(Start(kPublicDatabase, key) == Outcome::kDone);
      Send(StatementKind::kRead);
      CPPUNIT_ASSERT_EQUAL(size_t{1}, router_.calls.size());
      CPPUNIT_ASSERT_EQUAL(TenantId(), router_.calls[0].tenant);
    }
  }

  void Start_NoTenantsInConfiguration_NeedsNoKey() {
    router_.table.has_tenants = false;
    router_.table.tenants = TenantDirectory();
    CPPUNIT_ASSERT(Start(kDatabase, "") == Outcome::kDone);
    Send(StatementKind::kRead);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, router_.calls.size());
    CPPUNIT_ASSERT_EQUAL(TenantId(), router_.calls[0].tenant);
  }

  void Start_EmptyListOfTenants_Refused() {
    SetTenants({});
    CPPUNIT_ASSERT(Start(kDatabase, kKey) == Outcome::kNotAuthenticated);
  }

  void Start_BeforeRoutes_AuthenticatedWhenTheyCome() {
    RouteTable table = router_.table;
    router_.table = RouteTable();
    const SessionNumber unknown(5);
    sessions_.OnStarted(kSession, kDatabase, KeyDigest::Of(kKey), &context_);
    sessions_.OnStarted(unknown, kDatabase, KeyDigest::Of("x"), &context_);
    CPPUNIT_ASSERT(effects_.empty());
    router_.table = table;
    sessions_.OnRoutes(&context_);
    std::map<SessionNumber, Outcome> greetings;
    for (const ProxyEffect& effect : effects_) {
      const auto* greeting = std::get_if<GreetCaller>(&effect);
      if (greeting != nullptr) greetings[greeting->session] = greeting->outcome;
    }
    CPPUNIT_ASSERT(greetings.at(kSession) == Outcome::kDone);
    CPPUNIT_ASSERT(greetings.at(unknown) == Outcome::kNotAuthenticated);
  }

  void Statement_KeyRemovedWhileIdle_Refused() {
    Start(kDatabase, kKey);
    Send(StatementKind::kRead);
    Reply();
    SetTenants({{"acme", "fresh"}});
    CPPUNIT_ASSERT(Send(StatementKind::kRead) == Outcome::kNotAuthenticated);
    CPPUNIT_ASSERT(Send(StatementKind::kBegin) == Outcome::kNotAuthenticated);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, router_.calls.size());
  }

  void Statement_KeyRemovedInTransaction_RefusedAndTransactionEnded() {
    StartTransaction();
    SetTenants({{"acme", "fresh"}});
    CPPUNIT_ASSERT(Send(StatementKind::kWrite) == Outcome::kNotAuthenticated);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, router_.calls.size());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, router_.ended.size());
    CPPUNIT_ASSERT(Send(StatementKind::kWrite) == Outcome::kBadRequest);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, router_.calls.size());
  }

  void Commit_KeyRemovedInTransaction_Refused() {
    StartTransaction();
    SetTenants({{"acme", "fresh"}});
    CPPUNIT_ASSERT(Send(StatementKind::kCommit) == Outcome::kNotAuthenticated);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, router_.calls.size());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, router_.ended.size());
  }

  void Rollback_KeyRemovedInTransaction_Done() {
    StartTransaction();
    SetTenants({{"acme", "fresh"}});
    CPPUNIT_ASSERT(Send(StatementKind::kRollback) == Outcome::kDone);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, router_.ended.size());
    CPPUNIT_ASSERT(Send(StatementKind::kRead) == Outcome::kNotAuthenticated);
  }

  // The transaction's connection is that of the tenant that began it.
  void Statement_KeyMovedInTransaction_RefusedAndTransactionEnded() {
    StartTransaction();
    SetTenants({{"acme", "fresh"}, {"other", kKey}});
    CPPUNIT_ASSERT(Send(StatementKind::kWrite) == Outcome::kNotAuthenticated);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, router_.calls.size());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, router_.ended.size());
  }

  void Statement_KeyMovedWhileIdle_RunsForNewTenant() {
    Start(kDatabase, kKey);
    SetTenants({{"acme", "fresh"}, {"other", kKey}});
    Send(StatementKind::kRead);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, router_.calls.size());
    CPPUNIT_ASSERT_EQUAL(TenantId("other"), router_.calls[0].tenant);
  }

  void Statement_KeyReturned_Runs() {
    Start(kDatabase, kKey);
    SetTenants({});
    CPPUNIT_ASSERT(Send(StatementKind::kRead) == Outcome::kNotAuthenticated);
    SetTenants({{"acme", kKey}});
    Send(StatementKind::kRead);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, router_.calls.size());
  }

  void Start_KeysOutOfDate_RefusedAsBusyExceptPublic() {
    router_.has_current_keys = false;
    CPPUNIT_ASSERT(Start(kDatabase, kKey) == Outcome::kBusy);
    CPPUNIT_ASSERT(Start(kPublicDatabase, "") == Outcome::kDone);
    router_.table.has_tenants = false;
    CPPUNIT_ASSERT(Start(kDatabase, "") == Outcome::kDone);
  }

  void Statement_KeysOutOfDate_RefusedAsBusyUntilCurrent() {
    Start(kDatabase, kKey);
    router_.has_current_keys = false;
    CPPUNIT_ASSERT(Send(StatementKind::kRead) == Outcome::kBusy);
    CPPUNIT_ASSERT(router_.calls.empty());
    router_.has_current_keys = true;
    Send(StatementKind::kRead);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, router_.calls.size());
  }

  // The caller may have sent the rest of the transaction already.
  void Begin_KeysOutOfDate_StatementsBehindItAreNotRun() {
    Start(kDatabase, kKey);
    router_.has_current_keys = false;
    CPPUNIT_ASSERT(Send(StatementKind::kBegin) == Outcome::kBusy);
    router_.has_current_keys = true;
    CPPUNIT_ASSERT(Send(StatementKind::kWrite) == Outcome::kBadRequest);
    CPPUNIT_ASSERT(Send(StatementKind::kRollback) == Outcome::kDone);
    CPPUNIT_ASSERT(router_.calls.empty());
    Send(StatementKind::kRead);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, router_.calls.size());
  }

  void Commit_KeysOutOfDate_AbortsTransaction() {
    StartTransaction();
    router_.has_current_keys = false;
    CPPUNIT_ASSERT(Send(StatementKind::kCommit) == Outcome::kAborted);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, router_.ended.size());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, router_.calls.size());
  }

  void Refusal_AnyKey_IsNotLogged() {
    Start(kDatabase, kKey);
    SetTenants({});
    Send(StatementKind::kRead);
    Start(kDatabase, kOtherKey);
    size_t records = 0;
    for (const ProxyEffect& effect : effects_) {
      const auto* record = std::get_if<WriteRecord>(&effect);
      if (record == nullptr) continue;
      records++;
      for (const LogField& field : record->fields) {
        for (const char* key : {kKey, kOtherKey}) {
          CPPUNIT_ASSERT(field.value.find(key) == std::string::npos);
          CPPUNIT_ASSERT(field.value.find(KeyDigest::Of(key).ToHex()) ==
                         std::string::npos);
        }
      }
    }
    CPPUNIT_ASSERT_EQUAL(size_t{2}, records);
  }

 private:
  void AddRoute(const std::string& database, bool is_public) {
    Route route;
    route.database = database;
    route.group = GroupId("ledger-group");
    route.timeout = Duration::Millis(800);
    route.is_public = is_public;
    router_.table.version = 1;
    router_.table.routes[database] = route;
  }

  void SetTenants(const std::vector<std::pair<std::string, std::string>>& all) {
    router_.table.version++;
    router_.table.has_tenants = true;
    router_.table.tenants = TenantDirectory();
    for (const auto& item : all) {
      TenantSpec spec;
      spec.id = TenantId(item.first);
      std::string problem;
      CPPUNIT_ASSERT(router_.table.tenants.Add(
          spec, {KeyDigest::Of(item.second)}, &problem));
    }
  }

  // The outcome of the greeting.
  Outcome Start(const std::string& database, const std::string& key) {
    KeyDigest digest = key.empty() ? KeyDigest() : KeyDigest::Of(key);
    sessions_.OnStarted(kSession, database, digest, &context_);
    return std::get<GreetCaller>(effects_.back()).outcome;
  }

  // The outcome of the answer, or kUnknown if the statement was routed.
  Outcome Send(StatementKind kind) {
    CallerStatement statement;
    statement.id = StatementId("s" + std::to_string(effects_.size()));
    statement.kind = kind;
    size_t before = effects_.size();
    sessions_.OnStatement(kSession, statement, &context_);
    for (size_t i = before; i < effects_.size(); i++) {
      const auto* answer = std::get_if<AnswerStatement>(&effects_[i]);
      if (answer != nullptr) return answer->answer.outcome;
    }
    return Outcome::kUnknown;
  }

  void Reply() {
    StatementReply reply;
    reply.outcome = Outcome::kDone;
    sessions_.OnReply(kSession, reply, &context_);
  }

  void StartTransaction() {
    CPPUNIT_ASSERT(Start(kDatabase, kKey) == Outcome::kDone);
    CPPUNIT_ASSERT(Send(StatementKind::kBegin) == Outcome::kDone);
    Send(StatementKind::kWrite);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, router_.calls.size());
    Reply();
  }

  ProxyContext context_{VmId("vm-0"), 1, 1};
  ProxyEffects effects_;
  RecordingRouter router_;
  SessionManager sessions_{&router_, kStateLimit};
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionKeysTest);

}  // namespace
}  // namespace fireflycart::proxy
