// The VMs and callers of a SessionWorld. Internal to its implementation files.

#ifndef FIREFLYCART_STANDINS_TESTING_SESSION_WORLD_PARTS_H_
#define FIREFLYCART_STANDINS_TESTING_SESSION_WORLD_PARTS_H_

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fireflycart/standins/testing/session_world.h"

namespace fireflycart::standins {

constexpr char kCallersKey[] = "key-of-all-callers";

struct SessionWorld::Vm {
  VmId id;
  std::string name;
  uint64_t incarnation = 0;
  std::unique_ptr<proxy::ProxyReducer> reducer;
  TimePoint frozen_until;
  // Events that arrived while the VM was frozen.
  std::deque<proxy::ProxyEventBody> deferred_events;
  bool has_exited = false;
  bool is_listening = true;
  std::map<uint64_t, Caller*> sessions;
  std::set<uint64_t> unanswered;  // Sessions with a statement that it has read.
  std::set<uint64_t> closing;     // Sessions whose callers it asked to leave.
  uint64_t last_session = 0;
};

struct SessionWorld::Caller {
  int index = 0;
  proxy::ReadConsistency consistency = proxy::ReadConsistency::kStrong;
  Vm* vm = nullptr;
  uint64_t incarnation = 0;
  proxy::SessionNumber session;
  bool is_greeted = false;
  TimePoint next_action;
  std::deque<proxy::CallerStatement> pending_statements;
  bool is_waiting = false;
  // A commit, or a write outside a transaction, was sent.
  bool sent_effect = false;
  std::vector<std::string> texts;  // Texts of the operation's writes.
  TimePoint started;
  TimePoint connected;
  std::map<std::string, std::string> acknowledged_values;
  proxy::PreparedShape prepared;  // Under the only name it uses.
  bool in_transaction = false;    // BEGIN was sent in this operation.
  uint64_t transaction = 0;       // Number of the last transaction.
  int sent_in_transaction = 0;    // Statements that run in it.
};

}  // namespace fireflycart::standins

#endif  // FIREFLYCART_STANDINS_TESTING_SESSION_WORLD_PARTS_H_
