// A list of the store's rows that is completed, after the store came back from
// an older copy, with what was known before.
//
//   RestoredList<UpstreamList, UpstreamPolicy> upstreams(grace);
//   upstreams.SetAll(list, now);          // a list of a newer era
//   Use(upstreams.merged().records);
//   if (upstreams.Expire(now)) ...        // merged() is stored() again
//
// The writers of the rows write them again soon after the restore. Until the
// grace time has passed, a record that was known before stays, unless its row
// has changed in the new era; where both exist, the policy merges them.
//
// Limits: a row of a writer that left shortly before the restore is back until
// the store removes it.

#ifndef FIREFLYCART_CORE_PROXY_RESTORED_LIST_H_
#define FIREFLYCART_CORE_PROXY_RESTORED_LIST_H_

#include <cstddef>
#include <iterator>
#include <utility>

#include "fireflycart/core/clock.h"
#include "fireflycart/core/proxy/store_version.h"

namespace fireflycart::proxy {

// Policy has two functions. Merge(stored, known) returns the record to use.
// MustKeep(stored, known) is true if a row that was written in the new era may
// still be older than the known record.
template <typename List, typename Policy>
class RestoredList {
 public:
  using Records = decltype(List::records);
  using Id = typename Records::key_type;
  using Record = typename Records::mapped_type;

  explicit RestoredList(Duration grace) : grace_(grace) {}

  // As the store has it.
  const List& stored() const { return stored_; }
  const List& merged() const { return kept_.empty() ? stored_ : merged_; }
  StoreVersion version() const { return stored_.version; }
  size_t kept_count() const { return kept_.size(); }
  // When Expire is due; only valid while records are kept.
  TimePoint kept_until() const { return kept_until_; }

  // Replaces the list. If it is the first one of a newer era, the records that
  // are known so far are kept.
  void SetAll(List list, TimePoint now) {
    // Era 0 says nothing about a restore: its sender does not know the era.
    bool is_restored = stored_.version.era != StoreEra() &&
                       stored_.version.era < list.version.era;
    if (is_restored) {
      kept_ = Records(merged().records);
      kept_until_ = now + grace_;
    } else {
      DropWritten(list.records);
    }
    stored_ = std::move(list);
    Merge();
  }

  // Applies changed records, then removals, as of the version.
  template <typename Ids>
  void Change(const Records& changed, const Ids& removed,
              StoreVersion version) {
    if (!kept_.empty()) {
      List list = stored_;
      Apply(changed, removed, &list);
      DropWritten(list.records);
      stored_ = std::move(list);
    } else {
      Apply(changed, removed, &stored_);
    }
    stored_.version = version;
    Merge();
  }

  // Ends the grace time if it has passed; true if records were kept until now.
  bool Expire(TimePoint now) {
    if (kept_.empty() || now < kept_until_) return false;
    kept_.clear();
    merged_ = List();
    return true;
  }

 private:
  template <typename Ids>
  static void Apply(const Records& changed, const Ids& removed, List* list) {
    for (const auto& item : changed) list->records[item.first] = item.second;
    for (const Id& id : removed) list->records.erase(id);
  }

  // Drops kept records whose rows differ from the list so far.
  void DropWritten(const Records& records) {
    for (auto it = kept_.begin(); it != kept_.end();) {
      auto before = stored_.records.find(it->first);
      auto after = records.find(it->first);
      bool was_listed = before != stored_.records.end();
      bool is_listed = after != records.end();
      bool is_written = was_listed != is_listed ||
                        (is_listed && !(before->second == after->second));
      bool stays = !is_written ||
                   (is_listed && Policy::MustKeep(after->second, it->second));
      it = stays ? std::next(it) : kept_.erase(it);
    }
  }

  void Merge() {
    if (kept_.empty()) return;
    merged_ = stored_;
    for (const auto& item : kept_) {
      auto found = merged_.records.find(item.first);
      if (found == merged_.records.end()) {
        merged_.records.insert(item);
      } else {
        found->second = Policy::Merge(found->second, item.second);
      }
    }
  }

  Duration grace_;
  List stored_;
  Records kept_;
  List merged_;
  TimePoint kept_until_;
};

}  // namespace fireflycart::proxy

#endif  // FIREFLYCART_CORE_PROXY_RESTORED_LIST_H_
