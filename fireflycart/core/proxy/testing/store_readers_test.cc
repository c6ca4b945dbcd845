// Tests of which VMs follow the store and which watch those that do.

#include "fireflycart/core/proxy/store_readers.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <string>

namespace fireflycart::proxy {
namespace {

constexpr int kVms = 40;

class StoreReadersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreReadersTest);
  CPPUNIT_TEST(AllReachStore_FewReadAndEachReaderIsWatchedTwice);
  CPPUNIT_TEST(SomeDoNotReachStore_OneMoreReadsForEachUpToTheLimit);
  CPPUNIT_TEST(NoOtherVm_ReadsAndWatchesNone);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AllReachStore_FewReadAndEachReaderIsWatchedTwice() {
    std::map<VmId, bool> is_reader;
    std::map<VmId, int> watchers;
    for (int i = 0; i < kVms; i++) {
      StoreReaders readers = ChooseStoreReaders(Vm(i), Others(i), 0);
      is_reader[Vm(i)] = readers.has_self;
      if (readers.watched == VmId()) continue;
      CPPUNIT_ASSERT(!readers.has_self);
      watchers[readers.watched]++;
    }
    size_t count = 0;
    for (const auto& item : is_reader) {
      if (!item.second) continue;
      count++;
      CPPUNIT_ASSERT_EQUAL(2, watchers[item.first]);
    }
    CPPUNIT_ASSERT_EQUAL(kStoreReaders, count);
    CPPUNIT_ASSERT_EQUAL(kStoreReaders, watchers.size());
  }

  void SomeDoNotReachStore_OneMoreReadsForEachUpToTheLimit() {
    for (size_t without_store : {0U, 1U, 2U, 3U, 10U}) {
      size_t count = 0;
      for (int i = 0; i < kVms; i++) {
        if (ChooseStoreReaders(Vm(i), Others(i), without_store).has_self) {
          count++;
        }
      }
      CPPUNIT_ASSERT_EQUAL(
          std::min(kStoreReaders + without_store, kMaxStoreReaders), count);
    }
  }

  void NoOtherVm_ReadsAndWatchesNone() {
    StoreReaders readers = ChooseStoreReaders(Vm(0), {}, 0);
    CPPUNIT_ASSERT(readers.has_self);
    CPPUNIT_ASSERT(readers.before.empty());
    CPPUNIT_ASSERT(readers.watched == VmId());
  }

 private:
  static VmId Vm(int i) { return VmId("vm-" + std::to_string(i)); }

  static std::vector<VmId> Others(int self) {
    std::vector<VmId> vms;
    for (int i = 0; i < kVms; i++) {
      if (i != self) vms.push_back(Vm(i));
    }
    return vms;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreReadersTest);

}  // namespace
}  // namespace fireflycart::proxy
