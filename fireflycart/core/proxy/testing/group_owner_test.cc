// Tests of what the owner of a group answers for statements of transactions,
// and of the connections that it keeps. The upstreams answer status requests
// and the commands of the proxy itself at once; the test answers statements.

#include "fireflycart/core/proxy/group_owner.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace fireflycart::proxy {
namespace {

const UpstreamId kPrimary("up-a");
const UpstreamId kReplica("up-b");
constexpr uint64_t kTerm = 1;
constexpr Duration kTimeout = Duration::Millis(1000);
constexpr Duration kIdleLimit = Duration::Seconds(3);

// A statement that was sent to an upstream.
struct Sent {
  ConnectionId connection;
  UpstreamCommand command;
};

class GroupOwnerTest : public CppUnit::TestFixture,
                       private StatementReplyHandler {
  CPPUNIT_TEST_SUITE(GroupOwnerTest);
  CPPUNIT_TEST(NoStatement_InTransaction_ConnectionIsClosed);
  CPPUNIT_TEST(NoStatement_AfterItsTimeout_ConnectionIsClosed);
  CPPUNIT_TEST(End_DuringWrite_OutcomeIsUnknown);
  CPPUNIT_TEST(End_DuringRead_IsAborted);
  CPPUNIT_TEST(End_DuringCommitOfWrites_OutcomeIsUnknown);
  CPPUNIT_TEST(Write_TimedOutAtUpstreamOutsideTransaction_OutcomeIsUnknown);
  CPPUNIT_TEST(Write_TimedOutAtUpstreamInTransaction_IsAborted);
  CPPUNIT_TEST(FirstStatement_SentTwice_CommitGoesToItsOwnTransaction);
  CPPUNIT_TEST(Transaction_NeverEnded_IsRolledBackBeforeItsConnectionIsUsed);
  CPPUNIT_TEST(Commit_LacksValueOfItsTransaction_NothingIsReset);
  CPPUNIT_TEST(Commit_BehindNewValue_ValueIsSetBeforeIt);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    std::vector<UpstreamRecord> records;
    for (const UpstreamId& id : {kPrimary, kReplica}) {
      UpstreamRecord record;
      record.id = id;
      record.group = GroupId("ledger");
      record.address = id.value();
      record.slots = 4;
      record.is_primary = id == kPrimary;
      records.push_back(record);
    }
    Begin();
    owner_.SetTransactionIdleTimeout(kIdleLimit);
    owner_.SetUpstreams(records, &context_);
    owner_.SetAssigned(true, &context_);
    Run(Duration::Seconds(1));
  }

  void NoStatement_InTransaction_ConnectionIsClosed() {
    Submit(Execute(), 1);
    Answer(Outcome::kNoStatement, TransactionState::kFailed);
    ExpectReply(Outcome::kAborted);
    CPPUNIT_ASSERT(IsClosed(sent_.back().connection));
  }

  void NoStatement_AfterItsTimeout_ConnectionIsClosed() {
    Submit(Execute(), 0);
    Run(kTimeout + Duration::Millis(100));
    ExpectReply(Outcome::kUnknown);
    Answer(Outcome::kNoStatement, TransactionState::kNone);
    CPPUNIT_ASSERT(IsClosed(sent_.back().connection));
  }

  // The upstream may have ended the transaction by itself, so that the write
  // runs alone.
  void End_DuringWrite_OutcomeIsUnknown() {
    Submit(Write("WRITE k 1"), 1);
    End(1);
    ExpectReply(Outcome::kUnknown);
    CPPUNIT_ASSERT(IsClosed(sent_.back().connection));
  }

  void End_DuringRead_IsAborted() {
    Submit(Read(), 1);
    End(1);
    ExpectReply(Outcome::kAborted);
  }

  void End_DuringCommitOfWrites_OutcomeIsUnknown() {
    Submit(Write("WRITE k 1"), 1);
    Answer(Outcome::kDone, TransactionState::kOpen);
    Submit(Commit(), 1);
    End(1);
    ExpectReply(Outcome::kUnknown);
  }

  void Write_TimedOutAtUpstreamOutsideTransaction_OutcomeIsUnknown() {
    Submit(Write("WRITE k 1"), 1);
    Answer(Outcome::kTimeout, TransactionState::kNone);
    ExpectReply(Outcome::kUnknown);
  }

  void Write_TimedOutAtUpstreamInTransaction_IsAborted() {
    Submit(Write("WRITE k 1"), 1);
    Answer(Outcome::kTimeout, TransactionState::kFailed);
    ExpectReply(Outcome::kAborted);
  }

  // Its call broke, and the repeat counts as another transaction.
  void FirstStatement_SentTwice_CommitGoesToItsOwnTransaction() {
    Submit(Read(), 1);
    Sent earlier = sent_.back();
    Submit(Read(), 2);
    Sent later = sent_.back();
    CPPUNIT_ASSERT(earlier.connection != later.connection);
    AnswerTo(earlier, Outcome::kDone, TransactionState::kOpen);
    AnswerTo(later, Outcome::kDone, TransactionState::kOpen);
    Submit(Write("WRITE k 1"), 2);
    CPPUNIT_ASSERT_EQUAL(later.connection, sent_.back().connection);
    Answer(Outcome::kDone, TransactionState::kOpen);
    Submit(Commit(), 2);
    CPPUNIT_ASSERT_EQUAL(later.connection, sent_.back().connection);
    Answer(Outcome::kDone, TransactionState::kNone);
    ExpectReply(Outcome::kDone);
    Run(kIdleLimit + Duration::Millis(100));
    CPPUNIT_ASSERT_EQUAL(1, rollbacks_[earlier.connection]);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, owner_.open_transactions());
  }

  // The VM of its session believes that it failed with its owner, so it sends
  // no end of it.
  void Transaction_NeverEnded_IsRolledBackBeforeItsConnectionIsUsed() {
    Submit(Write("WRITE k 1"), 1);
    ConnectionId left = sent_.back().connection;
    Answer(Outcome::kDone, TransactionState::kOpen);
    TimePoint limit = now_ + kIdleLimit + Duration::Millis(500);
    while (rollbacks_[left] == 0) {
      CPPUNIT_ASSERT(now_ < limit);
      Submit(Read(), 0);
      CPPUNIT_ASSERT(sent_.back().connection != left);
      Answer(Outcome::kDone, TransactionState::kNone);
      Submit(Commit(), 2);
      ExpectReply(Outcome::kAborted);
      Run(Duration::Millis(100));
    }
    CPPUNIT_ASSERT_EQUAL(size_t{0}, owner_.open_transactions());
    Submit(Commit(), 1);
    ExpectReply(Outcome::kAborted);
  }

  // The session has dropped the value, since a later one was refused. The
  // transaction ran with it, and so does its commit.
  void Commit_LacksValueOfItsTransaction_NothingIsReset() {
    StatementCall write = Write("WRITE k 1");
    write.values["v"] = "1";
    Submit(write, 1);
    Answer(Outcome::kDone, TransactionState::kOpen);
    Submit(Commit(), 1);
    CPPUNIT_ASSERT_EQUAL(std::string("COMMIT"), sent_.back().command.text);
    CPPUNIT_ASSERT_EQUAL(0, resets_);
    Answer(Outcome::kDone, TransactionState::kNone);
    // The next statement on the connection does not have the value.
    Submit(Write("WRITE k 2"), 0);
    CPPUNIT_ASSERT_EQUAL(1, resets_);
  }

  void Commit_BehindNewValue_ValueIsSetBeforeIt() {
    StatementCall write = Write("WRITE k 1");
    write.values["v"] = "1";
    Submit(write, 1);
    Answer(Outcome::kDone, TransactionState::kOpen);
    StatementCall commit = Commit();
    commit.values["v"] = "2";
    Submit(commit, 1);
    CPPUNIT_ASSERT_EQUAL(std::string("2"), values_[sent_.back().connection]);
    CPPUNIT_ASSERT_EQUAL(0, resets_);
  }

 private:
  static StatementCall Read() {
    StatementCall call;
    call.access = Access::kRead;
    call.text = "READ k";
    return call;
  }
  static StatementCall Write(const std::string& text) {
    StatementCall call;
    call.access = Access::kWrite;
    call.text = text;
    return call;
  }
  static StatementCall Execute() {
    StatementCall call = Write("k 1");
    call.is_prepared = true;
    call.prepared = PreparedShape{true, "q"};
    return call;
  }
  static StatementCall Commit() {
    StatementCall call;
    call.access = Access::kCommit;
    call.text = "COMMIT";
    return call;
  }

  SessionKey Session() const {
    return SessionKey{VmId("vm-1"), 1, SessionNumber(4)};
  }

  // Submits the statement, which opens the transaction if it is the first one
  // with that number; 0: outside transactions.
  void Submit(StatementCall call, uint64_t transaction) {
    call.group = GroupId("ledger");
    call.session = Session();
    if (transaction != 0) {
      call.transaction = TransactionKind::kReadWrite;
      call.transaction_number = transaction;
      call.opens_transaction =
          opened_.insert(transaction).second && call.access != Access::kCommit;
    }
    call.id = StatementId("s" + std::to_string(++last_id_));
    call.consistency = ReadConsistency::kBoundedStaleness;
    call.max_age = Duration::Seconds(2);
    call.time_left = kTimeout;
    call.target_left = kTimeout;
    Begin();
    owner_.Submit(call, WorkOrigin(), &context_);
    Run(Duration::Millis(10));
  }

  void End(uint64_t transaction) {
    Begin();
    owner_.EndTransaction(TransactionKey{Session(), transaction}, &context_);
    Run(Duration::Millis(4));
  }

  void Answer(Outcome outcome, TransactionState state) {
    AnswerTo(sent_.back(), outcome, state);
  }

  void AnswerTo(const Sent& sent, Outcome outcome, TransactionState state) {
    UpstreamAnswer answer;
    answer.outcome = outcome;
    answer.state = state;
    answer.signature = "sig";
    answer.position = LogPosition{kTerm, 1};
    Begin();
    owner_.OnAnswered(UpstreamAnswered{sent.connection, answer}, &context_);
    Run(Duration::Millis(4));
  }

  void ExpectReply(Outcome outcome) {
    CPPUNIT_ASSERT(!replies_.empty());
    CPPUNIT_ASSERT_EQUAL(std::string(OutcomeName(outcome)),
                         std::string(OutcomeName(replies_.back().outcome)));
  }

  bool IsClosed(ConnectionId connection) const {
    return upstream_of_.count(connection) == 0;
  }

  void Begin() { context_.Begin(now_, &effects_); }

  void Run(Duration time) {
    TimePoint end = now_ + time;
    while (now_ < end) {
      Perform();
      now_ = now_ + Duration::Millis(1);
      Begin();
      owner_.SetListTime(now_);
      owner_.OnWake(&context_);
    }
    Perform();
  }

  // Answers what the last events caused; the answers may cause more.
  void Perform() {
    while (!effects_.empty()) {
      ProxyEffects effects;
      effects.swap(effects_);
      for (const ProxyEffect& effect : effects) {
        if (const auto* open = std::get_if<OpenUpstream>(&effect)) {
          upstream_of_[open->connection] = open->upstream;
          Begin();
          owner_.OnOpened(UpstreamOpened{open->connection, LogPosition()},
                          &context_);
        } else if (const auto* close = std::get_if<CloseUpstream>(&effect)) {
          upstream_of_.erase(close->connection);
        } else if (const auto* send = std::get_if<SendUpstream>(&effect)) {
          for (const UpstreamCommand& command : send->commands) {
            Execute(send->connection, command);
          }
        }
      }
    }
  }

  void Execute(ConnectionId connection, const UpstreamCommand& command) {
    if (upstream_of_.count(connection) == 0) return;
    UpstreamAnswer answer;
    answer.position = LogPosition{kTerm, 1};
    TransactionState& state = states_[connection];
    switch (command.kind) {
      case CommandKind::kVerbatim:
      case CommandKind::kExecute:
        sent_.push_back(Sent{connection, command});
        return;
      case CommandKind::kBegin:
      case CommandKind::kBeginReadOnly:
        state = TransactionState::kOpen;
        break;
      case CommandKind::kRollback:
        state = TransactionState::kNone;
        rollbacks_[connection]++;
        break;
      case CommandKind::kReset:
        resets_++;
        break;
      case CommandKind::kSetValue:
        values_[connection] = command.arguments;
        break;
      case CommandKind::kPrepare:
        break;
      default:
        answer.has_status = true;
        answer.status.is_primary = upstream_of_[connection] == kPrimary;
        answer.status.term = kTerm;
        answer.status.received = answer.position;
    }
    answer.state = state;
    Begin();
    owner_.OnAnswered(UpstreamAnswered{connection, answer}, &context_);
  }

  void OnStatementDone(const WorkOrigin& origin,
                       StatementReply reply) override {
    (void)origin;
    replies_.push_back(std::move(reply));
  }

  static GroupSpec Spec() {
    GroupSpec spec;
    spec.id = GroupId("ledger");
    spec.max_connections = 16;
    return spec;
  }

  TimePoint now_ = TimePoint::FromMillis(1000);
  ProxyContext context_{VmId("vm-0"), 1, 1};
  ProxyEffects effects_;
  GroupOwner owner_{Spec(), this};
  std::map<ConnectionId, UpstreamId> upstream_of_;  // Open connections.
  std::map<ConnectionId, TransactionState> states_;
  std::map<ConnectionId, int> rollbacks_;
  std::map<ConnectionId, std::string> values_;  // Of the only name.
  int resets_ = 0;
  std::set<uint64_t> opened_;
  std::vector<Sent> sent_;
  std::vector<StatementReply> replies_;
  int last_id_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(GroupOwnerTest);

}  // namespace
}  // namespace fireflycart::proxy
