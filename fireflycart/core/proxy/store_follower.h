// Keeps routes, upstreams and the list of VMs current: reads each table of the
// store once, then follows its changes, or leaves that to other VMs and hears
// of changes from them.
//
//   follower.Start(self_record, &context);
//   follower.SetReader(fleet.IsReader(), &context);
//   if (follower.OnStore(answer, &context)) Use(follower.routes());
//   follower.OnSnapshot(reply, &context);        // what a peer knew
//
// What is known stays in force while the store is away. Nothing goes back:
// routes and upstreams are replaced only by a newer version.
//
// Limits: three open calls, one for each table.

#ifndef FIREFLYCART_CORE_PROXY_STORE_FOLLOWER_H_
#define FIREFLYCART_CORE_PROXY_STORE_FOLLOWER_H_

#include <array>
#include <map>
#include <string>
#include <vector>

#include "fireflycart/core/proxy/proxy_context.h"
#include "fireflycart/core/proxy/route.h"

namespace fireflycart::proxy {

class StoreFollower {
 public:
  // A follower asks again after this, each table at its own third of the time.
  // So a VM that the store leaves unanswered knows it within a third and the
  // slack, and others can take over and learn routes within 3 s.
  static constexpr Duration kFollowWait = Duration::Millis(4000);
  // The store answers within 4 ms, and up to fifty times slower when loaded.
  static constexpr Duration kFollowSlack = Duration::Millis(400);
  // First wait of a VM that takes over, and wait while the store failed: shows
  // soon whether the store answers.
  static constexpr Duration kFirstWait = Duration::Millis(200);
  // A VM that no news of the store reached for so long follows it itself. More
  // than readers need for an answer and news to spread.
  static constexpr Duration kUnheardLimit = Duration::Millis(8000);
  static constexpr Duration kReadTimeout = Duration::Millis(1000);
  // Pause after a failed call, doubled up to the longest.
  static constexpr Duration kRetry = Duration::Millis(200);
  static constexpr Duration kRetryMax = Duration::Millis(1600);

  // Serializes and parses the record of a VM.
  static std::string EncodeVm(const VmRecord& record);
  static bool DecodeVm(const std::string& value, VmRecord* record);

  void Start(const VmRecord& self, ProxyContext* context);
  // Handles the answer to a call of this part; false if it is not.
  bool OnStore(const StoreAnswered& answer, ProxyContext* context);
  void OnSnapshot(const SnapshotReply& reply, ProxyContext* context);
  void OnWake(ProxyContext* context);
  // Whether this VM is one of those that follow the store for all.
  void SetReader(bool is_reader, ProxyContext* context);
  // Some VM heard the store so long ago.
  void OnStoreHeard(Duration age, ProxyContext* context);

  const RouteTable& routes() const { return routes_; }
  const UpstreamList& upstreams() const { return upstreams_; }
  const VmList& vms() const { return vms_; }
  // What a peer with this version lacks: changes, or the whole list.
  VmList VmsAfter(uint64_t version) const;
  bool has_upstreams() const { return upstreams_.version != 0; }
  bool has_vms() const { return vms_.version != 0; }
  KnownVersions known() const {
    return KnownVersions{routes_.version, upstreams_.version, vms_.version};
  }
  bool hears_store() const;
  bool is_reader() const { return is_reader_; }
  Duration store_age(TimePoint now) const { return now - store_heard_; }
  // Grows with each change of routes or upstreams, and of VMs.
  uint64_t changes() const { return changes_; }
  uint64_t vm_changes() const { return vm_changes_; }

 private:
  static constexpr size_t kFollowed = 3;

  // How far one table is followed.
  struct Table {
    explicit Table(StoreTable t) : table(t) {}
    StoreTable table;
    CallId call;
    bool is_reading = false;
    bool is_first = false;    // The next follow is the first after taking over.
    bool is_current = false;  // Read once; later changes are followed.
    uint64_t version = 0;
    int failures = 0;
    TimePoint next;
  };

  void Step(Table* table, ProxyContext* context);
  void StepAll(ProxyContext* context);
  Duration WaitOf(const Table& table, TimePoint now) const;
  bool IsOtherTried(const Table& table) const;
  void Announce(ProxyContext* context);
  void Apply(const Table& table, const StoreAnswered& answer, bool is_whole,
             ProxyContext* context);
  void ApplyRoutes(const RouteTable& routes, const char* source,
                   ProxyContext* context);
  void ApplyUpstreams(const StoreAnswered& answer, bool is_whole,
                      ProxyContext* context);
  void ApplyVms(const StoreAnswered& answer, bool is_whole);
  void TakeVms(const VmList& vms);
  void TakeVersion(StoreTable which, uint64_t version);
  bool MustFollow(ProxyContext* context) const;
  void OnHeard(const Table& table, ProxyContext* context);
  void OnFailed(Table* table, StoreStatus status, ProxyContext* context);

  VmRecord self_;
  std::array<Table, kFollowed> tables_ = {Table{StoreTable::kRoutes},
                                          Table{StoreTable::kUpstreams},
                                          Table{StoreTable::kVms}};
  CallId announcement_;
  bool is_announced_ = false;
  TimePoint next_announcement_;
  RouteTable routes_;
  UpstreamList upstreams_;
  VmList vms_;
  uint64_t vms_dropped_ = 0;  // Version at which a record was last dropped.
  bool is_reader_ = true;
  TimePoint store_heard_;
  uint64_t changes_ = 0;
  uint64_t vm_changes_ = 0;
};

}  // namespace fireflycart::proxy

#endif  // FIREFLYCART_CORE_PROXY_STORE_FOLLOWER_H_
