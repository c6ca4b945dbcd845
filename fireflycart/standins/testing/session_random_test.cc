// Seeded random runs of the simulated prepared platform in virtual time. Each
// run injects a series of overlapping faults and repairs them at the end.
// Safety invariants are checked throughout the run.
//
//   fireflycart_session_random_test --seed=1 --runs=20

#include <algorithm>
#include <functional>
#include <iostream>
#include <map>
#include <random>
#include <string>
#include <utility>
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
ABSL_FLAG(bool, silences, false,
          "Also let connections go silent, entries of upstreams go missing, "
          "replacements be disturbed, and links hold up what was sent; runs "
          "three times as long. The other faults of a seed stay the same.");
ABSL_FLAG(bool, leaks, false, "Check that no work is left at the end.");
ABSL_FLAG(bool, prepares, false,
          "Callers also prepare statements. Changes what a seed does.");
ABSL_FLAG(bool, refusals, false,
          "Upstreams also refuse set-ups and rollbacks. The other faults of a "
          "seed stay the same.");
ABSL_FLAG(bool, ended_transactions, false,
          "Upstreams also end transactions on their own. The other faults of a "
          "seed stay the same.");
ABSL_FLAG(bool, nearby, false, "VMs of other data centres serve reads.");
ABSL_FLAG(int, data_centres, 0,
          "Data centres of the VMs and upstreams; 0: none is named.");
ABSL_FLAG(int, sync_replicas, 1, "Replicas that a commit waits for; 0 or 1.");
ABSL_FLAG(bool, log, false, "Print the log of a run that fails.");

namespace fireflycart::standins {
namespace {

constexpr int kFaultsPerRun = 14;
constexpr int kFaultsPerLongRun = 42;  // With silences.
constexpr Duration kWarmUp = Duration::Seconds(3);
constexpr const char* kUpstreams[] = {"up-a", "up-b", "up-c"};
// What a link holds up for longer, its connections lose.
constexpr Duration kLongestHoldUp = Duration::Millis(1400);
constexpr Duration kLongestFault = Duration::Seconds(4);  // Of silences.

class RandomRun {
 public:
  explicit RandomRun(uint64_t seed)
      : random_(seed),
        restore_random_(seed),
        release_random_(seed),
        silence_random_(seed),
        refusal_random_(seed),
        world_(Options(), seed) {}

  // Returns the first violation of an invariant; empty if there is none.
  std::string Run() {
    world_.Run(kWarmUp);
    bool has_silences = absl::GetFlag(FLAGS_silences);
    int faults = has_silences ? kFaultsPerLongRun : kFaultsPerRun;
    for (int i = 0; i < faults; i++) {
      InjectFault();
      if (absl::GetFlag(FLAGS_restores)) RestoreStoreAtTimes();
      if (absl::GetFlag(FLAGS_releases)) StepRelease();
      if (has_silences) StepSilence();
      StepRefusal();
      RunDisturbed(Duration::Millis(static_cast<int64_t>(Random(900))));
    }
    RepairAll();
    disturbs_failover_ = false;
    if (has_silences) RunDisturbed(kLongestFault);
    world_.Run(Duration::Seconds(8));
    int before = world_.counts().done;
    world_.Run(Duration::Seconds(2));
    world_.CheckEffects();
    if (!world_.problem().empty()) return world_.problem();
    if (world_.counts().done - before < 100) return "service did not resume";
    return absl::GetFlag(FLAGS_leaks) ? Leaks() : "";
  }

  // What is left of work once all callers have paused.
  std::string Leaks() {
    world_.PauseCallers(true);
    world_.Run(Duration::Seconds(12));
    std::string leaks;
    for (int vm = 0; vm < 4; vm++) {
      if (world_.vm(vm) == nullptr) continue;
      proxy::ConnectionCounts counts = world_.vm(vm)->gauges().connections;
      const proxy::GroupOwner* owner =
          world_.vm(vm)->FindOwner(GroupId("ledger"));
      size_t works = owner == nullptr ? 0 : owner->work_count();
      size_t transactions = owner == nullptr ? 0 : owner->open_transactions();
      if (counts.pinned + counts.busy == 0 && works + transactions == 0) {
        continue;
      }
      leaks += " vm-" + std::to_string(vm) + " pinned " +
               std::to_string(counts.pinned) + " busy " +
               std::to_string(counts.busy) + " works " + std::to_string(works) +
               " transactions " + std::to_string(transactions);
    }
    return leaks.empty() ? "" : "left:" + leaks;
  }

  void PrintCounts() {
    const SessionCounts& counts = world_.counts();
    std::cout << " done " << counts.done << " refused " << counts.refused
              << " unknown " << counts.unknown << " promotions "
              << world_.promotions();
    if (absl::GetFlag(FLAGS_data_centres) == 0) return;
    std::cout << " sent " << world_.statements_sent() << " crossing "
              << world_.statements_crossing();
  }

  void PrintLog() {
    for (const std::string& line : world_.TakeLog()) std::cout << line << "\n";
    for (const std::string& fault : faults_) std::cout << fault << "\n";
  }

 private:
  SessionWorldOptions Options() {
    SessionWorldOptions options;
    options.vms = 4;
    options.callers = 16;
    options.data_centres = absl::GetFlag(FLAGS_data_centres);
    options.prepares = absl::GetFlag(FLAGS_prepares);
    options.proxy.set_reads_nearby(absl::GetFlag(FLAGS_nearby));
    options.database.sync_replicas = absl::GetFlag(FLAGS_sync_replicas);
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
    // With silences, a VM may be cut off for as long as the platform's drain
    // time allows.
    const int64_t drain_ms = absl::GetFlag(FLAGS_silences) ? 7000 : 2000;
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
            world_.now() - drained_at_ >= Duration::Millis(drain_ms);
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

  uint64_t RandomSilence(uint64_t bound) { return silence_random_() % bound; }
  Duration RandomSilenceTime(int64_t least_ms, uint64_t range_ms) {
    return Duration::Millis(least_ms +
                            static_cast<int64_t>(RandomSilence(range_ms)));
  }
  int RandomSilenceVm() { return static_cast<int>(RandomSilence(4)); }
  UpstreamId RandomSilenceUpstream() {
    const char* letters = "abc";
    return UpstreamId(std::string("up-") + letters[RandomSilence(3)]);
  }

  void Note(const std::string& fault) {
    faults_.push_back(std::to_string(world_.now().millis()) + " fault " +
                      fault);
  }

  // Draws from numbers of its own.
  void StepSilence() {
    switch (RandomSilence(8)) {
      case 0:
        MuteOne(RandomSilenceVm(), RandomSilenceUpstream());
        break;
      case 1: {
        int vm = RandomSilenceVm();
        for (const char* id : kUpstreams) MuteOne(vm, UpstreamId(id));
        break;
      }
      case 2: {
        UpstreamId upstream = RandomSilenceUpstream();
        for (int vm = 0; vm < 4; vm++) MuteOne(vm, upstream);
        break;
      }
      case 3:
        LoseEntry(RandomSilenceUpstream());
        break;
      case 4:
        SplitOffPrimary();
        break;
      case 5:
        disturbs_failover_ = true;
        break;
      case 6:
        HoldUp();
        break;
      default:
        break;
    }
  }

  // Draws from numbers of its own.
  void StepRefusal() {
    if (absl::GetFlag(FLAGS_refusals)) {
      world_.database().RefuseSetUp(static_cast<int>(refusal_random_() % 4));
      world_.database().RefuseRollbacks(
          static_cast<int>(refusal_random_() % 3));
      world_.database().RefuseBusy(static_cast<int>(refusal_random_() % 4));
    }
    if (!absl::GetFlag(FLAGS_ended_transactions)) return;
    if (refusal_random_() % 2 == 0) world_.database().EndTransactions();
  }

  void MuteOne(int vm, const UpstreamId& upstream) {
    Note("mute vm-" + std::to_string(vm) + " " + upstream.value());
    world_.MuteConnections(vm, upstream);
  }

  // The upstream lives, and its entry returns. One that leaves still does.
  void LoseEntry(const UpstreamId& id) {
    bool has_ended = release_step_ == ReleaseStep::kEnded && id == released_;
    if (has_ended || !world_.database().IsRunning(id)) return;
    Note("entry missing " + id.value());
    world_.Unregister(id);
    At(RandomSilenceTime(500, 1500), [this, id] {
      bool is_released = release_step_ != ReleaseStep::kNone && id == released_;
      if (is_released && release_step_ == ReleaseStep::kEnded) return;
      Note("entry back " + id.value());
      world_.Register(id, is_released);
    });
  }

  // Leaves one VM and one replica with the primary.
  void SplitOffPrimary() {
    UpstreamId primary = world_.primary();
    UpstreamId replica = RandomSilenceUpstream();
    std::string lone = "vm-" + std::to_string(RandomSilenceVm());
    Duration time = RandomSilenceTime(500, 3500);
    if (primary == UpstreamId() || replica == primary) return;
    Note("split " + primary.value() + " " + replica.value() + " " + lone +
         " for " + std::to_string(time.millis()));
    std::vector<std::string> inside = {primary.value(), replica.value(), lone};
    auto is_inside = [&](const std::string& name) {
      return std::find(inside.begin(), inside.end(), name) != inside.end();
    };
    std::vector<std::string> outside = {"store", "promotion"};
    for (const char* id : kUpstreams) {
      if (!is_inside(id)) outside.emplace_back(id);
    }
    for (int vm = 0; vm < 4; vm++) {
      std::string name = "vm-" + std::to_string(vm);
      if (!is_inside(name)) outside.push_back(name);
    }
    for (const std::string& a : inside) {
      for (const std::string& b : outside) CutOff(a, b, time);
    }
  }

  // A connection across a long cut ends.
  void CutOff(const std::string& a, const std::string& b, Duration time) {
    world_.CutFor(a, b, time);
    if (time <= kLongestHoldUp) return;
    for (int vm = 0; vm < 4; vm++) {
      std::string name = "vm-" + std::to_string(vm);
      for (const char* id : kUpstreams) {
        bool is_meant = (a == name && b == id) || (b == name && a == id);
        if (is_meant) world_.MuteConnections(vm, UpstreamId(id));
      }
    }
  }

  // Links between a VM and upstreams deliver later what is sent now.
  void HoldUp() {
    std::string vm = "vm-" + std::to_string(RandomSilenceVm());
    uint64_t which = RandomSilence(4);
    for (uint64_t i = 0; i < 3; i++) {
      if (which != 3 && which != i) continue;
      Duration time = RandomSilenceTime(
          50, static_cast<uint64_t>(kLongestHoldUp.millis()) - 50);
      Note("hold up " + vm + " " + kUpstreams[i] + " for " +
           std::to_string(time.millis()));
      world_.CutFor(vm, kUpstreams[i], time);
    }
  }

  // Pauses or isolates the VM that logged this line.
  void DisturbFailover(const std::string& line) {
    size_t start = line.find("vm-");
    int vm = line[start + 3] - '0';
    Duration delay = RandomSilenceTime(0, 40);
    if (RandomSilence(2) == 0) delay = RandomSilenceTime(0, 900);
    Duration time = RandomSilenceTime(200, 3800);
    bool freezes = RandomSilence(2) == 0;
    uint64_t others = RandomSilence(8);
    At(delay, [this, vm, time, freezes, others] {
      std::string name = "vm-" + std::to_string(vm);
      Note((freezes ? "freeze " : "isolate ") + name + " for " +
           std::to_string(time.millis()));
      if (freezes) {
        world_.FreezeVm(vm, time);
        return;
      }
      for (int other = 0; other < 4; other++) {
        if (other != vm) CutOff(name, "vm-" + std::to_string(other), time);
      }
      if ((others & 1) != 0) CutOff(name, "store", time);
      for (uint64_t i = 0; i < 3; i++) {
        if (((others >> 1) & 1) != 0 || i == others % 3) {
          CutOff(name, kUpstreams[i], time);
        }
      }
    });
  }

  void At(Duration delay, std::function<void()> action) {
    actions_.emplace(world_.now() + delay, std::move(action));
  }

  // Runs what At() has planned.
  void RunDisturbed(Duration time) {
    if (!absl::GetFlag(FLAGS_silences)) {
      world_.Run(time);
      return;
    }
    TimePoint end = world_.now() + time;
    while (world_.now() < end) {
      world_.Run(Duration::Millis(1));
      const std::vector<std::string>& log = world_.log();
      for (; read_lines_ < log.size(); read_lines_++) {
        const std::string& line = log[read_lines_];
        bool is_met = disturbs_failover_ &&
                      line.find("failover.started") != std::string::npos;
        if (!is_met) continue;
        disturbs_failover_ = false;
        DisturbFailover(line);
      }
      while (!actions_.empty() && actions_.begin()->first <= world_.now()) {
        std::function<void()> action = actions_.begin()->second;
        actions_.erase(actions_.begin());
        action();
      }
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
  std::mt19937_64 silence_random_;
  std::mt19937_64 refusal_random_;
  std::multimap<TimePoint, std::function<void()>> actions_;
  bool disturbs_failover_ = false;  // The next one that starts.
  size_t read_lines_ = 0;           // Of the world's log.
  std::vector<std::string> faults_;
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
    std::cout << (problem.empty() ? " ok" : " FAILED " + problem) << std::endl;
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
