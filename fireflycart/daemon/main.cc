// The daemon of fireflycart, one on each entry VM.

#include <iostream>
#include <thread>

#include "fireflycart/core/error.h"
#include "fireflycart/daemon/daemon.h"
#include "fireflycart/daemon/logging.h"
#include "fireflycart/daemon/settings.h"
#include "fireflycart/net/stop_signal.h"

namespace {

constexpr int kExitFailure = 1;

}  // namespace

int main(int argc, char** argv) {
  fireflycart::Settings settings = fireflycart::ReadSettings(argc, argv);
  fireflycart::BlockStopSignals();
  fireflycart::StartLogging(settings.log_level, settings.log_format,
                            settings.identity.vm);
  try {
    fireflycart::Daemon daemon(settings);
    daemon.Start();
    // A failure ends the process even if no signal comes.
    std::thread([&daemon] {
      fireflycart::WaitForStopSignal();
      daemon.RequestStop();
    }).detach();
    return daemon.WaitUntilStopped() ? 0 : kExitFailure;
  } catch (const std::exception& e) {
    fireflycart::LogRecord(fireflycart::LogLevel::kError, "start", e.what());
    return kExitFailure;
  }
}
