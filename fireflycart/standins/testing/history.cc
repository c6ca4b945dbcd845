// Entries are joined by commas in the order in which they were written.

#include "fireflycart/standins/testing/history.h"

#include <set>
#include <sstream>

namespace fireflycart {
namespace {

std::map<std::string, int> Count(const std::string& value) {
  std::map<std::string, int> counts;
  std::istringstream in(value);
  std::string entry;
  while (std::getline(in, entry, ',')) counts[entry]++;
  return counts;
}

}  // namespace

void History::OnWriteStarted(const std::string& list,
                             const std::string& entry) {
  lists_[list][entry];
}

History::Faults History::OnWriteAnswer(const std::string& list,
                                       const std::string& entry,
                                       Outcome outcome, TimePoint now) {
  Faults faults;
  Entry& known = lists_[list][entry];
  if (outcome == Outcome::kUnknown) {
    unknown_++;
    return faults;
  }
  if (known.outcome && *known.outcome == Outcome::kDone &&
      outcome == Outcome::kNotRun) {
    faults.push_back(entry + " was done and then called not run");
  }
  if (outcome == Outcome::kDone) {
    done_++;
    if (!known.outcome || *known.outcome != Outcome::kDone) known.done_at = now;
  } else {
    not_run_++;
  }
  if (!known.outcome || outcome == Outcome::kDone) known.outcome = outcome;
  return faults;
}

History::Faults History::CheckOwnRead(const std::string& list,
                                      const std::string& result,
                                      TimePoint started) const {
  return Missing(list, result, started, "own write missed: ");
}

History::Faults History::CheckAgedRead(const std::string& list,
                                       const std::string& result,
                                       TimePoint started,
                                       Duration max_age) const {
  return Missing(list, result, started - max_age, "older than accepted: ");
}

History::Faults History::CheckFinal(const std::string& list,
                                    const std::string& value) const {
  Faults faults;
  std::map<std::string, int> counts = Count(value);
  auto found = lists_.find(list);
  if (found == lists_.end()) return faults;
  for (const auto& item : found->second) {
    int count = counts[item.first];
    if (count > 1) faults.push_back("doubled: " + item.first);
    if (!item.second.outcome) continue;
    bool done = *item.second.outcome == Outcome::kDone;
    if (done && count == 0) faults.push_back("lost: " + item.first);
    if (!done && count > 0) faults.push_back("ran: " + item.first);
  }
  return faults;
}

std::vector<std::string> History::Lists() const {
  std::vector<std::string> names;
  for (const auto& item : lists_) names.push_back(item.first);
  return names;
}

History::Faults History::Missing(const std::string& list,
                                 const std::string& result,
                                 TimePoint done_before,
                                 const char* what) const {
  Faults faults;
  auto found = lists_.find(list);
  if (found == lists_.end()) return faults;
  std::map<std::string, int> counts = Count(result);
  for (const auto& item : found->second) {
    const Entry& entry = item.second;
    bool done = entry.outcome && *entry.outcome == Outcome::kDone;
    bool needed = done && entry.done_at < done_before;
    if (needed && counts[item.first] == 0) {
      faults.push_back(what + item.first);
    }
  }
  return faults;
}

}  // namespace fireflycart
