// Tests of the contacts of a VM.

#include "fireflycart/core/proxy/vm_ring.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace fireflycart::proxy {
namespace {

std::vector<VmRecord> Vms(int count) {
  std::vector<VmRecord> vms(static_cast<size_t>(count));
  for (int i = 0; i < count; i++) {
    vms[static_cast<size_t>(i)].vm = VmId("vm-" + std::to_string(i));
  }
  return vms;
}

class VmRingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(VmRingTest);
  CPPUNIT_TEST(Contacts_ManyVms_FewAndAllAreReached);
  CPPUNIT_TEST(Contacts_OneVm_None);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Contacts_ManyVms_FewAndAllAreReached() {
    std::vector<VmRecord> vms = Vms(300);
    std::set<VmId> reached = {vms[0].vm};
    std::vector<VmId> notified = {vms[0].vm};
    for (int step = 0; step < 9; step++) {
      std::vector<VmId> next;
      for (const VmId& vm : notified) {
        std::vector<VmId> contacts = ContactsOf(vm, vms);
        CPPUNIT_ASSERT_EQUAL(size_t{9}, contacts.size());
        for (const VmId& contact : contacts) {
          if (reached.insert(contact).second) next.push_back(contact);
        }
      }
      notified = next;
    }
    CPPUNIT_ASSERT_EQUAL(vms.size(), reached.size());
  }

  void Contacts_OneVm_None() {
    std::vector<VmRecord> vms = Vms(1);
    CPPUNIT_ASSERT(ContactsOf(vms[0].vm, vms).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(VmRingTest);

}  // namespace
}  // namespace fireflycart::proxy
