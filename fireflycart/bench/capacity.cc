// Slopes for the capacity page: one reducer is told of a fleet of a given size
// and its memory, processor time and gossip bytes are measured.

#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "fireflycart/bench/experiments.h"
#include "fireflycart/core/outcome_cache.h"
#include "fireflycart/core/reducer.h"
#include "fireflycart/core/session_positions.h"
#include "fireflycart/net/peer_codec.h"

namespace fireflycart {
namespace {

using Json = nlohmann::json;

constexpr int kDataCentres = 26;

int64_t AllocatedBytes() {
  struct mallinfo2 info = mallinfo2();
  return static_cast<int64_t>(info.uordblks + info.hblkhd);
}

double CpuSeconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

std::string CentreName(int index) {
  return "dc-" + std::to_string(index % kDataCentres);
}

std::string DocumentWithGroups(int groups) {
  Json list = Json::array();
  for (int g = 0; g < groups; g++) {
    Json upstreams = Json::array();
    for (int u = 0; u < 3; u++) {
      upstreams.push_back(
          {{"name", "g" + std::to_string(g) + "-" + std::to_string(u)},
           {"address", "10.0.0.1:7000"},
           {"data_centre", CentreName(g + u)},
           {"slots", 5},
           {"connections", 55}});
    }
    list.push_back(
        {{"name", "group-" + std::to_string(g)}, {"upstreams", upstreams}});
  }
  return Json({{"ranks", {{{"name", "urgent"}, {"target_ms", 250}}}},
               {"kinds",
                {{{"name", "closure"},
                  {"rank", "urgent"},
                  {"deadline_ms", 2000}}}},
               {"groups", list}})
      .dump();
}

MemberUpdate Member(int index) {
  return MemberUpdate{VmId("vm-" + std::to_string(index)),
                      "10.0." + std::to_string(index / 250) + "." +
                          std::to_string(index % 250) + ":7100",
                      DataCentreId(CentreName(index)), 1700000000000,
                      MemberState::kAlive};
}

struct Sample {
  int64_t bytes = 0;
  double cpu_share = 0;         // Of a core, while idle.
  double bytes_per_second = 0;  // Gossip that it sends and is answered.
};

// Runs one reducer for a while with a fleet that answers every ping at once.
Sample MeasureNode(int members, int groups, uint64_t seed) {
  int64_t before = AllocatedBytes();
  NodeIdentity identity;
  identity.vm = VmId("vm-0");
  identity.address = "10.0.0.0:7100";
  identity.data_centre = DataCentreId(CentreName(0));
  auto reducer = std::make_unique<Reducer>(identity, Options(), seed);
  TimePoint now = TimePoint::FromMillis(1000);
  Gossip hello;
  hello.sender = VmId("vm-1");
  for (int i = 1; i < members; i++) hello.members.push_back(Member(i));
  hello.config_version = ConfigVersion(1);
  uint64_t handle = 1;
  std::string document =
      ParseConfiguration(DocumentWithGroups(groups)).canonical;
  auto perform = [&](const Effects& effects, std::vector<EventBody>* answers,
                     int64_t* sent) {
    for (const Effect& effect : effects) {
      const auto* call = std::get_if<CallPeer>(&effect);
      if (call == nullptr) continue;
      if (sent != nullptr) {
        *sent += static_cast<int64_t>(EncodePeerCall(call->body).size());
      }
      if (std::holds_alternative<PingCall>(call->body)) {
        Gossip gossip;
        gossip.sender = call->to;
        gossip.config_version = ConfigVersion(1);
        gossip.members.push_back(Member(1));
        answers->push_back(
            PeerReplied{call->call, PeerCallError::kNone, PingReply{gossip}});
      } else if (std::holds_alternative<ConfigFetchCall>(call->body)) {
        ConfigFetchReply reply;
        reply.version = ConfigVersion(1);
        reply.digest = ConfigurationDigest(document);
        reply.document = document;
        answers->push_back(
            PeerReplied{call->call, PeerCallError::kNone, reply});
      }
    }
  };
  auto step = [&](const EventBody& body, int64_t* sent) {
    std::vector<EventBody> pending{body};
    while (!pending.empty()) {
      EventBody next = pending.back();
      pending.pop_back();
      perform(reducer->Reduce(Event{now, next}), &pending, sent);
    }
  };
  step(PeerCalled{HandleId(handle++), VmId("vm-1"), PingCall{hello}}, nullptr);
  constexpr int kTicksPerSecond = 100;
  for (int i = 0; i < 3 * kTicksPerSecond; i++) {
    now = now + kTickPeriod;
    step(Tick{}, nullptr);
  }
  Sample sample;
  sample.bytes = AllocatedBytes() - before;
  constexpr int kSeconds = 10;
  int64_t sent = 0;
  double cpu = CpuSeconds();
  for (int i = 0; i < kSeconds * kTicksPerSecond; i++) {
    now = now + kTickPeriod;
    step(Tick{}, &sent);
  }
  sample.cpu_share = (CpuSeconds() - cpu) / kSeconds;
  sample.bytes_per_second = static_cast<double>(sent) / kSeconds;
  return sample;
}

// Processor time to put a change of one value into force.
void MeasureInstall() {
  std::printf("%-34s %12s %12s %12s\n", "change of configuration, groups",
              "bytes", "parse ms", "diff ms");
  for (int groups : {100, 700, 2800}) {
    std::string before =
        ParseConfiguration(DocumentWithGroups(groups)).canonical;
    Json changed = Json::parse(before);
    changed["groups"][0]["queue_limit"] = 7;
    double start = CpuSeconds();
    std::string after = ParseConfiguration(changed.dump()).canonical;
    double parsed = CpuSeconds();
    ConfigurationDifference(before, after);
    double compared = CpuSeconds();
    std::printf("%-34d %12zu %12.1f %12.1f\n", groups, after.size(),
                (parsed - start) * 1000, (compared - parsed) * 1000);
  }
}

void MeasureSessions() {
  std::printf("%-34s %12s %14s\n", "sessions of one group", "bytes",
              "bytes each");
  for (int count : {1000, 10000, 100000}) {
    int64_t before = AllocatedBytes();
    SessionPositions sessions(1000000);
    for (int i = 0; i < count; i++) {
      sessions.Record(SessionId("session-name-" + std::to_string(i)),
                      Position(static_cast<uint64_t>(i) + 1));
    }
    int64_t bytes = AllocatedBytes() - before;
    std::printf("%-34d %12ld %14.1f\n", count, bytes,
                static_cast<double>(bytes) / count);
  }
  std::printf("%-34s %12s %14s\n", "finished writes remembered", "bytes",
              "bytes each");
  for (int count : {1000, 10000, 100000}) {
    int64_t before = AllocatedBytes();
    OutcomeCache outcomes(1000000);
    Answer answer;
    answer.outcome = Outcome::kDone;
    for (int i = 0; i < count; i++) {
      RequestKey key("caller/request-" + std::to_string(i));
      outcomes.Start(key);
      outcomes.Finish(key, answer);
    }
    int64_t bytes = AllocatedBytes() - before;
    std::printf("%-34d %12ld %14.1f\n", count, bytes,
                static_cast<double>(bytes) / count);
  }
}

}  // namespace

bool MeasureCapacity(const ExperimentOptions& options) {
  std::printf("%8s %8s %14s %14s %16s\n", "members", "groups", "memory kB",
              "core %", "gossip bytes/s");
  const int sizes[][2] = {{8, 3},      {200, 100},  {500, 100},
                          {1500, 100}, {1500, 700}, {1500, 2800}};
  for (const auto& size : sizes) {
    Sample sample = MeasureNode(size[0], size[1], options.seed);
    std::printf("%8d %8d %14.1f %14.2f %16.0f\n", size[0], size[1],
                static_cast<double>(sample.bytes) / 1024,
                sample.cpu_share * 100, sample.bytes_per_second);
  }
  MeasureSessions();
  MeasureInstall();
  return true;
}

}  // namespace fireflycart
