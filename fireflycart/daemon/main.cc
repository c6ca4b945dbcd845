// The daemon of fireflycart; one runs on each entry VM.

#include <malloc.h>

#include <iostream>
#include <thread>

#include "fireflycart/core/error.h"
#include "fireflycart/daemon/daemon.h"
#include "fireflycart/daemon/logging.h"
#include "fireflycart/daemon/session_daemon.h"
#include "fireflycart/daemon/settings.h"
#include "fireflycart/net/stop_signal.h"

namespace {

constexpr int kExitFailure = 1;
// Blocks of this size go back to the system when they are freed. By default,
// the allocator raises the size with use, and large messages leave holes.
constexpr int kLargeBlockBytes = 256 << 10;

int ServeSessions(const fireflycart::Settings& settings) {
  mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes);
  fireflycart::StartStructuredLogging(settings.log_level, settings.identity.vm);
  try {
    fireflycart::SessionDaemon(settings).Run();
    return 0;
  } catch (const std::exception& e) {
    fireflycart::FlushStructuredLog();
    std::cerr << "fireflycartd: " << e.what() << "\n";
    return kExitFailure;
  }
}

}  // namespace

int main(int argc, char** argv) {
  fireflycart::Settings settings = fireflycart::ReadSettings(argc, argv);
  if (settings.sessions) return ServeSessions(settings);
  fireflycart::BlockStopSignals();
  fireflycart::StartLogging(settings.log_level, settings.log_format,
                            settings.identity.vm);
  try {
    fireflycart::Daemon daemon(settings);
    daemon.Start();
    // The signal is awaited on a detached thread, so that a failure ends the
    // process without a signal.
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
