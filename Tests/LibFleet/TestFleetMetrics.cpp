#include <LibEvents/EventLog.h>
#include <LibFleet/FleetMetrics.h>
#include <LibGateway/QuerySession.h>
#include <LibGateway/SessionListener.h>

#include <boost/asio/read.hpp>
#include <gtest/gtest.h>

#include <chrono>

namespace lycheeseam {
namespace {

using std::chrono::seconds;

std::string
Page(fleet_metrics& aMetrics)
{
  return aMetrics.Answer({ .mMethod = "GET", .mTarget = "/metrics" }).mBody;
}

bool
Contains(std::string const& aPage, std::string const& aLine)
{
  return aPage.find("\n" + aLine + "\n") != std::string::npos;
}

TEST(TestFleetMetrics, ServesTheCountersOfBothThreads)
{
  fleet_metrics metrics;
  metrics_recorder traffic;
  traffic.Count(traffic.OpenCounter({ .mMetric = "sends_total" }), 3);
  metrics.Merge(traffic.TakeDelta());
  metrics.Recorder().Count(
    metrics.Recorder().OpenCounter({ .mMetric = "calls_total" }));
  std::string const page = Page(metrics);
  EXPECT_TRUE(Contains(page, "lycheeseam_sends_total 3")) << page;
  EXPECT_TRUE(Contains(page, "lycheeseam_calls_total 1")) << page;
}

TEST(TestFleetMetrics, CountsEventsThatWereNotWritten)
{
  fleet_metrics metrics;
  LogEvent("metrics_test", {});
  LogEvent("metrics_test", {});
  EXPECT_TRUE(Contains(Page(metrics),
                       "lycheeseam_events_total{event=\"metrics_test\"} 2"));
}

TEST(TestFleetMetrics, ShowsTheFleetViewAndTheOrderLease)
{
  fleet_metrics metrics;
  fleet_view view{ .mInstances = 4, .mUnresponsiveInstances = 1 };
  instant const start{ seconds{ 100 } };
  view.mConfig =
    std::make_shared<dispatch_config const>(7,
                                            std::vector<dispatch_route>{},
                                            std::vector<dispatch_pool>{},
                                            std::vector<dispatch_workspace>{},
                                            caller_limits{});
  metrics.Tick(start, view, 12);
  metrics.Tick(start + seconds{ 2 }, view, 12);
  std::string const page = Page(metrics);
  EXPECT_TRUE(Contains(page, "lycheeseam_config_version 7")) << page;
  EXPECT_TRUE(Contains(page, "lycheeseam_config_age_seconds 2")) << page;
  EXPECT_TRUE(Contains(page, "lycheeseam_instances_silent 1")) << page;
  EXPECT_TRUE(Contains(page, "lycheeseam_order_lease 12")) << page;
}

TEST(TestFleetMetrics, AnswersOverHttp)
{
  using tcp = boost::asio::ip::tcp;
  endpoint const address{ .mAddress = "127.0.0.1", .mPort = 0 };
  boost::asio::io_context context;
  fleet_metrics metrics;
  session_listener<query_session<fleet_metrics>, fleet_metrics> page{ context,
                                                                      metrics,
                                                                      address };
  page.Accept();
  tcp::socket caller{ context };
  caller.connect(
    { boost::asio::ip::make_address(address.mAddress), page.Port() });
  boost::asio::write(
    caller,
    boost::asio::buffer(std::string_view{ "GET /metrics HTTP/1.1\r\nHost: h\r\n"
                                          "Connection: close\r\n\r\n" }));
  std::string answer;
  boost::asio::async_read(caller,
                          boost::asio::dynamic_buffer(answer),
                          [&](auto, std::size_t) { context.stop(); });
  context.run_for(seconds{ 5 });
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 OK\r\n")) << answer;
}

TEST(TestFleetMetrics, AnswersOtherRequestsWithNotFound)
{
  fleet_metrics metrics;
  EXPECT_EQ(metrics.Answer({ .mMethod = "GET", .mTarget = "/" }).mHead.mStatus,
            404u);
  EXPECT_EQ(
    metrics.Answer({ .mMethod = "POST", .mTarget = "/metrics" }).mHead.mStatus,
    404u);
}

}
}
