// Stand-in for the metadata store of the prepared platform: rows in tables,
// conditional writes, and long polls for changes. Pure.
//
//   PreparedStoreModel store;
//   store.Put(StoreTable::kRoutes, "config", value);
//   store.Call(7, body, now);
//   for (auto& answer : store.Advance(now)) ...
//   store.Restore(now - Duration::Seconds(9));    // a new era begins
//
// Limits: values are opaque; the caller decodes them. Every write is kept, so
// that any moment can be restored.

#ifndef FIREFLYCART_STANDINS_PREPARED_STORE_MODEL_H_
#define FIREFLYCART_STANDINS_PREPARED_STORE_MODEL_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "fireflycart/core/proxy/store.h"

namespace fireflycart::standins {

using StoreBody =
    std::variant<proxy::ReadTable, proxy::FollowTable, proxy::WriteRow>;

class PreparedStoreModel {
 public:
  struct Answer {
    uint64_t handle = 0;
    proxy::StoreTable table = proxy::StoreTable::kRoutes;
    proxy::StoreStatus status = proxy::StoreStatus::kOk;
    proxy::StoreVersion version;
    std::vector<proxy::StoreRow> rows;
    bool is_follow = false;  // The answer to a FollowTable.
  };

  // Writes as the operator or an upstream.
  void Put(proxy::StoreTable table, const std::string& key,
           const std::string& value);
  void Remove(proxy::StoreTable table, const std::string& key);
  // Forgets the history: followers have to read whole.
  void Compact() { history_from_ = version_; }
  // While refusing, answers every call with kRefused.
  void SetRefusing(bool is_refusing) { is_refusing_ = is_refusing; }
  // Goes back to the content of a moment in the past and begins a new era.
  // Versions are given out again, and waiting calls are refused.
  void Restore(TimePoint moment);

  void Call(uint64_t handle, const StoreBody& body, TimePoint now);
  // Answers that are due.
  std::vector<Answer> Advance(TimePoint now);

  uint64_t version() const { return version_; }
  proxy::StoreEra era() const { return era_; }

 private:
  using RowKey = std::pair<proxy::StoreTable, std::string>;

  // What a write replaced.
  struct Replaced {
    TimePoint at;
    RowKey key;
    bool existed = false;
    proxy::StoreRow row;
    uint64_t version = 0;
  };

  struct Waiting {
    uint64_t handle = 0;
    proxy::FollowTable follow;
    TimePoint until;
  };

  void Replace(const RowKey& key, const std::string& value, bool is_deleted);
  // Sets the newest version and the era of an answer and its rows.
  void Stamp(Answer* answer) const;
  void Refuse(uint64_t handle, proxy::StoreTable table);
  Answer Read(uint64_t handle, const proxy::ReadTable& read) const;
  Answer Write(uint64_t handle, const proxy::WriteRow& write);
  // Rows that changed after the version; deleted ones are marked.
  Answer Changes(uint64_t handle, const proxy::FollowTable& follow) const;

  std::map<RowKey, proxy::StoreRow> rows_;
  std::vector<Replaced> replaced_;  // Oldest first.
  TimePoint now_;
  std::vector<Waiting> waiting_;
  std::vector<Answer> ready_;
  bool is_refusing_ = false;
  proxy::StoreEra era_{1};
  uint64_t version_ = 1;
  uint64_t history_from_ = 0;
};

}  // namespace fireflycart::standins

#endif  // FIREFLYCART_STANDINS_PREPARED_STORE_MODEL_H_
