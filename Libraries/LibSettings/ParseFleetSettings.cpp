#include <LibSettings/ParseFleetSettings.h>
#include <LibSettings/ParseUniqueJson.h>
#include <LibSettings/ReadSettingsFile.h>
#include <LibSettings/SettingsError.h>
#include <LibSettings/SettingsReader.h>

#include <nlohmann/json.hpp>

#include <utility>

namespace lycheeseam {

namespace {

constexpr double kMaxCores = 1'000;
constexpr double kMaxUnits = 1'000'000'000;
constexpr double kMaxRatio = 10;

// The units of the settings that are times.
constexpr std::chrono::milliseconds kMillisecond{ 1 };
constexpr std::chrono::milliseconds kSecond{ 1'000 };

endpoint
ReadAddress(settings_reader& aReader, std::string_view aField)
{
  return aReader.ReadEndpoint(aField, field_presence::Required)
    .value_or(endpoint{});
}

// The port after that of peers; none if it has another use.
endpoint
DefaultTunnels(fleet_settings const& aSettings)
{
  endpoint next = aSettings.mPeers;
  ++next.mPort;
  bool const isUsed =
    next == aSettings.mCallers || next == aSettings.mReadiness ||
    next == aSettings.mAddresses || next == aSettings.mMetrics;
  return isUsed ? endpoint{} : next;
}

void
ReadListen(settings_reader aReader, fleet_settings& aSettings)
{
  aSettings.mCallers = ReadAddress(aReader, "callers");
  aSettings.mReadiness = ReadAddress(aReader, "readiness");
  aSettings.mAddresses = ReadAddress(aReader, "addresses");
  aSettings.mPeers = ReadAddress(aReader, "peers");
  aSettings.mMetrics =
    aReader.ReadEndpoint("metrics", field_presence::Optional);
  aSettings.mTunnels = aReader.ReadEndpoint("tunnels", field_presence::Optional)
                         .value_or(DefaultTunnels(aSettings));
  aReader.RefuseUnknownFields();
}

void
ReadLimits(settings_reader aReader, fleet_settings& aSettings)
{
  aReader.ReadFraction("quota_slack", kMaxUnits, aSettings.mQuotaSlack);
  aReader.ReadFraction("quota_overshoot", kMaxRatio, aSettings.mQuotaOvershoot);
  aReader.ReadDuration("quota_window_s", kSecond, aSettings.mQuotaWindow);
  aReader.ReadFraction("retry_ratio", kMaxRatio, aSettings.mRetryRatio);
  aReader.ReadFraction("retry_slack", kMaxUnits, aSettings.mRetrySlack);
  aReader.ReadDuration("retry_window_s", kSecond, aSettings.mRetryWindow);
  aReader.ReadDuration("weights_ms", kMillisecond, aSettings.mWeightsTime);
  aReader.ReadDuration("stop_s", kSecond, aSettings.mStopTime);
  aReader.ReadDuration("lease_ms", kMillisecond, aSettings.mLease);
  aReader.ReadFraction("exposure_share", 1, aSettings.mExposureShare);
  aReader.ReadFraction("exposure_slack", kMaxUnits, aSettings.mExposureSlack);
  aReader.ReadDuration("rollback_ms", kMillisecond, aSettings.mRollbackTime);
  aReader.RefuseUnknownFields();
}

}

fleet_settings
ParseFleetSettings(std::string_view aText)
{
  std::vector<settings_fault> faults;
  nlohmann::json const document = ParseUniqueJson(aText, faults);
  settings_reader root{ document, "$", faults };

  fleet_settings settings;
  std::string instance;
  std::string domain;
  root.ReadName("instance", instance);
  root.ReadName("failure_domain", domain);
  settings.mInstance = instance_id{ instance };
  settings.mDomain = failure_domain{ domain };
  ReadListen(root.Section("listen"), settings);
  settings.mStore = ReadAddress(root, "store");
  root.ReadFraction("cores", kMaxCores, settings.mCores);
  ReadLimits(root.Section("limits"), settings);
  root.RefuseUnknownFields();

  if (!faults.empty())
    throw settings_error(std::move(faults));
  return settings;
}

fleet_settings
LoadFleetSettings(std::string const& aPath)
{
  return ParseFleetSettings(ReadSettingsFile(aPath));
}

}
