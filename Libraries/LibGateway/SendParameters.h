#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Identifiers.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace lycheeseam {

/// What a request tells a backend server besides the caller's own words.
struct send_parameters
{
  /// Only this server may run it.
  backend_server_id mServer;
  /// How long the server may work on it.
  std::chrono::milliseconds mTimeLeft{};
  /// Empty on routes open to all.
  workspace_id mWorkspace;
  /// 0 is the most urgent.
  std::uint32_t mPriority = 0;
  /// Weights of another version must not run it.
  std::optional<std::uint64_t> mVersion;
  /// Cached parts are found under the same text only; empty for plain work.
  std::string mCacheScope;
  /// Where the server fetches cached parts that it lacks.
  std::optional<endpoint> mFetchFrom;
  /// Where the server hands the prompt's parts once they are read.
  std::optional<endpoint> mSaveTo;
  /// The last event that a resumed stream already has.
  std::optional<std::uint64_t> mLastEvent;
};

}
