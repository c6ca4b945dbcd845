// Compares the bounded SessionPositions with an unbounded reference on random
// inputs: the required position must never be below the session's last write.

#include "fireflycart/core/session_positions.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>

namespace fireflycart {
namespace {

class SessionPositionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SessionPositionsTest);
  CPPUNIT_TEST(RequiredPosition_RandomInputs_NeverBelowReference);
  CPPUNIT_TEST(Record_BeyondBudget_SizeStaysWithinBudget);
  CPPUNIT_TEST(Restore_AfterList_RequiresSamePositions);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RequiredPosition_RandomInputs_NeverBelowReference() {
    std::mt19937_64 random(3);
    for (size_t budget : {4, 20, 1000}) {
      SessionPositions sessions(budget);
      std::map<SessionId, Position> reference;
      uint64_t position = 0;
      for (int i = 0; i < 5000; i++) {
        SessionId session("s" + std::to_string(random() % 60));
        position += random() % 3;
        sessions.Record(session, Position(position));
        Position& known = reference[session];
        known = std::max(known, Position(position));
        if (random() % 50 == 0) {
          sessions.DropApplied(Position(position - position / 10));
        }
        SessionId read_session("s" + std::to_string(random() % 60));
        CPPUNIT_ASSERT(sessions.RequiredPosition(read_session) >=
                       reference[read_session]);
        CPPUNIT_ASSERT(sessions.RequiredPosition(read_session) <=
                       Position(position));
      }
    }
  }

  void Record_BeyondBudget_SizeStaysWithinBudget() {
    SessionPositions sessions(100);
    for (int i = 0; i < 1000; i++) {
      sessions.Record(SessionId(std::to_string(i)),
                      Position(static_cast<uint64_t>(i) + 1));
      CPPUNIT_ASSERT(sessions.size() <= 100);
    }
  }

  void Restore_AfterList_RequiresSamePositions() {
    SessionPositions sessions(100);
    sessions.RaiseFloor(Position(5));
    sessions.Record(SessionId("a"), Position(9));
    SessionPositions copy(100);
    copy.Restore(sessions.floor(), sessions.List());
    CPPUNIT_ASSERT_EQUAL(Position(9), copy.RequiredPosition(SessionId("a")));
    CPPUNIT_ASSERT_EQUAL(Position(5), copy.RequiredPosition(SessionId("b")));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionPositionsTest);

}  // namespace
}  // namespace fireflycart
