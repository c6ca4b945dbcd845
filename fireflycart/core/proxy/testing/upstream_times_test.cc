// Tests of the times at which upstreams were first known and known to leave.

#include "fireflycart/core/proxy/upstream_times.h"

#include <cppunit/extensions/HelperMacros.h>

namespace fireflycart::proxy {
namespace {

const UpstreamId kUpstream("up-a");
constexpr int64_t kStartedMs = 50;
constexpr TimePoint kUnknown;

TimePoint At(int64_t millis) { return TimePoint::FromMillis(millis); }

std::map<UpstreamId, UpstreamRecord> Records(bool leaving,
                                             int64_t started_ms = kStartedMs) {
  UpstreamRecord record;
  record.id = kUpstream;
  record.leaving = leaving;
  record.started_ms = started_ms;
  return {{kUpstream, record}};
}

std::vector<UpstreamAge> Ages(std::optional<Duration> known_for,
                              std::optional<Duration> leaving_for) {
  return {UpstreamAge{kUpstream, kStartedMs, known_for, leaving_for}};
}

class UpstreamTimesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UpstreamTimesTest);
  CPPUNIT_TEST(Update_FirstList_TimesAreUnknown);
  CPPUNIT_TEST(Update_BeginsToLeave_LeavesSinceListWasUnchanged);
  CPPUNIT_TEST(Update_AfterGap_LeavingTimeIsUnknown);
  CPPUNIT_TEST(Update_StartsAgain_TimesBeginAnew);
  CPPUNIT_TEST(Update_EntryReturns_TimesAreKept);
  CPPUNIT_TEST(Merge_TimeUnknown_TakesAgeOfPeer);
  CPPUNIT_TEST(Merge_TwoPeers_EarliestCounts);
  CPPUNIT_TEST(Merge_SlightlyEarlier_NothingChanges);
  CPPUNIT_TEST(Merge_OtherStartOrNotLeaving_IsIgnored);
  CPPUNIT_TEST(Ages_UnknownOrOld_AreNotSent);
  CPPUNIT_TEST(Ages_KnownForLong_AreNotSent);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Update_FirstList_TimesAreUnknown() {
    times_.Update(Records(true), At(1000), At(1000));
    CPPUNIT_ASSERT(times_.KnownSince(kUpstream) == kUnknown);
    CPPUNIT_ASSERT(times_.LeavingSince(kUpstream) == kUnknown);
  }

  void Update_BeginsToLeave_LeavesSinceListWasUnchanged() {
    times_.Update(Records(false), At(1000), At(1000));
    times_.Update(Records(true), At(1800), At(2000));
    CPPUNIT_ASSERT(times_.LeavingSince(kUpstream) == At(1800));
    times_.Update(Records(true), At(3000), At(3000));
    CPPUNIT_ASSERT(times_.LeavingSince(kUpstream) == At(1800));
  }

  void Update_AfterGap_LeavingTimeIsUnknown() {
    times_.Update(Records(false), At(1000), At(1000));
    times_.Update(Records(true), kUnknown, At(9000));
    CPPUNIT_ASSERT(times_.LeavingSince(kUpstream) == kUnknown);
  }

  void Update_StartsAgain_TimesBeginAnew() {
    times_.Update(Records(false), At(1000), At(1000));
    times_.Update(Records(true), At(2000), At(2000));
    times_.Update(Records(false, kStartedMs + 1), At(3000), At(3000));
    CPPUNIT_ASSERT(times_.KnownSince(kUpstream) == At(3000));
    CPPUNIT_ASSERT(times_.LeavingSince(kUpstream) == kUnknown);
  }

  // Entries may expire while the store is away.
  void Update_EntryReturns_TimesAreKept() {
    times_.Update({}, At(900), At(900));
    times_.Update(Records(true), At(1000), At(1000));
    times_.Update({}, At(2000), At(2000));
    times_.Update(Records(true), At(4000), At(4000));
    CPPUNIT_ASSERT(times_.KnownSince(kUpstream) == At(1000));
    CPPUNIT_ASSERT(times_.LeavingSince(kUpstream) == At(1000));
  }

  void Merge_TimeUnknown_TakesAgeOfPeer() {
    times_.Update(Records(true), At(5000), At(5000));
    CPPUNIT_ASSERT(times_.Merge(
        Ages(Duration::Millis(3000), Duration::Millis(2000)), At(5000)));
    CPPUNIT_ASSERT(times_.KnownSince(kUpstream) == At(2000));
    CPPUNIT_ASSERT(times_.LeavingSince(kUpstream) == At(3000));
  }

  void Merge_TwoPeers_EarliestCounts() {
    times_.Update(Records(true), At(5000), At(5000));
    times_.Merge(Ages(std::nullopt, Duration::Millis(2000)), At(5000));
    times_.Merge(Ages(std::nullopt, Duration::Millis(1000)), At(5000));
    CPPUNIT_ASSERT(times_.LeavingSince(kUpstream) == At(3000));
    times_.Merge(Ages(std::nullopt, Duration::Millis(2500)), At(5000));
    CPPUNIT_ASSERT(times_.LeavingSince(kUpstream) == At(2500));
  }

  // Else each VM of a large fleet would pass on several corrections.
  void Merge_SlightlyEarlier_NothingChanges() {
    times_.Update(Records(false), At(1000), At(1000));
    times_.Update(Records(true), At(5000), At(5000));
    Duration earlier = UpstreamTimes::kTolerance - Duration::Millis(1);
    CPPUNIT_ASSERT(!times_.Merge(Ages(std::nullopt, earlier), At(5000)));
    CPPUNIT_ASSERT(times_.LeavingSince(kUpstream) == At(5000));
  }

  void Merge_OtherStartOrNotLeaving_IsIgnored() {
    times_.Update(Records(false), At(5000), At(5000));
    CPPUNIT_ASSERT(
        !times_.Merge(Ages(std::nullopt, Duration::Millis(2000)), At(5000)));
    times_.Update(Records(true, kStartedMs + 1), At(6000), At(6000));
    CPPUNIT_ASSERT(
        !times_.Merge(Ages(std::nullopt, Duration::Millis(2000)), At(6000)));
  }

  void Ages_UnknownOrOld_AreNotSent() {
    times_.Update(Records(false), At(1000), At(1000));
    CPPUNIT_ASSERT(times_.Ages(At(1000)).empty());
    times_.Update(Records(true), At(2000), At(2000));
    std::vector<UpstreamAge> ages = times_.Ages(At(2500));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, ages.size());
    CPPUNIT_ASSERT(!ages[0].known_for);
    CPPUNIT_ASSERT(ages[0].leaving_for == Duration::Millis(500));
    CPPUNIT_ASSERT(
        times_.Ages(At(2000) + UpstreamTimes::kMaxLeavingAge).empty());
  }

  // Else all heartbeats of a large fleet are several times as long for a while
  // after its start.
  void Ages_KnownForLong_AreNotSent() {
    times_.Update({}, At(1000), At(1000));
    times_.Update(Records(false), At(2000), At(2000));
    Duration limit = UpstreamTimes::kMaxKnownAge;
    CPPUNIT_ASSERT_EQUAL(
        size_t{1}, times_.Ages(At(2000) + limit - Duration::Millis(1)).size());
    CPPUNIT_ASSERT(times_.Ages(At(2000) + limit).empty());
  }

 private:
  UpstreamTimes times_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamTimesTest);

}  // namespace
}  // namespace fireflycart::proxy
