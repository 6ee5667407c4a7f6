#include "FaultPaths.h"
#include <LibSettings/ParseFleetSettings.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace lycheeseam {
namespace {

using nlohmann::json;

json
MinimalSettings()
{
  return json::parse(R"({
    "instance": "entry-1",
    "failure_domain": "bkk-1",
    "listen": { "callers": "127.0.0.1:8080", "readiness": "127.0.0.1:8081",
                "addresses": "127.0.0.1:8082", "peers": "127.0.0.1:8083" },
    "store": "127.0.0.1:7000"
  })");
}

std::vector<std::string>
FaultPaths(std::string const& aText)
{
  return FaultPathsOf(ParseFleetSettings, aText);
}

TEST(TestParseFleetSettings, MinimalFileTakesDefaults)
{
  fleet_settings const settings = ParseFleetSettings(MinimalSettings().dump());
  EXPECT_EQ(settings.mInstance, instance_id{ "entry-1" });
  EXPECT_EQ(settings.mStore, endpoint::Parse("127.0.0.1:7000"));
  EXPECT_FALSE(settings.mMetrics);
  EXPECT_EQ(settings.mTunnels, endpoint::Parse("127.0.0.1:8084"));
  EXPECT_EQ(settings.mCores, 0);
  EXPECT_EQ(settings.mQuotaWindow, std::chrono::milliseconds{ 8'000 });
  // Without these settings no rollout is run and no software held back.
  EXPECT_EQ(settings.mExposureShare, 0);
  EXPECT_EQ(settings.mExposureSlack, 0);
}

TEST(TestParseFleetSettings, ReadsEveryField)
{
  json document = MinimalSettings();
  document["listen"]["metrics"] = "127.0.0.1:8084";
  document["listen"]["tunnels"] = "127.0.0.1:8085";
  document["cores"] = 0.25;
  document["limits"] = { { "quota_slack", 7.25 },    { "quota_window_s", 8.5 },
                         { "quota_overshoot", 0.1 }, { "retry_ratio", 0.12 },
                         { "retry_slack", 13.5 },    { "retry_window_s", 14 },
                         { "weights_ms", 15 },       { "stop_s", 0.016 },
                         { "lease_ms", 17.0 },       { "exposure_share", 0.1 },
                         { "exposure_slack", 50 },   { "rollback_ms", 18 } };
  fleet_settings const settings = ParseFleetSettings(document.dump());
  EXPECT_EQ(settings.mMetrics, endpoint::Parse("127.0.0.1:8084"));
  EXPECT_EQ(settings.mTunnels, endpoint::Parse("127.0.0.1:8085"));
  EXPECT_EQ(settings.mCores, 0.25);
  EXPECT_EQ(settings.mQuotaSlack, 7.25);
  EXPECT_EQ(settings.mQuotaOvershoot, 0.1);
  EXPECT_EQ(settings.mQuotaWindow.count(), 8'500);
  EXPECT_EQ(settings.mRetryRatio, 0.12);
  EXPECT_EQ(settings.mRetrySlack, 13.5);
  EXPECT_EQ(settings.mRetryWindow.count(), 14'000);
  EXPECT_EQ(settings.mWeightsTime.count(), 15);
  EXPECT_EQ(settings.mStopTime.count(), 16);
  EXPECT_EQ(settings.mLease.count(), 17);
  EXPECT_EQ(settings.mExposureShare, 0.1);
  EXPECT_EQ(settings.mExposureSlack, 50);
  EXPECT_EQ(settings.mRollbackTime.count(), 18);
}

// Guards against settings of earlier versions with which no process starts.
TEST(TestParseFleetSettings, DefaultPortForTunnelsGivesWayToOtherAddresses)
{
  json document = MinimalSettings();
  document["listen"]["metrics"] = "127.0.0.1:8084";
  EXPECT_EQ(ParseFleetSettings(document.dump()).mTunnels.mPort, 0);
}

TEST(TestParseFleetSettings, ReportsAllFaultsAtOnce)
{
  json document = MinimalSettings();
  document.erase("store");
  document["listen"]["peers"] = "nowhere";
  document["listen"]["admin"] = "127.0.0.1:1";
  document["cores"] = -1;
  document["limits"] = { { "lease_ms", 0 } };
  std::vector<std::string> paths = FaultPaths(document.dump());
  std::sort(paths.begin(), paths.end());
  EXPECT_EQ(paths,
            (std::vector<std::string>{ "$.cores",
                                       "$.limits.lease_ms",
                                       "$.listen.admin",
                                       "$.listen.peers",
                                       "$.store" }));
}

TEST(TestParseFleetSettings, RefusesTimesThatAreNoNumberOrOutOfBounds)
{
  for (char const* const field :
       { "quota_window_s", "retry_window_s", "stop_s" }) {
    for (json const& wrong : { json(0), json(60.5), json(-1), json("8") }) {
      json document = MinimalSettings();
      document["limits"] = { { field, wrong } };
      EXPECT_EQ(FaultPaths(document.dump()),
                std::vector<std::string>{ std::string{ "$.limits." } + field });
    }
  }
}

TEST(TestParseFleetSettings, RefusesRatiosAndSlacksOutOfBounds)
{
  for (char const* const field :
       { "quota_slack", "quota_overshoot", "retry_ratio", "retry_slack" }) {
    json document = MinimalSettings();
    document["limits"] = { { field, -0.5 } };
    EXPECT_EQ(FaultPaths(document.dump()),
              std::vector<std::string>{ std::string{ "$.limits." } + field });
  }
}

TEST(TestParseFleetSettings, RefusesCoresThatAreNoNumberOrOutOfBounds)
{
  for (json const& wrong : { json("0.25"), json(1000.5), json::array() }) {
    json document = MinimalSettings();
    document["cores"] = wrong;
    EXPECT_EQ(FaultPaths(document.dump()),
              std::vector<std::string>{ "$.cores" });
  }
}

}
}
