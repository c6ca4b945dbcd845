// Tests of the order in which queued statements are served.

#include "fireflycart/core/proxy/work_queue.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

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
  CPPUNIT_TEST(First_TenantQueuesMany_OtherTenantIsNext);
  CPPUNIT_TEST(First_TenantsWithDifferentCosts_ShareServiceEqually);
  CPPUNIT_TEST(First_TenantCannotStart_OthersGoOn);
  CPPUNIT_TEST(First_TenantCanStartAgain_CatchesUpForABoundedTime);
  CPPUNIT_TEST(First_TenantReturns_NeitherSavesNorOwes);
  CPPUNIT_TEST(First_LateWorkOfAnyTenant_FollowsWorkInTime);
  CPPUNIT_TEST(AllOf_SeveralTenants_SameOrderAsService);
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

  // What was queued before does not matter to another tenant.
  void First_TenantQueuesMany_OtherTenantIsNext() {
    for (int i = 0; i < 500; i++) AddFor("a", 100, 10);
    for (int i = 0; i < 20; i++) Serve(AcceptAny);
    Work* other = AddFor("b", 100, 10);
    Work* first = Serve(AcceptAny);
    Work* second = Serve(AcceptAny);
    CPPUNIT_ASSERT(first == other || second == other);
  }

  void First_TenantsWithDifferentCosts_ShareServiceEqually() {
    for (int i = 0; i < 400; i++) AddFor("a", 100, 10);
    for (int i = 0; i < 400; i++) AddFor("b", 100, 40);
    std::map<TenantId, int64_t> served;
    for (int i = 0; i < 200; i++) {
      Work* work = Serve(AcceptAny);
      served[work->call.tenant] += work->expected_service.millis();
      int64_t a = served[TenantId("a")];
      int64_t b = served[TenantId("b")];
      // One statement of each.
      CPPUNIT_ASSERT(std::abs(a - b) <= 50);
    }
  }

  void First_TenantCannotStart_OthersGoOn() {
    AddFor("a", 50, 10);
    Work* other = AddFor("b", 100, 10);
    auto not_a = [](const Work& work) {
      return work.call.tenant != TenantId("a");
    };
    CPPUNIT_ASSERT(queue_.First(Lane::kPrimary, Now(0), not_a) == other);
  }

  void First_TenantCanStartAgain_CatchesUpForABoundedTime() {
    for (int i = 0; i < 200; i++) AddFor("a", 100, 10);
    for (int i = 0; i < 200; i++) AddFor("b", 100, 10);
    auto not_a = [](const Work& work) {
      return work.call.tenant != TenantId("a");
    };
    for (int i = 0; i < 100; i++) Serve(not_a);
    int in_a_row = 0;
    while (Serve(AcceptAny)->call.tenant == TenantId("a")) in_a_row++;
    // 200 ms of service, and its turn.
    CPPUNIT_ASSERT(in_a_row >= 1);
    CPPUNIT_ASSERT(in_a_row <= 22);
  }

  void First_TenantReturns_NeitherSavesNorOwes() {
    AddFor("a", 100, 10);
    for (int i = 0; i < 100; i++) AddFor("b", 100, 10);
    for (int i = 0; i < 60; i++) Serve(AcceptAny);
    for (int i = 0; i < 20; i++) AddFor("a", 100, 10);
    std::map<TenantId, int> served;
    for (int i = 0; i < 20; i++) served[Serve(AcceptAny)->call.tenant]++;
    CPPUNIT_ASSERT(std::abs(served[TenantId("a")] - served[TenantId("b")]) <=
                   2);
  }

  void First_LateWorkOfAnyTenant_FollowsWorkInTime() {
    Work* late = AddFor("a", 10, 10);
    Work* in_time = AddFor("b", 100, 10);
    for (int i = 0; i < 5; i++) AddFor("b", 100, 10);
    CPPUNIT_ASSERT(queue_.First(Lane::kPrimary, Now(20), AcceptAny) == in_time);
    for (int i = 0; i < 6; i++) {
      CPPUNIT_ASSERT(Serve(AcceptAny, 20)->call.tenant == TenantId("b"));
    }
    CPPUNIT_ASSERT(Serve(AcceptAny, 20) == late);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, queue_.size());
  }

  void AllOf_SeveralTenants_SameOrderAsService() {
    std::mt19937_64 random(6);
    for (int i = 0; i < 300; i++) {
      std::string tenant(1, static_cast<char>('a' + random() % 7));
      Work* work = AddFor(tenant, static_cast<int64_t>(random() % 90),
                          static_cast<int64_t>(random() % 40));
      queue_.Remove(work);
      work->call.priority = static_cast<int>(random() % 3);
      queue_.Add(work);
    }
    std::vector<Work*> expected = queue_.AllOf(Lane::kPrimary);
    CPPUNIT_ASSERT_EQUAL(size_t{300}, expected.size());
    for (Work* work : expected) CPPUNIT_ASSERT(Serve(AcceptAny) == work);
    CPPUNIT_ASSERT(queue_.IsEmpty(Lane::kPrimary));
  }

 private:
  Work* Serve(const std::function<bool(const Work&)>& accepts,
              int64_t now_ms = 0) {
    Work* work = queue_.First(Lane::kPrimary, Now(now_ms), accepts);
    CPPUNIT_ASSERT(work != nullptr);
    queue_.Remove(work);
    queue_.OnStarted(*work);
    return work;
  }

  Work* AddFor(const std::string& tenant, int64_t target_ms,
               int64_t service_ms) {
    Work* work = Add(0, target_ms);
    queue_.Remove(work);
    work->call.tenant = TenantId(tenant);
    work->expected_service = Duration::Millis(service_ms);
    queue_.Add(work);
    return work;
  }

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
