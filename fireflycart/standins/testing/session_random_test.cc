// Seeded random runs of the prepared platform in virtual time: faults come in
// series and overlap, and are mended at the end. What must always hold is
// checked all the while.
//
//   fireflycart_session_random_test --seed=1 --runs=20

#include <algorithm>
#include <iostream>
#include <random>
#include <string>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "fireflycart/core/error.h"
#include "fireflycart/standins/testing/session_world.h"

ABSL_FLAG(uint64_t, seed, 1, "First seed.");
ABSL_FLAG(int, runs, 20, "Seeds to run.");
ABSL_FLAG(bool, stop_at_failure, false, "Stop at the first seed that fails.");
ABSL_FLAG(bool, log, false, "Print the log of a run that fails.");

namespace fireflycart::standins {
namespace {

constexpr int kFaults = 14;
constexpr Duration kCalm = Duration::Seconds(3);

class RandomRun {
 public:
  explicit RandomRun(uint64_t seed) : random_(seed), world_(Options(), seed) {}

  // Returns the first broken promise; empty if there is none.
  std::string Run() {
    world_.Run(kCalm);
    for (int i = 0; i < kFaults; i++) {
      InjectFault();
      world_.Run(Duration::Millis(static_cast<int64_t>(Random(900))));
    }
    Mend();
    world_.Run(Duration::Seconds(8));
    int before = world_.counts().done;
    world_.Run(Duration::Seconds(2));
    world_.CheckEffects();
    if (!world_.problem().empty()) return world_.problem();
    if (world_.counts().done - before < 100) return "service did not return";
    return "";
  }

  void PrintCounts() {
    const SessionCounts& counts = world_.counts();
    std::cout << " done " << counts.done << " refused " << counts.refused
              << " unknown " << counts.open << " promotions "
              << world_.promotions();
  }

  void PrintLog() {
    for (const std::string& line : world_.TakeLog()) std::cout << line << "\n";
  }

 private:
  SessionWorldOptions Options() {
    SessionWorldOptions options;
    options.vms = 4;
    options.callers = 16;
    options.database.promote_time =
        Duration::Millis(300 + static_cast<int64_t>(Random(800)));
    options.database.apply_lag =
        Duration::Millis(static_cast<int64_t>(Random(60)));
    return options;
  }

  uint64_t Random(uint64_t bound) { return random_() % bound; }
  std::string RandomVm() { return "vm-" + std::to_string(Random(4)); }
  UpstreamId RandomUpstream() {
    const char* letters = "abc";
    return UpstreamId(std::string("up-") + letters[Random(3)]);
  }
  std::string RandomPeer() {
    switch (Random(3)) {
      case 0:
        return RandomVm();
      case 1:
        return RandomUpstream().value();
      default:
        return "store";
    }
  }

  void InjectFault() {
    switch (Random(10)) {
      case 0:
        world_.KillVm(static_cast<int>(Random(4)));
        break;
      case 1:
        StartDeadVm();
        break;
      case 2:
        world_.FreezeVm(static_cast<int>(Random(4)),
                        Duration::Millis(static_cast<int64_t>(Random(4000))));
        break;
      case 3:
        CrashOne(RandomUpstream());
        break;
      case 4:
        CrashOne(world_.primary());
        break;
      case 5:
        RestartAll();
        break;
      case 6:
        world_.CutPrimaryFromReplicas();
        break;
      case 7:
        world_.MendAll();
        break;
      case 8:
        world_.database().LoseAnswers(static_cast<int>(Random(5)));
        break;
      default:
        CutPair();
    }
  }

  void CutPair() {
    std::string a = RandomVm();
    std::string b = RandomPeer();
    if (a != b) world_.Cut(a, b);
  }

  // At most one upstream is down: two may have the only copies of a commit.
  void CrashOne(const UpstreamId& id) {
    bool all_running = true;
    for (const char* name : {"up-a", "up-b", "up-c"}) {
      all_running =
          all_running && world_.database().IsRunning(UpstreamId(name));
    }
    if (all_running && id != UpstreamId()) world_.CrashUpstream(id);
  }

  void StartDeadVm() {
    for (int vm = 0; vm < 4; vm++) {
      if (world_.vm(vm) == nullptr) world_.StartVm(vm);
    }
  }

  void RestartAll() {
    for (const char* name : {"up-a", "up-b", "up-c"}) {
      UpstreamId id(name);
      if (!world_.database().IsRunning(id)) world_.RestartUpstream(id);
    }
  }

  void Mend() {
    world_.MendAll();
    StartDeadVm();
    RestartAll();
  }

  std::mt19937_64 random_;
  SessionWorld world_;
};

int RunAll(uint64_t first, int runs) {
  int failures = 0;
  for (int i = 0; i < runs; i++) {
    uint64_t seed = first + static_cast<uint64_t>(i);
    RandomRun run(seed);
    std::string problem;
    try {
      problem = run.Run();
    } catch (const Error& e) {
      problem = e.what();
    }
    std::cout << "seed " << seed << ":";
    run.PrintCounts();
    std::cout << (problem.empty() ? " ok" : " FAILED " + problem) << "\n";
    if (problem.empty()) continue;
    failures++;
    if (absl::GetFlag(FLAGS_log)) run.PrintLog();
    if (absl::GetFlag(FLAGS_stop_at_failure)) return 1;
  }
  std::cout << runs - failures << " of " << runs << " seeds passed\n";
  return failures == 0 ? 0 : 1;
}

}  // namespace
}  // namespace fireflycart::standins

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  return fireflycart::standins::RunAll(absl::GetFlag(FLAGS_seed),
                                       absl::GetFlag(FLAGS_runs));
}
