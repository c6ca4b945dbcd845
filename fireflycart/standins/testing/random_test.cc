// Seeded random runs of the decision library with invariants.
//
//   fireflycart_random_test --seed=1 --runs=20
//   fireflycart_random_test --seed=1 --minutes=10
//
// Each run lets faults come and go for a while, then ends all faults, waits and
// checks the whole history. A broken invariant prints seed, step and the last
// events, and the program exits with 1.

#include <chrono>
#include <cstdio>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "fireflycart/core/error.h"
#include "fireflycart/standins/testing/history.h"
#include "fireflycart/standins/testing/world.h"

ABSL_FLAG(uint64_t, seed, 1, "First seed.");
ABSL_FLAG(int, runs, 20, "Number of seeds.");
ABSL_FLAG(double, minutes, 0, "If positive, runs for as long instead.");
ABSL_FLAG(int, seconds, 20, "Virtual length of the faults in each run.");
ABSL_FLAG(bool, stop_at_failure, false, "Ends after the first failure.");
ABSL_FLAG(bool, refusals, false,
          "Upstreams refuse BEGIN, COMMIT and ROLLBACK at times, and callers "
          "commit what is left after a statement that did not run.");
ABSL_FLAG(int, trace, 80, "Events that a report of a failure shows.");

namespace fireflycart {
namespace {

constexpr int kSessions = 8;
constexpr int kKnownUpstreams = 3;
constexpr Duration kSettle = Duration::Seconds(20);
// An answer may come this long after the deadline.
constexpr Duration kAnswerMargin = Duration::Millis(400);

struct Totals {
  int64_t done = 0;
  int64_t not_run = 0;
  int64_t unknown = 0;
  int64_t reads = 0;
  int64_t replica_reads = 0;
  int64_t limit_refusals = 0;
  int64_t steps = 0;
};

class Run {
 public:
  Run(uint64_t seed, Totals* totals)
      : seed_(seed), totals_(totals), world_(OptionsFor(seed), seed) {}

  // Returns false after printing what broke.
  bool Execute() {
    try {
      Submit(0, ConfigVersion(), 0);
      world_.RunFor(Duration::Seconds(3));
      for (int i = 0; i < kSessions; i++) NextRequest(i);
      ScheduleFault();
      ScheduleSubmit();
      world_.RunFor(Duration::Seconds(absl::GetFlag(FLAGS_seconds)));
      faults_on_ = false;
      world_.HealAll();
      world_.RunFor(kSettle);
      CheckServes();
      requests_on_ = false;
      world_.RunFor(Duration::Seconds(8));
      CheckEnd();
    } catch (const Error& e) {
      Break(e.what());
    }
    Count();
    return broken_.empty();
  }

 private:
  static WorldOptions OptionsFor(uint64_t seed) {
    WorldOptions options;
    options.nodes = 2 + static_cast<int>(seed % 2);
    options.loss_odds = seed % 3 == 0 ? 50 : 0;
    options.apply_lag = Duration::Millis(static_cast<int64_t>(seed % 4) * 30);
    return options;
  }

  void Break(const std::string& what) {
    if (broken_.empty()) {
      std::cout << "seed " << seed_ << " step " << world_.steps() << " at "
                << world_.now().millis() << " ms: " << what << "\n";
      const std::deque<std::string>& lines = world_.trace();
      size_t most = static_cast<size_t>(absl::GetFlag(FLAGS_trace));
      size_t start = lines.size() > most ? lines.size() - most : 0;
      DescribeNodes();
      for (size_t i = start; i < lines.size(); i++) {
        std::cout << "  " << lines[i] << "\n";
      }
    }
    broken_.push_back(what);
  }

  void DescribeNodes() const {
    for (int n = 0; n < world_.nodes(); n++) {
      const Reducer* node = world_.reducer(n);
      if (node == nullptr) continue;
      std::cout << "  vm-" << n << ": ordinal " << node->ordinal()
                << ", not ready because \"" << node->NotReadyReason() << "\"";
      for (const GroupStatusLine& line : node->Status().groups) {
        std::cout << ", " << line.group << " " << line.phase << " led by \""
                  << line.coordinator << "\"";
      }
      for (const MemberUpdate& member : node->membership().All()) {
        std::cout << ", " << member.vm << " " << MemberStateText(member.state)
                  << " " << member.incarnation;
      }
      std::cout << "\n";
    }
  }

  void BreakAll(const History::Faults& faults) {
    for (const std::string& fault : faults) Break(fault);
  }

  int AnyNode() {
    int node =
        static_cast<int>(world_.Random(static_cast<uint64_t>(world_.nodes())));
    for (int i = 0; i < world_.nodes(); i++) {
      int candidate = (node + i) % world_.nodes();
      if (world_.IsUp(candidate)) return candidate;
    }
    return -1;
  }

  static std::string ListOf(int session) {
    return "list-" + std::to_string(session);
  }
  static int GroupOf(int session) { return session % 2; }

  Request MakeRequest(int session, const char* kind) {
    Request request;
    request.group = World::GroupName(GroupOf(session));
    request.kind = KindId(kind);
    request.caller = CallerId("caller");
    request.session = SessionId("s" + std::to_string(session));
    auto length = static_cast<int64_t>(200 + world_.Random(2500));
    request.deadline = world_.now() + Duration::Millis(length);
    return request;
  }

  // Sends through a random node. The callback gets no answer if the node
  // crashed, or if the caller left before.
  void Send(int session, const Request& request,
            std::function<void(const Answer*)> then) {
    int node = AnyNode();
    if (node < 0) {
      Later(session);
      return;
    }
    auto answered = std::make_shared<bool>(false);
    world_.Request(node, request, [answered, then](const Answer& answer) {
      if (*answered) return;
      *answered = true;
      then(&answer);
    });
    world_.Note("s" + std::to_string(session) + " sends to vm-" +
                std::to_string(node) + " " + request.key.value() + " " +
                request.transaction.value() + " " + request.statement);
    bool leaves = world_.Random(20) == 0;
    Duration patience = leaves
                            ? Duration::Millis(30)
                            : request.deadline - world_.now() + kAnswerMargin;
    uint64_t asked = world_.Life(node);
    TimePoint sent = world_.now();
    world_.At(patience, [this, answered, then, leaves, node, asked, sent] {
      if (*answered) return;
      *answered = true;
      bool excused = leaves || world_.Life(node) != asked ||
                     last_pause_[node] >= sent || world_.IsPaused(node);
      if (!excused) Break("no answer by the deadline");
      then(nullptr);
    });
  }

  void Later(int session) {
    world_.At(Duration::Millis(static_cast<int64_t>(5 + world_.Random(60))),
              [this, session] { NextRequest(session); });
  }

  void NextRequest(int session) {
    if (!requests_on_) return;
    uint64_t choice = world_.Random(100);
    if (choice < 40) {
      Write(session, "e" + std::to_string(++last_entry_), 0);
    } else if (choice < 70) {
      Read(session);
    } else if (choice < 85) {
      AgedRead(session);
    } else {
      Begin(session);
    }
  }

  void Write(int session, const std::string& entry, int repeats) {
    std::string list = ListOf(session);
    Request request = MakeRequest(session, "closure");
    request.access = Access::kWrite;
    request.key = RequestKey("caller/" + entry);
    request.sent_before = repeats > 0;
    request.statement = "append " + list + " " + entry;
    history_.OnWriteStarted(list, entry);
    Send(session, request,
         [this, session, list, entry, repeats](const Answer* answer) {
           Outcome outcome = answer ? answer->outcome : Outcome::kUnknown;
           world_.Note(entry + " " + OutcomeText(outcome) + " " +
                       (answer ? ReasonText(answer->reason) : "no answer"));
           BreakAll(history_.OnWriteAnswer(list, entry, outcome, world_.now()));
           bool repeat = repeats < 3 && (outcome == Outcome::kUnknown ||
                                         world_.Random(8) == 0);
           // A request that did not run keeps that outcome here, so it is not
           // sent again under the same key.
           if (repeat && outcome != Outcome::kNotRun) {
             Write(session, entry, repeats + 1);
           } else {
             Later(session);
           }
         });
  }

  void Read(int session) {
    std::string list = ListOf(session);
    Request request = MakeRequest(session, "history");
    request.statement = "get " + list;
    TimePoint started = world_.now();
    Send(session, request, [this, session, list, started](const Answer* a) {
      if (a != nullptr && a->outcome == Outcome::kDone) {
        totals_->reads++;
        if (a->from_replica) totals_->replica_reads++;
        BreakAll(history_.CheckOwnRead(list, a->result, started));
      }
      if (a != nullptr && a->outcome == Outcome::kUnknown) {
        Break("a read was answered unknown");
      }
      Later(session);
    });
  }

  void AgedRead(int session) {
    // Another session of the same group.
    int other = (session + 2) % kSessions;
    std::string list = ListOf(other);
    Request request = MakeRequest(session, "reconcile");
    request.session = SessionId();
    request.statement = "get " + list;
    Duration age = Duration::Millis(static_cast<int64_t>(world_.Random(500)));
    request.max_age = age;
    TimePoint started = world_.now();
    Send(session, request,
         [this, session, list, started, age](const Answer* a) {
           if (a != nullptr && a->outcome == Outcome::kDone) {
             totals_->reads++;
             if (a->from_replica) totals_->replica_reads++;
             BreakAll(history_.CheckAgedRead(list, a->result, started, age));
           }
           Later(session);
         });
  }

  void Begin(int session) {
    Request request = MakeRequest(session, "reconcile");
    request.type = RequestType::kBegin;
    request.access = Access::kWrite;
    Send(session, request, [this, session](const Answer* answer) {
      bool begun = answer != nullptr && answer->outcome == Outcome::kDone;
      if (!begun) {
        Later(session);
        return;
      }
      Step(session, answer->transaction, {},
           1 + static_cast<int>(world_.Random(3)));
    });
  }

  void Step(int session, const TransactionId& id,
            std::vector<std::string> entries, int left) {
    std::string list = ListOf(session);
    if (left == 0) {
      End(session, id, entries);
      return;
    }
    std::string entry = "e" + std::to_string(++last_entry_);
    Request request = MakeRequest(session, "reconcile");
    request.type = RequestType::kTransactionStatement;
    request.access = Access::kWrite;
    request.transaction = id;
    request.statement = "append " + list + " " + entry;
    history_.OnWriteStarted(list, entry);
    Send(session, request,
         [this, session, id, entries, left, list, entry](const Answer* a) {
           std::vector<std::string> all = entries;
           all.push_back(entry);
           bool ran = a != nullptr && a->outcome == Outcome::kDone;
           if (ran) {
             Step(session, id, all, left - 1);
             return;
           }
           bool goes_on = absl::GetFlag(FLAGS_refusals) && !entries.empty() &&
                          a != nullptr && a->outcome == Outcome::kNotRun &&
                          world_.Random(2) == 0;
           if (goes_on) {
             BreakAll(history_.OnWriteAnswer(list, entry, Outcome::kNotRun,
                                             world_.now()));
             Step(session, id, entries, left - 1);
             return;
           }
           // Never committed, so nothing of it may be there.
           for (const std::string& e : all) {
             history_.OnWriteAnswer(list, e, Outcome::kNotRun, world_.now());
           }
           Later(session);
         });
  }

  void End(int session, const TransactionId& id,
           const std::vector<std::string>& entries) {
    bool commits = world_.Random(4) != 0;
    Request request = MakeRequest(session, "reconcile");
    request.type = commits ? RequestType::kCommit : RequestType::kRollback;
    request.access = Access::kWrite;
    request.transaction = id;
    if (commits) request.key = RequestKey("caller/c-" + entries.front());
    Send(session, request,
         [this, session, entries, commits](const Answer* answer) {
           Outcome outcome = answer ? answer->outcome : Outcome::kUnknown;
           if (!commits) outcome = Outcome::kNotRun;
           world_.Note("commit of " + entries.front() + " " +
                       OutcomeText(outcome) + " " +
                       (answer ? ReasonText(answer->reason) : "no answer"));
           for (const std::string& entry : entries) {
             BreakAll(history_.OnWriteAnswer(ListOf(session), entry, outcome,
                                             world_.now()));
           }
           Later(session);
         });
  }

  void Submit(int node, ConfigVersion base, int marker) {
    if (!world_.IsUp(node)) return;
    SubmitConfigCall call;
    call.base = base;
    call.document = world_.Document(marker);
    call.operator_name = "op-" + std::to_string(marker);
    world_.CallOperator(node, call, [this](const OperatorReplyBody& body) {
      const auto& reply = std::get<SubmitReply>(body);
      bool accepted = reply.code == SubmitCode::kAccepted ||
                      reply.code == SubmitCode::kAlreadyAccepted;
      if (!accepted) return;
      if (!accepted_.insert(reply.version).second) {
        Break("two changes were accepted as one version");
      }
    });
  }

  // Now and then two operators submit on the same base.
  void ScheduleSubmit() {
    auto pause = static_cast<int64_t>(500 + world_.Random(4000));
    world_.At(Duration::Millis(pause), [this] {
      if (!faults_on_) return;
      int node = AnyNode();
      if (node >= 0) {
        ConfigVersion base = world_.reducer(node)->config_version();
        Submit(node, base, ++last_marker_);
        Submit(AnyNode(), base, ++last_marker_);
      }
      ScheduleSubmit();
    });
  }

  void ScheduleFault() {
    auto pause = static_cast<int64_t>(100 + world_.Random(1500));
    world_.At(Duration::Millis(pause), [this] {
      if (!faults_on_) return;
      StartFault();
      CheckVersions();
      ScheduleFault();
    });
  }

  // One fault, which ends by itself after a random time.
  void StartFault() {
    int node = AnyNode();
    if (node < 0) return;
    int other = (node + 1) % world_.nodes();
    int group = static_cast<int>(world_.Random(2));
    int index = static_cast<int>(world_.Random(kKnownUpstreams));
    UpstreamId upstream = World::UpstreamName(group, index);
    UpstreamGroupModel& model = world_.group(group);
    Duration length =
        Duration::Millis(static_cast<int64_t>(20 + world_.Random(4000)));
    UpstreamFaults faults = model.faults(upstream);
    if (absl::GetFlag(FLAGS_refusals) && world_.Random(2) == 0) {
      RefuseSteps(&model, length);
      return;
    }
    switch (world_.Random(13)) {
      case 0:
        world_.Crash(node, world_.Random(2) == 0);
        world_.At(length, [this, node] { world_.Start(node); });
        return;
      case 1:
        last_pause_[node] = world_.now() + length;
        world_.Pause(node, length);
        return;
      case 2:
        world_.Stop(node);
        RestartAfterStop(node, world_.Life(node), length);
        return;
      case 3:
        world_.Note("cut between vm-" + std::to_string(node) + " and vm-" +
                    std::to_string(other));
        world_.CutNodes(node, other, true);
        world_.At(length,
                  [this, node, other] { world_.CutNodes(node, other, false); });
        return;
      case 4:
        world_.Note("cut of vm-" + std::to_string(node) + " from " +
                    upstream.value());
        world_.CutUpstream(node, upstream, true);
        world_.At(length, [this, node, upstream] {
          world_.CutUpstream(node, upstream, false);
        });
        return;
      case 5:
        faults.down = true;
        break;
      case 6:
        faults.frozen = true;
        break;
      case 7:
        faults.replication_cut = true;
        break;
      case 8:
        faults.apply_lag =
            Duration::Millis(static_cast<int64_t>(1 + world_.Random(3000)));
        break;
      case 9:
        world_.Note("connections of " + upstream.value() + " go silent");
        model.SilenceConnections(upstream);
        return;
      case 10:
        world_.Note(upstream.value() + " is rebuilt");
        model.Rebuild(upstream, Position(world_.Random(20)), length);
        return;
      case 11: {
        PlatformFaults platform;
        platform.outage = world_.Random(2) == 0;
        platform.lose_answers = static_cast<int>(world_.Random(3));
        platform.slow =
            Duration::Millis(static_cast<int64_t>(world_.Random(500)));
        platform.list_lag = length;
        world_.Note("platform faults");
        world_.platform().SetFaults(platform);
        world_.At(length,
                  [this] { world_.platform().SetFaults(PlatformFaults()); });
        return;
      }
      default:
        world_.Note("platform is cut from vm-" + std::to_string(node));
        world_.CutPlatform(node, true);
        world_.At(length, [this, node] { world_.CutPlatform(node, false); });
        return;
    }
    world_.Note("fault of " + upstream.value() + (faults.down ? " down" : "") +
                (faults.frozen ? " frozen" : "") +
                (faults.replication_cut ? " replication cut" : "") + " for " +
                std::to_string(length.millis()));
    model.SetFaults(upstream, faults);
    world_.At(length, [&model, upstream] {
      model.SetFaults(upstream, UpstreamFaults());
    });
  }

  // Whichever upstream is primary.
  void RefuseSteps(UpstreamGroupModel* model, Duration length) {
    UpstreamId upstream = model->Primary();
    UpstreamFaults faults = model->faults(upstream);
    faults.refuses_begin = world_.Random(2) == 0;
    faults.refuses_commit = world_.Random(2) == 0;
    faults.refuses_rollback = world_.Random(2) == 0;
    world_.Note("steps are refused at " + upstream.value());
    model->SetFaults(upstream, faults);
    world_.At(length, [model, upstream] {
      model->SetFaults(upstream, UpstreamFaults());
    });
  }

  // Starts the node once its planned stop is over.
  void RestartAfterStop(int node, uint64_t life, Duration pause) {
    world_.At(pause, [this, node, life] {
      if (world_.Life(node) == life) {
        RestartAfterStop(node, life, Duration::Seconds(1));
      } else {
        world_.Start(node);
      }
    });
  }

  // A version must not go back within one life of a node.
  void CheckVersions() {
    for (int n = 0; n < world_.nodes(); n++) {
      const Reducer* node = world_.reducer(n);
      if (node == nullptr) continue;
      ConfigVersion& seen = versions_[world_.Life(n)];
      if (node->config_version() < seen) Break("a version went back");
      seen = node->config_version();
    }
  }

  // Long after the last fault, each node must serve writes to each group.
  void CheckServes() {
    CheckVersions();
    for (int n = 0; n < world_.nodes(); n++) {
      for (int g = 0; g < 2; g++) {
        Request request = MakeRequest(g, "closure");
        request.deadline = world_.now() + Duration::Seconds(2);
        request.access = Access::kWrite;
        std::string entry = "e" + std::to_string(++last_entry_);
        request.key = RequestKey("caller/" + entry);
        request.statement = "append final " + entry;
        std::string at =
            "vm-" + std::to_string(n) + " group " + std::to_string(g);
        world_.Request(n, request, [this, at](const Answer& answer) {
          if (answer.outcome != Outcome::kDone) {
            Break("not serving after all faults ended: " + at + " " +
                  ReasonText(answer.reason));
          }
        });
      }
    }
  }

  void CheckEnd() {
    ConfigVersion version;
    for (int n = 0; n < world_.nodes(); n++) {
      ConfigVersion here = world_.reducer(n)->config_version();
      if (n > 0 && here != version) Break("versions differ at the end");
      version = here;
    }
    for (ConfigVersion accepted : accepted_) {
      if (accepted > version) Break("an accepted version is not in force");
    }
    for (const std::string& list : history_.Lists()) {
      int session = std::stoi(list.substr(list.find('-') + 1));
      UpstreamGroupModel& model = world_.group(GroupOf(session));
      BreakAll(history_.CheckFinal(list, model.Value(model.Primary(), list)));
    }
    for (int g = 0; g < 2; g++) {
      if (world_.group(g).mixed_statements() != 0) {
        Break("statements of two owners met on one connection");
      }
    }
  }

  void Count() {
    totals_->done += history_.done();
    totals_->not_run += history_.not_run();
    totals_->unknown += history_.unknown();
    totals_->steps += static_cast<int64_t>(world_.steps());
    for (int g = 0; g < 2; g++) {
      totals_->limit_refusals += world_.group(g).limit_refusals();
    }
  }

  uint64_t seed_;
  Totals* totals_;
  World world_;
  History history_;
  std::set<ConfigVersion> accepted_;
  std::map<uint64_t, ConfigVersion> versions_;  // By life of a node.
  std::map<int, TimePoint> last_pause_;
  std::vector<std::string> broken_;
  bool faults_on_ = true;
  bool requests_on_ = true;
  int last_entry_ = 0;
  int last_marker_ = 0;
};

int RunAll() {
  Totals totals;
  uint64_t first = absl::GetFlag(FLAGS_seed);
  double minutes = absl::GetFlag(FLAGS_minutes);
  auto started = std::chrono::steady_clock::now();
  auto elapsed = [started] {
    return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                         started)
               .count() /
           60;
  };
  int passed = 0;
  int failed = 0;
  for (uint64_t seed = first;; seed++) {
    bool more =
        minutes > 0
            ? elapsed() < minutes
            : seed < first + static_cast<uint64_t>(absl::GetFlag(FLAGS_runs));
    if (!more) break;
    if (Run(seed, &totals).Execute()) {
      passed++;
    } else {
      failed++;
      if (absl::GetFlag(FLAGS_stop_at_failure)) break;
    }
  }
  std::cout << "seeds from " << first << ": " << passed << " passed, " << failed
            << " failed; steps " << totals.steps << ", writes done "
            << totals.done << ", not run " << totals.not_run << ", unknown "
            << totals.unknown << ", reads " << totals.reads << " of which "
            << totals.replica_reads << " on replicas, connections refused "
            << totals.limit_refusals << "\n";
  return failed == 0 ? 0 : 1;
}

}  // namespace
}  // namespace fireflycart

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  return fireflycart::RunAll();
}
