// The JSON of callers and operators: parses requests, renders answers. Paths
// and fields are described in docs/API.md.
//
//   ParsedCall call = ParseCall(http, now);
//   if (call.error) Respond(*call.error);
//
// Limits: a statement is at most kMaxStatement bytes, an id at most kMaxId.

#ifndef FIREFLYCART_DAEMON_CALLER_API_H_
#define FIREFLYCART_DAEMON_CALLER_API_H_

#include <optional>
#include <string>
#include <variant>

#include "fireflycart/core/clock.h"
#include "fireflycart/core/operator_message.h"
#include "fireflycart/core/request.h"
#include "fireflycart/net/http_server.h"

namespace fireflycart {

constexpr size_t kMaxStatement = 65536;
constexpr size_t kMaxId = 128;
constexpr int64_t kMaxDeadlineMs = 600000;

// What a path asks for.
struct ReadyProbe {};
struct MetricsPage {};
struct CallerCall {
  Request request;
};
struct OperatorCall {
  OperatorCallBody body;
};

struct ParsedCall {
  std::variant<ReadyProbe, MetricsPage, CallerCall, OperatorCall> call;
  std::optional<HttpResponse> error;  // Set if the input is refused.
};

// Tokens that must come with requests; an empty one is not asked for.
struct AccessTokens {
  std::string caller;
  std::string operator_token;
};

ParsedCall ParseCall(const HttpRequest& http, const AccessTokens& tokens,
                     TimePoint now);

HttpResponse RenderAnswer(const Answer& answer);
HttpResponse RenderOperatorReply(const OperatorReplyBody& body);

}  // namespace fireflycart

#endif  // FIREFLYCART_DAEMON_CALLER_API_H_
