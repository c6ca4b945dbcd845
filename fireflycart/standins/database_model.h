// Stand-in for one database group of the prepared platform: a primary, replicas
// that receive its commits, sessions with values and prepared statements, and
// the orders hold, resume, demote and promote. Pure: time comes in from
// outside.
//
//   DatabaseModel model(options, {"a", "b", "c"});
//   model.Open("a", connection);
//   model.Execute(connection, command);
//   for (const DatabaseOutput& output : model.Advance(now)) Send(output);
//
// Limits: every statement at an upstream takes the same time.

#ifndef FIREFLYCART_STANDINS_DATABASE_MODEL_H_
#define FIREFLYCART_STANDINS_DATABASE_MODEL_H_

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fireflycart/core/clock.h"
#include "fireflycart/core/proxy/statement.h"

namespace fireflycart::standins {

struct DatabaseOptions {
  Duration statement_time = Duration::Millis(2);
  Duration replication_delay = Duration::Millis(1);
  Duration apply_lag = Duration::Millis(8);
  // 0: a commit is acknowledged at once; else once a replica has received it.
  int sync_replicas = 1;
  Duration promote_time = Duration::Millis(600);
  // A primary that can reach its successor steps down after it.
  Duration step_down = Duration::Millis(1000);
  // Statements that an upstream runs at the same time; others wait. 0: any.
  int slots = 0;
  // Time for which a new connection occupies a slot; zero: none.
  Duration open_time;
  // A promoted upstream leads at once, but refuses statements until it has
  // applied what it had received.
  bool applies_before_leading = false;
};

// A commit in an upstream's log.
struct LogEntry {
  proxy::LogPosition position;
  std::vector<std::string> writes;  // Texts of the statements.
  TimePoint at;
};

// A caller's statement as an upstream ran it.
struct RanStatement {
  proxy::StatementId id;
  // READ, WRITE or COMMIT; of a prepared statement, what follows its name.
  std::string text;
  bool is_prepared = false;
  proxy::PreparedShape prepared;
  std::map<std::string, std::string> values;  // Of its connection.
  bool in_transaction = false;
  // The upstream has ended the transaction of the connection since the last
  // statement, see DatabaseModel::EndTransactions().
  bool has_lost_transaction = false;
  // Number that the group gave the open transaction, or the one that was ended;
  // 0: none.
  uint64_t transaction = 0;
  bool is_refused = false;  // For lack of the lead, so that it did not run.
};

struct DatabaseOutput {
  ConnectionId connection;
  bool is_open = false;  // The connection was accepted; else an answer.
  bool is_lost = false;  // The connection broke.
  proxy::UpstreamAnswer answer;
};

// Told of what the group does, for checks of safety.
class DatabaseObserver {
 public:
  virtual ~DatabaseObserver() = default;
  // A caller's read ran on this log, up to the applied length.
  virtual void OnRead(const proxy::StatementId& id, const UpstreamId& upstream,
                      const std::vector<LogEntry>& log, size_t applied) = 0;
  virtual void OnRun(const RanStatement& statement) = 0;
  // A primary committed these writes. It is replaced if the promotion of
  // another upstream had taken effect.
  virtual void OnCommitted(const std::vector<std::string>& writes,
                           bool is_replaced) = 0;
  // An upstream took the lead with this log.
  virtual void OnPromoted(const UpstreamId& upstream,
                          const std::vector<LogEntry>& log) = 0;
};

class DatabaseModel {
 public:
  DatabaseModel(DatabaseOptions options, const std::vector<UpstreamId>& ids,
                DatabaseObserver* observer);

  // False if the upstream is down: nothing listens.
  bool Open(const UpstreamId& upstream, ConnectionId connection);
  void Execute(ConnectionId connection, const proxy::UpstreamCommand& command);
  void Close(ConnectionId connection);

  // Runs what is due and returns answers in order.
  std::vector<DatabaseOutput> Advance(TimePoint now);

  // Orders the promotion; false if the upstream is down.
  bool Promote(const UpstreamId& upstream, TimePoint now);

  // Ends the upstream; its log stays. Its connections are lost.
  std::vector<DatabaseOutput> Crash(const UpstreamId& upstream);
  void Restart(const UpstreamId& upstream);
  // Starts an upstream that has crashed with its log under another id.
  void RestartAs(const UpstreamId& crashed, const UpstreamId& id);
  // The upstream goes on under another id, in its role. Its connections are
  // lost.
  std::vector<DatabaseOutput> Rename(const UpstreamId& id,
                                     const UpstreamId& new_id);
  // Starts under the same id with nothing.
  void Rebirth(const UpstreamId& upstream);
  // Cuts or mends the way between two upstreams.
  void SetCut(const UpstreamId& a, const UpstreamId& b, bool is_cut);
  // Answers to that many coming statements are lost.
  void LoseAnswers(int count) { answers_to_lose_ = count; }
  // That many coming statements run, and their connection breaks then.
  void BreakAnswers(int count) { answers_to_break_ = count; }
  // That many coming statements are refused: all slots are busy.
  void RefuseBusy(int count) { busy_answers_ = count; }
  // Refusals outside transactions report a failed one.
  void ReportFailedStates() { reports_failed_states_ = true; }
  // That many coming commands that set values, prepare or reset are refused.
  void RefuseSetUp(int count) { set_ups_to_refuse_ = count; }
  // That many coming rollbacks are refused; the transactions stay open.
  void RefuseRollbacks(int count) { rollbacks_to_refuse_ = count; }
  // Rolls back all open transactions, as an upstream may that finds them idle.
  // Their connections stay; the next statement on one runs alone.
  void EndTransactions();
  void SetApplyLag(Duration lag) { options_.apply_lag = lag; }
  // The same for one upstream.
  void SetApplyLag(const UpstreamId& upstream, Duration lag) {
    upstreams_[upstream].own_apply_lag = lag;
  }
  // Every second statement at the upstream runs and fails; its status is good.
  void SetFailing(const UpstreamId& upstream, bool is_failing) {
    upstreams_[upstream].is_failing = is_failing;
  }
  void SetStatementTime(const UpstreamId& upstream, Duration time) {
    upstreams_[upstream].own_statement_time = time;
  }

  UpstreamId primary() const;
  const std::vector<LogEntry>& LogOf(const UpstreamId& upstream) const;
  bool IsRunning(const UpstreamId& upstream) const;
  // It leads its own term, which may be over.
  bool IsPrimary(const UpstreamId& upstream) const;
  // How often each text is in the log of the upstream.
  std::map<std::string, int> Effects(const UpstreamId& upstream) const;
  uint64_t held_term(const UpstreamId& upstream) const;
  size_t connection_count(const UpstreamId& upstream) const;
  // Statements that were refused because a replica lacked their position.
  int behind_answers() const { return behind_answers_; }
  // Connections that were opened with open_time.
  int slow_openings() const { return slow_openings_; }

 private:
  struct Upstream {
    bool is_running = true;
    bool is_primary = false;
    uint64_t term = 1;
    uint64_t held_term = 0;
    std::vector<LogEntry> log;
    Duration own_apply_lag;       // Zero: that of the group.
    Duration own_statement_time;  // Zero: that of the group.
    TimePoint applied_at;         // Promoted: when the log is applied.
    size_t applied = 0;           // Entries that were applied at some time.
    int running = 0;
    bool is_failing = false;
    int statements = 0;
    TimePoint reaches_successor_since;
    bool reaches_successor = false;
  };
  struct Connection {
    UpstreamId upstream;
    std::map<std::string, std::string> values;
    std::map<std::string, proxy::PreparedShape> prepared;
    proxy::TransactionState state = proxy::TransactionState::kNone;
    bool is_read_only = false;
    bool has_lost_transaction = false;
    uint64_t transaction = 0;         // The open one or the one that was lost.
    std::vector<std::string> writes;  // Of the open transaction.
    std::deque<proxy::UpstreamCommand> commands;
    TimePoint ready_at;  // The first command is done then.
    bool is_opening = false;
    bool is_started = false;
    bool has_slot = false;
    bool awaits_replica = false;
    proxy::LogPosition awaited;
  };

  void AnswerOpened(ConnectionId id, const Upstream& upstream);
  // True once the connection is open.
  bool FinishOpening(ConnectionId id, Connection* connection, TimePoint now);
  void Replicate(TimePoint now);
  void Follow(Upstream* replica, const UpstreamId& id, TimePoint now);
  void ApplyPromotions(TimePoint now);
  void StepDown(TimePoint now);
  bool IsReplicated(const UpstreamId& primary, proxy::LogPosition position);
  size_t AppliedOf(const Upstream& upstream, TimePoint now) const;
  Duration ApplyLagOf(const Upstream& upstream) const;
  Duration StatementTimeOf(const Upstream& upstream) const;
  void RunFirst(ConnectionId id, Connection* connection, TimePoint now,
                std::vector<DatabaseOutput>* outputs);
  proxy::UpstreamAnswer RunStatement(Connection* connection,
                                     const proxy::UpstreamCommand& command,
                                     TimePoint now);
  // The state that a command needs, as a strict upstream checks it.
  bool MayRun(const Connection& connection,
              const proxy::UpstreamCommand& command) const;
  proxy::UpstreamAnswer RunOwn(Connection* connection,
                               const proxy::UpstreamCommand& command,
                               TimePoint now);
  static std::string ValueOf(const Connection& connection,
                             const std::vector<LogEntry>& log, size_t applied,
                             const std::string& text);
  proxy::UpstreamAnswer Commit(Connection* connection,
                               const proxy::UpstreamCommand& command,
                               std::vector<std::string> writes, TimePoint now);
  proxy::UpstreamAnswer StatusOf(const Upstream& upstream, TimePoint now) const;
  bool IsCut(const UpstreamId& a, const UpstreamId& b) const;
  uint64_t NewestTerm() const;

  DatabaseOptions options_;
  DatabaseObserver* observer_;
  TimePoint now_;  // Of the last Advance().
  std::map<UpstreamId, Upstream> upstreams_;
  std::map<ConnectionId, Connection> connections_;
  std::set<std::pair<UpstreamId, UpstreamId>> cuts_;
  struct Promotion {
    UpstreamId upstream;
    TimePoint at;
  };
  std::vector<Promotion> promotions_;
  std::vector<DatabaseOutput> opened_;
  uint64_t last_transaction_ = 0;
  int answers_to_lose_ = 0;
  int answers_to_break_ = 0;
  int busy_answers_ = 0;
  bool reports_failed_states_ = false;
  int set_ups_to_refuse_ = 0;
  int rollbacks_to_refuse_ = 0;
  int behind_answers_ = 0;
  int slow_openings_ = 0;
};

}  // namespace fireflycart::standins

#endif  // FIREFLYCART_STANDINS_DATABASE_MODEL_H_
