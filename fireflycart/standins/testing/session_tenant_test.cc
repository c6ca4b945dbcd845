// Replays loads of many tenants against the simulated prepared platform in
// virtual time. A connection carries one tenant, and an upstream takes fewer
// connections than there are tenants. The bounds come from the callers' targets
// and from what the upstreams can run.

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iostream>
#include <vector>

#include "fireflycart/standins/testing/session_world.h"

namespace fireflycart::standins {
namespace {

constexpr uint64_t kSeed = 11;
constexpr Duration kWarmUp = Duration::Seconds(3);

class SessionTenantTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SessionTenantTest);
  CPPUNIT_TEST(Tenants_MoreThanConnections_AllAreServed);
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

 private:
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
