// Labels of the metrics page, whose values are names of operators and callers.
//
//   page += "fireflycart_sessions{" + MetricLabel("group", name) + "} 3\n";

#ifndef FIREFLYCART_DAEMON_METRIC_LABEL_H_
#define FIREFLYCART_DAEMON_METRIC_LABEL_H_

#include <string>

namespace fireflycart {

// Returns NAME="VALUE", with the value escaped as the text format demands.
std::string MetricLabel(const char* name, const std::string& value);

}  // namespace fireflycart

#endif  // FIREFLYCART_DAEMON_METRIC_LABEL_H_
