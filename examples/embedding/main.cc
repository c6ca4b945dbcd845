// Embeds the decision library in a program of its own: hands events to the
// reducer and prints the effects that it asks for.

#include <iostream>
#include <string>
#include <type_traits>
#include <variant>

#include "fireflycart/core/reducer.h"

namespace {

using fireflycart::CallPeer;
using fireflycart::CallPlatform;
using fireflycart::Effect;
using fireflycart::Effects;
using fireflycart::Event;
using fireflycart::TimePoint;
using fireflycart::WriteLog;

// Prints what an embedder would have to carry out.
struct Printer {
  void operator()(const CallPlatform& call) const {
    std::cout << "call the platform, type " << call.body.index() << "\n";
  }
  void operator()(const CallPeer& call) const {
    std::cout << "call peer " << call.to << "\n";
  }
  void operator()(const WriteLog& log) const {
    std::cout << "log [" << log.part << "] " << log.text << "\n";
  }
  template <typename Other>
  void operator()(const Other&) const {
    std::cout << "another effect\n";
  }
};

}  // namespace

int main() {
  fireflycart::NodeIdentity identity;
  identity.vm = fireflycart::VmId("example-1");
  identity.address = "127.0.0.1:7100";
  identity.data_centre = fireflycart::DataCentreId("here");
  fireflycart::Reducer reducer(identity, fireflycart::Options(), 1);
  TimePoint start = TimePoint::FromMillis(1000);
  Effects effects = reducer.Reduce(Event{start, fireflycart::Tick{}});
  for (const Effect& effect : effects) std::visit(Printer(), effect);
  std::cout << "ready: " << (reducer.ready() ? "yes" : "no, ")
            << reducer.NotReadyReason() << "\n";
  // A fresh node asks the platform for an ordinal and the configuration.
  return effects.empty() ? 1 : 0;
}
