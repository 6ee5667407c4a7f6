#pragma once

#include <LibCore/Identifiers.h>

#include <cstdint>

namespace lycheeseam {

/// A workspace and its limits. Instances share the limits over the whole fleet.
struct workspace_row
{
  workspace_id mName;
  /// The rate limit, in tokens per second over the whole fleet.
  token_count mRate = 0;
  /// The most tokens that may be used at once over the whole fleet.
  token_count mBurst = 0;
  /// The workspace's weight in fair queueing against other workspaces.
  std::uint32_t mWeight = 1;

  bool operator==(workspace_row const&) const = default;
};

}
