// What the failure tests share: a world of three nodes with one configuration,
// and requests that wait for their answers.

#ifndef FIREFLYCART_STANDINS_TESTING_FAILURE_FIXTURE_H_
#define FIREFLYCART_STANDINS_TESTING_FAILURE_FIXTURE_H_

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>

#include "fireflycart/standins/testing/world.h"

namespace fireflycart {

class FailureFixture : public CppUnit::TestFixture {
 public:
  void setUp() override {
    WorldOptions options;
    options.nodes = kNodes;
    Build(options);
  }

 protected:
  static constexpr int kNodes = 3;
  static constexpr Duration kLong = Duration::Seconds(14);

  GroupPhase Phase(int node) const {
    return world_->reducer(node)->FindGroup(group_)->phase();
  }

  void Build(const WorldOptions& options) {
    world_ = std::make_unique<World>(options, 7);
    SubmitReply reply;
    Submit(0, 0, &reply);
    world_->RunFor(Duration::Seconds(4));
    CPPUNIT_ASSERT(Leader() >= 0);
    CPPUNIT_ASSERT_EQUAL(a_, Primary());
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

  static int64_t Count(const std::string& value, const std::string& entry) {
    int64_t count = 0;
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
    request.group = group_;
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

  Request MakeRollback(const TransactionId& id) const {
    Request request = MakeRequest(Duration::Seconds(4));
    request.type = RequestType::kRollback;
    request.access = Access::kWrite;
    request.transaction = id;
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

  // Submits a document on version 1.
  void SubmitDocument(const std::string& document) {
    SubmitConfigCall call;
    call.base = ConfigVersion(1);
    call.document = document;
    call.operator_name = "op";
    world_->CallOperator(Entry(), call, [](const OperatorReplyBody&) {});
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

  const GroupId group_ = World::GroupName(0);
  std::unique_ptr<World> world_;
  // The upstreams of the group; the first one is primary at the start.
  const UpstreamId a_ = World::UpstreamName(0, 0);
  const UpstreamId b_ = World::UpstreamName(0, 1);
  const UpstreamId c_ = World::UpstreamName(0, 2);
};

}  // namespace fireflycart

#endif  // FIREFLYCART_STANDINS_TESTING_FAILURE_FIXTURE_H_
