#pragma once

#include <LibCore/Instant.h>
#include <LibCore/ServerIdentity.h>

#include <optional>

namespace lycheeseam {

/// What an answer of a backend server showed of its rate limit.
struct observed_limit
{
  server_identity mServer;
  /// Requests per second that the server takes from all instances together;
  /// empty when it names no limit.
  std::optional<double> mRequestsPerSecond;
  instant mObservedAt{};

  bool operator==(observed_limit const&) const = default;
};

}
