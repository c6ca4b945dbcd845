// Tests of the terms of holds.

#include "fireflycart/core/proxy/failover.h"

#include <cppunit/extensions/HelperMacros.h>

namespace fireflycart::proxy {
namespace {

uint64_t TokenOf(uint64_t era, uint64_t number) {
  return (era << DutyLease::kTokenNumberBits) | number;
}

class FailoverTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FailoverTest);
  CPPUNIT_TEST(HoldTerm_StoreRestored_GrowsWithTheToken);
  CPPUNIT_TEST(HoldTerm_NextTerm_IsAboveAllTokens);
  CPPUNIT_TEST(HoldTerm_OfEarlierVersion_LastsUntilItsTerm);
  CPPUNIT_TEST_SUITE_END();

 public:
  void HoldTerm_StoreRestored_GrowsWithTheToken() {
    uint64_t before = Failover::HoldTermOf(4, TokenOf(1, 900));
    uint64_t after = Failover::HoldTermOf(4, TokenOf(2, 40));
    CPPUNIT_ASSERT(before < after);
  }

  void HoldTerm_NextTerm_IsAboveAllTokens() {
    uint64_t before = Failover::HoldTermOf(4, TokenOf(9, 900));
    CPPUNIT_ASSERT(before < Failover::HoldTermOf(5, TokenOf(1, 40)));
    CPPUNIT_ASSERT(!Failover::IsHoldOver(before, 4));
    CPPUNIT_ASSERT(Failover::IsHoldOver(before, 5));
  }

  // A VM of an earlier version holds with the next term, without a token.
  void HoldTerm_OfEarlierVersion_LastsUntilItsTerm() {
    CPPUNIT_ASSERT(!Failover::IsHoldOver(5, 4));
    CPPUNIT_ASSERT(Failover::IsHoldOver(5, 5));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FailoverTest);

}  // namespace
}  // namespace fireflycart::proxy
