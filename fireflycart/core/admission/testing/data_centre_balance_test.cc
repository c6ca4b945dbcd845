// Replays demand patterns of three data centres without a network, and checks
// how many reads leave theirs, how steadily, and how long they take.
//
// The bounds come from the patterns: what exceeds the slots of a data centre
// must leave it, the rest should not, and with room in sum nothing is late.

#include "fireflycart/core/admission/data_centre_balance.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <iostream>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace fireflycart::proxy {
namespace {

constexpr size_t kSites = 3;
constexpr int64_t kServiceMs = 30;
constexpr int64_t kTargetMs = 400;
constexpr int64_t kWayMs = 4;  // One way.
constexpr int64_t kNewsPeriodMs = 200;
constexpr int kSlots = 10;
constexpr int64_t kWarmUpMs = 2000;

struct Site {
  int slots = kSlots;
  int64_t service_ms = kServiceMs;
  bool is_cut_off = false;
  std::function<double(int64_t)> load;  // Arrivals, as a part of kSlots.

  std::deque<int64_t> queue;  // When each read began its operation.
  std::multimap<int64_t, int64_t> running;  // By end, the same.
  double due = 0;
};

struct Counts {
  int reads = 0;
  int left = 0;
  int done = 0;
  int late = 0;
  std::vector<double> shares;  // That left, in each half second.

  double share() const { return reads == 0 ? 0 : 1.0 * left / reads; }
  double on_time() const { return done == 0 ? 0 : 1.0 - 1.0 * late / done; }
  // Difference of the shares of consecutive half seconds, on average.
  double swing() const {
    double sum = 0;
    for (size_t i = 1; i < shares.size(); i++) {
      sum += std::abs(shares[i] - shares[i - 1]);
    }
    return shares.size() < 2 ? 0 : sum / static_cast<double>(shares.size() - 1);
  }
};

// Reads that leave go to the site with the most room, as an owner sends them.
class Replay {
 public:
  explicit Replay(Duration leave_cost) {
    for (size_t i = 0; i < kSites; i++) {
      balances_.emplace_back(DataCentreBalanceOptions{leave_cost});
    }
  }

  Site& site(size_t i) { return sites_[i]; }
  const Counts& counts(size_t i) const { return counts_[i]; }

  void Run(int64_t duration_ms) {
    for (int64_t end = now_ + duration_ms; now_ < end; now_++) Step();
  }

  // Ends the warm-up: what follows is counted.
  void StartCounting() {
    counts_ = {};
    marks_ = {};
  }

 private:
  void Step() {
    if (now_ % kNewsPeriodMs == 0) SendNews();
    for (size_t i = 0; i < kSites; i++) Arrive(i);
    for (; !ways_.empty() && ways_.begin()->first <= now_;
         ways_.erase(ways_.begin())) {
      sites_[MostRoom()].queue.push_back(ways_.begin()->second.second);
      owners_[ways_.begin()->second.second].push_back(
          ways_.begin()->second.first);
    }
    for (size_t i = 0; i < kSites; i++) Serve(i);
    if (now_ % 500 != 0) return;
    for (size_t i = 0; i < kSites; i++) {
      Counts& counts = counts_[i];
      int reads = counts.reads - marks_[i].first;
      int left = counts.left - marks_[i].second;
      if (reads > 0) counts.shares.push_back(1.0 * left / reads);
      marks_[i] = {counts.reads, counts.left};
    }
  }

  int64_t WaitAt(const Site& site) const {
    if (site.slots == 0) return kTargetMs;
    auto ahead = static_cast<int64_t>(site.queue.size() + site.running.size()) -
                 site.slots + 1;
    return std::max(ahead, int64_t{0}) * site.service_ms / site.slots;
  }

  size_t MostRoom() const {
    size_t best = kSites;
    for (size_t i = 0; i < kSites; i++) {
      if (sites_[i].is_cut_off || sites_[i].slots == 0) continue;
      bool is_better =
          best == kSites || WaitAt(sites_[i]) + sites_[i].service_ms <
                                WaitAt(sites_[best]) + sites_[best].service_ms;
      if (is_better) best = i;
    }
    return best;
  }

  void SendNews() {
    const Site& best = sites_[MostRoom()];
    for (size_t i = 0; i < kSites; i++) {
      if (sites_[i].is_cut_off) continue;
      balances_[i].OnNews(
          Duration::Millis(WaitAt(best)), Duration::Millis(best.service_ms),
          Duration::Millis(2 * kWayMs), TimePoint::FromMillis(now_));
    }
  }

  void Arrive(size_t i) {
    Site& site = sites_[i];
    double rate = site.load(now_) * kSlots / kServiceMs;
    // Arrivals are random, as many callers are.
    std::poisson_distribution<int> arrivals(rate);
    int count = arrivals(random_);
    for (int n = 0; n < count; n++) {
      counts_[i].reads++;
      bool leaves = site.slots == 0 ||
                    balances_[i].ShouldLeave(Duration::Millis(WaitAt(site)),
                                             Duration::Millis(site.service_ms),
                                             Duration::Millis(kTargetMs),
                                             TimePoint::FromMillis(now_));
      if (!leaves) {
        site.queue.push_back(now_);
        owners_[now_].push_back(i);
        continue;
      }
      counts_[i].left++;
      if (site.is_cut_off) continue;
      ways_.emplace(now_ + kWayMs, std::make_pair(i, now_));
    }
  }

  void Serve(size_t i) {
    Site& site = sites_[i];
    while (!site.running.empty() && site.running.begin()->first <= now_) {
      int64_t began = site.running.begin()->second;
      site.running.erase(site.running.begin());
      size_t owner = owners_[began].front();
      owners_[began].pop_front();
      counts_[owner].done++;
      if (now_ + kWayMs - began > kTargetMs) counts_[owner].late++;
    }
    while (!site.queue.empty() &&
           site.running.size() < static_cast<size_t>(site.slots)) {
      site.running.emplace(now_ + site.service_ms, site.queue.front());
      site.queue.pop_front();
    }
  }

  int64_t now_ = 0;
  std::mt19937_64 random_{7};
  std::array<Site, kSites> sites_;
  std::array<Counts, kSites> counts_;
  std::array<std::pair<int, int>, kSites> marks_ = {};
  std::vector<DataCentreBalance> balances_;
  std::multimap<int64_t, std::pair<size_t, int64_t>> ways_;  // By arrival.
  // The sites whose reads began at a time, in any order.
  std::map<int64_t, std::deque<size_t>> owners_;
};

class DataCentreBalanceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DataCentreBalanceTest);
  CPPUNIT_TEST(ShouldLeave_NoWait_Stays);
  CPPUNIT_TEST(ShouldLeave_WaitBelowCost_Stays);
  CPPUNIT_TEST(ShouldLeave_CostIsZero_LeavesForLess);
  CPPUNIT_TEST(ShouldLeave_LittleTimeLeft_CostCountsLess);
  CPPUNIT_TEST(ShouldLeave_HalfTheWidth_HalfLeaves);
  CPPUNIT_TEST(ShouldLeave_OthersWaitLonger_Stays);
  CPPUNIT_TEST(ShouldLeave_NewsAreOld_OthersCountAsIdle);
  CPPUNIT_TEST(Replay_EvenLoad_FewLeave);
  CPPUNIT_TEST(Replay_Step_SurplusLeavesSteadily);
  CPPUNIT_TEST(Replay_WaveWithPhases_PeaksLeave);
  CPPUNIT_TEST(Replay_NoUpstreams_AllLeave);
  CPPUNIT_TEST(Replay_CutOff_LoadThatFitsStays);
  CPPUNIT_TEST(Replay_SlowUpstreams_ReadsLeave);
  CPPUNIT_TEST(Replay_AllOverloaded_TrafficDoesNotGrow);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ShouldLeave_NoWait_Stays() {
    for (int i = 0; i < 100; i++) CPPUNIT_ASSERT(!Leaves(0, 400));
  }

  // 8 ms of way and 40 ms of cost.
  void ShouldLeave_WaitBelowCost_Stays() {
    for (int i = 0; i < 100; i++) CPPUNIT_ASSERT(!Leaves(48, 400));
    CPPUNIT_ASSERT(Leaves(88, 400));
  }

  void ShouldLeave_CostIsZero_LeavesForLess() {
    balance_ = DataCentreBalance(DataCentreBalanceOptions{Duration()});
    CPPUNIT_ASSERT(Leaves(48, 400));
  }

  // The cost counts for an eighth of 80 ms.
  void ShouldLeave_LittleTimeLeft_CostCountsLess() {
    CPPUNIT_ASSERT(Leaves(58, 80));
    CPPUNIT_ASSERT(!Leaves(18, 80));
    CPPUNIT_ASSERT(!Leaves(18, -10000));
  }

  void ShouldLeave_HalfTheWidth_HalfLeaves() {
    int left = 0;
    for (int i = 0; i < 100; i++) left += Leaves(68, 400) ? 1 : 0;
    CPPUNIT_ASSERT_EQUAL(50, left);
  }

  void ShouldLeave_OthersWaitLonger_Stays() {
    balance_.OnNews(Duration::Millis(100), Duration::Millis(kServiceMs),
                    Duration::Millis(8), now_);
    for (int i = 0; i < 100; i++) CPPUNIT_ASSERT(!Leaves(100, 400));
  }

  void ShouldLeave_NewsAreOld_OthersCountAsIdle() {
    balance_.OnNews(Duration::Millis(100), Duration::Millis(kServiceMs),
                    Duration::Millis(8), now_);
    now_ = now_ + DataCentreBalance::kNewsMaxAge + Duration::Millis(1);
    CPPUNIT_ASSERT(Leaves(100, 400));
  }

  void Replay_EvenLoad_FewLeave() {
    Replay replay(Duration::Millis(40));
    SetLoads(&replay, 0.6, 0.6, 0.6);
    Play(&replay, 20000, "even load");
    for (size_t i = 0; i < kSites; i++) {
      CPPUNIT_ASSERT(replay.counts(i).share() < 0.01);
      CPPUNIT_ASSERT(replay.counts(i).on_time() > 0.999);
    }
  }

  // 1.6 of its slots, so 0.6 / 1.6 = 37.5% have to leave.
  void Replay_Step_SurplusLeavesSteadily() {
    Replay replay(Duration::Millis(40));
    SetLoads(&replay, 0.5, 0.5, 0.5);
    replay.Run(5000);
    SetLoads(&replay, 1.6, 0.5, 0.5);
    Play(&replay, 20000, "step");
    const Counts& counts = replay.counts(0);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.375, counts.share(), 0.04);
    CPPUNIT_ASSERT(counts.on_time() > 0.999);
    // Half a second has 267 reads, so chance alone moves the surplus by 8%.
    CPPUNIT_ASSERT(counts.swing() < 0.1);
    CPPUNIT_ASSERT(replay.counts(1).share() < 0.02);
    CPPUNIT_ASSERT(replay.counts(2).share() < 0.02);
  }

  // 55% more and less than 0.8 of the slots, with a third of 15 s between the
  // data centres: up to 1.24, whose surplus over 1 is 3.4% of the reads.
  void Replay_WaveWithPhases_PeaksLeave() {
    Replay replay(Duration::Millis(40));
    for (size_t i = 0; i < kSites; i++) {
      replay.site(i).load = [i](int64_t ms) {
        constexpr double kTurn = 2 * 3.14159265358979;
        double turns =
            static_cast<double>(ms) / 15000 + static_cast<double>(i) / kSites;
        return 0.8 * (1 + 0.55 * std::sin(kTurn * turns));
      };
    }
    Play(&replay, 45000, "wave");
    for (size_t i = 0; i < kSites; i++) {
      CPPUNIT_ASSERT(replay.counts(i).share() < 0.1);
      CPPUNIT_ASSERT(replay.counts(i).on_time() > 0.999);
    }
  }

  void Replay_NoUpstreams_AllLeave() {
    Replay replay(Duration::Millis(40));
    SetLoads(&replay, 0.6, 0.6, 0.6);
    replay.site(0).slots = 0;
    Play(&replay, 20000, "no upstreams");
    CPPUNIT_ASSERT_EQUAL(1.0, replay.counts(0).share());
    CPPUNIT_ASSERT(replay.counts(0).on_time() > 0.999);
    // 0.6 of one are shared by two, so 0.9 of the slots are in use.
    CPPUNIT_ASSERT(replay.counts(1).share() < 0.05);
    CPPUNIT_ASSERT(replay.counts(2).share() < 0.05);
  }

  // What leaves is lost there.
  void Replay_CutOff_LoadThatFitsStays() {
    Replay replay(Duration::Millis(40));
    SetLoads(&replay, 0.7, 0.7, 0.7);
    replay.site(0).is_cut_off = true;
    Play(&replay, 20000, "cut off");
    CPPUNIT_ASSERT(replay.counts(0).share() < 0.01);
    CPPUNIT_ASSERT(replay.counts(0).on_time() > 0.999);
  }

  // 5.7 times as slow: 171 ms of 400 ms, at 0.7 of the slots' former rate. The
  // slots there can still run 0.25 of the 0.7.
  void Replay_SlowUpstreams_ReadsLeave() {
    Replay replay(Duration::Millis(40));
    SetLoads(&replay, 0.7, 0.5, 0.5);
    replay.Run(5000);
    replay.site(0).service_ms = 171;
    Play(&replay, 20000, "slow upstreams");
    CPPUNIT_ASSERT(replay.counts(0).share() > 0.7);
    CPPUNIT_ASSERT(replay.counts(0).on_time() > 0.999);
  }

  // Without room anywhere, no way helps.
  void Replay_AllOverloaded_TrafficDoesNotGrow() {
    Replay replay(Duration::Millis(40));
    SetLoads(&replay, 1.1, 1.1, 1.1);
    Play(&replay, 10000, "all overloaded");
    for (size_t i = 0; i < kSites; i++) {
      CPPUNIT_ASSERT(replay.counts(i).share() < 0.05);
    }
  }

 private:
  bool Leaves(int64_t wait_ms, int64_t target_left_ms) {
    return balance_.ShouldLeave(Duration::Millis(wait_ms),
                                Duration::Millis(kServiceMs),
                                Duration::Millis(target_left_ms), now_);
  }

  static void SetLoads(Replay* replay, double a, double b, double c) {
    std::array<double, kSites> loads = {a, b, c};
    for (size_t i = 0; i < kSites; i++) {
      double load = loads[i];
      replay->site(i).load = [load](int64_t) { return load; };
    }
  }

  static void Play(Replay* replay, int64_t duration_ms, const char* name) {
    replay->Run(kWarmUpMs);
    replay->StartCounting();
    replay->Run(duration_ms);
    std::cout << "\nreplay of " << name << ":";
    for (size_t i = 0; i < kSites; i++) {
      const Counts& counts = replay->counts(i);
      std::cout << " left " << counts.share() << " swing " << counts.swing()
                << " in target " << counts.on_time() << ";";
    }
    std::cout << "\n";
  }

  TimePoint now_ = TimePoint::FromMillis(1000);
  DataCentreBalance balance_{DataCentreBalanceOptions{Duration::Millis(40)}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(DataCentreBalanceTest);

}  // namespace
}  // namespace fireflycart::proxy
