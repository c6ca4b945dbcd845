// Tests of the fencing token.

#include "fireflycart/core/proxy/duty_lease.h"

#include <cppunit/extensions/HelperMacros.h>

namespace fireflycart::proxy {
namespace {

const GroupId kGroup("ledger");

class DutyLeaseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DutyLeaseTest);
  CPPUNIT_TEST(Acquire_FreeRow_TokenIsTheWrittenVersion);
  CPPUNIT_TEST(Acquire_OtherIsPromoting_WaitsForLeaseDuration);
  CPPUNIT_TEST(Acquire_Conflict_UsesCurrentRow);
  CPPUNIT_TEST(Acquire_WriteUnanswered_ReadsBeforeWritingAgain);
  CPPUNIT_TEST(Acquire_AnswerReadAfterPause_TokenAgesFromTheRequest);
  CPPUNIT_TEST(OldToken_StoreUnavailableAndTermUnchanged_MayBeUsed);
  CPPUNIT_TEST(Acquire_LaterEra_TokenIsAboveAllOfTheEraBefore);
  CPPUNIT_TEST(Acquire_RestoredAndNotHolder_WaitsForLeaseDuration);
  CPPUNIT_TEST(Acquire_RestoredAndHolder_WritesAtOnce);
  CPPUNIT_TEST(Write_AppliedInLaterEra_GivesNoToken);
  CPPUNIT_TEST(Write_AnswerOfEarlierEra_GivesNoToken);
  CPPUNIT_TEST(Acquire_WhileIdleWriteIsUnanswered_GivesNoTokenYet);
  CPPUNIT_TEST(Release_WhilePromotingWriteIsUnanswered_RowIsMarkedIdle);
  CPPUNIT_TEST(Release_WhilePromotingWriteIsUnanswered_IsNotExclusive);
  CPPUNIT_TEST(Record_NextWriter_ReadsTheSet);
  CPPUNIT_TEST(Record_OtherVmWroteTheRow_DropsTheSet);
  CPPUNIT_TEST(Record_UnreadableSet_KeepsTheKnownOne);
  CPPUNIT_TEST(Acquire_RowLeftPromoting_MayHaveOrder);
  CPPUNIT_TEST(Acquire_RestoredRow_KeepsTheLaterSet);
  CPPUNIT_TEST(KeepConfirmed_RowUnchanged_IsSoleAfterDelay);
  CPPUNIT_TEST(KeepConfirmed_OtherVmWroteTheRow_EndsConfirmation);
  CPPUNIT_TEST(KeepConfirmed_StoreSilent_ConfirmationExpires);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { now_ = TimePoint::FromMillis(1000); }

  void Acquire_FreeRow_TokenIsTheWrittenVersion() {
    Begin();
    lease_.Acquire(true, 4, &context_);
    AnswerRead({});
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, LastWrite().expected_version.number);
    AnswerWrite(StoreStatus::kOk, 31, {});
    CPPUNIT_ASSERT(lease_.has_token());
    CPPUNIT_ASSERT_EQUAL(uint64_t{31}, lease_.token());
  }

  void Acquire_OtherIsPromoting_WaitsForLeaseDuration() {
    Begin();
    lease_.Acquire(true, 4, &context_);
    StoreRow other{kGroup.value(), "vm-9 1 promoting", {era_, 20}, false};
    AnswerRead({other});
    for (int i = 0; i < 100 && !HasOpen<WriteRow>(); i++) {
      now_ = now_ + Duration::Millis(50);
      Begin();
      lease_.OnWake(&context_);
      if (HasOpen<ReadTable>()) AnswerRead({other});
    }
    CPPUNIT_ASSERT(HasOpen<WriteRow>());
    CPPUNIT_ASSERT(now_ - TimePoint::FromMillis(1000) >=
                   DutyLease::kLeaseDuration);
    CPPUNIT_ASSERT_EQUAL(uint64_t{20}, LastWrite().expected_version.number);
  }

  void Acquire_Conflict_UsesCurrentRow() {
    Begin();
    lease_.Acquire(true, 4, &context_);
    AnswerRead({});
    StoreRow other{kGroup.value(), "vm-9 1 idle", {era_, 22}, false};
    AnswerWrite(StoreStatus::kConflict, 22, {other});
    CPPUNIT_ASSERT(!lease_.has_token());
    CPPUNIT_ASSERT_EQUAL(uint64_t{22}, LastWrite().expected_version.number);
  }

  void Acquire_WriteUnanswered_ReadsBeforeWritingAgain() {
    Begin();
    lease_.Acquire(true, 4, &context_);
    AnswerRead({});
    AnswerWrite(StoreStatus::kUnknown, 0, {});
    CPPUNIT_ASSERT(!lease_.has_token());
    now_ = now_ + Duration::Millis(500);
    effects_.clear();
    Begin();
    lease_.OnWake(&context_);
    CPPUNIT_ASSERT(HasOpen<ReadTable>());
    CPPUNIT_ASSERT(!HasOpen<WriteRow>());
  }

  // A process that was paused reads the answer late. Another VM may have waited
  // for kLeaseDuration by then.
  void Acquire_AnswerReadAfterPause_TokenAgesFromTheRequest() {
    Begin();
    lease_.Acquire(true, 4, &context_);
    AnswerRead({});
    TimePoint requested_at = now_;
    now_ = now_ + Duration::Seconds(4);
    AnswerWrite(StoreStatus::kOk, 31, {});
    CPPUNIT_ASSERT(lease_.has_token());
    CPPUNIT_ASSERT_EQUAL(requested_at.millis(), lease_.granted_at().millis());
  }

  void OldToken_StoreUnavailableAndTermUnchanged_MayBeUsed() {
    Begin();
    lease_.Acquire(false, 4, &context_);
    AnswerRead({});
    AnswerWrite(StoreStatus::kOk, 31, {});
    CPPUNIT_ASSERT(!lease_.has_token());
    CPPUNIT_ASSERT(!lease_.MayUseOldToken(4));
    lease_.Acquire(true, 4, &context_);
    AnswerWrite(StoreStatus::kUnknown, 0, {});
    CPPUNIT_ASSERT(lease_.MayUseOldToken(4));
    CPPUNIT_ASSERT(!lease_.MayUseOldToken(5));
  }

  void Acquire_LaterEra_TokenIsAboveAllOfTheEraBefore() {
    Begin();
    lease_.Acquire(true, 4, &context_);
    AnswerRead({});
    AnswerWrite(StoreStatus::kOk, 5000000, {});
    uint64_t before = lease_.token();
    era_ = StoreEra(1);
    lease_.OnStoreRestored(era_, now_);
    Begin();
    lease_.Acquire(true, 5, &context_);
    AnswerRead({});
    AnswerWrite(StoreStatus::kOk, 26, {});
    CPPUNIT_ASSERT(lease_.has_token());
    CPPUNIT_ASSERT(lease_.token() > before);
  }

  void Acquire_RestoredAndNotHolder_WaitsForLeaseDuration() {
    era_ = StoreEra(2);
    TimePoint restored_at = now_;
    lease_.OnStoreRestored(era_, restored_at);
    now_ = now_ + Duration::Millis(500);
    Begin();
    lease_.Acquire(true, 4, &context_);
    AnswerRead({});
    for (int i = 0; i < 100 && !HasOpen<WriteRow>(); i++) {
      now_ = now_ + Duration::Millis(50);
      Begin();
      lease_.OnWake(&context_);
      if (HasOpen<ReadTable>()) AnswerRead({});
    }
    CPPUNIT_ASSERT(HasOpen<WriteRow>());
    CPPUNIT_ASSERT(now_ - restored_at >= DutyLease::kLeaseDuration);
  }

  void Acquire_RestoredAndHolder_WritesAtOnce() {
    Begin();
    lease_.Acquire(true, 4, &context_);
    AnswerRead({});
    AnswerWrite(StoreStatus::kOk, 31, {});
    era_ = StoreEra(2);
    lease_.OnStoreRestored(era_, now_);
    Begin();
    lease_.Acquire(true, 4, &context_);
    AnswerRead({});
    CPPUNIT_ASSERT(HasOpen<WriteRow>());
  }

  // The expected version was given out again for another row.
  void Write_AppliedInLaterEra_GivesNoToken() {
    Begin();
    lease_.Acquire(true, 4, &context_);
    AnswerRead({StoreRow{kGroup.value(), "vm-9 1 idle", {era_, 20}, false}});
    era_ = StoreEra(1);
    AnswerWrite(StoreStatus::kOk, 21, {});
    CPPUNIT_ASSERT(!lease_.has_token());
    now_ = now_ + Duration::Millis(500);
    Begin();
    lease_.OnWake(&context_);
    CPPUNIT_ASSERT(HasOpen<ReadTable>());
  }

  void Write_AnswerOfEarlierEra_GivesNoToken() {
    Begin();
    lease_.Acquire(true, 4, &context_);
    AnswerRead({});
    lease_.OnStoreRestored(StoreEra(1), now_);
    AnswerWrite(StoreStatus::kOk, 31, {});
    CPPUNIT_ASSERT(!lease_.has_token());
  }

  // The row says idle, so any other VM may replace it at once.
  void Acquire_WhileIdleWriteIsUnanswered_GivesNoTokenYet() {
    Begin();
    lease_.Acquire(false, 4, &context_);
    AnswerRead({});
    CPPUNIT_ASSERT_EQUAL(std::string("vm-1 1 idle"), LastWrite().value);
    lease_.Acquire(true, 4, &context_);
    AnswerWrite(StoreStatus::kOk, 31, {});
    CPPUNIT_ASSERT(!lease_.has_token());
    CPPUNIT_ASSERT(HasOpen<WriteRow>());
    CPPUNIT_ASSERT_EQUAL(std::string("vm-1 1 promoting"), LastWrite().value);
  }

  // Otherwise another VM waits for kLeaseDuration.
  void Release_WhilePromotingWriteIsUnanswered_RowIsMarkedIdle() {
    Begin();
    lease_.Acquire(true, 4, &context_);
    AnswerRead({});
    lease_.Release(4, &context_);
    AnswerWrite(StoreStatus::kOk, 31, {});
    CPPUNIT_ASSERT(HasOpen<WriteRow>());
    CPPUNIT_ASSERT_EQUAL(std::string("vm-1 1 idle"), LastWrite().value);
  }

  // The write that marks the row as idle follows at once.
  void Release_WhilePromotingWriteIsUnanswered_IsNotExclusive() {
    Begin();
    lease_.Acquire(true, 4, &context_);
    AnswerRead({});
    lease_.Release(4, &context_);
    AnswerWrite(StoreStatus::kOk, 31, {});
    CPPUNIT_ASSERT(!lease_.IsExclusive(now_));
  }

  void Record_NextWriter_ReadsTheSet() {
    TakeRow(31);
    lease_.Record(Set(4), 4, &context_);
    std::string value = LastWrite().value;
    AnswerWrite(StoreStatus::kOk, 32, {});
    CPPUNIT_ASSERT(lease_.commit_set() == Set(4));
    DutyLease next(kGroup);
    Begin();
    next.Learn(&context_);
    StoreAnswered answer;
    answer.call = LastCall()->call;
    answer.status = StoreStatus::kOk;
    answer.version = {era_, 32};
    answer.rows = {StoreRow{kGroup.value(), value, {era_, 32}, false}};
    CPPUNIT_ASSERT(next.OnStore(answer, &context_));
    CPPUNIT_ASSERT(next.commit_set() == Set(4));
    CPPUNIT_ASSERT(!next.is_last_writer());
  }

  // The evidence for the set does not hold for the row of the other VM.
  void Record_OtherVmWroteTheRow_DropsTheSet() {
    TakeRow(31);
    lease_.Record(Set(4), 4, &context_);
    AnswerWrite(StoreStatus::kConflict, 40, {OtherRow(Set(5), "idle", 40)});
    CPPUNIT_ASSERT(lease_.commit_set() == Set(5));
    CPPUNIT_ASSERT_EQUAL(FormatCommitSet(Set(5)) + " vm-1 1 idle",
                         LastWrite().value);
  }

  void Record_UnreadableSet_KeepsTheKnownOne() {
    TakeRow(31);
    lease_.Record(Set(4), 4, &context_);
    AnswerWrite(StoreStatus::kOk, 32, {});
    lease_.Acquire(true, 4, &context_);
    StoreRow bad{
        kGroup.value(), "{\"term\":-1} vm-9 1 idle", {era_, 40}, false};
    AnswerWrite(StoreStatus::kConflict, 40, {bad});
    CPPUNIT_ASSERT(lease_.commit_set() == Set(4));
  }

  void Acquire_RowLeftPromoting_MayHaveOrder() {
    Begin();
    lease_.Learn(&context_);
    AnswerRead({OtherRow(Set(4), "promoting", 25)});
    CPPUNIT_ASSERT(lease_.commit_set().may_have_order);
    CPPUNIT_ASSERT_EQUAL(uint64_t{4}, lease_.commit_set().term);
  }

  void Acquire_RestoredRow_KeepsTheLaterSet() {
    era_ = StoreEra(1);
    TakeRow(31);
    lease_.Record(Set(5), 5, &context_);
    AnswerWrite(StoreStatus::kOk, 32, {});
    era_ = StoreEra(2);
    lease_.OnStoreRestored(era_, now_);
    Begin();
    lease_.Acquire(true, 5, &context_);
    AnswerRead({OtherRow(Set(4), "idle", 20)});
    CPPUNIT_ASSERT(lease_.commit_set() == Set(5));
    Wait(DutyLease::kLeaseDuration);
    lease_.OnWake(&context_);
    if (HasOpen<ReadTable>()) AnswerRead({OtherRow(Set(4), "idle", 20)});
    CPPUNIT_ASSERT_EQUAL(FormatCommitSet(Set(5)) + " vm-1 1 promoting",
                         LastWrite().value);
  }

  void KeepConfirmed_RowUnchanged_IsSoleAfterDelay() {
    TakeRow(31);
    TimePoint written_at = now_;
    CPPUNIT_ASSERT(lease_.IsConfirmed(now_));
    while (now_ - written_at < DutyLease::kSoleDelay) {
      CPPUNIT_ASSERT(!lease_.IsSole(now_));
      Wait(Duration::Millis(500));
      lease_.KeepConfirmed(&context_);
      if (HasOpen<ReadTable>()) AnswerRead({OwnRow(31)});
    }
    CPPUNIT_ASSERT(lease_.IsSole(now_));
  }

  void KeepConfirmed_OtherVmWroteTheRow_EndsConfirmation() {
    TakeRow(31);
    Wait(DutyLease::kConfirmationInterval);
    lease_.KeepConfirmed(&context_);
    AnswerRead({OtherRow(Set(4), "idle", 40)});
    CPPUNIT_ASSERT(!lease_.IsConfirmed(now_));
    CPPUNIT_ASSERT(!lease_.is_last_writer());
  }

  void KeepConfirmed_StoreSilent_ConfirmationExpires() {
    TakeRow(31);
    Wait(DutyLease::kConfirmationInterval);
    lease_.KeepConfirmed(&context_);
    Answer(StoreStatus::kUnknown, 0, {});
    CPPUNIT_ASSERT(lease_.is_confirmation_failing());
    CPPUNIT_ASSERT(lease_.IsConfirmed(now_));
    Wait(DutyLease::kConfirmationMaxAge);
    CPPUNIT_ASSERT(!lease_.IsConfirmed(now_));
    CPPUNIT_ASSERT(lease_.is_last_writer());
  }

 private:
  static CommitSet Set(uint64_t term) {
    CommitSet set;
    set.term = term;
    set.primary = UpstreamId("up-a");
    set.members[UpstreamId("up-a")] = CommitMember{"10.0.0.1:80", 5};
    set.members[UpstreamId("up-b")] = CommitMember{"10.0.0.2:80", 6};
    return set;
  }

  StoreRow OtherRow(const CommitSet& set, const std::string& state,
                    uint64_t version) const {
    return StoreRow{kGroup.value(),
                    FormatCommitSet(set) + " vm-9 1 " + state,
                    {era_, version},
                    false};
  }

  StoreRow OwnRow(uint64_t version) const {
    return StoreRow{kGroup.value(), "vm-1 1 idle", {era_, version}, false};
  }

  void TakeRow(uint64_t version) {
    Begin();
    lease_.Acquire(false, 4, &context_);
    AnswerRead({});
    AnswerWrite(StoreStatus::kOk, version, {});
  }

  void Wait(Duration time) {
    now_ = now_ + time;
    Begin();
  }

  void Begin() { context_.Begin(now_, &effects_); }

  template <typename T>
  bool HasOpen() const {
    const auto* call = LastCall();
    return call != nullptr && call->call != answered_ &&
           std::holds_alternative<T>(call->body);
  }

  const StoreCall* LastCall() const {
    const StoreCall* last = nullptr;
    for (const ProxyEffect& effect : effects_) {
      if (const auto* call = std::get_if<StoreCall>(&effect)) last = call;
    }
    return last;
  }

  WriteRow LastWrite() const {
    CPPUNIT_ASSERT(HasOpen<WriteRow>());
    return std::get<WriteRow>(LastCall()->body);
  }

  void Answer(StoreStatus status, uint64_t version,
              const std::vector<StoreRow>& rows) {
    StoreAnswered answer;
    answer.call = LastCall()->call;
    answered_ = answer.call;
    answer.status = status;
    answer.version = {era_, version};
    answer.rows = rows;
    Begin();
    CPPUNIT_ASSERT(lease_.OnStore(answer, &context_));
  }

  void AnswerRead(const std::vector<StoreRow>& rows) {
    CPPUNIT_ASSERT(HasOpen<ReadTable>());
    Answer(StoreStatus::kOk, 25, rows);
  }

  void AnswerWrite(StoreStatus status, uint64_t version,
                   const std::vector<StoreRow>& rows) {
    CPPUNIT_ASSERT(HasOpen<WriteRow>());
    Answer(status, version, rows);
  }

  TimePoint now_;
  ProxyEffects effects_;
  ProxyContext context_{VmId("vm-1"), 1, 7};
  DutyLease lease_{kGroup};
  CallId answered_;
  StoreEra era_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DutyLeaseTest);

}  // namespace
}  // namespace fireflycart::proxy
