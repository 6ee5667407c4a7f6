#include <LibGateway/TrafficMeter.h>
#include <LibMetrics/MetricsStore.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;

class TestTrafficMeter : public testing::Test
{
protected:
  metrics_report Report()
  {
    mStore.Merge(mMeter.TakeDelta());
    return mStore.Report();
  }

  std::uint64_t CounterTotal(std::string const& aMetric,
                             std::string const& aValue)
  {
    metrics_report const report = Report();
    auto const found =
      std::find_if(report.mCounters.begin(),
                   report.mCounters.end(),
                   [&](counter_report const& aCounter) {
                     return aCounter.mSeries.mMetric == aMetric &&
                            aCounter.mSeries.mLabelValue == aValue;
                   });
    return found == report.mCounters.end() ? 0 : found->mTotal;
  }

  latency_histogram Histogram(std::string const& aMetric,
                              std::string const& aValue)
  {
    metrics_report const report = Report();
    auto const found =
      std::find_if(report.mHistograms.begin(),
                   report.mHistograms.end(),
                   [&](histogram_report const& aHistogram) {
                     return aHistogram.mSeries.mMetric == aMetric &&
                            aHistogram.mSeries.mLabelValue == aValue;
                   });
    return found == report.mHistograms.end() ? latency_histogram{}
                                             : found->mHistogram;
  }

  dispatch_route mRoute{ .mName = route_name{ "chat" } };
  dispatch_workspace mWorkspace{ .mName = workspace_id{ "shop" } };
  admitted_request mAdmitted{ .mRoute = &mRoute,
                              .mWorkspace = &mWorkspace,
                              .mPool = pool_name{ "engines" } };
  instant mStart{ std::chrono::seconds{ 50 } };
  run_trace mTrace{ .mStartedAt = mStart };
  traffic_meter mMeter;
  metrics_store mStore;
};

TEST_F(TestTrafficMeter, CountsRetriesSeparately)
{
  mMeter.OnSend(mAdmitted, false);
  mMeter.OnSend(mAdmitted, true);
  mMeter.OnRetryDenied(mAdmitted.mPool);
  EXPECT_EQ(CounterTotal("sends_total", "chat"), 2u);
  EXPECT_EQ(CounterTotal("repeats_total", "engines"), 1u);
  EXPECT_EQ(CounterTotal("repeats_denied_total", "engines"), 1u);
}

TEST_F(TestTrafficMeter, TimesFirstPieceAndFullAnswer)
{
  mTrace.mFirstPieceAt = mStart + milliseconds{ 300 };
  mMeter.OnAnswer(mStart + milliseconds{ 900 },
                  mTrace,
                  mAdmitted,
                  backend_server_id{ "s1" },
                  200);
  EXPECT_EQ(Histogram("route_first_byte_seconds", "chat").Sum(),
            milliseconds{ 300 });
  EXPECT_EQ(Histogram("route_answer_seconds", "chat").Sum(),
            milliseconds{ 900 });
  EXPECT_EQ(Histogram("workspace_first_byte_seconds", "shop").Count(), 1u);
  EXPECT_EQ(Histogram("server_first_byte_seconds", "s1").Count(), 1u);
  EXPECT_EQ(CounterTotal("answers_total", "200"), 1u);
}

TEST_F(TestTrafficMeter, CountsRefusalsWithAndWithoutRoute)
{
  mMeter.OnRefusal(mStart + milliseconds{ 20 },
                   mTrace,
                   admitted_request{},
                   { .mStatus = refusal_status::NotFound });
  mMeter.OnRefusal(
    mStart, mTrace, mAdmitted, { .mStatus = refusal_status::OverQuota });
  EXPECT_EQ(Histogram("refusal_held_seconds", "404").Sum(), milliseconds{ 20 });
  EXPECT_EQ(Histogram("refusal_held_seconds", "429").Count(), 1u);
  EXPECT_EQ(CounterTotal("route_refusals_total", "chat"), 1u);
  EXPECT_EQ(CounterTotal("workspace_refusals_total", "shop"), 1u);
}

TEST_F(TestTrafficMeter, LimitsServersWithSeriesOfTheirOwn)
{
  for (int index = 0; index < 5'100; ++index)
    mMeter.OnBreakerOpened(backend_server_id{ "s" + std::to_string(index) });
  EXPECT_EQ(CounterTotal("breakers_opened_total", "others"), 100u);
  EXPECT_EQ(CounterTotal("breakers_opened_total", "s0"), 1u);
}

TEST_F(TestTrafficMeter, CountsProbesByResult)
{
  mMeter.OnProbeEnd(probe_result::Answered);
  mMeter.OnProbeEnd(probe_result::Answered);
  mMeter.OnProbeEnd(probe_result::TimedOut);
  EXPECT_EQ(CounterTotal("probes_total", "answered"), 2u);
  EXPECT_EQ(CounterTotal("probes_total", "timed_out"), 1u);
}

// Guards against a series where no server reports a slowdown.
TEST_F(TestTrafficMeter, TimesTheAgeOfReportsWithASlowdown)
{
  reported_load load{ .mReportedAt = mStart - milliseconds{ 200 } };
  mMeter.OnLoadUsed(mStart, std::nullopt);
  mMeter.OnLoadUsed(mStart, load);
  EXPECT_EQ(Histogram("load_report_age_seconds", "").Count(), 0u);
  load.mSlowdown = 1.5;
  mMeter.OnLoadUsed(mStart, load);
  EXPECT_EQ(Histogram("load_report_age_seconds", "").Count(), 1u);
}

}
}
