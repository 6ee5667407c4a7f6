#include <LibSettings/ParseFleetSettings.h>
#include <LibSettings/ParseUniqueJson.h>
#include <LibSettings/ReadSettingsFile.h>
#include <LibSettings/SettingsError.h>
#include <LibSettings/SettingsReader.h>

#include <nlohmann/json.hpp>

#include <utility>

namespace lycheeseam {

namespace {

constexpr std::uint64_t kMinuteMs = 60'000;
constexpr std::uint64_t kMaxPercent = 1'000;
constexpr double kMaxCores = 1'000;
constexpr std::uint64_t kMaxUnits = 1'000'000'000;

endpoint
ReadAddress(settings_reader& aReader, std::string_view aField)
{
  return aReader.ReadEndpoint(aField, field_presence::Required)
    .value_or(endpoint{});
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
  aReader.RefuseUnknownFields();
}

void
ReadLimits(settings_reader aReader, fleet_settings& aSettings)
{
  number_range const duration{ 1, kMinuteMs };
  number_range const count{ 0, kMaxUnits };
  aReader.ReadNumber("quota_slack", count, aSettings.mQuotaSlack);
  aReader.ReadMilliseconds("quota_window_ms", duration, aSettings.mQuotaWindow);
  aReader.ReadNumber(
    "retry_percent", { 0, kMaxPercent }, aSettings.mRetryPercent);
  aReader.ReadNumber("retry_slack", count, aSettings.mRetrySlack);
  aReader.ReadMilliseconds("retry_window_ms", duration, aSettings.mRetryWindow);
  aReader.ReadMilliseconds("weights_ms", duration, aSettings.mWeightsTime);
  aReader.ReadMilliseconds("stop_ms", duration, aSettings.mStopTime);
  aReader.ReadMilliseconds("lease_ms", duration, aSettings.mLease);
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
