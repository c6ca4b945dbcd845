// Tests of the service order and the limits of AdmissionQueue.

#include "fireflycart/core/admission_queue.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <random>
#include <string>

namespace fireflycart {
namespace {

class AcceptAll : public WorkFilter {
 public:
  bool Accepts(const QueuedWork&, bool) const override { return true; }
};

class AdmissionQueueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdmissionQueueTest);
  CPPUNIT_TEST(Pop_RanksWait_MostUrgentFirst);
  CPPUNIT_TEST(Pop_LowerRankHasFloor_GetsFloorShare);
  CPPUNIT_TEST(Pop_KindsOfOneRank_ShareByWeight);
  CPPUNIT_TEST(Push_LaneFull_LessUrgentIsEvicted);
  CPPUNIT_TEST(Push_UrgentFillsLane_LowerRankKeepsFloorShare);
  CPPUNIT_TEST(Push_OneKindFillsLane_OtherKindIsQueued);
  CPPUNIT_TEST(Push_ReadLaneFull_WritesAreQueued);
  CPPUNIT_TEST(Random_AgainstReferenceMap_SizesAgree);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    std::vector<RankPolicy> ranks(3);
    ranks[1].floor_share = 0.2;
    std::vector<KindPolicy> kinds(4);
    const char* names[] = {"urgent", "normal", "other", "low"};
    const int rank_of[] = {0, 1, 1, 2};
    for (size_t i = 0; i < kinds.size(); i++) {
      kinds[i].id = KindId(names[i]);
      kinds[i].rank = Rank(rank_of[i]);
    }
    kinds[2].weight = 3;
    queue_.Configure(ranks, kinds, kLimit);
  }

  void Pop_RanksWait_MostUrgentFirst() {
    Push("low", 2);
    Push("urgent", 0);
    CPPUNIT_ASSERT_EQUAL(std::string("urgent"), Pop());
    CPPUNIT_ASSERT_EQUAL(std::string("low"), Pop());
  }

  void Pop_LowerRankHasFloor_GetsFloorShare() {
    std::map<std::string, int> served;
    for (int i = 0; i < 1000; i++) {
      while (queue_.CountUpTo(Rank(0), Lane::kRead) < 5) Push("urgent", 0);
      if (served["normal"] + 5 > normal_pushed_) Push("normal", 1);
      served[Pop()]++;
    }
    CPPUNIT_ASSERT(served["normal"] >= 190);
    CPPUNIT_ASSERT(served["normal"] <= 210);
  }

  void Pop_KindsOfOneRank_ShareByWeight() {
    for (size_t i = 0; i < kLimit / 2; i++) {
      Push("normal", 1);
      Push("other", 1);
    }
    std::map<std::string, int> served;
    for (int i = 0; i < 32; i++) served[Pop()]++;
    CPPUNIT_ASSERT(served["other"] >= 23 && served["other"] <= 25);
  }

  void Push_LaneFull_LessUrgentIsEvicted() {
    for (size_t i = 0; i < kLimit; i++) Push("low", 2);
    AdmissionQueue::PushResult result = Push("urgent", 0);
    CPPUNIT_ASSERT(result.queued);
    CPPUNIT_ASSERT(result.evicted.has_value());
    CPPUNIT_ASSERT(!Push("low", 2).queued);
  }

  void Push_UrgentFillsLane_LowerRankKeepsFloorShare() {
    for (size_t i = 0; i < kLimit; i++) Push("urgent", 0);
    int queued = 0;
    for (int i = 0; i < 100; i++) queued += Push("normal", 1).queued ? 1 : 0;
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(kLimit / 5), queued);
    CPPUNIT_ASSERT(!Push("low", 2).queued);  // It has no floor.
  }

  void Push_OneKindFillsLane_OtherKindIsQueued() {
    for (size_t i = 0; i < kLimit; i++) Push("normal", 1);
    CPPUNIT_ASSERT(Push("other", 1).queued);
    CPPUNIT_ASSERT(!Push("normal", 1).queued);
  }

  void Push_ReadLaneFull_WritesAreQueued() {
    for (size_t i = 0; i < kLimit; i++) Push("low", 2);
    CPPUNIT_ASSERT(Push("low", 2, Lane::kPrimary).queued);
    CPPUNIT_ASSERT_EQUAL(kLimit + 1, queue_.size());
  }

  // After any sequence of operations, the queue contains exactly the items that
  // were pushed and neither popped, removed nor evicted.
  void Random_AgainstReferenceMap_SizesAgree() {
    std::mt19937_64 random(5);
    const char* names[] = {"urgent", "normal", "other", "low"};
    const int rank_of[] = {0, 1, 1, 2};
    std::map<WorkId, int> reference;
    for (int i = 0; i < 20000; i++) {
      size_t kind = random() % 4;
      switch (random() % 4) {
        case 0:
        case 1: {
          Lane lane = random() % 2 == 0 ? Lane::kRead : Lane::kPrimary;
          AdmissionQueue::PushResult result =
              Push(names[kind], rank_of[kind], lane);
          if (result.evicted) {
            CPPUNIT_ASSERT_EQUAL(size_t{1}, reference.erase(*result.evicted));
          }
          if (result.queued) reference[WorkId(last_id_)] = 1;
          break;
        }
        case 2: {
          auto item = queue_.Pop(ServerRole::kReplica, AcceptAll());
          CPPUNIT_ASSERT_EQUAL(reference.empty(), !item.has_value());
          if (item) {
            CPPUNIT_ASSERT_EQUAL(size_t{1}, reference.erase(item->work));
          }
          break;
        }
        default:
          if (!reference.empty() && random() % 2 == 0) {
            WorkId first = reference.begin()->first;
            CPPUNIT_ASSERT(queue_.Remove(first));
            reference.erase(first);
          }
          break;
      }
      CPPUNIT_ASSERT_EQUAL(reference.size(), queue_.size());
      CPPUNIT_ASSERT(queue_.size() <= kLimit * kLanes);
    }
  }

 private:
  static constexpr size_t kLimit = 50;

  AdmissionQueue::PushResult Push(const std::string& kind, int rank,
                                  Lane lane = Lane::kRead) {
    if (kind == "normal") normal_pushed_++;
    QueuedWork item;
    item.work = WorkId(++last_id_);
    item.kind = KindId(kind);
    item.rank = Rank(rank);
    item.lane = lane;
    item.deadline = TimePoint::FromMillis(1000000);
    return queue_.Push(item);
  }

  std::string Pop() {
    auto item = queue_.Pop(ServerRole::kReplica, AcceptAll());
    return item ? item->kind.value() : "";
  }

  AdmissionQueue queue_;
  uint64_t last_id_ = 0;
  int normal_pushed_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionQueueTest);

}  // namespace
}  // namespace fireflycart
