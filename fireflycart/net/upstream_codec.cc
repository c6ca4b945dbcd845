// Each call is an object whose field "call" has the name of its type.

#include "fireflycart/net/upstream_codec.h"

#include "fireflycart/core/error.h"
#include "fireflycart/net/json_types.h"

namespace fireflycart {
namespace {

// Numbers of enumerators. Larger values are rejected.
constexpr int kUpstreamRoles = 2;
constexpr int kAccesses = 2;
constexpr int kTransactionSteps = 5;
constexpr int kUpstreamCodes = 7;
constexpr int kConnectionPurposes = 2;

Json ToJson(const StatusCall& c) {
  return {{"call", "status"},
          {"await_position", c.await_position},
          {"await_for_ms", c.await_for}};
}

Json ToJson(const FenceCall& c) {
  return {{"call", "fence"}, {"term", c.term}, {"holder", c.holder}};
}

Json ToJson(const PromoteCall& c) {
  return {{"call", "promote"}, {"term", c.term}};
}

Json ToJson(const FollowCall& c) {
  return {{"call", "follow"},
          {"term", c.term},
          {"holder", c.holder},
          {"primary", c.primary}};
}

Json ToJson(const ExecuteCall& c) {
  return {{"call", "execute"},
          {"term", c.term},
          {"access", EnumNumber(c.access)},
          {"step", EnumNumber(c.step)},
          {"key", c.key},
          {"attempt", c.attempt},
          {"statement", c.statement}};
}

Json ToJson(const ResolveCall& c) {
  return {{"call", "resolve"},
          {"term", c.term},
          {"key", c.key},
          {"attempt", c.attempt}};
}

UpstreamCallBody CallFromJson(const Json& json, const std::string& peer) {
  std::string name = json.at("call").get<std::string>();
  if (name == "status") {
    StatusCall call;
    Read(json, "await_position", &call.await_position);
    Read(json, "await_for_ms", &call.await_for);
    return call;
  }
  if (name == "fence") {
    FenceCall call;
    Read(json, "term", &call.term);
    Read(json, "holder", &call.holder);
    return call;
  }
  if (name == "promote") {
    PromoteCall call;
    Read(json, "term", &call.term);
    return call;
  }
  if (name == "follow") {
    FollowCall call;
    Read(json, "term", &call.term);
    Read(json, "holder", &call.holder);
    Read(json, "primary", &call.primary);
    return call;
  }
  if (name == "execute") {
    ExecuteCall call;
    Read(json, "term", &call.term);
    ReadEnum(json, "access", kAccesses, &call.access);
    ReadEnum(json, "step", kTransactionSteps, &call.step);
    Read(json, "key", &call.key);
    Read(json, "attempt", &call.attempt);
    Read(json, "statement", &call.statement);
    return call;
  }
  if (name == "resolve") {
    ResolveCall call;
    Read(json, "term", &call.term);
    Read(json, "key", &call.key);
    Read(json, "attempt", &call.attempt);
    return call;
  }
  throw Error(ErrorCode::kProtocol, "decode upstream call", peer,
              "call \"" + name + "\" is not known");
}

Json StatusToJson(const UpstreamStatus& s) {
  return {{"term", s.term},
          {"entry_term", s.entry_term},
          {"held", s.held},
          {"applied", s.applied},
          {"primary", s.primary},
          {"role", EnumNumber(s.role)},
          {"holder", s.holder},
          {"connections", s.connections},
          {"holder_active", s.holder_active}};
}

void StatusFromJson(const Json& json, UpstreamStatus* s) {
  Read(json, "term", &s->term);
  Read(json, "entry_term", &s->entry_term);
  Read(json, "held", &s->held);
  Read(json, "applied", &s->applied);
  Read(json, "primary", &s->primary);
  ReadEnum(json, "role", kUpstreamRoles, &s->role);
  Read(json, "holder", &s->holder);
  Read(json, "connections", &s->connections);
  Read(json, "holder_active", &s->holder_active);
}

}  // namespace

std::string EncodeOpen(const OpenMessage& open) {
  return Dump({{"upstream", open.upstream},
               {"purpose", EnumNumber(open.purpose)},
               {"term", open.term},
               {"holder", open.holder}});
}

OpenMessage DecodeOpen(const std::string& text, const std::string& peer) {
  try {
    Json json = Json::parse(text);
    OpenMessage open;
    Read(json, "upstream", &open.upstream);
    ReadEnum(json, "purpose", kConnectionPurposes, &open.purpose);
    Read(json, "term", &open.term);
    Read(json, "holder", &open.holder);
    return open;
  } catch (const Json::exception& e) {
    throw Error(ErrorCode::kProtocol, "decode open message", peer, e.what());
  }
}

std::string EncodeUpstreamCall(const UpstreamCallBody& body) {
  return Dump(std::visit([](const auto& call) { return ToJson(call); }, body));
}

UpstreamCallBody DecodeUpstreamCall(const std::string& text,
                                    const std::string& peer) {
  try {
    return CallFromJson(Json::parse(text), peer);
  } catch (const Json::exception& e) {
    throw Error(ErrorCode::kProtocol, "decode upstream call", peer, e.what());
  }
}

std::string EncodeUpstreamReply(const UpstreamReply& reply) {
  return Dump({{"code", EnumNumber(reply.code)},
               {"status", StatusToJson(reply.status)},
               {"result", reply.result},
               {"written", reply.written},
               {"replayed", reply.replayed}});
}

UpstreamReply DecodeUpstreamReply(const std::string& text,
                                  const std::string& peer) {
  try {
    Json json = Json::parse(text);
    UpstreamReply reply;
    ReadEnum(json, "code", kUpstreamCodes, &reply.code);
    StatusFromJson(json.at("status"), &reply.status);
    Read(json, "result", &reply.result);
    Read(json, "written", &reply.written);
    Read(json, "replayed", &reply.replayed);
    return reply;
  } catch (const Json::exception& e) {
    throw Error(ErrorCode::kProtocol, "decode upstream reply", peer, e.what());
  }
}

}  // namespace fireflycart
