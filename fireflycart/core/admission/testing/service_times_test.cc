// Tests of the measured service times and of the load that arrives.

#include "fireflycart/core/admission/service_times.h"

#include <cppunit/extensions/HelperMacros.h>

namespace fireflycart::proxy {
namespace {

const TimePoint kStart = TimePoint::FromMillis(1000);

class ServiceTimesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServiceTimesTest);
  CPPUNIT_TEST(Expected_NotMeasured_ReturnsZero);
  CPPUNIT_TEST(Expected_ManyMeasurements_ApproachesThem);
  CPPUNIT_TEST(Expected_OldMeasurement_CountsLess);
  CPPUNIT_TEST(Expected_OtherKind_IsSeparate);
  CPPUNIT_TEST(Load_SteadyArrivals_EqualsStatementsRunning);
  CPPUNIT_TEST(Load_ArrivalsEnd_Declines);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Expected_NotMeasured_ReturnsZero() {
    CPPUNIT_ASSERT(times_.Expected(ServiceKind{}, kStart) == Duration());
  }

  void Expected_ManyMeasurements_ApproachesThem() {
    times_.OnServed(ServiceKind{}, Duration::Millis(10), kStart);
    for (int i = 0; i < 100; i++) {
      times_.OnServed(ServiceKind{}, Duration::Millis(50), kStart);
    }
    CPPUNIT_ASSERT(times_.Expected(ServiceKind{}, kStart) ==
                   Duration::Millis(50));
  }

  void Expected_OldMeasurement_CountsLess() {
    times_.OnServed(ServiceKind{}, Duration::Millis(40), kStart);
    TimePoint later = kStart + Duration::Millis(2100);
    CPPUNIT_ASSERT(times_.Expected(ServiceKind{}, later) ==
                   Duration::Millis(10));
    TimePoint much_later = kStart + Duration::Seconds(3600);
    CPPUNIT_ASSERT(times_.Expected(ServiceKind{}, much_later) == Duration());
  }

  void Expected_OtherKind_IsSeparate() {
    times_.OnServed(ServiceKind{}, Duration::Millis(40), kStart);
    ServiceKind commit{0, Access::kCommit, ReadConsistency::kStrong};
    CPPUNIT_ASSERT(times_.Expected(commit, kStart) == Duration());
  }

  // 100 statements a second of 30 ms keep three running.
  void Load_SteadyArrivals_EqualsStatementsRunning() {
    TimePoint now = kStart;
    for (int i = 0; i < 1000; i++) {
      now = now + Duration::Millis(10);
      load_.OnArrival(Duration::Millis(30), now);
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(3.0, load_.load(now), 0.1);
  }

  void Load_ArrivalsEnd_Declines() {
    load_.OnArrival(Duration::Millis(1000), kStart);
    double later = load_.load(kStart + Duration::Seconds(3));
    CPPUNIT_ASSERT(later > 0);
    CPPUNIT_ASSERT(later < 0.1);
  }

 private:
  ServiceTimes times_;
  ArrivalLoad load_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServiceTimesTest);

}  // namespace
}  // namespace fireflycart::proxy
