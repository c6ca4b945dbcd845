// The upstreams of a group that a promotion must count with. The group's duty
// row in the store contains it.
//
//   CommitSet set;
//   if (!ParseCommitSet(text, &set, &problem)) ...
//   if (set.HasReplica(record, term)) ...   // its acknowledgement suffices
//
// Every commit that was passed on is in the log of the primary, and in the log
// of one of the replicas if there are any. So the longest log of all replicas
// has every such commit, and none of them can be left out for being silent.
//
// Limits: an upstream that starts again, under its id or at its address under
// another id, may have lost its log; see UpstreamPool::WithLogOf().

#ifndef FIREFLYCART_CORE_PROXY_COMMIT_SET_H_
#define FIREFLYCART_CORE_PROXY_COMMIT_SET_H_

#include <cstdint>
#include <map>
#include <string>

#include "fireflycart/core/proxy/route.h"
#include "fireflycart/core/proxy/statement.h"

namespace fireflycart::proxy {

struct CommitMember {
  std::string address;
  int64_t started_ms = 0;

  bool operator==(const CommitMember& o) const {
    return address == o.address && started_ms == o.started_ms;
  }
};

struct CommitSet {
  uint64_t term = 0;  // 0: nothing is recorded.
  UpstreamId primary;
  std::map<UpstreamId, CommitMember> members;  // The primary and the replicas.
  // A VM that lost the duty lease may have ordered a promotion that no other VM
  // has seen take effect.
  bool may_have_order = false;
  // The primary's position when the row was written. Not compared.
  LogPosition position;

  bool is_known() const { return term != 0; }
  void Add(const UpstreamRecord& record) {
    members[record.id] = CommitMember{record.address, record.started_ms};
  }
  bool HasMember(const UpstreamRecord& record) const {
    auto found = members.find(record.id);
    return found != members.end() &&
           found->second.started_ms == record.started_ms;
  }
  bool HasReplica(const UpstreamRecord& record, uint64_t of_term) const {
    return term == of_term && record.id != primary && HasMember(record);
  }

  bool operator==(const CommitSet& o) const {
    return term == o.term && primary == o.primary && members == o.members &&
           may_have_order == o.may_have_order;
  }
  bool operator!=(const CommitSet& o) const { return !(*this == o); }
};

// One word without blanks.
std::string FormatCommitSet(const CommitSet& set);

// Returns false and names the field in *problem if the text is not valid; *set
// is unchanged then.
bool ParseCommitSet(const std::string& text, CommitSet* set,
                    std::string* problem);

// The set to use if the store may have returned an older copy of the row: that
// of the later term, or with the members of both if the terms are equal.
CommitSet MergeCommitSets(const CommitSet& stored, const CommitSet& known);

}  // namespace fireflycart::proxy

#endif  // FIREFLYCART_CORE_PROXY_COMMIT_SET_H_
