// Calls between VMs that serve sessions. They travel with the other messages
// of core/peer_message.h.

#ifndef FIREFLYCART_CORE_PROXY_PEER_CALLS_H_
#define FIREFLYCART_CORE_PROXY_PEER_CALLS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fireflycart/core/proxy/route.h"
#include "fireflycart/core/proxy/statement.h"

namespace fireflycart::proxy {

// Names a session over all VMs and starts.
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

// A statement on its way from the VM of its session to the group's owner.
// Durations are relative, since clocks of two VMs are not comparable.
struct StatementCall {
  GroupId group;
  SessionKey session;
  TransactionKind transaction = TransactionKind::kNone;
  uint64_t transaction_number = 0;  // Counts the session's transactions.
  bool opens_transaction = false;   // The owner begins it first.
  Access access = Access::kRead;
  StatementId id;
  std::string text;  // Unchanged text, or arguments if it is prepared.
  bool is_prepared = false;
  PreparedShape prepared;
  std::map<std::string, std::string> values;  // All values of the session.
  ReadRule rule = ReadRule::kNewest;
  Duration max_age;
  LogPosition own_position;  // Last commit of the session; may be unknown.
  int priority = 0;
  Duration target_left;  // Until the operation misses its target.
  Duration time_left;    // Until the statement times out.
};

struct StatementReply {
  Outcome outcome = Outcome::kUnknown;
  std::vector<std::string> rows;
  std::string signature;
  std::string detail;
  LogPosition position;  // After a commit: what later reads must contain.
  // The owner did not take the statement; another VM may.
  bool is_moved = false;
  // The owner is about to stop; later statements go elsewhere.
  bool is_leaving = false;
};

// Ends a transaction whose caller rolled back or left.
struct EndTransactionCall {
  GroupId group;
  SessionKey session;
  uint64_t transaction_number = 0;
};
struct EndTransactionReply {};

// The caller left: drop the statement if it was not sent yet.
struct WithdrawCall {
  GroupId group;
  SessionKey session;
  StatementId id;
};
struct WithdrawReply {};

// Versions of what a VM knows of the platform's store.
struct KnownVersions {
  uint64_t routes = 0;
  uint64_t upstreams = 0;
  uint64_t vms = 0;

  bool IsAheadOf(const KnownVersions& o) const {
    return routes > o.routes || upstreams > o.upstreams || vms > o.vms;
  }
};

// Shows that the sender lives and what it knows.
struct Freshness {
  KnownVersions known;
  Duration store_age;  // Since any VM is known to have heard the store.
  bool hears_store = false;
  bool is_leaving = false;
};
struct FreshnessCall {
  Freshness freshness;
};
struct FreshnessReply {
  Freshness freshness;
};

// Asks for what the sender lacks.
struct SnapshotCall {
  KnownVersions known;
};
// Each part has version 0 if the receiver had nothing newer.
struct SnapshotReply {
  RouteTable routes;
  UpstreamList upstreams;
  VmList vms;
};

}  // namespace fireflycart::proxy

#endif  // FIREFLYCART_CORE_PROXY_PEER_CALLS_H_
