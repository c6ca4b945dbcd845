// Deleted rows are kept as tombstones, which follow calls return. Each write
// records what it replaced; Restore undoes the writes after the moment, newest
// first.

#include "fireflycart/standins/prepared_store_model.h"

#include <algorithm>

namespace fireflycart::standins {

using proxy::StoreRow;
using proxy::StoreStatus;
using proxy::StoreTable;

void PreparedStoreModel::Put(StoreTable table, const std::string& key,
                             const std::string& value) {
  Replace({table, key}, value, false);
}

void PreparedStoreModel::Remove(StoreTable table, const std::string& key) {
  Replace({table, key}, "", true);
}

void PreparedStoreModel::Replace(const RowKey& key, const std::string& value,
                                 bool is_deleted) {
  auto found = rows_.find(key);
  bool existed = found != rows_.end();
  replaced_.push_back(Replaced{now_, key, existed,
                               existed ? found->second : StoreRow(), version_});
  rows_[key] =
      StoreRow{key.second, value, {proxy::StoreEra(), ++version_}, is_deleted};
}

void PreparedStoreModel::Restore(TimePoint moment) {
  while (!replaced_.empty() && replaced_.back().at > moment) {
    const Replaced& write = replaced_.back();
    if (write.existed) {
      rows_[write.key] = write.row;
    } else {
      rows_.erase(write.key);
    }
    version_ = write.version;
    replaced_.pop_back();
  }
  era_ = proxy::StoreEra(era_.value() + 1);
  history_from_ = std::min(history_from_, version_);
  for (const Waiting& waiting : waiting_) {
    Refuse(waiting.handle, waiting.follow.table);
  }
  waiting_.clear();
}

void PreparedStoreModel::Stamp(Answer* answer) const {
  answer->version = {era_, version_};
  for (StoreRow& row : answer->rows) row.version.era = era_;
}

void PreparedStoreModel::Refuse(uint64_t handle, StoreTable table) {
  Answer answer;
  answer.handle = handle;
  answer.table = table;
  answer.status = StoreStatus::kRefused;
  answer.version.era = era_;
  ready_.push_back(answer);
}

void PreparedStoreModel::Call(uint64_t handle, const StoreBody& body,
                              TimePoint now) {
  now_ = now;
  if (is_refusing_) {
    Refuse(handle,
           std::visit([](const auto& call) { return call.table; }, body));
  } else if (const auto* read = std::get_if<proxy::ReadTable>(&body)) {
    ready_.push_back(Read(handle, *read));
  } else if (const auto* write = std::get_if<proxy::WriteRow>(&body)) {
    ready_.push_back(Write(handle, *write));
  } else {
    const auto& follow = std::get<proxy::FollowTable>(body);
    waiting_.push_back(Waiting{handle, follow, now + follow.wait});
  }
}

std::vector<PreparedStoreModel::Answer> PreparedStoreModel::Advance(
    TimePoint now) {
  now_ = now;
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    Answer answer = Changes(it->handle, it->follow);
    bool is_due = answer.status != StoreStatus::kOk || !answer.rows.empty() ||
                  now >= it->until;
    if (!is_due) {
      ++it;
      continue;
    }
    ready_.push_back(std::move(answer));
    it = waiting_.erase(it);
  }
  std::vector<Answer> due;
  due.swap(ready_);
  return due;
}

PreparedStoreModel::Answer PreparedStoreModel::Read(
    uint64_t handle, const proxy::ReadTable& read) const {
  Answer answer;
  answer.handle = handle;
  answer.table = read.table;
  for (const auto& item : rows_) {
    bool is_meant = item.first.first == read.table && !item.second.is_deleted &&
                    (read.key.empty() || read.key == item.first.second);
    if (is_meant) answer.rows.push_back(item.second);
  }
  Stamp(&answer);
  return answer;
}

PreparedStoreModel::Answer PreparedStoreModel::Write(
    uint64_t handle, const proxy::WriteRow& write) {
  Answer answer;
  answer.handle = handle;
  answer.table = write.table;
  auto found = rows_.find({write.table, write.key});
  bool exists = found != rows_.end() && !found->second.is_deleted;
  uint64_t present = exists ? found->second.version.number : 0;
  if (write.has_condition && present != write.expected_version.number) {
    answer.status = StoreStatus::kConflict;
    if (exists) answer.rows.push_back(found->second);
  } else {
    Put(write.table, write.key, write.value);
  }
  Stamp(&answer);
  return answer;
}

PreparedStoreModel::Answer PreparedStoreModel::Changes(
    uint64_t handle, const proxy::FollowTable& follow) const {
  Answer answer;
  answer.handle = handle;
  answer.table = follow.table;
  answer.is_follow = true;
  Stamp(&answer);
  uint64_t after = follow.after.number;
  if (after < history_from_ || after > version_) {
    answer.status = StoreStatus::kHistoryLost;
    return answer;
  }
  for (const auto& item : rows_) {
    bool is_newer =
        item.first.first == follow.table && item.second.version.number > after;
    if (is_newer) answer.rows.push_back(item.second);
  }
  Stamp(&answer);
  return answer;
}

}  // namespace fireflycart::standins
