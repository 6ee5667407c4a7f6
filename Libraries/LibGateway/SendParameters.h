#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Identifiers.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lycheeseam {

/// What the gateway sends to a backend server besides the caller's own request.
struct send_parameters
{
  /// The only server that may run the request.
  backend_server_id mServer;
  /// How long the server may work on the request.
  std::chrono::milliseconds mTimeLeft{};
  /// Empty when the request has no workspace, as on public routes.
  workspace_id mWorkspace;
  /// From 0 (most urgent) to 9.
  std::uint32_t mPriority = 0;
  /// Only weights of this version may run the request.
  std::optional<std::uint64_t> mVersion;
  /// Cached prompt parts are shared only within one scope; empty for requests
  /// without a model.
  std::string mCacheScope;
  /// Keys of the prompt's shared prefixes in that scope, from the shortest to
  /// the longest.
  std::vector<std::uint64_t> mPrefixKeys;
  /// Where the server fetches cached prompt parts that it lacks.
  std::optional<endpoint> mFetchFrom;
  /// Where the server saves the prompt's cached parts once it has read the
  /// prompt.
  std::optional<endpoint> mSaveTo;
  /// The last event that the caller already has of a resumed stream.
  std::optional<std::uint64_t> mLastEvent;
};

}
