// What a set of sessions was told, and the check of it against the database.
//
//   history.OnWriteAnswer(list, entry, answer.outcome, now);
//   auto faults = history.CheckRead(list, result, started, max_age);
//   auto faults = history.CheckFinal(list, value_at_primary);
//
// Each session appends unique entries to a list of its own. Expected of an
// entry, by the outcome of its write: done: exactly once; not run: never;
// unknown: at most once. The first outcome that is certain stands.

#ifndef FIREFLYCART_STANDINS_TESTING_HISTORY_H_
#define FIREFLYCART_STANDINS_TESTING_HISTORY_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fireflycart/core/clock.h"
#include "fireflycart/core/request.h"

namespace fireflycart {

class History {
 public:
  using Faults = std::vector<std::string>;

  // A write was sent; its outcome is open until an answer comes.
  void OnWriteStarted(const std::string& list, const std::string& entry);
  // Returns faults, such as a "not run" after a "done".
  Faults OnWriteAnswer(const std::string& list, const std::string& entry,
                       Outcome outcome, TimePoint now);

  // Checks what a session read of its own list: all that was done before the
  // read started must be there.
  Faults CheckOwnRead(const std::string& list, const std::string& result,
                      TimePoint started) const;
  // Checks what anybody read with an accepted age: all that was done more than
  // that age before the read started must be there.
  Faults CheckAgedRead(const std::string& list, const std::string& result,
                       TimePoint started, Duration max_age) const;
  Faults CheckFinal(const std::string& list, const std::string& value) const;

  // The lists that have entries.
  std::vector<std::string> Lists() const;
  int done() const { return done_; }
  int unknown() const { return unknown_; }
  int not_run() const { return not_run_; }

 private:
  struct Entry {
    std::optional<Outcome> outcome;
    TimePoint done_at;
  };

  Faults Missing(const std::string& list, const std::string& result,
                 TimePoint done_before, const char* what) const;

  std::map<std::string, std::map<std::string, Entry>> lists_;
  int done_ = 0;
  int unknown_ = 0;
  int not_run_ = 0;
};

}  // namespace fireflycart

#endif  // FIREFLYCART_STANDINS_TESTING_HISTORY_H_
