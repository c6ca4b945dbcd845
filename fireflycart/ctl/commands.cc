// Each command sends one or two requests to a daemon. A submission without an
// answer is retried on the next daemon, which is safe since submissions are
// idempotent: the same change on the same base is accepted once.

#include "fireflycart/ctl/commands.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <optional>
#include <set>
#include <sstream>

#include "fireflycart/core/configuration.h"
#include "fireflycart/core/error.h"
#include "fireflycart/net/http_client.h"
#include "fireflycart/net/json_types.h"

namespace fireflycart {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusInvalid = 400;
constexpr int kStatusConflict = 409;

std::string ReadFile(const std::string& file) {
  std::ostringstream text;
  if (file == "-") {
    text << std::cin.rdbuf();
    return text.str();
  }
  std::ifstream in(file);
  if (!in) {
    throw Error(ErrorCode::kInvalidArgument, "read file", file,
                "cannot open the file");
  }
  text << in.rdbuf();
  return text.str();
}

void PrintProblems(const std::vector<ConfigurationProblem>& problems) {
  for (const ConfigurationProblem& problem : problems) {
    std::cerr << (problem.path.empty() ? "(document)" : problem.path) << ": "
              << problem.value << " is not allowed; allowed is "
              << problem.allowed << "\n";
  }
}

// Sends the request to the daemons in turn until one answers with a status
// other than 504 (outcome unknown).
HttpReply RequestFromAny(const CommandOptions& options,
                         const std::string& method, const std::string& target,
                         const std::string& body) {
  HttpReply reply;
  for (const std::string& server : options.servers) {
    reply = RequestAndWait(server, method, target, body, options.token,
                           Duration::Millis(options.timeout_ms));
    if (reply.ok && reply.status != 504) return reply;
  }
  if (!reply.ok) {
    throw Error(ErrorCode::kUnavailable, method + " " + target,
                options.servers.empty() ? "" : options.servers.front(),
                "no daemon answered");
  }
  return reply;
}

Json RequestJson(const CommandOptions& options, const std::string& target) {
  HttpReply reply = RequestFromAny(options, "GET", target, "");
  Json json = Json::parse(reply.body, nullptr, false);
  if (reply.status != kStatusOk || !json.is_object()) {
    throw Error(ErrorCode::kUnavailable, "GET " + target, "daemon",
                "status " + std::to_string(reply.status) + ": " + reply.body);
  }
  return json;
}

// Returns the canonical form of a file, or nullopt after printing its problems.
std::optional<std::string> ReadValidConfiguration(const std::string& file) {
  ConfigurationResult parsed = ParseConfiguration(ReadFile(file));
  if (parsed.problems.empty()) return parsed.canonical;
  PrintProblems(parsed.problems);
  return std::nullopt;
}

void PrintDifference(const Json& difference) {
  for (const Json& step : difference) {
    std::cout << step.value("op", "") << " " << step.value("path", "");
    if (step.contains("value")) std::cout << " " << step.at("value").dump();
    std::cout << "\n";
  }
}

void PrintAuditRecord(const Json& record) {
  std::cout << "version " << record.value("version", 0) << " on base "
            << record.value("base", 0) << " by " << record.value("operator", "")
            << " at " << record.value("submitted_at", "")
            << " (ms since 1970)\n";
  PrintDifference(record.value("difference", Json::array()));
}

}  // namespace

int RunCheck(const std::string& file) {
  if (!ReadValidConfiguration(file)) return kExitInvalid;
  std::cout << "valid\n";
  return kExitOk;
}

int RunDiff(const CommandOptions& options, const std::string& file) {
  std::optional<std::string> new_document = ReadValidConfiguration(file);
  if (!new_document) return kExitInvalid;
  Json current = RequestJson(options, "/v1/config");
  std::cout << "changes against version " << current.value("version", 0)
            << "\n";
  std::string document = current.at("document").dump();
  PrintDifference(
      Json::parse(ConfigurationDifference(document, *new_document)));
  return kExitOk;
}

int RunSubmit(const CommandOptions& options, const std::string& file) {
  std::optional<std::string> new_document = ReadValidConfiguration(file);
  if (!new_document) return kExitInvalid;
  int64_t base = options.base;
  if (base < 0) base = RequestJson(options, "/v1/config").value("version", 0);
  Json body = {{"base", base},
               {"operator", options.operator_name},
               {"document", Json::parse(*new_document)}};
  HttpReply reply = RequestFromAny(options, "POST", "/v1/config", body.dump());
  Json json = Json::parse(reply.body, nullptr, false);
  if (!json.is_object()) json = Json::object();
  std::string result = json.value("result", "");
  if (reply.status == kStatusOk) {
    std::cout << result << ": version " << json.value("version", 0) << "\n";
    return kExitOk;
  }
  if (reply.status == kStatusConflict) {
    std::cerr << "conflict: version " << json.value("version", 0)
              << " is in force, the base was " << base
              << ". Changes since the base:\n";
    for (const Json& record : json.value("changes", Json::array())) {
      PrintAuditRecord(record);
    }
    return kExitConflict;
  }
  std::cerr << "configuration not accepted: " << reply.body << "\n";
  return reply.status == kStatusInvalid ? kExitInvalid : kExitFailed;
}

int RunShow(const CommandOptions& options) {
  Json current = RequestJson(options, "/v1/config");
  std::cerr << "version " << current.value("version", 0) << "\n";
  std::cout << current.at("document").dump(2) << "\n";
  return kExitOk;
}

int RunStatus(const CommandOptions& options) {
  std::map<std::string, Json> groups;
  int unreachable = 0;
  std::cout << "vm                    state     ready  version  ordinal\n";
  for (const std::string& server : options.servers) {
    HttpReply reply =
        RequestAndWait(server, "GET", "/v1/status", "", options.token,
                       Duration::Millis(options.timeout_ms));
    Json json = Json::parse(reply.body, nullptr, false);
    if (!reply.ok || !json.is_object()) {
      std::cout << server << "  no answer\n";
      unreachable++;
      continue;
    }
    std::string vm = json.value("vm", "");
    std::string state;
    for (const Json& member : json.value("members", Json::array())) {
      if (member.value("vm", "") == vm) state = member.value("state", "");
    }
    vm.resize(std::max<size_t>(vm.size(), 22), ' ');
    state.resize(std::max<size_t>(state.size(), 10), ' ');
    std::cout << vm << state << (json.value("ready", false) ? "yes" : "no ")
              << "    " << json.value("version", 0) << "        "
              << json.value("ordinal", 0) << "\n";
    for (const Json& group : json.value("groups", Json::array())) {
      std::string name = group.value("group", "");
      bool leads = group.value("phase", "") != "idle";
      bool newer = groups.count(name) == 0 ||
                   group.value("term", uint64_t{0}) >=
                       groups[name].value("term", uint64_t{0});
      if (groups.count(name) == 0 || (leads && newer)) groups[name] = group;
    }
  }
  std::cout << "group                 coordinator           primary\n";
  for (const auto& item : groups) {
    std::string name = item.first;
    std::string coordinator = item.second.value("coordinator", "");
    name.resize(std::max<size_t>(name.size(), 22), ' ');
    coordinator.resize(std::max<size_t>(coordinator.size(), 22), ' ');
    std::cout << name << coordinator << item.second.value("primary", "")
              << "\n";
  }
  return unreachable == 0 ? kExitOk : kExitFailed;
}

int RunAudit(const CommandOptions& options) {
  Json audit =
      RequestJson(options, "/v1/audit?limit=" + std::to_string(options.limit));
  for (const Json& record : audit.value("records", Json::array())) {
    PrintAuditRecord(record);
  }
  return kExitOk;
}

}  // namespace fireflycart
