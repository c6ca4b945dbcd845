// Logs of the daemon: one record a line, with time, level, part and VM, as text
// or JSON.
//
//   StartLogging("info", "text", VmId("gbg-a-1"));
//   LogRecord(LogLevel::kInfo, "takeover", "Serving yield-1.");
//
// Limits: texts must carry no secrets; nothing here can find them.

#ifndef FIREFLYCART_DAEMON_LOGGING_H_
#define FIREFLYCART_DAEMON_LOGGING_H_

#include <string>

#include "fireflycart/core/effect.h"

namespace fireflycart {

void StartLogging(const std::string& lowest_level, const std::string& format,
                  const VmId& vm);

// May be called from any thread. part is the fixed prefix of the speaker.
void LogRecord(LogLevel level, const std::string& part,
               const std::string& text);

}  // namespace fireflycart

#endif  // FIREFLYCART_DAEMON_LOGGING_H_
