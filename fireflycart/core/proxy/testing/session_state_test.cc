// Tests of what a session keeps by name, and of what is charged for it.

#include "fireflycart/core/proxy/session_state.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace fireflycart::proxy {
namespace {

constexpr size_t kLimit = size_t{1} << 20;
constexpr size_t kSessions = 1;
const std::string kTooLarge(size_t{4} << 20, 'x');

class SessionStateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SessionStateTest);
  CPPUNIT_TEST(Value_Refused_IsUnknownUntilSet);
  CPPUNIT_TEST(Value_RefusedWithoutName_StaysUnknown);
  CPPUNIT_TEST(Value_RefusedNameTooLarge_StaysUnknown);
  CPPUNIT_TEST(Prepared_Refused_IsRefusedUntilPrepared);
  CPPUNIT_TEST(Prepared_RefusedWithoutName_AllAreRefused);
  CPPUNIT_TEST(Prepared_ForgottenAfterRefusal_IsUnknown);
  CPPUNIT_TEST(Charges_AnyChanges_AreThoseOfWhatIsKept);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Value_Refused_IsUnknownUntilSet() {
    CPPUNIT_ASSERT(Set("a", "1"));
    CPPUNIT_ASSERT(Set("b", "1"));
    for (const char* name : {"a", "c"}) {
      state_.OnSetRefused(name, &quota_, kSessions);
      state_.OnSetRefused(name, &quota_, kSessions);
      CPPUNIT_ASSERT(state_.has_refused_values());
      CPPUNIT_ASSERT_EQUAL(size_t{0}, state_.values().count(name));
      CPPUNIT_ASSERT(Set("b", "2"));
      CPPUNIT_ASSERT(state_.has_refused_values());
      CPPUNIT_ASSERT(Set(name, "2"));
      CPPUNIT_ASSERT(!state_.has_refused_values());
      CPPUNIT_ASSERT_EQUAL(std::string("2"), state_.values().at(name));
    }
  }

  void Value_RefusedWithoutName_StaysUnknown() {
    state_.OnSetRefused("", &quota_, kSessions);
    CPPUNIT_ASSERT(Set("a", "1"));
    CPPUNIT_ASSERT(state_.has_refused_values());
  }

  void Value_RefusedNameTooLarge_StaysUnknown() {
    state_.OnSetRefused(kTooLarge, &quota_, kSessions);
    CPPUNIT_ASSERT(state_.has_refused_values());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, quota_.kept());
    CPPUNIT_ASSERT(Set("a", "1"));
    CPPUNIT_ASSERT(state_.has_refused_values());
  }

  void Prepared_Refused_IsRefusedUntilPrepared() {
    CPPUNIT_ASSERT(Prepare("a", "q"));
    CPPUNIT_ASSERT(Prepare("b", "q"));
    state_.OnPrepareRefused("a");
    state_.OnPrepareRefused("unknown");
    CPPUNIT_ASSERT(state_.FindPrepared("a") == nullptr);
    CPPUNIT_ASSERT(state_.IsPrepareRefused("a"));
    CPPUNIT_ASSERT(!state_.IsPrepareRefused("unknown"));
    CPPUNIT_ASSERT(state_.FindPrepared("b") != nullptr);
    CPPUNIT_ASSERT(Prepare("a", "q 2"));
    CPPUNIT_ASSERT(!state_.IsPrepareRefused("a"));
    CPPUNIT_ASSERT_EQUAL(std::string("q 2"), state_.FindPrepared("a")->shape);
  }

  void Prepared_RefusedWithoutName_AllAreRefused() {
    CPPUNIT_ASSERT(Prepare("a", "q"));
    CPPUNIT_ASSERT(Prepare("b", "q"));
    state_.OnPrepareRefused("");
    for (const char* name : {"a", "b"}) {
      CPPUNIT_ASSERT(state_.FindPrepared(name) == nullptr);
      CPPUNIT_ASSERT(state_.IsPrepareRefused(name));
    }
    CPPUNIT_ASSERT(Prepare("c", "q"));
    CPPUNIT_ASSERT(state_.FindPrepared("c") != nullptr);
  }

  void Prepared_ForgottenAfterRefusal_IsUnknown() {
    CPPUNIT_ASSERT(Prepare("a", "q"));
    state_.OnPrepareRefused("a");
    state_.Forget("a", &quota_);
    CPPUNIT_ASSERT(state_.FindPrepared("a") == nullptr);
    CPPUNIT_ASSERT(!state_.IsPrepareRefused("a"));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, quota_.kept());
  }

  void Charges_AnyChanges_AreThoseOfWhatIsKept() {
    const size_t entry = SessionStateQuota::kEntryOverhead;
    CPPUNIT_ASSERT(Set("a", "123"));
    CPPUNIT_ASSERT(Prepare("a", "q2"));
    CPPUNIT_ASSERT_EQUAL(2 * entry + 7, quota_.kept());
    CPPUNIT_ASSERT(!Set("a", kTooLarge));
    CPPUNIT_ASSERT(!Prepare("a", kTooLarge));
    state_.OnSetRefused("a", &quota_, kSessions);
    state_.OnPrepareRefused("a");
    CPPUNIT_ASSERT_EQUAL(2 * entry + 7, quota_.kept());
    state_.OnSetRefused("b", &quota_, kSessions);
    CPPUNIT_ASSERT_EQUAL(3 * entry + 8, quota_.kept());
    CPPUNIT_ASSERT(Set("a", ""));
    CPPUNIT_ASSERT(Set("b", "12"));
    CPPUNIT_ASSERT(Prepare("a", "q"));
    CPPUNIT_ASSERT_EQUAL(3 * entry + 6, quota_.kept());
    state_.Forget("a", &quota_);
    state_.Forget("unknown", &quota_);
    CPPUNIT_ASSERT_EQUAL(2 * entry + 4, quota_.kept());
    state_.Release(&quota_);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, quota_.kept());
  }

 private:
  bool Set(const std::string& name, const std::string& value) {
    return state_.SetValue(name, value, &quota_, kSessions);
  }
  bool Prepare(const std::string& name, const std::string& shape) {
    return state_.Prepare(name, PreparedShape{false, shape}, &quota_,
                          kSessions);
  }

  SessionStateQuota quota_{kLimit};
  SessionState state_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionStateTest);

}  // namespace
}  // namespace fireflycart::proxy
