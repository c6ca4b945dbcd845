// Tests of which peers are asked for newer data, and when.

#include "fireflycart/core/proxy/snapshot_inquiry.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace fireflycart::proxy {
namespace {

constexpr TimePoint kStart = TimePoint::FromMillis(1000);

class SnapshotInquiryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SnapshotInquiryTest);
  CPPUNIT_TEST(PeerAhead_Heard_IsAsked);
  CPPUNIT_TEST(PeerNotAhead_Heard_IsNotAsked);
  CPPUNIT_TEST(Peer_DoesNotAnswer_NextIsAskedBeforeTheTimeout);
  CPPUNIT_TEST(Peer_FailsAtOnce_NextIsAskedAtOnce);
  CPPUNIT_TEST(Peer_HasOpenCall_IsNotAskedTwice);
  CPPUNIT_TEST(ManyPeers_DoNotAnswer_OpenCallsAreLimited);
  CPPUNIT_TEST(Data_Arrived_OthersAreNotAsked);
  CPPUNIT_TEST_SUITE_END();

 public:
  void PeerAhead_Heard_IsAsked() {
    Hear("a", 2);
    Ask(1);
    ExpectAsked({"a"});
  }

  void PeerNotAhead_Heard_IsNotAsked() {
    Hear("a", 2);
    Ask(2);
    ExpectAsked({});
  }

  void Peer_DoesNotAnswer_NextIsAskedBeforeTheTimeout() {
    Hear("a", 2);
    Ask(1);
    Hear("b", 2);
    Ask(1);
    ExpectAsked({"a"});
    Pass(SnapshotInquiry::kPatience);
    Ask(1);
    ExpectAsked({"a", "b"});
  }

  void Peer_FailsAtOnce_NextIsAskedAtOnce() {
    Hear("a", 2);
    Hear("b", 2);
    Ask(1);
    ExpectAsked({"b"});
    CPPUNIT_ASSERT(Reply(0, PeerCallError::kNotSent));
    CPPUNIT_ASSERT(!inquiry_.answer().has_reply);
    Ask(1);
    ExpectAsked({"b", "a"});
  }

  void Peer_HasOpenCall_IsNotAskedTwice() {
    Hear("a", 2);
    Ask(1);
    Hear("a", 3);
    Pass(SnapshotInquiry::kPatience);
    Ask(1);
    ExpectAsked({"a"});
    CPPUNIT_ASSERT(Reply(0, PeerCallError::kBroken));
    Ask(1);
    ExpectAsked({"a", "a"});
  }

  void ManyPeers_DoNotAnswer_OpenCallsAreLimited() {
    for (const char* peer : {"a", "b", "c", "d", "e"}) Hear(peer, 2);
    for (int i = 0; i < 5; i++) {
      Ask(1);
      Pass(SnapshotInquiry::kPatience);
    }
    ExpectAsked({"e", "d", "c"});
  }

  void Data_Arrived_OthersAreNotAsked() {
    Hear("a", 2);
    Hear("b", 2);
    Ask(1);
    CPPUNIT_ASSERT(Reply(0, PeerCallError::kNone));
    CPPUNIT_ASSERT(inquiry_.answer().has_reply);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), inquiry_.answer().peer.value());
    Ask(2);
    ExpectAsked({"b"});
  }

 private:
  void Hear(const std::string& peer, uint64_t routes) {
    KnownVersions versions;
    versions.routes = routes;
    inquiry_.OnPeerAhead(VmId(peer), "10.0.0.1:1", versions);
  }

  void Ask(uint64_t routes) {
    KnownVersions known;
    known.routes = routes;
    ProxyEffects effects;
    context_.Begin(now_, &effects);
    inquiry_.Ask(known, &context_);
    for (const ProxyEffect& effect : effects) {
      if (const auto* call = std::get_if<CallPeer>(&effect)) {
        calls_.push_back(*call);
      }
    }
  }

  bool Reply(size_t call, PeerCallError error) {
    PeerReplied reply{calls_[call].call, error, PeerReplyBody()};
    if (error == PeerCallError::kNone) reply.body = SnapshotReply();
    return inquiry_.OnReply(reply);
  }

  void Pass(Duration time) { now_ = now_ + time; }

  void ExpectAsked(const std::vector<std::string>& peers) {
    std::vector<std::string> asked;
    asked.reserve(calls_.size());
    for (const CallPeer& call : calls_) asked.push_back(call.to.value());
    CPPUNIT_ASSERT(peers == asked);
  }

  TimePoint now_ = kStart;
  ProxyContext context_{VmId("self"), 1, 7};
  SnapshotInquiry inquiry_;
  std::vector<CallPeer> calls_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SnapshotInquiryTest);

}  // namespace
}  // namespace fireflycart::proxy
