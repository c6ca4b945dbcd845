// The VMs that serve sessions, as one of them sees them: who is reachable, and
// who should own each group.
//
//   fleet.SetVms(records, &context);
//   VmId owner = fleet.OwnerOf(group);
//   fleet.OnCallFailed(owner, &context);
//
// Each VM judges by its own calls: a VM that holds calls unanswered is probed,
// and one that misses the probe is passed over until it answers again. Views
// may differ between VMs, which costs performance only.
//
// Each VM keeps in touch with few others, its contacts; see vm_ring.h.
//
// Cost: one probe per period to a contact, and one to each VM that is silent
// while calls to it are open, whatever the size of the fleet.

#ifndef FIREFLYCART_CORE_PROXY_FLEET_H_
#define FIREFLYCART_CORE_PROXY_FLEET_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "fireflycart/core/proxy/proxy_context.h"
#include "fireflycart/core/proxy/route.h"

namespace fireflycart::proxy {

// What a VM knows, told with every probe.
class KnowledgeSource {
 public:
  virtual ~KnowledgeSource() = default;
  virtual Heartbeat Knowledge() const = 0;
  // What a peer said of itself.
  virtual void OnPeerKnowledge(const VmId& vm, const Heartbeat& heartbeat) = 0;
};

class Fleet {
 public:
  // Period of the probe of one contact.
  static constexpr Duration kProbePeriod = Duration::Millis(400);
  // Longest wait for a probe: a round trip takes some milliseconds.
  static constexpr Duration kProbeTimeout = Duration::Millis(200);
  // A VM that answers nothing for so long while calls are open is probed.
  static constexpr Duration kSilentAfter = Duration::Millis(100);
  // Pause before a VM that failed is probed, first and later on.
  static constexpr Duration kFirstReprobe = Duration::Millis(100);
  static constexpr Duration kDownProbePeriod = Duration::Millis(400);
  // It doubles with each failure, so that many lost VMs cost little.
  static constexpr Duration kDownProbeMax = Duration::Millis(1600);
  static constexpr int kProbeDoublings = 2;
  // A VM that gets no answers from this one passes it over after kSilentAfter
  // and kProbeTimeout, so one that was heard within less still relies on it.
  static constexpr Duration kConfirmed = Duration::Millis(250);
  static constexpr Duration kConfirmPeriod = Duration::Millis(100);
  // VMs that follow the platform's store for all. Two may be cut off at once.
  static constexpr size_t kReaders = 3;
  // VMs that are told at once that this one began or ceased to hear the store:
  // those that follow next. Twice the readers, as some may be cut off, too.
  static constexpr size_t kNextReaders = 2 * kReaders;

  Fleet(VmRecord self, KnowledgeSource* knowledge);

  // Takes in the registry; VMs that are not in it are dropped.
  void SetVms(const VmList& list, ProxyContext* context);
  void SetGroups(const std::vector<GroupId>& groups);

  // The VM that should own the group, this one if nobody else can.
  VmId OwnerOf(const GroupId& group) const;
  std::string AddressOf(const VmId& vm) const;
  bool IsUsable(const VmId& vm) const;
  std::vector<VmRecord> Records() const;
  // True if this VM is to follow the store: one of the first kReaders that hear
  // it, and of as many more as are known not to hear it, up to twice as many.
  bool IsReader() const;
  // Tells those that would follow the store next of this VM's own hearing.
  void TellReaders(ProxyContext* context);
  // Tells the contacts that this one knows more than before.
  void Spread(ProxyContext* context);
  // Probes the contacts that were not heard just now.
  void ConfirmContacts(ProxyContext* context);
  // True if all contacts were heard within kConfirmed and no VM is lost.
  bool IsConfirmed(TimePoint now) const;
  // Grows with every change of owners.
  uint64_t version() const { return version_; }
  size_t size() const { return vms_.size(); }
  size_t down_count() const;

  void Leave();

  void OnCallSent(const VmId& vm, ProxyContext* context);
  void OnCallAnswered(const VmId& vm, ProxyContext* context);
  // The call was certainly not sent, or its answer was lost.
  void OnCallFailed(const VmId& vm, ProxyContext* context);
  void OnLeaving(const VmId& vm, ProxyContext* context);
  // The VM itself called.
  void OnHeard(const VmId& vm, const Heartbeat& heartbeat,
               ProxyContext* context);

  // Handles the reply to a probe; false if the call is not one.
  bool OnReply(const PeerReplied& reply, ProxyContext* context);
  void OnWake(ProxyContext* context);

 private:
  struct Vm {
    VmRecord record;
    bool is_down = false;
    bool is_leaving = false;
    bool hears_store = true;
    int open_calls = 0;
    TimePoint waits_since;  // Since when calls are open without an answer.
    TimePoint last_heard;   // When it last answered.
    bool is_probed = false;
    TimePoint next_probe;
    int failed_probes = 0;  // In a row, up to kProbeDoublings.
  };

  bool Watch(Vm* vm, ProxyContext* context);
  void Probe(Vm* vm, ProxyContext* context);
  void Tell(const VmRecord& record, ProxyContext* context);
  void SetDown(Vm* vm, bool is_down, const char* cause, ProxyContext* context);
  void AddVm(const VmRecord& record, ProxyContext* context);
  void Recompute();

  VmRecord self_;
  KnowledgeSource* knowledge_;
  bool is_leaving_ = false;
  std::map<VmId, Vm> vms_;  // Without this one.
  std::set<VmId> watched_;  // Down, or with calls open.
  std::vector<VmId> contacts_;
  std::map<CallId, VmId> probes_;
  std::vector<GroupId> groups_;
  std::map<GroupId, VmId> owners_;
  uint64_t version_ = 1;
  TimePoint next_probe_;
};

}  // namespace fireflycart::proxy

#endif  // FIREFLYCART_CORE_PROXY_FLEET_H_
