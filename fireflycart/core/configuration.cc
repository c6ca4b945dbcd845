// The parser traverses the document once and collects problems instead of
// stopping at the first one, so that an operator sees all of them. Each field
// is read by one call that states its allowed range; fields that are not read
// are reported as unknown.

#include "fireflycart/core/configuration.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <set>

#include "fireflycart/core/bounded_json.h"
#include "fireflycart/core/error.h"

namespace fireflycart {
namespace {

using Json = nlohmann::json;

constexpr int64_t kMaxDurationMs = int64_t{3600} * 1000;
constexpr int64_t kMaxSlots = 1000;
constexpr int64_t kMaxConnections = 10000;
constexpr int64_t kMaxQueueLimit = 100000;
constexpr int64_t kMinConnections = 6;
constexpr int kMinUpstreams = 1;
constexpr size_t kMaxNameLength = 48;
constexpr int64_t kMaxFloorPercent = 50;
constexpr int64_t kMaxFloorSumPercent = 60;
constexpr int64_t kMaxWeight = 100;
constexpr int64_t kDefaultTransactionMaxMs = 5000;
constexpr int64_t kDefaultTransactionIdleMs = 2000;
constexpr int64_t kDefaultQueueLimit = 400;
constexpr size_t kMaxExcerptLength = 60;

bool IsName(const std::string& text) {
  if (text.empty() || text.size() > kMaxNameLength) return false;
  return std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_';
  });
}

bool IsAddress(const std::string& text) {
  size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) return false;
  std::string port = text.substr(colon + 1);
  if (port.empty() || port.size() > 5) return false;
  bool digits = std::all_of(port.begin(), port.end(),
                            [](char c) { return c >= '0' && c <= '9'; });
  if (!digits) return false;
  int number = std::stoi(port);
  return number >= 1 && number <= 65535;
}

std::string Excerpt(const Json& value) {
  std::string text = value.dump(-1, ' ', false, Json::error_handler_t::replace);
  if (text.size() <= kMaxExcerptLength) return text;
  return text.substr(0, kMaxExcerptLength) + "...";
}

// Reads the fields of one object and collects problems with their paths.
class ObjectReader {
 public:
  ObjectReader(const Json& object, std::string path,
               std::vector<ConfigurationProblem>* problems)
      : object_(object), path_(std::move(path)), problems_(problems) {
    if (!object_.is_object()) Add("", Excerpt(object_), "an object");
  }

  // Reads an integer in [low, high]. Required if no fallback is given.
  int64_t Integer(const char* field, int64_t low, int64_t high,
                  const int64_t* fallback = nullptr) {
    const Json* value = Find(field);
    if (value == nullptr && fallback != nullptr) return *fallback;
    std::string allowed = "a whole number from " + std::to_string(low) +
                          " to " + std::to_string(high);
    if (value == nullptr) {
      AddMissing(field, allowed);
      return low;
    }
    if (!value->is_number_integer()) {
      Add(field, Excerpt(*value), allowed);
      return low;
    }
    int64_t number = value->get<int64_t>();
    if (number < low || number > high) {
      Add(field, Excerpt(*value), allowed);
      return low;
    }
    return number;
  }

  std::string Name(const char* field) {
    std::string allowed = "1 to 48 characters of a-z, 0-9, '-' and '_'";
    std::string text = Text(field, allowed);
    if (!text.empty() && !IsName(text)) Add(field, Json(text).dump(), allowed);
    return text;
  }

  std::string Address(const char* field) {
    std::string allowed = "an IP address and a port, as in 127.0.0.1:7001";
    std::string text = Text(field, allowed);
    if (!text.empty() && !IsAddress(text)) {
      Add(field, Json(text).dump(), allowed);
    }
    return text;
  }

  bool Boolean(const char* field, bool fallback) {
    const Json* value = Find(field);
    if (value == nullptr) return fallback;
    if (!value->is_boolean()) {
      Add(field, Excerpt(*value), "true or false");
      return fallback;
    }
    return value->get<bool>();
  }

  // Returns a list of low to high elements; an empty list after a problem.
  const Json& List(const char* field, size_t low, size_t high) {
    static const Json* const empty = new Json(Json::array());
    const Json* value = Find(field);
    std::string allowed = "a list of " + std::to_string(low) + " to " +
                          std::to_string(high) + " entries";
    if (value == nullptr) {
      AddMissing(field, allowed);
      return *empty;
    }
    if (!value->is_array() || value->size() < low || value->size() > high) {
      Add(field, Excerpt(*value), allowed);
      return *empty;
    }
    return *value;
  }

  std::string PathOf(const char* field, size_t index) const {
    return path_ + (path_.empty() ? "" : ".") + field + "[" +
           std::to_string(index) + "]";
  }

  void Add(const std::string& field, const std::string& value,
           const std::string& allowed) {
    std::string path = path_;
    if (!field.empty()) path += (path.empty() ? "" : ".") + field;
    problems_->push_back({path, value, allowed});
  }

  // Reports fields that have not been read as unknown.
  void Finish() {
    if (!object_.is_object()) return;
    for (const auto& item : object_.items()) {
      if (read_fields_.count(item.key()) != 0) continue;
      Add(item.key(), Excerpt(item.value()), "no such field");
    }
  }

 private:
  const Json* Find(const char* field) {
    read_fields_.insert(field);
    if (!object_.is_object()) return nullptr;
    auto it = object_.find(field);
    return it == object_.end() ? nullptr : &*it;
  }

  std::string Text(const char* field, const std::string& allowed) {
    const Json* value = Find(field);
    if (value == nullptr) {
      AddMissing(field, allowed);
      return std::string();
    }
    if (!value->is_string() || value->get<std::string>().empty()) {
      Add(field, Excerpt(*value), allowed);
      return std::string();
    }
    return value->get<std::string>();
  }

  void AddMissing(const char* field, const std::string& allowed) {
    if (object_.is_object()) Add(field, "(missing)", allowed);
  }

  const Json& object_;
  std::string path_;
  std::vector<ConfigurationProblem>* problems_;
  std::set<std::string> read_fields_;
};

// Reports names that occur more than once in a list.
class UniqueNames {
 public:
  void Check(const std::string& name, ObjectReader* reader) {
    if (name.empty()) return;
    if (names_.insert(name).second) return;
    reader->Add("name", Json(name).dump(), "a name that is unique in the list");
  }

 private:
  std::set<std::string> names_;
};

class Parser {
 public:
  explicit Parser(ConfigurationResult* result) : result_(result) {}

  void Parse(const Json& document) {
    ObjectReader reader(document, "", &result_->problems);
    ParseRanks(&reader);
    ParseKinds(&reader);
    ParseGroups(&reader);
    reader.Finish();
  }

 private:
  void ParseRanks(ObjectReader* reader) {
    const Json& list = reader->List("ranks", 1, kMaxRanks);
    UniqueNames names;
    int64_t floor_sum = 0;
    for (size_t i = 0; i < list.size(); i++) {
      ObjectReader item(list[i], reader->PathOf("ranks", i),
                        &result_->problems);
      RankPolicy rank;
      rank.name = item.Name("name");
      rank.target =
          Duration::Millis(item.Integer("target_ms", 1, kMaxDurationMs));
      int64_t no_floor = 0;
      int64_t floor =
          item.Integer("floor_percent", 0, kMaxFloorPercent, &no_floor);
      floor_sum += floor;
      rank.floor_share = static_cast<double>(floor) / 100;
      names.Check(rank.name, &item);
      item.Finish();
      result_->configuration.ranks.push_back(rank);
    }
    if (floor_sum > kMaxFloorSumPercent) {
      reader->Add("ranks", "floor_percent sum " + std::to_string(floor_sum),
                  "a sum of at most " + std::to_string(kMaxFloorSumPercent));
    }
  }

  void ParseKinds(ObjectReader* reader) {
    const Json& list = reader->List("kinds", 1, 1000);
    UniqueNames names;
    for (size_t i = 0; i < list.size(); i++) {
      ObjectReader item(list[i], reader->PathOf("kinds", i),
                        &result_->problems);
      KindPolicy kind;
      kind.id = KindId(item.Name("name"));
      kind.rank = RankByName(item.Name("rank"), &item);
      int64_t default_weight = 1;
      kind.weight = static_cast<double>(
          item.Integer("weight", 1, kMaxWeight, &default_weight));
      kind.deadline =
          Duration::Millis(item.Integer("deadline_ms", 1, kMaxDurationMs));
      names.Check(kind.id.value(), &item);
      item.Finish();
      result_->configuration.kinds.push_back(kind);
    }
  }

  Rank RankByName(const std::string& name, ObjectReader* item) {
    const auto& ranks = result_->configuration.ranks;
    for (size_t i = 0; i < ranks.size(); i++) {
      if (ranks[i].name == name) return Rank(static_cast<int>(i));
    }
    if (!name.empty()) item->Add("rank", Json(name).dump(), "a name in ranks");
    return Rank(0);
  }

  void ParseGroups(ObjectReader* reader) {
    const Json& list = reader->List("groups", 1, kMaxGroups);
    UniqueNames names;
    for (size_t i = 0; i < list.size(); i++) {
      ObjectReader item(list[i], reader->PathOf("groups", i),
                        &result_->problems);
      GroupPolicy group;
      group.id = GroupId(item.Name("name"));
      group.transaction_max = Duration::Millis(
          item.Integer("transaction_max_ms", 100, kMaxDurationMs,
                       &kDefaultTransactionMaxMs));
      group.transaction_idle = Duration::Millis(
          item.Integer("transaction_idle_ms", 50, kMaxDurationMs,
                       &kDefaultTransactionIdleMs));
      group.queue_limit = static_cast<int>(
          item.Integer("queue_limit", 1, kMaxQueueLimit, &kDefaultQueueLimit));
      ParseUpstreams(&item, &group);
      names.Check(group.id.value(), &item);
      item.Finish();
      result_->configuration.groups.push_back(group);
    }
  }

  void ParseUpstreams(ObjectReader* group_reader, GroupPolicy* group) {
    const Json& list =
        group_reader->List("upstreams", kMinUpstreams, kMaxUpstreams);
    UniqueNames names;
    for (size_t i = 0; i < list.size(); i++) {
      ObjectReader item(list[i], group_reader->PathOf("upstreams", i),
                        &result_->problems);
      UpstreamPolicy upstream;
      upstream.id = UpstreamId(item.Name("name"));
      upstream.address = item.Address("address");
      upstream.data_centre = DataCentreId(item.Name("data_centre"));
      upstream.slots = static_cast<int>(item.Integer("slots", 1, kMaxSlots));
      upstream.connections = static_cast<int>(
          item.Integer("connections", kMinConnections, kMaxConnections));
      upstream.leaving = item.Boolean("leaving", false);
      names.Check(upstream.id.value(), &item);
      item.Finish();
      group->upstreams.push_back(upstream);
    }
  }

  ConfigurationResult* result_;
};

}  // namespace

const GroupPolicy* Configuration::FindGroup(const GroupId& id) const {
  for (const GroupPolicy& group : groups) {
    if (group.id == id) return &group;
  }
  return nullptr;
}

const KindPolicy* Configuration::FindKind(const KindId& id) const {
  for (const KindPolicy& kind : kinds) {
    if (kind.id == id) return &kind;
  }
  return nullptr;
}

ConfigurationResult ParseConfiguration(const std::string& text) {
  ConfigurationResult result;
  Json document;
  try {
    document = ParseJson(text);
  } catch (const BadDocument&) {
    result.problems.push_back({"", text.substr(0, kMaxExcerptLength),
                               "a JSON object of at most " +
                                   std::to_string(kMaxJsonDepth) + " levels"});
    return result;
  }
  Parser(&result).Parse(document);
  result.canonical =
      document.dump(-1, ' ', false, Json::error_handler_t::replace);
  return result;
}

std::string ConfigurationDigest(const std::string& canonical) {
  XXH128_hash_t hash = XXH3_128bits(canonical.data(), canonical.size());
  char text[33];
  std::snprintf(text, sizeof(text), "%016llx%016llx",
                static_cast<unsigned long long>(hash.high64),
                static_cast<unsigned long long>(hash.low64));
  return text;
}

std::string ConfigurationDifference(const std::string& from,
                                    const std::string& to) {
  Json before = from.empty() ? Json::object() : Json::parse(from);
  return Json::diff(before, Json::parse(to)).dump();
}

std::string ApplyDifference(const std::string& canonical,
                            const std::string& difference) {
  try {
    Json before = canonical.empty() ? Json::object() : Json::parse(canonical);
    return before.patch(Json::parse(difference)).dump();
  } catch (const Json::exception& e) {
    throw Error(ErrorCode::kInvalidArgument, "apply configuration difference",
                "", e.what());
  }
}

}  // namespace fireflycart
