// Logging of the daemon: one record per line, with time, level, part
// (component) and VM, as text or JSON.
//
//   StartLogging("info", "text", VmId("gbg-a-1"));
//   LogRecord(LogLevel::kInfo, "takeover", "Serving yield-1.");
//
// Limits: texts must contain no secrets; they are not filtered here.

#ifndef FIREFLYCART_DAEMON_LOGGING_H_
#define FIREFLYCART_DAEMON_LOGGING_H_

#include <cstddef>
#include <string>

#include "fireflycart/core/effect.h"
#include "fireflycart/core/proxy/proxy_event.h"

namespace fireflycart {

// Returns the lower-case name of a level.
const char* LevelText(LogLevel level);
// Returns the level of that name, or kInfo if there is none.
LogLevel ParseLevel(const std::string& text);

void StartLogging(const std::string& lowest_level, const std::string& format,
                  const VmId& vm);

// May be called from any thread. part is the fixed name of the component that
// logs.
void LogRecord(LogLevel level, const std::string& part,
               const std::string& text);

// Structured records of daemons that serve sessions: JSON lines on standard
// output. At most kMaxRecordsPerSecond lines of each event are written; the
// field left_out of the event's next line has the number of omitted ones. Lines
// are dropped if standard output is read too slowly, since the daemon never
// blocks on it; the field dropped of a later line has their number.
constexpr int kMaxRecordsPerSecond = 25;
// Longer values of fields are cut, as some are texts of callers.
constexpr size_t kMaxLoggedValueBytes = 1024;

void StartStructuredLogging(const std::string& lowest_level, const VmId& vm);

// Must be called from one thread only.
void LogStructured(const proxy::WriteRecord& record, TimePoint now);

// Writes buffered records to standard output as far as possible without
// blocking.
void FlushStructuredLog();

}  // namespace fireflycart

#endif  // FIREFLYCART_DAEMON_LOGGING_H_
