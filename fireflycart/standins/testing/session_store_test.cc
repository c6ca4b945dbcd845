// Configurations that the operator writes while VMs are cut off from the store,
// from each other or from both, in virtual time.

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <memory>
#include <numeric>
#include <string>
#include <vector>

#include "fireflycart/core/proxy/store_readers.h"
#include "fireflycart/core/proxy/vm_ring.h"
#include "fireflycart/standins/testing/session_world.h"

namespace fireflycart::standins {
namespace {

constexpr uint64_t kSeed = 7;
constexpr int kSmallFleet = 8;
constexpr int kLargeFleet = 30;
constexpr int kManyVms = 89;
// Users require that a configuration is in force within these times, in small
// and in large deployments.
constexpr Duration kSmallApplyTime = Duration::Seconds(3);
constexpr Duration kLargeApplyTime = Duration::Seconds(5);
// Long enough for the VMs to learn of each other and to select readers.
constexpr Duration kSettleTime = Duration::Seconds(6);
constexpr uint64_t kNewVersion = 9;
constexpr Duration kChangePeriod = Duration::Millis(250);
constexpr Duration kCheckPeriod = Duration::Millis(50);

class SessionStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SessionStoreTest);
  CPPUNIT_TEST(NoFaults_ManyVms_OnlyReadersFollowStore);
  CPPUNIT_TEST(AllReaders_CutFromEverything_RoutesArriveInTime);
  CPPUNIT_TEST(MostVms_CutFromEverything_RoutesArriveInTime);
  CPPUNIT_TEST(AllReaders_CutFromStore_RoutesArriveInTime);
  CPPUNIT_TEST(MostVms_CutFromStore_RoutesArriveInTime);
  CPPUNIT_TEST(PeerConnections_GoSilent_RoutesArriveInTime);
  CPPUNIT_TEST(MostOfSmallFleet_CutFromEverything_RoutesArriveInTime);
  CPPUNIT_TEST(OneVm_CutFromPeersOnly_RoutesArriveInTime);
  CPPUNIT_TEST(Readers_RefusedRoutesOnly_RoutesArriveInTime);
  CPPUNIT_TEST(MessagesOfPeers_TakeLong_AgeOfStoresLastAnswerGrows);
  CPPUNIT_TEST_SUITE_END();

 public:
  void NoFaults_ManyVms_OnlyReadersFollowStore() {
    MakeWorld(kLargeFleet);
    for (int second = 0; second < 20; second++) {
      world_->Run(Duration::Seconds(1));
      CPPUNIT_ASSERT_EQUAL(proxy::kStoreReaders, CountFollowers());
    }
  }

  void AllReaders_CutFromEverything_RoutesArriveInTime() {
    for (Duration delay : Delays()) {
      MakeWorld(kSmallFleet);
      world_->Run(delay);
      std::vector<int> readers = FirstByRank(proxy::kStoreReaders);
      for (int vm : readers) CutFromEverything(vm);
      ExpectNewRoutesInForce(kSmallApplyTime, readers);
    }
  }

  void MostVms_CutFromEverything_RoutesArriveInTime() {
    for (Duration delay : Delays()) {
      MakeWorld(kLargeFleet);
      world_->Run(delay);
      std::vector<int> cut = FirstByRank(kLargeFleet - 4);
      for (int vm : cut) CutFromEverything(vm);
      ExpectNewRoutesInForce(kLargeApplyTime, cut);
    }
  }

  void AllReaders_CutFromStore_RoutesArriveInTime() {
    for (Duration delay : Delays()) {
      MakeWorld(kSmallFleet);
      world_->Run(delay);
      for (int vm : FirstByRank(proxy::kStoreReaders)) CutFromStore(vm);
      ExpectNewRoutesInForce(kSmallApplyTime, {});
    }
  }

  void MostVms_CutFromStore_RoutesArriveInTime() {
    for (Duration delay : Delays()) {
      MakeWorld(kLargeFleet);
      world_->Run(delay);
      for (int vm : FirstByRank(kLargeFleet - 1)) CutFromStore(vm);
      ExpectNewRoutesInForce(kLargeApplyTime, {});
    }
  }

  // A heartbeat from a peer does not show that the VM's own connection to that
  // peer works.
  void PeerConnections_GoSilent_RoutesArriveInTime() {
    for (uint64_t seed : {1, 2, 3}) {
      MakeWorld(kManyVms, kLargeApplyTime, seed);
      world_->MutePeerConnections();
      ExpectEachVersionInForce(kLargeApplyTime, Duration::Seconds(12));
    }
  }

  void MostOfSmallFleet_CutFromEverything_RoutesArriveInTime() {
    for (Duration delay : Delays()) {
      MakeWorld(kSmallFleet);
      world_->Run(delay);
      std::vector<int> cut = FirstByRank(kSmallFleet - 2);
      for (int vm : cut) CutFromEverything(vm);
      ExpectNewRoutesInForce(kSmallApplyTime, cut);
    }
  }

  void OneVm_CutFromPeersOnly_RoutesArriveInTime() {
    for (Duration delay : Delays()) {
      MakeWorld(kSmallFleet);
      world_->Run(delay);
      CutFromPeers(FirstByRank(kSmallFleet).back());
      ExpectNewRoutesInForce(kSmallApplyTime, {});
    }
  }

  // Answers for other tables tell nothing of the routes.
  void Readers_RefusedRoutesOnly_RoutesArriveInTime() {
    for (int vms : {kSmallFleet, kLargeFleet}) {
      for (Duration delay : Delays()) {
        MakeWorld(vms);
        world_->Run(delay);
        for (int vm : FirstByRank(static_cast<size_t>(vms) - 4)) {
          world_->RefuseTable(vm, proxy::StoreTable::kRoutes, true);
        }
        ExpectNewRoutesInForce(
            vms == kSmallFleet ? kSmallApplyTime : kLargeApplyTime, {});
      }
    }
  }

  // What a message waits on its way does not make the answer younger.
  void MessagesOfPeers_TakeLong_AgeOfStoresLastAnswerGrows() {
    constexpr Duration kLatency = Duration::Millis(80);
    constexpr Duration kOutage = Duration::Seconds(10);
    for (int vms : {kSmallFleet, kLargeFleet}) {
      MakeWorld(vms, kLargeApplyTime, kSeed, kLatency);
      for (int vm = 0; vm < vms_; vm++) CutFromStore(vm);
      world_->Run(kOutage);
      for (int vm = 0; vm < vms_; vm++) {
        Duration age = world_->vm(vm)->gauges().store_age;
        CPPUNIT_ASSERT_MESSAGE(NameOf(vm) + ": " + std::to_string(age.millis()),
                               age >= kOutage - Duration::Seconds(1));
      }
    }
  }

 private:
  // The readers' calls are then in different stages.
  static std::vector<Duration> Delays() {
    std::vector<Duration> delays;
    for (int ms : {0, 700, 1500, 2300, 3100, 3900}) {
      delays.push_back(kSettleTime + Duration::Millis(ms));
    }
    return delays;
  }

  void MakeWorld(int vms) {
    MakeWorld(vms, vms == kSmallFleet ? kSmallApplyTime : kLargeApplyTime,
              kSeed);
  }

  void MakeWorld(int vms, Duration apply_time, uint64_t seed,
                 Duration peer_latency = Duration::Millis(1)) {
    vms_ = vms;
    SessionWorldOptions options;
    options.vms = vms;
    options.callers = 3;
    options.peer_latency = peer_latency;
    options.proxy.set_apply_limit(apply_time);
    world_ = std::make_unique<SessionWorld>(options, seed);
    world_->Run(kSettleTime);
  }

  static std::string NameOf(int vm) { return "vm-" + std::to_string(vm); }

  std::vector<int> FirstByRank(size_t count) const {
    std::vector<int> vms(static_cast<size_t>(vms_));
    std::iota(vms.begin(), vms.end(), 0);
    std::sort(vms.begin(), vms.end(), [](int a, int b) {
      return proxy::RankOf(VmId(NameOf(a))) < proxy::RankOf(VmId(NameOf(b)));
    });
    vms.resize(count);
    return vms;
  }

  void CutFromStore(int vm) { world_->Cut(NameOf(vm), "store"); }

  void CutFromEverything(int vm) {
    CutFromStore(vm);
    CutFromPeers(vm);
  }

  void CutFromPeers(int vm) {
    for (int other = 0; other < vms_; other++) {
      if (other != vm) world_->Cut(NameOf(vm), NameOf(other));
    }
  }

  size_t CountFollowers() const {
    size_t count = 0;
    for (int vm = 0; vm < vms_; vm++) {
      if (world_->vm(vm)->gauges().follows_store) count++;
    }
    return count;
  }

  void ExpectNewRoutesInForce(Duration limit, const std::vector<int>& except) {
    world_->SetRoutes(kNewVersion, Duration::Millis(900));
    world_->Run(limit);
    for (int vm = 0; vm < vms_; vm++) {
      if (std::count(except.begin(), except.end(), vm) != 0) continue;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(NameOf(vm), kNewVersion,
                                   world_->vm(vm)->gauges().routes_version);
    }
  }

  // Writes a version each kChangePeriod. Each must be in force everywhere
  // within the limit.
  void ExpectEachVersionInForce(Duration limit, Duration time) {
    std::map<uint64_t, TimePoint> written;
    uint64_t version = kNewVersion;
    for (Duration t; t < time; t = t + kChangePeriod) {
      world_->SetRoutes(version, Duration::Millis(900));
      written[version++] = world_->now();
      for (Duration u; u < kChangePeriod; u = u + kCheckPeriod) {
        world_->Run(kCheckPeriod);
        ExpectInForce(written, limit);
      }
    }
  }

  void ExpectInForce(const std::map<uint64_t, TimePoint>& written,
                     Duration limit) {
    uint64_t due = 0;
    for (const auto& item : written) {
      if (world_->now() - item.second > limit) due = item.first;
    }
    for (int vm = 0; vm < vms_; vm++) {
      uint64_t in_force = world_->vm(vm)->gauges().routes_version;
      std::string message = NameOf(vm) + " has version " +
                            std::to_string(in_force) + ", due is " +
                            std::to_string(due);
      CPPUNIT_ASSERT_MESSAGE(message, in_force >= due);
    }
  }

  int vms_ = 0;
  std::unique_ptr<SessionWorld> world_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionStoreTest);

}  // namespace
}  // namespace fireflycart::standins
