// There is one pair of functions for each type. ToJson writes the fields in a
// fixed order and FromJson reads them in the same order. Eras of the store and
// ages of upstreams come last, since earlier versions neither send nor read
// them; missing eras count as 0.

#include "fireflycart/net/proxy_codec.h"

#include <map>
#include <utility>
#include <vector>

#include "fireflycart/core/short_text.h"

namespace fireflycart::proxy {
namespace {

// Returns the fields of a message as an array.
template <typename... Fields>
Json Pack(const Fields&... fields) {
  return Json::array({Json(fields)...});
}

// Reads the fields of a message in order.
class Unpacker {
 public:
  explicit Unpacker(const Json& json) : json_(json) {}

  template <typename T>
  Unpacker& Take(T* value) {
    *value = json_.at(next_++).get<T>();
    return *this;
  }

  // Leaves the value unchanged if the message ends before the field.
  template <typename T>
  Unpacker& TakeOptional(T* value) {
    return next_ < json_.size() ? Take(value) : *this;
  }

  template <typename Enum>
  Unpacker& TakeEnum(int count, Enum* value) {
    int number = json_.at(next_++).get<int>();
    if (number < 0 || number >= count) {
      throw Error(
          ErrorCode::kProtocol, "decode enumerator", "",
          std::to_string(number) + " is not below " + std::to_string(count));
    }
    *value = static_cast<Enum>(number);
    return *this;
  }

  const Json& Next() { return json_.at(next_++); }
  bool HasNext() const { return next_ < json_.size(); }

 private:
  const Json& json_;
  size_t next_ = 0;
};

// Throws Error if the text could end a line of the wire protocol, on which it
// is sent to an upstream or a caller. The lines of callers and upstreams hold
// none of these bytes.
void CheckLineText(const char* field, const std::string& text) {
  static const std::string* const ends = new std::string("\r\n\0", 3);
  if (text.find_first_of(*ends) == std::string::npos) return;
  throw Error(ErrorCode::kProtocol, std::string("decode ") + field,
              ShortText(text), "allowed are texts without CR, LF and NUL");
}

// The same for a text that is followed by other fields of its line.
void CheckLineField(const char* field, const std::string& text) {
  CheckLineText(field, text);
  if (text.find(' ') == std::string::npos) return;
  throw Error(ErrorCode::kProtocol, std::string("decode ") + field,
              ShortText(text), "allowed are texts without blanks");
}

Json ToJson(const LogPosition& p) { return Pack(p.term, p.number); }
void FromJson(const Json& json, LogPosition* p) {
  Unpacker(json).Take(&p->term).Take(&p->number);
}

Json ToJson(const SessionKey& k) {
  return Pack(k.vm, k.incarnation, k.session);
}
void FromJson(const Json& json, SessionKey* k) {
  Unpacker(json).Take(&k->vm).Take(&k->incarnation).Take(&k->session);
}

Json ToJson(const Route& r) {
  return Pack(r.database, r.group, EnumNumber(r.consistency), r.max_age,
              r.timeout, r.target, r.priority, r.is_public);
}
void FromJson(const Json& json, Route* r) {
  Unpacker(json)
      .Take(&r->database)
      .Take(&r->group)
      .TakeEnum(kReadConsistencies, &r->consistency)
      .Take(&r->max_age)
      .Take(&r->timeout)
      .Take(&r->target)
      .Take(&r->priority)
      .TakeOptional(&r->is_public);
  CheckLineField("group of a route", r->group.value());
}

Json ToJson(const GroupSpec& g) {
  return Pack(g.id, g.max_connections, g.sync_replicas);
}
void FromJson(const Json& json, GroupSpec* g) {
  Unpacker(json).Take(&g->id).Take(&g->max_connections).Take(&g->sync_replicas);
}

Json ToJson(const UpstreamRecord& u) {
  return Pack(u.id, u.group, u.address, u.data_centre, u.slots, u.leaving,
              u.is_primary, u.started_ms);
}
void FromJson(const Json& json, UpstreamRecord* u) {
  Unpacker(json)
      .Take(&u->id)
      .Take(&u->group)
      .Take(&u->address)
      .Take(&u->data_centre)
      .Take(&u->slots)
      .Take(&u->leaving)
      .Take(&u->is_primary)
      .Take(&u->started_ms);
  CheckLineField("id of an upstream", u->id.value());
  CheckLineField("group of an upstream", u->group.value());
}

Json ToJson(const VmRecord& v) {
  return Pack(v.vm, v.address, v.data_centre, v.incarnation, v.cpu_permille,
              v.version.number, v.version.era);
}
void FromJson(const Json& json, VmRecord* v) {
  Unpacker(json)
      .Take(&v->vm)
      .Take(&v->address)
      .Take(&v->data_centre)
      .Take(&v->incarnation)
      .Take(&v->cpu_permille)
      .Take(&v->version.number)
      .TakeOptional(&v->version.era);
}

template <typename Map>
Json ValuesToJson(const Map& map) {
  Json list = Json::array();
  for (const auto& item : map) list.push_back(ToJson(item.second));
  return list;
}

// Keys are sent as digests, in the order of their tenants.
Json ToJson(const TenantDirectory& d) {
  std::map<TenantId, Json> keys;
  for (const auto& item : d.tenants()) keys[item.first] = Json::array();
  for (const auto& item : d.keys()) {
    keys[item.second].push_back(item.first.ToHex());
  }
  Json list = Json::array();
  for (const auto& item : d.tenants()) {
    const TenantSpec& spec = item.second;
    list.push_back(
        Json::array({spec.id.value(), spec.has_limit, spec.rate_per_s,
                     spec.burst, spec.priority, std::move(keys[spec.id])}));
  }
  return list;
}
void FromJson(const Json& json, TenantDirectory* d) {
  for (const Json& item : json) {
    Unpacker fields(item);
    TenantSpec spec;
    fields.Take(&spec.id)
        .Take(&spec.has_limit)
        .Take(&spec.rate_per_s)
        .Take(&spec.burst)
        .Take(&spec.priority);
    std::vector<KeyDigest> keys;
    for (const Json& hex : fields.Next()) {
      KeyDigest key;
      if (!KeyDigest::FromHex(hex.get<std::string>(), &key)) {
        throw Error(ErrorCode::kProtocol, "decode digest of a key",
                    spec.id.value(), "it is not hexadecimal");
      }
      keys.push_back(key);
    }
    std::string problem;
    if (!d->Add(spec, keys, &problem)) {
      throw Error(ErrorCode::kProtocol, "decode tenants", "", problem);
    }
  }
}

Json ToJson(const RouteTable& t) {
  return Json::array({t.version, ValuesToJson(t.routes), ValuesToJson(t.groups),
                      t.transaction_idle_timeout, t.has_tenants,
                      ToJson(t.tenants)});
}
void FromJson(const Json& json, RouteTable* t) {
  Unpacker fields(json);
  fields.Take(&t->version);
  for (const Json& item : fields.Next()) {
    Route route;
    FromJson(item, &route);
    t->routes[route.database] = route;
  }
  for (const Json& item : fields.Next()) {
    GroupSpec group;
    FromJson(item, &group);
    t->groups[group.id] = group;
  }
  fields.Take(&t->transaction_idle_timeout).TakeOptional(&t->has_tenants);
  if (fields.HasNext()) FromJson(fields.Next(), &t->tenants);
}

Json ToJson(const UpstreamList& l) {
  return Json::array(
      {l.version.number, ValuesToJson(l.records), l.version.era});
}
void FromJson(const Json& json, UpstreamList* l) {
  Unpacker fields(json);
  fields.Take(&l->version.number);
  for (const Json& item : fields.Next()) {
    UpstreamRecord record;
    FromJson(item, &record);
    l->records[record.id] = record;
  }
  fields.TakeOptional(&l->version.era);
}

Json ToJson(const VmList& l) {
  return Json::array({l.version.number, l.after.number, ValuesToJson(l.records),
                      l.version.era});
}
void FromJson(const Json& json, VmList* l) {
  Unpacker fields(json);
  fields.Take(&l->version.number).Take(&l->after.number);
  for (const Json& item : fields.Next()) {
    VmRecord record;
    FromJson(item, &record);
    l->records[record.vm] = record;
  }
  fields.TakeOptional(&l->version.era);
  if (l->after.number != 0) l->after.era = l->version.era;
}

Json ToJson(const KnownVersions& k) {
  return Pack(k.routes, k.upstreams.number, k.vms.number, k.upstreams.era,
              k.vms.era);
}
void FromJson(const Json& json, KnownVersions* k) {
  Unpacker(json)
      .Take(&k->routes)
      .Take(&k->upstreams.number)
      .Take(&k->vms.number)
      .TakeOptional(&k->upstreams.era)
      .TakeOptional(&k->vms.era);
}

// A missing age is null.
Json AgeToJson(const std::optional<Duration>& age) {
  return age ? Json(age->millis()) : Json();
}
std::optional<Duration> AgeFromJson(const Json& json) {
  if (json.is_null()) return std::nullopt;
  return Duration::Millis(json.get<int64_t>());
}

Json ToJson(const UpstreamAge& a) {
  return Json::array({a.id.value(), a.started_ms, AgeToJson(a.known_for),
                      AgeToJson(a.leaving_for)});
}
void FromJson(const Json& json, UpstreamAge* a) {
  Unpacker fields(json);
  fields.Take(&a->id).Take(&a->started_ms);
  a->known_for = AgeFromJson(fields.Next());
  a->leaving_for = AgeFromJson(fields.Next());
}

Json ToJson(const Heartbeat& f) {
  Json ages = Json::array();
  for (const UpstreamAge& age : f.upstream_ages) ages.push_back(ToJson(age));
  Json json =
      Json::array({ToJson(f.known), f.store_age.millis(), f.reaches_store,
                   f.is_leaving, f.address, f.takes_receiver_for_lost, f.era,
                   f.store_reader.value(), std::move(ages)});
  json.push_back(AgeToJson(f.routes_age));
  json.push_back(f.store_answer);
  return json;
}
void FromJson(const Json& json, Heartbeat* f) {
  Unpacker fields(json);
  FromJson(fields.Next(), &f->known);
  fields.Take(&f->store_age).Take(&f->reaches_store).Take(&f->is_leaving);
  // Earlier versions send none of these.
  fields.TakeOptional(&f->address).TakeOptional(&f->takes_receiver_for_lost);
  f->tells_era = fields.HasNext();
  fields.TakeOptional(&f->era).TakeOptional(&f->store_reader);
  if (!fields.HasNext()) return;
  for (const Json& item : fields.Next()) {
    UpstreamAge age;
    FromJson(item, &age);
    f->upstream_ages.push_back(age);
  }
  if (fields.HasNext()) f->routes_age = AgeFromJson(fields.Next());
  fields.TakeOptional(&f->store_answer);
}

}  // namespace

Json ToJson(const StatementCall& c) {
  return Json::array({c.group.value(),
                      ToJson(c.session),
                      EnumNumber(c.transaction),
                      c.transaction_number,
                      c.opens_transaction,
                      EnumNumber(c.access),
                      c.id.value(),
                      c.text,
                      c.is_prepared,
                      c.prepared.writes,
                      c.prepared.shape,
                      c.values,
                      EnumNumber(c.consistency),
                      c.max_age.millis(),
                      ToJson(c.own_position),
                      c.priority,
                      c.target_left.millis(),
                      c.time_left.millis(),
                      c.tenant.value(),
                      c.at_reader});
}

void FromJson(const Json& json, StatementCall* c) {
  Unpacker fields(json);
  fields.Take(&c->group);
  FromJson(fields.Next(), &c->session);
  fields.TakeEnum(kTransactionKinds, &c->transaction)
      .Take(&c->transaction_number)
      .Take(&c->opens_transaction)
      .TakeEnum(kAccesses, &c->access)
      .Take(&c->id)
      .Take(&c->text)
      .Take(&c->is_prepared)
      .Take(&c->prepared.writes)
      .Take(&c->prepared.shape)
      .Take(&c->values)
      .TakeEnum(kReadConsistencies, &c->consistency)
      .Take(&c->max_age);
  FromJson(fields.Next(), &c->own_position);
  fields.Take(&c->priority).Take(&c->target_left).Take(&c->time_left);
  fields.TakeOptional(&c->tenant).TakeOptional(&c->at_reader);
  CheckLineField("group of a statement", c->group.value());
  CheckLineField("tenant of a statement", c->tenant.value());
  CheckLineField("id of a statement", c->id.value());
  CheckLineText("text of a statement", c->text);
  CheckLineText("shape of a statement", c->prepared.shape);
  for (const auto& item : c->values) {
    CheckLineField("name of a session value", item.first);
    CheckLineText("session value", item.second);
  }
}

Json ToJson(const StatementReply& r) {
  return Json::array({EnumNumber(r.outcome), r.rows, r.signature, r.detail,
                      ToJson(r.position), r.is_misdirected, r.is_leaving,
                      r.is_for_owner});
}

void FromJson(const Json& json, StatementReply* r) {
  Unpacker fields(json);
  fields.TakeEnum(kOutcomes, &r->outcome)
      .Take(&r->rows)
      .Take(&r->signature)
      .Take(&r->detail);
  FromJson(fields.Next(), &r->position);
  fields.Take(&r->is_misdirected).Take(&r->is_leaving);
  fields.TakeOptional(&r->is_for_owner);
  for (const std::string& row : r->rows) CheckLineText("row", row);
  CheckLineText("signature", r->signature);
}

Json ToJson(const EndTransactionCall& c) {
  return Json::array(
      {c.group.value(), ToJson(c.session), c.transaction_number});
}
void FromJson(const Json& json, EndTransactionCall* c) {
  Unpacker fields(json);
  fields.Take(&c->group);
  FromJson(fields.Next(), &c->session);
  fields.Take(&c->transaction_number);
}

Json ToJson(const CancelQueuedCall& c) {
  return Json::array({c.group.value(), ToJson(c.session), c.id.value()});
}
void FromJson(const Json& json, CancelQueuedCall* c) {
  Unpacker fields(json);
  fields.Take(&c->group);
  FromJson(fields.Next(), &c->session);
  fields.Take(&c->id);
}

Json ToJson(const HeartbeatCall& c) { return ToJson(c.heartbeat); }
void FromJson(const Json& json, HeartbeatCall* c) {
  FromJson(json, &c->heartbeat);
}

Json ToJson(const HeartbeatReply& r) { return ToJson(r.heartbeat); }
void FromJson(const Json& json, HeartbeatReply* r) {
  FromJson(json, &r->heartbeat);
}

Json ToJson(const SnapshotCall& c) { return ToJson(c.known); }
void FromJson(const Json& json, SnapshotCall* c) { FromJson(json, &c->known); }

Json ToJson(const SnapshotReply& r) {
  Json json =
      Json::array({ToJson(r.routes), ToJson(r.upstreams), ToJson(r.vms)});
  if (r.routes_age) json.push_back(AgeToJson(r.routes_age));
  return json;
}
void FromJson(const Json& json, SnapshotReply* r) {
  Unpacker fields(json);
  FromJson(fields.Next(), &r->routes);
  FromJson(fields.Next(), &r->upstreams);
  FromJson(fields.Next(), &r->vms);
  if (fields.HasNext()) r->routes_age = AgeFromJson(fields.Next());
}

Json ToJson(const RoutesAgeReply& r) {
  return Json::array({r.routes, AgeToJson(r.age)});
}
void FromJson(const Json& json, RoutesAgeReply* r) {
  Unpacker fields(json);
  fields.Take(&r->routes);
  r->age = AgeFromJson(fields.Next());
}

Json ToJson(const EvidenceCall& c) { return Json::array({c.group.value()}); }
void FromJson(const Json& json, EvidenceCall* c) {
  Unpacker(json).Take(&c->group);
}

Json ToJson(const EvidenceReply& r) {
  return Json::array({r.is_known, ToJson(r.position), r.age.millis(),
                      r.read_wait.millis(), r.read_service.millis()});
}
void FromJson(const Json& json, EvidenceReply* r) {
  Unpacker fields(json);
  fields.Take(&r->is_known);
  FromJson(fields.Next(), &r->position);
  fields.Take(&r->age).Take(&r->read_wait).Take(&r->read_service);
}

// Messages without fields.
Json ToJson(const EndTransactionReply&) { return Json::array(); }
void FromJson(const Json&, EndTransactionReply*) {}
Json ToJson(const CancelQueuedReply&) { return Json::array(); }
void FromJson(const Json&, CancelQueuedReply*) {}
Json ToJson(const RoutesAgeCall&) { return Json::array(); }
void FromJson(const Json&, RoutesAgeCall*) {}

}  // namespace fireflycart::proxy

namespace fireflycart {

Json ToJson(const TokensCall& c) {
  Json groups = Json::array();
  for (const GroupId& group : c.groups) groups.push_back(group);
  Json wishes = Json::array();
  for (const TokenWish& wish : c.wishes) {
    wishes.push_back(proxy::Pack(wish.tenant, wish.wanted, wish.returned));
  }
  Json json = {std::move(groups), std::move(wishes), c.has_borrowed};
  if (c.voting_for) json.push_back(proxy::AgeToJson(c.voting_for));
  return json;
}
void FromJson(const Json& json, TokensCall* c) {
  proxy::Unpacker fields(json);
  for (const Json& group : fields.Next()) {
    c->groups.push_back(group.get<GroupId>());
  }
  for (const Json& item : fields.Next()) {
    TokenWish wish;
    proxy::Unpacker(item)
        .Take(&wish.tenant)
        .Take(&wish.wanted)
        .Take(&wish.returned);
    c->wishes.push_back(wish);
  }
  fields.TakeOptional(&c->has_borrowed);
  if (fields.HasNext()) c->voting_for = proxy::AgeFromJson(fields.Next());
}

Json ToJson(const TokensReply& r) {
  Json grants = Json::array();
  for (const TokenGrant& grant : r.grants) {
    grants.push_back(proxy::Pack(grant.tenant, grant.tokens, grant.retry_after,
                                 grant.remembered_rate));
  }
  return Json::array({EnumNumber(r.state), std::move(grants), r.own_share});
}
void FromJson(const Json& json, TokensReply* r) {
  proxy::Unpacker fields(json);
  fields.TakeEnum(kLenderStates, &r->state);
  for (const Json& item : fields.Next()) {
    TokenGrant grant;
    proxy::Unpacker(item)
        .Take(&grant.tenant)
        .Take(&grant.tokens)
        .Take(&grant.retry_after)
        .Take(&grant.remembered_rate);
    r->grants.push_back(grant);
  }
  fields.TakeOptional(&r->own_share);
}

}  // namespace fireflycart
