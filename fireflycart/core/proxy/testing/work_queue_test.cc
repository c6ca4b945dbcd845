// Tests of the order in which queued statements are served.

#include "fireflycart/core/proxy/work_queue.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <random>

namespace fireflycart::proxy {
namespace {

bool AcceptAny(const Work&) { return true; }

class WorkQueueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WorkQueueTest);
  CPPUNIT_TEST(First_UrgentArrivedLater_ReturnsUrgent);
  CPPUNIT_TEST(First_UrgentIsLate_ReturnsWorkInTimeFirst);
  CPPUNIT_TEST(First_PredicateRejectsFirst_ReturnsNext);
  CPPUNIT_TEST(LaneFor_NewestReadsAndWrites_ReturnsPrimary);
  CPPUNIT_TEST(First_RandomWork_SameOrderAsSortedList);
  CPPUNIT_TEST_SUITE_END();

 public:
  void First_UrgentArrivedLater_ReturnsUrgent() {
    Add(2, 100);
    Work* urgent = Add(0, 100);
    CPPUNIT_ASSERT(queue_.First(Lane::kPrimary, Now(0), AcceptAny) == urgent);
  }

  void First_UrgentIsLate_ReturnsWorkInTimeFirst() {
    Work* urgent = Add(0, 10);
    Work* other = Add(2, 100);
    CPPUNIT_ASSERT(queue_.First(Lane::kPrimary, Now(20), AcceptAny) == other);
    queue_.Remove(other);
    CPPUNIT_ASSERT(queue_.First(Lane::kPrimary, Now(20), AcceptAny) == urgent);
    queue_.Remove(urgent);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, queue_.size());
  }

  void First_PredicateRejectsFirst_ReturnsNext() {
    Work* first = Add(0, 100);
    Work* second = Add(0, 100);
    auto not_first = [&](const Work& work) { return &work != first; };
    CPPUNIT_ASSERT(queue_.First(Lane::kPrimary, Now(0), not_first) == second);
  }

  void LaneFor_NewestReadsAndWrites_ReturnsPrimary() {
    StatementCall call;
    call.consistency = ReadConsistency::kOwnWrites;
    CPPUNIT_ASSERT(LaneFor(call) == Lane::kAny);
    call.access = Access::kWrite;
    CPPUNIT_ASSERT(LaneFor(call) == Lane::kPrimary);
    call.access = Access::kRead;
    call.transaction = TransactionKind::kReadWrite;
    CPPUNIT_ASSERT(LaneFor(call) == Lane::kPrimary);
    call.transaction = TransactionKind::kReadOnly;
    CPPUNIT_ASSERT(LaneFor(call) == Lane::kAny);
    call.consistency = ReadConsistency::kStrong;
    CPPUNIT_ASSERT(LaneFor(call) == Lane::kPrimary);
  }

  void First_RandomWork_SameOrderAsSortedList() {
    std::mt19937_64 random(5);
    for (int i = 0; i < 200; i++) {
      Add(static_cast<int>(random() % 3), static_cast<int64_t>(random() % 90));
    }
    TimePoint now = Now(40);
    std::vector<Work*> expected;
    for (auto& work : works_) expected.push_back(work.get());
    auto key = [now](const Work* work) {
      return std::make_tuple(now > work->latest_start, work->call.priority,
                             work->target_deadline.millis(),
                             work->arrived.sequence);
    };
    std::sort(expected.begin(), expected.end(),
              [&](Work* a, Work* b) { return key(a) < key(b); });
    for (Work* work : expected) {
      CPPUNIT_ASSERT(queue_.First(Lane::kPrimary, now, AcceptAny) == work);
      queue_.Remove(work);
    }
  }

 private:
  static TimePoint Now(int64_t millis) { return TimePoint::FromMillis(millis); }

  Work* Add(int priority, int64_t target_ms) {
    auto work = std::make_unique<Work>();
    work->call.priority = priority;
    work->call.consistency = ReadConsistency::kStrong;
    work->target_deadline = Now(target_ms);
    work->latest_start = work->target_deadline;
    work->arrived.sequence = works_.size() + 1;
    queue_.Add(work.get());
    works_.push_back(std::move(work));
    return works_.back().get();
  }

  WorkQueue queue_;
  std::vector<std::unique_ptr<Work>> works_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkQueueTest);

}  // namespace
}  // namespace fireflycart::proxy
