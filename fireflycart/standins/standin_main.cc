#include "fireflycart/standins/standin_main.h"

#include <exception>
#include <iostream>

#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "fireflycart/net/stop_signal.h"

namespace fireflycart {

int RunStandin(int argc, char** argv, const char* usage, int (*run)()) {
  absl::SetProgramUsageMessage(usage);
  absl::ParseCommandLine(argc, argv);
  BlockStopSignals();
  try {
    return run();
  } catch (const std::exception& e) {
    std::cerr << e.what() << "\n";
    return 1;
  }
}

}  // namespace fireflycart
