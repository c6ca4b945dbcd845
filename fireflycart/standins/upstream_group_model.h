// A stand-in for one database group, as a pure state machine: logs, terms,
// asynchronous replication, slots, transactions and faults, with the time
// handed in. The stand-in process and the random tests use the same model.
//
//   UpstreamGroupModel model(options, seed);
//   model.Open(id, open_message, now, on_reply);
//   model.Call(id, body, now, on_reply);
//   model.Advance(now);                     // replies that are due
//
// Statements: "put KEY VALUE", "append KEY VALUE", "get KEY". A value has no
// spaces. A statement may begin with "cost=MS " to set its service time.
//
// Limits: everything is in memory and nothing is ever forgotten.

#ifndef FIREFLYCART_STANDINS_UPSTREAM_GROUP_MODEL_H_
#define FIREFLYCART_STANDINS_UPSTREAM_GROUP_MODEL_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fireflycart/core/clock.h"
#include "fireflycart/core/upstream_message.h"
#include "fireflycart/net/upstream_codec.h"

namespace fireflycart {

struct UpstreamModelOptions {
  std::vector<UpstreamId> members;  // The first one is primary at the start.
  int slots = 2;
  int connections = 16;
  Duration connect_time = Duration::Millis(12);
  Duration service_time = Duration::Millis(5);
  Duration receive_delay = Duration::Millis(1);
  Duration apply_lag = Duration::Millis(0);
  // A silent connection is ended by the upstream's keep-alive after this.
  Duration keep_alive = Duration::Seconds(10);
};

// Faults of one upstream.
struct UpstreamFaults {
  bool down = false;             // Refuses and closes connections.
  bool frozen = false;           // Answers nothing, keeps connections open.
  bool replication_cut = false;  // Neither sends nor takes log entries.
  Duration apply_lag;            // Replaces the option if positive.
  Duration extra_service;        // Added to each statement.
  // Answers each BEGIN, COMMIT or ROLLBACK as failed. The transaction is open
  // afterwards.
  bool refuses_begin = false;
  bool refuses_commit = false;
  bool refuses_rollback = false;
  // A COMMIT whose key is stored runs nothing, so its transaction stays open.
  bool keeps_repeated_open = false;
};

class UpstreamGroupModel {
 public:
  using OnReply = std::function<void(const UpstreamReply&)>;
  using OnClosed = std::function<void(uint64_t connection)>;

  UpstreamGroupModel(const UpstreamModelOptions& options, uint64_t seed);

  // Called when the upstream closes a connection by itself.
  void SetOnClosed(OnClosed on_closed) { on_closed_ = std::move(on_closed); }

  // Opens a connection under a number that the caller chooses. A refusal
  // replies with another code than kOk.
  void Open(uint64_t connection, const OpenMessage& open, TimePoint now,
            OnReply on_reply);
  void Call(uint64_t connection, const UpstreamCallBody& body, TimePoint now,
            OnReply on_reply);
  // The other side closed the connection.
  void Close(uint64_t connection, TimePoint now);

  // Replicates and sends the replies that are due.
  void Advance(TimePoint now);

  void SetFaults(const UpstreamId& upstream, const UpstreamFaults& faults);
  const UpstreamFaults& faults(const UpstreamId& upstream) const;
  // All connections that are open now go silent for good.
  void SilenceConnections(const UpstreamId& upstream);
  // One connection goes silent, as when its other end vanished.
  void SilenceConnection(uint64_t connection);
  // The replica's reads go back to the given position for a while, as when it
  // is rebuilt from an old copy. What it holds durably stays.
  void Rebuild(const UpstreamId& upstream, Position position, Duration length);

  // For checks: the primary of the highest term, the values of a key there, and
  // the most connections that were ever open to one upstream.
  UpstreamId Primary() const;
  std::string Value(const UpstreamId& upstream, const std::string& key) const;
  int most_connections() const { return most_connections_; }
  // Connections refused because of the limit.
  int limit_refusals() const { return limit_refusals_; }
  // Statements that ran on a connection while a transaction of another owner
  // was open there. Must stay 0.
  int mixed_statements() const { return mixed_statements_; }

 private:
  struct Entry {
    Term term;
    RequestKey key;
    std::vector<std::string> operations;
    std::string result;
    TimePoint written_at;
  };
  struct Upstream {
    UpstreamId id;
    Term term;
    VmId holder;
    UpstreamRole role = UpstreamRole::kReplica;
    UpstreamId primary;
    std::vector<Entry> log;
    uint64_t applied = 0;
    std::map<std::string, std::string> values;  // As of `applied`.
    std::map<RequestKey, uint64_t> keys;        // Positions in the log.
    std::map<RequestKey, std::pair<Term, AttemptId>> cancelled;
    std::set<RequestKey> running;
    UpstreamFaults faults;
    int busy_slots = 0;
    std::deque<uint64_t> waiting;  // Jobs that wait for a slot.
    TimePoint rebuilt_at;          // Applies nothing before.
  };
  struct Connection {
    UpstreamId upstream;
    ConnectionPurpose purpose = ConnectionPurpose::kData;
    Term term;
    VmId holder;         // The VM that opened it.
    TimePoint heard_at;  // Last call on it.
    bool silent = false;
    TimePoint silent_since;
    bool in_transaction = false;
    Term transaction_term;
    std::vector<std::string> operations;  // Written, not yet committed.
  };
  struct Job {
    uint64_t connection = 0;
    ExecuteCall call;
    OnReply on_reply;
    bool started = false;
  };
  struct Due {
    std::function<void()> run;
    UpstreamId upstream;
  };
  struct Await {
    uint64_t connection = 0;
    UpstreamId upstream;
    Position position;
    TimePoint until;
    OnReply on_reply;
  };

  Upstream& At(const UpstreamId& id) { return upstreams_.at(id); }
  void Schedule(TimePoint when, const UpstreamId& upstream,
                std::function<void()> run);
  void Reply(uint64_t connection, const UpstreamReply& reply, TimePoint when,
             OnReply on_reply);
  UpstreamReply MakeReply(const Upstream& upstream, UpstreamCode code) const;
  UpstreamStatus StatusOf(const Upstream& upstream) const;

  UpstreamReply Serve(uint64_t connection, const FenceCall& call);
  UpstreamReply Serve(uint64_t connection, const PromoteCall& call);
  UpstreamReply Serve(uint64_t connection, const FollowCall& call);
  UpstreamReply Serve(uint64_t connection, const ResolveCall& call);
  void StartAwait(uint64_t connection, const StatusCall& call, TimePoint now,
                  OnReply on_reply);
  void StartExecute(uint64_t connection, const ExecuteCall& call, TimePoint now,
                    OnReply on_reply);
  void StartWaiting(const UpstreamId& id);
  void FinishJob(uint64_t job, const UpstreamId& id);
  UpstreamReply Execute(Upstream* upstream, Connection* connection,
                        const ExecuteCall& call);
  UpstreamReply ExecuteWrite(Upstream* upstream, const ExecuteCall& call,
                             std::vector<std::string> operations);
  std::string ReadValue(const Upstream& upstream, const Connection& connection,
                        const std::string& statement) const;

  void RaiseTerm(Upstream* upstream, Term term, const VmId& holder);
  uint64_t Append(Upstream* upstream, Entry entry);
  void Truncate(Upstream* upstream, uint64_t length);
  void ApplyUpTo(Upstream* upstream, uint64_t position);
  void Replicate(Upstream* replica);
  void EndSilentConnections();
  void CheckAwaits();
  void CloseFrom(uint64_t connection);

  UpstreamModelOptions options_;
  std::mt19937_64 random_;
  std::map<UpstreamId, Upstream> upstreams_;
  std::map<uint64_t, Connection> connections_;
  std::map<uint64_t, Job> jobs_;
  std::multimap<int64_t, Due> due_;
  std::vector<Await> awaits_;
  OnClosed on_closed_;
  TimePoint now_;
  uint64_t last_job_ = 0;
  int most_connections_ = 0;
  int limit_refusals_ = 0;
  int mixed_statements_ = 0;
};

}  // namespace fireflycart

#endif  // FIREFLYCART_STANDINS_UPSTREAM_GROUP_MODEL_H_
