// Tests that messages keep the store's eras, and that processes of an earlier
// version, which know no eras, are understood and understand.

#include "fireflycart/net/proxy_codec.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace fireflycart::proxy {
namespace {

const StoreEra kEra(3);
// Fields of messages of the earlier version.
constexpr size_t kEarlierKnownFields = 3;
constexpr size_t kEarlierHeartbeatFields = 6;
constexpr size_t kEarlierUpstreamListFields = 2;
constexpr size_t kEarlierVmListFields = 3;
constexpr size_t kEarlierVmFields = 6;

void Shorten(Json* json, size_t size) {
  while (json->size() > size) json->erase(json->size() - 1);
}

class ProxyCodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProxyCodecTest);
  CPPUNIT_TEST(Heartbeat_Decoded_HasEras);
  CPPUNIT_TEST(Heartbeat_OfEarlierVersion_TellsNoEra);
  CPPUNIT_TEST(Heartbeat_Decoded_HasUpstreamAges);
  CPPUNIT_TEST(Snapshot_Decoded_HasEras);
  CPPUNIT_TEST(Snapshot_OfEarlierVersion_HasEraZero);
  CPPUNIT_TEST(Snapshot_ForEarlierVersion_HasNumbersInTheirPlaces);
  CPPUNIT_TEST(Statement_ForReader_IsDecoded);
  CPPUNIT_TEST(Statement_OfEarlierVersion_IsForOwner);
  CPPUNIT_TEST(Reply_OfReader_IsDecoded);
  CPPUNIT_TEST(Evidence_Decoded_HasAllFields);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Heartbeat_Decoded_HasEras() {
    HeartbeatCall call;
    FromJson(ToJson(MakeHeartbeat()), &call);
    CPPUNIT_ASSERT(call.heartbeat.tells_era);
    CPPUNIT_ASSERT(call.heartbeat.era == kEra);
    CPPUNIT_ASSERT(call.heartbeat.known.upstreams == (StoreVersion{kEra, 40}));
    CPPUNIT_ASSERT(call.heartbeat.known.vms == (StoreVersion{kEra, 41}));
  }

  void Heartbeat_OfEarlierVersion_TellsNoEra() {
    Json json = ToJson(MakeHeartbeat());
    Shorten(&json[0], kEarlierKnownFields);
    Shorten(&json, kEarlierHeartbeatFields);
    HeartbeatCall call;
    FromJson(json, &call);
    CPPUNIT_ASSERT(!call.heartbeat.tells_era);
    CPPUNIT_ASSERT(call.heartbeat.era == StoreEra());
    CPPUNIT_ASSERT(call.heartbeat.known.upstreams ==
                   (StoreVersion{StoreEra(), 40}));
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:7"), call.heartbeat.address);
  }

  void Heartbeat_Decoded_HasUpstreamAges() {
    HeartbeatCall sent = MakeHeartbeat();
    sent.heartbeat.upstream_ages = {
        UpstreamAge{UpstreamId("up-a"), 50, Duration::Millis(900), {}},
        UpstreamAge{UpstreamId("up-b"), 60, {}, Duration::Millis(70)}};
    HeartbeatCall call;
    FromJson(ToJson(sent), &call);
    const std::vector<UpstreamAge>& ages = call.heartbeat.upstream_ages;
    CPPUNIT_ASSERT_EQUAL(size_t{2}, ages.size());
    CPPUNIT_ASSERT(ages[0].id == UpstreamId("up-a"));
    CPPUNIT_ASSERT_EQUAL(int64_t{50}, ages[0].started_ms);
    CPPUNIT_ASSERT(ages[0].known_for == Duration::Millis(900));
    CPPUNIT_ASSERT(!ages[0].leaving_for);
    CPPUNIT_ASSERT(!ages[1].known_for);
    CPPUNIT_ASSERT(ages[1].leaving_for == Duration::Millis(70));
  }

  void Snapshot_Decoded_HasEras() {
    SnapshotReply reply;
    FromJson(ToJson(MakeSnapshot()), &reply);
    CPPUNIT_ASSERT(reply.upstreams.version == (StoreVersion{kEra, 40}));
    CPPUNIT_ASSERT(reply.vms.version == (StoreVersion{kEra, 41}));
    CPPUNIT_ASSERT(reply.vms.after == (StoreVersion{kEra, 38}));
    CPPUNIT_ASSERT(reply.vms.records.at(VmId("vm-1")).version ==
                   (StoreVersion{kEra, 39}));
  }

  void Snapshot_OfEarlierVersion_HasEraZero() {
    Json json = ToJson(MakeSnapshot());
    Shorten(&json[1], kEarlierUpstreamListFields);
    Shorten(&json[2][2][0], kEarlierVmFields);
    Shorten(&json[2], kEarlierVmListFields);
    SnapshotReply reply;
    FromJson(json, &reply);
    CPPUNIT_ASSERT(reply.upstreams.version == (StoreVersion{StoreEra(), 40}));
    CPPUNIT_ASSERT(reply.vms.after == (StoreVersion{StoreEra(), 38}));
    CPPUNIT_ASSERT(reply.vms.records.at(VmId("vm-1")).version ==
                   (StoreVersion{StoreEra(), 39}));
  }

  void Snapshot_ForEarlierVersion_HasNumbersInTheirPlaces() {
    Json json = ToJson(MakeSnapshot());
    CPPUNIT_ASSERT_EQUAL(uint64_t{40}, json[1][0].get<uint64_t>());
    CPPUNIT_ASSERT_EQUAL(uint64_t{41}, json[2][0].get<uint64_t>());
    CPPUNIT_ASSERT_EQUAL(uint64_t{38}, json[2][1].get<uint64_t>());
    const Json& vm = json[2][2][0];
    CPPUNIT_ASSERT_EQUAL(uint64_t{39},
                         vm[kEarlierVmFields - 1].get<uint64_t>());
  }

  void Statement_ForReader_IsDecoded() {
    StatementCall sent;
    sent.at_reader = true;
    sent.tenant = TenantId("t");
    StatementCall call;
    FromJson(ToJson(sent), &call);
    CPPUNIT_ASSERT(call.at_reader);
    CPPUNIT_ASSERT_EQUAL(std::string("t"), call.tenant.value());
  }

  void Statement_OfEarlierVersion_IsForOwner() {
    StatementCall sent;
    sent.at_reader = true;
    Json json = ToJson(sent);
    Shorten(&json, json.size() - 1);
    StatementCall call;
    FromJson(json, &call);
    CPPUNIT_ASSERT(!call.at_reader);
  }

  void Reply_OfReader_IsDecoded() {
    StatementReply sent;
    sent.is_for_owner = true;
    Json json = ToJson(sent);
    StatementReply reply;
    FromJson(json, &reply);
    CPPUNIT_ASSERT(reply.is_for_owner);
    Shorten(&json, json.size() - 1);
    StatementReply earlier;
    FromJson(json, &earlier);
    CPPUNIT_ASSERT(!earlier.is_for_owner);
  }

  void Evidence_Decoded_HasAllFields() {
    EvidenceCall call;
    FromJson(ToJson(EvidenceCall{GroupId("ledger")}), &call);
    CPPUNIT_ASSERT_EQUAL(std::string("ledger"), call.group.value());
    EvidenceReply sent;
    sent.is_known = true;
    sent.position = LogPosition{3, 40};
    sent.age = Duration::Millis(12);
    sent.read_wait = Duration::Millis(7);
    sent.read_service = Duration::Millis(31);
    EvidenceReply reply;
    FromJson(ToJson(sent), &reply);
    CPPUNIT_ASSERT(reply.is_known);
    CPPUNIT_ASSERT(reply.position == sent.position);
    CPPUNIT_ASSERT(reply.age == sent.age);
    CPPUNIT_ASSERT(reply.read_wait == sent.read_wait);
    CPPUNIT_ASSERT(reply.read_service == sent.read_service);
  }

 private:
  static HeartbeatCall MakeHeartbeat() {
    HeartbeatCall call;
    call.heartbeat.known.upstreams = {kEra, 40};
    call.heartbeat.known.vms = {kEra, 41};
    call.heartbeat.address = "10.0.0.1:7";
    call.heartbeat.era = kEra;
    return call;
  }

  static SnapshotReply MakeSnapshot() {
    SnapshotReply reply;
    reply.upstreams.version = {kEra, 40};
    reply.vms.version = {kEra, 41};
    reply.vms.after = {kEra, 38};
    VmRecord record;
    record.vm = VmId("vm-1");
    record.version = {kEra, 39};
    reply.vms.records[record.vm] = record;
    return reply;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProxyCodecTest);

}  // namespace
}  // namespace fireflycart::proxy
