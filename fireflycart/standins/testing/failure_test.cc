// Failover, terms, at most once and sessions: each hard case is made to happen
// in virtual time.

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "fireflycart/standins/testing/failure_fixture.h"

namespace fireflycart {
namespace {

class FailureTest : public FailureFixture {
  CPPUNIT_TEST_SUITE(FailureTest);
  CPPUNIT_TEST(Primary_CutFromReplicas_WriteMovesAndRunsOnce);
  CPPUNIT_TEST(Coordinator_PausedPastReplacement_NoStaleReadAndNoDoubledWrite);
  CPPUNIT_TEST(Read_AtDeposedCoordinatorWithOneUnfencedReplica_IsNotStale);
  CPPUNIT_TEST(Coordinators_CutFromEachOther_DuelSettles);
  CPPUNIT_TEST(Failover_PrimaryAndCoordinatorDieWithPlatformDown_Recovers);
  CPPUNIT_TEST(ReplacedPrimary_ComesBackWithTail_TailIsGone);
  CPPUNIT_TEST(Write_NoMajority_RefusedNotRunThenServesAgain);
  CPPUNIT_TEST(Write_ConnectionBreaksAfterSending_FoundThroughItsKey);
  CPPUNIT_TEST(Write_RepeatedElsewhereWhileRunning_RunsOnce);
  CPPUNIT_TEST(Write_RepeatedAfterFailover_GetsFirstOutcome);
  CPPUNIT_TEST(Connections_GoSilent_PrimaryStays);
  CPPUNIT_TEST(Transaction_ItsVmDies_RolledBackAndRefused);
  CPPUNIT_TEST(Read_RightAfterTakeover_SeesOwnWrite);
  CPPUNIT_TEST(Read_RightAfterHandover_SeesOwnWriteOnReplica);
  CPPUNIT_TEST(Read_AllReplicasFarBehind_ServedByPrimary);
  CPPUNIT_TEST(AgedRead_PrimaryFrozen_NotServedFromOldData);
  CPPUNIT_TEST(Write_OldTailIsLonger_NotAcknowledgedThroughIt);
  CPPUNIT_TEST(Commit_TailOfEarlierTermMayReturn_NotCalledNotRun);
  CPPUNIT_TEST(Read_ReplicaRebuiltWhileItRuns_AnswerNotTaken);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Primary_CutFromReplicas_WriteMovesAndRunsOnce() {
    Fault(a_, [](UpstreamFaults* f) { f->replication_cut = true; });
    Answer answer = Write(Entry(), "e1", kLong);
    CPPUNIT_ASSERT(answer.outcome == Outcome::kDone);
    CPPUNIT_ASSERT(Primary() != a_);
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), Value(Primary()));
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), Value(a_));  // In its tail only.
    Fault(a_, [](UpstreamFaults* f) { f->replication_cut = false; });
    world_->RunFor(Duration::Seconds(3));
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), Value(a_));
  }

  void Coordinator_PausedPastReplacement_NoStaleReadAndNoDoubledWrite() {
    int old = Leader();
    Answer late;
    Send(old, MakeWrite("e1", kLong), &late);
    world_->RunFor(Duration::Millis(3));
    world_->Pause(old, Duration::Seconds(5));
    world_->RunFor(Duration::Seconds(3));
    int next = Leader();
    CPPUNIT_ASSERT(next != old);
    CPPUNIT_ASSERT(Write(next, "e2", kLong).outcome == Outcome::kDone);
    Answer read;
    Send(old, MakeRead(kLong), &read);
    world_->RunFor(Duration::Seconds(5));
    CPPUNIT_ASSERT(read.outcome == Outcome::kDone);
    CPPUNIT_ASSERT(Has(read.result, "e2"));
    CPPUNIT_ASSERT(late.outcome == Outcome::kDone);
    CPPUNIT_ASSERT_EQUAL(1L, Count(Value(Primary()), "e1"));
  }

  // The old coordinator reaches only the replica that the new one cannot fence.
  void Read_AtDeposedCoordinatorWithOneUnfencedReplica_IsNotStale() {
    int old = Leader();
    int next = (old + 1) % kNodes;
    CutOff(old);
    world_->CutUpstream(old, a_, true);
    world_->CutUpstream(old, b_, true);
    for (int n = 0; n < kNodes; n++) {
      if (n != old) world_->CutUpstream(n, c_, true);
    }
    Fault(c_, [](UpstreamFaults* f) { f->replication_cut = true; });
    world_->RunFor(Duration::Seconds(3));
    CPPUNIT_ASSERT(Write(next, "e1", kLong).outcome == Outcome::kDone);
    Answer read = Ask(old, MakeRead(Duration::Seconds(1)));
    CPPUNIT_ASSERT(read.outcome == Outcome::kNotRun);
  }

  void Coordinators_CutFromEachOther_DuelSettles() {
    for (int a = 0; a < kNodes; a++) {
      for (int b = a + 1; b < kNodes; b++) world_->CutNodes(a, b, true);
    }
    int changes = 0;
    int seen = Leader();
    for (int i = 0; i < 600; i++) {
      world_->RunFor(Duration::Millis(100));
      int now = Leader();
      if (now >= 0 && now != seen) changes++;
      if (now >= 0) seen = now;
    }
    // Pauses double from half a second, so a minute has room for few changes.
    CPPUNIT_ASSERT(changes <= 12);
    world_->HealAll();
    world_->RunFor(Duration::Seconds(5));
    for (int n = 0; n < kNodes; n++) {
      std::string entry = "e" + std::to_string(n);
      CPPUNIT_ASSERT(Write(n, entry, kLong).outcome == Outcome::kDone);
    }
  }

  void Failover_PrimaryAndCoordinatorDieWithPlatformDown_Recovers() {
    CPPUNIT_ASSERT(Write(Entry(), "e1", kLong).outcome == Outcome::kDone);
    PlatformFaults outage;
    outage.outage = true;
    world_->platform().SetFaults(outage);
    world_->Crash(Leader(), true);
    Fault(a_, [](UpstreamFaults* f) { f->down = true; });
    world_->RunFor(Duration::Millis(900));
    if (Leader() >= 0) world_->Crash(Leader(), true);
    Answer answer = Write(Entry(), "e2", kLong);
    CPPUNIT_ASSERT(answer.outcome == Outcome::kDone);
    CPPUNIT_ASSERT_EQUAL(std::string("e1,e2"), Value(Primary()));
  }

  void ReplacedPrimary_ComesBackWithTail_TailIsGone() {
    Fault(a_, [](UpstreamFaults* f) { f->replication_cut = true; });
    Answer open;
    Send(Leader(), MakeWrite("tail", Duration::Millis(400)), &open);
    world_->RunFor(Duration::Millis(600));
    CPPUNIT_ASSERT(open.outcome == Outcome::kUnknown);
    Fault(a_, [](UpstreamFaults* f) { f->down = true; });
    CPPUNIT_ASSERT(Write(Entry(), "e2", kLong).outcome == Outcome::kDone);
    Fault(a_, [](UpstreamFaults* f) { *f = UpstreamFaults(); });
    world_->RunFor(Duration::Seconds(3));
    CPPUNIT_ASSERT_EQUAL(std::string("e2"), Value(a_));
    CPPUNIT_ASSERT_EQUAL(std::string("e2"), Value(Primary()));
  }

  void Write_NoMajority_RefusedNotRunThenServesAgain() {
    for (const UpstreamId& id : {a_, b_}) {
      Fault(id, [](UpstreamFaults* f) { f->down = true; });
    }
    world_->RunFor(Duration::Seconds(1));
    Answer refused = Write(Entry(), "e1", Duration::Millis(500));
    CPPUNIT_ASSERT(refused.outcome != Outcome::kDone);
    for (const UpstreamId& id : {a_, b_}) {
      Fault(id, [](UpstreamFaults* f) { f->down = false; });
    }
    world_->RunFor(Duration::Seconds(3));
    CPPUNIT_ASSERT(Write(Entry(), "e2", kLong).outcome == Outcome::kDone);
    bool not_run = refused.outcome == Outcome::kNotRun;
    if (not_run) CPPUNIT_ASSERT_EQUAL(0L, Count(Value(Primary()), "e1"));
  }

  void Write_ConnectionBreaksAfterSending_FoundThroughItsKey() {
    Answer answer;
    Send(Leader(), MakeWrite("e1", kLong), &answer);
    world_->RunFor(Duration::Millis(4));
    world_->group(0).SilenceConnections(a_);
    world_->RunFor(Duration::Seconds(4));
    CPPUNIT_ASSERT(answer.outcome == Outcome::kDone);
    CPPUNIT_ASSERT_EQUAL(1L, Count(Value(Primary()), "e1"));
  }

  void Write_RepeatedElsewhereWhileRunning_RunsOnce() {
    Answer first;
    Answer second;
    Request request = MakeWrite("e1", kLong);
    Send(0, request, &first);
    Send(1, request, &second);
    world_->RunFor(Duration::Seconds(1));
    CPPUNIT_ASSERT(first.outcome == Outcome::kDone);
    CPPUNIT_ASSERT(second.outcome == Outcome::kDone);
    CPPUNIT_ASSERT_EQUAL(first.result, second.result);
    CPPUNIT_ASSERT_EQUAL(1L, Count(Value(Primary()), "e1"));
  }

  void Write_RepeatedAfterFailover_GetsFirstOutcome() {
    CPPUNIT_ASSERT(Write(Entry(), "e1", kLong).outcome == Outcome::kDone);
    world_->Crash(Leader(), true);
    Fault(a_, [](UpstreamFaults* f) { f->down = true; });
    world_->RunFor(Duration::Seconds(3));
    Answer again = Write(Entry(), "e1", kLong);
    CPPUNIT_ASSERT(again.outcome == Outcome::kDone);
    CPPUNIT_ASSERT(again.replayed);
    CPPUNIT_ASSERT_EQUAL(1L, Count(Value(Primary()), "e1"));
  }

  void Connections_GoSilent_PrimaryStays() {
    Term before = world_->reducer(Leader())->FindGroup(group_)->term();
    world_->group(0).SilenceConnections(a_);
    CPPUNIT_ASSERT(Write(Entry(), "e1", kLong).outcome == Outcome::kDone);
    CPPUNIT_ASSERT_EQUAL(a_, Primary());
    CPPUNIT_ASSERT_EQUAL(before,
                         world_->reducer(Leader())->FindGroup(group_)->term());
  }

  void Transaction_ItsVmDies_RolledBackAndRefused() {
    int owner = Leader();
    TransactionId id = Begin((owner + 1) % kNodes);
    Answer step = Ask((owner + 1) % kNodes, MakeStep(id, "e1"));
    CPPUNIT_ASSERT(step.outcome == Outcome::kDone);
    world_->Crash(owner, true);
    world_->RunFor(Duration::Seconds(3));
    Answer commit = Ask((owner + 1) % kNodes, MakeCommit(id));
    CPPUNIT_ASSERT(commit.outcome == Outcome::kNotRun);
    CPPUNIT_ASSERT(commit.reason == Reason::kTransactionLost);
    CPPUNIT_ASSERT_EQUAL(0L, Count(Value(Primary()), "e1"));
  }

  void Read_RightAfterTakeover_SeesOwnWrite() {
    WorldOptions options;
    options.nodes = kNodes;
    options.apply_lag = Duration::Seconds(2);
    Build(options);
    CPPUNIT_ASSERT(Write(Entry(), "e1", kLong).outcome == Outcome::kDone);
    world_->Crash(Leader(), true);
    Answer read = Ask(Entry(), MakeRead(kLong));
    CPPUNIT_ASSERT(read.outcome == Outcome::kDone);
    CPPUNIT_ASSERT(Has(read.result, "e1"));
    CPPUNIT_ASSERT(!read.from_replica);
  }

  // The positions of sessions are handed over, so replicas serve at once.
  void Read_RightAfterHandover_SeesOwnWriteOnReplica() {
    CPPUNIT_ASSERT(Write(Entry(), "e1", kLong).outcome == Outcome::kDone);
    world_->RunFor(Duration::Millis(200));
    int old = Leader();
    world_->Stop(old);
    while (Leader() == old || Leader() < 0) world_->RunFor(Duration::Millis(5));
    Answer read = Ask(Leader(), MakeRead(kLong));
    CPPUNIT_ASSERT(read.outcome == Outcome::kDone);
    CPPUNIT_ASSERT(Has(read.result, "e1"));
    CPPUNIT_ASSERT(read.from_replica);
  }

  void Read_AllReplicasFarBehind_ServedByPrimary() {
    for (const UpstreamId& id : {b_, c_}) {
      Fault(id,
            [](UpstreamFaults* f) { f->apply_lag = Duration::Seconds(60); });
    }
    CPPUNIT_ASSERT(Write(Entry(), "e1", kLong).outcome == Outcome::kDone);
    Answer read = Ask(Entry(), MakeRead(kLong));
    CPPUNIT_ASSERT(read.outcome == Outcome::kDone);
    CPPUNIT_ASSERT(Has(read.result, "e1"));
    CPPUNIT_ASSERT(!read.from_replica);
  }

  void AgedRead_PrimaryFrozen_NotServedFromOldData() {
    for (const UpstreamId& id : {b_, c_}) {
      Fault(id,
            [](UpstreamFaults* f) { f->apply_lag = Duration::Seconds(60); });
    }
    CPPUNIT_ASSERT(Write(Entry(), "e1", kLong).outcome == Outcome::kDone);
    world_->RunFor(Duration::Seconds(1));
    Fault(a_, [](UpstreamFaults* f) { f->frozen = true; });
    Request request = MakeRead(Duration::Millis(400));
    request.session = SessionId();
    request.max_age = Duration::Millis(100);
    Answer read = Ask(Entry(), request);
    CPPUNIT_ASSERT(read.outcome == Outcome::kNotRun);
  }

  // A replaced primary's tail is longer than the new primary's log.
  void Write_OldTailIsLonger_NotAcknowledgedThroughIt() {
    Fault(a_, [](UpstreamFaults* f) { f->replication_cut = true; });
    std::vector<Answer> open(6);
    for (size_t i = 0; i < open.size(); i++) {
      Send(Leader(), MakeWrite("t" + std::to_string(i), Duration::Millis(300)),
           &open[i]);
    }
    world_->RunFor(Duration::Millis(500));
    Fault(a_, [](UpstreamFaults* f) { f->down = true; });
    world_->RunFor(Duration::Seconds(2));
    CPPUNIT_ASSERT(Primary() != a_);
    UpstreamId third = Primary() == b_ ? c_ : b_;
    Fault(third, [](UpstreamFaults* f) { f->down = true; });
    Fault(a_, [](UpstreamFaults* f) { f->down = false; });
    world_->RunFor(Duration::Millis(700));
    Answer answer = Write(Entry(), "e1", Duration::Seconds(1));
    CPPUNIT_ASSERT(answer.outcome != Outcome::kDone);
  }

  // The new primary's first entry is on no other upstream, so the old log with
  // the commit may still come back.
  void Commit_TailOfEarlierTermMayReturn_NotCalledNotRun() {
    TransactionId id = Begin(Leader());
    CPPUNIT_ASSERT(Ask(Leader(), MakeStep(id, "e1")).outcome == Outcome::kDone);
    Fault(a_, [](UpstreamFaults* f) { f->replication_cut = true; });
    Answer commit;
    Send(Leader(), MakeCommit(id), &commit);
    world_->RunFor(Duration::Millis(500));
    for (const UpstreamId& upstream : {b_, c_}) {
      Fault(upstream, [](UpstreamFaults* f) { f->replication_cut = true; });
    }
    world_->RunFor(Duration::Seconds(5));
    CPPUNIT_ASSERT(Primary() != a_);
    CPPUNIT_ASSERT(commit.outcome == Outcome::kUnknown);
    Fault(Primary(), [](UpstreamFaults* f) { f->down = true; });
    Fault(a_, [](UpstreamFaults* f) { *f = UpstreamFaults(); });
    world_->RunFor(Duration::Seconds(4));
    CPPUNIT_ASSERT_EQUAL(a_, Primary());
    CPPUNIT_ASSERT_EQUAL(1L, Count(Value(a_), "e1"));
  }

  void Read_ReplicaRebuiltWhileItRuns_AnswerNotTaken() {
    CPPUNIT_ASSERT(Write(Entry(), "e1", kLong).outcome == Outcome::kDone);
    world_->RunFor(Duration::Millis(200));
    Request slow = MakeRead(kLong);
    slow.statement = "cost=30 get list";
    Answer read;
    Send(Leader(), slow, &read);
    world_->RunFor(Duration::Millis(12));
    Answer quick;  // Makes the coordinator look at the upstreams again.
    Send(Leader(), MakeRead(kLong), &quick);
    world_->RunFor(Duration::Millis(15));
    for (const UpstreamId& upstream : {b_, c_}) {
      world_->group(0).Rebuild(upstream, Position(), Duration::Millis(200));
    }
    world_->RunFor(Duration::Seconds(2));
    CPPUNIT_ASSERT(read.outcome == Outcome::kDone);
    CPPUNIT_ASSERT(Has(read.result, "e1"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FailureTest);

}  // namespace
}  // namespace fireflycart
