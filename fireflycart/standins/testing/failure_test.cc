// One test for each hard case of failure, terms, sessions, configuration and
// life cycle, in virtual time: each makes the failure happen on purpose.

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fireflycart/core/term_source.h"
#include "fireflycart/standins/testing/world.h"

namespace fireflycart {
namespace {

constexpr int kNodes = 3;
const UpstreamId kA = World::UpstreamName(0, 0);
const UpstreamId kB = World::UpstreamName(0, 1);
const UpstreamId kC = World::UpstreamName(0, 2);
const Duration kLong = Duration::Seconds(14);

class FailureTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FailureTest);
  CPPUNIT_TEST(Primary_CutFromReplicas_WriteMovesAndRunsOnce);
  CPPUNIT_TEST(Coordinator_PausedPastReplacement_NoStaleReadAndNoDoubledWrite);
  CPPUNIT_TEST(Read_AtDeposedCoordinatorWithOneUnfencedReplica_IsNotStale);
  CPPUNIT_TEST(Coordinators_CutFromEachOther_DuelSettles);
  CPPUNIT_TEST(Failover_PrimaryAndCoordinatorDieWithPlatformDown_Recovers);
  CPPUNIT_TEST(TermGrant_AnswersLost_TermsStayUnique);
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
  CPPUNIT_TEST(Submit_TwoOnSameBase_OneConflicts);
  CPPUNIT_TEST(Submit_AnswerLost_AcceptedOnce);
  CPPUNIT_TEST(Submit_Accepted_InForceEverywhereWithinFiveSeconds);
  CPPUNIT_TEST(Vm_StartsWithPlatformDown_LearnsConfigurationAndLeads);
  CPPUNIT_TEST(Vm_CutFromEverything_StopsServing);
  CPPUNIT_TEST(Stop_OpenTransaction_MayEnd);
  CPPUNIT_TEST(Stop_TwoAtOnce_ThirdServes);
  CPPUNIT_TEST(VmList_NamesDeadVm_WorkGoesToLiveOnes);
  CPPUNIT_TEST(Primary_Leaving_SwitchedOverWithoutRefusal);
  CPPUNIT_TEST(Vms_AllRestartAtOnce_Recover);
  CPPUNIT_TEST(Write_OldTailIsLonger_NotAcknowledgedThroughIt);
  CPPUNIT_TEST(Commit_TailOfEarlierTermMayReturn_NotCalledNotRun);
  CPPUNIT_TEST(Handover_OfferArrivesLate_ReadsSeeWritesInBetween);
  CPPUNIT_TEST(Read_ReplicaRebuiltWhileItRuns_AnswerNotTaken);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    WorldOptions options;
    options.nodes = kNodes;
    Build(options);
  }

  void Primary_CutFromReplicas_WriteMovesAndRunsOnce() {
    Fault(kA, [](UpstreamFaults* f) { f->replication_cut = true; });
    Answer answer = Write(Entry(), "e1", kLong);
    CPPUNIT_ASSERT(answer.outcome == Outcome::kDone);
    CPPUNIT_ASSERT(Primary() != kA);
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), Value(Primary()));
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), Value(kA));  // In its tail only.
    Fault(kA, [](UpstreamFaults* f) { f->replication_cut = false; });
    world_->RunFor(Duration::Seconds(3));
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), Value(kA));
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
    world_->CutUpstream(old, kA, true);
    world_->CutUpstream(old, kB, true);
    for (int n = 0; n < kNodes; n++) {
      if (n != old) world_->CutUpstream(n, kC, true);
    }
    Fault(kC, [](UpstreamFaults* f) { f->replication_cut = true; });
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
    Fault(kA, [](UpstreamFaults* f) { f->down = true; });
    world_->RunFor(Duration::Millis(900));
    if (Leader() >= 0) world_->Crash(Leader(), true);
    Answer answer = Write(Entry(), "e2", kLong);
    CPPUNIT_ASSERT(answer.outcome == Outcome::kDone);
    CPPUNIT_ASSERT_EQUAL(std::string("e1,e2"), Value(Primary()));
  }

  void TermGrant_AnswersLost_TermsStayUnique() {
    std::set<Ordinal> ordinals;
    for (int round = 0; round < 4; round++) {
      PlatformFaults faults;
      faults.lose_answers = 2;
      world_->platform().SetFaults(faults);
      for (int n = 0; n < kNodes; n++) world_->Crash(n, false);
      for (int n = 0; n < kNodes; n++) world_->Start(n);
      world_->RunFor(Duration::Seconds(8));
      for (int n = 0; n < kNodes; n++) {
        Ordinal ordinal = world_->reducer(n)->ordinal();
        CPPUNIT_ASSERT(ordinal != Ordinal());
        CPPUNIT_ASSERT(ordinals.insert(ordinal).second);
      }
    }
  }

  void ReplacedPrimary_ComesBackWithTail_TailIsGone() {
    Fault(kA, [](UpstreamFaults* f) { f->replication_cut = true; });
    Answer open;
    Send(Leader(), MakeWrite("tail", Duration::Millis(400)), &open);
    world_->RunFor(Duration::Millis(600));
    CPPUNIT_ASSERT(open.outcome == Outcome::kUnknown);
    Fault(kA, [](UpstreamFaults* f) { f->down = true; });
    CPPUNIT_ASSERT(Write(Entry(), "e2", kLong).outcome == Outcome::kDone);
    Fault(kA, [](UpstreamFaults* f) { *f = UpstreamFaults(); });
    world_->RunFor(Duration::Seconds(3));
    CPPUNIT_ASSERT_EQUAL(std::string("e2"), Value(kA));
    CPPUNIT_ASSERT_EQUAL(std::string("e2"), Value(Primary()));
  }

  void Write_NoMajority_RefusedNotRunThenServesAgain() {
    for (const UpstreamId& id : {kA, kB}) {
      Fault(id, [](UpstreamFaults* f) { f->down = true; });
    }
    world_->RunFor(Duration::Seconds(1));
    Answer refused = Write(Entry(), "e1", Duration::Millis(500));
    CPPUNIT_ASSERT(refused.outcome != Outcome::kDone);
    for (const UpstreamId& id : {kA, kB}) {
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
    world_->group(0).SilenceConnections(kA);
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
    Fault(kA, [](UpstreamFaults* f) { f->down = true; });
    world_->RunFor(Duration::Seconds(3));
    Answer again = Write(Entry(), "e1", kLong);
    CPPUNIT_ASSERT(again.outcome == Outcome::kDone);
    CPPUNIT_ASSERT(again.replayed);
    CPPUNIT_ASSERT_EQUAL(1L, Count(Value(Primary()), "e1"));
  }

  void Connections_GoSilent_PrimaryStays() {
    Term before = world_->reducer(Leader())->FindGroup(kGroup)->term();
    world_->group(0).SilenceConnections(kA);
    CPPUNIT_ASSERT(Write(Entry(), "e1", kLong).outcome == Outcome::kDone);
    CPPUNIT_ASSERT_EQUAL(kA, Primary());
    CPPUNIT_ASSERT_EQUAL(before,
                         world_->reducer(Leader())->FindGroup(kGroup)->term());
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
    for (const UpstreamId& id : {kB, kC}) {
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
    for (const UpstreamId& id : {kB, kC}) {
      Fault(id,
            [](UpstreamFaults* f) { f->apply_lag = Duration::Seconds(60); });
    }
    CPPUNIT_ASSERT(Write(Entry(), "e1", kLong).outcome == Outcome::kDone);
    world_->RunFor(Duration::Seconds(1));
    Fault(kA, [](UpstreamFaults* f) { f->frozen = true; });
    Request request = MakeRead(Duration::Millis(400));
    request.session = SessionId();
    request.max_age = Duration::Millis(100);
    Answer read = Ask(Entry(), request);
    CPPUNIT_ASSERT(read.outcome == Outcome::kNotRun);
  }

  void Submit_TwoOnSameBase_OneConflicts() {
    SubmitReply first;
    SubmitReply second;
    Submit(0, 1, &first);
    Submit(1, 2, &second);
    world_->RunFor(Duration::Seconds(2));
    bool first_won = first.code == SubmitCode::kAccepted;
    const SubmitReply& loser = first_won ? second : first;
    const SubmitReply& winner = first_won ? first : second;
    CPPUNIT_ASSERT(winner.code == SubmitCode::kAccepted);
    CPPUNIT_ASSERT(loser.code == SubmitCode::kConflict);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, loser.changes.size());
  }

  void Submit_AnswerLost_AcceptedOnce() {
    PlatformFaults faults;
    faults.lose_answers = 3;
    world_->platform().SetFaults(faults);
    SubmitReply reply;
    Submit(0, 1, &reply);
    world_->RunFor(Duration::Seconds(9));
    CPPUNIT_ASSERT(reply.code == SubmitCode::kAccepted);
    CPPUNIT_ASSERT_EQUAL(ConfigVersion(2), reply.version);
    SubmitReply again;
    Submit(1, 1, &again);
    world_->RunFor(Duration::Seconds(2));
    CPPUNIT_ASSERT(again.code == SubmitCode::kAlreadyAccepted);
    CPPUNIT_ASSERT_EQUAL(ConfigVersion(2), again.version);
  }

  void Submit_Accepted_InForceEverywhereWithinFiveSeconds() {
    SubmitReply reply;
    Submit(0, 1, &reply);
    while (reply.version != ConfigVersion(2)) {
      world_->RunFor(Duration::Millis(1));
    }
    world_->RunFor(Duration::Seconds(5));
    for (int n = 0; n < kNodes; n++) {
      CPPUNIT_ASSERT_EQUAL(ConfigVersion(2),
                           world_->reducer(n)->config_version());
    }
  }

  void Vm_StartsWithPlatformDown_LearnsConfigurationAndLeads() {
    PlatformFaults outage;
    outage.outage = true;
    world_->platform().SetFaults(outage);
    int fresh = Leader();
    world_->Crash(fresh, false);
    world_->RunFor(Duration::Seconds(3));
    world_->Start(fresh);
    // Its peers ping it, since they still list it, and it learns from them.
    world_->RunFor(Duration::Seconds(15));
    CPPUNIT_ASSERT_EQUAL(ConfigVersion(1),
                         world_->reducer(fresh)->config_version());
    CPPUNIT_ASSERT(world_->reducer(fresh)->ordinal() != Ordinal());
    for (int n = 0; n < kNodes; n++) {
      if (n != fresh) world_->Crash(n, false);
    }
    CPPUNIT_ASSERT(Write(fresh, "e1", kLong).outcome == Outcome::kDone);
  }

  void Vm_CutFromEverything_StopsServing() {
    int lone = Leader();
    CutOff(lone);
    world_->CutPlatform(lone, true);
    world_->RunFor(Duration::Millis(5200));
    CPPUNIT_ASSERT(!world_->reducer(lone)->ready());
    Answer answer = Write(lone, "e1", Duration::Millis(500));
    CPPUNIT_ASSERT(answer.outcome == Outcome::kNotRun);
    CPPUNIT_ASSERT(answer.reason == Reason::kIsolated);
    world_->HealAll();
    world_->RunFor(Duration::Seconds(8));
    CPPUNIT_ASSERT(Write(lone, "e2", kLong).outcome == Outcome::kDone);
  }

  void Stop_OpenTransaction_MayEnd() {
    int old = Leader();
    int other = (old + 1) % kNodes;
    TransactionId id = Begin(other);
    world_->Stop(old);
    world_->RunFor(Duration::Millis(50));
    Answer step = Ask(other, MakeStep(id, "e1"));
    CPPUNIT_ASSERT(step.outcome == Outcome::kDone);
    Answer commit = Ask(other, MakeCommit(id));
    CPPUNIT_ASSERT(commit.outcome == Outcome::kDone);
    world_->RunFor(Duration::Seconds(6));
    CPPUNIT_ASSERT(!world_->IsUp(old));
    CPPUNIT_ASSERT_EQUAL(1L, Count(Value(Primary()), "e1"));
  }

  void Stop_TwoAtOnce_ThirdServes() {
    int first = Leader();
    int second = (first + 1) % kNodes;
    int third = (first + 2) % kNodes;
    Answer answer;
    world_->Stop(first);
    world_->Stop(second);
    Send(third, MakeWrite("e1", kLong), &answer);
    world_->RunFor(Duration::Seconds(8));
    CPPUNIT_ASSERT(!world_->IsUp(first));
    CPPUNIT_ASSERT(!world_->IsUp(second));
    CPPUNIT_ASSERT(answer.outcome == Outcome::kDone);
    CPPUNIT_ASSERT_EQUAL(third, Leader());
  }

  void VmList_NamesDeadVm_WorkGoesToLiveOnes() {
    world_->Crash(Leader(), true);  // The list names it for ever.
    CPPUNIT_ASSERT(Write(Entry(), "e1", kLong).outcome == Outcome::kDone);
  }

  void Primary_Leaving_SwitchedOverWithoutRefusal() {
    std::vector<ListedVm> vms;
    for (int n = 0; n < kNodes; n++) {
      vms.push_back(ListedVm{VmId("vm-" + std::to_string(n)), std::to_string(n),
                             DataCentreId("dc"), false});
    }
    vms.push_back(ListedVm{VmId(kA.value()), "", DataCentreId("dc"), true});
    world_->platform().SetVms(vms, world_->now());
    for (int i = 0; i < 40; i++) {
      std::string entry = "e" + std::to_string(i);
      CPPUNIT_ASSERT(Write(Entry(), entry, Duration::Seconds(2)).outcome ==
                     Outcome::kDone);
      world_->RunFor(Duration::Millis(100));
    }
    CPPUNIT_ASSERT(Primary() != kA);
    // Fenced connections only: nothing new runs at the leaving upstream.
    CPPUNIT_ASSERT_EQUAL(0, world_->reducer(Leader())
                                ->FindGroup(kGroup)
                                ->links()
                                .Find(kA)
                                ->in_flight);
  }

  void Vms_AllRestartAtOnce_Recover() {
    CPPUNIT_ASSERT(Write(Entry(), "e1", kLong).outcome == Outcome::kDone);
    for (int n = 0; n < kNodes; n++) world_->Crash(n, true);
    world_->RunFor(Duration::Millis(300));
    for (int n = 0; n < kNodes; n++) world_->Start(n);
    world_->RunFor(Duration::Seconds(4));
    Answer read = Ask(Entry(), MakeRead(kLong));
    CPPUNIT_ASSERT(read.outcome == Outcome::kDone);
    CPPUNIT_ASSERT(Has(read.result, "e1"));
  }

  // A replaced primary's tail is longer than the new primary's log.
  void Write_OldTailIsLonger_NotAcknowledgedThroughIt() {
    Fault(kA, [](UpstreamFaults* f) { f->replication_cut = true; });
    std::vector<Answer> open(6);
    for (size_t i = 0; i < open.size(); i++) {
      Send(Leader(), MakeWrite("t" + std::to_string(i), Duration::Millis(300)),
           &open[i]);
    }
    world_->RunFor(Duration::Millis(500));
    Fault(kA, [](UpstreamFaults* f) { f->down = true; });
    world_->RunFor(Duration::Seconds(2));
    CPPUNIT_ASSERT(Primary() != kA);
    UpstreamId third = Primary() == kB ? kC : kB;
    Fault(third, [](UpstreamFaults* f) { f->down = true; });
    Fault(kA, [](UpstreamFaults* f) { f->down = false; });
    world_->RunFor(Duration::Millis(700));
    Answer answer = Write(Entry(), "e1", Duration::Seconds(1));
    CPPUNIT_ASSERT(answer.outcome != Outcome::kDone);
  }

  // The new primary's first entry is on no other upstream, so the old log with
  // the commit may still come back.
  void Commit_TailOfEarlierTermMayReturn_NotCalledNotRun() {
    TransactionId id = Begin(Leader());
    CPPUNIT_ASSERT(Ask(Leader(), MakeStep(id, "e1")).outcome == Outcome::kDone);
    Fault(kA, [](UpstreamFaults* f) { f->replication_cut = true; });
    Answer commit;
    Send(Leader(), MakeCommit(id), &commit);
    world_->RunFor(Duration::Millis(500));
    for (const UpstreamId& upstream : {kB, kC}) {
      Fault(upstream, [](UpstreamFaults* f) { f->replication_cut = true; });
    }
    world_->RunFor(Duration::Seconds(5));
    CPPUNIT_ASSERT(Primary() != kA);
    CPPUNIT_ASSERT(commit.outcome == Outcome::kUnknown);
    Fault(Primary(), [](UpstreamFaults* f) { f->down = true; });
    Fault(kA, [](UpstreamFaults* f) { *f = UpstreamFaults(); });
    world_->RunFor(Duration::Seconds(4));
    CPPUNIT_ASSERT_EQUAL(kA, Primary());
    CPPUNIT_ASSERT_EQUAL(1L, Count(Value(kA), "e1"));
  }

  void Handover_OfferArrivesLate_ReadsSeeWritesInBetween() {
    WorldOptions options;
    options.nodes = kNodes;
    options.apply_lag = Duration::Seconds(4);
    Build(options);
    int chosen = Leader();
    world_->Crash(chosen, false);
    world_->RunFor(Duration::Seconds(3));
    int old = Leader();
    world_->Start(chosen);
    while (Phase(old) == GroupPhase::kServing) {
      world_->RunFor(Duration::Millis(1));
    }
    world_->Pause(chosen, Duration::Millis(2500));
    world_->RunFor(Duration::Millis(1500));
    CPPUNIT_ASSERT(Write(old, "e1", kLong).outcome == Outcome::kDone);
    world_->RunFor(Duration::Millis(1100));
    Answer read = Ask(chosen, MakeRead(kLong));
    CPPUNIT_ASSERT(read.outcome == Outcome::kDone);
    CPPUNIT_ASSERT(Has(read.result, "e1"));
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
    for (const UpstreamId& upstream : {kB, kC}) {
      world_->group(0).Rebuild(upstream, Position(), Duration::Millis(200));
    }
    world_->RunFor(Duration::Seconds(2));
    CPPUNIT_ASSERT(read.outcome == Outcome::kDone);
    CPPUNIT_ASSERT(Has(read.result, "e1"));
  }

 private:
  GroupPhase Phase(int node) const {
    return world_->reducer(node)->FindGroup(kGroup)->phase();
  }

  void Build(const WorldOptions& options) {
    world_ = std::make_unique<World>(options, 7);
    SubmitReply reply;
    Submit(0, 0, &reply);
    world_->RunFor(Duration::Seconds(4));
    CPPUNIT_ASSERT(Leader() >= 0);
    CPPUNIT_ASSERT_EQUAL(kA, Primary());
  }

  int Leader() const { return world_->CoordinatorOf(0); }
  UpstreamId Primary() { return world_->group(0).Primary(); }
  std::string Value(const UpstreamId& id) {
    return world_->group(0).Value(id, "list");
  }

  // A live node that does not coordinate the group, if there is one.
  int Entry() const {
    int last = -1;
    for (int n = 0; n < kNodes; n++) {
      if (!world_->IsUp(n) || world_->IsPaused(n)) continue;
      last = n;
      if (n != Leader()) return n;
    }
    return last;
  }

  static bool Has(const std::string& value, const std::string& entry) {
    return Count(value, entry) > 0;
  }

  static long Count(const std::string& value, const std::string& entry) {
    long count = 0;
    size_t start = 0;
    while (start <= value.size()) {
      size_t end = std::min(value.find(',', start), value.size());
      if (value.substr(start, end - start) == entry) count++;
      start = end + 1;
    }
    return count;
  }

  template <typename Change>
  void Fault(const UpstreamId& id, Change change) {
    UpstreamFaults faults = world_->group(0).faults(id);
    change(&faults);
    world_->group(0).SetFaults(id, faults);
  }

  void CutOff(int node) {
    for (int n = 0; n < kNodes; n++) {
      if (n != node) world_->CutNodes(n, node, true);
    }
  }

  Request MakeRequest(Duration left) const {
    Request request;
    request.group = kGroup;
    request.kind = KindId("closure");
    request.caller = CallerId("caller");
    request.session = SessionId("s");
    request.deadline = world_->now() + left;
    return request;
  }

  Request MakeWrite(const std::string& entry, Duration left) const {
    Request request = MakeRequest(left);
    request.access = Access::kWrite;
    request.key = RequestKey("caller/" + entry);
    request.statement = "append list " + entry;
    return request;
  }

  Request MakeRead(Duration left) const {
    Request request = MakeRequest(left);
    request.statement = "get list";
    return request;
  }

  Request MakeStep(const TransactionId& id, const std::string& entry) const {
    Request request = MakeRequest(Duration::Seconds(2));
    request.type = RequestType::kTransactionStatement;
    request.access = Access::kWrite;
    request.transaction = id;
    request.statement = "append list " + entry;
    return request;
  }

  Request MakeCommit(const TransactionId& id) const {
    Request request = MakeRequest(Duration::Seconds(4));
    request.type = RequestType::kCommit;
    request.access = Access::kWrite;
    request.transaction = id;
    request.key = RequestKey("caller/commit");
    return request;
  }

  void Send(int node, const Request& request, Answer* answer) {
    answer->outcome = Outcome::kUnknown;
    answer->reason = Reason::kNone;
    world_->Request(node, request, [answer](const Answer& a) { *answer = a; });
  }

  // Sends and waits for the answer, at most a little beyond the deadline.
  Answer Ask(int node, const Request& request) {
    std::optional<Answer> answer;
    world_->Request(node, request, [&answer](const Answer& a) { answer = a; });
    TimePoint end = request.deadline + Duration::Seconds(1);
    while (!answer && world_->now() < end) world_->RunFor(Duration::Millis(1));
    CPPUNIT_ASSERT(answer.has_value());
    return *answer;
  }

  Answer Write(int node, const std::string& entry, Duration left) {
    return Ask(node, MakeWrite(entry, left));
  }

  TransactionId Begin(int node) {
    Request request = MakeRequest(Duration::Seconds(2));
    request.type = RequestType::kBegin;
    request.access = Access::kWrite;
    Answer answer = Ask(node, request);
    CPPUNIT_ASSERT(answer.outcome == Outcome::kDone);
    return answer.transaction;
  }

  // Submits on version 1, or the first version if the marker is 0.
  void Submit(int node, int marker, SubmitReply* reply) {
    SubmitConfigCall call;
    call.base = ConfigVersion(marker == 0 ? 0 : 1);
    call.document = world_->Document(marker);
    call.operator_name = "op" + std::to_string(marker);
    reply->code = SubmitCode::kUnknown;
    world_->CallOperator(node, call, [reply](const OperatorReplyBody& body) {
      *reply = std::get<SubmitReply>(body);
    });
  }

  const GroupId kGroup = World::GroupName(0);
  std::unique_ptr<World> world_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FailureTest);

}  // namespace
}  // namespace fireflycart
