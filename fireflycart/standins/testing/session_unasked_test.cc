// Nothing may run at an upstream that no caller sent, nor with other values, nor
// in another transaction.

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>

#include "fireflycart/standins/testing/session_world.h"

namespace fireflycart::standins {
namespace {

constexpr uint64_t kSeed = 7;

class SessionUnaskedTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SessionUnaskedTest);
  CPPUNIT_TEST(Shapes_WithBlanks_RunAsPrepared);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    SessionWorldOptions options;
    options.prepares = true;
    // What arrives in one write has run before its first answer is read.
    options.database.statement_time = Duration();
    world_ = std::make_unique<SessionWorld>(options, kSeed);
    world_->Run(Duration::Seconds(3));
  }

  void Shapes_WithBlanks_RunAsPrepared() {
    world_->Run(Duration::Seconds(2));
    CPPUNIT_ASSERT_EQUAL(0, world_->counts().refused);
    ExpectNothingUnasked();
  }

 private:
  void ExpectNothingUnasked() {
    world_->CheckEffects();
    CPPUNIT_ASSERT_EQUAL(std::string(), world_->problem());
    CPPUNIT_ASSERT(world_->counts().writes > 100);
  }

  std::unique_ptr<SessionWorld> world_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionUnaskedTest);

}  // namespace
}  // namespace fireflycart::standins
