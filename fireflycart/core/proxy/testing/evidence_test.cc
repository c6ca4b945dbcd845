// Tests of the proofs that a primary is current.

#include "fireflycart/core/proxy/evidence.h"

#include <cppunit/extensions/HelperMacros.h>

namespace fireflycart::proxy {
namespace {

Instant At(int64_t millis, uint64_t sequence) {
  return Instant{TimePoint::FromMillis(millis), sequence};
}

class EvidenceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EvidenceTest);
  CPPUNIT_TEST(Position_WithoutProof_DoesNotCount);
  CPPUNIT_TEST(Position_SentAfterTheProof_DoesNotCount);
  CPPUNIT_TEST(Floor_OfAnAge_OldestPositionThatCoversIt);
  CPPUNIT_TEST(Proof_Older_DoesNotReplaceNewer);
  CPPUNIT_TEST(Primary_Changes_NothingCounts);
  CPPUNIT_TEST(Lag_OfAReplica_SinceThePrimaryHadMore);
  CPPUNIT_TEST(Reached_OutsideOfWhatIsKnown_NoClaim);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Position_WithoutProof_DoesNotCount() {
    evidence_.OnPrimaryPosition(At(100, 1), LogPosition{1, 5});
    CPPUNIT_ASSERT(!evidence_.FloorFor(TimePoint()).known());
    CPPUNIT_ASSERT(!evidence_.IsProvenSince(TimePoint()));
  }

  void Position_SentAfterTheProof_DoesNotCount() {
    evidence_.OnProof(At(90, 1));
    evidence_.OnPrimaryPosition(At(100, 2), LogPosition{1, 5});
    CPPUNIT_ASSERT(!evidence_.FloorFor(TimePoint()).known());
    evidence_.OnProof(At(110, 3));
    CPPUNIT_ASSERT(evidence_.FloorFor(TimePoint()) == (LogPosition{1, 5}));
  }

  void Floor_OfAnAge_OldestPositionThatCoversIt() {
    evidence_.OnPrimaryPosition(At(100, 1), LogPosition{1, 5});
    evidence_.OnPrimaryPosition(At(200, 2), LogPosition{1, 8});
    evidence_.OnPrimaryPosition(At(300, 3), LogPosition{1, 9});
    evidence_.OnProof(At(300, 3));
    TimePoint between = TimePoint::FromMillis(150);
    CPPUNIT_ASSERT(evidence_.FloorFor(between) == (LogPosition{1, 8}));
    CPPUNIT_ASSERT(!evidence_.FloorFor(TimePoint::FromMillis(301)).known());
  }

  void Proof_Older_DoesNotReplaceNewer() {
    evidence_.OnProof(At(200, 9));
    evidence_.OnProof(At(100, 4));
    CPPUNIT_ASSERT(evidence_.IsProvenSince(TimePoint::FromMillis(200)));
  }

  void Lag_OfAReplica_SinceThePrimaryHadMore() {
    evidence_.OnPrimaryPosition(At(100, 1), LogPosition{1, 5});
    evidence_.OnPrimaryPosition(At(200, 2), LogPosition{1, 8});
    evidence_.OnPrimaryPosition(At(300, 3), LogPosition{1, 9});
    TimePoint at = TimePoint::FromMillis(1000);
    CPPUNIT_ASSERT_EQUAL(int64_t{800},
                         evidence_.LagOf(LogPosition{1, 6}, at).millis());
    CPPUNIT_ASSERT_EQUAL(int64_t{700},
                         evidence_.LagOf(LogPosition{1, 8}, at).millis());
    CPPUNIT_ASSERT_EQUAL(int64_t{0},
                         evidence_.LagOf(LogPosition{1, 9}, at).millis());
  }

  void Reached_OutsideOfWhatIsKnown_NoClaim() {
    evidence_.OnPrimaryPosition(At(100, 1), LogPosition{1, 5});
    evidence_.OnPrimaryPosition(At(200, 2), LogPosition{1, 8});
    CPPUNIT_ASSERT(evidence_.ReachedAt(LogPosition{1, 4}) == TimePoint());
    CPPUNIT_ASSERT_EQUAL(int64_t{200},
                         evidence_.ReachedAt(LogPosition{1, 7}).millis());
    // It came after the last mark.
    CPPUNIT_ASSERT_EQUAL(int64_t{200},
                         evidence_.ReachedAt(LogPosition{1, 9}).millis());
  }

  void Primary_Changes_NothingCounts() {
    evidence_.OnPrimaryPosition(At(100, 1), LogPosition{1, 5});
    evidence_.OnProof(At(100, 1));
    evidence_.Forget();
    CPPUNIT_ASSERT(!evidence_.FloorFor(TimePoint()).known());
    CPPUNIT_ASSERT(!evidence_.IsProvenSince(TimePoint()));
  }

 private:
  Evidence evidence_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvidenceTest);

}  // namespace
}  // namespace fireflycart::proxy
