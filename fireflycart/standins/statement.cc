// Words separated by spaces; the optional cost comes first.

#include "fireflycart/standins/statement.h"

#include <cstdlib>
#include <sstream>

namespace fireflycart {
namespace {

bool IsWriteVerb(const std::string& verb) {
  return verb == "put" || verb == "append";
}

}  // namespace

ParsedStatement ParseStatement(const std::string& statement) {
  std::istringstream in(statement);
  ParsedStatement parsed;
  in >> parsed.verb;
  const std::string prefix = "cost=";
  if (parsed.verb.compare(0, prefix.size(), prefix) == 0) {
    parsed.cost = Duration::Millis(
        std::strtoll(parsed.verb.c_str() + prefix.size(), nullptr, 10));
    parsed.has_cost = true;
    in >> parsed.verb;
  }
  in >> parsed.key >> parsed.value;
  return parsed;
}

bool IsValid(const ParsedStatement& parsed) {
  if (parsed.verb == "get") return !parsed.key.empty();
  return IsWriteVerb(parsed.verb) && !parsed.key.empty() &&
         !parsed.value.empty();
}

void ApplyOperation(const std::string& operation,
                    std::map<std::string, std::string>* values) {
  ParsedStatement parsed = ParseStatement(operation);
  std::string& value = (*values)[parsed.key];
  if (parsed.verb == "put") {
    value = parsed.value;
  } else if (parsed.verb == "append") {
    value += (value.empty() ? "" : ",") + parsed.value;
  }
}

}  // namespace fireflycart
