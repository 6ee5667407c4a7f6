#pragma once

#include <chrono>

namespace lycheeseam {

/// Bounds on waiting.
struct timeout_settings
{
  /// A request to the platform, beyond any wait that it asked for.
  std::chrono::milliseconds mPlatformRequest{ 5000 };
  /// The wait that a read of the log's tail asks the platform for.
  std::chrono::milliseconds mLogPollWait{ 1000 };
  /// A connection to a backend server.
  std::chrono::milliseconds mBackendConnect{ 1000 };
  /// A connection to a peer, its first message included.
  std::chrono::milliseconds mPeerConnect{ 2000 };
  /// A question to a peer on the path of a request.
  std::chrono::milliseconds mPeerRequest{ 50 };
  /// How long callers may keep the answer that names instances.
  std::chrono::milliseconds mAddressTtl{ 10000 };
  /// How long a planned stop waits for open requests.
  std::chrono::milliseconds mShutdown{ 600000 };

  bool operator==(timeout_settings const&) const = default;
};

}
