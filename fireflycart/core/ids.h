// Strong types for identifiers and units, so that a term is never passed where
// a log position is expected.
//
//   GroupId group("yield-1");
//   Term term(7);
//   if (status.term < term) Fence(group, term);
//
// Limits: names are not checked here; configuration checks them on input.

#ifndef FIREFLYCART_CORE_IDS_H_
#define FIREFLYCART_CORE_IDS_H_

#include <cstdint>
#include <ostream>
#include <string>
#include <utility>

namespace fireflycart {

// An ordered identifier of representation Rep. Tag makes the types distinct.
template <typename Tag, typename Rep>
class StrongId {
 public:
  StrongId() = default;
  explicit StrongId(Rep value) : value_(std::move(value)) {}

  const Rep& value() const { return value_; }

  bool operator==(const StrongId& o) const { return value_ == o.value_; }
  bool operator!=(const StrongId& o) const { return value_ != o.value_; }
  bool operator<(const StrongId& o) const { return value_ < o.value_; }
  bool operator>(const StrongId& o) const { return o.value_ < value_; }
  bool operator<=(const StrongId& o) const { return !(o.value_ < value_); }
  bool operator>=(const StrongId& o) const { return !(value_ < o.value_); }

 private:
  Rep value_{};
};

template <typename Tag, typename Rep>
std::ostream& operator<<(std::ostream& out, const StrongId<Tag, Rep>& id) {
  return out << id.value();
}

// Names given by operators, callers or the platform. An empty name means none.
using VmId = StrongId<struct VmIdTag, std::string>;
using DataCentreId = StrongId<struct DataCentreIdTag, std::string>;
using GroupId = StrongId<struct GroupIdTag, std::string>;
using UpstreamId = StrongId<struct UpstreamIdTag, std::string>;
using TenantId = StrongId<struct TenantIdTag, std::string>;
using KindId = StrongId<struct KindIdTag, std::string>;
using CallerId = StrongId<struct CallerIdTag, std::string>;
using SessionId = StrongId<struct SessionIdTag, std::string>;
using TransactionId = StrongId<struct TransactionIdTag, std::string>;
// Identifies a request over all its attempts: caller id and request id.
using RequestKey = StrongId<struct RequestKeyTag, std::string>;

// Numbers that are unique within one process.
using ConnectionId = StrongId<struct ConnectionIdTag, uint64_t>;
using CallId = StrongId<struct CallIdTag, uint64_t>;
using WorkId = StrongId<struct WorkIdTag, uint64_t>;
using HandleId = StrongId<struct HandleIdTag, uint64_t>;

// Numbers the attempts to run writes within one term, in the order in which
// they were sent. 0 means none.
using AttemptId = StrongId<struct AttemptIdTag, uint64_t>;

// Leadership term of a database group. 0 means none.
using Term = StrongId<struct TermTag, uint64_t>;
// Index of the last entry of an upstream's log. 0 means an empty log.
using Position = StrongId<struct PositionTag, uint64_t>;
// Version of the configuration. 0 means none was ever accepted.
using ConfigVersion = StrongId<struct ConfigVersionTag, uint64_t>;
// Number that the platform grants to one start of one VM, never twice.
using Ordinal = StrongId<struct OrdinalTag, uint64_t>;
// Rank of work: 0 is the most urgent.
using Rank = StrongId<struct RankTag, int>;

}  // namespace fireflycart

#endif  // FIREFLYCART_CORE_IDS_H_
