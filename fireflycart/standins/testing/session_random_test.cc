// Seeded random runs of the simulated prepared platform in virtual time. Each
// run injects a series of overlapping faults and repairs them at the end.
// Safety invariants are checked throughout the run.
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
ABSL_FLAG(bool, restores, false,
          "Also restore the store from older copies. The other faults of a "
          "seed stay the same.");
ABSL_FLAG(bool, releases, false,
          "Also replace upstreams by new ones. The other faults of a seed stay "
          "the same.");
ABSL_FLAG(bool, log, false, "Print the log of a run that fails.");

namespace fireflycart::standins {
namespace {

constexpr int kFaultsPerRun = 14;
constexpr Duration kWarmUp = Duration::Seconds(3);

class RandomRun {
 public:
  explicit RandomRun(uint64_t seed)
      : random_(seed),
        restore_random_(seed),
        release_random_(seed),
        world_(Options(), seed) {}

  // Returns the first violation of an invariant; empty if there is none.
  std::string Run() {
    world_.Run(kWarmUp);
    for (int i = 0; i < kFaultsPerRun; i++) {
      InjectFault();
      if (absl::GetFlag(FLAGS_restores)) RestoreStoreAtTimes();
      if (absl::GetFlag(FLAGS_releases)) StepRelease();
      world_.Run(Duration::Millis(static_cast<int64_t>(Random(900))));
    }
    RepairAll();
    world_.Run(Duration::Seconds(8));
    int before = world_.counts().done;
    world_.Run(Duration::Seconds(2));
    world_.CheckEffects();
    if (!world_.problem().empty()) return world_.problem();
    if (world_.counts().done - before < 100) return "service did not resume";
    return "";
  }

  void PrintCounts() {
    const SessionCounts& counts = world_.counts();
    std::cout << " done " << counts.done << " refused " << counts.refused
              << " unknown " << counts.unknown << " promotions "
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
        StartStoppedVms();
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
        world_.HealAll();
        break;
      case 8:
        world_.database().LoseAnswers(static_cast<int>(Random(5)));
        break;
      default:
        CutPair();
    }
  }

  // Draws from numbers of its own.
  void RestoreStoreAtTimes() {
    constexpr uint64_t kMaxAgeMs = 9000;
    constexpr uint64_t kMaxOutageMs = 2000;
    if (restore_random_() % 4 != 0) return;
    auto age = static_cast<int64_t>(restore_random_() % kMaxAgeMs);
    auto outage = static_cast<int64_t>(restore_random_() % kMaxOutageMs);
    // The copy has the rows that were written before the VMs started.
    age = std::min(age, world_.now().millis());
    world_.RestoreStore(Duration::Millis(age), Duration::Millis(outage));
  }

  // Lets an upstream leave, end, and a new one join in its place, a step at a
  // time. Draws from numbers of its own.
  void StepRelease() {
    constexpr int64_t kDrainMs = 2000;
    switch (release_step_) {
      case ReleaseStep::kNone: {
        const char* letters = "abc";
        released_ =
            UpstreamId(std::string("up-") + letters[release_random_() % 3]);
        if (!world_.database().IsRunning(released_)) return;
        world_.Drain(released_);
        drained_at_ = world_.now();
        release_step_ = ReleaseStep::kLeaving;
        return;
      }
      case ReleaseStep::kLeaving: {
        bool has_drained =
            world_.now() - drained_at_ >= Duration::Millis(kDrainMs);
        // A primary that could not be replaced stays.
        if (!has_drained || world_.primary() == released_) return;
        world_.Unregister(released_);
        CrashOne(released_);
        bool has_ended = !world_.database().IsRunning(released_);
        release_step_ = has_ended ? ReleaseStep::kEnded : ReleaseStep::kLeaving;
        if (!has_ended) world_.Drain(released_);
        return;
      }
      case ReleaseStep::kEnded:
        if (world_.primary() == UpstreamId()) return;
        joined_ = released_;
        joined_size_ = world_.database().LogOf(world_.primary()).size();
        world_.ReplaceUpstream(released_);
        release_step_ = ReleaseStep::kNone;
    }
  }

  void CutPair() {
    std::string a = RandomVm();
    std::string b = RandomPeer();
    if (a != b) world_.Cut(a, b);
  }

  // At most one upstream is down at a time, since two upstreams may hold the
  // only copies of a commit. A new one counts once it has what was in the log
  // when it joined.
  void CrashOne(const UpstreamId& id) {
    bool all_running = joined_ == UpstreamId() ||
                       world_.database().LogOf(joined_).size() >= joined_size_;
    for (const char* name : {"up-a", "up-b", "up-c"}) {
      all_running =
          all_running && world_.database().IsRunning(UpstreamId(name));
    }
    if (all_running && id != UpstreamId()) world_.CrashUpstream(id);
  }

  void StartStoppedVms() {
    for (int vm = 0; vm < 4; vm++) {
      if (world_.vm(vm) == nullptr) world_.StartVm(vm);
    }
  }

  void RestartAll() {
    for (const char* name : {"up-a", "up-b", "up-c"}) {
      UpstreamId id(name);
      bool has_ended = release_step_ == ReleaseStep::kEnded && id == released_;
      if (!world_.database().IsRunning(id) && !has_ended) {
        world_.RestartUpstream(id);
      }
    }
  }

  void RepairAll() {
    world_.HealAll();
    StartStoppedVms();
    RestartAll();
    if (release_step_ == ReleaseStep::kEnded) StepRelease();
  }

  std::mt19937_64 random_;
  std::mt19937_64 restore_random_;
  std::mt19937_64 release_random_;
  enum class ReleaseStep { kNone, kLeaving, kEnded };
  ReleaseStep release_step_ = ReleaseStep::kNone;
  UpstreamId released_;
  TimePoint drained_at_;
  UpstreamId joined_;  // The last new upstream.
  size_t joined_size_ = 0;
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
