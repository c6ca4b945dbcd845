// Tests of which VMs may own groups, from what their heartbeats and replies
// show.

#include "fireflycart/core/proxy/fleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "fireflycart/core/proxy/vm_ring.h"

namespace fireflycart::proxy {
namespace {

const VmId kSelf("vm-0");
constexpr int kVms = 12;

class NoHeartbeats : public HeartbeatHandler {
 public:
  Heartbeat MakeHeartbeat() const override { return Heartbeat(); }
  void OnProbeAnswered(const Heartbeat& heartbeat, TimePoint sent) override {
    (void)heartbeat;
    (void)sent;
  }
  void OnPeerHeartbeat(const VmId& vm, const Heartbeat& heartbeat) override {
    (void)vm;
    (void)heartbeat;
  }
};

class FleetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetTest);
  CPPUNIT_TEST(Peer_SendsNoTables_OwnsNothingAndIsNotDown);
  CPPUNIT_TEST(Peer_LacksTablesAndIsSilent_IsAskedUntilItHasThem);
  CPPUNIT_TEST(Vm_KnowsNoOtherVm_FollowsTheStore);
  CPPUNIT_TEST(ReaderOf_TwoDataCentres_NearbyVmUnlessOwnerIsNearby);
  CPPUNIT_TEST(ReaderOf_OneDataCentre_None);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    Advance(Duration::Millis(1000));
    VmRecord self;
    self.vm = kSelf;
    self.cpu_permille = 250;
    fleet_ = std::make_unique<Fleet>(self, &handler_);
    VmList list;
    list.version.number = 1;
    list.records[kSelf] = self;
    std::vector<VmRecord> records = {self};
    for (int i = 1; i < kVms; i++) {
      VmRecord peer = self;
      peer.vm = VmId("vm-" + std::to_string(i));
      peer.incarnation = 1;
      list.records[peer.vm] = peer;
      records.push_back(peer);
    }
    fleet_->SetVms(list, &context_);
    // Contacts are probed anyway.
    std::vector<VmId> contacts = ContactsOf(kSelf, records);
    for (const VmRecord& record : records) {
      bool is_contact =
          std::count(contacts.begin(), contacts.end(), record.vm) != 0;
      if (record.vm != kSelf && !is_contact) peer_ = record.vm;
    }
    for (int i = 0; i < 60; i++) {
      groups_.emplace_back("group-" + std::to_string(i));
    }
    fleet_->SetGroups(groups_);
  }

  void Peer_SendsNoTables_OwnsNothingAndIsNotDown() {
    CPPUNIT_ASSERT(PeerOwnsSome());
    fleet_->OnHeartbeat(peer_, Heartbeat(), &context_);
    CPPUNIT_ASSERT(!PeerOwnsSome());
    CPPUNIT_ASSERT(fleet_->IsUsable(peer_));
  }

  void ReaderOf_TwoDataCentres_NearbyVmUnlessOwnerIsNearby() {
    SetDataCentres(2);
    int readers = 0;
    for (const GroupId& group : groups_) {
      VmId reader = fleet_->ReaderOf(group);
      bool is_owner_nearby =
          fleet_->DataCentreOf(fleet_->OwnerOf(group)) == DataCentreId("dc-0");
      CPPUNIT_ASSERT_EQUAL(is_owner_nearby, reader == VmId());
      if (reader == VmId()) continue;
      readers++;
      CPPUNIT_ASSERT(fleet_->DataCentreOf(reader) == DataCentreId("dc-0"));
    }
    CPPUNIT_ASSERT(readers > 0);
  }

  void ReaderOf_OneDataCentre_None() {
    SetDataCentres(1);
    for (const GroupId& group : groups_) {
      CPPUNIT_ASSERT_EQUAL(VmId(), fleet_->ReaderOf(group));
    }
    CPPUNIT_ASSERT(fleet_->data_centres().empty());
  }

  // Else this VM would keep the peer's groups for itself while the others send
  // their statements to the peer.
  void Peer_LacksTablesAndIsSilent_IsAskedUntilItHasThem() {
    fleet_->OnHeartbeat(peer_, Heartbeat(), &context_);
    AnswerProbes(Heartbeat());
    CPPUNIT_ASSERT(!PeerOwnsSome());
    Heartbeat with_tables;
    with_tables.known.routes = 3;
    with_tables.known.upstreams.number = 3;
    AnswerProbes(with_tables);
    CPPUNIT_ASSERT(PeerOwnsSome());
  }

  void Vm_KnowsNoOtherVm_FollowsTheStore() {
    VmRecord self;
    self.vm = kSelf;
    Fleet fleet(self, &handler_);
    CPPUNIT_ASSERT(fleet.store_readers().has_self);
  }

 private:
  // VM i is in number i % count.
  void SetDataCentres(int count) {
    VmList list;
    list.version.number = 2;
    for (int i = 0; i < kVms; i++) {
      VmRecord vm;
      vm.vm = VmId("vm-" + std::to_string(i));
      vm.data_centre = DataCentreId("dc-" + std::to_string(i % count));
      vm.cpu_permille = 250;
      vm.incarnation = 2;
      list.records[vm.vm] = vm;
    }
    fleet_ = std::make_unique<Fleet>(list.records[kSelf], &handler_);
    fleet_->SetVms(list, &context_);
    fleet_->SetGroups(groups_);
  }

  void Advance(Duration time) {
    now_ = now_ + time;
    context_.Begin(now_, &effects_);
  }

  // Answers the probes of the next second; there must be one.
  void AnswerProbes(const Heartbeat& heartbeat) {
    int answered = 0;
    for (int i = 0; i < 10; i++) {
      Advance(Duration::Millis(100));
      effects_.clear();
      fleet_->OnWake(&context_);
      ProxyEffects sent = effects_;
      for (const ProxyEffect& effect : sent) {
        const auto* call = std::get_if<CallPeer>(&effect);
        if (call == nullptr || call->to != peer_) continue;
        answered++;
        fleet_->OnReply(PeerReplied{call->call, PeerCallError::kNone,
                                    HeartbeatReply{heartbeat}},
                        &context_);
      }
    }
    CPPUNIT_ASSERT(answered > 0);
  }

  bool PeerOwnsSome() const {
    for (const GroupId& group : groups_) {
      if (fleet_->OwnerOf(group) == peer_) return true;
    }
    return false;
  }

  ProxyContext context_{kSelf, 1, 1};
  ProxyEffects effects_;
  TimePoint now_;
  NoHeartbeats handler_;
  VmId peer_;  // No contact of this VM.
  std::vector<GroupId> groups_;
  std::unique_ptr<Fleet> fleet_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetTest);

}  // namespace
}  // namespace fireflycart::proxy
