// Blocked signals stay pending until sigwait accepts one.

#include "fireflycart/net/stop_signal.h"

#include <signal.h>

namespace fireflycart {
namespace {

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

}  // namespace

void BlockStopSignals() {
  sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  // Writing to a closed connection must return an error, not end the process.
  signal(SIGPIPE, SIG_IGN);
}

void WaitForStopSignal() {
  sigset_t signals = StopSignals();
  int received = 0;
  sigwait(&signals, &received);
}

}  // namespace fireflycart
