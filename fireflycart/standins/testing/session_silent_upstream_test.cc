// Upstreams that do not answer and have no registry entry, but return with
// their logs: silence does not show that a log is gone. In virtual time.

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "fireflycart/standins/testing/session_world.h"

namespace fireflycart::standins {
namespace {

using Names = std::vector<std::string>;

constexpr uint64_t kSeed = 7;
constexpr int kVms = 3;
constexpr const char* kUpstreams[] = {"up-a", "up-b", "up-c"};
// After this time all upstreams are established at every VM.
constexpr Duration kSettled = Duration::Seconds(10);
// How long the successor of a separated primary leads before it goes silent.
constexpr Duration kLeadTime = Duration::Seconds(3);
constexpr Duration kSilence = Duration::Seconds(11);
// By then a silent upstream was found to be, and its entry has been missing for
// longer than the platform takes to restore one.
constexpr Duration kForgotten = Duration::Seconds(8);
// How long a leaving upstream goes on.
constexpr Duration kDrainTime = Duration::Seconds(7);
// Service objective: all is served this long after the last repair.
constexpr Duration kRecovery = Duration::Seconds(12);
// Service objective: writes are served this long after upstreams are lost for
// good.
constexpr Duration kReplacement = Duration::Seconds(10);
constexpr int64_t kMaxReplicaLossGapMs = 1500;
constexpr int64_t kAtOnceMs = 100;

class SessionSilentUpstreamTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SessionSilentUpstreamTest);
  CPPUNIT_TEST(NewPrimaryAndReplica_SilentTogether_NoCommitIsLost);
  CPPUNIT_TEST(NewPrimaryAndReplica_SilentEachAlone_NoCommitIsLost);
  CPPUNIT_TEST(NewPrimaryAndReplica_SilentAndHolderKilled_NoCommitIsLost);
  CPPUNIT_TEST(NewPrimaryAndReplica_SilentAndHolderWithoutStore_NoCommitIsLost);
  CPPUNIT_TEST(NewPrimaryAndReplica_SilentAndOneVmRuns_NoCommitIsLost);
  CPPUNIT_TEST(NewPrimaryAndReplica_SilentBesideOneVm_NoCommitIsLost);
  CPPUNIT_TEST(OldPrimary_BackAloneUnderNewIdAsReplica_ServesNothing);
  CPPUNIT_TEST(OldPrimary_BackAloneUnderNewIdAsPrimary_ServesNothing);
  CPPUNIT_TEST(Successor_SilentAfterOrderBesideLoneVm_NoCommitIsLost);
  CPPUNIT_TEST(Successor_SilentAfterOrderAndPrimaryBack_NoCommitIsLost);
  CPPUNIT_TEST(Replica_LapsedBesideOneVmInPlannedChange_NoCommitIsLost);
  CPPUNIT_TEST(Replica_LapsedBesideIslandInPlannedChange_NoCommitIsLost);
  CPPUNIT_TEST(OnlyUpstream_OthersSilentWithLongerLogs_ServesNothing);
  CPPUNIT_TEST(OnlyUpstream_OthersSilentAndAllVmsRestart_ServesNothing);
  CPPUNIT_TEST(OnlyUpstream_BackWithShortLogAfterOthersEnd_NoCommitIsLost);
  CPPUNIT_TEST(AllUpstreams_CrashAndReturnInTurn_NoCommitIsLost);
  CPPUNIT_TEST(AllUpstreams_CrashAndReturnInTurnAsNew_NoCommitIsLost);
  CPPUNIT_TEST(PrimaryAndReplica_CrashForGood_WritesResume);
  CPPUNIT_TEST(ReplicaThenPrimary_CrashForGood_WritesResume);
  CPPUNIT_TEST(Replica_CrashesForGood_WritesGoOn);
  CPPUNIT_TEST(Replica_Silent_WritesGoOn);
  CPPUNIT_TEST(Primary_CrashesAfterRelease_WritesResume);
  CPPUNIT_TEST(Primary_CrashesAfterReleaseByEmptyUpstreams_WritesResume);
  CPPUNIT_TEST(Group_WaitsForNewPrimaryAndReplica_WritesAreRefusedAtOnce);
  CPPUNIT_TEST(Group_WaitsForPrimaryAndReplica_WritesAreRefusedAtOnce);
  CPPUNIT_TEST(Store_RestoredDuringWait_NoCommitIsLost);
  CPPUNIT_TEST(Store_RestoredDuringWaitAndHolderKilled_NoCommitIsLost);
  CPPUNIT_TEST(Store_RestoredToTimeWithoutReplica_NoCommitIsLost);
  CPPUNIT_TEST(Replica_CutFromVmsInPlannedChange_NoCommitIsLost);
  CPPUNIT_TEST(Replica_SilentBeforeOtherIsCutFromPrimary_NoCommitIsLost);
  CPPUNIT_TEST(Owner_BackWithoutStoreAfterSetChanged_NoCommitIsLost);
  CPPUNIT_TEST(Replica_JoinedUnseenByIsland_NoCommitIsLost);
  CPPUNIT_TEST(Replicas_BackAfterLonePrimaryCrashed_WritesResume);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { MakeWorld(Options(), kSeed); }

  // The old primary is promoted without the commits of the newer term.
  void NewPrimaryAndReplica_SilentTogether_NoCommitIsLost() {
    for (uint64_t seed : {1, 2, 3}) {
      Begin("seed " + std::to_string(seed), seed);
      TakeOver();
      world_->Isolate(pair_);
      world_->Run(kSilence);
      ExpectPairReturnsWithoutLoss();
    }
  }

  // The same, and the two do not reach each other.
  void NewPrimaryAndReplica_SilentEachAlone_NoCommitIsLost() {
    TakeOver();
    for (const std::string& name : pair_) world_->Isolate({name});
    world_->Run(kSilence);
    ExpectPairReturnsWithoutLoss();
  }

  // The next holder does not know which position was acknowledged.
  void NewPrimaryAndReplica_SilentAndHolderKilled_NoCommitIsLost() {
    for (int64_t delay_ms : {500, 3000, 5000}) {
      Begin("killed after " + std::to_string(delay_ms) + " ms");
      TakeOver();
      world_->Isolate(pair_);
      world_->Run(Duration::Millis(delay_ms));
      RestartOwner();
      world_->Run(kSilence - Duration::Millis(delay_ms));
      ExpectPairReturnsWithoutLoss();
    }
  }

  // The holder acts by what it read before, or another VM takes over.
  void NewPrimaryAndReplica_SilentAndHolderWithoutStore_NoCommitIsLost() {
    for (int64_t delay_ms : {0, 2000, 5000}) {
      Begin("store cut after " + std::to_string(delay_ms) + " ms");
      TakeOver();
      world_->Isolate(pair_);
      world_->Run(Duration::Millis(delay_ms));
      world_->Cut(Owner(), "store");
      world_->Run(kSilence - Duration::Millis(delay_ms));
      ExpectPairReturnsWithoutLoss();
    }
  }

  // A VM that did not hold the group before decides alone, or the holder does.
  void NewPrimaryAndReplica_SilentAndOneVmRuns_NoCommitIsLost() {
    for (bool is_owner : {true, false}) {
      Begin(is_owner ? "the holder runs" : "another VM runs");
      TakeOver();
      std::string running = OneVm(is_owner);
      world_->Isolate(pair_);
      for (const std::string& name : VmsWithout(running)) {
        world_->FreezeVm(IndexOf(name), kSilence - Duration::Seconds(1));
      }
      world_->Run(kSilence);
      ExpectPairReturnsWithoutLoss();
    }
  }

  // Commits that are passed on beside the silent upstreams are rolled back.
  void NewPrimaryAndReplica_SilentBesideOneVm_NoCommitIsLost() {
    for (bool is_owner : {true, false}) {
      Begin(is_owner ? "beside the holder" : "beside another VM");
      TakeOver();
      Names island = pair_;
      island.push_back(OneVm(is_owner));
      world_->Isolate(island);
      world_->Run(kSilence);
      world_->Rejoin(island);
      ExpectPairReturnsWithoutLoss();
    }
  }

  // The only upstream that answers is promoted with the log of an older term.
  void OldPrimary_BackAloneUnderNewIdAsReplica_ServesNothing() {
    ForgetNewPrimary([this] {
      world_->CrashUpstream(old_);
      world_->RestartUpstreamAs(old_, UpstreamId("up-d"));
    });
  }

  // The only upstream that answers leads in an older term, and is read.
  void OldPrimary_BackAloneUnderNewIdAsPrimary_ServesNothing() {
    ForgetNewPrimary(
        [this] { world_->RenameUpstream(old_, UpstreamId("up-d")); });
  }

  // The other replica is resumed, and acknowledges commits of the old primary.
  void Successor_SilentAfterOrderBesideLoneVm_NoCommitIsLost() {
    for (bool reaches_store : {false, true}) {
      // In the first two it returns before another promotion is ordered.
      for (int64_t silence_ms : {6100, 6300, 11000}) {
        Begin((reaches_store ? "with the store, " : "without the store, ") +
              std::to_string(silence_ms) + " ms");
        LoseSuccessorBesideLoneVm(reaches_store, Duration::Millis(silence_ms));
      }
    }
  }

  // The same with a primary that all VMs reach again.
  void Successor_SilentAfterOrderAndPrimaryBack_NoCommitIsLost() {
    world_->Run(kSettled);
    old_ = world_->primary();
    for (const std::string& vm : VmsWithout("")) world_->Cut(vm, old_.value());
    RunUntilOrdered();
    std::string successor = world_->last_successor().value();
    world_->Isolate({successor});
    world_->HealAll();
    world_->Run(kSilence);
    world_->Rejoin({successor});
    ExpectReturnWithoutLoss();
  }

  // A replica that was not held acknowledges commits that the successor lacks.
  void Replica_LapsedBesideOneVmInPlannedChange_NoCommitIsLost() {
    for (Duration phase : Phases()) ChangeBesideLapsedReplica(true, phase);
  }

  // The same with a VM that reaches neither the store nor other VMs.
  void Replica_LapsedBesideIslandInPlannedChange_NoCommitIsLost() {
    for (Duration phase : Phases()) ChangeBesideLapsedReplica(false, phase);
  }

  // A replica that only the VMs do not reach is left out of the change, and
  // acknowledges commits that the successor lacks.
  void Replica_CutFromVmsInPlannedChange_NoCommitIsLost() {
    for (Duration phase : Phases()) {
      Begin("after " + std::to_string(phase.millis()) + " ms");
      world_->Run(kSettled + phase);
      old_ = world_->primary();
      for (const std::string& vm : VmsWithout("")) world_->Cut(vm, "up-c");
      world_->Run(Duration::Seconds(3));
      world_->Drain(old_);
      RunUntilOrdered();
      world_->Cut(old_.value(), "up-b");
      world_->Run(Duration::Seconds(4));
      ExpectReturnWithoutLoss();
    }
  }

  // It acknowledges commits alone until it is taken out of the set.
  void Replica_SilentBeforeOtherIsCutFromPrimary_NoCommitIsLost() {
    // The status requests of the owner differ in phase from the cut.
    for (int64_t phase = 0; phase < 200; phase += 10) {
      for (int64_t ms : {900, 930, 960}) {
        Begin("cut after " + std::to_string(ms) + " ms, phase " +
              std::to_string(phase) + " ms");
        world_->Run(kSettled + Duration::Millis(phase));
        old_ = world_->primary();
        for (const std::string& vm : VmsWithout("")) world_->Cut(vm, "up-c");
        world_->Run(Duration::Millis(ms));
        world_->Cut(old_.value(), "up-b");
        world_->Run(Duration::Millis(150));
        world_->Isolate({old_.value(), "up-c"});
        RestartOwner();
        world_->Run(kSilence);
        world_->Rejoin({old_.value(), "up-c"});
        ExpectReturnWithoutLoss();
      }
    }
  }

  // It counts the replica that another VM took out of the set meanwhile.
  void Owner_BackWithoutStoreAfterSetChanged_NoCommitIsLost() {
    Begin("");
    world_->IgnoreReadiness();
    world_->Run(kSettled);
    old_ = world_->primary();
    std::string owner = Owner();
    world_->Cut(owner, "store");
    for (const std::string& vm : VmsWithout(owner)) {
      world_->Cut(vm, owner);
      world_->Cut(vm, "up-c");
    }
    world_->Run(Duration::Seconds(10));
    for (const std::string& vm : VmsWithout(owner)) world_->Heal(vm, owner);
    world_->Run(Duration::Seconds(5));
    std::cout << " owner " << owner << " now " << Owner();
    world_->Cut(old_.value(), "up-b");
    world_->Run(Duration::Millis(300));
    world_->KillVm(IndexOf(owner));
    world_->Isolate({old_.value(), "up-c"});
    world_->Run(kSilence);
    world_->Rejoin({old_.value(), "up-c"});
    world_->StartVm(IndexOf(owner));
    ExpectReturnWithoutLoss();
  }

  // A VM on an island passes on what all replicas that it knows have. One that
  // joined meanwhile is promoted.
  void Replica_JoinedUnseenByIsland_NoCommitIsLost() {
    Begin("");
    world_->IgnoreReadiness();
    world_->Run(kSettled);
    old_ = world_->primary();
    std::string lone = OneVm(false);
    world_->Cut(lone, "store");
    for (const std::string& vm : VmsWithout(lone)) world_->Cut(vm, lone);
    world_->AddUpstream(UpstreamId("up-d"));
    world_->Run(Duration::Seconds(10));
    for (const std::string& vm : VmsWithout(lone)) {
      world_->Cut(vm, "up-b");
      world_->Cut(vm, "up-c");
    }
    world_->Run(Duration::Seconds(2));
    world_->Isolate({lone, "up-a", "up-b", "up-c"});
    world_->Run(kSilence);
    std::cout << " promotions " << world_->promotions() << " to "
              << world_->last_successor().value();
    world_->Rejoin({lone, "up-a", "up-b", "up-c"});
    ExpectReturnWithoutLoss();
  }

  // The set has shrunk to the primary, though both replicas have all commits.
  void Replicas_BackAfterLonePrimaryCrashed_WritesResume() {
    Begin("");
    world_->Run(kSettled);
    old_ = world_->primary();
    NotePair();
    world_->Isolate(pair_);
    world_->Run(kSilence);
    world_->CrashUpstream(old_);
    LapseLater({old_.value()}, Duration());
    world_->Rejoin(pair_);
    world_->HealAll();
    RunUntilServed(kRecovery);
    ExpectWritesServed();
    ExpectInvariantsHold();
  }

  // A primary whose term is over is read as the only upstream of its group.
  void OnlyUpstream_OthersSilentWithLongerLogs_ServesNothing() {
    ForgetNewPrimary([this] { world_->Rejoin({old_.value()}); });
  }

  // The same, and no VM has seen the newer term.
  void OnlyUpstream_OthersSilentAndAllVmsRestart_ServesNothing() {
    SeparateOldPrimary();
    world_->Isolate(pair_);
    world_->Run(kForgotten);
    for (int vm = 0; vm < kVms; vm++) world_->KillVm(vm);
    world_->Rejoin({old_.value()});
    for (int vm = 0; vm < kVms; vm++) world_->StartVm(vm);
    ExpectNothingServedUntilPairReturns();
  }

  // A replica that missed commits is promoted, as the others have no entry.
  void OnlyUpstream_BackWithShortLogAfterOthersEnd_NoCommitIsLost() {
    world_->Run(kSettled);
    UpstreamId primary = world_->primary();
    world_->Isolate({"up-b"});
    world_->Run(kForgotten);
    world_->Drain(UpstreamId("up-c"));
    world_->Run(kDrainTime);
    End("up-c");
    world_->Run(Duration::Seconds(3));
    world_->CrashUpstream(primary);
    world_->Run(SessionWorld::kEntryLapse);
    world_->Unregister(primary);
    world_->Rejoin({"up-b"});
    world_->Run(kSilence);
    CPPUNIT_ASSERT_EQUAL(std::string(), world_->problem());
    world_->RestartUpstream(primary);
    world_->Register(primary, false);
    ExpectReturnWithoutLoss();
  }

  // The first that returns is promoted though it missed commits.
  void AllUpstreams_CrashAndReturnInTurn_NoCommitIsLost() {
    ReturnInTurn({"up-c", "up-b", "up-a"}, false);
    ReturnInTurn({"up-c", "up-a", "up-b"}, false);
  }

  // The same under new ids at the same addresses.
  void AllUpstreams_CrashAndReturnInTurnAsNew_NoCommitIsLost() {
    ReturnInTurn({"up-c", "up-b", "up-a"}, true);
    ReturnInTurn({"up-c", "up-a", "up-b"}, true);
  }

  // A group whose last upstream has everything waits for the others for ever.
  void PrimaryAndReplica_CrashForGood_WritesResume() {
    for (const char* replica : {"up-b", "up-c"}) {
      Begin(replica);
      world_->Run(kSettled);
      Names lost = {world_->primary().value(), replica};
      for (const std::string& name : lost) {
        world_->CrashUpstream(UpstreamId(name));
      }
      world_->Run(Duration::Seconds(2));
      world_->AddUpstream(UpstreamId("up-d"));
      LapseLater(lost, Duration::Seconds(2));
      world_->Run(kReplacement - SessionWorld::kEntryLapse);
      ExpectWritesServed();
      ExpectInvariantsHold();
    }
  }

  // The group waits for a replica that was lost before.
  void ReplicaThenPrimary_CrashForGood_WritesResume() {
    for (bool has_new_one : {true, false}) {
      Begin(has_new_one ? "a new upstream joins between" : "joins after both");
      world_->Run(kSettled);
      world_->CrashUpstream(UpstreamId("up-b"));
      LapseLater({"up-b"}, Duration());
      if (has_new_one) world_->AddUpstream(UpstreamId("up-d"));
      world_->Run(Duration::Seconds(6) - SessionWorld::kEntryLapse);
      std::string primary = world_->primary().value();
      world_->CrashUpstream(UpstreamId(primary));
      if (!has_new_one) world_->AddUpstream(UpstreamId("up-d"));
      LapseLater({primary}, Duration());
      world_->Run(kReplacement - SessionWorld::kEntryLapse);
      ExpectWritesServed();
      ExpectInvariantsHold();
    }
  }

  // Writes stop until the set that must have them has changed.
  void Replica_CrashesForGood_WritesGoOn() {
    for (const char* replica : {"up-b", "up-c"}) {
      Begin(replica);
      world_->Run(kSettled);
      world_->ResetGaps();
      world_->CrashUpstream(UpstreamId(replica));
      LapseLater({replica}, Duration());
      world_->Run(kForgotten);
      ExpectWriteGapAtMost(kMaxReplicaLossGapMs);
      ExpectWritesServed();
      ExpectInvariantsHold();
    }
  }

  // The same with a replica that ends no connection.
  void Replica_Silent_WritesGoOn() {
    for (const char* replica : {"up-b", "up-c"}) {
      Begin(replica);
      world_->Run(kSettled);
      world_->ResetGaps();
      world_->Isolate({replica});
      world_->Run(kSilence);
      ExpectWriteGapAtMost(kMaxReplicaLossGapMs);
      world_->Rejoin({replica});
      ExpectReturnWithoutLoss();
    }
  }

  // The group waits for upstreams that ended as planned.
  void Primary_CrashesAfterRelease_WritesResume() {
    ReleaseAll([this](const std::string& name) {
      world_->RestartUpstreamAs(UpstreamId(name), UpstreamId(name + "-new"));
    });
  }

  // The same if the new upstreams have addresses of their own and no log.
  void Primary_CrashesAfterReleaseByEmptyUpstreams_WritesResume() {
    ReleaseAll([this](const std::string& name) {
      world_->AddUpstream(UpstreamId(name + "-new"));
    });
  }

  // Nothing announces when the upstream returns, so writes must not wait.
  void Group_WaitsForNewPrimaryAndReplica_WritesAreRefusedAtOnce() {
    MakeWriteWorld();
    TakeOver();
    world_->Isolate(pair_);
    ExpectWritesRefusedAtOnce(pair_);
    ExpectPairReturnsWithoutLoss();
  }

  // The same with a replica that missed the last commits of its term.
  void Group_WaitsForPrimaryAndReplica_WritesAreRefusedAtOnce() {
    MakeWriteWorld();
    world_->Run(kSettled);
    pair_ = {world_->primary().value(), "up-b"};
    world_->Cut(pair_.front(), "up-c");
    world_->Run(Duration::Seconds(1));
    world_->Isolate(pair_);
    ExpectWritesRefusedAtOnce(pair_);
    ExpectPairReturnsWithoutLoss();
  }

  // The store no longer has what was recorded of the newer term.
  void Store_RestoredDuringWait_NoCommitIsLost() {
    RestoreDuringWait([] {});
  }

  // The same, and the holder that knew of it is gone.
  void Store_RestoredDuringWaitAndHolderKilled_NoCommitIsLost() {
    RestoreDuringWait([this] { RestartOwner(); });
  }

  // The older record names the only upstream that answers, which missed
  // commits, and not the replica that acknowledged them.
  void Store_RestoredToTimeWithoutReplica_NoCommitIsLost() {
    world_->Run(kSettled);
    std::string primary = world_->primary().value();
    world_->Isolate({"up-c"});
    world_->Run(kForgotten);
    TimePoint copied_at = world_->now();
    world_->Rejoin({"up-c"});
    world_->Run(Duration::Seconds(4));
    world_->Isolate({"up-b"});
    world_->Run(Duration::Seconds(4));
    world_->Isolate({primary});
    world_->Isolate({"up-c"});
    world_->Rejoin({"up-b"});
    world_->Run(Duration::Seconds(1));
    world_->RestoreStore(world_->now() - copied_at, Duration::Seconds(1));
    world_->Run(kSilence);
    world_->Rejoin({primary});
    world_->Rejoin({"up-c"});
    ExpectReturnWithoutLoss();
  }

 private:
  static SessionWorldOptions Options() {
    SessionWorldOptions options;
    options.callers = 6;
    return options;
  }

  void MakeWorld(const SessionWorldOptions& options, uint64_t seed) {
    world_ = std::make_unique<SessionWorld>(options, seed);
  }

  void MakeWriteWorld() {
    SessionWorldOptions options = Options();
    options.only_writes = true;
    options.mixed_consistencies = false;
    MakeWorld(options, kSeed);
  }

  // The age of what a VM knows from the store differs between them.
  static std::vector<Duration> Phases() {
    std::vector<Duration> phases;
    for (int64_t ms = 0; ms < 2000; ms += 250) {
      phases.push_back(Duration::Millis(ms));
    }
    return phases;
  }

  // Makes a world for a variant of the test, which failures name.
  void Begin(const std::string& variant, uint64_t seed = kSeed) {
    variant_ = variant;
    MakeWorld(Options(), seed);
  }

  static int IndexOf(const std::string& vm) { return vm.back() - '0'; }
  std::string Owner() const { return world_->owner().value(); }

  static Names VmsWithout(const std::string& left_out) {
    Names names;
    for (int vm = 0; vm < kVms; vm++) {
      std::string name = "vm-" + std::to_string(vm);
      if (name != left_out) names.push_back(name);
    }
    return names;
  }

  // A VM that owns the group, or does not.
  std::string OneVm(bool is_owner) const {
    return is_owner ? Owner() : VmsWithout(Owner()).front();
  }

  // The replica that is neither the old primary nor this one.
  std::string OtherReplica(const std::string& replica) const {
    for (const char* name : kUpstreams) {
      if (name != replica && name != old_.value()) return name;
    }
    return std::string();
  }

  void RestartOwner() {
    CPPUNIT_ASSERT_MESSAGE(variant_, world_->owner() != VmId());
    int owner = IndexOf(Owner());
    world_->KillVm(owner);
    world_->Run(Duration::Millis(500));
    world_->StartVm(owner);
  }

  void RunUntilPromoted() {
    TimePoint end = world_->now() + Duration::Seconds(6);
    while (world_->promotions() == 0 && world_->now() < end) {
      world_->Run(Duration::Millis(1));
    }
    CPPUNIT_ASSERT_EQUAL_MESSAGE(variant_, 1, world_->promotions());
  }

  void RunUntilOrdered() {
    TimePoint end = world_->now() + Duration::Seconds(6);
    while (world_->last_successor() == UpstreamId() && world_->now() < end) {
      world_->Run(Duration::Millis(1));
    }
    CPPUNIT_ASSERT_MESSAGE(variant_ + ": no promotion was ordered",
                           world_->last_successor() != UpstreamId());
  }

  void NotePair() {
    pair_.clear();
    for (const char* name : kUpstreams) {
      if (name != old_.value()) pair_.emplace_back(name);
    }
  }

  // Another upstream leads a newer term, in which the old primary receives
  // nothing.
  void TakeOver() {
    world_->Run(kSettled);
    old_ = world_->primary();
    NotePair();
    world_->CutPrimaryFromReplicas();
    RunUntilPromoted();
    world_->Run(kLeadTime);
    ExpectPairHasLongerLog();
  }

  // The same while the old primary is separated from all. It leads its term.
  void SeparateOldPrimary() {
    world_->Run(kSettled);
    old_ = world_->primary();
    NotePair();
    world_->Isolate({old_.value()});
    RunUntilPromoted();
    world_->Run(kLeadTime);
    ExpectPairHasLongerLog();
  }

  // The newer term's upstreams are silent when the old primary returns.
  template <typename ReturnOld>
  void ForgetNewPrimary(ReturnOld return_old) {
    for (bool kills_holder : {false, true}) {
      Begin(kills_holder ? "holder killed" : "same holder");
      SeparateOldPrimary();
      world_->Isolate(pair_);
      world_->Run(kForgotten);
      if (kills_holder) RestartOwner();
      return_old();
      ExpectNothingServedUntilPairReturns();
    }
  }

  void ExpectPairHasLongerLog() {
    size_t old_size = world_->database().LogOf(old_).size();
    for (const std::string& name : pair_) {
      size_t size = world_->database().LogOf(UpstreamId(name)).size();
      CPPUNIT_ASSERT_MESSAGE(variant_, size > old_size + 20);
    }
  }

  // Leaves one VM with the primary, cut off from the replicas.
  void SplitOff(const std::string& lone, const UpstreamId& primary) {
    world_->CutPrimaryFromReplicas();
    for (const std::string& vm : VmsWithout(lone)) {
      world_->Cut(vm, lone);
      world_->Cut(vm, primary.value());
    }
    world_->Cut(lone, "store");
  }

  void LoseSuccessorBesideLoneVm(bool reaches_store, Duration silence) {
    world_->Run(kSettled);
    old_ = world_->primary();
    std::string lone = OneVm(false);
    SplitOff(lone, old_);
    if (reaches_store) world_->Heal(lone, "store");
    RunUntilOrdered();
    std::string successor = world_->last_successor().value();
    world_->Isolate({successor});
    world_->Heal(old_.value(), OtherReplica(successor));
    world_->Run(silence);
    world_->Rejoin({successor});
    ExpectReturnWithoutLoss();
  }

  // A VM and a replica go on with the leaving primary while the others replace
  // it, for which they need not hold an upstream without an entry.
  void ChangeBesideLapsedReplica(bool reaches_store, Duration phase) {
    Begin("after " + std::to_string(phase.millis()) + " ms");
    world_->Run(kSettled + phase);
    old_ = world_->primary();
    std::string lone = OneVm(false);
    std::string replica = "up-c";
    world_->Cut("up-b", replica);
    world_->Cut("up-b", lone);
    for (const std::string& vm : VmsWithout(lone)) {
      world_->Cut(vm, replica);
      if (!reaches_store) world_->Cut(vm, lone);
    }
    if (!reaches_store) world_->Cut(lone, "store");
    // It lost the store before.
    world_->Unregister(UpstreamId(replica));
    world_->Run(Duration::Millis(2350));
    world_->Drain(old_);
    RunUntilOrdered();
    world_->Cut(old_.value(), "up-b");
    for (const std::string& vm : VmsWithout(lone)) {
      world_->Cut(vm, old_.value());
    }
    world_->Run(Duration::Seconds(4));
    world_->Register(UpstreamId(replica), false);
    ExpectReturnWithoutLoss();
    CPPUNIT_ASSERT(world_->promotions() > 0);
  }

  // All crash; up-c has missed the last commits.
  void ReturnInTurn(const Names& order, bool as_new) {
    constexpr Duration kBetween = Duration::Seconds(7);
    Begin(order[1] + " second" + (as_new ? ", new ids" : ""));
    world_->Run(kSettled);
    CPPUNIT_ASSERT_EQUAL(std::string("up-a"), world_->primary().value());
    world_->Cut("up-a", "up-c");
    world_->Run(Duration::Seconds(1));
    for (const std::string& name : order) {
      world_->CrashUpstream(UpstreamId(name));
    }
    LapseLater(order, Duration());
    world_->HealAll();
    for (const std::string& name : order) {
      world_->Run(Duration::Seconds(2));
      Return(name, as_new);
      world_->Run(kBetween);
    }
    ExpectReturnWithoutLoss();
  }

  void Return(const std::string& name, bool as_new) {
    UpstreamId id(name);
    if (as_new) {
      world_->RestartUpstreamAs(id, UpstreamId(name + "-new"));
      return;
    }
    world_->RestartUpstream(id);
    world_->Register(id, false);
  }

  void End(const std::string& name) {
    world_->CrashUpstream(UpstreamId(name));
    world_->Unregister(UpstreamId(name));
  }

  // Runs until the entries of upstreams lapse that crashed that long ago.
  void LapseLater(const Names& names, Duration ago) {
    world_->Run(SessionWorld::kEntryLapse - ago);
    for (const std::string& name : names) world_->Unregister(UpstreamId(name));
  }

  // Replaces all upstreams one after the other; then the primary crashes.
  template <typename Join>
  void ReleaseAll(Join join) {
    world_->Run(kSettled);
    for (const char* name : kUpstreams) {
      world_->Drain(UpstreamId(name));
      world_->Run(kDrainTime);
      CPPUNIT_ASSERT(world_->primary() != UpstreamId(name));
      End(name);
      join(name);
      world_->Run(Duration::Seconds(3));
    }
    std::string primary = world_->primary().value();
    world_->CrashUpstream(UpstreamId(primary));
    LapseLater({primary}, Duration());
    world_->Run(kReplacement - SessionWorld::kEntryLapse);
    ExpectWritesServed();
    ExpectInvariantsHold();
  }

  template <typename Disturb>
  void RestoreDuringWait(Disturb disturb) {
    // Beyond the promotion of the silent upstream.
    constexpr Duration kCopyAge = Duration::Seconds(9);
    TakeOver();
    world_->Isolate(pair_);
    world_->Run(Duration::Seconds(3));
    world_->RestoreStore(kCopyAge, Duration::Seconds(1));
    world_->Run(Duration::Seconds(2));
    disturb();
    world_->Run(kSilence);
    ExpectPairReturnsWithoutLoss();
  }

  void ExpectNothingServedUntilPairReturns() {
    int writes = world_->counts().writes;
    world_->Run(kSilence);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(variant_, std::string(), world_->problem());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(variant_, writes, world_->counts().writes);
    ExpectPairReturnsWithoutLoss();
  }

  void ExpectWritesRefusedAtOnce(const Names& silent) {
    // Time to see that they do not answer.
    constexpr Duration kDetection = Duration::Seconds(2);
    world_->Run(kDetection);
    world_->ResetCounts();
    world_->TakeLog();
    world_->Run(kSilence - kDetection);
    CPPUNIT_ASSERT_EQUAL(std::string(), world_->problem());
    const SessionCounts& counts = world_->counts();
    std::string message = std::to_string(counts.refused) + " refused after " +
                          std::to_string(counts.refused_wait) + " ms in all, " +
                          std::to_string(counts.unknown) + " unknown, " +
                          std::to_string(counts.writes) + " writes";
    std::cout << " " << message;
    CPPUNIT_ASSERT_EQUAL_MESSAGE(message, 0, counts.writes);
    CPPUNIT_ASSERT_MESSAGE(message, counts.refused > 10);
    CPPUNIT_ASSERT_MESSAGE(message,
                           counts.refused_wait <= counts.refused * kAtOnceMs);
    int named = 0;
    for (const std::string& line : world_->TakeLog()) {
      if (NamesInRefusal(line, silent)) named++;
    }
    message = std::to_string(named) + " refusals name the upstream, of " +
              std::to_string(counts.refused);
    CPPUNIT_ASSERT_MESSAGE(message, named * 10 >= counts.refused * 9);
  }

  // True if the line logs a refusal whose reason names one of the upstreams.
  static bool NamesInRefusal(const std::string& line, const Names& upstreams) {
    size_t begin = line.find(" detail=");
    size_t end = line.find(" priority=", begin);
    bool is_refusal = line.find("statement.not_served") != std::string::npos &&
                      begin != std::string::npos && end != std::string::npos;
    if (!is_refusal) return false;
    std::string detail = line.substr(begin, end - begin);
    for (const std::string& id : upstreams) {
      if (detail.find(id) != std::string::npos) return true;
    }
    return false;
  }

  void ExpectPairReturnsWithoutLoss() {
    world_->Rejoin(pair_);
    ExpectReturnWithoutLoss();
  }

  void ExpectReturnWithoutLoss() {
    world_->HealAll();
    RunUntilServed(kRecovery);
    // Time for a promotion that was ordered meanwhile.
    world_->Run(Duration::Seconds(2));
    ExpectInvariantsHold();
    ExpectWritesServed();
    ExpectInvariantsHold();
  }

  // Runs until writes are served, at most for the time.
  void RunUntilServed(Duration time) {
    constexpr int kServed = 20;  // Writes in a second.
    TimePoint end = world_->now() + time;
    int writes = 0;
    do {
      writes = world_->counts().writes;
      world_->Run(Duration::Seconds(1));
    } while (world_->counts().writes < writes + kServed && world_->now() < end);
  }

  void ExpectWritesServed() {
    world_->ResetCounts();
    world_->Run(Duration::Seconds(3));
    const SessionCounts& counts = world_->counts();
    std::string message = variant_ + ": " + std::to_string(counts.writes) +
                          " writes, " + std::to_string(counts.done) +
                          " done, " + std::to_string(counts.refused) +
                          " refused, " + std::to_string(counts.unknown) +
                          " unknown, problem: " + world_->problem();
    CPPUNIT_ASSERT_MESSAGE(message, counts.writes > 100);
  }

  void ExpectWriteGapAtMost(int64_t limit_ms) {
    int64_t gap = world_->counts().write_gap;
    std::string message = variant_ + ": write gap " + std::to_string(gap) +
                          " ms, allowed " + std::to_string(limit_ms);
    std::cout << " " << message;
    CPPUNIT_ASSERT_MESSAGE(message, gap <= limit_ms);
  }

  void ExpectInvariantsHold() {
    world_->CheckEffects();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(variant_, std::string(), world_->problem());
    CPPUNIT_ASSERT(world_->counts().done > 0);
  }

  std::unique_ptr<SessionWorld> world_;
  std::string variant_;
  UpstreamId old_;
  Names pair_;  // The upstreams that have the later commits.
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionSilentUpstreamTest);

}  // namespace
}  // namespace fireflycart::standins
