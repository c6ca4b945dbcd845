// The configuration that operators submit: database groups, kinds of work and
// their ranks. Parsed and checked in configuration.cc.
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
  Duration target;         // Time within which its work should be answered.
  double floor_share = 0;  // Share of dispatches kept for it while it waits.
};

struct KindPolicy {
  KindId id;
  Rank rank;
  double weight = 1;  // Share among the kinds of the same rank.
  Duration deadline;  // Used when the caller states none.
};

struct UpstreamPolicy {
  UpstreamId id;
  std::string address;  // IP number and port.
  DataCentreId data_centre;
  int slots = 1;         // Statements that it runs at the same time.
  int connections = 1;   // Connections that it accepts from all VMs.
  bool leaving = false;  // Gets no new work.
};

struct GroupPolicy {
  GroupId id;
  std::vector<UpstreamPolicy> upstreams;
  Duration transaction_max;   // Longest life of a transaction.
  Duration transaction_idle;  // Longest pause between two of its statements.
  int queue_limit = 1;        // Requests that wait at the coordinator.
};

struct Configuration {
  std::vector<RankPolicy> ranks;  // The index is the rank.
  std::vector<KindPolicy> kinds;
  std::vector<GroupPolicy> groups;

  const GroupPolicy* FindGroup(const GroupId& id) const;
  const KindPolicy* FindKind(const KindId& id) const;
};

// One fault of a document: where, what was found and what is allowed.
struct ConfigurationProblem {
  std::string path;
  std::string value;
  std::string allowed;
};

struct ConfigurationResult {
  Configuration configuration;
  std::vector<ConfigurationProblem> problems;
  std::string canonical;  // The document in one line, keys in order.
};

// Parses a JSON document and reports all problems at once. Never throws.
ConfigurationResult ParseConfiguration(const std::string& text);

// Digest of a canonical document, as a hexadecimal number.
std::string ConfigurationDigest(const std::string& canonical);

// The difference between two canonical documents as a JSON patch (RFC 6902).
std::string ConfigurationDifference(const std::string& from,
                                    const std::string& to);

// Applies a JSON patch. Throws Error if it does not fit.
std::string ApplyDifference(const std::string& canonical,
                            const std::string& difference);

}  // namespace fireflycart

#endif  // FIREFLYCART_CORE_CONFIGURATION_H_
