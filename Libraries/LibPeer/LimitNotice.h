#pragma once

#include <LibCore/ServerIdentity.h>

#include <chrono>
#include <optional>

namespace lycheeseam {

/// A backend server's rate limit as instances report it to each other. It has
/// an age instead of a time, since their clocks differ.
struct limit_notice
{
  server_identity mServer;
  /// Requests per second that the server takes from all instances together;
  /// empty when it names no limit.
  std::optional<double> mRequestsPerSecond;
  /// How long before the report it was observed.
  std::chrono::milliseconds mAge{};

  bool operator==(limit_notice const&) const = default;
};

}
