// Tests of single decisions about the connections to an upstream.

#include "fireflycart/core/admission/connection_plan.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace fireflycart::proxy {
namespace {

const TimePoint kNow = TimePoint::FromMillis(50000);
constexpr int kSlots = 5;
constexpr int kMaxConnections = 40;

TenantId Tenant(int index) { return TenantId("t" + std::to_string(index)); }

class ConnectionPlanTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConnectionPlanTest);
  CPPUNIT_TEST(Steps_NothingWaitsAndNoDemand_OpensNothing);
  CPPUNIT_TEST(Steps_WorkWithoutConnection_Opens);
  CPPUNIT_TEST(Steps_OpeningUnderWay_WaitsForIt);
  CPPUNIT_TEST(Steps_BusyConnectionSoonFree_WaitsForIt);
  CPPUNIT_TEST(Steps_LongQueueAtBusyConnection_OpensAnother);
  CPPUNIT_TEST(Steps_LimitReached_ClosesTheLeastUsed);
  CPPUNIT_TEST(Steps_IdleConnectionHasQueuedWork_IsKept);
  CPPUNIT_TEST(Steps_OthersWaitForSlots_OpeningsKeepToTheirShare);
  CPPUNIT_TEST(Steps_NothingElseToRun_OpeningsUseFreeSlots);
  CPPUNIT_TEST(Steps_IdleUpstream_OpensAheadByDemand);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    upstream_.now = kNow;
    upstream_.slots = kSlots;
    upstream_.max_connections = kMaxConnections;
    demand_ = TenantDemand();
  }

  void Steps_NothingWaitsAndNoDemand_OpensNothing() {
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Steps().size());
  }

  void Steps_WorkWithoutConnection_Opens() {
    Wait(1, 100);
    std::vector<ConnectionStep> steps = Steps();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, steps.size());
    CPPUNIT_ASSERT(steps[0].open == Tenant(1));
    CPPUNIT_ASSERT(!steps[0].closes);
    CPPUNIT_ASSERT(!steps[0].is_ahead);
  }

  void Steps_OpeningUnderWay_WaitsForIt() {
    upstream_.tenants[Tenant(1)].opening = 1;
    upstream_.connections = 1;
    Wait(1, 100);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Steps().size());
  }

  void Steps_BusyConnectionSoonFree_WaitsForIt() {
    upstream_.tenants[Tenant(1)].busy = 1;
    upstream_.connections = 1;
    Wait(1, 100);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Steps().size());
  }

  void Steps_LongQueueAtBusyConnection_OpensAnother() {
    upstream_.tenants[Tenant(1)].busy = 1;
    upstream_.connections = 1;
    for (int i = 0; i < 4; i++) Wait(1, 100);
    CPPUNIT_ASSERT(!Steps().empty());
  }

  void Steps_LimitReached_ClosesTheLeastUsed() {
    FillWithIdle();
    // Tenant 5 used its connection longest ago and will soon use it again.
    upstream_.tenants[Tenant(5)].last_used = kNow - Duration::Seconds(10);
    for (int i = 0; i < kMaxConnections; i++) {
      int arrivals = i == 9 ? 1 : 20;
      for (int k = 0; k < arrivals; k++) Arrive(i);
    }
    Wait(70, 100);
    std::vector<ConnectionStep> steps = Steps();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, steps.size());
    CPPUNIT_ASSERT(steps[0].open == Tenant(70));
    CPPUNIT_ASSERT(steps[0].closes);
    CPPUNIT_ASSERT(steps[0].close == Tenant(9));
  }

  void Steps_IdleConnectionHasQueuedWork_IsKept() {
    FillWithIdle();
    for (int i = 0; i < kMaxConnections; i++) {
      if (i != 9) upstream_.startable.insert(Tenant(i));
    }
    for (int k = 0; k < 20; k++) Arrive(9);
    Wait(70, 100);
    std::vector<ConnectionStep> steps = Steps();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, steps.size());
    CPPUNIT_ASSERT(steps[0].close == Tenant(9));
  }

  void Steps_OthersWaitForSlots_OpeningsKeepToTheirShare() {
    upstream_.tenants[Tenant(0)].idle = 1;
    upstream_.startable.insert(Tenant(0));
    upstream_.connections = 1;
    for (int i = 1; i < 20; i++) Wait(i, 100);
    auto most = static_cast<size_t>(kSlots * ConnectionPlan::kMaxOpeningShare);
    CPPUNIT_ASSERT_EQUAL(most, Steps().size());
    // Also while no slot is free.
    upstream_.running = kSlots;
    CPPUNIT_ASSERT_EQUAL(most, Steps().size());
  }

  void Steps_NothingElseToRun_OpeningsUseFreeSlots() {
    for (int i = 1; i < 20; i++) Wait(i, 100);
    CPPUNIT_ASSERT_EQUAL(static_cast<size_t>(kSlots), Steps().size());
  }

  void Steps_IdleUpstream_OpensAheadByDemand() {
    for (int i = 0; i < 10; i++) {
      for (int k = 0; k < 10 + i; k++) Arrive(i);
    }
    std::vector<ConnectionStep> steps = Steps();
    CPPUNIT_ASSERT(!steps.empty());
    CPPUNIT_ASSERT(steps[0].open == Tenant(9));
    CPPUNIT_ASSERT(steps[0].is_ahead);
  }

 private:
  std::vector<ConnectionStep> Steps() {
    return ConnectionPlan().Steps(upstream_, demand_);
  }

  void Wait(int tenant, int64_t slack_ms) {
    upstream_.waiting.push_back(WaitingWork{
        Tenant(tenant), Duration::Millis(24), Duration::Millis(slack_ms)});
  }

  void Arrive(int tenant) {
    demand_.OnArrival(Tenant(tenant), Duration::Millis(24), kNow);
  }

  void FillWithIdle() {
    for (int i = 0; i < kMaxConnections; i++) {
      upstream_.tenants[Tenant(i)].idle = 1;
      upstream_.tenants[Tenant(i)].last_used = kNow;
    }
    upstream_.connections = kMaxConnections;
  }

  ConnectionSnapshot upstream_;
  TenantDemand demand_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionPlanTest);

}  // namespace
}  // namespace fireflycart::proxy
