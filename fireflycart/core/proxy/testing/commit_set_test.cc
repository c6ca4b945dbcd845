// Tests of the recorded commit set.

#include "fireflycart/core/proxy/commit_set.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace fireflycart::proxy {
namespace {

UpstreamRecord Record(const std::string& id, int64_t started_ms) {
  UpstreamRecord record;
  record.id = UpstreamId(id);
  record.address = "10.0.0.1:80";
  record.started_ms = started_ms;
  return record;
}

CommitSet Set(uint64_t term) {
  CommitSet set;
  set.term = term;
  set.primary = UpstreamId("up-a");
  set.Add(Record("up-a", 5));
  set.Add(Record("up-b", 6));
  return set;
}

class CommitSetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CommitSetTest);
  CPPUNIT_TEST(Format_AllFields_ParsesToTheSameSet);
  CPPUNIT_TEST(Parse_BadField_IsRefusedWithItsName);
  CPPUNIT_TEST(Parse_MemberIsNoName_IsRefusedNamingIt);
  CPPUNIT_TEST(HasReplica_OtherStartTermOrPrimary_IsNone);
  CPPUNIT_TEST(Merge_TermsDiffer_KeepsTheLater);
  CPPUNIT_TEST(Merge_TermsEqual_KeepsMembersOfBoth);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Format_AllFields_ParsesToTheSameSet() {
    CommitSet set = Set(3);
    set.may_have_order = true;
    set.position = LogPosition{2, 17};
    std::string text = FormatCommitSet(set);
    CPPUNIT_ASSERT(text.find(' ') == std::string::npos);
    CommitSet parsed;
    std::string problem;
    CPPUNIT_ASSERT_MESSAGE(problem, ParseCommitSet(text, &parsed, &problem));
    CPPUNIT_ASSERT(parsed == set);
    CPPUNIT_ASSERT(parsed.position == set.position);
  }

  void Parse_BadField_IsRefusedWithItsName() {
    const std::string text = FormatCommitSet(Set(3));
    for (const char* field :
         {"term", "primary", "members", "may_have_order", "position_term",
          "position_number", "address", "started_ms"}) {
      std::string bad = text;
      size_t at = bad.find("\"" + std::string(field) + "\"");
      CPPUNIT_ASSERT(at != std::string::npos);
      bad.replace(at + 1, std::string(field).size(), "other");
      CommitSet parsed = Set(1);
      std::string problem;
      CPPUNIT_ASSERT(!ParseCommitSet(bad, &parsed, &problem));
      CPPUNIT_ASSERT_MESSAGE(problem, problem.find(field) != std::string::npos);
      CPPUNIT_ASSERT(parsed == Set(1));
    }
  }

  // Ids of members are fields of the lines that are sent to upstreams.
  void Parse_MemberIsNoName_IsRefusedNamingIt() {
    for (const char* id : {"", "a b", "a\r\nQUERY - RESET", "a\tb"}) {
      CommitSet set = Set(3);
      set.Add(Record(id, 7));
      CommitSet parsed = Set(1);
      std::string problem;
      CPPUNIT_ASSERT(!ParseCommitSet(FormatCommitSet(set), &parsed, &problem));
      CPPUNIT_ASSERT_MESSAGE(problem,
                             problem.find("members") != std::string::npos);
      CPPUNIT_ASSERT(problem.find('\n') == std::string::npos);
      CPPUNIT_ASSERT(parsed == Set(1));
    }
  }

  void HasReplica_OtherStartTermOrPrimary_IsNone() {
    CommitSet set = Set(3);
    CPPUNIT_ASSERT(set.HasReplica(Record("up-b", 6), 3));
    CPPUNIT_ASSERT(!set.HasReplica(Record("up-b", 7), 3));
    CPPUNIT_ASSERT(!set.HasReplica(Record("up-b", 6), 4));
    CPPUNIT_ASSERT(!set.HasReplica(Record("up-a", 5), 3));
  }

  void Merge_TermsDiffer_KeepsTheLater() {
    CPPUNIT_ASSERT(MergeCommitSets(Set(2), Set(3)) == Set(3));
    CPPUNIT_ASSERT(MergeCommitSets(Set(3), Set(2)) == Set(3));
  }

  void Merge_TermsEqual_KeepsMembersOfBoth() {
    CommitSet known = Set(3);
    known.Add(Record("up-c", 7));
    known.may_have_order = true;
    CommitSet merged = MergeCommitSets(Set(3), known);
    CPPUNIT_ASSERT(merged == known);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CommitSetTest);

}  // namespace
}  // namespace fireflycart::proxy
