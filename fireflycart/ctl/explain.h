// Collects what the structured logs of all VMs say about one request.
//
//   std::ifstream logs("all.log");
//   for (const std::string& line : ExplainRequest("5c0e7a21", &logs)) ...
//
// First come the lines that name the request, in order of time. Then comes what
// the VMs that handled it noted of groups, upstreams, other VMs and the store
// from kBefore before the first of them on. Text before the brace of a line is
// passed over, so that logs may carry prefixes.
//
// Limits: clocks of VMs may differ, and so may the order of lines. All lines
// that name no request are held in memory.

#ifndef FIREFLYCART_CTL_EXPLAIN_H_
#define FIREFLYCART_CTL_EXPLAIN_H_

#include <istream>
#include <string>
#include <vector>

#include "fireflycart/core/clock.h"

namespace fireflycart {

// Longer than the replacement of a primary that a request may have waited for.
constexpr Duration kBefore = Duration::Seconds(4);

// Empty if no line names the request.
std::vector<std::string> ExplainRequest(const std::string& id,
                                        std::istream* logs);

// Explains a request from the logs on standard input; returns the exit code.
int RunExplain(const std::string& id);

}  // namespace fireflycart

#endif  // FIREFLYCART_CTL_EXPLAIN_H_
