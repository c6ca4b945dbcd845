// Tests of fencing and of the choice of a primary.

#include "fireflycart/core/takeover.h"

#include <cppunit/extensions/HelperMacros.h>

namespace fireflycart {
namespace {

const Term kOld(5);
const Term kNew(9);
const UpstreamId kA("a");
const UpstreamId kB("b");
const UpstreamId kC("c");
const Duration kGrace = Duration::Millis(300);

class TakeoverTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TakeoverTest);
  CPPUNIT_TEST(Choice_ReplicaAheadInOldTerm_HigherEntryTermWins);
  CPPUNIT_TEST(Choice_EqualLogs_OldPrimaryStays);
  CPPUNIT_TEST(Choice_MinorityFenced_Waits);
  CPPUNIT_TEST(Choice_AvoidedIsAheadAlone_FencedMajorityOfOthersDecides);
  CPPUNIT_TEST(Choice_AvoidedIsNeededForMajority_AvoidedIsPromoted);
  CPPUNIT_TEST(Step_HigherTermSeen_Overtaken);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { view_.SetMembers({kA, kB, kC}); }

  void Choice_ReplicaAheadInOldTerm_HigherEntryTermWins() {
    takeover_.Start(kNew, kA, {}, TimePoint());
    Fenced(kA, Term(4), 200);
    Fenced(kB, kOld, 100);
    Fenced(kC, kOld, 90);
    Step();
    CPPUNIT_ASSERT(takeover_.stage() == TakeoverStage::kPromoting);
    CPPUNIT_ASSERT_EQUAL(kB, takeover_.primary());
    CPPUNIT_ASSERT_EQUAL(kOld, takeover_.inherited_term());
  }

  void Choice_EqualLogs_OldPrimaryStays() {
    takeover_.Start(kNew, kC, {}, TimePoint());
    Fenced(kA, kOld, 100);
    Fenced(kB, kOld, 100);
    Fenced(kC, kOld, 100);
    Step();
    CPPUNIT_ASSERT_EQUAL(kC, takeover_.primary());
  }

  void Choice_MinorityFenced_Waits() {
    takeover_.Start(kNew, kA, {}, TimePoint());
    Fenced(kA, kOld, 100);
    Step();
    CPPUNIT_ASSERT(takeover_.stage() == TakeoverStage::kFencing);
  }

  void Choice_AvoidedIsAheadAlone_FencedMajorityOfOthersDecides() {
    takeover_.Start(kNew, kA, {kA}, TimePoint());
    Fenced(kA, kOld, 200);
    Fenced(kB, kOld, 100);
    Fenced(kC, kOld, 110);
    Step();
    CPPUNIT_ASSERT_EQUAL(kC, takeover_.primary());
  }

  // The avoided upstream may hold the only other copy of acknowledged writes.
  void Choice_AvoidedIsNeededForMajority_AvoidedIsPromoted() {
    takeover_.Start(kNew, kA, {kA}, TimePoint());
    Fenced(kA, kOld, 200);
    Fenced(kB, kOld, 100);
    takeover_.Step(view_, {kC}, 3, kGrace, TimePoint());
    CPPUNIT_ASSERT_EQUAL(kA, takeover_.primary());
  }

  void Step_HigherTermSeen_Overtaken() {
    takeover_.Start(kNew, kA, {}, TimePoint());
    UpstreamStatus status;
    status.term = Term(10);
    view_.Observe(kB, status, Instant{TimePoint(), ++sequence_});
    Step();
    CPPUNIT_ASSERT(takeover_.stage() == TakeoverStage::kOvertaken);
  }

 private:
  void Fenced(const UpstreamId& id, Term entry_term, uint64_t held) {
    UpstreamStatus status;
    status.term = kNew;
    status.entry_term = entry_term;
    status.held = Position(held);
    view_.Observe(id, status, Instant{TimePoint(), ++sequence_});
  }

  void Step() { takeover_.Step(view_, {}, 3, kGrace, TimePoint()); }

  ReplicationView view_;
  Takeover takeover_;
  uint64_t sequence_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TakeoverTest);

}  // namespace
}  // namespace fireflycart
