// Upstreams refuse what prepares a connection, keep a transaction that was to
// be rolled back, or end one on their own. Nothing may run there that no caller
// sent, nor with other values, nor in another transaction.

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>

#include "fireflycart/standins/testing/session_world.h"

namespace fireflycart::standins {
namespace {

constexpr uint64_t kSeed = 7;

class SessionUnaskedTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SessionUnaskedTest);
  CPPUNIT_TEST(Shapes_WithBlanks_RunAsPrepared);
  CPPUNIT_TEST(SetUp_Refused_StatementBehindItDoesNotRun);
  CPPUNIT_TEST(SetUp_RefusedToReader_ReadBehindItDoesNotRun);
  CPPUNIT_TEST(Rollback_Refused_TransactionIsNotPassedOn);
  CPPUNIT_TEST(Rollback_Refused_ConnectionIsNotLeftOpen);
  CPPUNIT_TEST(SetUp_NeverAnswered_WriteIsRefused);
  CPPUNIT_TEST(Transaction_EndedByUpstream_RestOfItDoesNotRun);
  CPPUNIT_TEST(Transaction_EndedAndConnectionBroken_WriteIsNotRefused);
  CPPUNIT_TEST(Transaction_EndedAndAnswerLost_WriteIsNotRefused);
  CPPUNIT_TEST(Transaction_EndedWhileOwnerStalls_WriteIsNotRefused);
  CPPUNIT_TEST(Transaction_EndedAndOwnerKilled_WriteIsNotRefused);
  CPPUNIT_TEST(Transaction_GivenUpWhileOwnerStalls_IsEndedAlone);
  CPPUNIT_TEST(Statement_RefusedInUnexpectedState_IsRepeated);
  CPPUNIT_TEST(SetUp_RefusedForSeconds_ServiceResumes);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { MakeWorld(SessionWorldOptions()); }

  void Shapes_WithBlanks_RunAsPrepared() {
    world_->Run(Duration::Seconds(2));
    CPPUNIT_ASSERT_EQUAL(0, world_->counts().refused);
    ExpectNothingUnasked();
  }

  void SetUp_Refused_StatementBehindItDoesNotRun() {
    RefuseSetUps();
    ExpectNothingUnasked();
  }

  void SetUp_RefusedToReader_ReadBehindItDoesNotRun() {
    SessionWorldOptions options;
    options.data_centres = 3;
    options.proxy.set_reads_nearby(true);
    options.mixed_consistencies = false;
    options.consistency = proxy::ReadConsistency::kBoundedStaleness;
    MakeWorld(options);
    RefuseSetUps();
    ExpectNothingUnasked();
  }

  void Rollback_Refused_TransactionIsNotPassedOn() {
    for (int i = 0; i < 20; i++) {
      world_->database().RefuseRollbacks(2);
      world_->Run(Duration::Millis(200));
    }
    ExpectNothingUnasked();
  }

  // Its state is known not to be idle, so it would be neither used nor closed.
  void Rollback_Refused_ConnectionIsNotLeftOpen() {
    for (int i = 0; i < 20; i++) {
      world_->database().RefuseRollbacks(2);
      world_->Run(Duration::Millis(200));
    }
    world_->database().RefuseRollbacks(0);
    ExpectNothingLeft();
  }

  // The connections to the primary go silent, and some of them while they are
  // set up: what waits behind these has not been sent.
  void SetUp_NeverAnswered_WriteIsRefused() {
    int refused = 0;
    for (int i = 0; i < 60; i++) {
      for (int vm = 0; vm < 3; vm++) {
        world_->MuteConnections(vm, world_->primary());
      }
      world_->Run(Duration::Millis(1500));
      for (const std::string& line : world_->TakeLog()) {
        if (line.find("set_up_timeout") == std::string::npos) continue;
        CPPUNIT_ASSERT_MESSAGE(line, line.find("busy") != std::string::npos);
        refused++;
      }
    }
    world_->Run(Duration::Seconds(4));
    CPPUNIT_ASSERT(refused > 0);
    world_->CheckEffects();
    CPPUNIT_ASSERT_EQUAL(std::string(), world_->problem());
  }

  void Transaction_EndedByUpstream_RestOfItDoesNotRun() {
    for (int i = 0; i < 200; i++) {
      world_->database().EndTransactions();
      world_->Run(Duration::Millis(20));
    }
    ExpectNothingUnasked();
  }

  // The write ran alone and was committed; no answer said so.
  void Transaction_EndedAndConnectionBroken_WriteIsNotRefused() {
    for (int i = 0; i < 200; i++) {
      world_->database().EndTransactions();
      world_->database().BreakAnswers(1);
      world_->Run(Duration::Millis(20));
    }
    world_->Run(Duration::Seconds(2));
    ExpectNothingUnasked();
  }

  void Transaction_EndedAndAnswerLost_WriteIsNotRefused() {
    for (int i = 0; i < 200; i++) {
      world_->database().EndTransactions();
      world_->database().LoseAnswers(1);
      world_->Run(Duration::Millis(20));
    }
    world_->Run(Duration::Seconds(4));
    ExpectNothingUnasked();
  }

  // The owner sends the write on when it goes on; by then the VM of its session
  // has given the call up.
  void Transaction_EndedWhileOwnerStalls_WriteIsNotRefused() {
    for (int i = 0; i < 10; i++) {
      world_->FreezeVm(OwnerIndex(), Duration::Millis(1400));
      world_->Run(Duration::Millis(700));
      world_->database().EndTransactions();
      world_->Run(Duration::Millis(2300));
    }
    world_->Run(Duration::Seconds(4));
    ExpectNothingUnasked();
  }

  void Transaction_EndedAndOwnerKilled_WriteIsNotRefused() {
    for (int i = 0; i < 40; i++) {
      int owner = OwnerIndex();
      world_->database().EndTransactions();
      world_->Run(Duration::Millis(2 + i % 4));
      world_->KillVm(owner);
      world_->Run(Duration::Millis(300));
      world_->StartVm(owner);
      world_->Run(Duration::Millis(1700));
    }
    ExpectNothingUnasked();
  }

  // The owner begins them when it resumes, and their callers do not end them.
  void Transaction_GivenUpWhileOwnerStalls_IsEndedAlone() {
    int ended = 0;
    for (int i = 0; i < 12; i++) {
      world_->FreezeVm(OwnerIndex(), Duration::Millis(1400));
      world_->Run(Duration::Millis(3000));
      for (const std::string& line : world_->TakeLog()) {
        if (line.find("idle_transaction_ended") != std::string::npos) ended++;
      }
    }
    CPPUNIT_ASSERT(ended > 0);
    ExpectNothingUnasked();
    ExpectNothingLeft();
  }

  void Statement_RefusedInUnexpectedState_IsRepeated() {
    world_->database().ReportFailedStates();
    for (int i = 0; i < 40; i++) {
      world_->database().RefuseBusy(2);
      world_->Run(Duration::Millis(50));
    }
    CPPUNIT_ASSERT_EQUAL(0, world_->counts().unknown);
    ExpectNothingUnasked();
  }

  // Nothing is left of the set-ups that were refused for so long.
  void SetUp_RefusedForSeconds_ServiceResumes() {
    world_->database().RefuseSetUp(1000000);
    world_->Run(Duration::Seconds(2));
    world_->database().RefuseSetUp(0);
    world_->Run(Duration::Seconds(1));
    int before = world_->counts().done;
    world_->Run(Duration::Seconds(2));
    CPPUNIT_ASSERT(world_->counts().done - before > 100);
    ExpectNothingUnasked();
    ExpectNothingLeft();
  }

 private:
  int OwnerIndex() const {
    std::string owner = world_->owner().value();
    return owner.empty() ? 0 : owner.back() - '0';
  }

  void ExpectNothingLeft() {
    world_->PauseCallers(true);
    world_->Run(Duration::Seconds(4));
    for (int vm = 0; vm < 3; vm++) {
      proxy::ProxyGauges gauges = world_->vm(vm)->gauges();
      CPPUNIT_ASSERT_EQUAL(int64_t{0}, gauges.connections.pinned);
      CPPUNIT_ASSERT_EQUAL(int64_t{0}, gauges.connections.busy);
      CPPUNIT_ASSERT_EQUAL(int64_t{0}, gauges.owner_statements);
    }
  }

  void MakeWorld(SessionWorldOptions options) {
    options.prepares = true;
    // What arrives in one write has run before its first answer is read.
    options.database.statement_time = Duration();
    world_ = std::make_unique<SessionWorld>(options, kSeed);
    world_->Run(Duration::Seconds(3));
  }

  void RefuseSetUps() {
    for (int i = 0; i < 20; i++) {
      world_->database().RefuseSetUp(3);
      world_->Run(Duration::Millis(200));
    }
    // None waits for a connection that was closed.
    CPPUNIT_ASSERT_EQUAL(0, world_->counts().unknown);
  }

  void ExpectNothingUnasked() {
    world_->CheckEffects();
    CPPUNIT_ASSERT_EQUAL(std::string(), world_->problem());
    CPPUNIT_ASSERT(world_->counts().writes > 100);
  }

  std::unique_ptr<SessionWorld> world_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionUnaskedTest);

}  // namespace
}  // namespace fireflycart::standins
