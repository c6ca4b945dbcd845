// The configuration that operators submit: database groups, kinds of requests
// and their ranks.
//
//   ConfigurationResult parsed = ParseConfiguration(text);
//   if (!parsed.problems.empty()) Report(parsed.problems);
//   const GroupPolicy* group = parsed.configuration.FindGroup(id);
//
// Limits: at most kMaxGroups groups and kMaxUpstreams upstreams in a group.

#ifndef FIREFLYCART_CORE_CONFIGURATION_H_
#define FIREFLYCART_CORE_CONFIGURATION_H_

#include <string>
#include <vector>

#include "fireflycart/core/clock.h"
#include "fireflycart/core/ids.h"

namespace fireflycart {

constexpr int kMaxGroups = 10000;
constexpr int kMaxUpstreams = 9;
constexpr int kMaxRanks = 8;

struct RankPolicy {
  std::string name;
  Duration target;         // Target latency of its requests.
  double floor_share = 0;  // Share of dispatches reserved for queued requests.
};

struct KindPolicy {
  KindId id;
  Rank rank;
  double weight = 1;  // Relative share among kinds of the same rank.
  Duration deadline;  // Used if the caller sets none.
};

struct UpstreamPolicy {
  UpstreamId id;
  std::string address;  // IP address and port.
  DataCentreId data_centre;
  int slots = 1;         // Statements that it runs concurrently.
  int connections = 1;   // Connections that it accepts from all VMs together.
  bool leaving = false;  // Receives no new work.
};

struct GroupPolicy {
  GroupId id;
  std::vector<UpstreamPolicy> upstreams;
  Duration transaction_max;   // Maximum duration of a transaction.
  Duration transaction_idle;  // Maximum time between two statements.
  int queue_limit = 1;        // Maximum requests queued at the coordinator.
};

struct Configuration {
  std::vector<RankPolicy> ranks;  // The index is the rank.
  std::vector<KindPolicy> kinds;
  std::vector<GroupPolicy> groups;

  const GroupPolicy* FindGroup(const GroupId& id) const;
  const KindPolicy* FindKind(const KindId& id) const;
};

// One fault of a document.
struct ConfigurationProblem {
  std::string path;  // Of the field, such as groups[0].name.
  std::string value;
  std::string allowed;
};

struct ConfigurationResult {
  Configuration configuration;
  std::vector<ConfigurationProblem> problems;
  std::string canonical;  // The document on one line, keys sorted.
};

// Parses a JSON document and reports all problems at once. Never throws.
ConfigurationResult ParseConfiguration(const std::string& text);

// Returns the digest (XXH3, 128 bits) of a canonical document as 32 hexadecimal
// digits.
std::string ConfigurationDigest(const std::string& canonical);

// Returns the difference between two canonical documents as a JSON patch
// (RFC 6902). An empty `from` stands for an empty object.
std::string ConfigurationDifference(const std::string& from,
                                    const std::string& to);

// Applies a JSON patch. Throws Error(kInvalidArgument) if the patch is
// malformed or does not apply.
std::string ApplyDifference(const std::string& canonical,
                            const std::string& difference);

}  // namespace fireflycart

#endif  // FIREFLYCART_CORE_CONFIGURATION_H_
