// The VMs and callers of a SessionWorld, for its own files.

#ifndef FIREFLYCART_STANDINS_TESTING_SESSION_WORLD_PARTS_H_
#define FIREFLYCART_STANDINS_TESTING_SESSION_WORLD_PARTS_H_

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fireflycart/standins/testing/session_world.h"

namespace fireflycart::standins {

struct SessionWorld::Vm {
  VmId id;
  std::string name;
  uint64_t incarnation = 0;
  std::unique_ptr<proxy::ProxyReducer> reducer;
  TimePoint frozen_until;
  std::deque<proxy::ProxyEventBody> held;  // Arrived while it was frozen.
  bool has_exited = false;
  bool is_listening = true;
  std::map<uint64_t, Caller*> sessions;
  uint64_t last_session = 0;
};

struct SessionWorld::Caller {
  int index = 0;
  proxy::ReadConsistency rule = proxy::ReadConsistency::kStrong;
  Vm* vm = nullptr;
  uint64_t incarnation = 0;
  proxy::SessionNumber session;
  bool is_greeted = false;
  TimePoint next;                                 // When it acts next.
  std::deque<proxy::CallerStatement> statements;  // Left of the operation.
  bool is_waiting = false;
  bool sent_effect = false;  // A write's single statement or a commit was sent.
  std::vector<std::string> texts;  // Writes of the operation.
  TimePoint started;
  TimePoint connected;
  std::map<std::string, std::string> acknowledged_values;
};

}  // namespace fireflycart::standins

#endif  // FIREFLYCART_STANDINS_TESTING_SESSION_WORLD_PARTS_H_
