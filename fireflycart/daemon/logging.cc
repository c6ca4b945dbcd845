// Boost.Log with one console sink. Part and level are attributes of the record,
// so that sinks can filter and format them.

#include "fireflycart/daemon/logging.h"

#include <boost/date_time/posix_time/posix_time.hpp>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/attributes/constant.hpp>
#include <boost/log/attributes/mutable_constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_channel_logger.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <iostream>
#include <nlohmann/json.hpp>

namespace fireflycart {
namespace {

namespace logging = boost::log;
using Logger =
    logging::sources::severity_channel_logger_mt<LogLevel, std::string>;

// The attributes of one record as text.
struct RecordFields {
  std::string time;
  std::string level;
  std::string part;
  std::string vm;
  std::string text;
};

RecordFields ExtractFields(const logging::record_view& record) {
  RecordFields fields;
  auto time = logging::extract<boost::posix_time::ptime>("TimeStamp", record);
  if (time) fields.time = boost::posix_time::to_iso_extended_string(*time);
  auto level = logging::extract<LogLevel>("Severity", record);
  if (level) fields.level = LevelText(*level);
  auto part = logging::extract<std::string>("Channel", record);
  if (part) fields.part = *part;
  auto vm = logging::extract<std::string>("Vm", record);
  if (vm) fields.vm = *vm;
  auto text = logging::extract<std::string>("Message", record);
  if (text) fields.text = *text;
  return fields;
}

void FormatText(const logging::record_view& record,
                logging::formatting_ostream& out) {
  RecordFields f = ExtractFields(record);
  out << f.time << " level=" << f.level << " vm=" << f.vm << " [" << f.part
      << "] " << f.text;
}

void FormatJson(const logging::record_view& record,
                logging::formatting_ostream& out) {
  RecordFields f = ExtractFields(record);
  nlohmann::json json = {{"time", f.time},
                         {"level", f.level},
                         {"vm", f.vm},
                         {"part", f.part},
                         {"text", f.text}};
  out << json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace

const char* LevelText(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "unknown";
}

LogLevel ParseLevel(const std::string& text) {
  if (text == "debug") return LogLevel::kDebug;
  if (text == "warning") return LogLevel::kWarning;
  if (text == "error") return LogLevel::kError;
  return LogLevel::kInfo;
}

void StartLogging(const std::string& lowest_level, const std::string& format,
                  const VmId& vm) {
  logging::add_common_attributes();
  logging::core::get()->add_global_attribute(
      "Vm", logging::attributes::constant<std::string>(vm.value()));
  auto sink = logging::add_console_log(std::cerr);
  if (format == "json") {
    sink->set_formatter(&FormatJson);
  } else {
    sink->set_formatter(&FormatText);
  }
  sink->locked_backend()->auto_flush(true);
  LogLevel lowest = ParseLevel(lowest_level);
  sink->set_filter([lowest](const logging::attribute_value_set& values) {
    auto level = logging::extract<LogLevel>("Severity", values);
    return level && *level >= lowest;
  });
}

void LogRecord(LogLevel level, const std::string& part,
               const std::string& text) {
  static Logger* const logger = new Logger();
  BOOST_LOG_CHANNEL_SEV(*logger, part, level) << text;
}

}  // namespace fireflycart
