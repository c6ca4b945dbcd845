// Stops VMs as planned while their callers go on, in virtual time, and checks
// that each statement that a VM has read is answered.

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

#include "fireflycart/standins/testing/session_world.h"

namespace fireflycart::standins {
namespace {

constexpr uint64_t kSeed = 23;
constexpr int kVms = 3;
// The platform ends a process this long after SIGTERM.
constexpr Duration kGrace = Duration::Seconds(6);
// A VM that is busy ends its transactions later than this, and exits.
constexpr Duration kShortlyBeforeExit = Duration::Millis(4400);

class SessionStopTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SessionStopTest);
  CPPUNIT_TEST(Vm_StopsWhileCallersAreMostlyIdle_LateStatementsAreAnswered);
  CPPUNIT_TEST(Vm_StopsDuringLongTransactions_EveryStatementIsAnswered);
  CPPUNIT_TEST(Vm_StopsWhileUpstreamsAreSlow_EveryStatementIsAnswered);
  CPPUNIT_TEST(Vm_ClosesIdleSessions_CrossingStatementsAreRefused);
  CPPUNIT_TEST(Owner_StopsWithFullQueue_WritesOfOtherVmsMove);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A session that is neither idle nor busy when the VM closes sessions: its
  // caller has connected or set a value, and sends a statement much later.
  void Vm_StopsWhileCallersAreMostlyIdle_LateStatementsAreAnswered() {
    SessionWorldOptions options;
    options.callers = 60;
    options.pause = Duration::Millis(900);
    options.statement_pause = Duration::Millis(700);
    options.database.statement_time = Duration::Millis(120);
    MakeWorld(options);
    StopEachVm();
    ExpectInvariantsHold();
  }

  void Vm_StopsDuringLongTransactions_EveryStatementIsAnswered() {
    SessionWorldOptions options;
    options.callers = 60;
    options.only_writes = true;
    options.statement_pause = Duration::Millis(40);
    options.database.statement_time = Duration::Millis(900);
    MakeWorld(options);
    StopEachVm();
    ExpectInvariantsHold();
  }

  // Statements take longer than the rest of the stop.
  void Vm_StopsWhileUpstreamsAreSlow_EveryStatementIsAnswered() {
    SessionWorldOptions options;
    options.callers = 60;
    options.timeout = Duration::Seconds(8);
    options.database.statement_time = Duration::Millis(4000);
    MakeWorld(options);
    StopEachVm();
    ExpectInvariantsHold();
  }

  // The message that closes a session and a statement pass each other.
  void Vm_ClosesIdleSessions_CrossingStatementsAreRefused() {
    SessionWorldOptions options;
    options.callers = 100;
    options.caller_latency = Duration::Millis(3);
    MakeWorld(options);
    StopEachVm();
    CPPUNIT_ASSERT_EQUAL(0, world_->counts().unknown);
    ExpectInvariantsHold();
  }

  // Nothing that still waits in the queue of an owner has run, so it can move
  // to the next owner.
  void Owner_StopsWithFullQueue_WritesOfOtherVmsMove() {
    SessionWorldOptions options;
    options.callers = 150;
    options.only_writes = true;
    options.timeout = Duration::Seconds(8);
    options.database.slots = 2;
    options.database.statement_time = Duration::Millis(100);
    MakeWorld(options);
    world_->Run(Duration::Seconds(3));
    int owner = world_->owner().value().back() - '0';
    world_->ResetCounts();
    world_->TakeLog();
    world_->StopVm(owner);
    world_->Run(kShortlyBeforeExit);
    auto transactions = static_cast<int>(
        world_->vm(owner)->FindOwner(GroupId("ledger"))->open_transactions());
    world_->Run(kGrace - kShortlyBeforeExit);
    CPPUNIT_ASSERT(world_->HasExited(owner));
    int in_transactions = 0;
    for (const std::string& line : world_->TakeLog()) {
      bool is_unknown =
          line.find("entry.statement_failed") != std::string::npos &&
          line.find("outcome=unknown") != std::string::npos;
      bool is_inside = line.find("in_transaction=yes") != std::string::npos;
      if (is_unknown && is_inside) in_transactions++;
    }
    // At most what the two slots of the primary were running, and one statement
    // of each transaction that had begun there.
    int outside = world_->counts().unknown - in_transactions;
    CPPUNIT_ASSERT(outside <= options.database.slots);
    CPPUNIT_ASSERT(in_transactions <= transactions);
    ExpectInvariantsHold();
  }

 private:
  void MakeWorld(const SessionWorldOptions& options) {
    world_ = std::make_unique<SessionWorld>(options, kSeed);
    // No other VM is ready, so the load balancer uses those that are stopping.
    world_->IgnoreReadiness();
  }

  void StopEachVm() {
    world_->Run(Duration::Seconds(2));
    for (int vm = 0; vm < kVms; vm++) {
      world_->StopVm(vm);
      world_->Run(kGrace);
      CPPUNIT_ASSERT(world_->HasExited(vm));
      world_->StartVm(vm);
      world_->Run(Duration::Seconds(1));
    }
  }

  void ExpectInvariantsHold() {
    world_->PauseCallers(true);
    world_->Run(Duration::Seconds(10));
    world_->CheckEffects();
    if (!world_->problem().empty()) {
      for (const std::string& line : world_->TakeLog()) {
        bool is_stop = line.find("node.") != std::string::npos ||
                       line.find("unanswered") != std::string::npos ||
                       line.find("dropped") != std::string::npos;
        if (is_stop) std::cerr << line << "\n";
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), world_->problem());
  }

  std::unique_ptr<SessionWorld> world_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionStopTest);

}  // namespace
}  // namespace fireflycart::standins
