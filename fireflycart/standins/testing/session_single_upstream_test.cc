// A group that is left with one upstream, which leads: no replica is left that
// could confirm it, be promoted, or acknowledge its commits.

#include <cppunit/extensions/HelperMacros.h>

#include <initializer_list>
#include <memory>
#include <string>

#include "fireflycart/standins/testing/session_world.h"

namespace fireflycart::standins {
namespace {

constexpr uint64_t kSeed = 7;
// How long an upstream goes on after it announced that it leaves.
constexpr Duration kDrainTime = Duration::Seconds(8);
// Time after which the entry of an upstream that ended counts as gone.
constexpr Duration kGoneTime = Duration::Seconds(3);
// Time until the lead of the last upstream is proven.
constexpr Duration kProofTime = Duration::Seconds(9);
// A refusal at once: the queue is reviewed within this time.
constexpr int64_t kMaxRefusalMs = 60;
constexpr int64_t kMaxReadGapMs = 500;

class SessionSingleUpstreamTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SessionSingleUpstreamTest);
  CPPUNIT_TEST(Replicas_LeaveAsPlanned_ReadsGoOnWithoutGap);
  CPPUNIT_TEST(Replicas_LeaveAsPlanned_WritesAreRefusedAtOnceWithReason);
  CPPUNIT_TEST(LastReplica_EndsAsPlanned_WritesAreRefusedAtOnce);
  CPPUNIT_TEST(Replicas_LostAtOnce_ReadsResume);
  CPPUNIT_TEST(Owner_KilledWithOneUpstream_ReadsResume);
  CPPUNIT_TEST(Upstream_JoinsSingleOne_ServiceGoesOnWithoutGap);
  CPPUNIT_TEST(Store_DownWithOneUpstream_NewestReadsAreRefusedAtOnceWithReason);
  CPPUNIT_TEST(Store_DownWithOneUpstream_BoundedReadsEndWithTheirAge);
  CPPUNIT_TEST(Owner_WithOldListWhileJoinerIsPromoted_ReadsNothingStale);
  CPPUNIT_TEST(Owner_FrozenWhileJoinerIsPromoted_ReadsNothingStale);
  CPPUNIT_TEST(Owner_SeparatedWithStore_OthersReplacePrimary);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { MakeWorld(SessionWorldOptions()); }

  // The users' day two-scale-ins: every request was refused for ever.
  void Replicas_LeaveAsPlanned_ReadsGoOnWithoutGap() {
    world_->Run(Duration::Seconds(3));
    LeaveAsPlanned("up-b");
    world_->Run(kGoneTime);
    world_->Drain(UpstreamId("up-c"));
    world_->Run(kDrainTime);
    world_->ResetGaps();
    End("up-c");
    world_->Run(kProofTime);
    ExpectReadsServed(Duration::Seconds(3));
    ExpectReadGapAtMost(kMaxReadGapMs);
    ExpectInvariantsHold();
  }

  void Replicas_LeaveAsPlanned_WritesAreRefusedAtOnceWithReason() {
    SessionWorldOptions options;
    options.only_writes = true;
    MakeWorld(options);
    LeaveOne();
    ExpectRefusedAtOnce("no_replica");
    ExpectInvariantsHold();
  }

  // Before its entry has been missing for long.
  void LastReplica_EndsAsPlanned_WritesAreRefusedAtOnce() {
    SessionWorldOptions options;
    options.only_writes = true;
    MakeWorld(options);
    world_->Run(Duration::Seconds(3));
    LeaveAsPlanned("up-b");
    world_->Run(kGoneTime);
    LeaveAsPlanned("up-c");
    world_->Run(Duration::Millis(1200));
    ExpectRefusedAtOnce("no_replica", Duration::Millis(900));
    ExpectInvariantsHold();
  }

  void Replicas_LostAtOnce_ReadsResume() {
    LoseTwo();
    world_->Run(kProofTime);
    ExpectReadsServed(Duration::Seconds(3));
    ExpectInvariantsHold();
  }

  // The next owner needs the duty lease, which that VM had.
  void Owner_KilledWithOneUpstream_ReadsResume() {
    LeaveOne();
    world_->KillVm(IndexOf(world_->owner()));
    world_->Run(kProofTime);
    ExpectReadsServed(Duration::Seconds(3));
    ExpectInvariantsHold();
  }

  void Upstream_JoinsSingleOne_ServiceGoesOnWithoutGap() {
    LeaveOne();
    world_->ResetGaps();
    int writes = world_->counts().writes;
    world_->ReplaceUpstream(UpstreamId("up-b"));
    world_->Run(Duration::Seconds(10));
    ExpectReadGapAtMost(200);
    CPPUNIT_ASSERT(world_->counts().writes > writes + 100);
    // The state begins anew.
    LeaveAsPlanned("up-b");
    world_->Run(kProofTime);
    ExpectReadsServed(Duration::Seconds(3));
    ExpectInvariantsHold();
  }

  void Store_DownWithOneUpstream_NewestReadsAreRefusedAtOnceWithReason() {
    MakeStrongReadWorld();
    LeaveOne();
    ExpectReadsServed(Duration::Seconds(1));
    world_->store().SetRefusing(true);
    world_->Run(Duration::Seconds(5));
    ExpectRefusedAtOnce("primary_not_confirmed");
    CPPUNIT_ASSERT_EQUAL(0, world_->counts().done);
    world_->store().SetRefusing(false);
    world_->Run(kProofTime);
    ExpectReadsServed(Duration::Seconds(1));
    ExpectInvariantsHold();
  }

  void Store_DownWithOneUpstream_BoundedReadsEndWithTheirAge() {
    SessionWorldOptions options;
    options.mixed_consistencies = false;
    options.consistency = proxy::ReadConsistency::kBoundedStaleness;
    options.max_age = Duration::Seconds(2);
    MakeWorld(options);
    LeaveOne();
    world_->store().SetRefusing(true);
    // The lease was renewed within the last second, and lasts for three.
    world_->Run(Duration::Millis(1900));
    ExpectReadsServed(Duration::Millis(1900));
    world_->Run(Duration::Seconds(2));
    ExpectRefusedAtOnce("primary_not_confirmed");
    CPPUNIT_ASSERT_EQUAL(0, world_->counts().done);
    ExpectInvariantsHold();
  }

  // The owner and the primary are on one side, without the store. The others
  // promote an upstream that joins there, and commit through another one.
  void Owner_WithOldListWhileJoinerIsPromoted_ReadsNothingStale() {
    MakeStrongReadWorld();
    LeaveOne();
    std::string owner = world_->owner().value();
    world_->Cut(owner, "store");
    Separate(owner);
    PromoteJoiner(owner);
    world_->HealAll();
    world_->Run(Duration::Seconds(3));
    ExpectInvariantsHold();
  }

  void Owner_FrozenWhileJoinerIsPromoted_ReadsNothingStale() {
    MakeStrongReadWorld();
    LeaveOne();
    std::string owner = world_->owner().value();
    world_->FreezeVm(IndexOf(world_->owner()), Duration::Seconds(9));
    Separate(owner);
    PromoteJoiner(owner);
    world_->Run(Duration::Seconds(6));
    world_->HealAll();
    world_->Run(Duration::Seconds(3));
    ExpectInvariantsHold();
  }

  // That owner must not keep the lease: the entries of the replicas show that
  // they live.
  void Owner_SeparatedWithStore_OthersReplacePrimary() {
    world_->Run(Duration::Seconds(10));
    std::string owner = world_->owner().value();
    UpstreamId old = world_->primary();
    Separate(owner);
    for (const char* replica : {"up-b", "up-c"}) {
      world_->Cut(owner, replica);
      world_->Cut(old.value(), replica);
    }
    world_->Run(Duration::Seconds(6));
    CPPUNIT_ASSERT(world_->primary() != old);
    world_->HealAll();
    world_->Run(Duration::Seconds(3));
    ExpectInvariantsHold();
  }

 private:
  void MakeWorld(const SessionWorldOptions& options) {
    world_ = std::make_unique<SessionWorld>(options, kSeed);
  }

  void MakeStrongReadWorld() {
    SessionWorldOptions options;
    options.mixed_consistencies = false;
    options.consistency = proxy::ReadConsistency::kStrong;
    options.callers = 30;
    options.pause = Duration::Millis(5);
    MakeWorld(options);
  }

  static int IndexOf(const VmId& vm) { return vm.value().back() - '0'; }

  void End(const std::string& upstream) {
    world_->CrashUpstream(UpstreamId(upstream));
    world_->Unregister(UpstreamId(upstream));
  }

  void LeaveAsPlanned(const std::string& upstream) {
    world_->Drain(UpstreamId(upstream));
    world_->Run(kDrainTime);
    End(upstream);
  }

  // Two of the three leave; the first upstream leads.
  void LeaveOne() {
    world_->Run(Duration::Seconds(3));
    LeaveAsPlanned("up-b");
    world_->Run(kGoneTime);
    LeaveAsPlanned("up-c");
    world_->Run(kProofTime);
    CPPUNIT_ASSERT_EQUAL(std::string("up-a"), world_->primary().value());
  }

  void LoseTwo() {
    world_->Run(Duration::Seconds(3));
    for (const char* replica : {"up-b", "up-c"}) {
      world_->CrashUpstream(UpstreamId(replica));
    }
    // The entry is removed after three heartbeats.
    world_->Run(Duration::Seconds(2));
    for (const char* replica : {"up-b", "up-c"}) {
      world_->Unregister(UpstreamId(replica));
    }
  }

  // Cuts the VM off from the other VMs, and these from the primary.
  void Separate(const std::string& lone) {
    for (const char* vm : {"vm-0", "vm-1", "vm-2"}) {
      if (vm == lone) continue;
      world_->Cut(vm, lone);
      world_->Cut(vm, world_->primary().value());
    }
  }

  // Two upstreams join where that VM does not see them, and receive the log.
  void PromoteJoiner(const std::string& lone) {
    UpstreamId old = world_->primary();
    for (const char* joining : {"up-b", "up-c"}) {
      world_->Cut(lone, joining);
      world_->ReplaceUpstream(UpstreamId(joining));
    }
    world_->Run(Duration::Millis(50));
    for (const char* joining : {"up-b", "up-c"}) {
      world_->Cut(old.value(), joining);
    }
    int writes = world_->counts().writes;
    world_->Run(Duration::Seconds(12));
    CPPUNIT_ASSERT_EQUAL(1, world_->promotions());
    CPPUNIT_ASSERT(world_->counts().writes > writes);
  }

  void ExpectReadsServed(Duration time) {
    world_->ResetCounts();
    world_->Run(time);
    int done = world_->counts().done;
    std::string message = std::to_string(done) + " operations served, " +
                          std::to_string(world_->counts().refused) + " refused";
    CPPUNIT_ASSERT_MESSAGE(message, done >= time.millis() / 20);
  }

  void ExpectRefusedAtOnce(const std::string& reason,
                           Duration time = Duration::Seconds(2)) {
    world_->ResetCounts();
    world_->TakeLog();
    world_->Run(time);
    const SessionCounts& counts = world_->counts();
    std::string message = std::to_string(counts.refused) + " refused after " +
                          std::to_string(counts.refused_wait) + " ms in all";
    CPPUNIT_ASSERT_MESSAGE(message, counts.refused > 10);
    CPPUNIT_ASSERT_MESSAGE(
        message, counts.refused_wait <= counts.refused * kMaxRefusalMs);
    int reasons = 0;
    for (const std::string& line : world_->TakeLog()) {
      if (line.find(reason) != std::string::npos) reasons++;
    }
    CPPUNIT_ASSERT_MESSAGE(reason, reasons > 10);
  }

  void ExpectReadGapAtMost(int64_t limit_ms) {
    int64_t gap = world_->counts().read_gap;
    std::string message = "read gap " + std::to_string(gap) + " ms, allowed " +
                          std::to_string(limit_ms);
    CPPUNIT_ASSERT_MESSAGE(message, gap <= limit_ms);
  }

  void ExpectInvariantsHold() {
    world_->CheckEffects();
    CPPUNIT_ASSERT_EQUAL(std::string(), world_->problem());
  }

  std::unique_ptr<SessionWorld> world_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionSingleUpstreamTest);

}  // namespace
}  // namespace fireflycart::standins
