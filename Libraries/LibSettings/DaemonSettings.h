#pragma once

#include <LibCore/Identifiers.h>
#include <LibSettings/AdvertiseSettings.h>
#include <LibSettings/HeartbeatSettings.h>
#include <LibSettings/LimitSettings.h>
#include <LibSettings/ListenSettings.h>
#include <LibSettings/LogSettings.h>
#include <LibSettings/OperatorKey.h>
#include <LibSettings/ThreadSettings.h>
#include <LibSettings/TimeoutSettings.h>
#include <LibSettings/TraceSettings.h>

#include <vector>

namespace lycheeseam {

/// The settings of lycheeseamd, read once at its start. docs/SETTINGS.md lists
/// each setting with its unit, default and allowed values.
struct daemon_settings
{
  instance_id mInstance;
  failure_domain mFailureDomain;
  listen_settings mListen;
  advertise_settings mAdvertise;
  endpoint mPlatform;
  /// The peers to connect to at the start; the platform's list of instances has
  /// the others.
  std::vector<endpoint> mPeers;
  std::vector<operator_key> mOperators;
  thread_settings mThreads;
  limit_settings mLimits;
  timeout_settings mTimeouts;
  heartbeat_settings mHeartbeat;
  trace_settings mTrace;
  log_settings mLog;

  bool operator==(daemon_settings const&) const = default;
};

}
