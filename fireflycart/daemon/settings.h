// Settings of the daemon, from flags, environment variables and a settings
// file. A flag overrides the variable of the same name (FIREFLYCART_ and the
// flag in capitals), which overrides the line NAME=VALUE of the file, which
// overrides the default.
//
//   Settings settings = ReadSettings(argc, argv);   // may end the process
//
// Limits: all errors are reported at once; the process then exits with
// kExitUsage.

#ifndef FIREFLYCART_DAEMON_SETTINGS_H_
#define FIREFLYCART_DAEMON_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fireflycart/core/options.h"
#include "fireflycart/core/reducer.h"
#include "fireflycart/net/address.h"

namespace fireflycart {

constexpr int kExitUsage = 2;

// Settings of a daemon that serves sessions on the prepared platform.
struct SessionSettings {
  IpAddress session_address;
  IpAddress ready_address;
  IpAddress metrics_address;
  std::string store_address;
  std::string promotion_address;
  int cpu_permille = 1000;
  size_t max_sessions = 1;
  size_t memory_bytes = 0;  // Of the machine.
  Duration stop_limit;
  Duration drain_time;
  Duration apply_limit;    // Zero if there is none, as below.
  Duration key_age_limit;  // Zero if there is none.
  bool reads_nearby = true;
  Duration leave_cost;
};

struct Settings {
  std::string settings_file;  // Empty: none.
  // Set if --session_address is given; the daemon then serves sessions.
  std::optional<SessionSettings> sessions;
  NodeIdentity identity;
  IpAddress peer_listen_address;
  IpAddress http_address;
  std::string platform_address;
  std::string caller_token;    // Empty: not required.
  std::string operator_token;  // Empty: not required.
  std::string log_level;
  std::string log_format;
  int http_threads = 1;
  uint64_t seed = 0;
  Options options;
};

// Reads and checks the settings. Prints all errors and exits if there are any.
Settings ReadSettings(int argc, char** argv);

// Reads the settings file again and returns the settings that would change, as
// "NAME: OLD to NEW". The changes take effect after a restart.
std::vector<std::string> ChangedSettings(const std::string& path);

}  // namespace fireflycart

#endif  // FIREFLYCART_DAEMON_SETTINGS_H_
