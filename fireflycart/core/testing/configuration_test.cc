// Tests of the validation of a configuration document.

#include "fireflycart/core/configuration.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace fireflycart {
namespace {

class ConfigurationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigurationTest);
  CPPUNIT_TEST(Parse_NotJson_OneProblem);
  CPPUNIT_TEST(Parse_NestedDeeply_OneProblem);
  CPPUNIT_TEST(Parse_ManyFaults_AllReportedWithPaths);
  CPPUNIT_TEST(Parse_UnknownField_Reported);
  CPPUNIT_TEST(Difference_Applied_GivesTarget);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Parse_NotJson_OneProblem() {
    CPPUNIT_ASSERT_EQUAL(size_t{1}, ParseConfiguration("{").problems.size());
  }

  void Parse_NestedDeeply_OneProblem() {
    constexpr size_t kLevels = 200'000;
    std::string nested = std::string(kLevels, '[') + std::string(kLevels, ']');
    ConfigurationResult result =
        ParseConfiguration(R"({"ranks":)" + nested + "}");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, result.problems.size());
    CPPUNIT_ASSERT(result.problems[0].allowed.find("32 levels") !=
                   std::string::npos);
  }

  void Parse_ManyFaults_AllReportedWithPaths() {
    ConfigurationResult result = ParseConfiguration(
        R"({"ranks":[{"name":"a","target_ms":0},{"name":"a","target_ms":1}],)"
        R"("kinds":[{"name":"K","rank":"b","deadline_ms":1}],)"
        R"("groups":[{"name":"g","upstreams":[{"name":"u","address":"x",)"
        R"("data_centre":"d","slots":1,"connections":5}]}]})");
    CPPUNIT_ASSERT(HasProblem(result, "ranks[0].target_ms", "0"));
    CPPUNIT_ASSERT(HasProblem(result, "ranks[1].name", "\"a\""));
    CPPUNIT_ASSERT(HasProblem(result, "kinds[0].name", "\"K\""));
    CPPUNIT_ASSERT(HasProblem(result, "kinds[0].rank", "\"b\""));
    CPPUNIT_ASSERT(
        HasProblem(result, "groups[0].upstreams[0].address", "\"x\""));
    CPPUNIT_ASSERT(
        HasProblem(result, "groups[0].upstreams[0].connections", "5"));
    CPPUNIT_ASSERT_EQUAL(size_t{6}, result.problems.size());
  }

  void Parse_UnknownField_Reported() {
    ConfigurationResult result =
        ParseConfiguration(R"({"ranks":[],"surprise":1})");
    CPPUNIT_ASSERT(HasProblem(result, "surprise", "1"));
  }

  void Difference_Applied_GivesTarget() {
    std::string from = R"({"a":1,"b":[1,2]})";
    std::string to = R"({"b":[2],"c":3})";
    CPPUNIT_ASSERT_EQUAL(
        to, ApplyDifference(from, ConfigurationDifference(from, to)));
  }

 private:
  static bool HasProblem(const ConfigurationResult& result,
                         const std::string& path, const std::string& value) {
    for (const ConfigurationProblem& problem : result.problems) {
      bool matches = problem.path == path && problem.value == value;
      if (matches && !problem.allowed.empty()) return true;
    }
    return false;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationTest);

}  // namespace
}  // namespace fireflycart
