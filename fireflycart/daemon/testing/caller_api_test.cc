// Tests of what the JSON API makes of callers' texts.

#include "fireflycart/daemon/caller_api.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string>
#include <utility>
#include <vector>

namespace fireflycart {
namespace {

class CallerApiTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallerApiTest);
  CPPUNIT_TEST(RequestId_CallersWithSlashes_KeysDiffer);
  CPPUNIT_TEST(RequestId_CallerWithoutSlash_KeyIsBothJoined);
  CPPUNIT_TEST(Statement_EscapedBytes_PassedOnAsTheyAre);
  CPPUNIT_TEST(Statement_NotUtf8_IsRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  // The key of one caller must not be that of another's request.
  void RequestId_CallersWithSlashes_KeysDiffer() {
    const std::vector<std::pair<std::string, std::string>> requests = {
        {"a", "b/c"},    {"a/b", "c"},  {"a%2Fb", "c"}, {"a%252Fb", "c"},
        {"a%", "2Fb/c"}, {"a/", "b/c"}, {"a", "/b/c"},  {"/a", "b/c"}};
    std::set<RequestKey> keys;
    for (const auto& request : requests) {
      keys.insert(KeyOf(request.first, request.second));
    }
    CPPUNIT_ASSERT_EQUAL(requests.size(), keys.size());
  }

  // Upstreams keep the keys of earlier versions.
  void RequestId_CallerWithoutSlash_KeyIsBothJoined() {
    CPPUNIT_ASSERT_EQUAL(std::string("shop-1/e5/7"),
                         KeyOf("shop-1", "e5/7").value());
  }

  void Statement_EscapedBytes_PassedOnAsTheyAre() {
    ParsedCall parsed = Parse(R"("a\r\nb\u0000c\"\\")", "c", "1");
    CPPUNIT_ASSERT(!parsed.error);
    CPPUNIT_ASSERT_EQUAL(std::string("a\r\nb\0c\"\\", 8),
                         RequestOf(parsed).statement);
  }

  void Statement_NotUtf8_IsRefused() {
    ParsedCall parsed = Parse("\"a\xe4\"", "c", "1");
    CPPUNIT_ASSERT(parsed.error.has_value());
    CPPUNIT_ASSERT_EQUAL(400, parsed.error->status);
  }

 private:
  static ParsedCall Parse(const std::string& statement,
                          const std::string& caller, const std::string& id) {
    HttpRequest http;
    http.method = "POST";
    http.path = "/v1/statement";
    http.body = R"({"group":"g","kind":"k","access":"write","caller":")" +
                caller + R"(","request_id":")" + id + R"(","statement":)" +
                statement + "}";
    return ParseCall(http, AccessTokens(), TimePoint());
  }

  static const Request& RequestOf(const ParsedCall& parsed) {
    return std::get<CallerCall>(parsed.call).request;
  }

  static RequestKey KeyOf(const std::string& caller, const std::string& id) {
    ParsedCall parsed = Parse("\"put a b\"", caller, id);
    CPPUNIT_ASSERT(!parsed.error);
    return RequestOf(parsed).key;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerApiTest);

}  // namespace
}  // namespace fireflycart
