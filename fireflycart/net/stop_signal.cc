// Blocked signals stay pending until sigwait takes one.

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
  // Writing to a closed connection is an error to handle, not a reason to end.
  signal(SIGPIPE, SIG_IGN);
}

void WaitForStopSignal() {
  sigset_t signals = StopSignals();
  int received = 0;
  sigwait(&signals, &received);
}

}  // namespace fireflycart
