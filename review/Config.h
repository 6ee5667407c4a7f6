#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace review {

/// A route, with the figures of the site's installation.
struct route_options
{
  std::string mName;
  std::string mPrefix;
  std::string mKind;
  std::string mService;
  int mTimeoutMs = 6'000;
  int mMaxAttempts = 2;
  bool mIsPublic = true;
  bool mIsResumable = false;
};

inline nlohmann::json
MakeRoute(route_options const& aOptions)
{
  bool const isStream = aOptions.mKind == "stream";
  nlohmann::json route{ { "name", aOptions.mName },
                        { "host", "ledger.example" },
                        { "path_prefix", aOptions.mPrefix },
                        { "kind", aOptions.mKind },
                        { "timeout_ms", aOptions.mTimeoutMs },
                        { "target_latency_ms", isStream ? 800 : 100 },
                        { "priority", isStream ? 1 : 2 },
                        { "service", aOptions.mService },
                        { "max_attempts", aOptions.mMaxAttempts },
                        { "public", aOptions.mIsPublic },
                        { "sticky", isStream },
                        { "resumable", aOptions.mIsResumable } };
  if (isStream)
    route["gap_aim_ms"] = 500;
  return route;
}

inline nlohmann::json
MakeService(std::string const& aName)
{
  return { { "name", aName },
           { "health_path", "/health" },
           { "max_conns", 360 },
           { "protocol", "h1" },
           { "tls", false } };
}

inline nlohmann::json
MakeEngineService(std::string const& aName, std::string const& aModel)
{
  nlohmann::json service = MakeService(aName);
  service["engine"] = {
    { "slots", 64 },         { "kv_tokens", 104'044 },
    { "kv_bytes", 327'680 }, { "link_mbps", 740'000.0 },
    { "moves", true },       { "backups", true },
    { "stride", 4 },         { "max_inflight", 12 },
    { "pin_ms", 4'000.0 },   { "hold_ms", 2'000.0 },
    { "handle_s", 5.0 },     { "models", { { { "name", aModel } } } }
  };
  return service;
}

inline nlohmann::json
MakeTenant(std::string const& aName, std::string const& aKey, bool aIsIsolated)
{
  return { { "name", aName },         { "api_keys", { aKey } },
           { "priority", 1 },         { "unit", "tokens" },
           { "plain_tokens", 200 },   { "isolated", aIsIsolated },
           { "rate_per_s", 126'177 }, { "burst", 126'177 } };
}

inline nlohmann::json
MakeConfig(int aVersion,
           nlohmann::json aRoutes,
           nlohmann::json aServices,
           nlohmann::json aTenants = nlohmann::json::array())
{
  nlohmann::json config{ { "version", aVersion },
                         { "routes", std::move(aRoutes) },
                         { "services", std::move(aServices) },
                         { "limits",
                           { { "max_header_bytes", 16'384 },
                             { "max_body_bytes", 4'194'304 },
                             { "header_timeout_ms", 3'000 },
                             { "idle_timeout_ms", 15'000 } } } };
  if (!aTenants.empty())
    config["tenants"] = std::move(aTenants);
  return config;
}

}
