// Tests of following the store's tables when another writer leaves odd rows.

#include <cppunit/extensions/HelperMacros.h>

#include <variant>

#include "fireflycart/core/proxy/store_follower.h"

namespace fireflycart::proxy {
namespace {

constexpr size_t kMaxProblemBytes = 512;
constexpr char kGoodVm[] =
    R"({"address":"10.0.0.2:7","data_centre":"a","incarnation":3,)"
    R"("cpu_permille":250})";

class StoreRowsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreRowsTest);
  CPPUNIT_TEST(Vms_OddRow_SkippedWithOneLogLine);
  CPPUNIT_TEST(Vms_OddRowUnderGoodKey_AbsentUntilGoodAgain);
  CPPUNIT_TEST(Vms_OddKey_Skipped);
  CPPUNIT_TEST(Vms_OwnRecord_DecodedAsEncoded);
  CPPUNIT_TEST(Routes_NoneReadable_LastOnesStayInForce);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    VmRecord self;
    self.vm = VmId("vm-1");
    Begin();
    follower_.Start(self, &context_);
  }

  void Vms_OddRow_SkippedWithOneLogLine() {
    const std::vector<std::pair<std::string, std::string>> odd_values = {
        {"", "object"},
        {std::string(65536, '['), "nested"},
        {Vm("incarnation", "-1"), "incarnation"},
        {Vm("incarnation", "1e300"), "incarnation"},
        {Vm("incarnation", "1e400"), "incarnation"},
        {Vm("incarnation", "true"), "incarnation"},
        {Vm("cpu_permille", "2147483647"), "cpu_permille"},
        {Vm("cpu_permille", "4294967297"), "cpu_permille"},
        {Vm("cpu_permille", "1e300"), "cpu_permille"},
        {Vm("cpu_permille", "-5"), "cpu_permille"},
        {Vm("address", "[]"), "address"},
        {Vm("address", '"' + std::string(65536, 'x') + '"'), "address"},
    };
    for (const auto& odd : odd_values) {
      version_++;
      AnswerVms(
          {Row("vm-2", kGoodVm), Row("vm-3", odd.first), Row("vm-4", kGoodVm)});
      std::string shown = odd.second + " " + odd.first.substr(0, 100);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(shown, size_t{2},
                                   follower_.vms().records.size());
      CPPUNIT_ASSERT_EQUAL(version_, follower_.vms().version.number);
      std::vector<std::string> problems = SkippedRows();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(shown, size_t{1}, problems.size());
      CPPUNIT_ASSERT(problems[0].size() <= kMaxProblemBytes);
      CPPUNIT_ASSERT_MESSAGE(problems[0],
                             problems[0].find(odd.second) != std::string::npos);
      CPPUNIT_ASSERT(problems[0].find("vm-3") != std::string::npos);
    }
  }

  void Vms_OddRowUnderGoodKey_AbsentUntilGoodAgain() {
    for (bool is_good : {true, false, true}) {
      version_++;
      AnswerVms({Row("vm-2", is_good ? kGoodVm : Vm("incarnation", "-1"))});
      CPPUNIT_ASSERT_EQUAL(size_t{is_good ? 1U : 0U},
                           follower_.vms().records.size());
    }
  }

  // The empty name stands for no VM.
  void Vms_OddKey_Skipped() {
    version_++;
    AnswerVms({Row("", kGoodVm), Row("a b", kGoodVm), Row("vm-2", kGoodVm)});
    CPPUNIT_ASSERT_EQUAL(size_t{1}, follower_.vms().records.size());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, SkippedRows().size());
  }

  void Vms_OwnRecord_DecodedAsEncoded() {
    VmRecord record;
    record.vm = VmId("vm-2");
    record.address = "10.0.0.2:7";
    record.data_centre = DataCentreId("a b");
    record.incarnation = ~uint64_t{0};
    record.cpu_permille = 64000;
    version_++;
    AnswerVms({Row("vm-2", StoreFollower::EncodeVm(record))});
    CPPUNIT_ASSERT_EQUAL(size_t{1}, follower_.vms().records.size());
    const VmRecord& decoded = follower_.vms().records.at(record.vm);
    CPPUNIT_ASSERT_EQUAL(record.incarnation, decoded.incarnation);
    CPPUNIT_ASSERT_EQUAL(record.cpu_permille, decoded.cpu_permille);
    CPPUNIT_ASSERT_EQUAL(record.data_centre, decoded.data_centre);
  }

  void Routes_NoneReadable_LastOnesStayInForce() {
    StoreAnswered good;
    RouteTable routes;
    routes.version = 7;
    good.routes.push_back(routes);
    Answer(StoreTable::kRoutes, good);
    StoreAnswered odd;
    odd.problems.emplace_back("configuration: version is -1");
    version_++;
    Answer(StoreTable::kRoutes, odd);
    CPPUNIT_ASSERT_EQUAL(uint64_t{7}, follower_.routes().version);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, SkippedRows().size());
    routes.version = 9;
    good.routes = {routes};
    version_++;
    Answer(StoreTable::kRoutes, good);
    CPPUNIT_ASSERT_EQUAL(uint64_t{9}, follower_.routes().version);
  }

 private:
  // A VM's record in which the field has another value. The last of two fields
  // with one name counts.
  static std::string Vm(const std::string& field, const std::string& value) {
    std::string text = kGoodVm;
    text.pop_back();
    return text + ",\"" + field + "\":" + value + "}";
  }

  StoreRow Row(const std::string& key, const std::string& value) const {
    return StoreRow{key, value, StoreVersion{StoreEra(), version_}, false};
  }

  void Begin() { context_.Begin(now_, &effects_); }

  // The open call for the table; its answer leads to the next one.
  CallId OpenCall(StoreTable table) const {
    CallId call;
    for (const ProxyEffect& effect : effects_) {
      const auto* store_call = std::get_if<StoreCall>(&effect);
      if (store_call == nullptr) continue;
      const auto* read = std::get_if<ReadTable>(&store_call->body);
      const auto* follow = std::get_if<FollowTable>(&store_call->body);
      if (read != nullptr && read->table == table) call = store_call->call;
      if (follow != nullptr && follow->table == table) call = store_call->call;
    }
    CPPUNIT_ASSERT(call != CallId());
    return call;
  }

  void Answer(StoreTable table, StoreAnswered answer) {
    answer.call = OpenCall(table);
    answer.status = StoreStatus::kOk;
    answer.version.number = version_;
    effects_.clear();
    Begin();
    CPPUNIT_ASSERT(follower_.OnStore(answer, &context_));
  }

  void AnswerVms(const std::vector<StoreRow>& rows) {
    StoreAnswered answer;
    answer.rows = rows;
    Answer(StoreTable::kVms, answer);
  }

  // Problems that the last answer logged.
  std::vector<std::string> SkippedRows() const {
    std::vector<std::string> problems;
    for (const ProxyEffect& effect : effects_) {
      const auto* record = std::get_if<WriteRecord>(&effect);
      if (record == nullptr) continue;
      if (std::string(record->event) != "row_skipped") continue;
      for (const LogField& field : record->fields) {
        if (std::string(field.name) == "problem") {
          problems.push_back(field.value);
        }
      }
    }
    return problems;
  }

  TimePoint now_ = TimePoint::FromMillis(1000);
  ProxyEffects effects_;
  ProxyContext context_{VmId("vm-1"), 1, 7};
  StoreFollower follower_{RoutesAge(Duration(), Duration())};
  uint64_t version_ = 5;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreRowsTest);

}  // namespace
}  // namespace fireflycart::proxy
