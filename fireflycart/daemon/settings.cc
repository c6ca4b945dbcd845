// The flags are set from the settings file first, then from environment
// variables and the command line, which override it. The checks collect all
// errors, so that they are reported at once.

#include "fireflycart/daemon/settings.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <random>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/reflection.h"
#include "absl/flags/usage.h"
#include "absl/flags/usage_config.h"
#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "fireflycart/core/error.h"
#include "fireflycart/net/flag_environment.h"

ABSL_FLAG(std::string, vm, "", "Name of this VM, of a-z, 0-9, '-' and '_'.");
ABSL_FLAG(std::string, data_centre, "",
          "Data centre of this VM, of a-z, 0-9, '-' and '_'.");
ABSL_FLAG(std::string, peer_address, "",
          "IP:PORT at which other VMs reach this VM.");
ABSL_FLAG(
    std::string, peer_listen_address, "",
    "IP:PORT to listen on for other VMs. If empty, --peer_address is used.");
ABSL_FLAG(std::string, http_address, "", "IP:PORT for callers and operators.");
ABSL_FLAG(std::string, platform_address, "", "IP:PORT of the platform.");
ABSL_FLAG(std::string, caller_token, "",
          "Token that callers must send; empty for none. Prefer the variable "
          "FIREFLYCART_CALLER_TOKEN.");
ABSL_FLAG(std::string, operator_token, "",
          "Token that operators must send; empty for none. Prefer the variable "
          "FIREFLYCART_OPERATOR_TOKEN.");
ABSL_FLAG(std::string, log_level, "info",
          "Lowest level that is logged: debug, info, warning or error.");
ABSL_FLAG(std::string, log_format, "text",
          "Format of log lines: text or json.");
ABSL_FLAG(int, http_threads, 2, "Threads that serve callers: 1 to 64.");
ABSL_FLAG(int64_t, seed, 0, "Random seed. If 0, a seed is drawn at start.");
ABSL_FLAG(int, stop_limit_ms, 10000,
          "Time limit of a planned stop: 1000 to 600000 ms.");
ABSL_FLAG(int, probe_period_ms, 200,
          "Pause between two pings of peers: 20 to 60000 ms.");
ABSL_FLAG(
    int, isolation_limit_ms, 5000,
    "Time without contact with any peer or the platform after which this VM "
    "stops serving: 500 to 600000 ms.");
ABSL_FLAG(
    int, session_budget, 100000,
    "Sessions whose log position is kept for each group: 100 to 10000000.");
ABSL_FLAG(int, caller_budget, 20000,
          "Limit of pending requests of callers: 10 to 1000000.");

ABSL_FLAG(std::string, settings, "",
          "Path of a settings file with lines NAME=VALUE.");
ABSL_FLAG(
    std::string, session_address, "",
    "IP:PORT to listen on for callers' sessions. If set, the daemon serves "
    "sessions on the prepared platform.");
ABSL_FLAG(std::string, ready_address, "",
          "IP:PORT to listen on for the platform's readiness probe.");
ABSL_FLAG(std::string, metrics_address, "",
          "IP:PORT to listen on for requests of the metrics page.");
ABSL_FLAG(std::string, store_address, "",
          "IP:PORT of the platform's metadata store.");
ABSL_FLAG(std::string, promotion_address, "",
          "IP:PORT at which the platform accepts requests to promote.");
ABSL_FLAG(double, cpu_share, 1, "Usable share of each core: 0.01 to 1.");
ABSL_FLAG(int, cores, 1, "Cores to which --cpu_share applies: 1 to 1024.");
ABSL_FLAG(int, max_descriptors, 4096,
          "File descriptors that this process may open: 256 to 1000000.");
ABSL_FLAG(int, memory_mb, 0,
          "Memory that this process may use: 64 to 1000000 MiB, or 0 if it is "
          "not known.");
ABSL_FLAG(double, grace_s, 6,
          "Time from the stop signal until the process is killed: 1 to 600 s.");

ABSL_FLAG(bool, reads_nearby, true,
          "Whether reads may run at replicas in the data centre of the VM that "
          "has the session, without passing through the owner of the group.");
ABSL_FLAG(int, leave_cost_ms, 40,
          "Price of the traffic between data centres, as the time that a read "
          "may take longer rather than leave its own: 0 to 10000 ms.");
ABSL_FLAG(int, drain_ms, 7000,
          "Time after which a leaving upstream must receive no new work items: "
          "2000 to 600000 ms.");

ABSL_FLAG(int, apply_limit_ms, 5000,
          "Time within which a configuration must be in force on each VM that "
          "reaches the store: 0 for no limit, or 500 to 600000 ms.");
ABSL_FLAG(int, key_age_limit_ms, 0,
          "Time after which no statement may run that is sent with a key which "
          "was taken away: 0 for no limit, or 500 to 600000 ms.");

namespace fireflycart {
namespace {

// File descriptors that callers cannot use: those of files, upstreams, peers
// and the platform.
constexpr int kReservedDescriptors = 600;
// Taken if the memory is not known. Callers inside the limits do not meet those
// that follow from it.
constexpr int kDefaultMemoryMb = 4096;
constexpr int kLeastMemoryMb = 64;
constexpr char kSettingsVariable[] = "FIREFLYCART_SETTINGS";
constexpr char kVersion[] = "fireflycartd 0.1.0\n";

// Checks values and collects an error for each that is not allowed.
class SettingsChecker {
 public:
  std::string Name(const char* flag, const std::string& value) {
    bool valid =
        !value.empty() &&
        value.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-_") ==
            std::string::npos;
    if (!valid) Add(flag, value, "one or more of a-z, 0-9, '-' and '_'");
    return value;
  }

  IpAddress Address(const char* flag, const std::string& value) {
    try {
      return ParseAddress(value);
    } catch (const Error&) {
      Add(flag, value, "an IP address and a port, as in 127.0.0.1:7001");
      return IpAddress();
    }
  }

  int Range(const char* flag, int value, int low, int high) {
    if (value < low || value > high) {
      Add(flag, absl::StrCat(value),
          absl::StrCat("a whole number from ", low, " to ", high));
    }
    return value;
  }

  std::string OneOf(const char* flag, const std::string& value,
                    const std::vector<std::string>& allowed) {
    std::string list;
    for (const std::string& item : allowed) {
      if (item == value) return value;
      list += (list.empty() ? "" : ", ") + item;
    }
    Add(flag, value, "one of " + list);
    return value;
  }

  void Add(const char* flag, const std::string& value,
           const std::string& allowed) {
    faults_.push_back(absl::StrCat("--", flag, ": \"", value,
                                   "\" is not allowed; allowed is ", allowed));
  }

  const std::vector<std::string>& faults() const { return faults_; }

 private:
  std::vector<std::string> faults_;
};

uint64_t DrawSeed() {
  std::random_device device;
  return (uint64_t{device()} << 32) | device();
}

// Returns the wall clock in milliseconds, so that a later start has a higher
// incarnation. If the clock was set back, this VM refutes the state recorded by
// its peers with a higher incarnation at the first ping.
uint64_t MakeIncarnation() {
  auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

std::string Trimmed(const std::string& text) {
  return std::string(absl::StripAsciiWhitespace(text));
}

// Calls function with the name and value of each line.
template <typename Function>
void ForEachLine(const std::string& path, std::vector<std::string>* faults,
                 Function function) {
  std::ifstream file(path);
  if (!file) {
    faults->push_back("settings file \"" + path + "\" cannot be opened");
    return;
  }
  std::string line;
  while (std::getline(file, line)) {
    line = Trimmed(line);
    if (line.empty() || line.front() == '#') continue;
    size_t equals = line.find('=');
    if (equals == std::string::npos) {
      faults->push_back("settings file, line \"" + line +
                        "\" is not allowed; allowed is NAME=VALUE");
      continue;
    }
    function(Trimmed(line.substr(0, equals)), Trimmed(line.substr(equals + 1)));
  }
}

// Unknown names are ignored, since the platform may add some to the file.
std::vector<std::string> SetFlagsFromFile(const std::string& path) {
  std::vector<std::string> faults;
  ForEachLine(path, &faults,
              [&](const std::string& name, const std::string& value) {
                absl::CommandLineFlag* flag = absl::FindCommandLineFlag(name);
                std::string problem;
                if (flag == nullptr || flag->ParseFrom(value, &problem)) return;
                faults.push_back("settings file, " + name + ": \"" + value +
                                 "\" is not allowed; " + problem);
              });
  return faults;
}

Duration LimitOf(const char* name, int value_ms, SettingsChecker* check) {
  bool is_limit = value_ms >= 500 && value_ms <= 600000;
  if (!is_limit && value_ms != 0) {
    check->Add(name, absl::StrCat(value_ms),
               "0, or a whole number from 500 to 600000");
  }
  return Duration::Millis(value_ms);
}

SessionSettings ReadSessionSettings(SettingsChecker* check) {
  SessionSettings settings;
  settings.session_address =
      check->Address("session_address", absl::GetFlag(FLAGS_session_address));
  settings.ready_address =
      check->Address("ready_address", absl::GetFlag(FLAGS_ready_address));
  settings.metrics_address =
      check->Address("metrics_address", absl::GetFlag(FLAGS_metrics_address));
  settings.store_address = absl::GetFlag(FLAGS_store_address);
  check->Address("store_address", settings.store_address);
  settings.promotion_address = absl::GetFlag(FLAGS_promotion_address);
  check->Address("promotion_address", settings.promotion_address);
  constexpr double kPermille = 1000;
  int share = check->Range(
      "cpu_share (in thousandths)",
      static_cast<int>(absl::GetFlag(FLAGS_cpu_share) * kPermille), 10, 1000);
  int cores = check->Range("cores", absl::GetFlag(FLAGS_cores), 1, 1024);
  settings.cpu_permille = share * cores;
  int descriptors = check->Range(
      "max_descriptors", absl::GetFlag(FLAGS_max_descriptors), 256, 1000000);
  settings.max_sessions =
      static_cast<size_t>(std::max(descriptors - kReservedDescriptors, 64));
  int memory_mb = absl::GetFlag(FLAGS_memory_mb);
  if (memory_mb != 0 && (memory_mb < kLeastMemoryMb || memory_mb > 1000000)) {
    check->Add("memory_mb", absl::StrCat(memory_mb),
               absl::StrCat("0, or a whole number from ", kLeastMemoryMb,
                            " to 1000000"));
  }
  if (memory_mb == 0) memory_mb = kDefaultMemoryMb;
  settings.memory_bytes = static_cast<size_t>(memory_mb) << 20;
  constexpr double kMillisPerSecond = 1000;
  settings.stop_limit = Duration::Millis(check->Range(
      "grace_s (in milliseconds)",
      static_cast<int>(absl::GetFlag(FLAGS_grace_s) * kMillisPerSecond), 1000,
      600000));
  settings.drain_time = Duration::Millis(
      check->Range("drain_ms", absl::GetFlag(FLAGS_drain_ms), 2000, 600000));
  settings.apply_limit =
      LimitOf("apply_limit_ms", absl::GetFlag(FLAGS_apply_limit_ms), check);
  settings.key_age_limit =
      LimitOf("key_age_limit_ms", absl::GetFlag(FLAGS_key_age_limit_ms), check);
  settings.reads_nearby = absl::GetFlag(FLAGS_reads_nearby);
  settings.leave_cost = Duration::Millis(check->Range(
      "leave_cost_ms", absl::GetFlag(FLAGS_leave_cost_ms), 0, 10000));
  return settings;
}

}  // namespace

std::vector<std::string> ChangedSettings(const std::string& path) {
  std::vector<std::string> changes;
  ForEachLine(
      path, &changes, [&](const std::string& name, const std::string& value) {
        absl::CommandLineFlag* flag = absl::FindCommandLineFlag(name);
        if (flag == nullptr || flag->CurrentValue() == value) return;
        changes.push_back(name + ": " + flag->CurrentValue() + " to " + value);
      });
  return changes;
}

Settings ReadSettings(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "Daemon of fireflycart; one runs on each entry VM.\n"
      "Each flag can be set by an environment variable: --log_level by "
      "FIREFLYCART_LOG_LEVEL.\n"
      "Exit codes: 0 after a planned stop, 1 after a failure, 2 if settings "
      "are invalid.");
  absl::FlagsUsageConfig usage;
  usage.version_string = [] { return std::string(kVersion); };
  usage.contains_helpshort_flags = [](absl::string_view file) {
    return absl::StrContains(file, "daemon/settings");
  };
  usage.contains_help_flags = usage.contains_helpshort_flags;
  absl::SetFlagsUsageConfig(usage);
  std::vector<std::string> faults;
  const char* file = std::getenv(kSettingsVariable);
  if (file != nullptr) faults = SetFlagsFromFile(file);
  for (std::string& fault :
       SetFlagsFromEnvironment(UnknownVariables::kReport)) {
    faults.push_back(std::move(fault));
  }
  std::vector<char*> rest = absl::ParseCommandLine(argc, argv);
  SettingsChecker check;
  for (size_t i = 1; i < rest.size(); i++) {
    faults.push_back(absl::StrCat("argument \"", rest[i],
                                  "\" is not allowed; allowed are flags only"));
  }
  Settings settings;
  NodeIdentity& identity = settings.identity;
  identity.vm = VmId(check.Name("vm", absl::GetFlag(FLAGS_vm)));
  identity.data_centre =
      DataCentreId(check.Name("data_centre", absl::GetFlag(FLAGS_data_centre)));
  identity.address = absl::GetFlag(FLAGS_peer_address);
  identity.incarnation = MakeIncarnation();
  settings.peer_listen_address =
      check.Address("peer_address", identity.address);
  std::string listen = absl::GetFlag(FLAGS_peer_listen_address);
  if (!listen.empty()) {
    settings.peer_listen_address = check.Address("peer_listen_address", listen);
  }
  settings.settings_file = absl::GetFlag(FLAGS_settings);
  if (!absl::GetFlag(FLAGS_session_address).empty()) {
    settings.sessions = ReadSessionSettings(&check);
  } else {
    settings.http_address =
        check.Address("http_address", absl::GetFlag(FLAGS_http_address));
    settings.platform_address = absl::GetFlag(FLAGS_platform_address);
    check.Address("platform_address", settings.platform_address);
  }
  settings.caller_token = absl::GetFlag(FLAGS_caller_token);
  settings.operator_token = absl::GetFlag(FLAGS_operator_token);
  settings.log_level = check.OneOf("log_level", absl::GetFlag(FLAGS_log_level),
                                   {"debug", "info", "warning", "error"});
  settings.log_format = check.OneOf(
      "log_format", absl::GetFlag(FLAGS_log_format), {"text", "json"});
  settings.http_threads =
      check.Range("http_threads", absl::GetFlag(FLAGS_http_threads), 1, 64);
  int64_t seed = absl::GetFlag(FLAGS_seed);
  settings.seed = seed == 0 ? DrawSeed() : static_cast<uint64_t>(seed);
  Options& options = settings.options;
  options.set_stop_limit(Duration::Millis(check.Range(
      "stop_limit_ms", absl::GetFlag(FLAGS_stop_limit_ms), 1000, 600000)));
  options.set_probe_period(Duration::Millis(check.Range(
      "probe_period_ms", absl::GetFlag(FLAGS_probe_period_ms), 20, 60000)));
  options.set_isolation_limit(Duration::Millis(
      check.Range("isolation_limit_ms", absl::GetFlag(FLAGS_isolation_limit_ms),
                  500, 600000)));
  options.set_session_budget(static_cast<size_t>(check.Range(
      "session_budget", absl::GetFlag(FLAGS_session_budget), 100, 10000000)));
  options.set_caller_budget(static_cast<size_t>(check.Range(
      "caller_budget", absl::GetFlag(FLAGS_caller_budget), 10, 1000000)));
  faults.insert(faults.end(), check.faults().begin(), check.faults().end());
  if (!faults.empty()) {
    for (const std::string& fault : faults) std::cerr << fault << "\n";
    std::exit(kExitUsage);
  }
  return settings;
}

}  // namespace fireflycart
