// Tests of the votes by which a lender knows which part of the limits is its
// own. Whole fleets are simulated in limit_keeper_test.cc.

#include "fireflycart/core/tenants/token_lender.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string>

namespace fireflycart {
namespace {

class PartOfVotes : public LimitShare {
 public:
  double Share(size_t votes, size_t voters, TimePoint) const override {
    return static_cast<double>(votes) / static_cast<double>(voters);
  }
};

class TokenLenderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TokenLenderTest);
  CPPUNIT_TEST(AllVoters_NothingBorrowed_LendsEarly);
  CPPUNIT_TEST(OtherCaller_HasBorrowed_LendsLater);
  CPPUNIT_TEST(Voter_CountedElsewhere_CountsAfterDelay);
  CPPUNIT_TEST(Voter_SilentForLong_CountsNoMore);
  CPPUNIT_TEST(Call_OfVmWithoutVote_CountsNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    lender_.SetVoters({VmId("vm-a"), VmId("vm-b")}, now_);
    lender_.SetChosen(true, now_);
  }

  void AllVoters_NothingBorrowed_LendsEarly() {
    Run(Duration::Seconds(1), {"vm-a", "vm-b"});
    CPPUNIT_ASSERT(lender_.State(now_) == LenderState::kLending);
  }

  // Guards against lending beside a rate that such a caller remembers.
  void OtherCaller_HasBorrowed_LendsLater() {
    borrowers_ = {"vm-c"};
    Run(Duration::Seconds(1), {"vm-a", "vm-b", "vm-c"});
    CPPUNIT_ASSERT(lender_.State(now_) == LenderState::kStarting);
    Run(TokenLender::kStartDelay, {"vm-a", "vm-b", "vm-c"});
    CPPUNIT_ASSERT(lender_.State(now_) == LenderState::kLending);
  }

  void Voter_CountedElsewhere_CountsAfterDelay() {
    borrowers_ = {"vm-a", "vm-b"};
    Run(TokenLender::kStartDelay - Duration::Millis(200), {"vm-a", "vm-b"});
    CPPUNIT_ASSERT_EQUAL(size_t{0}, lender_.CountVotes(now_));
    Run(Duration::Millis(400), {"vm-a", "vm-b"});
    CPPUNIT_ASSERT_EQUAL(size_t{2}, lender_.CountVotes(now_));
  }

  void Voter_SilentForLong_CountsNoMore() {
    Run(Duration::Seconds(4), {"vm-a", "vm-b"});
    Run(TokenLender::kVoteLife - Duration::Millis(200), {"vm-a"});
    CPPUNIT_ASSERT_EQUAL(size_t{2}, lender_.CountVotes(now_));
    Run(Duration::Millis(400), {"vm-a"});
    CPPUNIT_ASSERT_EQUAL(size_t{1}, lender_.CountVotes(now_));
  }

  void Call_OfVmWithoutVote_CountsNothing() {
    Run(Duration::Seconds(4), {"vm-c"});
    CPPUNIT_ASSERT_EQUAL(size_t{0}, lender_.CountVotes(now_));
    CPPUNIT_ASSERT(lender_.State(now_) == LenderState::kStarting);
  }

 private:
  // These call each 100 ms, and have called nobody else since the start.
  void Run(Duration time, const std::set<std::string>& callers) {
    for (TimePoint end = now_ + time; now_ < end;) {
      now_ = now_ + Duration::Millis(100);
      for (const std::string& caller : callers) {
        TokensCall call;
        call.has_borrowed = borrowers_.count(caller) != 0;
        call.voting_for = now_ - start_;
        lender_.OnCall(VmId(caller), call, now_);
      }
    }
  }

  PartOfVotes share_;
  TokenLender lender_{&share_};
  TimePoint start_ = TimePoint::FromMillis(100'000);
  TimePoint now_ = start_;
  std::set<std::string> borrowers_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TokenLenderTest);

}  // namespace
}  // namespace fireflycart
