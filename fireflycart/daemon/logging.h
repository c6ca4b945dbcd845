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
#include "fireflycart/core/proxy/proxy_event.h"

namespace fireflycart {

// Lower-case name of a level.
const char* LevelText(LogLevel level);
// The level of that name; kInfo if there is none.
LogLevel LevelOf(const std::string& text);

void StartLogging(const std::string& lowest_level, const std::string& format,
                  const VmId& vm);

// May be called from any thread. part is the fixed prefix of the speaker.
void LogRecord(LogLevel level, const std::string& part,
               const std::string& text);

// Structured records of daemons that serve sessions: JSON lines on standard
// output. At most kRecordsPerSecond lines of each event are written; the next
// one tells how many were left out. A reader that is slow loses lines, and a
// later line tells how many; the daemon never waits for it.
constexpr int kRecordsPerSecond = 25;

void StartStructuredLogging(const std::string& lowest_level, const VmId& vm);

// From one thread only.
void LogStructured(const proxy::WriteRecord& record, TimePoint now);

// Hands written records to standard output as far as it takes them.
void FlushStructuredLog();

}  // namespace fireflycart

#endif  // FIREFLYCART_DAEMON_LOGGING_H_
