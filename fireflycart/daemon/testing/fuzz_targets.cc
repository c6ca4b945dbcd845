// The configuration and peer targets also check that parsing the encoded result
// again changes nothing. The other codec targets check that it can be encoded.

#include "fireflycart/daemon/testing/fuzz_targets.h"

#include <algorithm>

#include "fireflycart/core/config_manager.h"
#include "fireflycart/core/configuration.h"
#include "fireflycart/core/error.h"
#include "fireflycart/core/proxy/store_follower.h"
#include "fireflycart/core/short_text.h"
#include "fireflycart/daemon/caller_api.h"
#include "fireflycart/net/address.h"
#include "fireflycart/net/peer_codec.h"
#include "fireflycart/net/platform_codec.h"
#include "fireflycart/net/upstream_codec.h"
#include "platform/documents.h"
#include "platform/line_codec.h"
#include "platform/testing/document_seeds.h"
#include "platform/testing/statement_path.h"

namespace fireflycart {
namespace {

constexpr char kPeer[] = "fuzz";
constexpr size_t kMaxProblem = 512;

void ParseAnyConfiguration(const std::string& input) {
  ConfigurationResult parsed = ParseConfiguration(input);
  if (!parsed.problems.empty()) return;
  ConfigurationResult again = ParseConfiguration(parsed.canonical);
  CheckInvariant(again.problems.empty() && again.canonical == parsed.canonical,
                 "fuzz configuration",
                 "the canonical form is refused or changes when parsed again");
}

void DecodeAnyPeerCall(const std::string& input) {
  std::string first = EncodePeerCall(DecodePeerCall(input, kPeer));
  std::string second = EncodePeerCall(DecodePeerCall(first, kPeer));
  CheckInvariant(first == second, "fuzz peer call",
                 "a second round trip changes the encoding");
}

void DecodeAnyPeerReply(const std::string& input) {
  std::string first = EncodePeerReply(DecodePeerReply(input, kPeer));
  std::string second = EncodePeerReply(DecodePeerReply(first, kPeer));
  CheckInvariant(first == second, "fuzz peer reply",
                 "a second round trip changes the encoding");
}

void RoundTrip(const proxy::SnapshotReply& reply) {
  DecodeAnyPeerReply(EncodePeerReply(reply));
}

void DecodeAnyUpstreamReply(const std::string& input) {
  EncodeUpstreamReply(DecodeUpstreamReply(input, kPeer));
}

void DecodeAnyUpstreamCall(const std::string& input) {
  EncodeUpstreamCall(DecodeUpstreamCall(input, kPeer));
}

void DecodeAnyPlatformReply(const std::string& input) {
  EncodePlatformReply(DecodePlatformReply(input, kPeer));
}

void DecodeAnyPointer(const std::string& input) {
  EncodeConfigPointer(DecodeConfigPointer(input));
}

// Names that were accepted must be one field each of the first line.
void CheckStart(const GroupId& group, const std::string& who,
                const UpstreamId& upstream) {
  std::string line = platform::EncodeUpstreamStart(group, who, upstream);
  CheckInvariant(std::count(line.begin(), line.end(), ' ') == 3 &&
                     line.find("  ") == std::string::npos &&
                     line.find_first_of("\r\n") == line.size() - 2 &&
                     line[line.size() - 3] != ' ',
                 "fuzz start", "a name is not one field: " + line);
}

// A record that was accepted must hold only what a line of the wire protocol
// and a message to a peer can hold.
void DecodeAnyUpstream(const std::string& input) {
  proxy::UpstreamRecord record;
  std::string problem;
  bool is_valid = platform::DecodeUpstream("up-1", input, &record, &problem);
  CheckInvariant(is_valid == problem.empty() && problem.size() <= kMaxProblem,
                 "fuzz upstream", "the problem is missing or too long");
  if (!is_valid) throw Error(ErrorCode::kInvalidArgument, "", "", problem);
  CheckInvariant(IsName(record.group.value()) && IsName(record.address) &&
                     IsName(record.data_centre.value()) && record.slots > 0,
                 "fuzz upstream", "a field has a value that is not allowed");
  CheckStart(record.group, "vm-1", record.id);
  proxy::SnapshotReply reply;
  reply.upstreams.records[record.id] = record;
  RoundTrip(reply);
}

void DecodeAnyRoutes(const std::string& input) {
  proxy::RouteTable routes;
  std::string problem;
  bool is_valid = platform::DecodeRoutes(input, &routes, &problem);
  CheckInvariant(is_valid == problem.empty() && problem.size() <= kMaxProblem,
                 "fuzz routes", "the problem is missing or too long");
  if (!is_valid) throw Error(ErrorCode::kInvalidArgument, "", "", problem);
  for (const auto& item : routes.routes) {
    CheckStart(item.second.group, "vm-1", UpstreamId("up-1"));
  }
  for (const auto& item : routes.tenants.tenants()) {
    CheckStart(GroupId("g"), item.first.value(), UpstreamId("up-1"));
  }
  proxy::SnapshotReply reply;
  reply.routes = routes;
  RoundTrip(reply);
}

void DecodeAnyVm(const std::string& input) {
  proxy::VmRecord record;
  record.vm = VmId("vm-1");
  std::string problem;
  bool is_valid = proxy::StoreFollower::DecodeVm(input, &record, &problem);
  CheckInvariant(is_valid == problem.empty() && problem.size() <= kMaxProblem,
                 "fuzz vm", "the problem is missing or too long");
  if (!is_valid) throw Error(ErrorCode::kInvalidArgument, "", "", problem);
  proxy::VmRecord again;
  again.vm = record.vm;
  is_valid = proxy::StoreFollower::DecodeVm(
      proxy::StoreFollower::EncodeVm(record), &again, &problem);
  CheckInvariant(is_valid && again.incarnation == record.incarnation &&
                     again.cpu_permille == record.cpu_permille,
                 "fuzz vm", "a second round trip changes the record");
}

void ParseAnyAddress(const std::string& input) { ParseAddress(input); }

void ParseAnyCall(const std::string& input) {
  for (const char* path :
       {"/v1/statement", "/v1/transaction", "/v1/transaction/a.b.1/commit",
        "/v1/transaction/a.b.1/statement", "/v1/config"}) {
    HttpRequest http;
    http.method = "POST";
    http.path = path;
    http.body = input;
    ParseCall(http, AccessTokens(), TimePoint());
  }
  HttpRequest path_only;
  path_only.method = "POST";
  path_only.path = "/v1/transaction/" + input;
  path_only.body = "{}";
  ParseCall(path_only, AccessTokens(), TimePoint());
}

// The lines in which a caller's bytes are split, arriving in such pieces.
std::vector<std::string> SplitLines(const std::string& input, size_t piece) {
  platform::LineBuffer buffer;
  std::vector<std::string> lines;
  std::string line;
  for (size_t start = 0; start < input.size(); start += piece) {
    size_t size = std::min(piece, input.size() - start);
    buffer.Append(input.data() + start, size);
    while (buffer.Next(&line)) lines.push_back(line);
  }
  return lines;
}

void ParseAnyLines(const std::string& input) {
  std::vector<std::string> lines = SplitLines(input, input.size() + 1);
  for (size_t piece : {size_t{1}, size_t{2}, size_t{7}}) {
    CheckInvariant(SplitLines(input, piece) == lines, "fuzz caller lines",
                   "the pieces in which they arrive change the lines");
  }
  for (const std::string& line : lines) platform::ParseCallerLine(line);
}

// What reaches an upstream is what the caller sent, or nothing does.
void CarryAnyLines(const std::string& input) {
  platform::StatementPath(proxy::LogPosition{3, 1207}).Carry(input);
}

}  // namespace

std::vector<FuzzTarget> FuzzTargets() {
  Request request;
  request.max_age = Duration::Millis(5);
  Gossip gossip;
  gossip.members.push_back(MemberUpdate{
      VmId("a"), "127.0.0.1:1", DataCentreId("d"), 7, MemberState::kSuspect});
  gossip.leaders.push_back(LeaderUpdate{GroupId("g"), VmId("a"), Term(3)});
  HandoverCall handover;
  handover.sessions.push_back(SessionPosition{SessionId("s"), Position(4)});
  ConfigFetchReply fetched;
  fetched.steps.push_back(ConfigStep{ConfigVersion(2), "[]", "d"});
  PlatformReply rows;
  rows.rows.push_back(Row{"k", "v", 1});
  rows.vms.push_back(ListedVm{VmId("a"), "x", DataCentreId("d"), true});
  std::string configuration =
      R"({"ranks":[{"name":"a","target_ms":5,"floor_percent":5}],)"
      R"("kinds":[{"name":"k","rank":"a","deadline_ms":5}],)"
      R"("groups":[{"name":"g","upstreams":[{"name":"u","address":)"
      R"("127.0.0.1:1","data_centre":"d","slots":1,"connections":9}]}]})";
  return {
      {"configuration", ParseAnyConfiguration, {configuration}},
      {"peer_call",
       DecodeAnyPeerCall,
       {EncodePeerCall(PingCall{gossip}), EncodePeerCall(handover),
        EncodePeerCall(ForwardCall{request, Duration::Millis(5), true})}},
      {"peer_reply",
       DecodeAnyPeerReply,
       {EncodePeerReply(PingReply{gossip}), EncodePeerReply(ForwardReply()),
        EncodePeerReply(fetched)}},
      {"upstream_call",
       DecodeAnyUpstreamCall,
       {EncodeUpstreamCall(ExecuteCall()), EncodeUpstreamCall(FollowCall())}},
      {"upstream_reply",
       DecodeAnyUpstreamReply,
       {EncodeUpstreamReply(UpstreamReply())}},
      {"platform_reply", DecodeAnyPlatformReply, {EncodePlatformReply(rows)}},
      {"config_pointer",
       DecodeAnyPointer,
       {EncodeConfigPointer(ConfigPointer())}},
      {"upstream", DecodeAnyUpstream, {platform::UpstreamSeed()}},
      {"routes",
       DecodeAnyRoutes,
       {platform::RoutesSeed(),
        R"({"tenants":[{"name":"acme","apiKeys":["k1"]}],)" +
            platform::RoutesSeed().substr(1)}},
      {"vm",
       DecodeAnyVm,
       {proxy::StoreFollower::EncodeVm(proxy::VmRecord{
           VmId("a"), "127.0.0.1:1", DataCentreId("d"), 7, 250, {}})}},
      {"address", ParseAnyAddress, {"127.0.0.1:7001"}},
      {"caller_lines",
       ParseAnyLines,
       {"START a key\r\nQUERY 1 PREPARE s WRITE q\r\nQUERY 1 EXEC s i d\r\n",
        "QUERY 2 SET n v w\r\nQUERY 3 READ a\r\r\nBYE\r\n"}},
      {"statement_path",
       CarryAnyLines,
       {"QUERY 1 PREPARE s WRITE q\r\nQUERY 1 EXEC s i d\r\nQUERY 2 READ a\r\n",
        "QUERY 2 SET n v w\r\nQUERY 3 WRITE a d\r\nQUERY 4 PREPARE p READ  x "
        "\r\nQUERY 4 PREPARE s WRITE READ y\r\nQUERY 5 EXEC p AFTER 3.1\r\n"
        "QUERY 6 FORGET p\r\nQUERY 7 EXEC s - \xe4\r\n"}},
      {"caller_call",
       ParseAnyCall,
       {R"({"group":"g","kind":"k","caller":"c","access":"read",)"
        R"("statement":"get x","max_age_ms":5,"deadline_ms":9})",
        R"({"base":1,"operator":"o","document":{}})"}},
  };
}

}  // namespace fireflycart
