// Tests that a position is used only if the primary was confirmed as current,
// and the estimates of replication lag.

#include "fireflycart/core/proxy/leadership_tracker.h"

#include <cppunit/extensions/HelperMacros.h>

namespace fireflycart::proxy {
namespace {

Instant At(int64_t millis, uint64_t sequence) {
  return Instant{TimePoint::FromMillis(millis), sequence};
}

class LeadershipTrackerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeadershipTrackerTest);
  CPPUNIT_TEST(MinPositionFor_NoConfirmation_Unknown);
  CPPUNIT_TEST(MinPositionFor_PositionSentAfterConfirmation_Unknown);
  CPPUNIT_TEST(MinPositionFor_Time_OldestPositionThatCoversIt);
  CPPUNIT_TEST(OnConfirmed_OlderConfirmation_KeepsNewer);
  CPPUNIT_TEST(OnConfirmed_Commit_PromotionMayBeRequested);
  CPPUNIT_TEST(OnReplicaReceives_OneReplica_PromotionMayBeRequested);
  CPPUNIT_TEST(OnReplicaReceives_TwoReplicas_OlderStatusCounts);
  CPPUNIT_TEST(OnReplicaReceives_AnswersOutOfOrder_NewestOfEachCounts);
  CPPUNIT_TEST(Reset_PrimaryChanged_NothingConfirmed);
  CPPUNIT_TEST(LagOf_Replica_TimeSincePrimaryHadMore);
  CPPUNIT_TEST(ReachedAt_OutsideSamples_ZeroOrLastSample);
  CPPUNIT_TEST(NewestPosition_LaterOneNotConfirmed_EarlierIsTaken);
  CPPUNIT_TEST_SUITE_END();

 public:
  void MinPositionFor_NoConfirmation_Unknown() {
    leadership_.OnPrimaryPosition(At(100, 1), LogPosition{1, 5});
    CPPUNIT_ASSERT(!leadership_.MinPositionFor(TimePoint()).known());
    CPPUNIT_ASSERT(!leadership_.IsConfirmedSince(TimePoint()));
  }

  void MinPositionFor_PositionSentAfterConfirmation_Unknown() {
    leadership_.OnConfirmed(At(90, 1));
    leadership_.OnPrimaryPosition(At(100, 2), LogPosition{1, 5});
    CPPUNIT_ASSERT(!leadership_.MinPositionFor(TimePoint()).known());
    leadership_.OnConfirmed(At(110, 3));
    CPPUNIT_ASSERT(leadership_.MinPositionFor(TimePoint()) ==
                   (LogPosition{1, 5}));
  }

  void MinPositionFor_Time_OldestPositionThatCoversIt() {
    leadership_.OnPrimaryPosition(At(100, 1), LogPosition{1, 5});
    leadership_.OnPrimaryPosition(At(200, 2), LogPosition{1, 8});
    leadership_.OnPrimaryPosition(At(300, 3), LogPosition{1, 9});
    leadership_.OnConfirmed(At(300, 3));
    TimePoint between = TimePoint::FromMillis(150);
    CPPUNIT_ASSERT(leadership_.MinPositionFor(between) == (LogPosition{1, 8}));
    CPPUNIT_ASSERT(
        !leadership_.MinPositionFor(TimePoint::FromMillis(301)).known());
  }

  void NewestPosition_LaterOneNotConfirmed_EarlierIsTaken() {
    TimePoint time;
    leadership_.OnPrimaryPosition(At(100, 1), LogPosition{1, 5});
    CPPUNIT_ASSERT(!leadership_.NewestPosition(&time).known());
    leadership_.OnPrimaryPosition(At(200, 2), LogPosition{1, 8});
    leadership_.OnConfirmed(At(210, 3));
    leadership_.OnPrimaryPosition(At(300, 4), LogPosition{1, 9});
    CPPUNIT_ASSERT(leadership_.NewestPosition(&time) == (LogPosition{1, 8}));
    CPPUNIT_ASSERT(time == TimePoint::FromMillis(200));
    leadership_.Reset();
    CPPUNIT_ASSERT(!leadership_.NewestPosition(&time).known());
  }

  void OnConfirmed_OlderConfirmation_KeepsNewer() {
    leadership_.OnConfirmed(At(200, 9));
    leadership_.OnConfirmed(At(100, 4));
    CPPUNIT_ASSERT(leadership_.IsConfirmedSince(TimePoint::FromMillis(200)));
  }

  void LagOf_Replica_TimeSincePrimaryHadMore() {
    leadership_.OnPrimaryPosition(At(100, 1), LogPosition{1, 5});
    leadership_.OnPrimaryPosition(At(200, 2), LogPosition{1, 8});
    leadership_.OnPrimaryPosition(At(300, 3), LogPosition{1, 9});
    TimePoint at = TimePoint::FromMillis(1000);
    CPPUNIT_ASSERT_EQUAL(int64_t{800},
                         leadership_.LagOf(LogPosition{1, 6}, at).millis());
    CPPUNIT_ASSERT_EQUAL(int64_t{700},
                         leadership_.LagOf(LogPosition{1, 8}, at).millis());
    CPPUNIT_ASSERT_EQUAL(int64_t{0},
                         leadership_.LagOf(LogPosition{1, 9}, at).millis());
  }

  void ReachedAt_OutsideSamples_ZeroOrLastSample() {
    leadership_.OnPrimaryPosition(At(100, 1), LogPosition{1, 5});
    leadership_.OnPrimaryPosition(At(200, 2), LogPosition{1, 8});
    CPPUNIT_ASSERT(leadership_.ReachedAt(LogPosition{1, 4}) == TimePoint());
    CPPUNIT_ASSERT_EQUAL(int64_t{200},
                         leadership_.ReachedAt(LogPosition{1, 7}).millis());
    // Reached after the last sample.
    CPPUNIT_ASSERT_EQUAL(int64_t{200},
                         leadership_.ReachedAt(LogPosition{1, 9}).millis());
  }

  // The successor of a planned change acknowledges commits until it leads.
  void OnConfirmed_Commit_PromotionMayBeRequested() {
    leadership_.OnConfirmed(At(100, 1));
    CPPUNIT_ASSERT(leadership_.IsConfirmedSince(uint64_t{1}));
    CPPUNIT_ASSERT(!leadership_.IsUnchallengedSince(TimePoint()));
  }

  // The replica may be the successor of a planned change.
  void OnReplicaReceives_OneReplica_PromotionMayBeRequested() {
    leadership_.OnReplicaReceives(UpstreamId("b"), At(100, 1));
    leadership_.OnReplicaReceives(UpstreamId("b"), At(120, 2));
    CPPUNIT_ASSERT(leadership_.IsConfirmedSince(uint64_t{2}));
    CPPUNIT_ASSERT(!leadership_.IsUnchallengedSince(TimePoint()));
  }

  void OnReplicaReceives_TwoReplicas_OlderStatusCounts() {
    leadership_.OnReplicaReceives(UpstreamId("b"), At(100, 1));
    leadership_.OnReplicaReceives(UpstreamId("c"), At(120, 2));
    CPPUNIT_ASSERT(leadership_.IsUnchallengedSince(TimePoint::FromMillis(100)));
    CPPUNIT_ASSERT(
        !leadership_.IsUnchallengedSince(TimePoint::FromMillis(101)));
    leadership_.OnReplicaReceives(UpstreamId("b"), At(140, 3));
    CPPUNIT_ASSERT(leadership_.IsUnchallengedSince(uint64_t{2}));
    CPPUNIT_ASSERT(!leadership_.IsUnchallengedSince(uint64_t{3}));
  }

  void OnReplicaReceives_AnswersOutOfOrder_NewestOfEachCounts() {
    leadership_.OnReplicaReceives(UpstreamId("b"), At(140, 4));
    leadership_.OnReplicaReceives(UpstreamId("b"), At(100, 1));
    leadership_.OnReplicaReceives(UpstreamId("c"), At(120, 3));
    leadership_.OnReplicaReceives(UpstreamId("c"), At(110, 2));
    CPPUNIT_ASSERT(leadership_.IsUnchallengedSince(uint64_t{3}));
    CPPUNIT_ASSERT(!leadership_.IsUnchallengedSince(uint64_t{4}));
  }

  void Reset_PrimaryChanged_NothingConfirmed() {
    leadership_.OnPrimaryPosition(At(100, 1), LogPosition{1, 5});
    leadership_.OnConfirmed(At(100, 1));
    leadership_.OnReplicaReceives(UpstreamId("b"), At(100, 1));
    leadership_.OnReplicaReceives(UpstreamId("c"), At(100, 1));
    leadership_.Reset();
    CPPUNIT_ASSERT(!leadership_.MinPositionFor(TimePoint()).known());
    CPPUNIT_ASSERT(!leadership_.IsConfirmedSince(TimePoint()));
    CPPUNIT_ASSERT(!leadership_.IsUnchallengedSince(TimePoint()));
  }

 private:
  LeadershipTracker leadership_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeadershipTrackerTest);

}  // namespace
}  // namespace fireflycart::proxy
