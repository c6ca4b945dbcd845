// Each session appends numbered entries to its own list in its group and reads
// the list back at times. The entries and the outcomes of their writes are
// recorded and compared with the lists at the end.
//
// How often the list must contain an entry depends on the outcome of its write:
// exactly once if done, never if not run, at most once if unknown or not
// answered.

#include "fireflycart/ctl/load_generator.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/histogram.hpp>
#include <chrono>
#include <cmath>
#include <functional>
#include <iomanip>
#include <memory>
#include <random>
#include <set>
#include <sstream>

#include "fireflycart/net/http_client.h"
#include "fireflycart/net/json_types.h"
#include "fireflycart/net/steady_clock.h"

namespace fireflycart {
namespace {

namespace bh = boost::histogram;
using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using LatencyHistogram = decltype(bh::make_histogram(LogAxis()));

constexpr unsigned kBucketCount = 200;
constexpr double kMaxLatencyMs = 60000;
// The client accepts a reply until this time after the deadline of the request.
constexpr Duration kReplyMargin = Duration::Millis(1500);
constexpr Duration kPauseAfterFailure = Duration::Millis(100);
constexpr int kMaxReadBackAttempts = 100;
constexpr Duration kReadBackTimeout = Duration::Millis(3000);

enum class WriteOutcome { kDone, kNotRun, kUnknown };

// The entries written to one list and the outcomes of their writes.
struct ListHistory {
  std::string group;
  std::map<std::string, WriteOutcome> outcomes;  // By entry.
};

// Shared by all sessions.
struct LoadState {
  boost::asio::io_context io;
  SteadyClock clock;
  TimePoint end;
  LoadReport report;
  std::map<std::string, LatencyHistogram> latencies;
  std::map<std::string, ListHistory> lists;
  std::map<std::string, TimePoint> last_write;
};

std::vector<std::string> SplitAtCommas(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream in(text);
  std::string part;
  while (std::getline(in, part, ',')) parts.push_back(part);
  return parts;
}

double Quantile(const LatencyHistogram& histogram, double q) {
  const auto& axis = histogram.axis();
  double total = histogram.at(-1);
  for (int i = 0; i < axis.size(); i++) total += histogram.at(i);
  if (total == 0) return 0;
  double seen = histogram.at(-1);
  for (int i = 0; i < axis.size(); i++) {
    seen += histogram.at(i);
    if (seen >= q * total) return axis.bin(i).upper();
  }
  return kMaxLatencyMs;
}

// A session of a caller. It sends one request at a time, each to a random entry
// VM.
class LoadSession : public std::enable_shared_from_this<LoadSession> {
 public:
  LoadSession(const LoadOptions* options, LoadState* state, int number)
      : options_(options),
        state_(state),
        name_("s" + std::to_string(number)),
        group_(options->groups[static_cast<size_t>(number) %
                               options->groups.size()]),
        list_(group_ + "-" + name_),
        random_(options->seed * 1000003 + static_cast<uint64_t>(number)),
        timer_(state->io) {
    state_->lists[list_].group = group_;
  }

  void StartNextRequest() {
    if (state_->clock.Now() >= state_->end) {
      for (auto& item : connections_) item.second->Close();
      connections_.clear();
      return;
    }
    const LoadKind& kind = PickKind();
    bool in_transaction =
        kind.writes &&
        Draw(100) < static_cast<uint64_t>(options_->transaction_percent);
    if (in_transaction) {
      StartTransaction(kind);
    } else if (kind.writes) {
      StartWrite(kind);
    } else {
      StartRead(kind);
    }
  }

 private:
  using OnAnswer = std::function<void(bool, const Json&)>;

  uint64_t Draw(uint64_t bound) { return random_() % bound; }

  const LoadKind& PickKind() {
    int total = 0;
    for (const LoadKind& kind : options_->kinds) total += kind.weight;
    int drawn = static_cast<int>(Draw(static_cast<uint64_t>(total)));
    for (const LoadKind& kind : options_->kinds) {
      drawn -= kind.weight;
      if (drawn < 0) return kind;
    }
    return options_->kinds.back();
  }

  Json MakeBody(const LoadKind& kind) const {
    return {{"kind", kind.name},
            {"caller", "load"},
            {"session", name_},
            {"deadline_ms", kind.deadline_ms}};
  }

  std::string MakeStatement(const LoadKind& kind,
                            const std::string& text) const {
    if (kind.cost_ms == 0) return text;
    return "cost=" + std::to_string(kind.cost_ms) + " " + text;
  }

  void StartWrite(const LoadKind& kind) {
    std::string entry = name_ + "-" + std::to_string(++last_entry_number_);
    Json body = MakeBody(kind);
    body["group"] = group_;
    body["request_id"] = entry;
    body["access"] = "write";
    body["statement"] = MakeStatement(kind, "append " + list_ + " " + entry);
    Send(kind, "/v1/statement", body,
         [this, entry](bool answered, const Json& reply) {
           RecordWrite(entry, answered, reply);
         });
  }

  void StartRead(const LoadKind& kind) {
    Json body = MakeBody(kind);
    body["group"] = group_;
    body["access"] = "read";
    body["statement"] = MakeStatement(kind, "get " + list_);
    if (kind.max_age_ms > 0) body["max_age_ms"] = kind.max_age_ms;
    std::set<std::string> expected = acknowledged_entries_;
    Send(kind, "/v1/statement", body,
         [this, kind, expected](bool answered, const Json& reply) {
           if (!answered || reply.value("outcome", "") != "done") return;
           if (reply.value("from_replica", false)) {
             state_->report.kinds[kind.name].from_replica++;
           }
           std::vector<std::string> parts =
               SplitAtCommas(reply.value("result", ""));
           std::set<std::string> seen(parts.begin(), parts.end());
           for (const std::string& entry : expected) {
             if (seen.count(entry) == 0) state_->report.stale_reads++;
           }
         });
  }

  void StartTransaction(const LoadKind& kind) {
    Json body = MakeBody(kind);
    body["group"] = group_;
    auto self = shared_from_this();
    transaction_kind_ = kind;
    Call(kind, "/v1/transaction", body,
         [self](bool answered, const Json& reply) {
           bool has_begun = answered && reply.value("outcome", "") == "done";
           if (!has_begun) {
             self->CountOutcome(self->transaction_kind_, answered, reply);
             self->Pause();
             return;
           }
           self->RunTransaction(reply.value("transaction", ""));
         });
  }

  void RunTransaction(const std::string& id) {
    std::string entry = name_ + "-" + std::to_string(++last_entry_number_);
    Json body = MakeBody(transaction_kind_);
    body["access"] = "write";
    body["statement"] =
        MakeStatement(transaction_kind_, "append " + list_ + " " + entry);
    auto self = shared_from_this();
    Call(transaction_kind_, "/v1/transaction/" + id + "/statement", body,
         [self, id, entry](bool answered, const Json& reply) {
           bool ran = answered && reply.value("outcome", "") == "done";
           if (!ran) {
             // Without a commit, no write of the transaction may be applied.
             self->state_->lists[self->list_].outcomes[entry] =
                 WriteOutcome::kNotRun;
             self->CountOutcome(self->transaction_kind_, answered, reply);
             self->Pause();
             return;
           }
           self->Commit(id, entry);
         });
  }

  void Commit(const std::string& id, const std::string& entry) {
    Json body = MakeBody(transaction_kind_);
    body["request_id"] = "commit-" + entry;
    Send(transaction_kind_, "/v1/transaction/" + id + "/commit", body,
         [this, entry](bool answered, const Json& reply) {
           RecordWrite(entry, answered, reply);
         });
  }

  void RecordWrite(const std::string& entry, bool answered, const Json& reply) {
    std::string outcome = answered ? reply.value("outcome", "") : "";
    WriteOutcome write_outcome = WriteOutcome::kUnknown;
    if (outcome == "done") write_outcome = WriteOutcome::kDone;
    if (outcome == "not_run") write_outcome = WriteOutcome::kNotRun;
    state_->lists[list_].outcomes[entry] = write_outcome;
    if (write_outcome != WriteOutcome::kDone) return;
    acknowledged_entries_.insert(entry);
    TimePoint now = state_->clock.Now();
    TimePoint& last = state_->last_write[group_];
    if (last != TimePoint()) {
      int64_t& longest = state_->report.longest_write_gap_ms[group_];
      longest = std::max(longest, (now - last).millis());
    }
    last = now;
  }

  // Sends a request, counts its outcome and schedules the next request.
  void Send(const LoadKind& kind, const std::string& path, const Json& body,
            OnAnswer on_answer) {
    auto self = shared_from_this();
    Call(kind, path, body,
         [self, kind, on_answer](bool answered, const Json& reply) {
           on_answer(answered, reply);
           self->CountOutcome(kind, answered, reply);
           self->Pause();
         });
  }

  void Call(const LoadKind& kind, const std::string& path, const Json& body,
            OnAnswer on_answer) {
    started_ = state_->clock.Now();
    size_t vm_index = Draw(options_->entry_vms.size());
    const std::string& address = options_->entry_vms[vm_index];
    Duration timeout = Duration::Millis(kind.deadline_ms) + kReplyMargin;
    auto self = shared_from_this();
    auto on_reply = [self, address, on_answer](HttpReply reply) {
      Json json = Json::parse(reply.body, nullptr, false);
      bool answered = reply.ok && json.is_object() && json.contains("outcome");
      if (!answered) self->Disconnect(address);
      on_answer(answered, answered ? json : Json::object());
    };
    std::shared_ptr<HttpConnection>& connection = connections_[address];
    if (connection) {
      connection->Post(path, body.dump(), timeout, on_reply);
      return;
    }
    connection = OpenHttpConnection(
        &state_->io, address,
        [self, address, path, body, timeout, on_reply](bool open) {
          if (open) {
            self->connections_[address]->Post(path, body.dump(), timeout,
                                              on_reply);
          } else {
            on_reply(HttpReply());
          }
        });
    connection->SetToken(options_->token);
  }

  // Closes a connection on which a request was not answered, so that it is not
  // reused.
  void Disconnect(const std::string& address) {
    auto found = connections_.find(address);
    if (found == connections_.end()) return;
    found->second->Close();
    connections_.erase(found);
  }

  void CountOutcome(const LoadKind& kind, bool answered, const Json& reply) {
    KindReport& report = state_->report.kinds[kind.name];
    std::string outcome = answered ? reply.value("outcome", "") : "";
    if (outcome == "done") {
      report.done++;
      double took =
          static_cast<double>((state_->clock.Now() - started_).millis());
      auto inserted = state_->latencies.emplace(
          kind.name,
          bh::make_histogram(LogAxis(kBucketCount, 1, kMaxLatencyMs)));
      inserted.first->second(std::max(1.0, took));
      return;
    }
    if (outcome == "not_run") {
      report.not_run++;
    } else if (outcome == "unknown") {
      report.unknown++;
    } else {
      report.failed++;
    }
    std::string reason = answered ? reply.value("reason", "") : "no_answer";
    state_->report.reasons[reason]++;
    last_request_failed_ = true;
  }

  void Pause() {
    Duration pause =
        last_request_failed_ ? kPauseAfterFailure : options_->think_time;
    last_request_failed_ = false;
    auto self = shared_from_this();
    timer_.expires_after(std::chrono::milliseconds(pause.millis()));
    timer_.async_wait(
        [self](boost::system::error_code) { self->StartNextRequest(); });
  }

  const LoadOptions* options_;
  LoadState* state_;
  std::string name_;
  std::string group_;
  std::string list_;
  std::mt19937_64 random_;
  boost::asio::steady_timer timer_;
  LoadKind transaction_kind_;
  std::map<std::string, std::shared_ptr<HttpConnection>> connections_;
  std::set<std::string> acknowledged_entries_;
  TimePoint started_;
  int64_t last_entry_number_ = 0;
  bool last_request_failed_ = false;
};

// Reads one list back through the first entry VM that answers. Returns false if
// none did.
bool ReadBack(const LoadOptions& options, const std::string& list,
              const std::string& group, std::string* result) {
  for (int i = 0; i < kMaxReadBackAttempts; i++) {
    const std::string& entry_vm =
        options.entry_vms[static_cast<size_t>(i) % options.entry_vms.size()];
    Json body = {{"kind", options.kinds.front().name},
                 {"caller", "load-check"},
                 {"session", "check-" + list},
                 {"group", group},
                 {"access", "read"},
                 {"max_age_ms", 0},
                 {"deadline_ms", kReadBackTimeout.millis()},
                 {"statement", "get " + list}};
    HttpReply reply =
        RequestAndWait(entry_vm, "POST", "/v1/statement", body.dump(),
                       options.token, kReadBackTimeout);
    Json json = Json::parse(reply.body, nullptr, false);
    bool done =
        reply.ok && json.is_object() && json.value("outcome", "") == "done";
    if (!done) continue;
    *result = json.value("result", "");
    return true;
  }
  return false;
}

void CheckLists(const LoadOptions& options, const LoadState& state,
                LoadReport* report) {
  for (const auto& item : state.lists) {
    std::string text;
    if (!ReadBack(options, item.first, item.second.group, &text)) {
      report->unchecked_lists++;
      continue;
    }
    std::map<std::string, int> counts;
    for (const std::string& entry : SplitAtCommas(text)) counts[entry]++;
    for (const auto& entry : item.second.outcomes) {
      int count = counts[entry.first];
      if (count > 1) report->doubled_writes++;
      if (entry.second == WriteOutcome::kDone && count == 0) {
        report->lost_writes++;
      }
      if (entry.second == WriteOutcome::kNotRun && count > 0) {
        report->phantom_writes++;
      }
    }
  }
}

}  // namespace

std::string LoadReport::ToJson() const {
  Json json;
  for (const auto& item : kinds) {
    const KindReport& kind = item.second;
    json["kinds"][item.first] = {{"done", kind.done},
                                 {"not_run", kind.not_run},
                                 {"unknown", kind.unknown},
                                 {"failed", kind.failed},
                                 {"from_replica", kind.from_replica},
                                 {"p50_ms", kind.p50_ms},
                                 {"p99_ms", kind.p99_ms}};
  }
  json["reasons"] = reasons;
  json["longest_write_gap_ms"] = longest_write_gap_ms;
  json["stale_reads"] = stale_reads;
  json["lost_writes"] = lost_writes;
  json["doubled_writes"] = doubled_writes;
  json["phantom_writes"] = phantom_writes;
  json["unchecked_lists"] = unchecked_lists;
  return json.dump(2);
}

std::string LoadReport::ToText() const {
  std::ostringstream out;
  out << std::left << std::setw(14) << "kind" << std::right << std::setw(8)
      << "done" << std::setw(9) << "not_run" << std::setw(9) << "unknown"
      << std::setw(10) << "no_answer" << std::setw(10) << "replica%"
      << std::setw(9) << "p50_ms" << std::setw(9) << "p99_ms"
      << "\n";
  for (const auto& item : kinds) {
    const KindReport& kind = item.second;
    double share = kind.done == 0
                       ? 0
                       : 100.0 * static_cast<double>(kind.from_replica) /
                             static_cast<double>(kind.done);
    out << std::left << std::setw(14) << item.first << std::right
        << std::setw(8) << kind.done << std::setw(9) << kind.not_run
        << std::setw(9) << kind.unknown << std::setw(10) << kind.failed
        << std::setw(10) << std::fixed << std::setprecision(1) << share
        << std::setw(9) << kind.p50_ms << std::setw(9) << kind.p99_ms << "\n";
  }
  out << "requests not done, by reason:";
  for (const auto& item : reasons) {
    out << " " << item.first << "=" << item.second;
  }
  out << "\nlongest pause between two writes (ms):";
  for (const auto& item : longest_write_gap_ms) {
    out << " " << item.first << "=" << item.second;
  }
  out << "\nviolations: stale_reads=" << stale_reads
      << " lost_writes=" << lost_writes << " doubled_writes=" << doubled_writes
      << " phantom_writes=" << phantom_writes
      << " unchecked_lists=" << unchecked_lists << "\n";
  return out.str();
}

LoadReport RunLoad(const LoadOptions& options) {
  LoadState state;
  state.end = state.clock.Now() + options.duration;
  std::vector<std::shared_ptr<LoadSession>> sessions;
  sessions.reserve(static_cast<size_t>(options.sessions));
  for (int i = 0; i < options.sessions; i++) {
    sessions.push_back(std::make_shared<LoadSession>(&options, &state, i));
  }
  for (auto& session : sessions) session->StartNextRequest();
  state.io.run();
  LoadReport report = state.report;
  for (const auto& item : state.latencies) {
    report.kinds[item.first].p50_ms = Quantile(item.second, 0.5);
    report.kinds[item.first].p99_ms = Quantile(item.second, 0.99);
  }
  CheckLists(options, state, &report);
  return report;
}

}  // namespace fireflycart
