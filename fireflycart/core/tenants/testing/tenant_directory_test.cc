// Tests of the directory of tenants and of the digests of keys.

#include "fireflycart/core/tenants/tenant_directory.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace fireflycart {
namespace {

constexpr char kKey[] = "rbn4ryrbbkf83fgfwrz5";

class TenantDirectoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TenantDirectoryTest);
  CPPUNIT_TEST(Digest_OfEmptyText_DiffersFromNoKey);
  CPPUNIT_TEST(Digest_ToHexAndBack_Equal);
  CPPUNIT_TEST(Digest_FromOtherText_Refused);
  CPPUNIT_TEST(Directory_KeyOfTenant_FindsTenant);
  CPPUNIT_TEST(Directory_NoKey_FindsNone);
  CPPUNIT_TEST(Directory_NameTwice_RefusedNamingTenant);
  CPPUNIT_TEST(Directory_KeyOfTwo_RefusedNamingBothAndNoKey);
  CPPUNIT_TEST(Directory_TooManyTenants_Refused);
  CPPUNIT_TEST(Directory_TooManyKeys_Refused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Digest_OfEmptyText_DiffersFromNoKey() {
    CPPUNIT_ASSERT(KeyDigest().is_empty());
    CPPUNIT_ASSERT(!KeyDigest::Of("").is_empty());
    CPPUNIT_ASSERT(KeyDigest::Of("") != KeyDigest());
  }

  void Digest_ToHexAndBack_Equal() {
    KeyDigest digest = KeyDigest::Of(kKey);
    KeyDigest decoded;
    CPPUNIT_ASSERT(KeyDigest::FromHex(digest.ToHex(), &decoded));
    CPPUNIT_ASSERT(decoded == digest);
    CPPUNIT_ASSERT(decoded != KeyDigest::Of("another"));
    CPPUNIT_ASSERT(digest.ToHex().find(kKey) == std::string::npos);
  }

  void Digest_FromOtherText_Refused() {
    std::string hex = KeyDigest::Of(kKey).ToHex();
    for (const std::string& text :
         {std::string(), hex.substr(2), hex.substr(1), hex + "00",
          "zz" + hex.substr(2), std::string(hex.size(), ' ')}) {
      KeyDigest decoded;
      CPPUNIT_ASSERT_MESSAGE(text, !KeyDigest::FromHex(text, &decoded));
      CPPUNIT_ASSERT_MESSAGE(text, decoded.is_empty());
    }
  }

  void Directory_KeyOfTenant_FindsTenant() {
    Add("acme", {kKey, "second"});
    Add("other", {"third"});
    const TenantSpec* found = directory_.FindByKey(KeyDigest::Of("second"));
    CPPUNIT_ASSERT(found != nullptr);
    CPPUNIT_ASSERT_EQUAL(TenantId("acme"), found->id);
    CPPUNIT_ASSERT(directory_.FindByKey(KeyDigest::Of("fourth")) == nullptr);
  }

  void Directory_NoKey_FindsNone() {
    Add("acme", {""});
    CPPUNIT_ASSERT(directory_.FindByKey(KeyDigest()) == nullptr);
  }

  void Directory_NameTwice_RefusedNamingTenant() {
    Add("acme", {kKey});
    std::string problem = AddProblem("acme", {"second"});
    CPPUNIT_ASSERT_MESSAGE(problem, problem.find("acme") != std::string::npos);
    CPPUNIT_ASSERT(directory_.FindByKey(KeyDigest::Of("second")) == nullptr);
  }

  void Directory_KeyOfTwo_RefusedNamingBothAndNoKey() {
    Add("acme", {kKey});
    std::string problem = AddProblem("other", {"second", kKey});
    CPPUNIT_ASSERT_MESSAGE(problem, problem.find("acme") != std::string::npos);
    CPPUNIT_ASSERT_MESSAGE(problem, problem.find("other") != std::string::npos);
    CPPUNIT_ASSERT_MESSAGE(problem, problem.find(kKey) == std::string::npos);
    CPPUNIT_ASSERT(directory_.Find(TenantId("other")) == nullptr);
    CPPUNIT_ASSERT(directory_.FindByKey(KeyDigest::Of("second")) == nullptr);
  }

  void Directory_TooManyTenants_Refused() {
    for (size_t i = 0; i < TenantDirectory::kMaxTenants; i++) {
      Add("t" + std::to_string(i), {});
    }
    std::string problem = AddProblem("one-more", {});
    CPPUNIT_ASSERT_MESSAGE(problem, problem.find("10000") != std::string::npos);
  }

  void Directory_TooManyKeys_Refused() {
    std::vector<std::string> keys;
    for (size_t i = 0; i < TenantDirectory::kMaxKeys; i++) {
      keys.push_back("k" + std::to_string(i));
    }
    Add("acme", keys);
    std::string problem = AddProblem("other", {"one-more"});
    CPPUNIT_ASSERT_MESSAGE(problem,
                           problem.find("100000") != std::string::npos);
  }

 private:
  bool TryAdd(const std::string& name, const std::vector<std::string>& keys,
              std::string* problem) {
    TenantSpec spec;
    spec.id = TenantId(name);
    std::vector<KeyDigest> digests;
    digests.reserve(keys.size());
    for (const std::string& key : keys) digests.push_back(KeyDigest::Of(key));
    return directory_.Add(spec, digests, problem);
  }
  void Add(const std::string& name, const std::vector<std::string>& keys) {
    std::string problem;
    CPPUNIT_ASSERT_MESSAGE(problem, TryAdd(name, keys, &problem));
  }
  std::string AddProblem(const std::string& name,
                         const std::vector<std::string>& keys) {
    std::string problem;
    CPPUNIT_ASSERT(!TryAdd(name, keys, &problem));
    return problem;
  }

  TenantDirectory directory_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TenantDirectoryTest);

}  // namespace
}  // namespace fireflycart
