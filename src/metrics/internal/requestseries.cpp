#include "metrics/internal/requestseries.h"

#include <chrono>

namespace celerybeam {

namespace {

// Four buckets per decade, from 1 ms to 1000 s.
constexpr DistributionScale RouteSeconds{24, 0.001, 1000};
// Two buckets per decade.
constexpr DistributionScale CustomerSeconds{12, 0.001, 1000};
// Starts at 0.1 ms, since tokens follow each other quickly.
constexpr DistributionScale GapSeconds{20, 0.0001, 10};
constexpr DistributionScale AttemptCounts{4, 1, 16};
constexpr DistributionScale TokenCounts{15, 1, 100000};

constexpr const char *SuccessOutcome = "ok";
constexpr const char *FailedOutcome = "failed";

constexpr const char *FirstTokenName = "celerybeam_first_token_seconds";
constexpr const char *TokenGapName = "celerybeam_token_gap_seconds";
constexpr const char *QueueWaitName = "celerybeam_queue_wait_seconds";
constexpr const char *TotalName = "celerybeam_request_seconds";
constexpr const char *AttemptsName = "celerybeam_request_attempts";
constexpr const char *TokensName = "celerybeam_request_tokens";
constexpr const char *RequestsName = "celerybeam_requests_total";
constexpr const char *ForwardedName = "celerybeam_requests_sent_away_total";
constexpr const char *CustomerFirstTokenName =
    "celerybeam_customer_first_token_seconds";
constexpr const char *CustomerQueueWaitName =
    "celerybeam_customer_queue_wait_seconds";
constexpr const char *CustomerTotalName = "celerybeam_customer_request_seconds";
constexpr const char *CustomerRequestsName =
    "celerybeam_customer_requests_total";

double seconds(Duration D) { return std::chrono::duration<double>(D).count(); }

bool hasFirstToken(const RequestSample &Sample) {
  return Sample.FirstToken > Duration::zero();
}

} // namespace

RouteSeries::RouteSeries()
    : FirstToken_(RouteSeconds), TokenGap_(GapSeconds),
      QueueWait_(RouteSeconds), Total_(RouteSeconds), Attempts_(AttemptCounts),
      Tokens_(TokenCounts) {}

void RouteSeries::record(const RequestSample &Sample) {
  QueueWait_.add(seconds(Sample.QueueWait));
  Total_.add(seconds(Sample.Total));
  Attempts_.add(Sample.Attempts);
  ++Outcomes_[Sample.Outcome];
  if (Sample.ForwardedOut)
    ++Forwarded_;
  if (hasFirstToken(Sample))
    FirstToken_.add(seconds(Sample.FirstToken));
  if (Sample.Tokens > 0)
    Tokens_.add(Sample.Tokens);
  if (Sample.Tokens > 1 && hasFirstToken(Sample))
    TokenGap_.add(seconds(Sample.Total - Sample.FirstToken) /
                  (Sample.Tokens - 1));
}

void RouteSeries::write(PrometheusText &Text,
                        const MetricLabels &Labels) const {
  FirstToken_.write(Text, FirstTokenName, Labels);
  TokenGap_.write(Text, TokenGapName, Labels);
  QueueWait_.write(Text, QueueWaitName, Labels);
  Total_.write(Text, TotalName, Labels);
  Attempts_.write(Text, AttemptsName, Labels);
  Tokens_.write(Text, TokensName, Labels);
  for (const auto &[Outcome, Count] : Outcomes_) {
    MetricLabels WithOutcome = Labels;
    WithOutcome.push_back({"outcome", Outcome});
    Text.addValue(RequestsName, WithOutcome, static_cast<double>(Count));
  }
  Text.addValue(ForwardedName, Labels, static_cast<double>(Forwarded_));
}

void RouteSeries::declare(PrometheusText &Text) {
  constexpr auto Histogram = MetricType::Histogram;
  Text.declare(FirstTokenName, "Time to the first token.", Histogram);
  Text.declare(TokenGapName, "Mean time between two tokens of a request.",
               Histogram);
  Text.declare(QueueWaitName, "Time in this host's queue.", Histogram);
  Text.declare(TotalName, "Time to the end of the answer.", Histogram);
  Text.declare(AttemptsName, "Attempts of a request.", Histogram);
  Text.declare(TokensName, "Tokens of an answer.", Histogram);
  Text.declare(RequestsName, "Ended requests by outcome.", MetricType::Counter);
  Text.declare(ForwardedName, "Requests sent to another region.",
               MetricType::Counter);
}

CustomerSeries::CustomerSeries()
    : FirstToken_(CustomerSeconds), QueueWait_(CustomerSeconds),
      Total_(CustomerSeconds) {}

void CustomerSeries::record(const RequestSample &Sample) {
  QueueWait_.add(seconds(Sample.QueueWait));
  Total_.add(seconds(Sample.Total));
  if (hasFirstToken(Sample))
    FirstToken_.add(seconds(Sample.FirstToken));
  ++(Sample.Outcome == SuccessOutcome ? Succeeded_ : Failed_);
}

void CustomerSeries::merge(const CustomerSeries &Other) {
  FirstToken_.merge(Other.FirstToken_);
  QueueWait_.merge(Other.QueueWait_);
  Total_.merge(Other.Total_);
  Succeeded_ += Other.Succeeded_;
  Failed_ += Other.Failed_;
}

void CustomerSeries::write(PrometheusText &Text,
                           const MetricLabels &Labels) const {
  FirstToken_.write(Text, CustomerFirstTokenName, Labels);
  QueueWait_.write(Text, CustomerQueueWaitName, Labels);
  Total_.write(Text, CustomerTotalName, Labels);
  MetricLabels WithOutcome = Labels;
  WithOutcome.push_back({"outcome", SuccessOutcome});
  Text.addValue(CustomerRequestsName, WithOutcome,
                static_cast<double>(Succeeded_));
  WithOutcome.back().Value = FailedOutcome;
  Text.addValue(CustomerRequestsName, WithOutcome,
                static_cast<double>(Failed_));
}

void CustomerSeries::declare(PrometheusText &Text) {
  constexpr auto Histogram = MetricType::Histogram;
  Text.declare(CustomerFirstTokenName, "Time to the first token, by customer.",
               Histogram);
  Text.declare(CustomerQueueWaitName, "Time in this host's queue, by customer.",
               Histogram);
  Text.declare(CustomerTotalName, "Time to the end of the answer, by customer.",
               Histogram);
  Text.declare(CustomerRequestsName, "Ended requests by customer and outcome.",
               MetricType::Counter);
}

} // namespace celerybeam
