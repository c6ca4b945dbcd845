// Fuzz targets, one for each parser of external input. Each accepts arbitrary
// bytes and must not crash. It may throw Error to refuse the input.

#ifndef FIREFLYCART_DAEMON_TESTING_FUZZ_TARGETS_H_
#define FIREFLYCART_DAEMON_TESTING_FUZZ_TARGETS_H_

#include <string>
#include <vector>

namespace fireflycart {

struct FuzzTarget {
  const char* name;
  void (*run)(const std::string& input);
  // Valid inputs that are mutated.
  std::vector<std::string> seeds;
};

std::vector<FuzzTarget> FuzzTargets();

}  // namespace fireflycart

#endif  // FIREFLYCART_DAEMON_TESTING_FUZZ_TARGETS_H_
