// Reads that run in the data centre of their callers, past the owner of the
// group: what crosses between data centres, and that no read is stale when
// readers, owners, primaries or replicas fail. The world checks the history of
// every read.

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

#include "fireflycart/standins/testing/session_world.h"

namespace fireflycart::standins {
namespace {

constexpr uint64_t kSeed = 5;
constexpr int kVms = 6;  // Two in each of three data centres.
constexpr Duration kWarmUp = Duration::Seconds(4);

class SessionDataCentreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SessionDataCentreTest);
  CPPUNIT_TEST(Reads_ReplicaNearby_HalfAsManyCross);
  CPPUNIT_TEST(DataCentre_OneOrNone_NothingChanges);
  CPPUNIT_TEST(Reader_CutFromOwner_ServesNothingOldAndReadsGoOn);
  CPPUNIT_TEST(Reader_Killed_ReadsGoOn);
  CPPUNIT_TEST(Primary_CrashesWhileReadersServe_NoReadIsStale);
  CPPUNIT_TEST(Replica_AppliesLate_ReadsGoElsewhere);
  CPPUNIT_TEST(Replica_IsSilent_ReadsGoElsewhere);
  CPPUNIT_TEST(Replica_FailsHalfItsReads_ReadsGoElsewhere);
  CPPUNIT_TEST(Replica_Leaves_IsSentNothingMore);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Without readers each statement crosses on its way to the owner, and again
  // to the upstream unless that is the owner's neighbour.
  void Reads_ReplicaNearby_HalfAsManyCross() {
    // A single run varies by a third.
    constexpr uint64_t kRuns = 24;
    double without = 0;
    double with = 0;
    for (uint64_t seed = 1; seed <= kRuns; seed++) {
      without += CrossingPerOperation(false, seed) / kRuns;
      with += CrossingPerOperation(true, seed) / kRuns;
    }
    std::cout << "\ncrossings for each operation without readers " << without
              << ", with " << with << "\n";
    CPPUNIT_ASSERT(2 * with < without);
  }

  void DataCentre_OneOrNone_NothingChanges() {
    for (int data_centres : {0, 1}) {
      SessionWorldOptions options = Options();
      options.data_centres = data_centres;
      MakeWorld(options);
      world_->Run(Duration::Seconds(6));
      int done = world_->counts().done;
      int sent = world_->statements_sent();
      options.proxy.set_reads_nearby(false);
      MakeWorld(options);
      world_->Run(Duration::Seconds(6));
      CPPUNIT_ASSERT_EQUAL(world_->counts().done, done);
      CPPUNIT_ASSERT_EQUAL(world_->statements_sent(), sent);
      ExpectInvariantsHold();
    }
  }

  // The evidence is too old after the reads' maximum age. The other VMs of the
  // data centre reach the owner, so their callers are served.
  void Reader_CutFromOwner_ServesNothingOldAndReadsGoOn() {
    MakeWorld(Options());
    world_->Run(kWarmUp);
    int reader = FindReader();
    world_->Cut("vm-" + std::to_string(reader), world_->owner().value());
    world_->Run(Duration::Seconds(3));
    ExpectInvariantsHold();
    world_->HealAll();
    world_->Run(Duration::Seconds(2));
    ExpectReadsAreServed(2);
    ExpectInvariantsHold();
  }

  void Reader_Killed_ReadsGoOn() {
    MakeWorld(Options());
    world_->Run(kWarmUp);
    world_->ResetGaps();
    world_->KillVm(FindReader());
    world_->Run(Duration::Seconds(3));
    // Half of the other callers have no part in it.
    CPPUNIT_ASSERT(world_->counts().read_gap < 300);
    ExpectReadsAreServed(3);
    ExpectInvariantsHold();
  }

  void Primary_CrashesWhileReadersServe_NoReadIsStale() {
    MakeWorld(Options());
    world_->Run(kWarmUp);
    UpstreamId old = world_->primary();
    // No commit is in progress, so a replica has the whole log.
    world_->PauseCallers(true);
    world_->Run(Duration::Millis(100));
    world_->CrashUpstream(old);
    world_->PauseCallers(false);
    world_->Run(Duration::Seconds(4));
    CPPUNIT_ASSERT_EQUAL(1, world_->promotions());
    world_->RestartUpstream(old);
    world_->Run(Duration::Seconds(3));
    ExpectReadsAreServed(2);
    ExpectInvariantsHold();
  }

  // The replica itself refuses reads that it is too far behind for.
  void Replica_AppliesLate_ReadsGoElsewhere() {
    MakeWorld(Options());
    world_->Run(kWarmUp);
    world_->database().SetApplyLag(NearbyReplica(), Duration::Seconds(10));
    world_->ResetCounts();
    world_->Run(Duration::Seconds(4));
    ExpectShareInTarget(95);
    ExpectInvariantsHold();
  }

  // Until the reader gives up the reads that are under way.
  void Replica_IsSilent_ReadsGoElsewhere() {
    MakeWorld(Options());
    world_->Run(kWarmUp);
    world_->MuteConnections(FindReader(), NearbyReplica());
    world_->ResetCounts();
    world_->Run(Duration::Seconds(4));
    ExpectShareInTarget(95);
    CPPUNIT_ASSERT_EQUAL(0, world_->counts().refused);
    ExpectInvariantsHold();
  }

  // Single reads only: a transaction that has begun can't be repeated.
  void Replica_FailsHalfItsReads_ReadsGoElsewhere() {
    SessionWorldOptions options = Options();
    options.only_reads = true;
    MakeWorld(options);
    world_->Run(kWarmUp);
    world_->database().SetFailing(NearbyReplica(), true);
    world_->ResetCounts();
    world_->Run(Duration::Seconds(4));
    ExpectShareInTarget(95);
    CPPUNIT_ASSERT_EQUAL(0, world_->counts().failed);
    ExpectInvariantsHold();
  }

  void Replica_Leaves_IsSentNothingMore() {
    MakeWorld(Options());
    world_->Run(kWarmUp);
    UpstreamId replica = NearbyReplica();
    CPPUNIT_ASSERT(world_->reads_at(replica) > 0);
    world_->Drain(replica);
    // The list of upstreams comes through the store.
    world_->Run(Duration::Seconds(2));
    int reads = world_->reads_at(replica);
    world_->Run(Duration::Seconds(3));
    CPPUNIT_ASSERT_EQUAL(reads, world_->reads_at(replica));
    ExpectReadsAreServed(2);
    ExpectInvariantsHold();
  }

 private:
  // Bounded and own-writes reads, as on a route whose reads may be 1 s old.
  static SessionWorldOptions Options() {
    SessionWorldOptions options;
    options.vms = kVms;
    options.callers = 24;
    options.data_centres = 3;
    options.mixed_consistencies = false;
    options.consistency = proxy::ReadConsistency::kOwnWrites;
    return options;
  }

  void MakeWorld(const SessionWorldOptions& options) {
    world_ = std::make_unique<SessionWorld>(options, kSeed);
  }

  double CrossingPerOperation(bool has_readers, uint64_t seed) {
    SessionWorldOptions options = Options();
    options.consistency = proxy::ReadConsistency::kBoundedStaleness;
    options.only_reads = true;
    options.proxy.set_reads_nearby(has_readers);
    world_ = std::make_unique<SessionWorld>(options, seed);
    world_->Run(kWarmUp);
    world_->ResetCounts();
    int before = world_->statements_crossing();
    world_->Run(Duration::Seconds(5));
    ExpectInvariantsHold();
    int crossing = world_->statements_crossing() - before;
    return static_cast<double>(crossing) / world_->counts().done;
  }

  // A VM that reads without being the owner.
  int FindReader() {
    for (int i = 0; i < kVms; i++) {
      const proxy::ProxyReducer* vm = world_->vm(i);
      bool is_owner = world_->owner() == VmId("vm-" + std::to_string(i));
      if (is_owner || vm == nullptr) continue;
      if (vm->gauges().upstream_connections > 0) return i;
    }
    CPPUNIT_FAIL("no VM reads in its data centre");
    return -1;
  }

  // The replica in the data centre of that VM.
  UpstreamId NearbyReplica() {
    const char* upstreams[] = {"up-a", "up-b", "up-c"};
    return UpstreamId(upstreams[FindReader() % 3]);
  }

  void ExpectReadsAreServed(int seconds) {
    world_->ResetCounts();
    world_->Run(Duration::Seconds(seconds));
    ExpectShareInTarget(99);
  }

  void ExpectShareInTarget(int percent) {
    const SessionCounts& counts = world_->counts();
    int in_target = 0;
    int all = 0;
    for (size_t i = 0; i < proxy::kReadConsistencies; i++) {
      in_target += counts.in_target[i];
      all += counts.in_target[i] + counts.late[i] + counts.not_served[i];
    }
    CPPUNIT_ASSERT(all > 0);
    CPPUNIT_ASSERT_MESSAGE(
        std::to_string(in_target) + " of " + std::to_string(all) + " in target",
        in_target * 100 >= all * percent);
  }

  void ExpectInvariantsHold() {
    world_->CheckEffects();
    CPPUNIT_ASSERT_EQUAL(std::string(), world_->problem());
    CPPUNIT_ASSERT(world_->counts().done > 0);
  }

  std::unique_ptr<SessionWorld> world_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionDataCentreTest);

}  // namespace
}  // namespace fireflycart::standins
