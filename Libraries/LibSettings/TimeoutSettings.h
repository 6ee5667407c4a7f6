#pragma once

#include <chrono>

namespace lycheeseam {

/// Timeouts and other durations.
struct timeout_settings
{
  /// The time limit of a request to the platform, in addition to any wait that
  /// the request asks for.
  std::chrono::milliseconds mPlatformRequest{ 5000 };
  /// How long the platform may hold a read of the log's tail until there is a
  /// new record. The answer confirms the tail as of the time the read was sent,
  /// and lending needs a confirmation of at most 1 s, so the wait is well
  /// below.
  std::chrono::milliseconds mLogPollWait{ 250 };
  /// The time limit for connecting to a backend server.
  std::chrono::milliseconds mBackendConnect{ 1000 };
  /// The time limit for connecting to a peer, including the first message.
  std::chrono::milliseconds mPeerConnect{ 2000 };
  /// The time limit of a query to a peer that a caller's request waits for.
  std::chrono::milliseconds mPeerRequest{ 50 };
  /// How long callers may cache the answer that lists instances.
  std::chrono::milliseconds mAddressTtl{ 10000 };
  /// The most time that a planned stop waits for open requests.
  std::chrono::milliseconds mShutdown{ 600000 };

  bool operator==(timeout_settings const&) const = default;
};

}
