// Tests of fencing and of the choice of a primary.

#include "fireflycart/core/takeover.h"

#include <cppunit/extensions/HelperMacros.h>

namespace fireflycart {
namespace {

const Term kOldTerm(5);
const Term kNewTerm(9);
const UpstreamId kA("a");
const UpstreamId kB("b");
const UpstreamId kC("c");
const Duration kGrace = Duration::Millis(300);

class TakeoverTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TakeoverTest);
  CPPUNIT_TEST(Choice_ReplicaAheadInOldTerm_HigherEntryTermWins);
  CPPUNIT_TEST(Choice_EqualLogs_OldPrimaryStays);
  CPPUNIT_TEST(Choice_MinorityFenced_StaysFencing);
  CPPUNIT_TEST(Choice_AvoidedIsAheadAlone_FencedMajorityOfOthersDecides);
  CPPUNIT_TEST(Choice_AvoidedIsNeededForMajority_AvoidedIsPromoted);
  CPPUNIT_TEST(Step_HigherTermSeen_Preempted);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { view_.SetMembers({kA, kB, kC}); }

  void Choice_ReplicaAheadInOldTerm_HigherEntryTermWins() {
    takeover_.Start(kNewTerm, kA, {}, TimePoint());
    ObserveFenced(kA, Term(4), 200);
    ObserveFenced(kB, kOldTerm, 100);
    ObserveFenced(kC, kOldTerm, 90);
    Step();
    CPPUNIT_ASSERT(takeover_.stage() == TakeoverStage::kPromoting);
    CPPUNIT_ASSERT_EQUAL(kB, takeover_.primary());
    CPPUNIT_ASSERT_EQUAL(kOldTerm, takeover_.prior_entry_term());
  }

  void Choice_EqualLogs_OldPrimaryStays() {
    takeover_.Start(kNewTerm, kC, {}, TimePoint());
    ObserveFenced(kA, kOldTerm, 100);
    ObserveFenced(kB, kOldTerm, 100);
    ObserveFenced(kC, kOldTerm, 100);
    Step();
    CPPUNIT_ASSERT_EQUAL(kC, takeover_.primary());
  }

  void Choice_MinorityFenced_StaysFencing() {
    takeover_.Start(kNewTerm, kA, {}, TimePoint());
    ObserveFenced(kA, kOldTerm, 100);
    Step();
    CPPUNIT_ASSERT(takeover_.stage() == TakeoverStage::kFencing);
  }

  void Choice_AvoidedIsAheadAlone_FencedMajorityOfOthersDecides() {
    takeover_.Start(kNewTerm, kA, {kA}, TimePoint());
    ObserveFenced(kA, kOldTerm, 200);
    ObserveFenced(kB, kOldTerm, 100);
    ObserveFenced(kC, kOldTerm, 110);
    Step();
    CPPUNIT_ASSERT_EQUAL(kC, takeover_.primary());
  }

  // The avoided upstream may hold the only other copy of acknowledged writes.
  void Choice_AvoidedIsNeededForMajority_AvoidedIsPromoted() {
    takeover_.Start(kNewTerm, kA, {kA}, TimePoint());
    ObserveFenced(kA, kOldTerm, 200);
    ObserveFenced(kB, kOldTerm, 100);
    takeover_.Step(view_, {kC}, 3, kGrace, TimePoint());
    CPPUNIT_ASSERT_EQUAL(kA, takeover_.primary());
  }

  void Step_HigherTermSeen_Preempted() {
    takeover_.Start(kNewTerm, kA, {}, TimePoint());
    UpstreamStatus status;
    status.term = Term(10);
    view_.Observe(kB, status, Instant{TimePoint(), ++sequence_});
    Step();
    CPPUNIT_ASSERT(takeover_.stage() == TakeoverStage::kPreempted);
  }

 private:
  void ObserveFenced(const UpstreamId& id, Term entry_term, uint64_t held) {
    UpstreamStatus status;
    status.term = kNewTerm;
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
