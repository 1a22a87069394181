#include <set>
#include <sstream>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "metrics/metricsregistry.h"

using namespace celerybeam;

namespace {

using std::chrono::milliseconds;

RequestSample sampleOf(const std::string &Customer) {
  RequestSample Sample;
  Sample.Customer = CustomerId(Customer);
  Sample.Route = RouteName("quotes");
  Sample.QueueWait = milliseconds(2);
  Sample.FirstToken = milliseconds(50);
  Sample.Total = milliseconds(450);
  Sample.Attempts = 1;
  Sample.Tokens = 5;
  return Sample;
}

bool hasLine(const std::string &Text, const std::string &Line) {
  return ("\n" + Text).find("\n" + Line + "\n") != std::string::npos;
}

/// The sum of the values of all lines that start with the text.
double sumOf(const std::string &Text, const std::string &Start) {
  std::istringstream In(Text);
  double Sum = 0;
  for (std::string Line; std::getline(In, Line);) {
    if (Line.starts_with(Start))
      Sum += std::stod(Line.substr(Line.rfind(' ')));
  }
  return Sum;
}

std::size_t customersIn(const std::string &Text) {
  std::istringstream In(Text);
  std::size_t Count = 0;
  for (std::string Line; std::getline(In, Line);)
    Count += Line.starts_with("celerybeam_customer_request_seconds_count");
  return Count;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Metrics)

BOOST_AUTO_TEST_CASE(RecordsARequestInItsHistograms) {
  MetricsRegistry Registry;
  Registry.record(sampleOf("roofers"));
  RequestSample Failed = sampleOf("roofers");
  Failed.Outcome = "deadline_expired";
  Failed.Total = milliseconds(2000);
  Failed.FirstToken = Duration::zero();
  Failed.ForwardedOut = true;
  Registry.record(Failed);
  std::string Text = Registry.text();
  std::string Labels = "{route=\"quotes\",class=\"short\"";
  BOOST_TEST(hasLine(Text, "# TYPE celerybeam_request_seconds histogram"));
  BOOST_TEST(
      hasLine(Text, "celerybeam_request_seconds_count" + Labels + "} 2"));
  BOOST_TEST(
      hasLine(Text, "celerybeam_request_seconds_sum" + Labels + "} 2.45"));
  BOOST_TEST(
      hasLine(Text, "celerybeam_first_token_seconds_count" + Labels + "} 1"));
  BOOST_TEST(
      hasLine(Text, "celerybeam_token_gap_seconds_sum" + Labels + "} 0.1"));
  BOOST_TEST(hasLine(Text, "celerybeam_requests_total" + Labels +
                               ",outcome=\"deadline_expired\"} 1"));
  BOOST_TEST(
      hasLine(Text, "celerybeam_requests_sent_away_total" + Labels + "} 1"));
  BOOST_TEST(hasLine(Text, "celerybeam_request_seconds_bucket" + Labels +
                               ",le=\"+Inf\"} 2"));
  BOOST_TEST(hasLine(Text, "celerybeam_customer_requests_total{customer="
                           "\"roofers\",outcome=\"failed\"} 1"));
}

BOOST_AUTO_TEST_CASE(BucketsAreCumulative) {
  MetricsRegistry Registry;
  for (int I = 0; I < 5; ++I)
    Registry.record(sampleOf("roofers"));
  std::istringstream In(Registry.text());
  double Last = 0;
  for (std::string Line; std::getline(In, Line);) {
    if (!Line.starts_with("celerybeam_request_seconds_bucket"))
      continue;
    double Count = std::stod(Line.substr(Line.rfind(' ')));
    BOOST_TEST(Count >= Last);
    Last = Count;
  }
  BOOST_TEST(Last == 5);
}

BOOST_AUTO_TEST_CASE(LimitsCustomersAndLosesNoRequest) {
  MetricsLimits Limits;
  Limits.Customers = 16;
  MetricsRegistry Registry(Limits);
  constexpr int Rounds = 20;
  constexpr int Small = 2000;
  for (int Round = 0; Round < Rounds; ++Round) {
    for (int I = 0; I < Small / Rounds; ++I)
      Registry.record(sampleOf("small" + std::to_string(Round * 100 + I)));
    for (int I = 0; I < 50; ++I)
      Registry.record(sampleOf("large"));
  }
  std::string Text = Registry.text();
  BOOST_TEST(customersIn(Text) == 17U);
  BOOST_TEST(sumOf(Text, "celerybeam_customer_request_seconds_count") ==
             Small + Rounds * 50);
  // The large customer arrives when others hold all series; it must replace
  // one of them.
  BOOST_TEST(sumOf(Text, "celerybeam_customer_request_seconds_count{customer="
                         "\"large\"}") > Rounds * 50 / 2);
}

BOOST_AUTO_TEST_CASE(LimitsRoutesAndValues) {
  MetricsLimits Limits;
  Limits.Routes = 3;
  Limits.Values = 4;
  MetricsRegistry Registry(Limits);
  for (int I = 0; I < 10; ++I) {
    RequestSample Sample = sampleOf("roofers");
    Sample.Route = RouteName("r" + std::to_string(I));
    Registry.record(Sample);
    Registry.add("celerybeam_x_total", "X.", {{"i", std::to_string(I)}});
  }
  std::string Text = Registry.text();
  BOOST_TEST(hasLine(Text, "celerybeam_request_seconds_count{route=\"rest\","
                           "class=\"short\"} 7"));
  BOOST_TEST(sumOf(Text, "celerybeam_x_total") == 4);
  BOOST_TEST(hasLine(Text, "celerybeam_metrics_dropped_total 6"));
}

BOOST_AUTO_TEST_CASE(WritesCountersGaugesAndSources) {
  MetricsRegistry Registry;
  Registry.add("celerybeam_a_total", "A.", {{"k", "v\"\\\n"}}, 2);
  Registry.add("celerybeam_a_total", "A.", {{"k", "v\"\\\n"}});
  Registry.set("celerybeam_b", "B.", {}, 1.5);
  Registry.addSource("celerybeam_c", "C.", [] { return 7.0; });
  std::string Text = Registry.text();
  BOOST_TEST(hasLine(Text, "# TYPE celerybeam_a_total counter"));
  BOOST_TEST(hasLine(Text, "celerybeam_a_total{k=\"v\\\"\\\\\\n\"} 3"));
  BOOST_TEST(hasLine(Text, "# HELP celerybeam_b B."));
  BOOST_TEST(hasLine(Text, "celerybeam_b 1.5"));
  BOOST_TEST(hasLine(Text, "celerybeam_c 7"));
}

BOOST_AUTO_TEST_CASE(ThreadsRecordAtTheSameTime) {
  MetricsRegistry Registry;
  constexpr int ThreadCount = 4;
  std::vector<std::thread> Threads;
  Threads.reserve(ThreadCount);
  for (int T = 0; T < ThreadCount; ++T)
    Threads.emplace_back([&Registry, T] {
      for (int I = 0; I < 500; ++I)
        Registry.record(sampleOf("t" + std::to_string(T)));
    });
  for (auto &Thread : Threads)
    Thread.join();
  BOOST_TEST(sumOf(Registry.text(), "celerybeam_requests_total") == 2000);
}

BOOST_AUTO_TEST_SUITE_END()
