// Ends of transactions that the upstream refuses or does not answer: nothing of
// a transaction may reach the next caller of its connection, nor be kept though
// the caller was told that it is not.

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "fireflycart/standins/testing/failure_fixture.h"

namespace fireflycart {
namespace {

class TransactionEndTest : public FailureFixture {
  CPPUNIT_TEST_SUITE(TransactionEndTest);
  CPPUNIT_TEST(Commit_Refused_NextStatementRunsOutsideItsTransaction);
  CPPUNIT_TEST(Commit_KeyStoredBefore_ConnectionIsClosed);
  CPPUNIT_TEST(Commit_AnswerLost_TransactionIsEnded);
  CPPUNIT_TEST(Begin_Refused_NextStatementRunsOutsideItsTransaction);
  CPPUNIT_TEST(Rollback_Refused_IsDoneByClosingTheConnection);
  CPPUNIT_TEST(Rollback_AnswerLost_TransactionIsNotPassedOn);
  CPPUNIT_TEST(Statement_Refused_TransactionStaysOpenWithoutIt);
  CPPUNIT_TEST(Statement_RanButToldNotRun_IsNotCommitted);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Commit_Refused_NextStatementRunsOutsideItsTransaction() {
    TransactionId id = Begin(Leader());
    CPPUNIT_ASSERT(Ask(Leader(), MakeStep(id, "e1")).outcome == Outcome::kDone);
    Fault(a_, [](UpstreamFaults* f) { f->refuses_commit = true; });
    Answer commit = Ask(Leader(), MakeCommit(id));
    CPPUNIT_ASSERT(commit.outcome == Outcome::kNotRun);
    CPPUNIT_ASSERT(commit.reason == Reason::kStatementFailed);
    Fault(a_, [](UpstreamFaults* f) { f->refuses_commit = false; });
    CheckConnectionsAreClean();
    CPPUNIT_ASSERT_EQUAL(0L, Count(Value(Primary()), "e1"));
  }

  // "Nothing runs" if the key is stored, so the transaction may be open still.
  void Commit_KeyStoredBefore_ConnectionIsClosed() {
    CPPUNIT_ASSERT(Write(Leader(), "commit", kLong).outcome == Outcome::kDone);
    TransactionId id = Begin(Leader());
    CPPUNIT_ASSERT(Ask(Leader(), MakeStep(id, "e1")).outcome == Outcome::kDone);
    // Another VM does not have the outcome in its cache.
    world_->Crash(Leader(), false);
    world_->RunFor(Duration::Seconds(3));
    id = Begin(Leader());
    CPPUNIT_ASSERT(Ask(Leader(), MakeStep(id, "e2")).outcome == Outcome::kDone);
    Fault(Primary(), [](UpstreamFaults* f) { f->keeps_repeated_open = true; });
    Answer commit = Ask(Leader(), MakeCommit(id));
    CPPUNIT_ASSERT(commit.outcome == Outcome::kDone);
    CPPUNIT_ASSERT(commit.replayed);
    CheckConnectionsAreClean();
    CPPUNIT_ASSERT_EQUAL(0L, Count(Value(Primary()), "e2"));
  }

  // Found through its key: the transaction is over for later statements, too.
  void Commit_AnswerLost_TransactionIsEnded() {
    TransactionId id = Begin(Leader());
    CPPUNIT_ASSERT(Ask(Leader(), MakeStep(id, "e1")).outcome == Outcome::kDone);
    Answer commit;
    Send(Leader(), MakeCommit(id), &commit);
    world_->RunFor(Duration::Millis(2));
    world_->group(0).SilenceConnections(a_);
    world_->RunFor(Duration::Seconds(3));
    CPPUNIT_ASSERT(commit.outcome == Outcome::kDone);
    Answer step = Ask(Leader(), MakeStep(id, "e2"));
    CPPUNIT_ASSERT(step.outcome == Outcome::kNotRun);
    CPPUNIT_ASSERT(step.reason == Reason::kTransactionLost);
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), Value(Primary()));
  }

  void Begin_Refused_NextStatementRunsOutsideItsTransaction() {
    Fault(a_, [](UpstreamFaults* f) { f->refuses_begin = true; });
    Request begin = MakeRequest(Duration::Seconds(2));
    begin.type = RequestType::kBegin;
    begin.access = Access::kWrite;
    Answer answer = Ask(Leader(), begin);
    CPPUNIT_ASSERT(answer.outcome == Outcome::kNotRun);
    CPPUNIT_ASSERT(answer.reason == Reason::kStatementFailed);
    Fault(a_, [](UpstreamFaults* f) { f->refuses_begin = false; });
    CheckConnectionsAreClean();
  }

  void Rollback_Refused_IsDoneByClosingTheConnection() {
    TransactionId id = Begin(Leader());
    CPPUNIT_ASSERT(Ask(Leader(), MakeStep(id, "e1")).outcome == Outcome::kDone);
    Fault(a_, [](UpstreamFaults* f) { f->refuses_rollback = true; });
    Answer rollback = Ask(Leader(), MakeRollback(id));
    CPPUNIT_ASSERT(rollback.outcome == Outcome::kDone);
    Answer commit = Ask(Leader(), MakeCommit(id));
    CPPUNIT_ASSERT(commit.outcome == Outcome::kNotRun);
    CPPUNIT_ASSERT(commit.reason == Reason::kTransactionLost);
    CheckConnectionsAreClean();
    CPPUNIT_ASSERT_EQUAL(0L, Count(Value(Primary()), "e1"));
  }

  void Rollback_AnswerLost_TransactionIsNotPassedOn() {
    TransactionId id = Begin(Leader());
    CPPUNIT_ASSERT(Ask(Leader(), MakeStep(id, "e1")).outcome == Outcome::kDone);
    world_->group(0).SilenceConnections(a_);
    Answer rollback = Ask(Leader(), MakeRollback(id));
    CPPUNIT_ASSERT(rollback.outcome != Outcome::kNotRun);
    Answer commit = Ask(Leader(), MakeCommit(id));
    CPPUNIT_ASSERT(commit.outcome == Outcome::kNotRun);
    CheckConnectionsAreClean();
    CPPUNIT_ASSERT_EQUAL(0L, Count(Value(Primary()), "e1"));
  }

  void Statement_Refused_TransactionStaysOpenWithoutIt() {
    TransactionId id = Begin(Leader());
    CPPUNIT_ASSERT(Ask(Leader(), MakeStep(id, "e1")).outcome == Outcome::kDone);
    Request refused = MakeStep(id, "e2");
    refused.statement = "append list";
    Answer answer = Ask(Leader(), refused);
    CPPUNIT_ASSERT(answer.outcome == Outcome::kNotRun);
    CPPUNIT_ASSERT(answer.reason == Reason::kStatementFailed);
    CPPUNIT_ASSERT(Ask(Leader(), MakeCommit(id)).outcome == Outcome::kDone);
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), Value(Primary()));
    CheckConnectionsAreClean();
  }

  // The upstream has run the statement, but no majority confirms the term by
  // the deadline.
  void Statement_RanButToldNotRun_IsNotCommitted() {
    TransactionId id = Begin(Leader());
    for (const UpstreamId& replica : {b_, c_}) {
      Fault(replica, [](UpstreamFaults* f) { f->frozen = true; });
    }
    Request step = MakeStep(id, "e1");
    step.deadline = world_->now() + Duration::Millis(150);
    Answer answer = Ask(Leader(), step);
    CPPUNIT_ASSERT(answer.outcome == Outcome::kNotRun);
    for (const UpstreamId& replica : {b_, c_}) {
      Fault(replica, [](UpstreamFaults* f) { f->frozen = false; });
    }
    Answer commit = Ask(Leader(), MakeCommit(id));
    CPPUNIT_ASSERT_EQUAL(0L, Count(Value(Primary()), "e1"));
    CPPUNIT_ASSERT(commit.outcome == Outcome::kNotRun);
    CPPUNIT_ASSERT(commit.reason == Reason::kTransactionLost);
  }

 private:
  // Sends enough statements at once to use each connection to the primary.
  void CheckConnectionsAreClean() {
    constexpr int kStatements = 16;
    std::vector<Answer> answers(kStatements);
    for (int i = 0; i < kStatements; i++) {
      Send(Leader(), MakeWrite("next" + std::to_string(i), kLong),
           &answers[static_cast<size_t>(i)]);
    }
    world_->RunFor(Duration::Seconds(2));
    for (const Answer& answer : answers) {
      CPPUNIT_ASSERT(answer.outcome == Outcome::kDone);
    }
    CPPUNIT_ASSERT_EQUAL(0, world_->group(0).mixed_statements());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TransactionEndTest);

}  // namespace
}  // namespace fireflycart
