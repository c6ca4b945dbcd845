// Tests of how long knowledge of routes and keys counts.

#include "fireflycart/core/proxy/routes_age.h"

#include <cppunit/extensions/HelperMacros.h>

namespace fireflycart::proxy {
namespace {

constexpr Duration kLimit = Duration::Millis(5000);
constexpr TimePoint kStart = TimePoint::FromMillis(100'000);

class RoutesAgeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RoutesAgeTest);
  CPPUNIT_TEST(Limit_None_AlwaysServes);
  CPPUNIT_TEST(Age_NeverConfirmed_DoesNotServe);
  CPPUNIT_TEST(Age_AtLimitLessMargin_ServesAndNotAfter);
  CPPUNIT_TEST(Confirm_OlderThanKnown_ChangesNothing);
  CPPUNIT_TEST(Periods_ThirdOfLimitInAll_WithinBounds);
  CPPUNIT_TEST(ApplyLimit_NoKeys_CountsAlone);
  CPPUNIT_TEST(TwoLimits_WithKeys_TheShorterCounts);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Limit_None_AlwaysServes() {
    RoutesAge age{Duration(), Duration()};
    age.SetHasKeys(true);
    CPPUNIT_ASSERT(!age.has_limit());
    CPPUNIT_ASSERT(age.MayServeKeys(kStart));
  }

  void Age_NeverConfirmed_DoesNotServe() {
    RoutesAge age = WithKeys(kLimit);
    CPPUNIT_ASSERT(!age.MayServeKeys(TimePoint::FromMillis(1)));
    CPPUNIT_ASSERT(!age.IsYoung(TimePoint::FromMillis(1)));
  }

  void Age_AtLimitLessMargin_ServesAndNotAfter() {
    RoutesAge age = WithKeys(kLimit);
    age.Confirm(kStart);
    TimePoint last = kStart + kLimit - RoutesAge::kMargin;
    CPPUNIT_ASSERT(age.MayServeKeys(last));
    CPPUNIT_ASSERT(!age.MayServeKeys(last + Duration::Millis(1)));
  }

  void Confirm_OlderThanKnown_ChangesNothing() {
    RoutesAge age = WithKeys(kLimit);
    age.Confirm(kStart);
    age.Confirm(kStart - Duration::Millis(1));
    CPPUNIT_ASSERT_EQUAL(int64_t{7},
                         age.Age(kStart + Duration::Millis(7)).millis());
  }

  void Periods_ThirdOfLimitInAll_WithinBounds() {
    RoutesAge age = WithKeys(kLimit);
    Duration sum = age.read_period() + age.ask_period() * 2;
    CPPUNIT_ASSERT(sum * 3 <= kLimit);
    CPPUNIT_ASSERT(sum * 3 > kLimit - Duration::Millis(20));
    CPPUNIT_ASSERT_EQUAL(int64_t{200},
                         WithKeys(Duration::Millis(500)).ask_period().millis());
    CPPUNIT_ASSERT_EQUAL(
        int64_t{4000}, WithKeys(Duration::Seconds(600)).read_period().millis());
  }

  void ApplyLimit_NoKeys_CountsAlone() {
    RoutesAge age(kLimit, Duration::Millis(1000));
    CPPUNIT_ASSERT(age.has_limit());
    CPPUNIT_ASSERT(age.MayServeKeys(kStart));
    CPPUNIT_ASSERT(!age.IsYoung(kStart));
    age.Confirm(kStart);
    CPPUNIT_ASSERT(age.IsYoung(kStart + Duration::Millis(2000)));
    CPPUNIT_ASSERT(!age.IsYoung(kStart + Duration::Millis(2500)));
  }

  void TwoLimits_WithKeys_TheShorterCounts() {
    RoutesAge age(kLimit, Duration::Millis(3000));
    age.SetHasKeys(true);
    CPPUNIT_ASSERT_EQUAL(int64_t{500}, age.read_period().millis());
    CPPUNIT_ASSERT(!age.IsYoung(Duration::Millis(2000)));
    RoutesAge shorter_apply(Duration::Millis(3000), kLimit);
    shorter_apply.SetHasKeys(true);
    CPPUNIT_ASSERT_EQUAL(int64_t{500}, shorter_apply.read_period().millis());
  }

 private:
  static RoutesAge WithKeys(Duration limit) {
    RoutesAge age(Duration(), limit);
    age.SetHasKeys(true);
    return age;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoutesAgeTest);

}  // namespace
}  // namespace fireflycart::proxy
