// Tests of the commands that prepare a connection for a statement, and of what
// the pool knows of a connection after answers.

#include "fireflycart/core/proxy/upstream_pool.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string>
#include <vector>

namespace fireflycart::proxy {
namespace {

const UpstreamId kUpstream("up-a");
constexpr int kMaxConnections = 16;

StatementCall Execute(bool writes, const std::string& shape) {
  StatementCall call;
  call.is_prepared = true;
  call.prepared = PreparedShape{writes, shape};
  call.text = "1a4";
  return call;
}

class UpstreamPoolTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UpstreamPoolTest);
  CPPUNIT_TEST(SetUpCommands_ShapeWithBlanks_NameIsOneWord);
  CPPUNIT_TEST(SetUpCommands_ManyShapes_NamesDiffer);
  CPPUNIT_TEST(SetUpCommands_AfterReset_NamesAreNotUsedAgain);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    UpstreamRecord record;
    record.id = kUpstream;
    record.address = "127.0.0.1:7001";
    pool_.SetMaxConnections(kMaxConnections);
    context_.Begin(TimePoint::FromMillis(1000), &effects_);
    pool_.SetRecords({record}, &context_);
    Take();
    const auto& opened = std::get<OpenUpstream>(effects_.back());
    pool_.OnOpened(opened.connection, LogPosition(), &context_);
    connection_ = Take();
    CPPUNIT_ASSERT(connection_ != nullptr);
  }

  void SetUpCommands_ShapeWithBlanks_NameIsOneWord() {
    for (const char* shape : {"q 2c", "q  ", "READ q", "q2c WRITE", "a b c"}) {
      std::string name = NameOf(Execute(false, shape));
      CPPUNIT_ASSERT_MESSAGE(name, !name.empty());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::string::npos, name.find(' '));
    }
  }

  void SetUpCommands_ManyShapes_NamesDiffer() {
    std::set<std::string> names;
    for (bool writes : {false, true}) {
      for (const char* shape : {"q", "q ", "q 2c", "q2c", "w_q"}) {
        names.insert(NameOf(Execute(writes, shape)));
      }
    }
    CPPUNIT_ASSERT_EQUAL(size_t{10}, names.size());
  }

  // A reset that the upstream has not performed leaves earlier names in place.
  void SetUpCommands_AfterReset_NamesAreNotUsedAgain() {
    std::string earlier = NameOf(Execute(false, "q"));
    StatementCall call = Execute(false, "r");
    connection_->values["surplus"] = "1";
    std::vector<UpstreamCommand> commands =
        UpstreamPool::SetUpCommands(connection_, call);
    CPPUNIT_ASSERT(CommandKind::kReset == commands.front().kind);
    CPPUNIT_ASSERT(CommandKind::kPrepare == commands.back().kind);
    CPPUNIT_ASSERT(earlier != commands.back().name);
  }

 private:
  PooledConnection* Take() {
    return pool_.Take(kUpstream, TenantId(), {}, &context_);
  }

  // The name under which the statement is prepared; it is executed by the same.
  std::string NameOf(const StatementCall& call) {
    std::vector<UpstreamCommand> commands =
        UpstreamPool::SetUpCommands(connection_, call);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, commands.size());
    CPPUNIT_ASSERT(CommandKind::kPrepare == commands.front().kind);
    std::string name = commands.front().name;
    UpstreamCommand execute;
    execute.kind = CommandKind::kExecute;
    execute.prepared = call.prepared;
    commands.push_back(execute);
    pool_.Send(connection_, commands, StatementNumber(1), &context_);
    const auto& sent = std::get<SendUpstream>(effects_.back());
    CPPUNIT_ASSERT_EQUAL(name, sent.commands.back().name);
    return name;
  }

  ProxyEffects effects_;
  ProxyContext context_{VmId("vm-1"), 1, 1};
  UpstreamPool pool_{GroupId("ledger")};
  PooledConnection* connection_ = nullptr;
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamPoolTest);

}  // namespace
}  // namespace fireflycart::proxy
