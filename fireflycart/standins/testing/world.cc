// Events that are due at the same millisecond are handled in random order. An
// event for a node that crashed since is dropped; one for a paused node waits.

#include "fireflycart/standins/testing/world.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace fireflycart {
namespace {

constexpr Duration kStep = Duration::Millis(1);
constexpr size_t kTraceLength = 20000;

std::string NodeName(int node) { return "vm-" + std::to_string(node); }

int NodeOfAddress(const std::string& address) { return std::stoi(address); }

}  // namespace

World::World(const WorldOptions& options, uint64_t seed)
    : options_(options), random_(seed) {
  for (int g = 0; g < options.groups; g++) {
    UpstreamModelOptions model;
    for (int u = 0; u < 3; u++) model.members.push_back(UpstreamName(g, u));
    model.slots = options.slots;
    model.connections = options.connections;
    model.service_time = options.service_time;
    model.apply_lag = options.apply_lag;
    model.receive_delay = options.receive_delay;
    groups_.push_back(std::make_unique<UpstreamGroupModel>(model, random_()));
    groups_.back()->SetOnClosed([this](uint64_t n) { OnModelClosed(n); });
  }
  std::vector<ListedVm> vms;
  vms.reserve(Index(options.nodes));
  for (int n = 0; n < options.nodes; n++) {
    vms.push_back(ListedVm{VmId(NodeName(n)), std::to_string(n),
                           DataCentreId("dc"), false});
  }
  platform_.SetVms(vms, now_);
  nodes_.resize(Index(options.nodes));
  for (int n = 0; n < options.nodes; n++) Start(n);
}

void World::RunFor(Duration length) {
  TimePoint end = now_ + length;
  while (now_ < end) {
    now_ = now_ + kStep;
    for (auto& group : groups_) group->Advance(now_);
    while (!queue_.empty() && queue_.begin()->first.first <= now_.millis()) {
      std::function<void()> run = std::move(queue_.begin()->second);
      queue_.erase(queue_.begin());
      steps_++;
      run();
    }
  }
}

void World::Request(int node, const fireflycart::Request& request,
                    OnAnswer on_answer) {
  HandleId handle(++last_number_);
  callers_[{node, handle}] = std::move(on_answer);
  Deliver(node, nodes_[Index(node)].incarnation,
          CallerRequested{handle, request});
}

void World::CallOperator(int node, const OperatorCallBody& body,
                         OnOperatorReply on_reply) {
  HandleId handle(++last_number_);
  operators_[{node, handle}] = std::move(on_reply);
  Deliver(node, nodes_[Index(node)].incarnation, OperatorCalled{handle, body});
}

void World::At(Duration after, std::function<void()> run) {
  int64_t when = (now_ + std::max(after, kStep)).millis();
  queue_.emplace(std::make_pair(when, random_()), std::move(run));
}

void World::Crash(int node, bool connections_stay_open) {
  Node& crashed = nodes_[Index(node)];
  if (!crashed.reducer) return;
  Note(NodeName(node) + " crashes");
  crashed.reducer.reset();
  crashed.held_back.clear();
  crashed.paused_until = TimePoint();
  for (auto& item : links_) {
    Link& link = item.second;
    if (link.node != node || link.closed) continue;
    link.closed = true;
    if (connections_stay_open || IsCut(link)) {
      groups_[Index(link.group)]->SilenceConnection(item.first);
    } else {
      groups_[Index(link.group)]->Close(item.first, now_);
    }
  }
  for (auto it = callers_.begin(); it != callers_.end();) {
    it = it->first.first == node ? callers_.erase(it) : std::next(it);
  }
}

void World::Start(int node) {
  Node& started = nodes_[Index(node)];
  if (started.reducer) return;
  Note(NodeName(node) + " starts");
  started.incarnation = ++last_number_;
  NodeIdentity identity;
  identity.vm = VmId(NodeName(node));
  identity.address = std::to_string(node);
  identity.data_centre = DataCentreId("dc");
  identity.incarnation = static_cast<uint64_t>(now_.millis()) + 1;
  started.reducer =
      std::make_unique<Reducer>(identity, options_.node_options, random_());
  Tick(node, started.incarnation);
}

void World::Pause(int node, Duration length) {
  Note(NodeName(node) + " pauses for " + std::to_string(length.millis()));
  Node& paused = nodes_[Index(node)];
  paused.paused_until = std::max(paused.paused_until, now_ + length);
  uint64_t incarnation = paused.incarnation;
  At(length, [this, node, incarnation] {
    Node& resumed = nodes_[Index(node)];
    bool same = resumed.incarnation == incarnation && resumed.reducer;
    if (!same || resumed.paused_until > now_) return;
    Note(NodeName(node) + " resumes");
    while (!resumed.held_back.empty() && resumed.reducer) {
      EventBody body = std::move(resumed.held_back.front());
      resumed.held_back.pop_front();
      Reduce(node, body);
    }
  });
}

void World::Stop(int node) {
  Note(NodeName(node) + " is asked to stop");
  Deliver(node, nodes_[Index(node)].incarnation, StopRequested{});
}

void World::CutNodes(int a, int b, bool cut) {
  if (cut) {
    cut_nodes_.insert({a, b});
    cut_nodes_.insert({b, a});
  } else {
    cut_nodes_.erase({a, b});
    cut_nodes_.erase({b, a});
  }
}

void World::CutUpstream(int node, const UpstreamId& upstream, bool cut) {
  if (cut) {
    cut_upstreams_.insert({node, upstream});
  } else {
    cut_upstreams_.erase({node, upstream});
  }
}

void World::CutPlatform(int node, bool cut) {
  if (cut) {
    cut_platform_.insert(node);
  } else {
    cut_platform_.erase(node);
  }
}

void World::HealAll() {
  Note("all faults end");
  options_.loss_odds = 0;
  cut_nodes_.clear();
  cut_upstreams_.clear();
  cut_platform_.clear();
  platform_.SetFaults(PlatformFaults());
  for (int g = 0; g < options_.groups; g++) {
    for (int u = 0; u < 3; u++) {
      group(g).SetFaults(UpstreamName(g, u), UpstreamFaults());
    }
  }
  for (int n = 0; n < nodes(); n++) Start(n);
}

GroupId World::GroupName(int index) {
  return GroupId("g" + std::to_string(index));
}

UpstreamId World::UpstreamName(int group, int index) {
  return UpstreamId("g" + std::to_string(group) + "-" +
                    std::string(1, static_cast<char>('a' + index)));
}

std::string World::Document(int marker) const {
  return DocumentWithGroups(0, options_.groups, marker);
}

std::string World::DocumentWithGroups(int first, int end, int marker) const {
  using Json = nlohmann::json;
  Json groups = Json::array();
  for (int g = first; g < end; g++) {
    Json upstreams = Json::array();
    for (int u = 0; u < 3; u++) {
      upstreams.push_back({{"name", UpstreamName(g, u).value()},
                           {"address", "127.0.0.1:1"},
                           {"data_centre", "dc"},
                           {"slots", options_.slots},
                           {"connections", options_.connections}});
    }
    groups.push_back(
        {{"name", GroupName(g).value()}, {"upstreams", upstreams}});
  }
  Json ranks = {
      {{"name", "urgent"}, {"target_ms", 250}},
      {{"name", "normal"}, {"target_ms", 1000 + marker}, {"floor_percent", 15}},
      {{"name", "low"}, {"target_ms", 5000}, {"floor_percent", 5}}};
  Json kinds = {
      {{"name", "closure"}, {"rank", "urgent"}, {"deadline_ms", 2000}},
      {{"name", "history"}, {"rank", "normal"}, {"deadline_ms", 3000}},
      {{"name", "reconcile"}, {"rank", "low"}, {"deadline_ms", 5000}}};
  return Json({{"ranks", ranks}, {"kinds", kinds}, {"groups", groups}}).dump();
}

int World::CoordinatorOf(int group) const {
  int found = -1;
  Term highest;
  for (int n = 0; n < nodes(); n++) {
    const Reducer* node = reducer(n);
    if (node == nullptr) continue;
    const GroupCoordinator* candidate = node->FindGroup(GroupName(group));
    bool serves = candidate != nullptr &&
                  candidate->phase() == GroupPhase::kServing &&
                  candidate->term() > highest;
    if (!serves) continue;
    found = n;
    highest = candidate->term();
  }
  return found;
}

void World::Note(const std::string& text) {
  trace_.push_back(std::to_string(now_.millis()) + " " + text);
  if (trace_.size() > kTraceLength) trace_.pop_front();
}

Duration World::Delay() {
  auto longest = static_cast<uint64_t>(options_.longest_delay.millis());
  return Duration::Millis(static_cast<int64_t>(Random(longest + 1)));
}

bool World::IsLost() {
  return options_.loss_odds != 0 && Random(options_.loss_odds) == 0;
}

void World::Deliver(int node, uint64_t incarnation, EventBody body) {
  At(Duration(), [this, node, incarnation, body] {
    Node& target = nodes_[Index(node)];
    if (!target.reducer || target.incarnation != incarnation) return;
    if (target.paused_until > now_ || !target.held_back.empty()) {
      target.held_back.push_back(body);
      return;
    }
    Reduce(node, body);
  });
}

void World::Reduce(int node, const EventBody& body) {
  Effects effects = nodes_[Index(node)].reducer->Reduce(Event{now_, body});
  for (const Effect& effect : effects) {
    std::visit([&](const auto& e) { Perform(node, e); }, effect);
  }
}

void World::Tick(int node, uint64_t incarnation) {
  Deliver(node, incarnation, fireflycart::Tick{});
  At(kTickPeriod, [this, node, incarnation] {
    const Node& target = nodes_[Index(node)];
    if (target.reducer && target.incarnation == incarnation) {
      Tick(node, incarnation);
    }
  });
}

bool World::IsCut(const Link& link) const {
  return cut_upstreams_.count({link.node, link.upstream}) != 0;
}

void World::Perform(int node, const AnswerCaller& effect) {
  auto found = callers_.find({node, effect.handle});
  if (found == callers_.end()) return;
  OnAnswer on_answer = std::move(found->second);
  callers_.erase(found);
  Answer answer = effect.answer;
  At(Delay(), [on_answer, answer] { on_answer(answer); });
}

void World::Perform(int node, const AnswerOperator& effect) {
  auto found = operators_.find({node, effect.handle});
  if (found == operators_.end()) return;
  OnOperatorReply on_reply = std::move(found->second);
  operators_.erase(found);
  OperatorReplyBody body = effect.body;
  At(Delay(), [on_reply, body] { on_reply(body); });
}

void World::Perform(int node, const CallPeer& effect) {
  uint64_t incarnation = nodes_[Index(node)].incarnation;
  CallId call = effect.call;
  open_calls_.insert({incarnation, call});
  At(effect.timeout, [this, node, incarnation, call] {
    if (open_calls_.erase({incarnation, call}) == 0) return;
    Deliver(node, incarnation, PeerReplied{call, PeerCallError::kBroken, {}});
  });
  int to = NodeOfAddress(effect.address.empty() ? "-1" : effect.address);
  bool exists = to >= 0 && to < nodes();
  if (exists && (IsCut(node, to) || IsLost())) return;
  PeerCallBody body = effect.body;
  At(Delay(), [this, node, incarnation, call, to, exists, body] {
    bool up = exists && nodes_[Index(to)].reducer != nullptr;
    if (!up) {
      if (open_calls_.erase({incarnation, call}) == 0) return;
      Deliver(node, incarnation,
              PeerReplied{call, PeerCallError::kNotSent, {}});
      return;
    }
    HandleId handle(++last_number_);
    peer_waits_[{to, handle}] = PeerWait{node, incarnation, call, to};
    Deliver(to, nodes_[Index(to)].incarnation,
            PeerCalled{handle, VmId(NodeName(node)), body});
  });
}

void World::Perform(int node, const AnswerPeer& effect) {
  auto found = peer_waits_.find({node, effect.handle});
  if (found == peer_waits_.end()) return;
  PeerWait wait = found->second;
  peer_waits_.erase(found);
  if (IsCut(node, wait.from) || IsLost()) return;
  PeerReplyBody body = effect.body;
  At(Delay(), [this, wait, body] {
    if (open_calls_.erase({wait.incarnation, wait.call}) == 0) return;
    Deliver(wait.from, wait.incarnation,
            PeerReplied{wait.call, PeerCallError::kNone, body});
  });
}

void World::Perform(int node, const OpenConnection& effect) {
  uint64_t number = ++last_number_;
  Link link;
  link.node = node;
  link.incarnation = nodes_[Index(node)].incarnation;
  link.connection = effect.connection;
  link.group = std::stoi(effect.group.value().substr(1));
  link.upstream = effect.upstream;
  links_[number] = link;
  link_numbers_[{node, effect.connection}] = number;
  if (IsCut(link)) return;
  OpenMessage open{effect.upstream, effect.purpose, effect.term, effect.holder};
  At(Delay(), [this, number, open] {
    Link& opened = links_[number];
    if (opened.closed) return;
    ConnectionId id = opened.connection;
    groups_[Index(opened.group)]->Open(
        number, open, now_, [this, number, id](const UpstreamReply& reply) {
          DeliverFromUpstream(number, ConnectionOpened{id, reply});
        });
  });
}

void World::Perform(int node, const CloseConnection& effect) {
  auto found = link_numbers_.find({node, effect.connection});
  if (found == link_numbers_.end()) return;
  uint64_t number = found->second;
  link_numbers_.erase(found);
  Link& link = links_[number];
  link.closed = true;
  bool cut = IsCut(link);
  At(Delay(), [this, number, cut] {
    UpstreamGroupModel& model = *groups_[Index(links_[number].group)];
    if (cut) {
      model.SilenceConnection(number);
    } else {
      model.Close(number, now_);
    }
  });
}

void World::Perform(int node, const CallUpstream& effect) {
  auto found = link_numbers_.find({node, effect.connection});
  if (found == link_numbers_.end()) return;
  uint64_t number = found->second;
  if (IsCut(links_[number])) return;
  ConnectionId id = effect.connection;
  CallId call = effect.call;
  UpstreamCallBody body = effect.body;
  At(Delay(), [this, number, id, call, body] {
    groups_[Index(links_[number].group)]->Call(
        number, body, now_, [this, number, id, call](const UpstreamReply& r) {
          DeliverFromUpstream(number, UpstreamReplied{id, call, r});
        });
  });
}

void World::Perform(int node, const CallPlatform& effect) {
  uint64_t incarnation = nodes_[Index(node)].incarnation;
  CallId call = effect.call;
  open_calls_.insert({incarnation, call});
  At(effect.timeout, [this, node, incarnation, call] {
    if (open_calls_.erase({incarnation, call}) == 0) return;
    Deliver(node, incarnation, PlatformReplied{call, PlatformReply()});
  });
  if (cut_platform_.count(node) != 0) return;
  PlatformCallBody body = effect.body;
  At(Delay() + platform_.faults().slow, [this, node, incarnation, call, body] {
    std::optional<PlatformReply> reply = platform_.Call(body, now_);
    if (!reply || open_calls_.erase({incarnation, call}) == 0) return;
    Deliver(node, incarnation, PlatformReplied{call, *reply});
  });
}

void World::Perform(int node, const WriteLog& effect) {
  Note(NodeName(node) + " [" + effect.part + "] " + effect.text);
}

void World::Perform(int node, const Exit&) {
  uint64_t incarnation = nodes_[Index(node)].incarnation;
  At(Duration(), [this, node, incarnation] {
    if (nodes_[Index(node)].incarnation == incarnation) Crash(node, false);
  });
}

void World::OnModelClosed(uint64_t number) {
  auto found = links_.find(number);
  if (found == links_.end() || found->second.closed) return;
  ConnectionId id = found->second.connection;
  DeliverFromUpstream(number, ConnectionBroken{id});
}

void World::DeliverFromUpstream(uint64_t number, EventBody body) {
  At(Delay(), [this, number, body] {
    const Link& link = links_[number];
    if (link.closed || IsCut(link)) return;
    if (std::holds_alternative<ConnectionBroken>(body)) {
      link_numbers_.erase({link.node, link.connection});
    }
    Deliver(link.node, link.incarnation, body);
  });
}

}  // namespace fireflycart
