// Configuration, membership, planned stops and restarts: each hard case is made
// to happen in virtual time.

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fireflycart/standins/testing/failure_fixture.h"

namespace fireflycart {
namespace {

class LifecycleTest : public FailureFixture {
  CPPUNIT_TEST_SUITE(LifecycleTest);
  CPPUNIT_TEST(TermGrant_AnswersLost_TermsStayUnique);
  CPPUNIT_TEST(Submit_TwoOnSameBase_OneConflicts);
  CPPUNIT_TEST(Submit_AnswerLost_AcceptedOnce);
  CPPUNIT_TEST(Submit_Accepted_InForceEverywhereWithinFiveSeconds);
  CPPUNIT_TEST(Vm_StartsWithPlatformDown_LearnsConfigurationAndLeads);
  CPPUNIT_TEST(Vm_CutFromEverything_StopsServing);
  CPPUNIT_TEST(Stop_OpenTransaction_MayEnd);
  CPPUNIT_TEST(Stop_TwoAtOnce_ThirdServes);
  CPPUNIT_TEST(Stop_RequestStillRunsAtLimit_CallerIsAnswered);
  CPPUNIT_TEST(VmList_NamesDeadVm_WorkGoesToLiveOnes);
  CPPUNIT_TEST(Primary_Leaving_SwitchedOverWithoutRefusal);
  CPPUNIT_TEST(Vms_AllRestartAtOnce_Recover);
  CPPUNIT_TEST(Change_RemovesGroupWithWorkInFlight_EachIsAnswered);
  CPPUNIT_TEST(Change_ReranksKindWithWorkInFlight_AllIsDone);
  CPPUNIT_TEST(Handover_OfferArrivesLate_ReadsSeeWritesInBetween);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Change_RemovesGroupWithWorkInFlight_EachIsAnswered() {
    std::vector<Answer> answers(20);
    for (size_t i = 0; i < answers.size(); i++) {
      Send(Entry(), MakeWrite("e" + std::to_string(i), Duration::Seconds(3)),
           &answers[i]);
    }
    world_->RunFor(Duration::Millis(10));
    SubmitDocument(world_->DocumentWithGroups(1, 2));
    world_->RunFor(Duration::Seconds(5));
    for (size_t i = 0; i < answers.size(); i++) {
      int64_t count = Count(Value(Primary()), "e" + std::to_string(i));
      CPPUNIT_ASSERT(answers[i].reason != Reason::kNone ||
                     answers[i].outcome == Outcome::kDone);
      CPPUNIT_ASSERT(count <= 1);
      if (answers[i].outcome == Outcome::kDone) {
        CPPUNIT_ASSERT_EQUAL(int64_t{1}, count);
      }
      if (answers[i].outcome == Outcome::kNotRun) {
        CPPUNIT_ASSERT_EQUAL(int64_t{0}, count);
      }
    }
    Answer later = Write(Entry(), "late", Duration::Seconds(1));
    CPPUNIT_ASSERT(later.outcome == Outcome::kNotRun);
    CPPUNIT_ASSERT(later.reason == Reason::kUnknownGroup);
  }

  void Change_ReranksKindWithWorkInFlight_AllIsDone() {
    std::vector<Answer> answers(40);
    for (size_t i = 0; i < answers.size(); i++) {
      Send(Entry(), MakeWrite("e" + std::to_string(i), kLong), &answers[i]);
    }
    world_->RunFor(Duration::Millis(20));
    std::string document = world_->Document(0);
    std::string before = R"("rank":"urgent")";
    document.replace(document.find(before), before.size(), R"("rank":"low")");
    SubmitDocument(document);
    world_->RunFor(Duration::Seconds(3));
    for (const Answer& answer : answers) {
      CPPUNIT_ASSERT(answer.outcome == Outcome::kDone);
    }
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

  // The coordinator that has the request answers too late for the stop.
  void Stop_RequestStillRunsAtLimit_CallerIsAnswered() {
    int leader = Leader();
    int entry = (leader + 1) % kNodes;
    std::optional<Answer> answer;
    world_->Pause(leader, Duration::Seconds(60));
    world_->Request(entry, MakeWrite("e1", Duration::Seconds(50)),
                    [&answer](const Answer& a) { answer = a; });
    world_->Stop(entry);
    for (int i = 0; i < 30 && world_->IsUp(entry); i++) {
      world_->RunFor(Duration::Seconds(1));
    }
    CPPUNIT_ASSERT(!world_->IsUp(entry));
    world_->RunFor(Duration::Seconds(1));
    CPPUNIT_ASSERT(answer.has_value());
  }

  void VmList_NamesDeadVm_WorkGoesToLiveOnes() {
    world_->Crash(Leader(), true);  // The list names it for ever.
    CPPUNIT_ASSERT(Write(Entry(), "e1", kLong).outcome == Outcome::kDone);
  }

  void Primary_Leaving_SwitchedOverWithoutRefusal() {
    std::vector<ListedVm> vms;
    vms.reserve(kNodes + 1);
    for (int n = 0; n < kNodes; n++) {
      vms.push_back(ListedVm{VmId("vm-" + std::to_string(n)), std::to_string(n),
                             DataCentreId("dc"), false});
    }
    vms.push_back(ListedVm{VmId(a_.value()), "", DataCentreId("dc"), true});
    world_->platform().SetVms(vms, world_->now());
    for (int i = 0; i < 40; i++) {
      std::string entry = "e" + std::to_string(i);
      CPPUNIT_ASSERT(Write(Entry(), entry, Duration::Seconds(2)).outcome ==
                     Outcome::kDone);
      world_->RunFor(Duration::Millis(100));
    }
    CPPUNIT_ASSERT(Primary() != a_);
    // Fenced connections only: nothing new runs at the leaving upstream.
    CPPUNIT_ASSERT_EQUAL(0, world_->reducer(Leader())
                                ->FindGroup(group_)
                                ->links()
                                .Find(a_)
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(LifecycleTest);

}  // namespace
}  // namespace fireflycart
