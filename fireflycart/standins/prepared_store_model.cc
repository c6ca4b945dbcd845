// Deleted rows stay as marks, so that followers hear of them.

#include "fireflycart/standins/prepared_store_model.h"

namespace fireflycart::standins {

using proxy::StoreRow;
using proxy::StoreStatus;
using proxy::StoreTable;

void PreparedStoreModel::Put(StoreTable table, const std::string& key,
                             const std::string& value) {
  rows_[{table, key}] = StoreRow{key, value, ++version_, false};
}

void PreparedStoreModel::Remove(StoreTable table, const std::string& key) {
  rows_[{table, key}] = StoreRow{key, "", ++version_, true};
}

void PreparedStoreModel::Call(uint64_t handle, const StoreBody& body,
                              TimePoint now) {
  if (const auto* read = std::get_if<proxy::ReadTable>(&body)) {
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
  answer.version = version_;
  for (const auto& item : rows_) {
    bool is_meant = item.first.first == read.table && !item.second.is_deleted &&
                    (read.key.empty() || read.key == item.first.second);
    if (is_meant) answer.rows.push_back(item.second);
  }
  return answer;
}

PreparedStoreModel::Answer PreparedStoreModel::Write(
    uint64_t handle, const proxy::WriteRow& write) {
  Answer answer;
  answer.handle = handle;
  answer.table = write.table;
  auto found = rows_.find({write.table, write.key});
  bool exists = found != rows_.end() && !found->second.is_deleted;
  uint64_t present = exists ? found->second.version : 0;
  if (write.has_condition && present != write.expected_version) {
    answer.status = StoreStatus::kConflict;
    if (exists) answer.rows.push_back(found->second);
  } else {
    Put(write.table, write.key, write.value);
  }
  answer.version = version_;
  return answer;
}

PreparedStoreModel::Answer PreparedStoreModel::Changes(
    uint64_t handle, const proxy::FollowTable& follow) const {
  Answer answer;
  answer.handle = handle;
  answer.table = follow.table;
  answer.version = version_;
  if (follow.after < history_from_) {
    answer.status = StoreStatus::kHistoryLost;
    return answer;
  }
  for (const auto& item : rows_) {
    bool is_newer =
        item.first.first == follow.table && item.second.version > follow.after;
    if (is_newer) answer.rows.push_back(item.second);
  }
  return answer;
}

}  // namespace fireflycart::standins
