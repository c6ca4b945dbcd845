// Tests of what a reply of a group's owner, or its loss, means for the
// statement and for the VM.

#include "fireflycart/core/proxy/forwarder.h"

#include <cppunit/extensions/HelperMacros.h>

namespace fireflycart::proxy {
namespace {

const VmId kOwner("vm-1");
const SessionNumber kSession(4);

class ForwarderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ForwarderTest);
  CPPUNIT_TEST(Reply_Misdirected_IsRetriedAndVmIsNotLost);
  CPPUNIT_TEST(Reply_CallOfWriteBroken_OutcomeIsUnknownAndVmIsLost);
  CPPUNIT_TEST(Reply_CallOfTransactionsWriteBroken_OutcomeIsUnknown);
  CPPUNIT_TEST(Reply_CallOfTransactionsWriteNotSent_IsAborted);
  CPPUNIT_TEST(Reply_CallOfTransactionsReadBroken_IsAborted);
  CPPUNIT_TEST(Reply_CallOfFirstWriteBroken_IsNotRepeated);
  CPPUNIT_TEST(Reply_CallOfFirstWriteNotSent_IsRepeated);
  CPPUNIT_TEST(Reply_CallOfFirstReadBroken_IsRepeated);
  CPPUNIT_TEST(Reply_CallOfEmptyTransactionsCommitBroken_IsRepeated);
  CPPUNIT_TEST(Reply_OfReaderThatDidNotServe_IsSentToOwner);
  CPPUNIT_TEST(Reply_CallOfReaderBroken_IsSentToOwner);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    context_.Begin(TimePoint::FromMillis(1000), &effects_);
    StatementCall call;
    call.access = Access::kWrite;
    call.time_left = Duration::Millis(800);
    forwarder_.Send(kSession, call, kOwner, "address", &context_);
    call_ = std::get<CallPeer>(effects_.back()).call;
  }

  void Reply_Misdirected_IsRetriedAndVmIsNotLost() {
    StatementReply reply;
    reply.is_misdirected = true;
    Forwarder::Result result = forwarder_.OnReply(
        PeerReplied{call_, PeerCallError::kNone, reply}, &context_);
    CPPUNIT_ASSERT(result.action == Forwarder::Action::kRetry);
    CPPUNIT_ASSERT(result.is_misdirected);
    CPPUNIT_ASSERT(!result.has_call_failed);
    CPPUNIT_ASSERT_EQUAL(kOwner, result.vm);
  }

  void Reply_CallOfWriteBroken_OutcomeIsUnknownAndVmIsLost() {
    Forwarder::Result result = forwarder_.OnReply(
        PeerReplied{call_, PeerCallError::kBroken, PeerReplyBody()}, &context_);
    CPPUNIT_ASSERT(result.action == Forwarder::Action::kAnswer);
    CPPUNIT_ASSERT(result.reply.outcome == Outcome::kUnknown);
    CPPUNIT_ASSERT(result.has_call_failed);
  }

  // The upstream may have ended the transaction, so that the write ran alone.
  void Reply_CallOfTransactionsWriteBroken_OutcomeIsUnknown() {
    Forwarder::Result result =
        LoseCallInTransaction(Access::kWrite, false, PeerCallError::kBroken);
    CPPUNIT_ASSERT(result.action == Forwarder::Action::kAnswer);
    CPPUNIT_ASSERT(result.reply.outcome == Outcome::kUnknown);
  }

  void Reply_CallOfTransactionsWriteNotSent_IsAborted() {
    Forwarder::Result result =
        LoseCallInTransaction(Access::kWrite, false, PeerCallError::kNotSent);
    CPPUNIT_ASSERT(result.action == Forwarder::Action::kAnswer);
    CPPUNIT_ASSERT(result.reply.outcome == Outcome::kAborted);
  }

  void Reply_CallOfTransactionsReadBroken_IsAborted() {
    Forwarder::Result result =
        LoseCallInTransaction(Access::kRead, false, PeerCallError::kBroken);
    CPPUNIT_ASSERT(result.action == Forwarder::Action::kAnswer);
    CPPUNIT_ASSERT(result.reply.outcome == Outcome::kAborted);
  }

  // It would be written twice if it has run alone.
  void Reply_CallOfFirstWriteBroken_IsNotRepeated() {
    Forwarder::Result result =
        LoseCallInTransaction(Access::kWrite, true, PeerCallError::kBroken);
    CPPUNIT_ASSERT(result.action == Forwarder::Action::kAnswer);
    CPPUNIT_ASSERT(result.reply.outcome == Outcome::kUnknown);
  }

  void Reply_CallOfFirstWriteNotSent_IsRepeated() {
    Forwarder::Result result =
        LoseCallInTransaction(Access::kWrite, true, PeerCallError::kNotSent);
    CPPUNIT_ASSERT(result.action == Forwarder::Action::kRetry);
  }

  void Reply_CallOfFirstReadBroken_IsRepeated() {
    Forwarder::Result result =
        LoseCallInTransaction(Access::kRead, true, PeerCallError::kBroken);
    CPPUNIT_ASSERT(result.action == Forwarder::Action::kRetry);
  }

  // There is nothing that it could have committed.
  void Reply_CallOfEmptyTransactionsCommitBroken_IsRepeated() {
    Forwarder::Result result =
        LoseCallInTransaction(Access::kCommit, true, PeerCallError::kBroken);
    CPPUNIT_ASSERT(result.action == Forwarder::Action::kRetry);
    result =
        LoseCallInTransaction(Access::kCommit, false, PeerCallError::kBroken);
    CPPUNIT_ASSERT(result.action == Forwarder::Action::kAnswer);
    CPPUNIT_ASSERT(result.reply.outcome == Outcome::kUnknown);
  }

  void Reply_OfReaderThatDidNotServe_IsSentToOwner() {
    SendToReader();
    context_.Begin(TimePoint::FromMillis(1030), &effects_);
    StatementReply reply;
    reply.is_for_owner = true;
    Forwarder::Result result = forwarder_.OnReply(
        PeerReplied{call_, PeerCallError::kNone, reply}, &context_);
    CPPUNIT_ASSERT(result.action == Forwarder::Action::kRetry);
    CPPUNIT_ASSERT(!result.has_call_failed);
    CPPUNIT_ASSERT(!result.is_misdirected);
    CPPUNIT_ASSERT(!result.call.at_reader);
    CPPUNIT_ASSERT(result.call.time_left == Duration::Millis(770));
    CPPUNIT_ASSERT_EQUAL(kOwner, result.vm);
  }

  void Reply_CallOfReaderBroken_IsSentToOwner() {
    SendToReader();
    Forwarder::Result result = forwarder_.OnReply(
        PeerReplied{call_, PeerCallError::kBroken, PeerReplyBody()}, &context_);
    CPPUNIT_ASSERT(result.action == Forwarder::Action::kRetry);
    CPPUNIT_ASSERT(result.has_call_failed);
    CPPUNIT_ASSERT(!result.call.at_reader);
  }

 private:
  Forwarder::Result LoseCallInTransaction(Access access, bool opens,
                                          PeerCallError error) {
    StatementCall call;
    call.transaction = TransactionKind::kReadWrite;
    call.opens_transaction = opens;
    call.access = access;
    call.time_left = Duration::Millis(800);
    forwarder_.Send(kSession, call, kOwner, "address", &context_);
    call_ = std::get<CallPeer>(effects_.back()).call;
    return forwarder_.OnReply(PeerReplied{call_, error, PeerReplyBody()},
                              &context_);
  }

  void SendToReader() {
    StatementCall call;
    call.access = Access::kRead;
    call.time_left = Duration::Millis(800);
    call.at_reader = true;
    forwarder_.Send(kSession, call, kOwner, "address", &context_);
    call_ = std::get<CallPeer>(effects_.back()).call;
  }

  ProxyContext context_{VmId("vm-0"), 1, 1};
  ProxyEffects effects_;
  Forwarder forwarder_;
  CallId call_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwarderTest);

}  // namespace
}  // namespace fireflycart::proxy
