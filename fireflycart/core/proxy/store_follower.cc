// Each table is a small state machine: it is read whole, then followed from the
// version read; after a lost history or a failed read it is read whole again. A
// failed follow call is repeated from the same version, since the store keeps
// changes for a while; but the routes, which are one row, are read. Of the
// tables whose calls failed, one is retried at a time, so that an outage costs
// few calls; the others go on being followed.
//
// An open call does not show that its connection works. When a call gets no
// answer, the open calls are repeated on other connections.
//
// A version is compared only within an era. When a newer era is noticed, the
// open calls are dropped and the tables are read whole, since changes after a
// version of the older era do not exist, even if the store has that number
// again. A VM that does not read the store receives the new lists from peers.

#include "fireflycart/core/proxy/store_follower.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "fireflycart/core/bounded_json.h"
#include "fireflycart/core/proxy/vm_ring.h"
#include "fireflycart/core/short_text.h"

namespace fireflycart::proxy {
namespace {

constexpr char kPart[] = "store";
// 10,000 cores. Sums over all VMs and twice its value fit an int.
constexpr int64_t kMaxCpuPermille = 10'000'000;
constexpr Duration kAnnouncementTimeout = Duration::Millis(1000);
// The store may decide this long before a wait ends that nothing has changed.
constexpr Duration kFollowSlack = Duration::Millis(50);
// Answers to VMs that received none for longer are forgotten.
constexpr Duration kMaxAnswerAge = Duration::Seconds(60);

void LogSkipped(StoreTable table, const std::string& problem,
                ProxyContext* context) {
  context->Log(LogLevel::kWarning, kPart, "row_skipped",
               {{"table", StoreTableName(table)}, {"problem", problem}});
}

// Records that an answer of the store was not applied, since a peer has sent
// newer data meanwhile, or since the versions of the store went back.
void LogOutOfDate(StoreTable table, const StoreVersion& version,
                  const StoreVersion& in_force, ProxyContext* context) {
  context->Log(LogLevel::kWarning, kPart, "answer_out_of_date",
               {{"table", StoreTableName(table)},
                {"version", FormatVersion(version)},
                {"in_force", FormatVersion(in_force)}});
}

}  // namespace

std::string StoreFollower::EncodeVm(const VmRecord& record) {
  nlohmann::json json = {{"address", record.address},
                         {"data_centre", record.data_centre.value()},
                         {"incarnation", record.incarnation},
                         {"cpu_permille", record.cpu_permille}};
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

bool StoreFollower::DecodeVm(const std::string& value, VmRecord* record,
                             std::string* problem) {
  try {
    if (!IsName(record->vm.value())) throw BadDocument("key is not a name");
    nlohmann::json json = ParseJsonObject(value);
    record->address = NameField(json, "address");
    record->data_centre = DataCentreId(TextField(json, "data_centre"));
    record->incarnation = UnsignedField(json, "incarnation");
    record->cpu_permille = static_cast<int>(
        IntegerField(json, "cpu_permille", 0, kMaxCpuPermille));
  } catch (const BadDocument& e) {
    *problem = "vm " + ShortText(record->vm.value()) + ": " + e.what();
    return false;
  }
  return true;
}

void StoreFollower::Start(const VmRecord& self, ProxyContext* context) {
  self_ = self;
  started_at_ = context->now();
  Announce(context);
  StepAll(context);
}

void StoreFollower::StepAll(ProxyContext* context) {
  CheckStoreAge(context);
  CheckRoutesAge(context);
  for (Table& table : tables_) Step(&table, context);
}

void StoreFollower::Announce(ProxyContext* context) {
  if (is_announced_ || announcement_ != CallId()) return;
  if (context->now() < next_announcement_) {
    context->WakeAt(next_announcement_);
    return;
  }
  announcement_ = context->NextCall();
  WriteRow row;
  row.table = StoreTable::kVms;
  row.key = self_.vm.value();
  row.value = EncodeVm(self_);
  context->Emit(StoreCall{announcement_, kAnnouncementTimeout, row});
}

void StoreFollower::Step(Table* table, ProxyContext* context) {
  if (table->call != CallId()) return;
  // The lists of a new era come from peers, too.
  bool may_wait = table->is_current || table->version != StoreVersion();
  if (may_wait && !IsFollowed(*table)) return;
  if (may_wait && MustWaitForAnswer(*table, context->now())) return;
  if (IsOtherTableRetrying(*table)) return;
  if (context->now() < table->next) {
    context->WakeAt(table->next);
    return;
  }
  table->call = context->NextCall();
  table->called_at = context->now();
  table->is_reading = !table->is_current;
  if (table->is_reading) {
    table->is_continuous = false;
    context->Emit(
        StoreCall{table->call, TimeoutOf(*table), ReadTable{table->table, ""}});
    return;
  }
  Duration wait = WaitOf(*table, context->now());
  table->is_continuous = !table->is_first_follow && table->failures == 0;
  table->is_first_follow = false;
  table->wait = wait;
  context->Emit(StoreCall{table->call, TimeoutOf(*table),
                          FollowTable{table->table, table->version, wait}});
}

Duration StoreFollower::TimeoutOf(const Table& table) {
  return table.is_reading ? kReadTimeout : table.wait + kFollowTimeoutMargin;
}

// The time until the table's offset in the next period; the offsets of the
// tables are spread evenly.
Duration StoreFollower::WaitOf(const Table& table, TimePoint now) const {
  if (table.is_first_follow || table.failures > 0) return kShortFollowWait;
  int64_t period = kFollowPeriod.millis();
  int64_t offset =
      (&table - tables_.data()) * period / static_cast<int64_t>(kFollowed);
  if (table.table == StoreTable::kRoutes && routes_age_.has_limit()) {
    // Of the readers, one has often just been answered.
    period = routes_age_.read_period().millis();
    offset =
        static_cast<int64_t>(RankOf(self_.vm) % static_cast<uint64_t>(period));
  }
  int64_t wait = period - (now.millis() + period - offset) % period;
  if (wait < kShortFollowWait.millis()) wait += period;
  return Duration::Millis(wait);
}

// Of the tables whose calls failed, the one with the fewest failures is next.
bool StoreFollower::IsOtherTableRetrying(const Table& table) const {
  if (table.failures == 0) return false;
  for (const Table& other : tables_) {
    bool is_before = &other < &table ? other.failures <= table.failures
                                     : other.failures < table.failures;
    if (other.failures > 0 && is_before) return true;
  }
  return false;
}

void StoreFollower::CheckStoreAge(ProxyContext* context) {
  if (follows_by_age_) return;
  TimePoint known_since = std::max(store_answered_at_, started_at_);
  if (context->now() - known_since <= kStoreAgeLimit) return;
  SetFollowing(is_reader_, true, "store_age", context);
}

// If the peers know nothing younger, or there are none, the store is asked.
void StoreFollower::CheckRoutesAge(ProxyContext* context) {
  bool must_follow =
      routes_age_.has_limit() && !routes_age_.IsYoung(context->now());
  if (must_follow == follows_routes_by_age_) return;
  follows_routes_by_age_ = must_follow;
  if (follows_store()) return;
  StartFollowing(&tables_.front(), must_follow);
}

// What changed while this VM left a table to others may be more than arrives in
// time, and peers may have sent it already. Of the tables other than the
// routes, the newest version is known.
void StoreFollower::StartFollowing(Table* table, bool is_followed) {
  table->is_first_follow = is_followed;
  if (is_followed) ReadRoutesNext(table);
  // Without calls it is not known whether the store answers.
  if (!is_followed) table->failures = 0;
}

bool StoreFollower::IsFollowed(const Table& table) const {
  return follows_store() ||
         (follows_routes_by_age_ && table.table == StoreTable::kRoutes);
}

// While no VM is known to receive answers, many VMs ask the store, each for one
// table only.
bool StoreFollower::MustWaitForAnswer(const Table& table, TimePoint now) const {
  return !is_reader_ && store_age(now) > kStoreAgeLimit &&
         &table != tables_.data();
}

void StoreFollower::SetFollowing(bool is_reader, bool follows_by_age,
                                 const char* cause, ProxyContext* context) {
  bool followed = follows_store();
  is_reader_ = is_reader;
  if (follows_by_age && !follows_by_age_) {
    follows_by_age_since_ = context->now();
  }
  follows_by_age_ = follows_by_age;
  if (follows_store() == followed) return;
  LogFollowing(cause, context);
  for (Table& table : tables_) StartFollowing(&table, IsFollowed(table));
}

// Records whom this VM takes for the readers, since it acts on that alone.
void StoreFollower::LogFollowing(const char* cause, ProxyContext* context) {
  std::string before;
  for (const VmId& vm : readers_.before) {
    before += (before.empty() ? "" : " ") + vm.value();
  }
  context->Log(
      LogLevel::kInfo, kPart,
      follows_store() ? "follows_store" : "leaves_store_to_peers",
      {{"cause", cause},
       {"readers_before", before},
       {"vms_without_store", std::to_string(readers_.without_store)},
       {"store_age_ms", std::to_string(store_age(context->now()).millis())},
       {"answered_to", store_reader_.value()}});
}

bool StoreFollower::reaches_store() const {
  for (const Table& table : tables_) {
    if (table.failures > 0) return false;
  }
  return true;
}

void StoreFollower::SetReaders(const StoreReaders& readers,
                               ProxyContext* context) {
  readers_ = readers;
  if (readers.has_self == is_reader_) return;
  SetFollowing(readers.has_self, follows_by_age_, "rank", context);
  StepAll(context);
}

// Records a report of an answer of the store and returns when that VM received
// the answer, as far as this VM can tell; TimePoint() if a later one is known.
// How long a report waited on its way is unknown, so the answer is as old as
// its oldest report says, or older.
TimePoint StoreFollower::NoteAnswer(const VmId& reader, uint64_t number,
                                    TimePoint at) {
  LastAnswer& last = last_answers_[reader];
  bool is_same = number == last.number && last.at != TimePoint();
  if (number > last.number || last.at == TimePoint()) {
    last = LastAnswer{number, at};
  } else if (is_same) {
    // Without a number, each report may be of another answer.
    last.at = number == 0 ? std::max(last.at, at) : std::min(last.at, at);
  }
  TimePoint received_at = number < last.number ? TimePoint() : last.at;
  store_answered_at_ = TimePoint();
  for (auto it = last_answers_.begin(); it != last_answers_.end();) {
    const LastAnswer& answer = it->second;
    if (answer.at > store_answered_at_) {
      store_answered_at_ = answer.at;
      store_reader_ = it->first;
      store_answer_ = answer.number;
    }
    bool is_old = at - answer.at > kMaxAnswerAge;
    it = is_old ? last_answers_.erase(it) : std::next(it);
  }
  return received_at;
}

void StoreFollower::OnPeerStoreAge(Duration age, const VmId& reader,
                                   uint64_t number, ProxyContext* context) {
  TimePoint answered_at = NoteAnswer(reader, number, context->now() - age);
  // An answer from before this VM began shows no reader.
  if (!follows_by_age_ || answered_at < follows_by_age_since_) return;
  // Of the VMs that follow for lack of readers and receive answers, the best in
  // rank goes on until there are readers. An earlier version of the program
  // names no reader.
  bool is_better = reader == VmId() || RankOf(reader) < RankOf(self_.vm);
  if (!is_better && reaches_store()) return;
  SetFollowing(is_reader_, false, "other_reader", context);
}

void StoreFollower::OnEra(StoreEra era, const char* source,
                          ProxyContext* context) {
  if (NoteEra(era, source, context)) StepAll(context);
}

// Returns true if the store was restored as far as this VM can tell. The first
// era that a VM learns is no restore.
bool StoreFollower::NoteEra(StoreEra era, const char* source,
                            ProxyContext* context) {
  if (!(era_ < era)) return false;
  bool is_empty = !has_upstreams() && !has_vms() && routes_.version == 0;
  StoreEra before = era_;
  era_ = era;
  if (before == StoreEra() && is_empty) return false;
  // Era 0 is that of a peer of an earlier version, which does not tell the era.
  if (before != StoreEra()) restored_at_ = context->now();
  context->Log(LogLevel::kWarning, kPart, "new_era",
               {{"era", std::to_string(era.value())},
                {"before", std::to_string(before.value())},
                {"source", source},
                {"upstreams", FormatVersion(upstreams_.version())},
                {"vms", FormatVersion(vms_.version())}});
  for (Table& table : tables_) {
    table.call = CallId();
    table.is_current = false;
    table.next = TimePoint();
  }
  return true;
}

void StoreFollower::ExpireKeptRecords(ProxyContext* context) {
  size_t upstreams = upstreams_.kept_count();
  size_t vms = vms_.kept_count();
  bool has_expired_upstreams = upstreams_.Expire(context->now());
  bool has_expired_vms = vms_.Expire(context->now());
  if (has_expired_upstreams) changes_++;
  if (has_expired_vms) vm_changes_++;
  if (has_expired_upstreams || has_expired_vms) {
    context->Log(LogLevel::kInfo, kPart, "restored_lists_in_force",
                 {{"era", std::to_string(era_.value())},
                  {"upstreams_kept",
                   std::to_string(has_expired_upstreams ? upstreams : 0)},
                  {"vms_kept", std::to_string(has_expired_vms ? vms : 0)}});
  }
  if (upstreams_.kept_count() != 0) context->WakeAt(upstreams_.kept_until());
  if (vms_.kept_count() != 0) context->WakeAt(vms_.kept_until());
}

void StoreFollower::OnWake(ProxyContext* context) {
  ExpireKeptRecords(context);
  Announce(context);
  StepAll(context);
}

bool StoreFollower::OnStore(const StoreAnswered& answer,
                            ProxyContext* context) {
  if (announcement_ != CallId() && answer.call == announcement_) {
    announcement_ = CallId();
    NoteEra(answer.version.era, "store", context);
    is_announced_ = answer.status == StoreStatus::kOk;
    announced_version_ = answer.version;
    if (is_announced_) {
      CheckOwnRecord(context);
    } else {
      next_announcement_ = context->now() + kRetryDelay * 2;
      context->Log(LogLevel::kWarning, kPart, "announcement_failed",
                   {{"status", StoreStatusName(answer.status)}});
    }
    Announce(context);
    StepAll(context);
    return true;
  }
  for (Table& table : tables_) {
    if (table.call == CallId() || table.call != answer.call) continue;
    table.call = CallId();
    NoteEra(answer.version.era, "store", context);
    OnTableAnswered(&table, answer, context);
    StepAll(context);
    return true;
  }
  return false;
}

void StoreFollower::OnTableAnswered(Table* table, const StoreAnswered& answer,
                                    ProxyContext* context) {
  bool is_ok = answer.status == StoreStatus::kOk;
  if (!is_ok && answer.status != StoreStatus::kHistoryLost) {
    OnFailed(table, answer.status, context);
    return;
  }
  if (is_ok) OnAnswered(*table, context);
  if (is_ok && answer.version.era < era_) {
    LogOutOfDate(table->table, answer.version, StoreVersion{era_, 0}, context);
    table->is_current = false;
    table->next = context->now() + kRetryDelay;
    return;
  }
  bool has_changes_between =
      table->is_reading || answer.version.era == table->version.era;
  if (!is_ok || !has_changes_between) {
    context->Log(LogLevel::kWarning, kPart, "history_lost",
                 {{"table", StoreTableName(table->table)},
                  {"after", FormatVersion(table->version)},
                  {"era", std::to_string(answer.version.era.value())}});
    table->is_current = false;
    return;
  }
  Apply(*table, answer, table->is_reading, context);
  if (table->table == StoreTable::kRoutes) {
    ConfirmRoutes(*table, answer, context->now());
    // The next call soon confirms more than the start of this one.
    bool is_soon = routes_age_.has_limit() && !answer.is_unchanged;
    if (is_soon) table->is_first_follow = true;
  }
  if (table->table == StoreTable::kUpstreams) {
    upstreams_confirmed_at_ = context->now();
  }
  table->version = answer.version;
  table->is_current = true;
  // The timeout does not end a call while its answer is being received. If it
  // took that long, the changes since then would take longer still.
  Duration took = context->now() - table->called_at;
  if (took <= TimeoutOf(*table)) return;
  context->Log(LogLevel::kWarning, kPart, "answer_late",
               {{"table", StoreTableName(table->table)},
                {"took_ms", std::to_string(took.millis())},
                {"timeout_ms", std::to_string(TimeoutOf(*table).millis())},
                {"call", table->is_reading ? "read" : "follow"},
                {"version", FormatVersion(table->version)}});
  ReadRoutesNext(table);
}

// An answer to a follow call has all changes since its version, each with the
// whole configuration. The row alone has the newest one.
void StoreFollower::ReadRoutesNext(Table* table) {
  if (table->table == StoreTable::kRoutes) table->is_current = false;
}

// An answer reflects the store after its call was sent. An answer without
// changes was held back for the whole wait, so it reflects the end of the wait.
void StoreFollower::ConfirmRoutes(const Table& table,
                                  const StoreAnswered& answer, TimePoint now) {
  TimePoint confirmed_at = table.called_at;
  bool has_waited = !table.is_reading && answer.is_unchanged &&
                    table.wait > kFollowSlack &&
                    now - table.called_at >= table.wait;
  if (has_waited) confirmed_at = confirmed_at + table.wait - kFollowSlack;
  routes_age_.Confirm(confirmed_at);
}

// A restored store may lack the row of this VM, or have that of an earlier
// process. The others learn of this VM only from the row.
void StoreFollower::CheckOwnRecord(ProxyContext* context) {
  bool is_newer_list = announced_version_ < vms_.version();
  if (!is_announced_ || !is_newer_list) return;
  const VmList& list = vms_.stored();
  auto found = list.records.find(self_.vm);
  bool is_listed = found != list.records.end() &&
                   found->second.incarnation >= self_.incarnation;
  if (is_listed) return;
  is_announced_ = false;
  auto spread = static_cast<uint64_t>(kAnnouncementSpread.millis());
  auto delay = static_cast<int64_t>(context->Random(spread));
  next_announcement_ = context->now() + Duration::Millis(delay);
  context->Log(LogLevel::kWarning, kPart, "own_row_missing",
               {{"announced", FormatVersion(announced_version_)},
                {"list", FormatVersion(list.version)},
                {"delay_ms", std::to_string(delay)}});
  Announce(context);
}

void StoreFollower::OnAnswered(const Table& table, ProxyContext* context) {
  // Others rely on a VM that is answered, so it must go on asking.
  if (follows_store()) {
    // Above those of earlier processes, even if the time of day went back.
    Duration elapsed = context->now() - started_at_;
    uint64_t number =
        std::max(self_.incarnation + static_cast<uint64_t>(elapsed.millis()),
                 last_answers_[self_.vm].number + 1);
    NoteAnswer(self_.vm, number, context->now());
  }
  // The store may serve this table and refuse another.
  if (table.failures == 0) return;
  context->Log(LogLevel::kInfo, kPart, "store_regained",
               {{"table", StoreTableName(table.table)},
                {"failures", std::to_string(table.failures)}});
  for (Table& other : tables_) {
    other.failures = 0;
    other.next = TimePoint();
  }
}

void StoreFollower::OnFailed(Table* table, StoreStatus status,
                             ProxyContext* context) {
  Duration pause = kRetryDelay * (int64_t{1} << std::min(table->failures, 3));
  pause = std::min(pause, kMaxRetryDelay);
  // Jitter spreads the retries of the VMs, which all lose the store at the same
  // moment.
  int64_t jitter = static_cast<int64_t>(context->Random(
      static_cast<uint64_t>(std::max<int64_t>(pause.millis() / 2, 1))));
  TimePoint next = context->now() + pause + Duration::Millis(jitter);
  bool reached_store = reaches_store();
  table->failures++;
  ReadRoutesNext(table);
  for (Table& other : tables_) {
    if (other.failures > 0) other.next = std::max(other.next, next);
  }
  if (reached_store && status == StoreStatus::kUnknown) RepeatOpenCalls();
  if (table->failures == 1) {
    context->Log(LogLevel::kWarning, kPart, "store_lost",
                 {{"table", StoreTableName(table->table)},
                  {"status", StoreStatusName(status)},
                  {"version", FormatVersion(table->version)}});
  }
}

void StoreFollower::RepeatOpenCalls() {
  for (Table& table : tables_) {
    if (table.call == CallId() || table.is_reading) continue;
    table.call = CallId();
    table.is_first_follow = true;
  }
}

void StoreFollower::Apply(const Table& table, const StoreAnswered& answer,
                          bool is_whole, ProxyContext* context) {
  for (const std::string& problem : answer.problems) {
    LogSkipped(table.table, problem, context);
  }
  switch (table.table) {
    case StoreTable::kRoutes:
      if (!answer.routes.empty()) {
        ApplyRoutes(answer.routes.back(), "store", context);
      }
      break;
    case StoreTable::kUpstreams:
      ApplyUpstreams(answer, is_whole, context);
      break;
    case StoreTable::kVms:
      ApplyVms(answer, is_whole, context);
      break;
    case StoreTable::kDuties:
      break;
  }
}

void StoreFollower::ApplyRoutes(const RouteTable& routes, const char* source,
                                ProxyContext* context) {
  if (routes.version <= routes_.version) return;
  context->Log(LogLevel::kInfo, kPart, "routes_in_force",
               {{"version", std::to_string(routes.version)},
                {"before", std::to_string(routes_.version)},
                {"routes", std::to_string(routes.routes.size())},
                {"source", source}});
  routes_ = routes;
  routes_age_.SetHasKeys(routes_.has_tenants);
  changes_++;
}

void StoreFollower::ApplyUpstreams(const StoreAnswered& answer, bool is_whole,
                                   ProxyContext* context) {
  bool has_changes = is_whole || !answer.upstreams.empty();
  if (!has_changes) return;
  if (answer.version < upstreams_.version()) {
    LogOutOfDate(StoreTable::kUpstreams, answer.version, upstreams_.version(),
                 context);
    return;
  }
  UpstreamList list;
  std::vector<UpstreamId> removed;
  for (const UpstreamChange& change : answer.upstreams) {
    if (!change.is_present) {
      list.records.erase(change.id);
      removed.push_back(change.id);
      continue;
    }
    list.records[change.id] = change.record;
    removed.erase(std::remove(removed.begin(), removed.end(), change.id),
                  removed.end());
    if (!change.record.leaving) continue;
    context->Log(LogLevel::kInfo, kPart, "upstream_leaving",
                 {{"group", change.record.group.value()},
                  {"upstream", change.id.value()},
                  {"version", FormatVersion(answer.version)}});
  }
  list.version = answer.version;
  bool is_continuous = false;
  for (const Table& table : tables_) {
    if (table.table == StoreTable::kUpstreams) {
      is_continuous = table.is_continuous;
    }
  }
  if (is_whole) {
    upstreams_.SetAll(std::move(list), context->now());
    ExpireKeptRecords(context);
  } else {
    upstreams_.Change(list.records, removed, answer.version);
  }
  UpdateUpstreamTimes(is_continuous, context);
  changes_++;
}

void StoreFollower::UpdateUpstreamTimes(bool is_continuous,
                                        ProxyContext* context) {
  bool is_gap_short =
      context->now() - upstreams_confirmed_at_ <= kMaxUpstreamGap;
  TimePoint unchanged_until =
      is_gap_short ? upstreams_confirmed_at_ : TimePoint();
  if (is_continuous) unchanged_until = context->now();
  upstream_times_.Update(upstreams_.merged().records, unchanged_until,
                         context->now());
}

void StoreFollower::OnUpstreamAges(const std::vector<UpstreamAge>& ages,
                                   ProxyContext* context) {
  if (upstream_times_.Merge(ages, context->now())) changes_++;
}

void StoreFollower::OnPeerAgrees(TimePoint confirmed_at) {
  upstreams_confirmed_at_ = std::max(upstreams_confirmed_at_, confirmed_at);
}

void StoreFollower::ApplyVms(const StoreAnswered& answer, bool is_whole,
                             ProxyContext* context) {
  bool has_changes = is_whole || !answer.rows.empty();
  if (!has_changes) return;
  if (answer.version < vms_.version()) {
    LogOutOfDate(StoreTable::kVms, answer.version, vms_.version(), context);
    return;
  }
  VmList list;
  std::vector<VmId> removed;
  for (const StoreRow& row : answer.rows) {
    VmRecord record;
    record.vm = VmId(row.key);
    record.version = row.version;
    std::string problem;
    if (!row.is_deleted && DecodeVm(row.value, &record, &problem)) {
      list.records[record.vm] = record;
      removed.erase(std::remove(removed.begin(), removed.end(), record.vm),
                    removed.end());
      continue;
    }
    list.records.erase(record.vm);
    removed.push_back(record.vm);
    if (!problem.empty()) LogSkipped(StoreTable::kVms, problem, context);
  }
  list.version = answer.version;
  if (is_whole || !removed.empty()) vms_removed_version_ = answer.version;
  if (is_whole) {
    vms_.SetAll(std::move(list), context->now());
    ExpireKeptRecords(context);
  } else {
    vms_.Change(list.records, removed, answer.version);
  }
  vm_changes_++;
  CheckOwnRecord(context);
}

void StoreFollower::OnPeerRoutesAge(uint64_t version,
                                    const std::optional<Duration>& age,
                                    TimePoint asked_at) {
  // Older routes were the newest at that moment, too, so these are no older.
  bool is_covered = version != 0 && version <= routes_.version;
  if (age && is_covered) routes_age_.Confirm(asked_at - *age);
}

void StoreFollower::OnSnapshot(const SnapshotReply& reply, TimePoint asked_at,
                               ProxyContext* context) {
  NoteEra(std::max(reply.upstreams.version.era, reply.vms.version.era), "peer",
          context);
  ApplyRoutes(reply.routes, "peer", context);
  // The peer has no newer routes than those that this VM has now.
  OnPeerRoutesAge(routes_.version, reply.routes_age, asked_at);
  if (reply.upstreams.version > upstreams_.version()) {
    context->Log(LogLevel::kInfo, kPart, "upstreams_from_peer",
                 {{"version", FormatVersion(reply.upstreams.version)},
                  {"before", FormatVersion(upstreams_.version())}});
    upstreams_.SetAll(reply.upstreams, context->now());
    UpdateUpstreamTimes(true, context);
    upstreams_confirmed_at_ = context->now();
    changes_++;
    AdvanceVersion(StoreTable::kUpstreams, upstreams_.version());
  }
  if (reply.vms.version > vms_.version()) {
    MergeVms(reply.vms, context);
    AdvanceVersion(StoreTable::kVms, vms_.version());
  }
  ExpireKeptRecords(context);
  StepAll(context);
}

VmList StoreFollower::VmsAfter(StoreVersion version) const {
  // A list of changes has no removals, so after one the whole list is needed.
  const VmList& list = vms_.stored();
  if (version < vms_removed_version_) return list;
  VmList changes;
  changes.version = list.version;
  changes.after = version;
  for (const auto& item : list.records) {
    if (item.second.version > version) changes.records.insert(item);
  }
  return changes;
}

void StoreFollower::MergeVms(const VmList& vms, ProxyContext* context) {
  if (vms.after > vms_.version()) return;
  if (vms.after == StoreVersion()) {
    vms_.SetAll(vms, context->now());
    vms_removed_version_ = vms.version;
  } else {
    // Only whole lists begin an era here.
    if (vms.version.era != vms_.version().era) return;
    vms_.Change(vms.records, std::vector<VmId>(), vms.version);
  }
  vm_changes_++;
  CheckOwnRecord(context);
}

// Follows the table from the version that a peer sent.
void StoreFollower::AdvanceVersion(StoreTable which, StoreVersion version) {
  for (Table& table : tables_) {
    if (table.table != which || !(table.version < version)) continue;
    table.version = version;
    table.is_current = version.era == era_;
  }
}

}  // namespace fireflycart::proxy
