// Replays loads of many tenants at one upstream in virtual time, without a
// network. Other known choices of connections serve the same arrivals.

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <iomanip>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "fireflycart/core/admission/connection_plan.h"

namespace fireflycart::proxy {
namespace {

constexpr int kSlots = 5;
constexpr int kMaxConnections = 40;  // Of 62, those of a sole owner.
constexpr int kTenants = 82;
constexpr double kZipfExponent = 1.2;

TenantId Tenant(int index) { return TenantId("t" + std::to_string(index)); }

class ConnectionPolicy {
 public:
  virtual ~ConnectionPolicy() = default;
  virtual std::vector<ConnectionStep> Steps(const ConnectionSnapshot& upstream,
                                            const TenantDemand& demand) = 0;
};

class Planned : public ConnectionPolicy {
 public:
  std::vector<ConnectionStep> Steps(const ConnectionSnapshot& upstream,
                                    const TenantDemand& demand) override {
    return ConnectionPlan().Steps(upstream, demand);
  }
};

// Opens for each waiting statement, as long as openings leave it a slot, and
// closes the idle connection that was used longest ago.
class LeastRecentlyUsed : public ConnectionPolicy {
 public:
  std::vector<ConnectionStep> Steps(const ConnectionSnapshot& upstream,
                                    const TenantDemand&) override {
    std::vector<ConnectionStep> steps;
    std::map<TenantId, TenantConnections> tenants = upstream.tenants;
    int connections = upstream.connections;
    int opening = 0;
    for (const auto& item : tenants) opening += item.second.opening;
    std::map<TenantId, int> seen;
    for (const WaitingWork& work : upstream.waiting) {
      TenantConnections& own = tenants[work.tenant];
      if (opening >= upstream.slots) break;
      if (seen[work.tenant]++ < own.opening || !MayOpen(own)) continue;
      ConnectionStep step;
      step.open = work.tenant;
      if (connections >= upstream.max_connections ||
          IsPartitionFull(tenants, work.tenant)) {
        if (!FindVictim(tenants, upstream, work.tenant, &step.close)) continue;
        step.closes = true;
        tenants[step.close].idle--;
        connections--;
      }
      own.opening++;
      opening++;
      connections++;
      steps.push_back(step);
    }
    return steps;
  }

 protected:
  virtual bool MayOpen(const TenantConnections&) const { return true; }
  // Tenants only close connections of their own partition.
  virtual int PartitionOf(const TenantId&) const { return 0; }
  virtual int PartitionSize() const { return kMaxConnections; }

 private:
  static int Total(const TenantConnections& c) {
    return c.idle + c.busy + c.pinned + c.opening;
  }

  bool IsPartitionFull(const std::map<TenantId, TenantConnections>& tenants,
                       const TenantId& tenant) const {
    int total = 0;
    for (const auto& item : tenants) {
      if (PartitionOf(item.first) == PartitionOf(tenant)) {
        total += Total(item.second);
      }
    }
    return total >= PartitionSize();
  }

  bool FindVictim(const std::map<TenantId, TenantConnections>& tenants,
                  const ConnectionSnapshot& upstream, const TenantId& tenant,
                  TenantId* victim) const {
    bool is_found = false;
    TimePoint last_used;
    for (const auto& item : tenants) {
      bool may_close = item.second.idle > 0 && item.first != tenant &&
                       upstream.startable.count(item.first) == 0 &&
                       PartitionOf(item.first) == PartitionOf(tenant);
      if (!may_close) continue;
      if (is_found && item.second.last_used >= last_used) continue;
      is_found = true;
      *victim = item.first;
      last_used = item.second.last_used;
    }
    return is_found;
  }
};

class OneEach : public LeastRecentlyUsed {
 protected:
  bool MayOpen(const TenantConnections& own) const override {
    return own.idle + own.busy + own.pinned + own.opening == 0;
  }
};

// Fewer connections than tenants: two or three tenants share one.
class FixedShare : public LeastRecentlyUsed {
 protected:
  int PartitionOf(const TenantId& tenant) const override {
    return std::stoi(tenant.value().substr(1)) % kMaxConnections;
  }
  int PartitionSize() const override { return 1; }
};

struct Kind {
  double share = 0;
  int64_t service_ms = 0;
  int64_t target_ms = 0;
  int64_t deadline_ms = 0;
  double worth = 0;
  double worth_late = 0;
  double transactions = 0;  // Share of them.
};

// By priority.
const std::array<Kind, 3> kKinds = {{
    {0.135, 8, 200, 3000, 3.5, 0.71, 0.4},
    {0.631, 24, 400, 3000, 1.9, 0.47, 0.12},
    {0.234, 40, 1200, 10000, 0.47, 0.35, 0.1},
}};

struct Load {
  double rate = 160;  // Operations a second.
  int seconds = 24;
  // Tenants that send more than usual in a part of the time.
  int hot_factor = 1;
  int hot_tenants = 0;            // One after the other.
  int crash_at_s = 0;             // All connections are lost; 0: never.
  int64_t transaction_ms = 50;    // Pause between two statements.
  double transaction_factor = 1;  // Multiplies the shares of transactions.
};

struct Result {
  int statements = 0;
  int found = 0;  // Statements whose tenant had an idle connection, or its own.
  int64_t opening_ms = 0;
  int openings = 0;
  std::array<double, 3> worth = {};
  std::array<double, 3> offered = {};

  double found_share() const { return 1.0 * found / std::max(statements, 1); }
  double total_worth() const { return worth[0] + worth[1] + worth[2]; }
  double total_offered() const { return offered[0] + offered[1] + offered[2]; }
};

// One upstream and its queue, in steps of a millisecond. Work is served in time
// before late, by priority, then by target. A transaction has two statements.
class Replay {
 public:
  Replay(Load load, ConnectionPolicy* policy)
      : load_(load), policy_(policy), random_(7) {}

  Result Run() {
    int64_t end = load_.seconds * int64_t{1000};
    for (now_ = 0; now_ < end; now_++) {
      if (load_.crash_at_s > 0 && now_ == load_.crash_at_s * int64_t{1000}) {
        Crash();
      }
      Finish();
      Arrive();
      Expire();
      // Without an event nothing can start, except that statements come late.
      if (!has_changed_ && now_ % 20 != 0) continue;
      has_changed_ = false;
      Start();
      Plan();
    }
    return result_;
  }

 private:
  enum class State { kOpening, kIdle, kBusy, kPaused };
  struct Op {
    TenantId tenant;
    size_t priority = 0;
    int64_t arrived = 0;
    bool is_transaction = false;
    bool is_second = false;
  };
  struct Connection {
    TenantId tenant;
    State state = State::kOpening;
    bool has_slot = false;
    int64_t until = 0;
    int64_t last_used = 0;
    Op op;
  };

  int64_t TargetOf(const Op& op) const {
    return op.arrived + kKinds[op.priority].target_ms;
  }
  bool IsLate(const Op& op) const {
    return now_ > TargetOf(op) - 2 * kKinds[op.priority].service_ms;
  }

  double Uniform() {
    return static_cast<double>(random_() >> 11) * std::ldexp(1.0, -53);
  }

  int PickTenant() {
    double left = Uniform() * total_weight_;
    size_t tenant = 0;
    while (tenant + 1 < kTenants && left >= weights_[tenant]) {
      left -= weights_[tenant++];
    }
    return static_cast<int>(tenant);
  }

  // Hot tenants are of medium size, each in its part of the middle half.
  double HotFactorOf(int tenant) const {
    constexpr int kFirstHot = 3;
    if (load_.hot_tenants == 0) return 1;
    int64_t start = load_.seconds * int64_t{250};
    int64_t part = load_.seconds * int64_t{500} / load_.hot_tenants;
    bool is_hot = now_ >= start && now_ < start + part * load_.hot_tenants &&
                  tenant == kFirstHot + (now_ - start) / part;
    return is_hot ? load_.hot_factor : 1;
  }

  // Sets the tenants' weights and the factor of the whole rate.
  void SetWeights() {
    double usual = 0;
    total_weight_ = 0;
    for (int i = 0; i < kTenants; i++) {
      double weight = std::pow(i + 1, -kZipfExponent);
      usual += weight;
      weights_[static_cast<size_t>(i)] = weight * HotFactorOf(i);
      total_weight_ += weights_[static_cast<size_t>(i)];
    }
    factor_ = total_weight_ / usual;
  }

  void Crash() {
    continuing_.clear();
    connections_.clear();
    has_changed_ = true;
  }

  void Arrive() {
    if (now_ % 100 == 0) SetWeights();
    // Arrivals of a Poisson process in one step.
    double left = std::exp(-load_.rate * factor_ / 1000);
    double product = Uniform();
    while (product > left) {
      product *= Uniform();
      AddArrival();
    }
  }

  void AddArrival() {
    Op op;
    op.tenant = Tenant(PickTenant());
    double kind = Uniform();
    while (op.priority < 2 && kind >= kKinds[op.priority].share) {
      kind -= kKinds[op.priority++].share;
    }
    op.arrived = now_;
    op.is_transaction =
        Uniform() < kKinds[op.priority].transactions * load_.transaction_factor;
    result_.statements++;
    result_.offered[op.priority] += kKinds[op.priority].worth;
    if (FindIdle(op.tenant) != nullptr) result_.found++;
    demand_.OnArrival(op.tenant,
                      Duration::Millis(kKinds[op.priority].service_ms),
                      TimePoint::FromMillis(now_));
    queue_.push_back(op);
    has_changed_ = true;
  }

  void Expire() {
    auto is_over = [this](const Op& op) {
      return now_ - op.arrived > kKinds[op.priority].deadline_ms;
    };
    queue_.erase(std::remove_if(queue_.begin(), queue_.end(), is_over),
                 queue_.end());
  }

  Connection* FindIdle(const TenantId& tenant) {
    for (auto& connection : connections_) {
      if (connection->tenant == tenant && connection->state == State::kIdle) {
        return connection.get();
      }
    }
    return nullptr;
  }

  std::set<TenantId> IdleTenants() const {
    std::set<TenantId> idle;
    for (const auto& c : connections_) {
      if (c->state == State::kIdle) idle.insert(c->tenant);
    }
    return idle;
  }

  void Finish() {
    for (auto& connection : connections_) {
      Connection& c = *connection;
      if (c.state == State::kPaused && now_ >= c.until) {
        has_changed_ = true;
        continuing_.push_back(&c);
        c.until = INT64_MAX;
        result_.statements++;
        result_.found++;
      }
      if (!c.has_slot || now_ < c.until) continue;
      has_changed_ = true;
      c.has_slot = false;
      if (c.state == State::kOpening) {
        c.state = State::kIdle;
        c.last_used = now_;
        continue;
      }
      if (c.op.is_transaction && !c.op.is_second) {
        c.op.is_second = true;
        c.state = State::kPaused;
        c.until = now_ + load_.transaction_ms;
        continue;
      }
      c.state = State::kIdle;
      c.last_used = now_;
      const Kind& kind = kKinds[c.op.priority];
      int64_t pause = c.op.is_transaction ? load_.transaction_ms : 0;
      int64_t took = now_ - c.op.arrived - pause;
      result_.worth[c.op.priority] +=
          took <= kind.target_ms ? kind.worth : kind.worth_late;
    }
  }

  int UsedSlots() const {
    int used = 0;
    for (const auto& c : connections_) used += c->has_slot ? 1 : 0;
    return used;
  }

  // What the upstream has been sent goes first.
  void Start() {
    int used = UsedSlots();
    for (auto& connection : connections_) {
      Connection& c = *connection;
      if (used >= kSlots) return;
      if (c.state != State::kOpening || c.has_slot) continue;
      c.has_slot = true;
      c.until = now_ + ConnectionPlan::kOpenTime.millis();
      result_.opening_ms += ConnectionPlan::kOpenTime.millis();
      used++;
    }
    while (used < kSlots && !continuing_.empty()) {
      Run(continuing_.front());
      continuing_.erase(continuing_.begin());
      used++;
    }
    if (used >= kSlots) return;
    Sort();
    std::set<TenantId> idle = IdleTenants();
    for (auto it = queue_.begin(); it != queue_.end() && used < kSlots;) {
      Connection* c =
          idle.count(it->tenant) == 0 ? nullptr : FindIdle(it->tenant);
      if (c == nullptr) {
        ++it;
        continue;
      }
      c->op = *it;
      Run(c);
      used++;
      it = queue_.erase(it);
    }
  }

  void Run(Connection* c) {
    c->state = State::kBusy;
    c->has_slot = true;
    c->until = now_ + kKinds[c->op.priority].service_ms;
  }

  void Sort() {
    std::stable_sort(
        queue_.begin(), queue_.end(), [this](const Op& a, const Op& b) {
          return std::make_tuple(IsLate(a), a.priority, TargetOf(a)) <
                 std::make_tuple(IsLate(b), b.priority, TargetOf(b));
        });
  }

  ConnectionSnapshot Snapshot() {
    ConnectionSnapshot snapshot;
    snapshot.now = TimePoint::FromMillis(now_);
    snapshot.slots = kSlots;
    snapshot.max_connections = kMaxConnections;
    snapshot.connections = static_cast<int>(connections_.size());
    for (const auto& c : connections_) {
      TenantConnections& own = snapshot.tenants[c->tenant];
      if (c->state == State::kOpening) own.opening++;
      if (c->state == State::kIdle) own.idle++;
      if (c->state == State::kBusy && !c->op.is_transaction) own.busy++;
      if (c->state == State::kPaused ||
          (c->state == State::kBusy && c->op.is_transaction)) {
        own.pinned++;
      }
      own.last_used =
          std::max(own.last_used, TimePoint::FromMillis(c->last_used));
      if (c->has_slot && c->state == State::kBusy) snapshot.running++;
    }
    snapshot.running += static_cast<int>(continuing_.size());
    std::set<TenantId> idle = IdleTenants();
    for (const Op& op : queue_) {
      if (idle.count(op.tenant) != 0) {
        snapshot.startable.insert(op.tenant);
        continue;
      }
      const Kind& kind = kKinds[op.priority];
      WaitingWork work;
      work.tenant = op.tenant;
      work.service = Duration::Millis(kind.service_ms);
      work.slack = Duration::Millis(TargetOf(op) - kind.service_ms - now_);
      snapshot.waiting.push_back(work);
    }
    return snapshot;
  }

  void Plan() {
    for (const ConnectionStep& step : policy_->Steps(Snapshot(), demand_)) {
      if (step.closes) {
        Connection* closed = FindIdle(step.close);
        CPPUNIT_ASSERT(closed != nullptr);
        connections_.erase(std::find_if(
            connections_.begin(), connections_.end(),
            [closed](const auto& c) { return c.get() == closed; }));
      }
      auto opened = std::make_unique<Connection>();
      opened->tenant = step.open;
      connections_.push_back(std::move(opened));
      result_.openings++;
      CPPUNIT_ASSERT(connections_.size() <= kMaxConnections);
    }
  }

  Load load_;
  ConnectionPolicy* policy_;
  std::mt19937_64 random_;
  int64_t now_ = 0;
  double factor_ = 1;
  double total_weight_ = 0;
  std::array<double, kTenants> weights_ = {};
  bool has_changed_ = true;
  std::vector<Op> queue_;
  std::vector<std::unique_ptr<Connection>> connections_;
  std::vector<Connection*> continuing_;
  TenantDemand demand_;
  Result result_;
};

class ConnectionReplayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConnectionReplayTest);
  CPPUNIT_TEST(Replay_Steady_BeatsBaselines);
  CPPUNIT_TEST(Replay_HotTenant_BeatsBaselines);
  CPPUNIT_TEST(Replay_ThreeHotTenants_BeatsBaselines);
  CPPUNIT_TEST(Replay_CrashOfAllConnections_BeatsBaselines);
  CPPUNIT_TEST(Replay_ManyTransactions_BeatsBaselines);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Replay_Steady_BeatsBaselines() { Compare("steady", Load()); }

  void Replay_HotTenant_BeatsBaselines() {
    Load load;
    load.rate = 120;
    load.hot_factor = 7;
    load.hot_tenants = 1;
    Compare("hot tenant", load);
  }

  void Replay_ThreeHotTenants_BeatsBaselines() {
    Load load;
    load.rate = 120;
    load.hot_factor = 7;
    load.hot_tenants = 3;
    Compare("three hot tenants", load);
  }

  void Replay_CrashOfAllConnections_BeatsBaselines() {
    Load load;
    load.crash_at_s = 12;
    Compare("crash", load);
  }

  void Replay_ManyTransactions_BeatsBaselines() {
    Load load;
    load.rate = 100;
    load.transaction_factor = 2;
    load.transaction_ms = 150;
    Compare("transactions that pin", load);
  }

 private:
  static void Compare(const std::string& name, const Load& load) {
    Planned planned;
    LeastRecentlyUsed least_recent;
    FixedShare fixed;
    OneEach one_each;
    Result result = RunAndPrint(name + ", planned", load, &planned);
    CPPUNIT_ASSERT(result.opening_ms <= load.seconds * int64_t{1000} * kSlots *
                                            ConnectionPlan::kMaxOpeningShare);
    std::vector<std::pair<std::string, ConnectionPolicy*>> baselines = {
        {"least recently used", &least_recent},
        {"fixed share", &fixed},
        {"one each", &one_each}};
    for (const auto& baseline : baselines) {
      Result other =
          RunAndPrint(name + ", " + baseline.first, load, baseline.second);
      CPPUNIT_ASSERT_MESSAGE(name + ": worth against " + baseline.first,
                             result.total_worth() >= other.total_worth());
      CPPUNIT_ASSERT_MESSAGE(name + ": found against " + baseline.first,
                             result.found_share() >= other.found_share());
    }
  }

  static Result RunAndPrint(const std::string& name, const Load& load,
                            ConnectionPolicy* policy) {
    Result result = Replay(load, policy).Run();
    double slot_ms = 1000.0 * load.seconds * kSlots;
    std::cout << "\n"
              << name << ":" << std::fixed << std::setprecision(3)
              << " found open " << result.found_share() << ", openings "
              << result.openings << ", slots on openings "
              << static_cast<double>(result.opening_ms) / slot_ms << ", worth "
              << result.total_worth() / result.total_offered()
              << ", by priority";
    for (size_t i = 0; i < kKinds.size(); i++) {
      std::cout << " " << result.worth[i] / result.offered[i];
    }
    std::cout << "\n";
    return result;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionReplayTest);

}  // namespace
}  // namespace fireflycart::proxy
