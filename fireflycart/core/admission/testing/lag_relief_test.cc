// Tests of the decision to change the primary because the replicas apply the
// log too late.

#include "fireflycart/core/admission/lag_relief.h"

#include <cppunit/extensions/HelperMacros.h>

namespace fireflycart::proxy {
namespace {

class LagReliefTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LagReliefTest);
  CPPUNIT_TEST(Decide_OverloadLasts_ChangesToTheLatestReplica);
  CPPUNIT_TEST(Decide_OverloadIsShort_Observes);
  CPPUNIT_TEST(Decide_LoadFits_KeepsPrimary);
  CPPUNIT_TEST(Decide_NotSteady_KeepsPrimary);
  CPPUNIT_TEST(Decide_LagEndsBeforeTheChange_KeepsPrimary);
  CPPUNIT_TEST(Decide_ReplicaLacksCommits_IsNotChosen);
  CPPUNIT_TEST(Decide_ReplicaIsNoCandidate_IsNotChosen);
  CPPUNIT_TEST(Decide_AfterChange_WaitsForInterval);
  CPPUNIT_TEST(Decide_ChangesFail_IntervalDoubles);
  CPPUNIT_TEST(Decide_ChangeTookLong_LagMustBeLonger);
  CPPUNIT_TEST(Decide_NoReplicas_KeepsPrimary);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    snapshot_.now = TimePoint::FromMillis(60000);
    snapshot_.is_steady = true;
    snapshot_.primary_received = LogPosition{1, 100};
    snapshot_.read_wait = Duration::Millis(900);
    snapshot_.read_target = Duration::Millis(400);
    snapshot_.max_read_age = Duration::Millis(2500);
    AddReplica("up-b", Duration::Seconds(50));
    AddReplica("up-c", Duration::Seconds(80));
  }

  void Decide_OverloadLasts_ChangesToTheLatestReplica() {
    CPPUNIT_ASSERT(ReasonAfterOverload() == LagReliefReason::kRelieves);
    CPPUNIT_ASSERT_EQUAL(UpstreamId("up-c"),
                         relief_.Decide(snapshot_).successor);
  }

  void Decide_OverloadIsShort_Observes() {
    CPPUNIT_ASSERT(Reason() == LagReliefReason::kObserving);
    snapshot_.read_wait = Duration();
    Advance(LagRelief::kMinOverload);
    CPPUNIT_ASSERT(Reason() == LagReliefReason::kLoadFits);
    snapshot_.read_wait = Duration::Millis(900);
    CPPUNIT_ASSERT(Reason() == LagReliefReason::kObserving);
  }

  void Decide_LoadFits_KeepsPrimary() {
    snapshot_.read_wait = snapshot_.read_target;
    CPPUNIT_ASSERT(ReasonAfterOverload() == LagReliefReason::kLoadFits);
  }

  void Decide_NotSteady_KeepsPrimary() {
    snapshot_.is_steady = false;
    CPPUNIT_ASSERT(ReasonAfterOverload() == LagReliefReason::kNotSteady);
  }

  void Decide_LagEndsBeforeTheChange_KeepsPrimary() {
    for (LaggingReplica& replica : snapshot_.replicas) {
      replica.announced_lag =
          snapshot_.max_read_age + LagRelief::kInitialChangeTime;
    }
    CPPUNIT_ASSERT(ReasonAfterOverload() == LagReliefReason::kNoCandidate);
  }

  void Decide_ReplicaLacksCommits_IsNotChosen() {
    snapshot_.replicas[1].received = LogPosition{1, 99};
    ReasonAfterOverload();
    CPPUNIT_ASSERT_EQUAL(UpstreamId("up-b"),
                         relief_.Decide(snapshot_).successor);
  }

  void Decide_ReplicaIsNoCandidate_IsNotChosen() {
    snapshot_.replicas[1].is_candidate = false;
    ReasonAfterOverload();
    CPPUNIT_ASSERT_EQUAL(UpstreamId("up-b"),
                         relief_.Decide(snapshot_).successor);
  }

  void Decide_AfterChange_WaitsForInterval() {
    Change(true, Duration::Millis(1000));
    CPPUNIT_ASSERT(ReasonAfterOverload() == LagReliefReason::kRecentChange);
    Advance(LagRelief::kMinInterval);
    CPPUNIT_ASSERT(Reason() == LagReliefReason::kRelieves);
  }

  void Decide_ChangesFail_IntervalDoubles() {
    for (int i = 0; i < 3; i++) Change(false, Duration::Millis(1000));
    CPPUNIT_ASSERT(relief_.interval() == LagRelief::kMinInterval * 8);
    for (int i = 0; i < 30; i++) Change(false, Duration::Millis(1000));
    CPPUNIT_ASSERT(relief_.interval() == LagRelief::kMaxInterval);
    Change(true, Duration::Millis(1000));
    CPPUNIT_ASSERT(relief_.interval() == LagRelief::kMinInterval);
  }

  // As where a promoted upstream must apply the log first.
  void Decide_ChangeTookLong_LagMustBeLonger() {
    Change(true, Duration::Seconds(90));
    Advance(LagRelief::kMaxInterval);
    CPPUNIT_ASSERT(ReasonAfterOverload() == LagReliefReason::kNoCandidate);
  }

  void Decide_NoReplicas_KeepsPrimary() {
    snapshot_.replicas.clear();
    CPPUNIT_ASSERT(ReasonAfterOverload() == LagReliefReason::kNoCandidate);
  }

 private:
  void AddReplica(const std::string& id, Duration lag) {
    LaggingReplica replica;
    replica.id = UpstreamId(id);
    replica.is_candidate = true;
    replica.received = snapshot_.primary_received;
    replica.announced_lag = lag;
    snapshot_.replicas.push_back(replica);
  }

  void Advance(Duration time) { snapshot_.now = snapshot_.now + time; }

  LagReliefReason Reason() { return relief_.Decide(snapshot_).reason; }

  LagReliefReason ReasonAfterOverload() {
    relief_.Decide(snapshot_);
    Advance(LagRelief::kMinOverload);
    return Reason();
  }

  void Change(bool is_done, Duration took) {
    relief_.OnChangeStarted(snapshot_.now);
    Advance(took);
    relief_.OnChangeEnded(is_done, snapshot_.now);
  }

  LagRelief relief_;
  LagReliefSnapshot snapshot_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LagReliefTest);

}  // namespace
}  // namespace fireflycart::proxy
