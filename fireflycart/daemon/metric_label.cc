// The text format escapes backslash, quote and line feed in values.

#include "fireflycart/daemon/metric_label.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"

namespace fireflycart {

std::string MetricLabel(const char* name, const std::string& value) {
  std::string escaped = absl::StrReplaceAll(
      value, {{"\\", R"(\\)"}, {"\"", R"(\")"}, {"\n", R"(\n)"}});
  return absl::StrCat(name, "=\"", escaped, "\"");
}

}  // namespace fireflycart
