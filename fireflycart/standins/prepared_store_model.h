// Stand-in for the metadata store of the prepared platform: rows in tables,
// conditional writes, and long polls for changes. Pure.
//
//   PreparedStoreModel store;
//   store.Put(StoreTable::kRoutes, "config", value);
//   store.Call(7, body, now);
//   for (auto& answer : store.Advance(now)) ...
//
// Limits: values are opaque; the caller decodes them.

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
    uint64_t version = 0;
    std::vector<proxy::StoreRow> rows;
  };

  // Writes as the operator or an upstream.
  void Put(proxy::StoreTable table, const std::string& key,
           const std::string& value);
  void Remove(proxy::StoreTable table, const std::string& key);
  // Forgets the history: followers have to read whole.
  void Compact() { history_from_ = version_; }

  void Call(uint64_t handle, const StoreBody& body, TimePoint now);
  // Answers that are due.
  std::vector<Answer> Advance(TimePoint now);

  uint64_t version() const { return version_; }

 private:
  struct Waiting {
    uint64_t handle = 0;
    proxy::FollowTable follow;
    TimePoint until;
  };

  Answer Read(uint64_t handle, const proxy::ReadTable& read) const;
  Answer Write(uint64_t handle, const proxy::WriteRow& write);
  // Rows that changed after the version; deleted ones are marked.
  Answer Changes(uint64_t handle, const proxy::FollowTable& follow) const;

  std::map<std::pair<proxy::StoreTable, std::string>, proxy::StoreRow> rows_;
  std::vector<Waiting> waiting_;
  std::vector<Answer> ready_;
  uint64_t version_ = 1;
  uint64_t history_from_ = 0;
};

}  // namespace fireflycart::standins

#endif  // FIREFLYCART_STANDINS_PREPARED_STORE_MODEL_H_
