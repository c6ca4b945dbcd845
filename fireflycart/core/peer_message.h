// Messages between daemons. Each is a call that has one reply.
//
// The transport delivers a call at most once and reports how it ended. A call
// that was not sent certainly had no effect; any other failure leaves open
// whether the peer acted on it.

#ifndef FIREFLYCART_CORE_PEER_MESSAGE_H_
#define FIREFLYCART_CORE_PEER_MESSAGE_H_

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "fireflycart/core/clock.h"
#include "fireflycart/core/ids.h"
#include "fireflycart/core/proxy/peer_calls.h"
#include "fireflycart/core/request.h"

namespace fireflycart {

// In order of precedence within one incarnation: a later one overrides.
enum class MemberState { kAlive, kSuspect, kLeaving, kDead };

const char* MemberStateText(MemberState state);

// What one VM says of another, newest incarnation first.
struct MemberUpdate {
  VmId vm;
  std::string address;  // IP number and port for peers.
  DataCentreId data_centre;
  uint64_t incarnation = 0;  // Start of the VM, raised to refute suspicion.
  MemberState state = MemberState::kAlive;
};

// Who coordinates a group, as far as the sender knows.
struct LeaderUpdate {
  GroupId group;
  VmId coordinator;
  Term term;
};

// Facts that ride on every ping and its reply.
struct Gossip {
  VmId sender;
  std::vector<MemberUpdate> members;
  std::vector<LeaderUpdate> leaders;
  ConfigVersion config_version;
};

struct PingCall {
  Gossip gossip;
};

struct PingReply {
  Gossip gossip;
};

// Asks the receiver to ping a third VM on behalf of the sender.
struct IndirectPingCall {
  VmId target;
};

struct IndirectPingReply {
  bool reached = false;
};

// A caller's request on its way to the coordinator. The deadline travels as
// the time that is left, since clocks of two VMs are not comparable.
struct ForwardCall {
  Request request;
  Duration time_left;
  // True if an earlier attempt may have run. The request key tells.
  bool maybe_run = false;
};

enum class ForwardStatus {
  kAnswered,  // The answer is final.
  kMoved,     // Not run here: another VM coordinates the group.
  kMaybeRun,  // A write was sent and its outcome is open.
};

struct ForwardReply {
  ForwardStatus status = ForwardStatus::kMoved;
  Answer answer;
  VmId coordinator;   // Set when moved, if known.
  Duration shed_for;  // Callers' VMs refuse this kind for as long.
};

struct CancelCall {
  GroupId group;
  RequestKey key;
};

struct CancelReply {};

// Asks for the configuration by a VM that holds an older version.
struct ConfigFetchCall {
  ConfigVersion have;
};

// One step from a version to the next.
struct ConfigStep {
  ConfigVersion version;
  std::string difference;  // JSON patch.
  std::string digest;      // Digest of the document after the step.
};

struct ConfigFetchReply {
  ConfigVersion version;
  std::string digest;
  std::string document;           // Whole document, or
  std::vector<ConfigStep> steps;  // the steps that the receiver lacks.
};

// Tells that a newer version is in force at the sender.
struct ConfigAnnounceCall {
  ConfigVersion version;
};

struct ConfigAnnounceReply {};

struct OrdinalLoanCall {};

struct OrdinalLoanReply {
  Ordinal ordinal;  // 0 if the sender has none to spare.
};

// The last position that each session wrote.
struct SessionPosition {
  SessionId session;
  Position position;
};

// Offers a group to the VM that should coordinate it from now on.
struct HandoverCall {
  GroupId group;
  Term term;
  UpstreamId primary;
  Position floor;  // Position that reads of unlisted sessions need.
  std::vector<SessionPosition> sessions;
};

struct HandoverReply {
  bool accepted = false;
};

// Asks the coordinator of a group to hand it over to the sender.
struct HandoverRequestCall {
  GroupId group;
};

struct HandoverRequestReply {
  VmId coordinator;  // Whom the receiver believes to coordinate the group.
};

using PeerCallBody =
    std::variant<PingCall, IndirectPingCall, ForwardCall, CancelCall,
                 ConfigFetchCall, ConfigAnnounceCall, OrdinalLoanCall,
                 HandoverCall, HandoverRequestCall, proxy::StatementCall,
                 proxy::EndTransactionCall, proxy::CancelQueuedCall,
                 proxy::HeartbeatCall, proxy::SnapshotCall>;

using PeerReplyBody =
    std::variant<PingReply, IndirectPingReply, ForwardReply, CancelReply,
                 ConfigFetchReply, ConfigAnnounceReply, OrdinalLoanReply,
                 HandoverReply, HandoverRequestReply, proxy::StatementReply,
                 proxy::EndTransactionReply, proxy::CancelQueuedReply,
                 proxy::HeartbeatReply, proxy::SnapshotReply>;

enum class PeerCallError {
  kNone,
  kNotSent,  // The peer certainly did not get the call.
  kBroken,   // The stream broke or the deadline passed after sending.
};

}  // namespace fireflycart

#endif  // FIREFLYCART_CORE_PEER_MESSAGE_H_
