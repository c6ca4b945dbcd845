// A few reducers joined with the stand-ins' models by one randomly ordered
// event queue in virtual time. It loses, delays, cuts, pauses and crashes; it
// models no network and no fleet.
//
//   World world(options, seed);
//   world.RunFor(Duration::Seconds(10));
//   world.Request(node, request, on_answer);
//
// Limits: one thread, all in memory. The same seed gives the same run.

#ifndef FIREFLYCART_STANDINS_TESTING_WORLD_H_
#define FIREFLYCART_STANDINS_TESTING_WORLD_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fireflycart/core/reducer.h"
#include "fireflycart/standins/platform_model.h"
#include "fireflycart/standins/upstream_group_model.h"

namespace fireflycart {

struct WorldOptions {
  int nodes = 3;
  int groups = 2;
  int slots = 2;
  int connections = 16;
  Duration service_time = Duration::Millis(5);
  Duration apply_lag;
  Duration receive_delay = Duration::Millis(1);
  // Messages between nodes and to upstreams take up to this long.
  Duration longest_delay = Duration::Millis(2);
  // One of so many messages between nodes is lost; 0 for none.
  uint64_t loss_odds = 0;
  Options node_options;
};

class World {
 public:
  using OnAnswer = std::function<void(const Answer&)>;
  using OnOperatorReply = std::function<void(const OperatorReplyBody&)>;

  World(const WorldOptions& options, uint64_t seed);

  TimePoint now() const { return now_; }
  uint64_t Random(uint64_t bound) { return random_() % bound; }
  int nodes() const { return static_cast<int>(nodes_.size()); }

  // Moves time on and handles what is due.
  void RunFor(Duration length);

  void Request(int node, const fireflycart::Request& request,
               OnAnswer on_answer);
  void CallOperator(int node, const OperatorCallBody& body,
                    OnOperatorReply on_reply);
  void At(Duration after, std::function<void()> run);

  // Faults of nodes.
  void Crash(int node, bool connections_stay_open);
  void Start(int node);
  void Pause(int node, Duration length);
  void Stop(int node);  // Planned.
  bool IsUp(int node) const { return nodes_[Index(node)].reducer != nullptr; }
  // Differs between two lives of a node; 0 while it is down.
  uint64_t Life(int node) const {
    return IsUp(node) ? nodes_[Index(node)].incarnation : 0;
  }
  bool IsPaused(int node) const {
    return nodes_[Index(node)].paused_until > now_;
  }
  void CutNodes(int a, int b, bool cut);
  void CutUpstream(int node, const UpstreamId& upstream, bool cut);
  void CutPlatform(int node, bool cut);
  void HealAll();

  const Reducer* reducer(int node) const {
    return nodes_[Index(node)].reducer.get();
  }
  UpstreamGroupModel& group(int index) { return *groups_[Index(index)]; }
  PlatformModel& platform() { return platform_; }
  static GroupId GroupName(int index);
  static UpstreamId UpstreamName(int group, int index);
  // A valid configuration; two of different markers differ.
  std::string Document(int marker) const;
  // The same with the groups from `first` up to `end` only.
  std::string DocumentWithGroups(int first, int end, int marker = 0) const;
  // The node that serves the group, or -1.
  int CoordinatorOf(int group) const;

  // The last events, for a report of a failure.
  const std::deque<std::string>& trace() const { return trace_; }
  void Note(const std::string& text);
  uint64_t steps() const { return steps_; }

 private:
  struct Node {
    std::unique_ptr<Reducer> reducer;
    uint64_t incarnation = 0;
    TimePoint paused_until;
    std::deque<EventBody> held_back;
  };
  struct Link {  // A connection of a node to an upstream.
    int node = 0;
    uint64_t incarnation = 0;
    ConnectionId connection;
    int group = 0;
    UpstreamId upstream;
    bool closed = false;
  };
  struct PeerWait {
    int from = 0;
    uint64_t incarnation = 0;
    CallId call;
    int to = 0;
  };

  static size_t Index(int number) { return static_cast<size_t>(number); }
  Duration Delay();
  bool IsLost();
  void Deliver(int node, uint64_t incarnation, EventBody body);
  void Reduce(int node, const EventBody& body);
  void Tick(int node, uint64_t incarnation);
  bool IsCut(int a, int b) const { return cut_nodes_.count({a, b}) != 0; }
  bool IsCut(const Link& link) const;

  void Perform(int node, const AnswerCaller& effect);
  void Perform(int node, const AnswerOperator& effect);
  void Perform(int node, const CallPeer& effect);
  void Perform(int node, const AnswerPeer& effect);
  void Perform(int node, const OpenConnection& effect);
  void Perform(int node, const CloseConnection& effect);
  void Perform(int node, const CallUpstream& effect);
  void Perform(int node, const CallPlatform& effect);
  void Perform(int node, const WriteLog& effect);
  void Perform(int node, const Exit& effect);
  void OnModelClosed(uint64_t number);
  void DeliverFromUpstream(uint64_t number, EventBody body);

  WorldOptions options_;
  std::mt19937_64 random_;
  TimePoint now_;
  std::multimap<std::pair<int64_t, uint64_t>, std::function<void()>> queue_;
  std::vector<Node> nodes_;
  std::vector<std::unique_ptr<UpstreamGroupModel>> groups_;
  PlatformModel platform_;
  std::map<uint64_t, Link> links_;
  std::map<std::pair<int, ConnectionId>, uint64_t> link_numbers_;
  std::map<std::pair<int, HandleId>, OnAnswer> callers_;
  std::map<std::pair<int, HandleId>, OnOperatorReply> operators_;
  std::map<std::pair<int, HandleId>, PeerWait> peer_waits_;
  std::set<std::pair<uint64_t, CallId>> open_calls_;  // By life of a node.
  std::set<std::pair<int, int>> cut_nodes_;
  std::set<std::pair<int, UpstreamId>> cut_upstreams_;
  std::set<int> cut_platform_;
  std::deque<std::string> trace_;
  uint64_t last_number_ = 0;
  uint64_t steps_ = 0;
};

}  // namespace fireflycart

#endif  // FIREFLYCART_STANDINS_TESTING_WORLD_H_
