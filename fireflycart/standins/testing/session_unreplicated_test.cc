// Groups whose commits wait for no replica: a primary that was replaced goes on
// acknowledging its commits, so only the VMs can keep them from callers.

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>

#include "fireflycart/standins/testing/session_world.h"

namespace fireflycart::standins {
namespace {

// After this time all upstreams are established at every VM.
constexpr Duration kSettled = Duration::Seconds(6);
constexpr int kRuns = 6;
// How long before the change a VM is cut off.
constexpr Duration kCutBefore = Duration::Millis(2500);

class SessionUnreplicatedTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SessionUnreplicatedTest);
  CPPUNIT_TEST(NoFaults_AllConsistencies_NothingIsRefused);
  CPPUNIT_TEST(Primary_Leaving_NoLaterCommitIsPassedOn);
  CPPUNIT_TEST(Primary_LeavingWhileVmIsCutOff_NoLaterCommitIsPassedOn);
  CPPUNIT_TEST(Primary_LeavingAndThenItsSuccessor_NoLaterCommitIsPassedOn);
  CPPUNIT_TEST(Owner_EndsDuringChange_NoLaterCommitIsPassedOn);
  CPPUNIT_TEST(Owner_FrozenDuringChange_NoLaterCommitIsPassedOn);
  CPPUNIT_TEST(Primary_UnreachableFromOwnerOnly_NoLaterCommitIsPassedOn);
  CPPUNIT_TEST(Primary_ReturnsDuringFailover_NothingStaleWasRead);
  CPPUNIT_TEST(Primary_Crashes_WritesResume);
  CPPUNIT_TEST(Replica_Silent_WritesGoOn);
  CPPUNIT_TEST_SUITE_END();

 public:
  void NoFaults_AllConsistencies_NothingIsRefused() {
    MakeWorld(1, SessionWorldOptions());
    world_->Run(kSettled);
    CPPUNIT_ASSERT(world_->counts().done > 500);
    CPPUNIT_ASSERT_EQUAL(0, world_->counts().refused);
    CPPUNIT_ASSERT_EQUAL(0, world_->counts().unknown);
    ExpectInvariantsHold();
  }

  // Guards against commits of the old primary that the owner passed on between
  // the promotion and the successor's next status.
  void Primary_Leaving_NoLaterCommitIsPassedOn() {
    for (int run = 0; run < kRuns; run++) {
      MakeWorld(run, OnlyWrites());
      world_->Run(kSettled + OffsetOf(run));
      world_->ResetGaps();
      UpstreamId old = world_->primary();
      world_->Drain(old);
      world_->Run(Duration::Seconds(4));
      CPPUNIT_ASSERT(world_->primary() != old);
      ExpectInvariantsHold();
      // The successor received all that was passed on.
      CPPUNIT_ASSERT_EQUAL(int64_t{0}, world_->rolled_back());
      // Service objective: less than 100 ms, and the callers' pauses.
      CPPUNIT_ASSERT(world_->counts().write_gap <= 200);
    }
  }

  // Guards against commits that a VM passes on which takes itself for the owner
  // and has no part in the change.
  void Primary_LeavingWhileVmIsCutOff_NoLaterCommitIsPassedOn() {
    for (int vm = 0; vm < 3; vm++) {
      for (int run = 0; run < kRuns; run++) {
        MakeWorld(run, OnlyWrites());
        world_->Run(kSettled + OffsetOf(run));
        CutFromOtherVms(vm);
        world_->Run(kCutBefore);
        UpstreamId old = world_->primary();
        world_->Drain(old);
        world_->Run(Duration::Seconds(5));
        CPPUNIT_ASSERT(world_->primary() != old);
        world_->HealAll();
        world_->Run(Duration::Seconds(2));
        ExpectInvariantsHold();
      }
    }
  }

  void Primary_LeavingAndThenItsSuccessor_NoLaterCommitIsPassedOn() {
    for (int run = 0; run < kRuns; run++) {
      MakeWorld(run, OnlyWrites());
      world_->Run(kSettled + OffsetOf(run));
      for (int change = 0; change < 2; change++) {
        UpstreamId old = world_->primary();
        world_->Drain(old);
        world_->Run(Duration::Seconds(4));
        CPPUNIT_ASSERT(world_->primary() != old);
        world_->Register(old, false);
      }
      ExpectInvariantsHold();
      CPPUNIT_ASSERT_EQUAL(int64_t{0}, world_->rolled_back());
    }
  }

  // The VM that ordered the promotion is killed or stops, at any time of the
  // change.
  void Owner_EndsDuringChange_NoLaterCommitIsPassedOn() {
    for (int step = 0; step < 20; step++) {
      for (bool is_killed : {true, false}) {
        MakeWorld(step, OnlyWrites());
        world_->Run(kSettled);
        UpstreamId old = world_->primary();
        int owner = std::stoi(world_->owner().value().substr(3));
        world_->Drain(old);
        world_->Run(Duration::Millis(50) * static_cast<int64_t>(step));
        if (is_killed) {
          world_->KillVm(owner);
        } else {
          world_->StopVm(owner);
        }
        world_->Run(Duration::Seconds(10));
        CPPUNIT_ASSERT(world_->primary() != old);
        ExpectInvariantsHold();
      }
    }
  }

  void Owner_FrozenDuringChange_NoLaterCommitIsPassedOn() {
    for (int step = 0; step < 20; step++) {
      MakeWorld(step, OnlyWrites());
      world_->Run(kSettled);
      int owner = std::stoi(world_->owner().value().substr(3));
      world_->Drain(world_->primary());
      world_->Run(Duration::Millis(50) * static_cast<int64_t>(step));
      world_->FreezeVm(
          owner, Duration::Millis(200) +
                     Duration::Millis(300) * static_cast<int64_t>(step % 5));
      world_->Run(Duration::Seconds(8));
      ExpectInvariantsHold();
    }
  }

  // Guards against commits of a primary that only its owner takes for lost.
  void Primary_UnreachableFromOwnerOnly_NoLaterCommitIsPassedOn() {
    for (int run = 0; run < kRuns; run++) {
      MakeWorld(run, OnlyWrites());
      world_->Run(kSettled + OffsetOf(run));
      UpstreamId old = world_->primary();
      std::string owner = world_->owner().value();
      // The other VMs lose the owner as well, and use the old primary.
      for (const char* vm : {"vm-0", "vm-1", "vm-2"}) {
        if (vm != owner) world_->Cut(owner, vm);
      }
      world_->Run(kCutBefore);
      world_->Cut(owner, old.value());
      world_->Run(Duration::Seconds(6));
      world_->HealAll();
      world_->Run(Duration::Seconds(3));
      ExpectInvariantsHold();
    }
  }

  // Guards against reads at a held replica that lacks commits of the primary,
  // which goes on leading in the end.
  void Primary_ReturnsDuringFailover_NothingStaleWasRead() {
    for (int run = 0; run < kRuns; run++) {
      MakeWorld(run, SessionWorldOptions());
      world_->Run(kSettled + OffsetOf(run));
      world_->RefusePromotions(true);
      UpstreamId old = world_->primary();
      world_->CutPrimaryFromReplicas();
      world_->Run(Duration::Millis(300));
      for (const char* vm : {"vm-0", "vm-1", "vm-2"}) {
        world_->CutFor(vm, old.value(), Duration::Millis(1500));
      }
      world_->Run(Duration::Seconds(2));
      world_->HealAll();
      world_->Run(Duration::Seconds(1));
      CPPUNIT_ASSERT(world_->primary() == old);
      ExpectInvariantsHold();
    }
  }

  void Primary_Crashes_WritesResume() {
    MakeWorld(1, SessionWorldOptions());
    world_->Run(kSettled);
    world_->ResetGaps();
    UpstreamId old = world_->primary();
    world_->CrashUpstream(old);
    world_->Run(Duration::Seconds(3));
    CPPUNIT_ASSERT(world_->primary() != old);
    // Service objective: the promotion time and 500 ms.
    CPPUNIT_ASSERT(world_->counts().write_gap <=
                   DatabaseOptions().promote_time.millis() + 500);
    world_->RestartUpstream(old);
    world_->Run(Duration::Seconds(2));
    ExpectInvariantsHold();
  }

  // One replica suffices to show that the primary leads.
  void Replica_Silent_WritesGoOn() {
    MakeWorld(1, OnlyWrites());
    world_->Run(kSettled);
    world_->ResetGaps();
    std::string replica =
        world_->primary() == UpstreamId("up-c") ? "up-b" : "up-c";
    for (const char* vm : {"vm-0", "vm-1", "vm-2"}) world_->Cut(vm, replica);
    world_->Run(Duration::Seconds(3));
    CPPUNIT_ASSERT(world_->counts().write_gap <= 200);
    ExpectInvariantsHold();
  }

 private:
  static SessionWorldOptions OnlyWrites() {
    SessionWorldOptions options;
    options.only_writes = true;
    return options;
  }

  // Runs differ in when the change begins.
  static Duration OffsetOf(int run) {
    return Duration::Millis(17) * static_cast<int64_t>(run);
  }

  void MakeWorld(int run, SessionWorldOptions options) {
    options.database.sync_replicas = 0;
    world_ =
        std::make_unique<SessionWorld>(options, static_cast<uint64_t>(run + 1));
  }

  void CutFromOtherVms(int vm) {
    for (int other = 0; other < 3; other++) {
      if (other == vm) continue;
      world_->Cut("vm-" + std::to_string(vm), "vm-" + std::to_string(other));
    }
  }

  void ExpectInvariantsHold() {
    world_->CheckEffects();
    CPPUNIT_ASSERT_EQUAL(std::string(), world_->problem());
    CPPUNIT_ASSERT(world_->counts().done > 0);
  }

  std::unique_ptr<SessionWorld> world_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionUnreplicatedTest);

}  // namespace
}  // namespace fireflycart::standins
