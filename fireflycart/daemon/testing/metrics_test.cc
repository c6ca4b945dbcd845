// Tests that names of operators and callers cannot change the lines of the
// metrics page.

#include "fireflycart/daemon/metrics.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "fireflycart/daemon/session_metrics.h"

namespace fireflycart {
namespace {

constexpr char kOddName[] = "a\"b\\c\n}";
constexpr char kEscapedName[] = R"(a\"b\\c\n})";

bool Has(const std::string& page, const std::string& text) {
  return page.find(text) != std::string::npos;
}

class MetricsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MetricsTest);
  CPPUNIT_TEST(SessionMetrics_OddGroup_IsEscaped);
  CPPUNIT_TEST(SessionMetrics_OddTenant_IsEscaped);
  CPPUNIT_TEST(Metrics_OddKind_IsEscaped);
  CPPUNIT_TEST(Metrics_KindNotConfigured_IsNotNamed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SessionMetrics_OddGroup_IsEscaped() {
    proxy::CountStatement effect;
    effect.group = GroupId(kOddName);
    SessionMetrics metrics;
    metrics.Count(effect);
    std::string page = Render(metrics, proxy::ProxyGauges());
    std::string label = std::string("{group=\"") + kEscapedName + "\",";
    CPPUNIT_ASSERT(Has(page, "fireflycart_statements_total" + label));
    CPPUNIT_ASSERT(Has(page, "fireflycart_statement_ms_count" + label));
    CPPUNIT_ASSERT(!Has(page, kOddName));
  }

  void SessionMetrics_OddTenant_IsEscaped() {
    proxy::ProxyGauges gauges;
    gauges.refused_by_limit[TenantId(kOddName)] = 3;
    std::string page = Render(SessionMetrics(), gauges);
    CPPUNIT_ASSERT(
        Has(page, std::string("{tenant=\"") + kEscapedName + "\"} 3\n"));
    CPPUNIT_ASSERT(!Has(page, kOddName));
  }

  void Metrics_OddKind_IsEscaped() {
    Answer answer;
    answer.outcome = Outcome::kDone;
    Metrics metrics;
    metrics.Record(KindId(kOddName), answer, Duration::Millis(3));
    std::string page = metrics.Render(Gauges());
    std::string label = std::string("{kind=\"") + kEscapedName + "\",";
    CPPUNIT_ASSERT(Has(page, "fireflycart_answers_total" + label));
    CPPUNIT_ASSERT(Has(page, "fireflycart_latency_ms_bucket" + label));
    CPPUNIT_ASSERT(!Has(page, kOddName));
  }

  // Callers could add any number of lines otherwise.
  void Metrics_KindNotConfigured_IsNotNamed() {
    Metrics metrics;
    for (Reason reason :
         {Reason::kUnknownKind, Reason::kUnknownGroup, Reason::kIsolated,
          Reason::kNoConfiguration, Reason::kStopping}) {
      Answer answer;
      answer.outcome = Outcome::kNotRun;
      answer.reason = reason;
      metrics.Record(KindId("invented"), answer, Duration());
    }
    std::string page = metrics.Render(Gauges());
    CPPUNIT_ASSERT(!Has(page, "invented"));
    CPPUNIT_ASSERT(Has(page,
                       "fireflycart_answers_total{kind=\"\",outcome=\"not_run\""
                       ",reason=\"unknown_kind\"} 1\n"));
  }

 private:
  static std::string Render(const SessionMetrics& metrics,
                            const proxy::ProxyGauges& gauges) {
    return metrics.Render(gauges, MemoryBudget(0, nullptr));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MetricsTest);

}  // namespace
}  // namespace fireflycart
