// Iterates over the environment once and looks up each variable's flag.

#include "fireflycart/net/flag_environment.h"

#include <unistd.h>

#include "absl/flags/reflection.h"
#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"

namespace fireflycart {
namespace {

constexpr absl::string_view kPrefix = "FIREFLYCART_";

}  // namespace

std::vector<std::string> SetFlagsFromEnvironment(UnknownVariables unknown) {
  std::vector<std::string> errors;
  for (char** entry = environ; *entry != nullptr; entry++) {
    absl::string_view text(*entry);
    size_t equals = text.find('=');
    if (text.substr(0, kPrefix.size()) != kPrefix) continue;
    if (equals == absl::string_view::npos) continue;
    absl::string_view variable = text.substr(0, equals);
    std::string name = absl::AsciiStrToLower(variable.substr(kPrefix.size()));
    absl::CommandLineFlag* flag = absl::FindCommandLineFlag(name);
    if (flag == nullptr) {
      if (unknown == UnknownVariables::kReport) {
        errors.push_back(
            absl::StrCat(variable, ": no flag --", name, " exists"));
      }
      continue;
    }
    // The message omits the value, since it may be a secret.
    std::string error;
    if (!flag->ParseFrom(text.substr(equals + 1), &error)) {
      errors.push_back(
          absl::StrCat(variable, ": the value is not valid for flag --", name));
    }
  }
  return errors;
}

}  // namespace fireflycart
