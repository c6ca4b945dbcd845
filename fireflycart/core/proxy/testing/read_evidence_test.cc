// Tests of which positions cover the commits up to a time, whatever the transit
// of the owner's answers.

#include "fireflycart/core/proxy/read_evidence.h"

#include <cppunit/extensions/HelperMacros.h>

namespace fireflycart::proxy {
namespace {

TimePoint At(int64_t millis) { return TimePoint::FromMillis(millis); }

class ReadEvidenceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReadEvidenceTest);
  CPPUNIT_TEST(MinPositionFor_NoEvidence_Unknown);
  CPPUNIT_TEST(MinPositionFor_TimeAfterEvidence_Unknown);
  CPPUNIT_TEST(MinPositionFor_SeveralQualify_OldestIsTaken);
  CPPUNIT_TEST(Add_AnswerOlderThanLast_IsIgnored);
  CPPUNIT_TEST(Add_UnknownPosition_IsIgnored);
  CPPUNIT_TEST(Add_ManyAnswers_OldOnesAreForgotten);
  CPPUNIT_TEST_SUITE_END();

 public:
  void MinPositionFor_NoEvidence_Unknown() {
    CPPUNIT_ASSERT(!evidence_.MinPositionFor(At(0)).known());
  }

  // Asked at 1000, with an age of 30: it may be as old as 970.
  void MinPositionFor_TimeAfterEvidence_Unknown() {
    evidence_.Add(At(1000), Duration::Millis(30), LogPosition{1, 5});
    CPPUNIT_ASSERT(evidence_.MinPositionFor(At(970)) == (LogPosition{1, 5}));
    CPPUNIT_ASSERT(!evidence_.MinPositionFor(At(971)).known());
  }

  void MinPositionFor_SeveralQualify_OldestIsTaken() {
    evidence_.Add(At(1000), Duration(), LogPosition{1, 5});
    evidence_.Add(At(1200), Duration(), LogPosition{1, 8});
    evidence_.Add(At(1400), Duration(), LogPosition{2, 2});
    CPPUNIT_ASSERT(evidence_.MinPositionFor(At(900)) == (LogPosition{1, 5}));
    CPPUNIT_ASSERT(evidence_.MinPositionFor(At(1001)) == (LogPosition{1, 8}));
    CPPUNIT_ASSERT(evidence_.MinPositionFor(At(1201)) == (LogPosition{2, 2}));
  }

  void Add_AnswerOlderThanLast_IsIgnored() {
    evidence_.Add(At(1200), Duration(), LogPosition{1, 8});
    evidence_.Add(At(1000), Duration(), LogPosition{1, 5});
    CPPUNIT_ASSERT(evidence_.MinPositionFor(At(900)) == (LogPosition{1, 8}));
  }

  void Add_UnknownPosition_IsIgnored() {
    evidence_.Add(At(1000), Duration(), LogPosition());
    CPPUNIT_ASSERT(!evidence_.MinPositionFor(At(900)).known());
  }

  void Add_ManyAnswers_OldOnesAreForgotten() {
    evidence_.Add(At(1000), Duration(), LogPosition{1, 1});
    TimePoint later = At(1001) + ReadEvidence::kMaxAge;
    evidence_.Add(later, Duration(), LogPosition{1, 9});
    CPPUNIT_ASSERT(evidence_.MinPositionFor(At(900)) == (LogPosition{1, 9}));
  }

 private:
  ReadEvidence evidence_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReadEvidenceTest);

}  // namespace
}  // namespace fireflycart::proxy
