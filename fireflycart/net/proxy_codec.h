// JSON form of the messages between VMs that serve sessions, for peer_codec.
//
//   Json json = ToJson(call);
//   FromJson(json, &call);
//
// Limits: messages are arrays without names, since one is sent for each
// statement. All VMs of a fleet must run versions with the same field order.

#ifndef FIREFLYCART_NET_PROXY_CODEC_H_
#define FIREFLYCART_NET_PROXY_CODEC_H_

#include "fireflycart/core/proxy/peer_calls.h"
#include "fireflycart/core/tenants/token_messages.h"
#include "fireflycart/net/json_types.h"

namespace fireflycart {

Json ToJson(const TokensCall& call);
void FromJson(const Json& json, TokensCall* call);
Json ToJson(const TokensReply& reply);
void FromJson(const Json& json, TokensReply* reply);

}  // namespace fireflycart

namespace fireflycart::proxy {

// Each FromJson throws Json::exception or Error if the message is malformed.
Json ToJson(const StatementCall& call);
void FromJson(const Json& json, StatementCall* call);
Json ToJson(const StatementReply& reply);
void FromJson(const Json& json, StatementReply* reply);
Json ToJson(const EndTransactionCall& call);
void FromJson(const Json& json, EndTransactionCall* call);
Json ToJson(const EndTransactionReply& reply);
void FromJson(const Json& json, EndTransactionReply* reply);
Json ToJson(const CancelQueuedCall& call);
void FromJson(const Json& json, CancelQueuedCall* call);
Json ToJson(const CancelQueuedReply& reply);
void FromJson(const Json& json, CancelQueuedReply* reply);
Json ToJson(const HeartbeatCall& call);
void FromJson(const Json& json, HeartbeatCall* call);
Json ToJson(const HeartbeatReply& reply);
void FromJson(const Json& json, HeartbeatReply* reply);
Json ToJson(const SnapshotCall& call);
void FromJson(const Json& json, SnapshotCall* call);
Json ToJson(const SnapshotReply& reply);
void FromJson(const Json& json, SnapshotReply* reply);
Json ToJson(const RoutesAgeCall& call);
void FromJson(const Json& json, RoutesAgeCall* call);
Json ToJson(const RoutesAgeReply& reply);
void FromJson(const Json& json, RoutesAgeReply* reply);
Json ToJson(const EvidenceCall& call);
void FromJson(const Json& json, EvidenceCall* call);
Json ToJson(const EvidenceReply& reply);
void FromJson(const Json& json, EvidenceReply* reply);

}  // namespace fireflycart::proxy

#endif  // FIREFLYCART_NET_PROXY_CODEC_H_
