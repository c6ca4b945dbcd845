// Tests of the estimates of how long queued statements wait.

#include "fireflycart/core/admission/queue_outlook.h"

#include <cppunit/extensions/HelperMacros.h>

namespace fireflycart::proxy {
namespace {

const TimePoint kNow = TimePoint::FromMillis(50000);

class QueueOutlookTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QueueOutlookTest);
  CPPUNIT_TEST(Review_NoFigures_KeepsAll);
  CPPUNIT_TEST(Review_WorkFitsDeadlines_KeepsAllAndTellsWait);
  CPPUNIT_TEST(Review_WorkBeyondDeadlines_RefusesTheLastOnes);
  CPPUNIT_TEST(Review_UpstreamAvailableAfterDeadline_Refuses);
  CPPUNIT_TEST(Review_UpstreamAvailableInTime_Keeps);
  CPPUNIT_TEST(Review_LateWorkUnderOverload_KeepsFew);
  CPPUNIT_TEST(Review_LateWorkWithSpareSlots_KeepsAll);
  CPPUNIT_TEST(Review_NoUpstream_RefusesAll);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    lane_.now = kNow;
    lane_.concurrency = 5;
  }

  void Review_NoFigures_KeepsAll() {
    Queue(500, Duration(), false);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Hopeless());
  }

  void Review_WorkFitsDeadlines_KeepsAllAndTellsWait() {
    Queue(100, Duration::Millis(10), false);
    LaneOutlook outlook = outlook_.Review(lane_);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, outlook.hopeless.size());
    CPPUNIT_ASSERT(outlook.wait == Duration::Millis(100 * 10 / 5));
  }

  // 1,000 ms fit 500 statements of 10 ms at 5 upstream slots.
  void Review_WorkBeyondDeadlines_RefusesTheLastOnes() {
    Queue(2000, Duration::Millis(10), false);
    LaneOutlook outlook = outlook_.Review(lane_);
    size_t kept = 2000 - outlook.hopeless.size();
    CPPUNIT_ASSERT(kept >= 500);
    CPPUNIT_ASSERT(kept <= 500 * QueueOutlook::kConfidence + 1);
    // The first of those that do not fit.
    CPPUNIT_ASSERT_EQUAL(static_cast<uint64_t>(kept + 1),
                         outlook.hopeless.front().number.value());
  }

  void Review_UpstreamAvailableAfterDeadline_Refuses() {
    Queue(1, Duration(), false);
    lane_.queue[0].available_at = kNow + Duration::Millis(1100);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Hopeless());
  }

  void Review_UpstreamAvailableInTime_Keeps() {
    Queue(1, Duration::Millis(10), false);
    lane_.queue[0].available_at = kNow + Duration::Millis(900);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Hopeless());
  }

  void Review_LateWorkUnderOverload_KeepsFew() {
    lane_.arrival_load = 7;
    Queue(100, Duration::Millis(10), true);
    // A fiftieth of 5 slots runs 10 statements of 10 ms in 1,000 ms.
    CPPUNIT_ASSERT(Hopeless() >= 85);
    CPPUNIT_ASSERT(Hopeless() < 100);
  }

  void Review_LateWorkWithSpareSlots_KeepsAll() {
    lane_.arrival_load = 2;
    Queue(100, Duration::Millis(10), true);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Hopeless());
  }

  void Review_NoUpstream_RefusesAll() {
    lane_.concurrency = 0;
    Queue(10, Duration(), false);
    CPPUNIT_ASSERT_EQUAL(size_t{10}, Hopeless());
  }

 private:
  void Queue(int count, Duration service, bool is_late) {
    for (int i = 0; i < count; i++) {
      QueuedStatement statement;
      statement.number = StatementNumber(lane_.queue.size() + 1);
      statement.service = service;
      statement.deadline = kNow + Duration::Millis(1000);
      statement.is_late = is_late;
      lane_.queue.push_back(statement);
    }
  }

  size_t Hopeless() const { return outlook_.Review(lane_).hopeless.size(); }

  QueueOutlook outlook_;
  LaneSnapshot lane_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(QueueOutlookTest);

}  // namespace
}  // namespace fireflycart::proxy
