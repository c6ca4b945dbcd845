// Messages between daemons. Each is a call that has one reply.
//
// The transport delivers a call at most once and reports how it ended. A call
// that was not sent certainly had no effect; after any other failure it is
// unknown whether the peer acted on the call.

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
#include "fireflycart/core/tenants/token_messages.h"

namespace fireflycart {

// States in order of precedence: within one incarnation, a later state
// overrides an earlier one.
enum class MemberState { kAlive, kSuspect, kLeaving, kDead };

const char* MemberStateText(MemberState state);

// State of a VM as reported by itself or another VM. The update with the
// highest incarnation takes precedence.
struct MemberUpdate {
  VmId vm;
  std::string address;  // IP address and port for peers.
  DataCentreId data_centre;
  uint64_t incarnation = 0;  // From the start time; raised to refute.
  MemberState state = MemberState::kAlive;
};

// The coordinator of a group that the sender has recorded.
struct LeaderUpdate {
  GroupId group;
  VmId coordinator;
  Term term;
};

// Updates that are piggybacked on every ping and its reply.
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

// Requests the receiver to ping a third VM on behalf of the sender.
struct IndirectPingCall {
  VmId target;
};

struct IndirectPingReply {
  bool reached = false;
};

// Forwards a caller's request to the coordinator. The deadline is sent as the
// remaining time, since the clocks of two VMs are not comparable.
struct ForwardCall {
  Request request;
  Duration time_left;
  // True if an earlier attempt may have run. A lookup of the request key shows
  // whether it did.
  bool maybe_run = false;
};

enum class ForwardStatus {
  kAnswered,        // The answer is final.
  kMisdirected,     // No effect here; another VM may coordinate the group.
  kOutcomeUnknown,  // A write was sent and its outcome is unknown.
};

struct ForwardReply {
  ForwardStatus status = ForwardStatus::kMisdirected;
  Answer answer;
  VmId coordinator;        // Unless answered; empty if not known.
  Duration shed_duration;  // The receiver refuses this kind for this time.
};

// Cancels a forwarded request whose caller has disconnected.
struct CancelCall {
  GroupId group;
  RequestKey key;
};

struct CancelReply {};

// Requests the configuration if it is newer than the sender's version.
struct ConfigFetchCall {
  ConfigVersion installed_version;
};

// The change from one version to the next.
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

// Announces that a newer version is in force at the sender.
struct ConfigAnnounceCall {
  ConfigVersion version;
};

struct ConfigAnnounceReply {};

// Requests a spare ordinal, which then belongs to the sender.
struct SpareOrdinalCall {};

struct SpareOrdinalReply {
  Ordinal ordinal;  // 0 if there is no spare one.
};

// Log position of the last write of a session.
struct SessionPosition {
  SessionId session;
  Position position;
};

// Offers a group to the VM that should coordinate it next.
struct HandoverCall {
  GroupId group;
  Term term;
  UpstreamId primary;
  Position floor;  // Minimum for reads of sessions not listed.
  std::vector<SessionPosition> sessions;
};

struct HandoverReply {
  bool accepted = false;
};

// Requests the coordinator of a group to hand it over to the sender.
struct HandoverRequestCall {
  GroupId group;
};

struct HandoverRequestReply {
  VmId coordinator;  // Coordinator recorded at the replying VM.
};

using PeerCallBody =
    std::variant<PingCall, IndirectPingCall, ForwardCall, CancelCall,
                 ConfigFetchCall, ConfigAnnounceCall, SpareOrdinalCall,
                 HandoverCall, HandoverRequestCall, proxy::StatementCall,
                 proxy::EndTransactionCall, proxy::CancelQueuedCall,
                 proxy::HeartbeatCall, proxy::SnapshotCall,
                 proxy::RoutesAgeCall, proxy::EvidenceCall, TokensCall>;

using PeerReplyBody =
    std::variant<PingReply, IndirectPingReply, ForwardReply, CancelReply,
                 ConfigFetchReply, ConfigAnnounceReply, SpareOrdinalReply,
                 HandoverReply, HandoverRequestReply, proxy::StatementReply,
                 proxy::EndTransactionReply, proxy::CancelQueuedReply,
                 proxy::HeartbeatReply, proxy::SnapshotReply,
                 proxy::RoutesAgeReply, proxy::EvidenceReply, TokensReply>;

enum class PeerCallError {
  kNone,
  kNotSent,  // The peer certainly did not receive the call.
  kBroken,   // The stream broke or the deadline passed after sending.
};

}  // namespace fireflycart

#endif  // FIREFLYCART_CORE_PEER_MESSAGE_H_
