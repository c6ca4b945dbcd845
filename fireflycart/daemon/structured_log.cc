// Boost.Log formats records into a buffer, which is written to standard output
// between events, without blocking. Records that do not fit are dropped and
// counted.

#include <fcntl.h>
#include <unistd.h>

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/unlocked_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/make_shared.hpp>
#include <chrono>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "fireflycart/daemon/logging.h"

namespace fireflycart {
namespace {

namespace logging = boost::log;

// Lines beyond this size are dropped until standard output accepts more.
constexpr size_t kMaxBufferBytes = size_t{256} << 10;

struct Output {
  std::string buffer;
  uint64_t dropped = 0;
  VmId vm;
  LogLevel lowest = LogLevel::kInfo;
};

Output& SharedOutput() {
  static Output* const output = new Output();
  return *output;
}

class BufferBackend : public logging::sinks::basic_formatted_sink_backend<
                          char, logging::sinks::concurrent_feeding> {
 public:
  void consume(const logging::record_view&, const std::string& line) {
    Output& output = SharedOutput();
    if (output.buffer.size() + line.size() > kMaxBufferBytes) {
      output.dropped++;
      return;
    }
    output.buffer += line;
    output.buffer += '\n';
  }
};

// Number of records of one event in the current second.
struct EventRate {
  int64_t second = -1;
  int written = 0;
  uint64_t left_out = 0;
};

// Returns true if one more record of the event may be written now.
bool AllowRecord(EventRate* rate, TimePoint now) {
  constexpr int64_t kMillisPerSecond = 1000;
  int64_t second = now.millis() / kMillisPerSecond;
  if (second != rate->second) {
    rate->second = second;
    rate->written = 0;
  }
  if (rate->written >= kMaxRecordsPerSecond) {
    rate->left_out++;
    return false;
  }
  rate->written++;
  return true;
}

// Other lines are dropped while a large one waits for standard output.
std::string Shortened(const std::string& value) {
  if (value.size() <= kMaxLoggedValueBytes) return value;
  return value.substr(0, kMaxLoggedValueBytes) + "... (" +
         std::to_string(value.size()) + " bytes)";
}

}  // namespace

void StartStructuredLogging(const std::string& lowest_level, const VmId& vm) {
  Output& output = SharedOutput();
  output.vm = vm;
  output.lowest = ParseLevel(lowest_level);
  int flags = fcntl(STDOUT_FILENO, F_GETFL);
  if (flags >= 0) fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  using Sink = logging::sinks::unlocked_sink<BufferBackend>;
  auto sink = boost::make_shared<Sink>(boost::make_shared<BufferBackend>());
  sink->set_formatter(logging::expressions::stream
                      << logging::expressions::smessage);
  logging::core::get()->add_sink(sink);
}

void LogStructured(const proxy::WriteRecord& record, TimePoint now) {
  static logging::sources::severity_logger<LogLevel>* const logger =
      new logging::sources::severity_logger<LogLevel>();
  static std::map<std::string, EventRate>* const rates =
      new std::map<std::string, EventRate>();
  Output& output = SharedOutput();
  if (record.level < output.lowest) return;
  EventRate& rate = (*rates)[std::string(record.part) + "." + record.event];
  if (!AllowRecord(&rate, now)) return;
  auto wall = std::chrono::system_clock::now().time_since_epoch();
  nlohmann::ordered_json json = {
      {"time_ms",
       std::chrono::duration_cast<std::chrono::milliseconds>(wall).count()},
      {"up_ms", now.millis()},
      {"level", LevelText(record.level)},
      {"vm", output.vm.value()},
      {"part", record.part},
      {"event", record.event}};
  for (const proxy::LogField& field : record.fields) {
    json[field.name] = Shortened(field.value);
  }
  if (rate.left_out > 0) json["left_out"] = rate.left_out;
  if (output.dropped > 0) json["dropped"] = output.dropped;
  rate.left_out = 0;
  output.dropped = 0;
  BOOST_LOG_SEV(*logger, record.level)
      << json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void FlushStructuredLog() {
  std::string& buffer = SharedOutput().buffer;
  if (buffer.empty()) return;
  ssize_t written = write(STDOUT_FILENO, buffer.data(), buffer.size());
  if (written > 0) buffer.erase(0, static_cast<size_t>(written));
}

}  // namespace fireflycart
