// Gives flags the values of environment variables of the same names.

#ifndef FIREFLYCART_NET_FLAG_ENVIRONMENT_H_
#define FIREFLYCART_NET_FLAG_ENVIRONMENT_H_

#include <string>
#include <vector>

namespace fireflycart {

enum class UnknownVariables { kIgnore, kReport };

// Sets each flag NAME from FIREFLYCART_NAME, in capitals. Call it before the
// command line is parsed. Returns the faults: variables whose value does not
// fit, and, if asked for, variables that match no flag.
std::vector<std::string> SetFlagsFromEnvironment(UnknownVariables unknown);

}  // namespace fireflycart

#endif  // FIREFLYCART_NET_FLAG_ENVIRONMENT_H_
