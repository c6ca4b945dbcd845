// Simulates a fleet of VMs, the store and callers with keys in virtual time,
// with no upstreams, and checks the age of the knowledge of keys: no statement
// runs that was sent with a key too long after it was taken away, and VMs that
// are in touch go on serving.

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fireflycart/core/proxy/proxy_reducer.h"
#include "fireflycart/core/proxy/vm_ring.h"
#include "fireflycart/net/peer_codec.h"
#include "fireflycart/standins/prepared_store_model.h"

namespace fireflycart::standins {
namespace {

using proxy::Outcome;

constexpr Duration kLimit = Duration::Millis(5000);
// A VM that lost its way must serve for so long.
constexpr Duration kMustServe = Duration::Millis(3000);
constexpr Duration kStatementPeriod = Duration::Millis(50);
// Period at which the ages of all VMs are noted.
constexpr Duration kSamplePeriod = Duration::Millis(10);
constexpr char kDatabase[] = "ledger";
constexpr int kDataCentres = 4;

class KeyAgeWorld {
 public:
  KeyAgeWorld(int vms, uint64_t seed) : random_(seed) {
    PutConfiguration();
    for (int i = 0; i < vms; i++) {
      auto vm = std::make_unique<Vm>();
      vm->index = i;
      vm->id = VmId("vm-" + std::to_string(i));
      vms_.push_back(std::move(vm));
    }
    for (auto& vm : vms_) StartVm(vm->index);
  }

  void Run(Duration time) {
    TimePoint end = now_ + time;
    while (now_ < end) Step();
  }

  // Takes the key away that callers use, and gives them another. Callers of
  // the old one go on.
  void ChangeKey() {
    key_++;
    revoked_at_[key_ - 1] = now_;
    PutConfiguration();
  }

  void StartVm(int index) {
    Vm* vm = vms_[static_cast<size_t>(index)].get();
    proxy::VmRecord record;
    record.vm = vm->id;
    record.address = vm->id.value();
    record.data_centre =
        DataCentreId("dc-" + std::to_string(index % kDataCentres));
    record.cpu_permille = 250;
    record.incarnation = vm->incarnation = ++last_number_;
    proxy::ProxyOptions options;
    options.set_key_age_limit(kLimit);
    vm->reducer =
        std::make_unique<proxy::ProxyReducer>(record, options, random_());
    vm->started_at = now_;
    vm->sessions.clear();
    vm->deferred.clear();
    Perform(vm, vm->reducer->Start(now_));
  }
  void KillVm(int index) { vms_[static_cast<size_t>(index)]->reducer.reset(); }
  void FreezeVm(int index, Duration time) {
    vms_[static_cast<size_t>(index)]->frozen_until = now_ + time;
  }
  // Calls to the store are refused, or get no answer, until the flag is reset.
  void SetTurnedAway(int index, bool value) {
    vms_[static_cast<size_t>(index)]->is_turned_away = value;
  }
  void SetCutFromStore(int index, bool value) {
    vms_[static_cast<size_t>(index)]->is_cut_from_store = value;
  }
  void SetRoutesRefused(int index, bool value) {
    vms_[static_cast<size_t>(index)]->has_routes_refused = value;
  }
  // Gets no message of peers or the store.
  void SetIsolated(int index, bool value) {
    vms_[static_cast<size_t>(index)]->is_isolated = value;
  }
  void SetStoreRefusing(bool value) { store_.SetRefusing(value); }

  // The VMs by rank; the first follow the store.
  std::vector<int> ByRank() const {
    std::vector<std::pair<uint64_t, int>> ranks;
    for (const auto& vm : vms_) {
      ranks.emplace_back(proxy::RankOf(vm->id), vm->index);
    }
    std::sort(ranks.begin(), ranks.end());
    std::vector<int> indexes;
    indexes.reserve(ranks.size());
    for (const auto& item : ranks) indexes.push_back(item.second);
    return indexes;
  }

  const proxy::ProxyReducer* vm(int index) const {
    return vms_[static_cast<size_t>(index)]->reducer.get();
  }
  size_t size() const { return vms_.size(); }
  TimePoint now() const { return now_; }
  // Statements with the newest key that were refused, and the time of the last.
  int refused(int index) const {
    return vms_[static_cast<size_t>(index)]->refused;
  }
  TimePoint last_served(int index) const {
    return vms_[static_cast<size_t>(index)]->last_served;
  }
  int total_refused() const {
    int total = 0;
    for (const auto& vm : vms_) total += vm->refused;
    return total;
  }
  const std::string& problem() const { return problem_; }

  // Figures since ResetFigures().
  struct Figures {
    TimePoint since;
    int64_t worst_age = 0;  // As are the next in ms.
    int64_t sum_age = 0;
    int64_t ages = 0;
    int64_t age_calls = 0;
    int64_t age_bytes = 0;  // Bodies of calls and replies.
    int64_t age_bytes_across = 0;
    int64_t route_calls = 0;  // To the store.
    int64_t store_calls = 0;
  };
  void ResetFigures() {
    figures_ = Figures();
    figures_.since = now_;
  }
  const Figures& figures() const { return figures_; }
  void Print(const char* name) const {
    auto seconds = static_cast<double>((now_ - figures_.since).millis()) / 1000;
    std::printf(
        "\n  %s: %zu VMs, age worst %lld ms, mean %lld ms; each second "
        "%.1f questions, %.0f bytes (%.0f between data centres), %.1f calls of "
        "the store for routes, %.1f in all\n",
        name, vms_.size(), static_cast<long long>(figures_.worst_age),
        static_cast<long long>(figures_.sum_age /
                               std::max<int64_t>(figures_.ages, 1)),
        static_cast<double>(figures_.age_calls) / seconds,
        static_cast<double>(figures_.age_bytes) / seconds,
        static_cast<double>(figures_.age_bytes_across) / seconds,
        static_cast<double>(figures_.route_calls) / seconds,
        static_cast<double>(figures_.store_calls) / seconds);
  }

 private:
  struct Deferred {
    TimePoint sent;
    proxy::ProxyEventBody body;
  };
  struct Vm {
    int index = 0;
    VmId id;
    uint64_t incarnation = 0;
    std::unique_ptr<proxy::ProxyReducer> reducer;
    TimePoint started_at;
    TimePoint frozen_until;
    std::vector<Deferred> deferred;
    bool is_turned_away = false;
    bool is_cut_from_store = false;
    bool has_routes_refused = false;
    bool is_isolated = false;
    std::map<uint64_t, int> sessions;  // Greeted, with their keys.
    uint64_t last_session = 0;
    uint64_t newest_session = 0;
    int newest_key = -1;
    int refused = 0;
    TimePoint last_served;
  };

  static std::string KeyName(int key) { return "key-" + std::to_string(key); }

  void PutConfiguration() {
    proxy::RouteTable routes;
    routes.version = written_.size() + 1;
    proxy::Route route;
    route.database = kDatabase;
    route.group = GroupId("ledger");
    routes.routes[kDatabase] = route;
    routes.has_tenants = true;
    TenantSpec tenant;
    tenant.id = TenantId("acme");
    std::string problem;
    routes.tenants.Add(tenant, {KeyDigest::Of(KeyName(key_))}, &problem);
    store_.Put(proxy::StoreTable::kRoutes, "config",
               std::to_string(written_.size()));
    written_.push_back(routes);
  }

  void After(Duration delay, std::function<void()> action) {
    timers_.emplace(now_ + delay, std::move(action));
  }

  void Step() {
    now_ = now_ + Duration::Millis(1);
    while (!timers_.empty() && timers_.begin()->first <= now_) {
      auto action = std::move(timers_.begin()->second);
      timers_.erase(timers_.begin());
      action();
    }
    for (auto& answer : store_.Advance(now_)) {
      auto found = store_calls_.find(answer.handle);
      if (found == store_calls_.end()) continue;
      proxy::StoreAnswered answered;
      answered.status = answer.status;
      answered.version = answer.version;
      answered.rows = answer.rows;
      answered.is_unchanged = answer.is_follow && answer.rows.empty();
      if (answer.table == proxy::StoreTable::kRoutes && !answer.rows.empty()) {
        answered.routes.push_back(
            written_[std::stoul(answer.rows.back().value)]);
      }
      auto reply = std::move(found->second);
      store_calls_.erase(found);
      reply(std::move(answered));
    }
    for (auto& vm : vms_) StepVm(vm.get());
  }

  void StepVm(Vm* vm) {
    int64_t offset = vm->index % kStatementPeriod.millis();
    bool is_asked =
        vm->reducer && now_.millis() % kStatementPeriod.millis() == offset;
    if (is_asked) SendStatements(vm);
    if (!vm->reducer || now_ < vm->frozen_until) return;
    std::vector<Deferred> deferred;
    deferred.swap(vm->deferred);
    for (Deferred& item : deferred) Reduce(vm, std::move(item));
    bool is_due = vm->reducer->has_wake() && vm->reducer->next_wake() <= now_;
    if (is_due) Reduce(vm, Deferred{now_, proxy::WakeUp{}});
    bool is_sampled = (now_.millis() + vm->index) % kSamplePeriod.millis() == 0;
    if (!is_sampled || vm->is_isolated || !vm->reducer->is_ready()) return;
    int64_t age = vm->reducer->gauges().routes_age.millis();
    figures_.worst_age = std::max(figures_.worst_age, age);
    figures_.sum_age += age;
    figures_.ages++;
  }

  // Opens a session with the newest key, and sends a statement on each session.
  void SendStatements(Vm* vm) {
    bool has_newest =
        vm->newest_key == key_ && vm->sessions.count(vm->newest_session) != 0;
    if (!has_newest) {
      vm->newest_session = ++vm->last_session;
      vm->newest_key = key_;
      keys_of_starts_[{vm->index, vm->last_session}] = key_;
      Deliver(vm,
              proxy::SessionStarted{proxy::SessionNumber(vm->last_session),
                                    kDatabase, KeyDigest::Of(KeyName(key_))});
    }
    for (const auto& item : vm->sessions) {
      proxy::CallerStatement statement;
      statement.kind = proxy::StatementKind::kSetValue;
      statement.id = proxy::StatementId("s");
      statement.name = "v";
      Deliver(vm, proxy::StatementReceived{proxy::SessionNumber(item.first),
                                           statement});
    }
  }

  void Deliver(Vm* vm, proxy::ProxyEventBody body) {
    Deferred event{now_, std::move(body)};
    if (!vm->reducer) return;
    if (now_ < vm->frozen_until) {
      vm->deferred.push_back(std::move(event));
    } else {
      Reduce(vm, std::move(event));
    }
  }

  void Reduce(Vm* vm, Deferred event) {
    TimePoint sent = event.sent;
    proxy::ProxyEffects effects =
        vm->reducer->Reduce(proxy::ProxyEvent{now_, std::move(event.body)});
    for (const proxy::ProxyEffect& effect : effects) {
      if (const auto* greeting = std::get_if<proxy::GreetCaller>(&effect)) {
        uint64_t session = greeting->session.value();
        int key = keys_of_starts_[{vm->index, session}];
        OnAnswer(vm, key, sent, greeting->outcome);
        if (greeting->outcome == Outcome::kDone) vm->sessions[session] = key;
      } else if (const auto* answer =
                     std::get_if<proxy::AnswerStatement>(&effect)) {
        int key = vm->sessions[answer->session.value()];
        OnAnswer(vm, key, sent, answer->answer.outcome);
      }
    }
    Perform(vm, effects);
  }

  void OnAnswer(Vm* vm, int key, TimePoint sent, Outcome outcome) {
    auto revoked = revoked_at_.find(key);
    bool is_valid = revoked == revoked_at_.end();
    if (outcome == Outcome::kDone) {
      vm->last_served = std::max(vm->last_served, sent);
      if (!is_valid && sent - revoked->second > kLimit && problem_.empty()) {
        problem_ = std::to_string(now_.millis()) + " ms: " + vm->id.value() +
                   " served a key " +
                   std::to_string((sent - revoked->second).millis()) +
                   " ms after it was taken away";
      }
      return;
    }
    // A new key is not known everywhere at once.
    bool is_new =
        !is_valid || now_ - vm->started_at < kStartTime ||
        (!revoked_at_.empty() && now_ - revoked_at_.rbegin()->second < kLimit);
    if (!is_new) vm->refused++;
  }

  void Perform(Vm* vm, const proxy::ProxyEffects& effects) {
    for (const proxy::ProxyEffect& effect : effects) {
      if (const auto* call = std::get_if<CallPeer>(&effect)) Send(vm, *call);
      if (const auto* answer = std::get_if<AnswerPeer>(&effect)) {
        Answer(vm, *answer);
      }
      if (const auto* call = std::get_if<proxy::StoreCall>(&effect)) {
        Send(vm, *call);
      }
    }
  }

  Duration Latency(const Vm& a, const Vm& b) const {
    return Duration::Millis(
        a.index % kDataCentres == b.index % kDataCentres ? 1 : 2);
  }

  void CountAge(const Vm& a, const Vm& b, size_t bytes) {
    figures_.age_bytes += static_cast<int64_t>(bytes);
    if (a.index % kDataCentres == b.index % kDataCentres) return;
    figures_.age_bytes_across += static_cast<int64_t>(bytes);
  }

  void Send(Vm* from, const CallPeer& call) {
    auto index = static_cast<size_t>(std::stoi(call.to.value().substr(3)));
    Vm* to = vms_[index].get();
    uint64_t number = ++last_number_;
    OpenCall& open = open_calls_[number];
    open = OpenCall{from, from->incarnation, call.call, to};
    if (std::holds_alternative<proxy::RoutesAgeCall>(call.body)) {
      figures_.age_calls++;
      CountAge(*from, *to, EncodePeerCall(call.body).size());
    }
    PeerCallBody body = call.body;
    After(Latency(*from, *to), [this, from, to, number, body] {
      if (from->is_isolated || to->is_isolated) return;
      if (!to->reducer) {
        EndCall(number, PeerCallError::kNotSent, PeerReplyBody());
        return;
      }
      Deliver(to, PeerCalled{HandleId(number), from->id, body});
    });
    After(call.timeout, [this, number] {
      EndCall(number, PeerCallError::kBroken, PeerReplyBody());
    });
  }

  void Answer(Vm* from, const AnswerPeer& answer) {
    uint64_t number = answer.handle.value();
    auto found = open_calls_.find(number);
    if (found == open_calls_.end()) return;
    Vm* to = found->second.from;
    if (std::holds_alternative<proxy::RoutesAgeReply>(answer.body)) {
      CountAge(*from, *to, EncodePeerReply(answer.body).size());
    }
    PeerReplyBody body = answer.body;
    After(Latency(*from, *to), [this, from, to, number, body] {
      if (from->is_isolated || to->is_isolated) return;
      EndCall(number, PeerCallError::kNone, body);
    });
  }

  void EndCall(uint64_t number, PeerCallError error,
               const PeerReplyBody& body) {
    auto found = open_calls_.find(number);
    if (found == open_calls_.end()) return;
    OpenCall open = found->second;
    open_calls_.erase(found);
    if (open.from->incarnation != open.incarnation) return;
    Deliver(open.from, PeerReplied{open.call, error, body});
  }

  void Send(Vm* vm, const proxy::StoreCall& call) {
    uint64_t number = ++last_number_;
    uint64_t incarnation = vm->incarnation;
    CallId id = call.call;
    auto ended = std::make_shared<bool>(false);
    auto end = [this, vm, incarnation, id,
                ended](proxy::StoreAnswered answered) {
      if (*ended || vm->incarnation != incarnation) return;
      *ended = true;
      answered.call = id;
      Deliver(vm, std::move(answered));
    };
    StoreBody body = call.body;
    proxy::StoreTable table =
        std::visit([](const auto& item) { return item.table; }, body);
    figures_.store_calls++;
    if (table == proxy::StoreTable::kRoutes) figures_.route_calls++;
    bool is_refused =
        vm->is_turned_away ||
        (vm->has_routes_refused && table == proxy::StoreTable::kRoutes);
    store_calls_[number] = [this, vm, end](proxy::StoreAnswered answered) {
      After(kStoreLatency, [vm, end, answered] {
        if (!vm->is_isolated && !vm->is_cut_from_store) end(answered);
      });
    };
    After(kStoreLatency, [this, vm, number, body, is_refused, end] {
      if (vm->is_isolated || vm->is_cut_from_store) return;
      if (is_refused) {
        proxy::StoreAnswered answered;
        answered.status = proxy::StoreStatus::kRefused;
        answered.version.era = store_.era();
        After(kStoreLatency, [end, answered] { end(answered); });
        return;
      }
      store_.Call(number, body, now_);
    });
    After(call.timeout, [end] { end(proxy::StoreAnswered()); });
  }

  static constexpr Duration kStoreLatency = Duration::Millis(3);
  // A VM that starts has no tables at first.
  static constexpr Duration kStartTime = Duration::Millis(3000);

  struct OpenCall {
    Vm* from = nullptr;
    uint64_t incarnation = 0;
    CallId call;
    Vm* to = nullptr;
  };

  std::mt19937_64 random_;
  TimePoint now_ = TimePoint::FromMillis(100000);
  PreparedStoreModel store_;
  std::vector<proxy::RouteTable> written_;
  std::vector<std::unique_ptr<Vm>> vms_;
  std::multimap<TimePoint, std::function<void()>> timers_;
  std::map<uint64_t, std::function<void(proxy::StoreAnswered)>> store_calls_;
  std::map<uint64_t, OpenCall> open_calls_;
  std::map<std::pair<int, uint64_t>, int> keys_of_starts_;
  uint64_t last_number_ = 0;
  int key_ = 0;
  std::map<int, TimePoint> revoked_at_;
  Figures figures_;
  std::string problem_;
};

constexpr int kVms = 80;

class SessionKeyAgeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SessionKeyAgeTest);
  CPPUNIT_TEST(Healthy_80Vms_AgeLeavesTimeToServe);
  CPPUNIT_TEST(Healthy_300Vms_AgeLeavesTimeToServe);
  CPPUNIT_TEST(Readers_Killed_OthersServeAndKeyEnds);
  CPPUNIT_TEST(Readers_CutFromStore_OthersServeAndKeyEnds);
  CPPUNIT_TEST(Readers_TurnedAway_OthersServeAndKeyEnds);
  CPPUNIT_TEST(Store_RefusesAll_RefusedInTimeAndServedAfter);
  CPPUNIT_TEST(Vm_CutOff_ServesForAWhileAndRefusesInTime);
  CPPUNIT_TEST(Vm_FrozenAndAwake_RefusesOldKeyAtOnce);
  CPPUNIT_TEST(Vm_StartedFromCopyOfPeer_ServesAndKeyEnds);
  CPPUNIT_TEST(Random_Faults_NoOldKeyIsServed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Healthy_80Vms_AgeLeavesTimeToServe() {
    RunHealthy(80, Duration::Seconds(20));
  }
  void Healthy_300Vms_AgeLeavesTimeToServe() {
    RunHealthy(300, Duration::Seconds(5));
  }

  void Readers_Killed_OthersServeAndKeyEnds() {
    RunWithReadersLost("readers killed",
                       [](KeyAgeWorld* world, int vm) { world->KillVm(vm); });
  }
  void Readers_CutFromStore_OthersServeAndKeyEnds() {
    RunWithReadersLost("readers cut", [](KeyAgeWorld* world, int vm) {
      world->SetCutFromStore(vm, true);
    });
  }
  void Readers_TurnedAway_OthersServeAndKeyEnds() {
    RunWithReadersLost("readers turned away", [](KeyAgeWorld* world, int vm) {
      world->SetTurnedAway(vm, true);
    });
  }

  void Store_RefusesAll_RefusedInTimeAndServedAfter() {
    KeyAgeWorld world(kVms, 5);
    world.Run(Duration::Seconds(6));
    world.SetStoreRefusing(true);
    // The store still answers the calls that wait, at the end of their wait.
    TimePoint lost = world.now() +
                     proxy::RoutesAge(kLimit, Duration()).read_period() +
                     proxy::StoreFollower::kShortFollowWait;
    world.Run(Duration::Seconds(3));
    CPPUNIT_ASSERT_EQUAL(0, world.total_refused());
    world.ResetFigures();
    world.Run(Duration::Seconds(7));
    world.Print("store refuses all");
    for (int i = 0; i < kVms; i++) {
      CPPUNIT_ASSERT(world.last_served(i) - lost <= kLimit);
      CPPUNIT_ASSERT(!world.vm(i)->is_ready());
    }
    world.SetStoreRefusing(false);
    world.Run(Duration::Seconds(4));
    for (int i = 0; i < kVms; i++) CPPUNIT_ASSERT(world.vm(i)->is_ready());
    int refused = world.total_refused();
    world.Run(Duration::Seconds(5));
    CPPUNIT_ASSERT_EQUAL(refused, world.total_refused());
    CPPUNIT_ASSERT_EQUAL(std::string(), world.problem());
  }

  void Vm_CutOff_ServesForAWhileAndRefusesInTime() {
    for (uint64_t seed = 1; seed <= 8; seed++) {
      KeyAgeWorld world(kVms / 4, seed);
      world.Run(Duration::Millis(6000 + 130 * static_cast<int64_t>(seed)));
      const int cut = static_cast<int>(seed) % (kVms / 4);
      world.SetIsolated(cut, true);
      TimePoint at = world.now();
      world.ChangeKey();
      world.Run(Duration::Seconds(9));
      // Its callers of the first key were not told of the change.
      CPPUNIT_ASSERT(world.last_served(cut) - at >= kMustServe);
      CPPUNIT_ASSERT(world.last_served(cut) - at <= kLimit);
      CPPUNIT_ASSERT_EQUAL(std::string(), world.problem());
      world.SetIsolated(cut, false);
      world.Run(Duration::Seconds(4));
      CPPUNIT_ASSERT(world.vm(cut)->is_ready());
      CPPUNIT_ASSERT(world.now() - world.last_served(cut) <
                     Duration::Millis(100));
      CPPUNIT_ASSERT_EQUAL(std::string(), world.problem());
    }
  }

  void Vm_FrozenAndAwake_RefusesOldKeyAtOnce() {
    for (int64_t time : {4500, 5500, 9000}) {
      KeyAgeWorld world(kVms / 4, 7);
      world.Run(Duration::Seconds(6));
      world.FreezeVm(3, Duration::Millis(time));
      world.Run(Duration::Millis(50));
      world.ChangeKey();
      world.Run(Duration::Seconds(14));
      CPPUNIT_ASSERT_EQUAL(std::string(), world.problem());
      CPPUNIT_ASSERT(world.vm(3)->is_ready());
    }
  }

  // The store refuses it the routes, so it has them from a peer.
  void Vm_StartedFromCopyOfPeer_ServesAndKeyEnds() {
    KeyAgeWorld world(kVms / 4, 9);
    world.Run(Duration::Seconds(5));
    world.KillVm(4);
    world.Run(Duration::Seconds(2));
    world.SetRoutesRefused(4, true);
    world.StartVm(4);
    world.Run(Duration::Seconds(4));
    CPPUNIT_ASSERT(world.vm(4)->is_ready());
    int refused = world.refused(4);
    world.Run(Duration::Seconds(5));
    CPPUNIT_ASSERT_EQUAL(refused, world.refused(4));
    world.ChangeKey();
    world.Run(Duration::Seconds(8));
    CPPUNIT_ASSERT_EQUAL(std::string(), world.problem());
  }

  void Random_Faults_NoOldKeyIsServed() {
    for (uint64_t seed = 1; seed <= 12; seed++) {
      KeyAgeWorld world(16, seed);
      std::mt19937_64 random(seed);
      auto pick = [&](uint64_t bound) {
        return static_cast<int>(random() % bound);
      };
      world.Run(Duration::Seconds(4));
      for (int round = 0; round < 60; round++) {
        int vm = pick(world.size());
        switch (pick(9)) {
          case 0:
            world.KillVm(vm);
            break;
          case 1:
            world.FreezeVm(vm, Duration::Millis(200 + pick(9000)));
            break;
          case 2:
            world.SetIsolated(vm, pick(2) == 0);
            break;
          case 3:
            world.SetCutFromStore(vm, pick(2) == 0);
            break;
          case 4:
            world.SetTurnedAway(vm, pick(2) == 0);
            break;
          case 5:
            world.SetStoreRefusing(pick(3) == 0);
            break;
          case 6:
            world.SetRoutesRefused(vm, pick(2) == 0);
            break;
          default:
            world.ChangeKey();
            break;
        }
        if (world.vm(vm) == nullptr && pick(3) == 0) world.StartVm(vm);
        world.Run(Duration::Millis(pick(1500)));
      }
      world.Run(Duration::Seconds(8));
      CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed),
                                   std::string(), world.problem());
    }
  }

 private:
  void RunHealthy(int vms, Duration time) {
    KeyAgeWorld world(vms, 3);
    world.Run(Duration::Seconds(6));
    int refused = world.total_refused();
    world.ResetFigures();
    world.Run(time);
    world.Print("healthy");
    // A VM that is cut off at the worst moment serves for long enough.
    int64_t bound = (kLimit - proxy::RoutesAge::kMargin - kMustServe).millis();
    CPPUNIT_ASSERT_MESSAGE(std::to_string(world.figures().worst_age),
                           world.figures().worst_age <= bound);
    CPPUNIT_ASSERT_EQUAL(refused, world.total_refused());
    world.ChangeKey();
    world.Run(Duration::Seconds(8));
    CPPUNIT_ASSERT_EQUAL(std::string(), world.problem());
  }

  template <typename Fault>
  void RunWithReadersLost(const char* name, Fault fault) {
    KeyAgeWorld world(kVms, 4);
    world.Run(Duration::Seconds(6));
    std::vector<int> ranks = world.ByRank();
    constexpr int kLost = 3;
    world.ResetFigures();
    for (int i = 0; i < kLost; i++) {
      fault(&world, ranks[static_cast<size_t>(i)]);
    }
    world.ChangeKey();
    world.Run(Duration::Seconds(12));
    world.Print(name);
    CPPUNIT_ASSERT_EQUAL(std::string(), world.problem());
    CPPUNIT_ASSERT_EQUAL(0, world.total_refused());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionKeyAgeTest);

}  // namespace
}  // namespace fireflycart::standins
