// A fuzz target for each parser of outside input. Each takes any bytes and must
// return without a crash; an Error is a proper refusal.

#ifndef FIREFLYCART_DAEMON_TESTING_FUZZ_TARGETS_H_
#define FIREFLYCART_DAEMON_TESTING_FUZZ_TARGETS_H_

#include <string>
#include <vector>

namespace fireflycart {

struct FuzzTarget {
  const char* name;
  void (*run)(const std::string& input);
  // Valid inputs to start from.
  std::vector<std::string> seeds;
};

std::vector<FuzzTarget> FuzzTargets();

}  // namespace fireflycart

#endif  // FIREFLYCART_DAEMON_TESTING_FUZZ_TARGETS_H_
