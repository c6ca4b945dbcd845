// Keeps routes, upstreams and the list of VMs current: reads each table of the
// store once, then follows its changes, or leaves that to other VMs and
// receives the changes from them.
//
//   follower.Start(self_record, &context);
//   follower.SetReaders(fleet.store_readers(), &context);
//   if (follower.OnStore(answer, &context)) Use(follower.routes());
//   follower.OnSnapshot(reply, &context);        // newer versions of a peer
//
// The last known data stay in use while the store does not answer. Routes and
// upstreams are replaced only by a newer version. After a restore of the store,
// a new era, the tables are read whole and completed with what was known.
//
// Limits: one call for each table, besides those that were given up: open as an
// era began, or when another call got no answer.

#ifndef FIREFLYCART_CORE_PROXY_STORE_FOLLOWER_H_
#define FIREFLYCART_CORE_PROXY_STORE_FOLLOWER_H_

#include <array>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fireflycart/core/proxy/proxy_context.h"
#include "fireflycart/core/proxy/restored_list.h"
#include "fireflycart/core/proxy/route.h"
#include "fireflycart/core/proxy/routes_age.h"
#include "fireflycart/core/proxy/store_readers.h"
#include "fireflycart/core/proxy/upstream_times.h"
namespace fireflycart::proxy {

// An upstream that started later is newer, and one that leaves does not return
// without a new start.
struct RestoredUpstreamPolicy {
  static bool MustKeep(const UpstreamRecord& stored,
                       const UpstreamRecord& known) {
    bool is_same_start = stored.started_ms == known.started_ms;
    return stored.started_ms < known.started_ms ||
           (is_same_start && known.leaving);
  }
  static UpstreamRecord Merge(const UpstreamRecord& stored,
                              const UpstreamRecord& known) {
    if (stored.started_ms < known.started_ms) return known;
    UpstreamRecord merged = stored;
    bool is_same_start = stored.started_ms == known.started_ms;
    if (is_same_start && known.leaving) merged.leaving = true;
    return merged;
  }
};

struct RestoredVmPolicy {
  static bool MustKeep(const VmRecord& stored, const VmRecord& known) {
    return stored.incarnation < known.incarnation;
  }
  static VmRecord Merge(const VmRecord& stored, const VmRecord& known) {
    return MustKeep(stored, known) ? known : stored;
  }
};

class StoreFollower {
 public:
  // Asks the store for the routes if no peer knows a younger age.
  explicit StoreFollower(const RoutesAge& routes_age)
      : routes_age_(routes_age) {}

  // Period of the follow calls of one table; the three tables are a third of it
  // apart. So a VM that gets no answers from the store detects that within a
  // third and the margin, and others can take over and receive routes within
  // 3 s.
  static constexpr Duration kFollowPeriod = Duration::Millis(4000);
  // The timeout of a follow call exceeds its wait by this. The store answers
  // within 4 ms, and up to fifty times slower under load.
  static constexpr Duration kFollowTimeoutMargin = Duration::Millis(400);
  // Wait of the first call of a VM that becomes a reader, and of calls after a
  // failure, so that it is soon known whether the store answers.
  static constexpr Duration kShortFollowWait = Duration::Millis(200);
  // A VM follows the store itself if no VM is known to have received an answer
  // from it for this long. Users of large deployments require that routes are
  // in force within 5 s; the rest is for the period of the timers, one call and
  // the way to all VMs. A reader receives an answer in each third of
  // kFollowPeriod, and heartbeats tell all VMs of it in 1 s to 2 s.
  static constexpr Duration kStoreAgeLimit = Duration::Millis(3600);
  static constexpr Duration kReadTimeout = Duration::Millis(1000);
  // After a gap in the following of upstreams that is longer than this, the
  // time of a change within it counts as unknown.
  static constexpr Duration kMaxUpstreamGap = Duration::Millis(1000);
  // Delay after a failed call, doubled with each failure up to the maximum.
  static constexpr Duration kRetryDelay = Duration::Millis(200);
  static constexpr Duration kMaxRetryDelay = Duration::Millis(1600);
  // After a restore, upstreams write their rows again within 2 s; see
  // Failover::kUnregisteredTimeout.
  static constexpr Duration kUpstreamGrace = Duration::Millis(2300);
  // VMs that find their own rows missing write them again within this time, so
  // that not all of them write at the same moment.
  static constexpr Duration kAnnouncementSpread = Duration::Millis(2000);
  // Until then, others keep VMs that are missing: the spread, and four times as
  // much for repeated calls and for the way through peers.
  static constexpr Duration kVmGrace = Duration::Millis(8000);

  // Serializes and parses the value of a row of kVms.
  static std::string EncodeVm(const VmRecord& record);
  // Returns false and names the field in *problem if the value is not valid.
  // Reads all but the VM itself, which is the key of the row.
  static bool DecodeVm(const std::string& value, VmRecord* record,
                       std::string* problem);

  void Start(const VmRecord& self, ProxyContext* context);
  // Handles the answer to a call of this object; false if the call is not its
  // own.
  bool OnStore(const StoreAnswered& answer, ProxyContext* context);
  // `asked_at` is when the peer was asked for it.
  void OnSnapshot(const SnapshotReply& reply, TimePoint asked_at,
                  ProxyContext* context);
  // A peer, or an answer to a call of another object, is of this era.
  void OnEra(StoreEra era, const char* source, ProxyContext* context);
  void OnWake(ProxyContext* context);
  // Sets the VMs that follow the store for all.
  void SetReaders(const StoreReaders& readers, ProxyContext* context);
  // A peer sent what it knows of the upstreams.
  void OnUpstreamAges(const std::vector<UpstreamAge>& ages,
                      ProxyContext* context);
  // A peer had the same list of upstreams at that time, by the store.
  void OnPeerAgrees(TimePoint confirmed_at);
  // A peer that was asked then had routes of this version and age.
  void OnPeerRoutesAge(uint64_t version, const std::optional<Duration>& age,
                       TimePoint asked_at);
  // A peer reported that the store answered that VM this long ago; `number` is
  // Heartbeat::store_answer.
  void OnPeerStoreAge(Duration age, const VmId& reader, uint64_t number,
                      ProxyContext* context);

  const RouteTable& routes() const { return routes_; }
  const UpstreamList& upstreams() const { return upstreams_.merged(); }
  const UpstreamTimes& upstream_times() const { return upstream_times_; }
  const VmList& vms() const { return vms_.merged(); }
  // As the store has them, for peers.
  const UpstreamList& stored_upstreams() const { return upstreams_.stored(); }
  // The changes after this version, or the whole list if records were removed
  // since.
  VmList VmsAfter(StoreVersion version) const;
  bool has_upstreams() const { return upstreams_.version() != StoreVersion(); }
  bool has_vms() const { return vms_.version() != StoreVersion(); }
  KnownVersions known() const {
    return KnownVersions{routes_.version, upstreams_.version(), vms_.version()};
  }
  // The newest era that is known.
  StoreEra era() const { return era_; }
  // When the last restore was noticed; zero if there was none.
  TimePoint restored_at() const { return restored_at_; }
  bool reaches_store() const;
  // True if this VM follows the store, for all or because no VM is known to
  // have received an answer from it lately.
  bool follows_store() const { return is_reader_ || follows_by_age_; }
  // The VM that received the last known answer of the store, and the answer's
  // number.
  const VmId& store_reader() const { return store_reader_; }
  uint64_t store_answer() const { return store_answer_; }
  Duration store_age(TimePoint now) const { return now - store_answered_at_; }
  TimePoint store_answered_at() const { return store_answered_at_; }
  // The list of upstreams includes the changes up to this time.
  TimePoint upstreams_confirmed_at() const { return upstreams_confirmed_at_; }
  const RoutesAge& routes_age() const { return routes_age_; }
  // Count the changes of routes and upstreams, and of VMs.
  uint64_t changes() const { return changes_; }
  uint64_t vm_changes() const { return vm_changes_; }

 private:
  static constexpr size_t kFollowed = 3;

  // Progress of following one table.
  struct Table {
    explicit Table(StoreTable t) : table(t) {}
    StoreTable table;
    CallId call;
    bool is_reading = false;
    bool is_first_follow = false;  // The next call is the first as reader.
    bool is_current = false;       // Was read; later changes are followed.
    StoreVersion version;
    // The open call followed the last answer without a gap.
    bool is_continuous = false;
    TimePoint called_at;  // The open call, as is wait.
    Duration wait;
    int failures = 0;
    TimePoint next;
  };

  void Step(Table* table, ProxyContext* context);
  void StepAll(ProxyContext* context);
  Duration WaitOf(const Table& table, TimePoint now) const;
  bool IsOtherTableRetrying(const Table& table) const;
  void Announce(ProxyContext* context);
  void CheckOwnRecord(ProxyContext* context);
  bool NoteEra(StoreEra era, const char* source, ProxyContext* context);
  void ExpireKeptRecords(ProxyContext* context);
  void OnTableAnswered(Table* table, const StoreAnswered& answer,
                       ProxyContext* context);
  void Apply(const Table& table, const StoreAnswered& answer, bool is_whole,
             ProxyContext* context);
  void ApplyRoutes(const RouteTable& routes, const char* source,
                   ProxyContext* context);
  void ApplyUpstreams(const StoreAnswered& answer, bool is_whole,
                      ProxyContext* context);
  void UpdateUpstreamTimes(bool is_continuous, ProxyContext* context);
  void ApplyVms(const StoreAnswered& answer, bool is_whole,
                ProxyContext* context);
  void MergeVms(const VmList& vms, ProxyContext* context);
  void AdvanceVersion(StoreTable which, StoreVersion version);
  void CheckStoreAge(ProxyContext* context);
  TimePoint NoteAnswer(const VmId& reader, uint64_t number, TimePoint at);
  void CheckRoutesAge(ProxyContext* context);
  bool IsFollowed(const Table& table) const;
  static void StartFollowing(Table* table, bool is_followed);
  static void ReadRoutesNext(Table* table);
  static Duration TimeoutOf(const Table& table);
  void ConfirmRoutes(const Table& table, const StoreAnswered& answer,
                     TimePoint now);
  void SetFollowing(bool is_reader, bool follows_by_age, const char* cause,
                    ProxyContext* context);
  bool MustWaitForAnswer(const Table& table, TimePoint now) const;
  void LogFollowing(const char* cause, ProxyContext* context);
  void OnAnswered(const Table& table, ProxyContext* context);
  void OnFailed(Table* table, StoreStatus status, ProxyContext* context);
  void RepeatOpenCalls();

  VmRecord self_;
  TimePoint started_at_;
  std::array<Table, kFollowed> tables_ = {Table{StoreTable::kRoutes},
                                          Table{StoreTable::kUpstreams},
                                          Table{StoreTable::kVms}};
  CallId announcement_;
  bool is_announced_ = false;
  TimePoint next_announcement_;
  StoreVersion announced_version_;  // Version of the last announcement.
  StoreEra era_;
  TimePoint restored_at_;
  RouteTable routes_;
  RestoredList<UpstreamList, RestoredUpstreamPolicy> upstreams_{kUpstreamGrace};
  UpstreamTimes upstream_times_;
  // The list of upstreams includes all changes up to then.
  TimePoint upstreams_confirmed_at_;
  RestoredList<VmList, RestoredVmPolicy> vms_{kVmGrace};
  // Version at which a record was last removed.
  StoreVersion vms_removed_version_;
  bool is_reader_ = true;
  bool follows_by_age_ = false;
  TimePoint follows_by_age_since_;
  // This VM follows the routes, since its knowledge of them is too old.
  bool follows_routes_by_age_ = false;
  RoutesAge routes_age_;
  StoreReaders readers_;
  // The last known answer of the store to a VM.
  struct LastAnswer {
    uint64_t number = 0;
    TimePoint at;
  };
  std::map<VmId, LastAnswer> last_answers_;
  TimePoint store_answered_at_;  // The newest of these, as are the next two.
  VmId store_reader_;
  uint64_t store_answer_ = 0;
  uint64_t changes_ = 0;
  uint64_t vm_changes_ = 0;
};

}  // namespace fireflycart::proxy

#endif  // FIREFLYCART_CORE_PROXY_STORE_FOLLOWER_H_
