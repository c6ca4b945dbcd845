// Tests of the placement of groups on VMs.

#include "fireflycart/core/proxy/group_placement.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace fireflycart::proxy {
namespace {

std::vector<VmRecord> Vms(int count, int cpu_permille) {
  std::vector<VmRecord> vms;
  vms.reserve(static_cast<size_t>(count));
  for (int i = 0; i < count; i++) {
    VmRecord vm;
    vm.vm = VmId("vm-" + std::to_string(i));
    vm.cpu_permille = cpu_permille;
    vms.push_back(vm);
  }
  return vms;
}

std::vector<GroupId> Groups(int count) {
  std::vector<GroupId> groups;
  groups.reserve(static_cast<size_t>(count));
  for (int i = 0; i < count; i++) {
    groups.emplace_back("group-" + std::to_string(i));
  }
  return groups;
}

class GroupPlacementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GroupPlacementTest);
  CPPUNIT_TEST(Place_FewGroupsOnManyVms_NoVmHasTwo);
  CPPUNIT_TEST(Place_StrongVms_OwnMore);
  CPPUNIT_TEST(Place_FewGroups_WeakVmsOwnNone);
  CPPUNIT_TEST(Place_StrongVmsLost_WeakOnesOwn);
  CPPUNIT_TEST(Place_VmLeaves_FewGroupsMove);
  CPPUNIT_TEST(Place_NoVm_NoOwner);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Place_FewGroupsOnManyVms_NoVmHasTwo() {
    std::map<VmId, int> load;
    for (const auto& item : PlaceGroups(Groups(3), Vms(7, 250))) {
      load[item.second]++;
    }
    CPPUNIT_ASSERT_EQUAL(size_t{3}, load.size());
  }

  void Place_StrongVms_OwnMore() {
    std::vector<VmRecord> vms = Vms(40, 120);
    for (int i = 0; i < 8; i++) vms[static_cast<size_t>(i)].cpu_permille = 500;
    int strong = 0;
    std::map<GroupId, VmId> owners = PlaceGroups(Groups(400), vms);
    for (const auto& item : owners) {
      for (int i = 0; i < 8; i++) {
        if (item.second == vms[static_cast<size_t>(i)].vm) strong++;
      }
    }
    // Their share of the processors is 4,000 of 7,840.
    CPPUNIT_ASSERT(strong > 160 && strong < 250);
  }

  void Place_FewGroups_WeakVmsOwnNone() {
    std::vector<VmRecord> vms = Vms(89, 120);
    std::set<VmId> strong;
    for (int i = 0; i < 8; i++) {
      vms[static_cast<size_t>(i)].cpu_permille = 500;
      strong.insert(vms[static_cast<size_t>(i)].vm);
    }
    std::set<VmId> used;
    for (const auto& item : PlaceGroups(Groups(8), vms)) {
      CPPUNIT_ASSERT(strong.count(item.second) != 0);
      used.insert(item.second);
    }
    CPPUNIT_ASSERT_EQUAL(size_t{8}, used.size());
  }

  void Place_StrongVmsLost_WeakOnesOwn() {
    std::map<GroupId, VmId> owners = PlaceGroups(Groups(8), Vms(80, 120));
    std::set<VmId> used;
    for (const auto& item : owners) used.insert(item.second);
    CPPUNIT_ASSERT_EQUAL(size_t{8}, used.size());
  }

  void Place_VmLeaves_FewGroupsMove() {
    std::vector<VmRecord> vms = Vms(30, 250);
    std::map<GroupId, VmId> before = PlaceGroups(Groups(300), vms);
    VmId gone = vms.back().vm;
    vms.pop_back();
    int moved = 0;
    for (const auto& item : PlaceGroups(Groups(300), vms)) {
      bool owner_left = before[item.first] == gone;
      if (!owner_left && before[item.first] != item.second) moved++;
    }
    CPPUNIT_ASSERT(moved < 90);
  }

  void Place_NoVm_NoOwner() {
    CPPUNIT_ASSERT(PlaceGroups(Groups(3), {}).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GroupPlacementTest);

}  // namespace
}  // namespace fireflycart::proxy
