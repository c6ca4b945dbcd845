// The commands of the operators' tool. Each returns an exit code.
//
//   return RunCheck("configuration.json");
//
// Limits: a command throws Error if a file cannot be read or no daemon answers.

#ifndef FIREFLYCART_CTL_COMMANDS_H_
#define FIREFLYCART_CTL_COMMANDS_H_

#include <cstdint>
#include <string>
#include <vector>

namespace fireflycart {

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;    // The daemon or the load reported a failure.
constexpr int kExitUsage = 2;     // The command line is invalid.
constexpr int kExitInvalid = 3;   // The configuration is not valid.
constexpr int kExitConflict = 4;  // Another change came first.

struct CommandOptions {
  std::vector<std::string> servers;  // IP:PORT of daemons, tried in order.
  std::string token;
  std::string operator_name;
  int64_t base = -1;  // Below 0: the version in force now.
  int timeout_ms = 10000;
  int limit = 20;
};

// Checks a file without a daemon and prints all problems.
int RunCheck(const std::string& file);
// Prints what submitting the file would change.
int RunDiff(const CommandOptions& options, const std::string& file);
// Submits a file; prints the changes made since the base after a conflict.
int RunSubmit(const CommandOptions& options, const std::string& file);
// Prints the configuration in force.
int RunShow(const CommandOptions& options);
// Prints each VM with the version in force there, and the coordinator and
// primary of each group.
int RunStatus(const CommandOptions& options);
// Prints the accepted changes, newest first.
int RunAudit(const CommandOptions& options);

}  // namespace fireflycart

#endif  // FIREFLYCART_CTL_COMMANDS_H_
