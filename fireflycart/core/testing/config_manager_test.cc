// Tests that the configuration in force is fetched, checked against its digest
// and never replaced by an older version.

#include "fireflycart/core/config_manager.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "fireflycart/core/error.h"

namespace fireflycart {
namespace {

std::string Document(int target_ms) {
  return ParseConfiguration(
             R"({"ranks":[{"name":"a","target_ms":)" +
             std::to_string(target_ms) +
             R"(}],"kinds":[{"name":"k","rank":"a","deadline_ms":5}],)"
             R"("groups":[{"name":"g","upstreams":[{"name":"u","address":)"
             R"("127.0.0.1:1","data_centre":"d","slots":1,"connections":9}]}]})")
      .canonical;
}

class ConfigManagerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigManagerTest);
  CPPUNIT_TEST(Install_OlderDocumentArrivesLate_NewerStays);
  CPPUNIT_TEST(Fetch_StepsFromPeer_Applied);
  CPPUNIT_TEST(Fetch_DigestDiffers_NotInstalled);
  CPPUNIT_TEST(AnswerFetch_FarBehind_WholeDocument);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { Begin(); }

  void Install_OlderDocumentArrivesLate_NewerStays() {
    manager_.OnTick(true, &context_);
    ConfigPointer pointer;
    pointer.version = ConfigVersion(2);
    pointer.digest = ConfigurationDigest(Document(2));
    PlatformReply row;
    row.code = PlatformCode::kOk;
    row.rows.push_back(Row{"config/current", EncodeConfigPointer(pointer), 1});
    manager_.OnPlatformReplied(PlatformReplied{LastCall(), row}, &context_);
    CallId document_call = LastCall();
    FetchFromPeer(3);
    PlatformReply body;
    body.code = PlatformCode::kOk;
    body.body = Document(2);
    manager_.OnPlatformReplied(PlatformReplied{document_call, body}, &context_);
    CPPUNIT_ASSERT_EQUAL(ConfigVersion(3), manager_.version());
    CPPUNIT_ASSERT_EQUAL(Document(3), manager_.document());
  }

  void Fetch_StepsFromPeer_Applied() {
    FetchFromPeer(1);
    ConfigFetchReply reply;
    reply.version = ConfigVersion(2);
    reply.digest = ConfigurationDigest(Document(2));
    reply.steps.push_back(ConfigStep{
        ConfigVersion(2), ConfigurationDifference(Document(1), Document(2)),
        reply.digest});
    Fetch(2, reply);
    CPPUNIT_ASSERT_EQUAL(Document(2), manager_.document());
    ConfigFetchReply answer =
        manager_.AnswerFetch(ConfigFetchCall{ConfigVersion(1)});
    CPPUNIT_ASSERT_EQUAL(size_t{1}, answer.steps.size());
    CPPUNIT_ASSERT(answer.document.empty());
  }

  void Fetch_DigestDiffers_NotInstalled() {
    ConfigFetchReply reply;
    reply.version = ConfigVersion(1);
    reply.digest = "wrong";
    reply.document = Document(1);
    Fetch(1, reply);
    CPPUNIT_ASSERT_EQUAL(ConfigVersion(0), manager_.version());
  }

  void AnswerFetch_FarBehind_WholeDocument() {
    FetchFromPeer(5);
    ConfigFetchReply answer =
        manager_.AnswerFetch(ConfigFetchCall{ConfigVersion(1)});
    CPPUNIT_ASSERT_EQUAL(Document(5), answer.document);
  }

 private:
  void Begin() {
    now_ = now_ + Duration::Seconds(2);
    context_.Begin(now_, &effects_);
  }

  // Id of the last emitted call.
  CallId LastCall() const {
    CallId last;
    for (const Effect& effect : effects_) {
      if (const auto* call = std::get_if<CallPlatform>(&effect)) {
        last = call->call;
      }
      if (const auto* call = std::get_if<CallPeer>(&effect)) last = call->call;
    }
    return last;
  }

  void Fetch(uint64_t version, const ConfigFetchReply& reply) {
    Begin();
    manager_.OnPeerVersion(VmId("peer"), "address", ConfigVersion(version),
                           &context_);
    manager_.OnPeerReplied(PeerReplied{LastCall(), PeerCallError::kNone, reply},
                           &context_);
  }

  void FetchFromPeer(int version) {
    ConfigFetchReply reply;
    reply.version = ConfigVersion(static_cast<uint64_t>(version));
    reply.digest = ConfigurationDigest(Document(version));
    reply.document = Document(version);
    Fetch(reply.version.value(), reply);
  }

  Context context_{VmId("self"), Options(), 1};
  Effects effects_;
  TimePoint now_;
  ConfigManager manager_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigManagerTest);

}  // namespace
}  // namespace fireflycart
