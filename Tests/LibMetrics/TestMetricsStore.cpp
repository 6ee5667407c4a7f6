#include <LibMetrics/EncodePrometheus.h>
#include <LibMetrics/MetricsRecorder.h>
#include <LibMetrics/MetricsStore.h>

#include <gtest/gtest.h>

#include <chrono>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;

counter_series const kRequests{ .mMetric = "requests_total",
                                .mLabel = "route",
                                .mLabelValue = "chat" };

TEST(TestMetricsStore, AddsCountsAndSumsOfRecordersExactly)
{
  metrics_recorder first;
  metrics_recorder second;
  first.Count(first.OpenCounter(kRequests), 3);
  second.Count(second.OpenCounter(kRequests));
  latency_handle const series =
    first.OpenLatency(pool_name{ "assistant" }, workspace_id{ "som" });
  for (int i = 0; i < 1000; ++i)
    first.RecordLatency(series, latency_kind::TokenGap, milliseconds{ 2 });

  metrics_store store;
  store.Merge(first.TakeDelta());
  store.Merge(second.TakeDelta());
  store.Merge(first.TakeDelta());
  metrics_report const report = store.Report();
  ASSERT_EQ(report.mCounters.size(), 1u);
  EXPECT_EQ(report.mCounters[0].mTotal, 4u);
  ASSERT_EQ(report.mLatencies.size(), 2u);
  EXPECT_EQ(report.mLatencies[0].mCount, 1000u);
  EXPECT_EQ(report.mLatencies[1].mSum, milliseconds{ 2000 });
}

TEST(TestMetricsStore, EstimatesQuantilesFromReservoirSamples)
{
  metrics_store store;
  metrics_recorder recorder;
  latency_handle const series =
    recorder.OpenLatency(pool_name{ "assistant" }, workspace_id{ "som" });
  for (int batch = 0; batch < 50; ++batch) {
    for (int i = 1; i <= 1000; ++i)
      recorder.RecordLatency(
        series, latency_kind::FirstToken, milliseconds{ i * 7 % 1000 });
    store.Merge(recorder.TakeDelta());
  }
  latency_quantiles const found = store.Report().mLatencies[0].mQuantiles;
  EXPECT_NEAR(found.mP50 / milliseconds{ 1 }, 500, 25);
  EXPECT_NEAR(found.mP95 / milliseconds{ 1 }, 950, 15);
  EXPECT_NEAR(found.mP99 / milliseconds{ 1 }, 990, 8);
}

TEST(TestMetricsStore, QuantilesExcludeOlderWindows)
{
  metrics_store store;
  metrics_recorder recorder;
  latency_handle const series =
    recorder.OpenLatency(pool_name{ "assistant" }, workspace_id{});
  auto const runWindow = [&](milliseconds aValue) {
    for (int i = 0; i < 100; ++i)
      recorder.RecordLatency(series, latency_kind::QueueWait, aValue);
    store.Merge(recorder.TakeDelta());
    for (std::uint32_t i = 0; i < metrics_store::kQuantileWindowTicks; ++i)
      store.Tick();
  };
  runWindow(milliseconds{ 900 });
  runWindow(milliseconds{ 10 });
  metrics_report const report = store.Report();
  ASSERT_EQ(report.mLatencies.size(), 1u);
  EXPECT_EQ(report.mLatencies[0].mQuantiles.mP99, milliseconds{ 10 });
  EXPECT_EQ(report.mLatencies[0].mCount, 200u);
}

TEST(TestMetricsStore, RateCoversOnlyTheLastWindow)
{
  metrics_store store;
  metrics_recorder recorder;
  counter_handle const counter = recorder.OpenCounter(kRequests);
  for (std::size_t i = 0; i < 2 * event_rate::kWindowTicks; ++i) {
    recorder.Count(counter, i < event_rate::kWindowTicks ? 100 : 10);
    store.Merge(recorder.TakeDelta());
    store.Tick();
  }
  EXPECT_NEAR(store.Report().mCounters[0].mPerSecond, 10.0, 1e-9);
}

counter_series const kAnswers{ .mMetric = "answer_seconds",
                               .mLabel = "route",
                               .mLabelValue = "chat" };

TEST(TestMetricsStore, MergesHistogramsOfSeveralRecorders)
{
  metrics_recorder first;
  metrics_recorder second;
  first.Observe(first.OpenHistogram(kAnswers), milliseconds{ 5 });
  first.Observe(first.OpenHistogram(kAnswers), milliseconds{ 7 });
  second.Observe(second.OpenHistogram(kAnswers), milliseconds{ 70'000 });

  metrics_store store;
  store.Merge(first.TakeDelta());
  store.Merge(second.TakeDelta());
  store.Merge(first.TakeDelta());
  metrics_report const report = store.Report();
  ASSERT_EQ(report.mHistograms.size(), 1u);
  latency_histogram const& found = report.mHistograms[0].mHistogram;
  EXPECT_EQ(found.Count(), 3u);
  EXPECT_EQ(found.Sum(), milliseconds{ 70'012 });
  EXPECT_EQ(found.Buckets().front(), 1u);
  EXPECT_EQ(found.Buckets()[1], 1u);
  EXPECT_EQ(found.Buckets().back(), 1u);
}

TEST(TestEncodePrometheus, WritesCumulativeBuckets)
{
  metrics_report report;
  report.mHistograms.push_back({ .mSeries = kAnswers });
  report.mHistograms[0].mHistogram.Add(milliseconds{ 4 });
  report.mHistograms[0].mHistogram.Add(milliseconds{ 900 });
  std::string const text = EncodePrometheus(report);
  EXPECT_TRUE(text.starts_with(
    "# TYPE lycheeseam_answer_seconds histogram\n"
    "lycheeseam_answer_seconds_bucket{route=\"chat\",le=\"0.005\"} 1\n"
    "lycheeseam_answer_seconds_bucket{route=\"chat\",le=\"0.01\"} 1\n"))
    << text;
  EXPECT_TRUE(text.ends_with(
    "lycheeseam_answer_seconds_bucket{route=\"chat\",le=\"60\"} 2\n"
    "lycheeseam_answer_seconds_bucket{route=\"chat\",le=\"+Inf\"} 2\n"
    "lycheeseam_answer_seconds_sum{route=\"chat\"} 0.904\n"
    "lycheeseam_answer_seconds_count{route=\"chat\"} 2\n"))
    << text;
}

TEST(TestEncodePrometheus, WritesCountersGaugesAndSummaries)
{
  latency_report const latency{ .mSeries = { .mKind = latency_kind::FirstToken,
                                             .mScope = latency_scope::Pool,
                                             .mName = "assistant" },
                                .mCount = 2,
                                .mSum = milliseconds{ 300 },
                                .mQuantiles = { .mP50 = milliseconds{ 100 },
                                                .mP95 = milliseconds{ 200 },
                                                .mP99 = milliseconds{ 200 } } };
  metrics_report const report{
    .mCounters = { { .mSeries = kRequests, .mTotal = 4, .mPerSecond = 0.5 } },
    .mGauges = { { .mSeries = { .mMetric = "open_streams" }, .mValue = 7 } },
    .mLatencies = { latency }
  };
  EXPECT_EQ(
    EncodePrometheus(report),
    "# TYPE lycheeseam_requests_total counter\n"
    "lycheeseam_requests_total{route=\"chat\"} 4\n"
    "# TYPE lycheeseam_requests_total_per_second gauge\n"
    "lycheeseam_requests_total_per_second{route=\"chat\"} 0.5\n"
    "# TYPE lycheeseam_open_streams gauge\n"
    "lycheeseam_open_streams 7\n"
    "# TYPE lycheeseam_pool_first_token_seconds summary\n"
    "lycheeseam_pool_first_token_seconds{pool=\"assistant\",quantile=\"0.5\"} "
    "0.1\n"
    "lycheeseam_pool_first_token_seconds{pool=\"assistant\",quantile=\"0.95\"} "
    "0.2\n"
    "lycheeseam_pool_first_token_seconds{pool=\"assistant\",quantile=\"0.99\"} "
    "0.2\n"
    "lycheeseam_pool_first_token_seconds_sum{pool=\"assistant\"} 0.3\n"
    "lycheeseam_pool_first_token_seconds_count{pool=\"assistant\"} 2\n");
}

TEST(TestEncodePrometheus, EscapesLabelValues)
{
  metrics_report const report{ .mGauges = {
                                 { .mSeries = { .mMetric = "g",
                                                .mLabel = "l",
                                                .mLabelValue = "a\"b\\c\n" },
                                   .mValue = 1 } } };
  EXPECT_NE(EncodePrometheus(report).find(R"({l="a\"b\\c\n"} 1)"),
            std::string::npos);
}

}
}
