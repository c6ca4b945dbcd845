// Replays loads of many tenants against the simulated prepared platform in
// virtual time. A connection carries one tenant, and an upstream takes fewer
// connections than there are tenants. The bounds come from the callers' targets
// and from what the upstreams can run.

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iostream>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fireflycart/standins/testing/session_world.h"

namespace fireflycart::standins {
namespace {

constexpr uint64_t kSeed = 11;
constexpr Duration kWarmUp = Duration::Seconds(3);

class SessionTenantTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SessionTenantTest);
  CPPUNIT_TEST(Tenants_MoreThanConnections_AllAreServed);
  CPPUNIT_TEST(Tenant_SendsSevenTimesItsUsual_OthersAreServed);
  CPPUNIT_TEST(Tenants_ThreeHotInARow_OthersAreServed);
  CPPUNIT_TEST(Burst_OfLeastUrgentKindWithHotTenant_OthersAreServed);
  CPPUNIT_TEST(Owner_Replaced_AllTenantsAreServedAgain);
  CPPUNIT_TEST(Tenant_RestsInTransactions_OthersAreServed);
  CPPUNIT_TEST_SUITE_END();

 public:
  // The upstreams have room for the load and for one opening per statement of a
  // tenant that has no connection.
  void Tenants_MoreThanConnections_AllAreServed() {
    MakeWorld(TenantLoad());
    world_->Run(kWarmUp);
    world_->ResetCounts();
    world_->Run(Duration::Seconds(10));
    Print("more tenants than connections");
    ExpectShareInTarget(90);
    ExpectInvariantsHold();
  }

  // The tenant of rank 3 has a twentieth of the callers and sends seven times
  // its usual and more, on the least urgent route. Without it the load fits,
  // and its fair share is more than its usual, so the others are owed their
  // targets on all routes.
  void Tenant_SendsSevenTimesItsUsual_OthersAreServed() {
    SessionWorldOptions options = MixedLoad();
    options.hot_tenants = {3};
    options.hot_callers = 200;
    MakeWorld(options);
    world_->Run(kWarmUp);
    world_->SetHot({0});
    world_->Run(Duration::Seconds(1));
    world_->ResetCounts();
    world_->Run(Duration::Seconds(10));
    Print("tenant with seven times its usual");
    ExpectOthersInTarget({3}, 90);
    ExpectInvariantsHold();
  }

  // All work has the same priority.
  void Tenants_ThreeHotInARow_OthersAreServed() {
    SessionWorldOptions options = TenantLoad();
    options.callers = 160;
    options.hot_tenants = {3, 4, 5};
    options.hot_callers = 250;
    MakeWorld(options);
    world_->Run(kWarmUp);
    world_->ResetCounts();
    for (int i = 0; i < 3; i++) {
      world_->SetHot({i});
      world_->Run(Duration::Seconds(4));
    }
    Print("three hot tenants in a row");
    ExpectOthersInTarget({3, 4, 5}, 90);
    ExpectInvariantsHold();
  }

  // Ten tenants send more on the least urgent route, one of them much more.
  void Burst_OfLeastUrgentKindWithHotTenant_OthersAreServed() {
    SessionWorldOptions options = MixedLoad();
    options.hot_tenants = {3, 3, 3, 0, 1, 2, 4, 5, 6, 7, 8, 9};
    options.hot_callers = 50;
    MakeWorld(options);
    world_->Run(kWarmUp);
    world_->SetHot({0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11});
    world_->Run(Duration::Seconds(1));
    world_->ResetCounts();
    world_->Run(Duration::Seconds(10));
    Print("burst of the least urgent kind");
    const SessionCounts& counts = world_->counts();
    for (size_t i = 0; i < 2; i++) {
      int all = counts.in_target[i] + counts.late[i] + counts.not_served[i];
      CPPUNIT_ASSERT(counts.in_target[i] * 100 >= all * 90);
    }
    ExpectOthersInTarget({0, 1, 2, 3, 4, 5, 6, 7, 8, 9}, 90);
    ExpectInvariantsHold();
  }

  // The new owner has no connections, and all tenants want one at once.
  void Owner_Replaced_AllTenantsAreServedAgain() {
    MakeWorld(MixedLoad());
    world_->Run(kWarmUp);
    for (int i = 0; i < options_.vms; i++) {
      bool is_owner = world_->vm(i) != nullptr &&
                      world_->owner() == VmId("vm-" + std::to_string(i));
      if (!is_owner) continue;
      world_->KillVm(i);
      break;
    }
    world_->Run(Duration::Seconds(4));
    world_->ResetCounts();
    world_->Run(Duration::Seconds(5));
    Print("owner replaced");
    ExpectShareInTarget(90);
    ExpectInvariantsHold();
  }

  // Its callers rest for longer than idle transactions are allowed to.
  void Tenant_RestsInTransactions_OthersAreServed() {
    SessionWorldOptions options = MixedLoad();
    options.hot_tenants = {3};
    options.hot_callers = 200;
    options.hot_statement_pause = Duration::Seconds(5);
    MakeWorld(options);
    world_->Run(kWarmUp);
    world_->SetHot({0});
    world_->Run(Duration::Seconds(1));
    world_->ResetCounts();
    world_->Run(Duration::Seconds(10));
    Print("tenant rests in transactions");
    ExpectOthersInTarget({3}, 90);
    ExpectInvariantsHold();
  }

 private:
  // About 200 operations a second of all three priorities, 250 statements for
  // the primary.
  static SessionWorldOptions MixedLoad() {
    SessionWorldOptions options = TenantLoad();
    options.callers = 160;
    options.mixed_consistencies = true;
    return options;
  }

  // About 300 operations a second with 0.9 statements for the primary and one
  // that replicas may serve. An upstream runs 400 statements a second: 4 slots,
  // 10 ms each.
  static SessionWorldOptions TenantLoad() {
    SessionWorldOptions options;
    options.callers = 240;
    options.pause = Duration::Millis(750);
    options.mixed_consistencies = false;
    options.consistency = proxy::ReadConsistency::kOwnWrites;
    options.database.slots = 4;
    options.database.statement_time = Duration::Millis(10);
    options.database.open_time = Duration::Millis(12);
    options.max_connections = 62;
    options.tenants = 82;
    return options;
  }

  void MakeWorld(const SessionWorldOptions& options) {
    options_ = options;
    world_ = std::make_unique<SessionWorld>(options, kSeed);
  }

  // Jain's fairness index of the tenants' shares in target.
  double JainIndex() const {
    double sum = 0;
    double squares = 0;
    std::vector<double> shares = TenantShares();
    for (double share : shares) {
      sum += share;
      squares += share * share;
    }
    double count = static_cast<double>(shares.size());
    return squares == 0 ? 0 : sum * sum / (count * squares);
  }

  // Ascending shares of the tenants' operations that were in target.
  std::vector<double> TenantShares() const {
    std::vector<double> shares;
    const SessionCounts& counts = world_->counts();
    for (const auto& item : counts.tenant_operations) {
      auto found = counts.tenant_in_target.find(item.first);
      int in_target =
          found == counts.tenant_in_target.end() ? 0 : found->second;
      shares.push_back(static_cast<double>(in_target) / item.second);
    }
    std::sort(shares.begin(), shares.end());
    return shares;
  }

  // Mean share of the tenth of the tenants that is served worst.
  double WorstTenth() const {
    std::vector<double> shares = TenantShares();
    size_t count = std::max<size_t>(shares.size() / 10, 1);
    double sum = 0;
    for (size_t i = 0; i < count; i++) sum += shares[i];
    return sum / static_cast<double>(count);
  }

  void Print(const std::string& name) {
    const SessionCounts& counts = world_->counts();
    std::cout << "\n" << name << ":";
    for (size_t i = 0; i < proxy::kReadConsistencies; i++) {
      std::cout << " priority " << i << " in target " << counts.in_target[i]
                << ", late " << counts.late[i] << ", not served "
                << counts.not_served[i] << ";";
    }
    std::cout << " openings " << world_->database().slow_openings()
              << ", Jain's index " << JainIndex() << ", worst tenth "
              << WorstTenth() << "\n";
  }

  void ExpectShareInTarget(int percent) {
    const SessionCounts& counts = world_->counts();
    int in_target = 0;
    int all = 0;
    for (size_t i = 0; i < proxy::kReadConsistencies; i++) {
      in_target += counts.in_target[i];
      all += counts.in_target[i] + counts.late[i] + counts.not_served[i];
    }
    CPPUNIT_ASSERT(all > 0);
    CPPUNIT_ASSERT_MESSAGE(
        std::to_string(in_target) + " of " + std::to_string(all) + " in target",
        in_target * 100 >= all * percent);
  }

  void ExpectOthersInTarget(const std::set<int>& hot, int percent) {
    const SessionCounts& counts = world_->counts();
    int in_target = 0;
    int all = 0;
    for (const auto& item : counts.tenant_operations) {
      int rank = std::stoi(item.first.value().substr(1));
      if (hot.count(rank) != 0) continue;
      all += item.second;
      auto found = counts.tenant_in_target.find(item.first);
      if (found != counts.tenant_in_target.end()) in_target += found->second;
    }
    std::cout << "others in target " << in_target << " of " << all << "\n";
    CPPUNIT_ASSERT(all > 0);
    CPPUNIT_ASSERT_MESSAGE(
        std::to_string(in_target) + " of " + std::to_string(all) + " in target",
        in_target * 100 >= all * percent);
  }

  void ExpectInvariantsHold() {
    world_->CheckEffects();
    CPPUNIT_ASSERT_EQUAL(std::string(), world_->problem());
    CPPUNIT_ASSERT(world_->counts().done > 0);
  }

  SessionWorldOptions options_;
  std::unique_ptr<SessionWorld> world_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionTenantTest);

}  // namespace
}  // namespace fireflycart::standins
