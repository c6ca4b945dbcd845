// Collects the lines about one request from the structured logs of all VMs.
//
//   std::ifstream logs("all.log");
//   for (const std::string& line : ExplainRequest("5c0e7a21", &logs)) ...
//
// The lines with the id of the request come first, in order of time. The
// context follows: lines without a request id, logged by the VMs that handled
// the request about its groups, upstreams, other VMs and the store, from
// kContextBefore before the first line of the request to its last. Text before
// the first brace of a line is skipped, so that log lines may have prefixes.
//
// Limits: if the clocks of VMs differ, lines may be in the wrong order. All
// lines without a request id are held in memory.

#ifndef FIREFLYCART_CTL_EXPLAIN_H_
#define FIREFLYCART_CTL_EXPLAIN_H_

#include <istream>
#include <string>
#include <vector>

#include "fireflycart/core/clock.h"

namespace fireflycart {

// Longer than the replacement of a primary, for which the request may have been
// queued.
constexpr Duration kContextBefore = Duration::Seconds(4);

// Returns no lines if none has the id of the request.
std::vector<std::string> ExplainRequest(const std::string& id,
                                        std::istream* logs);

// Explains a request from the logs on standard input; returns the exit code.
int RunExplain(const std::string& id);

}  // namespace fireflycart

#endif  // FIREFLYCART_CTL_EXPLAIN_H_
