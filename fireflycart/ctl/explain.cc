// The logs are read once. The lines of the request and the lines without a
// request id are kept by time. Which of the latter are relevant is decided at
// the end, by the VMs, the groups and the times of the request's lines.

#include "fireflycart/ctl/explain.h"

#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "fireflycart/core/short_text.h"
#include "fireflycart/ctl/commands.h"

namespace fireflycart {
namespace {

using nlohmann::json;
using Lines = std::multimap<int64_t, json>;

// Fields that Format prints first (time_ms, vm, part and event) or omits (up_ms
// and level).
const std::set<std::string>& HeaderFields() {
  static const auto* fields = new std::set<std::string>{
      "time_ms", "up_ms", "level", "vm", "part", "event"};
  return *fields;
}

std::string Text(const json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string Field(const json& line, const char* name) {
  auto found = line.find(name);
  return found == line.end() ? "" : Text(*found);
}

// Values are texts of callers in part. One that could pass for another field or
// line, or that a terminal would interpret, is printed as a JSON string.
std::string PrintedValue(const json& value) {
  std::string text = Text(value);
  bool is_plain =
      IsName(text) && text.find_first_of("\"=") == std::string::npos;
  if (is_plain || !value.is_string()) return text;
  return value.dump(-1, ' ', true, json::error_handler_t::replace);
}

std::string Format(const json& line) {
  std::string text = Field(line, "time_ms") + " " + Field(line, "vm") + " " +
                     Field(line, "part") + "." + Field(line, "event");
  for (const auto& item : line.items()) {
    if (HeaderFields().count(item.key()) != 0) continue;
    text += " " + item.key() + "=" + PrintedValue(item.value());
  }
  return text;
}

// Returns false if the text contains no log line.
bool ParseLogLine(const std::string& text, json* line, int64_t* time_ms) {
  size_t brace = text.find('{');
  if (brace == std::string::npos) return false;
  *line = json::parse(text.begin() + static_cast<std::ptrdiff_t>(brace),
                      text.end(), nullptr, false);
  if (!line->is_object()) return false;
  auto time = line->find("time_ms");
  if (time == line->end() || !time->is_number_integer()) return false;
  *time_ms = time->get<int64_t>();
  return true;
}

// Returns the VMs and groups in the lines of the request.
std::set<std::string> InvolvedNames(const Lines& request) {
  std::set<std::string> names;
  for (const auto& item : request) {
    for (const char* field : {"vm", "peer", "group"}) {
      names.insert(Field(item.second, field));
    }
  }
  names.erase("");
  return names;
}

bool IsRelevant(const json& line, const std::set<std::string>& involved) {
  std::string group = Field(line, "group");
  bool is_of_vm = involved.count(Field(line, "vm")) != 0;
  return is_of_vm && (group.empty() || involved.count(group) != 0);
}

}  // namespace

std::vector<std::string> ExplainRequest(const std::string& id,
                                        std::istream* logs) {
  Lines request;
  Lines context;
  std::string text;
  while (std::getline(*logs, text)) {
    json line;
    int64_t time_ms = 0;
    if (!ParseLogLine(text, &line, &time_ms)) continue;
    if (Field(line, "id") == id) {
      request.emplace(time_ms, std::move(line));
    } else if (!line.contains("id")) {
      context.emplace(time_ms, std::move(line));
    }
  }
  std::vector<std::string> lines;
  if (request.empty()) return lines;
  for (const auto& item : request) lines.push_back(Format(item.second));
  std::set<std::string> involved = InvolvedNames(request);
  auto from =
      context.lower_bound(request.begin()->first - kContextBefore.millis());
  auto to = context.upper_bound(request.rbegin()->first);
  for (auto it = from; it != to; ++it) {
    if (IsRelevant(it->second, involved)) {
      lines.push_back("  " + Format(it->second));
    }
  }
  return lines;
}

int RunExplain(const std::string& id) {
  std::vector<std::string> lines = ExplainRequest(id, &std::cin);
  if (lines.empty()) {
    std::cerr << "explain: no log line has the request id \"" << id
              << "\"; requests that succeed are not logged\n";
    return kExitFailed;
  }
  for (const std::string& line : lines) std::cout << line << "\n";
  return kExitOk;
}

}  // namespace fireflycart
