#include <LibSettings/ParseSettings.h>
#include <LibSettings/ParseUniqueJson.h>
#include <LibSettings/ReadSettingsFile.h>
#include <LibSettings/SettingsError.h>
#include <LibSettings/SettingsReader.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <span>

namespace lycheeseam {

namespace {

constexpr std::uint64_t kKibibyte = 1024;
constexpr std::uint64_t kMebibyte = 1024 * kKibibyte;
constexpr std::uint64_t kSecondMs = 1000;
constexpr std::uint64_t kHourMs = 3600 * kSecondMs;

bool
IsWildcard(endpoint const& aEndpoint)
{
  return aEndpoint.mAddress == "0.0.0.0" || aEndpoint.mAddress == "::";
}

std::string
ReadName(settings_reader& aReader, std::string_view aField)
{
  std::string name;
  aReader.ReadName(aField, name);
  return name;
}

endpoint
ReadRequiredEndpoint(settings_reader& aReader, std::string_view aField)
{
  return aReader.ReadEndpoint(aField, field_presence::Required)
    .value_or(endpoint{});
}

listen_settings
ReadListen(settings_reader aReader)
{
  listen_settings listen{ .mCallers = ReadRequiredEndpoint(aReader, "callers"),
                          .mAdmin = ReadRequiredEndpoint(aReader, "admin"),
                          .mPeers = ReadRequiredEndpoint(aReader, "peers") };
  if (listen.mAdmin.mPort != 0 && listen.mAdmin == listen.mCallers)
    aReader.Refuse("admin", "an address other than that for callers");
  if (listen.mPeers.mPort != 0 &&
      (listen.mPeers == listen.mCallers || listen.mPeers == listen.mAdmin))
    aReader.Refuse("peers", "an address of its own");
  aReader.RefuseUnknownFields();
  return listen;
}

endpoint
ReadAdvertised(settings_reader& aReader,
               std::string_view aField,
               endpoint const& aListen)
{
  std::optional<endpoint> const found =
    aReader.ReadEndpoint(aField, field_presence::Optional);
  endpoint chosen = found.value_or(aListen);
  if (IsWildcard(chosen))
    aReader.Refuse(aField, "an IP number that others can connect to");
  return chosen;
}

advertise_settings
ReadAdvertise(settings_reader aReader, listen_settings const& aListen)
{
  advertise_settings advertise{
    .mCallers = ReadAdvertised(aReader, "callers", aListen.mCallers),
    .mPeers = ReadAdvertised(aReader, "peers", aListen.mPeers)
  };
  aReader.RefuseUnknownFields();
  return advertise;
}

bool
HoldsDigest(std::span<operator_key const> aOperators, digest const& aDigest)
{
  auto const hasDigest = [&aDigest](operator_key const& aKey) {
    return aKey.mDigest == aDigest;
  };
  return std::any_of(aOperators.begin(), aOperators.end(), hasDigest);
}

std::vector<operator_key>
ReadOperators(settings_reader& aReader)
{
  std::vector<operator_key> operators;
  for (settings_reader& entry : aReader.Sections("operators")) {
    operator_key key{ .mName = ReadName(entry, "name") };
    entry.ReadDigest("key_digest", key.mDigest);
    if (key.mDigest != digest{} && HoldsDigest(operators, key.mDigest))
      entry.Refuse("name", "one entry for each key digest");
    entry.RefuseUnknownFields();
    operators.push_back(std::move(key));
  }
  return operators;
}

thread_settings
ReadThreads(settings_reader aReader)
{
  thread_settings threads;
  aReader.ReadNumber("front_workers", { 1, 64 }, threads.mFrontWorkers);
  aReader.ReadNumber("upstream_loops", { 1, 64 }, threads.mUpstreamLoops);
  aReader.RefuseUnknownFields();
  return threads;
}

limit_settings
ReadLimits(settings_reader aReader)
{
  limit_settings limits;
  aReader.ReadNumber(
    "max_body_bytes", { kKibibyte, 256 * kMebibyte }, limits.mMaxBodyBytes);
  aReader.ReadNumber("max_open_streams", { 1, 100000 }, limits.mMaxOpenStreams);
  aReader.ReadNumber("max_stream_queue_bytes",
                     { 4 * kKibibyte, 64 * kMebibyte },
                     limits.mMaxStreamQueueBytes);
  aReader.ReadNumber("max_peer_frame_bytes",
                     { 64 * kKibibyte, 64 * kMebibyte },
                     limits.mMaxPeerFrameBytes);
  aReader.ReadNumber("max_peer_queue_bytes",
                     { 64 * kKibibyte, 256 * kMebibyte },
                     limits.mMaxPeerQueueBytes);
  if (limits.mMaxPeerQueueBytes < limits.mMaxPeerFrameBytes)
    aReader.Refuse("max_peer_queue_bytes", "at least max_peer_frame_bytes");
  aReader.RefuseUnknownFields();
  return limits;
}

timeout_settings
ReadTimeouts(settings_reader aReader)
{
  timeout_settings timeouts;
  number_range const request{ 1, 60 * kSecondMs };
  aReader.ReadMilliseconds(
    "platform_request_ms", request, timeouts.mPlatformRequest);
  aReader.ReadMilliseconds("log_poll_wait_ms", request, timeouts.mLogPollWait);
  aReader.ReadMilliseconds(
    "backend_connect_ms", request, timeouts.mBackendConnect);
  aReader.ReadMilliseconds("peer_connect_ms", request, timeouts.mPeerConnect);
  aReader.ReadMilliseconds("peer_request_ms", request, timeouts.mPeerRequest);
  aReader.ReadMilliseconds(
    "address_ttl_ms", { kSecondMs, kHourMs }, timeouts.mAddressTtl);
  aReader.ReadMilliseconds(
    "shutdown_ms", { kSecondMs, 24 * kHourMs }, timeouts.mShutdown);
  aReader.RefuseUnknownFields();
  return timeouts;
}

heartbeat_settings
ReadHeartbeat(settings_reader aReader)
{
  heartbeat_settings heartbeat;
  number_range const range{ 50, 60 * kSecondMs };
  aReader.ReadMilliseconds("interval_ms", range, heartbeat.mInterval);
  aReader.ReadMilliseconds("timeout_ms", range, heartbeat.mTimeout);
  aReader.ReadMilliseconds(
    "freshness_bound_ms", range, heartbeat.mFreshnessBound);
  if (heartbeat.mTimeout < 2 * heartbeat.mInterval)
    aReader.Refuse("timeout_ms", "at least twice interval_ms");
  if (heartbeat.mFreshnessBound < heartbeat.mInterval)
    aReader.Refuse("freshness_bound_ms", "at least interval_ms");
  aReader.RefuseUnknownFields();
  return heartbeat;
}

trace_settings
ReadTrace(settings_reader aReader)
{
  trace_settings trace;
  aReader.ReadNumber("ring_spans", { 64, 1000000 }, trace.mRingSpans);
  trace.mOtlpEndpoint =
    aReader.ReadEndpoint("otlp_endpoint", field_presence::Optional);
  aReader.RefuseUnknownFields();
  return trace;
}

log_settings
ReadLog(settings_reader aReader)
{
  log_settings log;
  aReader.ReadLogLevel("level", log.mLevel);
  aReader.ReadFlag("console", log.mConsole);
  aReader.RefuseUnknownFields();
  return log;
}

}

daemon_settings
ParseSettings(std::string_view aText)
{
  std::vector<settings_fault> faults;
  nlohmann::json const document = ParseUniqueJson(aText, faults);
  settings_reader root{ document, "$", faults };

  daemon_settings settings;
  settings.mInstance = instance_id{ ReadName(root, "instance") };
  settings.mFailureDomain = failure_domain{ ReadName(root, "failure_domain") };
  settings.mListen = ReadListen(root.Section("listen"));
  settings.mAdvertise =
    ReadAdvertise(root.Section("advertise"), settings.mListen);
  settings.mPlatform = ReadRequiredEndpoint(root, "platform");
  root.ReadEndpoints("peers", settings.mPeers);
  settings.mOperators = ReadOperators(root);
  settings.mThreads = ReadThreads(root.Section("threads"));
  settings.mLimits = ReadLimits(root.Section("limits"));
  settings.mTimeouts = ReadTimeouts(root.Section("timeouts"));
  settings.mHeartbeat = ReadHeartbeat(root.Section("heartbeat"));
  settings.mTrace = ReadTrace(root.Section("trace"));
  settings.mLog = ReadLog(root.Section("log"));
  root.RefuseUnknownFields();

  if (!faults.empty())
    throw settings_error(std::move(faults));
  return settings;
}

daemon_settings
LoadSettings(std::string const& aPath)
{
  return ParseSettings(ReadSettingsFile(aPath));
}

}
