// Tests that texts of callers cannot hide log lines or pass for others.

#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include <cstdio>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "fireflycart/daemon/logging.h"

namespace fireflycart {
namespace {

using nlohmann::json;

constexpr size_t kLargestStatement = size_t{1} << 20;

proxy::WriteRecord MakeRecord(const char* event, const std::string& detail) {
  proxy::WriteRecord record;
  record.part = "entry";
  record.event = event;
  record.fields = {{"id", "r1"}, {"detail", detail}};
  return record;
}

class StructuredLogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StructuredLogTest);
  CPPUNIT_TEST(Record_LargeField_IsWrittenCut);
  CPPUNIT_TEST(Record_LargeField_OthersAreWritten);
  CPPUNIT_TEST(Record_OddField_IsOneLineWithItsFields);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    static const bool is_started = [] {
      StartStructuredLogging("info", VmId("vm-1"));
      return true;
    }();
    CPPUNIT_ASSERT(is_started);
    std::fflush(stdout);
    stdout_ = dup(STDOUT_FILENO);
    file_ = std::tmpfile();
    CPPUNIT_ASSERT(file_ != nullptr);
    dup2(fileno(file_), STDOUT_FILENO);
  }

  void tearDown() override {
    dup2(stdout_, STDOUT_FILENO);
    close(stdout_);
    std::fclose(file_);
  }

  void Record_LargeField_IsWrittenCut() {
    std::string text(kLargestStatement, 'x');
    LogStructured(MakeRecord("large", text), TimePoint::FromMillis(1000));
    std::vector<json> lines = Lines();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, lines.size());
    auto detail = lines[0]["detail"].get<std::string>();
    std::string end = "... (" + std::to_string(text.size()) + " bytes)";
    CPPUNIT_ASSERT_EQUAL(kMaxLoggedValueBytes + end.size(), detail.size());
    CPPUNIT_ASSERT_EQUAL(end, detail.substr(kMaxLoggedValueBytes));
  }

  void Record_LargeField_OthersAreWritten() {
    std::string text(kLargestStatement / 8, 'x');
    for (int i = 0; i < 5; i++) {
      LogStructured(MakeRecord("large_again", text),
                    TimePoint::FromMillis(1000));
    }
    LogStructured(MakeRecord("small", ""), TimePoint::FromMillis(1000));
    std::vector<json> lines = Lines();
    CPPUNIT_ASSERT_EQUAL(size_t{6}, lines.size());
    CPPUNIT_ASSERT_EQUAL(std::string("small"),
                         lines[5]["event"].get<std::string>());
    CPPUNIT_ASSERT(!lines[5].contains("dropped"));
  }

  void Record_OddField_IsOneLineWithItsFields() {
    const std::string text =
        std::string("a\",\"event\":\"other\n{\"event\":\"x\"}\r\t\x1b[2J") +
        '\0' + "\xe4\xff";
    LogStructured(MakeRecord("odd", text), TimePoint::FromMillis(1000));
    std::vector<json> lines = Lines();
    CPPUNIT_ASSERT_EQUAL(size_t{1}, lines.size());
    CPPUNIT_ASSERT_EQUAL(std::string("odd"),
                         lines[0]["event"].get<std::string>());
    auto detail = lines[0]["detail"].get<std::string>();
    std::string start = text.substr(0, text.size() - 2);
    CPPUNIT_ASSERT_EQUAL(start, detail.substr(0, start.size()));
  }

 private:
  // What was written since setUp().
  std::vector<json> Lines() {
    FlushStructuredLog();
    std::rewind(file_);
    std::string text;
    for (int c = std::fgetc(file_); c != EOF; c = std::fgetc(file_)) {
      text += static_cast<char>(c);
    }
    std::vector<json> lines;
    std::istringstream in(text);
    std::string line;
    while (std::getline(in, line)) lines.push_back(json::parse(line));
    return lines;
  }

  int stdout_ = -1;
  std::FILE* file_ = nullptr;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StructuredLogTest);

}  // namespace
}  // namespace fireflycart
