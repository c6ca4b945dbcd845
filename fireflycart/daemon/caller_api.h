// The JSON API of callers and operators: parses requests and renders answers.
// docs/API.md describes the paths and fields.
//
//   ParsedCall call = ParseCall(http, now);
//   if (call.error) Respond(*call.error);
//
// Limits: a statement has at most kMaxStatementBytes, an id at most
// kMaxIdBytes.

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

constexpr size_t kMaxStatementBytes = 65536;
constexpr size_t kMaxIdBytes = 128;
constexpr int64_t kMaxDeadlineMs = 600000;

// What a request asks for, by its method and path.
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

// Bearer tokens that requests must carry. An empty token turns the check off.
struct AccessTokens {
  std::string caller;
  std::string operator_token;
};

// Checks the token, then parses the request. Relative deadlines count from now.
ParsedCall ParseCall(const HttpRequest& http, const AccessTokens& tokens,
                     TimePoint now);

HttpResponse RenderAnswer(const Answer& answer);
HttpResponse RenderOperatorReply(const OperatorReplyBody& body);

}  // namespace fireflycart

#endif  // FIREFLYCART_DAEMON_CALLER_API_H_
