// BodyReader checks each field and keeps the first error, which names the
// field, its value and what is allowed.

#include "fireflycart/daemon/caller_api.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

#include "absl/strings/str_replace.h"
#include "fireflycart/core/bounded_json.h"
#include "fireflycart/net/json_types.h"

namespace fireflycart {
namespace {

constexpr char kTransactionPath[] = "/v1/transaction";
constexpr size_t kMaxCallerBodyBytes = size_t{1} << 20;
constexpr size_t kMaxDocumentBytes = size_t{16} << 20;
constexpr int kDefaultAuditLimit = 20;
constexpr int kMaxAuditLimit = 1000;
constexpr size_t kMaxShownValueBytes = 60;

HttpResponse ErrorResponse(int status, const std::string& field,
                           const std::string& value,
                           const std::string& allowed) {
  HttpResponse response;
  response.status = status;
  Json json = {{"error", "invalid request"},
               {"field", field},
               {"value", value.substr(0, kMaxShownValueBytes)},
               {"allowed", allowed}};
  response.body = json.dump(-1, ' ', false, Json::error_handler_t::replace);
  return response;
}

std::string Serialize(const Json& value) {
  return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

// The run time does not depend on where the texts differ, so that it does
// not reveal the matching part of a token.
bool ConstantTimeEquals(const std::string& a, const std::string& b) {
  unsigned char difference = a.size() == b.size() ? 0 : 1;
  for (size_t i = 0; i < std::min(a.size(), b.size()); i++) {
    difference |= static_cast<unsigned char>(a[i] ^ b[i]);
  }
  return difference == 0;
}

// Reads the fields of a JSON body. Fields that were not read are refused by
// Finish.
class BodyReader {
 public:
  explicit BodyReader(const std::string& text) {
    try {
      body_ = ParseJsonObject(text);
    } catch (const BadDocument&) {
      Fail("(body)", text,
           "a JSON object of at most " + std::to_string(kMaxJsonDepth) +
               " levels");
    }
  }

  std::string ReadText(const char* field, size_t max_bytes, bool required) {
    known_fields_.insert(field);
    std::string allowed =
        "a text of 1 to " + std::to_string(max_bytes) + " bytes";
    const Json* value = Find(field);
    if (value == nullptr) {
      if (required) Fail(field, "(missing)", allowed);
      return std::string();
    }
    bool is_valid = value->is_string() && !value->get<std::string>().empty() &&
                    value->get<std::string>().size() <= max_bytes;
    if (!is_valid) {
      Fail(field, Serialize(*value), allowed);
      return std::string();
    }
    return value->get<std::string>();
  }

  std::optional<int64_t> ReadInteger(const char* field, int64_t low,
                                     int64_t high) {
    known_fields_.insert(field);
    const Json* value = Find(field);
    if (value == nullptr) return std::nullopt;
    bool is_valid = value->is_number_integer() &&
                    value->get<int64_t>() >= low &&
                    value->get<int64_t>() <= high;
    if (!is_valid) {
      Fail(field, Serialize(*value),
           "a whole number from " + std::to_string(low) + " to " +
               std::to_string(high));
      return std::nullopt;
    }
    return value->get<int64_t>();
  }

  bool ReadBool(const char* field, bool fallback) {
    known_fields_.insert(field);
    const Json* value = Find(field);
    if (value == nullptr) return fallback;
    if (!value->is_boolean()) {
      Fail(field, Serialize(*value), "true or false");
      return fallback;
    }
    return value->get<bool>();
  }

  // Returns the value of a required field, of any type.
  const Json* ReadValue(const char* field) {
    known_fields_.insert(field);
    const Json* value = Find(field);
    if (value == nullptr) Fail(field, "(missing)", "a JSON value");
    return value;
  }

  // Records an error. Only the first one is kept.
  void Fail(const std::string& field, const std::string& value,
            const std::string& allowed) {
    if (!problem_) problem_ = ErrorResponse(400, field, value, allowed);
  }

  // Returns the first error, if there is any.
  std::optional<HttpResponse> Finish() {
    if (body_.is_object()) {
      for (const auto& item : body_.items()) {
        if (known_fields_.count(item.key()) != 0) continue;
        Fail(item.key(), Serialize(item.value()), "no such field");
      }
    }
    return problem_;
  }

 private:
  const Json* Find(const char* field) const {
    if (!body_.is_object()) return nullptr;
    auto found = body_.find(field);
    return found == body_.end() ? nullptr : &*found;
  }

  Json body_;
  std::set<std::string> known_fields_;
  std::optional<HttpResponse> problem_;
};

void ReadDeadline(BodyReader* reader, TimePoint now, CallerCall* call) {
  std::optional<int64_t> ms =
      reader->ReadInteger("deadline_ms", 1, kMaxDeadlineMs);
  if (ms) call->request.deadline = now + Duration::Millis(*ms);
}

// Upstreams keep the keys, so they stay as they are for the callers that have
// none of the escaped characters.
RequestKey MakeRequestKey(const CallerId& caller, const std::string& id) {
  // Only the slash between the two remains up to the id.
  std::string escaped =
      absl::StrReplaceAll(caller.value(), {{"%", "%25"}, {"/", "%2F"}});
  return RequestKey(escaped + "/" + id);
}

// Fields that all requests share.
void ReadCommonFields(BodyReader* reader, TimePoint now, CallerCall* call) {
  Request& request = call->request;
  request.kind = KindId(reader->ReadText("kind", kMaxIdBytes, true));
  request.caller = CallerId(reader->ReadText("caller", kMaxIdBytes, true));
  request.session = SessionId(reader->ReadText("session", kMaxIdBytes, false));
  if (request.session == SessionId()) {
    request.session = SessionId(request.caller.value());
  }
  std::string id = reader->ReadText("request_id", kMaxIdBytes, false);
  if (!id.empty()) {
    request.key = MakeRequestKey(request.caller, id);
  }
  request.sent_before = reader->ReadBool("sent_before", false);
  ReadDeadline(reader, now, call);
}

void ReadStatement(BodyReader* reader, CallerCall* call) {
  Request& request = call->request;
  request.statement = reader->ReadText("statement", kMaxStatementBytes, true);
  std::string access = reader->ReadText("access", kMaxIdBytes, true);
  bool known = access == "read" || access == "write";
  if (!known && !access.empty()) {
    reader->Fail("access", access, "\"read\" or \"write\"");
  }
  request.access = access == "write" ? Access::kWrite : Access::kRead;
}

std::optional<HttpResponse> ParseStatement(const HttpRequest& http,
                                           TimePoint now, CallerCall* call) {
  BodyReader reader(http.body);
  Request& request = call->request;
  request.group = GroupId(reader.ReadText("group", kMaxIdBytes, true));
  ReadCommonFields(&reader, now, call);
  ReadStatement(&reader, call);
  request.repeatable = reader.ReadBool("repeatable", false);
  std::optional<int64_t> age =
      reader.ReadInteger("max_age_ms", 0, kMaxDeadlineMs);
  if (age) request.max_age = Duration::Millis(*age);
  if (age && request.access == Access::kWrite) {
    reader.Fail("max_age_ms", std::to_string(*age), "reads only");
  }
  return reader.Finish();
}

std::optional<HttpResponse> ParseBegin(const HttpRequest& http, TimePoint now,
                                       CallerCall* call) {
  BodyReader reader(http.body);
  call->request.type = RequestType::kBegin;
  call->request.access = Access::kWrite;
  call->request.group = GroupId(reader.ReadText("group", kMaxIdBytes, true));
  ReadCommonFields(&reader, now, call);
  return reader.Finish();
}

// /v1/transaction/ID/statement, /commit or /rollback.
std::optional<HttpResponse> ParseTransactionStep(const HttpRequest& http,
                                                 TimePoint now,
                                                 CallerCall* call) {
  std::string rest = http.path.substr(std::string(kTransactionPath).size() + 1);
  size_t slash = rest.find('/');
  std::string id = rest.substr(0, slash);
  std::string step = slash == std::string::npos ? "" : rest.substr(slash + 1);
  Request& request = call->request;
  request.transaction = TransactionId(id);
  request.group = TransactionGroup(request.transaction);
  request.access = Access::kWrite;
  if (request.group == GroupId()) {
    return ErrorResponse(400, "(path)", id, "the id that begin returned");
  }
  BodyReader reader(http.body);
  ReadCommonFields(&reader, now, call);
  if (step == "statement") {
    request.type = RequestType::kTransactionStatement;
    ReadStatement(&reader, call);
  } else if (step == "commit") {
    request.type = RequestType::kCommit;
  } else if (step == "rollback") {
    request.type = RequestType::kRollback;
  } else {
    return ErrorResponse(404, "(path)", http.path,
                         "statement, commit or rollback after the id");
  }
  return reader.Finish();
}

std::string WallClockMillisText() {
  auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

std::optional<HttpResponse> ParseConfigSubmission(const HttpRequest& http,
                                                  OperatorCall* call) {
  BodyReader reader(http.body);
  SubmitConfigCall submit;
  std::optional<int64_t> base = reader.ReadInteger("base", 0, INT64_MAX);
  if (!base) reader.Fail("base", "(missing)", "the version of the base");
  submit.base = ConfigVersion(static_cast<uint64_t>(base.value_or(0)));
  submit.operator_name = reader.ReadText("operator", kMaxIdBytes, true);
  const Json* document = reader.ReadValue("document");
  if (document != nullptr) submit.document = Serialize(*document);
  if (submit.document.size() > kMaxDocumentBytes) {
    reader.Fail("document", std::to_string(submit.document.size()) + " bytes",
                "at most " + std::to_string(kMaxDocumentBytes) + " bytes");
  }
  submit.submitted_at = WallClockMillisText();
  call->body = submit;
  return reader.Finish();
}

int ParseAuditLimit(const std::string& query) {
  const std::string prefix = "limit=";
  if (query.compare(0, prefix.size(), prefix) != 0) return kDefaultAuditLimit;
  int64_t limit = std::strtoll(query.c_str() + prefix.size(), nullptr, 10);
  return static_cast<int>(std::clamp<int64_t>(limit, 1, kMaxAuditLimit));
}

std::optional<HttpResponse> Authorize(const std::string& expected_token,
                                      const HttpRequest& http) {
  if (expected_token.empty() ||
      ConstantTimeEquals(expected_token, http.bearer_token)) {
    return std::nullopt;
  }
  return ErrorResponse(401, "Authorization", "(not shown)",
                       "Bearer and the token of this interface");
}

bool IsOperatorPath(const std::string& path) {
  return path == "/v1/config" || path == "/v1/status" || path == "/v1/audit";
}

int AnswerHttpStatus(const Answer& answer) {
  if (answer.outcome == Outcome::kDone) return 200;
  if (answer.outcome == Outcome::kUnknown) return 504;
  switch (answer.reason) {
    case Reason::kUnknownGroup:
    case Reason::kUnknownKind:
      return 404;
    case Reason::kTransactionLost:
      return 409;
    case Reason::kStatementFailed:
      return 422;
    case Reason::kOverloaded:
      return 429;
    default:
      return 503;
  }
}

Json ToJson(const ConfigurationProblem& problem) {
  return {{"path", problem.path},
          {"value", problem.value},
          {"allowed", problem.allowed}};
}

const char* SubmitCodeText(SubmitCode code) {
  switch (code) {
    case SubmitCode::kAccepted:
      return "accepted";
    case SubmitCode::kAlreadyAccepted:
      return "already_accepted";
    case SubmitCode::kInvalid:
      return "invalid";
    case SubmitCode::kConflict:
      return "conflict";
    case SubmitCode::kUnknown:
      return "unknown";
  }
  return "unknown";
}

int SubmitHttpStatus(SubmitCode code) {
  switch (code) {
    case SubmitCode::kAccepted:
    case SubmitCode::kAlreadyAccepted:
      return 200;
    case SubmitCode::kInvalid:
      return 400;
    case SubmitCode::kConflict:
      return 409;
    case SubmitCode::kUnknown:
      return 504;
  }
  return 504;
}

HttpResponse Render(const SubmitReply& reply) {
  Json problems = Json::array();
  for (const ConfigurationProblem& problem : reply.problems) {
    problems.push_back(ToJson(problem));
  }
  Json changes = Json::array();
  for (const std::string& change : reply.changes) {
    changes.push_back(Json::parse(change, nullptr, false));
  }
  Json json = {{"result", SubmitCodeText(reply.code)},
               {"version", reply.version},
               {"problems", problems},
               {"changes", changes}};
  HttpResponse response;
  response.status = SubmitHttpStatus(reply.code);
  response.body = json.dump();
  return response;
}

HttpResponse Render(const ShowConfigReply& reply) {
  Json document = Json::parse(reply.document, nullptr, false);
  if (document.is_discarded()) document = Json::object();
  Json json = {{"version", reply.version}, {"document", document}};
  HttpResponse response;
  response.body = json.dump();
  return response;
}

HttpResponse Render(const ShowStatusReply& reply) {
  Json members = Json::array();
  for (const MemberUpdate& member : reply.members) {
    members.push_back({{"vm", member.vm},
                       {"address", member.address},
                       {"data_centre", member.data_centre},
                       {"state", MemberStateText(member.state)}});
  }
  Json groups = Json::array();
  for (const GroupStatusLine& line : reply.groups) {
    groups.push_back({{"group", line.group},
                      {"coordinator", line.coordinator},
                      {"term", line.term},
                      {"primary", line.primary},
                      {"phase", line.phase},
                      {"queued", line.queued}});
  }
  Json json = {{"vm", reply.vm},
               {"ready", reply.ready},
               {"not_ready_because", reply.not_ready_because},
               {"version", reply.version},
               {"ordinal", reply.ordinal},
               {"members", members},
               {"groups", groups}};
  HttpResponse response;
  response.body = json.dump();
  return response;
}

HttpResponse Render(const ShowAuditReply& reply) {
  Json records = Json::array();
  for (const std::string& record : reply.records) {
    records.push_back(Json::parse(record, nullptr, false));
  }
  HttpResponse response;
  response.status = reply.available ? 200 : 503;
  response.body = Json({{"records", records}}).dump();
  return response;
}

}  // namespace

ParsedCall ParseCall(const HttpRequest& http, const AccessTokens& tokens,
                     TimePoint now) {
  ParsedCall parsed;
  const std::string& path = http.path;
  bool is_step = path.compare(0, std::string(kTransactionPath).size() + 1,
                              std::string(kTransactionPath) + "/") == 0;
  bool is_post_path =
      path == "/v1/statement" || path == kTransactionPath || is_step;
  if (path == "/ready" && http.method == "GET") {
    parsed.call = ReadyProbe{};
    return parsed;
  }
  if (path == "/metrics" && http.method == "GET") {
    parsed.call = MetricsPage{};
    return parsed;
  }
  if (IsOperatorPath(path)) {
    parsed.error = Authorize(tokens.operator_token, http);
    if (parsed.error) return parsed;
    OperatorCall call;
    if (http.method == "POST" && path == "/v1/config") {
      parsed.error = ParseConfigSubmission(http, &call);
    } else if (http.method != "GET") {
      parsed.error = ErrorResponse(405, "(method)", http.method, "GET");
    } else if (path == "/v1/config") {
      call.body = ShowConfigCall{};
    } else if (path == "/v1/status") {
      call.body = ShowStatusCall{};
    } else {
      call.body = ShowAuditCall{ParseAuditLimit(http.query)};
    }
    parsed.call = call;
    return parsed;
  }
  if (!is_post_path) {
    parsed.error = ErrorResponse(404, "(path)", path, "a path in docs/API.md");
    return parsed;
  }
  if (http.method != "POST") {
    parsed.error = ErrorResponse(405, "(method)", http.method, "POST");
    return parsed;
  }
  parsed.error = Authorize(tokens.caller, http);
  if (parsed.error) return parsed;
  if (http.body.size() > kMaxCallerBodyBytes) {
    parsed.error = ErrorResponse(
        413, "(body)", std::to_string(http.body.size()) + " bytes",
        "at most " + std::to_string(kMaxCallerBodyBytes) + " bytes");
    return parsed;
  }
  CallerCall call;
  if (path == "/v1/statement") {
    parsed.error = ParseStatement(http, now, &call);
  } else if (is_step) {
    parsed.error = ParseTransactionStep(http, now, &call);
  } else {
    parsed.error = ParseBegin(http, now, &call);
  }
  parsed.call = call;
  return parsed;
}

HttpResponse RenderAnswer(const Answer& answer) {
  Json json = {{"outcome", OutcomeText(answer.outcome)},
               {"reason", ReasonText(answer.reason)},
               {"result", answer.result}};
  if (answer.outcome == Outcome::kDone) {
    json["upstream"] = answer.upstream;
    json["from_replica"] = answer.from_replica;
    json["replayed"] = answer.replayed;
  } else {
    json["retry_after_ms"] = answer.retry_after;
  }
  if (answer.transaction != TransactionId()) {
    json["transaction"] = answer.transaction;
  }
  HttpResponse response;
  response.status = AnswerHttpStatus(answer);
  response.body = json.dump(-1, ' ', false, Json::error_handler_t::replace);
  if (answer.outcome != Outcome::kDone) {
    response.retry_after = answer.retry_after;
  }
  return response;
}

HttpResponse RenderOperatorReply(const OperatorReplyBody& body) {
  return std::visit([](const auto& reply) { return Render(reply); }, body);
}

}  // namespace fireflycart
