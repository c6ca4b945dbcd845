// Injects single failures into the simulated prepared platform in virtual time
// and checks that service resumes in time and no invariant is violated.

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <iostream>
#include <string>
#include <vector>

#include "fireflycart/standins/testing/session_world.h"

namespace fireflycart::standins {
namespace {

constexpr uint64_t kSeed = 7;
// Service objective: after the loss of a primary, the write gap is at most the
// promotion time plus this.
constexpr int64_t kMaxDetectionMs = 500;
// Users require that a configuration is in force within this time.
constexpr Duration kApplyTime = Duration::Seconds(3);
// How far the copy lies back from which the store is restored.
constexpr Duration kCopyAge = Duration::Seconds(9);
constexpr Duration kOutage = Duration::Seconds(2);

class SessionFailureTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SessionFailureTest);
  CPPUNIT_TEST(NoFaults_AllConsistencies_NothingIsRefused);
  CPPUNIT_TEST(Primary_Crashes_WritesResumeAndNothingIsLost);
  CPPUNIT_TEST(Primary_Crashes_StrongReadsResumeAtTheSuccessor);
  CPPUNIT_TEST(Primary_Isolated_WritesResumeAndNothingIsLost);
  CPPUNIT_TEST(Primary_CutFromReplicasAndHalfTheVms_NoStaleRead);
  CPPUNIT_TEST(Primary_Leaving_IsReplacedWithShortWriteGap);
  CPPUNIT_TEST(Primary_LeavingWhileSuccessorLags_NothingIsLost);
  CPPUNIT_TEST(Primary_CutFromReplicasOnly_IsReplaced);
  CPPUNIT_TEST(Primary_LostWhileReplicaLeaves_RemainingReplicaIsPromoted);
  CPPUNIT_TEST(Primary_LeavingAndNotReplaceable_StopsReceivingWrites);
  CPPUNIT_TEST(Primary_LeavingWhileOwnerChanges_KeepsItsLimit);
  CPPUNIT_TEST(Primary_LeavingWhileAllVmsRestart_ReceivesNoWrites);
  CPPUNIT_TEST(Primary_LeavingBeforeVmsStart_ReceivesNoWrites);
  CPPUNIT_TEST(Primary_UnregisteredAndNotReplaceable_StopsReceivingWrites);
  CPPUNIT_TEST(Primary_Unregistered_IsReplacedWithShortWriteGap);
  CPPUNIT_TEST(Primary_RegisteredAgainInTime_IsKept);
  CPPUNIT_TEST(Replicas_FarBehind_ReadsAreServedWithinMaxAge);
  CPPUNIT_TEST(Primary_RestartsBeforePromotion_ReplicasResume);
  CPPUNIT_TEST(Primary_UnreachableFromOwnerOnly_WritesResume);
  CPPUNIT_TEST(Owner_Killed_AnotherVmTakesOver);
  CPPUNIT_TEST(Owner_FrozenPastFailover_ResumesSafely);
  CPPUNIT_TEST(Owner_Stops_SessionsAreClosedBetweenOperations);
  CPPUNIT_TEST(Vm_StopsWhileCallersStillConnect_NoStatementIsInterrupted);
  CPPUNIT_TEST(Vms_CutFromOwner_ContinueServing);
  CPPUNIT_TEST(AllVms_KilledAtOnce_ServiceResumes);
  CPPUNIT_TEST(AllVms_RestartWhileStoreRefusesSome_ServiceResumesOnAll);
  CPPUNIT_TEST(Store_DownWhilePrimaryCrashes_OldTokenIsUsed);
  CPPUNIT_TEST(Owner_CutFromVmsAndStoreAsPrimaryCrashes_KeepsOldToken);
  CPPUNIT_TEST(Owner_TakenForLostWhileStoreRefusesIt_KeepsOldToken);
  CPPUNIT_TEST(Owner_CutFromStoreAndOneVm_NoLowerTokenFollows);
  CPPUNIT_TEST(Store_HistoryLost_AllRoutesAreReadAgain);
  CPPUNIT_TEST(Store_AnswersLost_DutyLeaseIsReadAgain);
  CPPUNIT_TEST(Store_RestoredFromOldCopy_ConfirmedRoutesStayInForce);
  CPPUNIT_TEST(Store_RestoredFromOldCopy_LeavingUpstreamIsNoticed);
  CPPUNIT_TEST(Store_RestoredAndVersionsReused_ChangesAreNotMissed);
  CPPUNIT_TEST(Store_RestoredFromOldCopy_LeavingUpstreamKeepsItsLimit);
  CPPUNIT_TEST(Store_RestoredFromOldCopy_VmsAnnounceThemselvesAgain);
  CPPUNIT_TEST(Store_RestoredFromOldCopy_TokensGrow);
  CPPUNIT_TEST(Vm_CutFromStore_ReceivesRoutesFromPeers);
  CPPUNIT_TEST(StoreReaders_AllCutFromStore_RoutesArriveInTime);
  CPPUNIT_TEST(Replicas_FarBehind_ReadsAreNotSentThere);
  CPPUNIT_TEST(Upstream_RepeatedlyBusy_StatementIsServedWithinTimeout);
  CPPUNIT_TEST(Replica_RecreatedEmpty_IsNotPromoted);
  CPPUNIT_TEST(HeldReplica_RestartsBeforePromotionTakesEffect_NoCommitIsLost);
  CPPUNIT_TEST(HeldReplica_RestartsDuringPlannedChange_NoCommitIsLost);
  CPPUNIT_TEST(Vm_DoesNotKnowNewPrimary_ReadsNothingStale);
  CPPUNIT_TEST(Vm_CommitsThroughUnknownSuccessor_ReadsNothingStale);
  CPPUNIT_TEST(Vm_DoesNotKnowEstablishedSuccessor_ReadsNothingStale);
  CPPUNIT_TEST(Successor_LeavesDuringPlannedChange_NoCommitIsLost);
  CPPUNIT_TEST(Successor_CrashesDuringPlannedChange_NoCommitIsLost);
  CPPUNIT_TEST(Replica_RestartsWhilePromotionIsRefused_NoCommitIsLost);
  CPPUNIT_TEST(Replica_JoinsDuringPromotion_NoCommitIsLost);
  CPPUNIT_TEST(Replica_LeavesDuringPromotion_NoCommitIsLost);
  CPPUNIT_TEST(Replica_RestartsDuringPromotionOfOtherVm_NoCommitIsLost);
  CPPUNIT_TEST(AllReplicas_YoungOrLeaving_WritesAreServed);
  CPPUNIT_TEST(LongestLog_EntryMissingDuringFailover_NoCommitIsLost);
  CPPUNIT_TEST(LongestLog_UpstreamEndsBeforePromotion_NoCommitIsLost);
  CPPUNIT_TEST(OrderToResume_OnClosedConnection_NoCommitIsLost);
  CPPUNIT_TEST(OrderToResume_OfFrozenVm_NoCommitIsLost);
  CPPUNIT_TEST(HeldReplica_OutOfReach_LeaseIsNotRewritten);
  CPPUNIT_TEST(Replicas_HeldAsStoreGoesAndVmIsDead_AreResumed);
  CPPUNIT_TEST(Answers_Lost_NothingRunsTwice);
  CPPUNIT_TEST(Connections_BreakBeforeAnswers_NothingRunsTwiceAndRefusalsHold);
  CPPUNIT_TEST(Owner_KilledRepeatedly_WritesRunAtMostOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { MakeWorld(SessionWorldOptions()); }

  void NoFaults_AllConsistencies_NothingIsRefused() {
    world_->Run(Duration::Seconds(5));
    CPPUNIT_ASSERT(world_->counts().done > 500);
    CPPUNIT_ASSERT_EQUAL(0, world_->counts().refused);
    CPPUNIT_ASSERT_EQUAL(0, world_->counts().unknown);
    ExpectInvariantsHold();
  }

  void Primary_Crashes_WritesResumeAndNothingIsLost() {
    world_->Run(Duration::Seconds(3));
    world_->ResetGaps();
    UpstreamId old = world_->primary();
    world_->CrashUpstream(old);
    world_->Run(Duration::Seconds(3));
    CPPUNIT_ASSERT(world_->primary() != old);
    CPPUNIT_ASSERT_EQUAL(1, world_->promotions());
    ExpectWriteGapAtMost(PromoteMs() + kMaxDetectionMs);
    // Service objective: reads of all consistencies resume within 500 ms.
    CPPUNIT_ASSERT(world_->counts().read_gap <= 500);
    world_->RestartUpstream(old);
    world_->Run(Duration::Seconds(2));
    ExpectInvariantsHold();
  }

  void Primary_Crashes_StrongReadsResumeAtTheSuccessor() {
    SessionWorldOptions options;
    options.mixed_consistencies = false;
    options.consistency = proxy::ReadConsistency::kStrong;
    options.callers = 40;
    options.database.promote_time = Duration::Millis(1500);
    MakeWorld(options);
    world_->Run(Duration::Seconds(3));
    world_->ResetGaps();
    world_->CrashUpstream(world_->primary());
    world_->Run(Duration::Seconds(3));
    std::string message = std::to_string(world_->counts().read_gap) + " ms";
    CPPUNIT_ASSERT_MESSAGE(message, world_->counts().read_gap <= 500);
    ExpectInvariantsHold();
  }

  void Primary_Isolated_WritesResumeAndNothingIsLost() {
    world_->Run(Duration::Seconds(3));
    world_->ResetGaps();
    UpstreamId old = world_->primary();
    IsolateEndpoint(old.value());
    world_->Run(Duration::Seconds(4));
    CPPUNIT_ASSERT(world_->primary() != old);
    ExpectWriteGapAtMost(PromoteMs() + 2 * kMaxDetectionMs);
    world_->HealAll();
    world_->Run(Duration::Seconds(3));
    ExpectInvariantsHold();
  }

  // The partition has the old primary and one VM on one side, and the owner,
  // the replicas and the other VM on the other.
  void Primary_CutFromReplicasAndHalfTheVms_NoStaleRead() {
    world_->Run(Duration::Seconds(3));
    UpstreamId old = world_->primary();
    std::string owner = world_->owner().value();
    std::string isolated_vm = owner == "vm-0" ? "vm-1" : "vm-0";
    for (const char* vm : {"vm-0", "vm-1", "vm-2"}) {
      if (vm != isolated_vm) world_->Cut(vm, isolated_vm);
      if (vm != isolated_vm) world_->Cut(vm, old.value());
    }
    for (const char* upstream : {"up-a", "up-b", "up-c"}) {
      if (upstream == old.value()) continue;
      world_->Cut(upstream, old.value());
      world_->Cut(upstream, isolated_vm);
    }
    world_->Run(Duration::Seconds(5));
    CPPUNIT_ASSERT(world_->promotions() >= 1);
    world_->HealAll();
    world_->Run(Duration::Seconds(3));
    ExpectInvariantsHold();
  }

  void Primary_Leaving_IsReplacedWithShortWriteGap() {
    world_->Run(Duration::Seconds(3));
    world_->ResetGaps();
    UpstreamId old = world_->primary();
    world_->Drain(old);
    world_->Run(Duration::Seconds(3));
    CPPUNIT_ASSERT(world_->primary() != old);
    // Service objective: less than 100 ms in total, not counting the callers'
    // own pauses.
    ExpectWriteGapAtMost(200);
    ExpectInvariantsHold();
  }

  // The replica status by which the successor is selected may be one status
  // period old, so a replica that has just fallen behind may still look
  // current.
  void Primary_LeavingWhileSuccessorLags_NothingIsLost() {
    for (int offset_ms = 0; offset_ms < 200; offset_ms += 20) {
      MakeWorld(SessionWorldOptions());
      world_->Run(Duration::Millis(3000 + offset_ms));
      UpstreamId old = world_->primary();
      world_->Cut("up-b", old.value());
      world_->Run(Duration::Millis(80));
      world_->Drain(old);
      world_->Run(Duration::Seconds(4));
      CPPUNIT_ASSERT_EQUAL(UpstreamId("up-c"), world_->primary());
      world_->HealAll();
      world_->Run(Duration::Seconds(1));
      ExpectInvariantsHold();
    }
  }

  void Primary_CutFromReplicasOnly_IsReplaced() {
    world_->Run(Duration::Seconds(3));
    UpstreamId old = world_->primary();
    world_->ResetGaps();
    world_->CutPrimaryFromReplicas();
    world_->Run(Duration::Seconds(4));
    CPPUNIT_ASSERT(world_->promotions() >= 1);
    ExpectWriteGapAtMost(PromoteMs() + 2 * kMaxDetectionMs);
    world_->HealAll();
    world_->Run(Duration::Seconds(3));
    ExpectInvariantsHold();
  }

  void Primary_LostWhileReplicaLeaves_RemainingReplicaIsPromoted() {
    SessionWorldOptions options;
    options.pause = Duration::Millis(60);
    MakeWorld(options);
    world_->Run(Duration::Seconds(3));
    world_->Drain(UpstreamId("up-b"));
    world_->Run(Duration::Seconds(2));
    // No commit is in progress, so both replicas have received the same log.
    world_->PauseCallers(true);
    world_->Run(Duration::Millis(1500));
    world_->CrashUpstream(world_->primary());
    world_->PauseCallers(false);
    world_->Run(Duration::Seconds(3));
    CPPUNIT_ASSERT_EQUAL(UpstreamId("up-c"), world_->primary());
    ExpectInvariantsHold();
  }

  void Primary_LeavingAndNotReplaceable_StopsReceivingWrites() {
    world_->Run(Duration::Seconds(3));
    CutFromPromotion();
    world_->Drain(world_->primary());
    world_->Run(Duration::Seconds(5));
    int before = world_->counts().writes;
    CPPUNIT_ASSERT(before > 0);
    world_->Run(Duration::Seconds(2));
    int writes_at_limit = world_->counts().writes;
    world_->Run(Duration::Seconds(2));
    CPPUNIT_ASSERT_EQUAL(writes_at_limit, world_->counts().writes);
  }

  // Review case 5: the next owner has never owned the group.
  void Primary_LeavingWhileOwnerChanges_KeepsItsLimit() {
    world_->Run(Duration::Seconds(3));
    int owner = IndexOf(world_->owner());
    for (int vm = 0; vm < 3; vm++) {
      if (vm == owner) continue;
      world_->KillVm(vm);
      world_->StartVm(vm);
    }
    world_->Run(Duration::Seconds(2));
    CPPUNIT_ASSERT_EQUAL(owner, IndexOf(world_->owner()));
    CutFromPromotion();
    world_->Drain(world_->primary());
    world_->Run(Duration::Seconds(3));
    world_->KillVm(owner);
    world_->Run(Duration::Seconds(3));
    int writes_at_limit = world_->counts().writes;
    world_->Run(Duration::Seconds(3));
    CPPUNIT_ASSERT_EQUAL(writes_at_limit, world_->counts().writes);
  }

  // Nobody knows for how long it has been leaving.
  void Primary_LeavingWhileAllVmsRestart_ReceivesNoWrites() {
    world_->Run(Duration::Seconds(3));
    CutFromPromotion();
    world_->Drain(world_->primary());
    world_->Run(Duration::Seconds(5));
    for (int vm = 0; vm < 3; vm++) world_->KillVm(vm);
    world_->Run(Duration::Millis(100));
    int writes = world_->counts().writes;
    for (int vm = 0; vm < 3; vm++) world_->StartVm(vm);
    world_->Run(Duration::Seconds(4));
    CPPUNIT_ASSERT_EQUAL(writes, world_->counts().writes);
  }

  // The clock of the VMs is near zero.
  void Primary_LeavingBeforeVmsStart_ReceivesNoWrites() {
    CutFromPromotion();
    world_->Drain(world_->primary());
    world_->Run(Duration::Seconds(3));
    CPPUNIT_ASSERT_EQUAL(0, world_->counts().writes);
  }

  void Primary_UnregisteredAndNotReplaceable_StopsReceivingWrites() {
    world_->Run(Duration::Seconds(3));
    CutFromPromotion();
    world_->Unregister(world_->primary());
    world_->Run(Duration::Seconds(7));
    int writes_at_limit = world_->counts().writes;
    world_->Run(Duration::Seconds(2));
    CPPUNIT_ASSERT_EQUAL(writes_at_limit, world_->counts().writes);
  }

  void Primary_Unregistered_IsReplacedWithShortWriteGap() {
    world_->Run(Duration::Seconds(3));
    UpstreamId old = world_->primary();
    world_->ResetGaps();
    world_->Unregister(old);
    world_->Run(Duration::Seconds(5));
    CPPUNIT_ASSERT(world_->primary() != old);
    ExpectWriteGapAtMost(200);
    ExpectInvariantsHold();
  }

  void Primary_RegisteredAgainInTime_IsKept() {
    world_->Run(Duration::Seconds(3));
    UpstreamId old = world_->primary();
    world_->Unregister(old);
    world_->Run(Duration::Millis(1800));
    world_->Register(old, false);
    world_->Run(Duration::Seconds(4));
    CPPUNIT_ASSERT_EQUAL(0, world_->promotions());
    ExpectInvariantsHold();
  }

  void Replicas_FarBehind_ReadsAreServedWithinMaxAge() {
    world_->Run(Duration::Seconds(2));
    world_->database().SetApplyLag(Duration::Millis(3000));
    int refused = world_->counts().refused;
    world_->ResetGaps();
    world_->Run(Duration::Seconds(5));
    CPPUNIT_ASSERT(world_->counts().refused - refused < 10);
    CPPUNIT_ASSERT(world_->counts().read_gap <= 500);
    ExpectInvariantsHold();
  }

  void Primary_RestartsBeforePromotion_ReplicasResume() {
    world_->Run(Duration::Seconds(3));
    UpstreamId old = world_->primary();
    std::string owner = world_->owner().value();
    // One replica does not answer, so the promotion cannot be requested.
    world_->Cut(owner, "up-c");
    world_->CrashUpstream(old);
    world_->Run(Duration::Millis(1500));
    CPPUNIT_ASSERT_EQUAL(0, world_->promotions());
    world_->RestartUpstream(old);
    world_->Run(Duration::Millis(1500));
    CPPUNIT_ASSERT_EQUAL(uint64_t{0},
                         world_->database().held_term(UpstreamId("up-b")));
    world_->ResetGaps();
    world_->Run(Duration::Seconds(1));
    CPPUNIT_ASSERT(world_->counts().write_gap < 500);
    world_->HealAll();
    ExpectInvariantsHold();
  }

  void Primary_UnreachableFromOwnerOnly_WritesResume() {
    world_->Run(Duration::Seconds(3));
    world_->Cut(world_->owner().value(), world_->primary().value());
    world_->ResetGaps();
    world_->Run(Duration::Seconds(4));
    ExpectWriteGapAtMost(PromoteMs() + 2 * kMaxDetectionMs);
    world_->HealAll();
    world_->Run(Duration::Seconds(2));
    ExpectInvariantsHold();
  }

  void Owner_Killed_AnotherVmTakesOver() {
    world_->Run(Duration::Seconds(3));
    world_->ResetGaps();
    int owner = IndexOf(world_->owner());
    world_->KillVm(owner);
    world_->Run(Duration::Seconds(2));
    CPPUNIT_ASSERT(world_->owner() != VmId("vm-" + std::to_string(owner)));
    ExpectWriteGapAtMost(kMaxDetectionMs);
    world_->StartVm(owner);
    world_->Run(Duration::Seconds(2));
    ExpectInvariantsHold();
  }

  void Owner_FrozenPastFailover_ResumesSafely() {
    world_->Run(Duration::Seconds(3));
    int owner = IndexOf(world_->owner());
    world_->FreezeVm(owner, Duration::Seconds(4));
    world_->Run(Duration::Millis(800));
    world_->CrashUpstream(world_->primary());
    world_->Run(Duration::Seconds(6));
    CPPUNIT_ASSERT(world_->promotions() >= 1);
    ExpectInvariantsHold();
  }

  void Owner_Stops_SessionsAreClosedBetweenOperations() {
    world_->Run(Duration::Seconds(3));
    int unknown_before = world_->counts().unknown;
    int owner = IndexOf(world_->owner());
    world_->StopVm(owner);
    world_->Run(Duration::Millis(3500));
    CPPUNIT_ASSERT(world_->HasExited(owner));
    CPPUNIT_ASSERT_EQUAL(unknown_before, world_->counts().unknown);
    ExpectInvariantsHold();
  }

  void Vm_StopsWhileCallersStillConnect_NoStatementIsInterrupted() {
    world_->IgnoreReadiness();
    world_->Run(Duration::Seconds(2));
    for (int vm = 0; vm < 3; vm++) {
      world_->StopVm(vm);
      world_->Run(Duration::Seconds(6));
      CPPUNIT_ASSERT(world_->HasExited(vm));
      world_->StartVm(vm);
      world_->Run(Duration::Millis(500));
    }
    ExpectInvariantsHold();
  }

  void Vms_CutFromOwner_ContinueServing() {
    world_->Run(Duration::Seconds(3));
    std::string owner = world_->owner().value();
    for (const char* vm : {"vm-0", "vm-1", "vm-2"}) {
      if (vm != owner) world_->Cut(vm, owner);
    }
    world_->Run(Duration::Seconds(1));
    world_->ResetGaps();
    int refused = world_->counts().refused;
    world_->Run(Duration::Seconds(3));
    CPPUNIT_ASSERT(world_->counts().write_gap < 300);
    CPPUNIT_ASSERT(world_->counts().refused - refused < 20);
    world_->HealAll();
    world_->Run(Duration::Seconds(1));
    ExpectInvariantsHold();
  }

  void AllVms_KilledAtOnce_ServiceResumes() {
    world_->Run(Duration::Seconds(3));
    for (int vm = 0; vm < 3; vm++) world_->KillVm(vm);
    world_->Run(Duration::Millis(500));
    for (int vm = 0; vm < 3; vm++) world_->StartVm(vm);
    world_->Run(Duration::Seconds(1));
    world_->ResetGaps();
    world_->Run(Duration::Seconds(2));
    CPPUNIT_ASSERT(world_->counts().write_gap < 500);
    ExpectInvariantsHold();
  }

  // The VMs that the store refuses know no address of a peer after a restart,
  // and must neither own groups nor leave their callers without routes.
  void AllVms_RestartWhileStoreRefusesSome_ServiceResumesOnAll() {
    SessionWorldOptions options;
    options.vms = 6;
    MakeWorld(options);
    world_->Run(Duration::Seconds(3));
    for (int vm = 0; vm < options.vms; vm++) world_->KillVm(vm);
    world_->Run(Duration::Millis(500));
    for (const char* vm : {"vm-1", "vm-4"}) world_->Cut(vm, "store");
    for (int vm = 0; vm < options.vms; vm++) world_->StartVm(vm);
    world_->Run(Duration::Millis(300));
    world_->TakeLog();
    world_->ResetGaps();
    world_->Run(Duration::Seconds(2));
    for (int vm = 0; vm < options.vms; vm++) {
      CPPUNIT_ASSERT_EQUAL(uint64_t{2},
                           world_->vm(vm)->gauges().routes_version);
    }
    for (const std::string& line : world_->TakeLog()) {
      CPPUNIT_ASSERT_MESSAGE(line,
                             line.find("fleet.vm_lost") == std::string::npos);
    }
    CPPUNIT_ASSERT(world_->counts().write_gap < 500);
    ExpectInvariantsHold();
  }

  void Store_DownWhilePrimaryCrashes_OldTokenIsUsed() {
    world_->Run(Duration::Seconds(4));
    for (const char* vm : {"vm-0", "vm-1", "vm-2"}) world_->Cut(vm, "store");
    world_->Run(Duration::Millis(500));
    world_->ResetGaps();
    world_->CrashUpstream(world_->primary());
    world_->Run(Duration::Seconds(4));
    CPPUNIT_ASSERT_EQUAL(1, world_->promotions());
    ExpectWriteGapAtMost(PromoteMs() + 2 * kMaxDetectionMs);
    world_->HealAll();
    world_->Run(Duration::Seconds(2));
    ExpectInvariantsHold();
  }

  void Owner_CutFromVmsAndStoreAsPrimaryCrashes_KeepsOldToken() {
    for (int delay_ms : {0, 300, 600}) {
      MakeWorld(options_);
      world_->Run(Duration::Seconds(3));
      std::string owner = world_->owner().value();
      for (const char* other : {"vm-0", "vm-1", "vm-2", "store"}) {
        if (other != owner) world_->Cut(owner, other);
      }
      world_->Run(Duration::Millis(delay_ms));
      world_->CrashUpstream(world_->primary());
      world_->Run(Duration::Seconds(3));
      CPPUNIT_ASSERT(world_->promotions() >= 1);
      world_->HealAll();
      world_->Run(Duration::Seconds(1));
      ExpectInvariantsHold();
    }
  }

  // The store refuses the owner alone. Another VM takes the owner for lost,
  // gets a new token and replaces the primary; the owner sees all VMs answer.
  void Owner_TakenForLostWhileStoreRefusesIt_KeepsOldToken() {
    for (int freeze_ms : {350, 450, 550, 700, 900}) {
      SessionWorldOptions options;
      options.vms = 4;
      options.database.promote_time = Duration::Millis(1500);
      MakeWorld(options);
      world_->Run(Duration::Seconds(4));
      VmId owner = world_->owner();
      world_->Cut(owner.value(), "store");
      world_->Run(Duration::Millis(500));
      world_->FreezeVm(IndexOf(owner), Duration::Millis(freeze_ms));
      world_->CrashUpstream(world_->primary());
      world_->Run(Duration::Seconds(5));
      world_->HealAll();
      world_->Run(Duration::Seconds(1));
      ExpectInvariantsHold();
    }
  }

  // One VM takes the owner for lost and gets a newer token, without the owner
  // or its contacts knowing.
  void Owner_CutFromStoreAndOneVm_NoLowerTokenFollows() {
    SessionWorldOptions options;
    options.vms = 10;
    options.database.promote_time = Duration::Millis(1000);
    int promotions = 0;
    for (int other = 0; other < options.vms; other++) {
      MakeWorld(options);
      world_->Run(Duration::Seconds(4));
      VmId owner = world_->owner();
      if (other == IndexOf(owner)) continue;
      world_->Cut(owner.value(), "store");
      world_->Cut(owner.value(), "vm-" + std::to_string(other));
      world_->Run(Duration::Seconds(2));
      world_->CrashUpstream(world_->primary());
      world_->Run(Duration::Seconds(5));
      world_->HealAll();
      world_->Run(Duration::Seconds(4));
      promotions += world_->promotions();
      ExpectInvariantsHold();
    }
    CPPUNIT_ASSERT(promotions > 0);
  }

  void Store_HistoryLost_AllRoutesAreReadAgain() {
    world_->Run(Duration::Seconds(2));
    for (const char* vm : {"vm-0", "vm-1", "vm-2"}) world_->Cut(vm, "store");
    world_->SetRoutes(9, Duration::Millis(900));
    world_->store().Compact();
    world_->Run(Duration::Seconds(1));
    world_->HealAll();
    world_->Run(Duration::Seconds(6));
    for (int vm = 0; vm < 3; vm++) {
      CPPUNIT_ASSERT_EQUAL(uint64_t{9},
                           world_->vm(vm)->gauges().routes_version);
    }
    ExpectInvariantsHold();
  }

  void Store_AnswersLost_DutyLeaseIsReadAgain() {
    world_->Run(Duration::Seconds(3));
    world_->LoseStoreAnswers(3);
    world_->CrashUpstream(world_->primary());
    world_->Run(Duration::Seconds(4));
    CPPUNIT_ASSERT_EQUAL(1, world_->promotions());
    ExpectInvariantsHold();
  }

  void Store_RestoredFromOldCopy_ConfirmedRoutesStayInForce() {
    world_->Run(Duration::Seconds(5));
    world_->SetRoutes(9, Duration::Millis(900));
    world_->Run(Duration::Seconds(4));
    world_->RestoreStore(kCopyAge, kOutage);
    for (int i = 0; i < 10; i++) {
      world_->Run(Duration::Seconds(1));
      ExpectRoutesInForce(9);
    }
    world_->SetRoutes(12, Duration::Millis(900));
    world_->Run(kApplyTime);
    ExpectRoutesInForce(12);
    ExpectInvariantsHold();
  }

  void Store_RestoredFromOldCopy_LeavingUpstreamIsNoticed() {
    world_->Run(Duration::Seconds(9));
    WriteManyVersions();
    world_->Run(Duration::Seconds(1));
    world_->RestoreStore(kCopyAge, kOutage);
    world_->Run(kOutage + SessionWorld::kRewriteTime);
    UpstreamId old = world_->primary();
    world_->Drain(old);
    world_->Run(Duration::Seconds(4));
    CPPUNIT_ASSERT(world_->primary() != old);
    ExpectInvariantsHold();
  }

  // The counter has passed the versions that are followed before a VM calls
  // the store again, so no call is answered with "history lost".
  void Store_RestoredAndVersionsReused_ChangesAreNotMissed() {
    world_->Run(Duration::Seconds(9));
    WriteManyVersions();
    // All tables are followed from there.
    world_->Run(Duration::Seconds(5));
    world_->RestoreStore(kCopyAge, kOutage);
    world_->Run(kOutage);
    world_->SetRoutes(9, Duration::Millis(900));
    WriteManyVersions();
    WriteManyVersions();
    world_->Run(kApplyTime);
    ExpectRoutesInForce(9);
    ExpectInvariantsHold();
  }

  void Store_RestoredFromOldCopy_LeavingUpstreamKeepsItsLimit() {
    world_->Run(Duration::Seconds(6));
    for (const char* vm : {"vm-0", "vm-1", "vm-2"}) {
      world_->Cut(vm, "promotion");
    }
    world_->Drain(world_->primary());
    world_->Run(Duration::Seconds(1));
    world_->RestoreStore(Duration::Seconds(4), Duration::Seconds(1));
    world_->Run(Duration::Seconds(6));
    int writes_at_limit = world_->counts().writes;
    CPPUNIT_ASSERT(writes_at_limit > 0);
    world_->Run(Duration::Seconds(2));
    CPPUNIT_ASSERT_EQUAL(writes_at_limit, world_->counts().writes);
  }

  // All VMs have started after the moment of the copy.
  void Store_RestoredFromOldCopy_VmsAnnounceThemselvesAgain() {
    world_->Run(Duration::Seconds(5));
    world_->TakeLog();
    world_->RestoreStore(Duration::Millis(5500), kOutage);
    world_->Run(Duration::Seconds(12));
    for (int vm = 0; vm < 3; vm++) ExpectKnowsAllVms(vm);
    int restarted = IndexOf(world_->owner()) == 0 ? 1 : 0;
    world_->KillVm(restarted);
    world_->StartVm(restarted);
    world_->Run(Duration::Seconds(1));
    ExpectKnowsAllVms(restarted);
    ExpectInvariantsHold();
  }

  void Store_RestoredFromOldCopy_TokensGrow() {
    world_->Run(Duration::Seconds(4));
    WriteManyVersions();
    UpstreamId first = world_->primary();
    world_->CrashUpstream(first);
    world_->Run(Duration::Seconds(3));
    CPPUNIT_ASSERT_EQUAL(1, world_->promotions());
    world_->RestartUpstream(first);
    world_->RestoreStore(Duration::Seconds(4), Duration::Seconds(1));
    world_->Run(Duration::Seconds(6));
    world_->CrashUpstream(world_->primary());
    world_->Run(Duration::Seconds(5));
    CPPUNIT_ASSERT_EQUAL(2, world_->promotions());
    ExpectInvariantsHold();
  }

  void Vm_CutFromStore_ReceivesRoutesFromPeers() {
    world_->Run(Duration::Seconds(2));
    world_->Cut("vm-1", "store");
    world_->SetRoutes(9, Duration::Millis(900));
    world_->Run(Duration::Seconds(3));
    CPPUNIT_ASSERT_EQUAL(uint64_t{9}, world_->vm(1)->gauges().routes_version);
    ExpectInvariantsHold();
  }

  void StoreReaders_AllCutFromStore_RoutesArriveInTime() {
    SessionWorldOptions options;
    options.vms = 8;
    for (int delay_ms : {0, 700, 1500, 2300, 3100, 3900}) {
      MakeWorld(options);
      world_->Run(Duration::Millis(6000 + delay_ms));
      for (int i = 0; i < options.vms; i++) {
        if (!world_->vm(i)->gauges().follows_store) continue;
        world_->Cut("vm-" + std::to_string(i), "store");
      }
      world_->SetRoutes(9, Duration::Millis(900));
      // Users require that a configuration is in force within 3 s.
      world_->Run(Duration::Seconds(3));
      for (int i = 0; i < options.vms; i++) {
        CPPUNIT_ASSERT_EQUAL(uint64_t{9},
                             world_->vm(i)->gauges().routes_version);
      }
    }
  }

  void Replicas_FarBehind_ReadsAreNotSentThere() {
    world_->Run(Duration::Seconds(2));
    world_->database().SetApplyLag(Duration::Millis(2500));
    // The VMs need this time to detect the lag.
    world_->Run(Duration::Seconds(3));
    int done = world_->counts().done;
    int behind = world_->database().behind_answers();
    world_->Run(Duration::Seconds(4));
    CPPUNIT_ASSERT(world_->counts().done - done > 400);
    CPPUNIT_ASSERT_EQUAL(0, world_->counts().refused);
    int refused_as_behind = world_->database().behind_answers() - behind;
    CPPUNIT_ASSERT(refused_as_behind * 50 < world_->counts().done - done);
    ExpectInvariantsHold();
  }

  void Upstream_RepeatedlyBusy_StatementIsServedWithinTimeout() {
    SessionWorldOptions options;
    options.callers = 1;
    options.mixed_consistencies = false;
    MakeWorld(options);
    world_->Run(Duration::Seconds(2));
    for (int i = 0; i < 20; i++) {
      world_->database().RefuseBusy(9);
      world_->Run(Duration::Millis(400));
    }
    CPPUNIT_ASSERT_EQUAL(0, world_->counts().refused);
    ExpectInvariantsHold();
  }

  void Replica_RecreatedEmpty_IsNotPromoted() {
    world_->Run(Duration::Seconds(3));
    UpstreamId old = world_->primary();
    UpstreamId recreated("up-c");
    world_->Cut(recreated.value(), old.value());
    world_->Cut(recreated.value(), "up-b");
    world_->CrashUpstream(recreated);
    world_->database().Rebirth(recreated);
    world_->Run(Duration::Millis(300));
    world_->CrashUpstream(old);
    world_->Run(Duration::Seconds(3));
    CPPUNIT_ASSERT_EQUAL(UpstreamId("up-b"), world_->primary());
    world_->HealAll();
    world_->Run(Duration::Seconds(1));
    ExpectInvariantsHold();
  }

  // A restart ends the hold, so the old primary can acknowledge again through
  // that replica while the successor, which lacks the commit, takes over.
  void HeldReplica_RestartsBeforePromotionTakesEffect_NoCommitIsLost() {
    world_->Run(Duration::Seconds(3));
    UpstreamId old = world_->primary();
    world_->CutPrimaryFromReplicas();
    RunUntilLogged("failover.promotion_ordered");
    RestartReplicaNextTo(old, "up-c");
    world_->Run(Duration::Seconds(2));
    CPPUNIT_ASSERT_EQUAL(UpstreamId("up-b"), world_->primary());
    world_->HealAll();
    world_->Run(Duration::Seconds(1));
    ExpectInvariantsHold();
  }

  void HeldReplica_RestartsDuringPlannedChange_NoCommitIsLost() {
    world_->Run(Duration::Seconds(3));
    UpstreamId old = world_->primary();
    world_->Drain(old);
    RunUntilLogged("failover.promotion_ordered");
    // The successor receives nothing from now on.
    world_->Cut(old.value(), "up-b");
    RestartReplicaNextTo(old, "up-c");
    world_->Run(Duration::Seconds(2));
    CPPUNIT_ASSERT_EQUAL(UpstreamId("up-b"), world_->primary());
    world_->HealAll();
    world_->Run(Duration::Seconds(1));
    ExpectInvariantsHold();
  }

  // The old primary and the replica that the VM knows follow the new primary,
  // which started while the VM was cut off.
  void Vm_DoesNotKnowNewPrimary_ReadsNothingStale() {
    SessionWorldOptions options;
    options.mixed_consistencies = false;
    options.consistency = proxy::ReadConsistency::kStrong;
    MakeWorld(options);
    world_->Unregister(UpstreamId("up-c"));
    world_->Run(Duration::Seconds(5));
    for (const char* other : {"store", "vm-1", "vm-2"}) {
      world_->Cut("vm-0", other);
    }
    world_->Run(Duration::Seconds(1));
    UpstreamId old = world_->primary();
    world_->Register(UpstreamId("up-c"), false);
    world_->Drain(UpstreamId("up-b"));
    world_->Drain(old);
    world_->Run(Duration::Seconds(2));
    world_->database().SetApplyLag(Duration::Millis(400));
    world_->Run(Duration::Seconds(3));
    CPPUNIT_ASSERT_EQUAL(std::string("up-c"), world_->primary().value());
    CPPUNIT_ASSERT_EQUAL(std::string(), world_->problem());
    world_->HealAll();
    world_->Run(Duration::Seconds(3));
    ExpectInvariantsHold();
  }

  // Review case 4: until the successor leads, the old primary acknowledges the
  // commits of the VM through it.
  void Vm_CommitsThroughUnknownSuccessor_ReadsNothingStale() {
    for (int offset_ms : {0, 50, 100, 150}) {
      MakeStrongReadWorld();
      world_->Unregister(UpstreamId("up-c"));
      world_->Run(Duration::Millis(5000 + offset_ms));
      for (const char* other : {"store", "vm-1", "vm-2"}) {
        world_->Cut("vm-0", other);
      }
      world_->Run(Duration::Millis(500));
      UpstreamId old = world_->primary();
      world_->Register(UpstreamId("up-c"), false);
      world_->Drain(UpstreamId("up-b"));
      world_->Drain(old);
      world_->Run(Duration::Seconds(2));
      CPPUNIT_ASSERT_EQUAL(std::string("up-c"), world_->primary().value());
      CPPUNIT_ASSERT_EQUAL(std::string(), world_->problem());
    }
  }

  // A replica that the VM knows is held, and one that it does not know takes
  // over. Commits at the new primary do not wait for the old one.
  void Vm_DoesNotKnowEstablishedSuccessor_ReadsNothingStale() {
    MakeStrongReadWorld();
    world_->Unregister(UpstreamId("up-c"));
    world_->Run(Duration::Seconds(3));
    for (const char* other : {"store", "vm-1", "vm-2"}) {
      world_->Cut("vm-0", other);
    }
    UpstreamId old = world_->primary();
    world_->Register(UpstreamId("up-c"), false);
    world_->Run(Duration::Seconds(9));
    // The owner chooses the replica that has received more.
    world_->Cut(old.value(), "up-b");
    world_->Run(Duration::Millis(300));
    world_->Drain(old);
    RunUntilLogged("failover.promotion_ordered");
    world_->Heal(old.value(), "up-b");
    world_->Run(Duration::Seconds(2));
    CPPUNIT_ASSERT_EQUAL(std::string("up-c"), world_->primary().value());
    CPPUNIT_ASSERT_EQUAL(std::string(), world_->problem());
  }

  // Commits are acknowledged through the first successor alone until it leaves.
  void Successor_LeavesDuringPlannedChange_NoCommitIsLost() {
    LoseSuccessorDuringPlannedChange(
        [this](const UpstreamId& id) { world_->Drain(id); });
  }

  void Successor_CrashesDuringPlannedChange_NoCommitIsLost() {
    LoseSuccessorDuringPlannedChange([this](const UpstreamId& id) {
      world_->CrashUpstream(id);
      world_->Unregister(id);
    });
  }

  // The restarted replica acknowledges commits until it is held again. The
  // successor, which receives nothing meanwhile, lacks them.
  void Replica_RestartsWhilePromotionIsRefused_NoCommitIsLost() {
    world_->Run(Duration::Seconds(2));
    UpstreamId old = world_->primary();
    world_->RefusePromotions(true);
    world_->Drain(old);
    world_->Run(Duration::Seconds(1));
    CPPUNIT_ASSERT_EQUAL(UpstreamId("up-b"), world_->last_successor());
    world_->Cut(old.value(), "up-b");
    RestartReplicaNextTo(old, "up-c");
    world_->Run(Duration::Millis(300));
    world_->RefusePromotions(false);
    world_->Run(Duration::Seconds(3));
    world_->HealAll();
    world_->Run(Duration::Seconds(4));
    CPPUNIT_ASSERT(world_->primary() != old);
    ExpectInvariantsHold();
  }

  // Review case 1: the joining replica acknowledges commits of the old primary,
  // which a VM on its side passes on.
  void Replica_JoinsDuringPromotion_NoCommitIsLost() {
    UpstreamId joining("up-c");
    world_->CrashUpstream(joining);
    world_->Unregister(joining);
    world_->Run(Duration::Seconds(10));
    SplitWithVm(world_->owner().value(), {"up-b"});
    RunUntilLogged("failover.promotion_ordered");
    world_->ReplaceUpstream(joining);
    CutOtherVmsFrom("up-c");
    world_->Run(Duration::Seconds(2));
    CPPUNIT_ASSERT_EQUAL(std::string("up-b"), world_->primary().value());
    world_->HealAll();
    world_->Run(Duration::Seconds(2));
    ExpectInvariantsHold();
  }

  // The leaving replica alone acknowledges commits, is to be promoted, and ends
  // before it leads.
  void Replica_LeavesDuringPromotion_NoCommitIsLost() {
    UpstreamId leaving("up-b");
    world_->Run(Duration::Seconds(10));
    world_->Drain(leaving);
    world_->Run(Duration::Seconds(3));
    SplitWithVm(world_->owner().value(), {"up-c"});
    RunUntilLogged("failover.promotion_ordered");
    world_->CrashUpstream(leaving);
    world_->Unregister(leaving);
    world_->Run(Duration::Seconds(6));
    CPPUNIT_ASSERT_EQUAL(std::string("up-c"), world_->primary().value());
    world_->HealAll();
    world_->Run(Duration::Seconds(2));
    ExpectInvariantsHold();
  }

  // A restart ends the hold of another VM, so that the replica acknowledges
  // commits of the old primary again.
  void Replica_RestartsDuringPromotionOfOtherVm_NoCommitIsLost() {
    UpstreamId restarted("up-c");
    world_->Run(Duration::Seconds(10));
    SplitWithVm("vm-0", {"up-b", "up-c"});
    RunUntilLogged("failover.promotion_ordered");
    CutOtherVmsFrom("up-c");
    RestartReplicaNextTo(world_->primary(), restarted.value());
    world_->Run(Duration::Seconds(2));
    CPPUNIT_ASSERT_EQUAL(std::string("up-b"), world_->primary().value());
    world_->HealAll();
    world_->Run(Duration::Seconds(2));
    ExpectInvariantsHold();
  }

  // The store may remove the entry of an upstream that is alive.
  void LongestLog_EntryMissingDuringFailover_NoCommitIsLost() {
    world_->Run(Duration::Seconds(10));
    UpstreamId old = world_->primary();
    world_->Cut(old.value(), "up-c");
    world_->Run(Duration::Millis(500));
    world_->Unregister(UpstreamId("up-b"));
    LosePrimaryAndOwner();
    world_->Run(Duration::Seconds(2));
    world_->Register(UpstreamId("up-b"), false);
    world_->Run(Duration::Seconds(2));
    world_->HealAll();
    world_->Run(Duration::Seconds(2));
    ExpectInvariantsHold();
    CPPUNIT_ASSERT_EQUAL(std::string("up-b"), world_->primary().value());
  }

  // The upstream that ends was held, but its log is out of reach now.
  void LongestLog_UpstreamEndsBeforePromotion_NoCommitIsLost() {
    UpstreamId ahead("up-b");
    world_->Run(Duration::Seconds(10));
    UpstreamId old = world_->primary();
    world_->Cut(old.value(), "up-c");
    world_->Run(Duration::Millis(500));
    LosePrimaryAndOwner();
    RunUntilLogged("failover.promotion_ordered");
    for (const char* vm : {"vm-0", "vm-1", "vm-2"}) world_->Cut(vm, "up-b");
    world_->CrashUpstream(ahead);
    world_->Run(Duration::Seconds(2));
    world_->HealAll();
    world_->RestartUpstream(ahead);
    world_->Run(Duration::Seconds(6));
    ExpectInvariantsHold();
  }

  // The VM that held the replicas before closes the connection on which its
  // order waits.
  void OrderToResume_OnClosedConnection_NoCommitIsLost() {
    GiveUpFailoverWithOrderOnItsWay();
    RunUntilLogged("failover.promotion_ordered");
    DeliverOrderToResume();
    world_->Run(Duration::Seconds(2));
    CPPUNIT_ASSERT_EQUAL(std::string("up-c"), world_->primary().value());
    ExpectTakeover();
  }

  // That VM is frozen, so the connection stays open, and what is on its way
  // arrives within the time that the upstream's transport allows.
  void OrderToResume_OfFrozenVm_NoCommitIsLost() {
    GiveUpFailoverWithOrderOnItsWay();
    world_->FreezeVm(IndexOf(first_holder_), Duration::Seconds(10));
    world_->Run(Duration::Millis(1400));
    DeliverOrderToResume();
    world_->Run(Duration::Seconds(3));
    ExpectTakeover();
  }

  void HeldReplica_OutOfReach_LeaseIsNotRewritten() {
    constexpr int kMaxGrants = 4;
    world_->Run(Duration::Seconds(10));
    UpstreamId old = world_->primary();
    world_->CrashUpstream(old);
    RunUntilLogged("failover.promotion_ordered");
    world_->Run(Duration::Millis(20));
    for (const char* vm : {"vm-0", "vm-1", "vm-2"}) {
      for (const char* upstream : {"up-a", "up-b", "up-c"}) {
        UpstreamId id(upstream);
        bool is_held = id != old && id != world_->last_successor();
        if (is_held) world_->Cut(vm, upstream);
      }
    }
    RunUntilLogged("failover.finished");
    world_->RestartUpstream(old);
    world_->Run(Duration::Seconds(5));
    world_->TakeLog();
    world_->Run(Duration::Seconds(10));
    int granted = 0;
    for (const std::string& line : world_->TakeLog()) {
      if (line.find("duty.token_granted") != std::string::npos) granted++;
    }
    CPPUNIT_ASSERT(granted <= kMaxGrants);
  }

  // Neither can the lease be renewed, nor do all VMs answer. No commit can be
  // acknowledged while both replicas are held.
  void Replicas_HeldAsStoreGoesAndVmIsDead_AreResumed() {
    world_->Run(Duration::Seconds(10));
    std::string old = world_->primary().value();
    std::string owner = world_->owner().value();
    world_->KillVm(owner == "vm-2" ? 0 : 2);
    world_->RefusePromotions(true);
    world_->Cut(owner, old);
    RunUntilLogged("failover.promotion_ordered");
    for (const char* vm : {"vm-0", "vm-1", "vm-2"}) world_->Cut(vm, "store");
    world_->Run(Duration::Seconds(2));
    world_->Heal(owner, old);
    RunUntilLogged("failover.given_up");
    world_->Run(Duration::Seconds(1));
    for (const char* upstream : {"up-a", "up-b", "up-c"}) {
      CPPUNIT_ASSERT_EQUAL(uint64_t{0},
                           world_->database().held_term(UpstreamId(upstream)));
    }
  }

  // Commits are passed on once all replicas have them.
  void AllReplicas_YoungOrLeaving_WritesAreServed() {
    world_->CrashUpstream(UpstreamId("up-c"));
    world_->Unregister(UpstreamId("up-c"));
    world_->Run(Duration::Seconds(10));
    world_->ReplaceUpstream(UpstreamId("up-c"));
    world_->Drain(UpstreamId("up-b"));
    world_->Run(Duration::Millis(200));
    world_->ResetGaps();
    int writes = world_->counts().writes;
    world_->Run(Duration::Seconds(3));
    CPPUNIT_ASSERT(world_->counts().writes > writes + 100);
    ExpectWriteGapAtMost(200);
    ExpectInvariantsHold();
  }

  void Answers_Lost_NothingRunsTwice() {
    world_->Run(Duration::Seconds(2));
    for (int i = 0; i < 10; i++) {
      world_->database().LoseAnswers(2);
      world_->Run(Duration::Millis(300));
    }
    world_->Run(Duration::Seconds(3));
    ExpectInvariantsHold();
  }

  void Connections_BreakBeforeAnswers_NothingRunsTwiceAndRefusalsHold() {
    MakeWriteOnlyWorld();
    world_->Run(Duration::Seconds(2));
    for (int i = 0; i < 20; i++) {
      world_->database().BreakAnswers(4);
      world_->Run(Duration::Millis(200));
    }
    world_->Run(Duration::Seconds(1));
    CPPUNIT_ASSERT(world_->counts().unknown > 0);
    ExpectInvariantsHold();
  }

  void Owner_KilledRepeatedly_WritesRunAtMostOnce() {
    MakeWriteOnlyWorld();
    world_->Run(Duration::Seconds(2));
    for (int i = 0; i < 12; i++) {
      int owner = IndexOf(world_->owner());
      world_->KillVm(owner);
      world_->Run(Duration::Millis(400));
      world_->StartVm(owner);
      world_->Run(Duration::Millis(600));
    }
    ExpectInvariantsHold();
  }

 private:
  void CutFromPromotion() {
    for (const char* vm : {"vm-0", "vm-1", "vm-2"}) {
      world_->Cut(vm, "promotion");
    }
  }

  void MakeWriteOnlyWorld() {
    SessionWorldOptions options;
    options.only_writes = true;
    options.callers = 24;
    options.pause = Duration::Millis(3);
    MakeWorld(options);
  }

  // Many callers read and write the newest state.
  void MakeStrongReadWorld() {
    SessionWorldOptions options;
    options.mixed_consistencies = false;
    options.consistency = proxy::ReadConsistency::kStrong;
    options.callers = 30;
    options.pause = Duration::Millis(5);
    MakeWorld(options);
  }

  void MakeWorld(const SessionWorldOptions& options) {
    options_ = options;
    world_ = std::make_unique<SessionWorld>(options, kSeed);
  }

  // Runs until a VM has logged the event, at most for kMaxWait.
  void RunUntilLogged(const std::string& event) {
    constexpr Duration kMaxWait = Duration::Seconds(6);
    world_->TakeLog();
    TimePoint end = world_->now() + kMaxWait;
    while (world_->now() < end) {
      world_->Run(Duration::Millis(1));
      for (const std::string& line : world_->TakeLog()) {
        if (line.find(event) != std::string::npos) return;
      }
    }
    CPPUNIT_FAIL("not logged: " + event);
  }

  // The primary and one VM are on one side. The other VMs, the store and the
  // replicas named are on the other side; that VM reaches all upstreams.
  void SplitWithVm(const std::string& lone,
                   const std::vector<std::string>& replicas) {
    std::string old = world_->primary().value();
    for (const std::string& replica : replicas) world_->Cut(old, replica);
    for (const char* vm : {"vm-0", "vm-1", "vm-2"}) {
      if (vm == lone) continue;
      other_vms_.emplace_back(vm);
      world_->Cut(vm, lone);
      world_->Cut(vm, old);
    }
    world_->Cut(lone, "store");
  }

  void CutOtherVmsFrom(const std::string& upstream) {
    for (const std::string& vm : other_vms_) world_->Cut(vm, upstream);
  }

  // A VM that has seen no acknowledged commit replaces the primary.
  void LosePrimaryAndOwner() {
    world_->KillVm(IndexOf(world_->owner()));
    world_->CrashUpstream(world_->primary());
  }

  // One VM reaches the primary alone. The owner holds the replicas, sees the
  // primary again and orders them to resume; the order to up-b, whose log is
  // shorter, is held up. Then the owner is cut off, and the third VM has to
  // replace the primary.
  void GiveUpFailoverWithOrderOnItsWay() {
    world_->Run(Duration::Seconds(10));
    replaced_ = world_->primary();
    std::string old = replaced_.value();
    first_holder_ = world_->owner();
    std::string first = first_holder_.value();
    std::string beside_primary = first == "vm-2" ? "vm-0" : "vm-2";
    std::string next = first == "vm-1" ? "vm-0" : "vm-1";
    for (const std::string& other : {first, next, std::string("store")}) {
      world_->Cut(beside_primary, other);
    }
    world_->Run(Duration::Seconds(1));
    world_->Cut(old, "up-b");
    world_->Run(Duration::Millis(300));
    world_->RefusePromotions(true);
    world_->Cut(first, old);
    RunUntilLogged("failover.promotion_ordered");
    world_->Cut(first, "up-b");
    world_->Heal(first, old);
    RunUntilLogged("failover.given_up");
    world_->Run(Duration::Millis(20));
    world_->Cut(first, next);
    world_->Cut(first, "store");
    world_->Cut(next, old);
    world_->RefusePromotions(false);
  }

  // Now up-b is the only replica that receives the log.
  void DeliverOrderToResume() {
    std::string old = replaced_.value();
    world_->Cut(old, "up-c");
    world_->Heal(old, "up-b");
    world_->Heal(first_holder_.value(), "up-b");
  }

  void ExpectTakeover() {
    world_->Run(Duration::Seconds(2));
    UpstreamId primary = world_->primary();
    world_->HealAll();
    world_->Run(Duration::Seconds(2));
    ExpectInvariantsHold();
    CPPUNIT_ASSERT(primary != replaced_);
  }

  // Restarts a replica and lets it receive the log of the primary.
  void RestartReplicaNextTo(const UpstreamId& primary,
                            const std::string& replica) {
    world_->CrashUpstream(UpstreamId(replica));
    world_->Run(Duration::Millis(50));
    world_->Heal(primary.value(), replica);
    world_->RestartUpstream(UpstreamId(replica));
  }

  int64_t PromoteMs() const { return options_.database.promote_time.millis(); }

  void LoseSuccessorDuringPlannedChange(
      const std::function<void(const UpstreamId&)>& lose) {
    world_->Run(Duration::Seconds(2));
    UpstreamId old = world_->primary();
    world_->RefusePromotions(true);
    world_->Drain(old);
    world_->Run(Duration::Seconds(1));
    UpstreamId first = world_->last_successor();
    CPPUNIT_ASSERT(first != UpstreamId());
    lose(first);
    world_->Run(Duration::Millis(500));
    world_->RefusePromotions(false);
    world_->Run(Duration::Seconds(4));
    CPPUNIT_ASSERT(world_->primary() != old);
    CPPUNIT_ASSERT(world_->primary() != first);
    ExpectInvariantsHold();
  }

  static int IndexOf(const VmId& vm) { return vm.value().back() - '0'; }

  void IsolateEndpoint(const std::string& name) {
    for (const char* other : {"vm-0", "vm-1", "vm-2", "up-a", "up-b", "up-c"}) {
      if (other != name) world_->Cut(other, name);
    }
  }

  void ExpectWriteGapAtMost(int64_t limit_ms) {
    std::string message = "write gap " +
                          std::to_string(world_->counts().write_gap) +
                          " ms, allowed " + std::to_string(limit_ms);
    CPPUNIT_ASSERT_MESSAGE(message, world_->counts().write_gap <= limit_ms);
  }

  // Moves the version of the store by writing a row again.
  void WriteManyVersions() {
    constexpr int kVersions = 200;
    for (int i = 0; i < kVersions; i++) {
      world_->Register(UpstreamId("up-c"), false);
    }
  }

  void ExpectRoutesInForce(uint64_t version) {
    for (int vm = 0; vm < 3; vm++) {
      CPPUNIT_ASSERT_EQUAL(version, world_->vm(vm)->gauges().routes_version);
    }
  }

  void ExpectKnowsAllVms(int vm) {
    CPPUNIT_ASSERT_EQUAL(int64_t{3}, world_->vm(vm)->gauges().vms);
  }

  void ExpectInvariantsHold() {
    world_->CheckEffects();
    CPPUNIT_ASSERT_EQUAL(std::string(), world_->problem());
    CPPUNIT_ASSERT(world_->counts().done > 0);
  }

  SessionWorldOptions options_;
  std::unique_ptr<SessionWorld> world_;
  VmId first_holder_;
  UpstreamId replaced_;
  std::vector<std::string> other_vms_;  // Those without the primary in a split.
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionFailureTest);

}  // namespace
}  // namespace fireflycart::standins
