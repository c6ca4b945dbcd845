// Waiting for SIGTERM or SIGINT.
//
//   BlockStopSignals();     // before any thread is started
//   WaitForStopSignal();    // on the main thread

#ifndef FIREFLYCART_NET_STOP_SIGNAL_H_
#define FIREFLYCART_NET_STOP_SIGNAL_H_

namespace fireflycart {

// Keeps the stop signals from ending the process, in this and later threads.
void BlockStopSignals();

// Returns when one of the stop signals arrives.
void WaitForStopSignal();

}  // namespace fireflycart

#endif  // FIREFLYCART_NET_STOP_SIGNAL_H_
