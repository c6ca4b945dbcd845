// The row holds a JSON object. Ids and addresses come from records that were
// checked to be names, so the serialized object contains no blank.

#include "fireflycart/core/proxy/commit_set.h"

#include <limits>
#include <nlohmann/json.hpp>

#include "fireflycart/core/bounded_json.h"
#include "fireflycart/core/short_text.h"

namespace fireflycart::proxy {

std::string FormatCommitSet(const CommitSet& set) {
  nlohmann::json members = nlohmann::json::object();
  for (const auto& item : set.members) {
    members[item.first.value()] = {{"address", item.second.address},
                                   {"started_ms", item.second.started_ms}};
  }
  nlohmann::json json = {{"term", set.term},
                         {"primary", set.primary.value()},
                         {"may_have_order", set.may_have_order},
                         {"position_term", set.position.term},
                         {"position_number", set.position.number},
                         {"members", std::move(members)}};
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

bool ParseCommitSet(const std::string& text, CommitSet* set,
                    std::string* problem) {
  try {
    nlohmann::json json = ParseJsonObject(text);
    CommitSet parsed;
    parsed.term = UnsignedField(json, "term");
    parsed.primary = UpstreamId(NameField(json, "primary"));
    parsed.may_have_order = BooleanField(json, "may_have_order");
    parsed.position.term = UnsignedField(json, "position_term");
    parsed.position.number = UnsignedField(json, "position_number");
    for (const auto& item : ObjectField(json, "members").items()) {
      if (!IsName(item.key())) {
        throw BadDocument("members has the id " + ShortText(item.key()) +
                          "; allowed are 1 to " +
                          std::to_string(kMaxNameBytes) +
                          " bytes of printable ASCII without blanks");
      }
      CommitMember member;
      member.address = NameField(item.value(), "address");
      member.started_ms = IntegerField(item.value(), "started_ms", 0,
                                       std::numeric_limits<int64_t>::max());
      parsed.members[UpstreamId(item.key())] = std::move(member);
    }
    *set = std::move(parsed);
    return true;
  } catch (const BadDocument& e) {
    *problem = std::string("commit set: ") + e.what();
    return false;
  }
}

CommitSet MergeCommitSets(const CommitSet& stored, const CommitSet& known) {
  if (stored.term != known.term) {
    return stored.term > known.term ? stored : known;
  }
  CommitSet merged = stored;
  merged.members.insert(known.members.begin(), known.members.end());
  merged.may_have_order = stored.may_have_order || known.may_have_order;
  return merged;
}

}  // namespace fireflycart::proxy
