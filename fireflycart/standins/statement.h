// The statements that the stand-in understands; see upstream_group_model.h.

#ifndef FIREFLYCART_STANDINS_STATEMENT_H_
#define FIREFLYCART_STANDINS_STATEMENT_H_

#include <map>
#include <string>

#include "fireflycart/core/clock.h"

namespace fireflycart {

struct ParsedStatement {
  Duration cost;
  bool has_cost = false;
  std::string verb;
  std::string key;
  std::string value;
};

ParsedStatement ParseStatement(const std::string& statement);
bool IsValid(const ParsedStatement& parsed);
// Applies a write to the values; other statements change nothing.
void ApplyOperation(const std::string& operation,
                    std::map<std::string, std::string>* values);

}  // namespace fireflycart

#endif  // FIREFLYCART_STANDINS_STATEMENT_H_
