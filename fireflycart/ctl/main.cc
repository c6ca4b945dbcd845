// The operators' command-line tool of fireflycart.
//
//   fireflycart check FILE            checks a configuration without a daemon
//   fireflycart diff FILE             prints what the file would change
//   fireflycart submit FILE           submits it on --base or the current one
//   fireflycart show                  prints the configuration in force
//   fireflycart status                prints VMs, versions and coordinators
//   fireflycart audit                 prints accepted changes, newest first
//   fireflycart load                  runs a load and checks its history
//   fireflycart explain ID < LOGS     shows why a request failed, from logs

#include <unistd.h>

#include <iostream>
#include <string>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "absl/flags/usage_config.h"
#include "absl/strings/match.h"
#include "absl/strings/str_split.h"
#include "fireflycart/core/error.h"
#include "fireflycart/ctl/commands.h"
#include "fireflycart/ctl/explain.h"
#include "fireflycart/ctl/load_generator.h"
#include "fireflycart/net/address.h"
#include "fireflycart/net/flag_environment.h"

ABSL_FLAG(std::vector<std::string>, servers, {},
          "IP:PORT of daemons, separated by commas.");
ABSL_FLAG(
    std::string, operator_token, "",
    "Token of operators. Prefer the variable FIREFLYCART_OPERATOR_TOKEN.");
ABSL_FLAG(
    std::string, caller_token, "",
    "load: token of callers. Prefer the variable FIREFLYCART_CALLER_TOKEN.");
ABSL_FLAG(std::string, operator_name, "",
          "submit: name of the operator; the default is the login name.");
ABSL_FLAG(int64_t, base, -1,
          "submit: version that the file is based on; -1 for the current one.");
ABSL_FLAG(int, timeout_ms, 10000, "Timeout of a request to one daemon.");
ABSL_FLAG(int, limit, 20, "audit: number of records.");
ABSL_FLAG(std::vector<std::string>, groups, {}, "load: database groups.");
ABSL_FLAG(std::vector<std::string>, kinds, {},
          "load: NAME:read|write:WEIGHT[:COST_MS[:DEADLINE_MS[:MAX_AGE_MS]]].");
ABSL_FLAG(int, sessions, 16, "load: number of concurrent sessions.");
ABSL_FLAG(int, seconds, 10, "load: duration.");
ABSL_FLAG(int, think_ms, 0, "load: pause of a session between two requests.");
ABSL_FLAG(int, transaction_percent, 5,
          "load: share of writes that run in transactions.");
ABSL_FLAG(int64_t, seed, 1, "load: random seed.");
ABSL_FLAG(bool, json, false, "load: print the report as JSON.");

namespace fireflycart {
namespace {

constexpr char kUsage[] =
    "Operators' command-line tool of fireflycart.\n\n"
    "  fireflycart check FILE    checks a configuration without a daemon\n"
    "  fireflycart diff FILE     prints what submitting the file would change\n"
    "  fireflycart submit FILE   submits it, based on --base or the current "
    "one\n"
    "  fireflycart show          prints the configuration in force\n"
    "  fireflycart status        prints VMs, versions and coordinators\n"
    "  fireflycart audit         prints the accepted changes, newest first\n"
    "  fireflycart load          runs a load and checks its history\n"
    "  fireflycart explain ID    prints why a request failed, from logs of "
    "VMs\n"
    "                            on standard input\n\n"
    "FILE may be - for standard input. Each flag can be set by an environment\n"
    "variable: --servers by FIREFLYCART_SERVERS.\n"
    "Exit codes: 0 done, 1 failed, 2 invalid command line, 3 invalid\n"
    "configuration, 4 conflict with another change.";

int UsageError(const std::string& text) {
  std::cerr << text << "\n";
  return kExitUsage;
}

int ParseNumber(const std::string& text) {
  size_t used = 0;
  int number = -1;
  try {
    number = std::stoi(text, &used);
  } catch (const std::exception&) {
    used = 0;
  }
  if (used != text.size() || number < 0) {
    throw Error(
        ErrorCode::kInvalidArgument, "read --kinds", "",
        "\"" + text +
            "\" is not allowed; allowed is a whole number of at least 0");
  }
  return number;
}

LoadKind ParseKind(const std::string& text) {
  std::vector<std::string> parts = absl::StrSplit(text, ':');
  bool known = parts.size() >= 3 && (parts[1] == "read" || parts[1] == "write");
  if (!known) {
    throw Error(ErrorCode::kInvalidArgument, "read --kinds", "",
                "\"" + text +
                    "\" is not allowed; allowed is NAME:read|write:WEIGHT"
                    "[:COST_MS[:DEADLINE_MS[:MAX_AGE_MS]]]");
  }
  LoadKind kind;
  kind.name = parts[0];
  kind.writes = parts[1] == "write";
  kind.weight = ParseNumber(parts[2]);
  if (parts.size() > 3) kind.cost_ms = ParseNumber(parts[3]);
  if (parts.size() > 4) kind.deadline_ms = ParseNumber(parts[4]);
  if (parts.size() > 5) kind.max_age_ms = ParseNumber(parts[5]);
  return kind;
}

int RunLoadCommand(const CommandOptions& options) {
  LoadOptions load;
  load.entry_vms = options.servers;
  load.groups = absl::GetFlag(FLAGS_groups);
  for (const std::string& kind : absl::GetFlag(FLAGS_kinds)) {
    load.kinds.push_back(ParseKind(kind));
  }
  if (load.groups.empty()) return UsageError("--groups must not be empty");
  if (load.kinds.empty()) return UsageError("--kinds must not be empty");
  load.sessions = absl::GetFlag(FLAGS_sessions);
  load.duration = Duration::Seconds(absl::GetFlag(FLAGS_seconds));
  load.think_time = Duration::Millis(absl::GetFlag(FLAGS_think_ms));
  load.transaction_percent = absl::GetFlag(FLAGS_transaction_percent);
  load.token = absl::GetFlag(FLAGS_caller_token);
  load.seed = static_cast<uint64_t>(absl::GetFlag(FLAGS_seed));
  LoadReport report = RunLoad(load);
  std::cout << (absl::GetFlag(FLAGS_json) ? report.ToJson() + "\n"
                                          : report.ToText());
  return report.violations() == 0 ? kExitOk : kExitFailed;
}

std::string LoginName() {
  const char* name = getlogin();
  return name == nullptr ? "operator" : name;
}

int Run(const std::vector<char*>& arguments) {
  if (arguments.size() < 2) return UsageError(kUsage);
  std::string command = arguments[1];
  bool takes_argument = command == "check" || command == "diff" ||
                        command == "submit" || command == "explain";
  size_t expected_arguments = takes_argument ? 3 : 2;
  if (arguments.size() != expected_arguments) return UsageError(kUsage);
  std::string file = takes_argument ? arguments[2] : "";
  if (command == "check") return RunCheck(file);
  if (command == "explain") return RunExplain(file);
  CommandOptions options;
  options.servers = absl::GetFlag(FLAGS_servers);
  options.token = absl::GetFlag(FLAGS_operator_token);
  options.operator_name = absl::GetFlag(FLAGS_operator_name);
  if (options.operator_name.empty()) options.operator_name = LoginName();
  options.base = absl::GetFlag(FLAGS_base);
  options.timeout_ms = absl::GetFlag(FLAGS_timeout_ms);
  options.limit = absl::GetFlag(FLAGS_limit);
  if (options.servers.empty()) {
    return UsageError("--servers must not be empty");
  }
  for (const std::string& server : options.servers) ParseAddress(server);
  if (command == "diff") return RunDiff(options, file);
  if (command == "submit") return RunSubmit(options, file);
  if (command == "show") return RunShow(options);
  if (command == "status") return RunStatus(options);
  if (command == "audit") return RunAudit(options);
  if (command == "load") return RunLoadCommand(options);
  return UsageError(kUsage);
}

}  // namespace
}  // namespace fireflycart

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(fireflycart::kUsage);
  absl::FlagsUsageConfig usage;
  usage.version_string = [] { return std::string("fireflycart 0.1.0\n"); };
  usage.contains_helpshort_flags = [](absl::string_view file) {
    return absl::StrContains(file, "ctl/main");
  };
  usage.contains_help_flags = usage.contains_helpshort_flags;
  absl::SetFlagsUsageConfig(usage);
  std::vector<std::string> faults = fireflycart::SetFlagsFromEnvironment(
      fireflycart::UnknownVariables::kIgnore);
  std::vector<char*> arguments = absl::ParseCommandLine(argc, argv);
  for (const std::string& fault : faults) std::cerr << fault << "\n";
  if (!faults.empty()) return fireflycart::kExitUsage;
  try {
    return fireflycart::Run(arguments);
  } catch (const fireflycart::Error& e) {
    std::cerr << e.what() << "\n";
    return e.code() == fireflycart::ErrorCode::kInvalidArgument
               ? fireflycart::kExitUsage
               : fireflycart::kExitFailed;
  }
}
