// Sets flags from environment variables of the same names.

#ifndef FIREFLYCART_NET_FLAG_ENVIRONMENT_H_
#define FIREFLYCART_NET_FLAG_ENVIRONMENT_H_

#include <string>
#include <vector>

namespace fireflycart {

enum class UnknownVariables { kIgnore, kReport };

// Sets each flag `name` from the variable FIREFLYCART_NAME, in capitals. Must
// be called before the command line is parsed. Returns one error message for
// each variable whose value its flag does not accept and, with kReport, for
// each variable that matches no flag.
std::vector<std::string> SetFlagsFromEnvironment(UnknownVariables unknown);

}  // namespace fireflycart

#endif  // FIREFLYCART_NET_FLAG_ENVIRONMENT_H_
