// Tests that ExplainRequest selects and orders the log lines of a request.

#include "fireflycart/ctl/explain.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

namespace fireflycart {
namespace {

constexpr char kLogs[] =
    R"(12.3 vm-1 {"time_ms":5000,"vm":"vm-1","part":"entry","event":"statement_failed","id":"r1","group":"g","outcome":"busy"}
{"time_ms":4990,"vm":"vm-2","part":"statement","event":"not_served","id":"r1","group":"g","cause":"queue_wait"}
{"time_ms":4991,"vm":"vm-2","part":"statement","event":"not_served","id":"r2","group":"g","cause":"queue_wait"}
{"time_ms":4000,"vm":"vm-2","part":"failover","event":"started","group":"g","cause":"primary_lost"}
{"time_ms":4100,"vm":"vm-2","part":"failover","event":"started","group":"other"}
{"time_ms":4200,"vm":"vm-3","part":"fleet","event":"vm_lost","peer":"vm-9"}
{"time_ms":900,"vm":"vm-2","part":"store","event":"store_lost"}
not a log line
{"time_ms":"x"}
)";

class ExplainTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ExplainTest);
  CPPUNIT_TEST(Request_Logged_LinesInOrderThenContext);
  CPPUNIT_TEST(Request_NotLogged_NoLines);
  CPPUNIT_TEST(Value_OfCaller_CannotPassForFieldOrLine);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Request_Logged_LinesInOrderThenContext() {
    std::istringstream logs(kLogs);
    std::vector<std::string> lines = ExplainRequest("r1", &logs);
    CPPUNIT_ASSERT_EQUAL(size_t{3}, lines.size());
    CPPUNIT_ASSERT_EQUAL(std::string("4990 vm-2 statement.not_served "
                                     "cause=queue_wait group=g id=r1"),
                         lines[0]);
    CPPUNIT_ASSERT_EQUAL(std::string("5000 vm-1 entry.statement_failed "
                                     "group=g id=r1 outcome=busy"),
                         lines[1]);
    CPPUNIT_ASSERT_EQUAL(
        std::string("  4000 vm-2 failover.started cause=primary_lost group=g"),
        lines[2]);
  }

  void Request_NotLogged_NoLines() {
    std::istringstream logs(kLogs);
    CPPUNIT_ASSERT(ExplainRequest("r9", &logs).empty());
  }

  void Value_OfCaller_CannotPassForFieldOrLine() {
    std::istringstream logs(
        R"({"time_ms":5000,"vm":"vm-1","part":"entry","event":"refused",)"
        R"("database":"x=y","detail":"a outcome=done\n5001 vm-1\u001b[2J",)"
        R"("empty":"","id":"r1","outcome":"bad","quoted":"\"",)"
        R"("word":"b\u00fc"})");
    std::vector<std::string> lines = ExplainRequest("r1", &logs);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, lines.size());
    CPPUNIT_ASSERT_EQUAL(
        std::string(
            R"(5000 vm-1 entry.refused database="x=y" )"
            R"(detail="a outcome=done\n5001 vm-1\u001b[2J" empty="" id=r1 )"
            R"(outcome=bad quoted="\"" word="b\u00fc")"),
        lines[0]);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExplainTest);

}  // namespace
}  // namespace fireflycart
