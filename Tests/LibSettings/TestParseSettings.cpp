#include "FaultPaths.h"
#include <LibSettings/ParseSettings.h>
#include <LibSettings/SettingsError.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace lycheeseam {
namespace {

using nlohmann::json;

json
MinimalSettings()
{
  return json::parse(R"({
    "instance": "entry-1",
    "failure_domain": "bkk-1",
    "listen": { "callers": "127.0.0.1:8080", "admin": "127.0.0.1:8081",
                "peers": "127.0.0.1:8082" },
    "platform": "127.0.0.1:7000"
  })");
}

std::vector<std::string>
FaultPaths(std::string const& aText)
{
  return FaultPathsOf(ParseSettings, aText);
}

TEST(TestParseSettings, MinimalFileTakesDefaults)
{
  daemon_settings const settings = ParseSettings(MinimalSettings().dump());
  EXPECT_EQ(settings.mInstance, instance_id{ "entry-1" });
  EXPECT_EQ(settings.mAdvertise.mCallers, settings.mListen.mCallers);
  EXPECT_EQ(settings.mAdvertise.mPeers, settings.mListen.mPeers);
  EXPECT_EQ(settings.mLimits, limit_settings{});
  EXPECT_EQ(settings.mTimeouts, timeout_settings{});
  EXPECT_EQ(settings.mHeartbeat, heartbeat_settings{});
  EXPECT_EQ(settings.mThreads, thread_settings{});
  EXPECT_FALSE(settings.mTrace.mOtlpEndpoint.has_value());
}

TEST(TestParseSettings, ReadsEverySection)
{
  json file = MinimalSettings();
  file["advertise"] = { { "callers", "10.0.0.1:8080" } };
  file["peers"] = { "10.0.0.2:8082", "10.0.0.3:8082" };
  file["operators"] = { { { "name", "som" },
                          { "key_digest", digest::Of("k").Hex() } } };
  file["threads"] = { { "front_workers", 3 }, { "upstream_loops", 5 } };
  file["limits"] = { { "max_body_bytes", 2048 } };
  file["timeouts"] = { { "shutdown_ms", 5000 } };
  file["heartbeat"] = { { "interval_ms", 100 }, { "timeout_ms", 400 } };
  file["trace"] = { { "otlp_endpoint", "127.0.0.1:4318" } };
  file["log"] = { { "level", "warn" }, { "console", false } };
  daemon_settings const settings = ParseSettings(file.dump());
  EXPECT_EQ(settings.mAdvertise.mCallers.Text(), "10.0.0.1:8080");
  EXPECT_EQ(settings.mPeers.size(), 2u);
  EXPECT_EQ(settings.mOperators.at(0).mDigest, digest::Of("k"));
  EXPECT_EQ(settings.mThreads.mUpstreamLoops, 5u);
  EXPECT_EQ(settings.mLimits.mMaxBodyBytes, 2048u);
  EXPECT_EQ(settings.mTimeouts.mShutdown, std::chrono::seconds{ 5 });
  EXPECT_EQ(settings.mHeartbeat.mTimeout, std::chrono::milliseconds{ 400 });
  EXPECT_EQ(settings.mTrace.mOtlpEndpoint->mPort, 4318);
  EXPECT_EQ(settings.mLog.mLevel, log_level::Warn);
  EXPECT_FALSE(settings.mLog.mConsole);
}

TEST(TestParseSettings, ReportsAllFaultsAtOnce)
{
  json file = MinimalSettings();
  file.erase("instance");
  file["listen"]["callers"] = "localhost:8080";
  file["limits"] = { { "max_body_bytes", 1 }, { "max_bodies", 2 } };
  file["timeouts"] = { { "shutdown_ms", -1 } };
  file["threads"] = 7;
  file["colour"] = "red";
  std::vector<std::string> const expected{ "$.instance",
                                           "$.listen.callers",
                                           "$.threads",
                                           "$.limits.max_body_bytes",
                                           "$.limits.max_bodies",
                                           "$.timeouts.shutdown_ms",
                                           "$.colour" };
  std::vector<std::string> const found = FaultPaths(file.dump());
  EXPECT_TRUE(std::is_permutation(
    found.begin(), found.end(), expected.begin(), expected.end()))
    << json(found).dump();
}

TEST(TestParseSettings, FaultNamesPathValueAndAllowedRange)
{
  json file = MinimalSettings();
  file["threads"] = { { "front_workers", 0 } };
  try {
    ParseSettings(file.dump());
    FAIL();
  } catch (settings_error const& caught) {
    EXPECT_STREQ(caught.what(),
                 "$.threads.front_workers: found 0; allowed: a whole number "
                 "from 1 to 64");
  }
}

TEST(TestParseSettings, WildcardNeedsAdvertisedAddress)
{
  json file = MinimalSettings();
  file["listen"]["callers"] = "0.0.0.0:8080";
  EXPECT_EQ(FaultPaths(file.dump()),
            std::vector<std::string>{ "$.advertise.callers" });
  file["advertise"] = { { "callers", "10.0.0.1:8080" } };
  EXPECT_TRUE(FaultPaths(file.dump()).empty());
}

TEST(TestParseSettings, FaultHidesTheValueOfAKeyDigest)
{
  json file = MinimalSettings();
  file["operators"] = {
    { { "name", "som" }, { "key", "s3cret" }, { "key_digest", "s3cret" } }
  };
  try {
    ParseSettings(file.dump());
    FAIL();
  } catch (settings_error const& caught) {
    std::string const text = caught.what();
    EXPECT_EQ(text.find("s3cret"), std::string::npos);
    EXPECT_NE(text.find("$.operators[0].key_digest"), std::string::npos);
  }
}

TEST(TestParseSettings, RefusesDuplicateFields)
{
  std::string text = MinimalSettings().dump();
  text.insert(1, R"("platform":"127.0.0.1:1",)");
  EXPECT_EQ(FaultPaths(text), std::vector<std::string>{ "$..platform" });
}

TEST(TestParseSettings, RefusesSettingsThatContradictEachOther)
{
  json file = MinimalSettings();
  file["listen"]["admin"] = file["listen"]["callers"];
  file["heartbeat"] = { { "interval_ms", 3000 }, { "timeout_ms", 4000 } };
  file["limits"] = { { "max_peer_queue_bytes", 65536 } };
  EXPECT_EQ(FaultPaths(file.dump()),
            (std::vector<std::string>{ "$.listen.admin",
                                       "$.limits.max_peer_queue_bytes",
                                       "$.heartbeat.timeout_ms" }));
}

TEST(TestParseSettings, RefusesTextThatIsNotJson)
{
  EXPECT_EQ(FaultPaths("{"), std::vector<std::string>{ "$" });
  EXPECT_FALSE(FaultPaths("[]").empty());
}

TEST(TestLoadSettings, RefusesUnreadableFile)
{
  EXPECT_THROW(LoadSettings("/nonexistent/settings.json"), settings_error);
}

}
}
