// Tests of what a lender that lacks votes may lend, against a row that two
// lenders write.

#include "fireflycart/core/proxy/limit_claim.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <variant>

namespace fireflycart::proxy {
namespace {

constexpr size_t kVoters = 15;

// One lender with its context and votes.
struct Lender {
  explicit Lender(const std::string& name) : context(VmId(name), 1, 7) {}

  ProxyContext context;
  LimitClaim claim;
  bool is_chosen = true;
  size_t votes = 0;
};

class LimitClaimTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LimitClaimTest);
  CPPUNIT_TEST(Holder_WithMajority_LendsWholeAfterDelay);
  CPPUNIT_TEST(Holder_WithoutMajority_LendsWholeAfterLongerDelay);
  CPPUNIT_TEST(Holder_LosesAllVotes_LendsNothing);
  CPPUNIT_TEST(Other_ReadsClaim_StopsBeforeHolderLendsWhole);
  CPPUNIT_TEST(Majority_TakesOverClaimInUse_WaitsUntilItIsOver);
  CPPUNIT_TEST(Holder_HasAllVotesAgain_GivesClaimUp);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Holder_WithMajority_LendsWholeAfterDelay() {
    a_.votes = 14;
    Run(LimitClaim::kMajorityDelay);
    CPPUNIT_ASSERT(Share(a_) < 1);
    Run(LimitClaim::kMajorityWait + Duration::Seconds(1));
    CPPUNIT_ASSERT_EQUAL(1.0, Share(a_));
  }

  void Holder_WithoutMajority_LendsWholeAfterLongerDelay() {
    a_.votes = 5;
    Run(LimitClaim::kMinorityDelay);
    CPPUNIT_ASSERT(Share(a_) < 1);
    Run(LimitClaim::kMinorityWait + Duration::Seconds(2));
    CPPUNIT_ASSERT_EQUAL(1.0, Share(a_));
  }

  // Guards against a holder beside a lender that has all votes: that one does
  // not look at claims.
  void Holder_LosesAllVotes_LendsNothing() {
    a_.votes = 1;
    Run(LimitClaim::kMinorityWait + LimitClaim::kMinorityDelay +
        Duration::Seconds(2));
    CPPUNIT_ASSERT_EQUAL(1.0, Share(a_));
    a_.votes = 0;
    Run(Duration::Millis(1));
    CPPUNIT_ASSERT_EQUAL(0.0, Share(a_));
    Run(LimitClaim::kClaimLife + Duration::Seconds(2));
    CPPUNIT_ASSERT_EQUAL(0.0, Share(a_));
  }

  void Other_ReadsClaim_StopsBeforeHolderLendsWhole() {
    a_.votes = 9;
    b_.votes = 6;
    for (int i = 0; i < 40'000; i++) {
      Run(Duration::Millis(1));
      CPPUNIT_ASSERT(Share(a_) + Share(b_) <= 1 + 1e-9);
    }
    CPPUNIT_ASSERT_EQUAL(1.0, Share(a_));
    CPPUNIT_ASSERT_EQUAL(0.0, Share(b_));
  }

  // Guards against parts that are lent beside the whole of the claim that was
  // taken over, while its holder does not hear the store.
  void Majority_TakesOverClaimInUse_WaitsUntilItIsOver() {
    a_.votes = 5;
    b_.is_chosen = false;
    Run(LimitClaim::kMinorityWait + LimitClaim::kMinorityDelay +
        Duration::Seconds(2));
    CPPUNIT_ASSERT_EQUAL(1.0, Share(a_));
    b_.is_chosen = true;
    b_.votes = 10;
    for (int i = 0; i < 20'000; i++) {
      Run(Duration::Millis(1));
      CPPUNIT_ASSERT(Share(a_) + Share(b_) <= 1 + 1e-9);
      // From its last write before the claim is taken over.
      if (!is_a_cut_ && IsRowOf("vm-b")) is_a_cut_ = true;
    }
    CPPUNIT_ASSERT_EQUAL(1.0, Share(b_));
  }

  void Holder_HasAllVotesAgain_GivesClaimUp() {
    a_.votes = 14;
    Run(LimitClaim::kMajorityWait + Duration::Seconds(2));
    CPPUNIT_ASSERT(IsRowOf("vm-a"));
    a_.votes = kVoters;
    Run(Duration::Seconds(2));
    CPPUNIT_ASSERT_EQUAL(std::string(), row_.value);
    CPPUNIT_ASSERT_EQUAL(1.0, Share(a_));
  }

 private:
  bool IsRowOf(const std::string& vm) const {
    return row_.value.compare(0, vm.size(), vm) == 0;
  }

  double Share(const Lender& lender) const {
    return lender.claim.Share(lender.votes, kVoters, now_);
  }

  void Run(Duration time) {
    TimePoint end = now_ + time;
    while (now_ < end) {
      now_ = now_ + Duration::Millis(1);
      StepLender(&a_, !is_a_cut_);
      StepLender(&b_, true);
    }
  }

  void StepLender(Lender* lender, bool reaches_store) {
    ProxyEffects effects;
    lender->context.Begin(now_, &effects);
    lender->claim.Step(lender->is_chosen, lender->votes, kVoters,
                       &lender->context);
    ProxyEffects calls;
    calls.swap(effects);
    for (const ProxyEffect& effect : calls) {
      const auto* call = std::get_if<StoreCall>(&effect);
      if (call == nullptr) continue;
      StoreAnswered answer;
      answer.call = call->call;
      if (reaches_store) Perform(*call, &answer);
      lender->claim.OnStore(answer, &lender->context);
    }
  }

  void Perform(const StoreCall& call, StoreAnswered* answer) {
    answer->status = StoreStatus::kOk;
    if (const auto* write = std::get_if<WriteRow>(&call.body)) {
      if (write->expected_version == row_.version) {
        row_.key = write->key;
        row_.value = write->value;
        row_.version.number++;
      } else {
        answer->status = StoreStatus::kConflict;
      }
    }
    answer->version = row_.version;
    if (row_.version.number != 0) answer->rows = {row_};
  }

  TimePoint now_ = TimePoint::FromMillis(100'000);
  StoreRow row_;
  bool is_a_cut_ = false;
  Lender a_{"vm-a"};
  Lender b_{"vm-b"};
};

CPPUNIT_TEST_SUITE_REGISTRATION(LimitClaimTest);

}  // namespace
}  // namespace fireflycart::proxy
