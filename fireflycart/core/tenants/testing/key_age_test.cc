// Tests of how long knowledge of keys counts.

#include "fireflycart/core/tenants/key_age.h"

#include <cppunit/extensions/HelperMacros.h>

namespace fireflycart {
namespace {

constexpr Duration kLimit = Duration::Millis(5000);
constexpr TimePoint kStart = TimePoint::FromMillis(100'000);

class KeyAgeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(KeyAgeTest);
  CPPUNIT_TEST(Limit_None_AlwaysServes);
  CPPUNIT_TEST(Age_NeverConfirmed_DoesNotServe);
  CPPUNIT_TEST(Age_AtLimitLessMargin_ServesAndNotAfter);
  CPPUNIT_TEST(Confirm_OlderThanKnown_ChangesNothing);
  CPPUNIT_TEST(Periods_ThirdOfLimitInAll_WithinBounds);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Limit_None_AlwaysServes() {
    KeyAge age{Duration()};
    CPPUNIT_ASSERT(!age.has_limit());
    CPPUNIT_ASSERT(age.MayServe(kStart));
  }

  void Age_NeverConfirmed_DoesNotServe() {
    KeyAge age(kLimit);
    CPPUNIT_ASSERT(!age.MayServe(TimePoint::FromMillis(1)));
    CPPUNIT_ASSERT(!age.IsYoung(TimePoint::FromMillis(1)));
  }

  void Age_AtLimitLessMargin_ServesAndNotAfter() {
    KeyAge age(kLimit);
    age.Confirm(kStart);
    TimePoint last = kStart + kLimit - KeyAge::kMargin;
    CPPUNIT_ASSERT(age.MayServe(last));
    CPPUNIT_ASSERT(!age.MayServe(last + Duration::Millis(1)));
  }

  void Confirm_OlderThanKnown_ChangesNothing() {
    KeyAge age(kLimit);
    age.Confirm(kStart);
    age.Confirm(kStart - Duration::Millis(1));
    CPPUNIT_ASSERT_EQUAL(int64_t{7},
                         age.Age(kStart + Duration::Millis(7)).millis());
  }

  void Periods_ThirdOfLimitInAll_WithinBounds() {
    KeyAge age(kLimit);
    Duration sum = age.read_period() + age.ask_period() * 2;
    CPPUNIT_ASSERT(sum * 3 <= kLimit);
    CPPUNIT_ASSERT(sum * 3 > kLimit - Duration::Millis(20));
    CPPUNIT_ASSERT_EQUAL(int64_t{200},
                         KeyAge(Duration::Millis(500)).ask_period().millis());
    CPPUNIT_ASSERT_EQUAL(int64_t{4000},
                         KeyAge(Duration::Seconds(600)).read_period().millis());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeyAgeTest);

}  // namespace
}  // namespace fireflycart
