// Calls between VMs that serve sessions. They are alternatives of the message
// variants in core/peer_message.h.

#ifndef FIREFLYCART_CORE_PROXY_PEER_CALLS_H_
#define FIREFLYCART_CORE_PROXY_PEER_CALLS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fireflycart/core/proxy/route.h"
#include "fireflycart/core/proxy/statement.h"
#include "fireflycart/core/proxy/upstream_times.h"

namespace fireflycart::proxy {

// Identifies a session across all VMs and their restarts.
struct SessionKey {
  VmId vm;
  uint64_t incarnation = 0;
  SessionNumber session;

  bool operator<(const SessionKey& o) const {
    if (vm != o.vm) return vm < o.vm;
    if (incarnation != o.incarnation) return incarnation < o.incarnation;
    return session < o.session;
  }
};

enum class Access { kRead, kWrite, kCommit };
constexpr int kAccesses = 3;

enum class TransactionKind { kNone, kReadWrite, kReadOnly };
constexpr int kTransactionKinds = 3;

// A statement that the VM of its session forwards to the group's owner.
// Durations are relative, since the clocks of two VMs are not comparable.
struct StatementCall {
  GroupId group;
  TenantId tenant;  // Empty if the deployment has no tenants.
  SessionKey session;
  TransactionKind transaction = TransactionKind::kNone;
  uint64_t transaction_number = 0;  // Counts the session's transactions.
  bool opens_transaction = false;   // The owner begins the transaction first.
  Access access = Access::kRead;
  StatementId id;
  std::string text;  // Statement unchanged, or arguments if it is prepared.
  bool is_prepared = false;
  PreparedShape prepared;
  std::map<std::string, std::string> values;  // All values of the session.
  ReadConsistency consistency = ReadConsistency::kStrong;
  Duration max_age;
  LogPosition own_position;  // Of the session's last commit; may be unknown.
  int priority = 0;
  Duration target_left;  // Until the operation misses its target.
  Duration time_left;    // Until the statement times out.
  // For the receiver's reader of the group, not for the group's owner. Earlier
  // versions treat the receiver as the owner, as any VM may be.
  bool at_reader = false;
};

struct StatementReply {
  Outcome outcome = Outcome::kUnknown;
  std::vector<std::string> rows;
  std::string signature;
  std::string detail;
  LogPosition position;  // After a commit: what later reads must contain.
  // The receiver cannot serve the group and did not run the statement; the
  // sender may send it to another VM.
  bool is_misdirected = false;
  // The owner is about to stop; later statements must go to another VM.
  bool is_leaving = false;
  // The reader did not serve the statement; it has to go to the owner.
  bool is_for_owner = false;
};

// Asks the owner of a group for a position of the primary that was confirmed.
struct EvidenceCall {
  GroupId group;
};
struct EvidenceReply {
  bool is_known = false;
  LogPosition position;  // Covers what was acknowledged until `age` ago.
  Duration age;
  // Expected wait at the owner of a read that may run on a replica, and how
  // long such reads have run; zero if there were none.
  Duration read_wait;
  Duration read_service;
};

// Ends a transaction whose caller rolled back or disconnected, or that the VM
// of its session ended.
struct EndTransactionCall {
  GroupId group;
  SessionKey session;
  uint64_t transaction_number = 0;
};
struct EndTransactionReply {};

// Cancels a statement whose caller disconnected, if it was not sent to an
// upstream yet.
struct CancelQueuedCall {
  GroupId group;
  SessionKey session;
  StatementId id;
};
struct CancelQueuedReply {};

// Versions of the platform store's tables that a VM has.
struct KnownVersions {
  uint64_t routes = 0;
  StoreVersion upstreams;
  StoreVersion vms;

  bool IsAheadOf(const KnownVersions& o) const {
    return routes > o.routes || upstreams > o.upstreams || vms > o.vms;
  }
};

// Shows that the sender is alive, and which versions of the store's tables it
// has.
struct Heartbeat {
  KnownVersions known;
  Duration store_age;  // Since the last known answer of the store to any VM.
  VmId store_reader;   // That VM; empty if it is not known.
  // Of that answer: higher than those of earlier ones to that VM. 0 from an
  // earlier version of the program.
  uint64_t store_answer = 0;
  bool reaches_store = false;
  bool is_leaving = false;
  // Of the sender, in calls: a VM that has started while the store refuses it
  // knows the address of no peer. Empty in replies.
  std::string address;
  // In calls: the sender takes the receiver for lost, so it or another VM may
  // own the receiver's groups by now.
  bool takes_receiver_for_lost = false;
  // Newest era of the store that the sender knows; its tables may be older.
  StoreEra era;
  // False for an earlier version of the program, which does not notice a new
  // era, so its tables may be out of date.
  bool tells_era = true;
  std::vector<UpstreamAge> upstream_ages;
  // How long ago the store was asked for the routes that the sender has; none
  // if it does not know, or if keys have no age limit.
  std::optional<Duration> routes_age;
};
struct HeartbeatCall {
  Heartbeat heartbeat;
};
struct HeartbeatReply {
  Heartbeat heartbeat;
};

// Requests the tables of which the receiver has a newer version.
struct SnapshotCall {
  KnownVersions known;
};
// A table has version 0 if the receiver had no newer one.
struct SnapshotReply {
  RouteTable routes;
  UpstreamList upstreams;
  VmList vms;
  std::optional<Duration> routes_age;  // As in a heartbeat.
};

// Asks for the age of the receiver's routes; see routes_age_inquiry.h.
struct RoutesAgeCall {};
struct RoutesAgeReply {
  uint64_t routes = 0;  // Version.
  std::optional<Duration> age;
};

}  // namespace fireflycart::proxy

#endif  // FIREFLYCART_CORE_PROXY_PEER_CALLS_H_
