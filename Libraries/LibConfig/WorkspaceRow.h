#pragma once

#include <LibCore/Identifiers.h>

#include <cstdint>

namespace lycheeseam {

/// A workspace and its share of the fleet.
struct workspace_row
{
  workspace_id mName;
  /// Tokens a second over the whole fleet.
  token_count mRate = 0;
  /// The most tokens that may be spent at once over the whole fleet.
  token_count mBurst = 0;
  /// Its weight in fair queueing beside other workspaces.
  std::uint32_t mWeight = 1;

  bool operator==(workspace_row const&) const = default;
};

}
