// A message is a map of "t", the index of its type, and "b", its fields. Field
// names are short, since gossip is sent continuously.

#include "fireflycart/net/peer_codec.h"

#include <utility>
#include <vector>

#include "fireflycart/core/bounded_json.h"
#include "fireflycart/core/error.h"
#include "fireflycart/net/json_types.h"
#include "fireflycart/net/proxy_codec.h"

namespace fireflycart {
namespace {

// Numbers of enumerators. Larger values are rejected.
constexpr int kMemberStates = 4;
constexpr int kRequestTypes = 5;
constexpr int kAccesses = 2;
constexpr int kOutcomes = 3;
constexpr int kReasons = 16;
constexpr int kForwardStatuses = 3;

Json ToJson(const MemberUpdate& u) {
  return {{"v", u.vm},
          {"a", u.address},
          {"d", u.data_centre},
          {"i", u.incarnation},
          {"s", EnumNumber(u.state)}};
}

void FromJson(const Json& json, MemberUpdate* u) {
  Read(json, "v", &u->vm);
  Read(json, "a", &u->address);
  Read(json, "d", &u->data_centre);
  Read(json, "i", &u->incarnation);
  ReadEnum(json, "s", kMemberStates, &u->state);
}

Json ToJson(const LeaderUpdate& u) {
  return {{"g", u.group}, {"c", u.coordinator}, {"t", u.term}};
}

void FromJson(const Json& json, LeaderUpdate* u) {
  Read(json, "g", &u->group);
  Read(json, "c", &u->coordinator);
  Read(json, "t", &u->term);
}

Json ToJson(const ConfigStep& s) {
  return {{"v", s.version}, {"d", s.difference}, {"h", s.digest}};
}

void FromJson(const Json& json, ConfigStep* s) {
  Read(json, "v", &s->version);
  Read(json, "d", &s->difference);
  Read(json, "h", &s->digest);
}

Json ToJson(const SessionPosition& p) {
  return Json::array({p.session, p.position});
}

void FromJson(const Json& json, SessionPosition* p) {
  p->session = json.at(0).get<SessionId>();
  p->position = json.at(1).get<Position>();
}

template <typename T>
Json ListToJson(const std::vector<T>& list) {
  Json json = Json::array();
  for (const T& item : list) json.push_back(ToJson(item));
  return json;
}

template <typename T>
void ReadList(const Json& json, const char* field, std::vector<T>* list) {
  for (const Json& item : json.at(field)) {
    T value;
    FromJson(item, &value);
    list->push_back(std::move(value));
  }
}

Json ToJson(const Gossip& g) {
  return {{"f", g.sender},
          {"m", ListToJson(g.members)},
          {"l", ListToJson(g.leaders)},
          {"c", g.config_version}};
}

void FromJson(const Json& json, Gossip* g) {
  Read(json, "f", &g->sender);
  ReadList(json, "m", &g->members);
  ReadList(json, "l", &g->leaders);
  Read(json, "c", &g->config_version);
}

Json ToJson(const Request& r) {
  Json json = {{"g", r.group},
               {"k", r.kind},
               {"c", r.caller},
               {"s", r.session},
               {"i", r.key},
               {"t", EnumNumber(r.type)},
               {"a", EnumNumber(r.access)},
               {"r", r.repeatable},
               {"q", r.statement},
               {"x", r.transaction}};
  if (r.max_age) json["o"] = *r.max_age;
  return json;
}

void FromJson(const Json& json, Request* r) {
  Read(json, "g", &r->group);
  Read(json, "k", &r->kind);
  Read(json, "c", &r->caller);
  Read(json, "s", &r->session);
  Read(json, "i", &r->key);
  ReadEnum(json, "t", kRequestTypes, &r->type);
  ReadEnum(json, "a", kAccesses, &r->access);
  Read(json, "r", &r->repeatable);
  Read(json, "q", &r->statement);
  Read(json, "x", &r->transaction);
  if (json.contains("o")) r->max_age = json.at("o").get<Duration>();
}

Json ToJson(const Answer& a) {
  return {{"o", EnumNumber(a.outcome)},
          {"w", EnumNumber(a.reason)},
          {"r", a.result},
          {"a", a.retry_after},
          {"x", a.transaction},
          {"u", a.upstream},
          {"s", a.from_replica},
          {"p", a.replayed}};
}

void FromJson(const Json& json, Answer* a) {
  ReadEnum(json, "o", kOutcomes, &a->outcome);
  ReadEnum(json, "w", kReasons, &a->reason);
  Read(json, "r", &a->result);
  Read(json, "a", &a->retry_after);
  Read(json, "x", &a->transaction);
  Read(json, "u", &a->upstream);
  Read(json, "s", &a->from_replica);
  Read(json, "p", &a->replayed);
}

Json ToJson(const PingCall& c) { return {{"g", ToJson(c.gossip)}}; }
void FromJson(const Json& json, PingCall* c) {
  FromJson(json.at("g"), &c->gossip);
}

Json ToJson(const PingReply& r) { return {{"g", ToJson(r.gossip)}}; }
void FromJson(const Json& json, PingReply* r) {
  FromJson(json.at("g"), &r->gossip);
}

Json ToJson(const IndirectPingCall& c) { return {{"v", c.target}}; }
void FromJson(const Json& json, IndirectPingCall* c) {
  Read(json, "v", &c->target);
}

Json ToJson(const IndirectPingReply& r) { return {{"r", r.reached}}; }
void FromJson(const Json& json, IndirectPingReply* r) {
  Read(json, "r", &r->reached);
}

Json ToJson(const ForwardCall& c) {
  return {{"r", ToJson(c.request)}, {"l", c.time_left}, {"m", c.maybe_run}};
}
void FromJson(const Json& json, ForwardCall* c) {
  FromJson(json.at("r"), &c->request);
  Read(json, "l", &c->time_left);
  Read(json, "m", &c->maybe_run);
}

Json ToJson(const ForwardReply& r) {
  return {{"s", EnumNumber(r.status)},
          {"a", ToJson(r.answer)},
          {"c", r.coordinator},
          {"f", r.shed_duration}};
}
void FromJson(const Json& json, ForwardReply* r) {
  ReadEnum(json, "s", kForwardStatuses, &r->status);
  FromJson(json.at("a"), &r->answer);
  Read(json, "c", &r->coordinator);
  Read(json, "f", &r->shed_duration);
}

Json ToJson(const CancelCall& c) { return {{"g", c.group}, {"k", c.key}}; }
void FromJson(const Json& json, CancelCall* c) {
  Read(json, "g", &c->group);
  Read(json, "k", &c->key);
}

Json ToJson(const ConfigFetchCall& c) { return {{"h", c.installed_version}}; }
void FromJson(const Json& json, ConfigFetchCall* c) {
  Read(json, "h", &c->installed_version);
}

Json ToJson(const ConfigFetchReply& r) {
  return {{"v", r.version},
          {"h", r.digest},
          {"d", r.document},
          {"s", ListToJson(r.steps)}};
}
void FromJson(const Json& json, ConfigFetchReply* r) {
  Read(json, "v", &r->version);
  Read(json, "h", &r->digest);
  Read(json, "d", &r->document);
  ReadList(json, "s", &r->steps);
}

Json ToJson(const ConfigAnnounceCall& c) { return {{"v", c.version}}; }
void FromJson(const Json& json, ConfigAnnounceCall* c) {
  Read(json, "v", &c->version);
}

Json ToJson(const SpareOrdinalReply& r) { return {{"o", r.ordinal}}; }
void FromJson(const Json& json, SpareOrdinalReply* r) {
  Read(json, "o", &r->ordinal);
}

Json ToJson(const HandoverCall& c) {
  return {{"g", c.group},
          {"t", c.term},
          {"p", c.primary},
          {"f", c.floor},
          {"s", ListToJson(c.sessions)}};
}
void FromJson(const Json& json, HandoverCall* c) {
  Read(json, "g", &c->group);
  Read(json, "t", &c->term);
  Read(json, "p", &c->primary);
  Read(json, "f", &c->floor);
  ReadList(json, "s", &c->sessions);
}

Json ToJson(const HandoverReply& r) { return {{"a", r.accepted}}; }
void FromJson(const Json& json, HandoverReply* r) {
  Read(json, "a", &r->accepted);
}

Json ToJson(const HandoverRequestCall& c) { return {{"g", c.group}}; }
void FromJson(const Json& json, HandoverRequestCall* c) {
  Read(json, "g", &c->group);
}

Json ToJson(const HandoverRequestReply& r) { return {{"c", r.coordinator}}; }
void FromJson(const Json& json, HandoverRequestReply* r) {
  Read(json, "c", &r->coordinator);
}

// Messages without fields.
Json ToJson(const CancelReply&) { return Json::object(); }
void FromJson(const Json&, CancelReply*) {}
Json ToJson(const ConfigAnnounceReply&) { return Json::object(); }
void FromJson(const Json&, ConfigAnnounceReply*) {}
Json ToJson(const SpareOrdinalCall&) { return Json::object(); }
void FromJson(const Json&, SpareOrdinalCall*) {}

template <typename Variant>
std::string Encode(const Variant& body) {
  Json fields = std::visit([](const auto& b) { return ToJson(b); }, body);
  Json message = {{"t", body.index()}, {"b", std::move(fields)}};
  std::string bytes;
  Json::to_cbor(message, bytes);
  return bytes;
}

// Decodes the alternative with the given index; false if there is none.
template <typename Variant, size_t index = 0>
bool DecodeAlternative(size_t wanted, const Json& fields, Variant* body) {
  if constexpr (index < std::variant_size_v<Variant>) {
    if (wanted != index) {
      return DecodeAlternative<Variant, index + 1>(wanted, fields, body);
    }
    std::variant_alternative_t<index, Variant> value;
    FromJson(fields, &value);
    *body = std::move(value);
    return true;
  } else {
    return false;
  }
}

template <typename Variant>
Variant Decode(const std::string& bytes, const char* step,
               const std::string& peer) {
  try {
    Json message = ParseCbor(bytes);
    Variant body;
    size_t type = message.at("t").get<size_t>();
    if (!DecodeAlternative(type, message.at("b"), &body)) {
      throw Error(ErrorCode::kProtocol, step, peer,
                  "message type " + std::to_string(type) + " is not known");
    }
    return body;
  } catch (const BadDocument& e) {
    throw Error(ErrorCode::kProtocol, step, peer, e.what());
  } catch (const Json::exception& e) {
    throw Error(ErrorCode::kProtocol, step, peer, e.what());
  }
}

}  // namespace

std::string EncodePeerCall(const PeerCallBody& body) { return Encode(body); }

PeerCallBody DecodePeerCall(const std::string& bytes, const std::string& peer) {
  return Decode<PeerCallBody>(bytes, "decode peer call", peer);
}

std::string EncodePeerReply(const PeerReplyBody& body) { return Encode(body); }

PeerReplyBody DecodePeerReply(const std::string& bytes,
                              const std::string& peer) {
  return Decode<PeerReplyBody>(bytes, "decode peer reply", peer);
}

}  // namespace fireflycart
