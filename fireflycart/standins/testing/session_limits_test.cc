// Tests of the limit of a tenant with callers, VMs and upstreams in virtual
// time.

#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "fireflycart/standins/testing/session_world.h"

namespace fireflycart::standins {
namespace {

class SessionLimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SessionLimitsTest);
  CPPUNIT_TEST(Callers_BeyondLimit_NearlyWholeLimitServed);
  CPPUNIT_TEST(Callers_BelowLimit_NoneRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Callers_BeyondLimit_NearlyWholeLimitServed() {
    SessionWorldOptions options;
    options.tenant_rate = 40;
    options.tenant_burst = 20;
    SessionWorld world(options, 21);
    world.Run(Duration::Seconds(10));
    world.ResetCounts();
    constexpr int kSeconds = 10;
    world.Run(Duration::Seconds(kSeconds));
    const SessionCounts& counts = world.counts();
    std::string figure = std::to_string(counts.done) + " done, " +
                         std::to_string(counts.refused) + " refused, " +
                         std::to_string(counts.failed) + " failed";
    CPPUNIT_ASSERT_MESSAGE(figure, counts.refused > 0);
    CPPUNIT_ASSERT_MESSAGE(figure, counts.done >= 40 * kSeconds * 95 / 100);
    CPPUNIT_ASSERT_MESSAGE(figure,
                           counts.done <= (40 * kSeconds + 20) * 1.1 + 20);
    CPPUNIT_ASSERT_EQUAL(std::string(), world.problem());
  }

  void Callers_BelowLimit_NoneRefused() {
    SessionWorldOptions options;
    options.tenant_rate = 2000;
    options.tenant_burst = 1000;
    SessionWorld world(options, 22);
    world.Run(Duration::Seconds(10));
    world.ResetCounts();
    world.Run(Duration::Seconds(5));
    const SessionCounts& counts = world.counts();
    CPPUNIT_ASSERT_EQUAL(0, counts.refused);
    CPPUNIT_ASSERT(counts.done > 500);
    CPPUNIT_ASSERT_EQUAL(std::string(), world.problem());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionLimitsTest);

}  // namespace
}  // namespace fireflycart::standins
