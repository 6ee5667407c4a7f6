#include "RenderTemplate.h"
#include <LibSettings/ParseFleetSettings.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <iterator>
#include <string>

namespace lycheeseam {

namespace {

using nlohmann::json;

json
MachineFields()
{
  return json::parse(R"({
    "node": "front-bkk-a-1", "zone": "bkk-a", "ip": "10.1.0.24",
    "listen": { "front": "10.1.0.24:8606", "ready": "10.1.0.24:8605",
                "directory": "10.1.0.24:8603" },
    "internal_ports": [7600, 7615],
    "limits": { "cpu_share": 0.25 },
    "platform": { "addr": "10.200.1.7:8601" },
    "bounds": { "grace_s": 8, "quota_slack": 110000, "quota_overshoot": 0.1,
                "quota_window_s": 8, "retry_budget": 0.2, "budget_slack": 54,
                "budget_window_s": 10, "version_ms": 8000, "lease_ms": 3000 }
  })");
}

fleet_settings
Settings(json const& aFields)
{
  std::ifstream file{ SETTINGS_TEMPLATE };
  std::string const text{ std::istreambuf_iterator<char>{ file }, {} };
  return ParseFleetSettings(RenderTemplate(text, aFields));
}

TEST(TestSettingsTemplate, RendersValidSettings)
{
  fleet_settings const settings = Settings(MachineFields());
  EXPECT_EQ(settings.mInstance, instance_id{ "front-bkk-a-1" });
  EXPECT_EQ(settings.mStopTime.count(), 8'000);
  EXPECT_EQ(settings.mQuotaSlack, 110'000);
  EXPECT_EQ(settings.mRetrySlack, 54);
  EXPECT_EQ(settings.mLease.count(), 3'000);
}

// Guards against a process that doesn't start, or that takes 8.5 s for 8.5 ms:
// limits may have a fraction, as they have on scaled-down days.
TEST(TestSettingsTemplate, RendersLimitsWithFractions)
{
  json fields = MachineFields();
  fields["bounds"]["budget_slack"] = 37.096774193548384;
  fields["bounds"]["quota_window_s"] = 8.5;
  fields["bounds"]["quota_slack"] = 110000.5;
  fields["bounds"]["grace_s"] = 8.25;
  fields["bounds"]["version_ms"] = 8000.0;
  fleet_settings const settings = Settings(fields);
  EXPECT_NEAR(settings.mRetrySlack, 37.1, 0.01);
  EXPECT_EQ(settings.mQuotaWindow.count(), 8'500);
  EXPECT_EQ(settings.mQuotaSlack, 110'000.5);
  EXPECT_EQ(settings.mStopTime.count(), 8'250);
}

TEST(TestSettingsTemplate, RendersTheLimitsOfRollouts)
{
  json fields = MachineFields();
  fields["bounds"]["expose_share"] = 0.1;
  fields["bounds"]["expose_slack"] = 50;
  fields["bounds"]["rollback_ms"] = 5000;
  fleet_settings const settings = Settings(fields);
  EXPECT_EQ(settings.mExposureShare, 0.1);
  EXPECT_EQ(settings.mExposureSlack, 50);
  EXPECT_EQ(settings.mRollbackTime.count(), 5'000);
  EXPECT_EQ(Settings(MachineFields()).mExposureShare, 0);
}

TEST(TestSettingsTemplate, LimitsThatAreNotGivenTakeTheirDefaults)
{
  json fields = MachineFields();
  fields["bounds"] = { { "grace_s", 8 } };
  fleet_settings const settings = Settings(fields);
  EXPECT_EQ(settings.mQuotaWindow, fleet_settings{}.mQuotaWindow);
  EXPECT_EQ(settings.mRetryRatio, fleet_settings{}.mRetryRatio);
}

}

}
