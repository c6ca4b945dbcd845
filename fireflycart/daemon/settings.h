// Settings of the daemon, from flags and environment variables. A flag goes
// before the variable of the same name (FIREFLYCART_ and the flag in capitals),
// which goes before the default.
//
//   Settings settings = ReadSettings(argc, argv);   // may end the process
//
// Limits: all faults are reported at once; the process then ends with
// kExitUsage.

#ifndef FIREFLYCART_DAEMON_SETTINGS_H_
#define FIREFLYCART_DAEMON_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "fireflycart/core/options.h"
#include "fireflycart/core/reducer.h"
#include "fireflycart/net/address.h"

namespace fireflycart {

constexpr int kExitUsage = 2;

struct Settings {
  NodeIdentity identity;
  IpAddress peer_address;
  IpAddress http_address;
  std::string platform_address;
  std::string caller_token;    // Empty: callers need none.
  std::string operator_token;  // Empty: operators need none.
  std::string log_level;
  std::string log_format;
  int http_threads = 1;
  uint64_t seed = 0;
  Options options;
};

// Reads and checks the settings. Prints all faults and exits if there are any.
Settings ReadSettings(int argc, char** argv);

}  // namespace fireflycart

#endif  // FIREFLYCART_DAEMON_SETTINGS_H_
