// Tests of following the store across a restore from an older copy.

#include "fireflycart/core/proxy/store_follower.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>

#include "fireflycart/core/proxy/vm_ring.h"

namespace fireflycart::proxy {
namespace {

const UpstreamId kUpstream("up-a");
const VmId kSelf("vm-1");
constexpr StoreTable kFollowedTables[] = {
    StoreTable::kRoutes, StoreTable::kUpstreams, StoreTable::kVms};
constexpr char kSelfAddress[] = "10.0.0.1:7";
// Eras of the store before and after the restore.
const StoreEra kFirst(4);
const StoreEra kSecond(5);

UpstreamChange MakeChange(const UpstreamId& id, int64_t started_ms,
                          bool leaving) {
  UpstreamChange change;
  change.id = id;
  change.is_present = true;
  change.record.id = id;
  change.record.started_ms = started_ms;
  change.record.leaving = leaving;
  return change;
}

class StoreFollowerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreFollowerTest);
  CPPUNIT_TEST(NewEra_LowerNumber_ListIsApplied);
  CPPUNIT_TEST(NewEra_NumberAboveAsked_TableIsReadWhole);
  CPPUNIT_TEST(NewEra_SeenInRefusal_AllTablesAreReadWhole);
  CPPUNIT_TEST(NewEra_SeenAtPeer_OpenCallsAreDropped);
  CPPUNIT_TEST(NewEra_FirstOfAll_IsNoRestore);
  CPPUNIT_TEST(NewEra_AfterPeerWithoutEra_IsNoRestore);
  CPPUNIT_TEST(NewEra_UpstreamWasLeaving_StaysLeavingUntilWritten);
  CPPUNIT_TEST(NewEra_UpstreamMissing_IsKeptForGraceTime);
  CPPUNIT_TEST(NewEra_UpstreamStartedLater_LaterStartWins);
  CPPUNIT_TEST(NewEra_OwnRowMissing_IsAnnouncedAgain);
  CPPUNIT_TEST(OlderEra_AnswerArrivesLate_IsNotApplied);
  CPPUNIT_TEST(OlderEra_SnapshotOfPeer_IsNotApplied);
  CPPUNIT_TEST(Upstream_LeavesWhileFollowed_TimeIsThatOfTheAnswer);
  CPPUNIT_TEST(Upstream_LeavesAfterFailedCalls_TimeIsThatOfPeers);
  CPPUNIT_TEST(NoAnswerToAnyVm_NoReader_FollowsUntilBetterReaderAnswers);
  CPPUNIT_TEST(NoAnswerToAnyVm_StoreRefusesThisVm_FollowsUntilAnyVmHasAnswer);
  CPPUNIT_TEST(NoAnswerToAnyVm_HeartbeatTellsOlderAnswer_GoesOnFollowing);
  CPPUNIT_TEST(AnswerToOtherVm_ToldAgainLater_IsNoYounger);
  CPPUNIT_TEST(AnswerToOtherVm_ToldByEarlierVersion_Counts);
  CPPUNIT_TEST(StoreLeftToPeers_LateAnswer_IsNotToldToOthers);
  CPPUNIT_TEST(StoreLeftToPeers_RoutesTooOld_AreReadWhateverElseIsAnswered);
  CPPUNIT_TEST(OneTable_GetsNoAnswer_OthersAreAskedAgain);
  CPPUNIT_TEST(OneTable_RefusedForLong_OthersAreFollowed);
  CPPUNIT_TEST(AllTables_Refused_OneCallAtATime);
  CPPUNIT_TEST(RoutesCall_GetsNoAnswer_RowIsReadInsteadOfAllChanges);
  CPPUNIT_TEST(RoutesAnswer_AfterItsTimeout_RowIsReadInsteadOfAllChanges);
  CPPUNIT_TEST(Follow_RemovalAndNewRowInOneAnswer_KeepsTheLastOfThem);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    now_ = TimePoint::FromMillis(100000);
    StartFollower();
  }

  void StartFollower() {
    VmRecord self;
    self.vm = kSelf;
    self.address = kSelfAddress;
    self.incarnation = 7;
    Begin();
    follower_.Start(self, &context_);
    Answer(Open<WriteRow>(StoreTable::kVms), StoreStatus::kOk, {kFirst, 90});
    StoreAnswered upstreams;
    upstreams.upstreams = {MakeChange(kUpstream, 50, true)};
    ReadAll({kFirst, 100}, upstreams, true);
  }

  void NewEra_LowerNumber_ListIsApplied() {
    StoreAnswered changed;
    changed.upstreams = {MakeChange(UpstreamId("up-b"), 60, false)};
    Restore();
    ReadAll({kSecond, 40}, changed, true);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Count("up-b"));
    CPPUNIT_ASSERT(follower_.known().upstreams == (StoreVersion{kSecond, 40}));
    StoreAnswered next;
    next.upstreams = {MakeChange(UpstreamId("up-c"), 60, false)};
    Answer(Open<FollowTable>(StoreTable::kUpstreams), StoreStatus::kOk,
           {kSecond, 41}, next);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Count("up-c"));
  }

  void NewEra_NumberAboveAsked_TableIsReadWhole() {
    Answer(Open<FollowTable>(StoreTable::kRoutes), StoreStatus::kOk,
           {kSecond, 500});
    Open<ReadTable>(StoreTable::kRoutes);
    Open<ReadTable>(StoreTable::kUpstreams);
  }

  void NewEra_SeenInRefusal_AllTablesAreReadWhole() {
    Answer(Open<FollowTable>(StoreTable::kRoutes), StoreStatus::kRefused,
           {kSecond, 0});
    now_ = now_ + Duration::Seconds(1);
    Begin();
    follower_.OnWake(&context_);
    Answer(Open<ReadTable>(StoreTable::kRoutes), StoreStatus::kOk,
           {kSecond, 40});
    Open<ReadTable>(StoreTable::kUpstreams);
    Open<ReadTable>(StoreTable::kVms);
  }

  void NewEra_SeenAtPeer_OpenCallsAreDropped() {
    CallId open = Open<FollowTable>(StoreTable::kUpstreams);
    Restore();
    Open<ReadTable>(StoreTable::kUpstreams);
    StoreAnswered late;
    late.call = open;
    late.status = StoreStatus::kOk;
    late.version = {kFirst, 200};
    Begin();
    CPPUNIT_ASSERT(!follower_.OnStore(late, &context_));
  }

  void NewEra_FirstOfAll_IsNoRestore() {
    CPPUNIT_ASSERT(follower_.era() == kFirst);
    CPPUNIT_ASSERT(follower_.restored_at() == TimePoint());
    Restore();
    CPPUNIT_ASSERT(follower_.restored_at() == now_);
  }

  // A peer of an earlier version answered before the store did.
  void NewEra_AfterPeerWithoutEra_IsNoRestore() {
    StoreFollower follower{RoutesAge(Duration(), Duration())};
    VmRecord self;
    self.vm = kSelf;
    Begin();
    follower.Start(self, &context_);
    SnapshotReply reply;
    reply.upstreams.version.number = 300;
    reply.upstreams.records[kUpstream] = UpstreamRecord();
    follower.OnSnapshot(reply, context_.now(), &context_);
    follower.OnEra(kFirst, "store", &context_);
    CPPUNIT_ASSERT(follower.restored_at() == TimePoint());
    CPPUNIT_ASSERT(follower.era() == kFirst);
  }

  void NewEra_UpstreamWasLeaving_StaysLeavingUntilWritten() {
    StoreAnswered restored;
    restored.upstreams = {MakeChange(kUpstream, 50, false)};
    Restore();
    ReadAll({kSecond, 40}, restored, true);
    CPPUNIT_ASSERT(Record().leaving);
    // The upstream has started again and no longer leaves.
    StoreAnswered written;
    written.upstreams = {MakeChange(kUpstream, 70, false)};
    Answer(Open<FollowTable>(StoreTable::kUpstreams), StoreStatus::kOk,
           {kSecond, 41}, written);
    CPPUNIT_ASSERT(!Record().leaving);
  }

  void NewEra_UpstreamMissing_IsKeptForGraceTime() {
    Restore();
    ReadAll({kSecond, 40}, StoreAnswered(), true);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Count("up-a"));
    Wait(StoreFollower::kUpstreamGrace);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Count("up-a"));
  }

  void NewEra_UpstreamStartedLater_LaterStartWins() {
    StoreAnswered restored;
    restored.upstreams = {MakeChange(kUpstream, 30, false)};
    Restore();
    ReadAll({kSecond, 40}, restored, true);
    CPPUNIT_ASSERT_EQUAL(int64_t{50}, Record().started_ms);
    Wait(StoreFollower::kUpstreamGrace);
    CPPUNIT_ASSERT_EQUAL(int64_t{30}, Record().started_ms);
  }

  void NewEra_OwnRowMissing_IsAnnouncedAgain() {
    Restore();
    ReadAll({kSecond, 40}, StoreAnswered(), false);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, follower_.vms().records.count(kSelf));
    Wait(StoreFollower::kAnnouncementSpread);
    Open<WriteRow>(StoreTable::kVms);
  }

  void OlderEra_AnswerArrivesLate_IsNotApplied() {
    Restore();
    StoreAnswered late;
    late.upstreams = {MakeChange(UpstreamId("up-b"), 60, false)};
    Answer(Open<ReadTable>(StoreTable::kUpstreams), StoreStatus::kOk,
           {kFirst, 300}, late);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Count("up-b"));
  }

  void Upstream_LeavesWhileFollowed_TimeIsThatOfTheAnswer() {
    AnswerLeaving(UpstreamId("up-b"), false, 101);
    Wait(Duration::Seconds(3));
    AnswerLeaving(UpstreamId("up-b"), true, 102);
    CPPUNIT_ASSERT(LeavingSince("up-b") == now_);
    // It had been leaving before this VM started.
    CPPUNIT_ASSERT(LeavingSince("up-a") == TimePoint());
  }

  void Upstream_LeavesAfterFailedCalls_TimeIsThatOfPeers() {
    AnswerLeaving(UpstreamId("up-b"), false, 101);
    Wait(Duration::Seconds(4));
    Answer(Open<FollowTable>(StoreTable::kUpstreams), StoreStatus::kUnknown,
           {kFirst, 0});
    Wait(StoreFollower::kMaxRetryDelay);
    AnswerLeaving(UpstreamId("up-b"), true, 102);
    CPPUNIT_ASSERT(LeavingSince("up-b") == TimePoint());
    Begin();
    follower_.OnUpstreamAges(
        {UpstreamAge{UpstreamId("up-b"), 60, {}, Duration::Millis(900)}},
        &context_);
    CPPUNIT_ASSERT(LeavingSince("up-b") == now_ - Duration::Millis(900));
  }

  void NoAnswerToAnyVm_NoReader_FollowsUntilBetterReaderAnswers() {
    LeaveStoreToPeers();
    Wait(StoreFollower::kStoreAgeLimit + Duration::Millis(1));
    CPPUNIT_ASSERT(follower_.follows_store());
    Answer(Open<ReadTable>(StoreTable::kRoutes), StoreStatus::kOk,
           {kFirst, 101});
    Open<FollowTable>(StoreTable::kUpstreams);
    HearOfAnswer(WorseReader(), Duration());
    CPPUNIT_ASSERT(follower_.follows_store());
    HearOfAnswer(BetterReader(), Duration());
    CPPUNIT_ASSERT(!follower_.follows_store());
  }

  void NoAnswerToAnyVm_StoreRefusesThisVm_FollowsUntilAnyVmHasAnswer() {
    LeaveStoreToPeers();
    Wait(StoreFollower::kStoreAgeLimit + Duration::Millis(1));
    Answer(Open<ReadTable>(StoreTable::kRoutes), StoreStatus::kRefused,
           {kFirst, 0});
    CPPUNIT_ASSERT(follower_.follows_store());
    HearOfAnswer(WorseReader(), Duration());
    CPPUNIT_ASSERT(!follower_.follows_store());
  }

  void NoAnswerToAnyVm_HeartbeatTellsOlderAnswer_GoesOnFollowing() {
    LeaveStoreToPeers();
    Wait(StoreFollower::kStoreAgeLimit + Duration::Millis(1));
    Duration age = StoreFollower::kStoreAgeLimit - Duration::Millis(1);
    HearOfAnswer(BetterReader(), age);
    CPPUNIT_ASSERT(follower_.follows_store());
  }

  void AnswerToOtherVm_ToldAgainLater_IsNoYounger() {
    LeaveStoreToPeers();
    Wait(Duration::Seconds(1));
    HearOfAnswer(BetterReader(), Duration::Millis(100));
    Wait(Duration::Seconds(1));
    follower_.OnPeerStoreAge(Duration::Millis(100), BetterReader(),
                             last_answer_, &context_);
    CPPUNIT_ASSERT_EQUAL(int64_t{1100}, StoreAge());
    // A report that was faster.
    follower_.OnPeerStoreAge(Duration::Millis(1300), BetterReader(),
                             last_answer_, &context_);
    CPPUNIT_ASSERT_EQUAL(int64_t{1300}, StoreAge());
    follower_.OnPeerStoreAge(Duration(), BetterReader(), last_answer_ - 1,
                             &context_);
    CPPUNIT_ASSERT_EQUAL(int64_t{1300}, StoreAge());
    HearOfAnswer(BetterReader(), Duration::Millis(200));
    CPPUNIT_ASSERT_EQUAL(int64_t{200}, StoreAge());
  }

  void AnswerToOtherVm_ToldByEarlierVersion_Counts() {
    LeaveStoreToPeers();
    Wait(Duration::Seconds(1));
    follower_.OnPeerStoreAge(Duration::Millis(200), BetterReader(), 0,
                             &context_);
    follower_.OnPeerStoreAge(Duration::Millis(100), BetterReader(), 0,
                             &context_);
    CPPUNIT_ASSERT_EQUAL(int64_t{100}, StoreAge());
  }

  // Otherwise a VM that follows would leave the store to one that does not.
  void StoreLeftToPeers_LateAnswer_IsNotToldToOthers() {
    TimePoint before = follower_.store_answered_at();
    Wait(Duration::Millis(500));
    LeaveStoreToPeers();
    CPPUNIT_ASSERT(follower_.store_answered_at() == before);
  }

  void StoreLeftToPeers_RoutesTooOld_AreReadWhateverElseIsAnswered() {
    RoutesAge age(Duration::Millis(5000), Duration());
    follower_ = StoreFollower(age);
    StartFollower();
    LeaveStoreToPeers();
    Duration waited;
    while (age.IsYoung(waited)) {
      Wait(Duration::Millis(100));
      waited = waited + Duration::Millis(100);
      HearOfAnswer(BetterReader(), Duration());
    }
    Wait(Duration::Millis(100));
    CPPUNIT_ASSERT(!follower_.follows_store());
    Open<ReadTable>(StoreTable::kRoutes);
  }

  // Connections to the store may be silent while new ones work.
  void OneTable_GetsNoAnswer_OthersAreAskedAgain() {
    CallId routes = Open<FollowTable>(StoreTable::kRoutes);
    CallId vms = Open<FollowTable>(StoreTable::kVms);
    Answer(Open<FollowTable>(StoreTable::kUpstreams), StoreStatus::kUnknown,
           {kFirst, 0});
    CPPUNIT_ASSERT(Open<FollowTable>(StoreTable::kRoutes) != routes);
    CPPUNIT_ASSERT(Open<FollowTable>(StoreTable::kVms) != vms);
  }

  void OneTable_RefusedForLong_OthersAreFollowed() {
    for (int i = 0; i < 20; i++) {
      CallId upstreams = Open<FollowTable>(StoreTable::kUpstreams);
      Answer(upstreams, StoreStatus::kRefused, {kFirst, 0});
      // The store answers the routes within their timeout.
      for (int step = 0; step < 8; step++) {
        Answer(Open<FollowTable>(StoreTable::kRoutes), StoreStatus::kOk,
               {kFirst, 100});
        Open<FollowTable>(StoreTable::kRoutes);
        Wait(StoreFollower::kRetryDelay * 2);
      }
      CPPUNIT_ASSERT(Open<FollowTable>(StoreTable::kUpstreams) != upstreams);
      CPPUNIT_ASSERT(!follower_.reaches_store());
    }
  }

  void AllTables_Refused_OneCallAtATime() {
    for (StoreTable table : kFollowedTables) {
      Answer(Open<FollowTable>(table), StoreStatus::kRefused, {kFirst, 0});
    }
    std::set<StoreTable> asked;
    for (int i = 0; i < 9; i++) {
      Wait(StoreFollower::kMaxRetryDelay * 2);
      CPPUNIT_ASSERT_EQUAL(size_t{1}, OpenTableCalls().size());
      const auto& call = *OpenTableCalls().begin();
      asked.insert(call.second);
      Answer(call.first, StoreStatus::kRefused, {kFirst, 0});
      CPPUNIT_ASSERT(OpenTableCalls().empty());
    }
    CPPUNIT_ASSERT_EQUAL(size_t{3}, asked.size());
  }

  void RoutesCall_GetsNoAnswer_RowIsReadInsteadOfAllChanges() {
    Answer(Open<FollowTable>(StoreTable::kRoutes), StoreStatus::kUnknown,
           {kFirst, 0});
    Wait(StoreFollower::kMaxRetryDelay);
    Open<ReadTable>(StoreTable::kRoutes);
  }

  void RoutesAnswer_AfterItsTimeout_RowIsReadInsteadOfAllChanges() {
    StoreAnswered changed;
    changed.routes.emplace_back();
    changed.routes.back().version = 4;
    Wait(StoreFollower::kFollowPeriod * 2);
    Answer(Open<FollowTable>(StoreTable::kRoutes), StoreStatus::kOk,
           {kFirst, 101}, changed);
    CPPUNIT_ASSERT_EQUAL(uint64_t{4}, follower_.routes().version);
    CPPUNIT_ASSERT(HasRecord("answer_late"));
    Answer(Open<ReadTable>(StoreTable::kRoutes), StoreStatus::kOk,
           {kFirst, 102});
    Open<FollowTable>(StoreTable::kRoutes);
  }

  void OlderEra_SnapshotOfPeer_IsNotApplied() {
    Restore();
    ReadAll({kSecond, 40}, StoreAnswered(), true);
    SnapshotReply reply;
    reply.upstreams.version = {kFirst, 300};
    reply.upstreams.records[UpstreamId("up-b")] = UpstreamRecord();
    Begin();
    follower_.OnSnapshot(reply, context_.now(), &context_);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Count("up-b"));
  }

  void Follow_RemovalAndNewRowInOneAnswer_KeepsTheLastOfThem() {
    UpstreamChange removal;
    removal.id = kUpstream;
    StoreAnswered answer;
    answer.upstreams = {removal, MakeChange(kUpstream, 60, false)};
    Answer(Open<FollowTable>(StoreTable::kUpstreams), StoreStatus::kOk,
           {kFirst, 110}, answer);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Count(kUpstream.value().c_str()));
    answer.upstreams = {MakeChange(kUpstream, 70, false), removal};
    Answer(Open<FollowTable>(StoreTable::kUpstreams), StoreStatus::kOk,
           {kFirst, 120}, answer);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Count(kUpstream.value().c_str()));
  }

 private:
  void Begin() { context_.Begin(now_, &effects_); }

  void Restore() {
    Begin();
    follower_.OnEra(kSecond, "peer", &context_);
  }

  void Wait(Duration time) {
    now_ = now_ + time;
    Begin();
    follower_.OnWake(&context_);
  }

  // A peer tells of a new answer of the store to a VM.
  void HearOfAnswer(const VmId& reader, Duration age) {
    follower_.OnPeerStoreAge(age, reader, ++last_answer_, &context_);
  }

  // Ends the open follow calls; the store then answers only other VMs.
  void LeaveStoreToPeers() {
    Begin();
    follower_.SetReaders(StoreReaders(), &context_);
    for (StoreTable table : kFollowedTables) {
      Answer(Open<FollowTable>(table), StoreStatus::kOk, {kFirst, 100});
    }
    CPPUNIT_ASSERT(!follower_.follows_store());
  }

  static VmId BetterReader() { return OtherReader(true); }
  static VmId WorseReader() { return OtherReader(false); }
  static VmId OtherReader(bool is_better) {
    for (int i = 2;; i++) {
      VmId vm("vm-" + std::to_string(i));
      if ((RankOf(vm) < RankOf(kSelf)) == is_better) return vm;
    }
  }

  void AnswerLeaving(const UpstreamId& id, bool leaving, uint64_t number) {
    StoreAnswered answer;
    answer.upstreams = {MakeChange(id, 60, leaving)};
    Answer(Open<FollowTable>(StoreTable::kUpstreams), StoreStatus::kOk,
           {kFirst, number}, answer);
  }

  TimePoint LeavingSince(const char* id) const {
    return follower_.upstream_times().LeavingSince(UpstreamId(id));
  }

  bool HasRecord(const std::string& event) const {
    return std::any_of(effects_.begin(), effects_.end(),
                       [&event](const ProxyEffect& effect) {
                         const auto* record = std::get_if<WriteRecord>(&effect);
                         return record != nullptr && record->event == event;
                       });
  }

  int64_t StoreAge() const { return follower_.store_age(now_).millis(); }

  size_t Count(const char* id) const {
    return follower_.upstreams().records.count(UpstreamId(id));
  }

  UpstreamRecord Record() const {
    return follower_.upstreams().records.at(kUpstream);
  }

  // The last call of that kind on the table.
  template <typename T>
  CallId Open(StoreTable table) const {
    CallId call;
    for (const ProxyEffect& effect : effects_) {
      const auto* store_call = std::get_if<StoreCall>(&effect);
      if (store_call == nullptr) continue;
      const auto* body = std::get_if<T>(&store_call->body);
      bool is_open = answered_.count(store_call->call) == 0;
      if (body != nullptr && body->table == table && is_open) {
        call = store_call->call;
      }
    }
    CPPUNIT_ASSERT_MESSAGE(StoreTableName(table), call != CallId());
    return call;
  }

  // Calls that read or follow a table.
  std::map<CallId, StoreTable> OpenTableCalls() const {
    std::map<CallId, StoreTable> calls;
    for (const ProxyEffect& effect : effects_) {
      const auto* call = std::get_if<StoreCall>(&effect);
      if (call == nullptr || answered_.count(call->call) != 0) continue;
      if (const auto* follow = std::get_if<FollowTable>(&call->body)) {
        calls[call->call] = follow->table;
      } else if (const auto* read = std::get_if<ReadTable>(&call->body)) {
        calls[call->call] = read->table;
      }
    }
    return calls;
  }

  void Answer(CallId call, StoreStatus status, StoreVersion version,
              StoreAnswered answer = StoreAnswered()) {
    answered_.insert(call);
    answer.call = call;
    answer.status = status;
    answer.version = version;
    Begin();
    CPPUNIT_ASSERT(follower_.OnStore(answer, &context_));
  }

  // Answers reads of all tables. The list of VMs has this VM if told so.
  void ReadAll(StoreVersion version, const StoreAnswered& upstreams,
               bool has_self) {
    StoreAnswered routes;
    routes.routes.emplace_back();
    routes.routes.back().version = 3;
    StoreAnswered vms;
    VmRecord self;
    self.address = kSelfAddress;
    self.incarnation = 7;
    std::string value = StoreFollower::EncodeVm(self);
    if (has_self) vms.rows = {StoreRow{kSelf.value(), value, version, false}};
    Answer(Open<ReadTable>(StoreTable::kRoutes), StoreStatus::kOk, version,
           routes);
    Answer(Open<ReadTable>(StoreTable::kUpstreams), StoreStatus::kOk, version,
           upstreams);
    Answer(Open<ReadTable>(StoreTable::kVms), StoreStatus::kOk, version, vms);
  }

  TimePoint now_;
  ProxyEffects effects_;
  ProxyContext context_{kSelf, 7, 3};
  StoreFollower follower_{RoutesAge(Duration(), Duration())};
  std::set<CallId> answered_;
  uint64_t last_answer_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreFollowerTest);

}  // namespace
}  // namespace fireflycart::proxy
