// Logs are vectors; position n is entry n-1. A replica copies entries of the
// primary of its own term once they are old enough, after dropping whatever the
// primary does not hold. Reads see the values as of the applied position.

#include <algorithm>
#include <utility>

#include "fireflycart/standins/statement.h"
#include "fireflycart/standins/upstream_group_model.h"

namespace fireflycart {

void UpstreamGroupModel::RaiseTerm(Upstream* upstream, Term term,
                                   const VmId& holder) {
  upstream->term = term;
  upstream->holder = holder;
  upstream->role = UpstreamRole::kReplica;
  upstream->primary = UpstreamId();
  std::vector<uint64_t> outdated;
  for (const auto& item : connections_) {
    bool ends = item.second.upstream == upstream->id &&
                item.second.purpose == ConnectionPurpose::kData &&
                item.second.term < term;
    if (ends) outdated.push_back(item.first);
  }
  for (uint64_t connection : outdated) CloseFrom(connection);
}

uint64_t UpstreamGroupModel::Append(Upstream* upstream, Entry entry) {
  entry.written_at = now_;
  if (entry.key != RequestKey()) {
    upstream->keys[entry.key] = upstream->log.size() + 1;
  }
  upstream->log.push_back(std::move(entry));
  // A primary's own reads see its writes at once.
  if (upstream->role == UpstreamRole::kPrimary) {
    ApplyUpTo(upstream, upstream->log.size());
  }
  return upstream->log.size();
}

void UpstreamGroupModel::Truncate(Upstream* upstream, uint64_t length) {
  while (upstream->log.size() > length) {
    upstream->keys.erase(upstream->log.back().key);
    upstream->log.pop_back();
  }
  if (upstream->applied <= length) return;
  upstream->applied = 0;
  upstream->values.clear();
  ApplyUpTo(upstream, length);
}

void UpstreamGroupModel::ApplyUpTo(Upstream* upstream, uint64_t position) {
  while (upstream->applied < position) {
    const Entry& entry = upstream->log[upstream->applied];
    for (const std::string& operation : entry.operations) {
      ApplyOperation(operation, &upstream->values);
    }
    upstream->applied++;
  }
}

void UpstreamGroupModel::Replicate(Upstream* replica) {
  if (replica->role == UpstreamRole::kPrimary) return;
  if (replica->faults.down || replica->faults.frozen) return;
  Duration lag = replica->faults.apply_lag > Duration()
                     ? replica->faults.apply_lag
                     : options_.apply_lag;
  auto source = upstreams_.find(replica->primary);
  bool linked =
      source != upstreams_.end() && !replica->faults.replication_cut &&
      !source->second.faults.replication_cut && !source->second.faults.down &&
      !source->second.faults.frozen && source->second.term == replica->term &&
      source->second.role == UpstreamRole::kPrimary;
  if (linked) {
    const std::vector<Entry>& log = source->second.log;
    uint64_t common = std::min(replica->log.size(), log.size());
    while (common > 0 &&
           log[common - 1].term != replica->log[common - 1].term) {
      common--;
    }
    if (replica->log.size() > common) Truncate(replica, common);
    while (replica->log.size() < log.size()) {
      const Entry& next = log[replica->log.size()];
      if (next.written_at + options_.receive_delay > now_) break;
      if (next.key != RequestKey()) {
        replica->keys[next.key] = replica->log.size() + 1;
      }
      replica->log.push_back(next);
    }
  }
  if (now_ < replica->rebuilt_at) return;
  uint64_t visible = replica->applied;
  while (visible < replica->log.size() &&
         replica->log[visible].written_at + options_.receive_delay + lag <=
             now_) {
    visible++;
  }
  ApplyUpTo(replica, visible);
}

void UpstreamGroupModel::EndSilentConnections() {
  for (auto it = connections_.begin(); it != connections_.end();) {
    bool over = it->second.silent &&
                now_ - it->second.silent_since > options_.keep_alive;
    it = over ? connections_.erase(it) : std::next(it);
  }
}

void UpstreamGroupModel::CheckAwaits() {
  std::vector<Await> kept;
  std::vector<Await> awaits = std::exchange(awaits_, {});
  for (Await& await : awaits) {
    const Upstream& upstream = At(await.upstream);
    bool holds = upstream.log.size() >= await.position.value();
    if (!holds && now_ < await.until) {
      kept.push_back(std::move(await));
      continue;
    }
    Reply(await.connection, MakeReply(upstream, UpstreamCode::kOk), now_,
          await.on_reply);
  }
  for (Await& await : kept) awaits_.push_back(std::move(await));
}

void UpstreamGroupModel::CloseFrom(uint64_t connection) {
  auto found = connections_.find(connection);
  bool silent = found != connections_.end() && found->second.silent;
  connections_.erase(connection);
  if (on_closed_ && !silent) on_closed_(connection);
}

}  // namespace fireflycart
