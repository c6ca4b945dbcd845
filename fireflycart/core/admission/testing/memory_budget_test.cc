// Tests of the account of memory and of the quota of session state.

#include "fireflycart/core/admission/memory_budget.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <vector>

#include "fireflycart/core/admission/session_state_quota.h"

namespace fireflycart {
namespace {

// One slot for a large message of each side, two for medium ones, and small
// holdings of 12 MiB and some.
constexpr size_t kMachineBytes = size_t{64} << 20;

class FakeHolder : public MemoryHolder {
 public:
  void OnMayReceive() override { may_receive++; }
  void OnMustGo() override { must_go++; }
  std::string Describe() const override { return "fake"; }

  int may_receive = 0;
  int must_go = 0;
};

class MemoryBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MemoryBudgetTest);
  CPPUNIT_TEST(Hold_BelowLimit_NobodyMustGo);
  CPPUNIT_TEST(Hold_AboveLimit_HolderOfMostMustGo);
  CPPUNIT_TEST(Hold_ManySmallAboveLimit_NobodyMustGo);
  CPPUNIT_TEST(Hold_WhileReserved_IsNotCountedAgain);
  CPPUNIT_TEST(Reserve_SlotFree_IsGranted);
  CPPUNIT_TEST(Reserve_NoSlot_WaitsForRelease);
  CPPUNIT_TEST(Reserve_NoSlot_WaitsForRemoval);
  CPPUNIT_TEST(Reserve_WaiterRemoved_NextOneIsTold);
  CPPUNIT_TEST(Reserve_OfCallers_LeavesPeersTheirs);
  CPPUNIT_TEST(Reserve_MediumThenLarge_GivesMediumBack);
  CPPUNIT_TEST(EndSlowTurns_OthersWait_IncompleteOneMustGo);
  CPPUNIT_TEST(EndSlowTurns_CompleteOne_Stays);
  CPPUNIT_TEST(EndSlowTurns_SteadyOneOnNarrowLink_Stays);
  CPPUNIT_TEST(EndSlowTurns_OneThatStopsHalfWay_MustGo);
  CPPUNIT_TEST(EndSlowTurns_NobodyWaits_IncompleteOneStays);
  CPPUNIT_TEST(EndSlowTurns_HolderWaitsItself_Stays);
  CPPUNIT_TEST(Quota_OneSession_LargestMessageIsKept);
  CPPUNIT_TEST(Quota_Short_FairShareIsStillKept);
  CPPUNIT_TEST(Quota_Returned_IsFreeAgain);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Hold_BelowLimit_NobodyMustGo() {
    budget_.Hold(&a_, budget_.holdings_limit());
    CPPUNIT_ASSERT_EQUAL(0, a_.must_go);
    CPPUNIT_ASSERT_EQUAL(budget_.holdings_limit(), budget_.held());
  }

  void Hold_AboveLimit_HolderOfMostMustGo() {
    budget_.Hold(&a_, budget_.holdings_limit() / 2 + 1000);
    budget_.Hold(&b_, budget_.holdings_limit() / 2);
    CPPUNIT_ASSERT_EQUAL(1, a_.must_go);
    CPPUNIT_ASSERT_EQUAL(0, b_.must_go);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, budget_.count(MemoryLimit::kHeldMost));
    // It is counted as gone, whatever it does until it is.
    budget_.Hold(&a_, budget_.holdings_limit());
    CPPUNIT_ASSERT_EQUAL(budget_.holdings_limit() / 2, budget_.held());
    budget_.Remove(&a_, now_);
    CPPUNIT_ASSERT_EQUAL(budget_.holdings_limit() / 2, budget_.held());
  }

  void Hold_ManySmallAboveLimit_NobodyMustGo() {
    std::vector<std::unique_ptr<FakeHolder>> holders;
    size_t count =
        budget_.holdings_limit() / MemoryBudget::kFreeHoldingBytes + 10;
    for (size_t i = 0; i < count; i++) {
      holders.push_back(std::make_unique<FakeHolder>());
      budget_.Hold(holders.back().get(), MemoryBudget::kFreeHoldingBytes);
    }
    for (const auto& holder : holders) {
      CPPUNIT_ASSERT_EQUAL(0, holder->must_go);
    }
    // Whoever holds more than that pays for all.
    budget_.Hold(&a_, MemoryBudget::kFreeHoldingBytes + 1);
    CPPUNIT_ASSERT_EQUAL(1, a_.must_go);
  }

  void Hold_WhileReserved_IsNotCountedAgain() {
    budget_.Hold(&a_, 20000);
    CPPUNIT_ASSERT(Reserve(&a_, MessageSize::kLarge));
    budget_.Hold(&a_, kLargeMessageBytes);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, budget_.held());
    budget_.Release(&a_, now_);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, budget_.held());
    budget_.Hold(&a_, 20000);
    CPPUNIT_ASSERT_EQUAL(size_t{20000}, budget_.held());
  }

  void Reserve_SlotFree_IsGranted() {
    CPPUNIT_ASSERT(Reserve(&a_, MessageSize::kLarge));
    CPPUNIT_ASSERT(budget_.HasReservation(a_));
    CPPUNIT_ASSERT(!budget_.has_waiting());
    // What it has is enough.
    CPPUNIT_ASSERT(Reserve(&a_, MessageSize::kMedium));
  }

  void Reserve_NoSlot_WaitsForRelease() {
    CPPUNIT_ASSERT(Reserve(&a_, MessageSize::kLarge));
    CPPUNIT_ASSERT(!Reserve(&b_, MessageSize::kLarge));
    CPPUNIT_ASSERT(!Reserve(&c_, MessageSize::kLarge));
    CPPUNIT_ASSERT(!Reserve(&b_, MessageSize::kLarge));
    budget_.Release(&a_, now_);
    CPPUNIT_ASSERT_EQUAL(1, b_.may_receive);
    CPPUNIT_ASSERT_EQUAL(0, c_.may_receive);
    // The next ones do not go before those that wait.
    CPPUNIT_ASSERT(!Reserve(&a_, MessageSize::kLarge));
    budget_.Release(&b_, now_);
    CPPUNIT_ASSERT_EQUAL(1, c_.may_receive);
    CPPUNIT_ASSERT_EQUAL(0, a_.may_receive);
  }

  void Reserve_NoSlot_WaitsForRemoval() {
    CPPUNIT_ASSERT(Reserve(&a_, MessageSize::kLarge));
    CPPUNIT_ASSERT(!Reserve(&b_, MessageSize::kLarge));
    budget_.Remove(&a_, now_);
    CPPUNIT_ASSERT_EQUAL(1, b_.may_receive);
  }

  void Reserve_WaiterRemoved_NextOneIsTold() {
    CPPUNIT_ASSERT(Reserve(&a_, MessageSize::kLarge));
    CPPUNIT_ASSERT(!Reserve(&b_, MessageSize::kLarge));
    CPPUNIT_ASSERT(!Reserve(&c_, MessageSize::kLarge));
    budget_.Remove(&b_, now_);
    budget_.Release(&a_, now_);
    CPPUNIT_ASSERT_EQUAL(0, b_.may_receive);
    CPPUNIT_ASSERT_EQUAL(1, c_.may_receive);
    CPPUNIT_ASSERT(!budget_.has_waiting());
  }

  void Reserve_OfCallers_LeavesPeersTheirs() {
    CPPUNIT_ASSERT(Reserve(&a_, MessageSize::kLarge));
    CPPUNIT_ASSERT(
        budget_.Reserve(&b_, MemorySide::kPeers, MessageSize::kLarge, now_));
  }

  void Reserve_MediumThenLarge_GivesMediumBack() {
    std::vector<std::unique_ptr<FakeHolder>> holders;
    while (true) {
      holders.push_back(std::make_unique<FakeHolder>());
      if (!Reserve(holders.back().get(), MessageSize::kMedium)) break;
    }
    CPPUNIT_ASSERT(Reserve(holders.front().get(), MessageSize::kLarge));
    CPPUNIT_ASSERT_EQUAL(1, holders.back()->may_receive);
  }

  void EndSlowTurns_OthersWait_IncompleteOneMustGo() {
    CPPUNIT_ASSERT(Reserve(&a_, MessageSize::kLarge));
    CPPUNIT_ASSERT(!Reserve(&b_, MessageSize::kLarge));
    budget_.EndSlowTurns(now_ + MemoryBudget::kReceiveTime -
                         Duration::Millis(1));
    CPPUNIT_ASSERT_EQUAL(0, a_.must_go);
    budget_.EndSlowTurns(now_ + MemoryBudget::kReceiveTime);
    CPPUNIT_ASSERT_EQUAL(1, a_.must_go);
    budget_.EndSlowTurns(now_ + MemoryBudget::kReceiveTime);
    CPPUNIT_ASSERT_EQUAL(1, a_.must_go);
  }

  void EndSlowTurns_CompleteOne_Stays() {
    CPPUNIT_ASSERT(Reserve(&a_, MessageSize::kLarge));
    CPPUNIT_ASSERT(!Reserve(&b_, MessageSize::kLarge));
    budget_.OnReceived(&a_);
    budget_.EndSlowTurns(now_ + MemoryBudget::kReceiveTime);
    CPPUNIT_ASSERT_EQUAL(0, a_.must_go);
  }

  // 2 Mbit/s are 250 bytes in a millisecond.
  void EndSlowTurns_SteadyOneOnNarrowLink_Stays() {
    CPPUNIT_ASSERT(Reserve(&a_, MessageSize::kLarge));
    CPPUNIT_ASSERT(!Reserve(&b_, MessageSize::kLarge));
    for (int64_t ms = 0; ms * 250 < int64_t{kLargeMessageBytes}; ms += 100) {
      budget_.OnProgress(&a_, static_cast<size_t>(ms * 250));
      budget_.EndSlowTurns(now_ + Duration::Millis(ms));
    }
    CPPUNIT_ASSERT_EQUAL(0, a_.must_go);
  }

  void EndSlowTurns_OneThatStopsHalfWay_MustGo() {
    CPPUNIT_ASSERT(Reserve(&a_, MessageSize::kLarge));
    CPPUNIT_ASSERT(!Reserve(&b_, MessageSize::kLarge));
    budget_.OnProgress(&a_, kLargeMessageBytes / 2);
    budget_.EndSlowTurns(now_ + Duration::Seconds(10));
    CPPUNIT_ASSERT_EQUAL(1, a_.must_go);
  }

  void EndSlowTurns_NobodyWaits_IncompleteOneStays() {
    CPPUNIT_ASSERT(Reserve(&a_, MessageSize::kLarge));
    budget_.EndSlowTurns(now_ + MemoryBudget::kReceiveTime);
    CPPUNIT_ASSERT_EQUAL(0, a_.must_go);
  }

  // The turn of the one that it waits for ends first.
  void EndSlowTurns_HolderWaitsItself_Stays() {
    CPPUNIT_ASSERT(Reserve(&a_, MessageSize::kLarge));
    CPPUNIT_ASSERT(Reserve(&b_, MessageSize::kMedium));
    CPPUNIT_ASSERT(!Reserve(&b_, MessageSize::kLarge));
    std::vector<std::unique_ptr<FakeHolder>> holders;
    do {
      holders.push_back(std::make_unique<FakeHolder>());
    } while (Reserve(holders.back().get(), MessageSize::kMedium));
    budget_.EndSlowTurns(now_ + MemoryBudget::kReceiveTime);
    CPPUNIT_ASSERT_EQUAL(1, a_.must_go);
    CPPUNIT_ASSERT_EQUAL(0, b_.must_go);
  }

  void Quota_OneSession_LargestMessageIsKept() {
    SessionStateQuota quota(kMachineBytes / 16);
    size_t kept = 0;
    CPPUNIT_ASSERT(quota.Charge(&kept, kLargeMessageBytes, 1));
    CPPUNIT_ASSERT(!quota.Charge(&kept, kLargeMessageBytes, 1));
    CPPUNIT_ASSERT_EQUAL(kLargeMessageBytes, kept);
  }

  void Quota_Short_FairShareIsStillKept() {
    constexpr size_t kSessions = 100;
    SessionStateQuota quota(kMachineBytes / 16);
    size_t share = kMachineBytes / 16 / kSessions;
    std::vector<size_t> kept(kSessions);
    for (size_t& bytes : kept) {
      while (quota.Charge(&bytes, 1000, kSessions)) continue;
    }
    // The first ones took more than their share, the last ones got theirs.
    CPPUNIT_ASSERT(kept.front() > share);
    CPPUNIT_ASSERT(kept.back() + 1000 > share);
    CPPUNIT_ASSERT(quota.kept() <= 2 * (kMachineBytes / 16));
  }

  void Quota_Returned_IsFreeAgain() {
    SessionStateQuota quota(kMachineBytes / 16);
    size_t kept = 0;
    CPPUNIT_ASSERT(quota.Charge(&kept, kLargeMessageBytes, 1));
    quota.Return(&kept, kLargeMessageBytes);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, kept);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, quota.kept());
    CPPUNIT_ASSERT(quota.Charge(&kept, kLargeMessageBytes, 1));
  }

 private:
  bool Reserve(MemoryHolder* holder, MessageSize size) {
    return budget_.Reserve(holder, MemorySide::kCallers, size, now_);
  }

  TimePoint now_ = TimePoint::FromMillis(1000);
  MemoryBudget budget_{kMachineBytes, nullptr};
  FakeHolder a_;
  FakeHolder b_;
  FakeHolder c_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemoryBudgetTest);

}  // namespace
}  // namespace fireflycart
