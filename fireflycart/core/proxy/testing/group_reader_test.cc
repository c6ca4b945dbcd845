// Tests of the connections of a group's reader after reads that it gave up.

#include "fireflycart/core/proxy/group_reader.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace fireflycart::proxy {
namespace {

const DataCentreId kDataCentre("dc-1");
const GroupId kGroup("ledger");
constexpr Duration kTimeout = Duration::Millis(1000);

class GroupReaderTest : public CppUnit::TestFixture, private ReadHandler {
  CPPUNIT_TEST_SUITE(GroupReaderTest);
  CPPUNIT_TEST(Read_AnsweredAfterItWasGivenUp_ConnectionIsKept);
  CPPUNIT_TEST(NoStatement_AfterReadWasGivenUp_ConnectionIsClosed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    UpstreamRecord record;
    record.id = UpstreamId("up-b");
    record.group = kGroup;
    record.address = "up-b";
    record.slots = 4;
    record.data_centre = kDataCentre;
    Begin();
    reader_.SetListTime(now_);
    reader_.SetUpstreams({record}, &context_);
    EvidenceReply evidence;
    evidence.is_known = true;
    evidence.position = LogPosition{1, 1};
    reader_.OnEvidence(now_, evidence, &context_);
    StartRead();
    now_ = now_ + kTimeout;
    Begin();
    reader_.OnWake(&context_);
    CPPUNIT_ASSERT_EQUAL(1, returned_);
  }

  void Read_AnsweredAfterItWasGivenUp_ConnectionIsKept() {
    Answer(Outcome::kDone);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, reader_.connection_count());
  }

  void NoStatement_AfterReadWasGivenUp_ConnectionIsClosed() {
    Answer(Outcome::kNoStatement);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, reader_.connection_count());
  }

 private:
  void StartRead() {
    StatementCall call;
    call.group = kGroup;
    call.id = StatementId("s1");
    call.text = "k";
    call.is_prepared = true;
    call.prepared = PreparedShape{false, "q"};
    call.consistency = ReadConsistency::kBoundedStaleness;
    call.max_age = Duration::Seconds(2);
    call.time_left = kTimeout;
    call.target_left = kTimeout;
    CPPUNIT_ASSERT(reader_.MayServe(call, &context_));
    reader_.Submit(call, WorkOrigin(), &context_);
    connection_ = LastOf<OpenUpstream>().connection;
    Begin();
    reader_.OnOpened(UpstreamOpened{connection_, LogPosition{1, 1}}, &context_);
    Answer(Outcome::kDone);
    CPPUNIT_ASSERT(LastOf<SendUpstream>().commands.back().kind ==
                   CommandKind::kExecute);
  }

  void Answer(Outcome outcome) {
    UpstreamAnswer answer;
    answer.outcome = outcome;
    answer.position = LogPosition{1, 1};
    Begin();
    reader_.OnAnswered(UpstreamAnswered{connection_, answer}, &context_);
  }

  template <typename Effect>
  const Effect& LastOf() const {
    const Effect* last = nullptr;
    for (const ProxyEffect& effect : effects_) {
      if (const auto* found = std::get_if<Effect>(&effect)) last = found;
    }
    CPPUNIT_ASSERT(last != nullptr);
    return *last;
  }

  void Begin() { context_.Begin(now_, &effects_); }

  void OnReadDone(const WorkOrigin& origin, StatementReply reply) override {
    (void)origin;
    (void)reply;
  }
  void OnReadReturned(const WorkOrigin& origin, StatementCall call) override {
    (void)origin;
    (void)call;
    returned_++;
  }
  void RequestEvidence(const GroupId& group) override { (void)group; }

  static GroupSpec Spec() {
    GroupSpec spec;
    spec.id = kGroup;
    spec.max_connections = 16;
    return spec;
  }

  TimePoint now_ = TimePoint::FromMillis(10000);
  ProxyContext context_{VmId("vm-0"), 1, 1};
  ProxyEffects effects_;
  GroupReader reader_{Spec(), kDataCentre, DataCentreBalanceOptions(), this};
  ConnectionId connection_;
  int returned_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(GroupReaderTest);

}  // namespace
}  // namespace fireflycart::proxy
