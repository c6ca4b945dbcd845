// Tests that messages keep the store's eras, and that processes of an earlier
// version, which know no eras, are understood and understand.

#include "fireflycart/net/proxy_codec.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "fireflycart/core/error.h"
#include "fireflycart/net/peer_codec.h"

namespace fireflycart::proxy {
namespace {

const StoreEra kEra(3);
// Fields of messages of the earlier version.
constexpr size_t kEarlierKnownFields = 3;
constexpr size_t kEarlierHeartbeatFields = 6;
constexpr size_t kEarlierUpstreamListFields = 2;
constexpr size_t kEarlierVmListFields = 3;
constexpr size_t kEarlierVmFields = 6;
constexpr size_t kEarlierRouteTableFields = 4;
constexpr size_t kEarlierStatementFields = 18;
constexpr size_t kTenantsField = 5;
constexpr char kKey[] = "rbn4ryrbbkf83fgfwrz5";

void Shorten(Json* json, size_t size) {
  while (json->size() > size) json->erase(json->size() - 1);
}

class ProxyCodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProxyCodecTest);
  CPPUNIT_TEST(Heartbeat_Decoded_HasEras);
  CPPUNIT_TEST(Heartbeat_OfEarlierVersion_TellsNoEra);
  CPPUNIT_TEST(Heartbeat_Decoded_HasUpstreamAges);
  CPPUNIT_TEST(Heartbeat_WithOrWithoutRoutesAge_HasNumberOfStoresAnswer);
  CPPUNIT_TEST(Snapshot_Decoded_HasEras);
  CPPUNIT_TEST(Snapshot_OfEarlierVersion_HasEraZero);
  CPPUNIT_TEST(Snapshot_ForEarlierVersion_HasNumbersInTheirPlaces);
  CPPUNIT_TEST(Snapshot_WithTenants_DecodedEqual);
  CPPUNIT_TEST(Snapshot_OfVersionWithoutTenants_HasNone);
  CPPUNIT_TEST(Snapshot_OddTenants_Refused);
  CPPUNIT_TEST(RoutesAge_InAnyMessage_DecodedOrMissing);
  CPPUNIT_TEST(Tokens_CallAndReply_DecodedEqual);
  CPPUNIT_TEST(Tokens_OddLenderState_Refused);
  CPPUNIT_TEST(Statement_OfTenant_DecodedWithTenant);
  CPPUNIT_TEST(Statement_OfVersionWithoutTenants_HasNone);
  CPPUNIT_TEST(Statement_ForReader_IsDecoded);
  CPPUNIT_TEST(Statement_OfEarlierVersion_IsForOwner);
  CPPUNIT_TEST(Statement_OddTexts_DecodedAsSent);
  CPPUNIT_TEST(Statement_TextWithLineEnd_IsRefused);
  CPPUNIT_TEST(Statement_NameWithBlank_IsRefused);
  CPPUNIT_TEST(Reply_OfReader_IsDecoded);
  CPPUNIT_TEST(Reply_RowWithLineEnd_IsRefused);
  CPPUNIT_TEST(Snapshot_NameWithLineEnd_IsRefused);
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

  void Heartbeat_WithOrWithoutRoutesAge_HasNumberOfStoresAnswer() {
    HeartbeatCall sent = MakeHeartbeat();
    sent.heartbeat.store_answer = 77;
    for (bool has_routes_age : {false, true}) {
      sent.heartbeat.routes_age.reset();
      if (has_routes_age) sent.heartbeat.routes_age = Duration::Millis(300);
      HeartbeatCall call;
      FromJson(ToJson(sent), &call);
      CPPUNIT_ASSERT_EQUAL(uint64_t{77}, call.heartbeat.store_answer);
      CPPUNIT_ASSERT_EQUAL(has_routes_age,
                           call.heartbeat.routes_age.has_value());
    }
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

  void Snapshot_WithTenants_DecodedEqual() {
    Json json = ToJson(MakeTenants());
    CPPUNIT_ASSERT(json.dump().find(kKey) == std::string::npos);
    SnapshotReply reply;
    FromJson(json, &reply);
    CPPUNIT_ASSERT(reply.routes.has_tenants);
    CPPUNIT_ASSERT(reply.routes.routes.at("notices").is_public);
    const TenantDirectory& tenants = reply.routes.tenants;
    CPPUNIT_ASSERT(tenants.tenants() == MakeTenants().routes.tenants.tenants());
    CPPUNIT_ASSERT(tenants.keys() == MakeTenants().routes.tenants.keys());
    const TenantSpec* acme = tenants.FindByKey(KeyDigest::Of(kKey));
    CPPUNIT_ASSERT(acme != nullptr);
    CPPUNIT_ASSERT_EQUAL(TenantId("acme"), acme->id);
    CPPUNIT_ASSERT_EQUAL(2.5, acme->rate_per_s);
  }

  void Snapshot_OfVersionWithoutTenants_HasNone() {
    Json json = ToJson(MakeTenants());
    Shorten(&json[0], kEarlierRouteTableFields);
    SnapshotReply reply;
    FromJson(json, &reply);
    CPPUNIT_ASSERT_EQUAL(uint64_t{7}, reply.routes.version);
    CPPUNIT_ASSERT(!reply.routes.has_tenants);
  }

  void Snapshot_OddTenants_Refused() {
    Json tenants = ToJson(MakeTenants())[0][kTenantsField];
    Json twice = tenants;
    twice.push_back(tenants[0]);
    Json no_digest = tenants;
    no_digest[0].back()[0] = kKey;
    for (const Json& odd : {twice, no_digest}) {
      Json json = ToJson(MakeTenants());
      json[0][kTenantsField] = odd;
      SnapshotReply reply;
      try {
        FromJson(json, &reply);
        CPPUNIT_FAIL("not refused: " + odd.dump());
      } catch (const Error& e) {
        CPPUNIT_ASSERT(std::string(e.what()).find(kKey) == std::string::npos);
      }
    }
  }

  void RoutesAge_InAnyMessage_DecodedOrMissing() {
    HeartbeatCall heartbeat = MakeHeartbeat();
    SnapshotReply snapshot = MakeSnapshot();
    RoutesAgeReply reply{7, std::nullopt};
    for (std::optional<Duration> age :
         {std::optional<Duration>(), std::optional(Duration::Millis(40))}) {
      heartbeat.heartbeat.routes_age = age;
      snapshot.routes_age = age;
      reply.age = age;
      HeartbeatCall decoded_heartbeat;
      FromJson(ToJson(heartbeat), &decoded_heartbeat);
      CPPUNIT_ASSERT(decoded_heartbeat.heartbeat.routes_age == age);
      SnapshotReply decoded_snapshot;
      FromJson(ToJson(snapshot), &decoded_snapshot);
      CPPUNIT_ASSERT(decoded_snapshot.routes_age == age);
      RoutesAgeReply decoded;
      FromJson(ToJson(reply), &decoded);
      CPPUNIT_ASSERT(decoded.age == age);
      CPPUNIT_ASSERT_EQUAL(uint64_t{7}, decoded.routes);
    }
  }

  void Tokens_CallAndReply_DecodedEqual() {
    TokensCall call;
    call.groups = {GroupId("a"), GroupId("b")};
    call.wishes = {TokenWish{TenantId("acme"), 3, 2}};
    call.voting_for = Duration::Millis(700);
    TokensCall decoded;
    FromJson(ToJson(call), &decoded);
    CPPUNIT_ASSERT(decoded.voting_for == call.voting_for);
    CPPUNIT_ASSERT(decoded.groups == call.groups);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, decoded.wishes.size());
    CPPUNIT_ASSERT_EQUAL(TenantId("acme"), decoded.wishes[0].tenant);
    CPPUNIT_ASSERT_EQUAL(int64_t{3}, decoded.wishes[0].wanted);
    CPPUNIT_ASSERT_EQUAL(int64_t{2}, decoded.wishes[0].returned);
    TokensReply reply;
    reply.state = LenderState::kLending;
    reply.grants = {
        TokenGrant{TenantId("acme"), 4, Duration::Millis(50), 1500}};
    reply.own_share = 250;
    TokensReply decoded_reply;
    FromJson(ToJson(reply), &decoded_reply);
    CPPUNIT_ASSERT_EQUAL(int64_t{250}, decoded_reply.own_share);
    CPPUNIT_ASSERT(decoded_reply.state == LenderState::kLending);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, decoded_reply.grants.size());
    const TokenGrant& grant = decoded_reply.grants[0];
    CPPUNIT_ASSERT_EQUAL(TenantId("acme"), grant.tenant);
    CPPUNIT_ASSERT_EQUAL(int64_t{4}, grant.tokens);
    CPPUNIT_ASSERT(grant.retry_after == Duration::Millis(50));
    CPPUNIT_ASSERT_EQUAL(int64_t{1500}, grant.remembered_rate);
  }

  void Tokens_OddLenderState_Refused() {
    Json json = ToJson(TokensReply());
    json[0] = kLenderStates;
    TokensReply reply;
    CPPUNIT_ASSERT_THROW(FromJson(json, &reply), Error);
  }

  void Statement_OfTenant_DecodedWithTenant() {
    StatementCall call;
    call.tenant = TenantId("acme");
    StatementCall decoded;
    FromJson(ToJson(call), &decoded);
    CPPUNIT_ASSERT_EQUAL(TenantId("acme"), decoded.tenant);
  }

  void Statement_OfVersionWithoutTenants_HasNone() {
    StatementCall call;
    call.tenant = TenantId("acme");
    Json json = ToJson(call);
    Shorten(&json, kEarlierStatementFields);
    StatementCall decoded;
    FromJson(json, &decoded);
    CPPUNIT_ASSERT_EQUAL(TenantId(), decoded.tenant);
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

  void Statement_OddTexts_DecodedAsSent() {
    const std::string odd = "\xe4\xff\x1b\t \"\\ \xc3\xa4 ";
    StatementCall sent;
    sent.id = StatementId("\xe4");
    sent.text = odd + std::string(size_t{1} << 20, 'x');
    sent.prepared.shape = odd;
    sent.values = {{"\xe4", odd}, {"b", ""}};
    PeerCallBody body =
        DecodePeerCall(EncodePeerCall(PeerCallBody(sent)), "vm-2");
    const auto& call = std::get<StatementCall>(body);
    CPPUNIT_ASSERT(call.id == sent.id);
    CPPUNIT_ASSERT(call.text == sent.text);
    CPPUNIT_ASSERT_EQUAL(odd, call.prepared.shape);
    CPPUNIT_ASSERT(call.values == sent.values);
  }

  // The receiver would send what follows the line end as a command of its own.
  void Statement_TextWithLineEnd_IsRefused() {
    for (const std::string& odd : LineEnds()) {
      std::vector<StatementCall> calls(4);
      calls[0].text = "READ a" + odd;
      calls[1].prepared.shape = "a" + odd;
      calls[2].values["a"] = "b" + odd;
      calls[3].id = StatementId("a" + odd);
      for (const StatementCall& call : calls) {
        StatementCall decoded;
        CPPUNIT_ASSERT_THROW(FromJson(ToJson(call), &decoded), Error);
      }
    }
  }

  void Statement_NameWithBlank_IsRefused() {
    std::vector<StatementCall> calls(4);
    calls[0].id = StatementId("a b");
    calls[1].values["a b"] = "c";
    calls[2].tenant = TenantId("a b");
    calls[3].group = GroupId("a b");
    for (const StatementCall& call : calls) {
      StatementCall decoded;
      CPPUNIT_ASSERT_THROW(FromJson(ToJson(call), &decoded), Error);
    }
  }

  void Reply_RowWithLineEnd_IsRefused() {
    for (const std::string& odd : LineEnds()) {
      std::vector<StatementReply> replies(2);
      replies[0].rows = {"a", "b" + odd};
      replies[1].signature = "c" + odd;
      for (const StatementReply& reply : replies) {
        StatementReply decoded;
        CPPUNIT_ASSERT_THROW(FromJson(ToJson(reply), &decoded), Error);
      }
    }
  }

  void Snapshot_NameWithLineEnd_IsRefused() {
    for (const std::string& odd : LineEnds()) {
      std::vector<UpstreamRecord> records(2);
      records[0].id = UpstreamId("a" + odd);
      records[1].group = GroupId("a" + odd);
      for (const UpstreamRecord& record : records) {
        SnapshotReply reply = MakeSnapshot();
        reply.upstreams.records[record.id] = record;
        SnapshotReply decoded;
        CPPUNIT_ASSERT_THROW(FromJson(ToJson(reply), &decoded), Error);
      }
      SnapshotReply reply = MakeSnapshot();
      reply.routes.routes["a"].group = GroupId("a" + odd);
      SnapshotReply decoded;
      CPPUNIT_ASSERT_THROW(FromJson(ToJson(reply), &decoded), Error);
    }
  }

 private:
  static std::vector<std::string> LineEnds() {
    return {"\r\nQUERY - RESET", "\n", "\r", std::string(1, '\0')};
  }

  static SnapshotReply MakeTenants() {
    SnapshotReply reply = MakeSnapshot();
    reply.routes.version = 7;
    reply.routes.routes["notices"].database = "notices";
    reply.routes.routes["notices"].is_public = true;
    reply.routes.has_tenants = true;
    TenantSpec acme;
    acme.id = TenantId("acme");
    acme.has_limit = true;
    acme.rate_per_s = 2.5;
    acme.burst = 10;
    acme.priority = 1;
    TenantSpec keyless;
    keyless.id = TenantId("keyless");
    std::string problem;
    reply.routes.tenants.Add(acme, {KeyDigest::Of(kKey), KeyDigest::Of("b")},
                             &problem);
    reply.routes.tenants.Add(keyless, {}, &problem);
    return reply;
  }

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
