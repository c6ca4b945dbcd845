// Rows carry versions; a transaction checks all versions before it writes.

#include "fireflycart/standins/platform_model.h"

#include <algorithm>

namespace fireflycart {

std::optional<PlatformReply> PlatformModel::Call(const PlatformCallBody& body,
                                                 TimePoint now) {
  if (faults_.outage) return std::nullopt;
  PlatformReply reply = Serve(body, now);
  bool changes = std::holds_alternative<TransactCall>(body) ||
                 std::holds_alternative<PutObjectCall>(body);
  if (changes && faults_.lose_answers > 0) {
    faults_.lose_answers--;
    return std::nullopt;
  }
  return reply;
}

void PlatformModel::SetVms(const std::vector<ListedVm>& vms, TimePoint now) {
  vms_[now.millis()] = vms;
}

PlatformReply PlatformModel::Serve(const PlatformCallBody& body,
                                   TimePoint now) {
  PlatformReply reply;
  reply.code = PlatformCode::kOk;
  if (const auto* read = std::get_if<ReadRowCall>(&body)) {
    auto found = rows_.find(read->key);
    if (found == rows_.end()) {
      reply.code = PlatformCode::kNotFound;
    } else {
      reply.rows.push_back(found->second);
    }
  } else if (const auto* scan = std::get_if<ScanRowsCall>(&body)) {
    for (auto it = rows_.rbegin(); it != rows_.rend(); ++it) {
      bool matches =
          it->first.compare(0, scan->prefix.size(), scan->prefix) == 0;
      bool room = static_cast<int>(reply.rows.size()) < scan->limit;
      if (matches && room) reply.rows.push_back(it->second);
    }
  } else if (const auto* transact = std::get_if<TransactCall>(&body)) {
    return Transact(*transact);
  } else if (const auto* put = std::get_if<PutObjectCall>(&body)) {
    objects_[put->name] = put->body;
  } else if (const auto* object = std::get_if<ReadObjectCall>(&body)) {
    auto found = objects_.find(object->name);
    if (found == objects_.end()) {
      reply.code = PlatformCode::kNotFound;
    } else {
      reply.body = found->second;
    }
  } else {
    reply.vms = VmsAt(now - faults_.list_lag);
  }
  return reply;
}

PlatformReply PlatformModel::Transact(const TransactCall& call) {
  PlatformReply reply;
  for (const RowCheck& check : call.checks) {
    auto found = rows_.find(check.key);
    uint64_t version = found == rows_.end() ? 0 : found->second.version;
    if (version == check.version) continue;
    reply.code = PlatformCode::kConflict;
    return reply;
  }
  for (const RowWrite& write : call.writes) {
    Row& row = rows_[write.key];
    row.key = write.key;
    row.value = write.value;
    row.version++;
  }
  reply.code = PlatformCode::kOk;
  return reply;
}

std::vector<ListedVm> PlatformModel::VmsAt(TimePoint when) const {
  auto next = vms_.upper_bound(when.millis());
  if (next == vms_.begin()) {
    // Nothing is that old: the first list has been there all along.
    return vms_.empty() ? std::vector<ListedVm>() : vms_.begin()->second;
  }
  return std::prev(next)->second;
}

}  // namespace fireflycart
